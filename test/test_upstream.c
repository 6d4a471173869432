/* test_upstream.c -- exchanges with endpoints that keep or drop connections,
 * truncate answers or answer earlier requests; a request is written only once.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "doubtful.h"
#include "sockkit.h"
#include "upstream.h"

#define OK_KEPT \
	"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: 2\r\n\r\nhi"
#define FOREIGN \
	"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nbad"

#define CHUNKS "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct mu_up_pool *pool;
	struct kit_endpoint *end;
	struct mu_up_exchange *exchange;
	unsigned heads, ends, unreachable;
	int status;
	struct mu_buf body;
	enum mu_up_end outcome;
	bool sent;
	bool reused; /* as told with the last head */
};

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	mu_clock_real(&f->clock);
	f->loop = mu_loop_new(&f->clock);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	if (f->pool != NULL)
		mu_up_pool_release(f->pool);
	if (f->end != NULL)
		kit_endpoint_free(f->end);
	mu_buf_clear(&f->body);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
start_endpoint(struct fixture *f, const struct kit_step *steps, unsigned n)
{
	f->end = kit_endpoint(f->loop, steps, n);
	f->pool = mu_up_pool_new(f->loop, f->end->addr, 0);
}

static enum mu_up_owner
owner(void *arg, const struct mu_up_head *head)
{
	struct fixture *f = arg;
	size_t i;

	f->reused = head->reused;
	for (i = 0; i < head->nheaders; i++)
		if (strcasecmp(head->headers[i].name, "Request-Id") == 0)
			return strcmp(head->headers[i].value, "r1") == 0
				   ? MU_UP_OWN
				   : MU_UP_FOREIGN;
	return MU_UP_OWN_LAST;
}

static void
on_head(void *arg, const struct mu_up_head *head)
{
	struct fixture *f = arg;

	f->heads++;
	f->status = head->status;
}

static void
on_body(void *arg, const char *data, size_t len)
{
	struct fixture *f = arg;

	(void)mu_buf_add(&f->body, data, len);
}

static void
on_end(void *arg, enum mu_up_end outcome, bool sent)
{
	struct fixture *f = arg;

	f->ends++;
	f->outcome = outcome;
	f->sent = sent;
}

static struct mu_up_exchange *
start_exchange(struct fixture *f)
{
	struct mu_up_hooks h = {f, owner, on_head, on_body, on_end};
	struct mu_up_req r = {
	    "POST", "/a?b=c", "Request-Id: r1\r\n", "body", 4, true};

	mu_buf_consume(&f->body, mu_buf_len(&f->body));
	return mu_up_start(f->pool, &r, &h);
}

static void
run_exchange(struct fixture *f)
{
	unsigned before = f->ends;

	assert_non_null(start_exchange(f));
	assert_true(kit_until(f->loop, 3000, f->ends > before));
}

static void
test_connection_is_kept(void **state)
{
	static const struct kit_step s[] = {{OK_KEPT, false, false}};
	struct fixture *f = *state;
	int i;

	start_endpoint(f, s, 1);
	for (i = 0; i < 5; i++) {
		run_exchange(f);
		assert_int_equal(f->outcome, MU_UP_COMPLETE);
		assert_int_equal(f->status, 200);
		assert_int_equal(mu_buf_len(&f->body), 2);
	}
	assert_int_equal(f->end->accepted, 1);
	assert_non_null(strstr(f->end->last, "POST /a?b=c HTTP/1.1\r\n"));
	assert_non_null(strstr(f->end->last, "\r\n\r\nbody"));
}

/* A connection is not kept after an answer that is to be its last. */
static void
test_last_answer_ends_the_connection(void **state)
{
	static const struct kit_step s[] = {{OK_KEPT, false, false},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, false},
	    {OK_KEPT, false, false}};
	static const bool reused[] = {false, true, false};
	struct fixture *f = *state;
	int i;

	start_endpoint(f, s, 3);
	for (i = 0; i < 3; i++) {
		run_exchange(f);
		assert_int_equal(f->outcome, MU_UP_COMPLETE);
		assert_int_equal(f->reused, reused[i]);
	}
	assert_int_equal(f->end->accepted, 2);
}

/* An answer to an earlier request precedes the exchange's own. */
static void
test_foreign_answer_is_skipped(void **state)
{
	static const struct kit_step s[] = {{FOREIGN OK_KEPT, false, false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 1);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_COMPLETE);
	assert_memory_equal(mu_buf_data(&f->body), "hi", 2);
}

/* A connection with bytes after the answer is not reused. */
static void
test_extra_bytes_end_the_connection(void **state)
{
	static const struct kit_step s[] = {{OK_KEPT FOREIGN, false, false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 1);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_COMPLETE);
	run_exchange(f);
	assert_int_equal(f->end->accepted, 2);
}

/* A request lost on a reused connection is not resent. */
static void
test_lost_on_a_kept_connection(void **state)
{
	static const struct kit_step s[] = {
	    {OK_KEPT, false, false}, {NULL, false, true}};
	struct fixture *f = *state;
	mu_us reuse_limit;

	start_endpoint(f, s, 2);
	run_exchange(f);
	reuse_limit = f->pool->reuse_limit;
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_ABORTED);
	assert_true(f->sent);
	assert_int_equal(f->end->requests, 2);
	assert_true(f->pool->reuse_limit < reuse_limit);
}

/* An endpoint restarts while several connections to it are idle: one request is
 * lost, and the next one reaches the new process. */
static void
test_one_loss_ends_all_kept_connections(void **state)
{
	static const struct kit_step s[] = {
	    {NULL, false, false},
	    {NULL, false, false},
	    {NULL, false, false},
	    {NULL, false, true},
	    {OK_KEPT, false, false},
	};
	struct fixture *f = *state;
	unsigned i;

	start_endpoint(f, s, 5);
	for (i = 0; i < 3; i++)
		assert_non_null(start_exchange(f));
	(void)kit_until(f->loop, 1000, f->end->requests == 3);
	for (i = 0; i < 3; i++)
		kit_send(f->end->conn[i].watch.fd, OK_KEPT, "r1");
	assert_true(kit_until(f->loop, 1000, f->ends == 3));
	assert_int_equal(f->pool->nidle, 3);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_ABORTED);
	assert_int_equal(f->pool->nidle, 0);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_COMPLETE);
	assert_int_equal(f->end->accepted, 4);
}

static void
test_answers_without_length(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\n\r\nto the end", true,
		false},
	    {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: "
	     "9\r\n\r\ncut",
		true, false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 2);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_COMPLETE);
	assert_memory_equal(mu_buf_data(&f->body), "to the end", 10);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_ABORTED);
}

static void
test_no_answer_in_the_protocol(void **state)
{
	static const struct kit_step s[] = {{"what?\r\n\r\n", false, false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 1);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_MALFORMED);
	assert_true(f->sent);
}

/* Too many answers to other requests: what follows must not be taken for the
 * own answer, since it may be the body of one of them. */
static void
test_body_of_a_foreign_answer_is_no_answer(void **state)
{
	static const struct kit_step s[] = {
	    {FOREIGN FOREIGN FOREIGN "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
				     "Content-Length: 56\r\n\r\n" OK_KEPT,
		false, false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 1);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_MALFORMED);
	assert_int_equal(f->heads, 0);
}

/* A head that is one byte too long, at its last header, is not skipped. */
static void
test_head_at_the_limit(void **state)
{
	static char text[9000], value[8192];
	static const struct kit_step s[] = {{text, false, false}};
	struct fixture *f = *state;
	size_t n;

	start_endpoint(f, s, 1);
	for (n = 8140; n < 8192; n++) {
		memset(value, 'v', n);
		(void)snprintf(text, sizeof(text),
		    "HTTP/1.1 200 OK\r\nX: %.*s\r\nContent-Length: "
		    "2\r\n\r\nhi",
		    (int)n, value);
		f->heads = 0;
		run_exchange(f);
		assert_int_equal(f->outcome == MU_UP_COMPLETE, f->heads == 1);
	}
}

static void
test_nobody_listens(void **state)
{
	struct fixture *f = *state;
	char addr[MU_ADDR_LEN];

	kit_unused_addr(addr);
	f->pool = mu_up_pool_new(f->loop, addr, 0);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_CONNECT_FAILED);
	assert_false(f->sent);
}

static void
test_cancel_says_whether_it_was_sent(void **state)
{
	static const struct kit_step s[] = {{NULL, false, false}};
	struct fixture *f = *state;
	struct mu_up_exchange *x;

	start_endpoint(f, s, 1);
	x = start_exchange(f);
	assert_false(mu_up_cancel(x));
	x = start_exchange(f);
	assert_true(kit_until(f->loop, 2000, f->end->requests == 1));
	assert_true(mu_up_cancel(x));
	assert_true(kit_until(f->loop, 2000, f->end->closed_by_peer >= 1));
	assert_int_equal(f->ends, 0);
}

/* Endless bytes outside an answer's body, in any position: the exchange soon
 * ends as malformed, and the connection is closed. */
static void
test_endless_bytes_end_the_exchange(void **state)
{
	static const struct {
		struct kit_step head;
		const char *endless;
	} floods[] = {
	    {{"", false, false}, "x"},
	    {{"HTTP/1.1 200 OK\r\nX-Long: ", false, false}, "x"},
	    {{"HTTP/1.1 200 OK\r\n", false, false}, "X-Many: 1\r\n"},
	    {{"", false, false}, "HTTP/1.1 100 Continue\r\n\r\n"},
	    {{CHUNKS, false, false}, "0"},
	    {{CHUNKS "1;", false, false}, "x"},
	    {{CHUNKS "0\r\n", false, false}, "X-Trailer: 1\r\n"},
	    {{"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", false, false},
		"x"},
	};
	struct fixture *f = *state;
	unsigned i;

	for (i = 0; i < sizeof(floods) / sizeof(*floods); i++) {
		start_endpoint(f, &floods[i].head, 1);
		f->end->endless = floods[i].endless;
		run_exchange(f);
		assert_int_equal(f->outcome, MU_UP_MALFORMED);
		assert_true(f->sent);
		assert_true(kit_until(
		    f->loop, 2000, f->end->closed_by_peer == f->end->accepted));
		kit_run_ms(f->loop, 20);
		mu_up_pool_release(f->pool);
		f->pool = NULL;
		kit_endpoint_free(f->end);
		f->end = NULL;
	}
}

/* Cancels the exchange and releases its pool, as when the last request at an
 * endpoint that is no longer listed is given up. */
static void
cancel_and_release(struct fixture *f)
{
	struct mu_up_pool *p = f->pool;

	f->pool = NULL;
	assert_true(mu_up_cancel(f->exchange));
	mu_up_pool_release(p);
}

static void
release_on_head(void *arg, const struct mu_up_head *head)
{
	(void)head;
	cancel_and_release(arg);
}

static void
release_on_body(void *arg, const char *data, size_t len)
{
	(void)data;
	(void)len;
	cancel_and_release(arg);
}

/* Guards against a use after free that ended the daemon: an answer is given up
 * while it is parsed, and its pool is released at once. */
static void
check_release_while_parsing(struct fixture *f, struct mu_up_hooks *h)
{
	static const struct kit_step s[] = {
	    {OK_KEPT, false, false}, {NULL, false, false}};
	struct mu_up_req r = {
	    "POST", "/a", "Request-Id: r1\r\n", "body", 4, true};

	start_endpoint(f, s, 2);
	run_exchange(f); /* leaves an idle connection */
	f->end->steps = s;
	f->end->requests = 0;
	h->arg = f;
	h->owner = owner;
	h->end = on_end;
	f->exchange = mu_up_start(f->pool, &r, h);
	assert_non_null(f->exchange);
	assert_true(kit_until(
	    f->loop, 2000, f->end->closed_by_peer == f->end->accepted));
	assert_null(f->pool);
	assert_int_equal(f->ends, 1); /* of the first exchange */
}

static void
test_pool_released_from_a_head_hook(void **state)
{
	struct mu_up_hooks h = {.head = release_on_head, .body = on_body};

	check_release_while_parsing(*state, &h);
}

static void
test_pool_released_from_a_body_hook(void **state)
{
	struct mu_up_hooks h = {.head = on_head, .body = release_on_body};

	check_release_while_parsing(*state, &h);
}

static void
count_unreachable(void *arg)
{
	struct fixture *f = arg;

	f->unreachable++;
}

/* A probe of an endpoint that is up leaves a connection for the next request.
 */
static void
test_probe_is_kept_for_the_next_exchange(void **state)
{
	static const struct kit_step s[] = {{OK_KEPT, false, false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 1);
	mu_up_probe(f->pool, count_unreachable, f);
	mu_up_probe(f->pool, count_unreachable, f);
	assert_true(kit_until(f->loop, 1000, f->pool->nidle == 1));
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_COMPLETE);
	assert_int_equal(f->end->accepted, 1);
	assert_int_equal(f->unreachable, 0);
}

static void
test_probe_finds_a_dead_endpoint(void **state)
{
	struct fixture *f = *state;
	char addr[MU_ADDR_LEN];

	kit_unused_addr(addr);
	f->pool = mu_up_pool_new(f->loop, addr, 0);
	mu_up_probe(f->pool, count_unreachable, f);
	assert_int_equal(f->unreachable, 0);
	assert_true(kit_until(f->loop, 1000, f->unreachable == 1));
	assert_int_equal(f->pool->nopen, 0);
}

/* The pool is released while its probe is under way. */
static void
test_probe_ends_with_its_pool(void **state)
{
	struct fixture *f = *state;
	char addr[MU_ADDR_LEN];

	kit_unused_addr(addr);
	f->pool = mu_up_pool_new(f->loop, addr, 0);
	mu_up_probe(f->pool, count_unreachable, f);
	mu_up_pool_release(f->pool);
	f->pool = NULL;
	kit_run_ms(f->loop, 300);
	assert_int_equal(f->unreachable, 0);
}

/* Answers that end with their length or last chunk, and with their connection.
 */
struct answer_form {
	const char *text;
	bool ends_with_connection;
};

#define CUT_HEAD "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\n"

static const struct answer_form answer_forms[] = {
    {CUT_HEAD "Server-Signature: s1\r\nContent-Length: 12\r\n\r\n"
	      "twelve bytes",
	false},
    {CUT_HEAD "Server-Signature: s1\r\n\r\nto the end", true},
    {CUT_HEAD "Content-Length: 0\r\n\r\n", false},
    {CUT_HEAD "Transfer-Encoding: chunked\r\n\r\n"
	      "6;x=y\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
	false},
    {CUT_HEAD "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n"
	      "6\r\ntwelve\r\n0\r\nA: b\r\nServer-Signature: s\r\n\r\n",
	false},
    {"HTTP/1.1 100 Continue\r\n\r\n" CUT_HEAD "Content-Length: 2\r\n\r\nhi",
	false},
    {"HTTP/1.1 103 Early\r\nLink: <a>\r\n\r\n" CUT_HEAD "\r\nto the end", true},
    {CUT_HEAD "Server-Signature: a\r\n b\r\nContent-Length:\r\n 2\r\n\r\n"
	      "hi",
	false},
    {"HTTP/1.1 200 OK\nRequest-Id: $ID\nContent-Length: 2\n\nhi", false},
    {"HTTP/1.1 200 OK\nRequest-Id: $ID\n\nto the end", true},
    {"HTTP/1.1 200 OK\r\nrequest-id: $ID\r\ncontent-length: 2\r\n\r\nhi",
	false},
    {"HTTP/1.1 200 OK\r\nrequest-id: $ID\r\ntransfer-encoding: "
     "chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	false},
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false},
    {"HTTP/1.1 200 OK\r\n\r\n", true},
    {"HTTP/1.0 200 OK\r\nRequest-Id: $ID\r\n\r\nto the end", true},
    {CUT_HEAD "Connection: close\r\nContent-Length: 2\r\n\r\nhi", false},
    {FOREIGN CUT_HEAD "Content-Length: 2\r\n\r\nhi", false},
    {FOREIGN CUT_HEAD "\r\nto the end", true},
};

/* Whether the first n bytes of a form, ended by a close, are a whole answer. */
static bool
is_whole(const struct answer_form *form, size_t n, bool reset)
{
	const char *own = strstr(form->text, "200 OK"), *foreign, *body;

	if (!form->ends_with_connection)
		return n == strlen(form->text);
	foreign = strstr(own, FOREIGN + strlen("HTTP/1.1 "));
	if (foreign != NULL)
		own = strstr(foreign + 1, "200 OK");
	body = strstr(own, "\r\n\r\n");
	n -= body != NULL ? strlen("\r\n\r\n") : strlen("\n\n");
	if (body == NULL)
		body = strstr(own, "\n\n");
	return !reset && (ssize_t)n >= body - form->text;
}

/* Runs an exchange whose answer is the first n bytes of a form. */
static void
check_cut_answer(struct fixture *f, const struct answer_form *form, size_t n,
    bool kept, bool reset)
{
	char *text = strndup(form->text, n);
	struct kit_step s[] = {{OK_KEPT, false, false}, {text, !reset, reset}};
	bool whole = is_whole(form, n, reset);

	if (kept) {
		f->end->steps = s;
		f->end->requests = 0;
		f->pool->reuse_limit = MU_US_PER_S;
		run_exchange(f);
		assert_int_equal(f->outcome, MU_UP_COMPLETE);
	}
	f->end->steps = s + 1;
	f->end->nsteps = 1;
	f->end->requests = 0;
	run_exchange(f);
	if ((f->outcome == MU_UP_COMPLETE) != whole)
		fail_msg("%s after %zu bytes of: %s",
		    mu_up_end_name(f->outcome), n, form->text);
	assert_true(f->sent);
	assert_int_equal(f->end->requests, 1);
	free(text);
	f->end->nsteps = 2;
}

/* Guards against part of an answer taken as whole: the endpoint closes or
 * resets its connection after each byte, also within the head, of answers in
 * all their forms. */
static void
check_cut_answers(struct fixture *f, bool kept, bool reset)
{
	static const struct kit_step s[] = {{OK_KEPT, false, false}};
	size_t i, n, cuts = 0;

	start_endpoint(f, s, 1);
	for (i = 0; i < sizeof(answer_forms) / sizeof(*answer_forms); i++)
		for (n = 0; n <= strlen(answer_forms[i].text); n++, cuts++)
			check_cut_answer(f, &answer_forms[i], n, kept, reset);
	print_message("%zu cuts\n", cuts);
}

static void
test_part_of_an_answer_is_not_whole(void **state)
{
	check_cut_answers(*state, false, false);
}

static void
test_part_of_an_answer_before_a_reset(void **state)
{
	check_cut_answers(*state, false, true);
}

static void
test_part_of_an_answer_on_a_kept_connection(void **state)
{
	check_cut_answers(*state, true, false);
}

static void
test_part_of_an_answer_before_a_reset_of_a_kept_connection(void **state)
{
	check_cut_answers(*state, true, true);
}

/* Guards against an answer without a head: header fields of any total length,
 * also just at the limit, are delivered or the answer is malformed. */
static void
test_header_fields_at_the_limit(void **state)
{
	static char text[10000];
	const struct kit_step s[] = {{text, true, false}};
	struct fixture *f = *state;
	unsigned heads;
	int n, whole = 0;

	start_endpoint(f, s, 1);
	for (n = 8100; n < 8200; n++) {
		(void)snprintf(text, sizeof(text),
		    "HTTP/1.1 200 OK\r\nX-Long: %0*d\r\nContent-Length: "
		    "2\r\n\r\nhi",
		    n, 0);
		heads = f->heads;
		run_exchange(f);
		if (f->outcome == MU_UP_COMPLETE) {
			assert_int_equal(f->heads, heads + 1);
			assert_int_equal(mu_buf_len(&f->body), 2);
			whole++;
		} else {
			assert_int_equal(f->outcome, MU_UP_MALFORMED);
			assert_int_equal(f->heads, heads);
		}
	}
	assert_in_range(whole, 1, 99);
}

/* Guards against a foreign answer's body taken for an answer, when there are
 * more foreign answers than are skipped. */
static void
test_many_foreign_answers(void **state)
{
	static const struct kit_step s[] = {{FOREIGN FOREIGN FOREIGN
	    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: "
	    "60\r\n\r\n" OK_KEPT,
	    false, false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 1);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_MALFORMED);
	assert_int_equal(f->heads, 0);
}

/* Guards against bytes after an interim answer's head taken for the start of
 * the answer's body: interim answers have no body. */
static void
test_interim_answer_has_no_body(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.1 102 Processing\r\nContent-Length: 3\r\n\r\nbad" OK_KEPT,
		false, false},
	    {"HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "3\r\nbad\r\n0\r\n\r\n" OK_KEPT,
		false, false},
	    {"HTTP/1.1 103 Early\r\nContent-Length: 3\r\n\r\n" OK_KEPT, false,
		false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 3);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_MALFORMED);
	assert_int_equal(f->heads, 0);
	assert_int_equal(mu_buf_len(&f->body), 0);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_MALFORMED);
	assert_int_equal(mu_buf_len(&f->body), 0);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_COMPLETE);
	assert_int_equal(mu_buf_len(&f->body), 2);
}

/* Guards against waiting for a body that never comes: the answers to HEAD, 204
 * and 304 have none, whatever length they give. */
static void
test_answers_without_a_body(void **state)
{
	static const struct {
		const char *method;
		struct kit_step step;
	} cases[] = {
	    {"HEAD", {CUT_HEAD "Content-Length: 4\r\n\r\n", false, false}},
	    {"HEAD",
		{CUT_HEAD "Transfer-Encoding: chunked\r\n\r\n", false, false}},
	    {"HEAD", {CUT_HEAD "\r\n", false, false}},
	    {"GET", {"HTTP/1.1 304 Not Modified\r\nRequest-Id: $ID\r\n"
		     "Content-Length: 4\r\n\r\n",
			false, false}},
	    {"GET", {"HTTP/1.1 204 No Content\r\nRequest-Id: $ID\r\n"
		     "Transfer-Encoding: chunked\r\n\r\n",
			false, false}},
	};
	struct fixture *f = *state;
	struct mu_up_hooks h = {f, owner, on_head, on_body, on_end};
	struct mu_up_req r = {NULL, "/a", "Request-Id: r1\r\n", "", 0, false};
	unsigned i;

	start_endpoint(f, &cases[0].step, 1);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		f->end->steps = &cases[i].step;
		r.method = cases[i].method;
		assert_non_null(mu_up_start(f->pool, &r, &h));
		assert_true(kit_until(f->loop, 500, f->ends == i + 1));
		assert_int_equal(f->outcome, MU_UP_COMPLETE);
		assert_int_equal(mu_buf_len(&f->body), 0);
	}
	assert_int_equal(f->end->accepted, 1);
}

/* Guards against a status that no answer to a caller can have. */
static void
test_status_below_100(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nhi", false, false},
	    {"HTTP/1.1 99 OK\r\nContent-Length: 2\r\n\r\nhi", false, false},
	    {"HTTP/1.1 0 OK\r\nContent-Length: 2\r\n\r\nhi", false, false}};
	struct fixture *f = *state;
	unsigned i;

	start_endpoint(f, s, 3);
	for (i = 0; i < 3; i++) {
		run_exchange(f);
		assert_int_equal(f->outcome, MU_UP_MALFORMED);
	}
	assert_int_equal(f->heads, 0);
}

/* Guards against an answer that isn't one of HTTP/1 (RFC 9112, 4): its status
 * is three digits, from 100 to 599, and 101 needs a request for it. */
static void
test_status_lines_that_are_no_answer(void **state)
{
	static const char *const lines[] = {"HTTP/1.1 000 OK", "HTTP/1.1 0 OK",
	    "HTTP/1.1 099 OK", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK",
	    "HTTP/1.1 00000200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 600 Odd",
	    "HTTP/1.1 700 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 -200 OK",
	    "HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 0x2 OK",
	    "HTTP/1.1 OK", "HTTP/1.1", "HTTP/1.1 101 Switching Protocols",
	    "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/3.1 200 OK",
	    "HTTP/2 200", "HTTP/11 200 OK", "HTTP/1.11 200 OK",
	    "http/1.1 200 OK", "ICY 200 OK", "200 OK"};
	struct fixture *f = *state;
	struct kit_step s = {NULL, false, false};
	char answer[256];
	unsigned i;

	start_endpoint(f, &s, 1);
	s.answer = answer;
	for (i = 0; i < sizeof(lines) / sizeof(*lines); i++) {
		(void)snprintf(answer, sizeof(answer),
		    "%s\r\nRequest-Id: $ID\r\nContent-Length: 2\r\n\r\nhi",
		    lines[i]);
		run_exchange(f);
		if (f->outcome != MU_UP_MALFORMED)
			print_message("%s\n", lines[i]);
		assert_int_equal(f->outcome, MU_UP_MALFORMED);
		assert_int_equal(f->heads, 0);
	}
}

/* Guards against a body whose end is in doubt (RFC 9112, 6 and 7). */
static void
test_framing_in_doubt(void **state)
{
	static const struct doubtful_head heads[] = {
	    DOUBTFUL_HEADS, {"X: a\001b\r\nContent-Length: 2\r\n\r\nhi"}};
	struct fixture *f = *state;
	struct kit_step s = {NULL, false, false};
	char answer[256];
	unsigned i;

	start_endpoint(f, &s, 1);
	s.answer = answer;
	for (i = 0; i < sizeof(heads) / sizeof(*heads); i++) {
		(void)snprintf(
		    answer, sizeof(answer), CUT_HEAD "%s", heads[i].fields);
		run_exchange(f);
		if (f->outcome != MU_UP_MALFORMED)
			print_message("%s\n", heads[i].fields);
		assert_int_equal(f->outcome, MU_UP_MALFORMED);
	}
}

static int
open_connection(const struct fixture *f)
{
	int i;

	for (i = 0; i < KIT_MAX_CONNS; i++)
		if (f->end->conn[i].open)
			return f->end->conn[i].watch.fd;
	fail_msg("no open connection");
	return -1;
}

/* Other forms that are answers, also where a read ends within the line. */
static void
test_status_lines_that_are_answers(void **state)
{
	static const struct {
		const char *line;
		int status;
	} cases[] = {{"HTTP/1.1 200", 200}, {"HTTP/1.1 200 ", 200},
	    {"HTTP/1.0 200 OK", 200}, {"HTTP/1.1 299 Any", 299},
	    {"HTTP/1.1 599 Any", 599}, {"HTTP/1.1 500 0200 600", 500},
	    {"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 418 Teapot", 418}};
	struct fixture *f = *state;
	struct kit_step s = {"", false, false};
	char answer[256];
	unsigned i, n;

	start_endpoint(f, &s, 1);
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		(void)snprintf(answer, sizeof(answer),
		    "%s\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nhi",
		    cases[i].line);
		f->ends = 0;
		assert_non_null(start_exchange(f));
		n = f->end->requests;
		assert_true(kit_until(f->loop, 1000, f->end->requests > n));
		for (n = 0; answer[n] != '\0'; n++) {
			assert_int_equal(
			    write(open_connection(f), answer + n, 1), 1);
			mu_loop_once(f->loop, 1);
		}
		assert_true(kit_until(f->loop, 1000, f->ends == 1));
		assert_int_equal(f->outcome, MU_UP_COMPLETE);
		assert_int_equal(f->status, cases[i].status);
	}
}

/* Guards against a field whose name ends in white space, which the parser
 * heeds: the caller would get it, and its coding would not be seen. */
static void
test_white_space_after_a_name(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.1 200 OK\r\nRequest-Id : $ID\r\nContent-Length: "
	     "2\r\n\r\nhi",
		false, false},
	    {CUT_HEAD "Transfer-Encoding : gzip\r\n\r\nhi", true, false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 2);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_COMPLETE);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_MALFORMED);
}

/* Chunks before HTTP/1.1 leave the framing in doubt (RFC 9112, 6.1). */
static void
test_chunks_before_http_1_1_end_the_connection(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.0 200 OK\r\nRequest-Id: $ID\r\nConnection: keep-alive"
	     "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		false, false},
	    {OK_KEPT, false, false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 2);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_COMPLETE);
	run_exchange(f);
	assert_int_equal(f->end->accepted, 2);
}

/* Guards against an overflow: the time may have any number of digits. */
static void
test_keep_alive_of_any_length(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: 2\r\n"
	     "Keep-Alive: timeout=99999999999999\r\n\r\nhi",
		false, false},
	    {"HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: 2\r\n"
	     "Keep-Alive: timeout=-9223372036854775808\r\n\r\nhi",
		false, false},
	    {OK_KEPT, false, false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 3);
	run_exchange(f);
	assert_int_equal(f->pool->nidle, 1);
	run_exchange(f);
	assert_int_equal(f->end->accepted, 1);
	assert_int_equal(f->pool->nidle, 0);
}

/* Guards against an answer taken for a foreign one: white space after a value
 * is no part of it. */
static void
test_white_space_after_a_value(void **state)
{
	static const struct kit_step s[] = {
	    {"HTTP/1.1 200 OK\r\nRequest-Id: \t$ID \t \r\nContent-Length: 2 "
	     "\r\n\r\nhi",
		false, false}};
	struct fixture *f = *state;

	start_endpoint(f, s, 1);
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_COMPLETE);
	assert_memory_equal(mu_buf_data(&f->body), "hi", 2);
}

/* Guards against an encoded body passed on without the header that says so. */
static void
test_other_transfer_codings(void **state)
{
	static const struct kit_step s[] = {
	    {CUT_HEAD "Transfer-Encoding: gzip\r\n\r\nhi", true, false},
	    {CUT_HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n"
		      "2\r\nhi\r\n0\r\n\r\n",
		false, false},
	    {CUT_HEAD "Transfer-Encoding: gzip\r\nTransfer-Encoding: "
		      "chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		false, false},
	    {CUT_HEAD "Transfer-Encoding: Chunked\r\n\r\n"
		      "2\r\nhi\r\n0\r\n\r\n",
		false, false}};
	struct fixture *f = *state;
	unsigned i;

	start_endpoint(f, s, 4);
	for (i = 0; i < 3; i++) {
		run_exchange(f);
		assert_int_equal(f->outcome, MU_UP_MALFORMED);
	}
	run_exchange(f);
	assert_int_equal(f->outcome, MU_UP_COMPLETE);
	assert_memory_equal(mu_buf_data(&f->body), "hi", 2);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_connection_is_kept),
	    T(test_last_answer_ends_the_connection),
	    T(test_foreign_answer_is_skipped),
	    T(test_extra_bytes_end_the_connection),
	    T(test_lost_on_a_kept_connection),
	    T(test_one_loss_ends_all_kept_connections),
	    T(test_answers_without_length),
	    T(test_no_answer_in_the_protocol),
	    T(test_body_of_a_foreign_answer_is_no_answer),
	    T(test_head_at_the_limit),
	    T(test_nobody_listens),
	    T(test_cancel_says_whether_it_was_sent),
	    T(test_endless_bytes_end_the_exchange),
	    T(test_pool_released_from_a_head_hook),
	    T(test_pool_released_from_a_body_hook),
	    T(test_probe_is_kept_for_the_next_exchange),
	    T(test_probe_finds_a_dead_endpoint),
	    T(test_probe_ends_with_its_pool),
	    T(test_header_fields_at_the_limit),
	    T(test_many_foreign_answers),
	    T(test_interim_answer_has_no_body),
	    T(test_answers_without_a_body),
	    T(test_status_below_100),
	    T(test_status_lines_that_are_no_answer),
	    T(test_framing_in_doubt),
	    T(test_status_lines_that_are_answers),
	    T(test_white_space_after_a_name),
	    T(test_chunks_before_http_1_1_end_the_connection),
	    T(test_keep_alive_of_any_length),
	    T(test_white_space_after_a_value),
	    T(test_other_transfer_codings),
	    T(test_part_of_an_answer_is_not_whole),
	    T(test_part_of_an_answer_before_a_reset),
	    T(test_part_of_an_answer_on_a_kept_connection),
	    T(test_part_of_an_answer_before_a_reset_of_a_kept_connection),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
