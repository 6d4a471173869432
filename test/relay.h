/*
 * relay.h -- a TCP relay whose open connections can be frozen.
 *
 * It simulates a middlebox that has lost its state for a connection: data on
 * connections that were open at the freeze is not delivered, both ends stay
 * open, and new connections work.
 */
#ifndef MU_TEST_RELAY_H
#define MU_TEST_RELAY_H

#include <poll.h>

#include "fakehttp.h"

#define RELAY_CONNS_MAX 16 /* over the relay's lifetime */
#define RELAY_POLL_MS 5
#define RELAY_BUF_BYTES 65536

struct relay {
	char addr[64];
	int fd;
	struct sockaddr_in upstream;
	int pair[RELAY_CONNS_MAX][2]; /* client, upstream; -1: closed */
	int count; /* of pairs; atomic */
	int frozen_count; /* the first so many pairs are frozen; atomic */
	int stop; /* atomic */
	pthread_t thread;
};

static inline void
relay_accept(struct relay *r)
{
	int *p = r->pair[r->count];

	p[0] = accept(r->fd, NULL, NULL);
	p[1] = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(p[1], (struct sockaddr *)&r->upstream,
		sizeof(r->upstream)) != 0)
		abort();
	__atomic_add_fetch(&r->count, 1, __ATOMIC_SEQ_CST);
}

/* Copies available data from one side to the other; closes both at EOF. */
static inline void
relay_copy(int p[2], int from)
{
	static char buf[RELAY_BUF_BYTES];
	ssize_t n = recv(p[from], buf, sizeof(buf), MSG_DONTWAIT);

	if (n > 0 && send(p[1 - from], buf, (size_t)n, MSG_NOSIGNAL) == n)
		return;
	close(p[0]);
	close(p[1]);
	p[0] = p[1] = -1;
}

/* Polls once for data and connections; pf[0] is the listener. */
static inline void
relay_poll(struct relay *r)
{
	struct pollfd pf[1 + 2 * RELAY_CONNS_MAX] = {{r->fd, POLLIN, 0}};
	int frozen_count = __atomic_load_n(&r->frozen_count, __ATOMIC_SEQ_CST);
	int i, n = 1 + 2 * r->count;

	for (i = 1; i < n; i++) {
		pf[i].fd = r->pair[(i - 1) / 2][(i - 1) % 2];
		if ((i - 1) / 2 < frozen_count)
			pf[i].fd = -1;
		pf[i].events = POLLIN;
	}
	if (poll(pf, (nfds_t)n, RELAY_POLL_MS) <= 0)
		return;
	for (i = 1; i < n; i++) {
		if (pf[i].revents != 0 && r->pair[(i - 1) / 2][0] >= 0)
			relay_copy(r->pair[(i - 1) / 2], (i - 1) % 2);
	}
	if (pf[0].revents != 0 && r->count < RELAY_CONNS_MAX)
		relay_accept(r);
}

static inline void *
relay_main(void *arg)
{
	struct relay *r = arg;

	while (!__atomic_load_n(&r->stop, __ATOMIC_SEQ_CST))
		relay_poll(r);
	return NULL;
}

static inline void
relay_start(struct relay *r, const char *upstream)
{
	memset(r, 0, sizeof(*r));
	r->upstream.sin_family = AF_INET;
	r->upstream.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	r->upstream.sin_port = htons((uint16_t)atoi(strchr(upstream, ':') + 1));
	r->fd = fake_listen(r->addr, 16);
	if (pthread_create(&r->thread, NULL, relay_main, r) != 0)
		abort();
}

/* Freezes every connection that is open now. */
static inline void
relay_freeze(struct relay *r)
{
	int n = __atomic_load_n(&r->count, __ATOMIC_SEQ_CST);

	__atomic_store_n(&r->frozen_count, n, __ATOMIC_SEQ_CST);
}

static inline void
relay_stop(struct relay *r)
{
	int i;

	__atomic_store_n(&r->stop, 1, __ATOMIC_SEQ_CST);
	pthread_join(r->thread, NULL);
	close(r->fd);
	for (i = 0; i < r->count; i++) {
		if (r->pair[i][0] >= 0) {
			close(r->pair[i][0]);
			close(r->pair[i][1]);
		}
	}
}

#endif
