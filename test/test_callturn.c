/*
 * test_callturn.c -- turns that continue a conversation: what an endpoint gets
 * of it, and what is kept for the next turn.
 */
#include "callkit.h"

#define STREAM(n) CHUNKED PIECE(n) LAST_CHUNK
#define AFTER(previous) "Previous-Turn: " previous "\r\n"
#define UNFRAMED HEAD("200 OK") "\r\n"
#define RECORD_BYTES ((size_t)1 << 20)

/* Sends a turn of the route with history, which must be answered whole. */
static void
run_turn(struct fixture *f, const char *request)
{
	expect(f, request, 2000, "\r\n0\r\n\r\n");
}

/* Whether the endpoint's last request has this body. */
static void
expect_body(const struct kit_endpoint *e, const char *want)
{
	const char *body = strstr(e->last, "\r\n\r\n");

	assert_non_null(body);
	assert_string_equal(body + 4, want);
}

/* Evicts all other turns from the cache by records of other conversations. */
static void
fill_history(struct mu_serve *s, const char *evicted)
{
	Mu__TurnRecord *r;
	char turn[32];
	int i;

	for (i = 0; mu_history_find(s->history, evicted) != NULL; i++) {
		r = malloc(sizeof(*r));
		mu__turn_record__init(r);
		(void)snprintf(turn, sizeof(turn), "other%d", i);
		r->turn = strdup(turn);
		r->input.data = calloc(1, RECORD_BYTES);
		r->input.len = RECORD_BYTES;
		mu_history_cache_put(s->history, r, 60 * MU_US_PER_S);
	}
}

/* Guards against a turn that is stored as the first of a conversation when the
 * turn before it leaves the cache while it runs. */
static void
test_previous_turn_is_evicted_during_a_turn(void **state)
{
	static const struct kit_step s[] = {
	    {STREAM("1"), false, false},
	    {CHUNKED PIECE("1"), false, false}, /* its end follows */
	    {STREAM("1"), false, false},
	};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 3);
	struct kit_caller *c;

	wait_until_lending(f);
	run_turn(f, TURN("/chat/1", "t1", ""));
	c = kit_caller_open(
	    f->loop, f->addr, TURN("/chat/1", "t2", AFTER("t1")));
	assert_true(kit_until(
	    f->loop, 1000, strstr(kit_caller_received(c), "piece 1") != NULL));
	fill_history(&f->serve, "t1");
	kit_send(e->conn[0].watch.fd, LAST_CHUNK, "t2");
	assert_true(kit_until(f->loop, 1000,
	    strstr(kit_caller_received(c), "\r\n0\r\n\r\n") != NULL));
	kit_caller_free(c);
	run_turn(f, TURN("/chat/1", "t3", AFTER("t2")));
	expect_body(e, "t1piece 1\nt2piece 1\nt3");
}

#define RESUMED(id, last) TURN("/both/1", id, "Last-Event-Id: " last "\r\n")

/* Sends a turn that its caller resumes after an event: it gets the rest, and
 * the turn that follows continues from all of it. */
static void
check_resumed_turn(struct fixture *f, const char *request)
{
	struct kit_caller *c;
	const char *got;

	wait_until_lending(f);
	c = call(f, request, 2000);
	got = kit_caller_received(c);
	assert_non_null(strstr(got, "\r\n0\r\n\r\n"));
	assert_null(strstr(got, "piece 1"));
	assert_null(strstr(got, "piece 2"));
	assert_non_null(strstr(got, "piece 3"));
	kit_caller_free(c);
	run_turn(f, TURN("/both/1", "t2", AFTER("t1")));
	expect_body(f->end[0], "t1piece 1\npiece 2\npiece 3\nt2");
}

/* Guards against a turn that is stored without the events that its caller had
 * from a daemon that was killed. */
static void
test_turn_resumed_by_its_caller_is_stored_whole(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") PIECE("2") PIECE("3") LAST_CHUNK, false, false},
	};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);

	check_resumed_turn(f, RESUMED("t1", "2"));
	assert_null(strcasestr(e->last, "Last-Event-Id"));
}

/* Guards against an event that is lost or comes twice if the endpoint breaks
 * off before the event that the caller resumes after. */
static void
test_endpoint_breaks_off_a_turn_resumed_by_its_caller(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1"), false, true},
	    {CHUNKED PIECE("2") PIECE("3") LAST_CHUNK, false, false},
	};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 2);

	check_resumed_turn(f, RESUMED("t1", "2"));
	assert_int_equal(e->requests, 3);
}

/* Ids are compared as numbers, of any length. */
static void
test_caller_resumes_after_an_id_with_another_form(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") PIECE("2") PIECE("3") LAST_CHUNK, false, false},
	};
	struct fixture *f = *state;

	(void)add_endpoint(f, "llm", s, 1);
	check_resumed_turn(f, RESUMED("t1", "002"));
}

#define NAMED(id) "id: " id "\ndata: event " id "\n\n"
#define NAMED_STREAM UNFRAMED NAMED("a") NAMED("b") NAMED("c")

/* Ids that are no numbers have no order; only the same one is recognised. */
static void
test_caller_resumes_after_an_id_that_is_no_number(void **state)
{
	static const struct kit_step s[] = {{NAMED_STREAM, true, false}};
	struct fixture *f = *state;
	struct kit_caller *c;

	(void)add_endpoint(f, "llm", s, 1);
	wait_until_lending(f);
	c = call(f, RESUMED("t1", "b"), 2000);
	assert_null(strstr(kit_caller_received(c), "event b"));
	assert_non_null(strstr(kit_caller_received(c), "event c"));
	assert_non_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	kit_caller_free(c);
}

/* The caller has the last event, but not the end. */
static void
test_caller_resumes_after_the_last_event(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") PIECE("2") LAST_CHUNK, false, false},
	};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);

	wait_until_lending(f);
	run_turn(f, RESUMED("t1", "2"));
	run_turn(f, TURN("/both/1", "t2", AFTER("t1")));
	expect_body(e, "t1piece 1\npiece 2\nt2");
}

/* Guards against a stream that looks whole although the event that its caller
 * resumes after never came. */
static void
check_unknown_event(struct fixture *f, const char *request)
{
	static const struct kit_step s[] = {{NAMED_STREAM, true, false},
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct kit_caller *c;

	(void)add_endpoint(f, "llm", s, 2);
	wait_until_lending(f);
	c = call(f, request, 2000);
	assert_true(c->closed);
	assert_null(strstr(kit_caller_received(c), "data:"));
	assert_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	kit_caller_free(c);
	expect(f, TURN("/both/1", "t2", AFTER("t1")), 2000, "HTTP/1.1 404");
}

static void
test_caller_resumes_after_an_event_that_never_comes(void **state)
{
	check_unknown_event(*state, RESUMED("t1", "d"));
}

static void
test_caller_resumes_after_a_number_that_never_comes(void **state)
{
	check_unknown_event(*state, RESUMED("t1", "7"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_previous_turn_is_evicted_during_a_turn),
	    T(test_turn_resumed_by_its_caller_is_stored_whole),
	    T(test_endpoint_breaks_off_a_turn_resumed_by_its_caller),
	    T(test_caller_resumes_after_an_id_with_another_form),
	    T(test_caller_resumes_after_an_id_that_is_no_number),
	    T(test_caller_resumes_after_the_last_event),
	    T(test_caller_resumes_after_an_event_that_never_comes),
	    T(test_caller_resumes_after_a_number_that_never_comes),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
