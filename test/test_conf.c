/* test_conf.c -- settings of one daemon: defaults, checks and errors. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "conf.h"

#define HEX64 "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define HEX64B "0" HEX64_TAIL
#define HEX64_TAIL \
	"1112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define REQUIRED_SETTINGS \
	"host: h1\ndomain: duluth\nregion: lakes\n" \
	"caller_addr: 127.0.0.1:1\noperator_addr: 127.0.0.1:2\n" \
	"peer_addr: 127.0.0.1:3\nplatform_addr: 127.0.0.1:4\n" \
	"receipt_key: " HEX64 "\n"

static int
parse(const char *yaml, struct mu_conf **c, struct mu_error *e)
{
	*c = NULL;
	return mu_conf_parse(yaml, strlen(yaml), c, e);
}

static void
assert_rejected(const char *yaml, const char *word, const char *word2)
{
	struct mu_error e;
	struct mu_conf *c;

	assert_int_equal(parse(yaml, &c, &e), MU_E_CONFIG_INVALID);
	assert_null(c);
	if (strstr(e.message, word) == NULL || strstr(e.message, word2) == NULL)
		fail_msg("'%s' lacks '%s' or '%s'", e.message, word, word2);
}

static void
test_defaults_hold_the_checks(void **state)
{
	struct mu_error e;
	struct mu_conf *c;

	(void)state;
	assert_int_equal(parse(REQUIRED_SETTINGS, &c, &e), 0);
	assert_string_equal(c->host, "h1");
	assert_string_equal(c->log_level, "info");
	assert_null(c->peer_key);
	assert_int_equal(c->ncallers, 0);
	assert_in_range(c->renew_ms, 1, c->lease_ms / 2);
	mu_conf_free(c);
}

/* Bodies of the largest size must fit in the memory for all of them. */
static void
test_body_memory(void **state)
{
	struct mu_error e;
	struct mu_conf *c;

	(void)state;
	assert_int_equal(parse(REQUIRED_SETTINGS, &c, &e), 0);
	assert_int_equal(c->body_memory_mb, 0);
	assert_int_equal(c->body_timeout_ms, 30000);
	mu_conf_free(c);
	assert_int_equal(parse(REQUIRED_SETTINGS "max_body_bytes: 2097152\n"
						 "body_memory_mb: 16\n"
						 "body_timeout_ms: 100\n",
			     &c, &e),
	    0);
	assert_int_equal(c->body_memory_mb, 16);
	assert_int_equal(c->body_timeout_ms, 100);
	mu_conf_free(c);
	assert_int_equal(
	    parse(REQUIRED_SETTINGS "max_body_bytes: 67108864\n", &c, &e), 0);
	mu_conf_free(c);
	assert_rejected(REQUIRED_SETTINGS
	    "max_body_bytes: 2097153\nbody_memory_mb: 16\n",
	    "body_memory_mb", "8 times max_body_bytes");
	assert_rejected(REQUIRED_SETTINGS "body_memory_mb: 1048577\n",
	    "body_memory_mb", "0 to 1048576");
	assert_rejected(REQUIRED_SETTINGS "body_timeout_ms: 99\n",
	    "body_timeout_ms", "100 to 3600000");
}

static void
test_keys(void **state)
{
	struct mu_error e;
	struct mu_conf *c;

	(void)state;
	assert_int_equal(
	    parse(REQUIRED_SETTINGS
		"slots: 7\ncallers:\n- {caller: cook, sha256: " HEX64
		"}\noperators:\n- {caller: ann, sha256: " HEX64B "}\n",
		&c, &e),
	    0);
	assert_int_equal(c->slots, 7);
	assert_int_equal(c->ncallers, 1);
	assert_string_equal(c->callers[0].caller, "cook");
	assert_string_equal(c->operators[0].sha256, HEX64B);
	mu_conf_free(c);
}

static void
test_refusals(void **state)
{
	(void)state;
	assert_rejected("host: h1\n", "Missing required", "");
	assert_rejected(REQUIRED_SETTINGS "slots: 0\n", "slots", "1 to 65536");
	assert_rejected(
	    REQUIRED_SETTINGS "slots: 99999999999\n", "slots", "1 to 65536");
	assert_rejected(REQUIRED_SETTINGS "slots: x\n", "line 9, slots",
	    "expected an integer");
	assert_rejected(
	    REQUIRED_SETTINGS "hots: 1\n", "Unexpected key", "hots");
	assert_rejected(REQUIRED_SETTINGS "lease_ms: 1000\nrenew_ms: 600\n",
	    "renew_ms", "lease_ms");
	assert_rejected(REQUIRED_SETTINGS "heartbeat_ms: 1500\n",
	    "heartbeat_ms", "silence_ms");
	assert_rejected(
	    REQUIRED_SETTINGS "log_level: loud\n", "log_level", "debug");
	assert_rejected(
	    REQUIRED_SETTINGS "peer_key: ''\n", "peer_key", "1 to 255 bytes");
	assert_rejected(REQUIRED_SETTINGS
	    "callers: [{caller: a, sha256: abc}]\n",
	    "callers[1].sha256", "64 hex");
	assert_rejected(REQUIRED_SETTINGS "callers: [{caller: a, sha256: " HEX64
					  "}, {caller: b, sha256: " HEX64
					  "}]\n",
	    "callers", "same key");
	assert_rejected("host: h1\ndomain: d\nregion: r\ncaller_addr: here:1\n"
			"operator_addr: 127.0.0.1:2\npeer_addr: 127.0.0.1:3\n"
			"platform_addr: 127.0.0.1:4\nreceipt_key: " HEX64 "\n",
	    "caller_addr", "IP:PORT");
	assert_rejected(
	    "host: h1\ndomain: d\nregion: r\ncaller_addr: 127.0.0.1:2\n"
	    "operator_addr: 127.0.0.1:2\npeer_addr: 127.0.0.1:3\n"
	    "platform_addr: 127.0.0.1:4\nreceipt_key: " HEX64 "\n",
	    "caller_addr", "twice");
}

static void
test_missing_file(void **state)
{
	struct mu_error e;
	struct mu_conf *c = NULL;

	(void)state;
	assert_int_equal(
	    mu_conf_load("no/such/file", &c, &e), MU_E_CONFIG_INVALID);
	assert_null(c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_defaults_hold_the_checks),
	    cmocka_unit_test(test_body_memory),
	    cmocka_unit_test(test_keys),
	    cmocka_unit_test(test_refusals),
	    cmocka_unit_test(test_missing_file),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
