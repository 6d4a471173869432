/*
 * stat.c -- metrics of a run.
 *
 * Program latency is the sum of the latencies of a visit's calls and those of
 * its sub-agents, each from its first submission to its answer, including
 * refusals and the wait before a retry, but not tool pauses.
 *
 * Wasted cache is the number of history tokens recomputed, plus token-seconds
 * cached for terminated programs.  A token-second counts as the tokens that an
 * engine computes in one second divided by its cache size in tokens, so that a
 * full cache costs as much as a fully used engine.
 */
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

static const char *const fault_names[] = {"none", "engine-lost", "domain-lost",
    "engine-slow", "reports-frozen", "flood"};

const char *
fault_name(enum fault f)
{
	return f < FAULT_COUNT ? fault_names[f] : "?";
}

int
fault_find(const char *name)
{
	for (int i = 0; i < FAULT_COUNT; i++)
		if (strcmp(name, fault_names[i]) == 0)
			return i;
	return -1;
}

void
stat_init(struct sim *s)
{
	struct stat *t = &s->stat;

	t->latency_size = 1024;
	t->latency = sim_alloc(t->latency_size, sizeof(double));
	t->visits_size = 1024;
	t->visits = sim_alloc(t->visits_size, sizeof(struct visit));
	t->urgent_size = 1024;
	t->urgent = sim_alloc(t->urgent_size, sizeof(double));
	t->caller_slowdown_sum =
	    sim_alloc(s->conf.workload->callers, sizeof(double));
	t->caller_visits =
	    sim_alloc(s->conf.workload->callers, sizeof(uint32_t));
}

static void
push_double(double **a, uint32_t *n, uint32_t *size, double x)
{
	if (*n == *size) {
		*size *= 2;
		*a = realloc(*a, *size * sizeof(double));
		if (*a == NULL)
			abort();
	}
	(*a)[(*n)++] = x;
}

static void
push_visit(struct stat *t, struct visit v)
{
	if (t->nvisits == t->visits_size) {
		t->visits_size *= 2;
		t->visits =
		    realloc(t->visits, t->visits_size * sizeof(struct visit));
		if (t->visits == NULL)
			abort();
	}
	t->visits[t->nvisits++] = v;
}

void
stat_count_visit(struct sim *s, struct prog *p)
{
	struct stat *t = &s->stat;
	double x = US_TO_SECONDS(p->latency);

	if (p->visit_started_at < s->warmup_end ||
	    p->visit_started_at >= s->run_end)
		return;
	push_visit(t, (struct visit){p->id + p->visits, x});
	t->ended++;
	t->normal_ended += !p->class->urgent;
	push_double(&t->latency, &t->nlatency, &t->latency_size, x);
	if (p->class->urgent)
		push_double(&t->urgent, &t->nurgent, &t->urgent_size, x);
	t->caller_slowdown_sum[p->caller] +=
	    (double)p->latency / (double)p->ideal_latency;
	t->caller_visits[p->caller]++;
}

void
stat_count_held(struct sim *s, const struct cache_entry *h)
{
	mu_us from = h->stored_at > h->prog->terminated_at
			 ? h->stored_at
			 : h->prog->terminated_at;
	mu_us to = s->now < s->run_end ? s->now : s->run_end;

	if (h->prog->terminated_at == MU_US_NEVER)
		return;
	if (from < s->warmup_end)
		from = s->warmup_end;
	if (to > from)
		s->stat.held_token_s += h->tokens * US_TO_SECONDS(to - from);
}

void
stat_sample_load(struct sim *s)
{
	double sum = 0, squares = 0, mean;

	for (uint32_t i = 0; i < s->nengines; i++) {
		double x = (double)s->engines[i].nbatch + s->engines[i].nqueue;

		sum += x;
		squares += x * x;
	}
	mean = sum / s->nengines;
	if (mean <= 0)
		return;
	s->stat.load_cv_sum +=
	    sqrt(fmax(0, squares / s->nengines - mean * mean)) / mean;
	s->stat.ticks++;
}

static int
compare_visits(const void *a, const void *b)
{
	const struct visit *x = a, *y = b;

	return x->key < y->key ? -1 : x->key > y->key;
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

void
stat_finish(struct sim *s)
{
	struct stat *t = &s->stat;

	for (struct prog *p = s->progs; p != NULL; p = p->next)
		for (uint32_t i = 0; i < s->nengines; i++)
			if (p->cached[i].tokens > 0)
				stat_count_held(s, &p->cached[i]);
	qsort(t->visits, t->nvisits, sizeof(struct visit), compare_visits);
	qsort(t->latency, t->nlatency, sizeof(double), compare_doubles);
	qsort(t->urgent, t->nurgent, sizeof(double), compare_doubles);
}

static double
mean(const double *a, uint32_t n)
{
	double sum = 0;

	for (uint32_t i = 0; i < n; i++)
		sum += a[i];
	return n > 0 ? sum / n : 0;
}

static double
quantile(const double *a, uint32_t n, double q)
{
	return n > 0 ? a[(uint32_t)((n - 1) * q)] : 0;
}

/*
 * Only visits that completed in both runs are compared: a policy that rejects
 * long programs would otherwise look faster than one that serves them.
 */
void
stat_compare(struct sim *s, const struct stat *bound)
{
	struct stat *t = &s->stat;
	double *x = sim_alloc(t->nvisits + 1, sizeof(double));
	double *y = sim_alloc(t->nvisits + 1, sizeof(double));
	uint32_t n = 0, k = 0;

	for (uint32_t i = 0; i < t->nvisits; i++) {
		const struct visit *v = &t->visits[i];

		while (k < bound->nvisits && bound->visits[k].key < v->key)
			k++;
		if (k == bound->nvisits || bound->visits[k].key != v->key)
			continue;
		x[n] = v->latency;
		y[n++] = bound->visits[k].latency;
	}
	qsort(x, n, sizeof(double), compare_doubles);
	qsort(y, n, sizeof(double), compare_doubles);
	t->ncompared = n;
	t->excess = mean(x, n) - mean(y, n);
	t->excess_p95 = quantile(x, n, 0.95) - quantile(y, n, 0.95);
	free(x);
	free(y);
}

/*
 * Jain's fairness index of the callers' mean slowdowns; 1: all equal ("A
 * Quantitative Measure of Fairness", R. Jain, D. Chiu, W. Hawe, 1984).
 */
static double
fairness(const struct sim *s)
{
	double sum = 0, squares = 0;
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->conf.workload->callers; i++) {
		double x = s->stat.caller_slowdown_sum[i];

		if (s->stat.caller_visits[i] == 0)
			continue;
		x /= s->stat.caller_visits[i];
		sum += x;
		squares += x * x;
		n++;
	}
	return squares > 0 ? sum * sum / (n * squares) : 1;
}

/* Mean slowdown of all callers but the first, which sends the flood. */
static double
others_slowdown(const struct sim *s)
{
	double sum = 0;
	uint32_t n = 0;

	for (uint32_t i = 1; i < s->conf.workload->callers; i++) {
		sum += s->stat.caller_slowdown_sum[i];
		n += s->stat.caller_visits[i];
	}
	return n > 0 ? sum / n : 0;
}

static json_t *
result_json(const struct sim *s)
{
	const struct stat *t = &s->stat;
	const struct engine_conf *e = &s->conf.workload->engine;
	double token_second = e->prefill_tokens_per_s / (double)e->cache_tokens;
	json_t *o = json_object();

#define NUM(name, x) json_object_set_new(o, name, json_real(x))
	json_object_set_new(o, "name", json_string(s->conf.shape->name));
	json_object_set_new(o, "policy", json_string(s->conf.policy->name));
	json_object_set_new(o, "fault", json_string(fault_name(s->conf.fault)));
	NUM("load", s->conf.load);
	NUM("seed", (double)s->conf.seed);
	NUM("lag", e->report_lag_s);
	NUM("rate", s->arrival_rate);
	NUM("mean", mean(t->latency, t->nlatency));
	NUM("p95", quantile(t->latency, t->nlatency, 0.95));
	NUM("urgent_mean", mean(t->urgent, t->nurgent));
	NUM("urgent_p95", quantile(t->urgent, t->nurgent, 0.95));
	NUM("excess", t->excess);
	NUM("excess_p95", t->excess_p95);
	NUM("paired", (double)t->ncompared);
	NUM("normal_arrived", (double)t->normal_arrived);
	NUM("normal_ended", (double)t->normal_ended);
	NUM("arrived", (double)t->arrived);
	NUM("ended", (double)t->ended);
	NUM("given_up", (double)t->given_up);
	NUM("refusals", (double)t->refusals);
	NUM("calls", (double)t->calls);
	NUM("recomputed", t->recomputed);
	NUM("prompted", t->prompted);
	NUM("held", t->held_token_s);
	NUM("exported", t->exported);
	NUM("wasted", t->recomputed + t->held_token_s * token_second);
	NUM("fairness", fairness(s));
	NUM("others", others_slowdown(s));
	NUM("moved", (double)t->moved);
	NUM("spread", t->ticks > 0 ? t->load_cv_sum / t->ticks : 0);
#undef NUM
	return o;
}

void
stat_print(struct sim *s, bool json)
{
	json_t *o = result_json(s);
	const char *key;
	json_t *value;

	if (json) {
		json_dumpf(o, stdout, JSON_COMPACT | JSON_REAL_PRECISION(9));
		putchar('\n');
	} else {
		json_object_foreach (o, key, value) {
			if (json_is_string(value))
				printf("%-12s %s\n", key,
				    json_string_value(value));
			else
				printf("%-12s %.6g\n", key,
				    json_real_value(value));
		}
	}
	json_decref(o);
}

void
stat_free(struct sim *s)
{
	free(s->stat.visits);
	free(s->stat.latency);
	free(s->stat.urgent);
	free(s->stat.caller_slowdown_sum);
	free(s->stat.caller_visits);
}
