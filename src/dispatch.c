/*
 * dispatch.c -- admits a call, waits its turn and places it on an endpoint.
 *
 * A lane holds one service's waiting calls, its concurrency limit found from
 * latency and its retry budget.  A call that may not run at once joins the
 * waiters; whenever a call ends, each waiter looks whether it is the one that
 * mu_admit_next() names.  Waiting is bounded by the queue's limit and by the
 * deadline, and what cannot make its deadline is refused at once.
 */
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "admit.h"
#include "dispatch.h"
#include "ends.h"
#include "log.h"
#include "metric.h"
#include "order.h"
#include "place.h"
#include "quarantine.h"
#include "wait.h"

#define WAIT_MS 100 /* a waiter looks again after this at the latest */
#define SMOOTH 0.1 /* weight of a new sample in smoothed figures */
#define START_LIMIT 64
#define MAX_WAITERS 1024
#define RETRY_AFTER_MS 500

struct waiter {
	struct cds_list_head node;
	struct mu_waiter view;
};

struct mu_lane {
	struct cds_list_head node;
	char service[MU_NAME_LEN];
	pthread_mutex_t lock;
	pthread_cond_t ended;
	struct cds_list_head waiters;
	struct cds_list_head callers; /* struct caller */
	uint32_t nwaiters;
	uint32_t running;
	const struct mu_bd_endpoint
	    *trial[MU_ENDS_MAX]; /* each has one trial */
	uint32_t ntrials;
	uint32_t entering; /* trials that are let in and not placed yet */
	struct mu_limit limit;
	struct mu_retry_budget retries;
	double call_us; /* smoothed */
	uint64_t rng;
};

/* Calls of one caller in one lane. */
struct caller {
	struct cds_list_head node;
	uint64_t id;
	uint32_t running;
	uint32_t queued;
};

struct mu_dispatch {
	struct mu_board *board;
	const struct mu_clock *clock;
	char host[MU_NAME_LEN];
	pthread_mutex_t lock; /* of the list of lanes */
	struct cds_list_head lanes;
};

int
mu_dispatch_open(struct mu_dispatch **out, struct mu_board *board,
    const struct mu_clock *clock, const char *host)
{
	struct mu_dispatch *d = calloc(1, sizeof(*d));

	if (d == NULL)
		return MU_E_NOMEM;
	d->board = board;
	d->clock = clock;
	strncpy(d->host, host, sizeof(d->host) - 1);
	pthread_mutex_init(&d->lock, NULL);
	CDS_INIT_LIST_HEAD(&d->lanes);
	*out = d;
	return 0;
}

static void
lane_free(struct mu_lane *l)
{
	struct caller *c, *next;

	cds_list_for_each_entry_safe (c, next, &l->callers, node)
		free(c);
	pthread_cond_destroy(&l->ended);
	pthread_mutex_destroy(&l->lock);
	free(l);
}

void
mu_dispatch_close(struct mu_dispatch *d)
{
	struct mu_lane *l, *next;

	if (d == NULL)
		return;
	cds_list_for_each_entry_safe (l, next, &d->lanes, node)
		lane_free(l);
	pthread_mutex_destroy(&d->lock);
	free(d);
}

static struct mu_lane *
lane_new(const struct mu_service *s)
{
	struct mu_lane *l = calloc(1, sizeof(*l));

	if (l == NULL)
		return NULL;
	strncpy(l->service, s->name, sizeof(l->service) - 1);
	pthread_mutex_init(&l->lock, NULL);
	mu_cond_init(&l->ended);
	CDS_INIT_LIST_HEAD(&l->waiters);
	CDS_INIT_LIST_HEAD(&l->callers);
	mu_limit_init(&l->limit, START_LIMIT, MAX_WAITERS);
	mu_retry_budget_init(&l->retries, s->retry_budget);
	randombytes_buf(&l->rng, sizeof(l->rng));
	return l;
}

static struct mu_lane *
lane_of(struct mu_dispatch *d, const struct mu_service *s)
{
	struct mu_lane *l;

	pthread_mutex_lock(&d->lock);
	cds_list_for_each_entry (l, &d->lanes, node) {
		if (strcmp(l->service, s->name) == 0)
			goto out;
	}
	l = lane_new(s);
	if (l != NULL)
		cds_list_add(&l->node, &d->lanes);
out:
	pthread_mutex_unlock(&d->lock);
	return l;
}

/* The caller's counts; lane lock held. */
static struct caller *
caller_of(struct mu_lane *l, uint64_t id)
{
	struct caller *c;

	cds_list_for_each_entry (c, &l->callers, node) {
		if (c->id == id)
			return c;
	}
	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return NULL;
	c->id = id;
	cds_list_add(&c->node, &l->callers);
	return c;
}

static void
caller_prune(struct caller *c)
{
	if (c->running > 0 || c->queued > 0)
		return;
	cds_list_del(&c->node);
	free(c);
}

static uint32_t
callers_count(const struct mu_lane *l)
{
	struct caller *c;
	uint32_t n = 0;

	cds_list_for_each_entry (c, &l->callers, node)
		n++;
	return n;
}

static struct mu_placement
place(struct mu_dispatch *d, struct mu_lane *l, struct mu_ask *ask,
    struct mu_ends *ends)
{
	static const struct mu_placement wait = {.kind = MU_PLACE_WAIT};
	struct mu_view v = {0};
	uint32_t i;

	mu_ends_fill(ends, d->board, d->clock, d->host, l->service);
	mu_ends_slow(ends);
	mu_ends_avoid(ends, ask);
	if (ask->trial && mu_ends_trial(ends, l->trial, l->ntrials) == 0 &&
	    l->ntrials > 0)
		return wait;
	ask->request.home = MU_NO_ENDPOINT;
	for (i = 0; ask->home != NULL && i < ends->count; i++)
		if (strcmp(ends->endpoint[i]->addr, ask->home) == 0)
			ask->request.home = (int32_t)i;
	v.ends = ends->view;
	v.nends = ends->count;
	v.ndaemons = ends->daemons;
	v.weight_latency = ask->text->weight_latency;
	v.weight_waste = ask->text->weight_waste;
	return mu_place(&v, &ask->request, &l->rng);
}

/*
 * Admission.
 */

static void
admit_view(struct mu_lane *l, const struct mu_ask *ask, struct caller *c,
    uint32_t live_ends, struct mu_admit_view *v)
{
	const struct mu_limits *limits = &ask->service->limits;
	uint32_t limit = mu_limit_now(&l->limit);
	uint32_t most = limits->concurrency * (live_ends > 0 ? live_ends : 1);

	memset(v, 0, sizeof(*v));
	v->running = l->running;
	v->queued = l->nwaiters;
	v->limit = limit < most ? limit : most;
	v->queue_max = limits->queue;
	v->caller_running = c->running;
	v->caller_queued = c->queued;
	v->caller_max = limits->caller_concurrency;
	v->callers = callers_count(l);
	v->call_us = (mu_us)l->call_us;
}

static bool
my_turn(struct mu_lane *l, const struct waiter *self)
{
	struct mu_waiter list[MAX_WAITERS];
	struct waiter *w;
	uint32_t n = 0;
	int32_t mine = -1;

	cds_list_for_each_entry (w, &l->waiters, node) {
		if (n == MAX_WAITERS)
			break;
		w->view.caller_running = caller_of(l, w->view.caller)->running;
		if (w == self)
			mine = (int32_t)n;
		list[n++] = w->view;
	}
	return mu_admit_next(list, n) == mine;
}

static uint32_t
live_count(struct mu_dispatch *d, const char *service)
{
	struct mu_bd_fleet *f;
	uint32_t n = 0;
	size_t i;

	rcu_read_lock();
	f = rcu_dereference(d->board->fleet);
	for (i = 0; f != NULL && i < f->nendpoints; i++)
		if (strcmp(f->endpoints[i]->service, service) == 0)
			n++;
	rcu_read_unlock();
	return n;
}

static void
lane_wait(struct mu_lane *l, mu_us us)
{
	struct timespec ts;
	mu_us most = WAIT_MS * MU_US_PER_MS;

	if (us <= 0 || us > most)
		us = most;
	mu_time_after(&ts, (uint32_t)(us / MU_US_PER_MS) + 1);
	(void)pthread_cond_timedwait(&l->ended, &l->lock, &ts);
}

static int
refuse(struct mu_error *e, enum mu_errtype type, uint32_t retry_after_ms,
    const char *reason)
{
	mu_count(MU_M_REFUSED, 1);
	return mu_fail(
	    e, type, MU_OUTCOME_NOT_RUN, retry_after_ms, "%s", reason);
}

static void
why_placed(struct mu_ask *ask, const struct mu_placement *p,
    const struct mu_order *o, const struct mu_bd_endpoint *b, mu_us waited)
{
	if (ask->why == NULL)
		return;
	json_object_update_new(ask->why,
	    json_pack("{s:s,s:s,s:s,s:s,s:i,s:I,s:f,s:f,s:f}", "endpoint",
		b->addr, "domain", b->domain, "place",
		mu_place_reason_name(p->reason), "order",
		mu_order_reason_name(o->reason), "priority", (int)o->priority,
		"waited_us", (json_int_t)waited, "queue_us", p->best.queue,
		"recompute_us", p->best.recompute, "home_us", p->home.total));
}

static void
grant(struct mu_dispatch *d, struct mu_lane *l, struct mu_ask *ask,
    struct mu_bd_endpoint *b, struct mu_grant *g)
{
	mu_us now = mu_now(d->clock);
	uint32_t cached = 0;

	if (ask->home != NULL && strcmp(ask->home, b->addr) == 0)
		cached = ask->request.home_tokens;
	if (cached > ask->request.prompt_tokens)
		cached = ask->request.prompt_tokens;
	g->lane = l;
	g->endpoint = b;
	g->caller = ask->request.caller;
	g->at = now;
	g->trial = ask->trial && l->ntrials < MU_ENDS_MAX;
	if (g->trial)
		l->trial[l->ntrials++] = b;
	g->recent = b->next_recent++ % MU_BD_RECENT_CALLS;
	b->recent[g->recent] = (struct mu_bd_sent_call){
	    now, 0, ask->request.prompt_tokens - cached};
	b->sent++;
	l->running++;
	if (mu_health_state(&mu_eject_conf_default, &b->health, now) ==
	    MU_HEALTH_PROBE)
		mu_health_probe_started(&b->health, now);
	MU_ATOMIC_ADD(d->board->running, 1);
}

/* Tries to place an admitted call; lane lock held.  0: placed or to wait. */
static int
try_place(struct mu_dispatch *d, struct mu_lane *l, struct mu_ask *ask,
    struct mu_grant *g, mu_us began, bool *placed, struct mu_error *e)
{
	struct mu_ends *ends = malloc(sizeof(*ends));
	struct mu_placement p;
	struct mu_order o;
	int rc = 0;

	if (ends == NULL)
		return refuse(e, MU_E_NOMEM, RETRY_AFTER_MS, "no memory");
	*placed = false;
	p = place(d, l, ask, ends);
	o = mu_order(&ask->request);
	switch (p.kind) {
	case MU_PLACED:
		grant(d, l, ask, ends->endpoint[p.u.placed.index], g);
		g->priority = o.priority;
		why_placed(ask, &p, &o, g->endpoint, g->at - began);
		*placed = true;
		break;
	case MU_PLACE_WAIT:
		lane_wait(l, p.u.wait.us);
		break;
	case MU_PLACE_REFUSE:
		rc = refuse(e, p.u.refuse.type, p.u.refuse.retry_after_ms,
		    mu_place_reason_name(p.reason));
		break;
	}
	free(ends);
	return rc;
}

/* Whether a waiting call has to be refused by now; lane lock held. */
static int
still_worth(struct mu_ask *ask, const struct mu_admission *a, bool waiting,
    struct mu_error *e)
{
	bool late;

	if (ask->cancelled != NULL && ask->cancelled(ask->arg))
		return refuse(e, MU_E_PROGRAM_ENDED, 0, "the program ended");
	if (a->kind != MU_ADMIT_REFUSE)
		return 0;
	late = a->reason == MU_ADMIT_DEADLINE_PAST ||
	       a->reason == MU_ADMIT_DEADLINE_NEAR;
	if (waiting && !late)
		return 0;
	return refuse(e, a->u.refuse.type, a->u.refuse.retry_after_ms,
	    mu_admit_reason_name(a->reason));
}

static int
wait_turn(struct mu_dispatch *d, struct mu_lane *l, struct mu_ask *ask,
    struct waiter *w, struct caller *c, struct mu_grant *g, struct mu_error *e)
{
	struct mu_admit_view v;
	struct mu_admission a;
	bool waiting = false, placed = false;
	int rc = 0;

	while (rc == 0 && !placed) {
		ask->request.waited = mu_now(d->clock) - w->view.since;
		w->view.priority = mu_order(&ask->request).priority;
		admit_view(l, ask, c, live_count(d, l->service), &v);
		if (waiting) {
			v.queued--;
			v.caller_queued--;
		}
		a = mu_admit(&v, &ask->request, mu_now(d->clock));
		rc = still_worth(ask, &a, waiting, e);
		if (rc != 0)
			break;
		if (!waiting) {
			cds_list_add_tail(&w->node, &l->waiters);
			l->nwaiters++;
			c->queued++;
			waiting = true;
		}
		if (a.kind == MU_ADMIT_RUN && my_turn(l, w))
			rc = try_place(d, l, ask, g, w->view.since, &placed, e);
		else
			lane_wait(l, 0);
	}
	if (waiting) {
		cds_list_del(&w->node);
		l->nwaiters--;
		c->queued--;
	}
	return rc;
}

/* Whether an endpoint is free for one more trial; lane lock held. */
static bool
trial_free(
    struct mu_dispatch *d, const struct mu_lane *l, const struct mu_ask *ask)
{
	struct mu_ends *ends = malloc(sizeof(*ends));
	uint32_t left;

	if (ends == NULL || l->ntrials + l->entering == 0) {
		free(ends);
		return true;
	}
	mu_ends_fill(ends, d->board, d->clock, d->host, l->service);
	mu_ends_avoid(ends, ask);
	left = mu_ends_trial(ends, l->trial, l->ntrials);
	free(ends);
	return left > l->entering;
}

/*
 * Waits until a trial may enter the lane.  It waits before it joins the other
 * waiters, so that they do not wait for a trial's end.  Lane lock held.
 */
static int
trial_enter(struct mu_dispatch *d, struct mu_lane *l, const struct mu_ask *ask,
    struct mu_error *e)
{
	while (!trial_free(d, l, ask)) {
		if (ask->cancelled != NULL && ask->cancelled(ask->arg))
			return refuse(
			    e, MU_E_PROGRAM_ENDED, 0, "the program ended");
		if (mu_now(d->clock) >= ask->request.deadline)
			return refuse(e, MU_E_DEADLINE, RETRY_AFTER_MS,
			    "other trials were not over in time");
		lane_wait(l, 0);
	}
	l->entering++;
	return 0;
}

static void
trial_end(struct mu_lane *l, const struct mu_bd_endpoint *b)
{
	uint32_t i;

	for (i = 0; i < l->ntrials; i++) {
		if (l->trial[i] != b)
			continue;
		l->trial[i] = l->trial[--l->ntrials];
		return;
	}
}

/* Waits for the call's turn and its endpoint; lane lock held. */
static int
acquire_locked(struct mu_dispatch *d, struct mu_lane *l, struct mu_ask *ask,
    struct waiter *w, struct mu_grant *g, struct mu_error *e)
{
	struct caller *c = caller_of(l, ask->request.caller);
	int rc;

	if (c == NULL)
		return refuse(e, MU_E_NOMEM, RETRY_AFTER_MS, "no memory");
	rc = wait_turn(d, l, ask, w, c, g, e);
	if (rc == 0)
		c->running++;
	else
		caller_prune(c);
	return rc;
}

int
mu_dispatch_acquire(struct mu_dispatch *d, struct mu_ask *ask,
    struct mu_grant *g, struct mu_error *e)
{
	struct mu_lane *l = lane_of(d, ask->service);
	struct waiter w = {0};
	int rc;

	if (l == NULL)
		return refuse(e, MU_E_NOMEM, RETRY_AFTER_MS, "no memory");
	w.view.caller = ask->request.caller;
	w.view.since = mu_now(d->clock);
	w.view.deadline = ask->request.deadline;
	MU_ATOMIC_ADD(d->board->queued, 1);
	pthread_mutex_lock(&l->lock);
	if (!ask->trial) {
		rc = acquire_locked(d, l, ask, &w, g, e);
	} else {
		rc = trial_enter(d, l, ask, e);
		if (rc == 0) {
			rc = acquire_locked(d, l, ask, &w, g, e);
			l->entering--;
		}
	}
	pthread_cond_broadcast(&l->ended);
	pthread_mutex_unlock(&l->lock);
	MU_ATOMIC_SUB(d->board->queued, 1);
	mu_observe(MU_H_QUEUE, mu_now(d->clock) - w.view.since);
	return rc;
}

/*
 * Results.
 */

static void
smooth(double *average, double sample)
{
	*average =
	    *average > 0.0 ? *average + SMOOTH * (sample - *average) : sample;
}

static enum mu_health_result
health_result(const struct mu_ep_result *r)
{
	if (r->ok)
		return MU_HEALTH_SUCCESS;
	if (r->sent == MU_SENT_REFUSED || r->error.type == MU_E_CANCELLED)
		return MU_HEALTH_BUSY;
	return MU_HEALTH_FAILURE;
}

static void
report_health(struct mu_dispatch *d, struct mu_lane *l,
    struct mu_bd_endpoint *b, const struct mu_ep_result *r)
{
	struct mu_health *all[MU_EJECT_MAX];
	struct mu_eject_event ev;
	struct mu_bd_fleet *f;
	size_t i, n = 0, self = MU_EJECT_MAX;

	rcu_read_lock();
	f = rcu_dereference(d->board->fleet);
	for (i = 0; f != NULL && i < f->nendpoints && n < MU_EJECT_MAX; i++) {
		if (strcmp(f->endpoints[i]->service, l->service) != 0)
			continue;
		if (f->endpoints[i] == b)
			self = n;
		all[n++] = &f->endpoints[i]->health;
	}
	rcu_read_unlock();
	if (self == MU_EJECT_MAX)
		return;
	ev = mu_eject_report(&mu_eject_conf_default, all, n, self,
	    health_result(r), r->ok ? r->first_byte : 0, mu_now(d->clock));
	if (ev.kind == MU_EJECT_NOTHING)
		return;
	MU_ATOMIC_STORE(b->ejected, ev.kind == MU_EJECT_EJECT);
	if (ev.kind == MU_EJECT_EJECT)
		mu_count(MU_M_EJECTED, 1);
	mu_log(MU_LOG_WARN, "dispatch",
	    ev.kind == MU_EJECT_EJECT ? "ejected" : "restored", "{s:s,s:s}",
	    "endpoint", b->addr, "reason", mu_eject_reason_name(ev.reason));
}

static void
learn(struct mu_lane *l, struct mu_bd_endpoint *b, const struct mu_ep_result *r)
{
	double took = (double)r->took;
	uint64_t computed;

	if (!r->ok) {
		if (r->sent == MU_SENT_REFUSED ||
		    r->error.type == MU_E_ENDPOINT_TIMEOUT)
			mu_limit_drop(&l->limit);
		return;
	}
	smooth(&b->call_us, took);
	smooth(&l->call_us, took);
	computed = r->usage.prompt_tokens - r->usage.cached_tokens;
	if (computed > 0 && r->first_byte > 0 &&
	    r->usage.cached_tokens <= r->usage.prompt_tokens)
		smooth(
		    &b->prefill_us, (double)r->first_byte / (double)computed);
	mu_limit_sample(
	    &l->limit, took / (double)(r->usage.output_tokens + 1), l->running);
}

void
mu_dispatch_release(
    struct mu_dispatch *d, struct mu_grant *g, const struct mu_ep_result *r)
{
	struct mu_lane *l = g->lane;
	struct mu_bd_endpoint *b = g->endpoint;
	struct caller *c;

	pthread_mutex_lock(&l->lock);
	if (r != NULL) {
		learn(l, b, r);
		report_health(d, l, b, r);
	}
	if (b->recent[g->recent].at == g->at)
		b->recent[g->recent].done = mu_now(d->clock);
	b->sent--;
	l->running--;
	if (g->trial)
		trial_end(l, b);
	c = caller_of(l, g->caller);
	if (c != NULL) {
		if (c->running > 0)
			c->running--;
		caller_prune(c);
	}
	pthread_cond_broadcast(&l->ended);
	pthread_mutex_unlock(&l->lock);
	MU_ATOMIC_SUB(d->board->running, 1);
}

void
mu_dispatch_first(struct mu_dispatch *d, const struct mu_service *s)
{
	struct mu_lane *l = lane_of(d, s);

	if (l == NULL)
		return;
	pthread_mutex_lock(&l->lock);
	mu_retry_budget_set_share(&l->retries, s->retry_budget);
	mu_retry_budget_count_call(&l->retries);
	pthread_mutex_unlock(&l->lock);
}

struct mu_retry_decision
mu_dispatch_retry(struct mu_dispatch *d, const struct mu_service *s,
    struct mu_retry_request *q)
{
	struct mu_lane *l = lane_of(d, s);
	struct mu_retry_decision r;

	pthread_mutex_lock(&l->lock);
	q->random = mu_rand_unit(&l->rng);
	q->expected_time = (mu_us)l->call_us;
	r = mu_retry_decide(
	    &mu_retry_policy_default, &l->retries, q, mu_now(d->clock));
	pthread_mutex_unlock(&l->lock);
	if (r.kind != MU_RETRY_FAIL_CALL)
		mu_count(MU_M_RETRIES, 1);
	else if (r.reason == MU_RETRY_REASON_RETRY_BUDGET)
		mu_count(MU_M_RETRY_DENIED, 1);
	return r;
}
