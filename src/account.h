/*
 * account.h -- programs at one daemon: their budgets and where their prompts
 * are cached.
 */
#ifndef MU_ACCOUNT_H
#define MU_ACCOUNT_H

#include "guarantor.h"
#include "reaper.h"
#include "store.h"

struct mu_accounts;

enum mu_begin_status {
	MU_BEGIN_OK,
	MU_BEGIN_EXHAUSTED, /* the budget does not hold the turn */
	MU_BEGIN_NO_TURN, /* there is no such turn to continue */
	MU_BEGIN_NOT_BEGUN, /* the program has had no turn yet */
	MU_BEGIN_UNAVAILABLE /* cannot tell now */
};

typedef void (*mu_turn_start_fn)(void *arg, enum mu_begin_status status);

struct mu_accounts_conf {
	uint64_t incarnation; /* of this daemon */
	void *arg;
	/* Whether another daemon's incarnation is known to live. */
	bool (*alive)(void *arg, uint64_t incarnation);
	/* done is called once, maybe from within; a guarantor that cannot be
	 * reached gives nothing. */
	void (*request_loan)(void *arg, const struct mu_loan_request *q,
	    mu_loan_fn fn, void *fn_arg);
};

struct mu_reserve_request {
	const char *program;
	const char *turn;
	uint64_t budget; /* tokens, of the whole program */
	uint64_t max_tokens; /* that the turn may use */
	bool started_only; /* not for a program that has had no turn yet */
	mu_us deadline;
};

/* Where the cache of an endpoint holds the start of a prompt. */
struct mu_cached {
	char endpoint[MU_NAME_LEN]; /* empty: not known */
	uint64_t held; /* tokens */
};

struct mu_accounts *mu_accounts_new(struct mu_loop *l, struct mu_store *s,
    struct mu_reaper *reaper, const struct mu_accounts_conf *conf);
void mu_accounts_free(struct mu_accounts *a);
/* Reserves; fn may be called from within this function. */
void mu_accounts_reserve(struct mu_accounts *a,
    const struct mu_reserve_request *r, mu_turn_start_fn fn, void *arg);
/* Tokens reserved for a turn, which must not use more: fewer than it asked for
 * when the program's row could not be asked; 0: it has no reservation. */
uint64_t mu_accounts_reserved(
    struct mu_accounts *a, const char *program, const char *turn);
/* Ends a reservation, or the wait for it. */
void mu_accounts_settle(struct mu_accounts *a, const char *program,
    const char *turn, uint64_t used);
/* An endpoint's cache holds a prompt that ends with part. */
void mu_accounts_set_cached(struct mu_accounts *a, const char *program,
    const char *segment, const struct mu_cached *where);
/* Finds the first of parts that an endpoint holds. */
void mu_accounts_find_cached(struct mu_accounts *a, const char *program,
    char *const *segments, size_t n, struct mu_cached *out);
/* This daemon leaves: budgets are given back as turns end. */
void mu_accounts_leave(struct mu_accounts *a);

#endif
