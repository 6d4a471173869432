/*
 * fault_silent.c -- connections that stall forever while new ones work.
 *
 * Tests the daemon's connections to callers, other daemons, endpoints and the
 * platform.  A frozen relay acknowledges bytes at the TCP level but forwards
 * none, so only the daemon's own timeouts can detect it.  Operations in
 * progress are completed over a new connection, and other requests must not
 * be affected.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "proc.h"
#include "proc_call.h"
#include "proc_stream.h"

#define ANSWER_TOKENS 12
#define SLOW_TOKEN_MS 150 /* keeps a stream open while faults are injected */
#define SERVICE_TIME_MS 3000 /* of a plain call that is interrupted */
#define ANSWER_TIMEOUT_MS 1000 /* first byte and idle, of endpoints */
#define PLATFORM_DELAY_MS 400 /* for each response */
#define FREEZES 40 /* in sequence, for longer than PLATFORM_DELAY_MS */
#define HISTORY_BYTES 900000
/* Responses of HISTORY_BYTES each, together more than any socket buffer. */
#define UNREAD_REQUESTS 12
#define STUCK_CONNECTIONS 8 /* of each kind */
#define TCP_ESTABLISHED 1
#define TCP_CLOSE_WAIT 8

static struct cluster *
start_with_relays(unsigned relays, int daemons, int engines, int services)
{
	struct cluster_conf conf;
	struct cluster *c;
	char line[128];

	cluster_defaults(&conf);
	conf.daemons = daemons;
	conf.engines = engines;
	conf.services = services;
	conf.relays = relays;
	if (relays & CLUSTER_RELAY_PLATFORM)
		conf.lease_ms = 5000;
	c = cluster_start_conf(&conf);
	(void)snprintf(line, sizeof(line),
	    "  timeouts: {first_byte_ms: %d, idle_ms: %d}\n",
	    relays & CLUSTER_RELAY_ENDPOINT ? ANSWER_TIMEOUT_MS
					    : 2 * SERVICE_TIME_MS,
	    ANSWER_TIMEOUT_MS);
	cluster_apply_with_line(c, line);
	return c;
}

static void
freeze_relay(const char *fault)
{
	fault_set(fault, "{s:b}", "freeze", 1);
}

/*
 * Callers.
 */

/* Counts the open connections of a local address in the kernel's table. */
static unsigned
connections(const char *addr)
{
	char ip[PROC_ADDR_LEN], want[32], line[512], local[64];
	unsigned state, n = 0;
	in_addr_t number;
	FILE *f;

	(void)snprintf(ip, sizeof(ip), "%s", addr);
	*strchr(ip, ':') = '\0';
	number = inet_addr(ip);
	(void)snprintf(want, sizeof(want), "%08X:%04X", number,
	    (unsigned)strtoul(strchr(addr, ':') + 1, NULL, 10));
	f = fopen("/proc/net/tcp", "r");
	assert_non_null(f);
	while (fgets(line, sizeof(line), f) != NULL)
		if (sscanf(line, "%*s %63s %*s %x", local, &state) == 2 &&
		    strcmp(local, want) == 0 &&
		    (state == TCP_ESTABLISHED || state == TCP_CLOSE_WAIT))
			n++;
	(void)fclose(f);
	return n;
}

static bool
no_connection(void *addr)
{
	return connections(addr) == 0;
}

/* Makes a call whose history exceeds a socket buffer. */
static void
grow_history(struct cluster *c, const char *id)
{
	char path[128], *body = malloc(HISTORY_BYTES + 256);
	struct http_req q = {0};
	struct http_res r;
	size_t n;

	assert_non_null(body);
	n = (size_t)sprintf(body,
	    "{\"seq\":1,\"service\":\"smokehouse\",\"input\":{\"max_tokens\":"
	    "8,\"messages\":[{\"role\":\"user\",\"content\":\"");
	memset(body + n, 'x', HISTORY_BYTES);
	n += HISTORY_BYTES;
	(void)sprintf(body + n, "\"}]}}");
	(void)snprintf(path, sizeof(path), "/v1/programs/%s/calls", id);
	q.method = "POST";
	q.addr = c->daemon[0].addr;
	q.path = path;
	q.bearer = CLUSTER_CALLER_KEY;
	q.body = body;
	q.len = strlen(body);
	http_run(&q, &r);
	assert_int_equal(r.status, 200);
	http_clear(&r);
	free(body);
}

/* Requests the program repeatedly without reading the responses. */
static int
request_without_reading(const char *addr, const char *id)
{
	char get[256], all[UNREAD_REQUESTS * 256] = "";
	int i, fd;

	(void)snprintf(get, sizeof(get),
	    "GET /v1/programs/%s HTTP/1.1\r\nHost: x\r\n"
	    "Authorization: Bearer " CLUSTER_CALLER_KEY "\r\n\r\n",
	    id);
	for (i = 0; i < UNREAD_REQUESTS; i++)
		strncat(all, get, sizeof(all) - strlen(all) - 1);
	fd = http_open(addr, all);
	assert_int_not_equal(fd, -1);
	return fd;
}

static void
test_callers(void **state)
{
	static const char half_head[] = "POST /v1/programs HTTP/1.1\r\nHos";
	static const char half_body[] =
	    "POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
	    "Authorization: Bearer " CLUSTER_CALLER_KEY "\r\n\r\n{";
	char relay[PROC_ADDR_LEN], fault[PROC_ADDR_LEN], id[CALL_ID_LEN];
	int fd[3 * STUCK_CONNECTIONS], i, n = 0;
	struct cluster *c;
	struct stream s;
	struct caller k;
	struct unit *d;

	(void)state;
	c = call_cluster(1, 2, 1);
	d = &c->daemon[0];
	(void)proc_standin("standin-wire", relay, fault,
	    (const char *[]){"--to", d->addr, NULL});
	call_program(c, id);
	grow_history(c, id);
	for (i = 0; i < STUCK_CONNECTIONS; i++) {
		fd[n++] = http_open(d->addr, half_head);
		fd[n++] = http_open(d->addr, half_body);
		fd[n++] = request_without_reading(d->addr, id);
	}
	engines_set(c, "token_ms", SLOW_TOKEN_MS);
	stream_open(&s, relay, id, 2, "frozen", ANSWER_TOKENS);
	stream_until(&s, 2);
	freeze_relay(fault);
	assert_true(connections(d->addr) > 3 * STUCK_CONNECTIONS);
	/* Other calls are not delayed. */
	call_start(&k, d, id, 3);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	http_clear(&k.res);
	assert_int_equal(engines_run_count(c, id, 2), 1);
	proc_until("close of all connections", no_connection, d->addr);
	for (i = 0; i < n; i++)
		close(fd[i]);
	stream_close(&s);
	call_start(&k, d, id, 4);
	call_end(&k);
	assert_string_equal(call_outcome(&k), "done");
	http_clear(&k.res);
}

/*
 * Daemons.
 */

static void
freeze_peer_relays(struct cluster *c)
{
	int i;

	for (i = 0; i < c->conf.daemons; i++)
		freeze_relay(c->daemon[i].relay_fault);
}

/* A forwarded call completes over a new link and is executed once. */
static void
test_peer_link(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct caller k[3], repeated;
	char id[3][CALL_ID_LEN];
	int i;

	(void)state;
	c = start_with_relays(CLUSTER_RELAY_PEER, 2, 1, 2);
	for (i = 0; i < c->conf.services; i++)
		fault_set(
		    c->service[i].fault, "{s:i}", "work_ms", SERVICE_TIME_MS);
	for (i = 0; i < 3; i++) {
		call_program(c, id[i]);
		(void)call_owner(c, id[i], &other);
		call_start(&k[i], other, id[i], 1);
	}
	for (i = 0; i < 3; i++)
		call_until_run(c, id[i], 1);
	freeze_peer_relays(c);
	for (i = 0; i < 3; i++) {
		call_end(&k[i]);
		assert_string_equal(call_outcome(&k[i]), "done");
		assert_int_equal(call_run_count(c, id[i], 1), 1);
		owner = call_owner(c, id[i], &other);
		call_until_final(&repeated, owner, id[i], 1);
		assert_string_equal(repeated.res.body, k[i].res.body);
		http_clear(&repeated.res);
		http_clear(&k[i].res);
	}
}

static void
test_peer_link_stream(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	struct stream s;
	char id[CALL_ID_LEN], *text;
	json_t *last;

	(void)state;
	c = start_with_relays(CLUSTER_RELAY_PEER, 2, 1, 1);
	engines_set(c, "token_ms", SLOW_TOKEN_MS);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	stream_open(&s, other->addr, id, 1, "over two links", ANSWER_TOKENS);
	stream_until(&s, 2);
	freeze_peer_relays(c);
	stream_drain(&s);
	last = stream_last(&s);
	text = stream_text(&s);
	assert_string_equal(
	    json_string_value(json_object_get(last, "output")), text);
	assert_int_equal(engines_run_count(c, id, 1), 1);
	assert_ptr_equal(call_owner(c, id, &other), owner);
	free(text);
	json_decref(last);
	stream_close(&s);
}

/*
 * Endpoints.
 */

static void
test_engine(void **state)
{
	struct cluster *c;
	struct stream s;
	struct unit *first;
	char id[CALL_ID_LEN], *text;
	json_t *last;
	int i;

	(void)state;
	c = start_with_relays(CLUSTER_RELAY_ENDPOINT, 2, 2, 1);
	engines_set(c, "token_ms", SLOW_TOKEN_MS);
	call_program(c, id);
	stream_open(
	    &s, c->daemon[0].addr, id, 1, "on two engines", ANSWER_TOKENS);
	stream_until(&s, 3);
	first = engine_of(c, id, 1);
	freeze_relay(first->relay_fault);
	stream_drain(&s);
	last = stream_last(&s);
	text = stream_text(&s);
	assert_string_equal(
	    json_string_value(json_object_get(last, "output")), text);
	for (i = 0; i < 2; i++)
		assert_int_equal(fault_run_count(c->engine[i].fault, id, 1), 1);
	free(text);
	json_decref(last);
	stream_close(&s);
}

static void
test_plain_once(void **state)
{
	struct cluster *c;
	struct caller k, repeated;
	char id[CALL_ID_LEN];
	int i;

	(void)state;
	c = start_with_relays(CLUSTER_RELAY_ENDPOINT, 2, 1, 2);
	for (i = 0; i < 2; i++)
		fault_set(c->service[i].fault, "{s:i}", "work_ms",
		    ANSWER_TIMEOUT_MS / 2);
	call_program(c, id);
	call_start(&k, &c->daemon[0], id, 1);
	call_until_run(c, id, 1);
	for (i = 0; i < 2; i++)
		freeze_relay(c->service[i].relay_fault);
	call_end(&k);
	assert_string_equal(call_error(&k), "result_unknown");
	call_until_final(&repeated, &c->daemon[1], id, 1);
	assert_string_equal(repeated.res.body, k.res.body);
	assert_int_equal(call_run_count(c, id, 1), 1);
	http_clear(&k.res);
	http_clear(&repeated.res);
	/* New connections work. */
	call_until_final(&k, &c->daemon[1], id, 2);
	assert_string_equal(call_outcome(&k), "done");
	assert_int_equal(call_run_count(c, id, 2), 1);
	http_clear(&k.res);
}

/*
 * The platform.
 */

static json_int_t
epoch_of(const struct unit *d, const char *program)
{
	char path[128];
	json_int_t epoch;
	json_t *j;

	(void)snprintf(path, sizeof(path), "/v1/explain/%s", program);
	j = http_get(d->oper, path, CLUSTER_OPERATOR_KEY, NULL);
	epoch = json_integer_value(json_object_get(j, "epoch"));
	json_decref(j);
	return epoch;
}

/*
 * Makes one call while the owner's link to the platform stalls: from the start
 * (odd seq) or during the execution (even seq).  The call is done or reported
 * as not run, and after retries it has been executed exactly once.
 */
static void
call_over_frozen_link(struct cluster *c, const struct unit *owner,
    const struct unit *other, const char *id, int seq)
{
	struct caller k, repeated;
	int i;

	call_start(&k, other, id, seq);
	if (seq % 2 == 0)
		call_until_run(c, id, seq);
	/* Repeated so that writes that start later are also in flight. */
	for (i = 0; i < FREEZES; i++) {
		freeze_relay(owner->platform_relay_fault);
		proc_sleep_ms(PROC_POLL_MS);
	}
	call_end(&k);
	if (seq % 2 == 0)
		assert_string_equal(call_outcome(&k), "done");
	if (strcmp(call_outcome(&k), "not_run") == 0)
		assert_int_equal(call_run_count(c, id, seq), 0);
	call_until_final(&repeated, owner, id, seq);
	assert_string_equal(call_outcome(&repeated), "done");
	assert_int_equal(call_run_count(c, id, seq), 1);
	http_clear(&repeated.res);
	http_clear(&k.res);
}

/* Repeatedly, writes to the platform are in flight when its link stalls. */
static void
test_platform(void **state)
{
	struct unit *owner, *other;
	struct cluster *c;
	char id[CALL_ID_LEN];
	json_int_t epoch;
	int i, seq;

	(void)state;
	c = start_with_relays(CLUSTER_RELAY_PLATFORM, 2, 1, 2);
	for (i = 0; i < 2; i++)
		fault_set(c->service[i].fault, "{s:i}", "work_ms", 500);
	call_program(c, id);
	owner = call_owner(c, id, &other);
	epoch = epoch_of(owner, id);
	fault_set(c->platform.fault, "{s:i}", "slow_ms", PLATFORM_DELAY_MS);
	for (seq = 1; seq <= 6; seq++)
		call_over_frozen_link(c, owner, other, id, seq);
	fault_set(c->platform.fault, "{s:b}", "reset", 1);
	/* The lease was held throughout. */
	assert_ptr_equal(call_owner(c, id, &other), owner);
	assert_int_equal(epoch_of(owner, id), epoch);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_callers),
	    T(test_peer_link),
	    T(test_peer_link_stream),
	    T(test_engine),
	    T(test_plain_once),
	    T(test_platform),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
