/* test_program.c -- journal records, takeover, snapshots, budgets. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "program.h"

#define ID "0001aa"
#define CHILD "0001bb"

static void
apply(struct mu_programs *ps, json_t *record)
{
	struct mu_error e;

	assert_non_null(record);
	assert_int_equal(mu_record_apply(ps, record, &e), 0);
	json_decref(record);
}

static void
assert_refused(struct mu_programs *ps, json_t *record)
{
	struct mu_error e;

	assert_int_equal(mu_record_apply(ps, record, &e), MU_E_INTERNAL);
	json_decref(record);
}

static json_t *
turn(const char *id, uint64_t seq, const char *text)
{
	json_t *messages =
	    json_pack("[{s:s,s:s}]", "role", "user", "content", "question");
	struct mu_record_turn t = {0};
	json_t *j;

	t.id = id;
	t.seq = seq;
	t.state = MU_TURN_DONE;
	t.status = 200;
	t.body = "{\"output\":1}";
	t.hash = "h";
	t.service = "s";
	t.messages = messages;
	t.text = text;
	t.home = "127.0.0.1:1";
	t.home_tokens = 12;
	t.used = (struct mu_amount){10, 1, 5};
	j = mu_record_turn(&t);
	json_decref(messages);
	return j;
}

static void
create(struct mu_programs *ps, const char *id, const char *parent)
{
	struct mu_budget b;

	mu_budget_init(&b, 1000, 10, 60);
	apply(ps, mu_record_create(id, "cook", parent, &b));
}

static void
test_turns_build_the_history(void **state)
{
	struct mu_programs ps;
	struct mu_program *p;

	(void)state;
	mu_programs_init(&ps);
	create(&ps, ID, "");
	apply(&ps, turn(ID, 1, "one"));
	apply(&ps, turn(ID, 2, "two"));
	p = mu_program_find(&ps, ID);
	assert_int_equal(mu_program_next_seq(p), 3);
	assert_int_equal(json_array_size(p->messages), 4);
	assert_int_equal(
	    p->message_tokens, 2 * mu_text_tokens("question") + 1 + 1);
	assert_int_equal(p->budget.spent.tokens, 20);
	assert_int_equal(p->attained, 20);
	assert_string_equal(p->home, "127.0.0.1:1");
	mu_programs_clear(&ps);
}

static void
test_records_that_do_not_fit_are_refused(void **state)
{
	struct mu_programs ps;
	struct mu_budget b;
	const struct mu_amount none = {0};

	(void)state;
	mu_programs_init(&ps);
	mu_budget_init(&b, 1, 1, 1);
	assert_refused(&ps, turn("nobody", 1, "x"));
	create(&ps, ID, "");
	assert_refused(&ps, mu_record_create(ID, "cook", "", &b));
	assert_refused(&ps, turn(ID, 2, "a gap"));
	apply(&ps, turn(ID, 1, "one"));
	assert_refused(&ps, turn(ID, 1, "again"));
	assert_refused(&ps, mu_record_intent(ID, 3, "h", "s", "e", &none));
	assert_refused(&ps, mu_record_drop(ID, 1));
	assert_refused(&ps, json_pack("{s:s}", "t", "other"));
	mu_programs_clear(&ps);
}

static void
test_intent_without_outcome_becomes_unknown(void **state)
{
	struct mu_programs ps;
	struct mu_program *p;
	const struct mu_turn *t;
	const struct mu_amount granted = {100, 1, 2000};

	(void)state;
	mu_programs_init(&ps);
	create(&ps, ID, "");
	apply(&ps, mu_record_intent(ID, 1, "h", "s", "e", &granted));
	mu_programs_recover(&ps);
	p = mu_program_find(&ps, ID);
	t = mu_program_turn(p, 1);
	assert_int_equal(t->state, MU_TURN_UNKNOWN);
	assert_int_equal(t->status, 409);
	assert_non_null(strstr(t->body, "\"unknown\""));
	/* The whole reservation is charged. */
	assert_int_equal(p->budget.spent.tokens, 100);
	assert_int_equal(p->budget.spent.calls, 1);
	/* Its seq stays taken; the next turn has the following one. */
	apply(&ps, turn(ID, 2, "next"));
	mu_programs_clear(&ps);
}

static void
test_dropped_intent_frees_its_seq(void **state)
{
	struct mu_programs ps;
	struct mu_program *p;
	const struct mu_amount granted = {100, 1, 2000};

	(void)state;
	mu_programs_init(&ps);
	create(&ps, ID, "");
	apply(&ps, mu_record_intent(ID, 1, "h", "s", "e", &granted));
	apply(&ps, mu_record_drop(ID, 1));
	mu_programs_recover(&ps);
	p = mu_program_find(&ps, ID);
	assert_int_equal(mu_program_next_seq(p), 1);
	assert_int_equal(p->budget.spent.tokens, 0);
	apply(&ps, turn(ID, 1, "now"));
	mu_programs_clear(&ps);
}

static void
test_children_charge_and_end_with_their_parent(void **state)
{
	struct mu_programs ps;
	struct mu_program *p, *c;

	(void)state;
	mu_programs_init(&ps);
	create(&ps, ID, "");
	create(&ps, CHILD, ID);
	p = mu_program_find(&ps, ID);
	c = mu_program_find(&ps, CHILD);
	assert_ptr_equal(mu_program_root(&ps, c), p);
	apply(&ps, turn(CHILD, 1, "one"));
	apply(&ps, mu_record_charge(CHILD, &(struct mu_amount){7, 0, 1}));
	assert_int_equal(c->budget.spent.tokens, 17);
	assert_int_equal(p->budget.spent.tokens, 17);
	apply(&ps, mu_record_end(ID));
	assert_true(p->ended);
	assert_true(c->ended);
	mu_programs_clear(&ps);
}

static void
test_snapshot_is_the_same_state(void **state)
{
	struct mu_programs a, b;
	const struct mu_amount granted = {100, 1, 2000};
	struct mu_error e;
	json_t *da, *db;

	(void)state;
	mu_programs_init(&a);
	mu_programs_init(&b);
	create(&a, ID, "");
	create(&a, CHILD, ID);
	apply(&a, turn(ID, 1, "one"));
	apply(&a, mu_record_intent(ID, 2, "h2", "s", "e", &granted));
	apply(&a, mu_record_end(CHILD));
	da = mu_programs_dump(&a);
	assert_int_equal(mu_programs_load(&b, da, &e), 0);
	db = mu_programs_dump(&b);
	assert_true(json_equal(da, db));
	mu_programs_recover(&b);
	assert_int_equal(mu_program_turn(mu_program_find(&b, ID), 2)->state,
	    MU_TURN_UNKNOWN);
	json_decref(da);
	json_decref(db);
	mu_programs_clear(&a);
	mu_programs_clear(&b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_turns_build_the_history),
	    cmocka_unit_test(test_records_that_do_not_fit_are_refused),
	    cmocka_unit_test(test_intent_without_outcome_becomes_unknown),
	    cmocka_unit_test(test_dropped_intent_frees_its_seq),
	    cmocka_unit_test(test_children_charge_and_end_with_their_parent),
	    cmocka_unit_test(test_snapshot_is_the_same_state),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
