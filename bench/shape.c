/*
 * shape.c -- draws programs: number of turns, prompt and output sizes, pauses.
 *
 * Each program has its own random number generator, seeded from the run's seed
 * and the program's number, and draws in the order of its own calls, so that
 * every policy gets the same programs.
 */
#include <math.h>
#include <stdlib.h>

#include "sim.h"

#define RATE_SAMPLES 20000
#define CHILD_TURNS_MAX 3
#define TOKENS_MAX 250000 /* of a program's history */

static double
draw_normal(uint64_t *rng)
{
	double u = 1 - mu_rand_unit(rng);
	double v = mu_rand_unit(rng);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * v);
}

double
dist_draw(const struct dist *d, uint64_t *rng)
{
	double x = d->median * exp(d->sigma * draw_normal(rng));

	return d->max > 0 && x > d->max ? d->max : x;
}

static uint32_t
draw_count(const struct dist *d, uint64_t *rng)
{
	double x = dist_draw(d, rng);

	if (x > TOKENS_MAX)
		x = TOKENS_MAX;
	return x < 1 ? 1 : (uint32_t)lrint(x);
}

static const struct prog_class *
draw_class(const struct shape *sh, uint64_t *rng)
{
	double u = mu_rand_unit(rng);
	unsigned i;

	for (i = 0; i + 1 < sh->nclasses; i++) {
		if (u < sh->classes[i].share)
			break;
		u -= sh->classes[i].share;
	}
	return &sh->classes[i];
}

double
shape_call_us(const struct engine_conf *e, uint32_t added, uint32_t output)
{
	double step = e->step_s + e->max_batch * e->step_per_sequence_s;
	double chunks = ceil((double)added / e->prefill_chunk);
	double s = (output + chunks) * step / e->max_batch;

	return (s + added / e->prefill_tokens_per_s) * 1e6;
}

static uint32_t
draw_child_turns(uint64_t *rng)
{
	return 1 + (uint32_t)(mu_rand(rng) % CHILD_TURNS_MAX);
}

static double
chain_us(const struct engine_conf *e, const struct prog_class *k,
    uint32_t turns, bool starts_program, uint64_t *rng)
{
	double sum = 0;

	for (uint32_t i = 0; i < turns; i++) {
		const struct dist *d =
		    i == 0 && starts_program ? &k->prompt : &k->added;
		uint32_t added = draw_count(d, rng);

		sum += shape_call_us(e, added, draw_count(&k->output, rng));
	}
	return sum;
}

/* Expected engine time of a drawn visit and the later visits, us. */
static double
program_us(const struct workload *w, const struct prog_class *k, uint64_t *rng)
{
	uint32_t turns = draw_count(&k->turns, rng);
	double sum;

	if (w->budget.calls > 0 && turns > w->budget.calls)
		turns = w->budget.calls;
	if (mu_rand_unit(rng) < k->vanishes)
		turns = 1 + (uint32_t)(mu_rand(rng) % turns);
	sum = chain_us(&w->engine, k, turns, true, rng);
	for (uint32_t i = 1; i < turns; i++)
		if (mu_rand_unit(rng) < k->sub_agents)
			sum += chain_us(
			    &w->engine, k, draw_child_turns(rng), true, rng);
	return sum / (1 - k->returns.probability);
}

double
shape_arrival_rate(const struct workload *w, const struct shape *sh)
{
	uint64_t rng = sh->seed;
	double sum = 0;

	for (int i = 0; i < RATE_SAMPLES; i++)
		sum += program_us(w, draw_class(sh, &rng), &rng);
	return w->engine.count * 1e6 * RATE_SAMPLES / sum;
}

struct prog *
prog_new(struct sim *s, struct prog *parent)
{
	struct prog *p =
	    sim_alloc(1, sizeof(*p) + s->nengines * sizeof(struct cache_entry));

	if (parent != NULL)
		p->rng = parent->id + ++parent->nchildren;
	else
		p->rng = s->conf.seed * 0x100000001b3ULL + ++s->nroot_progs;
	p->id = mu_rand(&p->rng);
	p->class = parent ? parent->class : draw_class(s->conf.shape, &p->rng);
	p->parent = parent;
	p->caller = (uint32_t)(mu_rand(&p->rng) % s->conf.workload->callers);
	p->daemon = (uint32_t)(mu_rand(&p->rng) % s->conf.workload->daemons);
	if (parent != NULL) {
		p->caller = parent->caller;
		p->daemon = parent->daemon;
	}
	p->home = MU_NO_ENDPOINT;
	p->evict_event_at = MU_US_NEVER;
	p->terminated_at = MU_US_NEVER;
	p->born_at = s->now;
	p->next = s->progs;
	s->progs = p;
	for (uint32_t i = 0; i < s->nengines; i++)
		p->cached[i].prog = p;
	return p;
}

void
prog_draw_visit(struct sim *s, struct prog *p)
{
	const struct budget *b = &s->conf.workload->budget;
	uint32_t turns = p->parent ? draw_child_turns(&p->rng)
				   : draw_count(&p->class->turns, &p->rng);

	if (b->calls > 0 && p->calls + turns > b->calls)
		turns = b->calls > p->calls ? b->calls - p->calls : 1;
	p->turns_left = turns;
	p->turns_until_vanish = 0;
	if (!p->parent && mu_rand_unit(&p->rng) < p->class->vanishes)
		p->turns_until_vanish =
		    1 + (uint32_t)(mu_rand(&p->rng) % turns);
	p->visits++;
	p->visit_started_at = s->now;
	p->latency = 0;
	p->ideal_latency = 0;
}

void
prog_draw_call(struct sim *s, struct prog *p)
{
	const struct prog_class *k = p->class;
	uint32_t added;

	(void)s;
	added = draw_count(p->history == 0 ? &k->prompt : &k->added, &p->rng);
	if (p->history + added > TOKENS_MAX)
		added = 1;
	p->prompt = p->history + added;
	p->output = draw_count(&k->output, &p->rng);
}
