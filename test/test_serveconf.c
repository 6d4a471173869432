/* test_serveconf.c -- settings of a serving daemon and their documentation. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "serveconf.h"

#define GOOD \
	"host: d1\ndomain: z\nregion: r\ncaller_addr: 10.0.0.1:80\n" \
	"ready_addr: 10.0.0.1:81\ndirectory_addr: 10.0.0.1:82\n" \
	"mesh_addr: 10.0.0.1:83\nmetrics_addr: 10.0.0.1:84\n" \
	"store_addr: 10.0.0.9:85\n"

static int
parse(const char *yaml, struct mu_error *e)
{
	struct mu_serveconf *c = NULL;
	int rc = mu_serveconf_parse(yaml, strlen(yaml), &c, e);

	if (rc == 0) {
		assert_string_equal(c->host, "d1");
		assert_string_equal(c->log_level, "info");
		assert_int_equal(c->address_ttl_ms, 1000);
	}
	mu_serveconf_free(c);
	return rc;
}

static void
test_good(void **state)
{
	struct mu_error e = {0};

	(void)state;
	assert_int_equal(parse(GOOD, &e), 0);
	assert_int_equal(parse(GOOD "stop_ms: 3000\n", &e), 0);
	assert_int_equal(parse(GOOD "limit_overage: 0.1\n"
				    "limit_slack: 20\n"
				    "key_trust_ms: 5000\n",
			     &e),
	    0);
}

/* The error message names the bad setting. */
static void
test_bad(void **state)
{
	static const struct {
		const char *yaml;
		const char *named;
	} bad[] = {{"", ""}, {GOOD "colour: red\n", "colour"},
	    {GOOD "stop_ms: 5\n", "stop_ms"},
	    {GOOD "stop_ms: soon\n", "stop_ms"},
	    {GOOD "address_ttl_ms: 99999999\n", "address_ttl_ms"},
	    {GOOD "limit_overage: -0.1\n", "limit_overage"},
	    {GOOD "limit_overage: much\n", "limit_overage"},
	    {GOOD "limit_window_ms: 0\n", "limit_window_ms"},
	    {GOOD "config_fresh_ms: 0\n", "config_fresh_ms"},
	    {GOOD "stop_ms: 99.5\n", "stop_ms"},
	    {GOOD "stop_ms: nan\n", "stop_ms"},
	    {GOOD "stop_ms: -3000\n", "stop_ms"},
	    {GOOD "stop_s: 0.05\n", "stop_s"}, {GOOD "stop_s: 601\n", "stop_s"},
	    {GOOD "stop_s: 8\nstop_ms: 8000\n", "stop_s"},
	    {GOOD "limit_window_s: 0\n", "limit_window_s"},
	    {GOOD "body_max_bytes: 0\n", "body_max_bytes"},
	    {GOOD "body_max_bytes: many\n", "body_max_bytes"},
	    {GOOD "body_timeout_ms: 10\n", "body_timeout_ms"},
	    {GOOD "max_connections: 3\n", "max_connections"},
	    {GOOD "max_connections: 0\n", "max_connections"},
	    {GOOD "body_memory_mb: 0\n", "body_memory_mb"},
	    {GOOD "body_memory_mb: 15\n", "body_memory_mb"},
	    {GOOD "body_memory_mb: 24\nbody_max_bytes: 8388608\n",
		"body_memory_mb"},
	    {"host: d1\n", ""}};
	struct mu_error e;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		memset(&e, 0, sizeof(e));
		assert_int_equal(parse(bad[i].yaml, &e), MU_E_CONFIG_INVALID);
		assert_non_null(strstr(e.message, bad[i].named));
	}
}

/* Guards against shedding that is on by default, and against a setting that is
 * out of bounds and taken, or refused without a word on what was expected. */
static void
test_shed_priority(void **state)
{
	static const struct {
		const char *yaml;
		uint32_t want;
	} good[] = {{GOOD, 0}, {GOOD "shed_priority: 0\n", 0},
	    {GOOD "shed_priority: 2\n", 2}, {GOOD "shed_priority: 2.0\n", 2},
	    {GOOD "shed_priority: 1000000\n", 1000000}};
	static const char *const bad[] = {GOOD "shed_priority: -1\n",
	    GOOD "shed_priority: 1000001\n", GOOD "shed_priority: low\n",
	    GOOD "shed_priority: nan\n"};
	struct mu_serveconf *c = NULL;
	struct mu_error e;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(good) / sizeof(*good); i++) {
		memset(&e, 0, sizeof(e));
		assert_int_equal(mu_serveconf_parse(good[i].yaml,
				     strlen(good[i].yaml), &c, &e),
		    0);
		assert_int_equal(c->shed_priority, good[i].want);
		mu_serveconf_free(c);
		c = NULL;
	}
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		memset(&e, 0, sizeof(e));
		assert_int_equal(parse(bad[i], &e), MU_E_CONFIG_INVALID);
		assert_non_null(strstr(e.message, "shed_priority"));
		assert_non_null(strstr(e.message, "0 to 1000000"));
	}
}

/* Guards against a daemon that doesn't start since the platform renders a bound
 * with a decimal fraction. */
static void
test_numbers_with_a_fraction(void **state)
{
	static const struct {
		const char *yaml;
		uint32_t stop_ms, window_ms, fresh_ms, trust_ms, slack;
	} good[] = {{GOOD, 8000, 5000, 3000, 0, 0},
	    {GOOD "stop_s: 4.5\nlimit_window_s: 2.5\n", 4500, 2500, 3000, 0, 0},
	    {GOOD "stop_s: 8\nlimit_window_s: 5\n", 8000, 5000, 3000, 0, 0},
	    {GOOD "stop_s: 8.0\nlimit_window_s: 0.1\n", 8000, 100, 3000, 0, 0},
	    {GOOD "stop_ms: 4500.0\nlimit_window_ms: 2500.75\n", 4500, 2500,
		3000, 0, 0},
	    {GOOD "config_fresh_ms: 2000.0\nkey_trust_ms: 5000.5\n"
		  "limit_slack: 20.0\n",
		8000, 5000, 2000, 5000, 20},
	    /* 0 would mean that keys are trusted for ever. */
	    {GOOD "key_trust_ms: 0.5\n", 8000, 5000, 3000, 1, 0}};
	struct mu_serveconf *c = NULL;
	struct mu_error e;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(good) / sizeof(*good); i++) {
		memset(&e, 0, sizeof(e));
		if (mu_serveconf_parse(
			good[i].yaml, strlen(good[i].yaml), &c, &e) != 0)
			fail_msg("%s: %s", good[i].yaml, e.message);
		assert_int_equal(c->stop_ms, good[i].stop_ms);
		assert_int_equal(c->limit_window_ms, good[i].window_ms);
		assert_int_equal(c->config_fresh_ms, good[i].fresh_ms);
		assert_int_equal(c->key_trust_ms, good[i].trust_ms);
		assert_int_equal(c->limit_slack, good[i].slack);
		mu_serveconf_free(c);
		c = NULL;
	}
}

/* An absent limit follows from the host: 0 tells that it was not set. */
static void
test_limits_of_what_callers_hold(void **state)
{
	static const struct {
		const char *yaml;
		uint32_t memory_mb, connections, max_bytes, timeout_ms;
	} good[] = {{GOOD, 0, 0, 4194304, 30000},
	    {GOOD "body_memory_mb: 24\nmax_connections: 64.0\n", 24, 64,
		4194304, 30000},
	    {GOOD "body_memory_mb: 16\n", 16, 0, 4194304, 30000},
	    {GOOD "body_memory_mb: 4\nbody_max_bytes: 65536\n"
		  "body_timeout_ms: 5000\n",
		4, 0, 65536, 5000}};
	struct mu_serveconf *c = NULL;
	struct mu_error e;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(good) / sizeof(*good); i++) {
		memset(&e, 0, sizeof(e));
		if (mu_serveconf_parse(
			good[i].yaml, strlen(good[i].yaml), &c, &e) != 0)
			fail_msg("%s: %s", good[i].yaml, e.message);
		assert_int_equal(c->body_memory_mb, good[i].memory_mb);
		assert_int_equal(c->max_connections, good[i].connections);
		assert_int_equal(c->body_max_bytes, good[i].max_bytes);
		assert_int_equal(c->body_timeout_ms, good[i].timeout_ms);
		mu_serveconf_free(c);
		c = NULL;
	}
}

/* Guards against a template that appends digits to a bound: with a fraction
 * these make another number. */
static void
test_template_takes_bounds_as_they_are(void **state)
{
	char text[8192];
	FILE *f = fopen("deploy/settings.yaml.tmpl", "re");
	const char *p;
	size_t n;

	(void)state;
	assert_non_null(f);
	n = fread(text, 1, sizeof(text) - 1, f);
	text[n] = '\0';
	(void)fclose(f);
	for (p = text; (p = strstr(p, "}}")) != NULL; p += 2)
		if (p[2] >= '0' && p[2] <= '9')
			fail_msg("digits after a value: %.20s", p);
}

static void
test_page_names_every_setting(void **state)
{
	static const char *const names[] = {"host", "domain", "region",
	    "caller_addr", "ready_addr", "directory_addr", "mesh_addr",
	    "metrics_addr", "store_addr", "stop_ms", "address_ttl_ms",
	    "config_fresh_ms", "key_trust_ms", "limit_window_ms",
	    "limit_overage", "limit_slack", "shed_priority", "log_level",
	    "stop_s", "limit_window_s", "body_memory_mb", "body_max_bytes",
	    "body_timeout_ms", "max_connections"};
	char page[8192], row[64];
	FILE *f = fopen("docs/serving-settings.md", "re");
	size_t i, n;

	(void)state;
	assert_non_null(f);
	n = fread(page, 1, sizeof(page) - 1, f);
	page[n] = '\0';
	(void)fclose(f);
	for (i = 0; i < sizeof(names) / sizeof(*names); i++) {
		(void)snprintf(row, sizeof(row), "| `%s` |", names[i]);
		assert_non_null(strstr(page, row));
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_good),
	    cmocka_unit_test(test_bad),
	    cmocka_unit_test(test_shed_priority),
	    cmocka_unit_test(test_numbers_with_a_fraction),
	    cmocka_unit_test(test_limits_of_what_callers_hold),
	    cmocka_unit_test(test_template_takes_bounds_as_they_are),
	    cmocka_unit_test(test_page_names_every_setting),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
