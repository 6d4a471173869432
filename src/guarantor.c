/*
 * guarantor.c -- lends a share of programs' budgets while the store is
 * unavailable.
 *
 * Keeps a table of the programs that have borrowed or whose share was
 * released.  An entry stays for as long as its program may continue.  The
 * grace period of a daemon that starts is as long: after it, no loan of its
 * predecessor matters.
 */
#include <stdio.h>
#include <stdlib.h>
#include <urcu/list.h>

#include "guarantor.h"
#include "hmap.h"
#include "ledger.h"
#include "store.h"

/* Retention of loans, and length of the grace period: as long as a program's
 * row stays after its last turn (account.c). */
#define LOAN_RETENTION_US (180 * MU_US_PER_S)
#define SWEEP_US (10 * MU_US_PER_S)

struct borrower {
	struct mu_hnode node;
	struct cds_list_head all;
	char program[MU_STORE_KEY_BYTES + 1];
	uint64_t lent;
	bool released;
	mu_us used_at;
};

struct mu_guarantor {
	struct mu_loop *loop;
	struct mu_hmap borrowers;
	struct cds_list_head all;
	struct mu_timer sweep;
	mu_us grace_end; /* no loans and releases before */
};

static void
borrower_free(struct mu_guarantor *g, struct borrower *b)
{
	mu_hmap_del(&g->borrowers, &b->node);
	cds_list_del(&b->all);
	free(b);
}

static void
on_sweep(void *arg)
{
	struct mu_guarantor *g = arg;
	mu_us now = mu_loop_now(g->loop);
	struct borrower *b, *next;

	cds_list_for_each_entry_safe (b, next, &g->all, all)
		if (now - b->used_at > LOAN_RETENTION_US)
			borrower_free(g, b);
	mu_timer_set(g->loop, &g->sweep, now + SWEEP_US);
}

struct mu_guarantor *
mu_guarantor_new(struct mu_loop *l)
{
	struct mu_guarantor *g = calloc(1, sizeof(*g));

	if (g == NULL || mu_hmap_init(&g->borrowers) != 0) {
		free(g);
		return NULL;
	}
	g->loop = l;
	g->grace_end = mu_loop_now(l) + LOAN_RETENTION_US;
	CDS_INIT_LIST_HEAD(&g->all);
	g->sweep.fn = on_sweep;
	g->sweep.arg = g;
	mu_timer_set(l, &g->sweep, mu_loop_now(l) + SWEEP_US);
	return g;
}

void
mu_guarantor_free(struct mu_guarantor *g)
{
	struct borrower *b, *next;

	if (g == NULL)
		return;
	cds_list_for_each_entry_safe (b, next, &g->all, all)
		borrower_free(g, b);
	mu_timer_clear(g->loop, &g->sweep);
	mu_hmap_clear(&g->borrowers);
	free(g);
}

void
mu_guarantor_skip_grace(struct mu_guarantor *g)
{
	g->grace_end = mu_loop_now(g->loop);
}

static struct borrower *
get_borrower(struct mu_guarantor *g, const char *program)
{
	struct mu_hnode *n = mu_hmap_find(&g->borrowers, program);
	struct borrower *b;

	if (n != NULL) {
		b = MU_CONTAINER_OF(n, struct borrower, node);
	} else {
		b = calloc(1, sizeof(*b));
		if (b == NULL)
			abort();
		(void)snprintf(b->program, sizeof(b->program), "%s", program);
		b->node.key = b->program;
		mu_hmap_add(&g->borrowers, &b->node);
		cds_list_add(&b->all, &g->all);
	}
	b->used_at = mu_loop_now(g->loop);
	return b;
}

struct mu_loan
mu_guarantor_lend(struct mu_guarantor *g, const struct mu_loan_request *q)
{
	uint64_t limit = mu_ledger_lendable(q->budget, q->max_tokens);
	struct mu_loan loan = {false, 0};
	struct borrower *b;

	if (mu_loop_now(g->loop) < g->grace_end)
		return loan;
	b = get_borrower(g, q->program);
	if (!b->released && b->lent <= limit && q->amount <= limit - b->lent) {
		b->lent += q->amount;
		loan.given = true;
	}
	loan.lent = b->lent;
	return loan;
}

struct mu_loan
mu_guarantor_release(struct mu_guarantor *g, const char *program)
{
	struct mu_loan loan = {false, 0};
	struct borrower *b;

	if (mu_loop_now(g->loop) < g->grace_end)
		return loan;
	b = get_borrower(g, program);
	b->released = true;
	loan.given = true;
	loan.lent = b->lent;
	return loan;
}
