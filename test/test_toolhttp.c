/* test_toolhttp.c -- the tools' HTTP client, against answers that are cut. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "fakehttp.h"
#include "toolhttp.h"

#define TIMEOUT_S 5

/* What the server sends, and from which byte on it is a whole answer. */
struct form {
	const char *head;
	const char *body;
	bool ends_with_connection;
};

static const struct form forms[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "{}", false},
    {"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n", "{}", false},
    {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", false},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"2\r\n{}\r\n0\r\n\r\n", false},
    {"HTTP/1.1 200 OK\r\nX: y\r\n\r\n", "{}", true},
};

static void
run_cut(const char *text, enum fake_action action, struct mu_tool_res *r)
{
	struct fake_step step = {text, action};
	struct mu_tool_req q = {.method = "POST",
	    .target = "/x",
	    .body = "{}",
	    .connect_timeout_s = TIMEOUT_S,
	    .read_timeout_s = TIMEOUT_S};
	static struct fake server;

	fake_start(&server, &step, 1);
	q.addr = server.addr;
	mu_tool_run(&q, r);
	fake_stop(&server);
	assert_int_equal(server.requests, 1);
}

/* Guards against part of an answer shown as the daemon's answer, and against a
 * request that is sent once more: the server closes or resets its connection
 * after each byte. */
static void
test_part_of_an_answer_is_not_whole(void **state)
{
	char text[256];
	struct mu_tool_res r;
	size_t i, n, len, whole_from, wrong = 0, cuts = 0;

	(void)state;
	for (i = 0; i < sizeof(forms) / sizeof(*forms); i++) {
		len = strlen(forms[i].head) + strlen(forms[i].body);
		whole_from =
		    forms[i].ends_with_connection ? strlen(forms[i].head) : len;
		for (n = 0; n <= len; n++, cuts += 2) {
			(void)snprintf(
			    text, n + 1, "%s%s", forms[i].head, forms[i].body);
			run_cut(text, FAKE_CLOSE, &r);
			if ((r.result == MU_TOOL_ANSWERED) !=
			    (n >= whole_from)) {
				print_message("%d (%s) after: %s\n",
				    (int)r.result, r.problem, text);
				wrong++;
			}
			mu_tool_clear(&r);
			run_cut(text, FAKE_RESET, &r);
			if (r.result == MU_TOOL_ANSWERED && n < whole_from) {
				print_message("reset after: %s\n", text);
				wrong++;
			}
			mu_tool_clear(&r);
		}
	}
	print_message("%zu cuts\n", cuts);
	assert_int_equal(wrong, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_part_of_an_answer_is_not_whole),
	};

	if (mu_tool_init() != 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
