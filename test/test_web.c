/* test_web.c -- refusals of an HTTP server before and while it reads a body. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "net.h"
#include "sockkit.h"
#include "web.h"

#define MAX_BODY 100000
#define LIMIT ((size_t)1 << 20)
#define WAIT_MS 20000
#define OTHERS 8

struct fixture {
	struct mu_clock clock;
	struct mu_webmem *mem;
	struct mu_web *web;
	char addr[MU_ADDR_LEN];
	int handled; /* atomic */
};

static struct fixture fx;

static enum MHD_Result
handle(void *arg, struct mu_web_req *r)
{
	(void)arg;
	__atomic_add_fetch(&fx.handled, 1, __ATOMIC_RELAXED);
	return mu_web_json(
	    r, 200, json_pack("{s:I}", "len", (json_int_t)r->len));
}

static int
setup(void **state)
{
	struct mu_webmem_conf mc = {LIMIT, 30000, &fx.clock};
	struct mu_web_conf wc = {
	    .max_body = MAX_BODY, .max_connections = 64, .handle = handle};
	struct mu_error e;

	(void)state;
	memset(&fx, 0, sizeof(fx));
	mu_clock_manual(&fx.clock, 1000 * MU_US_PER_S);
	assert_int_equal(mu_webmem_new(&fx.mem, &mc), 0);
	kit_unused_addr(fx.addr);
	wc.listen = fx.addr;
	wc.mem = fx.mem;
	assert_int_equal(mu_web_open(&fx.web, &wc, &e), 0);
	return 0;
}

static int
teardown(void **state)
{
	(void)state;
	mu_web_close(fx.web);
	mu_webmem_free(fx.mem);
	return 0;
}

static int
open_with(const char *head)
{
	struct sockaddr_in sin;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(mu_net_parse_addr(fx.addr, &sin), 0);
	assert_int_equal(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(
	    send(fd, head, strlen(head), MSG_NOSIGNAL), (ssize_t)strlen(head));
	return fd;
}

static void
send_bytes(int fd, size_t n)
{
	static const char bytes[16384];
	ssize_t sent;

	while (n > 0) {
		sent = send(fd, bytes, n < sizeof(bytes) ? n : sizeof(bytes),
		    MSG_NOSIGNAL);
		if (sent <= 0)
			return;
		n -= (size_t)sent;
	}
}

/* Reads until the server closes the connection. */
static void
read_to_end(int fd, char *buf, size_t size)
{
	struct pollfd p = {fd, POLLIN, 0};
	size_t len = 0;
	ssize_t n;

	do {
		assert_int_equal(poll(&p, 1, WAIT_MS), 1);
		n = recv(fd, buf + len, size - 1 - len, 0);
		len += n > 0 ? (size_t)n : 0;
	} while (n > 0);
	buf[len] = '\0';
	(void)close(fd);
}

static void
assert_refused(const char *answer, int status, const char *type)
{
	char line[32];

	(void)snprintf(line, sizeof(line), "HTTP/1.1 %d ", status);
	if (strncmp(answer, line, strlen(line)) != 0 ||
	    strstr(answer, type) == NULL ||
	    strstr(answer, "\"outcome\":\"not_run\"") == NULL)
		fail_msg("want %d %s, got: %s", status, type, answer);
	assert_int_equal(fx.handled, 0);
}

/* A length over the limit must be refused when its head is received, also to
 * a client that goes on sending. */
static void
test_declared_length_is_refused_at_its_head(void **state)
{
	static const char head[] =
	    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 150000\r\n\r\n";
	char answer[2048];
	int fd;

	(void)state;
	read_to_end(open_with(head), answer, sizeof(answer));
	assert_refused(answer, 413, "too_large");
	fd = open_with(head);
	send_bytes(fd, 150000);
	read_to_end(fd, answer, sizeof(answer));
	assert_refused(answer, 413, "too_large");
}

/* A chunked body over the limit must get 413 if it ends within as much again,
 * and a closed connection if not. */
static void
test_chunked_body_over_the_limit(void **state)
{
	static const char head[] = "POST / HTTP/1.1\r\nHost: x\r\n"
				   "Connection: close\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";
	char answer[2048];
	int fd;

	(void)state;
	fd = open_with(head);
	assert_int_equal(send(fd, "24000\r\n", 7, MSG_NOSIGNAL), 7);
	send_bytes(fd, 0x24000);
	assert_int_equal(send(fd, "\r\n0\r\n\r\n", 7, MSG_NOSIGNAL), 7);
	read_to_end(fd, answer, sizeof(answer));
	assert_refused(answer, 413, "too_large");
	fd = open_with(head);
	assert_int_equal(send(fd, "90000\r\n", 7, MSG_NOSIGNAL), 7);
	send_bytes(fd, 0x90000);
	read_to_end(fd, answer, sizeof(answer));
	assert_string_equal(answer, "");
	assert_int_equal(fx.handled, 0);
}

/* Without room for a body the client must be told when to retry, and a small
 * request must still be served. */
static void
test_no_room_for_a_body(void **state)
{
	static const char head[] =
	    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99000\r\n\r\n";
	static const char small[] =
	    "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	    "Content-Length: 2\r\n\r\n{}";
	char answer[2048], first[OTHERS][8];
	int fd[OTHERS], i;

	(void)state;
	/* 7 of 8 fit in three quarters of the limit; 100 Continue shows that
	 * the head has been received. */
	for (i = 0; i < 7; i++) {
		fd[i] = open_with("POST / HTTP/1.1\r\nHost: x\r\n"
				  "Expect: 100-continue\r\n"
				  "Content-Length: 99000\r\n\r\n");
		assert_true(recv(fd[i], first[i], sizeof(first[i]), 0) > 0);
	}
	read_to_end(open_with(head), answer, sizeof(answer));
	assert_refused(answer, 503, "overloaded");
	assert_non_null(strstr(answer, "\r\nRetry-After: 1\r\n"));
	read_to_end(open_with(small), answer, sizeof(answer));
	assert_non_null(strstr(answer, "{\"len\":2}"));
	for (i = 0; i < 7; i++)
		(void)close(fd[i]);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
	const struct CMUnitTest tests[] = {
	    T(test_declared_length_is_refused_at_its_head),
	    T(test_chunked_body_over_the_limit),
	    T(test_no_room_for_a_body),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
