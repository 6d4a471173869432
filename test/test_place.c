/* test_place.c -- selection of the endpoint that runs a call. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "place.h"

#define N 10

static struct mu_endpoint_view endpoints[N];
static struct mu_service_view view;
static struct mu_call_info req;
static uint64_t rng;

static int
setup(void **state)
{
	(void)state;
	for (int i = 0; i < N; i++)
		endpoints[i] = (struct mu_endpoint_view){.id = (uint64_t)i + 1,
		    .running = 8,
		    .max_batch = 32,
		    .cache_max = 300000,
		    .call_us = 2e6,
		    .prefill_us = 125,
		    .latency_ratio = 1};
	view = (struct mu_service_view){
	    .endpoints = endpoints, .nendpoints = N, .ndaemons = 7};
	req = (struct mu_call_info){
	    .prompt_tokens = 20000, .home_endpoint = 3, .home_tokens = 19000};
	rng = 1;
	return 0;
}

static void
stays_at_home(void **state)
{
	struct mu_placement p;

	(void)state;
	endpoints[3].running = 16; /* busier, but it holds the prefix */
	p = mu_place(&view, &req, &rng);
	assert_int_equal(p.kind, MU_PLACED);
	assert_int_equal(p.reason, MU_PLACE_HOME);
	assert_int_equal(p.u.placed.index, 3);
	assert_true(p.home_cost.total > 0);
}

static void
moves_off_an_overloaded_home(void **state)
{
	struct mu_placement p;

	(void)state;
	req.prompt_tokens = 1000;
	req.home_tokens = 900;
	endpoints[3].queued = 200;
	p = mu_place(&view, &req, &rng);
	assert_int_equal(p.reason, MU_PLACE_MOVED_LOAD);
	assert_int_not_equal(p.u.placed.index, 3);
}

static void
moves_off_a_slow_home(void **state)
{
	struct mu_placement p;

	(void)state;
	req.prompt_tokens = 1000;
	req.home_tokens = 900;
	endpoints[3].latency_ratio = 10;
	p = mu_place(&view, &req, &rng);
	assert_int_equal(p.reason, MU_PLACE_MOVED_SLOW);
}

static void
avoids_endpoints_out_of_service(void **state)
{
	static const enum mu_endpoint_state unavailable[] = {
	    MU_ENDPOINT_LEAVING, MU_ENDPOINT_DRAINED, MU_ENDPOINT_EJECTED};

	(void)state;
	for (int i = 0; i < N; i++)
		if (i != 7)
			endpoints[i].state = unavailable[i % 3];
	for (int k = 0; k < 50; k++) {
		struct mu_placement p = mu_place(&view, &req, &rng);

		assert_int_equal(p.kind, MU_PLACED);
		assert_int_equal(p.reason, MU_PLACE_MOVED_UNAVAILABLE);
		assert_int_equal(p.u.placed.index, 7);
	}
}

static void
refuses_without_endpoints(void **state)
{
	struct mu_placement p;

	(void)state;
	view.nendpoints = 0;
	p = mu_place(&view, &req, &rng);
	assert_int_equal(p.kind, MU_PLACE_REFUSE);
	assert_int_equal(p.u.refuse.type, MU_E_NO_ENDPOINT);
	assert_true(p.u.refuse.retry_after_ms > 0);
}

static void
waits_when_all_are_full(void **state)
{
	struct mu_placement p;

	(void)state;
	req.home_endpoint = MU_NO_ENDPOINT;
	for (int i = 0; i < N; i++)
		endpoints[i].queued = 1000;
	p = mu_place(&view, &req, &rng);
	assert_int_equal(p.kind, MU_PLACE_WAIT);
	assert_true(p.u.wait.us > 0);
}

/* Daemons that see the same stale report do not all select one endpoint. */
static void
daemons_spread(void **state)
{
	uint32_t chosen[N] = {0};
	uint32_t max = 0;

	(void)state;
	req.home_endpoint = MU_NO_ENDPOINT;
	endpoints[5].running = 0; /* the cheapest for every daemon */
	for (uint64_t d = 0; d < 700; d++) {
		uint64_t own_rng = d * 7919 + 1;

		chosen[mu_place(&view, &req, &own_rng).u.placed.index]++;
	}
	for (int i = 0; i < N; i++)
		if (chosen[i] > max)
			max = chosen[i];
	assert_true(max < 700 * 6 / 10);
}

static void
load_counts_calls_since_report(void **state)
{
	(void)state;
	endpoints[0].sent_since = 5;
	endpoints[0].done_since = 2;
	assert_true(mu_estimated_load(&view, 0) == 11);
	endpoints[0].report_age = MU_US_NEVER;
	endpoints[0].own_in_flight = 2;
	assert_true(mu_estimated_load(&view, 0) == 14);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup(stays_at_home, setup),
	    cmocka_unit_test_setup(moves_off_an_overloaded_home, setup),
	    cmocka_unit_test_setup(moves_off_a_slow_home, setup),
	    cmocka_unit_test_setup(avoids_endpoints_out_of_service, setup),
	    cmocka_unit_test_setup(refuses_without_endpoints, setup),
	    cmocka_unit_test_setup(waits_when_all_are_full, setup),
	    cmocka_unit_test_setup(daemons_spread, setup),
	    cmocka_unit_test_setup(load_counts_calls_since_report, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
