/* test_log.c -- logging never blocks and counts the lines that it drops. */
#include <fcntl.h>
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "log.h"

#define LINE_COUNT 20000 /* more than a pipe holds */

/* Redirects standard output to a pipe that read_pipe() empties. */
static int
redirect_stdout(int *saved)
{
	int fd[2];

	assert_int_equal(pipe(fd), 0);
	(void)fcntl(fd[0], F_SETFL, O_NONBLOCK);
	*saved = dup(STDOUT_FILENO);
	assert_true(dup2(fd[1], STDOUT_FILENO) >= 0);
	(void)close(fd[1]);
	return fd[0];
}

static size_t
read_pipe(int fd, char *last, size_t size)
{
	char buf[4096];
	size_t total = 0;
	ssize_t n;

	while ((n = read(fd, buf, sizeof(buf) - 1)) > 0) {
		total += (size_t)n;
		buf[n] = '\0';
		if ((size_t)n < size)
			memcpy(last, buf, (size_t)n + 1);
	}
	return total;
}

static void
test_full_pipe_drops_and_counts(void **state)
{
	char last[4096] = "";
	int saved, fd, i;

	(void)state;
	assert_int_equal(mu_log_open("info"), 0);
	fd = redirect_stdout(&saved);
	for (i = 0; i < LINE_COUNT; i++)
		mu_log(MU_LOG_WARN, "test", "line", "{s:i}", "n", i);
	(void)read_pipe(fd, last, sizeof(last));
	sleep(1); /* until the rate limit counts a new second */
	mu_log(MU_LOG_INFO, "test", "after", NULL);
	(void)read_pipe(fd, last, sizeof(last));
	(void)dup2(saved, STDOUT_FILENO);
	(void)close(fd);
	mu_log_close();
	assert_non_null(strstr(last, "\"after\""));
	assert_non_null(strstr(last, "\"lines_left_out\":"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_full_pipe_drops_and_counts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
