/*
 * fault_crowd_sched.c -- overload of cardamomusherd by callers and strangers.
 *
 * A crowd of connections sends the same bytes and keeps the connections open.
 * While they are open, the daemon must be alive, its peak memory and its
 * descriptors must be within a bound, and one ordinary request must be
 * answered; the same holds after the crowd has left.  No times and no share of
 * served requests are checked.
 *
 * Crowds and bounds were fixed on commit a5d5e68, which limits each body but
 * not their sum.  The memory bound is the memory before the crowd, the limit of
 * the account and 32 MiB for everything else; the descriptor bound is
 * max_connections + 512.  Settings that the daemon under test doesn't know are
 * left out, so that the same crowd meets releases without the account.
 */
#include <dirent.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "proc.h"
#include "proc_call.h"

#define KEY CLUSTER_CALLER_KEY
#define CROWD 100 /* connections; below max_connections */
#define CROWD_MAX 160 /* more than max_connections */
#define MAX_CONNECTIONS 128
#define BODY_BYTES 1000000 /* of the 1 MiB allowed */
#define OVERSIZED_BODY_BYTES (8 << 20)
#define SMALL_CHUNK_BYTES 16
#define LARGE_CHUNK_BYTES 250000
#define SINGLE_BYTES 300 /* sent one at a time */
#define HEAD_BYTES 14000 /* within the daemon's 16 KiB */
#define HEAD_FIELD_BYTES 1000
#define RESPONSE_BYTES 700000
#define PIPELINED 8 /* requests in one piece */
#define OPERATOR_CROWD 60 /* connections; the port allows 64 */
#define ACCOUNT_MB 16
#define REST_KB (32 * 1024) /* everything outside the account */
#define MAX_DESCRIPTORS (MAX_CONNECTIONS + 512)
#define PIECE_BYTES 65536
#define QUIET_MS 1500 /* without progress, the crowd has sent what it can */
#define SEND_LIMIT_MS 30000
#define DRIBBLE_MS 500 /* between two bytes of an unfinished head */
#define ORDINARY_LIMIT_MS 40000

#define STR_(x) #x
#define STR(x) STR_(x)

/* A crowd sends data[0..len) on each connection. */
struct crowd {
	int fd[CROWD_MAX];
	size_t sent[CROWD_MAX];
	int n;
	char *data;
	size_t len;
	size_t piece; /* bytes at a time */
};

struct usage {
	long resident_before_kb;
	long descriptors;
};

static struct crowd crowd;

/*
 * Settings.
 */

#define LIMIT_SETTINGS \
	"max_connections: " STR(MAX_CONNECTIONS) "\nmax_body_bytes: 1048576\n"
#define ACCOUNT_SETTINGS \
	"body_memory_mb: " STR(ACCOUNT_MB) "\nbody_timeout_ms: 30000\n"

/* Whether the daemon knows the settings of the account. */
static bool
account_settings_known(void)
{
	static const char text[] =
	    "host: h\ndomain: d\nregion: r\ncaller_addr: 127.0.0.1:1\n"
	    "operator_addr: 127.0.0.1:2\npeer_addr: 127.0.0.1:3\n"
	    "platform_addr: 127.0.0.1:4\nreceipt_key: "
	    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
	    "\n" LIMIT_SETTINGS ACCOUNT_SETTINGS;
	char path[256];

	proc_write(path, sizeof(path), "check.yaml", text);
	return proc_wait(proc_start("check", "cardamomusherd",
		   (const char *[]){"--check", path, NULL})) == 0;
}

static struct cluster *
start(void)
{
	struct cluster_conf conf;
	struct cluster *c;
	char text[4096];

	cluster_defaults(&conf);
	conf.daemons = conf.engines = conf.services = 1;
	conf.settings = account_settings_known()
			    ? LIMIT_SETTINGS ACCOUNT_SETTINGS
			    : LIMIT_SETTINGS;
	c = cluster_start_conf(&conf);
	cluster_text(c, text, sizeof(text));
	cluster_apply(c, 0, text);
	return c;
}

/*
 * The daemon's memory and descriptors.
 */

static void
count_descriptors(const struct unit *d, struct usage *u)
{
	char path[64];
	long n = 0;
	DIR *dir;

	(void)snprintf(path, sizeof(path), "/proc/%d/fd", (int)d->proc->pid);
	dir = opendir(path);
	assert_non_null(dir);
	while (readdir(dir) != NULL)
		n++;
	(void)closedir(dir);
	n -= 2; /* . and .. */
	if (n > u->descriptors)
		u->descriptors = n;
}

static void
assert_within_bounds(const struct unit *d, struct usage *u, const char *name)
{
	long peak, bound;

	if (!proc_alive(d->proc))
		fail_msg("%s: the daemon has ended", name);
	count_descriptors(d, u);
	peak = proc_status_kb(d->proc, "VmHWM");
	bound = u->resident_before_kb + ACCOUNT_MB * 1024L + REST_KB;
	print_message("%s: peak %ld kB of %ld, %ld descriptors of %d\n", name,
	    peak, bound, u->descriptors, MAX_DESCRIPTORS);
	if (peak > bound || u->descriptors > MAX_DESCRIPTORS)
		fail_msg("%s: over a bound", name);
}

/* Any daemon must be able to create a program. */
static void
assert_ordinary_answered(const struct unit *d, const char *when)
{
	struct http_req q = {.method = "POST",
	    .addr = d->addr,
	    .path = "/v1/programs",
	    .bearer = KEY,
	    .body = "{}",
	    .len = 2,
	    .limit_ms = ORDINARY_LIMIT_MS};
	struct http_res r;

	http_run(&q, &r);
	if (r.status != 201)
		fail_msg("ordinary request %s: status %d %s", when, r.status,
		    r.body != NULL ? r.body : "");
	http_clear(&r);
}

/*
 * Crowds.
 */

/* One complete request on the connection, so that the crowd reuses it. */
static void
use_once(int fd, const char *path, const char *key)
{
	char buf[4096];
	size_t len = 0;
	ssize_t n = 0;
	int sent;

	sent = snprintf(buf, sizeof(buf),
	    "GET %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n",
	    path, key);
	assert_int_equal(send(fd, buf, (size_t)sent, MSG_NOSIGNAL), sent);
	do {
		n = recv(fd, buf + len, sizeof(buf) - 1 - len, 0);
		assert_true(n > 0);
		len += (size_t)n;
		buf[len] = '\0';
	} while (strstr(buf, "\r\n\r\n{") == NULL || buf[len - 1] != '}');
}

static void
crowd_open(const char *addr, int n, bool reused)
{
	int i;

	crowd.n = n;
	for (i = 0; i < n; i++) {
		crowd.sent[i] = 0;
		crowd.fd[i] = http_open(addr, "");
		assert_int_not_equal(crowd.fd[i], -1);
		if (reused)
			use_once(crowd.fd[i], "/v1/addresses", KEY);
	}
}

/* Sends a piece on connection i.  Returns whether anything was sent. */
static bool
send_piece(int i)
{
	size_t left = crowd.len - crowd.sent[i];
	ssize_t n;

	if (crowd.fd[i] == -1 || left == 0)
		return false;
	n = send(crowd.fd[i], crowd.data + crowd.sent[i],
	    left < crowd.piece ? left : crowd.piece,
	    MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n > 0)
		crowd.sent[i] += (size_t)n;
	return n > 0;
}

/* Sends until everything is sent or the daemon takes no more. */
static void
crowd_send(const struct unit *d, struct usage *u)
{
	int64_t start = proc_now_ms(), progress = start;
	int i, round;

	for (round = 0; proc_now_ms() - progress < QUIET_MS &&
			proc_now_ms() - start < SEND_LIMIT_MS;
	     round++) {
		for (i = 0; i < crowd.n; i++)
			if (send_piece(i))
				progress = proc_now_ms();
		if (round % 50 == 0)
			count_descriptors(d, u);
		if (proc_now_ms() - progress > PROC_POLL_MS)
			proc_sleep_ms(PROC_POLL_MS);
	}
}

static void
crowd_close(void)
{
	int i;

	for (i = 0; i < crowd.n; i++)
		if (crowd.fd[i] != -1)
			(void)close(crowd.fd[i]);
	crowd.n = 0;
	free(crowd.data);
	crowd.data = NULL;
}

static void
run_crowd(const struct unit *d, const char *addr, int n, bool reused,
    const char *name)
{
	struct usage u = {0};

	u.resident_before_kb = proc_status_kb(d->proc, "VmRSS");
	crowd_open(addr, n, reused);
	crowd_send(d, &u);
	assert_within_bounds(d, &u, name);
	assert_ordinary_answered(d, "during the load");
	crowd_close();
	assert_ordinary_answered(d, "after the load");
	assert_within_bounds(d, &u, name);
}

/*
 * What the crowds send.
 */

static void
data_head(const char *path, const char *key, const char *fields, size_t size)
{
	crowd.data = malloc(size + 1024);
	assert_non_null(crowd.data);
	crowd.len = (size_t)sprintf(crowd.data,
	    "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
	    "%s\r\n",
	    path, key, fields);
	crowd.piece = PIECE_BYTES;
}

static void
data_fill(size_t n)
{
	memset(crowd.data + crowd.len, ' ', n);
	crowd.len += n;
}

/* A body of a declared length, of which the first n bytes are sent. */
static void
data_declared(const char *key, size_t declared, size_t n)
{
	char field[64];

	(void)snprintf(
	    field, sizeof(field), "Content-Length: %zu\r\n", declared);
	data_head("/v1/programs", key, field, n);
	data_fill(n);
}

/* Chunks without the last one. */
static void
data_chunked(size_t total, size_t chunk)
{
	size_t n;

	data_head("/v1/programs", KEY, "Transfer-Encoding: chunked\r\n",
	    total + total / chunk * 16 + 64);
	for (n = 0; n < total; n += chunk) {
		crowd.len +=
		    (size_t)sprintf(crowd.data + crowd.len, "%zx\r\n", chunk);
		data_fill(chunk);
		crowd.len += (size_t)sprintf(crowd.data + crowd.len, "\r\n");
	}
}

/* A call of the program with an input of the given size. */
static void
data_call(const char *id, int seq, size_t size)
{
	char path[128], field[64], start[160];
	int n;

	n = snprintf(start, sizeof(start),
	    "{\"seq\":%d,\"service\":\"pantry\",\"input\":{\"operation\":"
	    "\"reprint\",\"text\":\"",
	    seq);
	(void)snprintf(path, sizeof(path), "/v1/programs/%s/calls", id);
	(void)snprintf(field, sizeof(field), "Content-Length: %zu\r\n",
	    (size_t)n + size + 3);
	data_head(path, KEY, field, size + sizeof(start));
	crowd.len += (size_t)sprintf(crowd.data + crowd.len, "%s", start);
	data_fill(size);
	crowd.len += (size_t)sprintf(crowd.data + crowd.len, "\"}}");
}

/* Guards against a sum of bodies that stop short of their declared end. */
static void
test_declared_bodies(void **state)
{
	struct cluster *c;

	c = start();
	data_declared(KEY, BODY_BYTES, BODY_BYTES - 1);
	run_crowd(&c->daemon[0], c->daemon[0].addr, CROWD, *state != NULL,
	    "declared");
}

/* Guards against the same on the operators' port, without a key. */
static void
test_declared_bodies_of_operators(void **state)
{
	struct cluster *c;

	(void)state;
	c = start();
	data_declared("wrong", BODY_BYTES, BODY_BYTES - 1);
	run_crowd(&c->daemon[0], c->daemon[0].oper, OPERATOR_CROWD, false,
	    "declared, operators' port");
}

static void
test_small_chunks(void **state)
{
	struct cluster *c;

	c = start();
	data_chunked(BODY_BYTES, SMALL_CHUNK_BYTES);
	run_crowd(&c->daemon[0], c->daemon[0].addr, CROWD, *state != NULL,
	    "small chunks");
}

static void
test_large_chunks(void **state)
{
	struct cluster *c;

	c = start();
	data_chunked(BODY_BYTES, LARGE_CHUNK_BYTES);
	run_crowd(&c->daemon[0], c->daemon[0].addr, CROWD, *state != NULL,
	    "large chunks");
}

/* Guards against keeping what was read of a body over the limit. */
static void
test_oversized_declared(void **state)
{
	struct cluster *c;

	c = start();
	data_declared(KEY, OVERSIZED_BODY_BYTES, OVERSIZED_BODY_BYTES - 1);
	run_crowd(&c->daemon[0], c->daemon[0].addr, CROWD, *state != NULL,
	    "oversized, declared");
}

static void
test_oversized_sent(void **state)
{
	struct cluster *c;

	c = start();
	data_chunked(OVERSIZED_BODY_BYTES, 1 << 20);
	run_crowd(&c->daemon[0], c->daemon[0].addr, CROWD, *state != NULL,
	    "oversized, sent");
}

/* Guards against the copies of complete bodies whose calls wait for a turn. */
static void
test_complete_bodies(void **state)
{
	char id[CALL_ID_LEN];
	struct cluster *c;

	c = start();
	call_program(c, id);
	data_call(id, 7, BODY_BYTES);
	run_crowd(&c->daemon[0], c->daemon[0].addr, CROWD, *state != NULL,
	    "complete");
}

/* Guards what holds without the account: memory grows with what arrived. */
static void
test_single_bytes(void **state)
{
	struct cluster *c;

	c = start();
	data_declared(KEY, BODY_BYTES, SINGLE_BYTES);
	crowd.piece = 1;
	run_crowd(&c->daemon[0], c->daemon[0].addr, CROWD, *state != NULL,
	    "single bytes");
}

/* A head without its end. */
static void
data_unfinished_head(void)
{
	crowd.data = malloc(HEAD_BYTES + 2 * HEAD_FIELD_BYTES);
	assert_non_null(crowd.data);
	crowd.len =
	    (size_t)sprintf(crowd.data, "GET /v1/addresses HTTP/1.1\r\n");
	while (crowd.len < HEAD_BYTES)
		crowd.len += (size_t)sprintf(crowd.data + crowd.len,
		    "X-%zu: %0*d\r\n", crowd.len, HEAD_FIELD_BYTES, 0);
	crowd.piece = PIECE_BYTES;
}

/* Guards what holds without the account: a head is limited to 16 KiB. */
static void
test_unfinished_heads(void **state)
{
	struct cluster *c;

	c = start();
	data_unfinished_head();
	run_crowd(
	    &c->daemon[0], c->daemon[0].addr, CROWD, *state != NULL, "heads");
}

static void *
ordinary_main(void *arg)
{
	struct http_req q = {.method = "GET",
	    .addr = arg,
	    .path = "/v1/addresses",
	    .bearer = KEY,
	    .limit_ms = ORDINARY_LIMIT_MS};
	struct http_res r;
	intptr_t status;

	http_run(&q, &r);
	status = r.status;
	http_clear(&r);
	return (void *)status;
}

/*
 * Guards against unfinished heads that keep every connection in use: the crowd
 * is larger than max_connections and each connection sends a byte now and then.
 */
static void
test_heads_on_all_connections(void **state)
{
	int64_t start_ms;
	struct cluster *c;
	struct usage u = {0};
	pthread_t thread;
	void *status = NULL;
	int i;

	(void)state;
	c = start();
	u.resident_before_kb = proc_status_kb(c->daemon[0].proc, "VmRSS");
	data_unfinished_head();
	crowd_open(c->daemon[0].addr, CROWD_MAX, false);
	crowd.len = 1000;
	crowd_send(&c->daemon[0], &u);
	assert_int_equal(
	    pthread_create(&thread, NULL, ordinary_main, c->daemon[0].addr), 0);
	crowd.piece = 1;
	start_ms = proc_now_ms();
	while (pthread_tryjoin_np(thread, &status) != 0) {
		crowd.len++;
		for (i = 0; i < crowd.n; i++)
			(void)send_piece(i);
		proc_sleep_ms(DRIBBLE_MS);
		if (proc_now_ms() - start_ms > 2 * ORDINARY_LIMIT_MS)
			fail_msg("the ordinary request has not ended");
	}
	assert_within_bounds(&c->daemon[0], &u, "heads on all connections");
	assert_int_equal((intptr_t)status, 200);
	crowd_close();
	assert_ordinary_answered(&c->daemon[0], "after the load");
}

/* Guards against responses that nobody reads, several asked for at once. */
static void
test_unread_responses(void **state)
{
	char id[CALL_ID_LEN], path[128];
	struct cluster *c;
	struct http_req q = {.method = "POST", .bearer = KEY};
	struct http_res r;
	int i;

	c = start();
	call_program(c, id);
	data_call(id, 1, RESPONSE_BYTES);
	(void)snprintf(path, sizeof(path), "/v1/programs/%s/calls", id);
	q.addr = c->daemon[0].addr;
	q.path = path;
	q.body = strstr(crowd.data, "\r\n\r\n") + 4;
	q.len = crowd.len - (size_t)(q.body - crowd.data);
	http_run(&q, &r);
	if (r.status != 200 || r.len < RESPONSE_BYTES)
		fail_msg("call: status %d, %zu bytes %.300s", r.status, r.len,
		    r.body);
	http_clear(&r);
	crowd.len = 0;
	for (i = 0; i < PIPELINED; i++)
		crowd.len += (size_t)sprintf(crowd.data + crowd.len,
		    "GET %s/1 HTTP/1.1\r\nHost: x\r\n"
		    "Authorization: Bearer " KEY "\r\n\r\n",
		    path);
	run_crowd(&c->daemon[0], c->daemon[0].addr, CROWD, *state != NULL,
	    "unread responses");
}

/* Guards what holds without the account: one request of a connection at a
 * time is read. */
static void
test_pipelined_requests(void **state)
{
	struct cluster *c;
	size_t len;
	int i;

	c = start();
	data_head("/v1/programs", KEY, "Content-Length: 2\r\n",
	    (size_t)PIPELINED * 1024);
	crowd.len += (size_t)sprintf(crowd.data + crowd.len, "{}");
	len = crowd.len;
	for (i = 1; i < PIPELINED; i++) {
		memcpy(crowd.data + crowd.len, crowd.data, len);
		crowd.len += len;
	}
	run_crowd(&c->daemon[0], c->daemon[0].addr, CROWD, *state != NULL,
	    "pipelined");
}

/*
 * The port for other daemons.  Both tests guard what holds without the account:
 * before the handshake at most 1 KiB of a frame is read, and a link without a
 * handshake is closed.
 */

static struct usage links_usage;

static bool
strangers_are_closed(void *arg)
{
	struct cluster *c = arg;
	char byte;
	int i;

	count_descriptors(&c->daemon[0], &links_usage);
	for (i = 0; i < crowd.n; i++)
		if (recv(crowd.fd[i], &byte, 1, MSG_DONTWAIT) == -1 &&
		    errno == EAGAIN)
			return false;
	return true;
}

static void
test_unfinished_frames(void **state)
{
	static const unsigned char prefix[] = {0x00, 0xff, 0xff, 0xff};
	struct cluster *c;

	(void)state;
	c = start();
	crowd.data = malloc(BODY_BYTES);
	assert_non_null(crowd.data);
	memcpy(crowd.data, prefix, sizeof(prefix));
	crowd.len = sizeof(prefix);
	data_fill(BODY_BYTES - sizeof(prefix));
	crowd.piece = PIECE_BYTES;
	run_crowd(&c->daemon[0], c->daemon[0].peer, CROWD, false,
	    "unfinished frames");
}

static void
test_links_without_name(void **state)
{
	struct cluster *c;

	(void)state;
	c = start();
	links_usage.descriptors = 0;
	links_usage.resident_before_kb =
	    proc_status_kb(c->daemon[0].proc, "VmRSS");
	crowd_open(c->daemon[0].peer, CROWD_MAX, false);
	proc_until("end of links without name", strangers_are_closed, c);
	assert_within_bounds(&c->daemon[0], &links_usage, "links without name");
	crowd_close();
	assert_ordinary_answered(&c->daemon[0], "after the load");
}

/* Closes the connections of a test that failed, too. */
static int
teardown(void **state)
{
	crowd_close();
	return proc_teardown(state);
}

/* An argument selects tests by name, with * and ?. */
int
main(int argc, char **argv)
{
	static bool reused = true;
/* A test whose state is not NULL sends a complete request on each connection
 * before its load. */
#define R(f) \
	{ \
#f "_reused", f, proc_setup, teardown, &reused \
	}
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, teardown)
	const struct CMUnitTest tests[] = {
	    T(test_declared_bodies),
	    R(test_declared_bodies),
	    T(test_declared_bodies_of_operators),
	    T(test_small_chunks),
	    R(test_small_chunks),
	    T(test_large_chunks),
	    R(test_large_chunks),
	    T(test_oversized_declared),
	    R(test_oversized_declared),
	    T(test_oversized_sent),
	    R(test_oversized_sent),
	    T(test_complete_bodies),
	    R(test_complete_bodies),
	    T(test_single_bytes),
	    R(test_single_bytes),
	    T(test_unfinished_heads),
	    R(test_unfinished_heads),
	    T(test_heads_on_all_connections),
	    T(test_unread_responses),
	    R(test_unread_responses),
	    T(test_pipelined_requests),
	    R(test_pipelined_requests),
	    T(test_unfinished_frames),
	    T(test_links_without_name),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
