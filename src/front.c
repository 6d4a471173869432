/*
 * front.c -- HTTP port for callers.
 *
 * Routes HTTP requests to the owner of their program and returns its answers.
 * No program state is kept here, so any daemon can serve any caller.
 */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "callreq.h"
#include "chat.h"
#include "front.h"
#include "log.h"
#include "metric.h"
#include "owner.h"
#include "route.h"
#include "sseout.h"

#define DEFAULT_CALL_DEADLINE_MS 120000 /* when the caller gives none */
#define PROGRAM_DEADLINE_MS 10000 /* to create, read or end a program */
#define FIRST_TEXT_POLL_MS 1000

static mu_us
deadline_after_ms(struct mu_daemon *d, uint32_t ms)
{
	return mu_now(&d->clock) + ms * MU_US_PER_MS;
}

/* Random id shared by all copies of one request; never 0. */
static uint64_t
new_request_id(void)
{
	uint64_t n;

	do
		randombytes_buf(&n, sizeof(n));
	while (n == 0);
	return n;
}

static enum MHD_Result
reject(struct mu_web_req *r, struct mu_error *e)
{
	mu_count(MU_M_HTTP_BAD, 1);
	return mu_web_error(r, e);
}

static enum MHD_Result
reject_as(struct mu_web_req *r, enum mu_errtype type, const char *message)
{
	struct mu_error e;

	mu_fail(&e, type, MU_OUTCOME_NOT_RUN, 0, "%s", message);
	return reject(r, &e);
}

static enum MHD_Result
reject_method(struct mu_web_req *r)
{
	return reject_as(r, MU_E_METHOD, "this method is not served here");
}

/* Routes a request whose answer is one JSON body. */
static enum MHD_Result
respond_whole(struct mu_daemon *d, struct mu_web_req *r, struct mu_req *q)
{
	struct mu_stream *s = mu_route(d, q);
	enum MHD_Result rc;

	if (s == NULL)
		return reject_as(r, MU_E_NOMEM, "no memory");
	rc = mu_web_reply_stream(r, s);
	mu_stream_unref(s);
	return rc;
}

/*
 * Routes a call whose answer is streamed.  The HTTP status is not sent before
 * the first text, so that an earlier failure gets an ordinary error response.
 */
static enum MHD_Result
respond_streamed(struct mu_daemon *d, struct mu_web_req *r, struct mu_req *q,
    enum mu_sse_style style, const char *model)
{
	struct mu_stream *s = mu_route_start(d, q);
	enum MHD_Result rc;
	const struct mu_reply *reply;
	bool ended = false;
	char byte;

	if (s == NULL)
		return reject_as(r, MU_E_NOMEM, "no memory");
	while (
	    mu_stream_read(s, 0, &byte, 1, FIRST_TEXT_POLL_MS, &ended) == 0 &&
	    !ended)
		continue;
	reply = ended ? mu_stream_wait_end(s, 0) : NULL;
	if (reply != NULL && reply->status >= 300)
		rc = mu_web_reply(r, reply);
	else
		rc = mu_sse_queue_response(r, s, style, q->program, model);
	mu_stream_unref(s);
	return rc;
}

static enum MHD_Result
get_addresses(struct mu_daemon *d, struct mu_web_req *r)
{
	const char *program = mu_web_query(r, "program");
	unsigned slot;

	if (program != NULL && mu_slots_parse_id(d->slots, program, &slot))
		return mu_web_json(r, 200, mu_owner_addresses(d, (int)slot));
	return mu_web_json(r, 200, mu_owner_addresses(d, -1));
}

static enum MHD_Result
post_program(struct mu_daemon *d, struct mu_web_req *r, const char *caller)
{
	struct mu_req q = {0};
	struct mu_createreq c;
	struct mu_error e = {0};

	if (mu_createreq_parse(&c, r->body, r->len, &e) != 0)
		return reject(r, &e);
	q.kind = MU_REQ_CREATE;
	q.caller = caller;
	q.program = c.parent;
	q.body = r->body;
	q.len = r->len;
	q.deadline = deadline_after_ms(d, PROGRAM_DEADLINE_MS);
	q.request_id = new_request_id();
	return respond_whole(d, r, &q);
}

static enum MHD_Result
post_call(struct mu_daemon *d, struct mu_web_req *r, const char *caller,
    const char *program)
{
	struct mu_req q = {0};
	struct mu_callreq c;
	struct mu_error e = {0};

	if (mu_callreq_parse(&c, r->body, r->len, &e) != 0)
		return reject(r, &e);
	q.kind = MU_REQ_CALL;
	q.caller = caller;
	q.program = program;
	q.seq = c.seq;
	q.body = r->body;
	q.len = r->len;
	q.stream = c.stream;
	q.deadline = deadline_after_ms(
	    d, c.deadline_ms != 0 ? c.deadline_ms : DEFAULT_CALL_DEADLINE_MS);
	q.request_id = new_request_id();
	mu_callreq_clear(&c);
	if (q.stream)
		return respond_streamed(d, r, &q, MU_SSE_NATIVE, NULL);
	return respond_whole(d, r, &q);
}

static enum MHD_Result
route_bodyless(struct mu_daemon *d, struct mu_web_req *r, const char *caller,
    const char *program, enum mu_req_kind kind, uint64_t seq)
{
	struct mu_req q = {0};

	q.kind = kind;
	q.caller = caller;
	q.program = program;
	q.seq = seq;
	q.body = "";
	q.deadline = deadline_after_ms(d, kind == MU_REQ_GET_CALL
					      ? DEFAULT_CALL_DEADLINE_MS
					      : PROGRAM_DEADLINE_MS);
	q.request_id = new_request_id();
	return respond_whole(d, r, &q);
}

/* Serves a chat completion request of an existing client as a call. */
static enum MHD_Result
post_chat(struct mu_daemon *d, struct mu_web_req *r, const char *caller)
{
	const char *program = mu_web_header(r, "Cardamom-Program");
	const char *seq = mu_web_header(r, "Cardamom-Seq");
	struct mu_bd_text *text = mu_board_text_ref(&d->board);
	struct mu_chat chat;
	struct mu_stream *s;
	const struct mu_reply *reply;
	struct mu_req q = {0};
	struct mu_error e = {0};
	enum MHD_Result rc;
	int bad;

	bad = mu_chat_parse(
	    &chat, r, text != NULL ? text->text : NULL, program, seq, &e);
	mu_board_text_unref(text);
	if (bad != 0)
		return reject(r, &e);
	q.caller = caller;
	q.request_id = new_request_id();
	q.deadline = deadline_after_ms(d, DEFAULT_CALL_DEADLINE_MS);
	if (program == NULL) {
		q.kind = MU_REQ_CREATE;
		q.program = "";
		q.body = "";
		s = mu_route(d, &q);
		if (s == NULL)
			return reject_as(r, MU_E_NOMEM, "no memory");
		reply = mu_stream_wait_end(s, 0);
		if (reply->status != 201) {
			rc = mu_web_reply(r, reply);
			mu_stream_unref(s);
			return rc;
		}
		program = mu_chat_program_id(r, reply);
		mu_stream_unref(s);
		q.request_id = new_request_id();
	}
	q.kind = MU_REQ_CALL;
	q.program = program;
	q.seq = chat.seq;
	q.body = chat.body;
	q.len = strlen(chat.body);
	q.stream = chat.stream;
	if (q.stream)
		return respond_streamed(d, r, &q, MU_SSE_CHAT, chat.model);
	s = mu_route(d, &q);
	if (s == NULL)
		return reject_as(r, MU_E_NOMEM, "no memory");
	rc = mu_chat_reply(r, &chat, program, mu_stream_wait_end(s, 0));
	mu_stream_unref(s);
	return rc;
}

/* Components of "ID[/calls[/N]]"; strings are in the request's arena. */
struct program_path {
	const char *program;
	bool has_calls;
	bool has_seq;
	uint64_t seq;
	bool valid;
};

static struct program_path
parse_program_path(struct mu_web_req *r, const char *path)
{
	struct program_path t = {0};
	char *copy = mu_arena_strdup(r->arena, path);
	char *slash, *rest, *end;

	if (copy == NULL)
		return t;
	t.program = copy;
	slash = strchr(copy, '/');
	t.valid = strlen(copy) > 0 && slash != copy;
	if (slash == NULL)
		return t;
	*slash = '\0';
	rest = slash + 1;
	if (strncmp(rest, "calls", 5) != 0 ||
	    (rest[5] != '\0' && rest[5] != '/')) {
		t.valid = false;
		return t;
	}
	t.has_calls = true;
	if (rest[5] == '\0')
		return t;
	t.has_seq = true;
	t.seq = strtoull(rest + 6, &end, 10);
	t.valid = t.valid && rest[6] >= '0' && rest[6] <= '9' && *end == '\0';
	return t;
}

static enum MHD_Result
handle_program(struct mu_daemon *d, struct mu_web_req *r, const char *caller,
    const char *path)
{
	struct program_path t = parse_program_path(r, path);
	bool get = strcmp(r->method, "GET") == 0;

	if (!t.valid)
		return reject_as(r, MU_E_NOT_FOUND, "no such resource");
	if (t.has_calls && !t.has_seq && strcmp(r->method, "POST") == 0)
		return post_call(d, r, caller, t.program);
	if (t.has_seq && get)
		return route_bodyless(
		    d, r, caller, t.program, MU_REQ_GET_CALL, t.seq);
	if (!t.has_calls && get)
		return route_bodyless(
		    d, r, caller, t.program, MU_REQ_GET_PROGRAM, 0);
	if (!t.has_calls && strcmp(r->method, "DELETE") == 0)
		return route_bodyless(d, r, caller, t.program, MU_REQ_END, 0);
	return reject_method(r);
}

static enum MHD_Result
handle_request(void *arg, struct mu_web_req *r)
{
	struct mu_daemon *d = arg;
	const char *caller;
	bool post = strcmp(r->method, "POST") == 0;
	bool get = strcmp(r->method, "GET") == 0;

	mu_count(MU_M_HTTP, 1);
	caller = mu_web_authenticate(r, d->conf->callers, d->conf->ncallers);
	if (caller == NULL)
		return reject_as(
		    r, MU_E_UNAUTHORIZED, "a caller's key is needed");
	if (strncmp(r->path, "/v1/programs/", 13) == 0)
		return handle_program(d, r, caller, r->path + 13);
	if (strcmp(r->path, "/v1/addresses") == 0)
		return get ? get_addresses(d, r) : reject_method(r);
	if (strcmp(r->path, "/v1/programs") == 0)
		return post ? post_program(d, r, caller) : reject_method(r);
	if (strcmp(r->path, "/v1/chat/completions") == 0)
		return post ? post_chat(d, r, caller) : reject_method(r);
	return reject_as(r, MU_E_NOT_FOUND, "no such resource");
}

int
mu_front_open(struct mu_web **w, struct mu_daemon *d, struct mu_error *e)
{
	struct mu_web_conf conf = {0};

	conf.listen = d->conf->caller_addr;
	conf.max_body = d->conf->max_body_bytes;
	conf.max_connections = d->conf->max_connections;
	conf.mem = d->webmem;
	conf.requests_in_progress = &d->board.requests;
	conf.arg = d;
	conf.handle = handle_request;
	return mu_web_open(w, &conf, e);
}
