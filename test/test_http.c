/* test_http.c -- HTTP requests: sent at most once, within their limits. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#define FAKE_REQUEST_BYTES ((size_t)4 << 20)
#include "doubtful.h"
#include "fakehttp.h"
#include "http.h"

#define LONG_MS 20000
#define SHORT_MS 50
#define BIG_BYTES ((size_t)2 << 20) /* libcurl adds "Expect" for this size */
#define HEAD "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

static struct fake server;

static struct mu_http_request
post(void)
{
	return (struct mu_http_request){
	    .method = "POST",
	    .target = "/x",
	    .content_type = "text/plain",
	    .body = "body",
	    .body_len = 4,
	    .limits = {LONG_MS, LONG_MS, LONG_MS, LONG_MS},
	    .max_body = BIG_BYTES,
	};
}

/* Sends q to a server that runs one step; checks that it connects once. */
static void
run_step(const char *bytes, enum fake_action action, struct mu_http_request q,
    struct mu_http_response *r)
{
	struct fake_step step = {bytes, action};

	fake_start(&server, &step, 1);
	q.addr = server.addr;
	mu_http_run(&q, r);
	fake_stop(&server);
	assert_int_equal(server.accepts, 1);
	assert_true(r->may_have_sent);
}

static void
test_connection_closed_at_once(void **state)
{
	struct mu_http_response r;

	(void)state;
	run_step(NULL, FAKE_CLOSE_UNREAD, post(), &r);
	assert_int_equal(r.result, MU_HTTP_CONN_LOST);
	assert_int_equal(r.status, 0);
	assert_int_equal(server.requests, 0);
}

/* Answers after which an HTTP client might resend or redirect a request. */
static void
test_never_sent_again(void **state)
{
	static const struct {
		const char *bytes;
		int status;
	} cases[] = {
	    {NULL, 0},
	    {"HTTP/1.1 307 Moved\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n",
		307},
	    {"HTTP/1.1 401 Who\r\nWWW-Authenticate: Basic realm=\"x\"\r\n"
	     "Content-Length: 0\r\n\r\n",
		401},
	    {"HTTP/1.1 408 Slow\r\nContent-Length: 0\r\n\r\n", 408},
	    {"HTTP/1.1 417 No\r\nContent-Length: 0\r\n\r\n", 417},
	    {"HTTP/1.1 425 Early\r\nContent-Length: 0\r\n\r\n", 425},
	};
	struct mu_http_response r;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		run_step(cases[i].bytes, FAKE_CLOSE, post(), &r);
		assert_int_equal(r.result, cases[i].bytes == NULL
					       ? MU_HTTP_CONN_LOST
					       : MU_HTTP_COMPLETE);
		assert_int_equal(r.status, cases[i].status);
		assert_int_equal(server.requests, 1);
		mu_http_response_clear(&r);
	}
}

static void
test_answer_not_whole(void **state)
{
	static const struct {
		const char *bytes;
		enum fake_action action;
		enum mu_http_result result;
	} cases[] = {
	    {"HTTP/1.1 200 OK\r\nContent-", FAKE_CLOSE, MU_HTTP_CONN_LOST},
	    {"HTTP/1.1 200 OK\r\n", FAKE_CLOSE, MU_HTTP_CONN_LOST},
	    {"HTTP/1.1 100 Go on\r\n\r\n", FAKE_CLOSE, MU_HTTP_CONN_LOST},
	    {HEAD "\r\n{", FAKE_CLOSE, MU_HTTP_CONN_LOST},
	    {HEAD "\r\n{", FAKE_RESET, MU_HTTP_CONN_LOST},
	    {"HTTP/1.1 200 OK\r\n\r\n{}", FAKE_RESET, MU_HTTP_CONN_LOST},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "2\r\n{}\r\n",
		FAKE_CLOSE, MU_HTTP_CONN_LOST},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "2\r\n{}x\r\n0\r\n\r\n",
		FAKE_CLOSE, MU_HTTP_MALFORMED},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: odd\r\n\r\n{}", FAKE_CLOSE,
		MU_HTTP_MALFORMED},
	    {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n{}", FAKE_CLOSE,
		MU_HTTP_MALFORMED},
	    {"HTTP/2 200\r\nContent-Length: 2\r\n\r\n{}", FAKE_CLOSE,
		MU_HTTP_MALFORMED},
	    {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n{}", FAKE_CLOSE,
		MU_HTTP_MALFORMED},
	    {"SSH-2.0-x\r\n\r\n", FAKE_CLOSE, MU_HTTP_MALFORMED},
	};
	struct mu_http_response r;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		run_step(cases[i].bytes, cases[i].action, post(), &r);
		assert_int_equal(r.result, cases[i].result);
		assert_int_equal(server.requests, 1);
		mu_http_response_clear(&r);
	}
}

/* Guards against an answer with a status that HTTP doesn't have: it is no
 * answer, whatever follows. */
static void
test_status_that_http_has_not(void **state)
{
	static const char *const statuses[] = {"000", "0", "099", "20", "0200",
	    "2000", "600", "700", "999", "-200", "101", "OK", ""};
	struct mu_http_response r;
	char bytes[256];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
		(void)snprintf(bytes, sizeof(bytes),
		    "HTTP/1.1 %s Name\r\nContent-Length: 2\r\n\r\n{}",
		    statuses[i]);
		run_step(bytes, FAKE_CLOSE, post(), &r);
		if (r.result != MU_HTTP_MALFORMED)
			print_message("%s: %s\n", statuses[i],
			    mu_http_result_name(r.result));
		assert_int_equal(r.result, MU_HTTP_MALFORMED);
		assert_null(r.body);
		mu_http_response_clear(&r);
	}
}

/* Guards against a body whose end is in doubt (RFC 9112, 6 and 7). */
static void
test_framing_in_doubt(void **state)
{
	static const struct doubtful_head heads[] = {DOUBTFUL_HEADS};
	struct mu_http_response r;
	char bytes[256];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		(void)snprintf(bytes, sizeof(bytes), "HTTP/1.1 200 OK\r\n%s",
		    heads[i].fields);
		run_step(bytes, FAKE_CLOSE, post(), &r);
		if (r.result != MU_HTTP_MALFORMED &&
		    r.result != MU_HTTP_TOO_LARGE)
			fail_msg("%s: %s", heads[i].fields,
			    mu_http_result_name(r.result));
		mu_http_response_clear(&r);
	}
}

static void
test_interim_answer_and_retry_after(void **state)
{
	static const struct {
		const char *bytes;
		uint32_t ms;
	} cases[] = {
	    {"HTTP/1.1 103 Hints\r\nRetry-After: 9\r\n\r\n" HEAD
	     "Retry-After: 7\r\n\r\n{}",
		7000},
	    {HEAD "Retry-After: 3600\r\n\r\n{}", 3600000},
	    {HEAD "Retry-After: 3601\r\n\r\n{}", 0},
	    {HEAD "Retry-After: soon\r\n\r\n{}", 0},
	};
	struct mu_http_response r;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		run_step(cases[i].bytes, FAKE_HOLD, post(), &r);
		assert_int_equal(r.result, MU_HTTP_COMPLETE);
		assert_int_equal(r.status, 200);
		assert_string_equal(r.body, "{}");
		assert_int_equal(r.retry_after_ms, cases[i].ms);
		mu_http_response_clear(&r);
	}
}

static void
test_header_is_bounded(void **state)
{
	static const char line[] =
	    "X-Fill: 0123456789012345678901234567890\r\n";
	size_t n = sizeof(line) - 1, i, rounds = 4000;
	char *bytes = malloc(64 + rounds * n);
	struct mu_http_response r;
	char *p;

	(void)state;
	p = stpcpy(bytes, "HTTP/1.1 200 OK\r\n");
	for (i = 0; i < rounds; i++)
		p = stpcpy(p, line);
	run_step(bytes, FAKE_HOLD, post(), &r);
	assert_int_equal(r.result, MU_HTTP_MALFORMED);
	free(bytes);
}

/* Guards against an error text of any length; the limit of answers is for those
 * that are used. */
static void
test_failure_of_an_endpoint_is_bounded(void **state)
{
	static char bytes[80000] = "HTTP/1.1 500 No\r\n\r\n";
	struct mu_http_request q = post();
	struct mu_http_response r;
	size_t n = strlen(bytes);

	(void)state;
	memset(bytes + n, 'x', sizeof(bytes) - n - 1);
	run_step(bytes, FAKE_CLOSE, q, &r);
	assert_int_equal(r.result, MU_HTTP_COMPLETE);
	mu_http_response_clear(&r);
	q.from_endpoint = true;
	run_step(bytes, FAKE_CLOSE, q, &r);
	assert_int_equal(r.result, MU_HTTP_TOO_LARGE);
	assert_int_equal(r.status, 500);
	mu_http_response_clear(&r);
}

static void
test_request_as_written(void **state)
{
	struct mu_http_request q = post();
	struct mu_http_response r;
	char *big = malloc(BIG_BYTES);

	(void)state;
	memset(big, 'b', BIG_BYTES);
	q.method = "PUT";
	q.target = "/a/../b?c=%20d";
	q.body = big;
	q.body_len = BIG_BYTES;
	assert_int_equal(setenv("http_proxy", "http://127.0.0.1:1", 1), 0);
	run_step(HEAD "\r\n{}", FAKE_CLOSE, q, &r);
	assert_int_equal(unsetenv("http_proxy"), 0);
	assert_int_equal(r.result, MU_HTTP_COMPLETE);
	assert_ptr_equal(strstr(server.last, "PUT /a/../b?c=%20d HTTP/1.1\r\n"),
	    server.last);
	assert_null(strstr(server.last, "Expect"));
	assert_non_null(strstr(server.last, "\r\nConnection: close\r\n"));
	assert_non_null(
	    strstr(server.last, "\r\nContent-Type: text/plain\r\n"));
	assert_non_null(strstr(server.last, "\r\n\r\nbbb"));
	mu_http_response_clear(&r);
	free(big);
}

static void
test_empty_body(void **state)
{
	struct mu_http_request q = post();
	struct mu_http_response r;

	(void)state;
	q.body = NULL;
	q.body_len = 0;
	run_step(HEAD "\r\n{}", FAKE_CLOSE, q, &r);
	assert_int_equal(r.result, MU_HTTP_COMPLETE);
	assert_non_null(strstr(server.last, "\r\nContent-Length: 0\r\n"));
	mu_http_response_clear(&r);
}

/* A server that sends a byte now and then can only exceed the total limit. */
static void
test_trickling_server_meets_total(void **state)
{
	static const char *const heads[] = {
	    "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX: "};
	struct mu_http_request q = post();
	struct mu_http_response r;
	size_t i;

	(void)state;
	q.limits.total_ms = SHORT_MS;
	for (i = 0; i < 2; i++) {
		run_step(heads[i], FAKE_TRICKLE, q, &r);
		assert_int_equal(r.result, MU_HTTP_TIMEOUT);
		mu_http_response_clear(&r);
	}
}

/* Tests each limit alone, with the others set too long to expire. */
static void
test_limits(void **state)
{
	struct mu_http_request first = post(), idle = post(), no_read = post();
	struct mu_http_response r;
	size_t len = (size_t)16 << 20;

	(void)state;
	first.limits.first_byte_ms = SHORT_MS;
	run_step(NULL, FAKE_HOLD, first, &r);
	assert_int_equal(r.result, MU_HTTP_TIMEOUT);
	assert_int_equal(r.time_to_first_byte, 0);
	idle.limits.idle_ms = SHORT_MS;
	run_step(HEAD "\r\n{", FAKE_HOLD, idle, &r);
	assert_int_equal(r.result, MU_HTTP_TIMEOUT);
	assert_int_not_equal(r.time_to_first_byte, 0);
	mu_http_response_clear(&r);
	no_read.limits.idle_ms = SHORT_MS;
	no_read.body = calloc(1, len);
	no_read.body_len = len;
	run_step(NULL, FAKE_NO_READ, no_read, &r);
	assert_int_equal(r.result, MU_HTTP_TIMEOUT);
	free((void *)no_read.body);
}

static bool
cancel_later(void *arg)
{
	return ++*(int *)arg > 3;
}

static bool
refuse_data(void *arg, const char *data, size_t len)
{
	(void)data;
	*(size_t *)arg += len;
	return false;
}

static void
test_given_up(void **state)
{
	struct mu_http_request cancel = post(), refuse = post();
	struct mu_http_response r;
	size_t got = 0;
	int cancel_checks = 0;

	(void)state;
	cancel.cancelled = cancel_later;
	cancel.arg = &cancel_checks;
	run_step(HEAD "\r\n{", FAKE_HOLD, cancel, &r);
	assert_int_equal(r.result, MU_HTTP_CANCELLED);
	assert_int_equal(cancel_checks, 4);
	mu_http_response_clear(&r);
	refuse.on_data = refuse_data;
	refuse.arg = &got;
	run_step(HEAD "\r\n{", FAKE_HOLD, refuse, &r);
	assert_int_equal(r.result, MU_HTTP_ABORTED);
	assert_int_equal(got, 1);
	assert_null(r.body);
}

static void
test_nothing_sent(void **state)
{
	struct mu_http_request q = post();
	int fds[4], cancel_checks = 0, fd, i;
	struct mu_http_response r;
	char addr[64];

	(void)state;
	q.addr = "localhost:80";
	mu_http_run(&q, &r);
	assert_int_equal(r.result, MU_HTTP_SYSTEM);
	assert_false(r.may_have_sent);
	fake_unused_addr(addr);
	q.addr = addr;
	mu_http_run(&q, &r);
	assert_int_equal(r.result, MU_HTTP_CONNECT_FAILED);
	assert_false(r.may_have_sent);
	fd = fake_listen(addr, 0);
	fake_fill_backlog(addr, fds);
	q.limits.connect_ms = SHORT_MS;
	mu_http_run(&q, &r);
	assert_int_equal(r.result, MU_HTTP_CONNECT_FAILED);
	assert_false(r.may_have_sent);
	q.limits.connect_ms = LONG_MS;
	q.cancelled = cancel_later;
	q.arg = &cancel_checks;
	mu_http_run(&q, &r);
	assert_int_equal(r.result, MU_HTTP_CANCELLED);
	assert_false(r.may_have_sent);
	for (i = 0; i < 4; i++)
		close(fds[i]);
	close(fd);
}

#define CUT_FORMS 5

/* Guards against part of an answer taken as whole: the server closes or resets
 * its connection after each byte. */
static void
test_part_of_an_answer_is_not_whole(void **state)
{
	static const struct {
		const char *text;
		bool ends_with_connection;
		size_t spare; /* last bytes that tell nothing */
	} forms[CUT_FORMS] = {
	    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false, 0},
	    {"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n{}", false, 0},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "2\r\n{}\r\n0\r\n\r\n",
		false, 1},
	    {"HTTP/1.1 200 OK\r\nX: y\r\n\r\n{}", true, 0},
	    {"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\nContent-Length: "
	     "0\n\n",
		false, 0},
	};
	struct fake_step step[2];
	struct mu_http_request q = post();
	struct mu_http_response r;
	size_t i, n, len, cuts = 0, whole_from;
	char *text;
	int k;

	(void)state;
	for (i = 0; i < CUT_FORMS; i++) {
		len = strlen(forms[i].text);
		whole_from = forms[i].ends_with_connection
				 ? len - strlen("{}")
				 : len - forms[i].spare;
		for (n = 0; n <= len; n++) {
			text = strndup(forms[i].text, n);
			step[0].bytes = step[1].bytes = text;
			step[0].action = FAKE_CLOSE;
			step[1].action = FAKE_RESET;
			fake_start(&server, step, 2);
			q.addr = server.addr;
			for (k = 0; k < 2; k++, cuts++) {
				mu_http_run(&q, &r);
				if (k == 0 && n >= whole_from)
					assert_int_equal(
					    r.result, MU_HTTP_COMPLETE);
				else if (n < whole_from)
					assert_int_equal(
					    r.result, MU_HTTP_CONN_LOST);
				mu_http_response_clear(&r);
			}
			fake_stop(&server);
			free(text);
		}
	}
	print_message("%zu cuts\n", cuts);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_connection_closed_at_once),
	    cmocka_unit_test(test_never_sent_again),
	    cmocka_unit_test(test_answer_not_whole),
	    cmocka_unit_test(test_part_of_an_answer_is_not_whole),
	    cmocka_unit_test(test_status_that_http_has_not),
	    cmocka_unit_test(test_framing_in_doubt),
	    cmocka_unit_test(test_interim_answer_and_retry_after),
	    cmocka_unit_test(test_header_is_bounded),
	    cmocka_unit_test(test_failure_of_an_endpoint_is_bounded),
	    cmocka_unit_test(test_request_as_written),
	    cmocka_unit_test(test_empty_body),
	    cmocka_unit_test(test_trickling_server_meets_total),
	    cmocka_unit_test(test_limits),
	    cmocka_unit_test(test_given_up),
	    cmocka_unit_test(test_nothing_sent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
