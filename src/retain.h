/*
 * retain.h -- whether an idle program's prefix stays in an engine's cache.
 */
#ifndef MU_RETAIN_H
#define MU_RETAIN_H

#include "view.h"

#define MU_RETAIN_REASONS(X) \
	X(RETURN_SOON, \
	    "expected back before the memory costs more than computing") \
	X(MEMORY_FREE, "memory is not short") \
	X(ENDED, "the program has ended") \
	X(IDLE_LIMIT, "idle beyond its time") \
	X(PRICE, "memory until its return costs more than computing again") \
	X(EXPORT_CHEAPER, "export and import cost less than memory") \
	X(ORPHAN, "no live program owns the prefix")

enum mu_retain_reason {
#define X(sym, name) MU_RETAIN_##sym,
	MU_RETAIN_REASONS(X)
#undef X
	MU_RETAIN_REASON_COUNT
};

enum mu_retain_kind {
	MU_RETAIN_KEEP,
	MU_RETAIN_EXPORT,
	MU_RETAIN_DROP
};

/*
 * Log-normal estimate of the pauses between the calls of a program, or of all
 * programs of a service.
 */
struct mu_pause_stats {
	double mean; /* of ln(seconds) */
	double var;
	uint32_t n;
};

struct mu_retain_view {
	uint32_t tokens; /* of the prefix */
	mu_us idle; /* since its last use */
	bool ended; /* by its caller, its budget or its owner's failure */
	bool orphan; /* cached by the engine, but of no live program */
	struct mu_pause_stats program; /* pauses of this program */
	struct mu_pause_stats service; /* pauses of all its programs */
	double return_rate; /* share of calls followed by another; 0: unknown */
	uint64_t cache_used; /* tokens, as reported */
	uint64_t cache_max; /* tokens; 0: unknown */
	double prefill_us; /* prefill time per token; 0: unknown */
	double transfer_us; /* export and import per token; 0: unsupported */
	mu_us idle_max; /* retain_idle_ms of the service; 0: no limit */
	double weight_waste; /* price of memory relative to latency */
};

struct mu_retention {
	enum mu_retain_kind kind;
	enum mu_retain_reason reason;
	double keep_cost; /* of memory, microseconds of engine time */
	bool keep_when_full; /* worth keeping even when the cache is full */
	double drop_cost; /* of recomputing the prefix, microseconds */
	union {
		struct {
			mu_us until; /* idle time at which to re-evaluate */
		} keep;
	} u;
};

/* Decides on a prefix that no running call uses. */
struct mu_retention mu_retain(const struct mu_retain_view *v);
const char *mu_retain_reason_name(enum mu_retain_reason reason);
/* Adds a pause that has ended. */
void mu_pause_sample(struct mu_pause_stats *p, mu_us pause);

#endif
