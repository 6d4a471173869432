/*
 * daemon.c -- simulated daemon around the decision modules of src/.
 *
 * A daemon tracks the calls that it sent, fills in the views of the decision
 * modules and carries out their decisions.  choose_engine() in baseline.c
 * selects between mu_place() and the baselines.
 */
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define QUEUE_MAX 256 /* queued calls of one daemon */
#define LIMIT_START_RATIO 1.5 /* of the daemon's share of all batches */
#define LIMIT_MAX_RATIO 4.0
#define EJECT_PERIOD_US (2 * MU_US_PER_S) /* after a lost connection */
#define CALL_TIME_SMOOTHING 0.02
#define START_INTERVAL_SMOOTHING 0.1
#define IDLE_SHARE_DECAY 0.002 /* per call */
/* A longer pause separates two visits; daemon.pauses leaves it out. */
#define PAUSE_SAMPLE_MAX_US (900 * MU_US_PER_S)

static const struct workload *
workload(const struct sim *s)
{
	return s->conf.workload;
}

static enum mu_urgency
urgency(const struct prog *p)
{
	return p->class->urgent ? MU_URGENT : MU_NORMAL;
}

void
daemon_init(struct sim *s, uint32_t index)
{
	struct daemon *d = &s->daemons[index];
	uint32_t slots = s->nengines * workload(s)->engine.max_batch;
	double share = (double)slots / workload(s)->daemons;

	d->index = index;
	d->rng = s->conf.seed * 31 + index;
	d->next_engine = index;
	d->engine_stats = sim_alloc(s->nengines, sizeof(struct engine_stats));
	d->queue_size = QUEUE_MAX;
	d->queue = sim_alloc(d->queue_size, sizeof(struct prog *));
	d->caller_running = sim_alloc(workload(s)->callers, sizeof(uint32_t));
	d->caller_queued = sim_alloc(workload(s)->callers, sizeof(uint32_t));
	mu_limit_init(&d->limit, (uint32_t)(share * LIMIT_START_RATIO),
	    (uint32_t)(share * LIMIT_MAX_RATIO));
}

/* Counts p's prefix of that many tokens at engine i, nowhere else. */
void
daemon_count_prefix(struct sim *s, struct prog *p, uint32_t i, uint32_t tokens)
{
	struct daemon *d = &s->daemons[p->daemon];

	d->engine_stats[p->counted_engine].own_tokens -= p->counted_tokens;
	d->engine_stats[p->counted_engine].own_prefixes -=
	    p->counted_tokens > 0;
	d->engine_stats[p->counted_engine].own_tokens_squared -=
	    (double)p->counted_tokens * p->counted_tokens;
	d->engine_stats[i].own_tokens += tokens;
	d->engine_stats[i].own_prefixes += tokens > 0;
	d->engine_stats[i].own_tokens_squared += (double)tokens * tokens;
	p->counted_engine = i;
	p->counted_tokens = tokens;
}

/* Whether the call starts a program that admission may defer. */
static bool
is_deferrable_start(const struct prog *p)
{
	return p->calls == 0 && p->parent == NULL && !p->class->urgent;
}

/* Expected prefix size of a new program: mean of the counted prefixes. */
static uint32_t
mean_prefix_tokens(const struct sim *s, const struct daemon *d)
{
	uint64_t sum = 0, n = 0;

	for (uint32_t i = 0; i < s->nengines; i++) {
		sum += d->engine_stats[i].own_tokens;
		n += d->engine_stats[i].own_prefixes;
	}
	return n > 0 ? (uint32_t)(sum / n) : 0;
}

/* Tokens cached at p's home as far as cache events have reported. */
static uint32_t
known_home_tokens(struct sim *s, struct prog *p)
{
	if (p->evict_event_at <= s->now) {
		p->home_tokens = p->evict_tokens_left;
		p->evict_event_at = MU_US_NEVER;
	}
	return p->home_tokens;
}

static struct mu_call_info
call_info(struct sim *s, struct prog *p)
{
	struct mu_call_info r = {.program = p->id};

	r.caller = p->caller;
	r.prompt_tokens = p->prompt;
	r.home_endpoint = p->home;
	r.home_tokens = known_home_tokens(s, p);
	r.home_idle = s->now - p->paused_at;
	r.attained = p->attained + (p->parent ? p->parent->attained : 0);
	r.calls = p->calls;
	r.waited = s->now - p->first_submitted_at;
	r.deadline = sim_deadline(s, p);
	r.urgency = urgency(p);
	return r;
}

static struct mu_service_view
service_view(struct sim *s, struct daemon *d, struct mu_endpoint_view *ends)
{
	struct mu_service_view v = {.endpoints = ends};
	bool waste = strcmp(s->conf.shape->weigh, "wasted_cache") == 0;

	view_fill(s, d, ends);
	v.nendpoints = s->nengines;
	v.ndaemons = workload(s)->daemons;
	v.weight_latency = waste ? 0.3 : 0.7;
	v.weight_waste = waste ? 0.7 : 0.3;
	return v;
}

/* Ejects each chosen engine that is down: connecting to it fails at once. */
static int32_t
choose_live_engine(
    struct sim *s, struct daemon *d, const struct mu_call_info *r)
{
	struct mu_endpoint_view ends[ENGINES_MAX];
	struct mu_service_view v = service_view(s, d, ends);
	int32_t i;

	while ((i = choose_engine(s, d, &v, r)) >= 0 && !s->engines[i].alive) {
		d->engine_stats[i].ejected_until = s->now + EJECT_PERIOD_US;
		ends[i].state = MU_ENDPOINT_EJECTED;
	}
	return i;
}

static void
send_call(struct sim *s, struct daemon *d, struct prog *p)
{
	struct mu_call_info r = call_info(s, p);
	int32_t i = choose_live_engine(s, d, &r);
	struct engine_stats *st;

	if (i < 0) {
		prog_call_refused(s, p, 1000);
		return;
	}
	if (p->home >= 0 && p->home != i && sim_is_measuring(s))
		s->stat.moved++;
	st = &d->engine_stats[i];
	st->in_flight++;
	st->sent_total++;
	st->tokens_total +=
	    r.prompt_tokens - (i == r.home_endpoint ? r.home_tokens : 0);
	d->running++;
	d->caller_running[p->caller]++;
	p->sent_at = s->now;
	if (p->exported_tokens > 0)
		r.home_tokens = p->exported_tokens;
	p->priority = s->conf.policy->priorities ? mu_order(&r).priority : 0;
	if (is_deferrable_start(p)) {
		double gap = (double)(s->now - d->last_program_at);

		d->program_start_interval += START_INTERVAL_SMOOTHING *
					     (gap - d->program_start_interval);
		d->last_program_at = s->now;
	}
	if (p->calls == 0)
		daemon_count_prefix(s, p, (uint32_t)i,
		    urgency(p) == MU_URGENT ? p->prompt
					    : mean_prefix_tokens(s, d));
	if (p->exported_tokens > 0)
		engine_import(s, &s->engines[i], p);
	else
		engine_submit(s, &s->engines[i], p);
}

static uint32_t
active_callers(const struct sim *s, const struct daemon *d)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < workload(s)->callers; i++)
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
	v.ndaemons = workload(s)->daemons;
	v.program_start_interval_us = (mu_us)d->program_start_interval;
	for (uint32_t i = 0; i < d->nqueue; i++)
		v.deferred += is_deferrable_start(d->queue[i]);
	for (uint32_t i = 0; i < s->nengines; i++) {
		v.own_tokens += d->engine_stats[i].own_tokens;
		v.own_tokens_squared += d->engine_stats[i].own_tokens_squared;
		if (d->engine_stats[i].ejected_until > s->now)
			continue;
		v.cache_max += workload(s)->engine.cache_tokens;
		v.nendpoints++;
	}
	if (d->busy_token_us > 0)
		v.idle_share =
		    d->idle_token_us / (d->idle_token_us + d->busy_token_us);
	return v;
}

static struct mu_admission
decide_admission(struct sim *s, struct daemon *d, struct prog *p)
{
	struct mu_call_info r = call_info(s, p);
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
submit_call(struct sim *s, struct daemon *d, struct prog *p)
{
	struct mu_admission a;

	if (!s->conf.policy->admission) {
		send_call(s, d, p);
		return;
	}
	p->state = PROG_PAUSED;
	a = decide_admission(s, d, p);
	switch (a.kind) {
	case MU_ADMIT_RUN:
		send_call(s, d, p);
		break;
	case MU_ADMIT_QUEUE:
		enqueue(d, p);
		break;
	case MU_ADMIT_REFUSE:
		prog_call_refused(s, p, a.u.refuse.retry_after_ms);
		break;
	}
}

void
daemon_submit(struct sim *s, struct prog *p)
{
	struct daemon *d = &s->daemons[p->daemon];
	enum mu_urgency u = urgency(p);
	mu_us pause = s->now - p->paused_at;

	if (p->first_submitted_at == s->now && p->counted_tokens > 0 &&
	    p->calls > 0) {
		d->idle_token_us +=
		    p->counted_tokens * (double)(pause + p->last_queue_us) -
		    IDLE_SHARE_DECAY * d->idle_token_us;
		d->busy_token_us += p->counted_tokens * (double)p->last_run_us -
				    IDLE_SHARE_DECAY * d->busy_token_us;
	}
	if (p->first_submitted_at == s->now && p->calls > 0 &&
	    p->paused_at > 0) {
		mu_pause_sample(&p->pauses, pause);
		if (pause < PAUSE_SAMPLE_MAX_US)
			mu_pause_sample(&d->pauses[u], pause);
	}
	submit_call(s, d, p);
}

/* Removes the call to run next from the queue; NULL if none may run. */
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
		struct mu_call_info r = call_info(s, d->queue[k]);

		w[k].caller = r.caller;
		w[k].caller_running = d->caller_running[r.caller];
		w[k].priority = mu_order(&r).priority;
		w[k].since = d->queue[k]->first_submitted_at;
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
run_queued(struct sim *s, struct daemon *d)
{
	struct prog *p;

	while (d->running < mu_limit_now(&d->limit) &&
	       (p = dequeue(s, d)) != NULL) {
		if (sim_deadline_passed(s, p))
			prog_abandon(s, p);
		else
			send_call(s, d, p);
	}
}

void
daemon_release_slot(struct sim *s, struct prog *p)
{
	struct daemon *d = &s->daemons[p->daemon];
	struct engine_stats *st = &d->engine_stats[p->engine];

	st->in_flight--;
	st->completed_total++;
	d->running--;
	d->caller_running[p->caller]--;
}

void
daemon_call_started(struct sim *s, struct prog *p, uint32_t hit)
{
	p->batch_joined_at = s->now;
	if (!sim_is_measuring(s))
		return;
	s->stat.calls++;
	s->stat.prompted += p->prompt;
	s->stat.recomputed += p->history - hit;
}

void
daemon_call_completed(struct sim *s, struct prog *p)
{
	struct daemon *d = &s->daemons[p->daemon];
	double took = (double)(s->now - p->sent_at);

	daemon_release_slot(s, p);
	p->last_run_us = s->now - p->batch_joined_at;
	p->last_queue_us = p->batch_joined_at - p->sent_at;
	if (d->call_us <= 0)
		d->call_us = took;
	d->call_us += CALL_TIME_SMOOTHING * (took - d->call_us);
	mu_limit_sample(&d->limit, took / (p->output + 8), d->running + 1);
	d->calls[urgency(p)]++;
	d->first_calls[urgency(p)] += p->calls == 1;
	if (p->home >= 0 && p->home != (int32_t)p->engine &&
	    s->conf.policy->retention != RETAIN_BY_ENGINE)
		engine_drop(s, &s->engines[p->home], p);
	p->home = (int32_t)p->engine;
	p->home_tokens = p->history;
	p->evict_event_at = MU_US_NEVER;
	daemon_count_prefix(s, p, p->engine, p->history);
	run_queued(s, d);
}

void
daemon_call_aborted(struct sim *s, struct prog *p)
{
	struct daemon *d = &s->daemons[p->daemon];

	daemon_release_slot(s, p);
	d->engine_stats[p->engine].ejected_until = s->now + EJECT_PERIOD_US;
	submit_call(s, d, p);
}

static struct mu_retention
decide_retention(struct sim *s, struct daemon *d, struct prog *p, bool ended)
{
	enum mu_urgency u = urgency(p);
	struct mu_endpoint_view ends[ENGINES_MAX];
	struct mu_service_view w = service_view(s, d, ends);
	struct mu_retain_view v = {.ended = ended};

	v.tokens = known_home_tokens(s, p);
	v.idle = s->now - p->paused_at;
	v.program = p->pauses;
	v.service = d->pauses[u];
	v.return_rate =
	    1 - (double)d->first_calls[u] / (double)(d->calls[u] + 1);
	v.cache_used = ends[p->home].cache_used;
	v.cache_max = ends[p->home].cache_max;
	v.prefill_us = ends[p->home].prefill_us;
	if (workload(s)->engine.transfer_tokens_per_s > 0)
		v.transfer_us = 2e6 / workload(s)->engine.transfer_tokens_per_s;
	v.weight_waste = w.weight_waste;
	return mu_retain(&v);
}

/* Replaces the decision of mu_retain() by that of the run's policy. */
static enum mu_retain_kind
apply_retain_policy(
    enum retain_policy policy, const struct mu_retention *r, bool ended)
{
	switch (policy) {
	case RETAIN_BY_ENGINE:
		return MU_RETAIN_KEEP;
	case RETAIN_UNTIL_END:
		return ended ? MU_RETAIN_DROP : MU_RETAIN_KEEP;
	case RETAIN_NEVER:
		return MU_RETAIN_DROP;
	case RETAIN_MUSHER:
		break;
	}
	return r->kind;
}

void
daemon_decide_retention(struct sim *s, struct prog *p, bool ended)
{
	struct daemon *d = &s->daemons[p->daemon];
	struct mu_retention r;
	struct engine *e;

	if (ended)
		daemon_count_prefix(s, p, p->counted_engine, 0);
	if (p->home < 0 || p->home_tokens == 0)
		return;
	e = &s->engines[p->home];
	r = decide_retention(s, d, p, ended);
	daemon_count_prefix(
	    s, p, e->index, r.keep_when_full ? p->home_tokens : 0);
	switch (apply_retain_policy(s->conf.policy->retention, &r, ended)) {
	case MU_RETAIN_KEEP:
		if (r.kind == MU_RETAIN_KEEP)
			sim_schedule(s, p->paused_at + r.u.keep.until,
			    EVENT_RETAIN_RECHECK, 0, p->retain_version, p);
		break;
	case MU_RETAIN_EXPORT:
		p->exported_tokens = engine_export(s, e, p);
		p->home_tokens = 0;
		break;
	case MU_RETAIN_DROP:
		engine_drop(s, e, p);
		p->home_tokens = 0;
		break;
	}
}
