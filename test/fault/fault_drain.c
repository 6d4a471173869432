/*
 * fault_drain.c -- planned stop of a scheduler daemon whose callers keep their
 * connections.
 *
 * Each caller sends one order after the other on one connection to the daemon
 * that stops, until an answer or the daemon ends the connection.  An order
 * that ran must have its answer, and the callers may not hold the stop.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "proc.h"
#include "proc_call.h"
#include "proc_stream.h"

#define CALLERS 6
#define ANSWER_MAX 16384
#define ANSWER_MS 30000 /* for one answer */
#define LOSS_SLACK_MS 200 /* a request may cross the end of its connection */
#define STREAM_TOKENS 60
#define STREAM_TOKEN_MS 50 /* the stream outlasts the hand-over of slots */
#define STOP_MAX_MS 20000 /* several times what the hand-over takes */

struct keeper {
	pthread_t thread;
	const struct unit *daemon;
	char id[CALL_ID_LEN];
	unsigned gap_ms; /* between an answer and the next order */
	int fd;
	int sent, answered; /* orders; atomic */
	int failed; /* answers other than a 200 and "the daemon stops" */
	int cut_ms; /* the connection ended so long after an order; -1: not */
	bool told; /* an answer announced the end of the connection */
};

static int
open_connection(const char *addr)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[PROC_ADDR_LEN];
	unsigned port;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (sscanf(addr, "%31[^:]:%u", ip, &port) != 2)
		return -1;
	sin.sin_port = htons((uint16_t)port);
	(void)inet_pton(AF_INET, ip, &sin.sin_addr);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	(void)close(fd);
	return -1;
}

/* Reads one answer with a length; false if the connection ends before. */
static bool
read_answer(int fd, char *buf)
{
	struct pollfd p = {fd, POLLIN, 0};
	char *body, *len;
	size_t have = 0;
	ssize_t n;

	for (;;) {
		if (poll(&p, 1, ANSWER_MS) <= 0)
			return false;
		n = recv(fd, buf + have, ANSWER_MAX - 1 - have, 0);
		if (n <= 0)
			return false;
		have += (size_t)n;
		buf[have] = '\0';
		body = strstr(buf, "\r\n\r\n");
		len = strcasestr(buf, "content-length: ");
		if (body != NULL && len != NULL &&
		    have - (size_t)(body + 4 - buf) >=
			strtoul(len + 16, NULL, 10))
			return true;
	}
}

static bool
send_order(struct keeper *k, int seq)
{
	char body[160], request[640];
	int len;

	(void)snprintf(body, sizeof(body),
	    "{\"seq\":%d,\"service\":\"pantry\",\"input\":{"
	    "\"operation\":\"reprint\"}}",
	    seq);
	len = snprintf(request, sizeof(request),
	    "POST /v1/programs/%s/calls HTTP/1.1\r\nHost: h\r\n"
	    "Authorization: Bearer %s\r\nContent-Length: %zu\r\n\r\n%s",
	    k->id, CLUSTER_CALLER_KEY, strlen(body), body);
	return send(k->fd, request, (size_t)len, MSG_NOSIGNAL) == len;
}

static void *
keeper_main(void *arg)
{
	struct keeper *k = arg;
	char answer[ANSWER_MAX];
	int64_t at;
	int seq;

	for (seq = 1; !k->told; seq++) {
		at = proc_now_ms();
		if (!send_order(k, seq))
			break; /* closed before: not sent */
		__atomic_store_n(&k->sent, seq, __ATOMIC_RELEASE);
		if (!read_answer(k->fd, answer)) {
			k->cut_ms = (int)(proc_now_ms() - at);
			break;
		}
		__atomic_add_fetch(&k->answered, 1, __ATOMIC_ACQ_REL);
		if (strncmp(answer, "HTTP/1.1 200", 12) != 0 &&
		    strstr(answer, "\"stopping\"") == NULL) {
			k->failed++;
			print_message("%s\n", answer);
		}
		k->told = strcasestr(answer, "connection: close") != NULL;
		if (!k->told && k->gap_ms > 0)
			proc_sleep_ms((int)k->gap_ms);
	}
	(void)close(k->fd);
	return NULL;
}

static bool
all_answered(void *arg)
{
	struct keeper *k = arg;
	int i;

	for (i = 0; i < CALLERS; i++)
		if (__atomic_load_n(&k[i].answered, __ATOMIC_ACQUIRE) < 2)
			return false;
	return true;
}

static void
keepers_start(struct keeper k[CALLERS], struct cluster *c, unsigned gap_ms)
{
	int i;

	memset(k, 0, CALLERS * sizeof(*k));
	for (i = 0; i < CALLERS; i++) {
		k[i].daemon = &c->daemon[0];
		k[i].gap_ms = gap_ms + (gap_ms > 0) * 7U * (unsigned)i;
		k[i].cut_ms = -1;
		call_program(c, k[i].id);
		k[i].fd = open_connection(c->daemon[0].addr);
		assert_true(k[i].fd >= 0);
		assert_int_equal(
		    pthread_create(&k[i].thread, NULL, keeper_main, &k[i]), 0);
	}
	proc_until("answers to all callers", all_answered, k);
}

static bool
has_exited(void *arg)
{
	return !proc_alive(arg);
}

/* Stops the daemon and checks every order that was sent. */
static void
check_stop(struct keeper k[CALLERS], struct cluster *c)
{
	int64_t began = proc_now_ms();
	size_t ran;
	int i, cut = 0, failed = 0;

	proc_term(c->daemon[0].proc);
	proc_until("the exit of the daemon", has_exited, c->daemon[0].proc);
	print_message("exit after %d ms\n", (int)(proc_now_ms() - began));
	assert_in_range(proc_now_ms() - began, 0, STOP_MAX_MS);
	for (i = 0; i < CALLERS; i++) {
		pthread_join(k[i].thread, NULL);
		failed += k[i].failed;
		if (k[i].cut_ms < 0)
			continue;
		ran = call_run_count(c, k[i].id, k[i].sent);
		print_message("order %d of caller %d: closed after %d ms, "
			      "ran %zu times\n",
		    k[i].sent, i, k[i].cut_ms, ran);
		cut += ran > 0 || k[i].cut_ms > LOSS_SLACK_MS;
	}
	assert_int_equal(cut, 0);
	assert_int_equal(failed, 0);
}

/* Guards against a stop that waits for callers who never pause, and cuts them
 * when its time is over. */
static void
test_busy_connections_do_not_hold_a_stop(void **state)
{
	struct cluster *c = call_cluster(3, 1, 2);
	struct keeper k[CALLERS];

	(void)state;
	keepers_start(k, c, 0);
	check_stop(k, c);
}

/* Guards against orders that are cut between the last look for requests and the
 * exit. */
static void
test_no_order_is_cut_on_a_connection_that_rests(void **state)
{
	struct cluster *c = call_cluster(3, 1, 2);
	struct keeper k[CALLERS];

	(void)state;
	keepers_start(k, c, 60);
	check_stop(k, c);
}

/* The same with orders that take longer than the poll of the stop. */
static void
test_no_slow_order_is_cut(void **state)
{
	struct cluster *c = call_cluster(3, 1, 2);
	struct keeper k[CALLERS];

	(void)state;
	call_services_slow(c, 150);
	keepers_start(k, c, 400);
	check_stop(k, c);
}

/* Guards against a stream that is cut at the exit, or before its last event is
 * sent. */
static void
test_no_stream_is_cut(void **state)
{
	struct cluster *c = call_cluster(3, 1, 1);
	struct stream s[2];
	char id[CALL_ID_LEN], error[64];
	json_t *last;
	int i;

	(void)state;
	engines_set(c, "token_ms", STREAM_TOKEN_MS);
	for (i = 0; i < 2; i++) {
		call_program(c, id);
		stream_open(
		    &s[i], c->daemon[0].addr, id, 1, "go on", STREAM_TOKENS);
		stream_until(&s[i], 3);
	}
	proc_term(c->daemon[0].proc);
	for (i = 0; i < 2; i++) {
		stream_drain(&s[i]);
		last = stream_last(&s[i]);
		if (*stream_error(&s[i], error) != '\0')
			fail_msg("%s", s[i].buf);
		assert_string_equal(
		    json_string_value(json_object_get(last, "outcome")),
		    "done");
		json_decref(last);
		stream_close(&s[i]);
	}
	assert_int_equal(proc_wait(c->daemon[0].proc), 0);
}

static bool
has_logged(void *arg)
{
	return proc_logged(arg, "\"event\":");
}

/* Guards against a signal before the daemon is ready, or a second one, that
 * ends it in any way but the graceful one. */
static void
test_signals_before_ready_and_twice(void **state)
{
	struct cluster *c = call_cluster(3, 1, 1);
	struct proc *p = c->daemon[0].proc;

	(void)state;
	proc_term(p);
	proc_sleep_ms(100);
	proc_term(p);
	assert_int_equal(proc_wait(p), 0);
	proc_restart(p);
	proc_until("the first line of its log", has_logged, p);
	proc_term(p);
	proc_term(p);
	assert_int_equal(proc_wait(p), 0);
}

int
main(int argc, char **argv)
{
#define T(f) cmocka_unit_test_setup_teardown(f, proc_setup, proc_teardown)
	const struct CMUnitTest tests[] = {
	    T(test_busy_connections_do_not_hold_a_stop),
	    T(test_no_order_is_cut_on_a_connection_that_rests),
	    T(test_no_slow_order_is_cut),
	    T(test_no_stream_is_cut),
	    T(test_signals_before_ready_and_twice),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
