/*
 * fault_crowd.c -- many callers that make a serving daemon hold memory and
 * descriptors.
 *
 * The daemon is a real process; its store, its endpoint and the callers are
 * played by this program.  Each case sends a fixed load and checks what does
 * not depend on the machine's speed: the daemon lives, its peak of resident
 * memory and its open descriptors stay under a bound, and one ordinary request
 * is answered afterwards, while the load's connections are still open.
 *
 * The settings of the limits are left out for a daemon that doesn't know them,
 * so that the same load and bounds run on releases before them.
 */
#include <dirent.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "proc.h"
#include "tablekit.h"

#define MIB ((size_t)1 << 20)
#define BODY_MEMORY_MB 24
#define MAX_CONNECTIONS 64
#define OTHER_MEMORY_MB 32
#define DESCRIPTOR_RESERVE 512
#define MEMORY_BOUND_MB (BODY_MEMORY_MB + OTHER_MEMORY_MB) /* beyond before */
#define DESCRIPTOR_BOUND (MAX_CONNECTIONS + DESCRIPTOR_RESERVE)

#define CLIENTS_MAX 700
#define CLIENTS_PER_ADDRESS 4
#define BODY_CLIENTS 24
#define BODY_BYTES 4000000 /* under the limit of 4 MiB */
#define OVER_BYTES 40000000
#define HEAD_CLIENTS 640
#define HEAD_BYTES 16000
#define ANSWER_CLIENTS 40
#define ANSWER_BYTES 2000000 /* under the daemon's 2 MiB for a whole answer */
#define STREAM_CLIENTS 24
#define STREAM_BYTES 8000000
#define EVENT_BYTES 4000
#define PIPELINED 300
#define SINGLE_BYTES 2000 /* sent one at a time */
#define SEND_BLOCK_BYTES 65536
#define QUIET_MS \
	1500 /* the load has ended once no byte moves for this long \
	      */
#define LOAD_LIMIT_MS 60000
#define START_TURNS 5000 /* of the loop, until the daemon is ready */
/* Another program may have taken an address that was unused before. */
#define START_TRIES 5
#define TRIES 40 /* of the ordinary request, for 503 */
#define TRY_MS 500

/* What each client of a case sends: head, then the block repeatedly. */
struct load {
	const char *name;
	unsigned clients;
	const char *path;
	const char *framing; /* header lines of the body */
	const char *block;
	size_t block_len;
	size_t body_len; /* bytes sent after the head */
	size_t head_len; /* 0: the whole head */
	unsigned pipelined; /* whole requests before it */
	bool single_bytes;
	bool reads_nothing;
	bool reused; /* a request is answered on each connection before */
};

struct client {
	struct mu_watch watch;
	const struct load *load;
	struct mu_buf head;
	size_t sent; /* of head and body */
	bool primed; /* the request before the load is answered */
	bool closed;
};

static struct {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct tablekit store;
	struct mu_inbound *endpoint;
	char endpoint_addr[MU_ADDR_LEN];
	struct proc *daemon;
	char addr[MU_ADDR_LEN];
	char ready[MU_ADDR_LEN];
	char directory[MU_ADDR_LEN];
	char metrics[MU_ADDR_LEN];
	struct client *client;
	unsigned nclients;
	unsigned next_id;
	size_t moved; /* bytes, of all clients */
	unsigned passed_on; /* requests at the endpoint */
	size_t last_body; /* length of the last one */
	long before_kb; /* VmHWM before the load */
	unsigned most_descriptors;
} t;

static const char config[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\","
    "\"type\":\"streaming\",\"service\":\"app\"},"
    "{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\","
    "\"type\":\"unsafe\",\"service\":\"app\"}],"
    "\"services\":[{\"name\":\"app\"}],\"limits\":{}}";

/* The endpoint: /order/hold is never answered, /order/large and /chat/large
 * have large answers. */

static void
answer_stream(struct mu_in_req *r, const struct mu_header *h)
{
	static char event[EVENT_BYTES + 1];
	size_t n;

	memset(event, 'e', EVENT_BYTES);
	event[snprintf(event, sizeof(event), "data: ")] = 'e';
	event[EVENT_BYTES - 2] = event[EVENT_BYTES - 1] = '\n';
	mu_in_stream_begin(r, 200, h, 2);
	for (n = 0; n < STREAM_BYTES; n += EVENT_BYTES)
		mu_in_stream_write(r, event, EVENT_BYTES);
	mu_in_stream_end(r, true);
}

static void
on_endpoint_request(void *arg, struct mu_in_req *r)
{
	static char large[ANSWER_BYTES];
	const char *id = mu_in_header(r, "Request-Id");
	struct mu_header h[] = {{"Request-Id", id}, {"Server-Signature", "s"}};

	(void)arg;
	t.passed_on++;
	t.last_body = mu_buf_len(&r->body);
	if (strcmp(r->target, "/order/hold") == 0)
		return;
	if (strcmp(r->target, "/chat/large") == 0)
		answer_stream(r, h);
	else if (strcmp(r->target, "/order/large") == 0)
		mu_in_answer(r, 200, h, 2, large, sizeof(large));
	else
		mu_in_answer(r, 200, h, 2, "done", 4);
}

static void
on_endpoint_closed(void *arg, struct mu_in_req *r, bool ok)
{
	(void)arg;
	(void)r;
	(void)ok;
}

static void
put_row(const char *table, const char *key, const char *text)
{
	t.mem->ver++;
	mem_put(t.mem, table, "", key, text, strlen(text));
}

static void
open_endpoint(void)
{
	struct mu_in_conf c = {0};
	struct mu_error e;
	char row[512];

	kit_unused_addr(t.endpoint_addr);
	c.listen = t.endpoint_addr;
	c.max_body = 1 << 23;
	c.max_connections = 400;
	c.idle_s = 60;
	c.hooks.request = on_endpoint_request;
	c.hooks.closed = on_endpoint_closed;
	assert_int_equal(mu_in_open(&t.endpoint, t.loop, &c, &e), 0);
	(void)snprintf(row, sizeof(row),
	    "{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"z\","
	    "\"slots\":100,\"state\":\"ready\",\"sequence\":1}",
	    t.endpoint_addr);
	put_row("servers", "i-0", row);
}

/* The daemon. */

static bool
is_ready(void)
{
	struct kit_caller *c = kit_caller_open(
	    t.loop, t.ready, "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
	int status = 0;

	(void)kit_until(t.loop, 200,
	    c->closed || strstr(kit_caller_received(c), "\r\n\r\n") != NULL);
	(void)sscanf(kit_caller_received(c), "HTTP/1.1 %d", &status);
	kit_caller_free(c);
	return status == 200;
}

/* Whether the daemon knows the settings of the limits. */
static bool
knows_limits(const char *path)
{
	const char *args[] = {"--check", "--settings", path, NULL};

	return proc_wait(proc_start("check", "cardamomusher", args)) == 0;
}

/* Starts the daemon on new addresses; false if it did not become ready. */
static bool
start_daemon(void)
{
	char mesh[MU_ADDR_LEN], text[1024], path[256];
	const char *args[] = {"--settings", path, NULL};
	int n;

	kit_unused_addr(t.addr);
	kit_unused_addr(t.ready);
	kit_unused_addr(t.directory);
	kit_unused_addr(mesh);
	kit_unused_addr(t.metrics);
	n = snprintf(text, sizeof(text),
	    "host: d0\ndomain: z\nregion: r\ncaller_addr: %s\n"
	    "ready_addr: %s\ndirectory_addr: %s\nmesh_addr: %s\n"
	    "metrics_addr: %s\nstore_addr: %s\n",
	    t.addr, t.ready, t.directory, mesh, t.metrics, t.store.addr);
	(void)snprintf(text + n, sizeof(text) - (size_t)n,
	    "body_memory_mb: %d\nmax_connections: %d\n", BODY_MEMORY_MB,
	    MAX_CONNECTIONS);
	proc_write(path, sizeof(path), "d0.yaml", text);
	if (!knows_limits(path)) {
		text[n] = '\0';
		proc_write(path, sizeof(path), "d0.yaml", text);
	}
	t.daemon = proc_start("d0", "cardamomusher", args);
	return kit_until(
		   t.loop, START_TURNS, is_ready() || !proc_alive(t.daemon)) &&
	       proc_alive(t.daemon);
}

/* Peak of resident memory, in KiB. */
static long
peak_kb(void)
{
	char path[64], line[128];
	long kb = -1;
	FILE *f;

	(void)snprintf(
	    path, sizeof(path), "/proc/%d/status", (int)t.daemon->pid);
	f = fopen(path, "re");
	assert_non_null(f);
	while (kb < 0 && fgets(line, sizeof(line), f) != NULL)
		(void)sscanf(line, "VmHWM: %ld", &kb);
	(void)fclose(f);
	return kb;
}

static void
count_descriptors(void)
{
	char path[64];
	unsigned n = 0;
	DIR *d;

	(void)snprintf(path, sizeof(path), "/proc/%d/fd", (int)t.daemon->pid);
	d = opendir(path);
	if (d == NULL)
		return;
	while (readdir(d) != NULL)
		n++;
	(void)closedir(d);
	if (n > t.most_descriptors)
		t.most_descriptors = n;
}

static int
setup(void **state)
{
	unsigned i;

	memset(&t, 0, sizeof(t));
	signal(SIGPIPE, SIG_IGN);
	if (proc_setup(state) != 0 || sodium_init() < 0)
		return -1;
	mu_clock_real(&t.clock);
	t.loop = mu_loop_new(&t.clock);
	t.mem = calloc(1, sizeof(*t.mem));
	t.client = calloc(CLIENTS_MAX, sizeof(*t.client));
	if (tablekit_open(&t.store, t.loop, t.mem) != 0)
		return -1;
	put_row("op", "config", config);
	open_endpoint();
	for (i = 0; i < START_TRIES && !start_daemon(); i++)
		proc_kill(t.daemon);
	assert_true(i < START_TRIES);
	t.before_kb = peak_kb();
	return 0;
}

/* Clients. */

static void
client_close(struct client *c)
{
	if (c->closed)
		return;
	c->closed = true;
	mu_watch_del(t.loop, &c->watch);
	(void)close(c->watch.fd);
	mu_buf_clear(&c->head);
}

static int
teardown(void **state)
{
	unsigned i;

	for (i = 0; i < t.nclients; i++)
		client_close(&t.client[i]);
	free(t.client);
	proc_end_all();
	kit_run_ms(t.loop, 50);
	mu_in_close(t.endpoint);
	mu_in_close(t.store.in);
	mu_loop_free(t.loop);
	mem_free(t.mem);
	return proc_teardown(state);
}

static size_t
load_bytes(const struct client *c)
{
	return mu_buf_len(&c->head) + c->load->body_len;
}

/* The next bytes of a client; 0: it has sent all. */
static size_t
next_bytes(const struct client *c, const char **data)
{
	const struct load *l = c->load;
	size_t head = mu_buf_len(&c->head), at, n;

	if (c->sent < head) {
		*data = mu_buf_data(&c->head) + c->sent;
		return head - c->sent;
	}
	if (c->sent == load_bytes(c))
		return 0;
	at = (c->sent - head) % l->block_len;
	n = load_bytes(c) - c->sent;
	*data = l->block + at;
	if (n > l->block_len - at)
		n = l->block_len - at;
	return l->single_bytes ? 1 : n;
}

static void
client_write(struct client *c)
{
	const char *data;
	ssize_t n;
	size_t max, left = SEND_BLOCK_BYTES;

	while (left > 0 && (max = next_bytes(c, &data)) > 0) {
		n = send(c->watch.fd, data, max < left ? max : left,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno != EAGAIN)
			client_close(c);
		if (n < 0)
			return;
		c->sent += (size_t)n;
		t.moved += (size_t)n;
		left -= (size_t)n;
		if (c->load->single_bytes && max == 1)
			return;
	}
	if (max == 0)
		mu_watch_set(
		    t.loop, &c->watch, c->load->reads_nothing ? 0 : EPOLLIN);
}

static void
build_head(struct client *c)
{
	const struct load *l = c->load;
	struct mu_buf *b = &c->head;
	unsigned i;

	for (i = 0; i < l->pipelined; i++)
		(void)mu_buf_printf(b,
		    "POST /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: c%u\r\n"
		    "Content-Length: 2\r\n\r\nin",
		    ++t.next_id);
	(void)mu_buf_printf(b,
	    "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: c%u\r\n%s", l->path,
	    ++t.next_id, l->framing);
	while (l->head_len > 0 && mu_buf_len(b) < l->head_len)
		(void)mu_buf_printf(
		    b, "X-%u: %0100d\r\n", (unsigned)mu_buf_len(b), 0);
	if (l->head_len == 0)
		(void)mu_buf_add(b, "\r\n", 2);
}

static void
client_start(struct client *c)
{
	c->primed = true;
	build_head(c);
	mu_watch_set(t.loop, &c->watch,
	    c->load->reads_nothing ? EPOLLOUT : EPOLLIN | EPOLLOUT);
}

static const char prime[] =
    "POST /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: p%u\r\n"
    "Content-Length: 2\r\n\r\nin";

static void
send_prime(struct client *c)
{
	char text[256];

	(void)snprintf(text, sizeof(text), prime, ++t.next_id);
	(void)!send(c->watch.fd, text, strlen(text), MSG_NOSIGNAL);
	mu_watch_set(t.loop, &c->watch, EPOLLIN);
}

static void
on_client(void *arg, uint32_t events)
{
	struct client *c = arg;
	char data[SEND_BLOCK_BYTES];
	ssize_t n;

	if ((events & EPOLLIN) != 0 || (events & (EPOLLHUP | EPOLLERR)) != 0) {
		n = recv(c->watch.fd, data, sizeof(data), MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN)) {
			client_close(c);
			return;
		}
		if (n > 0)
			t.moved += (size_t)n;
		if (n > 0 && !c->primed)
			client_start(c);
	}
	if ((events & EPOLLOUT) == 0)
		return;
	if (c->primed)
		client_write(c);
	else
		send_prime(c);
}

/* Opens a connection from the i-th client's own loopback address. */
static void
client_open(const struct load *l, unsigned i)
{
	struct client *c = &t.client[t.nclients++];
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[MU_ADDR_LEN];
	int small = 4096;
	uint16_t port;

	c->load = l;
	c->watch.fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_true(c->watch.fd >= 0);
	if (l->reads_nothing)
		(void)setsockopt(
		    c->watch.fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	sin.sin_addr.s_addr =
	    htonl(INADDR_LOOPBACK + 1 + i / CLIENTS_PER_ADDRESS);
	(void)bind(c->watch.fd, (struct sockaddr *)&sin, sizeof(sin));
	(void)mu_addr_parse(t.addr, ip, &port);
	sin.sin_port = htons(port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)fcntl(c->watch.fd, F_SETFL, O_NONBLOCK);
	(void)connect(c->watch.fd, (struct sockaddr *)&sin, sizeof(sin));
	c->watch.fn = on_client;
	c->watch.arg = c;
	c->watch.events = EPOLLIN | EPOLLOUT;
	(void)mu_watch_add(t.loop, &c->watch);
	if (!l->reused)
		client_start(c);
}

/* Sends the load until it is sent, refused or waits for the daemon. */
static void
run_load(const struct load *l)
{
	mu_us start = mu_loop_now(t.loop), last = start;
	size_t moved = 0;
	unsigned i, turns = 0;

	for (i = 0; i < l->clients; i++)
		client_open(l, i);
	while (mu_loop_now(t.loop) - last < QUIET_MS * MU_US_PER_MS &&
	       mu_loop_now(t.loop) - start < LOAD_LIMIT_MS * MU_US_PER_MS) {
		mu_loop_once(t.loop, 10);
		if (t.moved != moved)
			last = mu_loop_now(t.loop);
		moved = t.moved;
		if (turns++ % 10 == 0)
			count_descriptors();
	}
}

/* The status of one ordinary request; 0: none. */
static int
ask(const char *request)
{
	struct kit_caller *c = kit_caller_open(t.loop, t.addr, request);
	int status = 0;

	(void)kit_until(t.loop, LOAD_LIMIT_MS,
	    c->closed || strstr(kit_caller_received(c), "\r\n\r\n") != NULL);
	(void)sscanf(kit_caller_received(c), "HTTP/1.1 %d", &status);
	kit_caller_free(c);
	return status;
}

/* A refusal states that the request has not run: the caller repeats it. */
static bool
ordinary_request_is_answered(void)
{
	char request[256];
	int status, i;

	for (i = 0; i < TRIES; i++) {
		(void)snprintf(request, sizeof(request), prime, ++t.next_id);
		status = ask(request);
		if (status == 200)
			return true;
		kit_run_ms(t.loop, TRY_MS);
	}
	return false;
}

static void
run_case(const struct load *l)
{
	unsigned i, open = 0;
	bool lives, answered;
	long grown_kb;

	run_load(l);
	count_descriptors();
	lives = proc_alive(t.daemon);
	assert_true(lives);
	for (i = 0; i < t.nclients; i++)
		open += !t.client[i].closed;
	answered = ordinary_request_is_answered();
	assert_true(proc_alive(t.daemon));
	grown_kb = peak_kb() - t.before_kb;
	print_message("%s, %s connections: %ld of %d MiB, %u of %d "
		      "descriptors, %u of %u connections left, %u passed "
		      "on, ordinary request %s\n",
	    l->name, l->reused ? "reused" : "new", grown_kb / 1024,
	    MEMORY_BOUND_MB, t.most_descriptors, DESCRIPTOR_BOUND, open,
	    l->clients, t.passed_on, answered ? "answered" : "not answered");
	assert_in_range(grown_kb, 0, MEMORY_BOUND_MB * 1024);
	assert_in_range(t.most_descriptors, 1, DESCRIPTOR_BOUND);
	assert_true(answered);
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
