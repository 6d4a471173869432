/*
 * submit.c -- submitting services texts and drains, and the audit trail.
 *
 * One transaction, conditional on the current row's revision, writes the new
 * current row, the version's own row, the submitter's token and the audit
 * entry.  So an accepted change always has its audit entry, and of two
 * operators who submit at once one gets a conflict that names the other.  When
 * the platform's answer is lost, the token row tells whether the change was
 * accepted, on this daemon or on any other that the operator retries at (spec:
 * Submit).
 */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config_private.h"
#include "log.h"
#include "metric.h"
#include "wait.h"

#define KEY_SIZE 160
#define MAX_ATTEMPTS 5 /* when a concurrent entry takes the audit number */
#define COMMIT_MAX_ATTEMPTS 20
#define COMMIT_RETRY_INTERVAL_MS 100
#define RETRY_AFTER_MS 1000
#define TOKEN_MAX_LEN 64
#define ENTRY_ID_SIZE 33 /* 16 random bytes in hex, and a NUL */

static int64_t
wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Reads a row as JSON; *j is NULL when it does not exist. */
static int
read_json(struct mu_config *c, const char *key, json_t **j, uint64_t *rev,
    struct mu_error *e)
{
	struct mu_row row = {0};
	int rc;

	*j = NULL;
	*rev = 0;
	mu_count(MU_M_PLATFORM_READS, 1);
	rc = mu_platform_get(c->d->platform, key, &row, e);
	if (rc != 0)
		return rc;
	if (row.value != NULL)
		*j = json_loads(row.value, 0, NULL);
	*rev = row.rev;
	mu_row_clear(&row);
	return 0;
}

json_t *
mu_config_read(struct mu_config *c, uint64_t version, struct mu_error *e)
{
	char key[KEY_SIZE] = "config/current";
	uint64_t rev;
	json_t *j;

	if (version != 0)
		(void)snprintf(key, sizeof(key), "config/v/%012llu",
		    (unsigned long long)version);
	if (read_json(c, key, &j, &rev, e) != 0)
		return NULL;
	if (j == NULL)
		mu_fail(e, MU_E_NOT_FOUND, MU_OUTCOME_NOT_RUN, 0,
		    "no such version");
	return j;
}

/*
 * The audit trail.
 */

/* Reads the number of the last entry from the row "audit/last". */
static int
read_last_entry_number(
    struct mu_config *c, uint64_t *n, uint64_t *rev, struct mu_error *e)
{
	json_t *j;
	int rc = read_json(c, "audit/last", &j, rev, e);

	if (rc != 0)
		return rc;
	*n = (uint64_t)json_integer_value(json_object_get(j, "n"));
	json_decref(j);
	return 0;
}

json_t *
mu_config_read_audit(
    struct mu_config *c, uint64_t after, size_t limit, struct mu_error *e)
{
	char from[KEY_SIZE];
	struct mu_rows rows = {0};
	json_t *list, *entry;
	uint64_t next = after;
	size_t i;

	(void)snprintf(
	    from, sizeof(from), "audit/e/%012llu", (unsigned long long)after);
	mu_count(MU_M_PLATFORM_READS, 1);
	if (mu_platform_list(
		c->d->platform, "audit/e/", from, limit, &rows, e) != 0)
		return NULL;
	list = json_array();
	for (i = 0; i < rows.count; i++) {
		entry = json_loads(rows.row[i].value, 0, NULL);
		if (entry == NULL)
			continue;
		next =
		    (uint64_t)json_integer_value(json_object_get(entry, "n"));
		json_array_append_new(list, entry);
	}
	mu_rows_clear(&rows);
	return json_pack(
	    "{s:o,s:I}", "entries", list, "next", (json_int_t)next);
}

/*
 * One change with its audit entry.
 */

#define CHANGE_MAX_ROWS 8

struct change {
	struct mu_txn_check checks[CHANGE_MAX_ROWS];
	struct mu_txn_put puts[CHANGE_MAX_ROWS];
	char keys[CHANGE_MAX_ROWS][KEY_SIZE];
	char *values[CHANGE_MAX_ROWS];
	struct mu_txn txn;
	unsigned nkeys;
};

static const char *
change_key(struct change *change, const char *fmt, const char *arg)
{
	char *key = change->keys[change->nkeys++];

	(void)snprintf(key, KEY_SIZE, fmt, arg);
	return key;
}

static void
change_check(struct change *change, const char *key, uint64_t rev)
{
	change->checks[change->txn.nchecks++] = (struct mu_txn_check){key, rev};
}

/* Puts j, and takes over its reference; NULL deletes the row. */
static void
change_put(struct change *change, const char *key, json_t *j)
{
	char *text = j != NULL ? json_dumps(j, JSON_COMPACT) : NULL;

	json_decref(j);
	change->values[change->txn.nputs] = text;
	change->puts[change->txn.nputs++] =
	    (struct mu_txn_put){key, text, text != NULL ? strlen(text) : 0};
}

static void
change_clear(struct change *change)
{
	size_t i;

	for (i = 0; i < change->txn.nputs; i++)
		free(change->values[i]);
}

/* Adds audit entry number n, and takes over its reference. */
static void
change_audit(
    struct change *change, uint64_t n, uint64_t last_rev, json_t *entry)
{
	char number[24];
	const char *key;

	json_object_set_new(entry, "n", json_integer((json_int_t)n));
	json_object_set_new(entry, "at_ms", json_integer(wall_ms()));
	(void)snprintf(
	    number, sizeof(number), "%012llu", (unsigned long long)n);
	key = change_key(change, "audit/e/%s", number);
	change_check(change, key, 0);
	change_put(change, key, entry);
	key = change_key(change, "audit/%s", "last");
	change_check(change, key, last_rev);
	change_put(change, key, json_pack("{s:I}", "n", (json_int_t)n));
}

/*
 * Sends the change until its outcome is definite, at most COMMIT_MAX_ATTEMPTS
 * times.  Returns true when an answer was lost: a conflict may then be with an
 * earlier attempt of this same change.
 */
static bool
change_commit(struct mu_config *c, struct change *change, struct mu_commit *out)
{
	bool outcome_unknown = false;
	int i;

	change->txn.checks = change->checks;
	change->txn.puts = change->puts;
	for (i = 0; i < COMMIT_MAX_ATTEMPTS; i++) {
		mu_count(MU_M_PLATFORM_WRITES, 1);
		mu_platform_commit(c->d->platform, &change->txn, out);
		if (out->kind == MU_COMMIT_DONE ||
		    out->kind == MU_COMMIT_CONFLICT)
			return outcome_unknown;
		if (out->kind == MU_COMMIT_REFUSED && !outcome_unknown)
			return false;
		outcome_unknown = true;
		mu_sleep_ms(COMMIT_RETRY_INTERVAL_MS);
	}
	out->kind = MU_COMMIT_UNKNOWN;
	return true;
}

/*
 * Submitting a text.
 */

/* Reads the version that an earlier submit with this token created; 0: none. */
static int
read_token_version(struct mu_config *c, const char *token, uint64_t *version,
    struct mu_error *e)
{
	char key[KEY_SIZE];
	uint64_t rev;
	json_t *j;
	int rc;

	(void)snprintf(key, sizeof(key), "config/token/%s", token);
	rc = read_json(c, key, &j, &rev, e);
	*version = (uint64_t)json_integer_value(json_object_get(j, "version"));
	json_decref(j);
	return rc;
}

static int
validate_submit(const struct mu_submit *s, struct mu_error *e)
{
	struct mu_text *t;
	size_t i, len = strlen(s->token);
	int rc;

	if (len == 0 || len > TOKEN_MAX_LEN)
		return mu_fail(e, MU_E_BAD_REQUEST, MU_OUTCOME_NOT_RUN, 0,
		    "token: expected 1 to 64 letters, digits or dashes");
	for (i = 0; i < len; i++)
		if (strchr("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXY"
			   "Z0123456789-_",
			s->token[i]) == NULL)
			return mu_fail(e, MU_E_BAD_REQUEST, MU_OUTCOME_NOT_RUN,
			    0,
			    "token: expected 1 to 64 letters, digits or "
			    "dashes");
	rc = mu_text_parse(s->text, strlen(s->text), &t, e);
	if (rc == 0)
		mu_text_free(t);
	return rc;
}

static json_t *
audit_entry(const struct mu_submit *s, const char *old)
{
	char *diff = mu_text_diff(old, s->text);
	json_t *j;

	j = json_pack("{s:s,s:s,s:I,s:I,s:s,s:s,s:s}", "who", s->who, "action",
	    "apply", "from", (json_int_t)s->base, "to",
	    (json_int_t)(s->base + 1), "diff", diff != NULL ? diff : "", "note",
	    s->note, "result", "accepted");
	free(diff);
	return j;
}

static json_t *
version_row(const struct mu_submit *s)
{
	return json_pack("{s:I,s:s,s:s,s:I,s:s}", "version",
	    (json_int_t)(s->base + 1), "text", s->text, "by", s->who, "at_ms",
	    (json_int_t)wall_ms(), "token", s->token);
}

/*
 * Tries to commit against the current row as read.  *retry is set on a
 * conflict, which may concern only the audit number.
 */
static int
try_submit(struct mu_config *c, const struct mu_submit *s,
    const json_t *current, uint64_t rev, bool *retry, struct mu_error *e)
{
	const char *old = json_string_value(json_object_get(current, "text"));
	struct change change = {0};
	struct mu_commit out;
	char number[24];
	const char *key;
	uint64_t n, last_rev;
	int rc;

	*retry = false;
	rc = read_last_entry_number(c, &n, &last_rev, e);
	if (rc != 0)
		return rc;
	key = change_key(&change, "config/%s", "current");
	change_check(&change, key, rev);
	change_put(&change, key, version_row(s));
	(void)snprintf(number, sizeof(number), "%012llu",
	    (unsigned long long)(s->base + 1));
	change_put(&change, change_key(&change, "config/v/%s", number),
	    version_row(s));
	key = change_key(&change, "config/token/%s", s->token);
	change_check(&change, key, 0);
	change_put(&change, key,
	    json_pack("{s:I}", "version", (json_int_t)(s->base + 1)));
	change_audit(
	    &change, n + 1, last_rev, audit_entry(s, old != NULL ? old : ""));
	/* If the answer is lost, the token row tells the outcome. */
	(void)change_commit(c, &change, &out);
	change_clear(&change);
	switch (out.kind) {
	case MU_COMMIT_DONE:
		return 0;
	case MU_COMMIT_CONFLICT:
		*retry = true;
		return MU_E_CONFLICT;
	case MU_COMMIT_REFUSED:
		return mu_fail(e, MU_E_PLATFORM_DOWN, MU_OUTCOME_NOT_RUN,
		    RETRY_AFTER_MS, "the platform does not answer");
	case MU_COMMIT_UNKNOWN:
		break;
	}
	return mu_fail(e, MU_E_PLATFORM_DOWN, MU_OUTCOME_UNKNOWN,
	    RETRY_AFTER_MS,
	    "the platform's answer was lost; submit again with the same token "
	    "to find out");
}

static int
submit_conflict(const json_t *current, const struct mu_submit *s,
    uint64_t *version, char by[MU_NAME_LEN], struct mu_error *e)
{
	const char *who = json_string_value(json_object_get(current, "by"));

	*version =
	    (uint64_t)json_integer_value(json_object_get(current, "version"));
	(void)snprintf(by, MU_NAME_LEN, "%s", who != NULL ? who : "");
	return mu_fail(e, MU_E_CONFIG_CONFLICT, MU_OUTCOME_NOT_RUN, 0,
	    "based on version %llu, but version %llu by %s is in force",
	    (unsigned long long)s->base, (unsigned long long)*version, by);
}

/*
 * The submit took effect, but the answer to it was lost.  Reads the version in
 * force and pushes it: peers that cannot reach the platform get it from no
 * other daemon.
 */
static void
push_newest(struct mu_config *c)
{
	struct mu_error e;
	json_t *j = mu_config_read(c, 0, &e);
	const char *text = json_string_value(json_object_get(j, "text"));

	if (text != NULL)
		mu_config_apply_and_push(c,
		    (uint64_t)json_integer_value(json_object_get(j, "version")),
		    text);
	json_decref(j);
}

int
mu_config_submit(struct mu_config *c, const struct mu_submit *s,
    uint64_t *version, char by[MU_NAME_LEN], struct mu_error *e)
{
	json_t *current;
	uint64_t rev;
	bool retry = true;
	int i, rc;

	by[0] = '\0';
	rc = validate_submit(s, e);
	for (i = 0; i < MAX_ATTEMPTS && retry && (rc == 0 || i > 0); i++) {
		rc = read_token_version(c, s->token, version, e);
		if (rc == 0 && *version != 0)
			push_newest(c);
		if (rc != 0 || *version != 0)
			return rc;
		rc = read_json(c, "config/current", &current, &rev, e);
		if (rc != 0)
			return rc;
		if ((uint64_t)json_integer_value(
			json_object_get(current, "version")) != s->base) {
			rc = submit_conflict(current, s, version, by, e);
			retry = false;
		} else {
			rc = try_submit(c, s, current, rev, &retry, e);
		}
		json_decref(current);
	}
	if (rc == MU_E_CONFLICT)
		return mu_fail(e, MU_E_OVERLOADED, MU_OUTCOME_NOT_RUN,
		    RETRY_AFTER_MS, "too many changes at once");
	if (rc != 0)
		return rc;
	*version = s->base + 1;
	mu_config_apply_and_push(c, *version, s->text);
	return 0;
}

/*
 * Drains.
 */

/* Whether audit entry n has this id. */
static bool
entry_has_id(struct mu_config *c, uint64_t n, const char *id)
{
	char key[KEY_SIZE];
	struct mu_error e;
	const char *found;
	uint64_t rev;
	json_t *j;
	bool match;

	(void)snprintf(
	    key, sizeof(key), "audit/e/%012llu", (unsigned long long)n);
	if (read_json(c, key, &j, &rev, &e) != 0)
		return false;
	found = json_string_value(json_object_get(j, "id"));
	match = found != NULL && strcmp(found, id) == 0;
	json_decref(j);
	return match;
}

/* Makes an id that is unique among the entries. */
static void
make_entry_id(char id[ENTRY_ID_SIZE])
{
	unsigned char random[(ENTRY_ID_SIZE - 1) / 2];

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(id, ENTRY_ID_SIZE, random, sizeof(random));
}

int
mu_config_set_drain(struct mu_config *c, const char *host, bool drained,
    const char *who, const char *note, struct mu_error *e)
{
	struct change change;
	struct mu_commit out = {.kind = MU_COMMIT_CONFLICT};
	uint64_t n, last_rev;
	char id[ENTRY_ID_SIZE];
	bool outcome_unknown;
	int i, rc;

	make_entry_id(id);
	for (i = 0; i < MAX_ATTEMPTS && out.kind == MU_COMMIT_CONFLICT; i++) {
		memset(&change, 0, sizeof(change));
		rc = read_last_entry_number(c, &n, &last_rev, e);
		if (rc != 0)
			return rc;
		change_put(&change, change_key(&change, "drain/%s", host),
		    drained ? json_pack("{s:s}", "by", who) : NULL);
		change_audit(&change, n + 1, last_rev,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "who", who, "action",
			drained ? "drain" : "undrain", "host", host, "note",
			note, "result", "accepted", "id", id));
		outcome_unknown = change_commit(c, &change, &out);
		change_clear(&change);
		if (outcome_unknown && out.kind == MU_COMMIT_CONFLICT &&
		    entry_has_id(c, n + 1, id))
			return 0;
	}
	if (out.kind == MU_COMMIT_DONE)
		return 0;
	return mu_fail(e, MU_E_PLATFORM_DOWN,
	    out.kind == MU_COMMIT_UNKNOWN ? MU_OUTCOME_UNKNOWN
					  : MU_OUTCOME_NOT_RUN,
	    RETRY_AFTER_MS, "the change could not be written");
}
