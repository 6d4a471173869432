/*
 * test_answers.c -- answers of endpoints that are cut, or that are unusual in
 * their status or headers, through the whole serving path: what the caller gets
 * is the endpoint's whole answer, or no success.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "adapter.h"
#include "memstore.h"
#include "sockkit.h"

#define ANSWER_LIMIT_MS 3000
#define STALLS_AT_ONCE 60 /* requests, below KIT_MAX_CONNS and the slots */
#define HEAD(status) \
	"HTTP/1.1 " status "\r\nRequest-Id: $ID\r\nServer-Signature: s1\r\n"
#define PLAIN HEAD("200 OK") "Content-Length: 4\r\n\r\ndone"
#define EVENT(n) "id: " n "\ndata: piece " n "\n\n" /* 21 bytes (0x15) */
#define PIECE(n) "15\r\n" EVENT(n) "\r\n"
#define CHUNKED HEAD("200 OK") "Transfer-Encoding: chunked\r\n\r\n"
#define STREAM CHUNKED PIECE("1") PIECE("2") PIECE("3") "0\r\n\r\n"

/* Routes for answers that never end, with short limits. */
#define STALL_ROUTE(name, type) \
	"{\"name\":\"stall-" name "\",\"host\":\"h\"," \
	"\"path_prefix\":\"/stall-" name "/\",\"type\":\"" type "\"," \
	"\"timeout_ms\":100,\"service\":\"app\""

static const char config[] =
    "{\"version\":3,\"routes\":["
    "{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\","
    "\"type\":\"streaming\",\"timeout_ms\":300,\"service\":\"app\","
    "\"keeps_history\":true,\"retention_s\":60},"
    "{\"name\":\"talk\",\"host\":\"h\",\"path_prefix\":\"/talk/\","
    "\"type\":\"streaming\",\"timeout_ms\":300,\"service\":\"app\"},"
    "{\"name\":\"check\",\"host\":\"h\",\"path_prefix\":\"/check/\","
    "\"type\":\"streaming\",\"timeout_ms\":300,\"service\":\"app\","
    "\"resumable\":true},"
    "{\"name\":\"look\",\"host\":\"h\",\"path_prefix\":\"/look/\","
    "\"type\":\"safe\",\"timeout_ms\":300,\"service\":\"app\","
    "\"max_attempts\":3}," STALL_ROUTE("chat",
	"streaming") ",\"keeps_history\":true,"
		     "\"retention_s\":60}," STALL_ROUTE(
			 "talk", "streaming") "}," STALL_ROUTE("check",
			 "streaming") ",\"resumable\":true}," STALL_ROUTE("loo"
									  "k",
			 "safe") "}," STALL_ROUTE("order",
			 "unsafe") "},"
				   "{\"name\":\"order\",\"host\":\"h\",\"path_"
				   "prefix\":\"/order/\","
				   "\"type\":\"unsafe\",\"timeout_ms\":300,"
				   "\"service\":\"app\"}],"
				   "\"services\":[{\"name\":\"app\",\"engine\":"
				   "{\"chunk_tokens\":17}}],"
				   "\"limits\":{\"idle_timeout_ms\":15000}}";

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct mu_serve serve;
	struct mu_inbound *in;
	char addr[MU_ADDR_LEN];
	char mesh[MU_ADDR_LEN];
	struct kit_endpoint *end;
	unsigned ncalls; /* gives each request a path that no other has */
};

static bool
may_accept(void *arg)
{
	return mu_serve_may_accept(arg);
}

static void
start_daemon(struct fixture *f)
{
	struct mu_store_backend b = mem_backend(f->mem, f->loop);
	struct mu_in_conf c = {0};
	struct mu_error e = {0};

	kit_unused_addr(f->addr);
	kit_unused_addr(f->mesh);
	f->serve.adapter = &pf_adapter;
	f->serve.conf.host = "d1";
	f->serve.conf.domain = "east";
	f->serve.conf.incarnation = 77;
	f->serve.conf.caller_addr = f->addr;
	f->serve.conf.mesh_addr = f->mesh;
	f->serve.conf.config_fresh_ms = 5000;
	f->serve.conf.limit_window_ms = 5000;
	assert_int_equal(mu_serve_open(&f->serve, f->loop, &b, &e), 0);
	c.listen = f->addr;
	c.max_body = 1 << 20;
	c.max_connections = 100;
	c.idle_s = 5;
	c.hooks.arg = &f->serve;
	c.hooks.request = pf_on_caller_request;
	c.hooks.closed = pf_on_caller_closed;
	c.hooks.may_accept = may_accept;
	assert_int_equal(mu_in_open(&f->in, f->loop, &c, &e), 0);
}

static int
setup(void **state)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct fixture *f = calloc(1, sizeof(*f));
	char row[512];

	mu_clock_real(&f->clock);
	f->loop = mu_loop_new(&f->clock);
	f->mem = calloc(1, sizeof(*f->mem));
	f->mem->ver = 1;
	(void)mem_backend(f->mem, f->loop);
	mem_put(f->mem, "op", "", "config", config, strlen(config));
	f->end = kit_endpoint(f->loop, s, 1);
	(void)snprintf(row, sizeof(row),
	    "{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"east\","
	    "\"slots\":64,\"state\":\"ready\",\"sequence\":1}",
	    f->end->addr);
	mem_put(f->mem, "servers", "", "i-0", row, strlen(row));
	start_daemon(f);
	assert_true(kit_until(f->loop, ANSWER_LIMIT_MS,
	    mu_serve_ready(&f->serve) && f->serve.targets.by_name.count == 1));
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	kit_run_ms(f->loop, 200);
	mu_in_close(f->in);
	mem_cancel_pending(f->mem);
	mu_serve_close(&f->serve);
	kit_endpoint_free(f->end);
	mem_free(f->mem);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

/* Makes the endpoint answer with these steps, and the daemon forget its
 * failures. */
static void
script(struct fixture *f, const struct kit_step *steps, unsigned n)
{
	struct mu_group *g = mu_targets_group(&f->serve.targets, "app");
	struct mu_target *x =
	    cds_list_first_entry(&g->targets, struct mu_target, in_group);

	mu_health_init(&x->health);
	x->full_until = x->down_until = x->suspect_until = 0;
	x->unreachable_at = 0;
	x->pool->reuse_limit = MU_US_PER_S;
	f->end->steps = steps;
	f->end->nsteps = n;
	f->end->requests = 0;
}

/* What a caller has got. */
struct seen {
	int status; /* 0: no whole head */
	bool whole; /* the answer ends where its framing says */
	char head[1024];
	char body[1024];
	size_t nbody; /* bytes after the head */
};

/* Copies the chunks' data; false if there is no last chunk. */
static bool
read_chunks(const char *p, const char *end, struct seen *out)
{
	size_t size, n = 0;
	char *data;

	while (p < end) {
		size = strtoul(p, &data, 16);
		data = strstr(data, "\r\n");
		if (data == NULL || data + 2 + size + 2 > end)
			return false;
		assert_true(n + size < sizeof(out->body));
		memcpy(out->body + n, data + 2, size);
		n += size;
		if (size == 0)
			return true;
		p = data + 2 + size + 2;
	}
	return false;
}

static void
look_at(const struct kit_caller *c, struct seen *out)
{
	const char *text = kit_caller_received(c), *p, *body;
	size_t len = mu_buf_len(&c->in), n;
	char value[32];

	memset(out, 0, sizeof(*out));
	body = strstr(text, "\r\n\r\n");
	if (body == NULL)
		return;
	(void)snprintf(
	    out->head, sizeof(out->head), "%.*s", (int)(body - text + 2), text);
	assert_int_equal(sscanf(text, "HTTP/1.%*c %d", &out->status), 1);
	body += 4;
	n = out->nbody = len - (size_t)(body - text);
	if (out->status == 204 || out->status == 304) {
		out->whole = true;
		return;
	}
	if (kit_header(out->head, "Transfer-Encoding", value, sizeof(value))) {
		out->whole = read_chunks(body, text + len, out);
		return;
	}
	(void)snprintf(out->body, sizeof(out->body), "%s", body);
	if (kit_header(out->head, "Content-Length", value, sizeof(value)))
		out->whole = n >= strtoul(value, NULL, 10);
	else
		out->whole = c->closed;
	p = strstr(body, "HTTP/1.1");
	assert_null(p); /* nothing follows an answer */
}

/* Kinds of requests. */
struct request_class {
	const char *name;
	const char *request; /* with the number of the request as %u twice */
	bool stream;
	bool repeated; /* after a cut, until there is a whole answer */
};

#define POST(path) \
	"POST " path "%u HTTP/1.1\r\nHost: h\r\nRequest-Id: r%u\r\n" \
	"Content-Length: 3\r\n\r\nkit"

static const struct request_class order = {
    "order", POST("/order/"), false, false};
static const struct request_class lookup = {"lookup",
    "GET /look/%u HTTP/1.1\r\nHost: h\r\nRequest-Id: r%u\r\n\r\n", false, true};
static const struct request_class talk = {
    "stream", POST("/talk/"), true, false};
static const struct request_class resumable = {
    "resumable stream", POST("/check/"), true, true};
static const struct request_class turn = {"turn", POST("/chat/"), true, false};

static struct kit_caller *
start_call(struct fixture *f, const struct request_class *class)
{
	char text[512];
	unsigned n = f->ncalls++;

	(void)snprintf(text, sizeof(text), class->request, n, n);
	return kit_caller_open(f->loop, f->addr, text);
}

static void
call(struct fixture *f, const struct request_class *class, struct seen *out)
{
	struct kit_caller *c = start_call(f, class);

	(void)kit_until(f->loop, ANSWER_LIMIT_MS,
	    (look_at(c, out), c->closed || out->whole));
	kit_caller_free(c);
}

/* An answer of an endpoint. */
struct form {
	const char *text;
	bool ends_with_connection;
};

static const struct form plain_forms[] = {
    {PLAIN, false},
    {HEAD("200 OK") "Transfer-Encoding: chunked\r\n\r\n"
		    "2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n",
	false},
    {HEAD("200 OK") "\r\ndone", true},
    {"HTTP/1.1 100 Continue\r\n\r\n" HEAD(
	 "200 OK") "content-length: 4\r\n\r\ndone",
	false},
};

static const struct form stream_forms[] = {
    {STREAM, false},
    {HEAD("200 OK") "Content-Length: 63\r\n\r\n" EVENT("1") EVENT("2")
	    EVENT("3"),
	false},
    {HEAD("200 OK") "\r\n" EVENT("1") EVENT("2") EVENT("3"), true},
};

/* Whether the endpoint, by what the protocol says, has answered whole.  A body
 * that ends with its connection may be shorter than it was meant to be, but a
 * stream doesn't end within an event. */
static bool
endpoint_answered(const struct form *form, size_t n, bool reset, bool stream)
{
	const char *body = strstr(strstr(form->text, "200 OK"), "\r\n\r\n") + 4;
	size_t in_body;

	if (!form->ends_with_connection)
		return n == strlen(form->text);
	if (reset || form->text + n < body)
		return false;
	in_body = (size_t)(form->text + n - body);
	return !stream || in_body % strlen(EVENT("1")) == 0;
}

static unsigned
events_in(const char *text, size_t n)
{
	static const char *const events[] = {
	    EVENT("1"), EVENT("2"), EVENT("3")};
	unsigned i;

	for (i = 0; i < 3; i++)
		if (memmem(text, n, events[i], strlen(events[i])) == NULL)
			break;
	return i;
}

/* The rest of a stream after its first events, as the endpoint resumes it. */
static const char *const rest_of_stream[] = {STREAM,
    CHUNKED PIECE("2") PIECE("3") "0\r\n\r\n", CHUNKED PIECE("3") "0\r\n\r\n",
    CHUNKED "0\r\n\r\n"};

static const char whole_stream[] = EVENT("1") EVENT("2") EVENT("3");

/* Checks what the caller got when the endpoint sent the first n bytes. */
static void
check_seen(struct fixture *f, const struct request_class *class,
    const struct form *form, size_t n, bool answered, const struct seen *seen)
{
	const char *meant = class->stream ? whole_stream : "done";
	bool success = seen->status / 100 == 2 && seen->whole, right;

	if (class->repeated || answered)
		right = success;
	else
		right = !success;
	if (form->ends_with_connection && answered)
		meant = strstr(strstr(form->text, "200 OK"), "\r\n\r\n") + 4;
	if (success && form->ends_with_connection && answered)
		right = right && strncmp(seen->body, meant,
				     (size_t)(form->text + n - meant)) == 0;
	else if (success)
		right = right && strcmp(seen->body, meant) == 0;
	if (success)
		right = right && strstr(seen->head, "Server-Signature: s1");
	else if (class->stream && seen->status == 200)
		right = right && strncmp(seen->body, whole_stream,
				     strlen(seen->body)) == 0;
	else
		right = right && (seen->status == 502 || seen->status == 504);
	if (!class->repeated)
		right = right && f->end->requests == 1;
	if (!right)
		fail_msg("%s, %zu bytes of:\n%s\ngave %s%s", class->name, n,
		    form->text, seen->head, seen->body);
}

static void
check_cut(struct fixture *f, const struct request_class *class,
    const struct form *form, size_t n, bool reset)
{
	const char *rest = PLAIN;
	char *text = strndup(form->text, n);
	struct kit_step s[2] = {{text, !reset, reset}};
	struct seen seen;

	if (class->stream)
		rest = rest_of_stream[events_in(text, n)];
	s[1].answer = rest;
	script(f, s, class->repeated ? 2 : 1);
	call(f, class, &seen);
	check_seen(f, class, form, n,
	    endpoint_answered(form, n, reset, class->stream), &seen);
	free(text);
}

/* Leaves a kept connection to the endpoint. */
static void
keep_connection(struct fixture *f)
{
	static const struct kit_step s[] = {{PLAIN, false, false}};
	struct seen seen;

	script(f, s, 1);
	call(f, &lookup, &seen);
	assert_string_equal(seen.body, "done");
}

static void
check_cuts(struct fixture *f, const struct request_class *class)
{
	const struct form *form = class->stream ? stream_forms : plain_forms;
	size_t nforms = class->stream
			    ? sizeof(stream_forms) / sizeof(*stream_forms)
			    : sizeof(plain_forms) / sizeof(*plain_forms);
	size_t n, cuts = 0;

	for (; nforms > 0; nforms--, form++)
		for (n = 0; n <= strlen(form->text); n++, cuts += 3) {
			check_cut(f, class, form, n, false);
			check_cut(f, class, form, n, true);
			keep_connection(f);
			check_cut(f, class, form, n, false);
		}
	print_message("%zu cuts\n", cuts);
}

/* Guards against an order that runs again, or is answered as if it had been
 * done, after an endpoint's answer was cut. */
static void
test_order_with_a_cut_answer(void **state)
{
	check_cuts(*state, &order);
}

static void
test_lookup_with_a_cut_answer(void **state)
{
	check_cuts(*state, &lookup);
}

static void
test_cut_stream_looks_cut(void **state)
{
	check_cuts(*state, &talk);
}

static void
test_cut_stream_is_resumed_without_a_gap(void **state)
{
	check_cuts(*state, &resumable);
}

static void
test_cut_turn_looks_cut(void **state)
{
	check_cuts(*state, &turn);
}

static const struct request_class stalled_order = {
    "order", POST("/stall-order/"), false, false};
static const struct request_class stalled_lookup = {"lookup",
    "GET /stall-look/%u HTTP/1.1\r\nHost: h\r\nRequest-Id: r%u\r\n\r\n", false,
    true};
static const struct request_class stalled_talk = {
    "stream", POST("/stall-talk/"), true, false};
static const struct request_class stalled_resumable = {
    "resumable stream", POST("/stall-check/"), true, true};
static const struct request_class stalled_turn = {
    "turn", POST("/stall-chat/"), true, false};

/* Runs requests at once whose answers stop after the given numbers of bytes and
 * stay open. */
static void
check_stalls(struct fixture *f, const struct request_class *class,
    const struct form *form, size_t from, size_t n)
{
	struct kit_step s[STALLS_AT_ONCE] = {0};
	struct kit_caller *c[STALLS_AT_ONCE];
	struct seen seen;
	size_t i;

	for (i = 0; i < n; i++)
		s[i].answer = strndup(form->text, from + i);
	script(f, s, (unsigned)n);
	for (i = 0; i < n; i++)
		c[i] = start_call(f, class);
	for (i = 0; i < n; i++) {
		assert_true(kit_until(f->loop, ANSWER_LIMIT_MS,
		    (look_at(c[i], &seen), c[i]->closed || seen.whole)));
		if (seen.status / 100 == 2)
			assert_false(seen.whole);
		else
			assert_int_equal(seen.status, 504);
		assert_true(
		    strncmp(seen.body, whole_stream, strlen(seen.body)) == 0 ||
		    seen.status == 504);
	}
	assert_int_equal(f->end->requests, n);
	for (i = 0; i < n; i++) {
		kit_caller_free(c[i]);
		free((char *)(uintptr_t)s[i].answer);
	}
}

/* Guards against part of an answer that stalls taken as whole. */
static void
test_stalled_answer_is_not_whole(void **state)
{
	static const struct request_class *const classes[] = {&stalled_order,
	    &stalled_lookup, &stalled_talk, &stalled_resumable, &stalled_turn};
	const struct form *form;
	struct fixture *f = *state;
	size_t i, n, len, nforms, stalls = 0;

	for (i = 0; i < sizeof(classes) / sizeof(*classes); i++) {
		form = classes[i]->stream ? stream_forms : plain_forms;
		nforms = classes[i]->stream
			     ? sizeof(stream_forms) / sizeof(*stream_forms)
			     : sizeof(plain_forms) / sizeof(*plain_forms);
		for (; nforms > 0; nforms--, form++) {
			/* An open connection never ends the answer. */
			len = strlen(form->text) + form->ends_with_connection;
			for (n = 0; n < len; n += STALLS_AT_ONCE)
				check_stalls(f, classes[i], form, n,
				    len - n < STALLS_AT_ONCE ? len - n
							     : STALLS_AT_ONCE);
			stalls += len;
		}
	}
	print_message("%zu stalls\n", stalls);
}

/* What a caller gets for a request whose endpoint sends this answer. */
static void
ask(struct fixture *f, const char *request, const char *answer, bool close,
    struct seen *out)
{
	struct kit_step s[] = {{answer, close, false}};
	struct kit_caller *c;

	script(f, s, 1);
	c = kit_caller_open(f->loop, f->addr, request);
	(void)kit_until(f->loop, ANSWER_LIMIT_MS,
	    (look_at(c, out), c->closed || out->whole));
	kit_run_ms(f->loop, 5); /* for bytes after the answer */
	look_at(c, out);
	kit_caller_free(c);
}

/* Guards against HEAD answered after the time limit, and against bytes of a
 * body behind its answer, which the caller takes for the next one. */
static void
test_head_has_no_body(void **state)
{
	static const char *const paths[] = {"look", "talk", "check", "chat"};
	static const char *const answers[] = {
	    HEAD("200 OK") "Content-Length: 4\r\n\r\n",
	    HEAD("200 OK") "Transfer-Encoding: chunked\r\n\r\n",
	    HEAD("200 OK") "\r\n"};
	struct fixture *f = *state;
	char request[256];
	struct seen seen;
	unsigned i, j;

	for (i = 0; i < sizeof(paths) / sizeof(*paths); i++)
		for (j = 0; j < sizeof(answers) / sizeof(*answers); j++) {
			(void)snprintf(request, sizeof(request),
			    "HEAD /%s/%u HTTP/1.1\r\nHost: h\r\n"
			    "Request-Id: r1\r\n\r\n",
			    paths[i], f->ncalls++);
			ask(f, request, answers[j], false, &seen);
			assert_int_equal(seen.status, 200);
			assert_non_null(
			    strstr(seen.head, "Server-Signature: s1"));
			assert_int_equal(seen.nbody, 0);
		}
}

#define LOOKUP "GET /look/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\n"
#define ORDER \
	"POST /order/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n" \
	"Content-Length: 3\r\n\r\nkit"
#define TALK(version, more) \
	"POST /talk/x HTTP/" version "\r\nHost: h\r\nRequest-Id: r1\r\n" more \
	"Content-Length: 3\r\n\r\nkit"
#define EMPTY_DIGEST \
	"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nServer-Signature: \r\n"

/* Guards against a success without a digest: an empty one is none. */
static void
test_empty_digest_is_none(void **state)
{
	struct fixture *f = *state;
	struct seen seen;

	ask(f, ORDER, EMPTY_DIGEST "Content-Length: 4\r\n\r\ndone", false,
	    &seen);
	assert_int_equal(seen.status, 502);
	ask(f, TALK("1.1", ""),
	    EMPTY_DIGEST
	    "Transfer-Encoding: chunked\r\n\r\n" PIECE("1") "0\r\n\r\n",
	    false, &seen);
	assert_int_equal(seen.status, 502);
}

/* Guards against a status, body or digest that is changed on the way. */
static void
test_answer_is_passed_on_unchanged(void **state)
{
	struct fixture *f = *state;
	char answer[512];
	struct seen seen;
	unsigned status;

	for (status = 200; status < 600; status++) {
		if (status == 204 || status == 304 || status == 408 ||
		    status == 421 || status == 429 || status == 503)
			continue;
		(void)snprintf(answer, sizeof(answer),
		    "HTTP/1.1 %u Name\r\nRequest-Id: $ID\r\n"
		    "Server-Signature: a\tb  c\r\nServer-Signature: s2\r\n"
		    "Content-Length: 4\r\n\r\ndone",
		    status);
		ask(f, ORDER, answer, false, &seen);
		assert_int_equal(seen.status, status);
		assert_true(seen.whole);
		assert_string_equal(seen.body, "done");
		assert_non_null(
		    strstr(seen.head, "Server-Signature: a\tb  c\r\n"));
		assert_non_null(strstr(seen.head, "Server-Signature: s2\r\n"));
	}
}

/* Guards against an answer with a status that HTTP doesn't have (RFC 9110, 15):
 * an order fails, and a lookup is sent again. */
static void
test_status_that_http_has_not(void **state)
{
	static const char *const statuses[] = {"000", "0", "099", "0200", "101",
	    "600", "657", "714", "999", "1000"};
	struct fixture *f = *state;
	char answer[512];
	struct seen seen;
	unsigned i;

	for (i = 0; i < sizeof(statuses) / sizeof(*statuses); i++) {
		(void)snprintf(answer, sizeof(answer),
		    "HTTP/1.1 %s Name\r\nRequest-Id: $ID\r\n"
		    "Server-Signature: s1\r\nContent-Length: 4\r\n\r\ndone",
		    statuses[i]);
		ask(f, ORDER, answer, false, &seen);
		assert_int_equal(seen.status, 502);
		assert_null(strstr(seen.head, "Server-Signature"));
		assert_null(strstr(seen.body, "done"));
		ask(f, LOOKUP, answer, false, &seen);
		assert_int_equal(seen.status, 502);
		assert_true(f->end->requests > 1);
	}
}

/* As above, for those that have no body.  These may have a length. */
static void
test_answer_without_body_is_passed_on(void **state)
{
	static const int statuses[] = {204, 304};
	struct fixture *f = *state;
	char answer[512];
	struct seen seen;
	unsigned i;

	for (i = 0; i < sizeof(statuses) / sizeof(*statuses); i++) {
		(void)snprintf(answer, sizeof(answer),
		    HEAD("%d Name") "Content-Length: 4\r\n\r\n", statuses[i]);
		ask(f, ORDER, answer, false, &seen);
		assert_int_equal(seen.status, statuses[i]);
		assert_int_equal(seen.nbody, 0);
		assert_non_null(strstr(seen.head, "Server-Signature: s1\r\n"));
		ask(f, TALK("1.1", ""), answer, false, &seen);
		assert_int_equal(seen.status, statuses[i]);
		assert_int_equal(seen.nbody, 0);
	}
}

/* Guards against a stream that is broken off and looks whole to a caller that
 * gets no chunks: a close without a reset ends it there. */
static void
check_broken_off_stream(struct fixture *f, const char *request, bool chunked)
{
	static const struct kit_step cut[] = {
	    {CHUNKED PIECE("1") PIECE("2"), true, false}};
	static const struct kit_step whole[] = {{STREAM, false, false}};
	struct kit_caller *c;
	struct seen seen;

	script(f, cut, 1);
	c = kit_caller_open(f->loop, f->addr, request);
	assert_true(kit_until(f->loop, ANSWER_LIMIT_MS, c->closed));
	look_at(c, &seen);
	assert_int_equal(seen.status, 200);
	assert_string_equal(seen.body, EVENT("1") EVENT("2"));
	assert_true(chunked ? !seen.whole : c->reset);
	kit_caller_free(c);
	script(f, whole, 1);
	c = kit_caller_open(f->loop, f->addr, request);
	assert_true(kit_until(f->loop, ANSWER_LIMIT_MS, c->closed));
	look_at(c, &seen);
	assert_string_equal(seen.body, EVENT("1") EVENT("2") EVENT("3"));
	assert_true(seen.whole && !c->reset);
	kit_caller_free(c);
}

static void
test_broken_off_stream_without_chunks(void **state)
{
	check_broken_off_stream(*state, TALK("1.0", ""), false);
	check_broken_off_stream(
	    *state, TALK("1.0", "Connection: keep-alive\r\n"), false);
}

static void
test_broken_off_stream_on_a_last_connection(void **state)
{
	check_broken_off_stream(
	    *state, TALK("1.1", "Connection: close\r\n"), true);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_order_with_a_cut_answer),
	    T(test_lookup_with_a_cut_answer),
	    T(test_cut_stream_looks_cut),
	    T(test_cut_stream_is_resumed_without_a_gap),
	    T(test_cut_turn_looks_cut),
	    T(test_stalled_answer_is_not_whole),
	    T(test_head_has_no_body),
	    T(test_empty_digest_is_none),
	    T(test_answer_is_passed_on_unchanged),
	    T(test_status_that_http_has_not),
	    T(test_answer_without_body_is_passed_on),
	    T(test_broken_off_stream_without_chunks),
	    T(test_broken_off_stream_on_a_last_connection),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
