/* test_history.c -- records of turns: committing, reading back, caching. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "history_private.h"
#include "memstore.h"

#define RETENTION_US (60 * MU_US_PER_S)
#define LARGE_BYTES 150000 /* more than a row holds */

struct daemon {
	struct mu_store *store;
	struct mu_reaper *reaper;
	struct mu_history *history;
};

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct daemon d[2];
	unsigned answers, ok;
	enum mu_history_status status;
};

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	struct mu_store_backend b;
	int i;

	mu_clock_manual(&f->clock, MU_US_PER_S);
	f->loop = mu_loop_new(&f->clock);
	f->mem = calloc(1, sizeof(*f->mem));
	b = mem_backend(f->mem, f->loop);
	for (i = 0; i < 2; i++) {
		f->d[i].store = mu_store_new(f->loop, &b);
		f->d[i].reaper = mu_reaper_new(f->loop, f->d[i].store);
		f->d[i].history = mu_history_new(
		    f->loop, f->d[i].store, f->d[i].reaper, (size_t)1 << 20);
	}
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;
	int i;

	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 6000);
	for (i = 0; i < 2; i++) {
		mu_history_free(f->d[i].history);
		mu_reaper_free(f->d[i].reaper);
		mu_store_free(f->d[i].store);
	}
	mem_free(f->mem);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
on_status(void *arg, enum mu_history_status status)
{
	struct fixture *f = arg;

	f->answers++;
	f->ok += status == MU_HISTORY_OK;
	f->status = status;
}

/* A record that continues before, with input and output of its own. */
static Mu__TurnRecord *
new_record(const char *turn, const Mu__TurnRecord *before, size_t len)
{
	Mu__TurnRecord *r = malloc(sizeof(*r));
	size_t i, n = before != NULL ? before->n_ancestors + 1 : 0;

	mu__turn_record__init(r);
	r->turn = strdup(turn);
	r->ancestors = calloc(n + 1, sizeof(char *));
	for (i = 0; i + 1 < n; i++)
		r->ancestors[i] = strdup(before->ancestors[i]);
	if (n > 0)
		r->ancestors[n - 1] = strdup(before->turn);
	r->n_ancestors = n;
	r->input.data = malloc(len);
	memset(r->input.data, turn[1], len);
	r->input.len = len;
	r->output.data = (uint8_t *)strdup("out\n");
	r->output.len = 4;
	return r;
}

static void
commit(struct fixture *f, const Mu__TurnRecord *r, mu_us limit)
{
	mu_history_commit(f->d[0].history, r, RETENTION_US,
	    mu_loop_now(f->loop) + limit, on_status, f);
}

static void
fetch(struct fixture *f, const char *turn, int ms)
{
	mu_history_fetch(f->d[1].history, turn, RETENTION_US,
	    mu_loop_now(f->loop) + MU_US_PER_S, on_status, f);
	run_ms(f->loop, &f->clock, ms);
}

/* A chain written by one daemon is read completely by another, in two rounds.
 */
static void
test_chain_read_by_another_daemon(void **state)
{
	struct fixture *f = *state;
	Mu__TurnRecord *r[8] = {0};
	struct mu_buf text = {0};
	char turn[16];
	int i;

	for (i = 0; i < 8; i++) {
		(void)snprintf(turn, sizeof(turn), "t%d", i);
		r[i] = new_record(turn, i > 0 ? r[i - 1] : NULL, 10);
		commit(f, r[i], MU_US_PER_S);
		run_ms(f->loop, &f->clock, 10);
	}
	assert_int_equal(f->ok, 8);
	f->answers = 0;
	fetch(f, "t7", 15);
	assert_int_equal(f->answers, 1);
	assert_true(mu_history_chain_cached(f->d[1].history, "t7"));
	assert_int_equal(mu_history_text(f->d[1].history, "t7", &text), 0);
	assert_int_equal(mu_buf_len(&text), 8 * 14);
	assert_memory_equal(mu_buf_data(&text), "0000000000out\n1111", 18);
	mu_buf_clear(&text);
	for (i = 0; i < 8; i++)
		mu__turn_record__free_unpacked(r[i], NULL);
}

/* Guards against NOT_FOUND while the store is refusing or not answering. */
static void
test_not_found_only_when_certain(void **state)
{
	struct fixture *f = *state;

	fetch(f, "none", 20);
	assert_int_equal(f->status, MU_HISTORY_NOT_FOUND);
	f->mem->fault = MEM_BUSY;
	fetch(f, "none", 1500);
	assert_int_equal(f->status, MU_HISTORY_UNAVAILABLE);
	f->mem->fault = MEM_SILENT;
	fetch(f, "none", 1500);
	assert_int_equal(f->status, MU_HISTORY_UNAVAILABLE);
}

static void
test_large_record_in_chunks(void **state)
{
	struct fixture *f = *state;
	Mu__TurnRecord *r = new_record("tL", NULL, LARGE_BYTES);
	struct mu_buf text = {0};

	commit(f, r, MU_US_PER_S);
	run_ms(f->loop, &f->clock, 20);
	assert_int_equal(f->status, MU_HISTORY_OK);
	assert_true(f->mem->nrows > 1);
	fetch(f, "tL", 20);
	assert_int_equal(mu_history_text(f->d[1].history, "tL", &text), 0);
	assert_int_equal(mu_buf_len(&text), LARGE_BYTES + 4);
	mu_buf_clear(&text);
	mu__turn_record__free_unpacked(r, NULL);
}

/* Guards against a record without its output: the store's answer was cut after
 * a row that ends with a field of the record. */
static void
test_record_cut_between_fields_is_not_used(void **state)
{
	/* The key and the length of both fields before it take 8 bytes. */
	const size_t input = 48 * 1024 - 8;
	struct fixture *f = *state;
	Mu__TurnRecord *r = new_record("tC", NULL, input);

	commit(f, r, MU_US_PER_S);
	run_ms(f->loop, &f->clock, 20);
	assert_int_equal(f->mem->nrows, 2);
	f->mem->page = 1;
	fetch(f, "tC", 1100);
	assert_int_equal(f->status, MU_HISTORY_UNAVAILABLE);
	f->mem->page = 0;
	fetch(f, "tC", 20);
	assert_int_equal(f->status, MU_HISTORY_OK);
	mu__turn_record__free_unpacked(r, NULL);
}

/* Records that arrive during a partition's write are batched into the next. */
static void
test_group_commit_under_load(void **state)
{
	struct fixture *f = *state;
	Mu__TurnRecord *r;
	char turn[16];
	int i;

	f->mem->delay = 100 * MU_US_PER_MS;
	for (i = 0; i < 500; i++) {
		(void)snprintf(turn, sizeof(turn), "t%d", i);
		r = new_record(turn, NULL, 100);
		commit(f, r, 5 * MU_US_PER_S);
		mu__turn_record__free_unpacked(r, NULL);
	}
	run_ms(f->loop, &f->clock, 1200);
	assert_int_equal(f->ok, 500);
	assert_true(f->mem->writes <= 100);
}

/* Records are held during a store outage and written after it; a commit fails
 * when its deadline passes. */
static void
test_commit_waits_for_the_store(void **state)
{
	struct fixture *f = *state;
	Mu__TurnRecord *r = new_record("tO", NULL, 100);

	f->mem->fault = MEM_BUSY;
	commit(f, r, 3 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 2000);
	assert_int_equal(f->answers, 0);
	f->mem->fault = MEM_HEALTHY;
	run_ms(f->loop, &f->clock, 300);
	assert_int_equal(f->status, MU_HISTORY_OK);
	f->mem->fault = MEM_BUSY;
	commit(f, r, MU_US_PER_S);
	run_ms(f->loop, &f->clock, 1100);
	assert_int_equal(f->status, MU_HISTORY_UNAVAILABLE);
	mu__turn_record__free_unpacked(r, NULL);
}

static void
test_rows_go_when_kept_long_enough(void **state)
{
	struct fixture *f = *state;
	Mu__TurnRecord *r = new_record("tX", NULL, 10);

	commit(f, r, MU_US_PER_S);
	run_ms(f->loop, &f->clock, 100);
	assert_int_equal(f->ok, 1);
	mu_clock_advance(&f->clock, 29 * 60 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 100);
	assert_int_equal(f->mem->nrows, 1);
	assert_false(f->mem->row[0].removed);
	mu_clock_advance(&f->clock, 3 * 60 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 100);
	assert_true(f->mem->row[0].removed);
	mu__turn_record__free_unpacked(r, NULL);
}

/* Guards against a history that is refused although the store has all of it:
 * the cached part of a chain had expired and was evicted by the turns read. */
static void
test_rest_of_an_expired_chain_is_read(void **state)
{
	struct fixture *f = *state;
	Mu__TurnRecord *r[4] = {0};
	struct mu_buf text = {0};
	char turn[16];
	int i;

	for (i = 0; i < 4; i++) {
		(void)snprintf(turn, sizeof(turn), "t%d", i);
		r[i] = new_record(turn, i > 0 ? r[i - 1] : NULL, 10);
		commit(f, r[i], MU_US_PER_S);
		run_ms(f->loop, &f->clock, 10);
	}
	fetch(f, "t1", 15);
	mu_clock_advance(&f->clock, RETENTION_US + MU_US_PER_S);
	fetch(f, "t3", 15);
	assert_int_equal(f->status, MU_HISTORY_OK);
	assert_int_equal(mu_history_text(f->d[1].history, "t3", &text), 0);
	assert_int_equal(mu_buf_len(&text), 4 * 14);
	mu_buf_clear(&text);
	for (i = 0; i < 4; i++)
		mu__turn_record__free_unpacked(r[i], NULL);
}

/* Guards against a turn that is evicted soon after it was received again. */
static void
test_turn_received_again_is_kept_longer(void **state)
{
	struct fixture *f = *state;
	struct mu_history *h = f->d[0].history;

	mu_history_cache_put(h, new_record("t0", NULL, 10), RETENTION_US);
	mu_clock_advance(&f->clock, RETENTION_US - MU_US_PER_S);
	run_ms(f->loop, &f->clock, 1);
	mu_history_cache_put(h, new_record("t0", NULL, 10), RETENTION_US);
	mu_clock_advance(&f->clock, 2 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 1);
	mu_history_cache_put(h, new_record("t1", NULL, 10), RETENTION_US);
	assert_non_null(mu_history_find(h, "t0"));
}

static void
test_memory_is_bounded(void **state)
{
	struct fixture *f = *state;
	char turn[16];
	int i;

	for (i = 0; i < 400; i++) {
		(void)snprintf(turn, sizeof(turn), "t%d", i);
		mu_history_cache_put(f->d[0].history,
		    new_record(turn, NULL, 10000), RETENTION_US);
	}
	assert_null(mu_history_find(f->d[0].history, "t0"));
	assert_non_null(mu_history_find(f->d[0].history, "t399"));
}

/* Applies mem->fault to the first candidate partitions of a turn only. */
static void
set_down_partitions(struct fixture *f, const char *turn, unsigned candidates)
{
	static const char *const names[] = {"h0", "h1", "h2", "h3", "h4", "h5",
	    "h6", "h7", "h8", "h9", "h10", "h11", "h12", "h13", "h14", "h15"};
	struct mu_history_partition *p;
	unsigned i, j;

	f->mem->ndown = 0;
	for (i = 0; i < candidates; i++) {
		p = mu_history_candidate(f->d[0].history, turn, i);
		for (j = 0; j < MU_HISTORY_PARTITIONS; j++)
			if (strcmp(names[j], p->name) == 0)
				f->mem->down[f->mem->ndown++] = names[j];
	}
}

/* Commits records while no fault is set, so that both daemons know that the
 * store as a whole answers: only then can a single partition become suspect. */
static void
commit_while_healthy(struct fixture *f, unsigned n)
{
	Mu__TurnRecord *r;
	char turn[16];
	unsigned i;

	for (i = 0; i < n; i++) {
		(void)snprintf(turn, sizeof(turn), "busy%u", i);
		r = new_record(turn, NULL, 10);
		mu_history_commit(f->d[i % 2].history, r, RETENTION_US,
		    mu_loop_now(f->loop) + MU_US_PER_S, on_status, f);
		mu__turn_record__free_unpacked(r, NULL);
		run_ms(f->loop, &f->clock, 10);
	}
	f->answers = f->ok = 0;
}

/* The first candidate partition of a turn does not answer.  The record must be
 * written to another one, and a daemon that does not know this must find it
 * there while the first partition is still unavailable. */
static void
test_part_down(void **state)
{
	struct fixture *f = *state;
	Mu__TurnRecord *r = new_record("t1", NULL, 10);

	commit_while_healthy(f, 32);
	f->mem->fault = MEM_SILENT;
	set_down_partitions(f, "t1", 1);
	commit(f, r, 3 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 300);
	assert_int_equal(f->ok, 1);
	fetch(f, "t1", 300);
	assert_int_equal(f->ok, 2);
	assert_true(mu_history_chain_cached(f->d[1].history, "t1"));
	mu__turn_record__free_unpacked(r, NULL);
}

static void
test_two_parts_down(void **state)
{
	struct fixture *f = *state;
	Mu__TurnRecord *r = new_record("t2", NULL, 10);

	commit_while_healthy(f, 32);
	f->mem->fault = MEM_BUSY;
	set_down_partitions(f, "t2", 2);
	commit(f, r, 3 * MU_US_PER_S);
	run_ms(f->loop, &f->clock, 500);
	assert_int_equal(f->ok, 1);
	f->mem->fault = MEM_HEALTHY;
	fetch(f, "t2", 300);
	assert_int_equal(f->ok, 2);
	mu__turn_record__free_unpacked(r, NULL);
}

/* Guards against NOT_FOUND when one of a turn's candidate partitions does not
 * answer and the others do not have the record. */
static void
test_not_found_needs_every_part(void **state)
{
	struct fixture *f = *state;

	commit_while_healthy(f, 32);
	f->mem->fault = MEM_SILENT;
	set_down_partitions(f, "t3", 3);
	f->mem->down[0] = f->mem->down[2];
	f->mem->ndown = 1;
	fetch(f, "t3", 1100);
	assert_int_equal(f->status, MU_HISTORY_UNAVAILABLE);
	f->mem->fault = MEM_HEALTHY;
	fetch(f, "t3", 300);
	assert_int_equal(f->status, MU_HISTORY_NOT_FOUND);
}

/* Guards against extra writes: while the store is healthy, each record is
 * written to one partition only. */
static void
test_one_write_a_record_when_well(void **state)
{
	struct fixture *f = *state;
	unsigned before = f->mem->writes;

	commit_while_healthy(f, 32);
	assert_int_equal(f->mem->writes - before, 32);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_chain_read_by_another_daemon),
	    T(test_not_found_only_when_certain),
	    T(test_large_record_in_chunks),
	    T(test_record_cut_between_fields_is_not_used),
	    T(test_group_commit_under_load),
	    T(test_commit_waits_for_the_store),
	    T(test_rows_go_when_kept_long_enough),
	    T(test_rest_of_an_expired_chain_is_read),
	    T(test_turn_received_again_is_kept_longer),
	    T(test_memory_is_bounded),
	    T(test_part_down),
	    T(test_two_parts_down),
	    T(test_not_found_needs_every_part),
	    T(test_one_write_a_record_when_well),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
