/*
 * ledger.c -- token budget of one program at one daemon.
 *
 * A draw takes enough of the budget for several turns, so that a program costs
 * a few writes to the store instead of one for each turn.  It does not take
 * the whole budget, as the unused rest of a draw is lost to the program when
 * the daemon dies.  When the budget holds only a few turns, a draw takes just
 * what the turn needs.
 */
#include "ledger.h"

/* The guarantor's share and a draw are each the budget divided by this.
 * Programs in production use 0.14 of their budget in the median and 0.31 at
 * the 95th percentile, so one draw, or the loans alone, suffice for most of
 * them.  If both the daemon that drew and the guarantor are lost, half of the
 * budget is left. */
#define GUARANTOR_DIVISOR 4
#define DRAW_DIVISOR 4
#define NEARLY_DRAWN_TURNS 2 /* fewer of the largest turns left: give back */

static uint64_t
min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t
unreserved(const struct mu_ledger *l)
{
	uint64_t used = l->spent + l->reserved;

	return used < l->drawn ? l->drawn - used : 0;
}

uint64_t
mu_ledger_guarantor_share(uint64_t budget)
{
	return budget / GUARANTOR_DIVISOR;
}

uint64_t
mu_ledger_lendable(uint64_t budget, uint64_t max_tokens)
{
	uint64_t share = mu_ledger_guarantor_share(budget);

	return share > max_tokens ? share : max_tokens;
}

/* Tokens not granted to any daemon, including the guarantor's share. */
static uint64_t
ungranted(const struct mu_ledger *l)
{
	return l->granted < l->budget ? l->budget - l->granted : 0;
}

/* The part of the ungranted tokens that may be drawn now. */
static uint64_t
drawable(const struct mu_ledger *l)
{
	uint64_t share = mu_ledger_guarantor_share(l->budget), limit;

	limit = l->released
		    ? l->budget - min_u64(l->lent, l->budget)
		    : l->budget - share + min_u64(share, l->largest_turn);
	return l->granted < limit ? limit - l->granted : 0;
}

struct mu_ledger_decision
mu_ledger_reserve(struct mu_ledger *l, uint64_t max_tokens)
{
	struct mu_ledger_decision a = {MU_LEDGER_RESERVED, 0, 0};
	uint64_t have = unreserved(l), drawable_now, share;

	if (max_tokens > l->largest_turn)
		l->largest_turn = max_tokens;
	drawable_now = drawable(l);
	if (have >= max_tokens) {
		l->reserved += max_tokens;
		return a;
	}
	a.shortfall = max_tokens - have;
	if (drawable_now < a.shortfall) {
		a.action =
		    !l->released && l->largest_turn <
					mu_ledger_guarantor_share(l->budget)
			? MU_LEDGER_RELEASE
			: MU_LEDGER_EXHAUSTED;
		return a;
	}
	a.action = MU_LEDGER_DRAW;
	share = min_u64(l->budget / DRAW_DIVISOR, drawable_now / 2);
	a.draw =
	    min_u64(a.shortfall > share ? a.shortfall : share, drawable_now);
	return a;
}

uint64_t
mu_ledger_reserve_rest(struct mu_ledger *l, uint64_t minimum)
{
	uint64_t rest = unreserved(l);

	if (rest == 0 || rest < minimum)
		return 0;
	l->reserved += rest;
	return rest;
}

void
mu_ledger_drawn(struct mu_ledger *l, uint64_t amount, uint64_t granted)
{
	l->drawn += amount;
	l->granted = granted;
}

void
mu_ledger_borrowed(struct mu_ledger *l, uint64_t amount)
{
	l->drawn += amount;
	l->borrowed += amount;
}

void
mu_ledger_released(struct mu_ledger *l, uint64_t lent)
{
	l->released = true;
	l->lent = lent;
}

void
mu_ledger_settle(struct mu_ledger *l, uint64_t reserved, uint64_t used)
{
	l->reserved = l->reserved > reserved ? l->reserved - reserved : 0;
	l->spent += used;
}

bool
mu_ledger_others_drew(const struct mu_ledger *l)
{
	return l->granted > l->drawn - l->borrowed;
}

uint64_t
mu_ledger_returnable(const struct mu_ledger *l, bool leaving)
{
	if (!leaving && ungranted(l) >= NEARLY_DRAWN_TURNS * l->largest_turn)
		return 0;
	/* Loans came from the guarantor and cannot be returned to the row. */
	return min_u64(
	    unreserved(l), min_u64(l->granted, l->drawn - l->borrowed));
}

void
mu_ledger_returned(struct mu_ledger *l, uint64_t amount, uint64_t granted)
{
	l->drawn = l->drawn > amount ? l->drawn - amount : 0;
	l->granted = granted;
}
