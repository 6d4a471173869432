/*
 * daemon.c -- a daemon of the bench: the shell around the decision modules.
 *
 * It counts what it sent, asks the modules of src/ and does what they return.
 * The baselines are the few lines of choose().
 */
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define QUEUE_MAX 256 /* calls waiting in a daemon */
#define LIMIT_START_RATIO 1.5 /* of the batches of all engines */
#define LIMIT_MAX_RATIO 4.0
#define EJECT_US (2 * MU_US_PER_S) /* after a lost connection */
#define SMOOTH 0.02
#define GAP_SMOOTH 0.1
#define REST_FADE 0.002 /* a call */
#define PAUSE_VISIT_US (900 * MU_US_PER_S) /* longer: another visit */

static const struct workload *
work(const struct sim *s)
{
	return s->conf.work;
}

static enum mu_urgency
urgency(const struct prog *p)
{
	return p->klass->urgent ? MU_URGENT : MU_NORMAL;
}

void
daemon_init(struct sim *s, uint32_t index)
{
	struct daemon *d = &s->daemons[index];
	uint32_t slots = s->nengines * work(s)->engine.max_batch;
	double share = (double)slots / work(s)->daemons;

	d->index = index;
	d->rng = s->conf.seed * 31 + index;
	d->next = index;
	d->beliefs = sim_alloc(s->nengines, sizeof(struct belief));
	d->queue_size = QUEUE_MAX;
	d->queue = sim_alloc(d->queue_size, sizeof(struct prog *));
	d->caller_running = sim_alloc(work(s)->callers, sizeof(uint32_t));
	d->caller_queued = sim_alloc(work(s)->callers, sizeof(uint32_t));
	mu_limit_init(&d->limit, (uint32_t)(share * LIMIT_START_RATIO),
	    (uint32_t)(share * LIMIT_MAX_RATIO));
}

/* Counts p's prefix among those that its owner has at engine i. */
void
daemon_book(struct sim *s, struct prog *p, uint32_t i, uint32_t tokens)
{
	struct daemon *d = &s->daemons[p->daemon];

	d->beliefs[p->booked_at].own_tokens -= p->booked;
	d->beliefs[p->booked_at].own -= p->booked > 0;
	d->beliefs[p->booked_at].own_tokens_squared -=
	    (double)p->booked * p->booked;
	d->beliefs[i].own_tokens += tokens;
	d->beliefs[i].own += tokens > 0;
	d->beliefs[i].own_tokens_squared += (double)tokens * tokens;
	p->booked_at = i;
	p->booked = tokens;
}

/* Whether the call begins a program that may be held back. */
static bool
starts(const struct prog *p)
{
	return p->calls == 0 && p->parent == NULL && !p->klass->urgent;
}

/* What a program that starts will hold: the mean of those that run. */
static uint32_t
expected_prefix(const struct sim *s, const struct daemon *d)
{
	uint64_t sum = 0, n = 0;

	for (uint32_t i = 0; i < s->nengines; i++) {
		sum += d->beliefs[i].own_tokens;
		n += d->beliefs[i].own;
	}
	return n > 0 ? (uint32_t)(sum / n) : 0;
}

/* The owner's belief of the tokens at p's home, by the cache events. */
static uint32_t
believed_tokens(struct sim *s, struct prog *p)
{
	if (p->evict_seen <= s->now) {
		p->home_tokens = p->evict_left;
		p->evict_seen = MU_US_NEVER;
	}
	return p->home_tokens;
}

static struct mu_call_info
request(struct sim *s, struct prog *p)
{
	struct mu_call_info r = {.program = p->id};

	r.caller = p->caller;
	r.prompt_tokens = p->prompt;
	r.home_endpoint = p->home;
	r.home_tokens = believed_tokens(s, p);
	r.home_idle = s->now - p->paused_at;
	r.attained = p->attained + (p->parent ? p->parent->attained : 0);
	r.calls = p->calls;
	r.waited = s->now - p->asked_at;
	r.deadline = sim_deadline(s, p);
	r.urgency = urgency(p);
	return r;
}

static struct mu_service_view
view(struct sim *s, struct daemon *d, struct mu_endpoint_view *ends)
{
	struct mu_service_view v = {.endpoints = ends};
	bool waste = strcmp(s->conf.shape->weigh, "wasted_cache") == 0;

	view_fill(s, d, ends);
	v.nendpoints = s->nengines;
	v.ndaemons = work(s)->daemons;
	v.weight_latency = waste ? 0.3 : 0.7;
	v.weight_waste = waste ? 0.7 : 0.3;
	return v;
}

/* A connection to a dead engine fails at once: the daemon ejects it. */
static int32_t
choose_alive(struct sim *s, struct daemon *d, const struct mu_call_info *r)
{
	struct mu_endpoint_view ends[ENGINES_MAX];
	struct mu_service_view v = view(s, d, ends);
	int32_t i;

	while ((i = choose_engine(s, d, &v, r)) >= 0 && !s->engines[i].alive) {
		d->beliefs[i].ejected_until = s->now + EJECT_US;
		ends[i].state = MU_ENDPOINT_EJECTED;
	}
	return i;
}

static void
send(struct sim *s, struct daemon *d, struct prog *p)
{
	struct mu_call_info r = request(s, p);
	int32_t i = choose_alive(s, d, &r);
	struct belief *b;

	if (i < 0) {
		prog_refused(s, p, 1000);
		return;
	}
	if (p->home >= 0 && p->home != i && sim_measures(s))
		s->stat.moved++;
	b = &d->beliefs[i];
	b->sent++;
	b->sent_total++;
	b->tokens_total +=
	    r.prompt_tokens - (i == r.home_endpoint ? r.home_tokens : 0);
	d->running++;
	d->caller_running[p->caller]++;
	p->sent_at = s->now;
	if (p->exported > 0)
		r.home_tokens = p->exported;
	p->priority = s->conf.policy->order ? mu_order(&r).priority : 0;
	if (starts(p)) {
		double gap = (double)(s->now - d->started_at);

		d->start_gap += GAP_SMOOTH * (gap - d->start_gap);
		d->started_at = s->now;
	}
	if (p->calls == 0)
		daemon_book(s, p, (uint32_t)i,
		    urgency(p) == MU_URGENT ? p->prompt
					    : expected_prefix(s, d));
	if (p->exported > 0)
		engine_import(s, &s->engines[i], p);
	else
		engine_submit(s, &s->engines[i], p);
}

static uint32_t
active_callers(const struct sim *s, const struct daemon *d)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < work(s)->callers; i++)
		n += d->caller_running[i] + d->caller_queued[i] > 0;
	return n;
}

static struct mu_admit_view
admit_view(struct sim *s, struct daemon *d, const struct prog *p)
{
	struct mu_admit_view v = {.running = d->running, .queued = d->nqueue};

	v.limit = mu_limit_now(&d->limit);
	v.queue_max = QUEUE_MAX;
	v.caller_running = d->caller_running[p->caller];
	v.caller_queued = d->caller_queued[p->caller];
	v.callers = active_callers(s, d);
	v.call_us = (mu_us)d->call_us;
	v.ndaemons = work(s)->daemons;
	v.program_start_interval_us = (mu_us)d->start_gap;
	for (uint32_t i = 0; i < d->nqueue; i++)
		v.deferred += starts(d->queue[i]);
	for (uint32_t i = 0; i < s->nengines; i++) {
		v.own_tokens += d->beliefs[i].own_tokens;
		v.own_tokens_squared += d->beliefs[i].own_tokens_squared;
		if (d->beliefs[i].ejected_until > s->now)
			continue;
		v.cache_max += work(s)->engine.cache_tokens;
		v.nendpoints++;
	}
	if (d->busy > 0)
		v.idle_share = d->rest / (d->rest + d->busy);
	return v;
}

static struct mu_admission
ask(struct sim *s, struct daemon *d, struct prog *p)
{
	struct mu_call_info r = request(s, p);
	struct mu_admit_view v = admit_view(s, d, p);

	if (p->state != PROG_WAITING)
		r.waited = 0; /* not in the queue yet */
	return mu_admit(&v, &r, s->now);
}

static void
enqueue(struct daemon *d, struct prog *p)
{
	if (d->nqueue == d->queue_size) {
		d->queue_size *= 2;
		d->queue =
		    realloc(d->queue, d->queue_size * sizeof(struct prog *));
		if (d->queue == NULL)
			abort();
	}
	p->state = PROG_WAITING;
	d->queue[d->nqueue++] = p;
	d->caller_queued[p->caller]++;
}

static void
submit(struct sim *s, struct daemon *d, struct prog *p)
{
	struct mu_admission a;

	if (!s->conf.policy->admit) {
		send(s, d, p);
		return;
	}
	p->state = PROG_PAUSED;
	a = ask(s, d, p);
	switch (a.kind) {
	case MU_ADMIT_RUN:
		send(s, d, p);
		break;
	case MU_ADMIT_QUEUE:
		enqueue(d, p);
		break;
	case MU_ADMIT_REFUSE:
		prog_refused(s, p, a.u.refuse.retry_after_ms);
		break;
	}
}

void
daemon_submit(struct sim *s, struct prog *p)
{
	struct daemon *d = &s->daemons[p->daemon];
	enum mu_urgency u = urgency(p);
	mu_us pause = s->now - p->paused_at;

	if (p->asked_at == s->now && p->booked > 0 && p->calls > 0) {
		d->rest += p->booked * (double)(pause + p->call_waited) -
			   REST_FADE * d->rest;
		d->busy +=
		    p->booked * (double)p->call_took - REST_FADE * d->busy;
	}
	if (p->asked_at == s->now && p->calls > 0 && p->paused_at > 0) {
		mu_pause_sample(&p->pauses, pause);
		if (pause < PAUSE_VISIT_US)
			mu_pause_sample(&d->pauses[u], pause);
	}
	submit(s, d, p);
}

/* Takes the waiter to run next out of the queue; NULL when there is none. */
static struct prog *
dequeue(struct sim *s, struct daemon *d)
{
	struct mu_queued_call *w;
	struct mu_admit_view v;
	struct prog *p;
	int32_t i;

	if (d->nqueue == 0)
		return NULL;
	v = admit_view(s, d, d->queue[0]);
	w = sim_alloc(d->nqueue, sizeof(*w));
	for (uint32_t k = 0; k < d->nqueue; k++) {
		struct mu_call_info r = request(s, d->queue[k]);

		w[k].caller = r.caller;
		w[k].caller_running = d->caller_running[r.caller];
		w[k].priority = mu_order(&r).priority;
		w[k].since = d->queue[k]->asked_at;
		w[k].deadline = r.deadline;
		w[k].deferred = mu_admit_must_defer(&v, &r);
	}
	i = mu_admit_next(w, d->nqueue);
	free(w);
	if (i < 0)
		return NULL;
	p = d->queue[i];
	d->queue[i] = d->queue[--d->nqueue];
	d->caller_queued[p->caller]--;
	return p;
}

static void
drain(struct sim *s, struct daemon *d)
{
	struct prog *p;

	while (d->running < mu_limit_now(&d->limit) &&
	       (p = dequeue(s, d)) != NULL) {
		if (sim_patience_over(s, p))
			prog_give_up(s, p);
		else
			send(s, d, p);
	}
}

void
daemon_release_slot(struct sim *s, struct prog *p)
{
	struct daemon *d = &s->daemons[p->daemon];
	struct belief *b = &d->beliefs[p->engine];

	b->sent--;
	b->done_total++;
	d->running--;
	d->caller_running[p->caller]--;
}

void
daemon_started(struct sim *s, struct prog *p, uint32_t hit)
{
	p->started_at = s->now;
	if (!sim_measures(s))
		return;
	s->stat.calls++;
	s->stat.prompted += p->prompt;
	s->stat.recomputed += p->history - hit;
}

void
daemon_answer(struct sim *s, struct prog *p)
{
	struct daemon *d = &s->daemons[p->daemon];
	double took = (double)(s->now - p->sent_at);

	daemon_release_slot(s, p);
	p->call_took = s->now - p->started_at;
	p->call_waited = p->started_at - p->sent_at;
	if (d->call_us <= 0)
		d->call_us = took;
	d->call_us += SMOOTH * (took - d->call_us);
	mu_limit_sample(&d->limit, took / (p->output + 8), d->running + 1);
	d->calls[urgency(p)]++;
	d->firsts[urgency(p)] += p->calls == 1;
	if (p->home >= 0 && p->home != (int32_t)p->engine &&
	    s->conf.policy->keeper != KEEPER_ENGINE)
		engine_drop(s, &s->engines[p->home], p);
	p->home = (int32_t)p->engine;
	p->home_tokens = p->history;
	p->evict_seen = MU_US_NEVER;
	daemon_book(s, p, p->engine, p->history);
	drain(s, d);
}

void
daemon_lost(struct sim *s, struct prog *p)
{
	struct daemon *d = &s->daemons[p->daemon];

	daemon_release_slot(s, p);
	d->beliefs[p->engine].ejected_until = s->now + EJECT_US;
	submit(s, d, p);
}

static struct mu_retention
ask_retain(struct sim *s, struct daemon *d, struct prog *p, bool ended)
{
	enum mu_urgency u = urgency(p);
	struct mu_endpoint_view ends[ENGINES_MAX];
	struct mu_service_view w = view(s, d, ends);
	struct mu_retain_view v = {.ended = ended};

	v.tokens = believed_tokens(s, p);
	v.idle = s->now - p->paused_at;
	v.program = p->pauses;
	v.service = d->pauses[u];
	v.return_rate = 1 - (double)d->firsts[u] / (double)(d->calls[u] + 1);
	v.cache_used = ends[p->home].cache_used;
	v.cache_max = ends[p->home].cache_max;
	v.prefill_us = ends[p->home].prefill_us;
	if (work(s)->engine.transfer_tokens_per_s > 0)
		v.transfer_us = 2e6 / work(s)->engine.transfer_tokens_per_s;
	v.weight_waste = w.weight_waste;
	return mu_retain(&v);
}

/* What a keeper does where the default policy would do r. */
static enum mu_retain_kind
override(enum keeper k, const struct mu_retention *r, bool ended)
{
	switch (k) {
	case KEEPER_ENGINE:
		return MU_RETAIN_KEEP;
	case KEEPER_RELEASE:
		return ended ? MU_RETAIN_DROP : MU_RETAIN_KEEP;
	case KEEPER_DROP:
		return MU_RETAIN_DROP;
	case KEEPER_MUSHER:
		break;
	}
	return r->kind;
}

void
daemon_idle(struct sim *s, struct prog *p, bool ended)
{
	struct daemon *d = &s->daemons[p->daemon];
	struct mu_retention r;
	struct engine *e;

	if (ended)
		daemon_book(s, p, p->booked_at, 0);
	if (p->home < 0 || p->home_tokens == 0)
		return;
	e = &s->engines[p->home];
	r = ask_retain(s, d, p, ended);
	daemon_book(s, p, e->index, r.keep_when_full ? p->home_tokens : 0);
	switch (override(s->conf.policy->keeper, &r, ended)) {
	case MU_RETAIN_KEEP:
		if (r.kind == MU_RETAIN_KEEP)
			sim_at(s, p->paused_at + r.u.keep.until, EVENT_RETAIN,
			    0, p->retain_version, p);
		break;
	case MU_RETAIN_EXPORT:
		p->exported = engine_export(s, e, p);
		p->home_tokens = 0;
		break;
	case MU_RETAIN_DROP:
		engine_drop(s, e, p);
		p->home_tokens = 0;
		break;
	}
}
