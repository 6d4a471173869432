/*
 * home.h -- where a program's budget and recent history are kept in memory.
 *
 * Each program has a home among the daemons of a failure domain, chosen by
 * rendezvous hashing.  Any daemon can do the home's work, since budgets are
 * drawn by conditional writes; the home only saves store calls.  So when the
 * home cannot be reached, the daemon that asks does it itself, at once.
 */
#ifndef MU_HOME_H
#define MU_HOME_H

#include "account.h"
#include "history.h"
#include "mesh.h"

struct mu_home;
struct mu_loans;

struct mu_begin {
	const char *program; /* empty: no budget */
	uint64_t budget;
	uint64_t most;
	const char *turn;
	const char *previous; /* NULL: none */
	char *const *parts; /* of the prompt, the last one first */
	size_t nparts;
	bool only_begun; /* not for a program that has had no turn yet */
	mu_us keep; /* of records read */
	mu_us deadline;
};

/* A reservation, to be settled once. */
struct mu_grant {
	bool held;
	bool remote;
	char host[MU_NAME_LEN];
	uint64_t incarnation; /* of the home that gave it */
	uint64_t tokens; /* reserved, the turn must not use more; 0: not told,
			    as by a home of an older release */
	struct mu_cached cached; /* where the prompt's start is cached */
};

/* How a turn ended. */
struct mu_settlement {
	const char *program;
	const char *turn;
	uint64_t used; /* tokens */
	const Mu__TurnRecord *rec; /* when it is one of the history */
	const char *part; /* last of its prompt; NULL: not cached */
	struct mu_cached cached; /* where it is cached now */
};

struct mu_home_conf {
	const char *host;
	const char *domain;
	uint64_t incarnation;
	struct mu_loans *loans;
};

struct mu_home *
mu_home_new(struct mu_loop *l, struct mu_store *s, struct mu_reaper *reaper,
    struct mu_mesh *m, struct mu_history *h, const struct mu_home_conf *conf);
void mu_home_free(struct mu_home *h);

/*
 * Reserves the turn's budget and brings its history into memory.  *grant must
 * stay until fn, which is not called from within this function unless nothing
 * has to be waited for.
 */
void mu_home_begin(struct mu_home *h, const struct mu_begin *b,
    struct mu_grant *grant, mu_turn_start_fn fn, void *arg);
void mu_home_settle(
    struct mu_home *h, struct mu_grant *grant, const struct mu_settlement *s);
/* This daemon leaves: budget that it holds is given back as turns end. */
void mu_home_leave(struct mu_home *h);

/* Frames of other daemons. */
void mu_home_on_begin(
    struct mu_home *h, struct mu_mesh_link *from, const Mu__Begin *b);
void mu_home_on_settle(struct mu_home *h, const Mu__Settle *s);

#endif
