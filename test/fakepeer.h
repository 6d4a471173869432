/*
 * fakepeer.h -- real and fake link endpoints for the link tests.
 */
#ifndef MU_TEST_FAKEPEER_H
#define MU_TEST_FAKEPEER_H

#include <poll.h>

#include "fakehttp.h"
#include "frame.h"
#include "hello.h"
#include "net.h"
#include "peer.h"

#define LONG_MS 20000
#define HEARTBEAT_MS 10
#define WAIT_MAX_MS 20000 /* before WAIT_FOR() fails the test */

/* A daemon's set of links and what its hooks recorded. */
struct test_daemon {
	struct mu_peers *peers;
	char addr[64];
	int heartbeats; /* atomic */
	uint64_t config; /* atomic */
	int hold_forwards; /* atomic: on_forward() blocks while set */
	int serving; /* atomic: on_forward() calls so far */
	int link_downs; /* atomic */
};

#define LOAD(x) __atomic_load_n(&(x), __ATOMIC_SEQ_CST)
#define STORE(x, v) __atomic_store_n(&(x), (v), __ATOMIC_SEQ_CST)
#define WAIT_FOR(cond) \
	do { \
		int ms_left = WAIT_MAX_MS; \
		while (!(cond) && ms_left-- > 0) \
			usleep(1000); \
		assert_true(cond); \
	} while (0)

/* Answers with the request's body, in two chunks if f->stream is set. */
static inline void
on_forward(void *arg, const Mu__Forward *f, struct mu_peer_responder *to)
{
	struct mu_peer_reply r = {.status = 200, .retry_after_ms = 3};
	struct test_daemon *n = arg;
	const char *body = (const char *)f->body.data;

	__atomic_add_fetch(&n->serving, 1, __ATOMIC_SEQ_CST);
	while (LOAD(n->hold_forwards))
		usleep(1000);
	if (f->stream) {
		(void)mu_peer_send_chunk(to, body, f->body.len / 2);
		(void)mu_peer_send_chunk(
		    to, body + f->body.len / 2, f->body.len - f->body.len / 2);
	} else {
		r.body = (char *)f->body.data;
		r.body_len = f->body.len;
	}
	mu_peer_send_result(to, &r);
}

static inline void
on_heartbeat(void *arg, const char *host, const Mu__Heartbeat *hb)
{
	struct test_daemon *n = arg;

	if (strcmp(host, hb->host) == 0 && hb->running == 4)
		__atomic_add_fetch(&n->heartbeats, 1, __ATOMIC_SEQ_CST);
}

static inline void
on_config(
    void *arg, const char *host, uint64_t version, const char *text, size_t len)
{
	(void)host;
	if (len == 4 && memcmp(text, "text", 4) == 0)
		STORE(((struct test_daemon *)arg)->config, version);
}

static inline void
fill_heartbeat(void *arg, Mu__Heartbeat *hb, struct mu_arena *arena)
{
	(void)arg;
	(void)arena;
	hb->running = 4;
}

static inline void
on_link(void *arg, const char *host, bool up)
{
	(void)host;
	if (!up)
		__atomic_add_fetch(&((struct test_daemon *)arg)->link_downs, 1,
		    __ATOMIC_SEQ_CST);
}

static inline void
daemon_open(struct test_daemon *n, const char *host, const char *key,
    uint32_t silence_ms)
{
	struct mu_peer_hooks hooks = {
	    n, on_forward, on_heartbeat, on_config, fill_heartbeat, on_link};
	struct mu_peer_conf conf = {
	    .host = host,
	    .listen = n->addr,
	    .key = key,
	    .heartbeat_ms = HEARTBEAT_MS,
	    .silence_ms = silence_ms,
	    .connect_ms = LONG_MS,
	};
	struct mu_error e;

	memset(n, 0, sizeof(*n));
	do {
		close(fake_listen(n->addr, 1));
	} while (mu_peers_open(&n->peers, &conf, &hooks, &e) != 0);
}

static inline void
connect_to(struct test_daemon *n, const char *host, const char *addr)
{
	struct mu_peer_target t = {host, addr};

	mu_peers_set_targets(n->peers, &t, 1);
}

static inline int
forward(struct test_daemon *n, const char *host, const char *body, size_t len,
    uint32_t ms, struct mu_peer_reply *r)
{
	Mu__Forward f = MU__FORWARD__INIT;
	struct mu_error e;

	f.body.data = (uint8_t *)body;
	f.body.len = len;
	f.deadline_ms = ms;
	return mu_peers_forward(n->peers, host, &f, NULL, NULL, r, &e);
}

/* A call of forward() on its own thread. */
struct async_forward {
	struct test_daemon *daemon;
	size_t len;
	int rc;
	pthread_t thread;
};

static inline void *
async_forward_main(void *arg)
{
	struct async_forward *c = arg;
	char *body = calloc(1, c->len);
	struct mu_peer_reply r;

	c->rc = forward(c->daemon, "b", body, c->len, LONG_MS, &r);
	if (c->rc == 0)
		free(r.body);
	free(body);
	return NULL;
}

static inline void
async_forward_start(struct async_forward *c, struct test_daemon *n, size_t len)
{
	c->daemon = n;
	c->len = len;
	assert_int_equal(
	    pthread_create(&c->thread, NULL, async_forward_main, c), 0);
}

static inline int
async_forward_join(struct async_forward *c)
{
	pthread_join(c->thread, NULL);
	return c->rc;
}

/* Accepts the next link from daemon a, as host b, and does the handshake. */
static inline int
accept_link(int listener)
{
	struct mu_hello_conf conf = {.host = "b"};
	char host[MU_NAME_LEN];
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	assert_true(fd >= 0);
	assert_int_equal(mu_hello_accept(&conf, fd, -1, LONG_MS, host), 0);
	assert_string_equal(host, "a");
	return fd;
}

/* Reads frames from fd until one of the given kind; drops the others. */
static inline Mu__Frame *
read_frame(int fd, Mu__Frame__BodyCase kind)
{
	uint8_t buf[4096];
	size_t len = 0, used;
	Mu__Frame *f;
	ssize_t n;

	for (;;) {
		assert_int_equal(mu_frame_decode(buf, len, &used, &f), 0);
		if (f != NULL) {
			memmove(buf, buf + used, len - used);
			len -= used;
			if (f->body_case == kind)
				return f;
			mu_frame_free(f);
			continue;
		}
		assert_int_equal(
		    mu_net_wait(fd, POLLIN, -1, mu_net_deadline(LONG_MS)), 0);
		n = recv(fd, buf + len, sizeof(buf) - len, 0);
		assert_true(n > 0);
		len += (size_t)n;
	}
}

static inline void
send_frame(int fd, const Mu__Frame *f)
{
	uint8_t *buf;
	size_t len;

	assert_int_equal(mu_frame_encode(f, &buf, &len), 0);
	(void)!send(fd, buf, len, MSG_NOSIGNAL);
	free(buf);
}

/* Sends empty heartbeats on fd until stopped. */
struct heartbeat_sender {
	int fd;
	int stop; /* atomic */
	pthread_t thread;
};

static inline void *
heartbeat_sender_main(void *arg)
{
	Mu__Heartbeat hb = MU__HEARTBEAT__INIT;
	Mu__Frame f = MU__FRAME__INIT;
	struct heartbeat_sender *b = arg;

	f.body_case = MU__FRAME__BODY_HEARTBEAT;
	f.heartbeat = &hb;
	while (!LOAD(b->stop)) {
		send_frame(b->fd, &f);
		usleep(HEARTBEAT_MS * 1000);
	}
	return NULL;
}

static inline void
heartbeat_sender_start(struct heartbeat_sender *b, int fd)
{
	b->fd = fd;
	b->stop = 0;
	assert_int_equal(
	    pthread_create(&b->thread, NULL, heartbeat_sender_main, b), 0);
}

static inline void
heartbeat_sender_stop(struct heartbeat_sender *b)
{
	STORE(b->stop, 1);
	pthread_join(b->thread, NULL);
}

#endif
