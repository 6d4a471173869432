/*
 * owner.c -- request handling at the daemon that owns the program's slot.
 *
 * A call is identified by (program, seq).  It is answered from the stored
 * turn, joins the run in progress, or starts a run if seq is the next one of
 * the program.  All checks are made under the slot's lock before a run
 * starts, so that two copies of a call cannot both start.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "callreq.h"
#include "log.h"
#include "metric.h"
#include "owner.h"
#include "progapi.h"
#include "run.h"
#include "wait.h"

#define SEQ_RECHECK_MS 100 /* longest wait between two checks of a seq */
#define RETRY_AFTER_MS 500

static void
reply_stored_turn(struct mu_stream *s, const struct mu_turn *t)
{
	struct mu_reply r = {0};

	r.status = t->status;
	r.body = strdup(t->body);
	r.len = strlen(t->body);
	mu_count(MU_M_REPLAYED, 1);
	mu_stream_end(s, &r);
}

/*
 * Entry host addresses.
 */

struct candidate {
	char addr[MU_ADDR_LEN];
	uint32_t load;
	bool is_owner;
};

static int
compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	if (x->is_owner != y->is_owner)
		return x->is_owner ? -1 : 1;
	if (x->load != y->load)
		return x->load < y->load ? -1 : 1;
	return strcmp(x->addr, y->addr);
}

static size_t
list_candidates(
    struct mu_daemon *d, const char *owner, struct candidate *c, size_t max)
{
	struct mu_bd_fleet *f;
	struct mu_bd_daemon *h;
	size_t i, n = 0;

	rcu_read_lock();
	f = rcu_dereference(d->board.fleet);
	for (i = 0; f != NULL && i < f->ndaemons && n < max; i++) {
		h = &f->daemons[i];
		if (!h->up || h->leaving)
			continue;
		memcpy(c[n].addr, h->addr, MU_ADDR_LEN);
		c[n].load = h->running + h->queued;
		c[n].is_owner = strcmp(h->host, owner) == 0;
		n++;
	}
	rcu_read_unlock();
	return n;
}

json_t *
mu_owner_addresses(struct mu_daemon *d, int slot)
{
	struct candidate c[64];
	char owner[MU_NAME_LEN] = "";
	json_t *list = json_array();
	size_t i, n;

	if (slot >= 0)
		(void)mu_board_owner(&d->board, (unsigned)slot, owner);
	n = list_candidates(d, owner, c, sizeof(c) / sizeof(c[0]));
	qsort(c, n, sizeof(c[0]), compare_candidates);
	for (i = 0; i < n; i++)
		json_array_append_new(list, json_string(c[i].addr));
	if (n == 0)
		json_array_append_new(list, json_string(d->conf->caller_addr));
	return json_pack("{s:o,s:I}", "addresses", list, "ttl_ms",
	    (json_int_t)d->conf->address_ttl_ms);
}

/*
 * Calls.
 */

static int
fail_seq_conflict(struct mu_error *e, uint64_t seq)
{
	return mu_fail(e, MU_E_SEQ_CONFLICT, MU_OUTCOME_NOT_RUN, 0,
	    "seq %llu was used with another body", (unsigned long long)seq);
}

/* Waits until the slot changes, or for SEQ_RECHECK_MS. */
static void
wait_slot_change(struct mu_slot *slot)
{
	struct timespec ts;

	mu_time_after(&ts, SEQ_RECHECK_MS);
	(void)pthread_cond_timedwait(&slot->changed, &slot->lock, &ts);
}

/*
 * Restores a turn from its receipt: it was answered during an outage and lost
 * before it could be committed.
 */
static int
restore_receipt(struct mu_daemon *d, struct mu_slot *slot, struct mu_program *p,
    const char *receipt, struct mu_error *e)
{
	json_t *record = mu_receipt_open(&d->receipts, receipt);
	const char *id = json_string_value(json_object_get(record, "p"));
	uint64_t seq =
	    (uint64_t)json_integer_value(json_object_get(record, "s"));
	struct mu_ticket *t;

	if (id == NULL || strcmp(id, p->id) != 0) {
		json_decref(record);
		return mu_fail(e, MU_E_BAD_REQUEST, MU_OUTCOME_NOT_RUN, 0,
		    "receipt: not one for this program");
	}
	if (seq != mu_program_next_seq(p) || p->run != NULL) {
		json_decref(record); /* the turn is stored already */
		return 0;
	}
	t = mu_progapi_append(d, slot, record, MU_TICKET_BUFFER, e);
	if (t == NULL)
		return e->type;
	mu_ticket_unref(t);
	mu_log(MU_LOG_INFO, "owner", "receipt_restored", "{s:s,s:I}", "program",
	    p->id, "seq", (json_int_t)seq);
	return 0;
}

/* Starts a run.  The slot's lock must be held. */
static int
start_run(struct mu_daemon *d, struct mu_slot *slot, struct mu_program *p,
    struct mu_callreq *c, const struct mu_req *r, struct mu_stream **s,
    struct mu_error *e)
{
	struct mu_run *run;
	int rc;

	if (p->ended)
		return mu_fail(e, MU_E_PROGRAM_ENDED, MU_OUTCOME_NOT_RUN, 0,
		    "the program has ended");
	if (!mu_journal_can_buffer(d->journal))
		return mu_fail(e, MU_E_PLATFORM_DOWN, MU_OUTCOME_NOT_RUN,
		    RETRY_AFTER_MS, "too many turns wait for the platform");
	rc = mu_run_new(d, slot, p, c, r->caller, r->deadline, &run, e);
	if (rc != 0)
		return rc;
	*s = mu_stream_ref(run->stream);
	rc = mu_run_start(run, slot);
	if (rc == 0)
		return 0;
	mu_stream_unref(*s);
	*s = NULL;
	return mu_fail(e, rc, MU_OUTCOME_NOT_RUN, RETRY_AFTER_MS,
	    "no thread for the call");
}

enum call_action {
	CALL_REPLAY, /* answer from the stored turn */
	CALL_JOIN, /* follow the run in progress */
	CALL_START, /* start a run: this is the next seq */
	CALL_WAIT /* an earlier call has not ended or not arrived */
};

static enum call_action
call_action(const struct mu_program *p, uint64_t seq)
{
	if (p->run != NULL && p->run_seq == seq)
		return CALL_JOIN;
	if (seq <= p->nturns)
		return CALL_REPLAY;
	if (seq == mu_program_next_seq(p) && p->run == NULL)
		return CALL_START;
	return CALL_WAIT;
}

static int
wait_earlier_calls(struct mu_daemon *d, struct mu_slot *slot,
    struct mu_program **p, const struct mu_callreq *c, const struct mu_req *r,
    enum call_action *action, struct mu_error *e)
{
	mu_us gap_limit = d->conf->seq_wait_ms * MU_US_PER_MS;
	mu_us now = mu_now(&d->clock), gap_deadline = now + gap_limit;

	while ((*action = call_action(*p, c->seq)) == CALL_WAIT) {
		now = mu_now(&d->clock);
		/*
		 * Only the wait for a missing seq is limited.  While a call
		 * runs, none is missing: the next call may wait here as well.
		 */
		if ((*p)->run != NULL)
			gap_deadline = now + gap_limit;
		if (now >= gap_deadline || now >= r->deadline)
			return mu_fail(e, MU_E_SEQ_GAP, MU_OUTCOME_NOT_RUN,
			    RETRY_AFTER_MS, "seq %llu has not been seen yet",
			    (unsigned long long)mu_program_next_seq(*p));
		wait_slot_change(slot);
		if (slot->state != MU_SLOT_OWNED &&
		    slot->state != MU_SLOT_HANDING_OVER)
			return mu_fail(e, MU_E_NOT_OWNER, MU_OUTCOME_NOT_RUN, 0,
			    "the slot was lost");
		*p = mu_progapi_find(slot, r, e);
		if (*p == NULL)
			return e->type;
	}
	return 0;
}

static int
serve_call(struct mu_daemon *d, struct mu_slot *slot, struct mu_callreq *c,
    const struct mu_req *r, struct mu_stream **s, struct mu_error *e)
{
	const struct mu_turn *t;
	struct mu_program *p = mu_progapi_find(slot, r, e);
	enum call_action action;
	int rc;

	if (p == NULL)
		return e->type;
	if (c->receipt != NULL &&
	    (rc = restore_receipt(d, slot, p, c->receipt, e)) != 0)
		return rc;
	rc = wait_earlier_calls(d, slot, &p, c, r, &action, e);
	if (rc != 0)
		return rc;
	switch (action) {
	case CALL_JOIN:
		if (strcmp(p->run->call.hash, c->hash) != 0)
			return fail_seq_conflict(e, c->seq);
		mu_count(MU_M_JOINED, 1);
		*s = mu_stream_ref(p->run->stream);
		return 0;
	case CALL_REPLAY:
		t = mu_program_turn(p, c->seq);
		if (strcmp(t->hash, c->hash) != 0)
			return fail_seq_conflict(e, c->seq);
		*s = mu_stream_new();
		if (*s != NULL)
			reply_stored_turn(*s, t);
		return 0;
	case CALL_START:
	case CALL_WAIT:
		break;
	}
	/* No run starts in a slot that is being handed over. */
	if (slot->state != MU_SLOT_OWNED)
		return mu_fail(e, MU_E_NOT_OWNER, MU_OUTCOME_NOT_RUN, 0,
		    "the slot is being handed over");
	return start_run(d, slot, p, c, r, s, e);
}

static int
check_admission(struct mu_daemon *d, const struct mu_req *r, struct mu_error *e)
{
	if (mu_refusals_contains(&d->refusals, r->request_id))
		return mu_fail(e, MU_E_LINK_LOST, MU_OUTCOME_NOT_RUN,
		    RETRY_AFTER_MS, "a copy of this request was refused");
	if (MU_ATOMIC_LOAD(d->board.isolated))
		return mu_fail(e, MU_E_CONFIG_UNKNOWN, MU_OUTCOME_NOT_RUN,
		    RETRY_AFTER_MS,
		    "neither the platform nor any daemon is heard");
	return 0;
}

static struct mu_stream *
handle_call(struct mu_daemon *d, struct mu_slot *slot, const struct mu_req *r)
{
	struct mu_callreq c;
	struct mu_stream *s = NULL;
	struct mu_error e = {0};
	int rc;

	rc = check_admission(d, r, &e);
	if (rc == 0)
		rc = mu_callreq_parse(&c, r->body, r->len, &e);
	if (rc == 0) {
		rc = serve_call(d, slot, &c, r, &s, &e);
		mu_callreq_clear(&c);
	}
	mu_slot_unlock(slot);
	if (rc != 0) {
		s = mu_stream_new();
		if (s != NULL)
			mu_stream_fail(s, &e);
	}
	return s;
}

static void
handle_get_call(
    struct mu_slot *slot, const struct mu_req *r, struct mu_stream **s)
{
	struct mu_error e;
	struct mu_program *p = mu_progapi_find(slot, r, &e);
	const struct mu_turn *t;

	if (p != NULL && p->run != NULL && p->run_seq == r->seq) {
		mu_stream_unref(*s);
		*s = mu_stream_ref(p->run->stream);
	} else if (p != NULL && (t = mu_program_turn(p, r->seq)) != NULL &&
		   t->body != NULL) {
		reply_stored_turn(*s, t);
	} else {
		if (p != NULL)
			mu_fail(&e, MU_E_NOT_FOUND, MU_OUTCOME_NOT_RUN, 0,
			    "no call with this seq has run");
		mu_stream_fail(*s, &e);
	}
	mu_slot_unlock(slot);
}

struct mu_stream *
mu_owner_handle(struct mu_daemon *d, const struct mu_req *r)
{
	struct mu_stream *s;
	struct mu_slot *slot;
	struct mu_error e = {0};
	unsigned number;

	if (r->kind == MU_REQ_CREATE) {
		s = mu_stream_new();
		if (s != NULL)
			mu_progapi_create(d, r, s);
		return s;
	}
	if (!mu_slots_parse_id(d->slots, r->program, &number)) {
		mu_fail(&e, MU_E_NOT_FOUND, MU_OUTCOME_NOT_RUN, 0,
		    "no such program");
		goto fail;
	}
	slot = mu_slots_lock(d->slots, number, r->deadline, &e);
	if (slot == NULL)
		goto fail;
	if (r->kind == MU_REQ_CALL)
		return handle_call(d, slot, r);
	s = mu_stream_new();
	if (s == NULL) {
		mu_slot_unlock(slot);
		return NULL;
	}
	switch (r->kind) {
	case MU_REQ_GET_CALL:
		handle_get_call(slot, r, &s);
		break;
	case MU_REQ_GET_PROGRAM:
		mu_progapi_get(slot, r, s);
		break;
	case MU_REQ_END:
		mu_progapi_end(d, slot, r, s);
		break;
	case MU_REQ_EXPLAIN:
		mu_progapi_explain(d, slot, r, s);
		break;
	case MU_REQ_CREATE:
	case MU_REQ_CALL:
		mu_slot_unlock(slot);
		break;
	}
	return s;
fail:
	s = mu_stream_new();
	if (s != NULL)
		mu_stream_fail(s, &e);
	return s;
}
