/*
 * targets.c -- endpoints of the serving path and their state as known to this
 * daemon.
 *
 * An endpoint's load is the number of requests of this daemon there plus those
 * of other daemons.  The latter is the larger of two figures: the sum of the
 * reports of peers in the failure domain, and the estimate from the endpoint's
 * own last report (loadest.c).  Health is derived from answers only (eject.c),
 * without separate probes.
 */
#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "targets.h"

/* Backoff from an unreachable endpoint, which may be restarting or flapping.
 * Doubles each time it is unreachable again within UNREACHABLE_MEMORY_US. */
#define BACKOFF_US (250 * MU_US_PER_MS)
#define BACKOFF_SHIFT_MAX 4
#define UNREACHABLE_MEMORY_US (15 * MU_US_PER_S)
/* Duration of suspicion after an aborted request.  In this time each daemon of
 * a large fleet sends a few calls, one of which finds out whether the endpoint
 * answers. */
#define SUSPECT_US (3 * MU_US_PER_S)
/* Validity of a peer's report that an endpoint is leaving: a few heartbeat
 * intervals. */
#define PEER_LEAVING_US (2 * MU_US_PER_S)
/* An endpoint that can't be reached within this time of an abort died then. */
#define CRASH_WINDOW_US (1500 * MU_US_PER_MS)
#define INITIAL_CALL_US (150 * MU_US_PER_MS) /* start value of averages */

/* Ejections are short because a restarted endpoint is back within seconds, and
 * a probe costs only one request among many. */
const struct mu_eject_conf mu_targets_eject_conf = {
    .failures_to_eject = 3,
    .min_samples = 8,
    .slow_factor = 3.0,
    .slow_floor = 20 * MU_US_PER_MS,
    .first_ejection = 500 * MU_US_PER_MS,
    .longest_ejection = 4 * MU_US_PER_S,
    .probe_timeout = 3 * MU_US_PER_S,
};

int
mu_targets_init(
    struct mu_targets *t, struct mu_loop *l, const char *domain, uint64_t seed)
{
	memset(t, 0, sizeof(*t));
	t->loop = l;
	t->rng = seed;
	strncpy(t->domain, domain, sizeof(t->domain) - 1);
	if (mu_hmap_init(&t->by_name) != 0)
		return MU_E_NOMEM;
	return mu_hmap_init(&t->groups);
}

struct mu_group *
mu_targets_group(struct mu_targets *t, const char *service)
{
	struct mu_hnode *n = mu_hmap_find(&t->groups, service);
	struct mu_group *g;

	if (n != NULL)
		return MU_CONTAINER_OF(n, struct mu_group, node);
	g = calloc(1, sizeof(*g));
	if (g == NULL)
		abort();
	strncpy(g->name, service, sizeof(g->name) - 1);
	g->node.key = g->name;
	g->call_time = INITIAL_CALL_US;
	g->first_byte_time = INITIAL_CALL_US;
	CDS_INIT_LIST_HEAD(&g->targets);
	CDS_INIT_LIST_HEAD(&g->waiting);
	mu_hmap_add(&t->groups, &g->node);
	return g;
}

static struct mu_target *
find_target(struct mu_targets *t, const char *name)
{
	struct mu_hnode *n = mu_hmap_find(&t->by_name, name);

	return n != NULL ? MU_CONTAINER_OF(n, struct mu_target, node) : NULL;
}

static void
remember_departed(struct mu_targets *t, const struct mu_target_info *info)
{
	struct mu_departed *l =
	    &t->departed[t->next_departed++ % MU_DEPARTED_MAX];

	memcpy(l->name, info->name, sizeof(l->name));
	l->born = info->born;
}

static bool
has_departed(const struct mu_targets *t, const struct mu_target_info *info)
{
	unsigned i;

	for (i = 0; i < MU_DEPARTED_MAX; i++)
		if (t->departed[i].born == info->born &&
		    strcmp(t->departed[i].name, info->name) == 0)
			return true;
	return false;
}

/* Removes x from the list; it is freed once no request is in progress there. */
static void
unlist(struct mu_targets *t, struct mu_target *x, const char *why)
{
	mu_log(MU_LOG_INFO, "targets", "endpoint_gone", "{s:s,s:s,s:s,s:s,s:i}",
	    "endpoint", x->info.name, "addr", x->info.addr, "service",
	    x->info.service, "why", why, "running", (int)x->sent);
	if (x->reported_leaving)
		remember_departed(t, &x->info);
	mu_hmap_del(&t->by_name, &x->node);
	cds_list_del(&x->in_group);
	x->listed = false;
	mu_target_release(t, x);
}

void
mu_target_release(
    struct mu_targets *t __attribute__((unused)), struct mu_target *x)
{
	if (x->listed || x->sent > 0)
		return;
	mu_up_pool_release(x->pool);
	free(x);
}

static void
add_target(struct mu_targets *t, const struct mu_target_info *info)
{
	struct mu_target *x = calloc(1, sizeof(*x));

	if (x == NULL)
		abort();
	x->owner = t;
	x->info = *info;
	x->node.key = x->info.name;
	x->listed = x->in_new_list = true;
	x->reported_leaving = has_departed(t, info);
	x->group = mu_targets_group(t, info->service);
	x->pool = mu_up_pool_new(t->loop, info->addr, 0);
	if (x->pool == NULL)
		abort();
	mu_health_init(&x->health);
	mu_hmap_add(&t->by_name, &x->node);
	cds_list_add_tail(&x->in_group, &x->group->targets);
	mu_log(MU_LOG_INFO, "targets", "endpoint_listed", "{s:s,s:s,s:s,s:b}",
	    "endpoint", info->name, "addr", info->addr, "service",
	    info->service, "leaving", info->leaving);
}

void
mu_targets_learn(struct mu_targets *t, const struct mu_target_info *info)
{
	struct mu_target *x = find_target(t, info->name);

	if (x != NULL && (x->info.born != info->born ||
			     strcmp(x->info.addr, info->addr) != 0 ||
			     strcmp(x->info.service, info->service) != 0)) {
		unlist(t, x, "started_anew");
		x = NULL;
	}
	if (x == NULL) {
		add_target(t, info);
		return;
	}
	x->in_new_list = true;
	x->lapsed = false;
	/* Ignores an older entry of the same instance. */
	if (info->born != 0 && info->sequence < x->info.sequence)
		return;
	if (x->info.leaving && !info->leaving)
		x->reported_leaving = false;
	if (info->leaving && !x->info.leaving)
		mu_log(MU_LOG_INFO, "targets", "endpoint_leaving", "{s:s,s:i}",
		    "endpoint", info->name, "running", (int)x->sent);
	x->info = *info;
}

static void
on_entry_removed(struct mu_targets *t, struct mu_target *x, const char *why)
{
	if (mu_loop_now(t->loop) >= t->keep_lapsed_until) {
		unlist(t, x, why);
		return;
	}
	if (!x->lapsed)
		mu_log(MU_LOG_INFO, "targets", "endpoint_lapsed", "{s:s,s:s}",
		    "endpoint", x->info.name, "why", why);
	x->lapsed = true;
}

void
mu_targets_remove(struct mu_targets *t, const char *name)
{
	struct mu_target *x = find_target(t, name);

	if (x != NULL)
		on_entry_removed(t, x, "entry_removed");
}

/* Calls fn for every listed endpoint, which fn may unlist. */
static void
for_each_target(
    struct mu_targets *t, void (*fn)(struct mu_targets *, struct mu_target *))
{
	struct mu_hnode *n, *next;
	size_t i;

	for (i = 0; i < t->by_name.nbuckets; i++)
		for (n = t->by_name.bucket[i]; n != NULL; n = next) {
			next = n->next;
			fn(t, MU_CONTAINER_OF(n, struct mu_target, node));
		}
}

static void
clear_in_new_list(
    struct mu_targets *t __attribute__((unused)), struct mu_target *x)
{
	x->in_new_list = false;
}

static void
unlist_absent(struct mu_targets *t, struct mu_target *x)
{
	if (!x->in_new_list)
		on_entry_removed(t, x, "not_in_list");
}

static void
unlist_lapsed(struct mu_targets *t, struct mu_target *x)
{
	if (x->lapsed)
		unlist(t, x, "lapsed");
}

static void
unlist_all(struct mu_targets *t, struct mu_target *x)
{
	unlist(t, x, "stopping");
}

static void
on_keep_lapsed_end(void *arg)
{
	for_each_target(arg, unlist_lapsed);
}

void
mu_targets_keep_lapsed(struct mu_targets *t, mu_us until)
{
	t->keep_lapsed_until = until;
	t->keep_lapsed_timer.fn = on_keep_lapsed_end;
	t->keep_lapsed_timer.arg = t;
	mu_timer_set(t->loop, &t->keep_lapsed_timer, until);
}

void
mu_targets_list_begin(struct mu_targets *t)
{
	for_each_target(t, clear_in_new_list);
}

void
mu_targets_list_end(struct mu_targets *t)
{
	for_each_target(t, unlist_absent);
}

void
mu_targets_clear(struct mu_targets *t)
{
	struct mu_hnode *n, *next;
	struct mu_group *g;
	size_t i;

	mu_timer_clear(t->loop, &t->keep_lapsed_timer);
	for_each_target(t, unlist_all);
	for (i = 0; i < t->groups.nbuckets; i++)
		for (n = t->groups.bucket[i]; n != NULL; n = next) {
			next = n->next;
			g = MU_CONTAINER_OF(n, struct mu_group, node);
			mu_timer_clear(t->loop, &g->recheck);
			free(g);
		}
	mu_hmap_clear(&t->by_name);
	mu_hmap_clear(&t->groups);
}

static double
estimate_others(const struct mu_target *x, mu_us now)
{
	double reported = mu_loadest_others(x->group->load_estimate, &x->load,
	    &x->group->mean_load, x->info.slots, now);

	return reported > x->peer_requests ? reported : x->peer_requests;
}

void
mu_targets_peer_report(struct mu_targets *t, const char *name, uint32_t before,
    uint32_t now, uint32_t down_ms)
{
	struct mu_target *x = find_target(t, name);

	if (x == NULL)
		return;
	if (down_ms > 0) {
		x->peer_down_until =
		    mu_loop_now(t->loop) + down_ms * MU_US_PER_MS;
		x->suspect_until = x->peer_down_until + SUSPECT_US;
	}
	x->peer_requests = x->peer_requests + now > before
			       ? x->peer_requests + now - before
			       : 0;
}

void
mu_target_reported_leaving(struct mu_target *x)
{
	if (x->reported_leaving)
		return;
	x->reported_leaving = true;
	mu_log(MU_LOG_INFO, "targets", "endpoint_said_leaving", "{s:s,s:b,s:i}",
	    "endpoint", x->info.name, "listed_leaving", x->info.leaving,
	    "running", (int)x->sent);
}

void
mu_targets_peer_reported_leaving(
    struct mu_targets *t, const char *name, int64_t born)
{
	struct mu_target *x = find_target(t, name);

	if (x != NULL && x->info.born == born)
		x->peer_leaving_until = mu_loop_now(t->loop) + PEER_LEAVING_US;
}

/* False when the endpoint is listed or reported as leaving. */
static bool
takes_new_work(const struct mu_target *x, mu_us now)
{
	return !x->info.leaving && !x->reported_leaving &&
	       now >= x->peer_leaving_until;
}

/* Counts a crash for each request that was aborted when the endpoint died. */
static void
report_crash(struct mu_target *x, mu_us now)
{
	struct mu_crash_attempt *a;
	uint32_t count;

	for (a = x->aborted; a < x->aborted + MU_ABORTED_MAX; a++) {
		if (a->fingerprint == 0)
			continue;
		if (now - a->ended <= CRASH_WINDOW_US &&
		    x->owner->crashes != NULL) {
			count = mu_crashes_died(x->owner->crashes, a, now);
			mu_log(MU_LOG_INFO, "targets", "crash_suspected",
			    "{s:s,s:I,s:i,s:i}", "endpoint", x->info.name,
			    "fingerprint", (json_int_t)a->fingerprint, "known",
			    (int)a->known, "crashes", (int)count);
		}
		a->fingerprint = 0;
	}
}

void
mu_target_connect_failed(struct mu_target *x, mu_us now)
{
	(void)mu_target_unreachable(x, now);
	report_crash(x, now);
}

static void
on_probe_failed(void *arg)
{
	struct mu_target *x = arg;

	mu_target_connect_failed(x, mu_loop_now(x->owner->loop));
}

void
mu_target_aborted(
    struct mu_target *x, const struct mu_crash_attempt *a, mu_us now)
{
	if (!x->listed || !takes_new_work(x, now))
		return; /* it may have ended as planned */
	x->aborted[x->next_aborted] = *a;
	x->next_aborted = (x->next_aborted + 1) % MU_ABORTED_MAX;
	mu_up_probe(x->pool, on_probe_failed, x);
}

bool
mu_target_unreachable(struct mu_target *x, mu_us now)
{
	unsigned shift;

	if (now < x->down_until)
		return false; /* concurrent failures count as one */
	if (x->unreachable_at == 0 ||
	    now - x->unreachable_at > UNREACHABLE_MEMORY_US)
		x->unreachable_count = 0;
	shift = x->unreachable_count < BACKOFF_SHIFT_MAX ? x->unreachable_count
							 : BACKOFF_SHIFT_MAX;
	x->unreachable_count++;
	x->unreachable_at = now;
	x->suspect_until = now + (BACKOFF_US << shift) + SUSPECT_US;
	x->down_until = now + (BACKOFF_US << shift);
	mu_log(MU_LOG_WARN, "targets", "unreachable", "{s:s,s:s,s:i,s:I}",
	    "endpoint", x->info.name, "addr", x->info.addr, "deaths",
	    (int)x->unreachable_count, "avoided_ms",
	    (json_int_t)((BACKOFF_US << shift) / MU_US_PER_MS));
	return true;
}

double
mu_group_utilization(const struct mu_targets *t, const struct mu_group *g)
{
	mu_us now = mu_loop_now(t->loop);
	double capacity = 0, taken = g->nwaiting;
	struct mu_target *x;

	cds_list_for_each_entry (x, &g->targets, in_group) {
		if (!takes_new_work(x, now))
			continue;
		capacity += x->info.slots;
		taken += x->sent + estimate_others(x, now);
	}
	return capacity > 0 ? taken / capacity : 0;
}

/* False when the endpoint is leaving, ejected, or backed off as full. */
static bool
is_available(const struct mu_target *x, mu_us now)
{
	return takes_new_work(x, now) && now >= x->full_until &&
	       mu_health_state(&mu_targets_eject_conf, &x->health, now) !=
		   MU_HEALTH_EJECTED;
}

uint32_t
mu_group_view(const struct mu_targets *t, const struct mu_group *g,
    struct mu_candidate *c, struct mu_target **targets)
{
	mu_us now = mu_loop_now(t->loop);
	struct mu_target *x;
	bool any_usable = false;
	uint32_t i, n = 0;

	cds_list_for_each_entry (x, &g->targets, in_group) {
		if (n == MU_CHOOSE_MAX)
			break;
		targets[n] = x;
		memset(&c[n], 0, sizeof(c[n]));
		c[n].usable = is_available(x, now) && now >= x->down_until &&
			      now >= x->peer_down_until;
		any_usable = any_usable || c[n].usable;
		c[n].sent = x->sent;
		c[n].others = estimate_others(x, now);
		c[n].slots = x->info.slots;
		c[n].warm = mu_up_can_reuse(x->pool);
		c[n].same_domain = strcmp(x->info.domain, t->domain) == 0;
		c[n].suspect = now < x->suspect_until;
		c[n].slowdown = mu_pace_slowdown(&x->pace, &g->pace, now);
		n++;
	}
	/* If all are backed off as unreachable, one may be back by now. */
	for (i = 0; i < n && !any_usable; i++)
		c[i].usable = is_available(targets[i], now);
	return n;
}

void
mu_target_load_reported(struct mu_target *x, mu_us now, uint32_t running,
    uint32_t waiting, uint32_t slots)
{
	double all = (double)running + waiting;

	x->load.others = all > x->sent ? all - x->sent : 0;
	x->load.at = now;
	if (slots > 0)
		x->info.slots = slots;
	if (x->info.slots > 0)
		mu_loadest_add(
		    &x->group->mean_load, x->load.others, x->info.slots, now);
}

void
mu_target_chunk_time(struct mu_targets *t, struct mu_target *x, mu_us took)
{
	mu_pace_sample(&x->pace, &x->group->pace, took, mu_loop_now(t->loop));
}

void
mu_target_request_ended(struct mu_targets *t, struct mu_target *x,
    enum mu_health_result result, mu_us took)
{
	struct mu_health *all[MU_EJECT_MAX];
	struct mu_eject_event e;
	struct mu_target *y;
	size_t n = 0, self = MU_EJECT_MAX;
	mu_us now = mu_loop_now(t->loop);

	if (result == MU_HEALTH_SUCCESS)
		x->suspect_until = 0;
	else if (result == MU_HEALTH_FAILURE &&
		 x->suspect_until < now + SUSPECT_US)
		x->suspect_until = now + SUSPECT_US;
	cds_list_for_each_entry (y, &x->group->targets, in_group) {
		if (n == MU_EJECT_MAX)
			break;
		if (y == x)
			self = n;
		all[n++] = &y->health;
	}
	if (self == MU_EJECT_MAX)
		return;
	e = mu_eject_report(
	    &mu_targets_eject_conf, all, n, self, result, took, now);
	if (e.kind == MU_EJECT_NOTHING)
		return;
	mu_log(MU_LOG_WARN, "targets",
	    e.kind == MU_EJECT_EJECT ? "ejected" : "restored",
	    "{s:s,s:s,s:s,s:I}", "endpoint", x->info.name, "service",
	    x->info.service, "reason", mu_eject_reason_name(e.reason),
	    "average_us", (json_int_t)x->health.average_time);
}
