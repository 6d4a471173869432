/*
 * test_ctl.c -- runs musherctl against scripted operators' ports.
 *
 * The program under test is in the same build directory as this one.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <spawn.h>
#include <sys/wait.h>

#include "fakehttp.h"

#define OUTPUT_BYTES 32768
#define ARGV_MAX 16
#define PATH_BYTES 4096
#define ANSWER(status, body) \
	"HTTP/1.1 " status "\r\nConnection: close\r\n\r\n" body
#define TEXT "services:\n- name: a\n  kind: plain\n  region: r\n  places: [x]\n"
#define TEXT_JSON \
	"services:\\n- name: a\\n  kind: plain\\n  region: r\\n" \
	"  places: [x]\\n"

static char musherctl_path[PATH_BYTES];
static char temp_dir[] = "/tmp/test_ctl.XXXXXX";
static char text_path[64];
static char output[OUTPUT_BYTES];

#define MUSHERCTL(...) run_musherctl((const char *const[]){__VA_ARGS__, NULL})

/* Runs musherctl with stdout and stderr in output; returns its exit status. */
static int
run_musherctl(const char *const *args)
{
	static char key_option[] = "--key=k";
	char *argv[ARGV_MAX] = {musherctl_path, key_option};
	static char *env[] = {NULL};
	posix_spawn_file_actions_t fa;
	int fds[2], status, i = 2;
	size_t len = 0;
	ssize_t n;
	pid_t pid;

	for (; *args != NULL; args++) {
		assert_true(i < ARGV_MAX - 1);
		argv[i++] = (char *)(uintptr_t)*args;
	}
	assert_int_equal(pipe(fds), 0);
	posix_spawn_file_actions_init(&fa);
	posix_spawn_file_actions_adddup2(&fa, fds[1], 1);
	posix_spawn_file_actions_adddup2(&fa, fds[1], 2);
	posix_spawn_file_actions_addclose(&fa, fds[0]);
	assert_int_equal(
	    posix_spawn(&pid, musherctl_path, &fa, NULL, argv, env), 0);
	posix_spawn_file_actions_destroy(&fa);
	close(fds[1]);
	while ((n = read(fds[0], output + len, OUTPUT_BYTES - 1 - len)) > 0)
		len += (size_t)n;
	output[len] = '\0';
	close(fds[0]);
	assert_int_equal(waitpid(pid, &status, 0), pid);
	assert_true(WIFEXITED(status));
	return WEXITSTATUS(status);
}

static void
assert_output_contains(const char *word)
{
	if (strstr(output, word) == NULL)
		fail_msg("output lacks '%s':\n%s", word, output);
}

static void
write_file(const char *text)
{
	char base[80];
	FILE *f = fopen(text_path, "we");

	assert_non_null(f);
	(void)fputs(text, f);
	(void)fclose(f);
	(void)snprintf(base, sizeof(base), "%s.base", text_path);
	(void)unlink(base);
}

static void
assert_file_equals(const char *name, const char *want)
{
	char buf[OUTPUT_BYTES];
	FILE *f = fopen(name, "re");
	size_t n;

	assert_non_null(f);
	n = fread(buf, 1, sizeof(buf) - 1, f);
	(void)fclose(f);
	buf[n] = '\0';
	assert_string_equal(buf, want);
}

static void
test_usage_and_validate_need_no_daemon(void **state)
{
	(void)state;
	assert_int_equal(MUSHERCTL("nosuch"), 2);
	assert_int_equal(MUSHERCTL("apply"), 2);
	assert_int_equal(MUSHERCTL("status"), 2);
	assert_output_contains("--operator");
	assert_int_equal(MUSHERCTL("apply", "--help"), 0);
	assert_output_contains("--rebase");
	write_file(TEXT);
	assert_int_equal(MUSHERCTL("validate", text_path), 0);
	write_file(TEXT "  limits: {queue: x}\n");
	assert_int_equal(MUSHERCTL("validate", text_path), 1);
	assert_output_contains("line 6, services[1].limits.queue");
}

static void
test_apply_sends_base_note_and_key(void **state)
{
	const struct fake_step step = {
	    ANSWER("200 OK", "{\"version\":8}"), FAKE_CLOSE};
	struct fake f;
	char base[80];

	(void)state;
	write_file(TEXT);
	fake_start(&f, &step, 1);
	assert_int_equal(MUSHERCTL("apply", "-O", f.addr, "--base", "7",
			     "--note", "why", text_path),
	    0);
	fake_stop(&f);
	assert_output_contains("accepted as version 8");
	assert_non_null(strstr(f.last, "Authorization: Bearer k"));
	assert_non_null(strstr(f.last, "\"base\":7"));
	assert_non_null(strstr(f.last, "\"note\":\"why\""));
	(void)snprintf(base, sizeof(base), "%s.base", text_path);
	assert_file_equals(base, "8\n");
}

static void
test_first_apply_finds_base_zero_and_others_need_one(void **state)
{
	const struct fake_step no_version[] = {
	    {ANSWER("200 OK", "{\"version\":0,\"text\":\"\"}"), FAKE_CLOSE},
	    {ANSWER("200 OK", "{\"version\":1}"), FAKE_CLOSE}};
	const struct fake_step not_found[] = {
	    {ANSWER("404 X", "{\"error\":{\"type\":\"not_found\"}}"),
		FAKE_CLOSE},
	    no_version[1]};
	const struct fake_step version_3 = {
	    ANSWER("200 OK", "{\"version\":3,\"text\":\"\"}"), FAKE_CLOSE};
	struct fake f;

	(void)state;
	write_file(TEXT);
	fake_start(&f, no_version, 2);
	assert_int_equal(MUSHERCTL("apply", "-O", f.addr, text_path), 0);
	fake_stop(&f);
	assert_non_null(strstr(f.last, "\"base\":0"));
	write_file(TEXT);
	fake_start(&f, not_found, 2);
	assert_int_equal(MUSHERCTL("apply", "-O", f.addr, text_path), 0);
	fake_stop(&f);
	assert_non_null(strstr(f.last, "\"base\":0"));
	write_file(TEXT);
	fake_start(&f, &version_3, 1);
	assert_int_equal(MUSHERCTL("apply", "-O", f.addr, text_path), 2);
	fake_stop(&f);
	assert_int_equal(f.requests, 1);
}

static void
test_lost_answer_is_settled_with_the_same_token(void **state)
{
	const struct fake_step no_answer = {NULL, FAKE_CLOSE};
	const struct fake_step accepted = {
	    ANSWER("200 OK", "{\"version\":8}"), FAKE_CLOSE};
	struct fake f, g;
	const char *a, *b;

	(void)state;
	write_file(TEXT);
	fake_start(&f, &no_answer, 1);
	fake_start(&g, &accepted, 1);
	assert_int_equal(MUSHERCTL("apply", "-O", f.addr, "-O", g.addr,
			     "--base", "7", text_path),
	    0);
	fake_stop(&f);
	fake_stop(&g);
	assert_int_equal(f.requests, 1);
	assert_int_equal(g.requests, 1);
	a = strstr(f.last, "\"token\":");
	b = strstr(g.last, "\"token\":");
	assert_non_null(a);
	assert_non_null(b);
	assert_string_equal(a, b);
}

static void
test_exit_statuses(void **state)
{
	const struct fake_step no_answer = {NULL, FAKE_CLOSE};
	const struct fake_step invalid = {
	    ANSWER("422 X",
		"{\"error\":{\"type\":\"config_invalid\",\"message\":\"m\"}}"),
	    FAKE_CLOSE};
	const struct fake_step unavailable = {
	    ANSWER("503 X", "{\"error\":{\"type\":\"platform_unavailable\","
			    "\"outcome\":\"not_run\",\"message\":\"m\","
			    "\"retry_after_ms\":9999}}"),
	    FAKE_CLOSE};
	char unused_port_addr[64];
	struct fake f;

	(void)state;
	write_file(TEXT);
	fake_unused_addr(unused_port_addr);
	assert_int_equal(MUSHERCTL("status", "-O", unused_port_addr), 4);
	assert_int_equal(MUSHERCTL("apply", "-O", unused_port_addr, "--base",
			     "1", "--timeout", "1", text_path),
	    4);
	fake_start(&f, &no_answer, 1);
	assert_int_equal(MUSHERCTL("apply", "-O", f.addr, "--base", "1",
			     "--timeout", "1", text_path),
	    5);
	fake_stop(&f);
	assert_output_contains("musherctl apply --token");
	fake_start(&f, &invalid, 1);
	assert_int_equal(
	    MUSHERCTL("apply", "-O", f.addr, "--base", "1", text_path), 1);
	fake_stop(&f);
	assert_output_contains("config_invalid");
	fake_start(&f, &unavailable, 1);
	assert_int_equal(MUSHERCTL("apply", "-O", f.addr, "--base", "1",
			     "--timeout", "1", text_path),
	    1);
	fake_stop(&f);
	assert_int_equal(f.requests, 1);
}

static void
test_loser_of_a_race_is_told_and_rebases(void **state)
{
	const struct fake_step race[] = {
	    {ANSWER("409 Conflict",
		 "{\"version\":8,\"by\":\"eva\",\"error\":{\"type\":"
		 "\"config_conflict\"}}"),
		FAKE_CLOSE},
	    {ANSWER("200 OK",
		 "{\"version\":8,\"by\":\"eva\",\"text\":\"" TEXT_JSON
		 "weights: {program_latency: 2}\\n\"}"),
		FAKE_CLOSE},
	    {ANSWER("200 OK", "{\"version\":7,\"text\":\"" TEXT_JSON "\"}"),
		FAKE_CLOSE}};
	const struct fake_step rebase[] = {race[1], race[2],
	    {ANSWER("200 OK", "{\"version\":9}"), FAKE_CLOSE}};
	struct fake f;

	(void)state;
	write_file("# ours\n" TEXT);
	fake_start(&f, race, 3);
	assert_int_equal(
	    MUSHERCTL("apply", "-O", f.addr, "--base", "7", text_path), 3);
	fake_stop(&f);
	assert_output_contains("version 8 by eva");
	assert_output_contains("+weights: {program_latency: 2}");
	assert_output_contains("musherctl apply --rebase --base 7");
	fake_start(&f, rebase, 3);
	assert_int_equal(MUSHERCTL("apply", "-O", f.addr, "--rebase", "--base",
			     "7", text_path),
	    0);
	fake_stop(&f);
	assert_non_null(strstr(f.last, "\"base\":8"));
	assert_file_equals(
	    text_path, "# ours\n" TEXT "weights: {program_latency: 2}\n");
}

static void
test_rebase_refuses_the_same_lines(void **state)
{
	const struct fake_step steps[] = {
	    {ANSWER("200 OK",
		 "{\"version\":8,\"text\":\"services:\\n- name: b\\n\"}"),
		FAKE_CLOSE},
	    {ANSWER("200 OK", "{\"version\":7,\"text\":\"" TEXT_JSON "\"}"),
		FAKE_CLOSE}};
	struct fake f;

	(void)state;
	write_file(TEXT "  urgent: true\n");
	fake_start(&f, steps, 2);
	assert_int_equal(MUSHERCTL("apply", "-O", f.addr, "--rebase", "--base",
			     "7", text_path),
	    3);
	fake_stop(&f);
	assert_int_equal(f.requests, 2);
	assert_file_equals(text_path, TEXT "  urgent: true\n");
}

#define STATUS(v) \
	ANSWER("200 OK", \
	    "{\"host\":\"h1\",\"hosts\":[{\"name\":\"h1\",\"role\":\"entry\"," \
	    "\"state\":\"live\",\"up\":true,\"config_version\":8},{\"name\":" \
	    "\"h2\",\"role\":\"entry\",\"state\":\"live\",\"up\":true," \
	    "\"config_version\":" v "},{\"name\":\"h3\",\"role\":\"entry\"," \
	    "\"state\":\"leaving\",\"up\":true,\"config_version\":1}]}")

static void
test_wait_returns_when_live_hosts_have_it(void **state)
{
	const struct fake_step steps[] = {
	    {ANSWER("200 OK", "{\"version\":8}"), FAKE_CLOSE},
	    {STATUS("7"), FAKE_CLOSE}, {STATUS("8"), FAKE_CLOSE}};
	struct fake f;

	(void)state;
	write_file(TEXT);
	fake_start(&f, steps, 3);
	assert_int_equal(MUSHERCTL("apply", "-O", f.addr, "--base", "7",
			     "--wait", text_path),
	    0);
	fake_stop(&f);
	assert_output_contains("1 of 2 hosts have version 8");
	assert_output_contains("2 of 2 hosts have version 8");
	fake_start(&f, steps, 2);
	assert_int_equal(MUSHERCTL("apply", "-O", f.addr, "--base", "7",
			     "--wait", "--timeout", "1", text_path),
	    6);
	fake_stop(&f);
	assert_output_contains("h2 has version 7");
}

static void
test_get_tries_the_next_port(void **state)
{
	const struct fake_step step = {STATUS("8"), FAKE_CLOSE};
	char unused_port_addr[64], list[160];
	struct fake f;

	(void)state;
	fake_unused_addr(unused_port_addr);
	fake_start(&f, &step, 1);
	(void)snprintf(list, sizeof(list), "%s,%s", unused_port_addr, f.addr);
	assert_int_equal(MUSHERCTL("hosts", "-O", list), 0);
	assert_int_equal(MUSHERCTL("hosts", "-O", "localhost:80"), 2);
	assert_int_equal(
	    MUSHERCTL("hosts", "-O", unused_port_addr, "-O", f.addr), 0);
	assert_output_contains("leaving");
	assert_int_equal(MUSHERCTL("--json", "status", "-O", f.addr), 0);
	assert_output_contains("\"config_version\": 8");
	fake_stop(&f);
}

static void
test_audit_and_explain_print_no_control_characters(void **state)
{
	const struct fake_step audit = {
	    ANSWER("200 OK",
		"{\"entries\":[{\"n\":1,\"at_ms\":0,\"who\":\"eva\","
		"\"action\":\"apply\",\"from\":1,\"to\":2,\"diff\":\"+a\\n\","
		"\"note\":\"\\u001b[2J\",\"result\":\"accepted\"}]}"),
	    FAKE_CLOSE};
	const struct fake_step explain = {
	    ANSWER("200 OK",
		"{\"program\":\"p/1\",\"owner\":\"h1\",\"epoch\":3,"
		"\"events\":[{\"at_ms\":1000,\"host\":\"h1\",\"seq\":2,"
		"\"decision\":\"place\",\"reason\":\"warm\",\"detail\":{"
		"\"endpoint\":\"e1\"}}]}"),
	    FAKE_CLOSE};
	struct fake f;

	(void)state;
	fake_start(&f, &audit, 1);
	assert_int_equal(MUSHERCTL("audit", "-O", f.addr), 0);
	fake_stop(&f);
	assert_output_contains("1970-01-01T00:00:00Z eva");
	assert_output_contains("?[2J");
	fake_start(&f, &explain, 1);
	assert_int_equal(MUSHERCTL("explain", "-O", f.addr, "p 1", "2"), 0);
	fake_stop(&f);
	assert_non_null(strstr(f.last, "GET /v1/explain/p%201/2 "));
	assert_output_contains("warm  {\"endpoint\":\"e1\"}");
}

static int
setup(void **state)
{
	ssize_t n = readlink("/proc/self/exe", musherctl_path, PATH_BYTES - 16);
	char *slash;

	(void)state;
	if (n <= 0 || mkdtemp(temp_dir) == NULL)
		return -1;
	musherctl_path[n] = '\0';
	slash = strrchr(musherctl_path, '/');
	(void)snprintf(slash, 16, "/musherctl");
	(void)snprintf(text_path, sizeof(text_path), "%s/text.yaml", temp_dir);
	return 0;
}

static int
teardown(void **state)
{
	char base[80];

	(void)state;
	(void)snprintf(base, sizeof(base), "%s.base", text_path);
	(void)unlink(base);
	(void)unlink(text_path);
	return rmdir(temp_dir);
}

/* Log lines of two daemons, with the prefix of a log collector. */
#define LOG_LINES \
	"  1.2 entry-2 {\"time\":\"2026-05-07T10:27:14.800000Z\"," \
	"\"level\":\"warn\",\"module\":\"store\",\"event\":\"lost\"," \
	"\"misses\":2}\n" \
	"  1.3 entry-1 {\"time\":\"2026-05-07T10:27:14.900000Z\"," \
	"\"level\":\"info\",\"module\":\"home\"," \
	"\"event\":\"guarantor_asked\",\"program\":\"p1\",\"amount\":60}\n" \
	"no log line {\n" \
	"  1.4 entry-1 {\"time\":\"2026-05-07T10:27:14.700000Z\"," \
	"\"module\":\"store\",\"event\":\"lost\"}\n" \
	"  2.2 entry-2 {\"time\":\"2026-05-07T10:27:15.801000Z\"," \
	"\"level\":\"warn\",\"module\":\"call\",\"event\":\"end\"," \
	"\"request\":\"r1\",\"program\":\"p1\",\"endpoint\":\"\"," \
	"\"status\":503,\"why\":\"state_unavailable\",\"ms\":1001}\n"

static void
test_story_of_a_request(void **state)
{
	const char *home, *store;

	(void)state;
	write_file(LOG_LINES);
	assert_int_equal(MUSHERCTL("explain", "--log", text_path, "r1"), 0);
	store = strstr(output, "entry-2  store.lost misses=2");
	home = strstr(output, "entry-1  home.guarantor_asked");
	assert_non_null(store);
	assert_non_null(home);
	assert_true(store < home);
	assert_output_contains("+1001 ms");
	assert_output_contains("why=\"state_unavailable\"");
	assert_output_contains("1 lines are no log lines");
	/* Store state logged by a daemon that did not run it is omitted. */
	assert_null(strstr(output, "entry-1  store.lost"));
	assert_int_equal(MUSHERCTL("explain", "--log", text_path, "r2"), 1);
	assert_output_contains("no line tells the end of request r2");
	assert_int_equal(
	    MUSHERCTL("explain", "--log", "/nonexistent", "r1"), 1);
	assert_output_contains("/nonexistent");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_story_of_a_request),
	    cmocka_unit_test(test_usage_and_validate_need_no_daemon),
	    cmocka_unit_test(test_apply_sends_base_note_and_key),
	    cmocka_unit_test(
		test_first_apply_finds_base_zero_and_others_need_one),
	    cmocka_unit_test(test_lost_answer_is_settled_with_the_same_token),
	    cmocka_unit_test(test_exit_statuses),
	    cmocka_unit_test(test_loser_of_a_race_is_told_and_rebases),
	    cmocka_unit_test(test_rebase_refuses_the_same_lines),
	    cmocka_unit_test(test_wait_returns_when_live_hosts_have_it),
	    cmocka_unit_test(test_get_tries_the_next_port),
	    cmocka_unit_test(
		test_audit_and_explain_print_no_control_characters),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
