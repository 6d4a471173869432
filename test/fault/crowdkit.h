/*
 * crowdkit.h -- a serving daemon under a load that makes it hold memory.
 *
 * The daemon is a real process; its store, its endpoint and its callers are
 * played by the test program.
 *
 * The settings of the limits are left out for a daemon that doesn't know them,
 * so that the same load and bounds run on releases before them.
 */
#ifndef CROWDKIT_H
#define CROWDKIT_H

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

#define FLOOD_ROUTE(name, type) \
	"{\"name\":\"flood-" name "\",\"host\":\"h\"," \
	"\"path_prefix\":\"/flood-" name "/\",\"type\":\"" type "\"," \
	"\"timeout_ms\":2000,\"service\":\"flood\",\"max_attempts\":2"

static const char config[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\","
    "\"type\":\"streaming\",\"service\":\"app\"},"
    "{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\","
    "\"type\":\"unsafe\",\"service\":\"app\"}," FLOOD_ROUTE(
	"order", "unsafe") "}," FLOOD_ROUTE("look",
	"safe") "}," FLOOD_ROUTE("chat", "streaming") "}," FLOOD_ROUTE("check",
	"streaming") ",\"resumable\":true}," FLOOD_ROUTE("turn",
	"streaming") ",\"keeps_history\":true,"
		     "\"retention_s\":60}],"
		     "\"services\":[{\"name\":\"app\"},{\"name\":\"flood\"}],"
		     "\"limits\":{}}";

/* The endpoint: /order/hold is never answered, /order/large and /chat/large
 * have large answers. */

static inline void
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

static inline void
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

static inline void
on_endpoint_closed(void *arg, struct mu_in_req *r, bool ok)
{
	(void)arg;
	(void)r;
	(void)ok;
}

static inline void
put_row(const char *table, const char *key, const char *text)
{
	t.mem->ver++;
	mem_put(t.mem, table, "", key, text, strlen(text));
}

static inline void
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

static inline bool
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
static inline bool
knows_limits(const char *path)
{
	const char *args[] = {"--check", "--settings", path, NULL};

	return proc_wait(proc_start("check", "cardamomusher", args)) == 0;
}

/* Starts the daemon on new addresses; false if it did not become ready. */
static inline bool
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

static inline void
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

static inline int
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
	t.before_kb = proc_status_kb(t.daemon, "VmHWM");
	return 0;
}

/* Clients. */

static inline void
client_close(struct client *c)
{
	if (c->closed)
		return;
	c->closed = true;
	mu_watch_del(t.loop, &c->watch);
	(void)close(c->watch.fd);
	mu_buf_clear(&c->head);
}

static inline int
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

static inline size_t
load_bytes(const struct client *c)
{
	return mu_buf_len(&c->head) + c->load->body_len;
}

/* The next bytes of a client; 0: it has sent all. */
static inline size_t
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

static inline void
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

static inline void
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

static inline void
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

static inline void
send_prime(struct client *c)
{
	char text[256];

	(void)snprintf(text, sizeof(text), prime, ++t.next_id);
	(void)!send(c->watch.fd, text, strlen(text), MSG_NOSIGNAL);
	mu_watch_set(t.loop, &c->watch, EPOLLIN);
}

static inline void
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
static inline void
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
static inline void
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
static inline int
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
static inline bool
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

/* The daemon lives, has stayed within the bounds, and answers an ordinary
 * request. */
static inline void
check_daemon(const char *name, unsigned clients)
{
	unsigned i, open = 0;
	bool answered;
	long grown_kb;

	count_descriptors();
	assert_true(proc_alive(t.daemon));
	for (i = 0; i < t.nclients; i++)
		open += !t.client[i].closed;
	answered = ordinary_request_is_answered();
	assert_true(proc_alive(t.daemon));
	grown_kb = proc_status_kb(t.daemon, "VmHWM") - t.before_kb;
	print_message("%s: %ld of %d MiB, %u of %d descriptors, %u of %u "
		      "connections left, %u passed on, ordinary request %s\n",
	    name, grown_kb / 1024, MEMORY_BOUND_MB, t.most_descriptors,
	    DESCRIPTOR_BOUND, open, clients, t.passed_on,
	    answered ? "answered" : "not answered");
	assert_in_range(grown_kb, 0, MEMORY_BOUND_MB * 1024);
	assert_in_range(t.most_descriptors, 1, DESCRIPTOR_BOUND);
	assert_true(answered);
}

#endif
