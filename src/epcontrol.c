/*
 * epcontrol.c -- reads reports from endpoints and sends them commands.
 *
 * Reports are plain reads.  Commands are idempotent by the contract, so the
 * caller may retry one after any result.  Commands on a program's cache carry
 * the epoch, for endpoints that reject an earlier owner's commands.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "epprivate.h"

/* Of a load report, or the answer to a command. */
#define ANSWER_MAX_BYTES ((size_t)64 << 10)
#define LIST_MAX_BYTES ((size_t)4 << 20) /* some ten thousand programs */
#define TARGET_BYTES 64

/* Sends one request; *doc is the parsed body of a 200 answer, else NULL. */
static int
send_request(const char *addr, uint32_t ms, const char *method,
    const char *target, const char *body, size_t max, json_t **doc,
    struct mu_error *e)
{
	struct mu_http_request q = {
	    .method = method,
	    .addr = addr,
	    .target = target,
	    .content_type = body != NULL ? "application/json" : NULL,
	    .body = body,
	    .body_len = body != NULL ? strlen(body) : 0,
	    .limits = {ms, ms, ms, ms},
	    .max_body = max,
	    .from_endpoint = true,
	};
	enum mu_outcome out = MU_OUTCOME_NOT_RUN;
	enum mu_errtype type = MU_E_OK;
	struct mu_http_response h;

	mu_http_run(&q, &h);
	*doc = NULL;
	if (h.result != MU_HTTP_COMPLETE)
		type = mu_ep_transport_error(&h);
	else if (h.status != 200)
		type = mu_ep_status_error(h.status);
	else
		*doc = mu_http_response_json(&h);
	if (type != MU_E_OK) {
		if (body != NULL && h.may_have_sent && type != MU_E_STALE_EPOCH)
			out = MU_OUTCOME_UNKNOWN;
		(void)mu_fail(e, type, out, h.retry_after_ms,
		    "endpoint %s: %s %s: %s, status %d", addr, method, target,
		    mu_http_result_name(h.result), h.status);
	}
	mu_http_response_clear(&h);
	return type;
}

static int
malformed_response(struct mu_error *e, const char *addr, const char *what)
{
	return mu_fail(e, MU_E_MISMATCH, MU_OUTCOME_NOT_RUN, 0,
	    "endpoint %s: malformed %s", addr, what);
}

static int
out_of_memory(struct mu_error *e)
{
	return mu_fail(
	    e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "endpoint: out of memory");
}

static bool
get_count32(const json_t *j, const char *name, uint32_t *n)
{
	uint64_t v;

	if (!mu_ep_get_count(j, name, &v) || v > UINT32_MAX)
		return false;
	*n = (uint32_t)v;
	return true;
}

int
mu_ep_get_load(const char *addr, uint32_t timeout_ms, struct mu_ep_load *l,
    struct mu_error *e)
{
	json_t *j;
	int rc;

	memset(l, 0, sizeof(*l));
	rc = send_request(
	    addr, timeout_ms, "GET", "/v1/load", NULL, ANSWER_MAX_BYTES, &j, e);
	if (rc != 0)
		return rc;
	if (!get_count32(j, "running", &l->running) ||
	    !get_count32(j, "queued", &l->queued) ||
	    !get_count32(j, "max_batch", &l->max_batch) ||
	    !mu_ep_get_count(j, "cache_used", &l->cache_used) ||
	    !mu_ep_get_count(j, "cache_max", &l->cache_max) ||
	    !mu_ep_get_count(j, "age_ms", &l->age_ms))
		rc = malformed_response(e, addr, "load report");
	json_decref(j);
	return rc;
}

/* Copies the program id; false if it is missing or too long. */
static bool
copy_program(const json_t *j, char program[MU_ID_LEN + 1])
{
	const char *s = mu_ep_get_string(j, "program");

	if (s == NULL || strlen(s) > MU_ID_LEN)
		return false;
	memcpy(program, s, strlen(s) + 1);
	return true;
}

/* Returns false for an unknown event, which the caller skips. */
static bool
parse_cache_event(const json_t *j, struct mu_ep_cache_event *ev)
{
	const char *kind = mu_ep_get_string(j, "kind");

	if (kind == NULL || !copy_program(j, ev->program) ||
	    !mu_ep_get_count(j, "n", &ev->n) ||
	    !mu_ep_get_count(j, "tokens", &ev->tokens))
		return false;
	if (strcmp(kind, "stored") == 0)
		ev->kind = MU_EP_STORED;
	else if (strcmp(kind, "evicted") == 0)
		ev->kind = MU_EP_EVICTED;
	else
		return false;
	return true;
}

int
mu_ep_get_cache_events(const char *addr, uint32_t timeout_ms, uint64_t after,
    struct mu_ep_cache_event **events, size_t *count, uint64_t *next,
    struct mu_error *e)
{
	char target[TARGET_BYTES];
	const json_t *a;
	json_t *j;
	size_t i, n;
	int rc;

	*events = NULL;
	*count = 0;
	(void)snprintf(target, sizeof(target), "/v1/events?after=%llu",
	    (unsigned long long)after);
	rc = send_request(
	    addr, timeout_ms, "GET", target, NULL, LIST_MAX_BYTES, &j, e);
	if (rc != 0)
		return rc;
	a = json_object_get(j, "events");
	n = json_array_size(a);
	if (!json_is_array(a) || !mu_ep_get_count(j, "next", next)) {
		rc = malformed_response(e, addr, "events");
		goto out;
	}
	*events = calloc(n + 1, sizeof(**events));
	if (*events == NULL) {
		rc = out_of_memory(e);
		goto out;
	}
	for (i = 0; i < n; i++) {
		if (parse_cache_event(json_array_get(a, i), &(*events)[*count]))
			(*count)++;
	}
out:
	json_decref(j);
	return rc;
}

int
mu_ep_get_cache_entries(const char *addr, uint32_t timeout_ms,
    struct mu_ep_cache_entry **held, size_t *count, struct mu_error *e)
{
	struct mu_ep_cache_entry *h;
	const json_t *a;
	json_t *j;
	size_t i, n;
	int rc;

	*held = NULL;
	*count = 0;
	rc = send_request(
	    addr, timeout_ms, "GET", "/v1/held", NULL, LIST_MAX_BYTES, &j, e);
	if (rc != 0)
		return rc;
	a = json_object_get(j, "held");
	n = json_array_size(a);
	if (!json_is_array(a)) {
		rc = malformed_response(e, addr, "held list");
		goto out;
	}
	*held = calloc(n + 1, sizeof(**held));
	if (*held == NULL) {
		rc = out_of_memory(e);
		goto out;
	}
	for (i = 0; i < n; i++) {
		h = &(*held)[*count];
		if (copy_program(json_array_get(a, i), h->program) &&
		    mu_ep_get_count(json_array_get(a, i), "tokens", &h->tokens))
			(*count)++;
	}
out:
	json_decref(j);
	return rc;
}

/* Sends a command; takes over the reference to doc. */
static int
send_command(const char *addr, uint32_t ms, const char *target, json_t *doc,
    struct mu_error *e)
{
	char *text = doc != NULL ? json_dumps(doc, JSON_COMPACT) : NULL;
	json_t *answer = NULL;
	int rc;

	json_decref(doc);
	if (text == NULL)
		return out_of_memory(e);
	rc = send_request(
	    addr, ms, "POST", target, text, ANSWER_MAX_BYTES, &answer, e);
	json_decref(answer);
	free(text);
	return rc;
}

int
mu_ep_release_cache(const char *addr, uint32_t timeout_ms, const char *program,
    uint64_t epoch, struct mu_error *e)
{
	return send_command(addr, timeout_ms, "/v1/release",
	    json_pack(
		"{s:s, s:I}", "program", program, "epoch", (json_int_t)epoch),
	    e);
}

static int
transfer_cache(const char *addr, uint32_t ms, const char *target,
    const char *program, uint64_t epoch, const char *object, struct mu_error *e)
{
	return send_command(addr, ms, target,
	    json_pack("{s:s, s:I, s:s}", "program", program, "epoch",
		(json_int_t)epoch, "object", object),
	    e);
}

int
mu_ep_export_cache(const char *addr, uint32_t timeout_ms, const char *program,
    uint64_t epoch, const char *object, struct mu_error *e)
{
	return transfer_cache(
	    addr, timeout_ms, "/v1/export", program, epoch, object, e);
}

int
mu_ep_import_cache(const char *addr, uint32_t timeout_ms, const char *program,
    uint64_t epoch, const char *object, struct mu_error *e)
{
	return transfer_cache(
	    addr, timeout_ms, "/v1/import", program, epoch, object, e);
}

int
mu_ep_cancel(const char *addr, uint32_t timeout_ms, const char *request_id,
    struct mu_error *e)
{
	return send_command(addr, timeout_ms, "/v1/cancel",
	    json_pack("{s:s}", "request_id", request_id), e);
}
