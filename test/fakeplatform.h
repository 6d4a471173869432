/*
 * fakeplatform.h -- platform module with an in-memory table.
 *
 * Defines the functions of platform.h, which the linker uses in place of those
 * in platform.c.  A test selects the result of the next commits.
 */
#ifndef MU_FAKEPLATFORM_H
#define MU_FAKEPLATFORM_H

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"

#define FAKE_ROWS 2048

enum fake_mode {
	FAKE_OK,
	FAKE_COMMIT_NOT_RUN, /* not applied, and reported as such */
	FAKE_COMMIT_ANSWER_LOST, /* applied, but the answer is lost */
	FAKE_COMMIT_DROPPED, /* not applied, and the answer is lost */
	FAKE_CONCURRENT_WRITE /* another process writes the row of the last
			  check just before the commit */
};

static struct {
	pthread_mutex_t lock;
	struct mu_row row[FAKE_ROWS];
	size_t nrows;
	uint64_t rev;
	enum fake_mode mode;
	int mode_commits_left; /* commits in this mode; -1: all */
	int commits; /* attempted */
	bool unreadable; /* get and list fail */
	char object[128];
	char *object_data;
} fake = {.lock = PTHREAD_MUTEX_INITIALIZER};

static inline void
fake_reset(void)
{
	size_t i;

	for (i = 0; i < fake.nrows; i++) {
		free(fake.row[i].key);
		free(fake.row[i].value);
	}
	free(fake.object_data);
	fake.object_data = NULL;
	fake.object[0] = '\0';
	fake.nrows = 0;
	fake.rev = 0;
	fake.mode = FAKE_OK;
	fake.commits = 0;
	fake.unreadable = false;
}

static inline void
fake_mode(enum fake_mode mode, int times)
{
	pthread_mutex_lock(&fake.lock);
	fake.mode = mode;
	fake.mode_commits_left = times;
	pthread_mutex_unlock(&fake.lock);
}

static struct mu_row *
fake_find(const char *key)
{
	size_t i;

	for (i = 0; i < fake.nrows; i++)
		if (strcmp(fake.row[i].key, key) == 0)
			return &fake.row[i];
	return NULL;
}

static inline void
fake_put(const char *key, const char *value, uint64_t rev)
{
	struct mu_row *r = fake_find(key);

	if (r == NULL) {
		r = &fake.row[fake.nrows++];
		r->key = strdup(key);
		r->value = NULL;
	}
	free(r->value);
	r->value = value != NULL ? strdup(value) : NULL;
	r->value_len = value != NULL ? strlen(value) : 0;
	r->rev = value != NULL ? rev : 0;
}

/* Writes a row as another process would; returns its revision. */
static inline uint64_t
fake_write(const char *key, const char *value)
{
	uint64_t rev;

	pthread_mutex_lock(&fake.lock);
	rev = ++fake.rev;
	fake_put(key, value, rev);
	pthread_mutex_unlock(&fake.lock);
	return rev;
}

static inline void
fake_apply(const struct mu_txn *txn, struct mu_commit *out)
{
	struct mu_row *r;
	size_t i;

	for (i = 0; i < txn->nchecks; i++) {
		r = fake_find(txn->checks[i].key);
		if ((r != NULL ? r->rev : 0) == txn->checks[i].rev)
			continue;
		out->kind = MU_COMMIT_CONFLICT;
		out->rev = r != NULL ? r->rev : 0;
		(void)snprintf(
		    out->key, sizeof(out->key), "%s", txn->checks[i].key);
		return;
	}
	fake.rev++;
	for (i = 0; i < txn->nputs; i++)
		fake_put(txn->puts[i].key, txn->puts[i].value, fake.rev);
	out->kind = MU_COMMIT_DONE;
	out->rev = fake.rev;
}

void
mu_platform_commit(
    struct mu_platform *p, const struct mu_txn *txn, struct mu_commit *out)
{
	enum fake_mode mode;

	(void)p;
	memset(out, 0, sizeof(*out));
	pthread_mutex_lock(&fake.lock);
	fake.commits++;
	mode = fake.mode_commits_left != 0 ? fake.mode : FAKE_OK;
	if (fake.mode_commits_left > 0)
		fake.mode_commits_left--;
	if (mode == FAKE_CONCURRENT_WRITE)
		fake_put(txn->checks[txn->nchecks - 1].key,
		    "{\"counter\":9,\"token\":\"other\"}", ++fake.rev);
	if (mode == FAKE_OK || mode == FAKE_COMMIT_ANSWER_LOST ||
	    mode == FAKE_CONCURRENT_WRITE)
		fake_apply(txn, out);
	if (mode == FAKE_COMMIT_NOT_RUN)
		out->kind = MU_COMMIT_REFUSED;
	if (mode == FAKE_COMMIT_ANSWER_LOST || mode == FAKE_COMMIT_DROPPED)
		out->kind = MU_COMMIT_UNKNOWN;
	pthread_mutex_unlock(&fake.lock);
}

int
mu_platform_get(struct mu_platform *p, const char *key, struct mu_row *row,
    struct mu_error *e)
{
	struct mu_row *r;

	(void)p;
	memset(row, 0, sizeof(*row));
	pthread_mutex_lock(&fake.lock);
	if (fake.unreadable) {
		pthread_mutex_unlock(&fake.lock);
		return mu_fail(
		    e, MU_E_PLATFORM_DOWN, MU_OUTCOME_NOT_RUN, 0, "down");
	}
	r = fake_find(key);
	row->key = strdup(key);
	if (r != NULL && r->value != NULL) {
		row->value = strdup(r->value);
		row->value_len = r->value_len;
		row->rev = r->rev;
	}
	pthread_mutex_unlock(&fake.lock);
	return 0;
}

static int
fake_compare(const void *a, const void *b)
{
	return strcmp(
	    ((const struct mu_row *)a)->key, ((const struct mu_row *)b)->key);
}

int
mu_platform_list(struct mu_platform *p, const char *prefix, const char *after,
    size_t limit, struct mu_rows *rows, struct mu_error *e)
{
	struct mu_row *r;
	size_t i;

	(void)p;
	memset(rows, 0, sizeof(*rows));
	pthread_mutex_lock(&fake.lock);
	if (fake.unreadable) {
		pthread_mutex_unlock(&fake.lock);
		return mu_fail(
		    e, MU_E_PLATFORM_DOWN, MU_OUTCOME_NOT_RUN, 0, "down");
	}
	rows->row = calloc(fake.nrows + 1, sizeof(*rows->row));
	for (i = 0; i < fake.nrows && rows->row != NULL; i++) {
		r = &fake.row[i];
		if (r->value == NULL ||
		    strncmp(r->key, prefix, strlen(prefix)) != 0 ||
		    (after != NULL && strcmp(r->key, after) <= 0))
			continue;
		rows->row[rows->count++] = (struct mu_row){
		    strdup(r->key), strdup(r->value), r->value_len, r->rev};
	}
	pthread_mutex_unlock(&fake.lock);
	if (rows->row == NULL)
		return MU_E_NOMEM;
	qsort(rows->row, rows->count, sizeof(*rows->row), fake_compare);
	while (rows->count > limit) {
		rows->count--;
		free(rows->row[rows->count].key);
		free(rows->row[rows->count].value);
		rows->more = true;
	}
	return 0;
}

int
mu_platform_put_object(struct mu_platform *p, const char *name,
    const void *data, size_t len, struct mu_error *e)
{
	(void)p;
	(void)e;
	(void)snprintf(fake.object, sizeof(fake.object), "%s", name);
	free(fake.object_data);
	fake.object_data = strndup(data, len);
	return 0;
}

int
mu_platform_get_object(struct mu_platform *p, const char *name, char **data,
    size_t *len, struct mu_error *e)
{
	(void)p;
	if (strcmp(name, fake.object) != 0 || fake.object_data == NULL)
		return mu_fail(
		    e, MU_E_NOT_FOUND, MU_OUTCOME_NOT_RUN, 0, "no object");
	*data = strdup(fake.object_data);
	*len = strlen(fake.object_data);
	return 0;
}

int
mu_platform_delete_object(
    struct mu_platform *p, const char *name, struct mu_error *e)
{
	(void)p;
	(void)name;
	(void)e;
	return 0;
}

int
mu_platform_hosts(
    struct mu_platform *p, struct mu_hosts *hosts, struct mu_error *e)
{
	(void)p;
	(void)e;
	memset(hosts, 0, sizeof(*hosts));
	return 0;
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

#endif
