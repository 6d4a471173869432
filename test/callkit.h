/*
 * callkit.h -- fixture of the tests that send requests through the adapter and
 * the whole serving path: real sockets, scripted endpoints, an in-memory store
 * with faults.
 */
#ifndef MU_CALLKIT_H
#define MU_CALLKIT_H

#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "adapter.h"
#include "memstore.h"
#include "sockkit.h"

#define NENDPOINTS 3
#define EVENT(n) "id: " n "\ndata: piece" n "\n\n"
#define HEAD(status) \
	"HTTP/1.1 " status "\r\nRequest-Id: $ID\r\nServer-Signature: s1\r\n" \
	"Instance-Load: 1,0,8\r\n"
#define PLAIN HEAD("200 OK") "Content-Length: 4\r\n\r\ndone"
#define REFUSAL \
	"HTTP/1.1 503 Busy\r\nRequest-Id: $ID\r\nNot-Executed: 1\r\n" \
	"Content-Length: 0\r\n\r\n"
#define CHUNKED HEAD("200 OK") "Transfer-Encoding: chunked\r\n\r\n"
/* A chunk with an event of 21 bytes (0x15). */
#define PIECE(n) "15\r\nid: " n "\ndata: piece " n "\n\n\r\n"
#define LAST_CHUNK "0\r\n\r\n"

static const char config[] =
    "{\"version\":3,\"routes\":["
    "{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\","
    "\"type\":\"streaming\",\"timeout_ms\":1500,\"service\":\"llm\","
    "\"max_attempts\":1,\"keeps_history\":true,\"retention_s\":60},"
    "{\"name\":\"both\",\"host\":\"h\",\"path_prefix\":\"/both/\","
    "\"type\":\"streaming\",\"timeout_ms\":1500,\"service\":\"llm\","
    "\"max_attempts\":2,\"keeps_history\":true,\"retention_s\":60,"
    "\"resumable\":true},"
    "{\"name\":\"check\",\"host\":\"h\",\"path_prefix\":\"/check/\","
    "\"type\":\"streaming\",\"timeout_ms\":1500,\"service\":\"llm\","
    "\"max_attempts\":1,\"resumable\":true},"
    "{\"name\":\"look\",\"host\":\"h\",\"path_prefix\":\"/look/\","
    "\"type\":\"safe\",\"timeout_ms\":1500,\"service\":\"app\","
    "\"max_attempts\":3},"
    "{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\","
    "\"type\":\"unsafe\",\"timeout_ms\":600,\"service\":\"app\","
    "\"max_attempts\":1}],"
    "\"services\":[{\"name\":\"llm\",\"engine\":{\"chunk_tokens\":17}},"
    "{\"name\":\"app\"}],\"limits\":{\"idle_timeout_ms\":15000}}";

/* Routes for customers c1 and c4, c2, whose rate is limited, and c3, who has no
 * key. */
#define CUSTOMERS(version, c1_keys) \
	"{\"version\":" version ",\"routes\":[" \
	"{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\"," \
	"\"type\":\"streaming\",\"timeout_ms\":1500,\"service\":\"llm\"," \
	"\"keeps_history\":true,\"retention_s\":60}," \
	"{\"name\":\"look\",\"host\":\"h\",\"path_prefix\":\"/look/\"," \
	"\"type\":\"safe\",\"timeout_ms\":1500,\"service\":\"app\"," \
	"\"max_attempts\":3}," \
	"{\"name\":\"open\",\"host\":\"h\",\"path_prefix\":\"/open/\"," \
	"\"type\":\"safe\",\"timeout_ms\":1500,\"service\":\"app\"," \
	"\"public\":true}," \
	"{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\"," \
	"\"type\":\"unsafe\",\"timeout_ms\":600,\"service\":\"app\"}]," \
	"\"services\":[{\"name\":\"llm\",\"engine\":{\"chunk_tokens\":17}}," \
	"{\"name\":\"app\"}],\"tenants\":[" \
	"{\"name\":\"c1\",\"api_keys\":[" c1_keys "]}," \
	"{\"name\":\"c2\",\"api_keys\":[\"k2\"],\"rate_per_s\":0.4," \
	"\"burst\":2}," \
	"{\"name\":\"c3\"}," \
	"{\"name\":\"c4\",\"api_keys\":[\"k4\"]}]}"

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct mu_serve serve;
	struct mu_inbound *in;
	char addr[MU_ADDR_LEN];
	char mesh[MU_ADDR_LEN];
	/* A second daemon, see start_second(). */
	struct mu_serve serve2;
	struct mu_inbound *in2;
	char addr2[MU_ADDR_LEN];
	char mesh2[MU_ADDR_LEN];
	struct kit_endpoint *end[NENDPOINTS];
	unsigned nends;
};

static inline bool
may_accept(void *arg)
{
	return mu_serve_may_accept(arg);
}

static inline void
start_daemon(struct fixture *f, struct mu_serve *s, struct mu_inbound **in,
    const char *host, char addr[MU_ADDR_LEN], char mesh[MU_ADDR_LEN])
{
	struct mu_store_backend b = mem_backend(f->mem, f->loop);
	struct mu_in_conf c = {0};
	struct mu_error e = {0};

	kit_unused_addr(addr);
	kit_unused_addr(mesh);
	s->adapter = &pf_adapter;
	s->conf.host = host;
	s->conf.domain = "east";
	s->conf.incarnation = 77;
	s->conf.caller_addr = addr;
	s->conf.mesh_addr = mesh;
	s->conf.config_fresh_ms = 5000;
	s->conf.limit_window_ms = 5000;
	assert_int_equal(mu_serve_open(s, f->loop, &b, &e), 0);
	c.listen = addr;
	c.max_body = 1 << 20;
	c.max_connections = 100;
	c.idle_s = 5;
	c.hooks.arg = s;
	c.hooks.request = pf_on_caller_request;
	c.hooks.closed = pf_on_caller_closed;
	c.hooks.may_accept = may_accept;
	assert_int_equal(mu_in_open(in, f->loop, &c, &e), 0);
}

static inline int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	mu_clock_real(&f->clock);
	f->loop = mu_loop_new(&f->clock);
	f->mem = calloc(1, sizeof(*f->mem));
	f->mem->ver = 1;
	(void)mem_backend(f->mem, f->loop);
	mem_put(f->mem, "op", "", "config", config, strlen(config));
	start_daemon(f, &f->serve, &f->in, "d1", f->addr, f->mesh);
	*state = f;
	return 0;
}

static inline int
teardown(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	f->mem->fault = MEM_HEALTHY;
	kit_run_ms(f->loop, 200);
	mu_in_close(f->in);
	mu_in_close(f->in2);
	mem_cancel_pending(f->mem);
	mu_serve_close(&f->serve);
	if (f->in2 != NULL)
		mu_serve_close(&f->serve2);
	for (i = 0; i < f->nends; i++)
		kit_endpoint_free(f->end[i]);
	mem_free(f->mem);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static inline struct kit_endpoint *
add_endpoint(struct fixture *f, const char *service,
    const struct kit_step *steps, unsigned n)
{
	struct kit_endpoint *e = kit_endpoint(f->loop, steps, n);
	char row[512], name[16];

	(void)snprintf(name, sizeof(name), "i-%u", f->nends);
	(void)snprintf(row, sizeof(row),
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"east\","
	    "\"slots\":8,\"state\":\"ready\",\"sequence\":1}",
	    service, e->addr);
	f->mem->ver++;
	mem_put(f->mem, "servers", "", name, row, strlen(row));
	f->end[f->nends++] = e;
	return e;
}

static inline void
wait_until_ready(struct fixture *f)
{
	assert_true(kit_until(f->loop, 3000,
	    mu_serve_ready(&f->serve) &&
		f->serve.targets.by_name.count == f->nends));
}

/* Puts a configuration in force. */
static inline void
configure(struct fixture *f, const char *text, uint64_t version)
{
	f->mem->ver++;
	mem_put(f->mem, "op", "", "config", text, strlen(text));
	assert_true(kit_until(f->loop, 3000,
	    f->serve.routes != NULL && f->serve.routes->version == version));
}

/* Until the daemon knows all that started with it, and lends. */
static inline void
wait_until_lending(struct fixture *f)
{
	wait_until_ready(f);
	assert_true(kit_until(f->loop, 6000, !f->serve.first_start));
}

static inline unsigned
peers_up(struct mu_serve *s)
{
	struct mu_peer *p;
	unsigned n = 0;

	cds_list_for_each_entry (p, mu_mesh_peers(s->mesh), node)
		n += p->up;
	return n;
}

static inline unsigned
peers_that_serve(struct mu_serve *s)
{
	struct mu_peer *p;
	unsigned n = 0;

	cds_list_for_each_entry (p, mu_mesh_peers(s->mesh), node)
		n += mu_peer_accepts_callers(p);
	return n;
}

/* Starts a second daemon; both know the endpoints and each other. */
static inline void
start_second(struct fixture *f)
{
	start_daemon(f, &f->serve2, &f->in2, "d2", f->addr2, f->mesh2);
	assert_true(kit_until(f->loop, 5000,
	    mu_serve_ready(&f->serve2) && peers_up(&f->serve) == 1 &&
		peers_up(&f->serve2) == 1 &&
		f->serve2.targets.by_name.count == f->nends));
}

/* Sends a request to a daemon and waits up to ms for its whole answer; the
 * result is freed with kit_caller_free(). */
static inline struct kit_caller *
call_at(struct fixture *f, const char *addr, const char *request, int ms)
{
	struct kit_caller *c = kit_caller_open(f->loop, addr, request);

	(void)kit_until(f->loop, ms,
	    c->closed ||
		strstr(kit_caller_received(c), "\r\n0\r\n\r\n") != NULL ||
		(strstr(kit_caller_received(c), "Content-Length: ") != NULL &&
		    strstr(kit_caller_received(c), "\r\n\r\n") != NULL));
	return c;
}

static inline struct kit_caller *
call(struct fixture *f, const char *request, int ms)
{
	return call_at(f, f->addr, request, ms);
}

static inline void
expect(struct fixture *f, const char *request, int ms, const char *want)
{
	struct kit_caller *c = call(f, request, ms);

	if (strstr(kit_caller_received(c), want) == NULL)
		print_message("got: %s\n", kit_caller_received(c));
	assert_non_null(strstr(kit_caller_received(c), want));
	kit_caller_free(c);
}

#define GET(path, id) \
	"GET " path " HTTP/1.1\r\nHost: h\r\nRequest-Id: " id \
	"\r\nDeadline-Ms: 1200\r\nHold: x\r\n\r\n"
#define ORDER(id) \
	"POST /order/1 HTTP/1.1\r\nHost: h:80\r\nRequest-Id: " id \
	"\r\nContent-Length: 3\r\n\r\nkit"
#define TURN(path, id, more) \
	"POST " path " HTTP/1.1\r\nHost: h\r\nRequest-Id: " id \
	"\r\nProgram-Id: p1\r\nToken-Budget: 3000\r\nToken-Usage: " \
	"10,289\r\n" more "Content-Length: 2\r\n\r\n" id

#endif
