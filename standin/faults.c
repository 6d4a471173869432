/*
 * faults.c -- active faults, and the execution log and counters for tests.
 *
 * Fields of POST /fault are found by name in tables of offsets, one for each
 * type.  Counted faults are decremented under the lock, so that a count of N
 * affects exactly N requests.  An execution is logged before it takes effect,
 * and to the file as well, so that a crash does not hide it.
 */
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "serve_private.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static const struct {
	const char *name;
	size_t off;
} bool_fields[] = {
    {"down", offsetof(struct serve_fault, down)},
    {"refuse", offsetof(struct serve_fault, refuse)},
};

static const struct {
	const char *name;
	size_t off;
} uint_fields[] = {
    {"slow_ms", offsetof(struct serve_fault, slow_ms)},
    {"lose_answers", offsetof(struct serve_fault, lose_answers)},
    {"fail_answers", offsetof(struct serve_fault, fail_answers)},
    {"truncate", offsetof(struct serve_fault, truncate)},
    {"cross", offsetof(struct serve_fault, cross)},
    {"duplicate", offsetof(struct serve_fault, duplicate)},
    {"report_lag_ms", offsetof(struct serve_fault, report_lag_ms)},
    {"event_lag_ms", offsetof(struct serve_fault, event_lag_ms)},
    {"host_lag_ms", offsetof(struct serve_fault, host_lag_ms)},
    {"token_ms", offsetof(struct serve_fault, token_ms)},
    {"work_ms", offsetof(struct serve_fault, work_ms)},
};

static const struct {
	const char *name;
	size_t off;
} text_fields[] = {
    {"crash_on", offsetof(struct serve_fault, crash_on)},
    {"match", offsetof(struct serve_fault, match)},
};

struct serve_fault
serve_get_faults(struct server *s)
{
	struct serve_fault f;

	pthread_mutex_lock(&s->lock);
	f = s->fault;
	pthread_mutex_unlock(&s->lock);
	return f;
}

bool
serve_consume_fault(struct server *s, uint32_t *n, const char *body)
{
	const char *match;
	bool took = false;

	pthread_mutex_lock(&s->lock);
	match = s->fault.match;
	if (*n > 0 && (match == NULL || strstr(body, match) != NULL)) {
		--*n;
		took = true;
	}
	pthread_mutex_unlock(&s->lock);
	return took;
}

void
serve_count(struct server *s, const char *name)
{
	unsigned i;

	pthread_mutex_lock(&s->lock);
	for (i = 0; i < SERVE_MAX_COUNTERS; i++) {
		if (s->counters[i].name == NULL)
			s->counters[i].name = name;
		if (strcmp(s->counters[i].name, name) == 0) {
			s->counters[i].n++;
			break;
		}
	}
	pthread_mutex_unlock(&s->lock);
}

uint64_t
serve_log_execution(struct server *s, const json_t *request)
{
	static const char *const keys[] = {
	    "request_id", "program", "seq", "operation", "epoch"};
	json_t *e = json_object();
	uint64_t n;
	size_t i;

	for (i = 0; i < COUNT(keys); i++) {
		json_t *v = json_object_get(request, keys[i]);

		json_object_set_new(
		    e, keys[i], v == NULL ? json_null() : json_deep_copy(v));
	}
	pthread_mutex_lock(&s->lock);
	if (s->executed_log != NULL) {
		json_dumpf(e, s->executed_log, JSON_COMPACT);
		fputc('\n', s->executed_log);
		fflush(s->executed_log);
	}
	json_array_append_new(s->executed, e);
	n = json_array_size(s->executed);
	pthread_mutex_unlock(&s->lock);
	return n;
}

const char *
serve_answer_id(struct serve_req *q, char buf[MU_NAME_LEN + 1], const char *id)
{
	struct server *s = q->s;
	bool cross = serve_consume_fault(s, &s->fault.cross, q->body);

	pthread_mutex_lock(&s->lock);
	if (!cross)
		snprintf(buf, MU_NAME_LEN + 1, "%s", id);
	else if (s->last_id[0] != '\0' && strcmp(s->last_id, id) != 0)
		snprintf(buf, MU_NAME_LEN + 1, "%s", s->last_id);
	else
		snprintf(buf, MU_NAME_LEN + 1, "other-request");
	snprintf(s->last_id, sizeof(s->last_id), "%s", id);
	pthread_mutex_unlock(&s->lock);
	return buf;
}

static bool
text_set(char **field, const json_t *v)
{
	if (!json_is_string(v) && !json_is_null(v))
		return false;
	free(*field);
	*field = json_is_null(v) ? NULL : strdup(json_string_value(v));
	return true;
}

static bool
fencing_set(struct serve_fault *f, const json_t *v)
{
	const char *t = json_string_value(v);

	if (t == NULL || (strcmp(t, "honour") != 0 && strcmp(t, "ignore") != 0))
		return false;
	f->fencing = strcmp(t, "honour") == 0;
	return true;
}

/* Sets one field; false when no field has this name and type. */
static bool
fault_set(struct serve_fault *f, const char *key, const json_t *v)
{
	char *base = (char *)f;
	size_t i;

	for (i = 0; i < COUNT(bool_fields); i++)
		if (strcmp(key, bool_fields[i].name) == 0) {
			*(bool *)(base + bool_fields[i].off) = json_is_true(v);
			return json_is_boolean(v);
		}
	for (i = 0; i < COUNT(uint_fields); i++)
		if (strcmp(key, uint_fields[i].name) == 0) {
			*(uint32_t *)(base + uint_fields[i].off) =
			    (uint32_t)json_integer_value(v);
			return json_is_integer(v) && json_integer_value(v) >= 0;
		}
	for (i = 0; i < COUNT(text_fields); i++)
		if (strcmp(key, text_fields[i].name) == 0)
			return text_set(
			    (char **)(base + text_fields[i].off), v);
	if (strcmp(key, "fencing") == 0)
		return fencing_set(f, v);
	if (strcmp(key, "event_loss") == 0) {
		f->event_loss = json_number_value(v);
		return json_is_number(v);
	}
	/* Handled by fault_post(). */
	return strcmp(key, "reset") == 0 || strcmp(key, "freeze") == 0 ||
	       strcmp(key, "cut") == 0;
}

static void
fault_reset(struct server *s)
{
	free(s->fault.crash_on);
	free(s->fault.match);
	s->fault = s->initial_fault;
}

void
fault_post(struct serve_req *q, struct serve_answer *a)
{
	struct server *s = q->s;
	bool ok = json_is_object(q->json);
	const char *key;
	json_t *v;

	pthread_mutex_lock(&s->lock);
	if (json_is_true(json_object_get(q->json, "reset")))
		fault_reset(s);
	json_object_foreach (q->json, key, v) {
		ok = fault_set(&s->fault, key, v) && ok;
	}
	pthread_mutex_unlock(&s->lock);
	if (!ok) {
		serve_error(a, 400, "unknown_fault");
		return;
	}
	if (json_is_true(json_object_get(q->json, "freeze")))
		conns_freeze(s);
	if (json_is_true(json_object_get(q->json, "cut")))
		conns_cut(s);
	if (s->on_fault != NULL)
		s->on_fault(s, q->json);
	serve_json(a, 200, json_pack("{s:b}", "ok", 1));
}

void
executed_get(struct server *s, struct serve_answer *a)
{
	json_t *copy;

	pthread_mutex_lock(&s->lock);
	copy = json_copy(s->executed);
	pthread_mutex_unlock(&s->lock);
	serve_json(a, 200, json_pack("{s:o}", "executed", copy));
}

void
counts_get(struct server *s, struct serve_answer *a)
{
	json_t *o = json_object();
	unsigned i;

	pthread_mutex_lock(&s->lock);
	for (i = 0; i < SERVE_MAX_COUNTERS && s->counters[i].name != NULL; i++)
		json_object_set_new(o, s->counters[i].name,
		    json_integer((json_int_t)s->counters[i].n));
	pthread_mutex_unlock(&s->lock);
	serve_json(a, 200, o);
}
