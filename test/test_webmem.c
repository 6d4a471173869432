/* test_webmem.c -- bodies and answers held for clients, within limits. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "metric.h"
#include "webmem.h"

#define MB ((size_t)1 << 20)
#define LIMIT (8 * MB)
#define MAX_BODY MB
#define BODY_TIMEOUT_MS 30000
#define BODIES 8

struct fixture {
	struct mu_clock clock;
	struct mu_webmem *mem;
	struct mu_webconn conn[BODIES];
	int far[BODIES]; /* the clients' ends */
	struct mu_webbody body[BODIES];
};

static struct fixture fx;

static int
setup(void **state)
{
	struct mu_webmem_conf conf = {LIMIT, BODY_TIMEOUT_MS, &fx.clock};
	int fd[2], i;

	(void)state;
	memset(&fx, 0, sizeof(fx));
	mu_clock_manual(&fx.clock, 1000 * MU_US_PER_S);
	assert_int_equal(mu_webmem_new(&fx.mem, &conf), 0);
	for (i = 0; i < BODIES; i++) {
		assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM, 0, fd), 0);
		fx.conn[i].fd = fd[0];
		fx.conn[i].client_key = 1;
		fx.far[i] = fd[1];
	}
	return 0;
}

/* Builds with a sanitizer check that nothing is held at the end. */
static int
teardown(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < BODIES; i++) {
		if (fx.body[i].mem != NULL)
			mu_webbody_end(&fx.body[i]);
		(void)close(fx.conn[i].fd);
		(void)close(fx.far[i]);
	}
	mu_webmem_free(fx.mem);
	return 0;
}

static enum mu_webmem_result
begin(int i, uint64_t declared)
{
	return mu_webbody_begin(
	    &fx.body[i], fx.mem, &fx.conn[i], MAX_BODY, declared);
}

static enum mu_webmem_result
append(int i, size_t len)
{
	static char bytes[2 * MB];

	return mu_webbody_append(&fx.body[i], bytes, len);
}

static bool
is_shut_down(int i)
{
	char byte;

	return recv(fx.far[i], &byte, 1, MSG_DONTWAIT) == 0;
}

static size_t
held(void)
{
	static const char name[] = "\nmu_held_body_bytes ";
	char *text = mu_metrics_text();
	const char *p;
	size_t n;

	assert_non_null(text);
	p = strstr(text, name);
	assert_non_null(p);
	n = strtoul(p + strlen(name), NULL, 10);
	free(text);
	return n;
}

/* A declared length over the limit must not be read at all. */
static void
test_declared_length_over_the_limit(void **state)
{
	(void)state;
	assert_int_equal(begin(0, MAX_BODY + 1), MU_WEBMEM_TOO_LARGE);
	assert_int_equal(begin(1, UINT64_MAX - 1), MU_WEBMEM_TOO_LARGE);
	assert_int_equal(begin(2, MAX_BODY), MU_WEBMEM_OK);
	assert_int_equal(held(), MAX_BODY + 1);
}

/* A body that grows over the limit must give its memory back at once, and what
 * follows must not be read without end. */
static void
test_growth_over_the_limit(void **state)
{
	(void)state;
	assert_int_equal(begin(0, MU_WEBBODY_CHUNKED), MU_WEBMEM_OK);
	assert_int_equal(append(0, MAX_BODY), MU_WEBMEM_OK);
	assert_int_equal(fx.body[0].len, MAX_BODY);
	assert_int_equal(held(), MAX_BODY + 1); /* with the NUL */
	assert_int_equal(append(0, 1), MU_WEBMEM_OK);
	assert_true(fx.body[0].too_large);
	assert_int_equal(held(), 0);
	assert_int_equal(append(0, MAX_BODY - 1), MU_WEBMEM_OK);
	assert_int_equal(append(0, 1), MU_WEBMEM_CLOSE);
}

/* Bodies of allowed size must not exceed the limit together, and small ones
 * must be served beside them. */
static void
test_sum_of_bodies(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < 5; i++)
		assert_int_equal(begin(i, MAX_BODY), MU_WEBMEM_OK);
	assert_int_equal(begin(5, MAX_BODY), MU_WEBMEM_NO_ROOM);
	assert_int_equal(begin(6, MU_WEBBODY_CHUNKED), MU_WEBMEM_OK);
	assert_int_equal(append(6, 100000), MU_WEBMEM_OK);
	assert_int_equal(append(6, MAX_BODY - 100000), MU_WEBMEM_CLOSE);
	assert_int_equal(begin(7, 60000), MU_WEBMEM_OK);
	assert_int_equal(append(7, 60000), MU_WEBMEM_OK);
	assert_int_equal(mu_webbody_complete(&fx.body[7]), MU_WEBMEM_OK);
	assert_int_equal(
	    held(), 5 * (MAX_BODY + 1) + 60001 + 60000 * MU_WEBMEM_BODY_COPIES);
}

/* Clients that stop short of the end must not keep others out. */
static void
test_stalled_body_is_dropped(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < 5; i++) {
		assert_int_equal(begin(i, MAX_BODY), MU_WEBMEM_OK);
		assert_int_equal(append(i, MAX_BODY - 1), MU_WEBMEM_OK);
	}
	mu_clock_advance(&fx.clock, MU_ACCT_STALL_US);
	for (i = 1; i < 5; i++)
		assert_int_equal(append(i, 0), MU_WEBMEM_OK);
	assert_int_equal(begin(5, MAX_BODY), MU_WEBMEM_OK);
	assert_true(fx.body[0].dropped);
	assert_true(is_shut_down(0));
	assert_int_equal(append(0, 1), MU_WEBMEM_CLOSE);
	assert_int_equal(mu_webbody_complete(&fx.body[0]), MU_WEBMEM_CLOSE);
	for (i = 1; i < 6; i++) {
		assert_false(fx.body[i].dropped);
		assert_false(is_shut_down(i));
	}
}

/* A request that may have been passed on must not be dropped, and its copies
 * must count. */
static void
test_complete_body_is_kept(void **state)
{
	(void)state;
	assert_int_equal(begin(0, MAX_BODY), MU_WEBMEM_OK);
	assert_int_equal(append(0, MAX_BODY), MU_WEBMEM_OK);
	assert_int_equal(mu_webbody_complete(&fx.body[0]), MU_WEBMEM_OK);
	assert_int_equal(
	    held(), MAX_BODY + 1 + MU_WEBMEM_BODY_COPIES * MAX_BODY);
	assert_int_equal(begin(1, MAX_BODY), MU_WEBMEM_OK);
	assert_int_equal(append(1, MAX_BODY), MU_WEBMEM_OK);
	mu_clock_advance(&fx.clock, 2 * MU_ACCT_STALL_US);
	assert_int_equal(mu_webbody_complete(&fx.body[1]), MU_WEBMEM_NO_ROOM);
	assert_false(fx.body[0].dropped);
	mu_webbody_free_data(&fx.body[0]);
	assert_int_equal(held(), MU_WEBMEM_BODY_COPIES * MAX_BODY);
}

/* A client that sends a byte now and then must not hold its body for ever. */
static void
test_body_timeout(void **state)
{
	(void)state;
	assert_int_equal(begin(0, MAX_BODY), MU_WEBMEM_OK);
	mu_clock_advance(&fx.clock, (BODY_TIMEOUT_MS - 1) * MU_US_PER_MS);
	assert_int_equal(append(0, 1), MU_WEBMEM_OK);
	assert_int_equal(mu_webbody_time_left(&fx.body[0]), MU_US_PER_MS);
	mu_clock_advance(&fx.clock, MU_US_PER_MS);
	assert_int_equal(append(0, 1), MU_WEBMEM_CLOSE);
}

static struct mu_stream *
ended_stream(size_t len)
{
	struct mu_reply reply = {.status = 200, .len = len};
	struct mu_stream *s = mu_stream_new();

	reply.body = malloc(len);
	if (s == NULL || reply.body == NULL)
		abort();
	memset(reply.body, 'x', len);
	mu_stream_end(s, &reply);
	return s;
}

/* Answers that nobody reads must give room to others. */
static void
test_unread_answer_is_dropped(void **state)
{
	struct mu_stream *s = ended_stream(3 * MB);
	struct mu_webanswer *w[3];
	char buf[100];

	(void)state;
	w[0] = mu_webanswer_new(fx.mem, &fx.conn[0], s);
	w[1] = mu_webanswer_new(fx.mem, &fx.conn[1], s);
	assert_true(w[0] != NULL && w[1] != NULL);
	assert_null(mu_webanswer_new(fx.mem, &fx.conn[2], s));
	mu_clock_advance(&fx.clock, MU_ACCT_STALL_US);
	assert_int_equal(mu_webanswer_read(w[1], 0, buf, 100), 100);
	w[2] = mu_webanswer_new(fx.mem, &fx.conn[2], s);
	assert_non_null(w[2]);
	assert_true(is_shut_down(0));
	assert_int_equal(mu_webanswer_read(w[0], 0, buf, 100), 0);
	assert_int_equal(mu_webanswer_read(w[2], 3 * MB - 1, buf, 100), 1);
	assert_int_equal(buf[0], 'x');
	mu_webanswer_free(w[0]);
	mu_webanswer_free(w[1]);
	mu_webanswer_free(w[2]);
	mu_stream_unref(s);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
	const struct CMUnitTest tests[] = {
	    T(test_declared_length_over_the_limit),
	    T(test_growth_over_the_limit),
	    T(test_sum_of_bodies),
	    T(test_stalled_body_is_dropped),
	    T(test_complete_body_is_kept),
	    T(test_body_timeout),
	    T(test_unread_answer_is_dropped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
