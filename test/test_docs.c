/* test_docs.c -- compares reference pages with the schemas, loads examples. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <glob.h>

#include "conf.h"
#include "metric.h"
#include "text.h"
#include "yamlerr.h"

#define FILE_BYTES 65536
#define ROW_BYTES 512

static size_t
read_file(const char *file, char buf[FILE_BYTES])
{
	FILE *f = fopen(file, "re");
	size_t n;

	if (f == NULL)
		fail_msg("%s cannot be read", file);
	n = fread(buf, 1, FILE_BYTES - 1, f);
	(void)fclose(f);
	buf[n] = '\0';
	return n;
}

/* Each field must have the row "| `path` | expected | default |...". */
static void
check_field_rows(const char *file, const struct mu_schema_field *f)
{
	static char page[FILE_BYTES];
	char row[ROW_BYTES];
	const char *p;
	unsigned fields = 0, rows = 0;

	(void)read_file(file, page);
	for (; f->path != NULL; f++, fields++) {
		(void)snprintf(row, sizeof(row), "\n| `%s` | %s | %s |",
		    f->path, f->expected,
		    f->default_value[0] != '\0' ? f->default_value : "none");
		if (strstr(page, row) == NULL)
			fail_msg("%s lacks the row:%s", file, row);
	}
	for (p = page; (p = strstr(p, "\n| `")) != NULL; p++)
		rows++;
	assert_int_equal(rows, fields);
}

static void
test_settings_page(void **state)
{
	(void)state;
	check_field_rows("docs/settings.md", mu_conf_fields());
}

static void
test_services_page(void **state)
{
	(void)state;
	check_field_rows("docs/services-text.md", mu_text_fields());
}

static void
test_example_texts(void **state)
{
	static const char *const files[] = {
	    "etc/trust.yaml", "etc/hotline.yaml"};
	static char buf[FILE_BYTES];
	struct mu_error e;
	struct mu_text *t;
	size_t i, n;

	(void)state;
	for (i = 0; i < 2; i++) {
		n = read_file(files[i], buf);
		if (mu_text_parse(buf, n, &t, &e) != 0)
			fail_msg("%s: %s", files[i], e.message);
		assert_int_equal(t->nservices, 2);
		mu_text_free(t);
	}
}

static void
test_example_settings(void **state)
{
	static const char *const files[] = {
	    "etc/trust-daemon.yaml", "etc/hotline-daemon.yaml"};
	struct mu_error e;
	struct mu_conf *c;
	size_t i;

	(void)state;
	for (i = 0; i < 2; i++) {
		if (mu_conf_load(files[i], &c, &e) != 0)
			fail_msg("%s: %s", files[i], e.message);
		assert_int_equal(c->ncallers, 1);
		assert_int_equal(c->noperators, 1);
		mu_conf_free(c);
	}
}

/* Each metric that a page names must exist. */
static void
check_counters_exist(const char *file, const char *page)
{
	char *metrics = mu_metrics_text();
	char name[ROW_BYTES];
	const char *p;

	assert_non_null(metrics);
	for (p = page; (p = strstr(p, "`mu_")) != NULL; p++) {
		(void)snprintf(name, sizeof(name), "\n# TYPE %.*s ",
		    (int)strcspn(p + 1, "`"), p + 1);
		if (strstr(metrics, name) == NULL)
			fail_msg("%s names %s, which does not exist", file,
			    name + strlen("\n# TYPE "));
	}
	free(metrics);
}

static void
test_operators_pages(void **state)
{
	static const char *const headings[] = {"\n## What is seen\n",
	    "\n## What the system does\n", "\n## What is left to a person\n",
	    "\n## To bring it about\n"};
	static char page[FILE_BYTES], readme[FILE_BYTES];
	glob_t g;
	size_t i, k;

	(void)state;
	(void)read_file("docs/operators/README.md", readme);
	assert_int_equal(glob("docs/operators/[a-z]*.md", 0, NULL, &g), 0);
	for (i = 0; i < g.gl_pathc; i++) {
		(void)read_file(g.gl_pathv[i], page);
		for (k = 0; k < 4; k++)
			if (strstr(page, headings[k]) == NULL)
				fail_msg(
				    "%s lacks%s", g.gl_pathv[i], headings[k]);
		if (strstr(readme, strrchr(g.gl_pathv[i], '/') + 1) == NULL)
			fail_msg("README.md lacks %s", g.gl_pathv[i]);
		check_counters_exist(g.gl_pathv[i], page);
	}
	globfree(&g);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_settings_page),
	    cmocka_unit_test(test_services_page),
	    cmocka_unit_test(test_example_texts),
	    cmocka_unit_test(test_example_settings),
	    cmocka_unit_test(test_operators_pages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
