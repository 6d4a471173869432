/*
 * reach.h -- which parts of the store answer this daemon, and which way an
 * operation goes.
 *
 * Pure: results of attempts and a time go in, a way comes out.
 */
#ifndef MU_REACH_H
#define MU_REACH_H

#include <urcu/list.h>

#include "musher.h"

/* Least and longest wait for one attempt, ms: ten times a transaction of the
 * platform; a caller's patience. */
#define MU_STORE_TIMEOUT_MIN_MS 50
#define MU_STORE_TIMEOUT_MAX_MS 2000

/* What is believed of all parts together. */
struct mu_store_paths {
	struct cds_list_head partitions;
	mu_us rtt; /* smoothed time of a direct answer */
	bool ever_answered; /* ever */
};

/* One part of a table. */
struct mu_partition_path {
	struct cds_list_head node; /* in the reach */
	struct mu_store_paths *paths;
	unsigned direct_failures; /* of direct attempts, in a row */
	unsigned relay_failures; /* of relayed attempts, in a row */
	unsigned timeouts; /* direct attempts without an answer, in a row */
	unsigned direct_running; /* direct attempts in progress */
	mu_us direct_answered_at; /* last direct answer; 0: never */
	mu_us direct_failed_at; /* last direct failure; 0: never */
	mu_us direct_retry_at; /* the direct way is tried again from then on */
};

enum mu_path_kind {
	MU_PATH_DIRECT,
	MU_PATH_RELAY, /* through a peer */
	MU_PATH_NONE /* nobody is answered: wait for the part to come back */
};

void mu_store_paths_init(struct mu_store_paths *s);
void mu_path_init(struct mu_partition_path *p, struct mu_store_paths *s);
void mu_path_fini(struct mu_partition_path *p);

/* A direct attempt begins. */
void mu_path_direct_begin(struct mu_partition_path *p, mu_us now);
/* It ended; took: 0 when it says nothing of the usual time. */
void
mu_path_direct_answered(struct mu_partition_path *p, mu_us now, mu_us took);
void mu_path_direct_failed(struct mu_partition_path *p, mu_us now);
/* A direct attempt has had no answer for longer than usual. */
void mu_path_direct_timed_out(struct mu_partition_path *p, mu_us now);
/* A relayed attempt ended. */
void mu_path_relay_end(struct mu_partition_path *p, bool answered);

/* Whether the store as a whole does not answer this daemon: far more of the
 * parts asked lately failed than answered. */
bool
mu_store_paths_direct_unavailable(const struct mu_store_paths *s, mu_us now);
/* Whether a part fails while others answer. */
bool mu_path_partition_suspect(const struct mu_partition_path *p, mu_us now);
/* The way of the next attempt.  relay: a peer says that the store answers it.
 */
enum mu_path_kind
mu_path_choose(const struct mu_partition_path *p, mu_us now, bool relay);
/* How long to wait for an attempt before the next one follows. */
uint32_t
mu_path_timeout_ms(const struct mu_partition_path *p, mu_us now, bool relay);

/* The same from figures: rtt is the smoothed time of an answer, misses the
 * attempts without one since the last answer. */
uint32_t mu_store_timeout_ms(mu_us rtt, unsigned timeouts);

#endif
