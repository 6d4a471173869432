/*
 * history_private.h -- turns that have ended, as the modules that keep, write
 * and read them share it: history.c, historywrite.c, historyread.c.
 */
#ifndef MU_HISTORY_PRIVATE_H
#define MU_HISTORY_PRIVATE_H

#include <urcu/list.h>

#include "history.h"
#include "hmap.h"

#define MU_HISTORY_TABLE "turns"
#define MU_HISTORY_PARTITIONS \
	16 /* the platform runs 200 writes a second in a part */
/* Parts that a record may lie in: when four in ten are down, one in sixteen
 * records has none left. */
#define MU_HISTORY_CANDIDATES 3
#define MU_HISTORY_KEY_BYTES 256

/* Records on their way to one part of the table. */
struct mu_history_partition {
	struct mu_history *h;
	char name[8];
	struct cds_list_head queued;
	struct cds_list_head in_flight;
	bool write_in_progress;
};

struct mu_history {
	struct mu_loop *loop;
	struct mu_store *store;
	struct mu_hmap turns;
	struct cds_list_head by_age;
	size_t bytes;
	size_t max_bytes;
	struct mu_history_partition partitions[MU_HISTORY_PARTITIONS];
	struct cds_list_head commits; /* records without an answer */
	struct mu_timer
	    recheck_timer; /* at commits whose part does not answer */
	unsigned pending;
	struct mu_reaper *reaper;
};

/* The part that is the record's place number `place`. */
struct mu_history_partition *mu_history_candidate(
    struct mu_history *h, const char *turn, unsigned candidate);
/* Whether the part failed lately while others answered. */
bool mu_history_partition_suspect(struct mu_history_partition *p);

/* historywrite.c */
void mu_history_write_init(struct mu_history *h);
void mu_history_write_fini(struct mu_history *h);

#endif
