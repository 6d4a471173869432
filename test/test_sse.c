/* test_sse.c -- text/event-stream parser. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "sse.h"

struct received {
	char text[256]; /* events, each followed by '|' */
	size_t used;
	int stop_at; /* fail at this event, counted from 1; 0: never */
	int events;
};

static int
on_event(void *arg, const char *data, size_t len)
{
	struct received *s = arg;

	assert_int_equal(strlen(data), len);
	s->used += (size_t)snprintf(
	    s->text + s->used, sizeof(s->text) - s->used, "%s|", data);
	s->events++;
	return s->events == s->stop_at ? -1 : 0;
}

static const char stream[] = ": note\ndata: one\n\ndata:two\r\ndata\r\n"
			     "event: x\r\ndata: 2\r\n\r\nid: 4\n\n"
			     "data: three\r\rdatax: no\n\ndata: cut";

static void
test_pieces_of_any_size(void **state)
{
	size_t step, i, n;
	struct mu_sse s;

	(void)state;
	for (step = 1; step < sizeof(stream); step++) {
		struct received received = {0};

		mu_sse_init(&s, 64);
		for (i = 0; i < sizeof(stream) - 1; i += n) {
			n = sizeof(stream) - 1 - i;
			if (n > step)
				n = step;
			assert_int_equal(
			    mu_sse_feed(&s, stream + i, n, on_event, &received),
			    0);
		}
		assert_string_equal(received.text, "one|two\n\n2|three|");
		mu_sse_clear(&s);
	}
}

static void
test_bounds(void **state)
{
	struct received received = {0};
	struct mu_sse s;

	(void)state;
	mu_sse_init(&s, 16);
	assert_int_equal(
	    mu_sse_feed(&s, "data: 0123456789a", 17, on_event, &received),
	    MU_E_TOO_LARGE);
	mu_sse_clear(&s);
	assert_int_equal(
	    mu_sse_feed(&s, "data: 01234567\n", 15, on_event, &received), 0);
	assert_int_equal(
	    mu_sse_feed(&s, "data: 01234567\n", 15, on_event, &received),
	    MU_E_TOO_LARGE);
	mu_sse_clear(&s);
	assert_int_equal(received.events, 0);
}

static void
test_reader_stops(void **state)
{
	struct received received = {.stop_at = 1};
	struct mu_sse s;

	(void)state;
	mu_sse_init(&s, 64);
	assert_int_equal(
	    mu_sse_feed(&s, "data: a\n\ndata: b\n\n", 18, on_event, &received),
	    -1);
	assert_int_equal(received.events, 1);
	mu_sse_clear(&s);
}

/* Guards against a stream cut within an event that looked complete. */
static void
test_boundary(void **state)
{
	static const struct {
		const char *text;
		bool at_boundary;
	} ends[] = {{"", true}, {"data: a\n\n", true},
	    {"data: a\r\n\r\n", true}, {"data: a\r\r", true},
	    {"data: a\n\n: still here\n", true}, {"data: a\n\n\n", true},
	    {"data: a\n\ni", false}, {"data: a\n\nid: 2\n", false},
	    {"data: a\n", false}, {"data: a\n\n: still", false},
	    {"data: a\n\nweight-versions: 2\n", false}};
	struct received received = {0};
	struct mu_sse s;
	size_t i;

	(void)state;
	mu_sse_init(&s, 64);
	for (i = 0; i < sizeof(ends) / sizeof(*ends); i++) {
		assert_int_equal(mu_sse_feed(&s, ends[i].text,
				     strlen(ends[i].text), on_event, &received),
		    0);
		assert_int_equal(mu_sse_at_boundary(&s), ends[i].at_boundary);
		mu_sse_clear(&s);
	}
}

/* Guards against numbers that are compared as text or overflow. */
static void
test_order_of_ids(void **state)
{
	static const struct {
		const char *id, *with;
		enum mu_sse_order order;
	} cases[] = {{"9", "10", MU_SSE_BEFORE}, {"10", "9", MU_SSE_AFTER},
	    {"7", "7", MU_SSE_SAME}, {"007", "7", MU_SSE_SAME},
	    {"0", "00", MU_SSE_SAME}, {"0", "1", MU_SSE_BEFORE},
	    {"99999999999999999999999", "100000000000000000000000",
		MU_SSE_BEFORE},
	    {"12", "21", MU_SSE_BEFORE}, {"a", "a", MU_SSE_SAME},
	    {"b", "a", MU_SSE_BEFORE}, {"7", "a", MU_SSE_BEFORE},
	    {"8", "7x", MU_SSE_BEFORE}, {"", "7", MU_SSE_BEFORE},
	    {"-1", "-2", MU_SSE_BEFORE}};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		assert_int_equal(mu_sse_compare_ids(cases[i].id, cases[i].with),
		    cases[i].order);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_pieces_of_any_size),
	    cmocka_unit_test(test_bounds),
	    cmocka_unit_test(test_reader_stops),
	    cmocka_unit_test(test_boundary),
	    cmocka_unit_test(test_order_of_ids),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
