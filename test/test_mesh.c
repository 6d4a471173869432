/* test_mesh.c -- limits of what anyone who connects to the mesh port makes a
 * daemon hold. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <poll.h>
#include <stdio.h>
#include <cmocka.h>

#include "frame.h"
#include "mesh.h"
#include "metric.h"
#include "net.h"
#include "sockkit.h"

#define HEARTBEAT_MS 200
#define UNLISTED_MAX 256
#define NAME_TIMEOUT_MS 5000
#define SMALL_FRAME ((size_t)64 << 10)
#define LARGE_FRAME ((size_t)8 << 20)
#define LARGE_FRAMES 10 /* 160 MiB of buffers against a limit of 24 */
#define ROUNDS 20 /* of the loop, for bytes on their way */

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct mu_mesh *mesh;
	char addr[MU_ADDR_LEN];
	unsigned requests;
	int fd[UNLISTED_MAX + 2];
	int nfds;
};

static struct fixture fx;

static void
fill(void *arg, Mu__Beat *b)
{
	(void)arg;
	(void)b;
}

static void
on_request(void *arg, struct mu_mesh_link *from, const Mu__Frame *f)
{
	(void)arg;
	(void)from;
	(void)f;
	fx.requests++;
}

static void
on_reply(void *arg, const Mu__Frame *reply)
{
	(void)arg;
	(void)reply;
}

static int
setup(void **state)
{
	struct mu_mesh_hooks hooks = {
	    .fill_heartbeat = fill, .on_request = on_request};
	struct mu_mesh_conf conf = {
	    "d1", "east", fx.addr, 1, HEARTBEAT_MS, 3 * HEARTBEAT_MS};
	struct mu_error e;

	(void)state;
	memset(&fx, 0, sizeof(fx));
	mu_clock_manual(&fx.clock, 1000 * MU_US_PER_S);
	fx.loop = mu_loop_new(&fx.clock);
	kit_unused_addr(fx.addr);
	assert_int_equal(mu_mesh_new(&fx.mesh, fx.loop, &conf, &hooks, &e), 0);
	return 0;
}

static int
teardown(void **state)
{
	(void)state;
	while (fx.nfds > 0)
		(void)close(fx.fd[--fx.nfds]);
	mu_mesh_free(fx.mesh);
	mu_loop_free(fx.loop);
	return 0;
}

static void
run(void)
{
	int i;

	for (i = 0; i < ROUNDS; i++)
		mu_loop_once(fx.loop, 1);
}

static int
stranger(void)
{
	bool pending;
	int *fd = &fx.fd[fx.nfds];

	assert_int_equal(mu_net_connect(fx.addr, fd, &pending), 0);
	fx.nfds++;
	run();
	return *fd;
}

/* Sends all bytes while the loop runs, or until the daemon closes. */
static void
send_bytes(int fd, const uint8_t *p, size_t n)
{
	ssize_t sent;

	while (n > 0) {
		sent = send(fd, p, n, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (sent < 0 && errno != EAGAIN)
			return;
		if (sent > 0) {
			p += sent;
			n -= (size_t)sent;
		}
		mu_loop_once(fx.loop, 0);
	}
}

static void
send_name(int fd, const char *host)
{
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Beat b = MU__BEAT__INIT;
	uint8_t *p;
	size_t n;

	b.host = (char *)(uintptr_t)host;
	f.body_case = MU__FRAME__BODY_BEAT;
	f.beat = &b;
	assert_int_equal(mu_frame_encode(&f, &p, &n), 0);
	send_bytes(fd, p, n);
	free(p);
	run();
}

/* All of a frame of len bytes but the last byte. */
static void
send_unfinished(int fd, size_t len)
{
	uint8_t *p = calloc(1, MU_FRAME_PREFIX_BYTES + len);
	uint32_t prefix = htonl((uint32_t)len);

	if (p == NULL)
		abort();
	memcpy(p, &prefix, sizeof(prefix));
	send_bytes(fd, p, MU_FRAME_PREFIX_BYTES + len - 1);
	free(p);
	run();
}

static bool
is_closed(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN);
}

static void
advance_ms(unsigned ms)
{
	while (ms > 0) {
		mu_clock_advance(&fx.clock, HEARTBEAT_MS * MU_US_PER_MS);
		mu_loop_once(fx.loop, 0);
		mu_loop_once(fx.loop, 0);
		ms -= HEARTBEAT_MS;
	}
}

/* Connections that say nothing must not stay. */
static void
test_link_without_name_is_closed(void **state)
{
	int silent, named;

	(void)state;
	silent = stranger();
	named = stranger();
	send_name(named, "d2");
	advance_ms(NAME_TIMEOUT_MS - HEARTBEAT_MS);
	assert_false(is_closed(silent));
	advance_ms(2 * HEARTBEAT_MS);
	assert_true(is_closed(silent));
	assert_false(is_closed(named));
}

/* A frame of 16 MiB must not be received from a link without a name. */
static void
test_large_frame_needs_a_name(void **state)
{
	int small, large, named;

	(void)state;
	small = stranger();
	send_unfinished(small, SMALL_FRAME);
	assert_false(is_closed(small));
	large = stranger();
	send_unfinished(large, SMALL_FRAME + 1);
	assert_true(is_closed(large));
	named = stranger();
	send_name(named, "d2");
	send_unfinished(named, SMALL_FRAME + 1);
	assert_false(is_closed(named));
}

/* The sum of unfinished frames must be limited, and a listed daemon's must be
 * received beside those of strangers. */
static void
test_sum_of_unfinished_frames(void **state)
{
	Mu__DaemonRow row = MU__DAEMON_ROW__INIT;
	char unused[MU_ADDR_LEN], host[] = "d2", domain[] = "east";
	int fd[LARGE_FRAMES], i, closed = 0, listed;

	(void)state;
	kit_unused_addr(unused);
	row.host = host;
	row.domain = domain;
	row.mesh_addr = unused;
	row.incarnation = 5;
	mu_mesh_update_peer(fx.mesh, &row);
	listed = stranger();
	send_name(listed, "d2");
	send_unfinished(listed, LARGE_FRAME);
	for (i = 0; i < LARGE_FRAMES; i++) {
		fd[i] = stranger();
		send_name(fd[i], "stranger");
		send_unfinished(fd[i], LARGE_FRAME);
	}
	for (i = 0; i < LARGE_FRAMES; i++)
		closed += is_closed(fd[i]);
	/* Each buffer takes 16 MiB, so that only the listed one fits. */
	assert_int_equal(closed, LARGE_FRAMES);
	assert_false(is_closed(listed));
}

/* Strangers must not take all descriptors. */
static void
test_number_of_unlisted_links(void **state)
{
	uint64_t before = mu_counter_value(MU_M_LINKS_REFUSED);
	int i, first_named, first;

	(void)state;
	first_named = stranger();
	send_name(first_named, "d2");
	first = stranger();
	for (i = 2; i < UNLISTED_MAX; i++)
		(void)stranger();
	assert_false(is_closed(first));
	(void)stranger();
	assert_true(is_closed(first));
	assert_false(is_closed(first_named));
	assert_int_equal(mu_counter_value(MU_M_LINKS_REFUSED), before + 1);
}

/* A large request that is the first on a link must not be taken for a
 * stranger's frame. */
static void
test_name_precedes_the_first_request(void **state)
{
	Mu__DaemonRow row = MU__DAEMON_ROW__INIT;
	char host[] = "d2", domain[] = "west", addr[MU_ADDR_LEN];
	Mu__Frame f = MU__FRAME__INIT, *first = NULL;
	Mu__Begin b = MU__BEGIN__INIT;
	static uint8_t buf[65536];
	struct mu_peer *p;
	int listener, fd;
	size_t used = 0;
	ssize_t n;

	(void)state;
	listener = kit_listen(addr);
	row.host = host;
	row.domain = domain;
	row.mesh_addr = addr;
	row.incarnation = 5;
	mu_mesh_update_peer(fx.mesh, &row);
	p = mu_mesh_find_peer(fx.mesh, "d2");
	assert_non_null(p);
	assert_non_null(p->link);
	f.body_case = MU__FRAME__BODY_BEGIN;
	f.begin = &b;
	assert_true(mu_mesh_request(fx.mesh, p, &f,
	    mu_loop_now(fx.loop) + MU_US_PER_S, on_reply, NULL));
	run();
	fd = accept(listener, NULL, NULL);
	assert_true(fd >= 0);
	run();
	n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
	assert_true(n > 0);
	assert_int_equal(mu_frame_decode(buf, (size_t)n, &used, &first), 0);
	assert_non_null(first);
	assert_int_equal(first->body_case, MU__FRAME__BODY_BEAT);
	assert_string_equal(first->beat->host, "d1");
	mu_frame_free(first);
	assert_int_equal(
	    mu_frame_decode(buf + used, (size_t)n - used, &used, &first), 0);
	assert_non_null(first);
	assert_int_equal(first->body_case, MU__FRAME__BODY_BEGIN);
	mu_frame_free(first);
	(void)close(fd);
	(void)close(listener);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
	const struct CMUnitTest tests[] = {
	    T(test_link_without_name_is_closed),
	    T(test_large_frame_needs_a_name),
	    T(test_sum_of_unfinished_frames),
	    T(test_number_of_unlisted_links),
	    T(test_name_precedes_the_first_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
