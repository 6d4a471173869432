/*
 * targets.h -- endpoints of the serving path and what is believed of them.
 */
#ifndef MU_TARGETS_H
#define MU_TARGETS_H

#include <urcu/list.h>

#include "choose.h"
#include "eject.h"
#include "hmap.h"
#include "pace.h"
#include "routes.h"
#include "upstream.h"

/* An endpoint as it describes itself in the store. */
struct mu_target_info {
	char name[MU_NAME_LEN]; /* of this instance */
	char service[MU_NAME_LEN];
	char addr[MU_ADDR_LEN];
	char domain[MU_NAME_LEN];
	uint32_t slots;
	bool leaving;
	int64_t born; /* start of the instance; 0: unknown */
	int64_t sequence; /* rises with each entry of one instance */
};

struct mu_group;

/* Requests lost at an endpoint shortly before it was found dead. */
#define MU_LOST_MAX 16
struct mu_lost_request {
	uint64_t fingerprint;
	mu_us at;
};

struct mu_target {
	struct mu_hnode node; /* by name */
	struct cds_list_head in_group;
	struct mu_group *group;
	struct mu_target_info info;
	bool listed;
	bool in_new_list; /* named by the list being read */
	bool said_leaving; /* in an answer to this daemon */
	mu_us peer_leaving_until; /* until then, as peers tell */
	bool lapsed; /* its entry is gone, see mu_targets_hold() */
	struct mu_up_pool pool;
	uint32_t sent; /* requests of this daemon there now */
	uint32_t
	    peer_requests; /* requests of peers there, by their heartbeats */
	double reported_others; /* of other callers, when last told */
	mu_us load_reported_at;
	struct mu_health health;
	struct mu_pace pace;
	mu_us full_until; /* it refused: no work until then */
	mu_us down_until; /* it could not be reached by this daemon */
	mu_us down_told; /* as far as peers tell */
	mu_us suspect_until; /* unless it answers before */
	mu_us unreachable_at; /* when it last could not be reached */
	unsigned
	    unreachable_count; /* in a row, each soon after the one before */
	struct mu_lost_request lost[MU_LOST_MAX];
	unsigned next_lost;
};

/* The endpoints of one service and the requests that wait for them. */
struct mu_group {
	struct mu_hnode node; /* by the service's name */
	char name[MU_NAME_LEN];
	struct cds_list_head targets;
	struct cds_list_head waiting; /* calls, see call.c */
	uint32_t nwaiting;
	mu_us call; /* smoothed time of a call */
	struct mu_pace pace;
	mu_us first; /* smoothed time until the first byte of an answer */
	bool retrying; /* its waiting calls are being looked at */
	struct mu_timer recheck; /* when they are looked at again */
};

/* An instance that said in an answer that it leaves. */
struct mu_departed {
	char name[MU_NAME_LEN];
	int64_t born;
};

/* Instances remembered after their entries have gone: more than leave in the
 * time for which a stale entry may come back. */
#define MU_DEPARTED_MAX 64

struct mu_targets {
	struct mu_loop *loop;
	char domain[MU_NAME_LEN]; /* of this daemon */
	struct mu_hmap by_name;
	struct mu_hmap groups;
	uint64_t rng;
	mu_us keep_lapsed_until;
	struct mu_timer keep_lapsed_timer; /* its end */
	struct mu_departed departed[MU_DEPARTED_MAX];
	unsigned next_departed;
};

extern const struct mu_eject_conf mu_targets_eject;

int mu_targets_init(
    struct mu_targets *t, struct mu_loop *l, const char *domain, uint64_t seed);
void mu_targets_clear(struct mu_targets *t);
struct mu_group *mu_targets_group(struct mu_targets *t, const char *service);
/* Takes what an endpoint says of itself. */
void mu_targets_learn(struct mu_targets *t, const struct mu_target_info *info);
/* The endpoint's entry is gone. */
void mu_targets_remove(struct mu_targets *t, const char *name);
/* Entries that go until then may only have lapsed while the store was out:
 * their endpoints are kept, and removed then unless they have entries again. */
void mu_targets_hold(struct mu_targets *t, mu_us until);
/* Reading a whole list: what is not learned between these two is removed. */
void mu_targets_list_begin(struct mu_targets *t);
void mu_targets_list_end(struct mu_targets *t);
/* Frees an endpoint that is no longer listed once nothing runs there. */
void mu_target_release(struct mu_targets *t, struct mu_target *x);

/* What mu_choose() takes, in the order of the group; returns the count. */
uint32_t mu_group_view(const struct mu_targets *t, const struct mu_group *g,
    struct mu_candidate *c, struct mu_target **targets);
/* The endpoint says in an answer that it leaves: it gets nothing new, whatever
 * its entry says, until the instance is listed as leaving and then as ready, or
 * is replaced. */
void mu_target_said_leaving(struct mu_target *x);
/* A peer says that the endpoint's instance told it so. */
void
mu_targets_peer_leaving(struct mu_targets *t, const char *name, int64_t born);
/* A peer had `before` and now has `now` requests at an endpoint, which it takes
 * to be down for down_ms. */
void mu_targets_peer(struct mu_targets *t, const char *name, uint32_t before,
    uint32_t now, uint32_t down_ms);
/* A request was lost there: it may have killed the endpoint. */
void mu_target_lost(struct mu_target *x, uint64_t fingerprint, mu_us now);
/* The endpoint could not be reached; false when that was known. */
bool mu_target_died(struct mu_target *x, mu_us now);
/* Share of the places of a group that are taken, by requests that run or wait
 * there: 1 when all are. */
double mu_group_pressure(const struct mu_targets *t, const struct mu_group *g);
/* The endpoint says how many requests it has, running and waiting. */
void mu_target_told(struct mu_target *x, mu_us now, uint32_t running,
    uint32_t waiting, uint32_t slots);
/* A piece of an answer took so long: an event of a stream, or a plain answer.
 */
void mu_target_piece(struct mu_targets *t, struct mu_target *x, mu_us took);
/* A request there ended. took: time a piece, 0 when unknown. */
void mu_target_ended(struct mu_targets *t, struct mu_target *x,
    enum mu_health_result result, mu_us took);

#endif
