/*
 * account_private.h -- a program at one daemon, shared by account.c, which
 * serves its turns, and accountrow.c, which draws from its row.
 */
#ifndef MU_ACCOUNT_PRIVATE_H
#define MU_ACCOUNT_PRIVATE_H

#include <urcu/list.h>

#include "account.h"
#include "hmap.h"
#include "ledger.h"

#define MU_ACCOUNT_TABLE "budgets"
/* The platform takes 200 writes a second in one partition. */
#define MU_ACCOUNT_PARTITIONS 16
/* Chains of turns of one program whose cache location is kept. */
#define MU_ACCOUNT_SEGMENTS 16
#define MU_ACCOUNT_SEGMENT_LEN 32 /* bytes of a prompt segment's name */

/* The cache location of the prompt of one chain of turns, under the name of
 * the prompt's last segment. */
struct cached_segment {
	char segment[MU_ACCOUNT_SEGMENT_LEN];
	struct mu_cache_location location;
};

/* What the guarantor refused to the first waiting turn. */
enum mu_guarantor_refusal {
	MU_REFUSED_NOTHING,
	MU_REFUSED_LOAN,
	MU_REFUSED_RELEASE
};

/* A draw from the row, or a return to it. */
struct mu_account_write {
	uint64_t number; /* counts this daemon's writes of the row; 0: none */
	uint64_t amount;
	bool returning; /* a return, not a draw */
};

struct program {
	struct mu_hnode node;
	struct mu_accounts *accounts;
	char id[MU_STORE_KEY_BYTES + 1];
	struct mu_ledger ledger;
	uint64_t ver; /* of the row; 0: the row is not known to exist */
	uint64_t last_write; /* number of the newest write */
	struct mu_account_write write; /* in progress */
	struct mu_account_write unresolved; /* had no answer */
	uint64_t loan_amount; /* requested from the guarantor; 0: its release */
	enum mu_guarantor_refusal guarantor_refused;
	bool request_in_flight; /* to the store or the guarantor */
	bool row_current; /* read or written for the turns waiting now */
	uint64_t writer; /* incarnation that wrote the row last */
	uint64_t row_draw; /* the writer's number of that draw or return */
	mu_us used_at;
	struct mu_timer return_timer; /* returns unused tokens */
	struct mu_timer deadline_timer; /* earliest deadline of the waiters */
	struct cds_list_head waiters; /* turns waiting for a reservation */
	struct cds_list_head reservations; /* turns holding a reservation */
	bool seen; /* mu_accounts_first_turn() was called */
	bool started; /* at least one of its turns was answered */
	struct cached_segment cached[MU_ACCOUNT_SEGMENTS];
	unsigned next_cached;
	struct cds_list_head all;
};

/* A turn that waits for its reservation or holds it. */
struct reservation {
	struct cds_list_head node;
	char turn[MU_STORE_KEY_BYTES + 1];
	uint64_t tokens; /* to be reserved, or reserved */
	mu_us deadline;
	mu_turn_start_fn fn;
	void *arg;
};

struct mu_accounts {
	struct mu_loop *loop;
	struct mu_store *store;
	struct mu_reaper *reaper;
	struct mu_accounts_conf conf;
	struct mu_hmap programs;
	struct cds_list_head all;
	char partition[MU_ACCOUNT_PARTITIONS][8];
	struct mu_timer sweep;
	bool leaving;
};

/* The partition of the table that stores the program's row. */
static inline const char *
mu_account_partition(const struct program *p)
{
	return p->accounts->partition[mu_hash(p->id) % MU_ACCOUNT_PARTITIONS];
}

/* accountrow.c */

/* Draws amount.  If an earlier write had no answer, repeats that write
 * instead.  When the write has ended, the waiting turns are served again. */
void mu_account_draw(struct program *p, uint64_t amount, mu_us deadline);
/* Rereads the row, as other daemons may have returned tokens.  Must not be
 * called while a write is unresolved. */
void mu_account_reread(struct program *p, mu_us deadline);
/* Schedules the return of unused tokens, unless turns are in progress and the
 * daemon stays. */
void mu_account_schedule_return(struct program *p);
/* Callback of return_timer: returns unused tokens. */
void mu_account_on_return_timer(void *arg);

/* account.c */

/* Serves the waiting turns in order, while the budget drawn so far lasts. */
void mu_account_serve(struct program *p);
/* Fails all waiting turns with UNAVAILABLE. */
void mu_account_fail_waiters(struct program *p);
/* Fails the waiting turns whose deadline has passed. */
void mu_account_fail_expired(struct program *p);

#endif
