/* test_customer.c -- customers, their keys, and ids within a customer. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "customer.h"
#include "scope.h"

static int
add(struct mu_customers *t, const char *name, double rate, struct mu_error *e)
{
	struct mu_customer c = {.rate = rate, .burst = 5};

	(void)snprintf(c.name, sizeof(c.name), "%s", name);
	return mu_customers_add(t, &c, e);
}

static void
test_keys_lead_to_their_customer(void **state)
{
	struct mu_customers *t = mu_customers_new();
	struct mu_error e = {0};
	char key[32];
	int i;

	(void)state;
	assert_int_equal(add(t, "a", 10, &e), 0);
	for (i = 0; i < 500; i++) {
		(void)snprintf(key, sizeof(key), "key-%d", i);
		assert_int_equal(mu_customers_add_key(t, key, &e), 0);
	}
	assert_int_equal(add(t, "b", 0, &e), 0);
	assert_int_equal(mu_customers_add_key(t, "other", &e), 0);
	assert_int_equal(mu_customers_count(t), 2);
	for (i = 0; i < 500; i++) {
		(void)snprintf(key, sizeof(key), "key-%d", i);
		assert_string_equal(mu_customers_by_key(t, key)->name, "a");
	}
	assert_string_equal(mu_customers_by_key(t, "other")->name, "b");
	assert_null(mu_customers_by_key(t, "key-500"));
	assert_null(mu_customers_by_key(t, "key-1 "));
	assert_null(mu_customers_by_key(t, ""));
	assert_true(mu_customers_by_name(t, "a")->rate == 10);
	assert_null(mu_customers_by_name(t, "c"));
	mu_customers_free(t);
}

/* An invalid entry is an error, whose text does not show the key. */
static void
test_invalid_entries(void **state)
{
	struct mu_customers *t = mu_customers_new();
	struct mu_error e = {0};
	char key[MU_CUSTOMER_KEY_BYTES + 2];
	int i;

	(void)state;
	assert_int_equal(add(t, "", 1, &e), MU_E_CONFIG_INVALID);
	assert_int_equal(add(t, "a b", 1, &e), MU_E_CONFIG_INVALID);
	assert_int_equal(add(t, "a\r\nX: y", 1, &e), MU_E_CONFIG_INVALID);
	assert_int_equal(add(t, "a", -1, &e), MU_E_CONFIG_INVALID);
	assert_int_equal(add(t, "a", 1, &e), 0);
	assert_int_equal(add(t, "a", 1, &e), MU_E_CONFIG_INVALID);
	assert_int_equal(mu_customers_add_key(t, "", &e), MU_E_CONFIG_INVALID);
	memset(key, 'k', sizeof(key) - 1);
	key[sizeof(key) - 1] = '\0';
	assert_int_equal(mu_customers_add_key(t, key, &e), MU_E_CONFIG_INVALID);
	key[MU_CUSTOMER_KEY_BYTES] = '\0';
	assert_int_equal(mu_customers_add_key(t, key, &e), 0);
	assert_int_equal(mu_customers_add_key(t, "secret", &e), 0);
	assert_int_equal(add(t, "b", 1, &e), 0);
	assert_int_equal(
	    mu_customers_add_key(t, "secret", &e), MU_E_CONFIG_INVALID);
	assert_null(strstr(e.message, "secret"));
	for (i = 0; i < MU_CUSTOMER_KEYS_MAX; i++) {
		(void)snprintf(key, sizeof(key), "%d", i);
		assert_int_equal(mu_customers_add_key(t, key, &e), 0);
	}
	assert_int_equal(
	    mu_customers_add_key(t, "more", &e), MU_E_CONFIG_INVALID);
	mu_customers_free(t);
}

static void
test_scoped_ids_never_meet(void **state)
{
	struct mu_arena *a = mu_arena_new();
	const char *x, *y;

	(void)state;
	assert_string_equal(mu_scope_id(a, NULL, "t1"), "t1");
	x = mu_scope_id(a, "c1", "t1");
	y = mu_scope_id(a, "c", "1:t1");
	assert_string_not_equal(x, y);
	assert_string_not_equal(x, mu_scope_id(a, "c2", "t1"));
	assert_string_equal(mu_scope_plain(x), "t1");
	assert_string_equal(mu_scope_plain(y), "1:t1");
	assert_string_equal(mu_scope_plain("t1"), "t1");
	assert_string_equal(mu_scope_plain("@9:c:t"), "@9:c:t");
	assert_string_equal(mu_scope_plain("@x"), "@x");
	/* A caller without customer cannot spell the id of one. */
	assert_string_not_equal(mu_scope_id(a, NULL, x), x);
	assert_string_equal(mu_scope_plain(mu_scope_id(a, NULL, x)), x);
	mu_arena_free(a);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_keys_lead_to_their_customer),
	    cmocka_unit_test(test_invalid_entries),
	    cmocka_unit_test(test_scoped_ids_never_meet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
