/*
 * test_load.c -- runs musherload against a fake daemon.
 *
 * The fake daemon keeps the history of one program and answers like the engine
 * stand-in.  Each test makes it misbehave in one way and checks whether the
 * tool detects it.  The musherload binary is expected in the directory of the
 * test binary.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <spawn.h>
#include <sys/wait.h>

#include "fakehttp.h"
#include "proof.h"

#define OUTPUT_BYTES 32768
#define PATH_BYTES 4096
#define ANSWER_BYTES 65536

enum daemon_behavior {
	DAEMON_CORRECT,
	DAEMON_MIXES_PROGRAMS, /* returns another program's proof */
	DAEMON_DROPS_TURN, /* drops the first turn from the history */
	DAEMON_FORGETS_PROGRAM, /* 404 for the program at the end */
	DAEMON_CHANGES_STORED, /* stored answer differs from the first */
	DAEMON_CHANGES_CHUNKS, /* chunks differ from the final answer */
	DAEMON_CLOSES_AFTER_RUN, /* runs the first call, sends no answer */
	DAEMON_REFUSES_ONCE, /* one 503 not_run with retry_after_ms */
	DAEMON_LOSES_UNCOMMITTED, /* loses the uncommitted first turn */
	DAEMON_RESULT_UNKNOWN /* 409 for non-idempotent calls */
};

static struct {
	enum daemon_behavior behavior;
	int listen_fd;
	char addr[64];
	json_t *messages;
	json_t *outputs; /* by seq, from 1 */
	int nrefusals;
	bool restored;
	int ncalls;
} fake;

static char output[OUTPUT_BYTES];
static char program[PATH_BYTES];

static char *
json_response(int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT), *out = NULL;

	if (asprintf(&out,
		"HTTP/1.1 %d X\r\nContent-Length: %zu\r\n"
		"Connection: close\r\n\r\n%s",
		status, strlen(text), text) < 0)
		abort();
	free(text);
	json_decref(body);
	return out;
}

static char *
error_response(int status, const char *type, const char *outcome, int retry_ms)
{
	return json_response(status,
	    json_pack("{s:{s:s,s:s,s:s,s:i}}", "error", "type", type, "message",
		"m", "outcome", outcome, "retry_after_ms", retry_ms));
}

static char *
model_output(const json_t *input)
{
	char last[PROOF_LAST_BYTES + 1], *out = NULL;
	json_t *m;
	size_t i;

	json_array_foreach (json_object_get(input, "messages"), i, m) {
		json_array_append(fake.messages, m);
	}
	if (fake.behavior == DAEMON_DROPS_TURN &&
	    json_array_size(fake.messages) == 3)
		json_array_remove(fake.messages, 0);
	proof_copy_last_user(fake.messages, last);
	if (asprintf(&out, PROOF_FORMAT " w1",
		fake.behavior == DAEMON_MIXES_PROGRAMS ? "other" : "p1",
		json_array_size(fake.messages),
		(unsigned long long)proof_hash_messages(fake.messages),
		last) < 0)
		abort();
	json_array_append_new(fake.messages,
	    json_pack("{s:s,s:s}", "role", "assistant", "content", out));
	return out;
}

static char *
stream_response(const char *text, json_t *answer)
{
	json_t *chunk = json_pack("{s:s}", "text",
	    fake.behavior == DAEMON_CHANGES_CHUNKS ? "another" : text);
	char *p = json_dumps(chunk, 0), *a = json_dumps(answer, 0), *out = NULL;

	if (asprintf(&out,
		"HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n"
		"Connection: close\r\n\r\n"
		"data: %s\n\ndata: %s\n\ndata: [DONE]\n\n",
		p, a) < 0)
		abort();
	free(p);
	free(a);
	json_decref(chunk);
	json_decref(answer);
	return out;
}

static json_t *
call_result(json_int_t seq)
{
	json_t *o = json_pack("{s:s,s:I,s:s,s:O}", "program", "p1", "seq", seq,
	    "outcome", "done", "output",
	    json_array_get(fake.outputs, (size_t)seq - 1));

	if (fake.behavior == DAEMON_LOSES_UNCOMMITTED && seq == 1) {
		json_object_set_new(o, "committed", json_false());
		json_object_set_new(o, "receipt", json_string("r1"));
	}
	return o;
}

static char *
handle_call(const json_t *body)
{
	json_int_t seq = json_integer_value(json_object_get(body, "seq"));
	json_t *input = json_object_get(body, "input");
	json_t *repeatable = json_object_get(body, "repeatable");
	char *text;

	if (fake.behavior == DAEMON_REFUSES_ONCE && fake.nrefusals++ == 0)
		return error_response(503, "overloaded", "not_run", 10);
	if (fake.behavior == DAEMON_RESULT_UNKNOWN && json_is_false(repeatable))
		return error_response(409, "result_unknown", "unknown", 0);
	fake.restored |= seq == 1 && json_object_get(body, "receipt") != NULL;
	if (fake.behavior == DAEMON_LOSES_UNCOMMITTED && seq == 2 &&
	    !fake.restored)
		return error_response(409, "seq_gap", "not_run", 10);
	if ((size_t)seq > json_array_size(fake.outputs)) {
		if (json_object_get(input, "messages") != NULL) {
			text = model_output(input);
			json_array_append_new(fake.outputs, json_string(text));
			free(text);
		} else {
			json_array_append_new(
			    fake.outputs, json_pack("{s:O}", "echo", input));
		}
	}
	if (fake.behavior == DAEMON_CLOSES_AFTER_RUN && fake.ncalls++ == 0)
		return NULL;
	if (json_is_true(json_object_get(body, "stream")))
		return stream_response(json_string_value(json_array_get(
					   fake.outputs, (size_t)seq - 1)),
		    call_result(seq));
	return json_response(200, call_result(seq));
}

static char *
handle_request(const char *request)
{
	const char *text = strstr(request, "\r\n\r\n");
	const char *stored = strstr(request, "/calls/");
	json_t *body = json_loads(text + 4, 0, NULL);
	char *out;

	if (strncmp(request, "POST /v1/programs ", 18) == 0)
		out = json_response(
		    201, json_pack("{s:s,s:[s],s:i}", "program", "p1",
			     "addresses", fake.addr, "ttl_ms", 60000));
	else if (strncmp(request, "POST ", 5) == 0)
		out = handle_call(body);
	else if (strncmp(request, "DELETE ", 7) == 0)
		out = strdup("HTTP/1.1 204 X\r\nConnection: close\r\n\r\n");
	else if (strstr(request, "/v1/addresses") != NULL)
		out = json_response(200, json_pack("{s:[s],s:i}", "addresses",
					     fake.addr, "ttl_ms", 60000));
	else if (stored != NULL && fake.behavior == DAEMON_CHANGES_STORED)
		out = json_response(200, json_pack("{s:s}", "output", "new"));
	else if (stored != NULL)
		out = json_response(
		    200, call_result(strtol(stored + 7, NULL, 10)));
	else if (fake.behavior == DAEMON_FORGETS_PROGRAM)
		out = error_response(404, "not_found", "not_run", 0);
	else
		out = json_response(
		    200, json_pack("{s:O}", "history", fake.messages));
	json_decref(body);
	return out;
}

static void *
run_daemon(void *arg)
{
	static char request[FAKE_REQUEST_BYTES];
	char *out;
	int fd;

	(void)arg;
	while ((fd = accept(fake.listen_fd, NULL, NULL)) >= 0) {
		if (fake_read(fd, request)) {
			out = handle_request(request);
			if (out != NULL)
				(void)!send(fd, out, strlen(out), MSG_NOSIGNAL);
			free(out);
		}
		close(fd);
	}
	return NULL;
}

/* Runs musherload, stores its stdout in `output`; returns the exit status. */
static int
run_musherload(char *const argv[])
{
	static char *env[] = {NULL};
	posix_spawn_file_actions_t fa;
	int fds[2], status;
	size_t len = 0;
	ssize_t n;
	pid_t pid;

	assert_int_equal(pipe(fds), 0);
	posix_spawn_file_actions_init(&fa);
	posix_spawn_file_actions_adddup2(&fa, fds[1], 1);
	posix_spawn_file_actions_addclose(&fa, fds[0]);
	assert_int_equal(posix_spawn(&pid, program, &fa, NULL, argv, env), 0);
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

/* Runs one program of three turns; returns the report and the record. */
static json_t *
run_load(enum daemon_behavior behavior, int expected_exit)
{
	char address[80], record[] = "/tmp/test_load.XXXXXX", option[64];
	char one[] = "-n1", turns[] = "-t3", think[] = "-p0", js[] = "-j";
	char key[] = "-kk";
	char *argv[] = {
	    program, address, one, turns, think, js, key, option, NULL};
	pthread_t thread;
	json_t *report, *calls;
	int rc, fd = mkstemp(record);

	assert_true(fd >= 0);
	close(fd);
	memset(&fake, 0, sizeof(fake));
	fake.behavior = behavior;
	fake.messages = json_array();
	fake.outputs = json_array();
	fake.listen_fd = fake_listen(fake.addr, 16);
	(void)snprintf(address, sizeof(address), "-a%s", fake.addr);
	(void)snprintf(option, sizeof(option), "-R%s", record);
	assert_int_equal(pthread_create(&thread, NULL, run_daemon, NULL), 0);
	rc = run_musherload(argv);
	(void)shutdown(fake.listen_fd, SHUT_RDWR);
	pthread_join(thread, NULL);
	close(fake.listen_fd);
	json_decref(fake.messages);
	json_decref(fake.outputs);
	if (rc != expected_exit)
		fail_msg(
		    "exit status %d, not %d:\n%s", rc, expected_exit, output);
	report = json_loads(output, 0, NULL);
	assert_non_null(report);
	calls = json_load_file(record, 0, NULL);
	(void)unlink(record);
	json_object_set_new(report, "record", json_object_get(calls, "calls"));
	json_incref(json_object_get(calls, "calls"));
	json_decref(calls);
	return report;
}

static json_int_t
report_count(const json_t *report, const char *section, const char *key)
{
	return json_integer_value(
	    json_object_get(json_object_get(report, section), key));
}

static const char *
first_outcome(const json_t *report)
{
	return json_string_value(json_object_get(
	    json_array_get(json_object_get(report, "record"), 0), "told"));
}

static void
test_sound_run(void **state)
{
	json_t *r = run_load(DAEMON_CORRECT, 0);

	(void)state;
	assert_int_equal(report_count(r, "counts", "programs_done"), 1);
	assert_int_equal(report_count(r, "counts", "histories_checked"), 3);
	assert_int_equal(report_count(r, "counts", "calls_resent"), 0);
	assert_int_equal(json_array_size(json_object_get(r, "record")), 1);
	assert_string_equal(first_outcome(r), "done");
	json_decref(r);
}

static void
expect_fault(enum daemon_behavior behavior, const char *fault)
{
	json_t *r = run_load(behavior, 1);

	if (report_count(r, "faults", fault) == 0)
		fail_msg("no fault '%s':\n%s", fault, output);
	json_decref(r);
}

static void
test_departures_are_noticed(void **state)
{
	(void)state;
	expect_fault(DAEMON_MIXES_PROGRAMS, "mixed");
	expect_fault(DAEMON_DROPS_TURN, "history");
	expect_fault(DAEMON_FORGETS_PROGRAM, "forgotten");
	expect_fault(DAEMON_CHANGES_STORED, "changed");
	expect_fault(DAEMON_CHANGES_CHUNKS, "stream");
}

static void
test_failures_that_are_no_departure(void **state)
{
	json_t *r;

	(void)state;
	r = run_load(DAEMON_CLOSES_AFTER_RUN, 0);
	assert_int_equal(report_count(r, "counts", "answers_lost"), 1);
	assert_int_equal(report_count(r, "counts", "calls_resent"), 1);
	json_decref(r);
	r = run_load(DAEMON_REFUSES_ONCE, 0);
	assert_int_equal(report_count(r, "errors", "overloaded"), 1);
	assert_int_equal(report_count(r, "counts", "programs_done"), 1);
	json_decref(r);
	r = run_load(DAEMON_LOSES_UNCOMMITTED, 0);
	assert_int_equal(report_count(r, "counts", "restored"), 1);
	assert_int_equal(report_count(r, "counts", "programs_done"), 1);
	json_decref(r);
	r = run_load(DAEMON_RESULT_UNKNOWN, 0);
	assert_string_equal(first_outcome(r), "unknown");
	json_decref(r);
}

static int
setup(void **state)
{
	ssize_t n = readlink("/proc/self/exe", program, PATH_BYTES - 16);

	(void)state;
	if (n <= 0)
		return -1;
	program[n] = '\0';
	(void)snprintf(strrchr(program, '/'), 16, "/musherload");
	return 0;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_sound_run),
	    cmocka_unit_test(test_departures_are_noticed),
	    cmocka_unit_test(test_failures_that_are_no_departure),
	};

	return cmocka_run_group_tests(tests, setup, NULL);
}
