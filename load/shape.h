/*
 * shape.h -- workload shapes: the calls of an agent program per customer.
 */
#ifndef MU_LOAD_SHAPE_H
#define MU_LOAD_SHAPE_H

#include "musher.h"

enum shape_kind {
	SHAPE_TRUST,
	SHAPE_HOTLINE
};

struct shape_rand {
	uint64_t state;
};

struct shape_step {
	const char *service;
	const char *operation; /* NULL: a model call */
	bool repeatable;
};

#define SHAPE_TOOLS_MAX 3 /* tool calls after one turn */

void shape_seed(struct shape_rand *r, uint64_t seed, uint64_t program);
/* Uniformly distributed in [0, 1). */
double shape_uniform(struct shape_rand *r);
/* Exponentially distributed with the given mean. */
mu_us shape_exponential(struct shape_rand *r, mu_us mean);
/* Returns the model call of a turn. */
struct shape_step shape_model_call(enum shape_kind kind);
/* Draws the tool calls after turn 1..turns; returns their number. */
unsigned shape_tool_calls(enum shape_kind kind, struct shape_rand *r,
    unsigned turn, unsigned turns, struct shape_step out[SHAPE_TOOLS_MAX]);

#endif
