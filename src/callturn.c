/*
 * callturn.c -- turns: their budget, the conversation that they continue, and
 * the record that lets a later turn continue them.
 *
 * A turn begins at its program's home, which reserves its budget and may have
 * its history.  A turn with history ends with the commit of its record; only
 * then does the caller get the end of the answer.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "call_private.h"
#include "log.h"
#include "metric.h"
#include "scope.h"

/* Longest wait for an unavailable store.  After it the caller is told to retry:
 * programs that start late in an outage still continue as soon as it ends, and
 * no request is held until its deadline. */
#define TURN_START_TIMEOUT_US (1 * MU_US_PER_S)

void
mu_call_settle(struct mu_call *c, const Mu__TurnRecord *rec)
{
	struct mu_settlement t = {0};

	if (!c->grant.held)
		return;
	t.program = c->program_id;
	t.turn = c->turn_id;
	t.rec = rec;
	if (c->service != NULL)
		t.used = c->events * c->service->tokens_per_event;
	if (c->events > 0 && c->req.nparts > 0 && *c->last_endpoint != '\0') {
		t.part = c->req.parts[0];
		(void)snprintf(t.cached.endpoint, sizeof(t.cached.endpoint),
		    "%s", c->last_endpoint);
		t.cached.held = c->req.prompt_tokens + t.used;
	}
	mu_home_settle(c->s->home, &c->grant, &t);
}

bool
mu_call_record_fits(const struct mu_call *c, size_t n)
{
	return c->req.len + mu_buf_len(&c->output) + n <= MU_HISTORY_MAX_BYTES;
}

static Mu__TurnRecord *
make_record(const struct mu_call *c)
{
	Mu__TurnRecord *r = malloc(sizeof(*r));

	if (r == NULL)
		abort();
	mu__turn_record__init(r);
	r->turn = strdup(c->turn_id);
	r->ancestors = calloc(c->nchain + 1, sizeof(char *));
	if (r->ancestors == NULL)
		abort();
	while (r->n_ancestors < c->nchain) {
		r->ancestors[r->n_ancestors] = strdup(c->chain[r->n_ancestors]);
		r->n_ancestors++;
	}
	r->input.data = malloc(c->req.len + 1);
	r->output.data = malloc(mu_buf_len(&c->output) + 1);
	if (r->input.data == NULL || r->output.data == NULL)
		abort();
	r->input.len = c->req.len;
	if (c->req.len > 0)
		memcpy(r->input.data, c->req.body, c->req.len);
	r->output.len = mu_buf_len(&c->output);
	if (r->output.len > 0)
		memcpy(r->output.data, mu_buf_data(&c->output), r->output.len);
	return r;
}

struct commit_request {
	struct mu_call *c;
	Mu__TurnRecord *rec;
};

static void
on_committed(void *arg, enum mu_history_status st)
{
	struct commit_request *k = arg;
	struct mu_call *c = k->c;
	mu_us keep = c->route->keep;
	struct mu_history *h = c->s->history;

	if (!c->closed && c->state == ST_COMMITTING) {
		if (st == MU_HISTORY_OK) {
			mu_call_settle(c, k->rec);
			mu_history_cache_put(h, k->rec, keep);
			k->rec = NULL;
			mu_call_send_answer(c);
		} else {
			mu_call_end_with_error(
			    c, 504, 0, "record_not_committed");
		}
	}
	if (k->rec != NULL)
		mu__turn_record__free_unpacked(k->rec, NULL);
	free(k);
	mu_call_unref(c);
}

void
mu_call_commit_turn(struct mu_call *c)
{
	struct commit_request *k = calloc(1, sizeof(*k));

	if (k == NULL)
		abort();
	c->state = ST_COMMITTING;
	c->references++;
	mu_buf_clear(&c->body);
	/* The record's copy of the output, and its encoded form. */
	if (c->acct != NULL)
		mu_acct_force(c->acct, &c->copies, 2 * mu_buf_len(&c->output),
		    mu_loop_now(c->s->loop));
	k->c = c;
	k->rec = make_record(c);
	mu_history_commit(c->s->history, k->rec, c->route->keep, c->deadline,
	    on_committed, k);
}

static void begin_turn(struct mu_call *c);

/* The previous turn may have been served before customers were configured: it
 * belongs to none and is stored under the id of a caller without customer. */
static bool
continue_unowned_turn(struct mu_call *c)
{
	const char *id = mu_scope_id(c->arena, NULL, c->req.previous);

	if (id == NULL)
		abort();
	if (c->customer == NULL || strcmp(c->previous_id, id) == 0)
		return false;
	c->previous_id = id;
	begin_turn(c);
	return true;
}

static void
refuse_new_program(struct mu_call *c)
{
	if (!c->only_started) {
		mu_count(MU_M_PROGRAMS_SHED, 1);
		mu_log(MU_LOG_INFO, "call", "program_shed",
		    "{s:s,s:s?,s:s,s:s,s:f}", "request", c->req.id, "program",
		    c->req.program, "service", c->group->name, "class",
		    mu_shed_class_name(c->shed_class), "utilization",
		    c->utilization);
		mu_call_end_with_error(c, 503,
		    mu_shed_retry_ms(c->shed_class, c->req.program_left_ms,
			&c->s->targets.rng),
		    "no_place_for_new_programs");
		return;
	}
	mu_count(MU_M_LIMITED, 1);
	mu_call_end_with_error(
	    c, 429, c->limit_retry_ms, "rate_limited_new_program");
}

/*
 * Reserves room for copies of the body before the request is passed on: the
 * turn's record and its encoded form, and before them the text with history,
 * which is freed when the record is made.  Returns false if there is none and
 * the request has been refused.
 */
static bool
reserve_copies(struct mu_call *c, size_t text)
{
	size_t most = c->route->keeps_history ? 2 * c->req.len : 0;

	if (text > most)
		most = text;
	if (most <= c->copies.bytes ||
	    mu_in_reserve(c->in, &c->copies, most - c->copies.bytes))
		return true;
	mu_call_end_with_error(
	    c, 503, MU_CALL_RETRY_AFTER_OVERLOAD_MS, "no_room");
	return false;
}

/* Keeps the ids of the cached turns that this one continues. */
static void
set_chain(struct mu_call *c, const Mu__TurnRecord *previous)
{
	size_t i, n = previous->n_ancestors;

	c->chain = mu_arena_alloc(c->arena, (n + 1) * sizeof(char *));
	if (c->chain == NULL)
		abort();
	for (i = 0; i <= n; i++) {
		c->chain[i] = mu_arena_strdup(
		    c->arena, i < n ? previous->ancestors[i] : previous->turn);
		if (c->chain[i] == NULL)
			abort();
	}
	c->nchain = n + 1;
}

/* The turn's budget is reserved: adds its history and sends it. */
static void
send_turn(struct mu_call *c)
{
	struct mu_history *h = c->s->history;
	size_t len;

	if (c->previous_id != NULL) {
		len = mu_history_text_len(h, c->previous_id) + c->req.len;
		if (!reserve_copies(c, len + 1))
			return;
		if (mu_buf_set_size(&c->body, len + 1) != 0 ||
		    mu_history_text(h, c->previous_id, &c->body) != 0 ||
		    mu_buf_add(&c->body, c->req.body, c->req.len) != 0) {
			mu_call_end_with_error(c, 503, MU_CALL_RETRY_AFTER_MS,
			    "history_unavailable");
			return;
		}
		set_chain(c, mu_history_find(h, c->previous_id));
		mu_call_set_fingerprint(c);
	}
	mu_call_dispatch(c);
}

/* Whether the turn is cut off if it uses all that it may (account.c). */
static bool
may_be_cut_off(const struct mu_call *c)
{
	return c->grant.held && c->grant.tokens > 0 &&
	       c->grant.tokens < c->req.max_turn_tokens;
}

static void
on_turn_begun(void *arg, enum mu_turn_start_status st)
{
	struct mu_call *c = arg;

	if (c->closed || c->state != ST_PREPARING) {
		/* The call ended meanwhile: none used. */
		mu_call_settle(c, NULL);
		mu_call_unref(c);
		return;
	}
	/* A daemon that stops accepts only what it can answer whole. */
	if (st == MU_START_OK && mu_serve_leaving(c->s) && may_be_cut_off(c))
		st = MU_START_UNAVAILABLE;
	switch (st) {
	case MU_START_OK:
		mu_call_turn_reserved(c);
		send_turn(c);
		break;
	case MU_START_BUDGET_EXHAUSTED:
		mu_call_end_with_error(c, 402, 0, "budget_exhausted");
		break;
	case MU_START_NO_SUCH_TURN:
		if (!continue_unowned_turn(c))
			mu_call_end_with_error(c, 404, 0, "no_such_turn");
		break;
	case MU_START_NEW_PROGRAM:
		refuse_new_program(c);
		break;
	case MU_START_UNAVAILABLE:
		mu_call_end_with_error(
		    c, 503, MU_CALL_RETRY_AFTER_OUTAGE_MS, "state_unavailable");
		break;
	}
	mu_call_unref(c);
}

static bool
admits_new_program(struct mu_call *c)
{
	c->utilization = mu_group_utilization(&c->s->targets, c->group);
	return mu_shed_admits(c->shed_class, c->utilization);
}

static void
begin_turn(struct mu_call *c)
{
	struct mu_turn_start b = {0};

	b.program =
	    c->req.has_budget && c->program_id != NULL ? c->program_id : "";
	b.budget = c->req.budget;
	b.most = c->req.max_turn_tokens;
	b.turn = c->turn_id;
	b.previous = c->previous_id;
	b.keep = c->route->keep;
	b.parts = c->req.parts;
	b.nparts = c->req.nparts;
	b.only_begun = c->only_started ||
		       (c->req.previous == NULL && !admits_new_program(c));
	b.deadline = c->arrived + TURN_START_TIMEOUT_US < c->deadline
			 ? c->arrived + TURN_START_TIMEOUT_US
			 : c->deadline;
	c->state = ST_PREPARING;
	c->references++;
	mu_home_start_turn(c->s->home, &b, &c->grant, on_turn_begun, c);
}

void
mu_call_admitted(struct mu_call *c)
{
	if (!reserve_copies(c, 0))
		return;
	if (c->req.has_budget || c->previous_id != NULL)
		begin_turn(c);
	else
		mu_call_dispatch(c);
}
