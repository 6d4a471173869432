/*
 * test_mesh.c -- what anyone who connects to the port between daemons can make
 * one hold.  The clock is manual.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "frame.h"
#include "mesh.h"
#include "sockkit.h"

#define MIB ((size_t)1 << 20)
#define LINKS 300 /* over the limit of links without a name */

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct mu_acct acct;
	struct mu_mesh *mesh;
	char addr[MU_ADDR_LEN];
	unsigned requests, heartbeats;
};

static void
fill(void *arg, Mu__Beat *b)
{
	(void)arg;
	(void)b;
}

static void
on_any_heartbeat(void *arg, struct mu_mesh_link *from, const Mu__Beat *b)
{
	struct fixture *f = arg;

	(void)from;
	(void)b;
	f->heartbeats++;
}

static void
on_request(void *arg, struct mu_mesh_link *from, const Mu__Frame *frame)
{
	struct fixture *f = arg;

	(void)from;
	(void)frame;
	f->requests++;
}

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct mu_mesh_hooks hooks = {
	    f, fill, NULL, NULL, on_any_heartbeat, on_request};
	struct mu_mesh_conf conf = {"d1", "east", f->addr, 7, 50, 300};
	struct mu_error e = {0};

	mu_clock_manual(&f->clock, 100 * MU_US_PER_S);
	f->loop = mu_loop_new(&f->clock);
	mu_acct_init(&f->acct, MIB);
	kit_unused_addr(f->addr);
	assert_int_equal(mu_mesh_new(&f->mesh, f->loop, &conf, &hooks, &e), 0);
	mu_mesh_set_account(f->mesh, &f->acct);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	mu_mesh_free(f->mesh);
	mu_loop_free(f->loop);
	mu_acct_fini(&f->acct);
	free(f);
	return 0;
}

static void
send_frame(struct fixture *f, struct kit_caller *c, const Mu__Frame *frame)
{
	uint8_t *p;
	size_t n, sent = 0;
	ssize_t k;
	int turns;

	assert_int_equal(mu_frame_encode(frame, &p, &n), 0);
	for (turns = 0; sent < n && turns < 2000 && !c->closed; turns++) {
		k = send(c->watch.fd, p + sent, n - sent,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		sent += k > 0 ? (size_t)k : 0;
		mu_loop_once(f->loop, 1);
	}
	free(p);
	kit_run_ms(f->loop, 20);
}

static void
send_name(struct fixture *f, struct kit_caller *c, const char *host)
{
	Mu__Frame frame = MU__FRAME__INIT;
	Mu__Beat b = MU__BEAT__INIT;

	b.host = (char *)(uintptr_t)host;
	frame.body_case = MU__FRAME__BODY_BEAT;
	frame.beat = &b;
	send_frame(f, c, &frame);
}

/* A store operation of n bytes. */
static void
send_large(struct fixture *f, struct kit_caller *c, size_t n)
{
	Mu__Frame frame = MU__FRAME__INIT;
	Mu__Relay relay = MU__RELAY__INIT;

	relay.op.data = calloc(1, n);
	relay.op.len = n;
	frame.body_case = MU__FRAME__BODY_RELAY;
	frame.relay = &relay;
	send_frame(f, c, &frame);
	free(relay.op.data);
}

static void
test_large_frame_needs_a_name(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c = kit_caller_open(f->loop, f->addr, "");

	send_large(f, c, 60000);
	assert_int_equal(f->requests, 1);
	send_large(f, c, 70000);
	assert_true(kit_until(f->loop, 1000, c->closed));
	kit_caller_free(c);
	c = kit_caller_open(f->loop, f->addr, "");
	send_name(f, c, "");
	send_large(f, c, 70000);
	assert_true(kit_until(f->loop, 1000, c->closed));
	kit_caller_free(c);
	assert_int_equal(f->requests, 1);
	c = kit_caller_open(f->loop, f->addr, "");
	send_name(f, c, "d2");
	send_large(f, c, 5 * MIB);
	assert_int_equal(f->requests, 2);
	assert_false(c->closed);
	kit_caller_free(c);
}

/* Guards against frames that stop short of their end. */
static void
test_incomplete_frames_count(void **state)
{
	static const uint8_t prefix[] = {0, 0, 0xf0, 0};
	static char body[50000];
	struct fixture *f = *state;
	struct kit_caller *c = kit_caller_open(f->loop, f->addr, "");

	(void)!write(c->watch.fd, prefix, sizeof(prefix));
	(void)!write(c->watch.fd, body, sizeof(body));
	assert_true(kit_until(
	    f->loop, 1000, f->acct.used[MU_ACCT_PEER] >= sizeof(body)));
	assert_in_range(f->acct.used[MU_ACCT_PEER], 50000, 131072);
	kit_caller_free(c);
	assert_true(kit_until(f->loop, 1000, f->acct.used[MU_ACCT_PEER] == 0));
}

static void
test_link_without_a_name_is_closed(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c = kit_caller_open(f->loop, f->addr, "");
	struct kit_caller *d = kit_caller_open(f->loop, f->addr, "");

	send_name(f, d, "d2");
	assert_int_equal(f->heartbeats, 1);
	mu_clock_advance(&f->clock, 4900 * MU_US_PER_MS);
	kit_run_ms(f->loop, 20);
	assert_false(c->closed);
	mu_clock_advance(&f->clock, 200 * MU_US_PER_MS);
	kit_run_ms(f->loop, 20);
	assert_true(kit_until(f->loop, 1000, c->closed));
	mu_clock_advance(&f->clock, 60 * MU_US_PER_S);
	kit_run_ms(f->loop, 20);
	assert_false(d->closed);
	kit_caller_free(c);
	kit_caller_free(d);
}

/* The oldest goes: the others may still be about to tell their name. */
static void
test_number_of_links_without_a_name(void **state)
{
	struct fixture *f = *state;
	struct kit_caller *c[LINKS], *named;
	unsigned i, open = 0;

	named = kit_caller_open(f->loop, f->addr, "");
	send_name(f, named, "d2");
	for (i = 0; i < LINKS; i++) {
		c[i] = kit_caller_open(f->loop, f->addr, "");
		mu_loop_once(f->loop, 1);
	}
	kit_run_ms(f->loop, 50);
	for (i = 0; i < LINKS; i++)
		open += !c[i]->closed;
	assert_int_equal(open, 256);
	assert_true(c[0]->closed);
	assert_false(c[LINKS - 1]->closed);
	assert_false(named->closed);
	send_name(f, c[LINKS - 1], "d3");
	assert_int_equal(f->heartbeats, 2);
	kit_caller_free(named);
	for (i = 0; i < LINKS; i++)
		kit_caller_free(c[i]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_large_frame_needs_a_name),
	    T(test_incomplete_frames_count),
	    T(test_link_without_a_name_is_closed),
	    T(test_number_of_links_without_a_name),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
