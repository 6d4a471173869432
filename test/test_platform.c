/* test_platform.c -- commit results, rows, objects and the host list. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "fakehttp.h"
#include "http.h"
#include "platform.h"

#define ANSWER(status, body) \
	"HTTP/1.1 " status "\r\nConnection: close\r\n\r\n" body
#define LONG_MS 20000
#define SHORT_MS 50

static struct mu_platform *
open_at(const char *addr, uint32_t ms)
{
	struct mu_platform_conf conf = {.addr = addr, .timeout_ms = ms};
	struct mu_platform *p;

	assert_int_equal(mu_platform_open(&p, &conf), 0);
	return p;
}

static void
commit_at(const char *addr, uint32_t ms, struct mu_commit *out)
{
	struct mu_txn_check check = {.key = "slot/1", .rev = 7};
	struct mu_txn_put put[2] = {
	    {.key = "slot/1", .value = "a\"b", .value_len = 3},
	    {.key = "old", .value = NULL}};
	struct mu_txn txn = {
	    .checks = &check, .nchecks = 1, .puts = put, .nputs = 2};
	struct mu_platform *p = open_at(addr, ms);

	mu_platform_commit(p, &txn, out);
	mu_platform_close(p);
}

/* Commits once against a server that runs one scripted step. */
static void
commit_step(struct fake_step step, uint32_t ms, struct mu_commit *out,
    int requests, const char *body)
{
	struct fake f;

	fake_start(&f, &step, 1);
	commit_at(f.addr, ms, out);
	fake_stop(&f);
	assert_int_equal(f.requests, requests);
	if (body != NULL)
		assert_non_null(strstr(f.last, body));
}

static void
test_commit_done(void **state)
{
	struct mu_commit c;

	(void)state;
	commit_step(
	    (struct fake_step){
		ANSWER("200 OK", "{\"ok\":true,\"rev\":9}"), FAKE_CLOSE},
	    LONG_MS, &c, 1,
	    "{\"checks\":[{\"key\":\"slot/1\",\"rev\":7}],\"puts\":[{\"key\":"
	    "\"slot/1\",\"value\":\"a\\\"b\"}],\"deletes\":[\"old\"]}");
	assert_int_equal(c.kind, MU_COMMIT_DONE);
	assert_int_equal(c.rev, 9);
}

static void
test_commit_conflict(void **state)
{
	struct mu_commit c;

	(void)state;
	commit_step(
	    (struct fake_step){
		ANSWER("409 Conflict",
		    "{\"ok\":false,\"key\":\"slot/1\",\"rev\":8}"),
		FAKE_CLOSE},
	    LONG_MS, &c, 1, NULL);
	assert_int_equal(c.kind, MU_COMMIT_CONFLICT);
	assert_int_equal(c.rev, 8);
	assert_string_equal(c.key, "slot/1");
}

static void
test_commit_refused_is_not_run(void **state)
{
	struct mu_commit c;
	char addr[64];

	(void)state;
	commit_step((struct fake_step){ANSWER("503 Service Unavailable",
					   "{\"error\":\"unavailable\"}"),
			FAKE_CLOSE},
	    LONG_MS, &c, 1, NULL);
	assert_int_equal(c.kind, MU_COMMIT_REFUSED);
	assert_int_equal(c.error.outcome, MU_OUTCOME_NOT_RUN);
	fake_unused_addr(addr);
	commit_at(addr, LONG_MS, &c);
	assert_int_equal(c.kind, MU_COMMIT_REFUSED);
	assert_int_equal(c.error.type, MU_E_PLATFORM_DOWN);
}

static void
test_commit_connect_timeout_is_refused(void **state)
{
	struct mu_commit c;
	int fds[4], i, fd;
	char addr[64];

	(void)state;
	fd = fake_listen(addr, 0);
	fake_fill_backlog(addr, fds);
	commit_at(addr, SHORT_MS, &c);
	assert_int_equal(c.kind, MU_COMMIT_REFUSED);
	for (i = 0; i < 4; i++)
		close(fds[i]);
	close(fd);
}

static void
test_commit_without_whole_answer_is_unknown(void **state)
{
	static const struct fake_step steps[] = {
	    {NULL, FAKE_CLOSE}, /* closes without an answer */
	    {NULL, FAKE_HOLD}, /* never answers */
	    {"HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n{\"ok\":true,",
		FAKE_CLOSE},
	    {ANSWER("200 OK", "{\"ok\":true}"), FAKE_CLOSE},
	    {ANSWER("200 OK", "{\"ok\":tr"), FAKE_CLOSE},
	    {ANSWER("503 Service Unavailable", "{\"error\":\"other\"}"),
		FAKE_CLOSE},
	    {ANSWER("503 Service Unavailable", "busy"), FAKE_CLOSE},
	    {ANSWER("500 Internal", "{}"), FAKE_CLOSE},
	    {"garbage\r\n\r\n", FAKE_CLOSE},
	    {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", FAKE_CLOSE},
	};
	struct mu_commit c;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		commit_step(steps[i],
		    steps[i].action == FAKE_HOLD ? SHORT_MS : LONG_MS, &c, 1,
		    NULL);
		assert_int_equal(c.kind, MU_COMMIT_UNKNOWN);
		assert_int_equal(c.error.outcome, MU_OUTCOME_UNKNOWN);
	}
}

/* A server that reads nothing must not block the writer forever. */
static void
test_commit_to_deaf_server_ends(void **state)
{
	static const struct fake_step step = {NULL, FAKE_NO_READ};
	size_t len = (size_t)16 << 20;
	char *value = malloc(len);
	struct mu_txn_put put = {.key = "k", .value = value, .value_len = len};
	struct mu_txn txn = {.puts = &put, .nputs = 1};
	struct mu_platform *p;
	struct mu_commit c;
	struct fake f;

	(void)state;
	memset(value, 'v', len);
	fake_start(&f, &step, 1);
	p = open_at(f.addr, SHORT_MS * 10);
	mu_platform_commit(p, &txn, &c);
	assert_int_equal(c.kind, MU_COMMIT_UNKNOWN);
	mu_platform_close(p);
	fake_stop(&f);
	free(value);
}

static void
test_commit_value_not_utf8_is_refused(void **state)
{
	struct mu_txn_put put = {.key = "k", .value = "\xff", .value_len = 1};
	struct mu_txn txn = {.puts = &put, .nputs = 1};
	struct mu_platform *p = open_at("127.0.0.1:1", SHORT_MS);
	struct mu_commit c;

	(void)state;
	mu_platform_commit(p, &txn, &c);
	assert_int_equal(c.kind, MU_COMMIT_REFUSED);
	assert_int_equal(c.error.type, MU_E_BAD_REQUEST);
	mu_platform_close(p);
}

static void
test_get_escapes_key(void **state)
{
	static const struct fake_step steps[] = {
	    {ANSWER("200 OK",
		 "{\"key\":\"a&b=c d\",\"value\":\"x\\u0000y\",\"rev\":3}"),
		FAKE_CLOSE},
	    {ANSWER("404 Not Found", "{\"key\":\"a\",\"rev\":0}"), FAKE_CLOSE},
	    {ANSWER("404 Not Found", "nothing here"), FAKE_CLOSE}};
	struct mu_platform *p;
	struct mu_error e;
	struct mu_row row;
	struct fake f;

	(void)state;
	fake_start(&f, steps, 3);
	p = open_at(f.addr, LONG_MS);
	assert_int_equal(mu_platform_get(p, "a&b=c d", &row, &e), 0);
	assert_int_equal(row.rev, 3);
	assert_int_equal(row.value_len, 3);
	assert_memory_equal(row.value, "x\0y", 4);
	mu_row_clear(&row);
	assert_int_equal(mu_platform_get(p, "a", &row, &e), 0);
	assert_int_equal(row.rev, 0);
	assert_null(row.value);
	mu_row_clear(&row);
	assert_int_equal(
	    mu_platform_get(p, "a&b=c d", &row, &e), MU_E_PLATFORM_DOWN);
	mu_platform_close(p);
	fake_stop(&f);
	assert_non_null(
	    strstr(f.last, "GET /table/row?key=a%26b%3dc%20d HTTP"));
}

static void
test_list_in_chunks(void **state)
{
	static const struct fake_step step = {
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "1d;x=y\r\n{\"rows\":[{\"key\":\"p/1\",\"value\"\r\n"
	    "1b\r\n:\"v\",\"rev\":4}],\"more\":true}\r\n0\r\nA: b\r\n\r\n",
	    FAKE_CLOSE};
	struct mu_platform *p;
	struct mu_rows rows;
	struct mu_error e;
	struct fake f;

	(void)state;
	fake_start(&f, &step, 1);
	p = open_at(f.addr, LONG_MS);
	assert_int_equal(mu_platform_list(p, "p/", "p/0", 5, &rows, &e), 0);
	assert_int_equal(rows.count, 1);
	assert_true(rows.more);
	assert_string_equal(rows.row[0].key, "p/1");
	assert_string_equal(rows.row[0].value, "v");
	mu_rows_clear(&rows);
	mu_platform_close(p);
	fake_stop(&f);
	assert_non_null(
	    strstr(f.last, "GET /table/rows?prefix=p/&after=p/0&limit=5 HTTP"));
}

static void
test_objects(void **state)
{
	static const struct fake_step steps[] = {
	    {ANSWER("201 Created", ""), FAKE_CLOSE},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na\nb", FAKE_HOLD},
	    {ANSWER("404 Not Found", ""), FAKE_CLOSE},
	    {"HTTP/1.1 204 No Content\r\n\r\n", FAKE_HOLD},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", FAKE_CLOSE}};
	struct mu_platform *p;
	struct mu_error e;
	struct fake f;
	char *data;
	size_t len;

	(void)state;
	fake_start(&f, steps, 5);
	p = open_at(f.addr, LONG_MS);
	assert_int_equal(mu_platform_put_object(p, "a/b", "x", 1, &e), 0);
	assert_int_equal(mu_platform_get_object(p, "a/b", &data, &len, &e), 0);
	assert_int_equal(len, 3);
	assert_memory_equal(data, "a\nb", 3);
	free(data);
	assert_int_equal(
	    mu_platform_get_object(p, "a", &data, &len, &e), MU_E_NOT_FOUND);
	assert_int_equal(mu_platform_delete_object(p, "a", &e), 0);
	assert_int_equal(mu_platform_get_object(p, "a", &data, &len, &e),
	    MU_E_PLATFORM_DOWN);
	mu_platform_close(p);
	fake_stop(&f);
}

static void
test_hosts(void **state)
{
	static const struct fake_step step = {
	    ANSWER("200 OK",
		"{\"hosts\":[{\"name\":\"a\",\"role\":\"entry\",\"state\":"
		"\"live\",\"addr\":\"127.0.0.1:1\",\"peer\":\"127.0.0.1:2\"},"
		"{\"name\":\"x\",\"role\":\"other\",\"state\":\"live\"},"
		"{\"name\":\"b\",\"role\":\"endpoint\",\"state\":\"retiring\","
		"\"addr\":\"127.0.0.1:3\",\"service\":\"pantry\"}]}"),
	    FAKE_CLOSE};
	struct mu_platform *p;
	struct mu_hosts h;
	struct mu_error e;
	struct fake f;

	(void)state;
	fake_start(&f, &step, 1);
	p = open_at(f.addr, LONG_MS);
	assert_int_equal(mu_platform_hosts(p, &h, &e), 0);
	assert_int_equal(h.count, 2);
	assert_int_equal(h.host[0].role, MU_HOST_ENTRY);
	assert_int_equal(h.host[0].state, MU_HOST_LIVE);
	assert_string_equal(h.host[0].peer, "127.0.0.1:2");
	assert_int_equal(h.host[1].state, MU_HOST_LEAVING);
	assert_string_equal(h.host[1].service, "pantry");
	mu_hosts_clear(&h);
	mu_platform_close(p);
	fake_stop(&f);
}

static void
test_answer_is_bounded(void **state)
{
	static const struct fake_step steps[] = {
	    {ANSWER("200 OK", "12345"), FAKE_CLOSE},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n"
	     "\r\n12345",
		FAKE_HOLD},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "7fffffffffffffff\r\n12345",
		FAKE_HOLD},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "ffffffffffffffff\r\n12345",
		FAKE_HOLD}};
	static const enum mu_http_result expected[] = {MU_HTTP_TOO_LARGE,
	    MU_HTTP_TOO_LARGE, MU_HTTP_TOO_LARGE, MU_HTTP_MALFORMED};
	struct mu_http_request q = {.method = "GET",
	    .target = "/",
	    .limits = {LONG_MS, LONG_MS, LONG_MS, LONG_MS},
	    .max_body = 4};
	struct mu_http_response r;
	struct fake f;
	size_t i;

	(void)state;
	fake_start(&f, steps, 4);
	q.addr = f.addr;
	for (i = 0; i < 4; i++) {
		mu_http_run(&q, &r);
		assert_int_equal(r.result, expected[i]);
		assert_int_equal(r.body_len, 0);
		mu_http_response_clear(&r);
	}
	fake_stop(&f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_commit_done),
	    cmocka_unit_test(test_commit_conflict),
	    cmocka_unit_test(test_commit_refused_is_not_run),
	    cmocka_unit_test(test_commit_connect_timeout_is_refused),
	    cmocka_unit_test(test_commit_without_whole_answer_is_unknown),
	    cmocka_unit_test(test_commit_to_deaf_server_ends),
	    cmocka_unit_test(test_commit_value_not_utf8_is_refused),
	    cmocka_unit_test(test_get_escapes_key),
	    cmocka_unit_test(test_list_in_chunks),
	    cmocka_unit_test(test_objects),
	    cmocka_unit_test(test_hosts),
	    cmocka_unit_test(test_answer_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
