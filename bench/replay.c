/*
 * replay.c -- replays a recorded list of calls on the engine model.
 *
 * bench/calibrate records the calls on a stand-in engine process, whose step
 * time does not depend on the batch and whose prefill runs concurrently with
 * other calls.  The model uses the stand-in's step time and batch size.
 */
#include <stdio.h>
#include <stdlib.h>

#include "replay.h"
#include "sim.h"

#define CALLS_MAX 1000

struct call {
	double at_s;
	unsigned prompt; /* tokens, none cached */
	unsigned output;
	double measured_s; /* latency on the stand-in */
	struct prog *prog;
};

static unsigned
read_calls(const char *path, struct call *calls)
{
	FILE *f = fopen(path, "r");
	unsigned n = 0;
	char line[256];

	while (f != NULL && n < CALLS_MAX &&
	       fgets(line, sizeof(line), f) != NULL) {
		struct call *c = &calls[n];
		char *p = line;

		c->at_s = strtod(p, &p);
		c->prompt = (unsigned)strtoul(p, &p, 10);
		c->output = (unsigned)strtoul(p, &p, 10);
		c->measured_s = strtod(p, &p);
		n += c->output > 0;
	}
	if (f != NULL)
		fclose(f);
	return n;
}

static const struct prog_class *
class_without_returns(const struct shape *sh)
{
	for (unsigned i = 0; i < sh->nclasses; i++)
		if (sh->classes[i].returns.probability <= 0)
			return &sh->classes[i];
	return &sh->classes[0];
}

static void
submit_call(struct sim *s, struct call *c)
{
	struct prog *p = prog_new(s, NULL);

	p->class = class_without_returns(s->conf.shape);
	prog_draw_visit(s, p);
	p->turns_left = 1;
	p->turns_until_vanish = 0;
	p->prompt = c->prompt;
	p->output = c->output;
	p->first_submitted_at = s->now;
	c->prog = p;
	daemon_submit(s, p);
}

/* Runs engine events only: no arrivals and no load reports. */
static void
run_until(struct sim *s, mu_us until)
{
	for (;;) {
		size_t best = s->nevents;

		for (size_t i = 0; i < s->nevents; i++)
			if (s->events[i].kind == EVENT_STEPS_DONE &&
			    s->events[i].at <= until &&
			    s->events[i].version == s->engines[0].version)
				best = i;
		if (best == s->nevents)
			break;
		s->now = s->events[best].at;
		s->nevents = 0;
		engine_finish_steps(s, &s->engines[0]);
	}
	s->now = until;
}

static void
print_comparison(const struct call *calls, unsigned n)
{
	double model = 0, real = 0;

	for (unsigned i = 0; i < n; i++) {
		model += US_TO_SECONDS(calls[i].prog->latency);
		real += calls[i].measured_s;
	}
	printf("calls %u, mean latency: stand-in %.3f s, model %.3f s, "
	       "difference %+.1f %%\n",
	    n, real / n, model / n, 100 * (model - real) / real);
}

int
replay(struct workload *w, const char *path, double step_s, unsigned batch)
{
	struct sim_conf conf = {
	    .workload = w, .load = 1e-6, .seed = 1, .run_s = 1e6};
	struct call *calls = sim_alloc(CALLS_MAX, sizeof(*calls));
	unsigned n = read_calls(path, calls);
	struct sim s;

	if (n == 0) {
		fprintf(stderr, "%s: no calls\n", path);
		free(calls);
		return 1;
	}
	w->engine.count = 1;
	w->engine.step_s = step_s;
	w->engine.step_per_sequence_s = 0;
	w->engine.max_batch = batch;
	conf.shape = workload_shape(w, NULL);
	conf.policy = policy_find("sticky");
	sim_init(&s, &conf);
	s.nevents = 0;
	for (unsigned i = 0; i < n; i++) {
		run_until(&s, SECONDS_TO_US(calls[i].at_s));
		submit_call(&s, &calls[i]);
	}
	run_until(&s, SECONDS_TO_US(conf.run_s));
	print_comparison(calls, n);
	sim_free(&s);
	free(calls);
	return 0;
}
