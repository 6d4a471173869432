/* test_callreq.c -- malformed requests from callers get a typed error. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "callreq.h"

static const struct {
	const char *body;
	int error; /* 0: valid */
} calls[] = {
    {"{\"seq\":1,\"service\":\"s\",\"input\":{\"operation\":\"x\"}}", 0},
    {"{\"seq\":1,\"service\":\"s\",\"input\":{\"messages\":[{\"role\":\"user\""
     ",\"content\":\"a\"}]},\"stream\":true,\"deadline_ms\":5}",
	0},
    {"", MU_E_NOT_JSON},
    {"{\"seq\":1", MU_E_NOT_JSON},
    {"{\"seq\":1,\"seq\":2}", MU_E_NOT_JSON},
    {"[]", MU_E_BAD_REQUEST},
    {"{\"service\":\"s\",\"input\":{\"operation\":\"x\"}}", MU_E_BAD_REQUEST},
    {"{\"seq\":0,\"service\":\"s\",\"input\":{\"operation\":\"x\"}}",
	MU_E_BAD_REQUEST},
    {"{\"seq\":-1,\"service\":\"s\",\"input\":{\"operation\":\"x\"}}",
	MU_E_BAD_REQUEST},
    {"{\"seq\":\"1\",\"service\":\"s\",\"input\":{\"operation\":\"x\"}}",
	MU_E_BAD_REQUEST},
    {"{\"seq\":1,\"service\":7,\"input\":{\"operation\":\"x\"}}",
	MU_E_BAD_REQUEST},
    {"{\"seq\":1,\"service\":\"s\"}", MU_E_BAD_REQUEST},
    {"{\"seq\":1,\"service\":\"s\",\"input\":{}}", MU_E_BAD_REQUEST},
    {"{\"seq\":1,\"service\":\"s\",\"input\":{\"operation\":\"\"}}",
	MU_E_BAD_REQUEST},
    {"{\"seq\":1,\"service\":\"s\",\"input\":{\"messages\":[]}}",
	MU_E_BAD_REQUEST},
    {"{\"seq\":1,\"service\":\"s\",\"input\":{\"messages\":[{}]}}",
	MU_E_BAD_REQUEST},
    {"{\"seq\":1,\"service\":\"s\",\"input\":{\"messages\":[1]}}",
	MU_E_BAD_REQUEST},
    {"{\"seq\":1,\"service\":\"s\",\"input\":{\"operation\":\"x\"},\"sequel\":"
     "1}",
	MU_E_BAD_REQUEST},
    {"{\"seq\":1,\"service\":\"s\",\"input\":{\"operation\":\"x\"},"
     "\"repeatable\":1}",
	MU_E_BAD_REQUEST},
    {"{\"seq\":1,\"service\":\"s\",\"input\":{\"operation\":\"x\"},"
     "\"deadline_ms\":0}",
	MU_E_BAD_REQUEST},
    {"{\"seq\":1,\"service\":\"s\",\"input\":{\"operation\":\"x\"},"
     "\"receipt\":{}}",
	MU_E_BAD_REQUEST},
};

static void
test_calls(void **state)
{
	struct mu_callreq c;
	struct mu_error e;
	size_t i;
	int rc;

	(void)state;
	for (i = 0; i < sizeof(calls) / sizeof(calls[0]); i++) {
		rc = mu_callreq_parse(
		    &c, calls[i].body, strlen(calls[i].body), &e);
		if (rc != calls[i].error)
			print_message("%s\n", calls[i].body);
		assert_int_equal(rc, calls[i].error);
		if (rc != 0) {
			assert_int_equal(e.outcome, MU_OUTCOME_NOT_RUN);
			assert_true(strlen(e.message) > 0);
			continue;
		}
		mu_callreq_clear(&c);
	}
}

static void
call_hash(const char *body, char hash[MU_HASH_SIZE])
{
	struct mu_callreq c;
	struct mu_error e;

	assert_int_equal(mu_callreq_parse(&c, body, strlen(body), &e), 0);
	memcpy(hash, c.hash, MU_HASH_SIZE);
	mu_callreq_clear(&c);
}

static void
test_hash_covers_request_content(void **state)
{
	char a[MU_HASH_SIZE], b[MU_HASH_SIZE];

	(void)state;
	call_hash("{\"seq\":1,\"service\":\"s\",\"input\":{\"operation\":\"x\","
		  "\"input\":{\"a\":1,\"b\":2}}}",
	    a);
	call_hash(
	    "{\"input\":{\"input\":{\"b\":2,\"a\":1},\"operation\":\"x\"},"
	    "\"service\":\"s\",\"seq\":1,\"deadline_ms\":9,\"stream\":true}",
	    b);
	assert_string_equal(a, b);
	call_hash("{\"seq\":1,\"service\":\"s\",\"input\":{\"operation\":\"x\","
		  "\"input\":{\"a\":1,\"b\":3}}}",
	    b);
	assert_string_not_equal(a, b);
	call_hash(
	    "{\"seq\":1,\"service\":\"s\",\"repeatable\":false,\"input\":{"
	    "\"operation\":\"x\",\"input\":{\"a\":1,\"b\":2}}}",
	    b);
	assert_string_not_equal(a, b);
}

static void
test_creates(void **state)
{
	static const struct {
		const char *body;
		int error;
	} t[] = {
	    {"", 0},
	    {"{}", 0},
	    {"{\"budget\":{\"tokens\":5}}", 0},
	    {"{\"budget\":{\"tokens\":0}}", MU_E_BAD_REQUEST},
	    {"{\"budget\":{\"token\":5}}", MU_E_BAD_REQUEST},
	    {"{\"budget\":5}", MU_E_BAD_REQUEST},
	    {"{\"parent\":5}", MU_E_BAD_REQUEST},
	    {"{\"parent\":\"0123456789012345678901234567890123\"}",
		MU_E_BAD_REQUEST},
	    {"x", MU_E_NOT_JSON},
	};
	struct mu_createreq c;
	struct mu_error e;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(t) / sizeof(t[0]); i++)
		assert_int_equal(
		    mu_createreq_parse(&c, t[i].body, strlen(t[i].body), &e),
		    t[i].error);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_calls),
	    cmocka_unit_test(test_hash_covers_request_content),
	    cmocka_unit_test(test_creates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
