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
	X(ANSWERS_NO_ROOM, "answers_refused_no_room_total", \
	    "answers without room in the account") \
	X(RECEIVED_NO_ROOM, "received_no_room_total", \
	    "answers of endpoints given up for lack of room") \
	X(LINKS_REFUSED, "links_refused_total", \
	    "links between daemons closed over a limit") \
	X(KEYS_REFUSED, "keys_refused_total", "requests without a valid key") \
	X(PROGRAMS_SHED, "programs_shed_total", \
	    "new programs refused because their service is full") \
	X(LIMITED, "limited_total", "requests over their customer's limit") \
	X(LIMIT_ASKS, "limit_asks_total", "rate limit requests to daemons") \
	X(LIMIT_UNANSWERED, "limit_unanswered_total", \
	    "rate limit requests without an answer") \
	X(BODIES_TOO_LARGE, "bodies_refused_too_large_total", \
	    "bodies over the limit of one body") \
	X(BODIES_NO_ROOM, "bodies_refused_no_room_total", \
	    "bodies without room in the account") \
	X(BODIES_STALLED, "bodies_dropped_stalled_total", \
	    "incomplete bodies dropped to make room") \
	X(BODIES_TIMEOUT, "bodies_dropped_timeout_total", \
	    "bodies not complete in time") \
	X(ANSWERS_UNREAD, "answers_unread_total", \
	    "answers aborted since their callers did not read them") \
	X(CONNECTIONS_CLOSED, "connections_closed_for_room_total", \
	    "callers' connections closed to accept others")

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

/* X(symbol, name, help) */
#define MU_GAUGES(X) \
	X(HELD_BODY, "held_body_bytes", "held for bodies of requests") \
	X(HELD_ANSWER, "held_answer_bytes", \
	    "held of answers that callers have not taken") \
	X(HELD_RECEIVED, "held_received_bytes", \
	    "held of answers that endpoints are sending") \
	X(HELD_PEER, "held_peer_bytes", "held of frames of other daemons") \
	X(HELD_STORE, "held_store_bytes", "held for operations of the store") \
	X(HELD_LIMIT, "held_limit_bytes", "limit of the bytes held")

enum mu_gauge {
#define X(sym, name, help) MU_G_##sym,
	MU_GAUGES(X)
#undef X
	MU_G_COUNT
};

void mu_gauge_set(enum mu_gauge g, uint64_t value);
void mu_count(enum mu_counter c, uint64_t n);
uint64_t mu_counter_value(enum mu_counter c);
void mu_observe(enum mu_histogram h, mu_us value);

/* All counters, gauges and histograms in the Prometheus text format; malloc'd,
 * NULL when out of memory. */
char *mu_metrics_text(void);

#endif
