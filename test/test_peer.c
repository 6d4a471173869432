/* test_peer.c -- tests links between daemons and forwarded requests. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <errno.h>
#include <cmocka.h>

#include "fakepeer.h"
#include "forward.h"
#include "relay.h"

#define SHORT_MS 60
#define SILENCE_MS 1000
#define BIG_BYTES ((size_t)5 << 20)
#define HANDSHAKES 256 /* that a daemon keeps */
#define LARGE_FRAMES 4 /* of 16 MiB that a daemon receives at once */

static char large_body[BIG_BYTES];

static void
test_forward_between_two(void **state)
{
	struct mu_peer_reply r;
	struct test_daemon a, b;
	char *big = malloc(BIG_BYTES);
	size_t i;

	(void)state;
	for (i = 0; i < BIG_BYTES; i++)
		big[i] = (char)(i * 7);
	daemon_open(&a, "a", "secret", LONG_MS);
	daemon_open(&b, "b", "secret", LONG_MS);
	connect_to(&a, "b", b.addr);
	connect_to(&b, "a", a.addr);
	WAIT_FOR(
	    mu_peers_link_up(a.peers, "b") && mu_peers_link_up(b.peers, "a"));
	assert_int_equal(forward(&a, "b", big, BIG_BYTES, LONG_MS, &r), 0);
	assert_int_equal(r.status, 200);
	assert_int_equal(r.retry_after_ms, 3);
	assert_int_equal(r.body_len, BIG_BYTES);
	assert_memory_equal(r.body, big, BIG_BYTES);
	free(r.body);
	assert_int_equal(forward(&b, "a", "", 0, LONG_MS, &r), 0);
	free(r.body);
	WAIT_FOR(LOAD(a.heartbeats) > 2 && LOAD(b.heartbeats) > 2);
	mu_peers_push_config(a.peers, 9, "text", 4);
	WAIT_FOR(LOAD(b.config) == 9);
	mu_peers_close(a.peers);
	mu_peers_close(b.peers);
	free(big);
}

struct stream_sink {
	char *data;
	size_t len;
	bool cancel;
};

static bool
on_chunk(void *arg, const char *data, size_t len)
{
	struct stream_sink *s = arg;

	memcpy(s->data + s->len, data, len);
	s->len += len;
	return !s->cancel;
}

static void
test_chunks_in_order(void **state)
{
	struct stream_sink s = {.data = malloc(BIG_BYTES)};
	char *big = malloc(BIG_BYTES);
	Mu__Forward f = MU__FORWARD__INIT;
	struct mu_peer_reply r;
	struct mu_error e;
	struct test_daemon a, b;
	size_t i;

	(void)state;
	for (i = 0; i < BIG_BYTES; i++)
		big[i] = (char)(i * 13);
	daemon_open(&a, "a", NULL, LONG_MS);
	daemon_open(&b, "b", NULL, LONG_MS);
	connect_to(&a, "b", b.addr);
	WAIT_FOR(mu_peers_link_up(a.peers, "b"));
	f.body.data = (uint8_t *)big;
	f.body.len = BIG_BYTES;
	f.stream = 1;
	f.deadline_ms = LONG_MS;
	assert_int_equal(
	    mu_peers_forward(a.peers, "b", &f, on_chunk, &s, &r, &e), 0);
	assert_int_equal(s.len, BIG_BYTES);
	assert_memory_equal(s.data, big, BIG_BYTES);
	free(r.body);
	s.len = 0;
	s.cancel = true;
	assert_int_equal(
	    mu_peers_forward(a.peers, "b", &f, on_chunk, &s, &r, &e),
	    MU_E_CANCELLED);
	assert_int_equal(e.outcome, MU_OUTCOME_UNKNOWN);
	mu_peers_close(a.peers);
	mu_peers_close(b.peers);
	free(s.data);
	free(big);
}

static void
test_deadline_of_forward(void **state)
{
	struct mu_peer_reply r;
	struct test_daemon a, b;

	(void)state;
	daemon_open(&a, "a", NULL, LONG_MS);
	daemon_open(&b, "b", NULL, LONG_MS);
	STORE(b.hold_forwards, 1);
	connect_to(&a, "b", b.addr);
	WAIT_FOR(mu_peers_link_up(a.peers, "b"));
	assert_int_equal(forward(&a, "b", "x", 1, SHORT_MS, &r), MU_E_DEADLINE);
	WAIT_FOR(LOAD(b.serving) == 1);
	STORE(b.hold_forwards, 0);
	mu_peers_close(a.peers);
	mu_peers_close(b.peers);
}

static void
test_dropped_peer_ends_forward(void **state)
{
	struct async_forward c;
	struct test_daemon a, b;

	(void)state;
	daemon_open(&a, "a", NULL, LONG_MS);
	daemon_open(&b, "b", NULL, LONG_MS);
	STORE(b.hold_forwards, 1);
	connect_to(&a, "b", b.addr);
	WAIT_FOR(mu_peers_link_up(a.peers, "b"));
	async_forward_start(&c, &a, 1);
	WAIT_FOR(LOAD(b.serving) == 1);
	mu_peers_set_targets(a.peers, NULL, 0);
	assert_int_equal(async_forward_join(&c), MU_E_LINK_LOST);
	assert_false(mu_peers_link_up(a.peers, "b"));
	STORE(b.hold_forwards, 0);
	mu_peers_close(a.peers);
	mu_peers_close(b.peers);
}

static void
test_lost_link_ends_forward_and_reopens(void **state)
{
	struct async_forward c;
	struct test_daemon a;
	char addr[64];
	int listener = fake_listen(addr, 4), fd;

	(void)state;
	daemon_open(&a, "a", NULL, LONG_MS);
	connect_to(&a, "b", addr);
	fd = accept_link(listener);
	WAIT_FOR(mu_peers_link_up(a.peers, "b"));
	async_forward_start(&c, &a, 1);
	mu_frame_free(read_frame(fd, MU__FRAME__BODY_FORWARD));
	close(fd);
	assert_int_equal(async_forward_join(&c), MU_E_LINK_LOST);
	WAIT_FOR(LOAD(a.link_downs) == 1);
	fd = accept_link(listener);
	WAIT_FOR(mu_peers_link_up(a.peers, "b"));
	mu_peers_close(a.peers);
	close(fd);
	close(listener);
}

static void
test_silent_link_is_reopened(void **state)
{
	struct heartbeat_sender heartbeats;
	struct async_forward c;
	struct test_daemon a;
	char addr[64];
	int listener = fake_listen(addr, 4), fd, reopened;

	(void)state;
	daemon_open(&a, "a", NULL, SILENCE_MS);
	connect_to(&a, "b", addr);
	fd = accept_link(listener);
	heartbeat_sender_start(&heartbeats, fd);
	WAIT_FOR(mu_peers_link_up(a.peers, "b"));
	async_forward_start(&c, &a, 1);
	mu_frame_free(read_frame(fd, MU__FRAME__BODY_FORWARD));
	heartbeat_sender_stop(&heartbeats);
	assert_int_equal(async_forward_join(&c), MU_E_LINK_LOST);
	reopened = accept_link(listener);
	mu_peers_close(a.peers);
	close(reopened);
	close(fd);
	close(listener);
}

/* Both ends stay open but receive nothing; only a new connection works. */
static void
test_frozen_link_is_reopened(void **state)
{
	struct mu_peer_reply r;
	struct relay relay;
	struct async_forward c;
	struct test_daemon a, b;

	(void)state;
	daemon_open(&a, "a", "secret", SILENCE_MS);
	daemon_open(&b, "b", "secret", LONG_MS);
	STORE(b.hold_forwards, 1);
	relay_start(&relay, b.addr);
	connect_to(&a, "b", relay.addr);
	WAIT_FOR(mu_peers_link_up(a.peers, "b"));
	async_forward_start(&c, &a, 1);
	WAIT_FOR(LOAD(b.serving) == 1);
	relay_freeze(&relay);
	assert_int_equal(async_forward_join(&c), MU_E_LINK_LOST);
	WAIT_FOR(LOAD(a.link_downs) >= 1);
	STORE(b.hold_forwards, 0);
	WAIT_FOR(mu_peers_link_up(a.peers, "b"));
	assert_int_equal(forward(&a, "b", "x", 1, LONG_MS, &r), 0);
	free(r.body);
	assert_true(LOAD(relay.count) > LOAD(relay.frozen_count));
	mu_peers_close(a.peers);
	mu_peers_close(b.peers);
	relay_stop(&relay);
}

/* A peer that sends heartbeats but reads nothing: the write times out. */
static void
test_peer_that_reads_nothing(void **state)
{
	struct heartbeat_sender heartbeats;
	struct async_forward c;
	struct test_daemon a;
	char addr[64];
	int listener = fake_listen(addr, 4), fd;

	(void)state;
	daemon_open(&a, "a", NULL, SILENCE_MS);
	connect_to(&a, "b", addr);
	fd = accept_link(listener);
	heartbeat_sender_start(&heartbeats, fd);
	WAIT_FOR(mu_peers_link_up(a.peers, "b"));
	async_forward_start(&c, &a, MU_FRAME_MAX_BYTES - 4096);
	assert_int_equal(async_forward_join(&c), MU_E_LINK_LOST);
	WAIT_FOR(LOAD(a.link_downs) == 1);
	heartbeat_sender_stop(&heartbeats);
	mu_peers_close(a.peers);
	close(fd);
	close(listener);
}

static void
test_missing_chunk_is_noticed(void **state)
{
	Mu__Result result = MU__RESULT__INIT;
	Mu__Frame out = MU__FRAME__INIT;
	Mu__Frame *in;
	struct async_forward c;
	struct test_daemon a;
	char addr[64];
	int listener = fake_listen(addr, 4), fd;

	(void)state;
	daemon_open(&a, "a", NULL, LONG_MS);
	connect_to(&a, "b", addr);
	fd = accept_link(listener);
	WAIT_FOR(mu_peers_link_up(a.peers, "b"));
	async_forward_start(&c, &a, 1);
	in = read_frame(fd, MU__FRAME__BODY_FORWARD);
	out.body_case = MU__FRAME__BODY_RESULT;
	out.result = &result;
	result.id = in->forward->id + 1;
	send_frame(fd, &out); /* for another request: ignored */
	result.id = in->forward->id;
	result.streamed = 5;
	send_frame(fd, &out);
	assert_int_equal(async_forward_join(&c), MU_E_TRUNCATED);
	mu_frame_free(in);
	mu_peers_close(a.peers);
	close(fd);
	close(listener);
}

static void
test_other_host_at_address_is_refused(void **state)
{
	struct test_daemon a;
	char addr[64];
	int listener = fake_listen(addr, 4), fd, i;

	(void)state;
	daemon_open(&a, "a", NULL, LONG_MS);
	connect_to(&a, "c", addr);
	for (i = 0; i < 3; i++) {
		fd = accept_link(listener);
		assert_false(mu_peers_link_up(a.peers, "c"));
		close(fd);
	}
	mu_peers_close(a.peers);
	close(listener);
}

struct acceptor {
	struct mu_hello_conf conf;
	int fd;
	int rc;
};

static void *
accept_main(void *arg)
{
	struct acceptor *x = arg;
	char host[MU_NAME_LEN];

	x->rc = mu_hello_accept(&x->conf, x->fd, -1, LONG_MS, host);
	close(x->fd);
	return NULL;
}

/* Runs a handshake over a socket pair; sets the results of both sides. */
static void
run_handshake(const char *key0, const char *key1, int *rc0, int *rc1)
{
	struct mu_hello_conf conf = {.host = "a"};
	struct acceptor x = {.conf = {.host = "b"}};
	char host[MU_NAME_LEN];
	pthread_t t;
	int fd[2];

	assert_int_equal(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd), 0);
	mu_hello_set_key(&conf, key0);
	mu_hello_set_key(&x.conf, key1);
	x.fd = fd[1];
	assert_int_equal(pthread_create(&t, NULL, accept_main, &x), 0);
	*rc0 = mu_hello_connect(&conf, fd[0], -1, LONG_MS, host);
	close(fd[0]);
	pthread_join(t, NULL);
	*rc1 = x.rc;
}

static void
test_shared_key(void **state)
{
	int rc0, rc1;

	(void)state;
	run_handshake("secret", "secret", &rc0, &rc1);
	assert_int_equal(rc0, 0);
	assert_int_equal(rc1, 0);
	run_handshake("secret", "other", &rc0, &rc1);
	assert_int_equal(rc0, MU_E_UNAUTHORIZED);
	assert_int_not_equal(rc1, 0);
	run_handshake(NULL, "secret", &rc0, &rc1);
	assert_int_equal(rc1, MU_E_UNAUTHORIZED);
	run_handshake("secret", NULL, &rc0, &rc1);
	assert_int_equal(rc0, MU_E_UNAUTHORIZED);
}

static void
on_link_frame(void *arg, struct mu_link *l, Mu__Frame *f)
{
	(void)l;
	if (f->body_case == MU__FRAME__BODY_FORWARD)
		mu_forward_serve(arg, NULL, l, f);
	else
		mu_frame_free(f);
}

static void
on_link_fill(
    void *arg, struct mu_link *l, Mu__Heartbeat *hb, struct mu_arena *arena)
{
	(void)arg;
	(void)l;
	(void)hb;
	(void)arena;
}

static void *
link_main(void *arg)
{
	mu_link_run(arg);
	return NULL;
}

static void
test_forward_beyond_bound_is_refused(void **state)
{
	struct mu_link_conf conf = {"a", NULL, HEARTBEAT_MS, LONG_MS};
	struct mu_workers no_workers;
	struct mu_link_hooks hooks = {&no_workers, on_link_frame, on_link_fill};
	Mu__Forward fw = MU__FORWARD__INIT;
	Mu__Frame f = MU__FRAME__INIT;
	struct mu_link *l;
	Mu__Frame *in;
	pthread_t t;
	int fd[2];

	(void)state;
	assert_int_equal(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd), 0);
	mu_workers_init(&no_workers, 0);
	l = mu_link_new(fd[0], &conf, &hooks);
	assert_int_equal(pthread_create(&t, NULL, link_main, l), 0);
	fw.id = 6;
	f.body_case = MU__FRAME__BODY_FORWARD;
	f.forward = &fw;
	send_frame(fd[1], &f);
	in = read_frame(fd[1], MU__FRAME__BODY_RESULT);
	assert_int_equal(in->result->id, 6);
	assert_int_equal(in->result->status, 503);
	assert_int_not_equal(in->result->retry_after_ms, 0);
	mu_frame_free(in);
	mu_link_stop(l);
	pthread_join(t, NULL);
	mu_link_unref(l);
	mu_workers_join(&no_workers);
	close(fd[1]);
}

static int
connect_raw(const char *addr)
{
	bool pending;
	int fd;

	assert_int_equal(mu_net_connect(addr, &fd, &pending), 0);
	assert_int_equal(
	    mu_net_wait(fd, POLLOUT, -1, mu_net_deadline(LONG_MS)), 0);
	return fd;
}

static bool
is_closed(int fd)
{
	char buf[256];
	ssize_t n;

	do
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
	while (n > 0);
	return n == 0 || errno != EAGAIN;
}

/* Connections without a handshake must not keep daemons out. */
static void
test_unfinished_handshakes(void **state)
{
	struct test_daemon a, b;
	int fd[HANDSHAKES + 1], i;

	(void)state;
	daemon_open(&a, "a", "secret", LONG_MS);
	daemon_open(&b, "b", "secret", LONG_MS);
	for (i = 0; i < HANDSHAKES; i++)
		fd[i] = connect_raw(a.addr);
	assert_false(is_closed(fd[0]));
	fd[HANDSHAKES] = connect_raw(a.addr);
	WAIT_FOR(is_closed(fd[0]));
	assert_false(is_closed(fd[1]));
	connect_to(&b, "a", a.addr);
	WAIT_FOR(mu_peers_link_up(b.peers, "a"));
	WAIT_FOR(is_closed(fd[1]));
	assert_false(is_closed(fd[HANDSHAKES]));
	for (i = 0; i <= HANDSHAKES; i++)
		close(fd[i]);
	mu_peers_close(a.peers);
	mu_peers_close(b.peers);
}

/* Without a peer key, unfinished frames of whoever connects must not take more
 * than the limit of all. */
static void
test_unfinished_large_frames(void **state)
{
	static const uint8_t prefix[] = {1, 0, 0, 0}; /* 16 MiB */
	struct mu_hello_conf hello = {.host = "stranger"};
	struct mu_peer_reply r;
	struct test_daemon a, b;
	char host[MU_NAME_LEN];
	int fd[LARGE_FRAMES + 1], i, rc, closed = 0;

	(void)state;
	daemon_open(&a, "a", NULL, LONG_MS);
	daemon_open(&b, "b", NULL, LONG_MS);
	for (i = 0; i <= LARGE_FRAMES; i++) {
		fd[i] = connect_raw(a.addr);
		assert_int_equal(
		    mu_hello_connect(&hello, fd[i], -1, LONG_MS, host), 0);
		assert_int_equal(send(fd[i], prefix, 4, MSG_NOSIGNAL), 4);
	}
	do {
		usleep(1000);
		for (i = 0, closed = 0; i <= LARGE_FRAMES; i++)
			closed += is_closed(fd[i]);
	} while (closed == 0);
	assert_int_equal(closed, 1);
	for (i = 0; i <= LARGE_FRAMES; i++)
		close(fd[i]);
	/* What they took must be given back. */
	connect_to(&b, "a", a.addr);
	WAIT_FOR(mu_peers_link_up(b.peers, "a"));
	do
		rc = forward(
		    &b, "a", large_body, sizeof(large_body), LONG_MS, &r);
	while (rc != 0);
	assert_int_equal(r.body_len, sizeof(large_body));
	free(r.body);
	mu_peers_close(a.peers);
	mu_peers_close(b.peers);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_forward_between_two),
	    cmocka_unit_test(test_chunks_in_order),
	    cmocka_unit_test(test_deadline_of_forward),
	    cmocka_unit_test(test_dropped_peer_ends_forward),
	    cmocka_unit_test(test_lost_link_ends_forward_and_reopens),
	    cmocka_unit_test(test_silent_link_is_reopened),
	    cmocka_unit_test(test_frozen_link_is_reopened),
	    cmocka_unit_test(test_peer_that_reads_nothing),
	    cmocka_unit_test(test_missing_chunk_is_noticed),
	    cmocka_unit_test(test_other_host_at_address_is_refused),
	    cmocka_unit_test(test_shared_key),
	    cmocka_unit_test(test_unfinished_handshakes),
	    cmocka_unit_test(test_unfinished_large_frames),
	    cmocka_unit_test(test_forward_beyond_bound_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
