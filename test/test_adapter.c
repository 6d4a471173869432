/* test_adapter.c -- row decoding and headers, also of malformed rows. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "adapter.h"

#define VALID_ENDPOINT \
	"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\"," \
	"\"slots\":8,\"state\":\"ready\",\"sequence\":4,\"born\":17}"

static Mu__StoreRow
make_row(const char *key, const char *value)
{
	Mu__StoreRow r = MU__STORE_ROW__INIT;

	r.key = (char *)(uintptr_t)key;
	r.value.data = (uint8_t *)(uintptr_t)value;
	r.value.len = strlen(value);
	return r;
}

static void
test_endpoint(void **state)
{
	Mu__StoreRow r = make_row("i-1", VALID_ENDPOINT);
	struct mu_target_info t;

	(void)state;
	assert_true(pf_read_endpoint(&r, &t));
	assert_string_equal(t.name, "i-1");
	assert_string_equal(t.service, "llm");
	assert_string_equal(t.addr, "10.0.0.1:80");
	assert_int_equal(t.slots, 8);
	assert_int_equal(t.born, 17);
	assert_false(t.leaving);
}

/* Rows that are not valid endpoint rows are rejected. */
static void
test_foreign_endpoints(void **state)
{
	static const char *const bad[] = {"", "{", "[]", "7", "\xff\xfe",
	    "{\"service\":\"llm\"}",
	    "{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\",\"sequence\":4}",
	    "{\"service\":\"llm\",\"address\":\"nowhere\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\",\"sequence\":4}",
	    "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":\"8\",\"state\":\"ready\",\"sequence\":4}",
	    "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"resting\",\"sequence\":4}",
	    "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\"}",
	    "{\"service\":\"llm\",\"address\":\"10.0.0.1:65616\",\"zone\":"
	    "\"z\","
	    "\"slots\":8,\"state\":\"ready\",\"sequence\":4}",
	    "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":4294967296,\"state\":\"ready\",\"sequence\":4}",
	    "{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":99999999999999999999,\"state\":\"ready\","
	    "\"sequence\":4}"};
	struct mu_target_info t;
	Mu__StoreRow r;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		r = make_row("i-1", bad[i]);
		assert_false(pf_read_endpoint(&r, &t));
	}
}

/* The key of an entry becomes the value of a header field. */
static void
test_endpoint_with_a_line_end_in_its_name(void **state)
{
	Mu__StoreRow r = make_row("i-1\r\nTenant: root", VALID_ENDPOINT);
	struct mu_target_info t;

	(void)state;
	assert_false(pf_read_endpoint(&r, &t));
}

/* A row truncated at any byte is rejected as a whole, without a crash. */
static void
test_torn_rows(void **state)
{
	char text[sizeof(VALID_ENDPOINT)];
	struct mu_target_info t;
	struct mu_routes *routes;
	struct mu_error e = {0};
	Mu__StoreRow r;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(VALID_ENDPOINT); i++) {
		memcpy(text, VALID_ENDPOINT, sizeof(VALID_ENDPOINT));
		text[i] = '\0';
		r = make_row("i-1", text);
		if (i < sizeof(VALID_ENDPOINT) - 1)
			assert_false(pf_read_endpoint(&r, &t));
		routes = pf_read_routes(&r, &e);
		assert_null(routes);
	}
}

static void
test_routes(void **state)
{
	static const char text[] =
	    "{\"version\":7,\"routes\":["
	    "{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/a/\","
	    "\"type\":\"safe\",\"service\":\"app\",\"timeout_ms\":1200.0},"
	    "{\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/a/b/\","
	    "\"type\":\"streaming\",\"keeps_history\":true,"
	    "\"retention_s\":60.0,\"backends\":["
	    "{\"service\":\"x\",\"weight\":90},"
	    "{\"service\":\"y\",\"weight\":10}]}],"
	    "\"services\":[{\"name\":\"app\",\"max_connections\":100},"
	    "{\"name\":\"x\",\"engine\":{\"chunk_tokens\":17,\"slots\":8}}],"
	    "\"limits\":{\"idle_timeout_ms\":9000}}";
	Mu__StoreRow r = make_row("config", text);
	struct mu_error e = {0};
	struct mu_routes *t = pf_read_routes(&r, &e);
	unsigned i, y = 0;

	(void)state;
	assert_non_null(t);
	assert_int_equal(t->version, 7);
	assert_string_equal(mu_routes_find(t, "h", "/a/x")->name, "a");
	assert_string_equal(mu_routes_find(t, "H", "/a/b/c")->name, "b");
	assert_null(mu_routes_find(t, "h", "/ab"));
	assert_null(mu_routes_find(t, "g", "/a/x"));
	assert_int_equal(mu_routes_find(t, "h", "/a/x")->timeout_ms, 1200);
	assert_int_equal(mu_routes_find(t, "h", "/a/x")->max_endpoints, 1);
	assert_true(mu_routes_find(t, "h", "/a/b/c")->keeps_history);
	assert_int_equal(
	    mu_routes_find(t, "h", "/a/b/c")->keep, 60 * MU_US_PER_S);
	assert_int_equal(mu_routes_service(t, "x")->tokens_per_event, 17);
	for (i = 0; i < 1000; i++)
		y += strcmp(mu_route_pick_service(
				mu_routes_find(t, "h", "/a/b/c"), i),
			 "y") == 0;
	assert_int_equal(y, 100);
	mu_routes_unref(t);
}

/* Guards against services that are taken to have less urgent programs, or not,
 * by routes that start no programs, by other services' routes, or by the last
 * route instead of the least urgent one. */
static void
test_least_urgent_route_of_a_service(void **state)
{
	static const char text[] =
	    "{\"version\":7,\"routes\":["
	    "{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/a/\","
	    "\"type\":\"streaming\",\"service\":\"x\",\"priority\":3},"
	    "{\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/b/\","
	    "\"type\":\"streaming\",\"priority\":2,\"backends\":["
	    "{\"service\":\"x\",\"weight\":90},"
	    "{\"service\":\"y\",\"weight\":10},"
	    "{\"service\":\"undeclared\",\"weight\":10}]},"
	    "{\"name\":\"c\",\"host\":\"h\",\"path_prefix\":\"/c/\","
	    "\"type\":\"safe\",\"service\":\"y\",\"priority\":9},"
	    "{\"name\":\"d\",\"host\":\"h\",\"path_prefix\":\"/d/\","
	    "\"type\":\"unsafe\",\"service\":\"z\",\"priority\":9},"
	    "{\"name\":\"e\",\"host\":\"h\",\"path_prefix\":\"/e/\","
	    "\"type\":\"streaming\",\"service\":\"w\"}],"
	    "\"services\":[{\"name\":\"x\"},{\"name\":\"y\"},{\"name\":\"z\"},"
	    "{\"name\":\"w\"},{\"name\":\"unused\"}]}";
	Mu__StoreRow r = make_row("config", text);
	struct mu_error e = {0};
	struct mu_routes *t = pf_read_routes(&r, &e);

	(void)state;
	assert_non_null(t);
	mu_routes_index(t);
	assert_int_equal(mu_routes_service(t, "x")->least_urgent, 3);
	assert_int_equal(mu_routes_service(t, "y")->least_urgent, 2);
	assert_int_equal(mu_routes_service(t, "z")->least_urgent, 0);
	assert_int_equal(mu_routes_service(t, "w")->least_urgent, 0);
	assert_int_equal(mu_routes_service(t, "unused")->least_urgent, 0);
	mu_routes_unref(t);
}

static void
test_unknown_kind_is_refused_whole(void **state)
{
	Mu__StoreRow r = make_row("config",
	    "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
	    "\"path_prefix\":\"/a/\",\"type\":\"maybe\",\"service\":\"s\"}],"
	    "\"services\":[]}");
	struct mu_error e = {0};

	(void)state;
	assert_null(pf_read_routes(&r, &e));
}

#define WITH_CUSTOMERS(list) \
	"{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":" list "}"

static void
test_customers(void **state)
{
	Mu__StoreRow r = make_row("config",
	    WITH_CUSTOMERS("[{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"],"
			   "\"priority\":1,\"rate_per_s\":44.5,"
			   "\"burst\":9},{\"name\":\"b\"}]"));
	struct mu_error e = {0};
	struct mu_routes *t = pf_read_routes(&r, &e);
	const struct mu_customer *c;

	(void)state;
	assert_non_null(t);
	c = mu_customers_by_key(t->customers, "k2");
	assert_string_equal(c->name, "a");
	assert_true(c->has_priority);
	assert_int_equal(c->priority, 1);
	assert_true(c->rate == 44.5 && c->burst == 9);
	c = mu_customers_by_name(t->customers, "b");
	assert_false(c->has_priority);
	assert_true(c->rate == 0);
	mu_routes_unref(t);
}

/* An invalid list rejects the whole configuration, with a typed error that
 * shows no key. */
static void
test_invalid_customers(void **state)
{
	static const char *const bad[] = {WITH_CUSTOMERS("7"),
	    WITH_CUSTOMERS("[7]"), WITH_CUSTOMERS("[{\"api_keys\":[]}]"),
	    WITH_CUSTOMERS("[{\"name\":\"a\"},{\"name\":\"a\"}]"),
	    WITH_CUSTOMERS("[{\"name\":\"a\",\"api_keys\":\"secret\"}]"),
	    WITH_CUSTOMERS("[{\"name\":\"a\",\"api_keys\":[7]}]"),
	    WITH_CUSTOMERS("[{\"name\":\"a\",\"api_keys\":[\"\"]}]"),
	    WITH_CUSTOMERS("[{\"name\":\"a\",\"api_keys\":[\"secret\"]},"
			   "{\"name\":\"b\",\"api_keys\":[\"secret\"]}]"),
	    WITH_CUSTOMERS("[{\"name\":\"a\",\"rate_per_s\":-1}]"),
	    WITH_CUSTOMERS("[{\"name\":\"a\",\"burst\":\"9\"}]"),
	    WITH_CUSTOMERS("[{\"name\":\"a\",\"priority\":-1}]"),
	    WITH_CUSTOMERS("[{\"name\":\"a b\"}]")};
	struct mu_error e;
	Mu__StoreRow r;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		r = make_row("config", bad[i]);
		e = (struct mu_error){0};
		assert_null(pf_read_routes(&r, &e));
		assert_int_equal(e.type, MU_E_CONFIG_INVALID);
		assert_null(strstr(e.message, "secret"));
	}
}

static void
test_answer_headers(void **state)
{
	static const struct mu_header h[] = {{"request-id", "r1"},
	    {"Instance-Load", "3,2,8"}, {"Server-Signature", "s"},
	    {"Not-Executed", "1"}};
	struct mu_up_head head = {421, false, h, 4};
	struct mu_answer_head a;

	(void)state;
	pf_adapter.read_answer(&head, &a);
	assert_string_equal(a.request, "r1");
	assert_true(
	    a.not_run && a.has_digest && a.has_load && a.wrong_endpoint);
	assert_int_equal(a.running, 3);
	assert_int_equal(a.waiting, 2);
	assert_int_equal(a.slots, 8);
	head.status = 200;
	pf_adapter.read_answer(&head, &a);
	assert_false(a.not_run); /* a success has run */
	head.nheaders = 0;
	pf_adapter.read_answer(&head, &a);
	assert_false(
	    a.not_run || a.has_digest || a.has_load || a.wrong_endpoint);
}

static void
test_send_headers(void **state)
{
	struct mu_request_head h = {"i-1", 900, NULL, NULL};
	struct mu_buf b = {0};

	(void)state;
	assert_int_equal(pf_adapter.write_request_headers(&b, &h), 0);
	assert_string_equal(
	    mu_buf_data(&b), "Deadline-Ms: 900\r\nExpect-Instance: i-1\r\n");
	mu_buf_consume(&b, mu_buf_len(&b));
	h.last_event = "4";
	assert_int_equal(pf_adapter.write_request_headers(&b, &h), 0);
	assert_non_null(strstr(mu_buf_data(&b), "Last-Event-Id: 4\r\n"));
	mu_buf_consume(&b, mu_buf_len(&b));
	h.customer = "c1";
	assert_int_equal(pf_adapter.write_request_headers(&b, &h), 0);
	assert_non_null(strstr(mu_buf_data(&b), "Tenant: c1\r\n"));
	mu_buf_clear(&b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_endpoint),
	    cmocka_unit_test(test_foreign_endpoints),
	    cmocka_unit_test(test_endpoint_with_a_line_end_in_its_name),
	    cmocka_unit_test(test_torn_rows),
	    cmocka_unit_test(test_routes),
	    cmocka_unit_test(test_least_urgent_route_of_a_service),
	    cmocka_unit_test(test_unknown_kind_is_refused_whole),
	    cmocka_unit_test(test_customers),
	    cmocka_unit_test(test_invalid_customers),
	    cmocka_unit_test(test_answer_headers),
	    cmocka_unit_test(test_send_headers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
