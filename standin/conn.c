/*
 * conn.c -- open connections of a stand-in.
 *
 * "freeze" marks all connections that are open at that moment.  The thread of
 * a marked connection parks before it passes bytes in either direction.
 * Connections that open later are not affected.
 */
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "serve_private.h"

#define PARK_POLL_MS 100

bool
conn_frozen(const struct serve_conn *conn)
{
	return conn != NULL && __atomic_load_n(&conn->frozen, __ATOMIC_ACQUIRE);
}

static bool
conn_closed(const struct serve_conn *conn, int wait_ms)
{
	struct pollfd p = {conn->fd, POLLRDHUP, 0};

	return poll(&p, 1, wait_ms) > 0;
}

bool
serve_client_closed(const struct serve_conn *conn)
{
	return conn != NULL && !conn_frozen(conn) && conn_closed(conn, 0);
}

void
conn_park(const struct serve_conn *conn)
{
	while (!conn_closed(conn, PARK_POLL_MS))
		continue;
}

void
conns_freeze(struct server *s)
{
	struct serve_conn *c;

	pthread_mutex_lock(&s->lock);
	cds_list_for_each_entry (c, &s->conns, node) {
		__atomic_store_n(&c->frozen, true, __ATOMIC_RELEASE);
	}
	pthread_mutex_unlock(&s->lock);
}

void
conns_cut(struct server *s)
{
	struct serve_conn *c;

	pthread_mutex_lock(&s->lock);
	cds_list_for_each_entry (c, &s->conns, node) {
		shutdown(c->fd, SHUT_RDWR);
	}
	pthread_mutex_unlock(&s->lock);
}

void
conn_notify(void *cls, struct MHD_Connection *mhd, void **ctx,
    enum MHD_ConnectionNotificationCode code)
{
	struct server *s = cls;
	struct serve_conn *c = *ctx;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		if ((c = calloc(1, sizeof(*c))) == NULL)
			return;
		c->fd = MHD_get_connection_info(
		    mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
			    ->connect_fd;
		pthread_mutex_lock(&s->lock);
		cds_list_add_tail(&c->node, &s->conns);
		pthread_mutex_unlock(&s->lock);
		*ctx = c;
	} else if (c != NULL) {
		pthread_mutex_lock(&s->lock);
		cds_list_del(&c->node);
		pthread_mutex_unlock(&s->lock);
		free(c);
		*ctx = NULL;
	}
}

enum MHD_Result
conn_accept(void *cls, const struct sockaddr *addr, socklen_t len)
{
	struct server *s = cls;

	(void)addr;
	(void)len;
	return serve_get_faults(s).down ? MHD_NO : MHD_YES;
}
