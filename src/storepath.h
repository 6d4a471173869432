/*
 * storepath.h -- chooses the path of operations on the table store: directly,
 * or relayed through a peer.
 *
 * Each partition of a table has its own state.  These functions do no I/O:
 * the results of attempts and the time are passed in.
 */
#ifndef MU_STOREPATH_H
#define MU_STOREPATH_H

#include <urcu/list.h>

#include "musher.h"

/* Bounds of the timeout of an attempt: ten times the duration of a transaction
 * on the platform, and the longest delay that callers accept. */
#define MU_STORE_TIMEOUT_MIN_MS 50
#define MU_STORE_TIMEOUT_MAX_MS 2000

/* State shared by all partitions. */
struct mu_store_paths {
	struct cds_list_head partitions;
	mu_us rtt; /* smoothed round-trip time of direct attempts */
	bool ever_answered; /* by any direct attempt */
};

/* State of the paths to one partition. */
struct mu_partition_path {
	struct cds_list_head node; /* in paths->partitions */
	struct mu_store_paths *paths;
	unsigned direct_failures; /* consecutive */
	unsigned relay_failures; /* consecutive */
	unsigned timeouts; /* consecutive, of direct attempts */
	unsigned direct_running; /* direct attempts in progress */
	mu_us direct_answered_at; /* 0: never */
	mu_us direct_failed_at; /* 0: never */
	/* While operations are relayed, the time of the next direct one. */
	mu_us direct_retry_at;
};

enum mu_path_kind {
	MU_PATH_DIRECT,
	MU_PATH_RELAY, /* through a peer */
	MU_PATH_NONE /* neither answers: wait until the partition recovers */
};

void mu_store_paths_init(struct mu_store_paths *s);
void mu_path_init(struct mu_partition_path *p, struct mu_store_paths *s);
void mu_path_fini(struct mu_partition_path *p);

/* A direct attempt begins. */
void mu_path_direct_begin(struct mu_partition_path *p, mu_us now);
/* It was answered.  took: its round-trip time; 0 if not a valid sample. */
void
mu_path_direct_answered(struct mu_partition_path *p, mu_us now, mu_us took);
void mu_path_direct_failed(struct mu_partition_path *p, mu_us now);
/* The timeout of a direct attempt expired; it is still in progress. */
void mu_path_direct_timed_out(struct mu_partition_path *p, mu_us now);
/* A relayed attempt ended or timed out. */
void mu_path_relay_end(struct mu_partition_path *p, bool answered);

/* Whether the store as a whole does not answer this daemon directly: more than
 * twice as many partitions failed as answered recently. */
bool
mu_store_paths_direct_unavailable(const struct mu_store_paths *s, mu_us now);
/* Whether the partition fails while others answer. */
bool mu_path_partition_suspect(const struct mu_partition_path *p, mu_us now);
/* Chooses the path of the next attempt.  relay: a peer reports that the store
 * answers it. */
enum mu_path_kind
mu_path_choose(const struct mu_partition_path *p, mu_us now, bool relay);
/* Timeout of an attempt, after which the operation is sent again. */
uint32_t
mu_path_timeout_ms(const struct mu_partition_path *p, mu_us now, bool relay);

/* The same, computed from the smoothed round-trip time and the number of
 * timeouts since the last answer. */
uint32_t mu_store_timeout_ms(mu_us rtt, unsigned timeouts);

#endif
