/*
 * retain.h -- what happens to a program's prefix in an engine between calls.
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

/* Smoothed pauses of a program or of a service, in log space. */
struct mu_pause {
	double mean; /* of ln(seconds) */
	double var;
	uint32_t n;
};

struct mu_retain_view {
	uint32_t tokens; /* of the prefix */
	mu_us idle; /* since its last use */
	bool ended; /* by its client, its budget or its owner's death */
	bool orphan; /* held by the engine for no live program */
	struct mu_pause program; /* pauses of this program so far */
	struct mu_pause service; /* pauses of all programs of its kind */
	double return_rate; /* share of calls followed by another; 0: unknown */
	uint64_t cache_used; /* tokens, as reported */
	uint64_t cache_max; /* tokens; 0: unknown */
	double prefill_us; /* time to compute a token; 0: unknown */
	double transfer_us; /* time to export and import a token; 0: cannot */
	mu_us idle_max; /* retain_idle_ms of the service; 0: no limit */
	double weight_waste; /* price of memory beside that of latency */
};

struct mu_retention {
	enum mu_retain_kind kind;
	enum mu_retain_reason reason;
	double keep_cost; /* of memory, microseconds of computing */
	bool firm; /* would be kept in a full cache */
	double drop_cost; /* of computing again, as expected, microseconds */
	union {
		struct {
			mu_us until; /* idle time at which to ask again */
		} keep;
	} u;
};

/* Decides on a prefix that no call is using. */
struct mu_retention mu_retain(const struct mu_retain_view *v);
const char *mu_retain_reason_name(enum mu_retain_reason reason);
/* Takes a pause that has ended. */
void mu_pause_sample(struct mu_pause *p, mu_us pause);

#endif
