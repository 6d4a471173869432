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
#define MU_ACCOUNT_PARTITIONS \
	16 /* the platform runs 200 writes a second in a part */
#define MU_ACCOUNT_SEGMENTS \
	16 /* lines of one program whose caches are remembered */
#define MU_ACCOUNT_SEGMENT_LEN 32 /* bytes of a prompt part's name */

/* Where the prompt of one line of turns is cached. */
struct cached_segment {
	char segment[MU_ACCOUNT_SEGMENT_LEN];
	struct mu_cached location;
};

/* What the guarantor refused to the turn that waits first. */
enum mu_guarantor_refusal {
	MU_REFUSED_NOTHING,
	MU_REFUSED_LOAN,
	MU_REFUSED_RELEASE
};

/* A draw from the row, or a return to it. */
struct mu_account_write {
	uint64_t number; /* of this daemon's writes of this row; 0: none */
	uint64_t amount;
	bool returning;
};

struct program {
	struct mu_hnode node;
	struct mu_accounts *accounts;
	char id[MU_STORE_KEY + 1];
	struct mu_ledger ledger;
	uint64_t ver; /* of the row; 0: not known to exist */
	uint64_t last_write; /* number of the newest one */
	struct mu_account_write write; /* in progress */
	struct mu_account_write unresolved; /* the one without an answer */
	uint64_t loan_amount; /* asked of the guarantor; 0: its release */
	enum mu_guarantor_refusal guarantor_refused;
	bool request_in_flight; /* or giving back, or asking the guarantor */
	bool row_current; /* the row was read or written for those who wait now
			   */
	uint64_t writer; /* incarnation that wrote the row last... */
	uint64_t row_draw; /* ...and the number of its draw or return */
	mu_us used_at;
	struct mu_timer return_timer;
	struct mu_timer
	    deadline_timer; /* the first deadline of those who wait */
	struct cds_list_head waiters; /* turns that wait for a reservation */
	struct cds_list_head reservations; /* turns that have one */
	bool started; /* a turn of it has been served */
	struct cached_segment cached[MU_ACCOUNT_SEGMENTS];
	unsigned next_cached;
	struct cds_list_head all;
};

/* A turn that waits for its reservation or has it. */
struct reservation {
	struct cds_list_head node;
	char turn[MU_STORE_KEY + 1];
	uint64_t tokens; /* tokens to be reserved, or reserved */
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

/* The row's index among the parts of the table. */
static inline const char *
mu_account_partition(const struct program *p)
{
	return p->accounts->partition[mu_hash(p->id) % MU_ACCOUNT_PARTITIONS];
}

/* accountrow.c */

/* Draws amount, or settles a write without an answer instead; the turns that
 * wait are served again when that has ended. */
void mu_account_draw(struct program *p, uint64_t amount, mu_us deadline);
/* Reads the row: others may have given back since.  Not while a write is
 * without an answer. */
void mu_account_reread(struct program *p, mu_us deadline);
/* Plans to give back what is not used, unless turns are in progress. */
void mu_account_schedule_return(struct program *p);
/* The pause timer of a program. */
void mu_account_on_return_timer(void *arg);

/* account.c */

/* Answers those who wait, in order, while the budget drawn so far lasts. */
void mu_account_serve(struct program *p);
/* Answers all that wait with UNAVAILABLE. */
void mu_account_fail_waiters(struct program *p);
/* The same for those whose time is over. */
void mu_account_fail_expired(struct program *p);

#endif
