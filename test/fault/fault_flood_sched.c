/*
 * fault_flood_sched.c -- endpoints of cardamomusherd whose answers go on
 * without end.
 *
 * An endpoint begins an answer and repeats a few bytes until the daemon closes
 * the connection, or stops shortly before a limit and keeps the connection
 * open: to calls, and to the daemon's own requests for reports.  The daemon
 * must live, its peak of resident memory must stay under a bound, and a call of
 * the other service must be answered.  No times and no share of served calls
 * are checked.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
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

#define CALLERS 24
#define ANSWER_MEMORY_MB 16
#define REST_KB (32 * 1024) /* everything outside that limit */
#define MOST_EVENT_BYTES 3900000 /* below the daemon's limit of an event */
#define MOST_ANSWER_BYTES 60000000 /* below its limit of an answer */
#define REQUEST_BYTES 65536
#define BLOCK_BYTES 65536
#define PIECE_BYTES 256 /* at most */
#define REPORT_ROUNDS_MS 2000 /* reports are read twice a second */

/* Which of the endpoint's answers is flooded. */
enum flooded {
	FLOOD_PLAIN_CALLS,
	FLOOD_MODEL_CALLS,
	FLOOD_REPORTS
};

struct flood {
	const char *name;
	enum flooded flooded;
	const char *head; /* of the answer, with what comes before the flood */
	/* Repeated; NULL: pieces of the call's own text. */
	const char *unit;
	size_t most; /* bytes for each connection, then silence; 0: no end */
};

static struct {
	const struct flood *flood;
	int listener;
	pthread_t thread;
	bool stopping;
	unsigned conns; /* threads of open connections */
	unsigned floods; /* answers flooded so far */
} server;

/*
 * The endpoint.
 */

/* Reads a request; false if the peer closed before its end. */
static bool
read_request(int fd, char *buf)
{
	static const char field[] = "\r\nContent-Length: ";
	size_t len = 0, need = SIZE_MAX;
	const char *end, *length;
	ssize_t n;

	while (len < need) {
		n = recv(fd, buf + len, REQUEST_BYTES - 1 - len, 0);
		if (n <= 0)
			return false;
		len += (size_t)n;
		buf[len] = '\0';
		end = strstr(buf, "\r\n\r\n");
		if (end == NULL)
			continue;
		need = (size_t)(end - buf) + 4;
		length = strstr(buf, field);
		if (length != NULL && length < end)
			need += strtoul(length + strlen(field), NULL, 10);
	}
	return true;
}

static bool
send_all(int fd, const char *data, size_t len)
{
	ssize_t n;

	while (len > 0) {
		n = send(fd, data, len, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* Fills a block with whole units; returns its length. */
static size_t
fill_units(char *block, const char *unit, size_t n)
{
	size_t len;

	for (len = 0; len + n <= BLOCK_BYTES; len += n)
		memcpy(block + len, unit, n);
	return len;
}

/* Fills a block with the next pieces of the call's text. */
static size_t
fill_pieces(char *block, const char *id, unsigned *index)
{
	size_t len = 0;

	while (len + PIECE_BYTES < BLOCK_BYTES)
		len += (size_t)snprintf(block + len, PIECE_BYTES,
		    "data: {\"request_id\":\"%s\",\"index\":%u,\"text\":"
		    "\"word word word word word word word word\"}\n\n",
		    id, (*index)++);
	return len;
}

static void
read_request_id(const char *request, char *id, size_t size)
{
	static const char field[] = "\"request_id\":\"";
	const char *p = strstr(request, field);

	id[0] = '\0';
	if (p == NULL)
		return;
	p += strlen(field);
	(void)snprintf(id, size, "%.*s", (int)strcspn(p, "\""), p);
}

static void
send_flood(int fd, const char *request)
{
	const struct flood *f = server.flood;
	char *block = malloc(BLOCK_BYTES), id[100], byte;
	size_t sent = 0, len = 0;
	unsigned index = 0;

	assert_non_null(block);
	__atomic_add_fetch(&server.floods, 1, __ATOMIC_RELAXED);
	read_request_id(request, id, sizeof(id));
	if (f->unit != NULL)
		len = fill_units(block, f->unit, strlen(f->unit));
	if (!send_all(fd, f->head, strlen(f->head)))
		goto out;
	for (; f->most == 0 || sent < f->most; sent += len) {
		if (f->unit == NULL)
			len = fill_pieces(block, id, &index);
		if (!send_all(fd, block, len))
			goto out;
	}
	while (recv(fd, &byte, 1, 0) > 0)
		continue;
out:
	free(block);
}

static void
send_json(int fd, const char *body)
{
	char text[512];
	int n = snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen(body),
	    body);

	(void)send_all(fd, text, (size_t)n);
}

static void *
serve_conn(void *arg)
{
	int fd = (int)(intptr_t)arg;
	char *request = malloc(REQUEST_BYTES);
	bool report;

	if (request != NULL && read_request(fd, request)) {
		report = strncmp(request, "GET ", 4) == 0;
		if (report == (server.flood->flooded == FLOOD_REPORTS))
			send_flood(fd, request);
		else if (strncmp(request, "GET /v1/load", 12) == 0)
			send_json(fd, "{\"running\":0,\"queued\":0,"
				      "\"max_batch\":64,\"cache_used\":0,"
				      "\"cache_max\":100000,\"age_ms\":0}");
		else
			send_json(fd, "{\"held\":[]}");
	}
	free(request);
	(void)close(fd);
	__atomic_sub_fetch(&server.conns, 1, __ATOMIC_RELEASE);
	return NULL;
}

static void *
server_main(void *arg)
{
	struct pollfd p = {.fd = server.listener, .events = POLLIN};
	pthread_t t;
	int fd;

	while (!__atomic_load_n(&server.stopping, __ATOMIC_ACQUIRE)) {
		if (poll(&p, 1, 50) <= 0)
			continue;
		fd = accept(server.listener, NULL, NULL);
		if (fd < 0)
			continue;
		__atomic_add_fetch(&server.conns, 1, __ATOMIC_ACQ_REL);
		if (pthread_create(
			&t, NULL, serve_conn, (void *)(intptr_t)fd) == 0)
			(void)pthread_detach(t);
	}
	return arg;
}

/* Takes the place of a stand-in, at its address. */
static void
server_start(struct unit *u, const struct flood *f)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[PROC_ADDR_LEN];
	unsigned port;
	int on = 1;

	memset(&server, 0, sizeof(server));
	server.flood = f;
	proc_kill(u->proc);
	assert_int_equal(sscanf(u->addr, "%31[^:]:%u", ip, &port), 2);
	sin.sin_port = htons((uint16_t)port);
	assert_int_equal(inet_pton(AF_INET, ip, &sin.sin_addr), 1);
	server.listener = socket(AF_INET, SOCK_STREAM, 0);
	(void)setsockopt(
	    server.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	assert_int_equal(
	    bind(server.listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(server.listener, 64), 0);
	assert_int_equal(
	    pthread_create(&server.thread, NULL, server_main, NULL), 0);
}

/* The daemon has ended, so that each connection ends as well. */
static void
server_stop(void)
{
	__atomic_store_n(&server.stopping, true, __ATOMIC_RELEASE);
	pthread_join(server.thread, NULL);
	while (__atomic_load_n(&server.conns, __ATOMIC_ACQUIRE) > 0)
		proc_sleep_ms(10);
	(void)close(server.listener);
}

/*
 * The daemon.
 */

#define LIMIT_SETTING "answer_memory_mb: 16\n"

/* Whether the daemon knows the setting; releases before it don't. */
static bool
limit_is_known(void)
{
	static const char text[] =
	    "host: h\ndomain: d\nregion: r\ncaller_addr: 127.0.0.1:1\n"
	    "operator_addr: 127.0.0.1:2\npeer_addr: 127.0.0.1:3\n"
	    "platform_addr: 127.0.0.1:4\nreceipt_key: "
	    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
	    "\n" LIMIT_SETTING;
	char path[256];

	proc_write(path, sizeof(path), "check.yaml", text);
	return proc_wait(proc_start("check", "cardamomusherd",
		   (const char *[]){"--check", path, NULL})) == 0;
}

#define SERVICE(name, kind) \
	"- name: " name "\n  kind: " kind "\n  region: great-lakes\n" \
	"  places: [duluth, milwaukee, toledo]\n  limits:\n" \
	"    concurrency: 64\n    caller_concurrency: 64\n" \
	"  timeouts:\n    total_ms: 4000\n" \
	"    first_byte_ms: 4000\n    idle_ms: 4000\n"

static struct cluster *
start(void)
{
	static const char text[] = "services:\n" SERVICE("smokehouse", "model")
	    SERVICE("pantry", "plain") "  repeatable: false\n"
				       "  repeatable_operations: [lookup]\n";
	struct cluster_conf conf;
	struct cluster *c;

	cluster_defaults(&conf);
	conf.daemons = conf.engines = conf.services = 1;
	conf.max_batch = 64;
	conf.settings = limit_is_known() ? LIMIT_SETTING : NULL;
	c = cluster_start_conf(&conf);
	cluster_apply(c, 0, text);
	return c;
}

static void
start_call(struct caller *k, struct cluster *c, bool model)
{
	char id[CALL_ID_LEN];

	call_program(c, id);
	if (model)
		call_start_model(k, &c->daemon[0], id, 1, "text", 8);
	else
		call_start(k, &c->daemon[0], id, 1);
}

static void
assert_other_service_answers(struct cluster *c, bool model)
{
	struct caller k;

	start_call(&k, c, model);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	http_clear(&k.res);
}

static void
run_calls(struct cluster *c, bool model)
{
	struct caller k[CALLERS];
	int i;

	for (i = 0; i < CALLERS; i++)
		start_call(&k[i], c, model);
	for (i = 0; i < CALLERS; i++) {
		call_end(&k[i]);
		assert_string_not_equal(call_outcome(&k[i]), "done");
		http_clear(&k[i].res);
	}
}

static void
run_flood(const struct flood *f)
{
	const long bound = ANSWER_MEMORY_MB * 1024L + REST_KB;
	struct cluster *c = start();
	struct unit *d = &c->daemon[0];
	bool model = f->flooded != FLOOD_PLAIN_CALLS;
	long before = proc_status_kb(d->proc, "VmHWM"), grown;

	server_start(model ? &c->engine[0] : &c->service[0], f);
	if (f->flooded == FLOOD_REPORTS)
		proc_sleep_ms(REPORT_ROUNDS_MS);
	else
		run_calls(c, model);
	if (!proc_alive(d->proc))
		fail_msg("%s: the daemon has ended", f->name);
	assert_other_service_answers(c, !model);
	grown = proc_status_kb(d->proc, "VmHWM") - before;
	print_message("%s: %ld of %ld MiB, %u floods\n", f->name, grown / 1024,
	    bound / 1024, server.floods);
	proc_kill(d->proc);
	server_stop();
	assert_true(server.floods > 0);
	assert_in_range(grown, 0, bound);
}

/* Each guards against a daemon that keeps what an endpoint sends in this part
 * of an answer, until the memory of its host ends. */
#define FLOOD(name, ...) \
	static void test_##name(void **state) \
	{ \
		static const struct flood f = {#name, __VA_ARGS__}; \
\
		(void)state; \
		run_flood(&f); \
	}

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define STREAM_HEAD OK_HEAD "Content-Type: text/event-stream\r\n\r\n"
#define CHUNKS_HEAD OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define HUGE_HEAD OK_HEAD "Content-Length: 9000000000000000000\r\n\r\n"
#define FAILED_HEAD "HTTP/1.1 500 No\r\n\r\n"

FLOOD(bytes_that_are_no_answer, FLOOD_PLAIN_CALLS, "", "x", 0)
FLOOD(status_digits, FLOOD_PLAIN_CALLS, "HTTP/1.1 ", "2", 0)
FLOOD(header_value, FLOOD_PLAIN_CALLS, OK_HEAD "X: ", "x", 0)
FLOOD(headers, FLOOD_PLAIN_CALLS, OK_HEAD, "X: y\r\n", 0)
FLOOD(interim_answers, FLOOD_PLAIN_CALLS, "", "HTTP/1.1 103 Hi\r\n\r\n", 0)
FLOOD(switched_protocol, FLOOD_PLAIN_CALLS,
    "HTTP/1.1 101 Switching Protocols\r\n\r\n", "x", 0)
FLOOD(body_without_length, FLOOD_PLAIN_CALLS, OK_HEAD "\r\n", "x", 0)
FLOOD(body_of_huge_length, FLOOD_PLAIN_CALLS, HUGE_HEAD, "x", 0)
FLOOD(body_in_chunks, FLOOD_PLAIN_CALLS, CHUNKS_HEAD, "4\r\nbody\r\n", 0)
FLOOD(body_of_a_failure, FLOOD_PLAIN_CALLS, FAILED_HEAD, "x", 0)
FLOOD(body_of_a_refusal, FLOOD_PLAIN_CALLS, "HTTP/1.1 503 No\r\n\r\n", "x", 0)
FLOOD(chunk_extension, FLOOD_PLAIN_CALLS, CHUNKS_HEAD "4;", "x", 0)
FLOOD(trailers, FLOOD_PLAIN_CALLS, CHUNKS_HEAD "0\r\n", "X: y\r\n", 0)
FLOOD(most_of_a_body, FLOOD_PLAIN_CALLS, OK_HEAD "\r\n", "x", MOST_ANSWER_BYTES)
FLOOD(line_of_a_stream, FLOOD_MODEL_CALLS, STREAM_HEAD "data: ", "x", 0)
FLOOD(event_of_a_stream, FLOOD_MODEL_CALLS, STREAM_HEAD,
    "data: a line of an event that does not end\n", 0)
FLOOD(comments_in_a_stream, FLOOD_MODEL_CALLS, STREAM_HEAD, ":x\n", 0)
FLOOD(most_of_a_line, FLOOD_MODEL_CALLS, STREAM_HEAD "data: ", "x",
    MOST_EVENT_BYTES)
FLOOD(pieces_of_a_stream, FLOOD_MODEL_CALLS, STREAM_HEAD, NULL, 0)
FLOOD(failure_of_a_model_call, FLOOD_MODEL_CALLS, FAILED_HEAD, "x", 0)
FLOOD(reports, FLOOD_REPORTS, OK_HEAD "\r\n", "{\"running\":0,", 0)
FLOOD(head_of_reports, FLOOD_REPORTS, OK_HEAD "X: ", "x", 0)
FLOOD(most_of_reports, FLOOD_REPORTS, OK_HEAD "\r\n", "x", MOST_ANSWER_BYTES)

/* With an argument only that test runs, as test_headers. */
int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
#define T(name) \
	cmocka_unit_test_setup_teardown(test_##name, proc_setup, proc_teardown)
	    T(bytes_that_are_no_answer),
	    T(status_digits),
	    T(header_value),
	    T(headers),
	    T(interim_answers),
	    T(switched_protocol),
	    T(body_without_length),
	    T(body_of_huge_length),
	    T(body_in_chunks),
	    T(body_of_a_failure),
	    T(body_of_a_refusal),
	    T(chunk_extension),
	    T(trailers),
	    T(most_of_a_body),
	    T(line_of_a_stream),
	    T(event_of_a_stream),
	    T(comments_in_a_stream),
	    T(most_of_a_line),
	    T(pieces_of_a_stream),
	    T(failure_of_a_model_call),
	    T(reports),
	    T(head_of_reports),
	    T(most_of_reports),
#undef T
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
