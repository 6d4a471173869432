/*
 * fault_crowd.c -- many callers that make a serving daemon hold memory and
 * descriptors.
 *
 * Each case sends a fixed load and checks what does not depend on the machine's
 * speed: the daemon lives, its peak of resident memory and its open descriptors
 * stay under a bound, and one ordinary request is answered afterwards, while
 * the load's connections are still open.
 */
#include "crowdkit.h"

static void
run_case(const struct load *l)
{
	char name[128];

	run_load(l);
	(void)snprintf(name, sizeof(name), "%s, %s connections", l->name,
	    l->reused ? "reused" : "new");
	check_daemon(name, l->clients);
}

/* Blocks of bodies. */

static char plain_block[SEND_BLOCK_BYTES];
static char large_chunk[1000000 + 9];
static const char small_chunk[] = "10\r\nbbbbbbbbbbbbbbbb\r\n";
#define SMALL_CHUNK_LEN (sizeof(small_chunk) - 1)
#define LARGE_CHUNK_LEN (sizeof(large_chunk))

static void
build_blocks(void)
{
	memset(plain_block, 'b', sizeof(plain_block));
	memset(large_chunk, 'b', sizeof(large_chunk));
	large_chunk[snprintf(large_chunk, 8, "f4240\r\n")] = 'b';
	large_chunk[sizeof(large_chunk) - 2] = '\r';
	large_chunk[sizeof(large_chunk) - 1] = '\n';
}

#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define DECLARED(n) "Content-Length: " #n "\r\n"

static const struct load declared = {"declared, a byte short", BODY_CLIENTS,
    "/order/hold", DECLARED(4000000), plain_block, sizeof(plain_block),
    BODY_BYTES - 1, 0, 0, false, false, false};
static const struct load whole = {"declared, whole", BODY_CLIENTS,
    "/order/hold", DECLARED(4000000), plain_block, sizeof(plain_block),
    BODY_BYTES, 0, 0, false, false, false};
static const struct load small_chunks = {"chunks of 16 bytes, without an end",
    BODY_CLIENTS, "/order/hold", CHUNKED, small_chunk, SMALL_CHUNK_LEN,
    BODY_BYTES / 16 * SMALL_CHUNK_LEN, 0, 0, false, false, false};
static const struct load large_chunks = {"chunks of 1 MB, without an end",
    BODY_CLIENTS, "/order/hold", CHUNKED, large_chunk, LARGE_CHUNK_LEN,
    BODY_BYTES / 1000000 * LARGE_CHUNK_LEN, 0, 0, false, false, false};
static const struct load over_declared = {"40 MB declared", BODY_CLIENTS,
    "/order/hold", DECLARED(40000000), plain_block, sizeof(plain_block),
    OVER_BYTES - 1, 0, 0, false, false, false};
static const struct load over_sent = {"40 MB in chunks", BODY_CLIENTS,
    "/order/hold", CHUNKED, large_chunk, LARGE_CHUNK_LEN,
    OVER_BYTES / 1000000 * LARGE_CHUNK_LEN, 0, 0, false, false, false};
static const struct load single_bytes = {"one byte at a time", BODY_CLIENTS,
    "/order/hold", DECLARED(4000000), plain_block, sizeof(plain_block),
    SINGLE_BYTES, 0, 0, true, false, false};
static const struct load heads = {"heads without an end", HEAD_CLIENTS,
    "/order/hold", "", plain_block, sizeof(plain_block), 0, HEAD_BYTES, 0,
    false, false, false};
static const struct load unread_answers = {"answers of 2 MB, unread",
    ANSWER_CLIENTS, "/order/large", DECLARED(0), plain_block,
    sizeof(plain_block), 0, 0, 0, false, true, false};
static const struct load unread_streams = {"streams of 8 MB, unread",
    STREAM_CLIENTS, "/chat/large", DECLARED(0), plain_block,
    sizeof(plain_block), 0, 0, 0, false, true, false};
static const struct load pipelined = {"pipelined, then a byte short",
    BODY_CLIENTS, "/order/hold", DECLARED(4000000), plain_block,
    sizeof(plain_block), BODY_BYTES - 1, 0, PIPELINED, false, false, false};

/* Each guards against a daemon that this load makes hold too much, on new and
 * on reused connections.  All failed on commit a5d5e68, which had no limit of
 * the sum, except single_bytes: it protects what held before. */
#define CASE(name) \
	static void test_##name(void **state) \
	{ \
		(void)state; \
		run_case(&name); \
	} \
	static void test_##name##_reused(void **state) \
	{ \
		struct load l = name; \
\
		(void)state; \
		l.reused = true; \
		run_case(&l); \
	}
CASE(declared)
CASE(whole)
CASE(small_chunks)
CASE(large_chunks)
CASE(over_declared)
CASE(over_sent)
CASE(single_bytes)
CASE(heads)
CASE(unread_answers)
CASE(unread_streams)
CASE(pipelined)

/* Guards against limits that a single request within the body limit meets. */
static void
test_single_requests_of_the_largest_size(void **state)
{
	static const struct load largest = {"", 1, "/order/1",
	    DECLARED(4194304), plain_block, sizeof(plain_block), 4194304, 0, 0,
	    false, false, false};
	struct load chunked = {
	    "", 1, "/order/1", CHUNKED, NULL, 0, 0, 0, 0, false, false, false};
	struct mu_buf b = {0};

	(void)state;
	run_load(&largest);
	assert_int_equal(t.passed_on, 1);
	assert_int_equal(t.last_body, 4194304);
	(void)mu_buf_printf(&b, "400000\r\n");
	while (mu_buf_len(&b) < 4194304 + 8)
		(void)mu_buf_add(&b, plain_block, sizeof(plain_block));
	(void)mu_buf_printf(&b, "\r\n0\r\n\r\n");
	chunked.block = mu_buf_data(&b);
	chunked.block_len = chunked.body_len = mu_buf_len(&b);
	run_load(&chunked);
	assert_int_equal(t.passed_on, 2);
	assert_int_equal(t.last_body, 4194304);
	mu_buf_clear(&b);
}

/* Guards against ports without limits beside the callers' one.  Failed on
 * commit a5d5e68, which waits for the body. */
static void
test_other_ports_refuse_a_large_body(void **state)
{
	static const char request[] =
	    "POST /readyz HTTP/1.1\r\nHost: h\r\nContent-Length: 4097\r\n\r\n";
	const char *const addrs[] = {t.ready, t.directory, t.metrics};
	struct kit_caller *c;
	unsigned i;

	(void)state;
	for (i = 0; i < 3; i++) {
		c = kit_caller_open(t.loop, addrs[i], request);
		assert_true(kit_until(t.loop, 5000, c->closed));
		assert_non_null(
		    strstr(kit_caller_received(c), "HTTP/1.1 413 "));
		kit_caller_free(c);
	}
	assert_true(is_ready());
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
#define BOTH(name) T(test_##name), T(test_##name##_reused)
	    BOTH(declared),
	    BOTH(whole),
	    BOTH(small_chunks),
	    BOTH(large_chunks),
	    BOTH(over_declared),
	    BOTH(over_sent),
	    BOTH(single_bytes),
	    BOTH(heads),
	    BOTH(unread_answers),
	    BOTH(unread_streams),
	    BOTH(pipelined),
	    T(test_single_requests_of_the_largest_size),
	    T(test_other_ports_refuse_a_large_body),
#undef BOTH
#undef T
	};

	build_blocks();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
