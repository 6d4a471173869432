/*
 * ledger.c -- token budget of one program at one daemon.
 *
 * A draw takes a part of the budget that serves several turns, so that a
 * program costs a few writes and not one a turn; what is drawn and not used is
 * lost to the program when the daemon dies, so it is a part and not the whole.
 * A program with budget for a few turns only draws just what a turn needs.
 */
#include "ledger.h"

/* Of a budget, for the guarantor and for one draw.  Programs of the users'
 * sites use 0.14 of theirs in the median and 0.31 at the 95th percentile: one
 * draw serves most of them, and so do loans; when the daemon that drew and the
 * guarantor are both lost, half is left. */
#define GUARANTEED_PART 4
#define DRAW_PART 4
#define NEARLY_DRAWN 2 /* largest turns that must stay in the row */

static uint64_t
least(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t
room(const struct mu_ledger *l)
{
	uint64_t used = l->spent + l->reserved;

	return used < l->drawn ? l->drawn - used : 0;
}

uint64_t
mu_ledger_guaranteed(uint64_t budget)
{
	return budget / GUARANTEED_PART;
}

uint64_t
mu_ledger_lendable(uint64_t budget, uint64_t most)
{
	uint64_t part = mu_ledger_guaranteed(budget);

	return part > most ? part : most;
}

/* Tokens that are not granted to daemons, the guarantor's part included. */
static uint64_t
ungranted(const struct mu_ledger *l)
{
	return l->granted < l->budget ? l->budget - l->granted : 0;
}

/* Of those, what may be drawn now. */
static uint64_t
open_to_draws(const struct mu_ledger *l)
{
	uint64_t part = mu_ledger_guaranteed(l->budget), open;

	open = l->released ? l->budget - least(l->lent, l->budget)
			   : l->budget - part + least(part, l->most);
	return l->granted < open ? open - l->granted : 0;
}

struct mu_ledger_answer
mu_ledger_reserve(struct mu_ledger *l, uint64_t most)
{
	struct mu_ledger_answer a = {MU_LEDGER_RESERVED, 0, 0};
	uint64_t have = room(l), open, part;

	if (most > l->most)
		l->most = most;
	open = open_to_draws(l);
	if (have >= most) {
		l->reserved += most;
		return a;
	}
	a.lack = most - have;
	if (open < a.lack) {
		a.kind =
		    !l->released && l->most < mu_ledger_guaranteed(l->budget)
			? MU_LEDGER_RELEASE
			: MU_LEDGER_EXHAUSTED;
		return a;
	}
	a.kind = MU_LEDGER_DRAW;
	part = least(l->budget / DRAW_PART, open / 2);
	a.draw = least(a.lack > part ? a.lack : part, open);
	return a;
}

uint64_t
mu_ledger_reserve_rest(struct mu_ledger *l, uint64_t least)
{
	uint64_t rest = room(l);

	if (rest == 0 || rest < least)
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
mu_ledger_settle(struct mu_ledger *l, uint64_t most, uint64_t used)
{
	l->reserved = l->reserved > most ? l->reserved - most : 0;
	l->spent += used;
}

bool
mu_ledger_shared(const struct mu_ledger *l)
{
	return l->granted > l->drawn - l->borrowed;
}

uint64_t
mu_ledger_spare(const struct mu_ledger *l, bool leaving)
{
	if (!leaving && ungranted(l) >= NEARLY_DRAWN * l->most)
		return 0;
	/* What was borrowed is not the row's to take back. */
	return least(room(l), least(l->granted, l->drawn - l->borrowed));
}

void
mu_ledger_returned(struct mu_ledger *l, uint64_t amount, uint64_t granted)
{
	l->drawn = l->drawn > amount ? l->drawn - amount : 0;
	l->granted = granted;
}
