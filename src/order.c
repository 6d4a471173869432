/*
 * order.c -- priority of a call.
 *
 * Least attained service (LAS) of the whole program: the length of a program
 * is unknown until it has run, and where lengths are heavy-tailed, a program
 * that has received little service is likely to need little more.  Every
 * daemon computes the same priority from the program's record, so the engine's
 * queue orders the calls of all daemons without any coordination.  Attained
 * service is measured on a logarithmic scale, as in the multi-level queues of
 * Autellix (M. Luo et al., "Autellix: An Efficient Serving Engine for LLM
 * Agents as General Programs", 2025).  Uncached prompt tokens count as
 * attained service, so that calls with a cache hit run before their prefixes
 * are evicted.  Waiting lowers the value, which prevents starvation; it does
 * so slowly, since all calls wait during an overload and fast ageing would
 * turn the queue into first come, first served.
 */
#include "order.h"

#include <math.h>

#define STEPS_PER_LEVEL 1000 /* a level is a doubling of attained service */
#define SERVICE_BASE_TOKENS 500.0 /* programs below it differ by < 1 level */
#define URGENT_LEVELS 4.0 /* advantage of urgent calls */
#define WAIT_PER_LEVEL_US (60.0 * MU_US_PER_S) /* wait that gains a level */
#define PRIORITY_MAX 1000000

static const char *const reason_names[] = {
#define X(sym, name) name,
    MU_ORDER_REASONS(X)
#undef X
};

const char *
mu_order_reason_name(enum mu_order_reason reason)
{
	return reason < MU_ORDER_REASON_COUNT ? reason_names[reason] : "?";
}

struct mu_order
mu_order(const struct mu_call_info *r)
{
	uint32_t cached = r->home_tokens;
	double missing =
	    r->prompt_tokens > cached ? r->prompt_tokens - cached : 0;
	double service = (double)r->attained + missing;
	double level = log2(1.0 + service / SERVICE_BASE_TOKENS);
	double aged = (double)r->waited / WAIT_PER_LEVEL_US;
	double p = (level - aged) * STEPS_PER_LEVEL;
	struct mu_order o = {.reason = MU_ORDER_ATTAINED};

	if (r->urgency == MU_URGENT) {
		p -= URGENT_LEVELS * STEPS_PER_LEVEL;
		o.reason = MU_ORDER_URGENT;
	} else if (aged >= 1 && aged > level) {
		o.reason = MU_ORDER_AGED;
	}
	if (p < -PRIORITY_MAX)
		p = -PRIORITY_MAX;
	if (p > PRIORITY_MAX)
		p = PRIORITY_MAX;
	o.priority = (int32_t)lrint(p);
	return o;
}
