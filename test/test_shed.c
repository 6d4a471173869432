/* test_shed.c -- classes and limits of new programs, and a replay of the load
 * that they are made for: a burst of two kinds of programs. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "shed.h"

/* Guards against shedding that is on without the setting, or in a service that
 * has no less urgent routes. */
static void
test_services_whose_programs_are_alike(void **state)
{
	(void)state;
	assert_int_equal(mu_shed_class(0, 0, 0), MU_SHED_DEFAULT);
	assert_int_equal(mu_shed_class(0, 3, 3), MU_SHED_DEFAULT);
	assert_int_equal(mu_shed_class(2, 0, 0), MU_SHED_DEFAULT);
	assert_int_equal(mu_shed_class(2, 1, 1), MU_SHED_DEFAULT);
}

/* Guards against a priority that is off by one or compared the wrong way. */
static void
test_classes_by_priority(void **state)
{
	(void)state;
	assert_int_equal(mu_shed_class(2, 0, 2), MU_SHED_LAST);
	assert_int_equal(mu_shed_class(2, 1, 2), MU_SHED_LAST);
	assert_int_equal(mu_shed_class(2, 2, 2), MU_SHED_FIRST);
	assert_int_equal(mu_shed_class(2, 3, 7), MU_SHED_FIRST);
	assert_int_equal(
	    mu_shed_class(1, UINT32_MAX, UINT32_MAX), MU_SHED_FIRST);
	assert_string_equal(mu_shed_class_name(MU_SHED_DEFAULT), "default");
	assert_string_equal(mu_shed_class_name(MU_SHED_FIRST), "first");
	assert_string_equal(mu_shed_class_name(MU_SHED_LAST), "last");
}

/* Guards against swapped or moved limits (docs/design/hard-load.md). */
static void
test_limits(void **state)
{
	static const struct {
		enum mu_shed_class class;
		double limit;
	} all[] = {
	    {MU_SHED_FIRST, 0.6}, {MU_SHED_DEFAULT, 0.75}, {MU_SHED_LAST, 1.3}};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(all) / sizeof(*all); i++) {
		assert_true(mu_shed_admits(all[i].class, 0));
		assert_true(mu_shed_admits(all[i].class, all[i].limit - 0.01));
		assert_false(mu_shed_admits(all[i].class, all[i].limit));
		assert_false(mu_shed_admits(all[i].class, 4));
	}
}

/*
 * Replay.  Urgent programs have two turns one after the other, the others six
 * stages of two turns at once, with a tool call between stages.  They arrive
 * for six seconds at up to twice what the slots run, three urgent ones for each
 * other one.  Turns wait at the endpoints, which run them in the order of their
 * arrival.  A refused program is lost.
 */
enum kind {
	URGENT,
	BULK,
	NKINDS
};
enum rule {
	ADMIT_ALL,
	ONE_LIMIT,
	TWO_CLASSES
};

#define STEP_MS 10
#define REPLAY_MS 30000
#define BURST_MS 6000
#define RAMP_MS 1000 /* at both ends of the burst */
#define PEAK 2.0 /* load at the peak, per slot */
#define TURN_MS 250
#define TOOL_MS 100
#define SLOTS 72
#define BATCH_SLOWDOWN 0.16 /* of turns when all slots are taken */
#define TIME_FACTOR 1.4
#define TIME_MARGIN_MS 300
#define WIDTH_MAX 2
#define PROGRAMS_MAX 2000

static const struct {
	int stages, width;
	uint32_t priority;
} kinds[NKINDS] = {{2, 1, 0}, {6, 2, 2}};

struct program {
	enum kind kind;
	int arrived, deadline; /* ms */
	int stage; /* 0-based */
	int waiting; /* turns of the stage that wait for a slot */
	int waits_since;
	int running;
	int ends[WIDTH_MAX]; /* of running turns; 0: none */
	int resumes; /* end of a tool call; 0: none */
};

struct replay {
	enum rule rule;
	struct program p[PROGRAMS_MAX];
	int n;
	int busy, waiting;
	int arrived[NKINDS], in_time[NKINDS];
};

static bool
admits(const struct replay *r, enum kind k)
{
	double utilization = (double)(r->busy + r->waiting) / SLOTS;

	switch (r->rule) {
	case ADMIT_ALL:
		return true;
	case ONE_LIMIT:
		return mu_shed_admits(MU_SHED_DEFAULT, utilization);
	case TWO_CLASSES:
		break;
	}
	return mu_shed_admits(
	    mu_shed_class(2, kinds[k].priority, kinds[BULK].priority),
	    utilization);
}

static void
begin_stage(struct replay *r, struct program *p, int now)
{
	p->waits_since = now;
	p->waiting = kinds[p->kind].width;
	r->waiting += p->waiting;
}

static void
arrive(struct replay *r, enum kind k, int now)
{
	struct program *p;
	int idle_ms = kinds[k].stages * (TURN_MS + TOOL_MS) - TOOL_MS;

	r->arrived[k]++;
	if (!admits(r, k))
		return;
	assert_true(r->n < PROGRAMS_MAX);
	p = &r->p[r->n++];
	p->kind = k;
	p->arrived = now;
	p->deadline = now + (int)(TIME_FACTOR * idle_ms) + TIME_MARGIN_MS;
	begin_stage(r, p, now);
}

static void
end_turns(struct replay *r, struct program *p, int now)
{
	int i;

	for (i = 0; i < WIDTH_MAX; i++)
		if (p->ends[i] != 0 && p->ends[i] <= now) {
			p->ends[i] = 0;
			p->running--;
			r->busy--;
			if (p->running > 0 || p->waiting > 0)
				continue;
			if (++p->stage < kinds[p->kind].stages)
				p->resumes = now + TOOL_MS;
			else if (now <= p->deadline)
				r->in_time[p->kind]++;
		}
	if (p->resumes != 0 && p->resumes <= now) {
		p->resumes = 0;
		begin_stage(r, p, now);
	}
}

/* The program whose turns have waited longest. */
static struct program *
next_to_run(struct replay *r)
{
	struct program *found = NULL, *p;

	for (p = r->p; p < r->p + r->n; p++)
		if (p->waiting > 0 &&
		    (found == NULL || p->waits_since < found->waits_since))
			found = p;
	return found;
}

static void
start_turns(struct replay *r, int now)
{
	struct program *p;
	int i;

	while (r->busy < SLOTS && (p = next_to_run(r)) != NULL) {
		for (i = 0; p->ends[i] != 0; i++)
			;
		r->busy++;
		p->ends[i] =
		    now +
		    (int)(TURN_MS * (1 + BATCH_SLOWDOWN * r->busy / SLOTS));
		p->running++;
		p->waiting--;
		r->waiting--;
	}
}

/* Load that arrives, per slot. */
static double
arriving(int now)
{
	if (now >= BURST_MS)
		return 0;
	if (now < RAMP_MS)
		return PEAK * now / RAMP_MS;
	if (now > BURST_MS - RAMP_MS)
		return PEAK * (BURST_MS - now) / RAMP_MS;
	return PEAK;
}

static void
replay(struct replay *r, enum rule rule)
{
	static const enum kind order[] = {URGENT, URGENT, URGENT, BULK};
	double turns = 0; /* that have arrived and are not in a program yet */
	unsigned next = 0;
	int now, i, size;

	memset(r, 0, sizeof(*r));
	r->rule = rule;
	for (now = 0; now < REPLAY_MS; now += STEP_MS) {
		for (i = 0; i < r->n; i++)
			end_turns(r, &r->p[i], now);
		turns += arriving(now) * SLOTS * STEP_MS / TURN_MS;
		for (;; next++) {
			i = order[next % 4];
			size = kinds[i].stages * kinds[i].width;
			if (turns < size)
				break;
			turns -= size;
			arrive(r, order[next % 4], now);
		}
		start_turns(r, now);
	}
	print_message("rule %d: urgent %d of %d in time, others %d of %d\n",
	    (int)rule, r->in_time[URGENT], r->arrived[URGENT], r->in_time[BULK],
	    r->arrived[BULK]);
}

/* Guards against limits with which urgent programs are lost in a burst of
 * others, or programs start that can't end in time. */
static void
test_replay_of_two_kinds(void **state)
{
	static struct replay all, one, two;
	int whole_all, whole_one, whole_two;

	(void)state;
	replay(&all, ADMIT_ALL);
	replay(&one, ONE_LIMIT);
	replay(&two, TWO_CLASSES);
	whole_all = all.in_time[URGENT] + all.in_time[BULK];
	whole_one = one.in_time[URGENT] + one.in_time[BULK];
	whole_two = two.in_time[URGENT] + two.in_time[BULK];
	assert_int_equal(one.arrived[URGENT], two.arrived[URGENT]);
	assert_true(two.in_time[URGENT] * 4 >= one.in_time[URGENT] * 5);
	assert_true(two.in_time[URGENT] >= 2 * all.in_time[URGENT]);
	assert_true(whole_two * 4 >= whole_one * 5);
	assert_true(whole_two >= 2 * whole_all);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_services_whose_programs_are_alike),
	    cmocka_unit_test(test_classes_by_priority),
	    cmocka_unit_test(test_limits),
	    cmocka_unit_test(test_replay_of_two_kinds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
