/* test_targets.c -- state of endpoints that leave, lapse, fail or are slow,
 * from their entries, their answers and peers' reports, and a replay of daemons
 * that share endpoints; on a manual clock. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <math.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "memstore.h"
#include "shed.h"
#include "targets.h"
#include "view.h"

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

/* Guards against an endpoint that is believed to be loaded for as long as
 * nothing is sent there: the estimate would cause the silence that keeps it.
 * The daemon must place turns and admit programs again some time after the
 * last, high report, when it has nothing in progress. */
static void
test_daemon_recovers_from_a_last_report_of_full_endpoints(void **state)
{
	struct fixture *f = *state;
	struct mu_candidate c;
	struct mu_demand d = {150 * MU_US_PER_MS, 6, 3 * MU_US_PER_S, false};
	uint64_t rng = 1;

	f->group->load_estimate = MU_LOADEST_MEAN;
	entry(f, "e1", 100, 5, false);
	mu_target_load_reported(
	    view(f, "e1", &c), mu_loop_now(f->loop), 4, 8, 4);
	(void)view(f, "e1", &c);
	assert_int_equal(mu_choose(&c, 1, &d, &rng).kind, MU_CHOICE_QUEUE);
	run_ms(f->loop, &f->clock, 60000);
	(void)view(f, "e1", &c);
	assert_int_equal(mu_choose(&c, 1, &d, &rng).kind, MU_CHOICE_SEND);
	assert_true(mu_shed_admits(
	    MU_SHED_FIRST, mu_group_utilization(&f->targets, f->group)));
}

/* An endpoint whose number of slots is unknown, or that reports none, must
 * neither divide by zero nor change the mean. */
static void
test_load_reports_without_slots(void **state)
{
	struct fixture *f = *state;
	struct mu_candidate c;
	struct mu_target *x;

	f->group->load_estimate = MU_LOADEST_MEAN;
	entry(f, "e1", 100, 5, false);
	entry(f, "e2", 100, 5, false);
	x = view(f, "e1", &c);
	x->info.slots = 0;
	mu_target_load_reported(x, mu_loop_now(f->loop), 3, 1, 0);
	(void)view(f, "e1", &c);
	assert_float_equal(c.others, 4, 0.001);
	(void)view(f, "e2", &c);
	assert_float_equal(c.others, 0, 0.001);
	mu_target_load_reported(x, mu_loop_now(f->loop), 3, 1, 4);
	(void)view(f, "e2", &c);
	assert_float_equal(c.others, 4, 0.001);
	/* Requests of this daemon are not counted twice. */
	x->sent = 3;
	mu_target_load_reported(x, mu_loop_now(f->loop), 3, 1, 4);
	(void)view(f, "e1", &c);
	assert_float_equal(c.others, 1, 0.001);
	x->sent = 5;
	mu_target_load_reported(x, mu_loop_now(f->loop), 3, 1, 4);
	(void)view(f, "e1", &c);
	assert_float_equal(c.others, 0, 0.001);
	x->sent = 0;
}

/*
 * Replay.  Programs run turn after turn, with a tool call in between, on
 * daemons that share endpoints and know them only from answers.  A turn that
 * runs where the one before ran needs no prefill.  The endpoints run SLOTS
 * turns and queue the others in the order of their arrival.
 */
#define DAEMONS 40
#define ENDPOINTS 24
#define PROGRAMS_MAX 400
#define PROGRAMS_FULL 320 /* about as many turns as slots */
#define STEP_MS 5
#define WARM_UP_MS 3000
#define REPLAY_MS 15000
#define TURN_MS 150 /* at the fastest endpoint */
#define SPEED_RATIO 2.4
#define SLOW_RATIO 2.5
#define SLOW_PERCENT 15
#define SLOW_INTERVAL_MS 600
#define TOOL_MS 160 /* on average */
#define PROMPT_TOKENS 10000
#define TOKEN_PREFILL_US 6

struct program {
	int daemon;
	int at; /* endpoint of the turn; -1: none */
	int cached; /* endpoint of the turn before; -1: none */
	int64_t sent_at; /* sequence number, by which turns queue */
	int starts; /* ms, while at is -1 */
	int ends; /* ms; 0: queued at the endpoint */
	int took; /* ms of the turn without its prefill */
};

struct replay {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct mu_targets daemon[DAEMONS];
	struct mu_target *target[DAEMONS][ENDPOINTS];
	struct program p[PROGRAMS_MAX];
	int nprograms;
	unsigned running[ENDPOINTS], queued[ENDPOINTS];
	uint64_t rng;
	int64_t nsent;
	unsigned turns, moves; /* after the warm-up */
	unsigned reports;
	double spread; /* sum of the standard deviations of endpoints' load */
	unsigned samples;
};

static uint32_t
slots_of(int endpoint)
{
	return endpoint % 2 == 0 ? 8 : 6;
}

static void
replay_open(struct replay *r, enum mu_loadest_kind kind)
{
	struct mu_candidate c[MU_CHOOSE_MAX];
	struct mu_target *found[MU_CHOOSE_MAX];
	struct mu_target_info info = {.service = "app",
	    .addr = "127.0.0.1:9",
	    .domain = "east",
	    .born = 1,
	    .sequence = 1};
	struct mu_group *g;
	uint32_t n;
	int i, k;

	mu_clock_manual(&r->clock, MU_US_PER_S);
	r->loop = mu_loop_new(&r->clock);
	r->rng = 1;
	for (i = 0; i < DAEMONS; i++) {
		assert_int_equal(mu_targets_init(&r->daemon[i], r->loop, "east",
				     (uint64_t)i),
		    0);
		for (k = 0; k < ENDPOINTS; k++) {
			(void)snprintf(info.name, sizeof(info.name), "%d", k);
			info.slots = slots_of(k);
			mu_targets_learn(&r->daemon[i], &info);
		}
		g = mu_targets_group(&r->daemon[i], "app");
		g->load_estimate = kind;
		n = mu_group_view(&r->daemon[i], g, c, found);
		assert_int_equal(n, ENDPOINTS);
		for (k = 0; k < ENDPOINTS; k++)
			r->target[i][atoi(found[k]->info.name)] = found[k];
	}
	for (i = 0; i < r->nprograms; i++) {
		r->p[i].daemon = i % DAEMONS;
		r->p[i].at = r->p[i].cached = -1;
		r->p[i].starts = (int)(mu_rand(&r->rng) % WARM_UP_MS);
	}
}

static void
replay_close(struct replay *r)
{
	int i, k;

	for (i = 0; i < DAEMONS; i++) {
		for (k = 0; k < ENDPOINTS; k++)
			r->target[i][k]->sent = 0;
		mu_targets_clear(&r->daemon[i]);
	}
	mu_loop_free(r->loop);
}

static int
turn_ms(int endpoint, int now)
{
	uint64_t seed =
	    (uint64_t)(now / SLOW_INTERVAL_MS * ENDPOINTS + endpoint);
	double ms =
	    TURN_MS * (1 + (SPEED_RATIO - 1) * endpoint / (ENDPOINTS - 1));

	if (mu_rand(&seed) % 100 < SLOW_PERCENT)
		ms *= SLOW_RATIO;
	return (int)ms;
}

/* A turn that finds no endpoint with capacity is tried again at the next step,
 * as in callplace.c. */
static void
replay_place(struct replay *r, struct program *p, int now)
{
	struct mu_candidate c[MU_CHOOSE_MAX];
	struct mu_target *found[MU_CHOOSE_MAX], *x;
	struct mu_demand d = {
	    TURN_MS * MU_US_PER_MS, TOKEN_PREFILL_US, 10 * MU_US_PER_S, false};
	struct mu_targets *t = &r->daemon[p->daemon];
	struct mu_choice choice;
	uint32_t i, n;

	n = mu_group_view(t, mu_targets_group(t, "app"), c, found);
	for (i = 0; i < n; i++)
		c[i].prefill_tokens =
		    p->cached >= 0 &&
			    found[i] == r->target[p->daemon][p->cached]
			? 0
			: PROMPT_TOKENS;
	choice = mu_choose(c, n, &d, &t->rng);
	if (choice.kind != MU_CHOICE_SEND)
		return;
	x = found[choice.index];
	x->sent++;
	p->at = atoi(x->info.name);
	p->sent_at = ++r->nsent;
	p->ends = 0;
	r->queued[p->at]++;
	if (now < WARM_UP_MS)
		return;
	r->turns++;
	r->moves += p->at != p->cached;
}

static void
replay_end_turn(struct replay *r, struct program *p, int now)
{
	struct mu_target *x = r->target[p->daemon][p->at];

	mu_target_load_reported(x, mu_loop_now(r->loop), r->running[p->at],
	    r->queued[p->at], slots_of(p->at));
	r->reports += now >= WARM_UP_MS;
	mu_target_chunk_time(&r->daemon[p->daemon], x, p->took * MU_US_PER_MS);
	x->sent--;
	r->running[p->at]--;
	p->cached = p->at;
	p->at = -1;
	p->starts = now + (int)(mu_rand(&r->rng) % (2 * TOOL_MS));
}

/* The turn that has been queued longest at an endpoint; NULL if none. */
static struct program *
replay_next(struct replay *r, int endpoint)
{
	struct program *first = NULL, *p;

	for (p = r->p; p < r->p + r->nprograms; p++)
		if (p->at == endpoint && p->ends == 0 &&
		    (first == NULL || p->sent_at < first->sent_at))
			first = p;
	return first;
}

static void
replay_fill_slots(struct replay *r, int endpoint, int now)
{
	struct program *p;

	while (r->running[endpoint] < slots_of(endpoint) &&
	       (p = replay_next(r, endpoint)) != NULL) {
		p->took = turn_ms(endpoint, now);
		p->ends = now + p->took;
		if (p->cached != endpoint)
			p->ends +=
			    PROMPT_TOKENS * TOKEN_PREFILL_US / MU_US_PER_MS;
		r->queued[endpoint]--;
		r->running[endpoint]++;
	}
}

static void
replay_sample_spread(struct replay *r)
{
	double sum = 0, squares = 0, load, mean;
	int k;

	for (k = 0; k < ENDPOINTS; k++) {
		load = (double)(r->running[k] + r->queued[k]) / slots_of(k);
		sum += load;
		squares += load * load;
	}
	mean = sum / ENDPOINTS;
	r->spread += sqrt(squares / ENDPOINTS - mean * mean);
	r->samples++;
}

static void
replay(struct replay *r, enum mu_loadest_kind kind, int nprograms)
{
	struct program *p;
	int now, k;

	memset(r, 0, sizeof(*r));
	r->nprograms = nprograms;
	replay_open(r, kind);
	for (now = 0; now < REPLAY_MS; now += STEP_MS) {
		for (p = r->p; p < r->p + r->nprograms; p++) {
			if (p->at >= 0 && p->ends != 0 && p->ends <= now)
				replay_end_turn(r, p, now);
			else if (p->at < 0 && p->starts <= now)
				replay_place(r, p, now);
		}
		for (k = 0; k < ENDPOINTS; k++)
			replay_fill_slots(r, k, now);
		if (now >= WARM_UP_MS)
			replay_sample_spread(r);
		mu_clock_advance(&r->clock, STEP_MS * MU_US_PER_MS);
		mu_loop_once(r->loop, 0);
	}
	replay_close(r);
	print_message("estimate %d: %u of %u turns left their endpoint, mean "
		      "spread %.3f, a report every %.2f s\n",
	    (int)kind, r->moves, r->turns, r->spread / r->samples,
	    (REPLAY_MS - WARM_UP_MS) / 1000.0 * DAEMONS * ENDPOINTS /
		r->reports);
}

/* Guards against an estimate by which endpoints that a daemon has not heard
 * from appear idle: programs leave the endpoints that cache their prompts, and
 * their turns take longer. */
static void
test_replay_keeps_programs_at_their_endpoints(void **state)
{
	static struct replay report, mean;

	(void)state;
	replay(&report, MU_LOADEST_REPORT, PROGRAMS_FULL);
	replay(&mean, MU_LOADEST_MEAN, PROGRAMS_FULL);
	/* An endpoint is heard from every one to two seconds. */
	assert_in_range(
	    (REPLAY_MS - WARM_UP_MS) * DAEMONS * ENDPOINTS / mean.reports, 1000,
	    2000);
	assert_true(mean.turns >= report.turns);
	assert_true((double)report.moves / report.turns >=
		    2.0 * mean.moves / mean.turns);
}

/* Guards against the same estimate when there are more turns than slots: some
 * endpoints have long queues while others have free slots. */
static void
test_replay_loads_endpoints_evenly(void **state)
{
	static struct replay report, mean;

	(void)state;
	replay(&report, MU_LOADEST_REPORT, PROGRAMS_MAX);
	replay(&mean, MU_LOADEST_MEAN, PROGRAMS_MAX);
	assert_in_range(
	    (REPLAY_MS - WARM_UP_MS) * DAEMONS * ENDPOINTS / mean.reports, 1000,
	    2000);
	assert_true(report.spread >= 1.5 * mean.spread);
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
	    T(test_daemon_recovers_from_a_last_report_of_full_endpoints),
	    T(test_load_reports_without_slots),
	    cmocka_unit_test(test_replay_keeps_programs_at_their_endpoints),
	    cmocka_unit_test(test_replay_loads_endpoints_evenly),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
