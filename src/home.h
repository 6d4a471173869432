/*
 * home.h -- where a program's budget and recent history are kept in memory.
 *
 * Each program has a home among the daemons of a failure domain, chosen by
 * rendezvous hashing.  Any daemon can do the home's work, since the budget is
 * drawn by conditional writes; the home only saves store calls.  So when the
 * home cannot be reached, the daemon that asks does it itself, at once.
 */
#ifndef MU_HOME_H
#define MU_HOME_H

#include "history.h"
#include "mesh.h"

struct mu_home;

enum mu_begin_status {
	MU_BEGIN_OK,
	MU_BEGIN_EXHAUSTED, /* the budget does not hold the turn */
	MU_BEGIN_NO_TURN, /* there is no such turn to continue */
	MU_BEGIN_UNAVAILABLE
};

struct mu_begin {
	const char *program; /* empty: no budget */
	uint64_t budget;
	uint64_t most;
	const char *turn;
	const char *previous; /* NULL: none */
	mu_us keep; /* of records read */
	mu_us deadline;
};

/* A reservation, to be settled once. */
struct mu_grant {
	bool held;
	bool remote;
	char host[MU_NAME_LEN];
	uint64_t incarnation; /* of the home that gave it */
};

typedef void (*mu_begin_fn)(void *arg, enum mu_begin_status status);

struct mu_home_conf {
	const char *host;
	const char *domain;
	uint64_t incarnation;
};

struct mu_home *
mu_home_new(struct mu_loop *l, struct mu_store *s, struct mu_reaper *reaper,
    struct mu_mesh *m, struct mu_history *h, const struct mu_home_conf *conf);
void mu_home_free(struct mu_home *h);

/*
 * Reserves the turn's budget and brings its history into memory.  *grant must
 * stay until fn, which is never called from within this function unless
 * nothing has to be waited for.
 */
void mu_home_begin(struct mu_home *h, const struct mu_begin *b,
    struct mu_grant *grant, mu_begin_fn fn, void *arg);
/* Ends a turn: tokens used, and its record if it is one of the history. */
void
mu_home_settle(struct mu_home *h, struct mu_grant *grant, const char *program,
    const char *turn, uint64_t used, const Mu__TurnRecord *rec);

/* This daemon leaves: budget that it holds is given back as turns end. */
void mu_home_leave(struct mu_home *h);

/* Frames of other daemons. */
void mu_home_on_begin(
    struct mu_home *h, struct mu_mesh_link *from, const Mu__Begin *b);
void mu_home_on_settle(struct mu_home *h, const Mu__Settle *s);

/* Rendezvous hashing: weight of a host for a key; the highest wins. */
uint64_t mu_home_weight(const char *host, const char *key);

#endif
