/* test_targets.c -- state of endpoints that leave, lapse, fail or are slow,
 * from their entries, their answers and peers' reports; on a manual clock. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "memstore.h"
#include "targets.h"

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct mu_targets targets;
	struct mu_group *group;
};

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	mu_clock_manual(&f->clock, MU_US_PER_S);
	f->loop = mu_loop_new(&f->clock);
	(void)mu_targets_init(&f->targets, f->loop, "east", 1);
	f->group = mu_targets_group(&f->targets, "app");
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	mu_targets_clear(&f->targets);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
entry(struct fixture *f, const char *name, int64_t born, int64_t sequence,
    bool leaving)
{
	struct mu_target_info i = {.service = "app",
	    .addr = "127.0.0.1:9",
	    .domain = "east",
	    .slots = 4,
	    .leaving = leaving,
	    .born = born,
	    .sequence = sequence};

	(void)snprintf(i.name, sizeof(i.name), "%s", name);
	mu_targets_learn(&f->targets, &i);
}

/* Returns the endpoint and its candidate; NULL and all zero when not listed. */
static struct mu_target *
view(struct fixture *f, const char *name, struct mu_candidate *found)
{
	struct mu_candidate c[MU_CHOOSE_MAX];
	struct mu_target *targets[MU_CHOOSE_MAX], *x = NULL;
	uint32_t i, n;

	memset(found, 0, sizeof(*found));
	n = mu_group_view(&f->targets, f->group, c, targets);
	for (i = 0; i < n; i++)
		if (strcmp(targets[i]->info.name, name) == 0) {
			*found = c[i];
			x = targets[i];
		}
	return x;
}

static bool
usable(struct fixture *f, const char *name)
{
	struct mu_candidate c;

	(void)view(f, name, &c);
	return c.usable;
}

static bool
suspect(struct fixture *f, const char *name)
{
	struct mu_candidate c;

	(void)view(f, name, &c);
	return c.suspect;
}

static void
report_leaving(struct fixture *f, const char *name)
{
	struct mu_candidate c;

	mu_target_reported_leaving(view(f, name, &c));
}

/* An endpoint that reported that it is leaving stays excluded while its entry
 * is ready, even one written later; other endpoints of the service are
 * unaffected. */
static void
test_reported_leaving_outlives_the_entry(void **state)
{
	struct fixture *f = *state;

	entry(f, "e1", 100, 5, false);
	entry(f, "e2", 100, 5, false);
	report_leaving(f, "e1");
	assert_false(usable(f, "e1"));
	entry(f, "e1", 100, 6, false);
	run_ms(f->loop, &f->clock, 5000);
	assert_false(usable(f, "e1"));
	assert_true(usable(f, "e2"));
	assert_true(mu_group_utilization(&f->targets, f->group) < 0.01);
}

/* Its entry lapses and reappears while it is still leaving. */
static void
test_reported_leaving_outlives_a_lapse(void **state)
{
	struct fixture *f = *state;

	entry(f, "e1", 100, 5, false);
	report_leaving(f, "e1");
	mu_targets_remove(&f->targets, "e1");
	entry(f, "e1", 100, 6, false);
	assert_false(usable(f, "e1"));
}

static void
test_new_instance_serves(void **state)
{
	struct fixture *f = *state;

	entry(f, "e1", 100, 5, false);
	report_leaving(f, "e1");
	entry(f, "e1", 200, 1, false);
	assert_true(usable(f, "e1"));
}

/* The instance is listed as leaving, and then as ready again. */
static void
test_listed_as_ready_again(void **state)
{
	struct fixture *f = *state;

	entry(f, "e1", 100, 5, false);
	report_leaving(f, "e1");
	entry(f, "e1", 100, 6, true);
	assert_false(usable(f, "e1"));
	entry(f, "e1", 100, 7, false);
	assert_true(usable(f, "e1"));
}

/* An entry older than the known one is ignored. */
static void
test_stale_entry(void **state)
{
	struct fixture *f = *state;

	entry(f, "e1", 100, 7, true);
	entry(f, "e1", 100, 6, false);
	assert_false(usable(f, "e1"));
}

/* A peer's report applies only to the instance that it names, and expires
 * unless repeated. */
static void
test_peer_says_leaving(void **state)
{
	struct fixture *f = *state;

	entry(f, "e1", 100, 5, false);
	mu_targets_peer_reported_leaving(&f->targets, "e1", 99);
	assert_true(usable(f, "e1"));
	mu_targets_peer_reported_leaving(&f->targets, "e1", 100);
	assert_false(usable(f, "e1"));
	run_ms(f->loop, &f->clock, 3000);
	assert_true(usable(f, "e1"));
	mu_targets_peer_reported_leaving(&f->targets, "nobody", 1);
}

/* After a store outage all entries of a service have lapsed, and most reappear
 * within two seconds.  The service must not be without endpoints meanwhile. */
static void
test_lapsed_entries_come_back(void **state)
{
	struct fixture *f = *state;
	char name[16];
	int i;

	for (i = 0; i < 6; i++) {
		(void)snprintf(name, sizeof(name), "e%d", i);
		entry(f, name, 100, 5, false);
	}
	mu_targets_keep_lapsed(
	    &f->targets, mu_loop_now(f->loop) + 2200 * MU_US_PER_MS);
	mu_targets_remove(&f->targets, "e0");
	mu_targets_list_begin(&f->targets);
	mu_targets_list_end(&f->targets);
	for (i = 0; i < 6; i++) {
		(void)snprintf(name, sizeof(name), "e%d", i);
		assert_true(usable(f, name));
	}
	run_ms(f->loop, &f->clock, 1500);
	for (i = 1; i < 6; i++) {
		(void)snprintf(name, sizeof(name), "e%d", i);
		entry(f, name, 100, 6, i == 5);
	}
	assert_false(usable(f, "e5")); /* listed as leaving */
	run_ms(f->loop, &f->clock, 1000);
	assert_int_equal(f->targets.by_name.count, 5);
	assert_false(usable(f, "e0"));
	assert_true(usable(f, "e1"));
	/* Afterwards a removed entry removes its endpoint at once. */
	mu_targets_remove(&f->targets, "e1");
	assert_int_equal(f->targets.by_name.count, 4);
}

/* An endpoint that aborted a request is suspect until it answers, or for some
 * seconds.  An unreachable one, also by a peer's report, is suspect after its
 * backoff. */
static void
test_suspicion_ends_with_an_answer(void **state)
{
	struct fixture *f = *state;
	struct mu_candidate c;
	struct mu_target *x;

	entry(f, "e1", 100, 5, false);
	entry(f, "e2", 100, 5, false);
	x = view(f, "e1", &c);
	assert_false(suspect(f, "e1"));
	mu_target_request_ended(&f->targets, x, MU_HEALTH_FAILURE, 0);
	assert_true(suspect(f, "e1"));
	assert_false(suspect(f, "e2"));
	mu_target_request_ended(&f->targets, x, MU_HEALTH_BUSY, 0);
	assert_true(suspect(f, "e1"));
	mu_target_request_ended(&f->targets, x, MU_HEALTH_SUCCESS, 1000);
	assert_false(suspect(f, "e1"));
	/* Suspicion outlasts the backoff, which grows each time. */
	while (x->unreachable_count < 5) {
		assert_true(mu_target_unreachable(x, mu_loop_now(f->loop)));
		run_ms(f->loop, &f->clock,
		    (int)((x->down_until - mu_loop_now(f->loop)) /
			  MU_US_PER_MS) +
			1);
	}
	assert_true(usable(f, "e1"));
	assert_true(suspect(f, "e1"));
	mu_targets_peer_report(&f->targets, "e2", 0, 0, 250);
	run_ms(f->loop, &f->clock, 1000);
	assert_true(usable(f, "e2"));
	assert_true(suspect(f, "e2"));
	run_ms(f->loop, &f->clock, 3000);
	assert_false(suspect(f, "e2"));
}

/* An endpoint is slow by the chunk times of its answers. */
static void
test_chunk_times_show_a_slow_endpoint(void **state)
{
	struct fixture *f = *state;
	struct mu_candidate c;
	struct mu_target *e1, *e2;
	int k;

	entry(f, "e1", 100, 5, false);
	entry(f, "e2", 100, 5, false);
	e1 = view(f, "e1", &c);
	e2 = view(f, "e2", &c);
	for (k = 0; k < 100; k++) {
		mu_target_chunk_time(&f->targets, e1, 90000);
		mu_target_chunk_time(&f->targets, e2, 10000);
	}
	(void)view(f, "e1", &c);
	assert_true(c.slowdown > 1.5);
	(void)view(f, "e2", &c);
	assert_true(c.slowdown == 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_reported_leaving_outlives_the_entry),
	    T(test_reported_leaving_outlives_a_lapse),
	    T(test_new_instance_serves),
	    T(test_listed_as_ready_again),
	    T(test_stale_entry),
	    T(test_peer_says_leaving),
	    T(test_lapsed_entries_come_back),
	    T(test_suspicion_ends_with_an_answer),
	    T(test_chunk_times_show_a_slow_endpoint),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
