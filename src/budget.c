/*
 * budget.c -- budget of one program: reserve before sending, settle after.
 *
 * If usage were only counted after an answer, concurrent calls could exceed the
 * limit and a lost answer would cost nothing.  With reservations the limit
 * holds whatever is lost: an attempt whose usage is unknown is charged its
 * whole reservation.  Sums saturate, so a limit near UINT64_MAX is no limit.
 */
#include <string.h>

#include "budget.h"

#define MS_PER_S ((uint64_t)1000)

static uint64_t
sat_add(uint64_t a, uint64_t b)
{
	return a > UINT64_MAX - b ? UINT64_MAX : a + b;
}

static uint64_t
sat_sub(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

static void
amount_add(struct mu_amount *a, const struct mu_amount *b)
{
	a->tokens = sat_add(a->tokens, b->tokens);
	a->calls = sat_add(a->calls, b->calls);
	a->ms = sat_add(a->ms, b->ms);
}

static void
amount_sub(struct mu_amount *a, const struct mu_amount *b)
{
	a->tokens = sat_sub(a->tokens, b->tokens);
	a->calls = sat_sub(a->calls, b->calls);
	a->ms = sat_sub(a->ms, b->ms);
}

static uint64_t
min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

const char *
mu_budget_unit_name(enum mu_budget_unit unit)
{
	switch (unit) {
	case MU_BUDGET_NONE:
		return "none";
	case MU_BUDGET_TOKENS:
		return "tokens";
	case MU_BUDGET_CALLS:
		return "calls";
	case MU_BUDGET_SECONDS:
		return "seconds";
	}
	return "internal";
}

void
mu_budget_init(
    struct mu_budget *b, uint64_t tokens, uint64_t calls, uint64_t seconds)
{
	memset(b, 0, sizeof(*b));
	b->limit.tokens = tokens;
	b->limit.calls = calls;
	b->limit.ms =
	    seconds > UINT64_MAX / MS_PER_S ? UINT64_MAX : seconds * MS_PER_S;
}

struct mu_amount
mu_budget_left(const struct mu_budget *b)
{
	struct mu_amount left = b->limit;

	amount_sub(&left, &b->spent);
	amount_sub(&left, &b->reserved);
	amount_sub(&left, &b->child_grants);
	return left;
}

/* First unit of which less is left than needed, or MU_BUDGET_NONE. */
static enum mu_budget_unit
first_short_unit(const struct mu_amount *left, const struct mu_amount *need)
{
	if (left->calls < need->calls)
		return MU_BUDGET_CALLS;
	if (left->tokens < need->tokens)
		return MU_BUDGET_TOKENS;
	if (left->ms < need->ms)
		return MU_BUDGET_SECONDS;
	return MU_BUDGET_NONE;
}

static void
refuse(struct mu_budget_result *r, enum mu_budget_unit unit)
{
	r->kind = MU_BUDGET_REFUSED;
	r->u.refused.error = MU_E_BUDGET;
	r->u.refused.unit = unit;
}

struct mu_budget_result
mu_budget_reserve(struct mu_budget *b, const struct mu_amount *need,
    const struct mu_amount *want)
{
	struct mu_amount left = mu_budget_left(b);
	enum mu_budget_unit unit = first_short_unit(&left, need);
	struct mu_budget_result r;

	memset(&r, 0, sizeof(r));
	if (unit != MU_BUDGET_NONE) {
		refuse(&r, unit);
		return r;
	}
	r.kind = MU_BUDGET_GRANTED;
	r.u.granted.tokens = min_u64(left.tokens, want->tokens);
	r.u.granted.calls = min_u64(left.calls, want->calls);
	r.u.granted.ms = min_u64(left.ms, want->ms);
	amount_add(&b->reserved, &r.u.granted);
	return r;
}

void
mu_budget_settle(struct mu_budget *b, const struct mu_amount *granted,
    const struct mu_amount *used)
{
	amount_sub(&b->reserved, granted);
	amount_add(&b->spent, used);
}

void
mu_budget_settle_in_full(struct mu_budget *b, const struct mu_amount *granted)
{
	mu_budget_settle(b, granted, granted);
}

void
mu_budget_recover(struct mu_budget *b)
{
	amount_add(&b->spent, &b->reserved);
	memset(&b->reserved, 0, sizeof(b->reserved));
}

struct mu_budget_result
mu_budget_grant_child(struct mu_budget *parent, const struct mu_amount *limit,
    struct mu_budget *child)
{
	struct mu_amount left = mu_budget_left(parent);
	enum mu_budget_unit unit = first_short_unit(&left, limit);
	struct mu_budget_result r;

	memset(&r, 0, sizeof(r));
	if (unit != MU_BUDGET_NONE) {
		refuse(&r, unit);
		return r;
	}
	r.kind = MU_BUDGET_GRANTED;
	r.u.granted = *limit;
	amount_add(&parent->child_grants, limit);
	memset(child, 0, sizeof(*child));
	child->limit = *limit;
	return r;
}

void
mu_budget_end_child(struct mu_budget *parent, const struct mu_budget *child)
{
	struct mu_amount used = child->spent;

	/* Open reservations and grants of the child may have been used. */
	amount_add(&used, &child->reserved);
	amount_add(&used, &child->child_grants);
	amount_sub(&parent->child_grants, &child->limit);
	amount_add(&parent->spent, &used);
}
