/*
 * metric.h -- counters and histograms of the daemon.
 */
#ifndef MU_METRIC_H
#define MU_METRIC_H

#include "musher.h"

/* X(symbol, name, help) */
#define MU_COUNTERS(X) \
	X(CALLS, "calls_total", "calls started on endpoints") \
	X(CALLS_OK, "calls_done_total", "calls answered and committed") \
	X(CALLS_FAILED, "calls_failed_total", "calls ended with an error") \
	X(CALLS_UNKNOWN, "calls_unknown_total", "calls with outcome unknown") \
	X(JOINED, "calls_joined_total", "requests that joined a running call") \
	X(REPLAYED, "calls_replayed_total", "requests given a stored answer") \
	X(RETRIES, "retries_total", "attempts after the first") \
	X(RETRY_DENIED, "retries_denied_total", "retries over the budget") \
	X(REFUSED, "refused_total", "calls refused before they ran") \
	X(QUARANTINED, "quarantined_total", "calls refused by quarantine") \
	X(EJECTED, "ejected_total", "endpoints taken out for a time") \
	X(FORWARDS, "forwards_total", "requests forwarded to another daemon") \
	X(FORWARDED, "forwarded_total", "requests received from a daemon") \
	X(COMMITS, "commits_total", "journal transactions committed") \
	X(RECORDS, "records_total", "journal records committed") \
	X(COMMIT_UNKNOWN, "commits_unknown_total", "commits without answer") \
	X(COMMIT_REFUSED, "commits_refused_total", "commits refused") \
	X(COMMIT_CONFLICT, "commits_conflict_total", "commits that conflict") \
	X(UNCOMMITTED, "answers_uncommitted_total", "answers in an outage") \
	X(TAKEOVERS, "takeovers_total", "slots taken from a lapsed owner") \
	X(CLAIMS, "claims_total", "slots claimed that had no owner") \
	X(HANDOVERS, "handovers_total", "slots handed to another daemon") \
	X(SLOTS_LOST, "slots_lost_total", "slots lost to another owner") \
	X(RECOVERED, "programs_recovered_total", "programs read on takeover") \
	X(SNAPSHOTS, "snapshots_total", "slot snapshots written") \
	X(RELEASES, "releases_total", "cache release orders sent") \
	X(CONFIGS, "config_applied_total", "configurations put in force") \
	X(HTTP, "http_requests_total", "requests on the callers' port") \
	X(HTTP_BAD, "http_rejected_total", "requests with invalid input") \
	X(PLATFORM_READS, "platform_reads_total", "reads of the platform") \
	X(PLATFORM_WRITES, "platform_writes_total", "writes to the platform") \
	X(PROMPT_TOKENS, "prompt_tokens_total", "prompt tokens sent") \
	X(CACHED_TOKENS, "cached_tokens_total", "prompt tokens found cached") \
	X(OUTPUT_TOKENS, "output_tokens_total", "tokens generated") \
	X(BUDGET_DRAWS, "budget_writes_total", "budget rows written") \
	X(HISTORY_READS, "history_reads_total", "turns read from the store") \
	X(CONNECTIONS, "endpoint_connections_total", \
	    "connections opened to endpoints") \
	X(OVERDUE, "answers_overdue_total", "answers overdue by far") \
	X(BODIES_TOO_LARGE, "bodies_too_large_total", \
	    "bodies refused over the limit of one") \
	X(BODIES_NO_ROOM, "bodies_no_room_total", \
	    "bodies refused over the limit of all") \
	X(BODIES_STALLED, "bodies_stalled_total", \
	    "stalled bodies dropped to make room") \
	X(BODIES_TIMEOUT, "bodies_timeout_total", \
	    "bodies that did not arrive in time") \
	X(ANSWERS_NO_ROOM, "answers_no_room_total", \
	    "answers not sent over the limit of all") \
	X(ANSWERS_STALLED, "answers_stalled_total", \
	    "unread answers dropped to make room") \
	X(CONNECTIONS_CLOSED, "connections_closed_total", \
	    "connections closed to make room") \
	X(LINKS_REFUSED, "links_refused_total", \
	    "links between daemons closed over a limit") \
	X(KEYS_REFUSED, "keys_refused_total", "requests without a valid key") \
	X(LIMITED, "limited_total", "requests over their customer's limit") \
	X(LIMIT_ASKS, "limit_asks_total", "rate limit requests to daemons") \
	X(LIMIT_UNANSWERED, "limit_unanswered_total", \
	    "rate limit requests without an answer")

enum mu_counter {
#define X(sym, name, help) MU_M_##sym,
	MU_COUNTERS(X)
#undef X
	MU_M_COUNT
};

/* X(symbol, name, help); observed in microseconds, exported in seconds. */
#define MU_HISTOGRAMS(X) \
	X(CALL, "call_seconds", "time of a call at its owner") \
	X(FIRST_TEXT, "first_text_seconds", \
	    "time to the first text of a call") \
	X(COMMIT, "commit_seconds", "time of a journal transaction") \
	X(QUEUE, "queue_seconds", "time that a call waited for admission") \
	X(RECOVERY, "recovery_seconds", "time to read a slot on takeover")

enum mu_histogram {
#define X(sym, name, help) MU_H_##sym,
	MU_HISTOGRAMS(X)
#undef X
	MU_H_COUNT
};

void mu_count(enum mu_counter c, uint64_t n);
uint64_t mu_counter_value(enum mu_counter c);
void mu_observe(enum mu_histogram h, mu_us value);

/* All counters and histograms in the Prometheus text format; malloc'd, NULL
 * when out of memory. */
char *mu_metrics_text(void);

#endif
