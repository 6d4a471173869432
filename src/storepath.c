/*
 * storepath.c -- chooses the path of operations on the table store.
 *
 * Handles a store that rejects this daemon but serves its peers, a store of
 * which some partitions or all are unavailable, and one that is slow.  Each
 * partition is judged by its own attempts, so that an unavailable one does not
 * delay operations on the others.  After two consecutive failures the
 * partition's operations are relayed through a peer; while that fails too,
 * they are queued and single attempts probe the partition.  When more than
 * two thirds of the partitions used within the last second failed, operations
 * are relayed at once, also on partitions not yet tried.
 *
 * While operations are relayed, one at a time tries the direct path; if all
 * did, a silent store would delay each of them until its timeout.
 */
#include "storepath.h"

#define TIMEOUT_RTT_FACTOR 5 /* round-trip times vary widely under load */
#define BACKOFF_SHIFT_MAX 5
#define INITIAL_RTT_US (10 * MU_US_PER_MS) /* before the first answer */
#define RTT_SMOOTHING 8 /* a new sample has weight 1/8 */
#define FAILURES_TO_RELAY 2
#define FAILURES_TO_WAIT 4 /* more than an occasional lost answer */
/* Between direct attempts while operations are relayed. */
#define DIRECT_RETRY_INTERVAL_US (400 * MU_US_PER_MS)
/* A daemon of a large fleet makes about ten calls in this time. */
#define RECENT_WINDOW_US (1 * MU_US_PER_S)
#define FAILING_RATIO 2 /* failing partitions for each that answers */
/* Covers the hop to the peer and the attempt that the peer makes. */
#define RELAY_TIMEOUT_FACTOR 2

void
mu_store_paths_init(struct mu_store_paths *s)
{
	CDS_INIT_LIST_HEAD(&s->partitions);
	s->rtt = INITIAL_RTT_US;
	s->ever_answered = false;
}

void
mu_path_init(struct mu_partition_path *p, struct mu_store_paths *s)
{
	*p = (struct mu_partition_path){.paths = s};
	cds_list_add_tail(&p->node, &s->partitions);
}

void
mu_path_fini(struct mu_partition_path *p)
{
	cds_list_del(&p->node);
}

void
mu_path_direct_begin(struct mu_partition_path *p, mu_us now)
{
	p->direct_running++;
	p->direct_retry_at = now + DIRECT_RETRY_INTERVAL_US;
}

void
mu_path_direct_answered(struct mu_partition_path *p, mu_us now, mu_us took)
{
	struct mu_store_paths *s = p->paths;

	p->direct_running--;
	p->direct_failures = p->relay_failures = p->timeouts = 0;
	p->direct_answered_at = now;
	s->ever_answered = true;
	if (took > 0)
		s->rtt += (took - s->rtt) / RTT_SMOOTHING;
}

static void
count_failure(struct mu_partition_path *p, mu_us now)
{
	p->direct_failures++;
	p->direct_failed_at = now;
}

void
mu_path_direct_failed(struct mu_partition_path *p, mu_us now)
{
	p->direct_running--;
	count_failure(p, now);
}

void
mu_path_direct_timed_out(struct mu_partition_path *p, mu_us now)
{
	p->timeouts++;
	count_failure(p, now);
}

void
mu_path_relay_end(struct mu_partition_path *p, bool answered)
{
	if (answered)
		p->relay_failures = 0;
	else
		p->relay_failures++;
}

static bool
recently_failing(const struct mu_partition_path *p, mu_us now)
{
	return p->direct_failures >= FAILURES_TO_RELAY &&
	       now - p->direct_failed_at < RECENT_WINDOW_US;
}

static bool
recently_answering(const struct mu_partition_path *p, mu_us now)
{
	return p->direct_failures == 0 && p->direct_answered_at != 0 &&
	       now - p->direct_answered_at < RECENT_WINDOW_US;
}

bool
mu_store_paths_direct_unavailable(const struct mu_store_paths *s, mu_us now)
{
	unsigned nfailing = 0, nanswering = 0;
	const struct mu_partition_path *p;

	cds_list_for_each_entry (p, &s->partitions, node) {
		nfailing += recently_failing(p, now);
		nanswering += recently_answering(p, now);
	}
	return nfailing > FAILING_RATIO * nanswering;
}

bool
mu_path_partition_suspect(const struct mu_partition_path *p, mu_us now)
{
	return recently_failing(p, now) &&
	       !mu_store_paths_direct_unavailable(p->paths, now);
}

/* Whether the partition answers neither this daemon nor a peer. */
static bool
both_paths_failing(const struct mu_partition_path *p, bool relay)
{
	return p->direct_failures >= FAILURES_TO_WAIT &&
	       (!relay || p->relay_failures >= FAILURES_TO_RELAY);
}

enum mu_path_kind
mu_path_choose(const struct mu_partition_path *p, mu_us now, bool relay)
{
	bool direct_unavailable;

	if (both_paths_failing(p, relay))
		return MU_PATH_NONE;
	direct_unavailable = mu_store_paths_direct_unavailable(p->paths, now);
	if (direct_unavailable && !relay)
		return MU_PATH_NONE;
	if (!relay ||
	    (!direct_unavailable && p->direct_failures < FAILURES_TO_RELAY))
		return MU_PATH_DIRECT;
	return p->direct_running == 0 && now >= p->direct_retry_at
		   ? MU_PATH_DIRECT
		   : MU_PATH_RELAY;
}

uint32_t
mu_store_timeout_ms(mu_us rtt, unsigned timeouts)
{
	mu_us ms = rtt * TIMEOUT_RTT_FACTOR / MU_US_PER_MS;
	unsigned shift =
	    timeouts < BACKOFF_SHIFT_MAX ? timeouts : BACKOFF_SHIFT_MAX;

	if (ms < MU_STORE_TIMEOUT_MIN_MS)
		ms = MU_STORE_TIMEOUT_MIN_MS;
	ms <<= shift;
	return ms < MU_STORE_TIMEOUT_MAX_MS ? (uint32_t)ms
					    : MU_STORE_TIMEOUT_MAX_MS;
}

uint32_t
mu_path_timeout_ms(const struct mu_partition_path *p, mu_us now, bool relay)
{
	bool via_relay = relay && !both_paths_failing(p, relay) &&
			 (p->direct_failures >= FAILURES_TO_RELAY ||
			     mu_store_paths_direct_unavailable(p->paths, now));

	if (via_relay)
		return RELAY_TIMEOUT_FACTOR *
		       mu_store_timeout_ms(p->paths->rtt, 0);
	return mu_store_timeout_ms(p->paths->rtt, p->timeouts);
}
