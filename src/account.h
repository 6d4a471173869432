/*
 * account.h -- the programs known to one daemon: for each, its token budget
 * and the endpoints that cache its prompts.
 *
 * A turn reserves the tokens that it may use before it runs and settles the
 * reservation with what it used.
 */
#ifndef MU_ACCOUNT_H
#define MU_ACCOUNT_H

#include "guarantor.h"
#include "reaper.h"
#include "store.h"

struct mu_accounts;

enum mu_turn_start_status {
	MU_START_OK,
	MU_START_BUDGET_EXHAUSTED, /* the budget is too small for the turn */
	MU_START_NO_SUCH_TURN, /* the turn to continue does not exist */
	MU_START_NEW_PROGRAM, /* new program, not admitted now */
	MU_START_UNAVAILABLE /* cannot be decided now */
};

typedef void (*mu_turn_start_fn)(void *arg, enum mu_turn_start_status status);

struct mu_accounts_conf {
	uint64_t incarnation; /* of this daemon's process */
	void *arg;
	/* Whether the daemon with this incarnation is up. */
	bool (*alive)(void *arg, uint64_t incarnation);
	/* Requests a loan, or a release, from the program's guarantor. fn is
	 * called exactly once, possibly before this returns; an unreachable
	 * guarantor gives nothing. */
	void (*request_loan)(void *arg, const struct mu_loan_request *q,
	    mu_loan_fn fn, void *fn_arg);
};

struct mu_reserve_request {
	const char *program;
	const char *turn;
	uint64_t budget; /* tokens, of the whole program */
	uint64_t max_tokens; /* that the turn may use */
	bool started_only; /* reject programs of which no turn was answered */
	mu_us deadline;
};

/* The endpoint that caches the start of a prompt. */
struct mu_cache_location {
	char endpoint[MU_NAME_LEN]; /* empty: unknown */
	uint64_t held; /* prompt tokens cached there */
};

struct mu_accounts *mu_accounts_new(struct mu_loop *l, struct mu_store *s,
    struct mu_reaper *reaper, const struct mu_accounts_conf *conf);
void mu_accounts_free(struct mu_accounts *a);
/* Reserves tokens for a turn; fn may be called before this returns. */
void mu_accounts_reserve(struct mu_accounts *a,
    const struct mu_reserve_request *r, mu_turn_start_fn fn, void *arg);
/* Tokens reserved for a turn, which must not use more.  Fewer than requested
 * if the program's row was unavailable; 0: no reservation. */
uint64_t mu_accounts_reserved(
    struct mu_accounts *a, const char *program, const char *turn);
/* Whether no turn of the program has started at this daemon before; true only
 * in the first call for a program. */
bool mu_accounts_first_turn(struct mu_accounts *a, const char *program);
/* Ends a reservation, or cancels a pending one. */
void mu_accounts_settle(struct mu_accounts *a, const char *program,
    const char *turn, uint64_t used);
/* Records which endpoint caches the prompt that ends with this segment. */
void mu_accounts_set_cached(struct mu_accounts *a, const char *program,
    const char *segment, const struct mu_cache_location *where);
/* Finds the location of the first of the segments that is known to be cached.
 */
void mu_accounts_find_cached(struct mu_accounts *a, const char *program,
    char *const *segments, size_t n, struct mu_cache_location *out);
/* The daemon shuts down: unused budget is returned as turns end. */
void mu_accounts_drain(struct mu_accounts *a);
/* Whether no turn holds or awaits a reservation, of other daemons' turns too,
 * and no budget is left to be returned. */
bool mu_accounts_settled(const struct mu_accounts *a);

#endif
