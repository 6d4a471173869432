/*
 * reach.c -- which parts of the store answer this daemon.
 *
 * Loads that this answers: the store turns this daemon away and serves its
 * peers, some of its parts are down while the others serve, all of it is down,
 * or it is slow.  Each part is judged by its own attempts, so that one that is
 * down holds up no operation of the others.  After two failures in a row the
 * part's operations go through a peer; while that fails too, they wait and
 * single attempts ask whether the part is back.  A peer is asked at once, for
 * parts not asked yet too, when nearly all parts asked within the last second
 * failed.
 *
 * Beside a way that works, the direct one is tried by one operation at a time,
 * which a silent store would hold up otherwise.
 */
#include "reach.h"

#define RTT_FACTOR 5 /* a usual answer's time; spreads widely under load */
#define MISS_SHIFT_MAX 5
#define START_RTT_US (10 * MU_US_PER_MS) /* before the first answer */
#define RTT_SMOOTHING 8 /* a new sample weighs a part of so many */
#define FAILURES_TO_RELAY 2
#define FAILURES_TO_WAIT 4 /* not an answer lost now and then */
#define DIRECT_AGAIN_US (400 * MU_US_PER_MS) /* relayed until then */
/* A daemon of a large fleet makes some ten calls in this time. */
#define RECENT_US (1 * MU_US_PER_S)
#define LOST_RATIO 2 /* parts that fail for each that answers */
#define RELAY_FACTOR 2 /* the way to the peer and its attempt */

void
mu_reach_init(struct mu_reach *r)
{
	CDS_INIT_LIST_HEAD(&r->lanes);
	r->rtt = START_RTT_US;
	r->answered = false;
}

void
mu_lane_init(struct mu_lane *l, struct mu_reach *r)
{
	*l = (struct mu_lane){.reach = r};
	cds_list_add_tail(&l->node, &r->lanes);
}

void
mu_lane_fini(struct mu_lane *l)
{
	cds_list_del(&l->node);
}

void
mu_lane_begin(struct mu_lane *l, mu_us now)
{
	l->direct++;
	l->direct_at = now + DIRECT_AGAIN_US;
}

void
mu_lane_answered(struct mu_lane *l, mu_us now, mu_us took)
{
	struct mu_reach *r = l->reach;

	l->direct--;
	l->failures = l->relay_failures = l->misses = 0;
	l->answered_at = now;
	r->answered = true;
	if (took > 0)
		r->rtt += (took - r->rtt) / RTT_SMOOTHING;
}

static void
fail(struct mu_lane *l, mu_us now)
{
	l->failures++;
	l->failed_at = now;
}

void
mu_lane_failed(struct mu_lane *l, mu_us now)
{
	l->direct--;
	fail(l, now);
}

void
mu_lane_missed(struct mu_lane *l, mu_us now)
{
	l->misses++;
	fail(l, now);
}

void
mu_lane_relayed(struct mu_lane *l, bool answered)
{
	if (answered)
		l->relay_failures = 0;
	else
		l->relay_failures++;
}

static bool
failing(const struct mu_lane *l, mu_us now)
{
	return l->failures >= FAILURES_TO_RELAY &&
	       now - l->failed_at < RECENT_US;
}

static bool
answering(const struct mu_lane *l, mu_us now)
{
	return l->failures == 0 && l->answered_at != 0 &&
	       now - l->answered_at < RECENT_US;
}

bool
mu_reach_lost(const struct mu_reach *r, mu_us now)
{
	unsigned bad = 0, good = 0;
	const struct mu_lane *l;

	cds_list_for_each_entry (l, &r->lanes, node) {
		bad += failing(l, now);
		good += answering(l, now);
	}
	return bad > LOST_RATIO * good;
}

bool
mu_lane_suspect(const struct mu_lane *l, mu_us now)
{
	return failing(l, now) && !mu_reach_lost(l->reach, now);
}

/* Whether the part answers neither this daemon nor peers. */
static bool
out(const struct mu_lane *l, bool relay)
{
	return l->failures >= FAILURES_TO_WAIT &&
	       (!relay || l->relay_failures >= FAILURES_TO_RELAY);
}

enum mu_way
mu_lane_way(const struct mu_lane *l, mu_us now, bool relay)
{
	bool lost;

	if (out(l, relay))
		return MU_WAY_WAIT;
	lost = mu_reach_lost(l->reach, now);
	if (lost && !relay)
		return MU_WAY_WAIT;
	if (!relay || (!lost && l->failures < FAILURES_TO_RELAY))
		return MU_WAY_DIRECT;
	return l->direct == 0 && now >= l->direct_at ? MU_WAY_DIRECT
						     : MU_WAY_RELAY;
}

uint32_t
mu_store_limit_ms(mu_us rtt, unsigned misses)
{
	mu_us ms = rtt * RTT_FACTOR / MU_US_PER_MS;
	unsigned shift = misses < MISS_SHIFT_MAX ? misses : MISS_SHIFT_MAX;

	if (ms < MU_STORE_LIMIT_FLOOR_MS)
		ms = MU_STORE_LIMIT_FLOOR_MS;
	ms <<= shift;
	return ms < MU_STORE_LIMIT_CAP_MS ? (uint32_t)ms
					  : MU_STORE_LIMIT_CAP_MS;
}

uint32_t
mu_lane_limit_ms(const struct mu_lane *l, mu_us now, bool relay)
{
	bool other_way =
	    relay && !out(l, relay) &&
	    (l->failures >= FAILURES_TO_RELAY || mu_reach_lost(l->reach, now));

	if (other_way)
		return RELAY_FACTOR * mu_store_limit_ms(l->reach->rtt, 0);
	return mu_store_limit_ms(l->reach->rtt, l->misses);
}
