/*
 * toolhttp.c -- HTTP client of the command-line tools, based on neon.
 *
 * Each request uses its own session without persistent connections and is
 * driven through ne_begin_request(): on a kept-alive connection that closes
 * early neon resends a POST by itself, which must not happen to a
 * non-idempotent request.  The notifier records whether a connection was made,
 * which separates "nothing was sent" from "may have taken effect".
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>

#include "toolhttp.h"

#define READ_BLOCK_BYTES 8192
#define BODY_MAX_BYTES ((size_t)64 * 1024 * 1024)

int
mu_tool_init(void)
{
	return ne_sock_init() == 0 ? 0 : MU_E_SYSTEM;
}

static void
on_status(
    void *arg, ne_session_status status, const ne_session_status_info *info)
{
	bool *connected = arg;

	(void)info;
	if (status == ne_status_connected)
		*connected = true;
}

static bool
append_body(struct mu_tool_res *r, const char *data, size_t len)
{
	char *p;

	if (r->len + len > BODY_MAX_BYTES)
		return false;
	p = realloc(r->body, r->len + len + 1);
	if (p == NULL)
		return false;
	memcpy(p + r->len, data, len);
	r->body = p;
	r->len += len;
	r->body[r->len] = '\0';
	return true;
}

/* Reads the answer to its end; returns NE_OK if it is complete. */
static int
read_answer(ne_request *rq, const struct mu_tool_req *q, struct mu_tool_res *r)
{
	char block[READ_BLOCK_BYTES];
	ssize_t n;

	while ((n = ne_read_response_block(rq, block, sizeof(block))) > 0) {
		if (q->on_data != NULL && r->status == 200)
			q->on_data(q->arg, block, (size_t)n);
		else if (!append_body(r, block, (size_t)n))
			return NE_ERROR;
	}
	if (n < 0)
		return NE_ERROR;
	return ne_end_request(rq);
}

static ne_request *
create_request(ne_session *s, const struct mu_tool_req *q)
{
	ne_request *rq = ne_request_create(s, q->method, q->target);

	if (strcmp(q->method, "GET") != 0)
		ne_set_request_flag(rq, NE_REQFLAG_IDEMPOTENT, 0);
	if (q->key != NULL)
		ne_print_request_header(
		    rq, "Authorization", "Bearer %s", q->key);
	if (q->body != NULL) {
		ne_add_request_header(rq, "Content-Type", "application/json");
		ne_set_request_body_buffer(rq, q->body, strlen(q->body));
	}
	return rq;
}

void
mu_tool_run(const struct mu_tool_req *q, struct mu_tool_res *r)
{
	char ip[MU_ADDR_LEN];
	bool connected = false;
	ne_session *s;
	ne_request *rq;
	uint16_t port;

	memset(r, 0, sizeof(*r));
	r->result = MU_TOOL_UNREACHABLE;
	if (mu_addr_parse(q->addr, ip, &port) != 0) {
		(void)snprintf(r->problem, sizeof(r->problem),
		    "'%.60s' is not IP:PORT", q->addr);
		return;
	}
	s = ne_session_create("http", ip, port);
	ne_set_session_flag(s, NE_SESSFLAG_PERSIST, 0);
	ne_set_connect_timeout(s, q->connect_timeout_s);
	ne_set_read_timeout(s, q->read_timeout_s);
	ne_set_notifier(s, on_status, &connected);
	rq = create_request(s, q);
	if (ne_begin_request(rq) == NE_OK) {
		r->status = ne_get_status(rq)->code;
		if (read_answer(rq, q, r) == NE_OK)
			r->result = MU_TOOL_ANSWERED;
	}
	if (r->result != MU_TOOL_ANSWERED) {
		if (connected)
			r->result = MU_TOOL_INCOMPLETE;
		(void)snprintf(r->problem, sizeof(r->problem), "%s: %.120s",
		    q->addr, ne_get_error(s));
	}
	ne_request_destroy(rq);
	ne_session_destroy(s);
}

void
mu_tool_clear(struct mu_tool_res *r)
{
	free(r->body);
	memset(r, 0, sizeof(*r));
}

json_t *
mu_tool_json(const struct mu_tool_res *r)
{
	json_t *j;

	if (r->body == NULL)
		return NULL;
	j = json_loadb(r->body, r->len, 0, NULL);
	if (j != NULL && !json_is_object(j)) {
		json_decref(j);
		return NULL;
	}
	return j;
}

static const char *
string_or(const json_t *o, const char *key, const char *other)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s != NULL ? s : other;
}

void
mu_tool_parse_error(const json_t *body, struct mu_tool_error *e)
{
	const json_t *o = json_object_get(body, "error");
	json_int_t ms =
	    json_integer_value(json_object_get(o, "retry_after_ms"));

	e->type = string_or(o, "type", "");
	e->message = string_or(o, "message", "");
	e->outcome = string_or(o, "outcome", "unknown");
	e->retry_after_ms = ms > 0 && ms <= UINT32_MAX ? (uint32_t)ms : 0;
}
