/*
 * home.h -- keeps the budget and recent history of programs in memory.
 *
 * Each program has a home, a daemon of the failure domain chosen by rendezvous
 * hashing.  The home only saves calls to the store: budget is drawn by
 * conditional writes, so any daemon can do its work.  A daemon that cannot
 * reach the home does the work itself at once.
 */
#ifndef MU_HOME_H
#define MU_HOME_H

#include "account.h"
#include "history.h"
#include "mesh.h"

struct mu_home;
struct mu_loans;

/* A turn to start. */
struct mu_turn_start {
	const char *program; /* empty: no budget */
	uint64_t budget; /* tokens, of the whole program */
	uint64_t most; /* tokens that the turn may use */
	const char *turn;
	const char *previous; /* turn that it continues; NULL: none */
	char *const *parts; /* prompt segments, the last one first */
	size_t nparts;
	bool only_begun; /* reject programs of which no turn was answered */
	mu_us keep; /* how long to keep history records that are read */
	mu_us deadline;
};

/* A reservation, which must be settled exactly once. */
struct mu_turn_reservation {
	bool held; /* reserved and not settled yet */
	bool remote; /* reserved at the home, not at this daemon */
	char host[MU_NAME_LEN]; /* of the home */
	uint64_t incarnation; /* of the daemon that reserved */
	bool first_turn; /* of the program, as far as its home knows */
	uint64_t tokens; /* reserved, the turn must not use more; 0: not
			    reported, as by a home of an older release */
	struct mu_cache_location cached; /* of the start of the prompt */
};

/* How a turn ended. */
struct mu_settlement {
	const char *program;
	const char *turn;
	uint64_t used; /* tokens generated */
	const Mu__TurnRecord *rec; /* record for the history; NULL: none */
	const char *part; /* last prompt segment; NULL: not cached */
	struct mu_cache_location cached; /* where the prompt is cached now */
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
 * Reserves the turn's budget and loads its history into memory. *grant must
 * stay valid until fn is called.  That happens before this function returns
 * only if nothing has to be waited for.
 */
void mu_home_start_turn(struct mu_home *h, const struct mu_turn_start *b,
    struct mu_turn_reservation *grant, mu_turn_start_fn fn, void *arg);
void mu_home_settle(struct mu_home *h, struct mu_turn_reservation *grant,
    const struct mu_settlement *s);
/* The daemon shuts down: unused budget is returned as turns end. */
void mu_home_drain(struct mu_home *h);
/* Whether all turns that reserved here have ended and their budget is returned.
 */
bool mu_home_settled(const struct mu_home *h);

/* Handle Begin and Settle frames of other daemons. */
void mu_home_on_begin(
    struct mu_home *h, struct mu_mesh_link *from, const Mu__Begin *b);
void mu_home_on_settle(struct mu_home *h, const Mu__Settle *s);

#endif
