/*
 * inconn.c -- connections of an HTTP server of the serving path.
 *
 * Callers may open connections and leave them idle, or in the middle of a
 * request.  Beyond max_connections the one that has been idle longest is
 * closed, and without an idle one the one whose head or body has stalled
 * longest, so that a new connection is accepted.  A connection whose request
 * was read whole is never closed for that.  The library has no call to close a
 * connection: its socket is shut down, which the library takes for a close by
 * the caller.
 */
#include <stdlib.h>
#include <sys/socket.h>

#include "inbound_private.h"
#include "metric.h"

/* Of each direction of a connection, in place of the kernel's several MiB: what
 * has been received and not read, and what the caller does not take, counts as
 * memory of the host.  The kernel doubles it for its own overhead. */
#define SOCKET_BUFFER_BYTES (64 * 1024)

static void
limit_socket_buffers(int fd)
{
	int bytes = SOCKET_BUFFER_BYTES;

	(void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

static void
unlist(struct mu_in_conn *c)
{
	if (c->listed)
		cds_list_del(&c->node);
	c->listed = false;
}

static void
list_last(struct mu_in_conn *c, struct cds_list_head *list)
{
	unlist(c);
	if (c->closing)
		return;
	cds_list_add_tail(&c->node, list);
	c->listed = true;
}

void
mu_in_conn_receiving(struct mu_inbound *in, struct mu_in_conn *c)
{
	list_last(c, &in->receiving);
}

void
mu_in_conn_busy(
    struct mu_inbound *in __attribute__((unused)), struct mu_in_conn *c)
{
	unlist(c);
}

void
mu_in_conn_idle(struct mu_inbound *in, struct mu_in_conn *c)
{
	list_last(c, &in->idle);
}

void
mu_in_conn_shutdown(struct mu_inbound *in, struct mu_in_conn *c)
{
	if (c->closing)
		return;
	unlist(c);
	c->closing = true;
	in->nconns--;
	(void)shutdown(c->fd, SHUT_RDWR);
}

static void
close_longest_idle(struct mu_inbound *in)
{
	struct cds_list_head *list =
	    !cds_list_empty(&in->idle) ? &in->idle : &in->receiving;

	if (cds_list_empty(list))
		return;
	mu_count(MU_M_CONNECTIONS_CLOSED, 1);
	mu_in_conn_shutdown(
	    in, cds_list_first_entry(list, struct mu_in_conn, node));
}

struct mu_in_conn *
mu_in_conn_open(struct mu_inbound *in, int fd)
{
	struct mu_in_conn *c = calloc(1, sizeof(*c));
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	if (c == NULL)
		return NULL;
	c->fd = fd;
	if (getpeername(fd, (struct sockaddr *)&sin, &len) == 0)
		c->client = sin.sin_addr;
	if (in->conf.strict)
		limit_socket_buffers(fd);
	if (in->conf.strict && in->nconns >= in->conf.max_connections)
		close_longest_idle(in);
	in->nconns++;
	list_last(c, &in->idle);
	return c;
}

void
mu_in_conn_free(struct mu_inbound *in, struct mu_in_conn *c)
{
	unlist(c);
	if (!c->closing)
		in->nconns--;
	free(c);
}

uint64_t
mu_in_conn_client(const struct mu_in_conn *c)
{
	return c->client.s_addr;
}
