/*
 * listen.c -- incoming links from other daemons.
 *
 * One thread accepts connections.  Each incoming link has its own thread,
 * which performs the handshake and reads until the link closes.  The number
 * of links is limited; a connection beyond the limit is closed before
 * anything is read from it.  So that strangers cannot use all of them, the
 * number of handshakes is limited further; one more ends the oldest.
 */
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "metric.h"
#include "net.h"
#include "peerset.h"

#define INCOMING_LINKS_MAX 1024
/* Half of the descriptors that max_connections leaves. */
#define HANDSHAKES_MAX 256
#define ACCEPT_RETRY_MS 100U /* after accept() failed, e.g. with EMFILE */

/* An incoming link; link is set after the handshake. */
struct incoming {
	struct cds_list_head node; /* of the handshakes, then of the links */
	struct mu_peers *set;
	int fd;
	bool ended; /* the handshake, for a newer one */
	struct mu_link *link;
};

/* Adds the link to the set; false if the set is closing. */
static bool
incoming_register(struct incoming *in)
{
	struct mu_peers *p = in->set;
	bool closing;

	pthread_mutex_lock(&p->lock);
	closing = p->closing;
	if (!closing)
		cds_list_add_tail(&in->node, &p->incoming);
	pthread_mutex_unlock(&p->lock);
	return !closing;
}

static void
incoming_run(struct incoming *in, const char *host)
{
	struct mu_peers *p = in->set;

	in->link = mu_peers_link(p, in->fd, host, NULL);
	if (in->link == NULL)
		return;
	if (incoming_register(in)) {
		mu_link_run(in->link);
		pthread_mutex_lock(&p->lock);
		cds_list_del(&in->node);
		pthread_mutex_unlock(&p->lock);
	}
	mu_link_unref(in->link);
}

static void
handshake_begin(struct incoming *in)
{
	struct mu_peers *p = in->set;
	struct incoming *oldest;

	pthread_mutex_lock(&p->lock);
	cds_list_add_tail(&in->node, &p->handshakes);
	if (++p->nhandshakes > HANDSHAKES_MAX) {
		cds_list_for_each_entry (oldest, &p->handshakes, node)
			if (!oldest->ended)
				break;
		oldest->ended = true;
		p->nhandshakes--;
		(void)shutdown(oldest->fd, SHUT_RDWR);
		mu_count(MU_M_LINKS_REFUSED, 1);
	}
	pthread_mutex_unlock(&p->lock);
}

/* Must precede the close of the descriptor. */
static void
handshake_end(struct incoming *in)
{
	struct mu_peers *p = in->set;

	pthread_mutex_lock(&p->lock);
	cds_list_del(&in->node);
	if (!in->ended)
		p->nhandshakes--;
	pthread_mutex_unlock(&p->lock);
}

static void
incoming_main(void *arg)
{
	struct incoming *in = arg;
	struct mu_peers *p = in->set;
	char host[MU_NAME_LEN];
	int rc;

	rc = mu_hello_accept(&p->hello, in->fd, p->stop, p->connect_ms, host);
	handshake_end(in);
	if (rc == 0)
		incoming_run(in, host);
	else
		close(in->fd);
	free(in);
}

static void
incoming_start(struct mu_peers *p, int fd)
{
	struct incoming *in = calloc(1, sizeof(*in));

	if (in != NULL) {
		in->set = p;
		in->fd = fd;
		handshake_begin(in);
		if (mu_workers_start(&p->incoming_threads, incoming_main, in) ==
		    0)
			return;
		handshake_end(in);
	}
	free(in);
	close(fd);
}

/* Accepts one connection; pauses if accept() fails. */
static int
accept_one(struct mu_peers *p)
{
	int fd, rc;

	rc = mu_net_wait(p->listen_fd, POLLIN, p->stop, MU_US_NEVER);
	if (rc == MU_E_STOPPING)
		return rc;
	fd = accept4(p->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd >= 0) {
		incoming_start(p, fd);
		return 0;
	}
	rc = mu_net_wait(p->stop, POLLIN, -1, mu_net_deadline(ACCEPT_RETRY_MS));
	return rc == 0 ? MU_E_STOPPING : 0;
}

static void *
listener_main(void *arg)
{
	while (accept_one(arg) == 0)
		continue;
	return NULL;
}

int
mu_listen_start(struct mu_peers *p, const char *addr)
{
	int rc;

	mu_workers_init(&p->incoming_threads, INCOMING_LINKS_MAX);
	rc = mu_net_listen(addr, &p->listen_fd);
	if (rc != 0)
		goto no_listen;
	if (pthread_create(&p->listener, NULL, listener_main, p) == 0)
		return 0;
	rc = MU_E_SYSTEM;
	close(p->listen_fd);
no_listen:
	mu_workers_join(&p->incoming_threads);
	return rc;
}

void
mu_listen_stop(struct mu_peers *p)
{
	struct incoming *in;

	pthread_mutex_lock(&p->lock);
	cds_list_for_each_entry (in, &p->incoming, node)
		mu_link_stop(in->link);
	pthread_mutex_unlock(&p->lock);
	pthread_join(p->listener, NULL);
	mu_workers_join(&p->incoming_threads);
	close(p->listen_fd);
}
