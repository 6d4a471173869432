/* test_stream.c -- streams, reruns of streamed text, receipts, refusals. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <pthread.h>
#include <sodium.h>

#include "receipt.h"
#include "refusal.h"
#include "textlog.h"

#define WAIT_MS 20000 /* bounds a read that would otherwise hang the test */
#define LINES 2000

static char *
read_all(struct mu_stream *s)
{
	char *buf = calloc(1, 65536);
	size_t n, len = 0;
	bool ended = false;

	while (!ended) {
		n = mu_stream_read(
		    s, len, buf + len, 65535 - len, WAIT_MS, &ended);
		len += n;
	}
	return buf;
}

static void *
writer(void *arg)
{
	struct mu_reply r = {200, strdup("end"), 3, 0, false, false};
	int i;

	for (i = 0; i < LINES; i++)
		mu_stream_write_line(arg, "x");
	mu_stream_end(arg, &r);
	return NULL;
}

static void
test_readers_follow_from_the_start(void **state)
{
	struct mu_stream *s = mu_stream_new();
	pthread_t t;
	char *a, *b;

	(void)state;
	assert_int_equal(pthread_create(&t, NULL, writer, s), 0);
	a = read_all(s);
	b = read_all(s);
	assert_int_equal(strlen(a), 2 * LINES);
	assert_string_equal(a, b);
	assert_string_equal(mu_stream_wait_end(s, 0)->body, "end");
	pthread_join(t, NULL);
	free(a);
	free(b);
	mu_stream_unref(s);
}

static void
test_only_the_first_end_counts(void **state)
{
	struct mu_stream *s = mu_stream_new();
	struct mu_error e;

	(void)state;
	assert_null(mu_stream_wait_end(s, 1));
	mu_fail(&e, MU_E_DEADLINE, MU_OUTCOME_NOT_RUN, 5, "late");
	mu_stream_fail(s, &e);
	mu_fail(&e, MU_E_BUDGET, MU_OUTCOME_UNKNOWN, 0, "other");
	mu_stream_fail(s, &e);
	assert_int_equal(mu_stream_wait_end(s, 0)->status, 504);
	assert_true(mu_stream_wait_end(s, 0)->not_run);
	assert_non_null(strstr(mu_stream_wait_end(s, 0)->body, "\"not_run\""));
	mu_stream_unref(s);
}

static void
end_stream(struct mu_stream *s)
{
	struct mu_reply r = {200, NULL, 0, 0, false, false};

	mu_stream_end(s, &r);
}

static void
test_rerun_sends_nothing_twice(void **state)
{
	struct mu_stream *s = mu_stream_new();
	struct mu_textlog t;
	char *all;

	(void)state;
	mu_textlog_init(&t, s);
	assert_true(mu_textlog_add(&t, "abc", 3));
	assert_true(mu_textlog_add(&t, "def", 3));
	mu_textlog_rerun(&t);
	assert_false(mu_textlog_complete(&t));
	assert_true(mu_textlog_add(&t, "a", 1));
	assert_true(mu_textlog_add(&t, "bcdefg", 6));
	assert_true(mu_textlog_complete(&t));
	end_stream(s);
	all = read_all(s);
	assert_string_equal(all, "\"abc\"\n\"def\"\n\"g\"\n");
	free(all);
	mu_textlog_clear(&t);
	mu_stream_unref(s);
}

static void
test_rerun_that_differs_is_refused(void **state)
{
	struct mu_stream *s = mu_stream_new();
	struct mu_textlog t;

	(void)state;
	mu_textlog_init(&t, s);
	assert_true(mu_textlog_add(&t, "abc", 3));
	mu_textlog_rerun(&t);
	assert_false(mu_textlog_add(&t, "abX", 3));
	assert_true(t.rerun_differs);
	assert_false(mu_textlog_complete(&t));
	mu_textlog_clear(&t);
	mu_stream_unref(s);
}

/* The stored answer arrives whole, in place of the rest of the stream. */
static void
test_textlog_finish(void **state)
{
	struct mu_stream *s = mu_stream_new();
	struct mu_textlog t;
	char buf[64];
	bool ended;
	size_t n;

	(void)state;
	mu_textlog_init(&t, s);
	assert_true(mu_textlog_add(&t, "abc", 3));
	mu_textlog_rerun(&t);
	assert_true(mu_textlog_finish(&t, "abcdef", 6));
	assert_true(mu_textlog_finish(&t, "abcdef", 6));
	n = mu_stream_read(s, 0, buf, sizeof(buf), 0, &ended);
	assert_int_equal(n, 12);
	assert_memory_equal(buf, "\"abc\"\n\"def\"\n", 12);
	assert_false(mu_textlog_finish(&t, "abXdef", 6));
	assert_true(t.rerun_differs);
	mu_textlog_clear(&t);
	mu_textlog_init(&t, s);
	assert_true(mu_textlog_add(&t, "abc", 3));
	assert_false(mu_textlog_finish(&t, "ab", 2));
	mu_textlog_clear(&t);
	mu_stream_unref(s);
}

/* A rerun of text beyond MU_REPLAY_MAX_BYTES is skipped by its length. */
static void
test_textlog_long_rerun(void **state)
{
	struct mu_stream *s = mu_stream_new();
	struct mu_textlog t;
	char *text = malloc(MU_REPLAY_MAX_BYTES);
	size_t size;

	(void)state;
	memset(text, 'x', MU_REPLAY_MAX_BYTES);
	mu_textlog_init(&t, s);
	assert_true(mu_textlog_add(&t, text, MU_REPLAY_MAX_BYTES));
	assert_true(mu_textlog_add(&t, "beyond", 6));
	size = mu_stream_size(s);
	mu_textlog_rerun(&t);
	assert_true(mu_textlog_add(&t, text, MU_REPLAY_MAX_BYTES));
	assert_false(mu_textlog_complete(&t));
	assert_true(mu_textlog_add(&t, "beyo", 4));
	assert_int_equal(mu_stream_size(s), size);
	assert_true(mu_textlog_add(&t, "nd more", 7));
	assert_true(mu_textlog_complete(&t));
	assert_int_equal(mu_stream_size(s), size + strlen("\" more\"\n"));
	mu_textlog_clear(&t);
	mu_stream_unref(s);
	free(text);
}

static void
test_lines_in_any_cut(void **state)
{
	static const char lines[] = "\"a\\n\"\n\"b\"\n";
	struct mu_stream *s;
	struct mu_textlog t;
	struct mu_textlines l;
	size_t cut;
	char *all;

	(void)state;
	for (cut = 0; cut < sizeof(lines); cut++) {
		s = mu_stream_new();
		memset(&l, 0, sizeof(l));
		mu_textlog_init(&t, s);
		assert_true(mu_textlines_feed(&l, &t, lines, cut));
		assert_true(mu_textlines_feed(
		    &l, &t, lines + cut, sizeof(lines) - 1 - cut));
		end_stream(s);
		all = read_all(s);
		assert_string_equal(all, lines);
		free(all);
		mu_textlines_clear(&l);
		mu_textlog_clear(&t);
		mu_stream_unref(s);
	}
}

static void
test_receipts(void **state)
{
	static const char key[] = "000102030405060708090a0b0c0d0e0f"
				  "101112131415161718191a1b1c1d1e1f";
	struct mu_receipt_key k;
	json_t *record = json_pack("{s:s}", "p", "id"), *back;
	char *receipt;
	size_t i;

	(void)state;
	assert_int_equal(mu_receipt_key_init(&k, "00"), MU_E_CONFIG_INVALID);
	assert_int_equal(mu_receipt_key_init(&k, NULL), 0);
	assert_null(mu_receipt_seal(&k, record));
	assert_int_equal(mu_receipt_key_init(&k, key), 0);
	receipt = mu_receipt_seal(&k, record);
	back = mu_receipt_open(&k, receipt);
	assert_true(json_equal(record, back));
	json_decref(back);
	assert_null(mu_receipt_open(&k, ""));
	assert_null(mu_receipt_open(&k, "!!"));
	for (i = 0; i < strlen(receipt); i += 7) {
		receipt[i] = receipt[i] == 'A' ? 'B' : 'A';
		assert_null(mu_receipt_open(&k, receipt));
		free(receipt);
		receipt = mu_receipt_seal(&k, record);
	}
	free(receipt);
	json_decref(record);
}

static void
test_refusals(void **state)
{
	static struct mu_refusals r;
	uint64_t i;

	(void)state;
	mu_refusals_init(&r);
	assert_false(mu_refusals_contains(&r, 0));
	mu_refusals_add(&r, 0);
	assert_false(mu_refusals_contains(&r, 0));
	for (i = 1; i <= 1000; i++)
		mu_refusals_add(&r, i);
	for (i = 1; i <= 1000; i++)
		assert_true(mu_refusals_contains(&r, i));
	assert_false(mu_refusals_contains(&r, 1001));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_readers_follow_from_the_start),
	    cmocka_unit_test(test_only_the_first_end_counts),
	    cmocka_unit_test(test_rerun_sends_nothing_twice),
	    cmocka_unit_test(test_rerun_that_differs_is_refused),
	    cmocka_unit_test(test_lines_in_any_cut),
	    cmocka_unit_test(test_receipts),
	    cmocka_unit_test(test_textlog_finish),
	    cmocka_unit_test(test_textlog_long_rerun),
	    cmocka_unit_test(test_refusals),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
