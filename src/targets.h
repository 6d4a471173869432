/*
 * targets.h -- endpoints of the serving path and their state as known to this
 * daemon, grouped by service.
 */
#ifndef MU_TARGETS_H
#define MU_TARGETS_H

#include <urcu/list.h>

#include "choose.h"
#include "crashes.h"
#include "eject.h"
#include "hmap.h"
#include "loadest.h"
#include "pace.h"
#include "routes.h"
#include "upstream.h"

/* An endpoint as described by its entry in the store. */
struct mu_target_info {
	char name[MU_NAME_LEN]; /* of the endpoint */
	char service[MU_NAME_LEN];
	char addr[MU_ADDR_LEN];
	char domain[MU_NAME_LEN];
	uint32_t slots;
	bool leaving;
	int64_t born; /* start time of this instance; 0: unknown */
	int64_t sequence; /* increases with each entry of one instance */
};

struct mu_group;

/* Aborted attempts remembered for each endpoint: about as many as one daemon
 * has there at a time. */
#define MU_ABORTED_MAX 32

struct mu_target {
	struct mu_targets *owner;
	struct mu_hnode node; /* by name */
	struct cds_list_head in_group;
	struct mu_group *group;
	struct mu_target_info info;
	bool listed;
	bool in_new_list; /* named by the list being read */
	bool reported_leaving; /* by an answer to this daemon */
	mu_us peer_leaving_until; /* leaving until then by peers' reports */
	bool lapsed; /* its entry is missing, see mu_targets_keep_lapsed() */
	struct mu_up_pool *pool;
	uint32_t sent; /* requests of this daemon in progress there */
	uint32_t peer_requests; /* of peers, by their heartbeats */
	struct mu_loadest_report load; /* by its last answer */
	struct mu_health health;
	struct mu_pace pace;
	mu_us full_until; /* backed off after it refused a request */
	mu_us down_until; /* backed off after it was unreachable */
	mu_us peer_down_until; /* unreachable until then by peers' reports */
	mu_us suspect_until; /* cleared when it answers */
	mu_us unreachable_at; /* last time it was unreachable */
	unsigned unreachable_count; /* times in short succession */
	/* Requests that the endpoint aborted; they may have crashed it. */
	struct mu_crash_attempt aborted[MU_ABORTED_MAX];
	unsigned next_aborted;
};

/* The endpoints of one service and the requests queued for them. */
struct mu_group {
	struct mu_hnode node; /* by the service's name */
	char name[MU_NAME_LEN];
	struct cds_list_head targets;
	struct cds_list_head waiting; /* struct mu_call, in sending order */
	uint32_t nwaiting;
	enum mu_loadest_kind load_estimate;
	struct mu_loadest_mean mean_load;
	mu_us call_time; /* smoothed average duration of a call */
	struct mu_pace pace;
	mu_us first_byte_time; /* smoothed average time to first byte */
	bool retrying; /* mu_call_retry_waiting() is running */
	struct mu_timer recheck; /* of the queued calls */
};

/* An instance that reported in an answer that it is leaving. */
struct mu_departed {
	char name[MU_NAME_LEN];
	int64_t born;
};

/* Instances remembered after their entries are removed.  More than leave within
 * the time in which a stale entry may reappear. */
#define MU_DEPARTED_MAX 64

struct mu_targets {
	struct mu_loop *loop;
	struct mu_crashes *crashes; /* gets the evidence; may be NULL */
	char domain[MU_NAME_LEN]; /* of this daemon */
	struct mu_hmap by_name;
	struct mu_hmap groups;
	uint64_t rng;
	mu_us keep_lapsed_until;
	struct mu_timer keep_lapsed_timer; /* at keep_lapsed_until */
	struct mu_departed departed[MU_DEPARTED_MAX];
	unsigned next_departed;
};

extern const struct mu_eject_conf mu_targets_eject_conf;

int mu_targets_init(
    struct mu_targets *t, struct mu_loop *l, const char *domain, uint64_t seed);
void mu_targets_clear(struct mu_targets *t);
struct mu_group *mu_targets_group(struct mu_targets *t, const char *service);
/* Adds or updates an endpoint from its entry. */
void mu_targets_learn(struct mu_targets *t, const struct mu_target_info *info);
/* The endpoint's entry was removed. */
void mu_targets_remove(struct mu_targets *t, const char *name);
/* Entries that disappear before `until` may only have lapsed during a store
 * outage.  Their endpoints are kept, and removed at `until` if they have no
 * entry by then. */
void mu_targets_keep_lapsed(struct mu_targets *t, mu_us until);
/* Bracket the reading of a whole list: endpoints that are not learned in
 * between are removed. */
void mu_targets_list_begin(struct mu_targets *t);
void mu_targets_list_end(struct mu_targets *t);
/* Frees an endpoint that is not listed and has no request in progress. */
void mu_target_release(struct mu_targets *t, struct mu_target *x);

/* Fills c with the candidates for mu_choose() and targets with their endpoints,
 * in the same order; returns their number. */
uint32_t mu_group_view(const struct mu_targets *t, const struct mu_group *g,
    struct mu_candidate *c, struct mu_target **targets);
/* The endpoint reported in an answer that it is leaving.  It gets no new
 * request, whatever its entry says, until the instance is listed as leaving and
 * then as ready, or is replaced. */
void mu_target_reported_leaving(struct mu_target *x);
/* A peer reports that this instance of the endpoint is leaving. */
void mu_targets_peer_reported_leaving(
    struct mu_targets *t, const char *name, int64_t born);
/* A peer's requests at an endpoint changed from `before` to `now`, and it backs
 * off from the endpoint for another down_ms; 0: not at all. */
void mu_targets_peer_report(struct mu_targets *t, const char *name,
    uint32_t before, uint32_t now, uint32_t down_ms);
/* The endpoint aborted a request, which may have crashed it: opens a connection
 * to find out. */
void mu_target_aborted(
    struct mu_target *x, const struct mu_crash_attempt *a, mu_us now);
/* No connection could be established: backs off, and counts a crash for each
 * request that the endpoint aborted just before. */
void mu_target_connect_failed(struct mu_target *x, mu_us now);
/* The endpoint is unreachable: backs off.  False if it was backing off. */
bool mu_target_unreachable(struct mu_target *x, mu_us now);
/* Requests in progress and queued per concurrency slot of the group; above 1
 * when there are more requests than slots, 0 when there are no slots. */
double
mu_group_utilization(const struct mu_targets *t, const struct mu_group *g);
/* The endpoint reported its load and capacity in an answer. */
void mu_target_load_reported(struct mu_target *x, mu_us now, uint32_t running,
    uint32_t waiting, uint32_t slots);
/* Records the time of a chunk: an event of a stream, or a whole answer. */
void
mu_target_chunk_time(struct mu_targets *t, struct mu_target *x, mu_us took);
/* Records the result of a request.  took: time per chunk; 0 when unknown. */
void mu_target_request_ended(struct mu_targets *t, struct mu_target *x,
    enum mu_health_result result, mu_us took);

#endif
