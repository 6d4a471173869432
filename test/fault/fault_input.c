/*
 * fault_input.c -- malformed and hostile input on the callers' port.
 *
 * Each bad request must get an error with a type, a message and the outcome
 * "not_run".  None may run a call, delay other callers or change the program,
 * which continues afterwards.
 */
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "proc.h"
#include "proc_call.h"

#define KEY CLUSTER_CALLER_KEY
#define OVERSIZED_BODY_BYTES (2 << 20) /* the limit is 1 MiB */
#define HEADER_FLOOD_BYTES 40000
#define SLOW_SENDERS 200

/* A request and the expected error; "ID" stands for the program's id. */
struct bad_request {
	const char *method, *path, *headers;
	const char *body; /* with single quotes in place of double ones */
	int status;
	const char *type;
};

#define CALLS "/v1/programs/ID/calls"
#define CHAT "/v1/chat/completions"
#define INPUT "'input':{'operation':'reprint'}"
#define MESSAGES "'messages':[{'role':'user','content':'x'}]"

static const struct bad_request bad_requests[] = {
    {"POST", CALLS, NULL, "", 400, "not_json"},
    {"POST", CALLS, NULL, "{", 400, "not_json"},
    {"POST", CALLS, NULL, "{'seq':1,'seq':2}", 400, "not_json"},
    {"POST", CALLS, NULL, "\xff\xfe", 400, "not_json"},
    {"POST", CALLS, NULL, "[]", 400, "bad_request"},
    {"POST", CALLS, NULL, "{}", 400, "bad_request"},
    {"POST", CALLS, NULL, "{'seq':0,'service':'pantry'," INPUT "}", 400,
	"bad_request"},
    {"POST", CALLS, NULL, "{'seq':-1,'service':'pantry'," INPUT "}", 400,
	"bad_request"},
    {"POST", CALLS, NULL, "{'seq':'1','service':'pantry'," INPUT "}", 400,
	"bad_request"},
    {"POST", CALLS, NULL, "{'seq':1e3,'service':'pantry'," INPUT "}", 400,
	"bad_request"},
    {"POST", CALLS, NULL,
	"{'seq':99999999999999999999,'service':'pantry'," INPUT "}", 400,
	"not_json"},
    {"POST", CALLS, NULL, "{'seq':1,'service':5," INPUT "}", 400,
	"bad_request"},
    {"POST", CALLS, NULL, "{'seq':1,'service':'none'," INPUT "}", 404,
	"unknown_service"},
    {"POST", CALLS, NULL, "{'seq':1,'service':'pantry'}", 400, "bad_request"},
    {"POST", CALLS, NULL, "{'seq':1,'service':'pantry','input':'x'}", 400,
	"bad_request"},
    {"POST", CALLS, NULL, "{'seq':1,'service':'pantry','input':{" MESSAGES "}}",
	400, "bad_request"},
    {"POST", CALLS, NULL, "{'seq':1,'service':'smokehouse'," INPUT "}", 400,
	"bad_request"},
    {"POST", CALLS, NULL, "{'seq':1,'service':'pantry'," INPUT ",'sek':2}", 400,
	"bad_request"},
    {"POST", CALLS, NULL, "{'seq':1,'service':'pantry'," INPUT ",'stream':1}",
	400, "bad_request"},
    {"POST", CALLS, NULL,
	"{'seq':1,'service':'pantry'," INPUT ",'deadline_ms':-5}", 400,
	"bad_request"},
    {"POST", CALLS, NULL,
	"{'seq':1,'service':'pantry'," INPUT ",'receipt':'forged'}", 400,
	"bad_request"},
    {"POST", "/v1/programs", NULL, "{", 400, "not_json"},
    {"POST", "/v1/programs", NULL, "{'budget':{'tokens':0}}", 400,
	"bad_request"},
    {"POST", "/v1/programs", NULL, "{'parent':7}", 400, "bad_request"},
    {"POST", "/v1/programs", NULL, "{'parent':'nobody'}", 404, "not_found"},
    {"GET", "/v1/programs/nobody", NULL, NULL, 404, "not_found"},
    {"GET", "/v1/programs/ID/calls/0", NULL, NULL, 404, "not_found"},
    {"GET", "/v1/programs/ID/calls/7", NULL, NULL, 404, "not_found"},
    {"GET", "/v1/programs/ID/calls/x", NULL, NULL, 404, "not_found"},
    {"GET", "/v1/programs/ID/calls/99999999999999999999999", NULL, NULL, 404,
	"not_found"},
    {"GET", "/v1/programs/", NULL, NULL, 404, "not_found"},
    {"GET", "/v1/programs/%00%2f", NULL, NULL, 404, "not_found"},
    {"GET", "/", NULL, NULL, 404, "not_found"},
    {"GET", "/v1/status", NULL, NULL, 404, "not_found"},
    {"PUT", "/v1/programs/ID", NULL, "{}", 405, "method_not_allowed"},
    {"DELETE", "/v1/programs/ID/calls/1", NULL, NULL, 405,
	"method_not_allowed"},
    {"GET", "/v1/programs", NULL, NULL, 405, "method_not_allowed"},
    {"POST", "/v1/addresses", NULL, "{}", 405, "method_not_allowed"},
    {"GET", CHAT, NULL, NULL, 405, "method_not_allowed"},
    {"POST", CHAT, NULL, "{", 400, "not_json"},
    {"POST", CHAT, NULL, "{'model':'smokehouse'}", 400, "bad_request"},
    {"POST", CHAT, NULL, "{'model':'none'," MESSAGES "}", 404,
	"unknown_service"},
    {"POST", CHAT, "Cardamom-Program: ID\r\n",
	"{'model':'smokehouse'," MESSAGES "}", 400, "bad_request"},
    {"POST", CHAT, "Cardamom-Seq: 1\r\n", "{'model':'smokehouse'," MESSAGES "}",
	400, "bad_request"},
    {"POST", CHAT, "Cardamom-Program: ID\r\nCardamom-Seq: one\r\n",
	"{'model':'smokehouse'," MESSAGES "}", 400, "bad_request"},
    {"POST", CHAT, "Cardamom-Program: ID\r\nCardamom-Seq: 0\r\n",
	"{'model':'smokehouse'," MESSAGES "}", 400, "bad_request"},
    {"POST", CHAT, "Cardamom-Program: nobody\r\nCardamom-Seq: 1\r\n",
	"{'model':'smokehouse'," MESSAGES "}", 404, "not_found"},
    {"POST", CHAT, "Cardamom-Program: ID\r\nCardamom-Seq: 1\r\n",
	"{'model':'smokehouse','messages':[]}", 400, "bad_request"},
    {"POST", CHAT, "Cardamom-Program: ID\r\nCardamom-Seq: 1\r\n",
	"{'model':'smokehouse','messages':[{'role':1}]}", 400, "bad_request"},
};

/* Copies text, replacing ID and, if quotes is set, ' with ". */
static void
expand_template(
    char *buf, size_t size, const char *text, const char *id, bool quotes)
{
	const char *at = strstr(text, "ID");
	char *p;

	if (at == NULL)
		(void)snprintf(buf, size, "%s", text);
	else
		(void)snprintf(
		    buf, size, "%.*s%s%s", (int)(at - text), text, id, at + 2);
	for (p = buf; quotes && *p != '\0'; p++)
		if (*p == '\'')
			*p = '"';
}

static void
assert_error(
    const struct http_res *r, int status, const char *type, const char *what)
{
	json_t *e = json_object_get(r->json, "error");
	const char *error_type = json_string_value(json_object_get(e, "type"));

	if (r->status != status || error_type == NULL ||
	    strcmp(error_type, type) != 0)
		fail_msg("%s: %d %s, want %d %s", what, r->status,
		    r->body != NULL ? r->body : "", status, type);
	assert_string_equal(
	    json_string_value(json_object_get(e, "outcome")), "not_run");
	assert_true(json_string_length(json_object_get(e, "message")) > 0);
}

static void
send_bad_request(
    const struct unit *d, const struct bad_request *b, const char *id)
{
	char path[256], headers[256], body[512], what[800];
	struct http_req q = {0};
	struct http_res r;

	expand_template(path, sizeof(path), b->path, id, false);
	q.method = b->method;
	q.addr = d->addr;
	q.path = path;
	q.bearer = KEY;
	if (b->headers != NULL) {
		expand_template(
		    headers, sizeof(headers), b->headers, id, false);
		q.headers = headers;
	}
	if (b->body != NULL) {
		expand_template(body, sizeof(body), b->body, id, true);
		q.body = body;
		q.len = strlen(body);
	}
	http_run(&q, &r);
	(void)snprintf(what, sizeof(what), "%s %s %s", b->method, b->path,
	    b->body != NULL ? b->body : "");
	assert_error(&r, b->status, b->type, what);
	http_clear(&r);
}

/* The program's next calls run, and no other call has run. */
static void
assert_program_continues(struct cluster *c, const char *id, int seq)
{
	struct caller k;
	int d;

	for (d = 0; d < c->conf.daemons; d++, seq++) {
		call_start(&k, &c->daemon[d], id, seq);
		call_end(&k);
		assert_string_equal(call_outcome(&k), "done");
		http_clear(&k.res);
		assert_int_equal(call_run_count(c, id, seq), 1);
	}
	assert_int_equal(
	    fault_run_count(c->service[0].fault, NULL, 0), seq - 1);
}

static void
test_bad_requests(void **state)
{
	struct cluster *c;
	char id[CALL_ID_LEN];
	size_t i;
	int d;

	(void)state;
	c = call_cluster(2, 1, 1);
	call_program(c, id);
	for (d = 0; d < 2; d++)
		for (i = 0; i < sizeof(bad_requests) / sizeof(bad_requests[0]);
		     i++)
			send_bad_request(&c->daemon[d], &bad_requests[i], id);
	assert_int_equal(fault_run_count(c->engine[0].fault, NULL, 0), 0);
	assert_program_continues(c, id, 1);
}

static void
test_keys(void **state)
{
	static const char longer[] = KEY "x";
	static const char *const keys[] = {
	    NULL, "", "wrong", CLUSTER_OPERATOR_KEY, longer};
	static const char *const paths[] = {"/v1/addresses", "/v1/programs",
	    CHAT, "/nowhere", "/v1/programs/nobody"};
	struct http_req q = {.method = "GET", .limit_ms = 0};
	struct cluster *c;
	struct http_res r;
	size_t i, k;

	(void)state;
	c = call_cluster(1, 1, 1);
	for (k = 0; k < sizeof(keys) / sizeof(keys[0]); k++)
		for (i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
			q.addr = c->daemon[0].addr;
			q.path = paths[i];
			q.bearer = keys[k];
			http_run(&q, &r);
			assert_error(&r, 401, "unauthorized", paths[i]);
			http_clear(&r);
		}
}

static void
test_too_large(void **state)
{
	char id[CALL_ID_LEN], path[160], *body = malloc(OVERSIZED_BODY_BYTES);
	struct http_req q = {.method = "POST", .bearer = KEY};
	struct cluster *c;
	struct http_res r;

	(void)state;
	assert_non_null(body);
	c = call_cluster(2, 1, 1);
	call_program(c, id);
	memset(body, ' ', OVERSIZED_BODY_BYTES);
	(void)snprintf(path, sizeof(path), "/v1/programs/%s/calls", id);
	q.addr = c->daemon[0].addr;
	q.path = path;
	q.body = body;
	q.len = OVERSIZED_BODY_BYTES;
	http_run(&q, &r);
	assert_error(&r, 413, "too_large", "too large a body");
	http_clear(&r);
	free(body);
	assert_program_continues(c, id, 1);
}

/* Status of the answer on fd; 0 if the connection closed without one. */
static int
read_status(int fd)
{
	struct pollfd p = {fd, POLLIN, 0};
	char buf[256];
	ssize_t n;
	int status = 0;

	if (poll(&p, 1, PROC_LIMIT_MS) <= 0)
		fail_msg("neither an answer nor a closed connection");
	n = recv(fd, buf, sizeof(buf) - 1, 0);
	if (n > 0) {
		buf[n] = '\0';
		(void)sscanf(buf, "HTTP/1.1 %d", &status);
	}
	return status;
}

/* Headers beyond a connection's memory limit, unterminated and terminated. */
static void
test_header_flood(void **state)
{
	char id[CALL_ID_LEN], *flood = malloc(HEADER_FLOOD_BYTES + 64);
	struct cluster *c;
	int i, n, fd, status;

	(void)state;
	assert_non_null(flood);
	c = call_cluster(2, 1, 1);
	call_program(c, id);
	n = sprintf(flood, "GET /v1/addresses HTTP/1.1\r\nHost: x\r\n"
			   "Authorization: Bearer " KEY "\r\n");
	while (n < HEADER_FLOOD_BYTES)
		n += sprintf(flood + n, "X-%d: y\r\n", n);
	for (i = 0; i < 8; i++) {
		if (i == 4)
			(void)sprintf(flood + n, "\r\n");
		fd = http_open(c->daemon[i % 2].addr, flood);
		assert_int_not_equal(fd, -1);
		status = read_status(fd);
		assert_true(status == 0 || status == 431);
		close(fd);
	}
	free(flood);
	assert_program_continues(c, id, 1);
}

static void
test_slow_senders(void **state)
{
	static const char half[] =
	    "POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"
	    "Authorization: Bearer " KEY "\r\n\r\n{";
	int fd[SLOW_SENDERS], i;
	struct cluster *c;
	char id[CALL_ID_LEN];

	(void)state;
	c = call_cluster(2, 1, 1);
	for (i = 0; i < SLOW_SENDERS; i++)
		fd[i] = http_open(c->daemon[i % 2].addr, half);
	call_program(c, id);
	for (i = 0; i < SLOW_SENDERS; i++)
		(void)!write(fd[i], " ", 1);
	assert_program_continues(c, id, 1);
	for (i = 0; i < SLOW_SENDERS; i++)
		close(fd[i]);
	assert_program_continues(c, id, 3);
}

/* Reusing a seq with another body conflicts; the same body gets its answer. */
static void
test_seq_conflict(void **state)
{
	static const char lookup[] =
	    "{\"seq\":1,\"service\":\"pantry\",\"input\":{\"operation\":"
	    "\"lookup\"}}";
	struct cluster *c;
	struct caller first, k;
	char id[CALL_ID_LEN];
	int d;

	(void)state;
	c = call_cluster(2, 1, 1);
	call_program(c, id);
	call_services_slow(c, 500);
	call_start(&first, &c->daemon[0], id, 1);
	call_until_run(c, id, 1);
	/* While the first call runs, and after it ended. */
	for (d = 0; d < 4; d++) {
		call_start_body(&k, &c->daemon[d % 2], id, lookup);
		call_end(&k);
		assert_error(&k.res, 409, "seq_conflict", "another body");
		http_clear(&k.res);
		if (d == 1)
			call_end(&first);
	}
	call_services_slow(c, 0);
	call_start(&k, &c->daemon[1], id, 1);
	call_end(&k);
	assert_string_equal(k.res.body, first.res.body);
	http_clear(&k.res);
	http_clear(&first.res);
	assert_program_continues(c, id, 2);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_bad_requests),
	    T(test_keys),
	    T(test_too_large),
	    T(test_header_flood),
	    T(test_slow_senders),
	    T(test_seq_conflict),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
