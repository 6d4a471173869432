/*
 * test_callturn.c -- turns that continue a conversation: what an endpoint gets
 * of it, and what is kept for the next turn.
 */
#include "callkit.h"

#define STREAM(n) CHUNKED PIECE(n) LAST_CHUNK
#define AFTER(previous) "Previous-Turn: " previous "\r\n"
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

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_previous_turn_is_evicted_during_a_turn),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
