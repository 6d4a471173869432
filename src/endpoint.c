/*
 * endpoint.c -- client of model engines and plain services.
 *
 * An answer is valid only if it is complete and carries the request id of the
 * call.  In a streamed answer every event must carry the request id, pieces
 * must be numbered 0, 1, 2 ..., an exact repetition of an earlier piece is
 * dropped, and `done` must give the number of pieces received.  Reading stops
 * at a valid `done`, so that a connection left open after it causes no delay.
 *
 * A failed attempt reports how far it got: MU_ATTEMPT_NOT_SENT if no byte of
 * the request was sent; MU_ATTEMPT_REFUSED if a complete answer has an error in
 * its body and a status that the contract defines as "did not run";
 * MU_ATTEMPT_MAY_HAVE_RUN otherwise.
 *
 * When a model call is abandoned, the engine gets a cancel request, so that
 * the call does not keep its concurrency slot in the batch.  No cancel follows
 * a lost connection: the engine has probably exited, and the next attempt must
 * not be delayed.
 */
#include <stdlib.h>
#include <string.h>

#include "endpoint.h"
#include "epprivate.h"
#include "http.h"
#include "sse.h"

#define RESPONSE_MAX_BYTES ((size_t)64 << 20)
#define EVENT_MAX_BYTES ((size_t)4 << 20)
#define CANCEL_TIMEOUT_MS 500 /* limit of the entire cancel request */
#define INITIAL_CAPACITY ((size_t)64)
#define STREAM_COMPLETE (-1) /* stops the parser after a valid `done` */

/* State of a streamed answer. */
struct stream {
	const struct mu_ep_call *call;
	struct mu_ep_result *r;
	struct mu_sse sse;
	char *text; /* concatenation of the pieces */
	size_t text_len;
	size_t text_size;
	size_t *piece_end; /* piece_end[i]: offset in text after piece i */
	size_t npieces;
	size_t piece_end_size;
	bool complete;
	bool stopped_by_reader; /* on_text returned false */
	enum mu_errtype error_type; /* reason for abandoning the stream */
};

const char *
mu_ep_get_string(const json_t *j, const char *name)
{
	return json_string_value(json_object_get(j, name));
}

bool
mu_ep_get_count(const json_t *j, const char *name, uint64_t *n)
{
	const json_t *v = json_object_get(j, name);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*n = (uint64_t)json_integer_value(v);
	return true;
}

static int
grow_array(void **p, size_t *size, size_t need, size_t first, size_t unit)
{
	size_t n = *size != 0 ? *size : first;
	void *np;

	while (n < need)
		n *= 2;
	if (n == *size)
		return 0;
	np = realloc(*p, n * unit);
	if (np == NULL)
		return MU_E_NOMEM;
	*p = np;
	*size = n;
	return 0;
}

/* A piece received twice is valid only if the text is the same. */
static int
check_repeated_piece(
    const struct stream *s, uint64_t i, const char *text, size_t len)
{
	size_t from = i == 0 ? 0 : s->piece_end[i - 1];

	if (s->piece_end[i] - from != len ||
	    memcmp(s->text + from, text, len) != 0)
		return MU_E_MISMATCH;
	return 0;
}

static int
accept_piece(struct stream *s, const json_t *j)
{
	const json_t *v = json_object_get(j, "text");
	const char *text = json_string_value(v);
	size_t len = json_string_length(v);
	uint64_t i;
	int rc;

	if (text == NULL || !mu_ep_get_count(j, "index", &i))
		return MU_E_MISMATCH;
	if (i < s->npieces)
		return check_repeated_piece(s, i, text, len);
	if (i > s->npieces)
		return MU_E_TRUNCATED;
	rc = grow_array((void **)&s->text, &s->text_size, s->text_len + len + 1,
	    INITIAL_CAPACITY, 1);
	if (rc == 0)
		rc = grow_array((void **)&s->piece_end, &s->piece_end_size,
		    s->npieces + 1, INITIAL_CAPACITY, sizeof(*s->piece_end));
	if (rc != 0)
		return rc;
	memcpy(s->text + s->text_len, text, len + 1);
	s->text_len += len;
	s->piece_end[s->npieces++] = s->text_len;
	s->stopped_by_reader = s->call->on_text != NULL &&
			       !s->call->on_text(s->call->arg, text, len);
	return s->stopped_by_reader ? MU_E_CANCELLED : 0;
}

static int
accept_done(struct stream *s, const json_t *j)
{
	const json_t *u = json_object_get(j, "usage");
	struct mu_ep_usage *usage = &s->r->usage;
	uint64_t pieces;

	if (!mu_ep_get_count(j, "pieces", &pieces) ||
	    !mu_ep_get_count(u, "prompt_tokens", &usage->prompt_tokens) ||
	    !mu_ep_get_count(u, "cached_tokens", &usage->cached_tokens) ||
	    !mu_ep_get_count(u, "output_tokens", &usage->output_tokens))
		return MU_E_MISMATCH;
	if (pieces != s->npieces)
		return pieces > s->npieces ? MU_E_TRUNCATED : MU_E_MISMATCH;
	s->complete = true;
	return STREAM_COMPLETE;
}

static int
on_event(void *arg, const char *data, size_t len)
{
	struct stream *s = arg;
	json_t *j = json_loadb(data, len, JSON_ALLOW_NUL, NULL);
	const char *id = mu_ep_get_string(j, "request_id");
	int rc;

	if (id == NULL || strcmp(id, s->call->request_id) != 0)
		rc = MU_E_MISMATCH;
	else if (json_is_true(json_object_get(j, "done")))
		rc = accept_done(s, j);
	else
		rc = accept_piece(s, j);
	json_decref(j);
	return rc;
}

static bool
on_stream_data(void *arg, const char *data, size_t len)
{
	struct stream *s = arg;
	int rc = mu_sse_feed(&s->sse, data, len, on_event, s);

	if (rc == MU_E_TOO_LARGE)
		rc = MU_E_MISMATCH;
	if (rc > 0)
		s->error_type = (enum mu_errtype)rc;
	return rc == 0;
}

static bool
is_cancelled(void *arg)
{
	const struct mu_ep_call *c = ((struct stream *)arg)->call;

	return c->cancelled != NULL && c->cancelled(c->arg);
}

enum mu_errtype
mu_ep_transport_error(const struct mu_http_response *h)
{
	switch (h->result) {
	case MU_HTTP_CONNECT_FAILED:
		return MU_E_CONNECT;
	case MU_HTTP_TIMEOUT:
		return MU_E_ENDPOINT_TIMEOUT;
	case MU_HTTP_CONN_LOST:
		return h->status == 200 ? MU_E_TRUNCATED : MU_E_ENDPOINT_LOST;
	case MU_HTTP_CANCELLED:
	case MU_HTTP_ABORTED:
		return MU_E_CANCELLED;
	case MU_HTTP_TOO_LARGE:
	case MU_HTTP_MALFORMED:
		return MU_E_MISMATCH;
	case MU_HTTP_NO_ROOM:
		return MU_E_NOMEM;
	case MU_HTTP_COMPLETE:
	case MU_HTTP_SYSTEM:
		break;
	}
	return MU_E_SYSTEM;
}

/* True if, by the contract, a complete answer means that nothing was run. */
static bool
proves_not_run(const struct mu_ep_call *c, const struct mu_http_response *h)
{
	json_t *j;
	bool has_error;

	switch (h->status) {
	case 412:
	case 429:
	case 503:
		break;
	case 400:
		if (c->kind == MU_EP_PLAIN)
			break;
		return false;
	default:
		return false;
	}
	j = mu_http_response_json(h);
	has_error = json_object_get(j, "error") != NULL;
	json_decref(j);
	return has_error;
}

enum mu_errtype
mu_ep_status_error(int status)
{
	switch (status) {
	case 400:
		return MU_E_BAD_REQUEST;
	case 404:
		return MU_E_NOT_FOUND;
	case 412:
		return MU_E_STALE_EPOCH;
	case 429:
	case 503:
		return MU_E_ENDPOINT_REFUSED;
	default:
		return MU_E_ENDPOINT_LOST;
	}
}

static void
set_failure(const struct mu_ep_call *c, const struct mu_http_response *h,
    enum mu_errtype type, struct mu_ep_result *r)
{
	enum mu_outcome out = MU_OUTCOME_NOT_RUN;

	r->ok = false;
	if (!h->may_have_sent) {
		r->sent = MU_ATTEMPT_NOT_SENT;
	} else if (h->result == MU_HTTP_COMPLETE && proves_not_run(c, h)) {
		r->sent = MU_ATTEMPT_REFUSED;
	} else {
		r->sent = MU_ATTEMPT_MAY_HAVE_RUN;
		out = MU_OUTCOME_UNKNOWN;
	}
	(void)mu_fail(&r->error, type, out, h->retry_after_ms,
	    "endpoint %s: %s, status %d", c->addr,
	    mu_http_result_name(h->result), h->status);
}

static int
add_ids(json_t *doc, const struct mu_ep_call *c)
{
	int rc;

	rc = json_object_set_new(doc, "request_id", json_string(c->request_id));
	rc |= json_object_set_new(doc, "program", json_string(c->program));
	rc |= json_object_set_new(doc, "seq", json_integer((json_int_t)c->seq));
	rc |= json_object_set_new(
	    doc, "epoch", json_integer((json_int_t)c->epoch));
	return rc;
}

static int
add_model_input(json_t *doc, const struct mu_ep_call *c)
{
	json_t *in = (json_t *)c->input;
	int rc;

	rc = json_object_set_new(doc, "priority", json_integer(c->priority));
	rc |= json_object_set(doc, "messages", json_object_get(in, "messages"));
	if (json_object_get(in, "max_tokens") != NULL)
		rc |= json_object_set(
		    doc, "max_tokens", json_object_get(in, "max_tokens"));
	return rc;
}

/* Sends `operation` as a member of its own; the rest becomes `input`. */
static int
add_plain_input(json_t *doc, const struct mu_ep_call *c)
{
	json_t *rest = json_copy((json_t *)c->input);
	int rc;

	rc = json_object_set(
	    doc, "operation", json_object_get(c->input, "operation"));
	if (rc == 0)
		rc = json_object_del(rest, "operation");
	if (rc == 0)
		return json_object_set_new(doc, "input", rest);
	json_decref(rest);
	return rc;
}

/* Returns the request body, or NULL if the input lacks a required member. */
static char *
encode_call(const struct mu_ep_call *c)
{
	json_t *doc = json_object();
	char *text = NULL;
	int rc;

	rc = add_ids(doc, c);
	if (c->kind == MU_EP_MODEL)
		rc |= add_model_input(doc, c);
	else
		rc |= add_plain_input(doc, c);
	if (rc == 0)
		text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

static void
send_call(struct stream *s, const char *text, struct mu_http_response *h)
{
	const struct mu_ep_call *c = s->call;
	struct mu_http_request q = {
	    .method = "POST",
	    .addr = c->addr,
	    .target = c->kind == MU_EP_MODEL ? "/v1/generate" : "/call",
	    .content_type = "application/json",
	    .body = text,
	    .body_len = strlen(text),
	    .max_body = RESPONSE_MAX_BYTES,
	    .from_endpoint = true,
	    .on_data = c->kind == MU_EP_MODEL ? on_stream_data : NULL,
	    .cancelled = c->cancelled != NULL ? is_cancelled : NULL,
	    .arg = s,
	};

	q.limits.connect_ms = c->limits.connect_ms;
	q.limits.first_byte_ms = c->limits.first_byte_ms;
	q.limits.idle_ms = c->limits.idle_ms;
	q.limits.total_ms = c->limits.total_ms;
	mu_http_run(&q, h);
}

static void
finish_stream(struct stream *s, struct mu_http_response *h)
{
	struct mu_ep_result *r = s->r;
	enum mu_errtype type;

	if (s->complete) {
		r->output =
		    json_stringn(s->text != NULL ? s->text : "", s->text_len);
		r->ok = r->output != NULL;
		if (!r->ok)
			set_failure(s->call, h, MU_E_NOMEM, r);
		return;
	}
	if (s->error_type != MU_E_OK)
		type = s->error_type;
	else if (h->result != MU_HTTP_COMPLETE)
		type = mu_ep_transport_error(h);
	else
		type = h->status == 200 ? MU_E_TRUNCATED
					: mu_ep_status_error(h->status);
	set_failure(s->call, h, type, r);
	if (h->may_have_sent && h->result != MU_HTTP_CONN_LOST &&
	    h->result != MU_HTTP_COMPLETE)
		(void)mu_ep_cancel(s->call->addr, CANCEL_TIMEOUT_MS,
		    s->call->request_id, NULL);
}

static void
finish_plain(const struct mu_ep_call *c, const struct mu_http_response *h,
    struct mu_ep_result *r)
{
	json_t *j = NULL;
	const char *id;

	if (h->result != MU_HTTP_COMPLETE) {
		set_failure(c, h, mu_ep_transport_error(h), r);
		return;
	}
	if (h->status != 200) {
		set_failure(c, h, mu_ep_status_error(h->status), r);
		return;
	}
	j = mu_http_response_json(h);
	id = mu_ep_get_string(j, "request_id");
	r->output = json_incref(json_object_get(j, "output"));
	r->ok =
	    id != NULL && strcmp(id, c->request_id) == 0 && r->output != NULL;
	if (!r->ok) {
		json_decref(r->output);
		r->output = NULL;
		set_failure(
		    c, h, j == NULL ? MU_E_TRUNCATED : MU_E_MISMATCH, r);
	}
	json_decref(j);
}

void
mu_ep_run(const struct mu_ep_call *c, struct mu_ep_result *r)
{
	struct stream s = {.call = c, .r = r};
	struct mu_http_response h;
	char *text;

	memset(r, 0, sizeof(*r));
	text = encode_call(c);
	if (text == NULL) {
		r->sent = MU_ATTEMPT_NOT_SENT;
		(void)mu_fail(&r->error, MU_E_BAD_REQUEST, MU_OUTCOME_NOT_RUN,
		    0, "input lacks what the service's kind needs");
		return;
	}
	mu_sse_init(&s.sse, EVENT_MAX_BYTES);
	send_call(&s, text, &h);
	free(text);
	r->time_to_first_byte = h.time_to_first_byte;
	r->took = h.took;
	if (c->kind == MU_EP_MODEL)
		finish_stream(&s, &h);
	else
		finish_plain(c, &h, r);
	mu_http_response_clear(&h);
	mu_sse_clear(&s.sse);
	free(s.text);
	free(s.piece_end);
}
