/* test_endpoint.c -- complete answers, and how far a failed attempt got. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "endpoint.h"
#include "fakehttp.h"

#define HEAD(status) "HTTP/1.1 " status "\r\nConnection: close\r\n\r\n"
#define SSE HEAD("200 OK")
#define PIECE(id, i, t) \
	"data: {\"request_id\":\"" id "\",\"index\":" #i ",\"text\":\"" t \
	"\"}\n\n"
#define DONE(id, n) \
	"data: {\"request_id\":\"" id "\",\"done\":true,\"pieces\":" #n \
	",\"usage\":{\"prompt_tokens\":5,\"cached_tokens\":3," \
	"\"output_tokens\":2}}\n\n"
#define LONG_MS 20000
#define SHORT_MS 50

struct reader {
	char text[256];
	int pieces_left; /* still accepted */
	int cancel_checks; /* calls of cancelled() */
};

static bool
on_text(void *arg, const char *text, size_t len)
{
	struct reader *w = arg;

	strncat(w->text, text, len);
	return w->pieces_left-- > 0;
}

static bool
cancel_later(void *arg)
{
	return ((struct reader *)arg)->cancel_checks++ > 3;
}

static void
run_at(const char *addr, enum mu_ep_kind kind, uint32_t ms, struct reader *w,
    bool cancel, struct mu_ep_result *r)
{
	json_t *in = json_pack("{s:[], s:i, s:s, s:i}", "messages",
	    "max_tokens", 9, "operation", "order", "kit", 4);
	struct mu_ep_call c = {
	    .kind = kind,
	    .addr = addr,
	    .request_id = "r1",
	    .program = "p",
	    .seq = 2,
	    .epoch = 3,
	    .priority = -1,
	    .input = in,
	    .limits = {ms, ms, ms, ms},
	    .on_text = on_text,
	    .arg = w,
	    .cancelled = cancel ? cancel_later : NULL,
	};

	mu_ep_run(&c, r);
	json_decref(in);
}

/* Runs one call against a scripted step; checks the number of requests. */
static void
run_step(struct fake_step step, enum mu_ep_kind kind, struct reader *w,
    struct mu_ep_result *r, int requests)
{
	uint32_t ms = step.action == FAKE_HOLD ? SHORT_MS * 4 : LONG_MS;
	struct fake f;

	*w = (struct reader){.pieces_left = 100};
	fake_start(&f, &step, 1);
	run_at(f.addr, kind, ms, w, false, r);
	fake_stop(&f);
	assert_int_equal(f.requests, requests);
}

static void
test_stream_whole(void **state)
{
	/* Stays open after `done`, which must not invalidate the answer. */
	static const struct fake_step step = {
	    SSE PIECE("r1", 0, "a") PIECE("r1", 1, "b") PIECE("r1", 0, "a")
		PIECE("r1", 1, "b") PIECE("r1", 2, "c") DONE("r1", 3),
	    FAKE_HOLD};
	struct mu_ep_result r;
	struct reader w;

	(void)state;
	run_step(step, MU_EP_MODEL, &w, &r, 1);
	assert_true(r.ok);
	assert_string_equal(json_string_value(r.output), "abc");
	assert_string_equal(w.text, "abc");
	assert_int_equal(r.usage.cached_tokens, 3);
	json_decref(r.output);
}

static void
test_stream_not_whole(void **state)
{
	static const struct {
		const char *bytes;
		enum mu_errtype type;
		int requests; /* 2: a cancel was sent as well */
	} cases[] = {
	    {SSE PIECE("r1", 0, "a"), MU_E_TRUNCATED, 1},
	    {SSE PIECE("r1", 0, "a") "data: {\"request_id\":\"r1\",\"done\"",
		MU_E_TRUNCATED, 1},
	    {SSE PIECE("r1", 0, "a") DONE("r1", 2), MU_E_TRUNCATED, 2},
	    {SSE PIECE("r1", 0, "a") DONE("r1", 0), MU_E_MISMATCH, 2},
	    {SSE PIECE("r1", 1, "b") DONE("r1", 1), MU_E_TRUNCATED, 2},
	    {SSE PIECE("r2", 0, "a") DONE("r2", 1), MU_E_MISMATCH, 2},
	    {SSE PIECE("r1", 0, "a") DONE("r2", 1), MU_E_MISMATCH, 2},
	    {SSE PIECE("r1", 0, "a") PIECE("r1", 0, "b") DONE("r1", 1),
		MU_E_MISMATCH, 2},
	    {SSE "data: [1\n\n", MU_E_MISMATCH, 2},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		MU_E_MISMATCH, 2},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ndata: ",
		MU_E_TRUNCATED, 1},
	    {NULL, MU_E_ENDPOINT_LOST, 1},
	};
	struct mu_ep_result r;
	struct reader w;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		run_step((struct fake_step){cases[i].bytes, FAKE_CLOSE},
		    MU_EP_MODEL, &w, &r, cases[i].requests);
		assert_false(r.ok);
		assert_int_equal(r.sent, MU_ATTEMPT_MAY_HAVE_RUN);
		assert_int_equal(r.error.outcome, MU_OUTCOME_UNKNOWN);
		assert_int_equal(r.error.type, cases[i].type);
		assert_null(r.output);
	}
}

static void
test_refusals(void **state)
{
	static const struct {
		const char *bytes;
		enum mu_ep_kind kind;
		enum mu_attempt_progress sent;
		enum mu_errtype type;
	} cases[] = {
	    {HEAD("429 Busy") "{\"error\":\"busy\"}", MU_EP_MODEL,
		MU_ATTEMPT_REFUSED, MU_E_ENDPOINT_REFUSED},
	    {HEAD("503 Full") "{\"error\":\"full\"}", MU_EP_PLAIN,
		MU_ATTEMPT_REFUSED, MU_E_ENDPOINT_REFUSED},
	    {HEAD("412 Stale") "{\"error\":\"stale_epoch\"}", MU_EP_PLAIN,
		MU_ATTEMPT_REFUSED, MU_E_STALE_EPOCH},
	    {HEAD("400 Bad") "{\"error\":\"bad\"}", MU_EP_PLAIN,
		MU_ATTEMPT_REFUSED, MU_E_BAD_REQUEST},
	    {HEAD("400 Bad") "{\"error\":\"bad\"}", MU_EP_MODEL,
		MU_ATTEMPT_MAY_HAVE_RUN, MU_E_BAD_REQUEST},
	    {HEAD("503 Full") "<html>", MU_EP_PLAIN, MU_ATTEMPT_MAY_HAVE_RUN,
		MU_E_ENDPOINT_REFUSED},
	    {"HTTP/1.1 503 Full\r\nContent-Length: 50\r\n\r\n{\"error\":1}",
		MU_EP_PLAIN, MU_ATTEMPT_MAY_HAVE_RUN, MU_E_ENDPOINT_LOST},
	    {HEAD("500 Oops") "{\"error\":\"x\"}", MU_EP_PLAIN,
		MU_ATTEMPT_MAY_HAVE_RUN, MU_E_ENDPOINT_LOST},
	};
	struct mu_ep_result r;
	struct reader w;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		run_step((struct fake_step){cases[i].bytes, FAKE_CLOSE},
		    cases[i].kind, &w, &r, 1);
		assert_false(r.ok);
		assert_int_equal(r.sent, cases[i].sent);
		assert_int_equal(r.error.type, cases[i].type);
		assert_int_equal(r.error.outcome,
		    cases[i].sent == MU_ATTEMPT_REFUSED ? MU_OUTCOME_NOT_RUN
							: MU_OUTCOME_UNKNOWN);
	}
}

/* Guards against resending a POST, as neon does on kept-alive sessions. */
static void
test_post_is_received_once(void **state)
{
	static const struct fake_step step = {NULL, FAKE_CLOSE};
	struct mu_ep_result r;
	struct reader w;

	(void)state;
	run_step(step, MU_EP_PLAIN, &w, &r, 1);
	assert_int_equal(r.sent, MU_ATTEMPT_MAY_HAVE_RUN);
	assert_int_equal(r.error.type, MU_E_ENDPOINT_LOST);
}

static void
test_connect_refused_sent_nothing(void **state)
{
	struct mu_ep_result r;
	struct reader w = {.pieces_left = 100};
	char addr[64];

	(void)state;
	fake_unused_addr(addr);
	run_at(addr, MU_EP_PLAIN, LONG_MS, &w, false, &r);
	assert_int_equal(r.sent, MU_ATTEMPT_NOT_SENT);
	assert_int_equal(r.error.type, MU_E_CONNECT);
	assert_int_equal(r.error.outcome, MU_OUTCOME_NOT_RUN);
}

static void
test_connect_timeout_sent_nothing(void **state)
{
	struct mu_ep_result r;
	struct reader w = {.pieces_left = 100};
	int fds[4], i, fd;
	char addr[64];

	(void)state;
	fd = fake_listen(addr, 0);
	fake_fill_backlog(addr, fds);
	run_at(addr, MU_EP_PLAIN, SHORT_MS, &w, false, &r);
	assert_int_equal(r.sent, MU_ATTEMPT_NOT_SENT);
	assert_int_equal(r.error.type, MU_E_CONNECT);
	for (i = 0; i < 4; i++)
		close(fds[i]);
	close(fd);
}

static void
test_frozen_endpoint_times_out(void **state)
{
	static const struct fake_step step = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", FAKE_HOLD};
	struct mu_ep_result r;
	struct reader w;

	(void)state;
	run_step(step, MU_EP_PLAIN, &w, &r, 1);
	assert_int_equal(r.sent, MU_ATTEMPT_MAY_HAVE_RUN);
	assert_int_equal(r.error.type, MU_E_ENDPOINT_TIMEOUT);
}

static void
test_giving_up_cancels_at_engine(void **state)
{
	static const struct fake_step steps[] = {
	    {SSE PIECE("r1", 0, "a"), FAKE_HOLD},
	    {HEAD("200 OK") "{}", FAKE_CLOSE}};
	struct reader w = {.pieces_left = 100};
	struct mu_ep_result r;
	struct fake f;

	(void)state;
	fake_start(&f, steps, 2);
	run_at(f.addr, MU_EP_MODEL, LONG_MS, &w, true, &r);
	fake_stop(&f);
	assert_false(r.ok);
	assert_int_equal(r.error.type, MU_E_CANCELLED);
	assert_int_equal(r.sent, MU_ATTEMPT_MAY_HAVE_RUN);
	assert_int_equal(f.requests, 2);
	assert_non_null(strstr(f.last, "POST /v1/cancel "));
	assert_non_null(strstr(f.last, "{\"request_id\":\"r1\"}"));
}

/* If the reader rejects a piece, the call ends immediately. */
static void
test_refused_piece_cancels_at_engine(void **state)
{
	static const struct fake_step steps[] = {
	    {SSE PIECE("r1", 0, "a") PIECE("r1", 1, "b") PIECE("r1", 2, "c"),
		FAKE_HOLD},
	    {HEAD("200 OK") "{}", FAKE_CLOSE}};
	struct reader w = {.pieces_left = 1};
	struct mu_ep_result r;
	struct fake f;

	(void)state;
	fake_start(&f, steps, 2);
	run_at(f.addr, MU_EP_MODEL, LONG_MS, &w, false, &r);
	fake_stop(&f);
	assert_string_equal(w.text, "ab");
	assert_int_equal(r.error.type, MU_E_CANCELLED);
	assert_int_equal(r.sent, MU_ATTEMPT_MAY_HAVE_RUN);
	assert_int_equal(f.requests, 2);
	assert_non_null(strstr(f.last, "POST /v1/cancel "));
}

static void
test_plain_answers(void **state)
{
	static const struct {
		const char *bytes;
		bool ok;
		enum mu_errtype type;
	} cases[] = {
	    {HEAD("200 OK") "{\"request_id\":\"r1\",\"output\":{\"n\":1}}",
		true, MU_E_OK},
	    {HEAD("200 OK") "{\"request_id\":\"r2\",\"output\":{\"n\":1}}",
		false, MU_E_MISMATCH},
	    {HEAD("200 OK") "{\"request_id\":\"r1\"}", false, MU_E_MISMATCH},
	    {HEAD("200 OK") "{\"request_id\":\"r1\",", false, MU_E_TRUNCATED},
	};
	struct fake_step step = {NULL, FAKE_CLOSE};
	struct mu_ep_result r;
	struct reader w = {.pieces_left = 100};
	struct fake f;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		step.bytes = cases[i].bytes;
		fake_start(&f, &step, 1);
		run_at(f.addr, MU_EP_PLAIN, LONG_MS, &w, false, &r);
		fake_stop(&f);
		assert_int_equal(r.ok, cases[i].ok);
		assert_int_equal(r.error.type, cases[i].type);
		assert_non_null(strstr(f.last,
		    "{\"request_id\":\"r1\",\"program\":\"p\",\"seq\":2,"
		    "\"epoch\":3,\"operation\":\"order\",\"input\":{"));
		json_decref(r.output);
	}
}

static void
test_reports(void **state)
{
	static const struct fake_step steps[] = {
	    {HEAD("200 OK") "{\"running\":1,\"queued\":2,\"max_batch\":3,"
			    "\"cache_used\":4,\"cache_max\":5,\"age_ms\":6}",
		FAKE_CLOSE},
	    {HEAD("200 OK") "{\"running\":-1}", FAKE_CLOSE},
	    {HEAD("200 OK") "{\"events\":[{\"n\":7,\"kind\":\"stored\","
			    "\"program\":\"p\",\"tokens\":8},{\"n\":8}],"
			    "\"next\":9}",
		FAKE_CLOSE},
	    {HEAD("200 OK") "{\"held\":[{\"program\":\"p\",\"tokens\":8}]}",
		FAKE_CLOSE}};
	struct mu_ep_cache_event *ev;
	struct mu_ep_cache_entry *held;
	struct mu_ep_load l;
	struct mu_error e;
	struct fake f;
	uint64_t next;
	size_t n;

	(void)state;
	fake_start(&f, steps, 4);
	assert_int_equal(mu_ep_get_load(f.addr, LONG_MS, &l, &e), 0);
	assert_int_equal(l.cache_max, 5);
	assert_int_equal(
	    mu_ep_get_load(f.addr, LONG_MS, &l, &e), MU_E_MISMATCH);
	assert_int_equal(
	    mu_ep_get_cache_events(f.addr, LONG_MS, 6, &ev, &n, &next, &e), 0);
	assert_int_equal(n, 1);
	assert_int_equal(ev[0].n, 7);
	assert_int_equal(next, 9);
	assert_int_equal(
	    mu_ep_get_cache_entries(f.addr, LONG_MS, &held, &n, &e), 0);
	assert_int_equal(n, 1);
	assert_string_equal(held[0].program, "p");
	free(ev);
	free(held);
	fake_stop(&f);
}

static void
test_orders(void **state)
{
	static const struct fake_step steps[] = {
	    {HEAD("200 OK") "{}", FAKE_CLOSE},
	    {HEAD("412 Stale") "{\"error\":\"stale_epoch\"}", FAKE_CLOSE},
	    {HEAD("404 None") "{\"error\":\"none\"}", FAKE_CLOSE},
	    {NULL, FAKE_CLOSE}};
	struct mu_error e;
	struct fake f;

	(void)state;
	fake_start(&f, steps, 4);
	assert_int_equal(mu_ep_release_cache(f.addr, LONG_MS, "p", 3, &e), 0);
	assert_int_equal(mu_ep_export_cache(f.addr, LONG_MS, "p", 3, "o", &e),
	    MU_E_STALE_EPOCH);
	assert_int_equal(e.outcome, MU_OUTCOME_NOT_RUN);
	assert_int_equal(mu_ep_import_cache(f.addr, LONG_MS, "p", 3, "o", &e),
	    MU_E_NOT_FOUND);
	assert_int_equal(mu_ep_release_cache(f.addr, LONG_MS, "p", 3, &e),
	    MU_E_ENDPOINT_LOST);
	assert_int_equal(e.outcome, MU_OUTCOME_UNKNOWN);
	fake_stop(&f);
	assert_non_null(strstr(f.last, "{\"program\":\"p\",\"epoch\":3}"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_stream_whole),
	    cmocka_unit_test(test_stream_not_whole),
	    cmocka_unit_test(test_refusals),
	    cmocka_unit_test(test_post_is_received_once),
	    cmocka_unit_test(test_connect_refused_sent_nothing),
	    cmocka_unit_test(test_connect_timeout_sent_nothing),
	    cmocka_unit_test(test_frozen_endpoint_times_out),
	    cmocka_unit_test(test_giving_up_cancels_at_engine),
	    cmocka_unit_test(test_refused_piece_cancels_at_engine),
	    cmocka_unit_test(test_plain_answers),
	    cmocka_unit_test(test_reports),
	    cmocka_unit_test(test_orders),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
