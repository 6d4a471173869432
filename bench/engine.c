/*
 * engine.c -- engine model: continuous batching with chunked prefill and a
 * prefix cache of limited size.
 *
 * A step generates one token for each decoding call of the batch and computes
 * up to prefill_chunk prompt tokens, in order of priority.  It takes step_s
 * plus step_per_sequence_s per call plus the compute time of the chunk.  All
 * steps of an unchanged batch take the same time, so one event covers the
 * steps until a call completes its prefill or its answer, or until a call
 * arrives while the batch has room.  Running calls use memory of the batch;
 * the cache holds prefixes not in use and evicts the least recently used.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

static const struct engine_conf *
conf(const struct sim *s)
{
	return &s->conf.workload->engine;
}

void
engine_init(struct sim *s, uint32_t index)
{
	struct engine *e = &s->engines[index];

	e->index = index;
	e->alive = true;
	e->speed = 1;
	e->batch = sim_alloc(conf(s)->max_batch, sizeof(struct prog *));
	e->queue_size = 64;
	e->queue = sim_alloc(e->queue_size, sizeof(struct prog *));
	CDS_INIT_LIST_HEAD(&e->lru);
}

static bool
runs_before(const struct prog *a, const struct prog *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->arrival_seq < b->arrival_seq;
}

static void
heap_set(struct engine *e, uint32_t i, struct prog *p)
{
	e->queue[i] = p;
	p->queue_index = i;
}

static void
heap_push(struct engine *e, struct prog *p)
{
	uint32_t i = e->nqueue++;

	if (e->nqueue > e->queue_size) {
		e->queue_size *= 2;
		e->queue =
		    realloc(e->queue, e->queue_size * sizeof(struct prog *));
		if (e->queue == NULL)
			abort();
	}
	while (i > 0 && runs_before(p, e->queue[(i - 1) / 2])) {
		heap_set(e, i, e->queue[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	heap_set(e, i, p);
}

static struct prog *
heap_pop(struct engine *e)
{
	struct prog *top = e->queue[0];
	struct prog *last = e->queue[--e->nqueue];
	uint32_t i = 0;

	for (;;) {
		uint32_t k = 2 * i + 1;

		if (k >= e->nqueue)
			break;
		if (k + 1 < e->nqueue &&
		    runs_before(e->queue[k + 1], e->queue[k]))
			k++;
		if (!runs_before(e->queue[k], last))
			break;
		heap_set(e, i, e->queue[k]);
		i = k;
	}
	if (e->nqueue > 0)
		heap_set(e, i, last);
	return top;
}

static void
cache_remove(struct sim *s, struct engine *e, struct cache_entry *h)
{
	if (h->tokens == 0)
		return;
	stat_count_held(s, h);
	e->cache_used -= h->tokens;
	h->tokens = 0;
	cds_list_del(&h->node);
}

/* Frees up to n tokens from the end of the least recently used prefix. */
static void
evict_tokens(struct sim *s, struct engine *e, uint64_t n)
{
	struct cache_entry *h =
	    cds_list_first_entry(&e->lru, struct cache_entry, node);
	struct prog *p = h->prog;
	uint32_t left = h->tokens > n ? h->tokens - (uint32_t)n : 0;

	h->tokens -= left;
	stat_count_held(s, h);
	e->cache_used -= h->tokens;
	h->tokens = left;
	if (left == 0)
		cds_list_del(&h->node);
	if (p->home != (int32_t)e->index ||
	    mu_rand_unit(&s->noise_rng) < conf(s)->event_loss)
		return;
	p->evict_event_at = s->now + SECONDS_TO_US(conf(s)->event_lag_s);
	p->evict_tokens_left = left;
}

static void
cache_store(struct sim *s, struct engine *e, struct prog *p, uint32_t tokens)
{
	struct cache_entry *h = &p->cached[e->index];

	cache_remove(s, e, h);
	if (tokens > conf(s)->cache_tokens)
		return;
	while (e->cache_used + tokens > conf(s)->cache_tokens)
		evict_tokens(
		    s, e, e->cache_used + tokens - conf(s)->cache_tokens);
	h->tokens = tokens;
	h->stored_at = s->now;
	e->cache_used += tokens;
	cds_list_add_tail(&h->node, &e->lru);
}

void
engine_drop(struct sim *s, struct engine *e, struct prog *p)
{
	cache_remove(s, e, &p->cached[e->index]);
}

/* Queues a transfer of n tokens on the engine's link; returns its end. */
static mu_us
reserve_link(struct sim *s, struct engine *e, uint32_t n)
{
	if (e->link_busy_until < s->now)
		e->link_busy_until = s->now;
	e->link_busy_until += SECONDS_TO_US(n / conf(s)->transfer_tokens_per_s);
	return e->link_busy_until;
}

uint32_t
engine_export(struct sim *s, struct engine *e, struct prog *p)
{
	uint32_t n = p->cached[e->index].tokens;

	engine_drop(s, e, p);
	reserve_link(s, e, n);
	if (sim_is_measuring(s))
		s->stat.exported += n;
	return n;
}

void
engine_import(struct sim *s, struct engine *e, struct prog *p)
{
	p->state = PROG_QUEUED;
	p->engine = e->index;
	sim_schedule(s, reserve_link(s, e, p->exported_tokens), EVENT_IMPORTED,
	    e->index, 0, p);
}

void
engine_import_done(struct sim *s, struct engine *e, struct prog *p)
{
	if (!e->alive) {
		daemon_call_aborted(s, p);
		return;
	}
	cache_store(s, e, p, p->exported_tokens);
	p->exported_tokens = 0;
	engine_submit(s, e, p);
}

/* Moves p's prefix from cache to batch; returns the tokens reused. */
static uint32_t
cache_move_to_batch(struct sim *s, struct engine *e, struct prog *p)
{
	struct cache_entry *h = &p->cached[e->index];
	uint32_t hit = h->tokens < p->history ? h->tokens : p->history;

	if (s->conf.policy->placement == PLACE_BOUND)
		return p->history;
	cache_remove(s, e, h);
	return hit;
}

/* Adds p to the batch, which is sorted by priority. */
static void
batch_add(struct sim *s, struct engine *e, struct prog *p)
{
	uint32_t hit = cache_move_to_batch(s, e, p);
	uint32_t i = e->nbatch++;

	while (i > 0 && runs_before(p, e->batch[i - 1])) {
		e->batch[i] = e->batch[i - 1];
		i--;
	}
	e->batch[i] = p;
	p->state = PROG_RUNNING;
	p->prefill_left = p->prompt - hit;
	p->decode_left = p->output;
	daemon_call_started(s, p, hit);
}

static void
fill_batch(struct sim *s, struct engine *e)
{
	while (e->nqueue > 0 && e->nbatch < conf(s)->max_batch) {
		struct prog *p = heap_pop(e);

		if (sim_deadline_passed(s, p)) {
			daemon_release_slot(s, p);
			prog_abandon(s, p);
			continue;
		}
		batch_add(s, e, p);
	}
}

/* Schedules the steps until the next call changes state. */
static void
plan_steps(struct sim *s, struct engine *e)
{
	const struct engine_conf *c = conf(s);
	uint32_t first_prefill = 0, steps = UINT32_MAX, prefill = 0;
	double t;

	e->version++;
	e->steps = 0;
	if (e->nbatch == 0)
		return;
	for (uint32_t i = 0; i < e->nbatch; i++) {
		struct prog *p = e->batch[i];

		if (p->prefill_left == 0 && p->decode_left < steps)
			steps = p->decode_left;
		if (first_prefill == 0)
			first_prefill = p->prefill_left;
		if (prefill < c->prefill_chunk)
			prefill += p->prefill_left;
	}
	if (prefill > c->prefill_chunk)
		prefill = c->prefill_chunk;
	if (prefill > 0 && first_prefill < c->prefill_chunk)
		steps = 1;
	else if (prefill > 0 && first_prefill / c->prefill_chunk < steps)
		steps = first_prefill / c->prefill_chunk;
	t = c->step_s + e->nbatch * c->step_per_sequence_s;
	t += prefill / c->prefill_tokens_per_s;
	e->steps = steps;
	e->step_us = SECONDS_TO_US(t / e->speed);
	e->steps_started_at = s->now;
	sim_schedule(s, e->steps_started_at + steps * e->step_us,
	    EVENT_STEPS_DONE, e->index, e->version, NULL);
}

/* Applies the completed steps to the calls of the batch. */
static void
apply_steps(struct sim *s, struct engine *e)
{
	uint64_t chunk = (uint64_t)conf(s)->prefill_chunk * e->steps;

	for (uint32_t i = 0; i < e->nbatch; i++) {
		struct prog *p = e->batch[i];
		uint32_t n = p->prefill_left;

		if (n == 0) {
			p->decode_left -= e->steps;
			continue;
		}
		if (n > chunk)
			n = (uint32_t)chunk;
		p->prefill_left -= n;
		chunk -= n;
	}
	e->steps = 0;
}

/* Removes completed calls from the batch and answers them. */
static void
complete_calls(struct sim *s, struct engine *e)
{
	struct prog *done[256];
	uint32_t n = 0, kept = 0;

	for (uint32_t i = 0; i < e->nbatch; i++) {
		struct prog *p = e->batch[i];

		if (p->prefill_left == 0 && p->decode_left == 0 && n < 256)
			done[n++] = p;
		else
			e->batch[kept++] = p;
	}
	e->nbatch = kept;
	for (uint32_t i = 0; i < n; i++)
		cache_store(s, e, done[i], done[i]->prompt + done[i]->output);
	for (uint32_t i = 0; i < n; i++)
		prog_call_completed(s, done[i]);
}

void
engine_finish_steps(struct sim *s, struct engine *e)
{
	apply_steps(s, e);
	complete_calls(s, e);
	fill_batch(s, e);
	plan_steps(s, e);
}

/* Ends the steps in progress at the next step boundary. */
static void
truncate_steps(struct sim *s, struct engine *e)
{
	mu_us past = s->now - e->steps_started_at;
	uint32_t k = (uint32_t)((past + e->step_us - 1) / e->step_us);

	if (k == 0)
		k = 1;
	if (k >= e->steps)
		return;
	e->steps = k;
	e->version++;
	sim_schedule(s, e->steps_started_at + k * e->step_us, EVENT_STEPS_DONE,
	    e->index, e->version, NULL);
}

void
engine_submit(struct sim *s, struct engine *e, struct prog *p)
{
	p->arrival_seq = ++s->last_seq;
	p->engine = e->index;
	p->state = PROG_QUEUED;
	heap_push(e, p);
	if (e->steps > 0 && e->nbatch < conf(s)->max_batch)
		truncate_steps(s, e);
	else if (e->steps == 0 && e->nbatch == 0) {
		e->version++;
		sim_schedule(
		    s, s->now, EVENT_STEPS_DONE, e->index, e->version, NULL);
	}
}

void
engine_crash(struct sim *s, struct engine *e)
{
	uint32_t n = 0;
	struct prog **lost =
	    sim_alloc(e->nbatch + e->nqueue + 1, sizeof(struct prog *));

	e->alive = false;
	e->version++;
	e->steps = 0;
	for (uint32_t i = 0; i < e->nbatch; i++)
		lost[n++] = e->batch[i];
	e->nbatch = 0;
	while (e->nqueue > 0)
		lost[n++] = heap_pop(e);
	while (!cds_list_empty(&e->lru))
		cache_remove(s, e,
		    cds_list_first_entry(&e->lru, struct cache_entry, node));
	for (uint32_t i = 0; i < n; i++)
		daemon_call_aborted(s, lost[i]);
	free(lost);
}
