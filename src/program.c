/*
 * program.c -- in-memory state of agent programs, and the journal's records.
 *
 * A record is a JSON object whose key "t" holds its kind.  Durable state is
 * changed only by applying records, so that replaying a journal reproduces the
 * state of its writer.  The history is kept twice: as answers, which are
 * repeated byte for byte, and as the messages that begin the next model call.
 */
#include <stdlib.h>
#include <string.h>

#include "program.h"

#define BYTES_PER_TOKEN 4

void
mu_programs_init(struct mu_programs *ps)
{
	CDS_INIT_LIST_HEAD(&ps->list);
	ps->count = 0;
}

static void
turn_free_strings(struct mu_turn *t)
{
	free(t->body);
	free(t->service);
	free(t->attempts);
}

static void
program_free(struct mu_program *p)
{
	size_t i;

	for (i = 0; i < p->nturns; i++)
		turn_free_strings(&p->turns[i]);
	free(p->turns);
	json_decref(p->messages);
	free(p);
}

void
mu_programs_clear(struct mu_programs *ps)
{
	struct mu_program *p, *next;

	cds_list_for_each_entry_safe (p, next, &ps->list, node) {
		cds_list_del(&p->node);
		program_free(p);
	}
	ps->count = 0;
}

struct mu_program *
mu_program_find(const struct mu_programs *ps, const char *id)
{
	struct mu_program *p;

	cds_list_for_each_entry (p, &ps->list, node) {
		if (strcmp(p->id, id) == 0)
			return p;
	}
	return NULL;
}

uint64_t
mu_program_next_seq(const struct mu_program *p)
{
	return p->nturns + 1;
}

const struct mu_turn *
mu_program_turn(const struct mu_program *p, uint64_t seq)
{
	if (seq == 0 || seq > p->nturns)
		return NULL;
	return &p->turns[seq - 1];
}

struct mu_program *
mu_program_root(const struct mu_programs *ps, struct mu_program *p)
{
	struct mu_program *parent_program;

	while (p->parent[0] != '\0') {
		parent_program = mu_program_find(ps, p->parent);
		if (parent_program == NULL)
			break;
		p = parent_program;
	}
	return p;
}

uint64_t
mu_text_tokens(const char *text)
{
	return (strlen(text) + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
}

uint64_t
mu_messages_tokens(const json_t *messages)
{
	const char *text;
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < json_array_size(messages); i++) {
		text = json_string_value(
		    json_object_get(json_array_get(messages, i), "content"));
		if (text != NULL)
			sum += mu_text_tokens(text);
	}
	return sum;
}

/*
 * Construction of records.
 */

static json_t *
amount_json(const struct mu_amount *a)
{
	return json_pack("[I,I,I]", (json_int_t)a->tokens, (json_int_t)a->calls,
	    (json_int_t)a->ms);
}

static void
amount_read(const json_t *j, struct mu_amount *a)
{
	a->tokens = (uint64_t)json_integer_value(json_array_get(j, 0));
	a->calls = (uint64_t)json_integer_value(json_array_get(j, 1));
	a->ms = (uint64_t)json_integer_value(json_array_get(j, 2));
}

json_t *
mu_record_create(const char *id, const char *caller, const char *parent,
    const struct mu_budget *budget)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:o}", "t", "create", "p", id, "c",
	    caller, "parent", parent, "limit", amount_json(&budget->limit));
}

json_t *
mu_record_intent(const char *id, uint64_t seq, const char *hash,
    const char *service, const char *endpoint, const struct mu_amount *granted)
{
	return json_pack("{s:s,s:s,s:I,s:s,s:s,s:s,s:o}", "t", "intent", "p",
	    id, "s", (json_int_t)seq, "h", hash, "svc", service, "ep", endpoint,
	    "g", amount_json(granted));
}

json_t *
mu_record_drop(const char *id, uint64_t seq)
{
	return json_pack(
	    "{s:s,s:s,s:I}", "t", "drop", "p", id, "s", (json_int_t)seq);
}

json_t *
mu_record_turn(const struct mu_record_turn *t)
{
	json_t *j;

	j = json_pack("{s:s,s:s,s:I,s:i,s:i,s:s,s:s,s:s,s:o}", "t", "turn", "p",
	    t->id, "s", (json_int_t)t->seq, "o", (int)t->state, "st", t->status,
	    "b", t->body, "h", t->hash, "svc", t->service, "u",
	    amount_json(&t->used));
	if (j == NULL)
		return NULL;
	if (t->attempts != NULL)
		json_object_set_new(j, "why", json_string(t->attempts));
	if (t->messages != NULL)
		json_object_set_new(j, "m", json_deep_copy(t->messages));
	if (t->text != NULL)
		json_object_set_new(j, "a", json_string(t->text));
	if (t->home != NULL) {
		json_object_set_new(j, "home", json_string(t->home));
		json_object_set_new(
		    j, "ht", json_integer((json_int_t)t->home_tokens));
	}
	return j;
}

json_t *
mu_record_charge(const char *id, const struct mu_amount *used)
{
	return json_pack(
	    "{s:s,s:s,s:o}", "t", "charge", "p", id, "u", amount_json(used));
}

json_t *
mu_record_end(const char *id)
{
	return json_pack("{s:s,s:s}", "t", "end", "p", id);
}

/*
 * Application of records.
 */

static int
record_mismatch(struct mu_error *e, const char *what)
{
	return mu_fail(e, MU_E_INTERNAL, MU_OUTCOME_UNKNOWN, 0,
	    "journal record does not fit: %s", what);
}

static bool
copy_string(char *to, size_t size, const json_t *from)
{
	const char *s = json_string_value(from);

	if (s == NULL || strlen(s) >= size)
		return false;
	memcpy(to, s, strlen(s) + 1);
	return true;
}

static char *
dup_string(const json_t *from)
{
	const char *s = json_string_value(from);

	return s != NULL ? strdup(s) : NULL;
}

static int
apply_create(struct mu_programs *ps, const json_t *r, struct mu_error *e)
{
	struct mu_program *p = calloc(1, sizeof(*p));

	if (p == NULL)
		return mu_fail(e, MU_E_NOMEM, MU_OUTCOME_UNKNOWN, 0, "create");
	p->messages = json_array();
	if (!copy_string(p->id, sizeof(p->id), json_object_get(r, "p")) ||
	    !copy_string(
		p->caller, sizeof(p->caller), json_object_get(r, "c")) ||
	    !copy_string(
		p->parent, sizeof(p->parent), json_object_get(r, "parent")) ||
	    mu_program_find(ps, p->id) != NULL) {
		program_free(p);
		return record_mismatch(e, "create");
	}
	amount_read(json_object_get(r, "limit"), &p->budget.limit);
	cds_list_add_tail(&p->node, &ps->list);
	ps->count++;
	return 0;
}

/* Returns the turn with this seq; adds it if it is the next one. */
static struct mu_turn *
turn_get_or_add(struct mu_program *p, uint64_t seq)
{
	struct mu_turn *turns;
	size_t size;

	if (seq == 0 || seq > p->nturns + 1)
		return NULL;
	if (seq <= p->nturns)
		return &p->turns[seq - 1];
	if (p->nturns == p->turns_size) {
		size = p->turns_size != 0 ? 2 * p->turns_size : 4;
		turns = realloc(p->turns, size * sizeof(*turns));
		if (turns == NULL)
			return NULL;
		p->turns = turns;
		p->turns_size = size;
	}
	memset(&p->turns[p->nturns], 0, sizeof(*p->turns));
	return &p->turns[p->nturns++];
}

static int
apply_intent(struct mu_program *p, const json_t *r, struct mu_error *e)
{
	uint64_t seq = (uint64_t)json_integer_value(json_object_get(r, "s"));
	struct mu_turn *t;

	if (seq != p->nturns + 1)
		return record_mismatch(e, "intent out of order");
	t = turn_get_or_add(p, seq);
	if (t == NULL)
		return record_mismatch(e, "intent");
	t->state = MU_TURN_INTENT;
	t->service = dup_string(json_object_get(r, "svc"));
	amount_read(json_object_get(r, "g"), &t->granted);
	if (!copy_string(t->hash, sizeof(t->hash), json_object_get(r, "h")))
		return record_mismatch(e, "intent hash");
	return 0;
}

static int
apply_drop(struct mu_program *p, const json_t *r, struct mu_error *e)
{
	uint64_t seq = (uint64_t)json_integer_value(json_object_get(r, "s"));

	if (seq == 0 || seq != p->nturns ||
	    p->turns[seq - 1].state != MU_TURN_INTENT)
		return record_mismatch(e, "drop");
	turn_free_strings(&p->turns[seq - 1]);
	p->nturns--;
	return 0;
}

/* Charges a program and all its ancestors, whose budgets it uses. */
static void
charge(
    struct mu_programs *ps, struct mu_program *p, const struct mu_amount *used)
{
	const struct mu_amount none = {0};

	while (p != NULL) {
		mu_budget_settle(&p->budget, &none, used);
		p = p->parent[0] != '\0' ? mu_program_find(ps, p->parent)
					 : NULL;
	}
}

static void
append_history(struct mu_program *p, const json_t *r)
{
	json_t *added = json_object_get(r, "m");
	const char *text = json_string_value(json_object_get(r, "a"));

	if (added != NULL) {
		p->message_tokens += mu_messages_tokens(added);
		json_array_extend(p->messages, added);
	}
	if (text != NULL) {
		p->message_tokens += mu_text_tokens(text);
		json_array_append_new(
		    p->messages, json_pack("{s:s,s:s}", "role", "assistant",
				     "content", text));
	}
}

static int
apply_turn(struct mu_programs *ps, struct mu_program *p, const json_t *r,
    struct mu_error *e)
{
	uint64_t seq = (uint64_t)json_integer_value(json_object_get(r, "s"));
	struct mu_amount used;
	struct mu_turn *t;

	t = turn_get_or_add(p, seq);
	if (t == NULL || t->body != NULL)
		return record_mismatch(e, "turn out of order");
	free(t->service);
	t->service = dup_string(json_object_get(r, "svc"));
	t->state =
	    (enum mu_turn_state)json_integer_value(json_object_get(r, "o"));
	t->status = (int)json_integer_value(json_object_get(r, "st"));
	t->body = dup_string(json_object_get(r, "b"));
	t->attempts = dup_string(json_object_get(r, "why"));
	if (t->body == NULL ||
	    !copy_string(t->hash, sizeof(t->hash), json_object_get(r, "h")))
		return record_mismatch(e, "turn");
	amount_read(json_object_get(r, "u"), &used);
	charge(ps, p, &used);
	p->attained += used.tokens;
	append_history(p, r);
	if (json_object_get(r, "home") != NULL) {
		(void)copy_string(
		    p->home, sizeof(p->home), json_object_get(r, "home"));
		(void)copy_string(p->home_service, sizeof(p->home_service),
		    json_object_get(r, "svc"));
		p->home_tokens =
		    (uint64_t)json_integer_value(json_object_get(r, "ht"));
	}
	return 0;
}

static void
end_family(struct mu_programs *ps, const char *id)
{
	struct mu_program *p;

	cds_list_for_each_entry (p, &ps->list, node) {
		if (strcmp(p->id, id) == 0)
			p->ended = true;
		else if (strcmp(p->parent, id) == 0 && !p->ended)
			end_family(ps, p->id);
	}
}

int
mu_record_apply(struct mu_programs *ps, const json_t *r, struct mu_error *e)
{
	const char *kind = json_string_value(json_object_get(r, "t"));
	const char *id = json_string_value(json_object_get(r, "p"));
	struct mu_amount used;
	struct mu_program *p;

	if (kind == NULL || id == NULL)
		return record_mismatch(e, "no kind or program");
	if (strcmp(kind, "create") == 0)
		return apply_create(ps, r, e);
	p = mu_program_find(ps, id);
	if (p == NULL)
		return record_mismatch(e, "no such program");
	if (strcmp(kind, "intent") == 0)
		return apply_intent(p, r, e);
	if (strcmp(kind, "drop") == 0)
		return apply_drop(p, r, e);
	if (strcmp(kind, "turn") == 0)
		return apply_turn(ps, p, r, e);
	if (strcmp(kind, "charge") == 0) {
		amount_read(json_object_get(r, "u"), &used);
		charge(ps, p, &used);
		return 0;
	}
	if (strcmp(kind, "end") == 0) {
		end_family(ps, id);
		return 0;
	}
	return record_mismatch(e, "unknown kind");
}

/*
 * Takeover (spec: Recover).  A call whose intent has no result is not repeated.
 */

static void
turn_mark_unknown(struct mu_programs *ps, struct mu_program *p, uint64_t seq)
{
	struct mu_turn *t = &p->turns[seq - 1];
	json_t *j;

	j = json_pack("{s:s,s:I,s:{s:s,s:s,s:s,s:i}}", "program", p->id, "seq",
	    (json_int_t)seq, "error", "type", mu_errname(MU_E_UNKNOWN_RESULT),
	    "outcome", "unknown", "message",
	    "it may have run; its result was lost and it is not run again",
	    "retry_after_ms", 0);
	t->body = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	t->state = MU_TURN_UNKNOWN;
	t->status = mu_errstatus(MU_E_UNKNOWN_RESULT);
	charge(ps, p, &t->granted);
}

void
mu_programs_recover(struct mu_programs *ps)
{
	struct mu_program *p;
	size_t i;

	cds_list_for_each_entry (p, &ps->list, node) {
		for (i = 0; i < p->nturns; i++)
			if (p->turns[i].state == MU_TURN_INTENT)
				turn_mark_unknown(ps, p, i + 1);
	}
}

/*
 * Snapshots.
 */

static json_t *
turn_dump(const struct mu_turn *t)
{
	json_t *j;

	j = json_pack("{s:i,s:i,s:s,s:o}", "o", (int)t->state, "st", t->status,
	    "h", t->hash, "g", amount_json(&t->granted));
	if (t->body != NULL)
		json_object_set_new(j, "b", json_string(t->body));
	if (t->service != NULL)
		json_object_set_new(j, "svc", json_string(t->service));
	if (t->attempts != NULL)
		json_object_set_new(j, "why", json_string(t->attempts));
	return j;
}

static json_t *
program_dump(const struct mu_program *p)
{
	json_t *turns = json_array();
	size_t i;

	for (i = 0; i < p->nturns; i++)
		json_array_append_new(turns, turn_dump(&p->turns[i]));
	return json_pack("{s:s,s:s,s:s,s:b,s:o,s:o,s:o,s:O,s:I,s:s,s:s,s:I}",
	    "p", p->id, "c", p->caller, "parent", p->parent, "ended", p->ended,
	    "limit", amount_json(&p->budget.limit), "spent",
	    amount_json(&p->budget.spent), "turns", turns, "m", p->messages,
	    "attained", (json_int_t)p->attained, "home", p->home,
	    "home_service", p->home_service, "ht", (json_int_t)p->home_tokens);
}

json_t *
mu_programs_dump(const struct mu_programs *ps)
{
	json_t *list = json_array();
	struct mu_program *p;

	cds_list_for_each_entry (p, &ps->list, node)
		json_array_append_new(list, program_dump(p));
	return json_pack("{s:i,s:o}", "format", 1, "programs", list);
}

static int
turn_load(struct mu_program *p, const json_t *j, struct mu_error *e)
{
	struct mu_turn *t = turn_get_or_add(p, p->nturns + 1);

	if (t == NULL)
		return record_mismatch(e, "snapshot turn");
	t->state =
	    (enum mu_turn_state)json_integer_value(json_object_get(j, "o"));
	t->status = (int)json_integer_value(json_object_get(j, "st"));
	t->body = dup_string(json_object_get(j, "b"));
	t->service = dup_string(json_object_get(j, "svc"));
	t->attempts = dup_string(json_object_get(j, "why"));
	amount_read(json_object_get(j, "g"), &t->granted);
	if (!copy_string(t->hash, sizeof(t->hash), json_object_get(j, "h")))
		return record_mismatch(e, "snapshot turn hash");
	return 0;
}

static int
program_load(struct mu_programs *ps, json_t *j, struct mu_error *e)
{
	json_t *turns = json_object_get(j, "turns");
	struct mu_program *p;
	size_t i;
	int rc;

	rc = apply_create(ps, j, e);
	if (rc != 0)
		return rc;
	p = cds_list_entry(ps->list.prev, struct mu_program, node);
	p->ended = json_is_true(json_object_get(j, "ended"));
	amount_read(json_object_get(j, "spent"), &p->budget.spent);
	p->attained =
	    (uint64_t)json_integer_value(json_object_get(j, "attained"));
	(void)copy_string(p->home, sizeof(p->home), json_object_get(j, "home"));
	(void)copy_string(p->home_service, sizeof(p->home_service),
	    json_object_get(j, "home_service"));
	p->home_tokens = (uint64_t)json_integer_value(json_object_get(j, "ht"));
	json_array_extend(p->messages, json_object_get(j, "m"));
	p->message_tokens = mu_messages_tokens(p->messages);
	for (i = 0; i < json_array_size(turns) && rc == 0; i++)
		rc = turn_load(p, json_array_get(turns, i), e);
	return rc;
}

int
mu_programs_load(struct mu_programs *ps, const json_t *dump, struct mu_error *e)
{
	json_t *list = json_object_get(dump, "programs");
	size_t i;
	int rc = 0;

	if (json_integer_value(json_object_get(dump, "format")) != 1)
		return record_mismatch(e, "snapshot format");
	for (i = 0; i < json_array_size(list) && rc == 0; i++)
		rc = program_load(ps, json_array_get(list, i), e);
	return rc;
}
