/*
 * test_standin.c -- stand-ins for the platform, a plain service and the relay,
 * and the process helpers.
 *
 * The failure tests rely on the stand-ins: if a fault were not injected, they
 * would pass without testing anything.
 */
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "proc.h"

#define WRITERS 8
#define INCREMENTS 20 /* per writer */
#define NEVER_MS 3600000 /* longer than any test */
#define TEXT_MAX 4096

static char addr[PROC_ADDR_LEN], fault[PROC_ADDR_LEN];

/* Starts a stand-in with one option, or with none if opt is NULL. */
static struct proc *
start_standin(const char *prog, const char *opt, const char *value)
{
	return proc_standin(
	    prog, addr, fault, (const char *[]){opt, value, NULL});
}

/* Posts JSON text with single quotes; returns the status.  out may be NULL. */
static int
post(const char *path, const char *text, json_t **out)
{
	json_t *r, *body = json_quoted(text);
	int status;

	assert_non_null(body);
	r = http_post(addr, path, NULL, body, &status);
	if (out != NULL)
		*out = r;
	else
		json_decref(r);
	return status;
}

/* Writes one row; returns the status. */
static int
put(const char *key, const char *value)
{
	json_t *r =
	    json_pack("{s:[{s:s,s:s}]}", "puts", "key", key, "value", value);
	int status;

	json_decref(http_post(addr, "/table/txn", NULL, r, &status));
	return status;
}

static json_int_t
get_int(const char *path, const char *key)
{
	json_t *r = http_get(addr, path, NULL, NULL);
	json_int_t n = json_integer_value(json_object_get(r, key));

	json_decref(r);
	return n;
}

/* Platform */

static void
test_txn_is_all_or_nothing(void **state)
{
	json_t *r;

	(void)state;
	start_standin("standin-platform", NULL, NULL);
	assert_int_equal(post("/table/txn",
			     "{'checks':[{'key':'a','rev':0}],'puts':[{'key':'"
			     "a','value':'1'}]}",
			     &r),
	    200);
	assert_int_equal(json_integer_value(json_object_get(r, "rev")), 1);
	json_decref(r);
	assert_int_equal(
	    post("/table/txn",
		"{'checks':[{'key':'b','rev':0},{'key':'a','rev':7}],'puts':[{'"
		"key':'b','value':'2'}],'deletes':['a']}",
		&r),
	    409);
	assert_string_equal(json_string_value(json_object_get(r, "key")), "a");
	assert_int_equal(json_integer_value(json_object_get(r, "rev")), 1);
	json_decref(r);
	assert_int_equal(get_int("/table/row?key=a", "rev"), 1);
	assert_int_equal(get_int("/table/row?key=b", "rev"), 0);
}

static void
test_deleted_row_never_shows_an_old_revision(void **state)
{
	(void)state;
	start_standin("standin-platform", NULL, NULL);
	put("a", "1");
	post("/table/txn", "{'deletes':['a']}", NULL);
	assert_int_equal(get_int("/table/row?key=a", "rev"), 0);
	put("a", "1");
	assert_int_equal(get_int("/table/row?key=a", "rev"), 3);
}

static void
check_rows(const char *path, const char *want, bool more)
{
	json_t *r = http_get(addr, path, NULL, NULL), *v;
	char keys[64] = "";
	size_t i, n;

	json_array_foreach (json_object_get(r, "rows"), i, v) {
		n = strlen(keys);
		snprintf(keys + n, sizeof(keys) - n, "%s ",
		    json_string_value(json_object_get(v, "key")));
	}
	assert_string_equal(keys, want);
	assert_int_equal(json_is_true(json_object_get(r, "more")), more);
	json_decref(r);
}

static void
test_rows_are_listed_in_key_order(void **state)
{
	(void)state;
	start_standin("standin-platform", NULL, NULL);
	put("p/3", "");
	put("q", "");
	put("p/1", "");
	put("p/2", "");
	put("o", "");
	check_rows("/table/rows?prefix=p%2F", "p/1 p/2 p/3 ", false);
	check_rows("/table/rows?prefix=p%2F&limit=2", "p/1 p/2 ", true);
	check_rows(
	    "/table/rows?prefix=p%2F&after=p%2F2&limit=2", "p/3 ", false);
}

/* Increments the row's value INCREMENTS times by compare-and-swap. */
static void *
increment(void *arg)
{
	char buf[160];
	int done = 0;
	json_t *r;

	(void)arg;
	while (done < INCREMENTS) {
		r = http_get(addr, "/table/row?key=n", NULL, NULL);
		const char *v = json_string_value(json_object_get(r, "value"));
		json_int_t rev = json_integer_value(json_object_get(r, "rev"));

		snprintf(buf, sizeof(buf),
		    "{'checks':[{'key':'n','rev':%lld}],'puts':[{'key':'n','"
		    "value':'%ld'}]}",
		    (long long)rev, v == NULL ? 1 : strtol(v, NULL, 10) + 1);
		json_decref(r);
		if (post("/table/txn", buf, NULL) == 200)
			done++;
	}
	return NULL;
}

static void
test_transactions_are_serializable(void **state)
{
	pthread_t t[WRITERS];
	char want[16];
	json_t *r;
	int i;

	(void)state;
	start_standin("standin-platform", NULL, NULL);
	for (i = 0; i < WRITERS; i++)
		pthread_create(&t[i], NULL, increment, NULL);
	for (i = 0; i < WRITERS; i++)
		pthread_join(t[i], NULL);
	snprintf(want, sizeof(want), "%d", WRITERS * INCREMENTS);
	r = http_get(addr, "/table/row?key=n", NULL, NULL);
	assert_string_equal(
	    json_string_value(json_object_get(r, "value")), want);
	json_decref(r);
}

static void
test_lost_answer_was_written(void **state)
{
	(void)state;
	start_standin("standin-platform", NULL, NULL);
	fault_set(fault, "{s:i,s:s}", "lose_answers", 1, "match", "\"a\"");
	assert_int_equal(put("b", "1"), 200);
	assert_int_equal(put("a", "1"), 0);
	assert_int_equal(get_int("/table/row?key=a", "rev"), 2);
	assert_int_equal(put("a", "2"), 200);
}

static void
test_refused_and_down_do_not_run(void **state)
{
	(void)state;
	start_standin("standin-platform", NULL, NULL);
	fault_set(fault, "{s:b}", "refuse", 1);
	assert_int_equal(put("a", "1"), 503);
	fault_set(fault, "{s:b,s:b}", "refuse", 0, "down", 1);
	assert_int_equal(put("a", "1"), 0);
	fault_set(fault, "{s:b}", "reset", 1);
	assert_int_equal(get_int("/table/row?key=a", "rev"), 0);
}

static size_t
count_listed_hosts(void)
{
	json_t *r = http_get(addr, "/hosts", NULL, NULL);
	size_t n = json_array_size(json_object_get(r, "hosts"));

	json_decref(r);
	return n;
}

static void
test_host_list_lags(void **state)
{
	(void)state;
	start_standin("standin-platform", NULL, NULL);
	fault_set(fault, "{s:i}", "host_lag_ms", NEVER_MS);
	json_decref(http_post(
	    fault, "/hosts", NULL, json_pack("{s:[{}]}", "hosts"), NULL));
	assert_int_equal(count_listed_hosts(), 0);
	fault_set(fault, "{s:i}", "host_lag_ms", 0);
	assert_int_equal(count_listed_hosts(), 1);
}

/* Connections */

#define KEEP_ALIVE_GET "GET /hosts HTTP/1.1\r\nHost: x\r\n\r\n"

static bool
nothing_received(int fd)
{
	struct pollfd p = {fd, POLLIN | POLLRDHUP, 0};

	return poll(&p, 1, 0) == 0;
}

static void
test_freeze_strikes_open_connections_only(void **state)
{
	char buf[TEXT_MAX];
	int fd;

	(void)state;
	start_standin("standin-platform", NULL, NULL);
	fd = http_open(addr, KEEP_ALIVE_GET);
	assert_true(recv(fd, buf, sizeof(buf), 0) > 0);
	fault_set(fault, "{s:b}", "freeze", 1);
	assert_int_equal(send(fd, KEEP_ALIVE_GET, strlen(KEEP_ALIVE_GET), 0),
	    strlen(KEEP_ALIVE_GET));
	assert_int_equal(count_listed_hosts(), 0);
	assert_int_equal(fault_count(fault, "host_reads"), 2);
	assert_true(nothing_received(fd));
	fault_set(fault, "{s:b}", "cut", 1);
	assert_int_equal(recv(fd, buf, sizeof(buf), 0), 0);
	close(fd);
}

static void
test_crash_on_ends_the_process(void **state)
{
	struct proc *p;

	(void)state;
	p = start_standin("standin-service", NULL, NULL);
	fault_set(fault, "{s:s}", "crash_on", "bad cure");
	assert_int_equal(post("/call", "{'operation':'x'}", NULL), 400);
	assert_int_equal(post("/call", "{'operation':'bad cure'}", NULL), 0);
	assert_int_equal(proc_wait(p), 1);
	proc_restart(p);
	proc_ready(p);
}

/* Service */

static void
test_service_counts_each_execution(void **state)
{
	const char *call = "{'request_id':'r1','program':'p','seq':3,'epoch':2,"
			   "'operation':'ship_kit','input':7}";
	json_t *r;

	(void)state;
	start_standin("standin-service", NULL, NULL);
	fault_set(fault, "{s:i}", "lose_answers", 1);
	assert_int_equal(post("/call", call, NULL), 0);
	assert_int_equal(fault_run_count(fault, "p", 3), 1);
	fault_set(fault, "{s:i}", "fail_answers", 1);
	assert_int_equal(post("/call", call, NULL), 500);
	assert_int_equal(post("/call", call, &r), 200);
	assert_int_equal(json_integer_value(json_object_get(
			     json_object_get(r, "output"), "n")),
	    3);
	json_decref(r);
}

static void
test_fencing_is_honoured_only_if_set(void **state)
{
	const char *call = "{'request_id':'r','program':'p','seq':1,'epoch':%d,"
			   "'operation':'x'}";
	char old[TEXT_MAX], new[TEXT_MAX];

	(void)state;
	start_standin("standin-service", NULL, NULL);
	snprintf(old, sizeof(old), call, 4);
	snprintf(new, sizeof(new), call, 5);
	assert_int_equal(post("/call", new, NULL), 200);
	assert_int_equal(post("/call", old, NULL), 200);
	fault_set(fault, "{s:s}", "fencing", "honour");
	assert_int_equal(post("/call", old, NULL), 412);
	assert_int_equal(post("/call", new, NULL), 200);
	assert_int_equal(fault_run_count(fault, NULL, 0), 3);
}

/* Relay */

static void
test_wire_freezes_cuts_and_refuses(void **state)
{
	char to[PROC_ADDR_LEN], buf[TEXT_MAX], platform[PROC_ADDR_LEN];
	struct http_req q = {.method = "GET", .path = "/hosts", .addr = addr};
	struct http_res r;
	int fd;

	(void)state;
	start_standin("standin-platform", NULL, NULL);
	memcpy(to, addr, sizeof(to));
	memcpy(platform, fault, sizeof(platform));
	start_standin("standin-wire", "--to", to);
	fd = http_open(addr, KEEP_ALIVE_GET);
	assert_true(recv(fd, buf, sizeof(buf), 0) > 0);
	fault_set(fault, "{s:b}", "freeze", 1);
	send(fd, KEEP_ALIVE_GET, strlen(KEEP_ALIVE_GET), 0);
	assert_int_equal(count_listed_hosts(), 0);
	assert_int_equal(fault_count(platform, "host_reads"), 2);
	assert_true(nothing_received(fd));
	fault_set(fault, "{s:b,s:b}", "cut", 1, "down", 1);
	assert_int_equal(recv(fd, buf, sizeof(buf), 0), 0);
	close(fd);
	http_run(&q, &r);
	assert_false(r.connected);
	fault_set(fault, "{s:b}", "reset", 1);
	assert_int_equal(count_listed_hosts(), 0);
	assert_int_equal(fault_count(platform, "host_reads"), 3);
}

/* Processes */

static void
test_paused_process_answers_after_it_resumes(void **state)
{
	struct http_req q = {
	    .method = "GET", .path = "/hosts", .addr = addr, .limit_ms = 100};
	struct http_res r;
	struct proc *p;

	(void)state;
	p = start_standin("standin-platform", NULL, NULL);
	proc_pause(p);
	http_run(&q, &r);
	assert_true(r.connected);
	assert_int_equal(r.status, 0);
	proc_resume(p);
	assert_int_equal(count_listed_hosts(), 0);
	proc_term(p);
	assert_int_equal(proc_wait(p), 0);
}

static void
test_cluster_has_endpoints_behind_relays(void **state)
{
	struct cluster_conf conf;
	struct cluster *c;
	json_t *r;

	(void)state;
	cluster_defaults(&conf);
	conf.engines = 2;
	conf.services = 1;
	conf.relays = CLUSTER_RELAY_ENDPOINT;
	c = cluster_start_conf(&conf);
	memcpy(addr, c->platform.addr, sizeof(addr));
	assert_int_equal(count_listed_hosts(), 3);
	c->engine[1].state = UNIT_REMOVED;
	cluster_hosts(c);
	assert_int_equal(count_listed_hosts(), 2);
	r = http_get(c->engine[0].relay_addr, "/v1/held", NULL, NULL);
	assert_non_null(json_object_get(r, "held"));
	json_decref(r);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_txn_is_all_or_nothing),
	    TEST(test_deleted_row_never_shows_an_old_revision),
	    TEST(test_rows_are_listed_in_key_order),
	    TEST(test_transactions_are_serializable),
	    TEST(test_lost_answer_was_written),
	    TEST(test_refused_and_down_do_not_run),
	    TEST(test_host_list_lags),
	    TEST(test_freeze_strikes_open_connections_only),
	    TEST(test_crash_on_ends_the_process),
	    TEST(test_service_counts_each_execution),
	    TEST(test_fencing_is_honoured_only_if_set),
	    TEST(test_wire_freezes_cuts_and_refuses),
	    TEST(test_paused_process_answers_after_it_resumes),
	    TEST(test_cluster_has_endpoints_behind_relays),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
