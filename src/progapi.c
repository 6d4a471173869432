/*
 * progapi.c -- program requests at the owner: create, end, get, explain.
 *
 * A program of another customer is reported as not found.  A create or an end
 * is answered once its record is durable; a read may return state whose record
 * is not durable yet.
 */
#include <stdio.h>
#include <string.h>

#include "callreq.h"
#include "clean.h"
#include "owner.h"
#include "progapi.h"
#include "run.h"

#define COMMIT_TIMEOUT_MS 5000 /* of a create or an end record */
#define RETRY_AFTER_MS 500

static void
reply_json(struct mu_stream *s, int status, json_t *j)
{
	struct mu_reply r = {0};

	r.status = status;
	r.body = json_dumps(j, JSON_COMPACT);
	r.len = r.body != NULL ? strlen(r.body) : 0;
	json_decref(j);
	mu_stream_end(s, &r);
}

struct mu_program *
mu_progapi_find(
    struct mu_slot *slot, const struct mu_req *r, struct mu_error *e)
{
	struct mu_program *p = mu_program_find(&slot->programs, r->program);

	if (p != NULL && strcmp(p->caller, r->caller) == 0)
		return p;
	mu_fail(e, MU_E_NOT_FOUND, MU_OUTCOME_NOT_RUN, 0, "no such program");
	return NULL;
}

/*
 * Create and end.
 */

/* Waits until a record is durable; releases the ticket. */
static int
wait_durable(struct mu_ticket *t, struct mu_error *e)
{
	enum mu_ticket_state state = mu_ticket_wait(t, COMMIT_TIMEOUT_MS);

	mu_ticket_unref(t);
	switch (state) {
	case MU_TICKET_DURABLE:
		return 0;
	case MU_TICKET_SLOT_LOST:
		return mu_fail(e, MU_E_NOT_OWNER, MU_OUTCOME_UNKNOWN, 0,
		    "the slot was lost");
	case MU_TICKET_REFUSED:
		return mu_fail(e, MU_E_PLATFORM_DOWN, MU_OUTCOME_NOT_RUN,
		    RETRY_AFTER_MS, "the platform does not answer");
	case MU_TICKET_PENDING:
		break;
	}
	return mu_fail(e, MU_E_PLATFORM_DOWN, MU_OUTCOME_UNKNOWN,
	    RETRY_AFTER_MS, "the platform has not answered yet");
}

static int
default_budget(struct mu_daemon *d, const struct mu_createreq *c,
    struct mu_budget *b, struct mu_error *e)
{
	struct mu_bd_text *t = mu_board_text_ref(&d->board);

	if (t == NULL || t->text == NULL) {
		mu_board_text_unref(t);
		return mu_fail(e, MU_E_CONFIG_UNKNOWN, MU_OUTCOME_NOT_RUN,
		    RETRY_AFTER_MS, "no services text is in force here yet");
	}
	mu_budget_init(b, c->tokens != 0 ? c->tokens : t->text->budget_tokens,
	    c->calls != 0 ? c->calls : t->text->budget_calls,
	    c->seconds != 0 ? c->seconds : t->text->budget_seconds);
	mu_board_text_unref(t);
	return 0;
}

static int
check_parent(struct mu_slot *slot, const struct mu_req *r, const char *parent,
    struct mu_error *e)
{
	struct mu_req q = *r;
	struct mu_program *p;

	if (parent[0] == '\0')
		return 0;
	q.program = parent;
	p = mu_progapi_find(slot, &q, e);
	if (p == NULL)
		return e->type;
	if (p->ended)
		return mu_fail(e, MU_E_PROGRAM_ENDED, MU_OUTCOME_NOT_RUN, 0,
		    "the parent program has ended");
	return 0;
}

struct mu_ticket *
mu_progapi_append(struct mu_daemon *d, struct mu_slot *slot, json_t *record,
    enum mu_ticket_policy policy, struct mu_error *e)
{
	struct mu_ticket *t;

	t = mu_journal_append(
	    d->journal, slot->number, json_incref(record), policy, e);
	if (t != NULL)
		(void)mu_record_apply(&slot->programs, record, e);
	json_decref(record);
	return t;
}

static int
create_in_slot(struct mu_daemon *d, unsigned number, const struct mu_req *r,
    const struct mu_createreq *c, char id[MU_ID_LEN + 1], struct mu_error *e)
{
	struct mu_slot *slot;
	struct mu_budget b;
	struct mu_ticket *t = NULL;
	struct mu_program *p;
	int rc;

	slot = mu_slots_lock(d->slots, number, r->deadline, e);
	if (slot == NULL)
		return e->type;
	rc = check_parent(slot, r, c->parent, e);
	if (rc == 0)
		rc = default_budget(d, c, &b, e);
	if (rc == 0) {
		mu_slots_new_id(number, id);
		t = mu_progapi_append(d, slot,
		    mu_record_create(id, r->caller, c->parent, &b),
		    MU_TICKET_FAIL_FAST, e);
		if (t == NULL)
			rc = e->type;
	}
	if (t != NULL) {
		p = mu_program_find(&slot->programs, id);
		if (p != NULL)
			p->last_used = mu_now(&d->clock);
	}
	mu_slot_unlock(slot);
	return rc != 0 ? rc : wait_durable(t, e);
}

void
mu_progapi_create(
    struct mu_daemon *d, const struct mu_req *r, struct mu_stream *s)
{
	struct mu_createreq c;
	struct mu_error e = {0};
	char id[MU_ID_LEN + 1];
	unsigned number;
	json_t *j;
	int owned_slot;

	if (mu_createreq_parse(&c, r->body, r->len, &e) != 0)
		goto fail;
	if (c.parent[0] != '\0') {
		if (!mu_slots_parse_id(d->slots, c.parent, &number)) {
			mu_fail(&e, MU_E_NOT_FOUND, MU_OUTCOME_NOT_RUN, 0,
			    "no such program");
			goto fail;
		}
	} else {
		owned_slot = mu_slots_pick_owned(d->slots);
		if (owned_slot < 0) {
			mu_fail(&e, MU_E_NOT_OWNER, MU_OUTCOME_NOT_RUN,
			    RETRY_AFTER_MS, "this daemon owns no slot");
			goto fail;
		}
		number = (unsigned)owned_slot;
	}
	if (create_in_slot(d, number, r, &c, id, &e) != 0)
		goto fail;
	j = mu_owner_addresses(d, (int)number);
	json_object_set_new(j, "program", json_string(id));
	reply_json(s, 201, j);
	return;
fail:
	mu_stream_fail(s, &e);
}

/* Requests cancellation of the calls of a program and its descendants. */
static void
cancel_family(struct mu_slot *slot, const char *id)
{
	struct mu_program *p;

	cds_list_for_each_entry (p, &slot->programs.list, node) {
		if (strcmp(p->id, id) == 0) {
			if (p->run != NULL)
				MU_ATOMIC_STORE(p->run->cancelled, true);
		} else if (strcmp(p->parent, id) == 0) {
			cancel_family(slot, p->id);
		}
	}
}

void
mu_progapi_end(struct mu_daemon *d, struct mu_slot *slot,
    const struct mu_req *r, struct mu_stream *s)
{
	struct mu_ticket *t = NULL;
	struct mu_program *p;
	struct mu_error e = {0};

	p = mu_progapi_find(slot, r, &e);
	if (p != NULL && !p->ended) {
		t = mu_progapi_append(d, slot, mu_record_end(r->program),
		    MU_TICKET_FAIL_FAST, &e);
		if (t != NULL)
			cancel_family(slot, r->program);
	}
	mu_slot_unlock(slot);
	if (p == NULL || (t == NULL && e.type != MU_E_OK) ||
	    (t != NULL && wait_durable(t, &e) != 0)) {
		mu_stream_fail(s, &e);
		return;
	}
	mu_clean_wake(d->clean);
	reply_json(s, 200,
	    json_pack("{s:s,s:s}", "program", r->program, "state", "ended"));
}

/*
 * Get and explain.
 */

static json_t *
amount_json(const struct mu_amount *a)
{
	return json_pack("{s:I,s:I,s:I}", "tokens", (json_int_t)a->tokens,
	    "calls", (json_int_t)a->calls, "seconds",
	    (json_int_t)(a->ms / 1000));
}

static const char *
turn_state_name(enum mu_turn_state state)
{
	switch (state) {
	case MU_TURN_INTENT:
		return "running";
	case MU_TURN_DONE:
		return "done";
	case MU_TURN_UNKNOWN:
		break;
	}
	return "unknown";
}

static json_t *
program_json(struct mu_slot *slot, struct mu_program *p)
{
	struct mu_program *root = mu_program_root(&slot->programs, p);
	struct mu_amount left = mu_budget_left(&root->budget);
	json_t *turns = json_array();
	size_t i;

	for (i = 0; i < p->nturns; i++)
		json_array_append_new(turns,
		    json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)(i + 1),
			"service",
			p->turns[i].service != NULL ? p->turns[i].service : "",
			"state", turn_state_name(p->turns[i].state)));
	return json_pack("{s:s,s:s,s:s,s:I,s:o,s:o,s:o,s:O}", "program", p->id,
	    "state", p->ended ? "ended" : "active", "parent", p->parent,
	    "next_seq", (json_int_t)mu_program_next_seq(p), "budget_left",
	    amount_json(&left), "spent", amount_json(&p->budget.spent), "turns",
	    turns, "history", p->messages);
}

void
mu_progapi_get(
    struct mu_slot *slot, const struct mu_req *r, struct mu_stream *s)
{
	struct mu_error e;
	struct mu_program *p = mu_progapi_find(slot, r, &e);

	if (p == NULL)
		mu_stream_fail(s, &e);
	else
		reply_json(s, 200, program_json(slot, p));
	mu_slot_unlock(slot);
}

static void
append_event(json_t *events, struct mu_program *p, size_t i, uint64_t seq)
{
	json_t *why;

	if (seq != 0 && seq != i + 1)
		return;
	why = p->turns[i].attempts != NULL
		  ? json_loads(p->turns[i].attempts, 0, NULL)
		  : NULL;
	json_array_append_new(
	    events, json_pack("{s:I,s:s,s:s,s:o}", "seq", (json_int_t)(i + 1),
			"service",
			p->turns[i].service != NULL ? p->turns[i].service : "",
			"decision", turn_state_name(p->turns[i].state),
			"detail", why != NULL ? why : json_array()));
}

void
mu_progapi_explain(struct mu_daemon *d, struct mu_slot *slot,
    const struct mu_req *r, struct mu_stream *s)
{
	struct mu_program *p = mu_program_find(&slot->programs, r->program);
	json_t *events = json_array();
	struct mu_error e;
	size_t i;

	if (p == NULL) {
		mu_slot_unlock(slot);
		json_decref(events);
		mu_fail(&e, MU_E_NOT_FOUND, MU_OUTCOME_NOT_RUN, 0,
		    "no such program");
		mu_stream_fail(s, &e);
		return;
	}
	for (i = 0; i < p->nturns; i++)
		append_event(events, p, i, r->seq);
	reply_json(s, 200,
	    json_pack("{s:s,s:s,s:s,s:i,s:I,s:b,s:s,s:o}", "program", p->id,
		"caller", p->caller, "owner", d->conf->host, "slot",
		(int)slot->number, "epoch", (json_int_t)slot->epoch, "ended",
		p->ended, "home", p->home, "events", events));
	mu_slot_unlock(slot);
}
