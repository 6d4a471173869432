/*
 * takeover.c -- one round of the slot controller.
 *
 * Reads the lease rows (a lease lapses when its counter stays unchanged for the
 * lease duration on this daemon's clock) and the slot table, lets slotrule.c
 * decide, and writes each change as one transaction that checks the rows the
 * decision was based on.  A write whose answer is lost is resent until the
 * answer is definite; the slot row then shows whether it took effect (spec:
 * TakeOver, HandOver).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "metric.h"
#include "slots_private.h"

#define ROWS_PER_READ 1000
#define MAX_ACTIONS_PER_ROUND 256
#define MAX_HOSTS 1024
#define MAX_BUSY_ROUNDS 10 /* then a busy slot accepts no new calls */
#define MAX_HAND_OVERS_PER_ROUND 8

static struct watched_lease *
find_or_add_lease(struct mu_slots *s, const char *host)
{
	struct watched_lease *w;

	cds_list_for_each_entry (w, &s->watched_leases, node) {
		if (strcmp(w->host, host) == 0)
			return w;
	}
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return NULL;
	(void)snprintf(w->host, sizeof(w->host), "%s", host);
	mu_lease_watch_init(&w->lease);
	cds_list_add(&w->node, &s->watched_leases);
	return w;
}

static void
record_lease_row(
    struct mu_slots *s, const struct mu_row *row, mu_us sent, mu_us now)
{
	const char *hex;
	struct watched_lease *w;
	json_t *v;

	w = find_or_add_lease(s, row->key + strlen("lease/"));
	v = json_loads(row->value, 0, NULL);
	hex = json_string_value(json_object_get(v, "incarnation"));
	if (w != NULL && hex != NULL)
		mu_lease_watch_update(&w->lease, strtoull(hex, NULL, 16),
		    (uint64_t)json_integer_value(json_object_get(v, "counter")),
		    row->rev, sent, now);
	json_decref(v);
}

/*
 * Time in which the platform did not answer does not count towards a lapse: the
 * holder could not renew its lease either, and may have answers to commit.
 */
static void
exclude_outage_time(struct mu_slots *s, mu_us now)
{
	struct watched_lease *w;

	if (s->lease_read_failed) {
		cds_list_for_each_entry (w, &s->watched_leases, node)
			w->lease.first_read_at += now - s->leases_read_at;
	}
	s->lease_read_failed = false;
	s->leases_read_at = now;
}

static int
read_leases(struct mu_slots *s, struct mu_error *e)
{
	mu_us sent = mu_now(s->conf.clock);
	struct mu_rows rows = {0};
	size_t i;
	int rc;

	mu_count(MU_M_PLATFORM_READS, 1);
	rc = mu_platform_list(
	    s->conf.platform, "lease/", NULL, ROWS_PER_READ, &rows, e);
	if (rc != 0) {
		s->lease_read_failed = true;
		return rc;
	}
	exclude_outage_time(s, mu_now(s->conf.clock));
	for (i = 0; i < rows.count; i++)
		record_lease_row(s, &rows.row[i], sent, mu_now(s->conf.clock));
	mu_rows_clear(&rows);
	return 0;
}

static void
record_slot_row(struct mu_slots *s, const struct mu_row *row)
{
	struct slot_row *r;
	const char *text;
	unsigned number;
	json_t *v;

	if (sscanf(row->key, "slot/%u", &number) != 1 ||
	    number >= s->conf.count)
		return;
	r = &s->table[number];
	memset(r, 0, sizeof(*r));
	v = json_loads(row->value, 0, NULL);
	text = json_string_value(json_object_get(v, "owner"));
	if (text != NULL)
		(void)snprintf(r->owner, sizeof(r->owner), "%s", text);
	text = json_string_value(json_object_get(v, "incarnation"));
	if (text != NULL)
		(void)snprintf(
		    r->incarnation, sizeof(r->incarnation), "%s", text);
	r->epoch = (uint64_t)json_integer_value(json_object_get(v, "epoch"));
	r->rev = row->rev;
	json_decref(v);
}

static void
publish_table(struct mu_slots *s)
{
	struct mu_bd_slots *b;
	unsigned i;

	b = calloc(1, sizeof(*b) + s->conf.count * sizeof(b->slot[0]));
	if (b == NULL)
		return;
	b->count = s->conf.count;
	for (i = 0; i < s->conf.count; i++) {
		memcpy(b->slot[i].owner, s->table[i].owner, MU_NAME_LEN);
		b->slot[i].epoch = s->table[i].epoch;
	}
	mu_board_set_slots(s->conf.board, b);
}

static int
read_table(struct mu_slots *s, struct mu_error *e)
{
	char after[MU_KEY_SIZE] = "";
	struct mu_rows rows = {0};
	bool more = true;
	size_t i;
	int rc = 0;

	while (more && rc == 0) {
		mu_count(MU_M_PLATFORM_READS, 1);
		rc = mu_platform_list(s->conf.platform, "slot/",
		    after[0] != '\0' ? after : NULL, ROWS_PER_READ, &rows, e);
		if (rc != 0)
			break;
		for (i = 0; i < rows.count; i++)
			record_slot_row(s, &rows.row[i]);
		more = rows.more && rows.count > 0;
		if (more)
			(void)snprintf(after, sizeof(after), "%s",
			    rows.row[rows.count - 1].key);
		mu_rows_clear(&rows);
	}
	return rc;
}

/*
 * Writing a slot row.
 */

struct slot_change {
	const char *owner;
	const char *incarnation; /* empty: to be adopted by the new owner */
	uint64_t epoch;
	uint64_t rev; /* of the slot row that the decision was based on */
	const char *lease_host; /* whose lapsed lease row is checked, or NULL */
	uint64_t lease_rev;
};

/* Rereads the row: whether it holds this change.  *definite is false when it
 * could not be read. */
static bool
row_matches(struct mu_slots *s, const char *key, const struct slot_change *c,
    uint64_t *rev, bool *definite)
{
	struct mu_row row = {0};
	struct mu_error e;
	json_t *v;
	bool same;

	*definite = mu_platform_get(s->conf.platform, key, &row, &e) == 0;
	if (!*definite || row.value == NULL)
		return false;
	v = json_loads(row.value, 0, NULL);
	same = (uint64_t)json_integer_value(json_object_get(v, "epoch")) ==
		   c->epoch &&
	       strcmp(json_string_value(json_object_get(v, "owner")),
		   c->owner) == 0;
	*rev = row.rev;
	json_decref(v);
	mu_row_clear(&row);
	return same;
}

enum write_result {
	ROW_WRITTEN,
	ROW_NOT_WRITTEN, /* refused; no attempt can take effect later */
	ROW_CONFLICT /* a checked row has changed, or stopped while in doubt */
};

/* Sends a change until its answer is definite or the controller stops. */
static enum write_result
write_slot_row(struct mu_slots *s, unsigned number, const struct slot_change *c,
    uint64_t *rev)
{
	char key[MU_KEY_SIZE], lease[MU_KEY_SIZE];
	struct mu_txn_check checks[2] = {{key, c->rev}, {lease, c->lease_rev}};
	struct mu_txn_put put = {key, NULL, 0};
	struct mu_txn txn = {checks, 1, &put, 1};
	struct mu_commit out;
	bool in_doubt = false, definite = false, committed = false;
	char *value;

	mu_slot_key(key, number);
	if (c->lease_host != NULL) {
		mu_lease_key(lease, c->lease_host);
		txn.nchecks = 2;
	}
	if (asprintf(&value,
		"{\"owner\":\"%s\",\"incarnation\":\"%s\",\"epoch\":%llu}",
		c->owner, c->incarnation, (unsigned long long)c->epoch) < 0)
		return ROW_NOT_WRITTEN;
	put.value = value;
	put.value_len = strlen(value);
	do {
		mu_count(MU_M_PLATFORM_WRITES, 1);
		mu_platform_commit(s->conf.platform, &txn, &out);
		in_doubt = in_doubt || out.kind == MU_COMMIT_UNKNOWN;
		definite = out.kind == MU_COMMIT_DONE ||
			   out.kind == MU_COMMIT_CONFLICT ||
			   (out.kind == MU_COMMIT_REFUSED && !in_doubt);
		committed = out.kind == MU_COMMIT_DONE;
		*rev = out.rev;
		if (out.kind == MU_COMMIT_CONFLICT && in_doubt)
			committed = row_matches(s, key, c, rev, &definite);
	} while (!definite && !__atomic_load_n(&s->stopping, __ATOMIC_RELAXED));
	free(value);
	if (committed)
		return ROW_WRITTEN;
	return definite && out.kind == MU_COMMIT_REFUSED ? ROW_NOT_WRITTEN
							 : ROW_CONFLICT;
}

/*
 * Actions.
 */

static void
format_incarnation(const struct mu_slots *s, char text[INCARNATION_LEN])
{
	(void)snprintf(text, INCARNATION_LEN, "%016llx",
	    (unsigned long long)s->conf.incarnation);
}

static void
adopt(struct mu_slots *s, unsigned number, uint64_t epoch, uint64_t rev)
{
	struct mu_slot *slot = &s->slot[number];
	struct mu_error e = {0};

	(void)snprintf(s->table[number].owner, MU_NAME_LEN, "%s", s->conf.host);
	format_incarnation(s, s->table[number].incarnation);
	s->table[number].epoch = epoch;
	s->table[number].rev = rev;
	if (mu_slot_recover(s, slot, epoch, rev, &e) != 0)
		mu_log_error(MU_LOG_ERROR, "slots", "recover_failed", &e);
}

/* Log event of a claim.  A slot that its owner handed over to this host is
 * adopted, not taken over. */
static const char *
claim_event(const struct mu_slots *s, const struct slot_row *r)
{
	if (r->owner[0] == '\0')
		return "claim";
	if (strcmp(r->owner, s->conf.host) == 0 && r->incarnation[0] == '\0')
		return "adopt";
	return "takeover";
}

static void
claim_slot(struct mu_slots *s, unsigned number, uint64_t epoch)
{
	char incarnation[INCARNATION_LEN];
	struct slot_row *r = &s->table[number];
	struct slot_change c = {
	    s->conf.host, incarnation, epoch, r->rev, NULL, 0};
	const char *event;
	struct watched_lease *w;
	uint64_t rev;

	format_incarnation(s, incarnation);
	if (r->owner[0] != '\0' && strcmp(r->owner, s->conf.host) != 0) {
		w = find_or_add_lease(s, r->owner);
		if (w == NULL)
			return;
		c.lease_host = w->host;
		c.lease_rev = w->lease.known ? w->lease.rev : 0;
	}
	if (write_slot_row(s, number, &c, &rev) != ROW_WRITTEN)
		return;
	event = claim_event(s, r);
	mu_count(
	    strcmp(event, "takeover") == 0 ? MU_M_TAKEOVERS : MU_M_CLAIMS, 1);
	mu_log(MU_LOG_INFO, "slots", event, "{s:i,s:I,s:s}", "slot",
	    (int)number, "epoch", (json_int_t)epoch, "from", r->owner);
	adopt(s, number, epoch, rev);
}

/*
 * Whether the slot has no calls in progress and no pending records, so that it
 * can be handed over.  It accepts no new calls then, nor when the daemon is
 * leaving or calls have delayed the hand-over for MAX_BUSY_ROUNDS.
 */
static bool
quiesce(struct mu_slots *s, struct mu_slot *slot)
{
	bool idle;

	pthread_mutex_lock(&slot->lock);
	idle = slot->running == 0 &&
	       mu_journal_pending(s->conf.journal, slot->number) == 0;
	if (idle || MU_ATOMIC_LOAD(s->conf.board->leaving) ||
	    ++slot->busy_rounds > MAX_BUSY_ROUNDS)
		slot->state = MU_SLOT_HANDING_OVER;
	pthread_mutex_unlock(&slot->lock);
	return idle;
}

static void
hand_over_slot(
    struct mu_slots *s, unsigned number, uint64_t epoch, const char *to)
{
	struct mu_slot *slot = &s->slot[number];
	struct slot_change c = {to, "", epoch, s->table[number].rev, NULL, 0};
	enum write_result result;
	uint64_t rev;

	if (!quiesce(s, slot))
		return;
	result = write_slot_row(s, number, &c, &rev);
	pthread_mutex_lock(&slot->lock);
	if (result != ROW_NOT_WRITTEN) {
		/* On a conflict, an attempt whose answer was lost may have
		 * taken effect and the new owner raised the epoch since. */
		mu_journal_remove_slot(s->conf.journal, number);
		mu_slot_drop(slot);
	} else if (slot->state == MU_SLOT_HANDING_OVER) {
		slot->state = MU_SLOT_OWNED;
		pthread_cond_broadcast(&slot->changed);
	}
	pthread_mutex_unlock(&slot->lock);
	if (result != ROW_WRITTEN)
		return;
	(void)snprintf(s->table[number].owner, MU_NAME_LEN, "%s", to);
	s->table[number].incarnation[0] = '\0';
	s->table[number].epoch = epoch;
	s->table[number].rev = rev;
	mu_count(MU_M_HANDOVERS, 1);
	mu_log(MU_LOG_INFO, "slots", "hand_over", "{s:i,s:I,s:s}", "slot",
	    (int)number, "epoch", (json_int_t)epoch, "to", to);
}

static void
perform_action(struct mu_slots *s, const struct mu_slot_action *a)
{
	switch (a->kind) {
	case MU_SLOT_CLAIM:
		claim_slot(s, a->slot, a->u.claim.epoch);
		break;
	case MU_SLOT_TAKE_OVER:
		claim_slot(s, a->slot, a->u.take_over.epoch);
		break;
	case MU_SLOT_HAND_OVER:
		hand_over_slot(
		    s, a->slot, a->u.hand_over.epoch, a->u.hand_over.to);
		break;
	}
}

/*
 * Input of slotrule.c.
 */

static bool
host_lapsed(struct mu_slots *s, const char *host)
{
	struct watched_lease *w = find_or_add_lease(s, host);

	return w != NULL &&
	       (!w->lease.known || mu_lease_watch_lapsed(&w->lease,
				       s->conf.lease_ms * MU_US_PER_MS));
}

/* Copies the entry hosts; hosts[i].name points to names[i]. */
static size_t
copy_hosts(struct mu_slots *s, struct mu_slot_host *hosts,
    char (*names)[MU_NAME_LEN], size_t max)
{
	struct mu_bd_fleet *f;
	struct mu_bd_daemon *d;
	size_t i, n = 0;

	rcu_read_lock();
	f = rcu_dereference(s->conf.board->fleet);
	for (i = 0; f != NULL && i < f->ndaemons && n < max; i++) {
		d = &f->daemons[i];
		memcpy(names[n], d->host, MU_NAME_LEN);
		hosts[n].name = names[n];
		hosts[n].live = d->up;
		hosts[n].leaving = d->leaving;
		n++;
	}
	rcu_read_unlock();
	for (i = 0; i < n; i++)
		hosts[i].lapsed = strcmp(names[i], s->conf.host) != 0 &&
				  host_lapsed(s, names[i]);
	return n;
}

/* Adds owners that are no longer on the host list; their slots can be taken
 * over once their lease lapsed. */
static size_t
add_unlisted_owners(struct mu_slots *s, struct mu_slot_host *hosts,
    char (*names)[MU_NAME_LEN], size_t n, size_t max)
{
	unsigned i;
	size_t k;

	for (i = 0; i < s->conf.count && n < max; i++) {
		if (s->table[i].owner[0] == '\0')
			continue;
		for (k = 0; k < n; k++)
			if (strcmp(names[k], s->table[i].owner) == 0)
				break;
		if (k < n)
			continue;
		memcpy(names[n], s->table[i].owner, MU_NAME_LEN);
		hosts[n] = (struct mu_slot_host){
		    names[n], false, false, host_lapsed(s, names[n])};
		n++;
	}
	return n;
}

static void
copy_slots(struct mu_slots *s, struct mu_slot_view *v)
{
	char incarnation[INCARNATION_LEN];
	struct slot_row *r;
	unsigned i;
	bool self;

	format_incarnation(s, incarnation);
	for (i = 0; i < s->conf.count; i++) {
		r = &s->table[i];
		self = strcmp(r->owner, s->conf.host) == 0;
		v[i].owner = r->owner;
		v[i].epoch = r->epoch;
		pthread_mutex_lock(&s->slot[i].lock);
		v[i].held = self && s->slot[i].state != MU_SLOT_NOT_OWNED &&
			    s->slot[i].epoch == r->epoch;
		pthread_mutex_unlock(&s->slot[i].lock);
		v[i].prior_process_lapsed =
		    self && strcmp(r->incarnation, incarnation) != 0;
	}
}

/*
 * Drops slots whose row names another owner, process or epoch.  After a pause,
 * a holder may find that its slot was taken over and handed back at a later
 * epoch: its state in memory is then older than the journal.
 */
static void
drop_superseded(struct mu_slots *s)
{
	char incarnation[INCARNATION_LEN];
	struct mu_slot *slot;
	struct slot_row *r;
	bool ours;
	unsigned i;

	format_incarnation(s, incarnation);
	for (i = 0; i < s->conf.count; i++) {
		slot = &s->slot[i];
		r = &s->table[i];
		pthread_mutex_lock(&slot->lock);
		ours = strcmp(r->owner, s->conf.host) == 0 &&
		       strcmp(r->incarnation, incarnation) == 0 &&
		       r->epoch == slot->epoch;
		if (slot->state != MU_SLOT_NOT_OWNED && !ours) {
			mu_log(MU_LOG_WARN, "slots", "superseded",
			    "{s:i,s:I,s:I}", "slot", (int)i, "epoch",
			    (json_int_t)slot->epoch, "by",
			    (json_int_t)r->epoch);
			mu_journal_remove_slot(s->conf.journal, i);
			mu_slot_drop(slot);
		}
		pthread_mutex_unlock(&slot->lock);
	}
}

/*
 * Adopts slots whose row names this host but that are not held: the answer to a
 * write was lost, the slot was dropped, it was handed over to this host, or an
 * earlier process of this host owned it.  They are recovered even if another
 * host should own them by now, as no other host can take them over while this
 * one renews its lease; the rule then hands them over.
 */
static void
adopt_unheld(struct mu_slots *s, struct mu_slot_view *v)
{
	char incarnation[INCARNATION_LEN];
	struct slot_row *r;
	unsigned i;

	format_incarnation(s, incarnation);
	for (i = 0; i < s->conf.count; i++) {
		r = &s->table[i];
		if (strcmp(r->owner, s->conf.host) != 0 || v[i].held)
			continue;
		if (strcmp(r->incarnation, incarnation) == 0)
			adopt(s, i, r->epoch, r->rev);
		else
			claim_slot(s, i, r->epoch + 1);
	}
	copy_slots(s, v);
}

/* Lets slots that are no longer to be handed over accept calls again. */
static void
resume_kept_slots(
    struct mu_slots *s, const struct mu_slot_action *actions, size_t n)
{
	struct mu_slot *slot;
	unsigned i;
	size_t k;

	for (i = 0; i < s->conf.count; i++) {
		for (k = 0; k < n; k++)
			if (actions[k].kind == MU_SLOT_HAND_OVER &&
			    actions[k].slot == i)
				break;
		if (k < n)
			continue;
		slot = &s->slot[i];
		pthread_mutex_lock(&slot->lock);
		if (slot->state == MU_SLOT_HANDING_OVER) {
			slot->state = MU_SLOT_OWNED;
			slot->busy_rounds = 0;
			pthread_cond_broadcast(&slot->changed);
		}
		pthread_mutex_unlock(&slot->lock);
	}
}

static void
decide_and_act(struct mu_slots *s)
{
	struct mu_slot_host *hosts = calloc(MAX_HOSTS, sizeof(*hosts));
	char(*names)[MU_NAME_LEN] = calloc(MAX_HOSTS, MU_NAME_LEN);
	struct mu_slot_view *v = calloc(s->conf.count, sizeof(*v));
	struct mu_slot_action *actions =
	    calloc(MAX_ACTIONS_PER_ROUND, sizeof(*actions));
	struct mu_slot_input in = {0};
	size_t n, i;

	if (hosts == NULL || names == NULL || v == NULL || actions == NULL)
		goto out;
	n = copy_hosts(s, hosts, names, MAX_HOSTS);
	n = add_unlisted_owners(s, hosts, names, n, MAX_HOSTS);
	copy_slots(s, v);
	adopt_unheld(s, v);
	in.slots = v;
	in.nslots = s->conf.count;
	in.hosts = hosts;
	in.nhosts = n;
	in.self = s->conf.host;
	in.max_hand_over = MU_ATOMIC_LOAD(s->conf.board->leaving)
			       ? 0
			       : MAX_HAND_OVERS_PER_ROUND;
	n = mu_slot_rule(&in, actions, MAX_ACTIONS_PER_ROUND);
	resume_kept_slots(s, actions, n);
	for (i = 0; i < n; i++)
		perform_action(s, &actions[i]);
out:
	free(hosts);
	free(names);
	free(v);
	free(actions);
}

void
mu_slots_reconcile(struct mu_slots *s)
{
	uint64_t late;
	bool held = mu_journal_lease_status(s->conf.journal, &late) > 0;
	struct mu_error e;

	if (read_leases(s, &e) != 0 || read_table(s, &e) != 0)
		return;
	publish_table(s);
	drop_superseded(s);
	if (held)
		MU_ATOMIC_STORE(s->verified_late_count, late);
	if (mu_journal_lease_left(s->conf.journal) <= 0)
		return;
	decide_and_act(s);
	publish_table(s);
	mu_slots_snapshot(s);
}
