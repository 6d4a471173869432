/*
 * platform.c -- stand-in for the platform: table service, object store and
 * host list.
 *
 * Rows are an array in key order: a lookup is a binary search, a list scans
 * from there, and an insert moves the tail.  One mutex is held for the whole
 * transaction, which makes it serializable.  A revision is the number of the
 * transaction that wrote the row, so a row that was deleted and rewritten
 * never gets an old revision again.
 *
 * All versions of the host list are kept, because host_lag_ms may select any
 * of them.
 */
#include <stdlib.h>
#include <string.h>

#include "serve.h"

#define MAX_LIST_ROWS 1000 /* per answer */

struct row {
	char *key;
	char *value;
	size_t len;
	uint64_t rev;
};

/* Rows or objects in key order. */
struct table {
	struct row *rows;
	size_t n;
	size_t cap;
};

/* One version of the host list. */
struct host_list {
	struct cds_list_head node;
	mu_us set_at;
	json_t *list;
};

static struct {
	pthread_mutex_t lock;
	struct table rows;
	struct table objects;
	uint64_t rev; /* number of committed transactions */
	struct cds_list_head hosts; /* oldest first */
} plat = {
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .hosts = CDS_LIST_HEAD_INIT(plat.hosts),
};

/* Index of the first row whose key is not less than key. */
static size_t
table_lower_bound(const struct table *t, const char *key)
{
	size_t lo = 0, hi = t->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (strcmp(t->rows[mid].key, key) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static struct row *
table_find(const struct table *t, const char *key)
{
	size_t i = table_lower_bound(t, key);

	if (i == t->n || strcmp(t->rows[i].key, key) != 0)
		return NULL;
	return &t->rows[i];
}

static struct row *
table_insert(struct table *t, const char *key)
{
	size_t i = table_lower_bound(t, key);
	struct row *r;

	if (t->n == t->cap) {
		t->cap = t->cap == 0 ? 64 : 2 * t->cap;
		r = realloc(t->rows, t->cap * sizeof(*r));
		if (r == NULL)
			abort();
		t->rows = r;
	}
	r = &t->rows[i];
	memmove(r + 1, r, (t->n - i) * sizeof(*r));
	t->n++;
	memset(r, 0, sizeof(*r));
	r->key = strdup(key);
	return r;
}

static void
table_put(struct table *t, const char *key, const char *value, size_t len,
    uint64_t rev)
{
	struct row *r = table_find(t, key);
	char *copy = malloc(len + 1);

	if (copy == NULL)
		abort();
	memcpy(copy, value, len);
	copy[len] = '\0';
	if (r == NULL)
		r = table_insert(t, key);
	free(r->value);
	r->value = copy;
	r->len = len;
	r->rev = rev;
}

static void
table_delete(struct table *t, const char *key)
{
	struct row *r = table_find(t, key);
	size_t after;

	if (r == NULL)
		return;
	free(r->key);
	free(r->value);
	after = t->n - (size_t)(r - t->rows) - 1;
	memmove(r, r + 1, after * sizeof(*r));
	t->n--;
}

static json_t *
row_json(const struct row *r)
{
	return json_pack("{s:s,s:s%,s:I}", "key", r->key, "value", r->value,
	    r->len, "rev", (json_int_t)r->rev);
}

/* Whether all members of the transaction have the right types. */
static bool
txn_valid(const json_t *txn)
{
	static const char *const parts[] = {"checks", "puts", "deletes"};
	json_t *v, *part;
	const char *key, *value;
	json_int_t rev;
	size_t i, j;

	if (!json_is_object(txn))
		return false;
	for (i = 0; i < 3; i++) {
		part = json_object_get(txn, parts[i]);
		if (part != NULL && !json_is_array(part))
			return false;
		json_array_foreach (part, j, v) {
			if (i == 0 && json_unpack(v, "{s:s,s:I}", "key", &key,
					  "rev", &rev) != 0)
				return false;
			if (i == 1 && json_unpack(v, "{s:s,s:s}", "key", &key,
					  "value", &value) != 0)
				return false;
			if (i == 2 && !json_is_string(v))
				return false;
		}
	}
	return true;
}

/* Key of the first check that fails, or NULL; *rev is its revision. */
static const char *
txn_conflict(const json_t *txn, uint64_t *rev)
{
	const struct row *r;
	json_t *v;
	size_t i;

	json_array_foreach (json_object_get(txn, "checks"), i, v) {
		const char *key = json_string_value(json_object_get(v, "key"));
		json_t *want = json_object_get(v, "rev");

		r = table_find(&plat.rows, key);
		*rev = r == NULL ? 0 : r->rev;
		if (*rev != (uint64_t)json_integer_value(want))
			return key;
	}
	return NULL;
}

static void
txn_apply(const json_t *txn)
{
	json_t *v;
	size_t i;

	plat.rev++;
	json_array_foreach (json_object_get(txn, "puts"), i, v) {
		const json_t *value = json_object_get(v, "value");

		table_put(&plat.rows,
		    json_string_value(json_object_get(v, "key")),
		    json_string_value(value), json_string_length(value),
		    plat.rev);
	}
	json_array_foreach (json_object_get(txn, "deletes"), i, v) {
		table_delete(&plat.rows, json_string_value(v));
	}
}

static void
txn_post(struct serve_req *q, struct serve_answer *a)
{
	const char *key;
	uint64_t rev = 0;

	if (!txn_valid(q->json)) {
		serve_error(a, 400, "bad_request");
		return;
	}
	serve_count(q->s, "writes");
	pthread_mutex_lock(&plat.lock);
	key = txn_conflict(q->json, &rev);
	if (key == NULL) {
		txn_apply(q->json);
		rev = plat.rev;
	}
	pthread_mutex_unlock(&plat.lock);
	if (key != NULL) {
		serve_count(q->s, "conflicts");
		serve_json(a, 409,
		    json_pack("{s:b,s:s,s:I}", "ok", 0, "key", key, "rev",
			(json_int_t)rev));
		return;
	}
	a->took_effect = true;
	serve_json(
	    a, 200, json_pack("{s:b,s:I}", "ok", 1, "rev", (json_int_t)rev));
}

static void
row_get(struct serve_req *q, struct serve_answer *a)
{
	const char *key = serve_query_arg(q, "key");
	const struct row *r;

	if (key == NULL) {
		serve_error(a, 400, "bad_request");
		return;
	}
	serve_count(q->s, "reads");
	pthread_mutex_lock(&plat.lock);
	r = table_find(&plat.rows, key);
	if (r != NULL)
		serve_json(a, 200, row_json(r));
	else
		serve_json(
		    a, 404, json_pack("{s:s,s:i}", "key", key, "rev", 0));
	pthread_mutex_unlock(&plat.lock);
}

static bool
has_prefix(const char *s, const char *prefix)
{
	return strncmp(s, prefix, strlen(prefix)) == 0;
}

static void
rows_get(struct serve_req *q, struct serve_answer *a)
{
	const char *prefix = serve_query_arg(q, "prefix");
	const char *after = serve_query_arg(q, "after");
	uint64_t limit = serve_query_uint(q, "limit", MAX_LIST_ROWS);
	json_t *rows = json_array();
	const struct row *r, *end;
	bool more;

	if (prefix == NULL)
		prefix = "";
	if (limit == 0 || limit > MAX_LIST_ROWS)
		limit = MAX_LIST_ROWS;
	serve_count(q->s, "reads");
	pthread_mutex_lock(&plat.lock);
	end = plat.rows.rows + plat.rows.n;
	r = plat.rows.rows + table_lower_bound(&plat.rows, prefix);
	if (after != NULL && strcmp(after, prefix) >= 0) {
		r = plat.rows.rows + table_lower_bound(&plat.rows, after);
		if (r < end && strcmp(r->key, after) == 0)
			r++;
	}
	for (; r < end && has_prefix(r->key, prefix); r++) {
		if (json_array_size(rows) == limit)
			break;
		json_array_append_new(rows, row_json(r));
	}
	more = r < end && has_prefix(r->key, prefix);
	pthread_mutex_unlock(&plat.lock);
	serve_json(
	    a, 200, json_pack("{s:o,s:b}", "rows", rows, "more", (int)more));
}

static void
object_get(const char *name, struct serve_answer *a)
{
	const struct row *r;

	pthread_mutex_lock(&plat.lock);
	r = table_find(&plat.objects, name);
	if (r == NULL) {
		serve_error(a, 404, "not_found");
	} else {
		a->kind = SERVE_BYTES;
		a->status = 200;
		a->u.bytes.data = malloc(r->len + 1);
		a->u.bytes.len = r->len;
		if (a->u.bytes.data == NULL)
			abort();
		memcpy(a->u.bytes.data, r->value, r->len + 1);
	}
	pthread_mutex_unlock(&plat.lock);
}

static void
object_request(struct serve_req *q, struct serve_answer *a)
{
	const char *name = q->path + strlen("/objects/");

	if (strcmp(q->method, "GET") == 0) {
		serve_count(q->s, "object_reads");
		object_get(name, a);
		return;
	}
	serve_count(q->s, "object_writes");
	pthread_mutex_lock(&plat.lock);
	if (strcmp(q->method, "PUT") == 0)
		table_put(&plat.objects, name, q->body, q->len, 0);
	else
		table_delete(&plat.objects, name);
	pthread_mutex_unlock(&plat.lock);
	a->took_effect = true;
	a->kind = SERVE_BYTES;
	a->status = strcmp(q->method, "PUT") == 0 ? 201 : 204;
	a->u.bytes.data = calloc(1, 1);
	a->u.bytes.len = 0;
}

/* The newest version of the host list that was set at or before a time. */
static json_t *
hosts_at(mu_us at)
{
	json_t *newest = NULL;
	struct host_list *h;

	cds_list_for_each_entry (h, &plat.hosts, node) {
		if (h->set_at > at)
			break;
		newest = h->list;
	}
	return newest == NULL ? json_array() : json_deep_copy(newest);
}

static void
hosts_get(struct serve_req *q, struct serve_answer *a)
{
	mu_us lag = serve_get_faults(q->s).host_lag_ms * MU_US_PER_MS;
	json_t *list;

	serve_count(q->s, "host_reads");
	pthread_mutex_lock(&plat.lock);
	list = hosts_at(serve_now(q->s) - lag);
	pthread_mutex_unlock(&plat.lock);
	serve_json(a, 200, json_pack("{s:o}", "hosts", list));
}

static void
hosts_post(struct serve_req *q, struct serve_answer *a)
{
	json_t *list = json_object_get(q->json, "hosts");
	struct host_list *h;

	if (!json_is_array(list) || (h = calloc(1, sizeof(*h))) == NULL) {
		serve_error(a, 400, "bad_request");
		return;
	}
	h->set_at = serve_now(q->s);
	h->list = json_deep_copy(list);
	pthread_mutex_lock(&plat.lock);
	cds_list_add_tail(&h->node, &plat.hosts);
	pthread_mutex_unlock(&plat.lock);
	serve_json(a, 200, json_pack("{s:b}", "ok", 1));
}

static void
handle(struct serve_req *q, struct serve_answer *a)
{
	if (serve_matches(q, "POST", "/table/txn"))
		txn_post(q, a);
	else if (serve_matches(q, "GET", "/table/row"))
		row_get(q, a);
	else if (serve_matches(q, "GET", "/table/rows"))
		rows_get(q, a);
	else if (serve_matches(q, "GET", "/hosts"))
		hosts_get(q, a);
	else if (has_prefix(q->path, "/objects/"))
		object_request(q, a);
	else
		serve_error(a, 404, "not_found");
}

static void
handle_fault(struct serve_req *q, struct serve_answer *a)
{
	if (serve_matches(q, "POST", "/hosts"))
		hosts_post(q, a);
	else
		serve_error(a, 404, "not_found");
}

static struct server server = {
    .name = "platform",
    .handle = handle,
    .handle_fault = handle_fault,
};

static error_t
parse(int key, char *arg, struct argp_state *st)
{
	(void)arg;
	if (key != ARGP_KEY_INIT)
		return ARGP_ERR_UNKNOWN;
	st->child_inputs[0] = &server;
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp_child children[] = {
	    {&serve_argp, 0, NULL, 0}, {0}};
	static const struct argp argp = {.parser = parse,
	    .doc = "Stand-in for the platform: table service, object store "
		   "and host list.",
	    .children = children};

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	return serve_run(&server);
}
