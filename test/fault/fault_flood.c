/*
 * fault_flood.c -- endpoints whose answers go on without end.
 *
 * An endpoint begins an answer and then repeats a few bytes until the daemon
 * closes the connection, in each part of an answer in turn, for as many callers
 * as it has slots; or it stops shortly before a limit of the daemon, and keeps
 * the connection open.  The daemon must live, its peak of resident memory and
 * its descriptors must stay under a bound, and a request to another service
 * must be answered.  No times and no share of served requests are checked.
 */
#include "crowdkit.h"

#define CALLERS 40
#define SLOTS 48

#define PART_HEAD(status) \
	"HTTP/1.1 " status "\r\nRequest-Id: $ID\r\nServer-Signature: s\r\n"
#define PART_CHUNKS PART_HEAD("200 OK") "Transfer-Encoding: chunked\r\n\r\n"
#define PART_UNFRAMED PART_HEAD("200 OK") "\r\n"
#define PART_HUGE \
	PART_HEAD("200 OK") "Content-Length: 9000000000000000000\r\n\r\n"
#define PART_REFUSED PART_HEAD("503 Busy") "Not-Executed: 1\r\n\r\n"
/* Below the daemon's limits of an event and of a turn's record. */
#define MOST_EVENT_BYTES 1000000
#define MOST_TURN_BYTES 4500000
#define X50 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
#define X1000 \
	X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 X50 \
	    X50 X50 X50
#define LONG_LINE "data: " X1000 X1000 X1000 X1000 "\n"
#define LONG_EVENT_BYTES (sizeof(LONG_LINE))
#define FIRST_EVENT "id: 1\ndata: one\n\n"

struct flood {
	const char *path;
	const char *head; /* of the answer, with what comes before the flood */
	const char *endless;
	const char *first; /* answer to each caller's first attempt, cut then */
	size_t most; /* bytes of the flood for each caller; 0: no end */
	size_t block; /* bytes at a time, so that callers keep up; 0: any */
};

/* Makes the endpoint answer with the flood from now on. */
static void
arm(struct kit_endpoint *e, const struct flood *f, struct kit_step *steps)
{
	unsigned i, n = 0;

	for (i = 0; f->first != NULL && i < CALLERS; i++)
		steps[n++] = (struct kit_step){f->first, false, true};
	steps[n++] = (struct kit_step){f->head, false, false};
	e->steps = steps;
	e->nsteps = n;
	e->requests = 0;
	e->endless = f->endless;
	e->endless_most = f->most;
	e->endless_block = f->block;
}

/* Opens the endpoint of the service and waits until the daemon uses it. */
static struct kit_endpoint *
open_flood(void)
{
	static const struct kit_step plain = {
	    PART_HEAD("200 OK") "Content-Length: 0\r\n\r\n", false, false};
	struct kit_endpoint *e = kit_endpoint(t.loop, &plain, 1);
	char row[512], request[256];
	int tries, status = 0;

	(void)snprintf(row, sizeof(row),
	    "{\"service\":\"flood\",\"address\":\"%s\",\"zone\":\"z\","
	    "\"slots\":%d,\"state\":\"ready\",\"sequence\":1}",
	    e->addr, SLOTS);
	put_row("servers", "i-1", row);
	for (tries = 0; status != 200 && tries < TRIES; tries++) {
		(void)snprintf(request, sizeof(request),
		    "POST /flood-order/1 HTTP/1.1\r\nHost: h\r\n"
		    "Request-Id: w%d\r\nContent-Length: 0\r\n\r\n",
		    tries);
		status = ask(request);
		if (status != 200)
			kit_run_ms(t.loop, 50);
	}
	assert_int_equal(status, 200);
	return e;
}

static void
run_flood(const char *name, const struct flood *f)
{
	struct kit_step steps[CALLERS + 1];
	struct kit_endpoint *e = open_flood();
	struct load l = {.name = name,
	    .clients = CALLERS,
	    .path = f->path,
	    .framing = "Content-Length: 0\r\n",
	    .block = "",
	    .block_len = 1};

	arm(e, f, steps);
	run_load(&l);
	assert_true(e->requests >= CALLERS);
	check_daemon(name, CALLERS);
	kit_endpoint_free(e);
}

/* Each guards against a daemon that keeps what an endpoint sends in this part
 * of an answer, until the memory of its host ends. */
#define FLOOD_OF(name, path, head, endless, first, most, block) \
	static void test_##name(void **state) \
	{ \
		static const struct flood f = { \
		    path, head, endless, first, most, block}; \
\
		(void)state; \
		run_flood(#name, &f); \
	}
#define FLOOD(name, path, head, endless, first) \
	FLOOD_OF(name, path, head, endless, first, 0, 0)

/* Before and within the head. */
FLOOD(bytes_that_are_no_answer, "/flood-order/1", "", "x", NULL)
FLOOD(empty_lines, "/flood-order/1", "", "\r\n", NULL)
FLOOD(status_digits, "/flood-order/1", "HTTP/1.1 ", "2", NULL)
FLOOD(reason, "/flood-order/1", "HTTP/1.1 200 ", "x", NULL)
FLOOD(header_name, "/flood-order/1", PART_HEAD("200 OK"), "x", NULL)
FLOOD(header_value, "/flood-order/1", PART_HEAD("200 OK") "X: ", "x", NULL)
FLOOD(headers, "/flood-order/1", PART_HEAD("200 OK"), "X: y\r\n", NULL)
FLOOD(folded_header, "/flood-order/1", PART_HEAD("200 OK") "X: y\r\n", " y\r\n",
    NULL)
FLOOD(interim_answers, "/flood-order/1", "", "HTTP/1.1 103 Hints\r\n\r\n", NULL)
FLOOD(foreign_answers, "/flood-order/1", "",
    "HTTP/1.1 200 OK\r\nRequest-Id: no\r\nContent-Length: 0\r\n\r\n", NULL)

/* Within a body that is buffered. */
FLOOD(body_without_length, "/flood-order/1", PART_UNFRAMED, "x", NULL)
FLOOD(body_of_huge_length, "/flood-order/1", PART_HUGE, "x", NULL)
FLOOD(body_in_chunks, "/flood-order/1", PART_CHUNKS, "4\r\nbody\r\n", NULL)
FLOOD(lookup, "/flood-look/1", PART_UNFRAMED, "x", NULL)
FLOOD(body_of_a_failure, "/flood-chat/1", PART_HEAD("500 No") "\r\n", "x", NULL)
FLOOD(body_of_a_refusal, "/flood-order/1", PART_REFUSED, "x", NULL)
FLOOD(body_of_a_foreign_answer, "/flood-order/1",
    "HTTP/1.1 200 OK\r\nRequest-Id: no\r\n\r\n", "x", NULL)
FLOOD(chunk_size, "/flood-order/1", PART_CHUNKS, "0", NULL)
FLOOD(chunk_extension, "/flood-order/1", PART_CHUNKS "4;", "x", NULL)
FLOOD(trailers, "/flood-order/1", PART_CHUNKS "0\r\n", "X: y\r\n", NULL)

/* Within a stream. */
FLOOD(line_of_a_stream, "/flood-chat/1", PART_UNFRAMED "data: ", "x", NULL)
FLOOD(event_of_a_stream, "/flood-chat/1", PART_UNFRAMED,
    "data: a line of an event that does not end\n", NULL)
FLOOD(comments_in_a_stream, "/flood-chat/1", PART_UNFRAMED, ":x\n", NULL)
FLOOD(id_of_an_event, "/flood-chat/1", PART_UNFRAMED "id: ", "1", NULL)
FLOOD(
    events_of_a_stream, "/flood-chat/1", PART_UNFRAMED, "data: event\n\n", NULL)
FLOOD(events_of_a_turn, "/flood-turn/1", PART_UNFRAMED, "data: event\n\n", NULL)
FLOOD(line_of_a_turn, "/flood-turn/1", PART_UNFRAMED "data: ", "x", NULL)
FLOOD(line_of_a_resumed_stream, "/flood-check/1", PART_UNFRAMED "data: ", "x",
    PART_UNFRAMED FIRST_EVENT)
FLOOD(events_of_a_resumed_stream, "/flood-check/1", PART_UNFRAMED,
    "id: 2\ndata: two\n\n", PART_UNFRAMED FIRST_EVENT)
FLOOD(head_of_a_resumed_stream, "/flood-check/1",
    PART_HEAD("200 OK") "X: ", "x", PART_UNFRAMED FIRST_EVENT)

/* As above, up to a limit of the daemon for one answer or one event. */
FLOOD_OF(
    most_of_a_body, "/flood-order/1", PART_UNFRAMED, "x", NULL, ANSWER_BYTES, 0)
FLOOD_OF(most_of_a_failure, "/flood-chat/1", PART_HEAD("500 No") "\r\n", "x",
    NULL, ANSWER_BYTES, 0)
FLOOD_OF(most_of_a_line, "/flood-chat/1", PART_UNFRAMED "data: ", "x", NULL,
    MOST_EVENT_BYTES, 0)
FLOOD_OF(most_of_an_event, "/flood-chat/1", PART_UNFRAMED, LONG_LINE, NULL,
    MOST_EVENT_BYTES, 0)
FLOOD_OF(most_of_an_id, "/flood-chat/1", PART_UNFRAMED "id: ", "1", NULL,
    MOST_EVENT_BYTES, 0)
FLOOD_OF(most_of_a_comment, "/flood-chat/1", PART_UNFRAMED ":", "x", NULL,
    MOST_EVENT_BYTES, 0)
FLOOD_OF(most_of_a_resumed_line, "/flood-check/1", PART_UNFRAMED "data: ", "x",
    PART_UNFRAMED FIRST_EVENT, MOST_EVENT_BYTES, 0)
/* Events that their callers take, of turns whose record must hold them. */
FLOOD_OF(most_of_a_turn, "/flood-turn/1", PART_UNFRAMED, LONG_LINE "\n", NULL,
    MOST_TURN_BYTES, LONG_EVENT_BYTES)
FLOOD_OF(large_events_of_a_turn, "/flood-turn/1", PART_UNFRAMED, LONG_LINE "\n",
    NULL, 0, LONG_EVENT_BYTES)

/* With an argument only that test runs, as test_lookup. */
int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
#define T(name) cmocka_unit_test_setup_teardown(test_##name, setup, teardown)
	    T(bytes_that_are_no_answer),
	    T(empty_lines),
	    T(status_digits),
	    T(reason),
	    T(header_name),
	    T(header_value),
	    T(headers),
	    T(folded_header),
	    T(interim_answers),
	    T(foreign_answers),
	    T(body_without_length),
	    T(body_of_huge_length),
	    T(body_in_chunks),
	    T(lookup),
	    T(body_of_a_failure),
	    T(body_of_a_refusal),
	    T(body_of_a_foreign_answer),
	    T(chunk_size),
	    T(chunk_extension),
	    T(trailers),
	    T(line_of_a_stream),
	    T(event_of_a_stream),
	    T(comments_in_a_stream),
	    T(id_of_an_event),
	    T(events_of_a_stream),
	    T(events_of_a_turn),
	    T(line_of_a_turn),
	    T(line_of_a_resumed_stream),
	    T(events_of_a_resumed_stream),
	    T(head_of_a_resumed_stream),
	    T(most_of_a_body),
	    T(most_of_a_failure),
	    T(most_of_a_line),
	    T(most_of_an_event),
	    T(most_of_an_id),
	    T(most_of_a_comment),
	    T(most_of_a_resumed_line),
	    T(most_of_a_turn),
	    T(large_events_of_a_turn),
#undef T
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
