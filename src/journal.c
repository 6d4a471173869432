/*
 * journal.c -- journal with group commit, and the daemon's lease.
 *
 * One writer thread keeps one transaction in flight.  Records that arrive
 * meanwhile join the next batch, so batches grow with the load while the number
 * of writes does not.  Each transaction (spec: Commit)
 *
 *	checks	the slot row of every slot in it	(same epoch)
 *		the lease row				(same process)
 *		every journal row at revision 0		(written once)
 *	puts	the journal rows, and the lease row with its counter raised
 *		and a random token unique to the transaction.
 *
 * When the answer is lost, the same transaction is sent again until its
 * outcome is definite (spec: Settle).  It cannot take effect twice, as it
 * requires that its journal rows do not exist.  After a conflict the lease row
 * is read: it holds the token if and only if the transaction took effect.
 *
 * The holder counts its lease from before it first sent the renewal (a resend
 * does not extend it), on a clock that keeps running during a suspend.
 */
#include <errno.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu/list.h>

#include "journal.h"
#include "log.h"
#include "metric.h"
#include "wait.h"

#define BATCH_MAX_RECORDS 512
#define BATCH_MAX_BYTES (512 * 1024)
#define BATCH_MAX_SLOTS 64
#define RETRY_INTERVAL_MS 100 /* while the platform is unavailable */
#define TOKEN_SIZE 33 /* 16 random bytes in hex, and a NUL */
#define OUTAGE_RETRY_AFTER_MS 2000

struct mu_ticket {
	struct cds_list_head node;
	struct mu_journal *journal;
	unsigned slot;
	uint64_t rev; /* revision of the slot row when the record was queued */
	char *record;
	size_t len;
	enum mu_ticket_policy policy;
	enum mu_ticket_state state;
	unsigned references;
};

struct owned_slot {
	struct cds_list_head node;
	unsigned slot;
	uint64_t rev;
	uint64_t next_row;
	unsigned pending;
};

struct mu_journal {
	pthread_mutex_t lock;
	pthread_cond_t work_ready; /* signals the writer thread */
	pthread_cond_t settled; /* signals threads that wait on tickets */
	pthread_t writer;
	struct mu_platform *platform;
	struct mu_journal_conf conf;
	char lease_key[MU_KEY_SIZE];
	uint64_t lease_rev;
	uint64_t lease_counter;
	mu_us lease_until;
	uint64_t late_renewals; /* confirmed after the lease had ended */
	mu_us last_sent_at;
	uint32_t min_interval_ms;
	struct cds_list_head owned_slots;
	struct cds_list_head pending; /* tickets, oldest first */
	unsigned npending;
	bool platform_ok;
	bool lease_ever_held; /* this process has held the lease */
	bool lease_taken;
	bool stopping;
};

/* One transaction and the memory that it refers to. */
struct batch {
	struct cds_list_head tickets;
	/* The row of slots[i] is at 2 * i, its journal row at 2 * i + 1. */
	struct mu_txn_check checks[2 * BATCH_MAX_SLOTS + 1];
	struct mu_txn_put puts[BATCH_MAX_SLOTS + 1];
	char keys[2 * BATCH_MAX_SLOTS + 1][MU_KEY_SIZE];
	unsigned slots[BATCH_MAX_SLOTS];
	size_t nslots;
	struct mu_txn txn;
	char token[TOKEN_SIZE];
	unsigned records;
	mu_us first_sent_at;
	bool outcome_unknown;
};

void
mu_slot_key(char key[MU_KEY_SIZE], unsigned slot)
{
	(void)snprintf(key, MU_KEY_SIZE, "slot/%04u", slot);
}

void
mu_lease_key(char key[MU_KEY_SIZE], const char *host)
{
	(void)snprintf(key, MU_KEY_SIZE, "lease/%s", host);
}

void
mu_journal_key(char key[MU_KEY_SIZE], unsigned slot, uint64_t row)
{
	(void)snprintf(
	    key, MU_KEY_SIZE, "j/%04u/%012llu", slot, (unsigned long long)row);
}

static struct owned_slot *
find_owned_slot(struct mu_journal *j, unsigned slot)
{
	struct owned_slot *o;

	cds_list_for_each_entry (o, &j->owned_slots, node) {
		if (o->slot == slot)
			return o;
	}
	return NULL;
}

/* Gives a ticket its final state; the lock is held. */
static void
settle_ticket(
    struct mu_journal *j, struct mu_ticket *t, enum mu_ticket_state state)
{
	struct owned_slot *o = find_owned_slot(j, t->slot);

	cds_list_del(&t->node);
	j->npending--;
	if (o != NULL && o->rev == t->rev && o->pending > 0)
		o->pending--;
	t->state = state;
	pthread_cond_broadcast(&j->settled);
	mu_ticket_unref(t);
}

static void
settle_slot_tickets(struct mu_journal *j, struct cds_list_head *list,
    unsigned slot, enum mu_ticket_state state)
{
	struct mu_ticket *t, *next;

	cds_list_for_each_entry_safe (t, next, list, node) {
		if (t->slot == slot)
			settle_ticket(j, t, state);
	}
}

/*
 * Building a transaction.
 */

static struct mu_txn_put *
batch_add_slot(struct batch *b, struct owned_slot *o)
{
	struct mu_txn_put *put;
	char *key;
	size_t i;

	for (i = 0; i < b->nslots; i++)
		if (b->slots[i] == o->slot)
			return &b->puts[i];
	if (b->nslots == BATCH_MAX_SLOTS)
		return NULL;
	key = b->keys[b->txn.nchecks];
	mu_slot_key(key, o->slot);
	b->checks[b->txn.nchecks++] = (struct mu_txn_check){key, o->rev};
	key = b->keys[b->txn.nchecks];
	mu_journal_key(key, o->slot, o->next_row);
	b->checks[b->txn.nchecks++] = (struct mu_txn_check){key, 0};
	put = &b->puts[b->nslots];
	put->key = key;
	put->value = NULL;
	put->value_len = 0;
	b->slots[b->nslots++] = o->slot;
	return put;
}

/* Appends a record to the JSON array in put->value. */
static bool
put_append_record(struct mu_txn_put *put, const struct mu_ticket *t)
{
	size_t old = put->value_len;
	size_t len = old != 0 ? old + t->len + 1 : t->len + 2;
	char *p = realloc((char *)put->value, len + 1);

	if (p == NULL)
		return false;
	put->value = p;
	put->value_len = len;
	p += old != 0 ? old - 1 : 0;
	*p++ = old != 0 ? ',' : '[';
	memcpy(p, t->record, t->len);
	p[t->len] = ']';
	p[t->len + 1] = '\0';
	return true;
}

/* Moves queued records into the batch; the lock is held. */
static void
batch_fill(struct mu_journal *j, struct batch *b)
{
	struct mu_ticket *t, *next;
	struct mu_txn_put *put;
	struct owned_slot *o;
	size_t bytes = 0;

	cds_list_for_each_entry_safe (t, next, &j->pending, node) {
		if (b->records == BATCH_MAX_RECORDS || bytes > BATCH_MAX_BYTES)
			break;
		o = find_owned_slot(j, t->slot);
		/* Queued under an earlier ownership of the slot. */
		if (o == NULL || o->rev != t->rev) {
			settle_ticket(j, t, MU_TICKET_SLOT_LOST);
			continue;
		}
		put = batch_add_slot(b, o);
		if (put == NULL || !put_append_record(put, t))
			break;
		bytes += t->len;
		b->records++;
		cds_list_del(&t->node);
		cds_list_add_tail(&t->node, &b->tickets);
	}
}

static bool
batch_add_lease(struct mu_journal *j, struct batch *b)
{
	unsigned char random[(TOKEN_SIZE - 1) / 2];
	struct mu_txn_put *put = &b->puts[b->nslots];
	char *value;

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(b->token, sizeof(b->token), random, sizeof(random));
	if (asprintf(&value,
		"{\"counter\":%llu,\"incarnation\":\"%016llx\",\"token\":\"%"
		"s\"}",
		(unsigned long long)(j->lease_counter + 1),
		(unsigned long long)j->conf.incarnation, b->token) < 0)
		return false;
	put->key = j->lease_key;
	put->value = value;
	put->value_len = strlen(value);
	b->checks[b->txn.nchecks++] =
	    (struct mu_txn_check){j->lease_key, j->lease_rev};
	return true;
}

static void
batch_clear(struct batch *b)
{
	size_t i;

	for (i = 0; i <= b->nslots; i++)
		free((char *)b->puts[i].value);
}

/* Builds the next transaction; the lock is held. */
static bool
batch_build(struct mu_journal *j, struct batch *b)
{
	memset(b, 0, sizeof(*b));
	CDS_INIT_LIST_HEAD(&b->tickets);
	batch_fill(j, b);
	if (!batch_add_lease(j, b))
		return false;
	b->txn.checks = b->checks;
	b->txn.puts = b->puts;
	b->txn.nputs = b->nslots + 1;
	return true;
}

/* Returns unsettled records to the head of the queue, in order. */
static void
batch_requeue(struct mu_journal *j, struct batch *b)
{
	cds_list_splice(&b->tickets, &j->pending);
	CDS_INIT_LIST_HEAD(&b->tickets);
}

/*
 * Outcomes of a transaction; the lock is held.
 */

static void
batch_committed(struct mu_journal *j, struct batch *b, uint64_t rev)
{
	struct mu_ticket *t, *next;
	struct owned_slot *o;
	size_t i;

	cds_list_for_each_entry_safe (t, next, &b->tickets, node)
		settle_ticket(j, t, MU_TICKET_DURABLE);
	for (i = 0; i < b->nslots; i++) {
		o = find_owned_slot(j, b->slots[i]);
		if (o != NULL && o->rev == b->checks[2 * i].rev)
			o->next_row++;
	}
	j->lease_ever_held = true;
	j->lease_rev = rev;
	j->lease_counter++;
	if (mu_now(j->conf.clock) >= j->lease_until)
		j->late_renewals++;
	j->lease_until = b->first_sent_at + j->conf.lease_ms * MU_US_PER_MS;
	j->platform_ok = true;
	mu_count(MU_M_COMMITS, 1);
	mu_count(MU_M_RECORDS, b->records);
	mu_observe(MU_H_COMMIT, mu_now(j->conf.clock) - b->first_sent_at);
}

/*
 * The platform did not run the transaction.  Records that must not be buffered
 * during an outage are refused.
 */
static void
batch_refused(struct mu_journal *j, struct batch *b)
{
	struct mu_ticket *t, *next;

	batch_requeue(j, b);
	if (j->platform_ok)
		mu_log(MU_LOG_WARN, "journal", "platform_down", NULL);
	j->platform_ok = false;
	cds_list_for_each_entry_safe (t, next, &j->pending, node) {
		if (t->policy == MU_TICKET_FAIL_FAST)
			settle_ticket(j, t, MU_TICKET_REFUSED);
	}
	mu_count(MU_M_COMMIT_REFUSED, 1);
}

/*
 * Parses the slot number from the key of a slot row or journal row.  A failed
 * check on either means that this daemon's view of the slot is stale.
 */
static bool
parse_row_key(const char *key, unsigned *slot)
{
	return sscanf(key, "slot/%u", slot) == 1 ||
	       sscanf(key, "j/%u/", slot) == 1;
}

static void
report_lease_taken(struct mu_journal *j)
{
	j->lease_taken = true;
	j->lease_until = 0;
	mu_log(MU_LOG_ERROR, "journal", "lease_usurped", "{s:s}", "host",
	    j->conf.host);
}

/*
 * Reads the lease row; *took_effect tells whether it holds the token of this
 * transaction.  Returns false when the row cannot be read.
 */
static bool
read_lease_outcome(struct mu_journal *j, const struct batch *b,
    struct mu_row *row, bool *took_effect)
{
	struct mu_error e;
	json_t *v;

	mu_count(MU_M_PLATFORM_READS, 1);
	if (mu_platform_get(j->platform, j->lease_key, row, &e) != 0)
		return false;
	*took_effect = false;
	if (row->value == NULL)
		return true;
	v = json_loads(row->value, 0, NULL);
	*took_effect =
	    v != NULL &&
	    strcmp(
		b->token, json_string_value(json_object_get(v, "token")) != NULL
			      ? json_string_value(json_object_get(v, "token"))
			      : "") == 0;
	json_decref(v);
	return true;
}

/* Continues from the lease row that an earlier process wrote. */
static void
set_lease_row(struct mu_journal *j, const struct mu_row *row)
{
	json_t *v;

	j->lease_rev = row->rev;
	if (row->value == NULL)
		return;
	v = json_loads(row->value, 0, NULL);
	j->lease_counter =
	    (uint64_t)json_integer_value(json_object_get(v, "counter"));
	json_decref(v);
}

/*
 * The earlier process of this host still runs and renewed the lease between
 * this process's read and its write.  The retry is immediate: both processes
 * renew at the same interval, so a retry after renew_ms would conflict with a
 * renewal each time.
 */
static void
retry_after_renewal(struct mu_journal *j, const struct mu_row *row)
{
	set_lease_row(j, row);
	j->last_sent_at -= j->conf.renew_ms * MU_US_PER_MS;
}

static void
drop_lost_slot(struct mu_journal *j, struct batch *b, unsigned slot)
{
	struct owned_slot *o = find_owned_slot(j, slot);

	settle_slot_tickets(j, &b->tickets, slot, MU_TICKET_SLOT_LOST);
	settle_slot_tickets(j, &j->pending, slot, MU_TICKET_SLOT_LOST);
	if (o == NULL)
		return;
	cds_list_del(&o->node);
	free(o);
	mu_count(MU_M_SLOTS_LOST, 1);
}

/* Whether the slot was lost and acquired again since the batch was built. */
static bool
reacquired_since_batch(
    struct mu_journal *j, const struct batch *b, unsigned slot)
{
	const struct owned_slot *o = find_owned_slot(j, slot);
	char key[MU_KEY_SIZE];
	size_t i;

	mu_slot_key(key, slot);
	for (i = 0; o != NULL && i < b->txn.nchecks; i++)
		if (strcmp(b->checks[i].key, key) == 0)
			return b->checks[i].rev != o->rev;
	return false;
}

/*
 * Handles a failed check.  Returns false when the platform cannot be read: the
 * outcome is then unknown and the transaction is sent again.
 */
static bool
batch_conflict(struct mu_journal *j, struct batch *b, const char *key)
{
	struct mu_row row = {0};
	bool took_effect;
	unsigned slot;

	pthread_mutex_unlock(&j->lock);
	if (!read_lease_outcome(j, b, &row, &took_effect)) {
		pthread_mutex_lock(&j->lock);
		return false;
	}
	pthread_mutex_lock(&j->lock);
	mu_count(MU_M_COMMIT_CONFLICT, 1);
	if (took_effect) {
		batch_committed(j, b, row.rev);
	} else if (row.rev != j->lease_rev) {
		if (j->lease_ever_held)
			report_lease_taken(j);
		else
			retry_after_renewal(j, &row);
		batch_requeue(j, b);
	} else {
		if (parse_row_key(key, &slot) &&
		    !reacquired_since_batch(j, b, slot)) {
			drop_lost_slot(j, b, slot);
			pthread_mutex_unlock(&j->lock);
			j->conf.on_slot_lost(j->conf.arg, slot);
			pthread_mutex_lock(&j->lock);
		}
		batch_requeue(j, b);
	}
	mu_row_clear(&row);
	return true;
}

/* Handles the result of one commit; true when the batch is finished. */
static bool
batch_result(struct mu_journal *j, struct batch *b, const struct mu_commit *c)
{
	switch (c->kind) {
	case MU_COMMIT_DONE:
		batch_committed(j, b, c->rev);
		return true;
	case MU_COMMIT_CONFLICT:
		return batch_conflict(j, b, c->key);
	case MU_COMMIT_REFUSED:
		if (b->outcome_unknown)
			return false;
		batch_refused(j, b);
		return true;
	case MU_COMMIT_UNKNOWN:
		break;
	}
	mu_count(MU_M_COMMIT_UNKNOWN, 1);
	b->outcome_unknown = true;
	j->platform_ok = false;
	return false;
}

static void
writer_pause(struct mu_journal *j, uint32_t ms)
{
	struct timespec ts;
	int rc = 0;

	mu_time_after(&ts, ms);
	while (rc != ETIMEDOUT && !j->stopping)
		rc = pthread_cond_timedwait(&j->work_ready, &j->lock, &ts);
}

/* Sends one transaction until its outcome is definite; the lock is held. */
static void
batch_send(struct mu_journal *j, struct batch *b)
{
	struct mu_commit c;

	b->first_sent_at = mu_now(j->conf.clock);
	j->last_sent_at = b->first_sent_at;
	for (;;) {
		pthread_mutex_unlock(&j->lock);
		mu_count(MU_M_PLATFORM_WRITES, 1);
		mu_platform_commit(j->platform, &b->txn, &c);
		pthread_mutex_lock(&j->lock);
		if (batch_result(j, b, &c))
			break;
		if (j->stopping)
			break;
		writer_pause(j, RETRY_INTERVAL_MS);
	}
	if (!cds_list_empty(&b->tickets))
		batch_requeue(j, b);
}

static bool
write_due(struct mu_journal *j, uint32_t *wait_ms)
{
	mu_us since = mu_now(j->conf.clock) - j->last_sent_at;
	mu_us gap = j->platform_ok ? j->min_interval_ms : RETRY_INTERVAL_MS;
	mu_us due = j->npending > 0 ? gap : j->conf.renew_ms;

	due *= MU_US_PER_MS;
	if (since >= due)
		return true;
	*wait_ms = (uint32_t)((due - since) / MU_US_PER_MS) + 1;
	return false;
}

/*
 * Reads the lease row that an earlier process of this host may have left; the
 * next transaction overwrites it.
 */
static int
fetch_lease_row(struct mu_journal *j)
{
	struct mu_row row = {0};
	struct mu_error e;
	int rc;

	mu_count(MU_M_PLATFORM_READS, 1);
	rc = mu_platform_get(j->platform, j->lease_key, &row, &e);
	if (rc != 0)
		return rc;
	set_lease_row(j, &row);
	mu_row_clear(&row);
	return 0;
}

/*
 * Retries until the lease row is read, as a daemon may start during an outage;
 * the lock is held.
 */
static void
wait_for_lease_row(struct mu_journal *j)
{
	int rc;

	for (;;) {
		pthread_mutex_unlock(&j->lock);
		rc = fetch_lease_row(j);
		pthread_mutex_lock(&j->lock);
		if (rc == 0 || j->stopping)
			break;
		writer_pause(j, RETRY_INTERVAL_MS);
	}
	j->platform_ok = rc == 0;
}

static void *
writer_main(void *arg)
{
	struct mu_journal *j = arg;
	struct batch *b = calloc(1, sizeof(*b));
	struct mu_ticket *t, *next;
	struct timespec ts;
	uint32_t wait_ms;

	pthread_mutex_lock(&j->lock);
	wait_for_lease_row(j);
	while (b != NULL && !j->lease_taken &&
	       !(j->stopping && j->npending == 0)) {
		if (!j->stopping && !write_due(j, &wait_ms)) {
			mu_time_after(&ts, wait_ms);
			(void)pthread_cond_timedwait(
			    &j->work_ready, &j->lock, &ts);
			continue;
		}
		if (batch_build(j, b))
			batch_send(j, b);
		batch_clear(b);
		if (j->stopping && !j->platform_ok)
			break;
	}
	cds_list_for_each_entry_safe (t, next, &j->pending, node) {
		if (j->lease_taken)
			settle_ticket(j, t, MU_TICKET_SLOT_LOST);
	}
	pthread_mutex_unlock(&j->lock);
	if (j->lease_taken)
		j->conf.on_lease_taken(j->conf.arg);
	free(b);
	return NULL;
}

int
mu_journal_open(struct mu_journal **out, struct mu_platform *p,
    const struct mu_journal_conf *conf)
{
	struct mu_journal *j = calloc(1, sizeof(*j));

	if (j == NULL)
		return MU_E_NOMEM;
	j->platform = p;
	j->conf = *conf;
	mu_lease_key(j->lease_key, conf->host);
	CDS_INIT_LIST_HEAD(&j->owned_slots);
	CDS_INIT_LIST_HEAD(&j->pending);
	pthread_mutex_init(&j->lock, NULL);
	mu_cond_init(&j->work_ready);
	mu_cond_init(&j->settled);
	if (pthread_create(&j->writer, NULL, writer_main, j) != 0) {
		free(j);
		return MU_E_SYSTEM;
	}
	*out = j;
	return 0;
}

void
mu_journal_close(struct mu_journal *j)
{
	struct mu_ticket *t, *next;
	struct owned_slot *o, *onext;

	if (j == NULL)
		return;
	pthread_mutex_lock(&j->lock);
	j->stopping = true;
	pthread_cond_broadcast(&j->work_ready);
	pthread_mutex_unlock(&j->lock);
	pthread_join(j->writer, NULL);
	pthread_mutex_lock(&j->lock);
	cds_list_for_each_entry_safe (t, next, &j->pending, node)
		settle_ticket(j, t, MU_TICKET_SLOT_LOST);
	cds_list_for_each_entry_safe (o, onext, &j->owned_slots, node) {
		cds_list_del(&o->node);
		free(o);
	}
	pthread_mutex_unlock(&j->lock);
	pthread_cond_destroy(&j->work_ready);
	pthread_cond_destroy(&j->settled);
	pthread_mutex_destroy(&j->lock);
	free(j);
}

void
mu_journal_add_slot(
    struct mu_journal *j, unsigned slot, uint64_t rev, uint64_t next_row)
{
	struct owned_slot *o;

	pthread_mutex_lock(&j->lock);
	o = find_owned_slot(j, slot);
	if (o == NULL) {
		o = calloc(1, sizeof(*o));
		if (o != NULL)
			cds_list_add_tail(&o->node, &j->owned_slots);
	} else if (o->rev != rev) {
		o->pending = 0; /* queued under the earlier ownership */
	}
	if (o != NULL) {
		o->slot = slot;
		o->rev = rev;
		o->next_row = next_row;
	}
	pthread_mutex_unlock(&j->lock);
}

void
mu_journal_remove_slot(struct mu_journal *j, unsigned slot)
{
	struct owned_slot *o;

	pthread_mutex_lock(&j->lock);
	settle_slot_tickets(j, &j->pending, slot, MU_TICKET_SLOT_LOST);
	o = find_owned_slot(j, slot);
	if (o != NULL) {
		cds_list_del(&o->node);
		free(o);
	}
	pthread_mutex_unlock(&j->lock);
}

unsigned
mu_journal_pending(struct mu_journal *j, unsigned slot)
{
	struct owned_slot *o;
	unsigned n = 0;

	pthread_mutex_lock(&j->lock);
	o = find_owned_slot(j, slot);
	if (o != NULL)
		n = o->pending;
	pthread_mutex_unlock(&j->lock);
	return n;
}

uint64_t
mu_journal_next_row(struct mu_journal *j, unsigned slot)
{
	struct owned_slot *o;
	uint64_t n = 0;

	pthread_mutex_lock(&j->lock);
	o = find_owned_slot(j, slot);
	if (o != NULL)
		n = o->next_row;
	pthread_mutex_unlock(&j->lock);
	return n;
}

static struct mu_ticket *
ticket_new(struct mu_journal *j, unsigned slot, json_t *record,
    enum mu_ticket_policy policy)
{
	struct mu_ticket *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	t->record = json_dumps(record, JSON_COMPACT);
	if (t->record == NULL) {
		free(t);
		return NULL;
	}
	t->len = strlen(t->record);
	t->journal = j;
	t->slot = slot;
	t->policy = policy;
	t->references = 2; /* one for the queue, one for the caller */
	return t;
}

/* Fails if a record cannot be queued now; the lock is held. */
static int
check_appendable(struct mu_journal *j, unsigned slot,
    enum mu_ticket_policy policy, struct mu_error *e)
{
	if (j->lease_taken || find_owned_slot(j, slot) == NULL)
		return mu_fail(e, MU_E_NOT_OWNER, MU_OUTCOME_NOT_RUN, 0,
		    "slot %u has another owner", slot);
	if (j->platform_ok)
		return 0;
	if (policy == MU_TICKET_FAIL_FAST)
		return mu_fail(e, MU_E_PLATFORM_DOWN, MU_OUTCOME_NOT_RUN,
		    OUTAGE_RETRY_AFTER_MS, "the platform does not answer");
	return 0;
}

struct mu_ticket *
mu_journal_append(struct mu_journal *j, unsigned slot, json_t *record,
    enum mu_ticket_policy policy, struct mu_error *e)
{
	struct mu_ticket *t = ticket_new(j, slot, record, policy);
	struct owned_slot *o;

	json_decref(record);
	if (t == NULL) {
		mu_fail(e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "no memory");
		return NULL;
	}
	pthread_mutex_lock(&j->lock);
	if (check_appendable(j, slot, policy, e) != 0) {
		pthread_mutex_unlock(&j->lock);
		t->references = 1;
		mu_ticket_unref(t);
		return NULL;
	}
	o = find_owned_slot(j, slot);
	o->pending++;
	t->rev = o->rev;
	cds_list_add_tail(&t->node, &j->pending);
	j->npending++;
	pthread_cond_signal(&j->work_ready);
	pthread_mutex_unlock(&j->lock);
	return t;
}

enum mu_ticket_state
mu_ticket_wait(struct mu_ticket *t, uint32_t wait_ms)
{
	struct mu_journal *j = t->journal;
	enum mu_ticket_state state;
	struct timespec ts;
	int rc = 0;

	mu_time_after(&ts, wait_ms);
	pthread_mutex_lock(&j->lock);
	while (t->state == MU_TICKET_PENDING && rc != ETIMEDOUT)
		rc = pthread_cond_timedwait(&j->settled, &j->lock, &ts);
	state = t->state;
	pthread_mutex_unlock(&j->lock);
	return state;
}

void
mu_ticket_unref(struct mu_ticket *t)
{
	if (t == NULL)
		return;
	if (__atomic_sub_fetch(&t->references, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	free(t->record);
	free(t);
}

mu_us
mu_journal_lease_status(struct mu_journal *j, uint64_t *late_renewals)
{
	mu_us left;

	pthread_mutex_lock(&j->lock);
	left = j->lease_until - mu_now(j->conf.clock);
	*late_renewals = j->late_renewals;
	pthread_mutex_unlock(&j->lock);
	return left > 0 ? left : 0;
}

mu_us
mu_journal_lease_left(struct mu_journal *j)
{
	uint64_t late_renewals;

	return mu_journal_lease_status(j, &late_renewals);
}

bool
mu_journal_platform_ok(struct mu_journal *j)
{
	bool ok;

	pthread_mutex_lock(&j->lock);
	ok = j->platform_ok;
	pthread_mutex_unlock(&j->lock);
	return ok;
}

bool
mu_journal_can_buffer(struct mu_journal *j)
{
	bool yes;

	pthread_mutex_lock(&j->lock);
	yes = j->platform_ok || j->npending < j->conf.buffer;
	pthread_mutex_unlock(&j->lock);
	return yes;
}

void
mu_journal_set_commit_interval(struct mu_journal *j, uint32_t min_interval_ms)
{
	pthread_mutex_lock(&j->lock);
	j->min_interval_ms = min_interval_ms;
	pthread_mutex_unlock(&j->lock);
}
