/*
 * shape.c -- workload shapes: the calls of an agent program per customer.
 *
 * Each turn is a model call.  Some turns are followed by an idempotent lookup,
 * the last one by non-idempotent calls, as in the customers' programs.  The
 * random numbers of a program depend only on the seed and the program's
 * number, so a run is reproducible under any thread scheduling.
 */
#include <math.h>

#include "shape.h"

#define LOOKUP_PROBABILITY 0.3 /* that a lookup follows a turn */
#define KIT_PROBABILITY 0.5 /* of ship_kit, else reprint */
#define SHUTOFF_PROBABILITY 0.3
#define CALLBACK_PROBABILITY 0.5

void
shape_seed(struct shape_rand *r, uint64_t seed, uint64_t program)
{
	r->state = seed * 0x9e3779b97f4a7c15ULL + program;
	(void)shape_uniform(r);
}

/* splitmix64 */
double
shape_uniform(struct shape_rand *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	z ^= z >> 31;
	return (double)(z >> 11) / (double)(1ULL << 53);
}

mu_us
shape_exponential(struct shape_rand *r, mu_us mean)
{
	return (mu_us)(-log(1.0 - shape_uniform(r)) * (double)mean);
}

struct shape_step
shape_model_call(enum shape_kind kind)
{
	struct shape_step s = {"smokehouse", NULL, true};

	if (kind == SHAPE_HOTLINE)
		s.service = "agent-llm";
	return s;
}

static unsigned
trust_tools(struct shape_rand *r, bool last_turn,
    struct shape_step out[SHAPE_TOOLS_MAX])
{
	unsigned n = 0;

	if (shape_uniform(r) < LOOKUP_PROBABILITY)
		out[n++] = (struct shape_step){"pantry", "lookup", true};
	if (last_turn)
		out[n++] = (struct shape_step){"pantry",
		    shape_uniform(r) < KIT_PROBABILITY ? "ship_kit" : "reprint",
		    false};
	return n;
}

static unsigned
hotline_tools(struct shape_rand *r, bool last_turn,
    struct shape_step out[SHAPE_TOOLS_MAX])
{
	static const char service[] = "dispatch-app";
	unsigned n = 0;

	if (!last_turn) {
		if (shape_uniform(r) < LOOKUP_PROBABILITY)
			out[n++] = (struct shape_step){
			    service, "lookup_address", true};
		return n;
	}
	out[n++] = (struct shape_step){service, "dispatch_crew", false};
	if (shape_uniform(r) < SHUTOFF_PROBABILITY)
		out[n++] =
		    (struct shape_step){service, "order_valve_shutoff", false};
	if (shape_uniform(r) < CALLBACK_PROBABILITY)
		out[n++] =
		    (struct shape_step){service, "schedule_callback", false};
	return n;
}

unsigned
shape_tool_calls(enum shape_kind kind, struct shape_rand *r, unsigned turn,
    unsigned turns, struct shape_step out[SHAPE_TOOLS_MAX])
{
	switch (kind) {
	case SHAPE_TRUST:
		return trust_tools(r, turn == turns, out);
	case SHAPE_HOTLINE:
		break;
	}
	return hotline_tools(r, turn == turns, out);
}
