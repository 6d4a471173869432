/*
 * musher.h -- public interface of the cardamomusher library.
 *
 * Types that every module shares: errors, call outcomes, time and the request
 * arena.  The decision modules are pure: each takes a snapshot, a request and
 * a time, does no I/O and returns a tagged union, so that the daemon, the
 * bench and the tests run the same code.
 *
 * Conventions: functions return 0 or a positive enum mu_errtype; times are
 * int64_t microseconds (type mu_us) unless a name ends in _ms; sizes of
 * prompts and caches are tokens; strings are UTF-8 and NUL-terminated.
 */
#ifndef MUSHER_H
#define MUSHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MU_VERSION "0.1.0"

typedef int64_t mu_us; /* microseconds of a struct mu_clock */

#define MU_US_PER_MS ((mu_us)1000)
#define MU_US_PER_S ((mu_us)1000000)
#define MU_US_NEVER INT64_MAX

#define MU_ID_LEN 32 /* longest program id, bytes without NUL */
#define MU_NAME_LEN 64 /* longest service, host or domain name */
#define MU_ADDR_LEN 64 /* "IP:PORT" */
#define MU_MESSAGE_LEN 192 /* longest error message */

/*
 * What a caller may conclude about a call that failed.
 *   NOT_RUN  no endpoint ran it and none will under this (program, seq)
 *   UNKNOWN  an endpoint may have run it; it will not be retried
 *   DONE     it ran and its answer is stored
 */
enum mu_outcome {
	MU_OUTCOME_NOT_RUN,
	MU_OUTCOME_UNKNOWN,
	MU_OUTCOME_DONE
};

/* Error types.  X(symbol, wire name, HTTP status) */
#define MU_ERRORS(X) \
	X(OK, "ok", 200) \
	X(BAD_REQUEST, "bad_request", 400) \
	X(NOT_JSON, "not_json", 400) \
	X(TOO_LARGE, "too_large", 413) \
	X(UNAUTHORIZED, "unauthorized", 401) \
	X(NOT_FOUND, "not_found", 404) \
	X(METHOD, "method_not_allowed", 405) \
	X(UNKNOWN_SERVICE, "unknown_service", 404) \
	X(SEQ_GAP, "seq_gap", 409) \
	X(SEQ_CONFLICT, "seq_conflict", 409) \
	X(PROGRAM_ENDED, "program_ended", 410) \
	X(BUDGET, "budget_exhausted", 402) \
	X(DEADLINE, "deadline_exceeded", 504) \
	X(OVERLOADED, "overloaded", 503) \
	X(RATE_LIMITED, "rate_limited", 429) \
	X(QUARANTINED, "quarantined", 422) \
	X(NO_ENDPOINT, "no_endpoint", 503) \
	X(CONNECT, "endpoint_connect_failed", 503) \
	X(ENDPOINT_REFUSED, "endpoint_refused", 502) \
	X(ENDPOINT_LOST, "endpoint_lost", 502) \
	X(ENDPOINT_TIMEOUT, "endpoint_timeout", 504) \
	X(TRUNCATED, "answer_truncated", 502) \
	X(MISMATCH, "answer_mismatch", 502) \
	X(STALE_EPOCH, "stale_epoch", 409) \
	X(UNKNOWN_RESULT, "result_unknown", 409) \
	X(PLATFORM_DOWN, "platform_unavailable", 503) \
	X(CONFLICT, "write_conflict", 409) \
	X(CONFIG_CONFLICT, "config_conflict", 409) \
	X(CONFIG_INVALID, "config_invalid", 422) \
	X(CONFIG_UNKNOWN, "config_unknown", 503) \
	X(NOT_OWNER, "not_owner", 503) \
	X(CANCELLED, "cancelled", 499) \
	X(LINK_LOST, "link_lost", 503) \
	X(STOPPING, "stopping", 503) \
	X(SYSTEM, "system_error", 500) \
	X(NOMEM, "out_of_memory", 500) \
	X(INTERNAL, "internal", 500)

enum mu_errtype {
#define X(sym, name, status) MU_E_##sym,
	MU_ERRORS(X)
#undef X
	MU_E_COUNT
};

/* Programs act on type and outcome; message is only for people. */
struct mu_error {
	enum mu_errtype type;
	enum mu_outcome outcome;
	uint32_t retry_after_ms; /* 0: no hint */
	char message[MU_MESSAGE_LEN];
};

/* Name of an error type on the wire and in logs; never NULL. */
const char *mu_errname(enum mu_errtype type);
/* HTTP status of an error type. */
int mu_errstatus(enum mu_errtype type);
/* Wire name of an outcome: "not_run", "unknown" or "done". */
const char *mu_outcome_name(enum mu_outcome outcome);
/* Fills *e (which may be NULL) and returns type, for `return mu_fail(...)`. */
int mu_fail(struct mu_error *e, enum mu_errtype type, enum mu_outcome outcome,
    uint32_t retry_after_ms, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/*
 * Monotonic clock.  A real clock includes time spent suspended
 * (CLOCK_BOOTTIME); a manual clock changes only when a test advances it.
 */
struct mu_clock {
	bool manual;
	mu_us manual_now;
};

void mu_clock_real(struct mu_clock *c);
void mu_clock_manual(struct mu_clock *c, mu_us now);
/* Current time of c. */
mu_us mu_now(const struct mu_clock *c);
/* Moves a manual clock forward by d microseconds. */
void mu_clock_advance(struct mu_clock *c, mu_us d);

/*
 * Arena: allocations of one request, released together.  Not thread-safe.
 */
struct mu_arena;

struct mu_arena *mu_arena_new(void);
/* Returns n zeroed bytes, aligned for any type; NULL when out of memory. */
void *mu_arena_alloc(struct mu_arena *a, size_t n);
char *mu_arena_strdup(struct mu_arena *a, const char *s);
char *mu_arena_printf(struct mu_arena *a, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void mu_arena_free(struct mu_arena *a);

/* Splits "IP:PORT" (IPv4); returns 0 or MU_E_BAD_REQUEST. */
int mu_addr_parse(const char *addr, char ip[MU_ADDR_LEN], uint16_t *port);

#endif
