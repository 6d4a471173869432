/*
 * fakehttp.h -- scripted HTTP server on loopback for the client tests.
 *
 * Each connection runs the next step of the script; the last step repeats.  A
 * step normally reads one request, writes the given bytes and then ends or
 * keeps the connection.  Kept connections are closed by fake_stop().
 */
#ifndef MU_TEST_FAKEHTTP_H
#define MU_TEST_FAKEHTTP_H

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#ifndef FAKE_REQUEST_BYTES
#define FAKE_REQUEST_BYTES 65536
#endif
#define FAKE_HELD_MAX 16
#define FAKE_ACCEPT_LIMIT_MS 2000 /* for clients that have connected */
#define FAKE_TRICKLE_INTERVAL_US 1000

enum fake_action {
	FAKE_CLOSE,
	FAKE_HOLD, /* keeps the connection open and idle */
	FAKE_NO_READ, /* reads nothing and keeps the connection open */
	FAKE_CLOSE_UNREAD, /* closes without reading */
	FAKE_RESET, /* resets the connection */
	FAKE_TRICKLE /* sends single bytes until the client closes */
};

struct fake_step {
	const char *bytes;
	enum fake_action action;
};

struct fake {
	const struct fake_step *step;
	size_t nsteps;
	int fd;
	char addr[64];
	pthread_t thread;
	int held[FAKE_HELD_MAX];
	size_t nheld;
	int accepts; /* connections accepted; atomic */
	int requests; /* complete requests; atomic */
	char last[FAKE_REQUEST_BYTES]; /* last request; use after fake_stop() */
};

static inline int
fake_listen(char addr[64], int backlog)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, backlog) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0)
		abort();
	(void)snprintf(addr, 64, "127.0.0.1:%d", ntohs(sin.sin_port));
	return fd;
}

/* Reads one request; true if it is complete. */
static inline bool
fake_read(int fd, char *buf)
{
	size_t len = 0, need = 0;
	const char *head, *cl;
	ssize_t n;

	for (;;) {
		n = recv(fd, buf + len, FAKE_REQUEST_BYTES - 1 - len, 0);
		if (n <= 0)
			return false;
		len += (size_t)n;
		buf[len] = '\0';
		head = strstr(buf, "\r\n\r\n");
		if (head == NULL)
			continue;
		cl = strstr(buf, "Content-Length: ");
		need = (size_t)(head - buf) + 4;
		if (cl != NULL)
			need += strtoul(cl + 16, NULL, 10);
		if (len >= need)
			return true;
	}
}

/* Ends or keeps a connection after its step. */
static inline void
fake_finish(struct fake *f, int fd, enum fake_action action)
{
	static const struct linger reset = {1, 0};

	if ((action == FAKE_HOLD || action == FAKE_NO_READ) &&
	    f->nheld < FAKE_HELD_MAX) {
		f->held[f->nheld++] = fd;
		return;
	}
	if (action == FAKE_RESET)
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	while (action == FAKE_TRICKLE && send(fd, "x", 1, MSG_NOSIGNAL) == 1)
		usleep(FAKE_TRICKLE_INTERVAL_US);
	close(fd);
}

static inline void
fake_serve(struct fake *f, int fd, const struct fake_step *s)
{
	bool reads =
	    s->action != FAKE_NO_READ && s->action != FAKE_CLOSE_UNREAD;

	__atomic_add_fetch(&f->accepts, 1, __ATOMIC_SEQ_CST);
	if (reads && fake_read(fd, f->last)) {
		__atomic_add_fetch(&f->requests, 1, __ATOMIC_SEQ_CST);
		if (s->bytes != NULL)
			(void)!send(
			    fd, s->bytes, strlen(s->bytes), MSG_NOSIGNAL);
	}
	fake_finish(f, fd, s->action);
}

static inline void *
fake_main(void *arg)
{
	struct fake *f = arg;
	size_t i = 0;
	int fd;

	while ((fd = accept(f->fd, NULL, NULL)) >= 0) {
		fake_serve(f, fd, &f->step[i]);
		if (i + 1 < f->nsteps)
			i++;
	}
	return NULL;
}

static inline void
fake_start(struct fake *f, const struct fake_step *step, size_t nsteps)
{
	memset(f, 0, sizeof(*f));
	f->step = step;
	f->nsteps = nsteps;
	f->fd = fake_listen(f->addr, 16);
	if (pthread_create(&f->thread, NULL, fake_main, f) != 0)
		abort();
}

/* Whether a client has connected whose connection is not accepted yet. */
static inline bool
fake_has_pending(const struct fake *f)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	/* Of a listening socket this is the length of its accept queue. */
	return getsockopt(f->fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0 &&
	       info.tcpi_unacked > 0;
}

static inline void
fake_stop(struct fake *f)
{
	int left_ms = FAKE_ACCEPT_LIMIT_MS;
	size_t i;

	while (fake_has_pending(f) && left_ms-- > 0)
		usleep(1000);
	(void)shutdown(f->fd, SHUT_RDWR);
	pthread_join(f->thread, NULL);
	close(f->fd);
	for (i = 0; i < f->nheld; i++)
		close(f->held[i]);
}

/* Returns an address that refuses connections: bound, then closed. */
static inline void
fake_unused_addr(char addr[64])
{
	close(fake_listen(addr, 1));
}

/* Fills the accept queue at addr, so that further connects time out. */
static inline void
fake_fill_backlog(const char *addr, int fds[4])
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int i;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)atoi(strchr(addr, ':') + 1));
	for (i = 0; i < 4; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fds[i], (struct sockaddr *)&sin, sizeof(sin));
	}
}

#endif
