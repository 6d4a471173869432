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
#define MU_STORE_LIMIT_FLOOR_MS 50
#define MU_STORE_LIMIT_CAP_MS 2000

/* What is believed of all parts together. */
struct mu_reach {
	struct cds_list_head lanes;
	mu_us rtt; /* smoothed time of a direct answer */
	bool answered; /* ever */
};

/* One part of a table. */
struct mu_lane {
	struct cds_list_head node; /* in the reach */
	struct mu_reach *reach;
	unsigned failures; /* of direct attempts, in a row */
	unsigned relay_failures; /* of relayed attempts, in a row */
	unsigned misses; /* direct attempts without an answer, in a row */
	unsigned direct; /* direct attempts in progress */
	mu_us answered_at; /* last direct answer; 0: never */
	mu_us failed_at; /* last direct failure; 0: never */
	mu_us direct_at; /* the direct way is tried again from then on */
};

enum mu_way {
	MU_WAY_DIRECT,
	MU_WAY_RELAY, /* through a peer */
	MU_WAY_WAIT /* nobody is answered: wait for the part to come back */
};

void mu_reach_init(struct mu_reach *r);
void mu_lane_init(struct mu_lane *l, struct mu_reach *r);
void mu_lane_fini(struct mu_lane *l);

/* A direct attempt begins. */
void mu_lane_begin(struct mu_lane *l, mu_us now);
/* It ended; took: 0 when it says nothing of the usual time. */
void mu_lane_answered(struct mu_lane *l, mu_us now, mu_us took);
void mu_lane_failed(struct mu_lane *l, mu_us now);
/* A direct attempt has had no answer for longer than usual. */
void mu_lane_missed(struct mu_lane *l, mu_us now);
/* A relayed attempt ended. */
void mu_lane_relayed(struct mu_lane *l, bool answered);

/* Whether the store as a whole does not answer this daemon: far more of the
 * parts asked lately failed than answered. */
bool mu_reach_lost(const struct mu_reach *r, mu_us now);
/* Whether a part fails while others answer. */
bool mu_lane_suspect(const struct mu_lane *l, mu_us now);
/* The way of the next attempt.  relay: a peer says that the store answers it.
 */
enum mu_way mu_lane_way(const struct mu_lane *l, mu_us now, bool relay);
/* How long to wait for an attempt before the next one follows. */
uint32_t mu_lane_limit_ms(const struct mu_lane *l, mu_us now, bool relay);

/* The same from figures: rtt is the smoothed time of an answer, misses the
 * attempts without one since the last answer. */
uint32_t mu_store_limit_ms(mu_us rtt, unsigned misses);

#endif
