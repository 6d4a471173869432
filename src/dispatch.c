/*
 * dispatch.c -- admits a call, queues it and places it on an endpoint.
 *
 * Each service has a queue with its waiting calls, its adaptive concurrency
 * limit and its retry budget.  A call joins the queue first; whenever a call
 * starts or ends, each waiting thread checks whether mu_admit_next() selects
 * its call.  Waiting is bounded by the capacity of the queue and by the
 * deadline, and a call that cannot meet its deadline is refused at once.
 */
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "admit.h"
#include "dispatch.h"
#include "epviews.h"
#include "log.h"
#include "metric.h"
#include "order.h"
#include "place.h"
#include "quarantine.h"
#include "wait.h"

#define RECHECK_INTERVAL_MS 100 /* longest wait before a recheck */
#define SMOOTHING_WEIGHT 0.1 /* weight of a new sample in averages */
#define INITIAL_LIMIT 64
#define MAX_QUEUED_CALLS 1024
#define RETRY_AFTER_MS 500

struct queue_entry {
	struct cds_list_head node;
	struct mu_queued_call call;
};

struct mu_service_queue {
	struct cds_list_head node;
	char service[MU_NAME_LEN];
	pthread_mutex_t lock;
	pthread_cond_t wakeup; /* a call has started, failed or ended */
	struct cds_list_head entries; /* struct queue_entry */
	struct cds_list_head callers; /* struct caller */
	uint32_t nqueued;
	uint32_t running;
	/* Endpoints that run a trial. */
	const struct mu_bd_endpoint *trial_endpoints[MU_EPVIEWS_MAX];
	uint32_t ntrials;
	uint32_t trials_pending; /* trials admitted, but not placed yet */
	struct mu_limit limit;
	struct mu_retry_budget retry_budget;
	double call_us; /* smoothed duration of a call */
	uint64_t rng;
};

/* Calls of one caller in a service queue. */
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
	pthread_mutex_t lock; /* of the list of queues */
	struct cds_list_head queues;
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
	CDS_INIT_LIST_HEAD(&d->queues);
	*out = d;
	return 0;
}

static void
queue_free(struct mu_service_queue *q)
{
	struct caller *c, *next;

	cds_list_for_each_entry_safe (c, next, &q->callers, node)
		free(c);
	pthread_cond_destroy(&q->wakeup);
	pthread_mutex_destroy(&q->lock);
	free(q);
}

void
mu_dispatch_close(struct mu_dispatch *d)
{
	struct mu_service_queue *q, *next;

	if (d == NULL)
		return;
	cds_list_for_each_entry_safe (q, next, &d->queues, node)
		queue_free(q);
	pthread_mutex_destroy(&d->lock);
	free(d);
}

static struct mu_service_queue *
queue_new(const struct mu_service *s)
{
	struct mu_service_queue *q = calloc(1, sizeof(*q));

	if (q == NULL)
		return NULL;
	strncpy(q->service, s->name, sizeof(q->service) - 1);
	pthread_mutex_init(&q->lock, NULL);
	mu_cond_init(&q->wakeup);
	CDS_INIT_LIST_HEAD(&q->entries);
	CDS_INIT_LIST_HEAD(&q->callers);
	mu_limit_init(&q->limit, INITIAL_LIMIT, MAX_QUEUED_CALLS);
	mu_retry_budget_init(&q->retry_budget, s->retry_budget);
	randombytes_buf(&q->rng, sizeof(q->rng));
	return q;
}

static struct mu_service_queue *
queue_get(struct mu_dispatch *d, const struct mu_service *s)
{
	struct mu_service_queue *q;

	pthread_mutex_lock(&d->lock);
	cds_list_for_each_entry (q, &d->queues, node) {
		if (strcmp(q->service, s->name) == 0)
			goto out;
	}
	q = queue_new(s);
	if (q != NULL)
		cds_list_add(&q->node, &d->queues);
out:
	pthread_mutex_unlock(&d->lock);
	return q;
}

/* Finds or adds the caller's counts; q->lock held. */
static struct caller *
caller_get(struct mu_service_queue *q, uint64_t id)
{
	struct caller *c;

	cds_list_for_each_entry (c, &q->callers, node) {
		if (c->id == id)
			return c;
	}
	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return NULL;
	c->id = id;
	cds_list_add(&c->node, &q->callers);
	return c;
}

static void
caller_free_if_unused(struct caller *c)
{
	if (c->running > 0 || c->queued > 0)
		return;
	cds_list_del(&c->node);
	free(c);
}

static uint32_t
count_callers(const struct mu_service_queue *q)
{
	struct caller *c;
	uint32_t n = 0;

	cds_list_for_each_entry (c, &q->callers, node)
		n++;
	return n;
}

static struct mu_placement
place_call(struct mu_dispatch *d, struct mu_service_queue *q,
    struct mu_dispatch_request *req, struct mu_epviews *views)
{
	static const struct mu_placement wait = {.kind = MU_PLACE_WAIT};
	struct mu_service_view v = {0};
	uint32_t i;

	mu_epviews_fill(views, d->board, d->clock, d->host, q->service);
	mu_epviews_set_latency_ratio(views);
	mu_epviews_exclude(views, req);
	if (req->trial &&
	    mu_epviews_keep_for_trial(views, q->trial_endpoints, q->ntrials) ==
		0 &&
	    q->ntrials > 0)
		return wait;
	req->call.home_endpoint = MU_NO_ENDPOINT;
	for (i = 0; req->home_addr != NULL && i < views->count; i++)
		if (strcmp(views->endpoint[i]->addr, req->home_addr) == 0)
			req->call.home_endpoint = (int32_t)i;
	v.endpoints = views->view;
	v.nendpoints = views->count;
	v.ndaemons = views->ndaemons;
	v.weight_latency = req->text->weight_latency;
	v.weight_waste = req->text->weight_waste;
	return mu_place(&v, &req->call, &q->rng);
}

/*
 * Admission.
 */

static void
fill_admit_view(struct mu_service_queue *q,
    const struct mu_dispatch_request *req, struct caller *c,
    uint32_t service_endpoints, struct mu_admit_view *v)
{
	const struct mu_limits *limits = &req->service->limits;
	uint32_t limit = mu_limit_now(&q->limit);
	uint32_t max = limits->concurrency *
		       (service_endpoints > 0 ? service_endpoints : 1);

	memset(v, 0, sizeof(*v));
	v->running = q->running;
	v->queued = q->nqueued;
	v->limit = limit < max ? limit : max;
	v->queue_max = limits->queue;
	v->caller_running = c->running;
	v->caller_queued = c->queued;
	v->caller_max = limits->caller_concurrency;
	v->callers = count_callers(q);
	v->call_us = (mu_us)q->call_us;
}

static bool
is_next(struct mu_service_queue *q, const struct queue_entry *self)
{
	struct mu_queued_call list[MAX_QUEUED_CALLS];
	struct queue_entry *entry;
	uint32_t n = 0;
	int32_t self_index = -1;

	cds_list_for_each_entry (entry, &q->entries, node) {
		if (n == MAX_QUEUED_CALLS)
			break;
		entry->call.caller_running =
		    caller_get(q, entry->call.caller)->running;
		if (entry == self)
			self_index = (int32_t)n;
		list[n++] = entry->call;
	}
	return mu_admit_next(list, n) == self_index;
}

static uint32_t
count_endpoints(struct mu_dispatch *d, const char *service)
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
wait_for_change(struct mu_service_queue *q, mu_us us)
{
	struct timespec ts;
	mu_us max = RECHECK_INTERVAL_MS * MU_US_PER_MS;

	if (us <= 0 || us > max)
		us = max;
	mu_time_after(&ts, (uint32_t)(us / MU_US_PER_MS) + 1);
	(void)pthread_cond_timedwait(&q->wakeup, &q->lock, &ts);
}

static int
refuse_call(struct mu_error *e, enum mu_errtype type, uint32_t retry_after_ms,
    const char *reason)
{
	mu_count(MU_M_REFUSED, 1);
	return mu_fail(
	    e, type, MU_OUTCOME_NOT_RUN, retry_after_ms, "%s", reason);
}

static void
explain_placement(struct mu_dispatch_request *req, const struct mu_placement *p,
    const struct mu_order *o, const struct mu_bd_endpoint *b, mu_us waited)
{
	if (req->why == NULL)
		return;
	json_object_update_new(
	    req->why, json_pack("{s:s,s:s,s:s,s:s,s:i,s:I,s:f,s:f,s:f}",
			  "endpoint", b->addr, "domain", b->domain, "place",
			  mu_place_reason_name(p->reason), "order",
			  mu_order_reason_name(o->reason), "priority",
			  (int)o->priority, "waited_us", (json_int_t)waited,
			  "queue_us", p->cost.queue, "recompute_us",
			  p->cost.recompute, "home_us", p->home_cost.total));
}

static void
fill_permit(struct mu_dispatch *d, struct mu_service_queue *q,
    struct mu_dispatch_request *req, struct mu_bd_endpoint *b,
    struct mu_permit *permit)
{
	mu_us now = mu_now(d->clock);
	uint32_t cached = 0;

	if (req->home_addr != NULL && strcmp(req->home_addr, b->addr) == 0)
		cached = req->call.home_tokens;
	if (cached > req->call.prompt_tokens)
		cached = req->call.prompt_tokens;
	permit->queue = q;
	permit->endpoint = b;
	permit->caller = req->call.caller;
	permit->granted_at = now;
	permit->trial = req->trial && q->ntrials < MU_EPVIEWS_MAX;
	if (permit->trial)
		q->trial_endpoints[q->ntrials++] = b;
	permit->sent_index = b->next_recent++ % MU_BD_RECENT_CALLS;
	b->recent[permit->sent_index] =
	    (struct mu_bd_sent_call){now, 0, req->call.prompt_tokens - cached};
	b->sent++;
	q->running++;
	if (mu_health_state(&mu_eject_conf_default, &b->health, now) ==
	    MU_HEALTH_PROBE)
		mu_health_probe_started(&b->health, now);
	MU_ATOMIC_ADD(d->board->running, 1);
}

/*
 * Tries to place an admitted call; q->lock held.  Returns 0 when it was placed
 * or has to wait, which *placed tells apart.
 */
static int
try_place(struct mu_dispatch *d, struct mu_service_queue *q,
    struct mu_dispatch_request *req, struct mu_permit *permit, mu_us queued_at,
    bool *placed, struct mu_error *e)
{
	struct mu_epviews *views = malloc(sizeof(*views));
	struct mu_placement p;
	struct mu_order o;
	int rc = 0;

	if (views == NULL)
		return refuse_call(e, MU_E_NOMEM, RETRY_AFTER_MS, "no memory");
	*placed = false;
	p = place_call(d, q, req, views);
	o = mu_order(&req->call);
	switch (p.kind) {
	case MU_PLACED:
		fill_permit(
		    d, q, req, views->endpoint[p.u.placed.index], permit);
		permit->priority = o.priority;
		explain_placement(req, &p, &o, permit->endpoint,
		    permit->granted_at - queued_at);
		*placed = true;
		break;
	case MU_PLACE_WAIT:
		wait_for_change(q, p.u.wait.us);
		break;
	case MU_PLACE_REFUSE:
		rc = refuse_call(e, p.u.refuse.type, p.u.refuse.retry_after_ms,
		    mu_place_reason_name(p.reason));
		break;
	}
	free(views);
	return rc;
}

/*
 * Checks whether a new or waiting call was cancelled or has to be refused;
 * q->lock held.
 */
static int
check_refused(struct mu_dispatch_request *req, const struct mu_admission *a,
    bool waiting, struct mu_error *e)
{
	bool late;

	if (req->cancelled != NULL && req->cancelled(req->arg))
		return refuse_call(
		    e, MU_E_PROGRAM_ENDED, 0, "the program ended");
	if (a->kind != MU_ADMIT_REFUSE)
		return 0;
	late = a->reason == MU_ADMIT_DEADLINE_PAST ||
	       a->reason == MU_ADMIT_DEADLINE_NEAR;
	if (waiting && !late)
		return 0;
	return refuse_call(e, a->u.refuse.type, a->u.refuse.retry_after_ms,
	    mu_admit_reason_name(a->reason));
}

static int
wait_and_place(struct mu_dispatch *d, struct mu_service_queue *q,
    struct mu_dispatch_request *req, struct queue_entry *entry,
    struct caller *c, struct mu_permit *permit, struct mu_error *e)
{
	struct mu_admit_view v;
	struct mu_admission a;
	bool waiting = false, placed = false;
	int rc = 0;

	while (rc == 0 && !placed) {
		req->call.waited = mu_now(d->clock) - entry->call.since;
		entry->call.priority = mu_order(&req->call).priority;
		fill_admit_view(q, req, c, count_endpoints(d, q->service), &v);
		if (waiting) {
			v.queued--;
			v.caller_queued--;
		}
		a = mu_admit(&v, &req->call, mu_now(d->clock));
		rc = check_refused(req, &a, waiting, e);
		if (rc != 0)
			break;
		if (!waiting) {
			cds_list_add_tail(&entry->node, &q->entries);
			q->nqueued++;
			c->queued++;
			waiting = true;
		}
		if (a.kind == MU_ADMIT_RUN && is_next(q, entry))
			rc = try_place(
			    d, q, req, permit, entry->call.since, &placed, e);
		else
			wait_for_change(q, 0);
	}
	if (waiting) {
		cds_list_del(&entry->node);
		q->nqueued--;
		c->queued--;
	}
	return rc;
}

/* Whether an endpoint is available for one more trial; q->lock held. */
static bool
trial_available(struct mu_dispatch *d, const struct mu_service_queue *q,
    const struct mu_dispatch_request *req)
{
	struct mu_epviews *views = malloc(sizeof(*views));
	uint32_t available;

	if (views == NULL || q->ntrials + q->trials_pending == 0) {
		free(views);
		return true;
	}
	mu_epviews_fill(views, d->board, d->clock, d->host, q->service);
	mu_epviews_exclude(views, req);
	available =
	    mu_epviews_keep_for_trial(views, q->trial_endpoints, q->ntrials);
	free(views);
	return available > q->trials_pending;
}

/*
 * Waits until an endpoint is available for a trial; q->lock held.  The trial
 * joins the queue only then, so that the calls behind it do not have to wait
 * for the end of another trial.
 */
static int
trial_wait(struct mu_dispatch *d, struct mu_service_queue *q,
    const struct mu_dispatch_request *req, struct mu_error *e)
{
	while (!trial_available(d, q, req)) {
		if (req->cancelled != NULL && req->cancelled(req->arg))
			return refuse_call(
			    e, MU_E_PROGRAM_ENDED, 0, "the program ended");
		if (mu_now(d->clock) >= req->call.deadline)
			return refuse_call(e, MU_E_DEADLINE, RETRY_AFTER_MS,
			    "other trials were not over in time");
		wait_for_change(q, 0);
	}
	q->trials_pending++;
	return 0;
}

static void
trial_remove(struct mu_service_queue *q, const struct mu_bd_endpoint *b)
{
	uint32_t i;

	for (i = 0; i < q->ntrials; i++) {
		if (q->trial_endpoints[i] != b)
			continue;
		q->trial_endpoints[i] = q->trial_endpoints[--q->ntrials];
		return;
	}
}

/* Waits until the call is next and has an endpoint; q->lock held. */
static int
acquire_locked(struct mu_dispatch *d, struct mu_service_queue *q,
    struct mu_dispatch_request *req, struct queue_entry *entry,
    struct mu_permit *permit, struct mu_error *e)
{
	struct caller *c = caller_get(q, req->call.caller);
	int rc;

	if (c == NULL)
		return refuse_call(e, MU_E_NOMEM, RETRY_AFTER_MS, "no memory");
	rc = wait_and_place(d, q, req, entry, c, permit, e);
	if (rc == 0)
		c->running++;
	else
		caller_free_if_unused(c);
	return rc;
}

int
mu_dispatch_acquire(struct mu_dispatch *d, struct mu_dispatch_request *req,
    struct mu_permit *permit, struct mu_error *e)
{
	struct mu_service_queue *q = queue_get(d, req->service);
	struct queue_entry entry = {0};
	int rc;

	if (q == NULL)
		return refuse_call(e, MU_E_NOMEM, RETRY_AFTER_MS, "no memory");
	entry.call.caller = req->call.caller;
	entry.call.since = mu_now(d->clock);
	entry.call.deadline = req->call.deadline;
	MU_ATOMIC_ADD(d->board->queued, 1);
	pthread_mutex_lock(&q->lock);
	if (!req->trial) {
		rc = acquire_locked(d, q, req, &entry, permit, e);
	} else {
		rc = trial_wait(d, q, req, e);
		if (rc == 0) {
			rc = acquire_locked(d, q, req, &entry, permit, e);
			q->trials_pending--;
		}
	}
	pthread_cond_broadcast(&q->wakeup);
	pthread_mutex_unlock(&q->lock);
	MU_ATOMIC_SUB(d->board->queued, 1);
	mu_observe(MU_H_QUEUE, mu_now(d->clock) - entry.call.since);
	return rc;
}

/*
 * Results.
 */

static void
update_average(double *average, double sample)
{
	*average = *average > 0.0
		       ? *average + SMOOTHING_WEIGHT * (sample - *average)
		       : sample;
}

static enum mu_health_result
health_result(const struct mu_ep_result *r)
{
	if (r->ok)
		return MU_HEALTH_SUCCESS;
	if (r->sent == MU_ATTEMPT_REFUSED || r->error.type == MU_E_CANCELLED)
		return MU_HEALTH_BUSY;
	return MU_HEALTH_FAILURE;
}

static void
report_health(struct mu_dispatch *d, struct mu_service_queue *q,
    struct mu_bd_endpoint *b, const struct mu_ep_result *r)
{
	struct mu_health *all[MU_EJECT_MAX];
	struct mu_eject_event ev;
	struct mu_bd_fleet *f;
	size_t i, n = 0, self = MU_EJECT_MAX;

	rcu_read_lock();
	f = rcu_dereference(d->board->fleet);
	for (i = 0; f != NULL && i < f->nendpoints && n < MU_EJECT_MAX; i++) {
		if (strcmp(f->endpoints[i]->service, q->service) != 0)
			continue;
		if (f->endpoints[i] == b)
			self = n;
		all[n++] = &f->endpoints[i]->health;
	}
	rcu_read_unlock();
	if (self == MU_EJECT_MAX)
		return;
	ev = mu_eject_report(&mu_eject_conf_default, all, n, self,
	    health_result(r), r->ok ? r->time_to_first_byte : 0,
	    mu_now(d->clock));
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
update_measurements(struct mu_service_queue *q, struct mu_bd_endpoint *b,
    const struct mu_ep_result *r)
{
	double call_us = (double)r->took;
	uint64_t computed;

	if (!r->ok) {
		if (r->sent == MU_ATTEMPT_REFUSED ||
		    r->error.type == MU_E_ENDPOINT_TIMEOUT)
			mu_limit_backoff(&q->limit);
		return;
	}
	update_average(&b->call_us, call_us);
	update_average(&q->call_us, call_us);
	computed = r->usage.prompt_tokens - r->usage.cached_tokens;
	if (computed > 0 && r->time_to_first_byte > 0 &&
	    r->usage.cached_tokens <= r->usage.prompt_tokens)
		update_average(&b->prefill_us,
		    (double)r->time_to_first_byte / (double)computed);
	mu_limit_sample(&q->limit,
	    call_us / (double)(r->usage.output_tokens + 1), q->running);
}

void
mu_dispatch_release(struct mu_dispatch *d, struct mu_permit *permit,
    const struct mu_ep_result *r)
{
	struct mu_service_queue *q = permit->queue;
	struct mu_bd_endpoint *b = permit->endpoint;
	struct caller *c;

	pthread_mutex_lock(&q->lock);
	if (r != NULL) {
		update_measurements(q, b, r);
		report_health(d, q, b, r);
	}
	if (b->recent[permit->sent_index].at == permit->granted_at)
		b->recent[permit->sent_index].done = mu_now(d->clock);
	b->sent--;
	q->running--;
	if (permit->trial)
		trial_remove(q, b);
	c = caller_get(q, permit->caller);
	if (c != NULL) {
		if (c->running > 0)
			c->running--;
		caller_free_if_unused(c);
	}
	pthread_cond_broadcast(&q->wakeup);
	pthread_mutex_unlock(&q->lock);
	MU_ATOMIC_SUB(d->board->running, 1);
}

void
mu_dispatch_first_attempt(struct mu_dispatch *d, const struct mu_service *s)
{
	struct mu_service_queue *q = queue_get(d, s);

	if (q == NULL)
		return;
	pthread_mutex_lock(&q->lock);
	mu_retry_budget_set_share(&q->retry_budget, s->retry_budget);
	mu_retry_budget_count_call(&q->retry_budget);
	pthread_mutex_unlock(&q->lock);
}

struct mu_retry_decision
mu_dispatch_retry(struct mu_dispatch *d, const struct mu_service *s,
    struct mu_retry_request *req)
{
	struct mu_service_queue *q = queue_get(d, s);
	struct mu_retry_decision r;

	pthread_mutex_lock(&q->lock);
	req->random = mu_rand_unit(&q->rng);
	req->expected_time = (mu_us)q->call_us;
	r = mu_retry_decide(
	    &mu_retry_policy_default, &q->retry_budget, req, mu_now(d->clock));
	pthread_mutex_unlock(&q->lock);
	if (r.kind != MU_RETRY_FAIL_CALL)
		mu_count(MU_M_RETRIES, 1);
	else if (r.reason == MU_RETRY_REASON_RETRY_BUDGET)
		mu_count(MU_M_RETRY_DENIED, 1);
	return r;
}
