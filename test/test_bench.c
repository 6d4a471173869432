/* test_bench.c -- tests of the simulation: determinism, conservation of
 * programs and cache tokens, engine model. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "../bench/sim.h"

static struct workload *workload;

static int
setup(void **state)
{
	(void)state;
	workload = workload_read("bench/workloads.yaml");
	return workload == NULL;
}

static int
teardown(void **state)
{
	(void)state;
	workload_free(workload);
	return 0;
}

static uint64_t
cached_tokens(struct engine *e)
{
	struct cds_list_head *pos;
	uint64_t held = 0;

	cds_list_for_each (pos, &e->lru) {
		held += cds_list_entry(pos, struct cache_entry, node)->tokens;
	}
	return held;
}

static struct stat
run_sim(const char *name, const char *policy, enum fault fault, uint64_t seed)
{
	struct sim_conf c = {.workload = workload,
	    .shape = workload_shape(workload, name),
	    .policy = policy_find(policy),
	    .fault = fault,
	    .load = 0.8,
	    .seed = seed,
	    .warmup_s = 100,
	    .run_s = 300};
	struct sim s;
	struct stat t;

	sim_init(&s, &c);
	sim_run(&s);
	for (uint32_t i = 0; i < s.nengines; i++) {
		assert_int_equal(
		    cached_tokens(&s.engines[i]), s.engines[i].cache_used);
		assert_true(
		    s.engines[i].cache_used <= workload->engine.cache_tokens);
		assert_true(s.engines[i].nbatch <= workload->engine.max_batch);
	}
	t = s.stat;
	sim_free(&s);
	return t;
}

static void
same_seed_same_figures(void **state)
{
	struct stat a = run_sim("hotline", "musher", FAULT_NONE, 7);
	struct stat b = run_sim("hotline", "musher", FAULT_NONE, 7);
	struct stat c = run_sim("hotline", "musher", FAULT_NONE, 8);

	(void)state;
	assert_int_equal(a.calls, b.calls);
	assert_int_equal(a.refusals, b.refusals);
	assert_memory_equal(&a.recomputed, &b.recomputed, sizeof(a.recomputed));
	assert_int_not_equal(a.calls, c.calls);
}

/* All policies get the same arrivals; none ends more visits than arrived. */
static void
all_policies_meet_the_same_programs(void **state)
{
	struct stat bound = run_sim("hotline", "bound", FAULT_NONE, 3);

	(void)state;
	assert_true(bound.recomputed == 0);
	for (unsigned i = 0; i < npolicies; i++) {
		struct stat t =
		    run_sim("hotline", policies[i].name, FAULT_NONE, 3);

		assert_int_equal(t.arrived, bound.arrived);
		assert_true(t.ended + t.given_up <= t.arrived);
		assert_true(t.ended > 0);
	}
}

static void
faults_run_through(void **state)
{
	(void)state;
	for (int f = 0; f < FAULT_COUNT; f++) {
		struct stat t = run_sim("trust", "musher", (enum fault)f, 5);

		assert_true(t.ended > 0);
	}
}

/* A single call takes one step per prefill chunk and per output token. */
static void
a_call_alone_takes_its_steps(void **state)
{
	struct sim_conf c = {.workload = workload,
	    .shape = workload_shape(workload, "trust"),
	    .policy = policy_find("sticky"),
	    .load = 1e-9,
	    .seed = 1,
	    .run_s = 1};
	struct sim s;
	struct prog *p;

	(void)state;
	sim_init(&s, &c);
	s.nevents = 0;
	p = prog_new(&s, NULL);
	prog_draw_visit(&s, p);
	p->turns_left = 2;
	p->prompt = 1024;
	p->output = 10;
	engine_submit(&s, &s.engines[0], p);
	while (p->calls == 0) {
		s.now = s.events[0].at;
		s.nevents = 0;
		engine_finish_steps(&s, &s.engines[0]);
	}
	assert_int_equal(s.now, 12 * 20250 + 128000);
	assert_int_equal(s.engines[0].cache_used, 1034);
	sim_free(&s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(same_seed_same_figures),
	    cmocka_unit_test(all_policies_meet_the_same_programs),
	    cmocka_unit_test(faults_run_through),
	    cmocka_unit_test(a_call_alone_takes_its_steps),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
