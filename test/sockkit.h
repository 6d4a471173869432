/*
 * sockkit.h -- scripted endpoints and callers on loopback, driven by the
 * event loop of the test.
 */
#ifndef MU_SOCKKIT_H
#define MU_SOCKKIT_H

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buf.h"
#include "loop.h"

#define KIT_MAX_CONNS 64

static inline int
kit_listen(char addr[MU_ADDR_LEN])
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)bind(fd, (struct sockaddr *)&sin, len);
	(void)listen(fd, 64);
	(void)getsockname(fd, (struct sockaddr *)&sin, &len);
	(void)snprintf(addr, MU_ADDR_LEN, "127.0.0.1:%u", ntohs(sin.sin_port));
	return fd;
}

/* Returns an address without a listener. */
static inline void
kit_unused_addr(char addr[MU_ADDR_LEN])
{
	(void)close(kit_listen(addr));
}

/*
 * How a scripted endpoint handles one request.  Requests use the steps in
 * order; the last step repeats.
 */
struct kit_step {
	const char *answer; /* NULL: none.  $ID becomes the request's id */
	bool close; /* after the answer */
	bool reset; /* after the answer */
};

struct kit_endpoint;

struct kit_conn {
	struct kit_endpoint *endpoint;
	struct mu_watch watch;
	struct mu_buf in;
	bool open;
	const char *endless; /* NULL: none */
	size_t endless_bytes; /* sent */
};

struct kit_endpoint {
	struct mu_loop *loop;
	struct mu_watch watch;
	char addr[MU_ADDR_LEN];
	const struct kit_step *steps;
	unsigned nsteps;
	const char *endless; /* sent repeatedly until the peer closes */
	size_t endless_most; /* then silence, for each connection; 0: no end */
	size_t endless_block; /* bytes at a time; 0: as many as fit */
	unsigned requests; /* complete requests */
	unsigned accepted;
	unsigned closed_by_peer; /* connections closed by the daemon */
	size_t endless_bytes; /* sent */
	char last[65536]; /* last request */
	struct kit_conn conn[KIT_MAX_CONNS];
};

static inline void
kit_conn_close(struct kit_conn *c, bool reset)
{
	struct linger l = {1, 0};

	if (!c->open)
		return;
	if (reset)
		(void)setsockopt(
		    c->watch.fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	mu_watch_del(c->endpoint->loop, &c->watch);
	(void)close(c->watch.fd);
	mu_buf_clear(&c->in);
	c->open = false;
}

/* Sends text with $ID replaced by id. */
static inline void
kit_send(int fd, const char *text, const char *id)
{
	struct mu_buf out = {0};
	const char *p;

	for (; (p = strstr(text, "$ID")) != NULL; text = p + 3) {
		(void)mu_buf_add(&out, text, (size_t)(p - text));
		(void)mu_buf_add(&out, id, strlen(id));
	}
	(void)mu_buf_add(&out, text, strlen(text));
	(void)!write(fd, mu_buf_data(&out), mu_buf_len(&out));
	mu_buf_clear(&out);
}

static inline bool
kit_header(const char *request, const char *name, char *to, size_t size)
{
	char line[128];
	const char *p;

	(void)snprintf(line, sizeof(line), "\r\n%s: ", name);
	p = strcasestr(request, line);
	if (p == NULL)
		return false;
	p += strlen(line);
	(void)snprintf(to, size, "%.*s", (int)strcspn(p, "\r"), p);
	return true;
}

static inline void
kit_conn_answer(struct kit_conn *c)
{
	const struct kit_step *s;
	struct kit_endpoint *e = c->endpoint;
	char *head = mu_buf_data(&c->in), *end, text[64], id[256] = "";
	size_t need;

	end = mu_buf_len(&c->in) > 0 ? strstr(head, "\r\n\r\n") : NULL;
	if (end == NULL)
		return;
	need = (size_t)(end - head) + 4;
	if (kit_header(head, "Content-Length", text, sizeof(text)))
		need += strtoul(text, NULL, 10);
	if (mu_buf_len(&c->in) < need)
		return;
	(void)snprintf(e->last, sizeof(e->last), "%.*s", (int)need, head);
	(void)kit_header(head, "Request-Id", id, sizeof(id));
	mu_buf_consume(&c->in, need);
	s = &e->steps[e->requests < e->nsteps ? e->requests : e->nsteps - 1];
	e->requests++;
	if (s->answer != NULL)
		kit_send(c->watch.fd, s->answer, id);
	if (s->close || s->reset)
		kit_conn_close(c, s->reset);
	c->endless = e->endless;
	c->endless_bytes = 0;
	if (c->open && c->endless != NULL)
		mu_watch_set(e->loop, &c->watch, EPOLLIN | EPOLLOUT);
}

/* Sends the endless bytes repeatedly; false once the peer has closed. */
static inline bool
kit_send_endless(struct kit_conn *c)
{
	char data[65536];
	size_t n = strlen(c->endless), most = sizeof(data), i;
	ssize_t sent;

	if (c->endpoint->endless_most > 0 &&
	    most > c->endpoint->endless_most - c->endless_bytes)
		most = c->endpoint->endless_most - c->endless_bytes;
	if (c->endpoint->endless_block > 0 && most > c->endpoint->endless_block)
		most = c->endpoint->endless_block;
	for (i = 0; i == 0 || i + n <= most; i += n)
		memcpy(data + i, c->endless, n);
	/* Only whole repetitions: a cut one would change what is parsed. */
	sent = send(c->watch.fd, data, i, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent < 0)
		return errno == EAGAIN;
	c->endpoint->endless_bytes += (size_t)sent;
	c->endless_bytes += (size_t)sent;
	if (c->endpoint->endless_most > 0 &&
	    c->endless_bytes >= c->endpoint->endless_most) {
		c->endless = NULL;
		mu_watch_set(c->endpoint->loop, &c->watch, EPOLLIN);
	}
	return true;
}

static inline void
kit_conn_readable(void *arg, uint32_t events)
{
	struct kit_conn *c = arg;
	char *room = mu_buf_reserve(&c->in, 65536);
	ssize_t n;

	if (c->endless != NULL && !kit_send_endless(c)) {
		c->endpoint->closed_by_peer++;
		kit_conn_close(c, false);
		return;
	}
	if ((events & ~(uint32_t)EPOLLOUT) == 0)
		return;
	n = recv(c->watch.fd, room, 65536, MSG_DONTWAIT);
	if (n <= 0) {
		c->endpoint->closed_by_peer++;
		kit_conn_close(c, false);
		return;
	}
	c->in.len += (size_t)n;
	c->in.p[c->in.len] = '\0';
	kit_conn_answer(c);
}

static inline void
kit_endpoint_accept(void *arg, uint32_t events)
{
	struct kit_endpoint *e = arg;
	struct kit_conn *c;
	int i, fd;

	(void)events;
	fd = accept4(e->watch.fd, NULL, NULL, SOCK_NONBLOCK);
	if (fd < 0)
		return;
	e->accepted++;
	for (i = 0; i < KIT_MAX_CONNS && e->conn[i].open; i++)
		continue;
	c = &e->conn[i % KIT_MAX_CONNS];
	c->endpoint = e;
	c->open = true;
	c->endless = NULL;
	c->watch.fd = fd;
	c->watch.events = EPOLLIN;
	c->watch.fn = kit_conn_readable;
	c->watch.arg = c;
	(void)mu_watch_add(e->loop, &c->watch);
}

static inline struct kit_endpoint *
kit_endpoint(struct mu_loop *l, const struct kit_step *steps, unsigned n)
{
	struct kit_endpoint *e = calloc(1, sizeof(*e));

	e->loop = l;
	e->steps = steps;
	e->nsteps = n;
	e->watch.fd = kit_listen(e->addr);
	e->watch.events = EPOLLIN;
	e->watch.fn = kit_endpoint_accept;
	e->watch.arg = e;
	(void)mu_watch_add(l, &e->watch);
	return e;
}

static inline void
kit_endpoint_free(struct kit_endpoint *e)
{
	int i;

	for (i = 0; i < KIT_MAX_CONNS; i++)
		kit_conn_close(&e->conn[i], false);
	if (e->watch.fd >= 0) {
		mu_watch_del(e->loop, &e->watch);
		(void)close(e->watch.fd);
	}
	free(e);
}

/* Simulates a crash: stops listening and resets all connections. */
static inline void
kit_endpoint_kill(struct kit_endpoint *e)
{
	int i;

	for (i = 0; i < KIT_MAX_CONNS; i++)
		kit_conn_close(&e->conn[i], true);
	mu_watch_del(e->loop, &e->watch);
	(void)close(e->watch.fd);
	e->watch.fd = -1;
}

/* A caller's connection. */
struct kit_caller {
	struct mu_loop *loop;
	struct mu_watch watch;
	struct mu_buf in;
	bool closed; /* by the daemon */
	bool reset; /* closed by a reset */
};

static inline void
kit_caller_read(void *arg, uint32_t events)
{
	struct kit_caller *c = arg;
	char *room = mu_buf_reserve(&c->in, 65536);
	ssize_t n = recv(c->watch.fd, room, 65536, MSG_DONTWAIT);

	(void)events;
	if (n <= 0) {
		c->closed = true;
		c->reset = n < 0;
		mu_watch_del(c->loop, &c->watch);
		return;
	}
	c->in.len += (size_t)n;
	c->in.p[c->in.len] = '\0';
}

static inline struct kit_caller *
kit_caller_open(struct mu_loop *l, const char *addr, const char *request)
{
	struct kit_caller *c = calloc(1, sizeof(*c));
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[MU_ADDR_LEN];
	uint16_t port;

	(void)mu_addr_parse(addr, ip, &port);
	sin.sin_port = htons(port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	c->loop = l;
	c->watch.fd = socket(AF_INET, SOCK_STREAM, 0);
	(void)connect(c->watch.fd, (struct sockaddr *)&sin, sizeof(sin));
	(void)!write(c->watch.fd, request, strlen(request));
	c->watch.events = EPOLLIN;
	c->watch.fn = kit_caller_read;
	c->watch.arg = c;
	(void)mu_watch_add(l, &c->watch);
	return c;
}

static inline void
kit_caller_free(struct kit_caller *c)
{
	if (!c->closed)
		mu_watch_del(c->loop, &c->watch);
	(void)close(c->watch.fd);
	mu_buf_clear(&c->in);
	free(c);
}

static inline const char *
kit_caller_received(const struct kit_caller *c)
{
	return mu_buf_len(&c->in) > 0 ? mu_buf_data(&c->in) : "";
}

/* Runs the loop for about ms. */
static inline void
kit_run_ms(struct mu_loop *l, int ms)
{
	while (ms-- > 0)
		mu_loop_once(l, 1);
}

/* Runs the loop until cond holds; false after ms. */
#define kit_until(l, ms, cond) \
	({ \
		int left_ = (ms); \
		while (!(cond) && left_-- > 0) \
			mu_loop_once((l), 1); \
		(cond); \
	})

#endif
