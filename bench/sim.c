/*
 * sim.c -- simulated clock, event queue and fault injection.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define FAULT_START 0.25 /* fractions of the measured interval */
#define FAULT_END 0.5
#define FREEZE_INTERVAL_S 60.0
#define FREEZE_S 10.0
#define SLOW_SPEED 0.1

void *
sim_alloc(size_t n, size_t size)
{
	void *p = calloc(n, size);

	if (p == NULL) {
		fputs("out of memory\n", stderr);
		exit(1);
	}
	return p;
}

static bool
event_before(const struct event *a, const struct event *b)
{
	if (a->at != b->at)
		return a->at < b->at;
	return a->seq < b->seq;
}

void
sim_schedule(struct sim *s, mu_us at, enum event_kind kind, uint32_t index,
    uint32_t version, struct prog *p)
{
	struct event v = {at, ++s->last_seq, kind, index, version, p};
	size_t i = s->nevents++;

	if (s->nevents > s->events_size) {
		s->events_size *= 2;
		s->events =
		    realloc(s->events, s->events_size * sizeof(struct event));
		if (s->events == NULL)
			abort();
	}
	while (i > 0 && event_before(&v, &s->events[(i - 1) / 2])) {
		s->events[i] = s->events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	s->events[i] = v;
}

static struct event
pop_event(struct sim *s)
{
	struct event top = s->events[0];
	struct event last = s->events[--s->nevents];
	size_t i = 0;

	for (;;) {
		size_t k = 2 * i + 1;

		if (k >= s->nevents)
			break;
		if (k + 1 < s->nevents &&
		    event_before(&s->events[k + 1], &s->events[k]))
			k++;
		if (!event_before(&s->events[k], &last))
			break;
		s->events[i] = s->events[k];
		i = k;
	}
	s->events[i] = last;
	return top;
}

bool
sim_is_measuring(const struct sim *s)
{
	return s->now >= s->warmup_end && s->now < s->run_end;
}

mu_us
sim_deadline(const struct sim *s, const struct prog *p)
{
	const struct patience *w = &s->conf.workload->patience;

	return p->first_submitted_at +
	       SECONDS_TO_US(p->class->urgent ? w->urgent : w->normal);
}

bool
sim_deadline_passed(const struct sim *s, const struct prog *p)
{
	return s->now > sim_deadline(s, p);
}

static void
init_reports(struct sim *s)
{
	uint32_t n = s->conf.workload->daemons;

	s->reports = sim_alloc(s->nengines, sizeof(*s->reports));
	for (uint32_t i = 0; i < s->nengines; i++)
		for (uint32_t k = 0; k < REPORT_HISTORY; k++) {
			struct report *r = &s->reports[i][k];

			r->sent_total = sim_alloc(n, sizeof(uint64_t));
			r->completed_total = sim_alloc(n, sizeof(uint64_t));
			r->tokens_total = sim_alloc(n, sizeof(uint64_t));
		}
}

static void
schedule_fault(struct sim *s)
{
	double run = s->conf.run_s;
	mu_us from = s->warmup_end + SECONDS_TO_US(run * FAULT_START);
	mu_us to = s->warmup_end + SECONDS_TO_US(run * FAULT_END);

	if (s->conf.fault == FAULT_NONE)
		return;
	if (s->conf.fault != FAULT_REPORTS_FROZEN) {
		sim_schedule(s, from, EVENT_FAULT, 1, 0, NULL);
		sim_schedule(s, to, EVENT_FAULT, 0, 0, NULL);
		return;
	}
	for (from = s->warmup_end; from < s->run_end;
	     from += SECONDS_TO_US(FREEZE_INTERVAL_S)) {
		sim_schedule(s, from, EVENT_FAULT, 1, 0, NULL);
		sim_schedule(
		    s, from + SECONDS_TO_US(FREEZE_S), EVENT_FAULT, 0, 0, NULL);
	}
}

void
sim_init(struct sim *s, const struct sim_conf *c)
{
	memset(s, 0, sizeof(*s));
	s->conf = *c;
	s->nengines = c->workload->engine.count;
	s->warmup_end = SECONDS_TO_US(c->warmup_s);
	s->run_end = SECONDS_TO_US(c->warmup_s + c->run_s);
	s->arrival_rate = shape_arrival_rate(c->workload, c->shape);
	s->arrival_rng = c->seed;
	s->noise_rng = ~c->seed;
	s->events_size = 1024;
	s->events = sim_alloc(s->events_size, sizeof(struct event));
	s->engines = sim_alloc(s->nengines, sizeof(struct engine));
	s->daemons = sim_alloc(c->workload->daemons, sizeof(struct daemon));
	for (uint32_t i = 0; i < s->nengines; i++)
		engine_init(s, i);
	for (uint32_t i = 0; i < c->workload->daemons; i++)
		daemon_init(s, i);
	init_reports(s);
	stat_init(s);
	prog_seed_returning(s);
	sim_schedule(s, 0, EVENT_ARRIVE, 0, 0, NULL);
	sim_schedule(s, REPORT_INTERVAL_US, EVENT_REPORT, 0, 0, NULL);
	schedule_fault(s);
}

static void
restart_engine(struct engine *e)
{
	e->alive = true;
	e->speed = 1;
}

static void
apply_fault(struct sim *s, bool on)
{
	switch (s->conf.fault) {
	case FAULT_ENGINE_LOST:
		if (on)
			engine_crash(s, &s->engines[0]);
		else
			restart_engine(&s->engines[0]);
		break;
	case FAULT_DOMAIN_LOST:
		for (uint32_t i = 0; i < s->nengines; i++) {
			if (i % s->conf.workload->domains != 0)
				continue;
			if (on)
				engine_crash(s, &s->engines[i]);
			else
				restart_engine(&s->engines[i]);
		}
		break;
	case FAULT_ENGINE_SLOW:
		s->engines[0].speed = on ? SLOW_SPEED : 1;
		break;
	case FAULT_REPORTS_FROZEN:
		s->reports_frozen = on;
		s->frozen_at_tick = s->tick;
		break;
	case FAULT_FLOOD:
		s->flood_active = on;
		break;
	case FAULT_NONE:
	case FAULT_COUNT:
		break;
	}
}

static void
report_tick(struct sim *s)
{
	view_record_reports(s);
	if (sim_is_measuring(s))
		stat_sample_load(s);
	sim_schedule(s, s->now + REPORT_INTERVAL_US, EVENT_REPORT, 0, 0, NULL);
}

static void
handle_event(struct sim *s, const struct event *v)
{
	struct engine *e = &s->engines[v->index];

	switch (v->kind) {
	case EVENT_ARRIVE:
		prog_arrive(s);
		break;
	case EVENT_CALL:
		prog_call(s, v->prog);
		break;
	case EVENT_RETRY:
		daemon_submit(s, v->prog);
		break;
	case EVENT_STEPS_DONE:
		if (e->alive && e->version == v->version)
			engine_finish_steps(s, e);
		break;
	case EVENT_IMPORTED:
		engine_import_done(s, e, v->prog);
		break;
	case EVENT_RETAIN_RECHECK:
		if (v->prog->retain_version == v->version)
			daemon_decide_retention(s, v->prog, false);
		break;
	case EVENT_REPORT:
		report_tick(s);
		break;
	case EVENT_FAULT:
		apply_fault(s, v->index == 1);
		break;
	}
}

/* Continues past the measured interval so that most of its visits end. */
void
sim_run(struct sim *s)
{
	mu_us stop = s->run_end + (s->run_end - s->warmup_end) / 2;

	while (s->nevents > 0) {
		struct event v = pop_event(s);

		if (v.at > stop)
			break;
		s->now = v.at;
		handle_event(s, &v);
	}
	stat_finish(s);
}

static void
free_reports(struct sim *s)
{
	for (uint32_t i = 0; i < s->nengines; i++)
		for (uint32_t k = 0; k < REPORT_HISTORY; k++) {
			free(s->reports[i][k].sent_total);
			free(s->reports[i][k].completed_total);
			free(s->reports[i][k].tokens_total);
		}
	free(s->reports);
}

void
sim_free(struct sim *s)
{
	while (s->progs != NULL) {
		struct prog *p = s->progs;

		s->progs = p->next;
		free(p);
	}
	for (uint32_t i = 0; i < s->nengines; i++) {
		free(s->engines[i].batch);
		free(s->engines[i].queue);
	}
	for (uint32_t i = 0; i < s->conf.workload->daemons; i++) {
		free(s->daemons[i].engine_stats);
		free(s->daemons[i].queue);
		free(s->daemons[i].caller_running);
		free(s->daemons[i].caller_queued);
	}
	free_reports(s);
	free(s->engines);
	free(s->daemons);
	free(s->events);
	stat_free(s);
}
