/*
 * life.c -- life cycle of programs: calls, pauses, sub-agents, retries after
 * a refusal, vanishing and later visits.
 */
#include <math.h>
#include <stdlib.h>

#include "sim.h"

#define PRERUN_S 21600.0 /* simulated without engines before the run */
#define PRERUN_CALL_S 5.0 /* assumed call time in that period */
#define RETRY_JITTER 0.2

static const struct prog_class *
returning_class(const struct prog *p)
{
	return p->class->returns.probability > 0 && !p->parent ? p->class
							       : NULL;
}

static void
begin_visit(struct sim *s, struct prog *p)
{
	prog_draw_visit(s, p);
	if (!sim_is_measuring(s) || p->parent != NULL)
		return;
	s->stat.arrived++;
	s->stat.normal_arrived += !p->class->urgent;
}

static double
arrival_gap(struct sim *s)
{
	double rate =
	    s->arrival_rate * s->conf.load * (s->flood_active ? 2 : 1);

	return -log(1 - mu_rand_unit(&s->arrival_rng)) / rate;
}

void
prog_arrive(struct sim *s)
{
	struct prog *p = prog_new(s, NULL);

	if (s->flood_active && mu_rand(&s->arrival_rng) % 2 == 0)
		p->caller = 0;
	sim_schedule(s, s->now + SECONDS_TO_US(arrival_gap(s)), EVENT_ARRIVE, 0,
	    0, NULL);
	prog_call(s, p);
}

/* Draws a visit before the run, without engines; returns its end. */
static double
simulate_visit(struct sim *s, struct prog *p, double at)
{
	prog_draw_visit(s, p);
	while (p->turns_left-- > 0) {
		prog_draw_call(s, p);
		p->history = p->prompt + p->output;
		p->calls++;
		at += PRERUN_CALL_S + dist_draw(&p->class->pause, &p->rng);
	}
	p->turns_left = 0;
	return at;
}

/* Starts a program before the run; schedules its first visit in the run. */
static void
seed_program(struct sim *s, double at)
{
	struct prog *p = prog_new(s, NULL);
	const struct prog_class *k = returning_class(p);

	while (k != NULL && at < 0) {
		at = simulate_visit(s, p, at);
		if (p->turns_until_vanish > 0 ||
		    mu_rand_unit(&p->rng) >= k->returns.probability)
			break;
		at += dist_draw(&k->returns.after, &p->rng);
	}
	if (k == NULL || at < 0 || p->turns_left != 0 || p->calls == 0) {
		s->progs = p->next;
		free(p);
		return;
	}
	p->attained = p->history;
	p->state = PROG_PAUSED;
	sim_schedule(s, SECONDS_TO_US(at), EVENT_CALL, 0, 0, p);
}

void
prog_seed_returning(struct sim *s)
{
	double at = -PRERUN_S;

	while ((at += arrival_gap(s)) < 0)
		seed_program(s, at);
}

void
prog_call(struct sim *s, struct prog *p)
{
	if (p->state == PROG_TERMINATED)
		return;
	if (p->turns_left == 0)
		begin_visit(s, p);
	prog_draw_call(s, p);
	p->first_submitted_at = s->now;
	p->retain_version++;
	daemon_submit(s, p);
}

void
prog_call_refused(struct sim *s, struct prog *p, uint32_t retry_ms)
{
	double wait =
	    retry_ms * (1 + RETRY_JITTER * mu_rand_unit(&s->noise_rng));
	mu_us at = s->now + (mu_us)(wait * MU_US_PER_MS);

	if (sim_is_measuring(s))
		s->stat.refusals++;
	p->state = PROG_WAITING;
	if (at > sim_deadline(s, p))
		prog_abandon(s, p);
	else
		sim_schedule(s, at, EVENT_RETRY, 0, 0, p);
}

void
prog_abandon(struct sim *s, struct prog *p)
{
	struct prog *parent = p->parent;

	p->state = PROG_TERMINATED;
	p->terminated_at = s->now;
	daemon_decide_retention(s, p, true);
	if (parent != NULL)
		prog_abandon(s, parent);
	else if (p->visit_started_at >= s->warmup_end &&
		 p->visit_started_at < s->run_end)
		s->stat.given_up++;
}

static void
terminate(struct sim *s, struct prog *p, bool end_reported)
{
	p->state = PROG_TERMINATED;
	p->terminated_at = s->now;
	daemon_decide_retention(s, p, end_reported);
}

/* Terminates sub-agent p; its parent continues after its own pause. */
static void
resume_parent(struct sim *s, struct prog *p)
{
	struct prog *parent = p->parent;
	double pause = dist_draw(&parent->class->pause, &parent->rng);

	parent->latency += p->latency;
	parent->ideal_latency += p->ideal_latency;
	sim_schedule(
	    s, s->now + SECONDS_TO_US(pause), EVENT_CALL, 0, 0, parent);
	terminate(s, p, true);
}

static void
end_visit(struct sim *s, struct prog *p)
{
	const struct prog_class *k = returning_class(p);
	double after;

	if (p->parent != NULL) {
		resume_parent(s, p);
		return;
	}
	stat_count_visit(s, p);
	if (k == NULL) {
		terminate(s, p, true);
		return;
	}
	if (mu_rand_unit(&p->rng) >= k->returns.probability) {
		terminate(s, p, false);
		return;
	}
	after = dist_draw(&k->returns.after, &p->rng);
	sim_schedule(s, s->now + SECONDS_TO_US(after), EVENT_CALL, 0, 0, p);
	daemon_decide_retention(s, p, false);
}

static void
pause_or_delegate(struct sim *s, struct prog *p)
{
	double pause;

	daemon_decide_retention(s, p, false);
	if (!p->parent && mu_rand_unit(&p->rng) < p->class->sub_agents) {
		prog_call(s, prog_new(s, p));
		return;
	}
	pause = dist_draw(&p->class->pause, &p->rng);
	sim_schedule(s, s->now + SECONDS_TO_US(pause), EVENT_CALL, 0, 0, p);
}

static mu_us
ideal_us(const struct engine_conf *c, uint32_t added, uint32_t output)
{
	double step = c->step_s + c->step_per_sequence_s;
	double chunks = ceil((double)added / c->prefill_chunk);

	return SECONDS_TO_US(
	    (chunks + output) * step + added / c->prefill_tokens_per_s);
}

void
prog_call_completed(struct sim *s, struct prog *p)
{
	uint32_t added = p->prompt - p->history;

	p->latency += s->now - p->first_submitted_at;
	p->ideal_latency +=
	    ideal_us(&s->conf.workload->engine, added, p->output);
	p->attained += added + p->output;
	p->history = p->prompt + p->output;
	p->calls++;
	p->turns_left--;
	p->paused_at = s->now;
	p->state = PROG_PAUSED;
	daemon_call_completed(s, p);
	if (p->turns_until_vanish > 0 && --p->turns_until_vanish == 0)
		terminate(s, p, false);
	else if (p->turns_left == 0)
		end_visit(s, p);
	else
		pause_or_delegate(s, p);
}
