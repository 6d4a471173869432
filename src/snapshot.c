/*
 * snapshot.c -- recovery of a slot, and snapshots that bound the replay.
 *
 * A slot's state is its snapshot (an object, named by the row "snap/NNNN")
 * plus the journal rows after it.  A snapshot is taken under the slot's lock
 * while none of the slot's records is unsettled, so it covers exactly the rows
 * below the next one.  One transaction, conditional on the slot row, writes
 * the row that names the snapshot and deletes the journal rows that it covers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "metric.h"
#include "slots_private.h"

#define LIST_PAGE_ROWS 500 /* rows in one read */
#define SNAPSHOT_INTERVAL_ROWS 200 /* journal rows between two snapshots */
#define MAX_DELETED_ROWS 500 /* rows deleted in one transaction */

static void
snapshot_key(char key[MU_KEY_SIZE], unsigned slot)
{
	(void)snprintf(key, MU_KEY_SIZE, "snap/%04u", slot);
}

static void
object_name(char name[MU_KEY_SIZE], unsigned slot, uint64_t epoch, uint64_t row)
{
	(void)snprintf(name, MU_KEY_SIZE, "snap/%04u/%llu-%llu", slot,
	    (unsigned long long)epoch, (unsigned long long)row);
}

/* Loads the snapshot, if any; *row is the first journal row after it. */
static int
read_snapshot(struct mu_slots *s, unsigned slot, struct mu_programs *ps,
    uint64_t *row, struct mu_error *e)
{
	char key[MU_KEY_SIZE];
	struct mu_row r = {0};
	json_t *v = NULL, *dump = NULL;
	char *data = NULL;
	size_t len;
	int rc;

	*row = 0;
	snapshot_key(key, slot);
	rc = mu_platform_get(s->conf.platform, key, &r, e);
	if (rc != 0 || r.value == NULL)
		goto out;
	v = json_loads(r.value, 0, NULL);
	rc = mu_platform_get_object(s->conf.platform,
	    json_string_value(json_object_get(v, "object")), &data, &len, e);
	if (rc != 0)
		goto out;
	dump = json_loadb(data, len, 0, NULL);
	rc = mu_programs_load(ps, dump, e);
	*row = (uint64_t)json_integer_value(json_object_get(v, "row"));
out:
	json_decref(dump);
	json_decref(v);
	free(data);
	mu_row_clear(&r);
	return rc;
}

static int
apply_row(struct mu_programs *ps, const struct mu_row *row, struct mu_error *e)
{
	json_t *records = json_loadb(row->value, row->value_len, 0, NULL);
	size_t i;
	int rc = 0;

	if (!json_is_array(records))
		rc = mu_fail(e, MU_E_INTERNAL, MU_OUTCOME_UNKNOWN, 0,
		    "journal row %s is not an array", row->key);
	for (i = 0; rc == 0 && i < json_array_size(records); i++)
		rc = mu_record_apply(ps, json_array_get(records, i), e);
	json_decref(records);
	return rc;
}

/* Applies the journal rows from *row on; *row becomes the next free row. */
static int
replay_journal(struct mu_slots *s, unsigned slot, struct mu_programs *ps,
    uint64_t *row, struct mu_error *e)
{
	char prefix[MU_KEY_SIZE], after[MU_KEY_SIZE];
	struct mu_rows rows = {0};
	bool more = true;
	size_t i;
	int rc = 0;

	(void)snprintf(prefix, sizeof(prefix), "j/%04u/", slot);
	mu_journal_key(after, slot, *row > 0 ? *row - 1 : 0);
	if (*row == 0)
		after[0] = '\0';
	while (more && rc == 0) {
		mu_count(MU_M_PLATFORM_READS, 1);
		rc = mu_platform_list(s->conf.platform, prefix,
		    after[0] != '\0' ? after : NULL, LIST_PAGE_ROWS, &rows, e);
		if (rc != 0)
			break;
		for (i = 0; i < rows.count && rc == 0; i++) {
			rc = apply_row(ps, &rows.row[i], e);
			*row = strtoull(strrchr(rows.row[i].key, '/') + 1, NULL,
				   10) +
			       1;
		}
		more = rows.more && rows.count > 0;
		if (more)
			(void)snprintf(after, sizeof(after), "%s",
			    rows.row[rows.count - 1].key);
		mu_rows_clear(&rows);
	}
	return rc;
}

static void
finish_recovery(struct mu_slots *s, struct mu_slot *slot, mu_us started_at)
{
	struct mu_program *p;
	mu_us now = mu_now(s->conf.clock);

	mu_programs_recover(&slot->programs);
	cds_list_for_each_entry (p, &slot->programs.list, node)
		p->last_used = now;
	mu_observe(MU_H_RECOVERY, now - started_at);
	mu_count(MU_M_RECOVERED, slot->programs.count);
	mu_log(MU_LOG_INFO, "slots", "recovered", "{s:i,s:I,s:I,s:I}", "slot",
	    (int)slot->number, "epoch", (json_int_t)slot->epoch, "programs",
	    (json_int_t)slot->programs.count, "took_us",
	    (json_int_t)(now - started_at));
}

int
mu_slot_recover(struct mu_slots *s, struct mu_slot *slot, uint64_t epoch,
    uint64_t rev, struct mu_error *e)
{
	mu_us started_at = mu_now(s->conf.clock);
	struct mu_programs ps;
	uint64_t row, snapshot;
	int rc;

	mu_programs_init(&ps);
	pthread_mutex_lock(&slot->lock);
	mu_slot_drop(slot);
	slot->state = MU_SLOT_RECOVERING;
	pthread_mutex_unlock(&slot->lock);
	rc = read_snapshot(s, slot->number, &ps, &snapshot, e);
	row = snapshot;
	if (rc == 0)
		rc = replay_journal(s, slot->number, &ps, &row, e);
	pthread_mutex_lock(&slot->lock);
	if (rc != 0) {
		mu_programs_clear(&ps);
		mu_slot_drop(slot);
		goto out;
	}
	cds_list_splice(&ps.list, &slot->programs.list);
	slot->programs.count = ps.count;
	slot->epoch = epoch;
	slot->rev = rev;
	slot->snapshot_row = snapshot;
	finish_recovery(s, slot, started_at);
	mu_journal_add_slot(s->conf.journal, slot->number, rev, row);
	slot->state = MU_SLOT_OWNED;
	pthread_cond_broadcast(&slot->changed);
out:
	pthread_mutex_unlock(&slot->lock);
	return rc;
}

/*
 * Taking a snapshot.
 */

struct snapshot {
	unsigned slot;
	uint64_t epoch;
	uint64_t rev;
	uint64_t first_deleted_row; /* first row that the snapshot covers */
	uint64_t first_kept_row; /* first row after the snapshot */
	char *data;
};

/* Dumps the slot when a snapshot is due and no record is unsettled. */
static bool
snapshot_dump(struct mu_slots *s, struct mu_slot *slot, struct snapshot *snap)
{
	json_t *dump;

	memset(snap, 0, sizeof(*snap));
	pthread_mutex_lock(&slot->lock);
	if (slot->state == MU_SLOT_OWNED &&
	    mu_journal_pending(s->conf.journal, slot->number) == 0) {
		snap->first_kept_row =
		    mu_journal_next_row(s->conf.journal, slot->number);
		snap->first_deleted_row = slot->snapshot_row;
		snap->slot = slot->number;
		snap->epoch = slot->epoch;
		snap->rev = slot->rev;
		if (snap->first_kept_row >=
		    snap->first_deleted_row + SNAPSHOT_INTERVAL_ROWS) {
			dump = mu_programs_dump(&slot->programs);
			snap->data = json_dumps(dump, JSON_COMPACT);
			json_decref(dump);
		}
	}
	pthread_mutex_unlock(&slot->lock);
	return snap->data != NULL;
}

static bool
snapshot_commit(
    struct mu_slots *s, const struct snapshot *snap, const char *object)
{
	char slot_key[MU_KEY_SIZE], key[MU_KEY_SIZE];
	char(*keys)[MU_KEY_SIZE] = calloc(MAX_DELETED_ROWS, MU_KEY_SIZE);
	struct mu_txn_put *puts = calloc(MAX_DELETED_ROWS + 1, sizeof(*puts));
	struct mu_txn_check check = {slot_key, snap->rev};
	struct mu_txn txn = {&check, 1, puts, 0};
	struct mu_commit out = {.kind = MU_COMMIT_REFUSED};
	char value[2 * MU_KEY_SIZE];
	uint64_t row;

	if (keys == NULL || puts == NULL)
		goto done;
	mu_slot_key(slot_key, snap->slot);
	snapshot_key(key, snap->slot);
	(void)snprintf(value, sizeof(value), "{\"object\":\"%s\",\"row\":%llu}",
	    object, (unsigned long long)snap->first_kept_row);
	puts[txn.nputs++] = (struct mu_txn_put){key, value, strlen(value)};
	for (row = snap->first_deleted_row;
	     row < snap->first_kept_row && txn.nputs <= MAX_DELETED_ROWS;
	     row++) {
		mu_journal_key(keys[txn.nputs - 1], snap->slot, row);
		puts[txn.nputs] =
		    (struct mu_txn_put){keys[txn.nputs - 1], NULL, 0};
		txn.nputs++;
	}
	mu_count(MU_M_PLATFORM_WRITES, 1);
	mu_platform_commit(s->conf.platform, &txn, &out);
done:
	free(keys);
	free(puts);
	return out.kind == MU_COMMIT_DONE;
}

static void
snapshot_slot(struct mu_slots *s, struct mu_slot *slot)
{
	char object[MU_KEY_SIZE], old[MU_KEY_SIZE];
	struct snapshot snap;
	struct mu_error e;
	bool done;

	if (!snapshot_dump(s, slot, &snap))
		return;
	object_name(object, snap.slot, snap.epoch, snap.first_kept_row);
	done = mu_platform_put_object(s->conf.platform, object, snap.data,
		   strlen(snap.data), &e) == 0 &&
	       snapshot_commit(s, &snap, object);
	free(snap.data);
	if (!done)
		return; /* the next round retries and replaces the object */
	pthread_mutex_lock(&slot->lock);
	if (slot->epoch == snap.epoch)
		slot->snapshot_row = snap.first_kept_row;
	pthread_mutex_unlock(&slot->lock);
	mu_count(MU_M_SNAPSHOTS, 1);
	object_name(old, snap.slot, snap.epoch, snap.first_deleted_row);
	(void)mu_platform_delete_object(s->conf.platform, old, &e);
}

void
mu_slots_snapshot(struct mu_slots *s)
{
	unsigned i;

	for (i = 0; i < s->conf.count; i++)
		snapshot_slot(s, &s->slot[i]);
}
