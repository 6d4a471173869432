/*
 * turn.c -- records and final answer of a call: its intent and its turn.
 *
 * Every record is applied to the program and appended to the journal under
 * the slot's lock, so memory and journal agree.  An answer is sent after its
 * turn is committed, except during an outage of the platform, when it is
 * marked as uncommitted and carries a receipt (spec: Intent, Outcome).
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "metric.h"
#include "turn.h"

#define OUTAGE_COMMIT_WAIT_MS \
	300 /* for a commit, before an uncommitted answer */
#define COMMIT_POLL_MS 100
#define RETRY_AFTER_MS 500

/*
 * Returns the reservation; a second call has no effect.  The usage is charged
 * by a record.
 */
static void
release_reservation(
    struct mu_run *r, struct mu_slot *slot, struct mu_program *p)
{
	struct mu_program *root = mu_program_root(&slot->programs, p);
	const struct mu_amount none = {0};

	mu_budget_settle(&root->budget, &r->granted, &none);
	if (root != p)
		mu_budget_settle(&p->budget, &r->granted, &none);
	r->granted = none;
}

void
mu_turn_release(struct mu_run *r, struct mu_slot *slot)
{
	struct mu_program *p;

	if (slot == NULL)
		return;
	p = mu_program_find(&slot->programs, r->program);
	if (p != NULL && p->run == r) {
		p->run = NULL;
		p->last_used = mu_now(&r->d->clock);
		release_reservation(r, slot, p);
	}
	slot->running--;
	pthread_cond_broadcast(&slot->changed);
}

void
mu_turn_fail(struct mu_run *r, const struct mu_error *e)
{
	struct mu_slot *slot =
	    mu_slots_lock_at_epoch(r->d->slots, r->slot, r->epoch);
	struct mu_ticket *t = NULL;
	json_t *record;

	if (slot != NULL &&
	    (r->failed_usage.tokens > 0 || r->failed_usage.ms > 0)) {
		record = mu_record_charge(r->program, &r->failed_usage);
		(void)mu_record_apply(&slot->programs, record, NULL);
		t = mu_journal_append(
		    r->d->journal, r->slot, record, MU_TICKET_BUFFER, NULL);
		mu_ticket_unref(t);
	}
	mu_turn_release(r, slot);
	if (slot != NULL)
		mu_slot_unlock(slot);
	mu_count(MU_M_CALLS_FAILED, 1);
	mu_log(MU_LOG_INFO, "run", "failed", "{s:s,s:I,s:s,s:s,s:s}", "program",
	    r->program, "seq", (json_int_t)r->call.seq, "error",
	    mu_errname(e->type), "outcome", mu_outcome_name(e->outcome),
	    "message", e->message);
	mu_stream_fail(r->stream, e);
}

static void
fail_not_owner(const struct mu_run *r, struct mu_error *e)
{
	mu_fail(e, MU_E_NOT_OWNER, MU_OUTCOME_UNKNOWN, 0,
	    "slot %u was lost during the call", r->slot);
}

/*
 * Appends one record to the journal and applies it; takes over record.
 * Returns NULL with e set when the slot was lost or the journal refuses the
 * record.  A turn charges the usage, so the reservation ends in the same step:
 * otherwise both would count against the budget shared with the family.
 */
static struct mu_ticket *
append_record(struct mu_run *r, json_t *record, enum mu_ticket_policy policy,
    bool is_turn, struct mu_error *e)
{
	struct mu_slot *slot =
	    mu_slots_lock_at_epoch(r->d->slots, r->slot, r->epoch);
	struct mu_program *p;
	struct mu_ticket *t;

	if (slot == NULL) {
		json_decref(record);
		fail_not_owner(r, e);
		return NULL;
	}
	t = mu_journal_append(
	    r->d->journal, r->slot, json_incref(record), policy, e);
	if (t != NULL && mu_record_apply(&slot->programs, record, e) != 0)
		mu_log_error(MU_LOG_ERROR, "run", "apply_failed", e);
	p = mu_program_find(&slot->programs, r->program);
	if (is_turn && p != NULL && p->run == r)
		release_reservation(r, slot, p);
	mu_slot_unlock(slot);
	json_decref(record);
	return t;
}

/* Removes an intent from memory only; its record never became durable. */
static void
undo_intent(struct mu_run *r)
{
	struct mu_slot *slot =
	    mu_slots_lock_at_epoch(r->d->slots, r->slot, r->epoch);
	json_t *record;

	if (slot == NULL)
		return;
	record = mu_record_drop(r->program, r->call.seq);
	(void)mu_record_apply(&slot->programs, record, NULL);
	json_decref(record);
	mu_slot_unlock(slot);
}

void
mu_turn_drop_intent(struct mu_run *r)
{
	struct mu_error e;

	if (!r->intent_durable)
		return;
	mu_ticket_unref(
	    append_record(r, mu_record_drop(r->program, r->call.seq),
		MU_TICKET_BUFFER, false, &e));
	r->intent_durable = false;
}

/*
 * Waits for the outcome of an intent's write after "not run" was reported to
 * the caller.  This run sends nothing more; if the write took effect, the
 * intent is dropped.
 */
static void
resolve_abandoned_intent(struct mu_run *r, struct mu_ticket *t)
{
	enum mu_ticket_state state;

	do
		state = mu_ticket_wait(t, COMMIT_POLL_MS);
	while (state == MU_TICKET_PENDING);
	if (state == MU_TICKET_DURABLE) {
		r->intent_durable = true;
		mu_turn_drop_intent(r);
	} else if (state == MU_TICKET_REFUSED) {
		undo_intent(r);
	}
}

int
mu_turn_commit_intent(
    struct mu_run *r, const struct mu_bd_endpoint *b, struct mu_error *e)
{
	struct mu_ticket *t;
	enum mu_ticket_state state;
	int rc = 0;

	if (r->intent_durable)
		return 0;
	t = append_record(r,
	    mu_record_intent(r->program, r->call.seq, r->call.hash,
		r->service->name, b->addr, &r->granted),
	    MU_TICKET_FAIL_FAST, false, e);
	if (t == NULL)
		return e->type;
	state =
	    mu_ticket_wait(t, (uint32_t)(mu_run_time_left(r) / MU_US_PER_MS));
	switch (state) {
	case MU_TICKET_DURABLE:
		r->intent_durable = true;
		break;
	case MU_TICKET_REFUSED:
		undo_intent(r);
		rc = mu_fail(e, MU_E_PLATFORM_DOWN, MU_OUTCOME_NOT_RUN,
		    RETRY_AFTER_MS, "the platform does not answer");
		break;
	case MU_TICKET_SLOT_LOST:
		fail_not_owner(r, e);
		rc = MU_E_NOT_OWNER;
		break;
	case MU_TICKET_PENDING:
		rc = mu_fail(e, MU_E_DEADLINE, MU_OUTCOME_NOT_RUN,
		    RETRY_AFTER_MS, "its intent was not durable in time");
		mu_stream_fail(r->stream, e);
		resolve_abandoned_intent(r, t);
		break;
	}
	mu_ticket_unref(t);
	return rc;
}

/*
 * Turns.
 */

/* The answer as sent to the caller and stored in the turn. */
static char *
success_body(const struct mu_run *r, const struct mu_ep_result *res)
{
	json_t *j;
	char *text;

	j = json_pack("{s:s,s:I,s:s,s:O,s:{s:I,s:I,s:I,s:I}}", "program",
	    r->program, "seq", (json_int_t)r->call.seq, "outcome", "done",
	    "output", res->output, "usage", "prompt_tokens",
	    (json_int_t)res->usage.prompt_tokens, "cached_tokens",
	    (json_int_t)res->usage.cached_tokens, "output_tokens",
	    (json_int_t)res->usage.output_tokens, "ms",
	    (json_int_t)(res->took / MU_US_PER_MS));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

static char *
unknown_body(const struct mu_run *r, const struct mu_error *e)
{
	json_t *j;
	char *text;

	j = json_pack("{s:s,s:I,s:{s:s,s:s,s:s,s:i}}", "program", r->program,
	    "seq", (json_int_t)r->call.seq, "error", "type",
	    mu_errname(MU_E_UNKNOWN_RESULT), "outcome", "unknown", "message",
	    e->message, "retry_after_ms", 0);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

/* The answer with "committed":false and, if a key is set, a receipt. */
static char *
uncommitted_body(const struct mu_run *r, const char *body, const json_t *record)
{
	char *receipt = mu_receipt_seal(&r->d->receipts, record);
	json_t *j = json_loads(body, 0, NULL);
	char *text;

	json_object_set_new(j, "committed", json_false());
	if (receipt != NULL)
		json_object_set_new(j, "receipt", json_string(receipt));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	free(receipt);
	return text;
}

static void
reply_body(struct mu_run *r, int status, char *body)
{
	struct mu_reply reply = {0};

	reply.status = status;
	reply.body = body;
	reply.len = body != NULL ? strlen(body) : 0;
	mu_stream_end(r->stream, &reply);
}

/*
 * Answers once the turn is durable.  While the platform is unavailable it
 * waits OUTAGE_COMMIT_WAIT_MS and then answers uncommitted.  spec: Outcome.
 */
static void
reply_when_durable(struct mu_run *r, struct mu_ticket *t, int status,
    const char *body, const json_t *record)
{
	mu_us started_at = mu_now(&r->d->clock);
	enum mu_ticket_state state;
	struct mu_error e;

	for (;;) {
		state = mu_ticket_wait(t, COMMIT_POLL_MS);
		if (state != MU_TICKET_PENDING ||
		    (!mu_journal_platform_ok(r->d->journal) &&
			mu_now(&r->d->clock) - started_at >
			    OUTAGE_COMMIT_WAIT_MS * MU_US_PER_MS))
			break;
	}
	if (state == MU_TICKET_DURABLE) {
		reply_body(r, status, strdup(body));
	} else if (state == MU_TICKET_PENDING) {
		mu_count(MU_M_UNCOMMITTED, 1);
		reply_body(r, status, uncommitted_body(r, body, record));
	} else {
		fail_not_owner(r, &e);
		mu_stream_fail(r->stream, &e);
	}
}

/* Records the turn, answers the caller, then unregisters the run. */
static void
record_turn(struct mu_run *r, enum mu_turn_state state, int status, char *body,
    const struct mu_ep_result *res, const char *home)
{
	struct mu_record_turn rt = {0};
	struct mu_slot *slot;
	struct mu_ticket *t;
	struct mu_error e;
	json_t *record;
	char *attempts_json = json_dumps(r->attempt_log, JSON_COMPACT);

	rt.id = r->program;
	rt.seq = r->call.seq;
	rt.state = state;
	rt.status = status;
	rt.body = body;
	rt.hash = r->call.hash;
	rt.service = r->service->name;
	rt.attempts = attempts_json;
	rt.used = r->failed_usage;
	rt.used.calls = 1;
	if (res != NULL) {
		rt.used.tokens +=
		    res->usage.prompt_tokens + res->usage.output_tokens;
		rt.used.ms += (uint64_t)(res->took / MU_US_PER_MS);
		rt.messages = mu_callreq_messages(&r->call);
	}
	if (res != NULL && r->service->kind == MU_SERVICE_MODEL) {
		rt.text = json_string_value(res->output);
		rt.home = home;
		rt.home_tokens =
		    res->usage.prompt_tokens + res->usage.output_tokens;
	}
	record = mu_record_turn(&rt);
	t = append_record(r, json_incref(record), MU_TICKET_BUFFER, true, &e);
	if (t == NULL)
		mu_stream_fail(r->stream, &e);
	else
		reply_when_durable(r, t, status, body, record);
	mu_ticket_unref(t);
	slot = mu_slots_lock_at_epoch(r->d->slots, r->slot, r->epoch);
	mu_turn_release(r, slot);
	if (slot != NULL)
		mu_slot_unlock(slot);
	json_decref(record);
	free(attempts_json);
	free(body);
}

void
mu_turn_complete(
    struct mu_run *r, const struct mu_ep_result *res, const char *home)
{
	mu_count(MU_M_CALLS_OK, 1);
	mu_count(MU_M_PROMPT_TOKENS, res->usage.prompt_tokens);
	mu_count(MU_M_CACHED_TOKENS, res->usage.cached_tokens);
	mu_count(MU_M_OUTPUT_TOKENS, res->usage.output_tokens);
	if (res->time_to_first_byte > 0)
		mu_observe(MU_H_FIRST_TEXT, res->time_to_first_byte);
	record_turn(r, MU_TURN_DONE, 200, success_body(r, res), res, home);
	mu_observe(MU_H_CALL, mu_now(&r->d->clock) - r->started_at);
}

void
mu_turn_record_unknown(struct mu_run *r, const struct mu_error *e)
{
	mu_count(MU_M_CALLS_UNKNOWN, 1);
	mu_log(MU_LOG_WARN, "run", "unknown", "{s:s,s:I,s:s,s:s}", "program",
	    r->program, "seq", (json_int_t)r->call.seq, "error",
	    mu_errname(e->type), "message", e->message);
	record_turn(r, MU_TURN_UNKNOWN, mu_errstatus(MU_E_UNKNOWN_RESULT),
	    unknown_body(r, e), NULL, NULL);
}
