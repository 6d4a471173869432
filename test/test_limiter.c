/* test_limiter.c -- rate limits over several daemons in two failure domains:
 * real links on one loop and a clock that the tests advance, daemons that die
 * or are cut off. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "hmap.h"
#include "limiter.h"
#include "sockkit.h"
#include "view.h"

#define N 6 /* the first half in one domain, the others in another */
#define WINDOW_MS 1000
#define RATE 100
#define BURST 50
/* 0.1 of 150, and 20 */
#define ACCEPTED 35
#define ADMITTED_MAX 4096

struct daemon {
	struct mu_mesh *mesh;
	struct mu_limiter *limiter;
	char host[16];
	char addr[MU_ADDR_LEN];
	bool running;
	bool leaving;
};

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct daemon d[N];
	struct mu_customer customer;
	uint64_t starts;
	unsigned asked, answered, admitted, refused, unavailable;
	uint32_t retry_after_ms; /* of the last refusal */
	mu_us admitted_at[ADMITTED_MAX];
};

static const char *const domains[] = {"east", "west"};

static const char *
domain_of(int i)
{
	return domains[i / (N / 2)];
}

static const struct mu_customer *
find(void *arg, const char *name)
{
	struct fixture *f = arg;

	return strcmp(name, f->customer.name) == 0 ? &f->customer : NULL;
}

static void
fill(void *arg, Mu__Beat *b)
{
	const struct daemon *d = arg;

	b->ready = true;
	b->leaving = d->leaving;
}

static void
on_changed(void *arg, struct mu_peer *p)
{
	struct daemon *d = arg;

	if (d->limiter != NULL)
		mu_limiter_peer_changed(d->limiter, p);
}

static void
on_request(void *arg, struct mu_mesh_link *from, const Mu__Frame *frame)
{
	struct daemon *d = arg;

	if (frame->body_case == MU__FRAME__BODY_LIMIT_ASK)
		mu_limiter_on_ask(d->limiter, from, frame->limit_ask);
	else if (frame->body_case == MU__FRAME__BODY_LIMIT_NOTE)
		mu_limiter_on_note(d->limiter, frame->limit_note);
}

/* Tells daemon i where daemon k is; cut: at an address without a listener. */
static void
introduce(struct fixture *f, int i, int k, bool cut)
{
	Mu__DaemonRow row = MU__DAEMON_ROW__INIT;

	row.host = f->d[k].host;
	row.domain = (char *)(uintptr_t)domain_of(k);
	row.mesh_addr = cut ? (char *)(uintptr_t) "127.0.0.1:9" : f->d[k].addr;
	row.incarnation = 0; /* of no daemon: dials at once */
	mu_mesh_update_peer(f->d[i].mesh, &row);
}

/* Cuts daemon i off from all others, or joins it again. */
static void
set_cut(struct fixture *f, int i, bool cut)
{
	int k;

	for (k = 0; k < N; k++)
		if (k != i) {
			introduce(f, i, k, cut);
			introduce(f, k, i, cut);
		}
}

static void
start(struct fixture *f, int i)
{
	struct daemon *d = &f->d[i];
	struct mu_mesh_conf mc = {
	    d->host, domain_of(i), d->addr, ++f->starts, 50, 300};
	struct mu_mesh_hooks hooks = {
	    d, fill, NULL, on_changed, NULL, on_request};
	struct mu_limiter_conf lc = {
	    d->host, domain_of(i), f->starts, WINDOW_MS, 0.1, 20, f, find};
	struct mu_error e = {0};

	assert_int_equal(mu_mesh_new(&d->mesh, f->loop, &mc, &hooks, &e), 0);
	d->limiter = mu_limiter_new(f->loop, d->mesh, &lc);
	assert_non_null(d->limiter);
	mu_limiter_peers_known(d->limiter);
	d->running = true;
}

static void
stop(struct fixture *f, int i)
{
	if (!f->d[i].running)
		return;
	f->d[i].running = false;
	mu_mesh_free(f->d[i].mesh);
	mu_limiter_free(f->d[i].limiter);
}

/* Starts a planned stop, as mu_serve_drain() does. */
static void
leave(struct fixture *f, int i)
{
	f->d[i].leaving = true;
	mu_mesh_send_heartbeat(f->d[i].mesh);
	mu_limiter_drain(f->d[i].limiter);
}

#define ROUNDS 8 /* of the loop in a millisecond, for frames on their way */

/* Advances the clock; what is sent meanwhile arrives within a millisecond. */
static void
run_ms(struct fixture *f, unsigned ms)
{
	int i;

	while (ms-- > 0) {
		for (i = 0; i < ROUNDS; i++)
			mu_loop_once(f->loop, 0);
		mu_clock_advance(&f->clock, MU_US_PER_MS);
	}
}

static unsigned
links_up(struct fixture *f)
{
	struct mu_peer *p;
	unsigned n = 0;
	int i;

	for (i = 0; i < N; i++)
		if (f->d[i].running)
			cds_list_for_each_entry (
			    p, mu_mesh_peers(f->d[i].mesh), node)
				n += p->up;
	return n;
}

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	int i, k;

	mu_clock_manual(&f->clock, 1000 * MU_US_PER_S);
	f->loop = mu_loop_new(&f->clock);
	f->customer =
	    (struct mu_customer){.name = "c", .rate = RATE, .burst = BURST};
	for (i = 0; i < N; i++) {
		(void)snprintf(f->d[i].host, sizeof(f->d[i].host), "d%d", i);
		kit_unused_addr(f->d[i].addr);
	}
	/* All listen before one dials: a connection could take an address. */
	for (i = 0; i < N; i++)
		start(f, i);
	for (i = 0; i < N; i++)
		for (k = 0; k < N; k++)
			introduce(f, i, k, false);
	run_ms(f, 3000);
	assert_int_equal(links_up(f), N * (N - 1));
	/* Each daemon knows for a window that no other one counted. */
	run_ms(f, WINDOW_MS + 100);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;
	int i;

	for (i = 0; i < N; i++)
		stop(f, i);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
on_result(void *arg, const struct mu_limit_result *r)
{
	struct fixture *f = arg;

	f->answered++;
	if (r->status == MU_LIMIT_ADMITTED)
		f->admitted_at[f->admitted++ % ADMITTED_MAX] =
		    mu_now(&f->clock);
	f->refused += r->status == MU_LIMIT_REFUSED;
	f->unavailable += r->status == MU_LIMIT_UNAVAILABLE;
	if (r->status == MU_LIMIT_REFUSED)
		f->retry_after_ms = r->retry_after_ms;
}

static void
take(struct fixture *f, int i)
{
	f->asked++;
	mu_limiter_take(
	    f->d[i].limiter, &f->customer, MU_RATE_IN_PROGRAM, on_result, f);
}

/* Sends requests at the running daemons in turn for ms, per_s a second. */
static void
send_for(struct fixture *f, unsigned ms, unsigned per_s)
{
	mu_us began = mu_now(&f->clock), spent = 0;
	unsigned sent = 0, n = 0;

	while (spent < ms * MU_US_PER_MS) {
		for (; sent < spent * per_s / MU_US_PER_S; n++)
			if (f->d[n % N].running) {
				take(f, (int)(n % N));
				sent++;
			}
		run_ms(f, 1);
		spent = mu_now(&f->clock) - began;
	}
}

static void
expect_all_answered(struct fixture *f)
{
	run_ms(f, 200);
	assert_int_equal(f->answered, f->asked);
}

static int
find_root(struct fixture *f)
{
	uint64_t best = 0, w;
	int i, root = 0;
	int first =
	    mu_rendezvous("west", "c") > mu_rendezvous("east", "c") ? N / 2 : 0;

	for (i = first; i < first + N / 2; i++) {
		w = mu_rendezvous(f->d[i].host, "c");
		if (w > best) {
			best = w;
			root = i;
		}
	}
	return root;
}

static void
test_below_the_limit_all_are_admitted(void **state)
{
	struct fixture *f = *state;

	send_for(f, 2000, RATE);
	expect_all_answered(f);
	assert_int_equal(f->admitted, f->asked);
}

static void
test_over_the_limit_a_window_is_kept(void **state)
{
	struct fixture *f = *state;

	send_for(f, 900, 10 * RATE);
	expect_all_answered(f);
	assert_in_range(
	    f->admitted, (RATE + BURST) * 6 / 10, RATE + BURST + ACCEPTED);
	assert_int_equal(f->admitted + f->refused, f->asked);
	assert_true(f->retry_after_ms > 0);
}

static void
test_count_survives_neither_daemon_nor_limit(void **state)
{
	struct fixture *f = *state;

	send_for(f, 400, 10 * RATE);
	stop(f, find_root(f));
	send_for(f, 500, 10 * RATE);
	expect_all_answered(f);
	assert_in_range(f->admitted, 1, RATE + BURST + ACCEPTED);
}

/* Most requests admitted in any window. */
static unsigned
most_in_window(const struct fixture *f)
{
	unsigned first = 0, i, most = 0;

	assert_in_range(f->admitted, 1, ADMITTED_MAX);
	for (i = 0; i < f->admitted; i++) {
		while (f->admitted_at[i] - f->admitted_at[first] >=
		       WINDOW_MS * MU_US_PER_MS)
			first++;
		if (i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

/* Regression: daemons that had been cut off from each other were joined again,
 * and none knew what the others had admitted meanwhile. */
static void
test_fleet_is_joined_again(void **state)
{
	struct fixture *f = *state;
	int i;

	for (i = 0; i < N; i++)
		set_cut(f, i, true);
	run_ms(f, WINDOW_MS + 100);
	send_for(f, 400, 10 * RATE);
	for (i = 0; i < N; i++)
		set_cut(f, i, false);
	send_for(f, 900, 10 * RATE);
	expect_all_answered(f);
	assert_int_equal(links_up(f), N * (N - 1));
	assert_in_range(
	    most_in_window(f), (RATE + BURST) / 2, RATE + BURST + ACCEPTED);
}

/* Each daemon cut off from all others admits its part at the most. */
static void
test_parts_of_a_divided_fleet(void **state)
{
	struct fixture *f = *state;
	int i, k;

	for (i = 0; i < N; i++)
		set_cut(f, i, true);
	run_ms(f, 1000);
	assert_int_equal(links_up(f), 0);
	run_ms(f, WINDOW_MS + 100);
	for (k = 0; k < 80; k++) {
		for (i = 0; i < N; i++)
			take(f, i);
		run_ms(f, 10);
	}
	assert_int_equal(f->answered, f->asked);
	assert_in_range(
	    f->admitted, (RATE + BURST) / 2, RATE + BURST + ACCEPTED);
}

static void
test_refunds_reach_the_count(void **state)
{
	struct fixture *f = *state;
	unsigned i, before;

	send_for(f, 400, 10 * RATE);
	expect_all_answered(f);
	before = f->admitted;
	for (i = 0; i < 30; i++)
		mu_limiter_refund(f->d[i % N].limiter, "c");
	run_ms(f, 30);
	send_for(f, 50, 20 * RATE);
	expect_all_answered(f);
	assert_true(f->admitted >= before + 30);
}

static void
test_leaving_root_is_passed_over(void **state)
{
	struct fixture *f = *state;
	int root = find_root(f);

	mu_limiter_drain(f->d[root].limiter);
	take(f, root);
	run_ms(f, 500);
	assert_int_equal(f->answered, 1);
	assert_int_equal(f->admitted, 1);
}

/* Guards against 503 at other daemons for requests that were on their way to
 * the root, or to their domain's home, when it began to leave. */
static void
test_requests_on_their_way_to_a_leaving_root_are_decided(void **state)
{
	struct fixture *f = *state;
	int root = find_root(f), i, k;

	for (k = 0; k < 4; k++)
		for (i = 0; i < N; i++)
			if (i != root)
				take(f, i);
	leave(f, root);
	expect_all_answered(f);
	assert_int_equal(f->unavailable, 0);
	assert_int_equal(f->admitted + f->refused, f->asked);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_below_the_limit_all_are_admitted),
	    T(test_over_the_limit_a_window_is_kept),
	    T(test_count_survives_neither_daemon_nor_limit),
	    T(test_parts_of_a_divided_fleet),
	    T(test_fleet_is_joined_again),
	    T(test_refunds_reach_the_count),
	    T(test_leaving_root_is_passed_over),
	    T(test_requests_on_their_way_to_a_leaving_root_are_decided),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
