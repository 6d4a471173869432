/*
 * platform.c -- client of the platform's table service, object store and
 * host list.
 *
 * Each operation is one HTTP request (http.c), so a transaction is sent at
 * most once.  A commit is reported as DONE or CONFLICT only after a complete
 * answer that says so, and as REFUSED only if the platform reports that it
 * did not apply the transaction or if nothing was sent.  Everything else is
 * UNKNOWN: the write may take effect although its answer was lost.  The
 * caller resolves UNKNOWN by reading back the token that it wrote.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "platprivate.h"

#define TABLE_RESPONSE_MAX_BYTES ((size_t)64 << 20)

int
mu_platform_open(struct mu_platform **p, const struct mu_platform_conf *conf)
{
	struct mu_platform *np;
	char ip[MU_ADDR_LEN];
	uint16_t port;

	if (mu_addr_parse(conf->addr, ip, &port) != 0 ||
	    strlen(conf->addr) >= MU_ADDR_LEN)
		return MU_E_BAD_REQUEST;
	np = calloc(1, sizeof(*np));
	if (np == NULL)
		return MU_E_NOMEM;
	(void)snprintf(np->addr, sizeof(np->addr), "%s", conf->addr);
	np->timeout_ms = conf->timeout_ms;
	*p = np;
	return 0;
}

void
mu_platform_close(struct mu_platform *p)
{
	free(p);
}

void
mu_plat_request(const struct mu_platform *p, const char *method,
    const char *target, const char *type, const void *body, size_t len,
    size_t max, struct mu_http_response *r)
{
	struct mu_http_request q = {
	    .method = method,
	    .addr = p->addr,
	    .target = target,
	    .content_type = type,
	    .body = body,
	    .body_len = len,
	    .max_body = max,
	};

	q.limits.connect_ms = p->timeout_ms;
	q.limits.first_byte_ms = p->timeout_ms;
	q.limits.idle_ms = p->timeout_ms;
	q.limits.total_ms = p->timeout_ms;
	mu_http_run(&q, r);
}

int
mu_plat_error(struct mu_error *e, const struct mu_http_response *r, bool write)
{
	enum mu_outcome out = MU_OUTCOME_NOT_RUN;
	bool refused = r->result == MU_HTTP_COMPLETE && r->status == 503;

	if (write && r->may_have_sent && !refused)
		out = MU_OUTCOME_UNKNOWN;
	return mu_fail(e, MU_E_PLATFORM_DOWN, out, r->retry_after_ms,
	    "platform: %s, status %d", mu_http_result_name(r->result),
	    r->status);
}

static int
add_checks(json_t *doc, const struct mu_txn *txn)
{
	json_t *a = json_array();
	size_t i;

	if (json_object_set_new(doc, "checks", a) != 0)
		return MU_E_NOMEM;
	for (i = 0; i < txn->nchecks; i++) {
		if (json_array_append_new(
			a, json_pack("{s:s, s:I}", "key", txn->checks[i].key,
			       "rev", (json_int_t)txn->checks[i].rev)) != 0)
			return MU_E_BAD_REQUEST;
	}
	return 0;
}

static int
add_puts(json_t *doc, const struct mu_txn *txn)
{
	json_t *puts = json_array();
	json_t *deletes = json_array();
	const struct mu_txn_put *w;
	size_t i;
	int rc;

	rc = json_object_set_new(doc, "puts", puts);
	rc |= json_object_set_new(doc, "deletes", deletes);
	for (i = 0; rc == 0 && i < txn->nputs; i++) {
		w = &txn->puts[i];
		if (w->value == NULL)
			rc =
			    json_array_append_new(deletes, json_string(w->key));
		else
			rc = json_array_append_new(
			    puts, json_pack("{s:s, s:s%}", "key", w->key,
				      "value", w->value, w->value_len));
	}
	return rc == 0 ? 0 : MU_E_BAD_REQUEST;
}

/* Returns the transaction as JSON text, or NULL if a string is not UTF-8. */
static char *
encode_txn(const struct mu_txn *txn)
{
	json_t *doc = json_object();
	char *text = NULL;

	if (add_checks(doc, txn) == 0 && add_puts(doc, txn) == 0)
		text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

static void
set_commit_unknown(struct mu_commit *out, const struct mu_http_response *r)
{
	out->kind = MU_COMMIT_UNKNOWN;
	(void)mu_fail(&out->error, MU_E_PLATFORM_DOWN, MU_OUTCOME_UNKNOWN, 0,
	    "commit: %s, status %d", mu_http_result_name(r->result), r->status);
}

static void
set_commit_refused(struct mu_commit *out, const struct mu_http_response *r)
{
	out->kind = MU_COMMIT_REFUSED;
	(void)mu_fail(&out->error, MU_E_PLATFORM_DOWN, MU_OUTCOME_NOT_RUN,
	    r->retry_after_ms, "commit: %s, status %d",
	    mu_http_result_name(r->result), r->status);
}

/*
 * Interprets a complete answer.  One that lacks a field needed for its status
 * leaves the outcome unknown.
 */
static void
parse_commit_response(
    const struct mu_http_response *r, const json_t *doc, struct mu_commit *out)
{
	const json_t *ok = json_object_get(doc, "ok");
	const json_t *rev = json_object_get(doc, "rev");
	const char *key = json_string_value(json_object_get(doc, "key"));
	const char *err = json_string_value(json_object_get(doc, "error"));

	if (r->status == 200 && json_is_true(ok) && json_is_integer(rev)) {
		out->kind = MU_COMMIT_DONE;
		out->rev = (uint64_t)json_integer_value(rev);
	} else if (r->status == 409 && json_is_false(ok) && key != NULL &&
		   json_is_integer(rev)) {
		out->kind = MU_COMMIT_CONFLICT;
		out->rev = (uint64_t)json_integer_value(rev);
		(void)snprintf(out->key, sizeof(out->key), "%s", key);
	} else if (r->status == 503 && err != NULL &&
		   strcmp(err, "unavailable") == 0) {
		set_commit_refused(out, r);
	} else {
		set_commit_unknown(out, r);
	}
}

void
mu_platform_commit(
    struct mu_platform *p, const struct mu_txn *txn, struct mu_commit *out)
{
	struct mu_http_response r;
	char *text = encode_txn(txn);
	json_t *doc;

	memset(out, 0, sizeof(*out));
	if (text == NULL) {
		out->kind = MU_COMMIT_REFUSED;
		(void)mu_fail(&out->error, MU_E_BAD_REQUEST, MU_OUTCOME_NOT_RUN,
		    0, "commit: a key or value is not UTF-8");
		return;
	}
	mu_plat_request(p, "POST", "/table/txn", "application/json", text,
	    strlen(text), TABLE_RESPONSE_MAX_BYTES, &r);
	free(text);
	doc = r.result == MU_HTTP_COMPLETE ? mu_http_response_json(&r) : NULL;
	if (doc != NULL)
		parse_commit_response(&r, doc, out);
	else if (!r.may_have_sent)
		set_commit_refused(out, &r);
	else
		set_commit_unknown(out, &r);
	json_decref(doc);
	mu_http_response_clear(&r);
}

/* GETs target and parses the JSON body of a 200 or 404 answer. */
static int
get_json(struct mu_platform *p, const char *target, json_t **doc, int *status,
    struct mu_error *e)
{
	struct mu_http_response r;
	int rc = 0;

	mu_plat_request(
	    p, "GET", target, NULL, NULL, 0, TABLE_RESPONSE_MAX_BYTES, &r);
	*status = r.status;
	*doc = r.result == MU_HTTP_COMPLETE ? mu_http_response_json(&r) : NULL;
	if (*doc == NULL || (r.status != 200 && r.status != 404))
		rc = mu_plat_error(e, &r, false);
	if (rc != 0)
		json_decref(*doc);
	mu_http_response_clear(&r);
	return rc;
}

static int
malformed_response(struct mu_error *e, const char *what)
{
	return mu_fail(e, MU_E_PLATFORM_DOWN, MU_OUTCOME_NOT_RUN, 0,
	    "platform: malformed %s", what);
}

int
mu_plat_nomem(struct mu_error *e)
{
	return mu_fail(
	    e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "platform: out of memory");
}

static int
parse_row(const json_t *j, struct mu_row *row, struct mu_error *e)
{
	const json_t *key = json_object_get(j, "key");
	const json_t *value = json_object_get(j, "value");
	const json_t *rev = json_object_get(j, "rev");

	memset(row, 0, sizeof(*row));
	if (!json_is_string(key) || !json_is_integer(rev))
		return malformed_response(e, "row");
	row->rev = (uint64_t)json_integer_value(rev);
	if (json_is_string(value) != (row->rev != 0))
		return malformed_response(e, "row");
	row->key = strdup(json_string_value(key));
	if (row->key == NULL)
		return mu_plat_nomem(e);
	if (row->rev == 0)
		return 0;
	row->value_len = json_string_length(value);
	row->value = malloc(row->value_len + 1);
	if (row->value == NULL) {
		mu_row_clear(row);
		return mu_plat_nomem(e);
	}
	memcpy(row->value, json_string_value(value), row->value_len + 1);
	return 0;
}

int
mu_platform_get(struct mu_platform *p, const char *key, struct mu_row *row,
    struct mu_error *e)
{
	char *esc = mu_http_escape(key);
	char *target = NULL;
	json_t *doc = NULL;
	int rc, status;

	memset(row, 0, sizeof(*row));
	if (asprintf(&target, "/table/row?key=%s", esc) < 0) {
		target = NULL;
		rc = mu_plat_nomem(e);
		goto out;
	}
	rc = get_json(p, target, &doc, &status, e);
	if (rc != 0)
		goto out;
	rc = parse_row(doc, row, e);
	if (rc == 0 && (status == 200) != (row->rev != 0)) {
		mu_row_clear(row);
		rc = malformed_response(e, "row");
	}
	json_decref(doc);
out:
	free(target);
	free(esc);
	return rc;
}

static int
parse_rows(const json_t *doc, struct mu_rows *rows, struct mu_error *e)
{
	const json_t *a = json_object_get(doc, "rows");
	size_t n = json_array_size(a);
	int rc;

	if (!json_is_array(a) || !json_is_boolean(json_object_get(doc, "more")))
		return malformed_response(e, "rows");
	rows->more = json_is_true(json_object_get(doc, "more"));
	if (n == 0)
		return 0;
	rows->row = calloc(n, sizeof(*rows->row));
	if (rows->row == NULL)
		return mu_plat_nomem(e);
	while (rows->count < n) {
		rc = parse_row(
		    json_array_get(a, rows->count), &rows->row[rows->count], e);
		if (rc != 0)
			return rc;
		rows->count++;
	}
	return 0;
}

int
mu_platform_list(struct mu_platform *p, const char *prefix, const char *after,
    size_t limit, struct mu_rows *rows, struct mu_error *e)
{
	char *prefix_esc = mu_http_escape(prefix);
	char *after_esc = mu_http_escape(after != NULL ? after : "");
	char *target = NULL;
	json_t *doc = NULL;
	int rc, status;

	memset(rows, 0, sizeof(*rows));
	if (asprintf(&target, "/table/rows?prefix=%s%s%s&limit=%zu", prefix_esc,
		after != NULL ? "&after=" : "", after_esc, limit) < 0) {
		target = NULL;
		rc = mu_plat_nomem(e);
		goto out;
	}
	rc = get_json(p, target, &doc, &status, e);
	if (rc != 0)
		goto out;
	rc = parse_rows(doc, rows, e);
	if (rc != 0)
		mu_rows_clear(rows);
	json_decref(doc);
out:
	free(target);
	free(after_esc);
	free(prefix_esc);
	return rc;
}

/*
 * Copies a string field, or "" when it is missing; returns false if it does
 * not fit.
 */
static bool
copy_field(const json_t *j, const char *name, char *to, size_t size)
{
	const char *s = json_string_value(json_object_get(j, name));

	if (s == NULL)
		s = "";
	if (strlen(s) >= size)
		return false;
	memcpy(to, s, strlen(s) + 1);
	return true;
}

/*
 * Parses one host.  The caller skips an invalid entry, so that it does not
 * make the whole list unusable.  Any state other than "live" counts as
 * leaving: such a host gets no new work.
 */
static bool
parse_host(const json_t *j, struct mu_host *h)
{
	const char *role = json_string_value(json_object_get(j, "role"));
	const char *state = json_string_value(json_object_get(j, "state"));

	memset(h, 0, sizeof(*h));
	if (role == NULL || state == NULL)
		return false;
	if (strcmp(role, "entry") == 0)
		h->role = MU_HOST_ENTRY;
	else if (strcmp(role, "endpoint") == 0)
		h->role = MU_HOST_ENDPOINT;
	else
		return false;
	h->state = strcmp(state, "live") == 0 ? MU_HOST_LIVE : MU_HOST_LEAVING;
	return copy_field(j, "name", h->name, sizeof(h->name)) &&
	       copy_field(j, "addr", h->addr, sizeof(h->addr)) &&
	       copy_field(j, "peer", h->peer, sizeof(h->peer)) &&
	       copy_field(j, "service", h->service, sizeof(h->service)) &&
	       copy_field(j, "domain", h->domain, sizeof(h->domain)) &&
	       copy_field(j, "region", h->region, sizeof(h->region)) &&
	       h->name[0] != '\0' && h->addr[0] != '\0';
}

int
mu_platform_hosts(
    struct mu_platform *p, struct mu_hosts *hosts, struct mu_error *e)
{
	json_t *doc = NULL;
	const json_t *a;
	size_t i, n;
	int rc, status;

	memset(hosts, 0, sizeof(*hosts));
	rc = get_json(p, "/hosts", &doc, &status, e);
	if (rc != 0)
		return rc;
	a = json_object_get(doc, "hosts");
	n = json_array_size(a);
	if (status != 200 || !json_is_array(a)) {
		rc = malformed_response(e, "host list");
		goto out;
	}
	hosts->host = calloc(n + 1, sizeof(*hosts->host));
	if (hosts->host == NULL) {
		rc = mu_plat_nomem(e);
		goto out;
	}
	for (i = 0; i < n; i++) {
		if (parse_host(
			json_array_get(a, i), &hosts->host[hosts->count]))
			hosts->count++;
	}
out:
	json_decref(doc);
	return rc;
}

void
mu_row_clear(struct mu_row *row)
{
	free(row->key);
	free(row->value);
	memset(row, 0, sizeof(*row));
}

void
mu_rows_clear(struct mu_rows *rows)
{
	size_t i;

	for (i = 0; i < rows->count; i++)
		mu_row_clear(&rows->row[i]);
	free(rows->row);
	memset(rows, 0, sizeof(*rows));
}

void
mu_hosts_clear(struct mu_hosts *hosts)
{
	free(hosts->host);
	memset(hosts, 0, sizeof(*hosts));
}
