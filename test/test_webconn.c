/* test_webconn.c -- which connection is closed when there are too many. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "webconn.h"

#define MAX 3
#define ALL 5

struct fixture {
	struct mu_webconns conns;
	struct mu_webconn *conn[ALL];
	int near[ALL], far[ALL];
};

static struct fixture fx;

static int
setup(void **state)
{
	int fd[2], i;

	(void)state;
	mu_webconns_init(&fx.conns, MAX);
	for (i = 0; i < ALL; i++) {
		assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM, 0, fd), 0);
		fx.near[i] = fd[0];
		fx.far[i] = fd[1];
		fx.conn[i] = NULL;
	}
	return 0;
}

static int
teardown(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < ALL; i++) {
		mu_webconn_remove(&fx.conns, fx.conn[i]);
		(void)close(fx.near[i]);
		(void)close(fx.far[i]);
	}
	mu_webconns_fini(&fx.conns);
	return 0;
}

static void
add(int i, mu_us now)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};

	fx.conn[i] = mu_webconn_add(&fx.conns, fx.near[i], &sin, now);
	assert_non_null(fx.conn[i]);
}

static void
set_state(int i, enum mu_webconn_state s, mu_us now)
{
	mu_webconn_set_state(&fx.conns, fx.conn[i], s, now);
}

static bool
is_shut_down(int i)
{
	char byte;

	return recv(fx.far[i], &byte, 1, MSG_DONTWAIT) == 0;
}

/* Unfinished heads on all connections must not keep a new client out. */
static void
test_longest_idle_is_closed(void **state)
{
	(void)state;
	add(0, 10);
	add(1, 20);
	add(2, 30);
	set_state(0, MU_WEBCONN_RECEIVING, 11);
	set_state(1, MU_WEBCONN_IDLE, 40); /* after a request */
	add(3, 50);
	assert_true(is_shut_down(2));
	assert_false(is_shut_down(0));
	assert_false(is_shut_down(1));
	assert_false(is_shut_down(3));
	add(4, 60);
	assert_true(is_shut_down(1));
	assert_false(is_shut_down(3));
	assert_false(is_shut_down(4));
}

static void
test_longest_stalled_body_is_closed(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < 3; i++) {
		add(i, 10);
		set_state(i, MU_WEBCONN_RECEIVING, 20 + i);
	}
	set_state(0, MU_WEBCONN_RECEIVING, 40); /* one more byte */
	add(3, 50);
	assert_true(is_shut_down(1));
	assert_false(is_shut_down(0));
	assert_false(is_shut_down(2));
	assert_false(is_shut_down(3));
}

/* Requests in progress must not be lost for a new connection. */
static void
test_busy_connections_are_kept(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < 3; i++) {
		add(i, 10);
		set_state(i, MU_WEBCONN_BUSY, 20);
	}
	add(3, 30);
	assert_true(is_shut_down(3));
	for (i = 0; i < 3; i++)
		assert_false(is_shut_down(i));
	mu_webconn_remove(&fx.conns, fx.conn[0]);
	fx.conn[0] = NULL;
	add(4, 40);
	assert_false(is_shut_down(4));
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
	const struct CMUnitTest tests[] = {
	    T(test_longest_idle_is_closed),
	    T(test_longest_stalled_body_is_closed),
	    T(test_busy_connections_are_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
