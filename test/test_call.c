/* test_call.c -- requests of callers through the adapter and the whole serving
 * path: real sockets, scripted endpoints, an in-memory store with faults. */
#include "callkit.h"
#include "log.h"

/* A turn of a program whose budget is two turns of 68 tokens. */
#define SMALL_TURN(id) \
	"POST /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " id \
	"\r\nProgram-Id: p2\r\nToken-Budget: 136\r\nToken-Usage: 10,68\r\n" \
	"Content-Length: 2\r\n\r\n" id

static void
test_plain_call_passes_through(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);

	wait_until_ready(f);
	expect(f, GET("/look/a?q=%20x", "r1"), 2000, "done");
	assert_non_null(strstr(e->last, "GET /look/a?q=%20x HTTP/1.1\r\n"));
	assert_non_null(strstr(e->last, "Expect-Instance: i-0\r\n"));
	assert_non_null(strstr(e->last, "Deadline-Ms: 1"));
	assert_null(strstr(e->last, "Hold:"));
}

static void
test_own_answers(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;

	expect(f, GET("/look/a", "r0"), 2000, "HTTP/1.1 503");
	(void)add_endpoint(f, "app", s, 1);
	wait_until_ready(f);
	expect(f, GET("/none/a", "r1"), 2000, "HTTP/1.1 404");
	expect(
	    f, "GET /look/a HTTP/1.1\r\nHost: h\r\n\r\n", 2000, "HTTP/1.1 400");
	expect(f,
	    "GET /look/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
	    "Deadline-Ms: soon\r\n\r\n",
	    2000, "HTTP/1.1 400");
	expect(f, TURN("/check/1", "c1", ""), 2000, "no_endpoint");
}

/* The whole fleet has just started while callers keep sending: a request that
 * arrives before the configuration is known waits for it, but not for a store
 * that is unavailable. */
static void
test_early_request_waits_for_the_configuration(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	mu_us started = mu_now(&f->clock);

	(void)add_endpoint(f, "app", s, 1);
	expect(f, GET("/look/a", "r1"), 2000, "done");
	assert_true(mu_now(&f->clock) - started < 250 * MU_US_PER_MS);
}

static void
test_early_request_is_refused_during_a_store_outage(void **state)
{
	struct fixture *f = *state;
	mu_us started = mu_now(&f->clock);

	f->mem->fault = MEM_BUSY;
	expect(f, GET("/look/a", "r1"), 2000, "HTTP/1.1 503");
	assert_true(mu_now(&f->clock) - started < 700 * MU_US_PER_MS);
}

/* The service's pace gets one sample per plain answer and one per event of a
 * stream after the first. */
static void
test_pieces_are_timed(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	static const struct kit_step t[] = {
	    {CHUNKED PIECE("1") PIECE("2") PIECE("3") LAST_CHUNK, false,
		false}};
	struct fixture *f = *state;
	struct mu_targets *all = &f->serve.targets;

	(void)add_endpoint(f, "app", s, 1);
	(void)add_endpoint(f, "llm", t, 1);
	wait_until_ready(f);
	expect(f, GET("/look/a", "r1"), 2000, "done");
	expect(f, TURN("/check/1", "t1", ""), 2000, "\r\n0\r\n\r\n");
	assert_int_equal(mu_targets_group(all, "app")->pace.samples, 1);
	assert_int_equal(mu_targets_group(all, "llm")->pace.samples, 2);
}

/* A request refused by one endpoint goes to another one, even if it is not
 * idempotent. */
static void
test_not_run_goes_elsewhere(void **state)
{
	static const struct kit_step full[] = {{REFUSAL, false, false}};
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;

	(void)add_endpoint(f, "app", full, 1);
	(void)add_endpoint(f, "app", s, 1);
	wait_until_ready(f);
	expect(f, ORDER("o1"), 2000, "done");
	expect(f, ORDER("o2"), 2000, "done");
}

#define REFUSAL_OF(id) \
	"HTTP/1.1 503 Busy\r\nRequest-Id: " id "\r\nNot-Executed: 1\r\n" \
	"Content-Length: 0\r\n\r\n"
#define REFUSAL_OF_NONE \
	"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

/* An endpoint writes an earlier refusal once more on a kept connection, before
 * the answer to the order that it runs: the caller gets that answer. */
static void
test_refusal_written_once_more(void **state)
{
	static const struct kit_step s[] = {
	    {REFUSAL, false, false}, {REFUSAL_OF("o1") PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 2);

	wait_until_ready(f);
	expect(f, ORDER("o1"), 2000, "HTTP/1.1 503");
	kit_run_ms(f->loop, 80); /* backed off */
	expect(f, ORDER("o2"), 2000, "done");
	assert_int_equal(e->requests, 2);
	assert_int_equal(e->accepted, 1);
}

/* As above; the refusals name no request.  The second one must not reach an
 * order that the endpoint runs. */
static void
test_refusal_without_id_written_once_more(void **state)
{
	static const struct kit_step s[] = {
	    {REFUSAL_OF_NONE, false, false}, {NULL, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 2);
	struct kit_caller *c;

	wait_until_ready(f);
	expect(f, ORDER("o1"), 2000, "HTTP/1.1 503");
	kit_run_ms(f->loop, 80); /* backed off */
	c = kit_caller_open(f->loop, f->addr, ORDER("o2"));
	assert_true(kit_until(f->loop, 500, e->requests == 2));
	if (e->accepted == 1) /* on the connection of the first refusal */
		kit_send(e->conn[0].watch.fd, REFUSAL_OF_NONE, "");
	kit_send(e->conn[0].watch.fd, PLAIN, "o2");
	(void)kit_until(
	    f->loop, 300, strstr(kit_caller_received(c), "HTTP/1.1") != NULL);
	assert_non_null(strstr(kit_caller_received(c), "done"));
	kit_caller_free(c);
}

/* Guards against an earlier success, written once more without an id, taken for
 * the answer to the next request. */
static void
test_success_without_id_on_a_kept_connection(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false},
	    {"HTTP/1.1 200 OK\r\nServer-Signature: s1\r\nContent-Length: "
	     "4\r\n\r\nlast",
		false, false}};
	struct fixture *f = *state;

	(void)add_endpoint(f, "app", s, 2);
	wait_until_ready(f);
	expect(f, ORDER("o1"), 2000, "done");
	expect(f, ORDER("o2"), 2000, "HTTP/1.1 502");
}

/* Guards against a promise that the endpoint didn't make: it answers a request
 * that it may have run with 503 and doesn't say that it refused it. */
static void
test_failure_that_looks_like_a_refusal(void **state)
{
	static const struct kit_step s[] = {
	    {HEAD("503 Oops") "Content-Length: 4\r\n\r\noops", false, false},
	    {HEAD("429 Oops") "Content-Length: 4\r\n\r\noops", false, false},
	    {HEAD("200 OK") "Not-Executed: 1\r\nContent-Length: 4\r\n\r\ndone",
		false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 3);

	wait_until_ready(f);
	expect(f, ORDER("o1"), 2000, "HTTP/1.1 502");
	expect(f, ORDER("o2"), 2000, "HTTP/1.1 502");
	expect(f, ORDER("o3"), 2000, "done");
	assert_int_equal(e->requests, 3);
}

static void
test_order_runs_once(void **state)
{
	static const struct kit_step aborting[] = {{NULL, false, true}};
	struct fixture *f = *state;
	unsigned i, n = 0;

	for (i = 0; i < NENDPOINTS; i++)
		(void)add_endpoint(f, "app", aborting, 1);
	wait_until_ready(f);
	expect(f, ORDER("o1"), 2000, "HTTP/1.1 502");
	for (i = 0; i < NENDPOINTS; i++)
		n += f->end[i]->requests;
	assert_int_equal(n, 1);
	expect(f, GET("/look/a", "l1"), 2000, "HTTP/1.1 502");
	for (i = 0, n = 0; i < NENDPOINTS; i++)
		n += f->end[i]->requests;
	assert_int_equal(n, 1 + NENDPOINTS + 2);
}

/* Regression: a call that had been sent and reached its deadline got 503, which
 * guarantees that it has not run. */
static void
test_timeout_after_sending_is_no_promise(void **state)
{
	static const struct kit_step s[] = {{NULL, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);

	wait_until_ready(f);
	expect(f, ORDER("o1"), 2000, "HTTP/1.1 504");
	assert_int_equal(e->requests, 1);
	assert_true(kit_until(f->loop, 500, e->closed_by_peer == 1));
}

static void
test_unsigned_success_is_a_failure(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: "
	     "2\r\n\r\nno",
		false, false}};
	struct fixture *f = *state;

	(void)add_endpoint(f, "app", s, 1);
	wait_until_ready(f);
	expect(f, ORDER("o1"), 2000, "HTTP/1.1 502");
}

static void
test_turns_continue_and_keep_the_budget(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") PIECE("2") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);
	struct kit_caller *c;
	bool spent = false;
	int i;

	wait_until_lending(f);
	expect(f, TURN("/chat/1", "t1", ""), 2000, "\r\n0\r\n\r\n");
	assert_true(f->mem->nrows > 2);
	expect(f, TURN("/chat/1", "t2", "Previous-Turn: t1\r\n"), 2000,
	    "\r\n0\r\n\r\n");
	assert_non_null(strstr(e->last, "\r\n\r\nt1piece 1\npiece 2\nt2"));
	expect(f, TURN("/chat/1", "t3", "Previous-Turn: nix\r\n"), 2000,
	    "HTTP/1.1 404");
	for (i = 0; i < 200 && !spent; i++) {
		c = call(f, TURN("/check/1", "t4", ""), 2000);
		spent = strstr(kit_caller_received(c), "HTTP/1.1 402") != NULL;
		kit_caller_free(c);
	}
	/* 34 tokens a turn; 289 must be left for one. */
	assert_int_equal(i, (3000 - 289) / 34);
}

/* Routes of the service llm, of which /bulk/ is less urgent, and of the service
 * own, whose routes are all alike. */
#define TWO_CLASSES(version) \
	"{\"version\":" version ",\"routes\":[" \
	"{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\"," \
	"\"type\":\"streaming\",\"timeout_ms\":1500,\"service\":\"llm\"," \
	"\"priority\":1,\"keeps_history\":true,\"retention_s\":60}," \
	"{\"name\":\"bulk\",\"host\":\"h\",\"path_prefix\":\"/bulk/\"," \
	"\"type\":\"streaming\",\"timeout_ms\":1500,\"service\":\"llm\"," \
	"\"priority\":2,\"keeps_history\":true,\"retention_s\":60}," \
	"{\"name\":\"own\",\"host\":\"h\",\"path_prefix\":\"/own/\"," \
	"\"type\":\"streaming\",\"timeout_ms\":1500,\"service\":\"own\"," \
	"\"priority\":1}]," \
	"\"services\":[{\"name\":\"llm\",\"engine\":{\"chunk_tokens\":17}}," \
	"{\"name\":\"own\",\"engine\":{\"chunk_tokens\":17}}]}"
#define PROGRAM_TURN(path, id, program, more) \
	"POST " path " HTTP/1.1\r\nHost: h\r\nRequest-Id: " id \
	"\r\nProgram-Id: " program "\r\nToken-Budget: 3000\r\n" \
	"Token-Usage: 10,289\r\n" more "Content-Length: 2\r\n\r\n" id

/* Sets a peer's requests at both endpoints. */
static void
set_peer_load(struct fixture *f, uint32_t before, uint32_t now)
{
	mu_targets_peer_report(&f->serve.targets, "i-0", before, now, 0);
	mu_targets_peer_report(&f->serve.targets, "i-1", before, now, 0);
}

/* Sends a new program, which must be refused without having been sent. */
static void
expect_shed(struct fixture *f, const char *request, struct kit_endpoint *e)
{
	unsigned sent = e->requests;
	struct kit_caller *c = call(f, request, 2000);
	const char *got = kit_caller_received(c);

	assert_non_null(strstr(got, "HTTP/1.1 503"));
	assert_non_null(strstr(got, "no_place_for_new_programs"));
	assert_non_null(strstr(got, "Retry-After"));
	assert_int_equal(e->requests, sent);
	kit_caller_free(c);
}

/* Guards against a less urgent program that starts in a loaded service, a
 * started or a more urgent one that is refused there, and a change for services
 * without less urgent routes.  The load is reported by a peer, since that from
 * an answer changes with its age. */
static void
test_less_urgent_programs_are_refused_first(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") PIECE("2") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *llm = add_endpoint(f, "llm", s, 1);
	struct kit_endpoint *own = add_endpoint(f, "own", s, 1);

	f->serve.conf.shed_priority = 2;
	wait_until_lending(f);
	configure(f, TWO_CLASSES("4"), 4);
	expect(
	    f, PROGRAM_TURN("/bulk/1", "a1", "pa", ""), 2000, "\r\n0\r\n\r\n");
	set_peer_load(f, 0, 5); /* 0.625 per slot */
	expect_shed(f, PROGRAM_TURN("/bulk/1", "b1", "pb", ""), llm);
	expect(f, PROGRAM_TURN("/bulk/1", "a2", "pa", "Previous-Turn: a1\r\n"),
	    2000, "\r\n0\r\n\r\n");
	expect(
	    f, PROGRAM_TURN("/bulk/1", "a3", "pa", ""), 2000, "\r\n0\r\n\r\n");
	expect(
	    f, PROGRAM_TURN("/chat/1", "c1", "pc", ""), 2000, "\r\n0\r\n\r\n");
	expect(
	    f, PROGRAM_TURN("/own/1", "o1", "po", ""), 2000, "\r\n0\r\n\r\n");
	/* Its budget is new, but it continues a turn that was served. */
	expect(f, PROGRAM_TURN("/bulk/1", "a5", "pz", "Previous-Turn: a1\r\n"),
	    2000, "\r\n0\r\n\r\n");
	set_peer_load(f, 5, 7); /* 0.875 per slot */
	expect(
	    f, PROGRAM_TURN("/chat/1", "d1", "pd", ""), 2000, "\r\n0\r\n\r\n");
	expect_shed(f, PROGRAM_TURN("/own/1", "q1", "pq", ""), own);
	expect(
	    f, PROGRAM_TURN("/own/1", "o2", "po", ""), 2000, "\r\n0\r\n\r\n");
	set_peer_load(f, 7, 11); /* 1.375 per slot */
	expect_shed(f, PROGRAM_TURN("/chat/1", "e1", "pe", ""), llm);
	expect(
	    f, PROGRAM_TURN("/bulk/1", "a4", "pa", ""), 2000, "\r\n0\r\n\r\n");
}

/* Guards against a service that keeps its old behavior after a configuration
 * adds or removes its less urgent routes. */
static void
test_configuration_switches_the_estimate(void **state)
{
	struct fixture *f = *state;
	const struct mu_group *llm = mu_targets_group(&f->serve.targets, "llm"),
			      *own = mu_targets_group(&f->serve.targets, "own");

	f->serve.conf.shed_priority = 2;
	configure(f, TWO_CLASSES("4"), 4);
	assert_int_equal(llm->load_estimate, MU_LOADEST_MEAN);
	assert_int_equal(own->load_estimate, MU_LOADEST_REPORT);
	configure(f, CUSTOMERS("5", "\"k1\""), 5);
	assert_int_equal(llm->load_estimate, MU_LOADEST_REPORT);
	f->serve.conf.shed_priority = 0;
	configure(f, TWO_CLASSES("6"), 6);
	assert_int_equal(llm->load_estimate, MU_LOADEST_REPORT);
}

/* The caller gets events at once, but the end only after the commit. */
static void
test_end_waits_for_the_commit(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_caller *c;

	(void)add_endpoint(f, "llm", s, 1);
	wait_until_ready(f);
	expect(f, TURN("/chat/1", "t1", ""), 2000, "\r\n0\r\n\r\n");
	f->mem->fault = MEM_BUSY;
	c = call(f, TURN("/chat/1", "t2", ""), 500);
	assert_non_null(strstr(kit_caller_received(c), "piece 1"));
	assert_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	f->mem->fault = MEM_HEALTHY;
	assert_true(kit_until(f->loop, 1000,
	    strstr(kit_caller_received(c), "\r\n0\r\n\r\n") != NULL));
	kit_caller_free(c);
}

/* If the record cannot be written, the answer must not look complete. */
static void
test_no_commit_no_end(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_caller *c;

	(void)add_endpoint(f, "llm", s, 1);
	wait_until_ready(f);
	expect(f, TURN("/chat/1", "t1", ""), 2000, "\r\n0\r\n\r\n");
	f->mem->fault = MEM_BUSY;
	c = call(f, TURN("/chat/1", "t2", ""), 3000);
	assert_true(c->closed);
	assert_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	kit_caller_free(c);
}

/* A stream aborted within an event resumes after the last complete one. */
static void
test_stream_is_resumed(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") "a\r\nid: 2\ndata\r\n", false, true},
	    {CHUNKED PIECE("2") PIECE("3") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 2);
	struct kit_caller *c;

	wait_until_ready(f);
	c = call(f, TURN("/check/1", "c1", ""), 3000);
	assert_non_null(strstr(kit_caller_received(c), "piece 1"));
	assert_non_null(strstr(kit_caller_received(c), "piece 3"));
	assert_non_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	assert_non_null(strstr(e->last, "Last-Event-Id: 1\r\n"));
	assert_int_equal(e->requests, 2);
	kit_caller_free(c);
}

#define UNFRAMED HEAD("200 OK") "\r\n"

/* Guards against events that the caller gets twice: a stream whose last event
 * can't be named would be repeated from its start at the next endpoint. */
static void
check_stream_without_a_place(struct fixture *f, const char *first)
{
	const struct kit_step s[] = {
	    {first, false, true}, {UNFRAMED "data: event\n\n", true, false}};
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 2);
	struct kit_caller *c;

	wait_until_ready(f);
	c = call(f, TURN("/check/1", "c1", ""), 3000);
	assert_true(c->closed);
	assert_non_null(strstr(kit_caller_received(c), "data: event"));
	assert_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	assert_int_equal(e->requests, 1);
	kit_caller_free(c);
}

static void
test_stream_without_ids_is_not_resumed(void **state)
{
	check_stream_without_a_place(*state, UNFRAMED "data: event\n\n");
}

static void
test_stream_with_a_long_id_is_not_resumed(void **state)
{
	check_stream_without_a_place(*state,
	    UNFRAMED "id: 0123456789012345678901234567890123456789"
		     "0123456789012345678901234567890123456789\n"
		     "data: event\n\n");
}

#define UNSIGNED_CHUNKED \
	"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\n" \
	"Transfer-Encoding: chunked\r\n\r\n"
#define WRONG_PIECE(n) "15\r\nid: " n "\ndata: wrong " n "\n\n\r\n"

/* A stream breaks off after its second event, the answer to its resumption is
 * as given, and the next one is sound: the caller gets the endpoint's events
 * only. */
static void
check_spoilt_resumption(struct fixture *f, const struct kit_step *spoilt)
{
	const struct kit_step s[] = {
	    {CHUNKED PIECE("1") PIECE("2"), false, true}, *spoilt,
	    {CHUNKED PIECE("3") LAST_CHUNK, false, false}};
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 3);
	struct kit_caller *c;
	const char *body;

	wait_until_ready(f);
	c = call(f, TURN("/check/1", "c1", ""), 3000);
	body = strstr(kit_caller_received(c), "\r\n\r\n");
	assert_non_null(body);
	assert_null(strstr(body, "wrong"));
	assert_null(strstr(body, "HTTP/1.1"));
	assert_non_null(strstr(body, "piece 1"));
	assert_non_null(strstr(body, "piece 3"));
	assert_non_null(strstr(body, "\r\n0\r\n\r\n"));
	assert_non_null(strstr(e->last, "Last-Event-Id: 2\r\n"));
	assert_int_equal(e->requests, 3);
	kit_caller_free(c);
}

/* Guards against events without a signature in a resumed stream: the caller got
 * them under the first attempt's head, in place of the right ones. */
static void
test_unsigned_resumption_that_breaks_off(void **state)
{
	static const struct kit_step s = {
	    UNSIGNED_CHUNKED WRONG_PIECE("3"), false, true};

	check_spoilt_resumption(*state, &s);
}

/* As above; the unsigned answer is complete. */
static void
test_unsigned_resumption_that_ends(void **state)
{
	static const struct kit_step s = {
	    UNSIGNED_CHUNKED WRONG_PIECE("3") LAST_CHUNK, false, false};

	check_spoilt_resumption(*state, &s);
}

/* The answer to a resumption is an error: its text must not stand in the
 * caller's stream. */
static void
test_resumption_answered_with_a_failure(void **state)
{
	static const struct kit_step s = {
	    HEAD("500 wrong") "Content-Type: "
			      "text/event-stream\r\nContent-Length: 21\r\n\r\n"
			      "id: 3\ndata: wrong 3\n\n",
	    false, false};

	check_spoilt_resumption(*state, &s);
}

static void
test_resumption_answered_with_no_answer(void **state)
{
	static const struct kit_step s = {
	    "id: 3\ndata: wrong 3\n\n\r\n\r\n", false, false};

	check_spoilt_resumption(*state, &s);
}

static void
test_resumption_answered_without_length(void **state)
{
	static const struct kit_step s = {
	    HEAD("502 wrong") "\r\nwrong\n\nwrong", true, false};

	check_spoilt_resumption(*state, &s);
}

/* Every resumption is refused or fails: the caller's stream is broken off where
 * it stands. */
static void
check_stream_that_cannot_go_on(
    struct fixture *f, const struct kit_step *after, unsigned requests)
{
	const struct kit_step s[] = {
	    {CHUNKED PIECE("1") PIECE("2"), false, true}, *after};
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 2);
	struct kit_caller *c;
	const char *body;

	wait_until_ready(f);
	c = call(f, TURN("/check/1", "c1", ""), 3000);
	body = strstr(kit_caller_received(c), "\r\n\r\n");
	assert_non_null(body);
	assert_true(c->closed);
	assert_non_null(strstr(body, "piece 2"));
	assert_null(strstr(body, "wrong"));
	assert_null(strstr(body, "error"));
	assert_null(strstr(body, "HTTP/1.1"));
	assert_null(strstr(body, "\r\n0\r\n"));
	assert_int_equal(e->requests, requests);
	kit_caller_free(c);
}

static void
test_resumptions_that_all_fail(void **state)
{
	static const struct kit_step s = {
	    HEAD("500 wrong") "Content-Length: 5\r\n\r\nwrong", false, false};

	check_stream_that_cannot_go_on(*state, &s, 3);
}

static void
test_resumption_that_is_refused(void **state)
{
	static const struct kit_step s = {
	    "HTTP/1.1 503 wrong\r\nRequest-Id: $ID\r\nNot-Executed: 1\r\n"
	    "Content-Length: 5\r\n\r\nwrong",
	    false, false};

	check_stream_that_cannot_go_on(*state, &s, 2);
}

/* Answers without length and chunks end with their connection. */
static void
test_unframed_answers(void **state)
{
	static const struct kit_step s[] = {{UNFRAMED "done", true, false},
	    {UNFRAMED "done", true, false},
	    {HEAD("500 Oops") "\r\nfailed", true, false},
	    {UNFRAMED "done", false, true}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 4);

	wait_until_ready(f);
	expect(f, ORDER("o1"), 2000, "\r\n\r\ndone");
	expect(f, ORDER("o2"), 2000, "\r\n\r\ndone");
	expect(f, ORDER("o3"), 2000, "\r\n\r\nfailed");
	assert_int_equal(e->accepted, 3); /* one connection each */
	expect(f, ORDER("o4"), 2000, "HTTP/1.1 502"); /* reset */
	assert_int_equal(e->requests, 4);
}

/* The endpoint has written its refusal whole and doesn't reset: it holds. */
static void
test_unframed_refusal(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.1 503 Busy\r\nRequest-Id: $ID\r\nNot-Executed: 1\r\n"
	     "\r\nbusy",
		true, false},
	    {"HTTP/1.1 503 Busy\r\nRequest-Id: $ID\r\nNot-Executed: 1\r\n"
	     "\r\nbusy",
		false, true}};
	struct fixture *f = *state;

	(void)add_endpoint(f, "app", s, 2);
	wait_until_ready(f);
	expect(f, ORDER("o1"), 2000, "HTTP/1.1 503");
	kit_run_ms(f->loop, 80);
	expect(f, ORDER("o2"), 2000, "HTTP/1.1 502");
}

/* Guards against a request that is held until its deadline, since the body of a
 * refusal doesn't end. */
static void
test_refusal_without_end(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.1 503 Busy\r\nRequest-Id: $ID\r\nNot-Executed: 1\r\n"
	     "\r\n",
		false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);
	mu_us started;

	wait_until_ready(f);
	e->endless = "x";
	started = mu_now(&f->clock);
	expect(f, ORDER("o1"), 2000, "HTTP/1.1 502");
	/* The route's time limit is 600 ms. */
	assert_true(mu_now(&f->clock) - started < 500 * MU_US_PER_MS);
	assert_true(kit_until(f->loop, 500, e->closed_by_peer == 1));
	/* A lookup is sent again while the refusal is still being parsed. */
	expect(f, GET("/look/a", "r1"), 2000, "HTTP/1.1 502");
	assert_true(e->requests > 2);
}

static void
test_unframed_stream(void **state)
{
	static const struct kit_step s[] = {
	    {UNFRAMED EVENT("1") EVENT("2"), true, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);
	struct kit_caller *c;

	wait_until_ready(f);
	c = call(f, TURN("/chat/1", "t1", ""), 2000);
	assert_non_null(strstr(kit_caller_received(c), "data: piece2\n\n"));
	assert_non_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	kit_caller_free(c);
	expect(f, TURN("/chat/1", "t2", "Previous-Turn: t1\r\n"), 2000,
	    LAST_CHUNK);
	assert_non_null(strstr(e->last, "t1piece1\npiece2\nt2"));
	assert_int_equal(e->accepted, 2);
}

/* It ends within an event: broken off, however the connection is closed. */
static void
test_unframed_stream_that_ends_in_an_event(void **state)
{
	static const struct kit_step s[] = {
	    {UNFRAMED EVENT("1") "id: 2\ndata: piece2\n", true, false},
	    {UNFRAMED EVENT("2") "id: 3\n", true, false},
	    {UNFRAMED EVENT("3"), true, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 3);
	struct kit_caller *c;

	wait_until_ready(f);
	c = call(f, TURN("/check/1", "c1", ""), 3000);
	assert_non_null(strstr(kit_caller_received(c), "data: piece1\n\n"));
	assert_non_null(strstr(kit_caller_received(c), "data: piece2\n\n"));
	assert_non_null(strstr(kit_caller_received(c), "data: piece3\n\n"));
	assert_non_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	assert_non_null(strstr(e->last, "Last-Event-Id: 2\r\n"));
	assert_int_equal(e->requests, 3);
	kit_caller_free(c);
}

/* A turn that may not be resumed: cut, and it was never said. */
static void
test_unframed_turn_that_ends_in_an_event(void **state)
{
	static const struct kit_step s[] = {
	    {UNFRAMED EVENT("1") "id: 2\ndata: pie", true, false},
	    {UNFRAMED EVENT("1"), false, true}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 2);
	struct kit_caller *c;
	int i;

	wait_until_ready(f);
	for (i = 1; i <= 2; i++) {
		c = call(f, TURN("/chat/1", "t1", ""), 2000);
		assert_true(c->closed);
		assert_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
		kit_caller_free(c);
		assert_int_equal(e->requests, i);
	}
	expect(f, TURN("/chat/1", "t2", "Previous-Turn: t1\r\n"), 2000,
	    "HTTP/1.1 404");
}

/* Guards against streams whose lines end in CR LF: they were never complete,
 * and their turns were lost. */
static void
test_stream_with_cr_lf(void **state)
{
	static const struct kit_step s[] = {
	    {UNFRAMED "id: 1\r\ndata: piece1\r\n\r\n: end\r\n", true, false}};
	struct fixture *f = *state;
	struct kit_caller *c;

	(void)add_endpoint(f, "llm", s, 1);
	wait_until_ready(f);
	c = call(f, TURN("/chat/1", "t1", ""), 2000);
	assert_non_null(strstr(kit_caller_received(c), "data: piece1\r\n"));
	assert_non_null(strstr(kit_caller_received(c), ": end\r\n"));
	assert_non_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	kit_caller_free(c);
}

/* A stream that may not be resumed ends visibly incomplete for the caller. */
static void
test_stream_that_runs_once_is_cut(void **state)
{
	static const struct kit_step s[] = {{CHUNKED PIECE("1"), false, true}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);
	struct kit_caller *c;

	wait_until_ready(f);
	c = call(f, TURN("/chat/1", "t1", ""), 3000);
	assert_true(c->closed);
	assert_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	assert_int_equal(e->requests, 1);
	kit_caller_free(c);
}

static void
test_caller_that_leaves_stops_the_endpoint(void **state)
{
	static const struct kit_step s[] = {{NULL, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);
	struct kit_caller *c;

	wait_until_ready(f);
	c = kit_caller_open(f->loop, f->addr, GET("/look/a", "r1"));
	(void)kit_until(f->loop, 1000, e->requests == 1);
	assert_int_equal(e->requests, 1);
	kit_caller_free(c);
	assert_true(kit_until(f->loop, 500, e->closed_by_peer == 1));
	assert_true(kit_until(f->loop, 500, f->serve.ncalls == 0));
}

/* During a store outage a program that needs no history starts on a loan. */
static void
test_program_begins_while_the_store_is_out(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct fixture *f = *state;

	(void)add_endpoint(f, "llm", s, 1);
	wait_until_lending(f);
	f->mem->fault = MEM_SILENT;
	expect(f, TURN("/check/1", "c1", ""), 900, "\r\n0\r\n\r\n");
	/* The outage has been detected: the next turn does not wait. */
	expect(f, TURN("/check/1", "c2", ""), 100, "\r\n0\r\n\r\n");
}

/* A turn of a program whose guarantor lends it 289 tokens, the most of one. */
#define LOANED_TURN(id) \
	"POST /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " id \
	"\r\nProgram-Id: p3\r\nToken-Budget: 1156\r\nToken-Usage: 10,289\r\n" \
	"Content-Length: 2\r\n\r\n" id

/* Guards against turns that a stopping daemon cuts because they use up a
 * reservation that is less than they may need. */
static void
test_stopping_daemon_begins_no_turn_on_a_remainder(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);

	wait_until_lending(f);
	f->mem->fault = MEM_SILENT;
	expect(f, LOANED_TURN("l1"), 900, LAST_CHUNK);
	expect(f, LOANED_TURN("l2"), 900, LAST_CHUNK);
	/* This daemon stops, and the program's home doesn't. */
	mu_stop_begin(&f->serve.stop, mu_loop_now(f->loop), 1000, 8000);
	expect(f, LOANED_TURN("l3"), 900, "state_unavailable");
	assert_int_equal(e->requests, 2);
}

/* Guards against two daemons that both lent to a program: one that has just
 * started with its fleet doesn't know who else did, so it lends nothing yet. */
static void
test_no_loan_before_all_daemons_are_known(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);

	wait_until_ready(f);
	f->mem->fault = MEM_SILENT;
	expect(f, TURN("/check/1", "c1", ""), 1300, "state_unavailable");
	assert_int_equal(e->requests, 0);
}

/* A turn whose history is only in the unavailable store is refused within 1.3
 * s, with Retry-After. */
static void
test_refused_in_time_when_the_store_is_out(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);
	struct kit_caller *c;

	wait_until_ready(f);
	f->mem->fault = MEM_SILENT;
	c = call(f, TURN("/chat/1", "c1", "Previous-Turn: t0\r\n"), 1300);
	assert_non_null(strstr(kit_caller_received(c), "HTTP/1.1 503"));
	assert_non_null(strstr(kit_caller_received(c), "Retry-After: 0.4"));
	assert_int_equal(e->requests, 0);
	kit_caller_free(c);
}

/* An endpoint that died gets no requests for a while, and no other request
 * fails because of it. */
static void
test_dead_endpoint_is_left_alone(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *dead = add_endpoint(f, "app", s, 1);
	int i;

	(void)add_endpoint(f, "app", s, 1);
	wait_until_ready(f);
	kit_endpoint_kill(dead);
	for (i = 0; i < 6; i++)
		expect(f, ORDER("o1"), 2000, "done");
	assert_int_equal(f->end[1]->requests, 6);
}

/* All slots are taken by requests of peers, and this daemon has none whose end
 * would trigger a recheck: a queued call is still sent when the peers' requests
 * end, and one that can no longer be served is refused before its deadline. */
static void
test_waits_without_requests_of_its_own(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);
	struct kit_caller *c;
	mu_us started;

	wait_until_ready(f);
	mu_targets_peer_report(&f->serve.targets, "i-0", 0, 20, 0);
	started = mu_now(&f->clock);
	c = kit_caller_open(f->loop, f->addr, GET("/look/a", "r1"));
	assert_true(kit_until(f->loop, 1190,
	    strstr(kit_caller_received(c), "HTTP/1.1 503") != NULL));
	assert_true(mu_now(&f->clock) - started < 1150 * MU_US_PER_MS);
	kit_caller_free(c);
	c = kit_caller_open(f->loop, f->addr, GET("/look/a", "r2"));
	kit_run_ms(f->loop, 100);
	assert_int_equal(e->requests, 0);
	mu_targets_peer_report(&f->serve.targets, "i-0", 20, 0, 0);
	(void)kit_until(f->loop, 1000, e->requests == 1);
	assert_int_equal(e->requests, 1);
	kit_caller_free(c);
}

/* An endpoint that accepts connections and resets them always has free slots:
 * an idempotent request is retried at another one, and soon nothing is sent to
 * the first. */
static void
test_rejecting_endpoint_gets_no_more_requests(void **state)
{
	static const struct kit_step rejecting[] = {{NULL, false, true}};
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", rejecting, 1);
	unsigned i;

	(void)add_endpoint(f, "app", s, 1);
	wait_until_ready(f);
	/* Paused, as a reset that is read late on a busy machine is no
	 * rejection. */
	mu_clock_manual(&f->clock, mu_now(&f->clock));
	for (i = 0; i < 20; i++)
		expect(f, GET("/look/a", "l"), 2000, "done");
	assert_in_range(e->requests, 0, 1);
}

/* After an idempotent request failed at such an endpoint, non-idempotent ones
 * go to others, however idle it looks, and none fails. */
static void
test_orders_avoid_rejecting_endpoints(void **state)
{
	static const struct kit_step rejecting[] = {{NULL, false, true}};
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", rejecting, 1);
	unsigned i;

	wait_until_ready(f);
	expect(f, GET("/look/a", "l"), 2000, "HTTP/1.1 502");
	(void)add_endpoint(f, "app", s, 1);
	wait_until_ready(f);
	mu_targets_peer_report(&f->serve.targets, "i-1", 0, 4, 0);
	i = e->requests;
	kit_run_ms(f->loop, 1200); /* longer than it is considered down */
	expect(f, ORDER("o1"), 2000, "done");
	expect(f, ORDER("o2"), 2000, "done");
	assert_int_equal(e->requests, i);
}

/* Endpoints run requests but lose some answers.  When as many endpoints as the
 * route allows have run the request, it is retried at the last one. */
static void
test_overdue_lookup_is_asked_again_where_it_ran(void **state)
{
	static const struct kit_step s[] = {
	    {NULL, false, false}, {PLAIN, false, false}};
	struct fixture *f = *state;
	unsigned i, n = 0;

	for (i = 0; i < NENDPOINTS; i++)
		(void)add_endpoint(f, "app", s, 2);
	wait_until_ready(f);
	mu_targets_group(&f->serve.targets, "app")->first_byte_time =
	    20 * MU_US_PER_MS;
	/* max_attempts is 3: overdue at three endpoints, then repeated at
	 * the last. */
	expect(f,
	    "GET /look/a HTTP/1.1\r\nHost: h\r\nRequest-Id: l1\r\n"
	    "Deadline-Ms: 5000\r\n\r\n",
	    4900, "done");
	for (i = 0; i < NENDPOINTS; i++)
		n += f->end[i]->requests;
	assert_int_equal(n, NENDPOINTS + 1);
}

/* Regression: identical requests at flapping endpoints were taken for requests
 * that crash endpoints. */
static void
test_rejecting_endpoints_cause_no_quarantine(void **state)
{
	static const struct kit_step rejecting[] = {
	    {PLAIN, false, false}, {NULL, false, true}};
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	struct mu_crash_report suspected[MU_CRASHES_REPORTS_MAX];
	unsigned i;

	/* Each rejecting endpoint first answers, on a connection that is
	 * kept. */
	(void)add_endpoint(f, "app", rejecting, 2);
	wait_until_ready(f);
	expect(f, GET("/look/a", "l"), 2000, "done");
	(void)add_endpoint(f, "app", rejecting, 2);
	wait_until_ready(f);
	mu_targets_peer_report(&f->serve.targets, "i-0", 0, 8, 0);
	expect(f, GET("/look/a", "l"), 2000, "done");
	mu_targets_peer_report(&f->serve.targets, "i-0", 8, 0, 0);
	(void)add_endpoint(f, "app", s, 1);
	wait_until_ready(f);
	mu_targets_peer_report(&f->serve.targets, "i-2", 0, 4, 0);
	for (i = 0; i < 20; i++) {
		expect(f, GET("/look/a", "l"), 2000, "done");
		kit_run_ms(f->loop, 60);
	}
	assert_int_equal(
	    mu_crashes_list(&f->serve.crashes, suspected, mu_now(&f->clock)),
	    0);
}

#define SAID(id, previous, text) \
	"POST /chat/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " id \
	"\r\nProgram-Id: p" id "\r\nToken-Budget: 3000\r\nToken-Usage: " \
	"10,289\r\nPrevious-Turn: " previous \
	"\r\nContent-Length: 9\r\n\r\n" text

/* Opens a request at each of the two daemons, which the endpoint runs when it
 * is killed, and lets both find out that it is gone. */
static void
crash_beside(struct fixture *f, struct kit_endpoint *e, const char *first,
    const char *second)
{
	struct kit_caller *c[2] = {kit_caller_open(f->loop, f->addr, first),
	    kit_caller_open(f->loop, f->addr2, second)};
	unsigned before = e->requests;
	int i;

	assert_true(kit_until(f->loop, 2000, e->requests == before + 2));
	kit_endpoint_kill(e);
	kit_run_ms(f->loop, 20);
	for (i = 0; i < 2; i++)
		kit_caller_free(call_at(f, i == 0 ? f->addr : f->addr2,
		    strstr(first, "/look/") != NULL
			? GET("/look/other", "x")
			: TURN("/check/1", "x1", ""),
		    1000));
	kit_run_ms(f->loop, 500); /* two heartbeats */
	for (i = 0; i < 2; i++)
		kit_caller_free(c[i]);
}

/* Guards against turns refused as crashing endpoints because turns of other
 * conversations with the same input ran beside one crash (review/2). */
static void
test_same_input_in_another_conversation_after_a_crash(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false},
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false},
	    {CHUNKED PIECE("1"), false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 3);

	wait_until_ready(f);
	start_second(f);
	expect(f, TURN("/chat/1", "a0", ""), 2000, LAST_CHUNK);
	expect(f, TURN("/chat/1", "b0", ""), 2000, LAST_CHUNK);
	crash_beside(
	    f, e, SAID("a1", "a0", "yes go on"), SAID("b1", "b0", "yes go on"));
	(void)add_endpoint(f, "llm", s, 1);
	wait_until_ready(f);
	expect(f, TURN("/chat/1", "c0", ""), 2000, LAST_CHUNK);
	expect(f, SAID("c1", "c0", "yes go on"), 2000, LAST_CHUNK);
}

/* The same for a page that several callers look up. */
static void
test_same_page_after_a_crash(void **state)
{
	static const struct kit_step hanging[] = {{NULL, false, false}};
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", hanging, 1);

	wait_until_ready(f);
	start_second(f);
	crash_beside(f, e, GET("/look/a", "r1"), GET("/look/a", "r2"));
	(void)add_endpoint(f, "app", s, 1);
	wait_until_ready(f);
	expect(f, GET("/look/a", "r3"), 2000, "done");
	expect(f, GET("/look/a", "r4"), 2000, "done");
}

/* An order that crashes each endpoint that runs it, sent again and again: two
 * endpoints are lost, and it is refused by both daemons then.  Other orders go
 * on. */
static void
test_order_that_crashes_endpoints_is_refused(void **state)
{
	static const struct kit_step s[] = {{NULL, false, true}};
	static const struct kit_step sound[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_caller *c;
	unsigned i;

	start_second(f);
	for (i = 0; i < MU_CRASHES_LIMIT; i++) {
		struct kit_endpoint *e = add_endpoint(f, "app", s, 1);

		wait_until_ready(f);
		c = kit_caller_open(f->loop, f->addr, ORDER("o1"));
		assert_true(kit_until(f->loop, 1000, e->requests == 1));
		kit_endpoint_kill(e);
		kit_run_ms(f->loop, 300);
		assert_non_null(strstr(kit_caller_received(c), "HTTP/1.1 502"));
		kit_caller_free(c);
	}
	(void)add_endpoint(f, "app", sound, 1);
	wait_until_ready(f);
	expect(f, ORDER("o9"), 2000, "kills_endpoints");
	c = call_at(f, f->addr2, ORDER("o9"), 2000);
	assert_non_null(strstr(kit_caller_received(c), "kills_endpoints"));
	kit_caller_free(c);
	expect(f, GET("/look/a", "r1"), 2000, "done");
	assert_int_equal(f->end[MU_CRASHES_LIMIT]->requests, 1);
}

/* The only endpoint has just reset a connection: the request is retried there
 * and not refused. */
static void
test_endpoint_is_tried_when_none_is_known_to_be_up(void **state)
{
	static const struct kit_step s[] = {
	    {NULL, false, true}, {PLAIN, false, false}};
	struct fixture *f = *state;

	(void)add_endpoint(f, "app", s, 2);
	wait_until_ready(f);
	expect(f, GET("/look/a", "l1"), 2000, "done");
}

/* A turn that reserved less than it may use is cut before it exceeds its
 * reservation: the caller gets the reserved events and no end. */
static void
test_turn_keeps_its_reservation(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false},
	    {CHUNKED PIECE("1") PIECE("2") PIECE("3") PIECE("4") LAST_CHUNK,
		false, false}};
	struct fixture *f = *state;
	struct kit_caller *c;

	(void)add_endpoint(f, "llm", s, 2);
	wait_until_lending(f);
	f->mem->fault = MEM_SILENT;
	/* Up to 4 events of 17 tokens, which is what the loan covers. */
	expect(f, SMALL_TURN("c1"), 900, "\r\n0\r\n\r\n");
	c = call(f, SMALL_TURN("c2"), 1500);
	assert_non_null(strstr(kit_caller_received(c), "piece 3"));
	assert_null(strstr(kit_caller_received(c), "piece 4"));
	assert_true(c->closed);
	assert_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	kit_caller_free(c);
}

/* Without a Token-Usage header nothing is reserved, and the caller gets the
 * whole answer. */
static void
test_turn_without_a_usage_is_whole(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") PIECE("2") LAST_CHUNK, false, false}};
	struct fixture *f = *state;

	(void)add_endpoint(f, "llm", s, 1);
	wait_until_ready(f);
	expect(f,
	    "POST /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: u1\r\n"
	    "Program-Id: p3\r\nToken-Budget: 136\r\nContent-Length: 2\r\n\r\n"
	    "u1",
	    2000, "\r\n0\r\n\r\n");
}

/* A stream whose events arrive slowly is not cut before the route's timeout. */
static void
test_slow_stream_is_not_cut(void **state)
{
	static const struct kit_step s[] = {{CHUNKED PIECE("1"), false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);
	struct kit_caller *c;
	mu_us started;
	int i;

	wait_until_ready(f);
	c = kit_caller_open(f->loop, f->addr, TURN("/chat/1", "t1", ""));
	started = mu_now(&f->clock);
	for (i = 1; i <= 3; i++) {
		/* By the clock: rounds of the loop are longer under load. */
		(void)kit_until(f->loop, 400,
		    mu_now(&f->clock) - started >= i * 400 * MU_US_PER_MS);
		kit_send(e->conn[0].watch.fd, PIECE("2"), "t1");
	}
	kit_send(e->conn[0].watch.fd, LAST_CHUNK, "t1");
	(void)kit_until(f->loop, 1000,
	    strstr(kit_caller_received(c), "\r\n0\r\n\r\n") != NULL);
	assert_non_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	kit_caller_free(c);
}

/* An answer that only trickles in ends at the route's timeout, and the
 * connection to the endpoint is closed. */
static void
test_trickle_ends_in_time(void **state)
{
	static const struct kit_step s[] = {{CHUNKED, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);
	mu_us started = mu_now(&f->clock);
	struct kit_caller *c;

	wait_until_ready(f);
	c = kit_caller_open(f->loop, f->addr, TURN("/chat/1", "t1", ""));
	while (!c->closed && mu_now(&f->clock) - started < 5 * MU_US_PER_S) {
		kit_run_ms(f->loop, 100);
		if (e->conn[0].open)
			kit_send(e->conn[0].watch.fd, "1\r\n:\r\n", "t1");
	}
	assert_true(c->closed);
	assert_true(mu_now(&f->clock) - started < 2500 * MU_US_PER_MS);
	assert_null(strstr(kit_caller_received(c), "\r\n0\r\n\r\n"));
	assert_true(kit_until(f->loop, 500, e->closed_by_peer == 1));
	kit_caller_free(c);
}

/* An endpoint reports in an answer that it is leaving, while its entry in the
 * store is still ready: the answer is delivered, and nothing new is sent there.
 */
static void
check_leaving_endpoint(struct fixture *f, const char *service,
    const struct kit_step *s, const char *request, const char *want)
{
	static const struct kit_step plain[] = {{PLAIN, false, false}};
	struct kit_endpoint *e = add_endpoint(f, service, s, 1), *other;
	unsigned i;

	wait_until_ready(f);
	expect(f, request, 2000, want);
	assert_int_equal(e->requests, 1);
	other = add_endpoint(f, service, plain, 1);
	wait_until_ready(f);
	for (i = 0; i < 8; i++)
		expect(f, GET("/look/a", "r2"), 2000, "HTTP/1.1 ");
	assert_int_equal(e->requests, 1);
	if (strcmp(service, "app") == 0)
		assert_int_equal(other->requests, 8);
}

/* Guards against a use after free that ended the daemon: an answer without end
 * from an endpoint whose entry is gone is given up while it is parsed. */
static void
test_endless_answer_of_an_unlisted_endpoint(void **state)
{
	static const struct kit_step s[] = {
	    {HEAD("200 OK") "\r\n", false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);
	struct kit_caller *c;

	wait_until_ready(f);
	c = kit_caller_open(f->loop, f->addr, ORDER("o1"));
	assert_true(kit_until(f->loop, 1000, e->requests == 1));
	mu_targets_remove(&f->serve.targets, "i-0");
	e->conn[0].endless = "x";
	mu_watch_set(f->loop, &e->conn[0].watch, EPOLLIN | EPOLLOUT);
	assert_true(kit_until(f->loop, 2000,
	    strstr(kit_caller_received(c), "HTTP/1.1 502") != NULL));
	assert_true(kit_until(f->loop, 500, e->closed_by_peer == 1));
	kit_caller_free(c);
}

#define LEAVING "Server-Leaving: 1\r\n"

static void
test_plain_answer_says_leaving(void **state)
{
	static const struct kit_step s[] = {
	    {HEAD("200 OK") LEAVING "Content-Length: 4\r\n\r\ndone", false,
		false}};

	check_leaving_endpoint(*state, "app", s, ORDER("o1"), "done");
}

static void
test_failure_says_leaving(void **state)
{
	static const struct kit_step s[] = {
	    {HEAD("500 Oops") LEAVING "Content-Length: 4\r\n\r\noops", false,
		false}};

	check_leaving_endpoint(*state, "app", s, ORDER("o1"), "HTTP/1.1 500");
}

static void
test_refusal_says_leaving(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.1 503 Busy\r\nRequest-Id: $ID\r\nNot-Executed: "
	     "1\r\n" LEAVING "Content-Length: 0\r\n\r\n",
		false, false}};

	check_leaving_endpoint(*state, "app", s, ORDER("o1"), "HTTP/1.1 503");
}

/* The report is on the late answer to an abandoned request. */
static void
test_late_answer_says_leaving(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.1 200 OK\r\nRequest-Id: old\r\n" LEAVING
	     "Content-Length: 1\r\n\r\nx" PLAIN,
		false, false}};

	check_leaving_endpoint(*state, "app", s, ORDER("o1"), "done");
}

static void
test_stream_says_leaving(void **state)
{
	static const struct kit_step s[] = {{HEAD("200 OK") LEAVING
	    "Transfer-Encoding: chunked\r\n\r\n" PIECE("1") LAST_CHUNK,
	    false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);

	wait_until_ready(f);
	expect(f, TURN("/check/1", "c1", ""), 2000, "piece 1");
	expect(f, TURN("/check/1", "c2", ""), 2000, "no_endpoint");
	assert_int_equal(e->requests, 1);
}

/* Requests already in progress at a leaving endpoint end normally. */
static void
test_leaving_endpoint_ends_its_requests(void **state)
{
	static const struct kit_step s[] = {{NULL, false, false},
	    {HEAD("200 OK") LEAVING "Content-Length: 4\r\n\r\ndone", false,
		false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 2);
	struct kit_caller *c;

	wait_until_ready(f);
	c = kit_caller_open(f->loop, f->addr, ORDER("o1"));
	(void)kit_until(f->loop, 1000, e->requests == 1);
	expect(f, ORDER("o2"), 2000, "done");
	kit_send(e->conn[0].watch.fd, PLAIN, "o1");
	(void)kit_until(f->loop, 1000,
	    strstr(kit_caller_received(c), "\r\n\r\ndone") != NULL);
	assert_non_null(strstr(kit_caller_received(c), "\r\n\r\ndone"));
	kit_caller_free(c);
}

/* The log lines that docs/OPERATIONS.md relies on. */
static void
test_lines_for_a_failed_request(void **state)
{
	static const struct kit_step aborting[] = {
	    {PLAIN, false, false}, {NULL, false, true}};
	struct fixture *f = *state;
	char text[8192] = "";
	int fd[2], saved;
	ssize_t n;

	(void)add_endpoint(f, "app", aborting, 2);
	wait_until_ready(f);
	/* Leaves an idle connection: a loss on a new one would be reported as
	 * turned_away. */
	expect(f, ORDER("o0"), 2000, "done");
	assert_int_equal(mu_log_open("info"), 0);
	assert_int_equal(pipe(fd), 0);
	saved = dup(STDOUT_FILENO);
	(void)dup2(fd[1], STDOUT_FILENO);
	expect(f, ORDER("o1"), 2000, "HTTP/1.1 502");
	(void)dup2(saved, STDOUT_FILENO);
	mu_log_close();
	n = read(fd[0], text, sizeof(text) - 1);
	assert_true(n > 0);
	text[n] = '\0';
	assert_non_null(strstr(text, "\"event\":\"attempt_failed\","
				     "\"request\":\"o1\""));
	assert_non_null(strstr(text, "\"event\":\"end\",\"request\":"
				     "\"o1\""));
	assert_non_null(strstr(text, "\"status\":502,\"why\":\"lost\""));
	assert_non_null(strstr(text, "\"ran\":1"));
	(void)close(fd[0]);
	(void)close(fd[1]);
	(void)close(saved);
}

#define KEYED(path, id, key) \
	"GET " path " HTTP/1.1\r\nHost: h\r\nRequest-Id: " id \
	"\r\nDeadline-Ms: 1200\r\nTenant: root\r\nX-Api-Key: " key "\r\n\r\n"

/* The endpoint gets the customer's name, whatever the caller claims, and never
 * the key. */
static void
test_customer_is_named_to_the_endpoint(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);

	wait_until_ready(f);
	configure(f, CUSTOMERS("4", "\"k1\",\"k1b\""), 4);
	expect(f, KEYED("/look/a", "r1", "k1b"), 2000, "done");
	assert_non_null(strstr(e->last, "\r\nTenant: c1\r\n"));
	assert_null(strstr(e->last, "root"));
	assert_null(strcasestr(e->last, "X-Api-Key"));
	expect(f, KEYED("/open/a", "r2", "k1"), 2000, "done");
	assert_null(strcasestr(e->last, "Tenant"));
	assert_null(strcasestr(e->last, "X-Api-Key"));
}

static void
test_requests_without_a_valid_key(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);

	wait_until_ready(f);
	configure(f, CUSTOMERS("4", "\"k1\""), 4);
	expect(f, GET("/look/a", "r1"), 2000, "HTTP/1.1 401");
	expect(f, KEYED("/look/a", "r2", "k3"), 2000, "HTTP/1.1 401");
	expect(f, KEYED("/look/a", "r3", ""), 2000, "HTTP/1.1 401");
	expect(f, KEYED("/look/a", "r4", "k1\r\nX-Api-Key: k2"), 2000,
	    "HTTP/1.1 400");
	assert_int_equal(e->requests, 0);
	expect(f, GET("/open/a", "r5"), 2000, "done");
	configure(f, CUSTOMERS("5", "\"k3\""), 5);
	expect(f, KEYED("/look/a", "r6", "k1"), 2000, "HTTP/1.1 401");
	expect(f, KEYED("/look/a", "r7", "k3"), 2000, "done");
}

/* A daemon that has not heard from the store does not tell that a key is
 * unknown; it serves those that it knows for as long as it is told to. */
static void
test_old_configuration_judges_no_unknown_key(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;

	(void)add_endpoint(f, "app", s, 1);
	wait_until_ready(f);
	configure(f, CUSTOMERS("4", "\"k1\""), 4);
	f->mem->fault = MEM_BUSY;
	f->serve.conf.config_fresh_ms = 300;
	kit_run_ms(f->loop, 400);
	expect(f, KEYED("/look/a", "r1", "k9"), 2000, "HTTP/1.1 503");
	expect(f, KEYED("/look/a", "r2", "k1"), 2000, "done");
	f->serve.conf.key_trust_ms = 300;
	expect(f, KEYED("/look/a", "r3", "k1"), 2000, "HTTP/1.1 503");
}

/* A key that is taken away while its request is queued. */
static void
test_queued_request_is_judged_again(void **state)
{
	static const struct kit_step s[] = {{NULL, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);
	struct kit_caller *c[13];
	char text[160];
	int i;

	wait_until_ready(f);
	configure(f, CUSTOMERS("4", "\"k1\""), 4);
	for (i = 0; i < 13; i++) {
		(void)snprintf(text, sizeof(text),
		    "POST /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: o%d\r\n"
		    "X-Api-Key: k1\r\nContent-Length: 0\r\n\r\n",
		    i);
		c[i] = kit_caller_open(f->loop, f->addr, text);
	}
	assert_true(kit_until(f->loop, 1000, e->requests == 12));
	configure(f, CUSTOMERS("5", "\"k3\""), 5);
	kit_endpoint_kill(e);
	assert_true(kit_until(f->loop, 1500,
	    strstr(kit_caller_received(c[12]), "HTTP/1.1") != NULL));
	assert_non_null(strstr(kit_caller_received(c[12]), "HTTP/1.1 401"));
	assert_int_equal(e->requests, 12);
	for (i = 0; i < 13; i++)
		kit_caller_free(c[i]);
}

#define KEYED_TURN(id, key, more) \
	TURN("/chat/1", id, "X-Api-Key: " key "\r\n" more)

/* Two customers use the same ids; neither sees the other's turns. */
static void
test_turns_belong_to_their_customer(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);

	wait_until_ready(f);
	configure(f, CUSTOMERS("4", "\"k1\",\"k1b\""), 4);
	expect(f, KEYED_TURN("t1", "k1", ""), 2000, LAST_CHUNK);
	expect(f, KEYED_TURN("t2", "k4", "Previous-Turn: t1\r\n"), 2000,
	    "HTTP/1.1 404");
	expect(f, KEYED_TURN("t3", "k1b", "Previous-Turn: t1\r\n"), 2000,
	    LAST_CHUNK);
	assert_non_null(strstr(e->last, "t1piece 1\nt3"));
}

/* Guards against a caller who names another customer's turn by its stored id
 * and so continues that customer's conversation. */
static void
test_stored_id_of_a_turn_names_no_turn(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);

	wait_until_ready(f);
	expect(f, TURN("/chat/1", "t0", ""), 2000, LAST_CHUNK);
	configure(f, CUSTOMERS("4", "\"k1\",\"k1b\""), 4);
	expect(f, KEYED_TURN("t1", "k1", ""), 2000, LAST_CHUNK);
	expect(f, KEYED_TURN("t2", "k4", "Previous-Turn: @2:c1:t1\r\n"), 2000,
	    "HTTP/1.1 404");
	expect(f, KEYED_TURN("t3", "k1b", "Previous-Turn: @2:c1:t1\r\n"), 2000,
	    "HTTP/1.1 404");
	expect(f, KEYED_TURN("t4", "k4", "Previous-Turn: @0::t0\r\n"), 2000,
	    "HTTP/1.1 404");
	assert_int_equal(e->requests, 2);
}

/* Customers were removed from the configuration: callers without one don't
 * reach the turns of the customers of before by their stored ids. */
static void
test_stored_id_without_customers(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);
	char later[sizeof(config)];

	wait_until_ready(f);
	configure(f, CUSTOMERS("4", "\"k1\""), 4);
	expect(f, KEYED_TURN("t1", "k1", ""), 2000, LAST_CHUNK);
	memcpy(later, config, sizeof(config));
	*strchr(later, '3') = '5'; /* its version */
	configure(f, later, 5);
	expect(f, TURN("/chat/1", "t2", "Previous-Turn: @2:c1:t1\r\n"), 2000,
	    "HTTP/1.1 404");
	assert_int_equal(e->requests, 1);
}

/* A turn from the time before customers were configured is continued. */
static void
test_turn_of_no_customer_continues(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);

	wait_until_ready(f);
	expect(f, TURN("/chat/1", "t1", ""), 2000, LAST_CHUNK);
	configure(f, CUSTOMERS("4", "\"k1\""), 4);
	expect(f, KEYED_TURN("t2", "k1", "Previous-Turn: t1\r\n"), 2000,
	    LAST_CHUNK);
	expect(f, KEYED_TURN("t3", "k1", "Previous-Turn: t2\r\n"), 2000,
	    LAST_CHUNK);
	assert_non_null(strstr(e->last, "t1piece 1\nt2piece 1\nt3"));
}

/* Two requests of c2 run at once, four in a window; those that no endpoint ran
 * don't count. */
static void
test_rate_limit(void **state)
{
	static const struct kit_step s[] = {{REFUSAL, false, false},
	    {REFUSAL, false, false}, {PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 3);
	struct kit_caller *c;

	wait_until_ready(f);
	/* The daemon alone has counted for a whole window. */
	kit_run_ms(f->loop, 5300);
	configure(f, CUSTOMERS("4", "\"k1\""), 4);
	expect(f, KEYED("/look/a", "r1", "k2"), 2000, "HTTP/1.1 503");
	kit_run_ms(f->loop, 100);
	expect(f, KEYED("/look/a", "r2", "k2"), 2000, "HTTP/1.1 503");
	kit_run_ms(f->loop, 100);
	expect(f, KEYED("/look/a", "r3", "k2"), 2000, "done");
	expect(f, KEYED("/look/a", "r4", "k2"), 2000, "done");
	c = call(f, KEYED("/look/a", "r5", "k2"), 2000);
	assert_non_null(strstr(kit_caller_received(c), "HTTP/1.1 429"));
	assert_non_null(strstr(kit_caller_received(c), "Retry-After: "));
	kit_caller_free(c);
	expect(f, KEYED("/look/a", "r6", "k1"), 2000, "done");
	assert_int_equal(e->requests, 5);
}

/* Neither the parser nor the library counts this as an error of its own. */
static void
test_answer_with_an_impossible_status(void **state)
{
	static const struct kit_step s[] = {
	    {HEAD("42 Odd") "Content-Length: 4\r\n\r\ndone", false, false},
	    {HEAD("0 Odd") "Content-Length: 4\r\n\r\ndone", false, false},
	    {PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 3);

	wait_until_ready(f);
	expect(f, ORDER("o1"), 2000, "HTTP/1.1 502 ");
	expect(f, GET("/look/a", "r1"), 2000, "done");
	assert_int_equal(e->requests, 3);
}

/* Changes and stops while requests are in progress: each still ends with its
 * answer. */

#define CHANGE_REQUESTS 14 /* two more than the endpoint is sent */

/* Version 4 has neither the routes nor the services of version 3. */
static const char other_config[] =
    "{\"version\":4,\"routes\":["
    "{\"name\":\"new\",\"host\":\"h\",\"path_prefix\":\"/new/\","
    "\"type\":\"safe\",\"timeout_ms\":100,\"service\":\"new\"}],"
    "\"services\":[{\"name\":\"new\"}],"
    "\"limits\":{\"idle_timeout_ms\":15000}}";

static bool
has_answer(const struct kit_caller *c, const char *text)
{
	return strstr(kit_caller_received(c), text) != NULL;
}

/* Fills the endpoint with orders until some are queued. */
static void
open_orders(struct fixture *f, struct kit_endpoint *e,
    struct kit_caller *c[CHANGE_REQUESTS])
{
	char text[160];
	int i;

	for (i = 0; i < CHANGE_REQUESTS; i++) {
		(void)snprintf(text, sizeof(text),
		    "POST /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: o%d\r\n"
		    "Content-Length: 0\r\n\r\n",
		    i);
		c[i] = kit_caller_open(f->loop, f->addr, text);
	}
	assert_true(
	    kit_until(f->loop, 1000, e->requests == CHANGE_REQUESTS - 2));
	assert_int_equal(
	    mu_targets_group(&f->serve.targets, "app")->nwaiting, 2);
}

/* Answers the orders that the endpoint has, under their own ids. */
static void
answer_orders(struct kit_endpoint *e)
{
	char id[16];
	int i;

	for (i = 0; i < KIT_MAX_CONNS; i++) {
		(void)snprintf(id, sizeof(id), "o%d", i);
		if (e->conn[i].open)
			kit_send(e->conn[i].watch.fd, PLAIN, id);
	}
}

static unsigned
count_answers(struct kit_caller *c[CHANGE_REQUESTS], const char *text)
{
	unsigned n = 0;
	int i;

	for (i = 0; i < CHANGE_REQUESTS; i++)
		n += has_answer(c[i], text);
	return n;
}

static void
free_callers(struct kit_caller *c[CHANGE_REQUESTS])
{
	int i;

	for (i = 0; i < CHANGE_REQUESTS; i++)
		kit_caller_free(c[i]);
}

static void
test_removed_route_and_service_end_no_request(void **state)
{
	static const struct kit_step s[] = {{NULL, false, false}};
	static const struct kit_step t[] = {{CHUNKED PIECE("1"), false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);
	struct kit_endpoint *m = add_endpoint(f, "llm", t, 1);
	struct kit_caller *c[CHANGE_REQUESTS], *turn;

	wait_until_ready(f);
	turn = kit_caller_open(f->loop, f->addr, TURN("/check/1", "t1", ""));
	assert_true(kit_until(f->loop, 1000, has_answer(turn, "piece 1")));
	open_orders(f, e, c);
	configure(f, other_config, 4);
	kit_run_ms(f->loop, 50);
	answer_orders(e);
	kit_send(m->conn[0].watch.fd, PIECE("2") LAST_CHUNK, "");
	assert_true(kit_until(f->loop, 1000, has_answer(turn, LAST_CHUNK)));
	assert_true(kit_until(
	    f->loop, 1500, count_answers(c, "HTTP/1.1 ") == CHANGE_REQUESTS));
	assert_int_equal(count_answers(c, "done"), CHANGE_REQUESTS - 2);
	free_callers(c);
	kit_caller_free(turn);
}

/* The endpoint's entry: draining, then replaced by one that has restarted, then
 * gone. */
static void
test_changed_endpoint_ends_no_request(void **state)
{
	static const struct kit_step s[] = {{NULL, false, false}};
	static const char *const entries[] = {
	    "{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"east\","
	    "\"slots\":8,\"state\":\"draining\",\"sequence\":2}",
	    "{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"east\","
	    "\"slots\":8,\"state\":\"ready\",\"sequence\":3,\"born\":5}",
	    "{\"service\":\"new\",\"address\":\"%s\",\"zone\":\"east\","
	    "\"slots\":8,\"state\":\"ready\",\"sequence\":4,\"born\":6}"};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);
	struct kit_caller *c[CHANGE_REQUESTS];
	char row[512];
	int i;

	wait_until_ready(f);
	open_orders(f, e, c);
	for (i = 0; i < 3; i++) {
		(void)snprintf(row, sizeof(row), entries[i], e->addr);
		f->mem->ver++;
		mem_put(f->mem, "servers", "", "i-0", row, strlen(row));
		kit_run_ms(f->loop, 60);
	}
	answer_orders(e);
	assert_true(kit_until(
	    f->loop, 1500, count_answers(c, "HTTP/1.1 ") == CHANGE_REQUESTS));
	assert_int_equal(count_answers(c, "done"), CHANGE_REQUESTS - 2);
	free_callers(c);
}

/* Nothing is sent to the endpoint any more, and what was not sent is promised
 * not to run. */
static void
test_stop_answers_queued_requests(void **state)
{
	static const struct kit_step s[] = {{NULL, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);
	struct kit_caller *c[CHANGE_REQUESTS];

	wait_until_ready(f);
	open_orders(f, e, c);
	mu_in_drain(f->in);
	mu_call_end_all(&f->serve);
	assert_true(kit_until(
	    f->loop, 200, count_answers(c, "HTTP/1.1 ") == CHANGE_REQUESTS));
	assert_int_equal(count_answers(c, "HTTP/1.1 503 "), 2);
	assert_int_equal(
	    count_answers(c, "HTTP/1.1 502 "), CHANGE_REQUESTS - 2);
	assert_int_equal(e->requests, CHANGE_REQUESTS - 2);
	assert_int_equal(e->accepted, CHANGE_REQUESTS - 2);
	assert_true(kit_until(f->loop, 100, mu_in_requests(f->in) == 0));
	free_callers(c);
}

/* A request that a stopping daemon refuses is served at once by another one, if
 * there is one that serves. */
static void
test_stopping_daemon_sends_callers_elsewhere(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = *state;
	struct kit_caller *c;

	(void)add_endpoint(f, "app", s, 1);
	wait_until_ready(f);
	start_second(f);
	assert_true(kit_until(f->loop, 1000, peers_that_serve(&f->serve) == 1));
	mu_serve_drain(&f->serve, 100, 500); /* less than the route's limit */
	c = call_at(f, f->addr, ORDER("o1"), 300);
	assert_true(has_answer(c, "HTTP/1.1 503 "));
	assert_true(has_answer(c, "Retry-After: 0.001\r\n"));
	kit_caller_free(c);
	c = call_at(f, f->addr2, ORDER("o2"), 1000);
	assert_true(has_answer(c, "HTTP/1.1 200 "));
	kit_caller_free(c);
	mu_serve_drain(&f->serve2, 100, 500);
	assert_true(kit_until(f->loop, 500, peers_that_serve(&f->serve) == 0));
	c = call_at(f, f->addr, ORDER("o3"), 300);
	assert_true(has_answer(c, "Retry-After: 1.000\r\n"));
	kit_caller_free(c);
}

/* Of a turn whose budget and history are still being read, and of an order in
 * the turn of the loop in which it was read. */
static void
test_stop_answers_requests_not_sent_yet(void **state)
{
	static const struct kit_step s[] = {
	    {CHUNKED PIECE("1") LAST_CHUNK, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "llm", s, 1);
	struct kit_endpoint *a = add_endpoint(f, "app", s, 1);
	struct kit_caller *turn, *order;

	wait_until_lending(f);
	f->mem->fault = MEM_SILENT;
	turn = kit_caller_open(
	    f->loop, f->addr, TURN("/chat/1", "t1", "Previous-Turn: t0\r\n"));
	order = kit_caller_open(f->loop, f->addr, ORDER("o1"));
	assert_true(kit_until(f->loop, 200, mu_in_requests(f->in) == 2));
	mu_in_drain(f->in);
	mu_call_end_all(&f->serve);
	assert_true(kit_until(f->loop, 200,
	    has_answer(turn, "HTTP/1.1 ") && has_answer(order, "HTTP/1.1 ")));
	assert_true(has_answer(turn, "HTTP/1.1 503 "));
	assert_true(has_answer(order, "HTTP/1.1 503 ") || a->requests == 1);
	/* Until the daemon gives up what it asked the store for the turn. */
	kit_run_ms(f->loop, 1200);
	assert_int_equal(e->requests, 0);
	kit_caller_free(turn);
	kit_caller_free(order);
}

static void
test_queued_requests_end_in_time(void **state)
{
	static const struct kit_step s[] = {{NULL, false, false}};
	struct fixture *f = *state;
	struct kit_endpoint *e = add_endpoint(f, "app", s, 1);
	struct kit_caller *c[CHANGE_REQUESTS];

	wait_until_ready(f);
	open_orders(f, e, c);
	assert_true(kit_until(
	    f->loop, 1100, count_answers(c, "HTTP/1.1 ") == CHANGE_REQUESTS));
	assert_int_equal(count_answers(c, "HTTP/1.1 503 "), 2);
	assert_int_equal(
	    count_answers(c, "HTTP/1.1 504 "), CHANGE_REQUESTS - 2);
	free_callers(c);
}

/* The answer has the most bytes that are buffered, and the daemon is told to
 * stop while its caller takes them. */
static void
test_large_answer_at_a_stop(void **state)
{
	static const size_t len = (2 << 20) - 100;
	static char answer[(2 << 20) + 1000];
	struct fixture *f = *state;
	struct kit_step s[] = {{answer, false, false}};
	struct kit_caller *c;
	int n = snprintf(answer, sizeof(answer),
	    HEAD("200 OK") "Content-Length: %zu\r\n\r\n", len);
	int room = 1 << 22;
	struct kit_endpoint *e;

	memset(answer + n, 'x', len);
	e = add_endpoint(f, "app", s, 1);
	(void)setsockopt(
	    e->watch.fd, SOL_SOCKET, SO_SNDBUFFORCE, &room, sizeof(room));
	wait_until_ready(f);
	c = kit_caller_open(f->loop, f->addr, ORDER("o1"));
	mu_watch_set(f->loop, &c->watch, 0);
	assert_true(kit_until(f->loop, 1000, e->requests == 1));
	kit_run_ms(f->loop, 200);
	mu_in_drain(f->in);
	mu_call_end_all(&f->serve);
	mu_watch_set(f->loop, &c->watch, EPOLLIN);
	assert_true(
	    kit_until(f->loop, 2000, mu_buf_len(&c->in) > len || c->closed));
	assert_true(mu_buf_len(&c->in) > len);
	assert_true(kit_until(f->loop, 100, mu_in_requests(f->in) == 0));
	kit_caller_free(c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_plain_call_passes_through),
	    T(test_own_answers),
	    T(test_pieces_are_timed),
	    T(test_early_request_waits_for_the_configuration),
	    T(test_early_request_is_refused_during_a_store_outage),
	    T(test_not_run_goes_elsewhere),
	    T(test_refusal_written_once_more),
	    T(test_refusal_without_id_written_once_more),
	    T(test_success_without_id_on_a_kept_connection),
	    T(test_failure_that_looks_like_a_refusal),
	    T(test_order_runs_once),
	    T(test_timeout_after_sending_is_no_promise),
	    T(test_unsigned_success_is_a_failure),
	    T(test_turns_continue_and_keep_the_budget),
	    T(test_less_urgent_programs_are_refused_first),
	    T(test_configuration_switches_the_estimate),
	    T(test_end_waits_for_the_commit),
	    T(test_no_commit_no_end),
	    T(test_stream_is_resumed),
	    T(test_stream_without_ids_is_not_resumed),
	    T(test_stream_with_a_long_id_is_not_resumed),
	    T(test_unsigned_resumption_that_breaks_off),
	    T(test_unsigned_resumption_that_ends),
	    T(test_resumption_answered_with_a_failure),
	    T(test_resumption_answered_with_no_answer),
	    T(test_resumption_answered_without_length),
	    T(test_resumptions_that_all_fail),
	    T(test_resumption_that_is_refused),
	    T(test_unframed_answers),
	    T(test_unframed_refusal),
	    T(test_refusal_without_end),
	    T(test_unframed_stream),
	    T(test_unframed_stream_that_ends_in_an_event),
	    T(test_unframed_turn_that_ends_in_an_event),
	    T(test_stream_with_cr_lf),
	    T(test_stream_that_runs_once_is_cut),
	    T(test_caller_that_leaves_stops_the_endpoint),
	    T(test_program_begins_while_the_store_is_out),
	    T(test_stopping_daemon_begins_no_turn_on_a_remainder),
	    T(test_no_loan_before_all_daemons_are_known),
	    T(test_refused_in_time_when_the_store_is_out),
	    T(test_dead_endpoint_is_left_alone),
	    T(test_waits_without_requests_of_its_own),
	    T(test_lines_for_a_failed_request),
	    T(test_turn_keeps_its_reservation),
	    T(test_rejecting_endpoint_gets_no_more_requests),
	    T(test_orders_avoid_rejecting_endpoints),
	    T(test_overdue_lookup_is_asked_again_where_it_ran),
	    T(test_rejecting_endpoints_cause_no_quarantine),
	    T(test_same_input_in_another_conversation_after_a_crash),
	    T(test_same_page_after_a_crash),
	    T(test_order_that_crashes_endpoints_is_refused),
	    T(test_endpoint_is_tried_when_none_is_known_to_be_up),
	    T(test_turn_without_a_usage_is_whole),
	    T(test_slow_stream_is_not_cut),
	    T(test_trickle_ends_in_time),
	    T(test_endless_answer_of_an_unlisted_endpoint),
	    T(test_plain_answer_says_leaving),
	    T(test_failure_says_leaving),
	    T(test_refusal_says_leaving),
	    T(test_late_answer_says_leaving),
	    T(test_stream_says_leaving),
	    T(test_leaving_endpoint_ends_its_requests),
	    T(test_customer_is_named_to_the_endpoint),
	    T(test_requests_without_a_valid_key),
	    T(test_old_configuration_judges_no_unknown_key),
	    T(test_queued_request_is_judged_again),
	    T(test_turns_belong_to_their_customer),
	    T(test_stored_id_of_a_turn_names_no_turn),
	    T(test_stored_id_without_customers),
	    T(test_turn_of_no_customer_continues),
	    T(test_rate_limit),
	    T(test_answer_with_an_impossible_status),
	    T(test_removed_route_and_service_end_no_request),
	    T(test_changed_endpoint_ends_no_request),
	    T(test_stop_answers_queued_requests),
	    T(test_stop_answers_requests_not_sent_yet),
	    T(test_stopping_daemon_sends_callers_elsewhere),
	    T(test_queued_requests_end_in_time),
	    T(test_large_answer_at_a_stop),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
