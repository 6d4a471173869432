/* test_answermem.c -- memory of answers that endpoints are sending. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "answermem.h"
#include "metric.h"

#define LIMIT ((size_t)24 << 20)
#define PIECE ((size_t)16 << 10)
#define ANSWERS 64

/* Receives pieces until there is no room or so many bytes have arrived; returns
 * these. */
static size_t
receive(struct mu_answermem *m, size_t most)
{
	while (m->received < most && mu_answermem_add(m, PIECE))
		continue;
	return m->received;
}

/* Guards against answers whose sum nothing limits. */
static void
test_many_answers_without_end(void **state)
{
	struct mu_answermem m[ANSWERS];
	size_t sum = 0;
	int i;

	(void)state;
	for (i = 0; i < ANSWERS; i++) {
		mu_answermem_init(&m[i], "127.0.0.1:1");
		sum += receive(&m[i], SIZE_MAX);
	}
	assert_in_range(sum, LIMIT / 12, LIMIT / 6 + ANSWERS * 5 * PIECE);
	for (i = 0; i < ANSWERS; i++)
		mu_answermem_release(&m[i]);
	mu_answermem_init(&m[0], "127.0.0.1:1");
	assert_in_range(receive(&m[0], LIMIT / 12), LIMIT / 12, LIMIT);
	mu_answermem_release(&m[0]);
}

/* Guards against one endpoint that leaves no room for the others' answers. */
static void
test_another_endpoint_finds_room(void **state)
{
	struct mu_answermem flood[ANSWERS], other;
	int i;

	(void)state;
	for (i = 0; i < ANSWERS; i++)
		mu_answermem_init(&flood[i], "127.0.0.1:1");
	mu_answermem_init(&other, "127.0.0.1:2");
	for (i = 0; i < ANSWERS; i++)
		(void)receive(&flood[i], SIZE_MAX);
	/* Refused once, then it counts as waiting; the flood goes on. */
	(void)receive(&other, (size_t)1 << 20);
	for (i = 0; i < ANSWERS; i++) {
		mu_answermem_release(&flood[i]);
		(void)receive(&flood[i], SIZE_MAX);
	}
	assert_true(receive(&other, (size_t)1 << 20) >= (size_t)1 << 20);
	for (i = 0; i < ANSWERS; i++)
		mu_answermem_release(&flood[i]);
	mu_answermem_release(&other);
}

/* Guards against ordinary answers that fail beside large ones. */
static void
test_small_answers_always_have_room(void **state)
{
	struct mu_answermem large[ANSWERS], small;
	int i;

	(void)state;
	for (i = 0; i < ANSWERS; i++) {
		mu_answermem_init(&large[i], "127.0.0.1:1");
		(void)receive(&large[i], SIZE_MAX);
	}
	mu_answermem_init(&small, "127.0.0.1:1");
	assert_int_equal(receive(&small, 4 * PIECE), 4 * PIECE);
	assert_false(mu_answermem_add(&small, 1));
	mu_answermem_release(&small);
	for (i = 0; i < ANSWERS; i++)
		mu_answermem_release(&large[i]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_many_answers_without_end),
	    cmocka_unit_test(test_another_endpoint_finds_room),
	    cmocka_unit_test(test_small_answers_always_have_room),
	};

	mu_answermem_set_limit(LIMIT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
