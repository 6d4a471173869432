/*
 * ledger.c -- token budget of one program at one daemon.
 *
 * A draw takes a part of the budget that serves several turns, so that a
 * program costs a few writes and not one a turn; what is drawn and not used is
 * lost to the program when the daemon dies, so it is a part and not the whole.
 * A program with budget for a few turns only draws just what a turn needs.
 */
#include "ledger.h"

#define DRAWS 2 /* a program's budget in so many draws at the least */
#define NEARLY_DRAWN 2 /* largest turns that must stay in the row */

static uint64_t
room(const struct mu_ledger *l)
{
	uint64_t used = l->spent + l->reserved;

	return used < l->drawn ? l->drawn - used : 0;
}

struct mu_ledger_answer
mu_ledger_reserve(struct mu_ledger *l, uint64_t most)
{
	struct mu_ledger_answer a = {MU_LEDGER_RESERVED, 0};
	uint64_t left = l->granted < l->budget ? l->budget - l->granted : 0;
	uint64_t have = room(l), part = l->budget / DRAWS;

	if (most > l->most)
		l->most = most;
	if (part > left / 2)
		part = left / 2;
	if (have >= most) {
		l->reserved += most;
		return a;
	}
	if (left + have < most) {
		a.kind = MU_LEDGER_EXHAUSTED;
		return a;
	}
	a.kind = MU_LEDGER_DRAW;
	a.draw = most - have > part ? most - have : part;
	if (a.draw > left)
		a.draw = left;
	return a;
}

void
mu_ledger_drawn(struct mu_ledger *l, uint64_t amount, uint64_t granted)
{
	l->drawn += amount;
	l->granted = granted;
}

void
mu_ledger_settle(struct mu_ledger *l, uint64_t most, uint64_t used)
{
	l->reserved = l->reserved > most ? l->reserved - most : 0;
	l->spent += used;
}

uint64_t
mu_ledger_spare(const struct mu_ledger *l, bool leaving)
{
	uint64_t left = l->granted < l->budget ? l->budget - l->granted : 0;

	if (!leaving && left >= NEARLY_DRAWN * l->most)
		return 0;
	return room(l) < l->granted ? room(l) : l->granted;
}

void
mu_ledger_returned(struct mu_ledger *l, uint64_t amount, uint64_t granted)
{
	l->drawn = l->drawn > amount ? l->drawn - amount : 0;
	l->granted = granted;
}
