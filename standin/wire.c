/*
 * wire.c -- TCP relay that fault tests put between two processes.
 *
 * Each connection is a link with one thread for each direction, so that a
 * side that does not read never blocks the other direction.  A frozen link
 * passes neither data nor a close, like a middlebox that lost its connection
 * state; it ends when it is cut or when both sides have closed.
 *
 * "down" closes the listening socket, so that connects are refused.  This is
 * the only failure that proves that nothing was sent.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"
#include "serve.h"

#define CHUNK_BYTES 16384
#define LISTEN_BACKLOG 1024
#define ACCEPT_POLL_MS 20
#define PARK_POLL_MS 50

struct link {
	struct cds_list_head node;
	int fd[2]; /* the client's side, the server's side */
	bool frozen;
	bool cut;
	int open_directions; /* directions still running */
};

struct pump {
	struct link *link;
	int from; /* index into fd */
};

static struct {
	pthread_mutex_t lock; /* guards all below */
	struct cds_list_head links;
	int listener; /* -1 while "down" is set */
	const char *target;
} wire = {
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .links = CDS_LIST_HEAD_INIT(wire.links),
    .listener = -1,
};

static struct server server;

/* Opens the listening socket; -1 on failure. */
static int
listener_open(void)
{
	struct sockaddr_in sin;
	int fd, one = 1;

	if (mu_net_parse_addr(server.listen, &sin) != 0)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd == -1)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
	    listen(fd, LISTEN_BACKLOG) == 0)
		return fd;
	close(fd);
	return -1;
}

static int
connect_to(const char *addr)
{
	struct sockaddr_in sin;
	int fd;

	if (mu_net_parse_addr(addr, &sin) != 0)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd == -1)
		return -1;
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

static bool
flag_get(const bool *flag)
{
	return __atomic_load_n(flag, __ATOMIC_ACQUIRE);
}

static void
link_close(struct link *l)
{
	close(l->fd[0]);
	close(l->fd[1]);
	free(l);
}

/* Ends one direction; the last one to end closes the link. */
static void
link_end_direction(struct link *l)
{
	bool last;

	pthread_mutex_lock(&wire.lock);
	last = --l->open_directions == 0;
	if (last)
		cds_list_del(&l->node);
	pthread_mutex_unlock(&wire.lock);
	if (last)
		link_close(l);
}

/* Whether both sides have closed. */
static bool
link_both_closed(const struct link *l)
{
	struct pollfd p[2] = {
	    {l->fd[0], POLLRDHUP, 0}, {l->fd[1], POLLRDHUP, 0}};

	return poll(p, 2, 0) == 2;
}

static void
link_park(const struct link *l)
{
	while (!flag_get(&l->cut) && !link_both_closed(l))
		serve_sleep_ms(PARK_POLL_MS);
}

static bool
send_all(int fd, const char *buf, size_t n)
{
	ssize_t sent;

	while (n > 0) {
		sent = send(fd, buf, n, MSG_NOSIGNAL);
		if (sent <= 0)
			return false;
		buf += sent;
		n -= (size_t)sent;
	}
	return true;
}

static void *
pump_loop(void *arg)
{
	struct pump *p = arg;
	struct link *l = p->link;
	int from = l->fd[p->from], to = l->fd[1 - p->from];
	char buf[CHUNK_BYTES];
	ssize_t n;

	free(p);
	for (;;) {
		n = recv(from, buf, sizeof(buf), 0);
		if (n > 0)
			serve_sleep_ms(serve_get_faults(&server).slow_ms);
		if (flag_get(&l->frozen)) {
			link_park(l);
			break;
		}
		if (n <= 0 || !send_all(to, buf, (size_t)n))
			break;
	}
	shutdown(to, SHUT_WR);
	link_end_direction(l);
	return NULL;
}

static void
pump_start(struct link *l, int from)
{
	struct pump *p = malloc(sizeof(*p));
	pthread_t t;

	if (p == NULL)
		abort();
	p->link = l;
	p->from = from;
	if (pthread_create(&t, NULL, pump_loop, p) != 0)
		abort();
	pthread_detach(t);
}

static void
link_start(int client)
{
	struct link *l = calloc(1, sizeof(*l));
	int fd = connect_to(wire.target);

	if (l == NULL)
		abort();
	if (fd == -1) {
		close(client);
		free(l);
		return;
	}
	l->fd[0] = client;
	l->fd[1] = fd;
	l->open_directions = 2;
	pthread_mutex_lock(&wire.lock);
	cds_list_add_tail(&l->node, &wire.links);
	pthread_mutex_unlock(&wire.lock);
	pump_start(l, 0);
	pump_start(l, 1);
}

static void *
accept_loop(void *arg)
{
	struct pollfd p = {.events = POLLIN};
	int fd;

	(void)arg;
	for (;;) {
		pthread_mutex_lock(&wire.lock);
		p.fd = wire.listener;
		pthread_mutex_unlock(&wire.lock);
		poll(&p, 1, ACCEPT_POLL_MS);
		pthread_mutex_lock(&wire.lock);
		fd = accept4(wire.listener, NULL, NULL, SOCK_CLOEXEC);
		pthread_mutex_unlock(&wire.lock);
		if (fd != -1)
			link_start(fd);
	}
	return NULL;
}

static void
links_freeze(void)
{
	struct link *l;

	cds_list_for_each_entry (l, &wire.links, node) {
		__atomic_store_n(&l->frozen, true, __ATOMIC_RELEASE);
	}
}

static void
links_cut(void)
{
	struct link *l;

	cds_list_for_each_entry (l, &wire.links, node) {
		__atomic_store_n(&l->cut, true, __ATOMIC_RELEASE);
		shutdown(l->fd[0], SHUT_RDWR);
		shutdown(l->fd[1], SHUT_RDWR);
	}
}

static void
on_fault(struct server *s, const json_t *fields)
{
	bool down = serve_get_faults(s).down;

	pthread_mutex_lock(&wire.lock);
	if (json_is_true(json_object_get(fields, "freeze")))
		links_freeze();
	if (json_is_true(json_object_get(fields, "cut")))
		links_cut();
	if (down && wire.listener != -1) {
		/* A poll() in progress keeps the socket open past close(). */
		shutdown(wire.listener, SHUT_RDWR);
		close(wire.listener);
		wire.listener = -1;
	} else if (!down && wire.listener == -1) {
		wire.listener = listener_open();
	}
	pthread_mutex_unlock(&wire.lock);
}

static void
start(struct server *s)
{
	pthread_t t;

	(void)s;
	wire.listener = listener_open();
	if (wire.listener == -1) {
		perror(server.listen);
		exit(1);
	}
	if (pthread_create(&t, NULL, accept_loop, NULL) != 0)
		abort();
}

static struct server server = {
    .name = "wire",
    .start = start,
    .on_fault = on_fault,
};

static error_t
parse(int key, char *arg, struct argp_state *st)
{
	switch (key) {
	case ARGP_KEY_INIT:
		st->child_inputs[0] = &server;
		return 0;
	case 't':
		wire.target = arg;
		return 0;
	case ARGP_KEY_END:
		if (wire.target == NULL)
			argp_error(st, "--to is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
    {"to", 't', "IP:PORT", 0, "Relay to this address", 0},
    {0},
};

int
main(int argc, char **argv)
{
	static const struct argp_child children[] = {
	    {&serve_argp, 0, NULL, 0}, {0}};
	static const struct argp argp = {.options = options,
	    .parser = parse,
	    .doc = "Relay that freezes, cuts, delays or refuses connections.",
	    .children = children};

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	return serve_run(&server);
}
