/*
 * history_private.h -- state shared by the modules that cache (history.c),
 * write (historywrite.c) and read (historyread.c) the records of turns.
 */
#ifndef MU_HISTORY_PRIVATE_H
#define MU_HISTORY_PRIVATE_H

#include <urcu/list.h>

#include "history.h"
#include "hmap.h"

#define MU_HISTORY_TABLE "turns"
/* The platform allows 200 writes per second in a partition, so records are
 * spread over several. */
#define MU_HISTORY_PARTITIONS 16
/* Candidate partitions of a record.  With four in ten partitions unavailable,
 * one record in sixteen has no candidate left. */
#define MU_HISTORY_CANDIDATES 3
#define MU_HISTORY_KEY_BYTES 256

/* Writes to one partition of the table, at most one in flight. */
struct mu_history_partition {
	struct mu_history *h;
	char name[8];
	struct cds_list_head queued; /* struct partition_write */
	struct cds_list_head in_flight; /* those of the write in progress */
	bool write_in_progress;
};

struct mu_history {
	struct mu_loop *loop;
	struct mu_store *store;
	struct mu_hmap turns; /* struct cached_turn */
	/* struct cached_turn, from the one added or refreshed longest ago */
	struct cds_list_head by_age;
	size_t bytes; /* of the cached turns */
	size_t max_bytes;
	struct mu_history_partition partitions[MU_HISTORY_PARTITIONS];
	struct cds_list_head commits; /* in progress */
	struct mu_timer recheck_timer; /* of commits to suspect partitions */
	unsigned pending; /* number of commits */
	struct mu_reaper *reaper;
};

/* A candidate partition of the turn's record; candidate 0 is preferred. */
struct mu_history_partition *mu_history_candidate(
    struct mu_history *h, const char *turn, unsigned candidate);
/* Whether the partition failed recently while others answered. */
bool mu_history_partition_suspect(struct mu_history_partition *p);

/* Keeps a cached turn for the retention time from now; false if it is not
 * cached. */
bool
mu_history_refresh(struct mu_history *h, const char *turn, mu_us retention);

/* historywrite.c */
void mu_history_write_init(struct mu_history *h);
void mu_history_write_fini(struct mu_history *h);

#endif
