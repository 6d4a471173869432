/*
 * check.c -- result tables and checks against the targets.
 *
 * Results are JSON lines as stat.c prints them.  The results of one cell
 * (workload, load, fault, policy) are averaged over the seeds; low and high
 * are the extremes.
 */
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

#define CELLS_MAX 2048
#define NEARLY_EQUAL(a, b) (fabs((a) - (b)) < 1e-6)

static const char *const measures[MEASURE_COUNT] = {"excess", "excess_p95",
    "mean", "p95", "urgent_p95", "wasted", "recomputed", "held", "fairness",
    "others", "refusals", "given_up", "ended", "arrived", "normal_ended",
    "normal_arrived", "spread"};

static const char *const baselines[] = {"rr", "least", "sticky", "fcfs"};
#define NBASELINES (sizeof(baselines) / sizeof(baselines[0]))

static const char *
string_field(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s != NULL ? s : "";
}

struct cell *
cell_find(struct results *r, const char *name, double load, const char *fault,
    const char *policy)
{
	for (unsigned i = 0; i < r->ncells; i++) {
		struct cell *c = &r->cells[i];

		if (NEARLY_EQUAL(c->load, load) && strcmp(c->name, name) == 0 &&
		    strcmp(c->fault, fault) == 0 &&
		    strcmp(c->policy, policy) == 0)
			return c;
	}
	return NULL;
}

static struct cell *
cell_add(struct results *r, const json_t *o)
{
	double load = json_number_value(json_object_get(o, "load"));
	struct cell *c = cell_find(r, string_field(o, "name"), load,
	    string_field(o, "fault"), string_field(o, "policy"));

	if (c != NULL || r->ncells == CELLS_MAX)
		return c;
	c = &r->cells[r->ncells++];
	memset(c, 0, sizeof(*c));
	snprintf(c->name, sizeof(c->name), "%s", string_field(o, "name"));
	snprintf(c->fault, sizeof(c->fault), "%s", string_field(o, "fault"));
	snprintf(c->policy, sizeof(c->policy), "%s", string_field(o, "policy"));
	c->load = load;
	return c;
}

static void
cell_add_result(struct cell *c, const json_t *o)
{
	for (int i = 0; i < MEASURE_COUNT; i++) {
		double x = json_number_value(json_object_get(o, measures[i]));

		c->mean[i] += (x - c->mean[i]) / (c->seeds + 1);
		if (c->seeds == 0 || x < c->low[i])
			c->low[i] = x;
		if (c->seeds == 0 || x > c->high[i])
			c->high[i] = x;
	}
	c->seeds++;
}

struct results *
results_read(const char *path)
{
	struct results *r = calloc(1, sizeof(*r));
	FILE *f = fopen(path, "r");
	json_t *o;

	if (r == NULL || f == NULL)
		goto fail;
	r->cells = calloc(CELLS_MAX, sizeof(*r->cells));
	if (r->cells == NULL)
		goto fail;
	while ((o = json_loadf(f, JSON_DISABLE_EOF_CHECK, NULL)) != NULL) {
		struct cell *c = cell_add(r, o);

		if (c != NULL)
			cell_add_result(c, o);
		json_decref(o);
	}
	fclose(f);
	return r;
fail:
	perror(path);
	if (f != NULL)
		fclose(f);
	free(r);
	return NULL;
}

void
results_free(struct results *r)
{
	if (r != NULL)
		free(r->cells);
	free(r);
}

static bool
is_known_failure(const char *path, const char *name)
{
	char line[512];
	size_t n = strlen(name);
	bool found = false;
	FILE *f = path != NULL ? fopen(path, "r") : NULL;

	while (f != NULL && !found && fgets(line, sizeof(line), f) != NULL)
		found = strncmp(line, name, n) == 0 &&
			(line[n] == ':' || line[n] == ' ');
	if (f != NULL)
		fclose(f);
	return found;
}

/* Counts one check, which passes if value is at most bound. */
static void
expect(struct tally *t, const char *name, double value, double bound)
{
	if (value <= bound) {
		t->passed++;
		return;
	}
	if (is_known_failure(t->known_failures_path, name)) {
		printf("known red: %s: %.4g, bound %.4g\n", name, value, bound);
		t->known_failures++;
		return;
	}
	printf("FAILED: %s: %.4g, bound %.4g\n", name, value, bound);
	t->failed++;
}

/* Lowest mean of m over c's baselines; INFINITY if none was run. */
static double
best_baseline(struct results *r, const struct cell *c, enum measure m)
{
	double best = INFINITY;

	for (size_t i = 0; i < NBASELINES; i++) {
		struct cell *b =
		    cell_find(r, c->name, c->load, c->fault, baselines[i]);

		if (b != NULL && b->mean[m] < best)
			best = b->mean[m];
	}
	return best;
}

/* ratio * x; x itself if not positive, where a ratio would loosen the bound. */
static double
relative_bound(double ratio, double x)
{
	return x > 0 ? ratio * x : x;
}

static void
check_healthy(struct tally *t, struct results *r, const struct cell *c)
{
	struct cell *sticky =
	    cell_find(r, c->name, c->load, c->fault, "sticky");
	struct cell *least = cell_find(r, c->name, c->load, c->fault, "least");
	char name[128];

	if (sticky == NULL || least == NULL)
		return;
#define NAME(what) \
	(snprintf( \
	     name, sizeof(name), "bench-%s-%s-%.2f", what, c->name, c->load), \
	    name)
	expect(t, NAME("excess"), c->mean[MEASURE_EXCESS],
	    relative_bound(0.6, best_baseline(r, c, MEASURE_EXCESS)));
	expect(t, NAME("excess-p95"), c->mean[MEASURE_EXCESS_P95],
	    best_baseline(r, c, MEASURE_EXCESS_P95));
	expect(t, NAME("p95"), c->mean[MEASURE_P95],
	    best_baseline(r, c, MEASURE_P95));
	expect(t, NAME("waste-sticky"), c->mean[MEASURE_WASTED],
	    sticky->mean[MEASURE_WASTED]);
	expect(t, NAME("waste-least"), c->mean[MEASURE_WASTED],
	    0.1 * least->mean[MEASURE_WASTED]);
#undef NAME
}

static void
check_fault(struct tally *t, struct results *r, const struct cell *c)
{
	struct cell *sticky =
	    cell_find(r, c->name, c->load, c->fault, "sticky");
	struct cell *healthy =
	    cell_find(r, c->name, c->load, "none", c->policy);
	char name[128];

	snprintf(
	    name, sizeof(name), "bench-%s-%s-%.2f", c->fault, c->name, c->load);
	if (strcmp(c->fault, "flood") != 0 && sticky != NULL)
		expect(t, name, c->mean[MEASURE_EXCESS],
		    relative_bound(0.5, sticky->mean[MEASURE_EXCESS]));
	else if (healthy != NULL)
		expect(t, name, c->mean[MEASURE_OTHERS],
		    1.2 * healthy->mean[MEASURE_OTHERS]);
}

/* No baseline may be better on the measure that the workload weighs more. */
static void
check_weighted(struct tally *t, struct results *r, const struct cell *c)
{
	bool waste = strcmp(c->name, "trust") == 0;
	enum measure m = waste ? MEASURE_WASTED : MEASURE_EXCESS;
	char name[128];

	snprintf(name, sizeof(name), "bench-weighed-%s-%s-%.2f", c->fault,
	    c->name, c->load);
	expect(t, name, c->mean[m], best_baseline(r, c, m));
}

static void
check_goodput(struct tally *t, struct results *r, const struct cell *c)
{
	struct cell *full = cell_find(r, c->name, 1.0, "none", c->policy);
	char name[128];

	if (full == NULL)
		return;
	snprintf(name, sizeof(name), "bench-goodput-%s", c->name);
	expect(
	    t, name, 0.9 * full->mean[MEASURE_ENDED], c->mean[MEASURE_ENDED]);
}

int
results_check(struct results *r, struct tally *t)
{
	for (unsigned i = 0; i < r->ncells; i++) {
		const struct cell *c = &r->cells[i];
		bool healthy = strcmp(c->fault, "none") == 0;

		if (strcmp(c->policy, "musher") != 0)
			continue;
		if (healthy && c->load >= 0.8)
			check_healthy(t, r, c);
		if (!healthy)
			check_fault(t, r, c);
		if (cell_find(r, c->name, c->load, c->fault, "sticky") != NULL)
			check_weighted(t, r, c);
		if (healthy && NEARLY_EQUAL(c->load, 1.3))
			check_goodput(t, r, c);
	}
	return t->failed > 0;
}

void
results_table(const struct results *r)
{
	puts("| workload | load | fault | policy | excess s (range) | 95th "
	     "excess s | mean s | 95th s | wasted M (recomputed + held) | "
	     "Jain | refusals | given up | ended of arrived | not urgent | "
	     "spread of load "
	     "|\n"
	     "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
	     "--- | --- | --- | --- | --- |");
	for (unsigned i = 0; i < r->ncells; i++) {
		const struct cell *c = &r->cells[i];
		const double *m = c->mean;

		printf("| %s | %.2f | %s | %s | %.1f (%.1f..%.1f) | %.1f | "
		       "%.1f | %.1f | %.1f (%.1f + %.1f) | %.3f | %.0f | %.0f "
		       "| %.0f of %.0f | %.0f of %.0f | %.3f |\n",
		    c->name, c->load, c->fault, c->policy, m[MEASURE_EXCESS],
		    c->low[MEASURE_EXCESS], c->high[MEASURE_EXCESS],
		    m[MEASURE_EXCESS_P95], m[MEASURE_MEAN], m[MEASURE_P95],
		    m[MEASURE_WASTED] / 1e6, m[MEASURE_RECOMPUTED] / 1e6,
		    (m[MEASURE_WASTED] - m[MEASURE_RECOMPUTED]) / 1e6,
		    m[MEASURE_FAIRNESS], m[MEASURE_REFUSALS],
		    m[MEASURE_GIVEN_UP], m[MEASURE_ENDED], m[MEASURE_ARRIVED],
		    m[MEASURE_NORMAL_ENDED], m[MEASURE_NORMAL_ARRIVED],
		    m[MEASURE_SPREAD]);
	}
}
