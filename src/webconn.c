/*
 * webconn.c -- connections of an HTTP server.
 *
 * At the maximum the server would stop accepting, and clients that keep
 * unfinished heads open would lock all others out.  One more connection is
 * therefore accepted and another one shut down: the one that has been idle
 * longest, otherwise the one whose body has stalled longest.  A connection
 * whose request is being handled is never closed for this; if all are, the new
 * one is.  A shut-down connection ends on its own thread, which also closes
 * the descriptor.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "metric.h"
#include "webconn.h"

void
mu_webconns_init(struct mu_webconns *s, uint32_t max)
{
	pthread_mutex_init(&s->lock, NULL);
	CDS_INIT_LIST_HEAD(&s->list);
	s->open = 0;
	s->max = max;
}

void
mu_webconns_fini(struct mu_webconns *s)
{
	pthread_mutex_destroy(&s->lock);
}

static bool
precedes(const struct mu_webconn *a, const struct mu_webconn *b)
{
	if (a->state != b->state)
		return a->state == MU_WEBCONN_IDLE;
	return a->since < b->since;
}

struct mu_webconn *
mu_webconns_victim(struct mu_webconns *s)
{
	struct mu_webconn *c, *best = NULL;

	cds_list_for_each_entry (c, &s->list, node) {
		if (c->closing || c->state == MU_WEBCONN_BUSY)
			continue;
		if (best == NULL || precedes(c, best))
			best = c;
	}
	return best;
}

struct mu_webconn *
mu_webconn_add(
    struct mu_webconns *s, int fd, const struct sockaddr_in *client, mu_us now)
{
	struct mu_webconn *c = calloc(1, sizeof(*c)), *victim = NULL;

	if (c == NULL)
		return NULL;
	c->fd = fd;
	c->client_key = client->sin_addr.s_addr;
	(void)inet_ntop(
	    AF_INET, &client->sin_addr, c->client, sizeof(c->client));
	c->state = MU_WEBCONN_IDLE;
	c->since = now;
	pthread_mutex_lock(&s->lock);
	/* The search precedes the insertion: a client that has just come is not
	 * closed in favour of nobody. */
	if (s->open >= s->max) {
		victim = mu_webconns_victim(s);
		if (victim == NULL)
			victim = c;
	}
	cds_list_add_tail(&c->node, &s->list);
	s->open++;
	if (victim != NULL) {
		victim->closing = true;
		s->open--;
		(void)shutdown(victim->fd, SHUT_RDWR);
		mu_count(MU_M_CONNECTIONS_CLOSED, 1);
	}
	pthread_mutex_unlock(&s->lock);
	return c;
}

void
mu_webconn_remove(struct mu_webconns *s, struct mu_webconn *conn)
{
	if (conn == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	cds_list_del(&conn->node);
	if (!conn->closing)
		s->open--;
	pthread_mutex_unlock(&s->lock);
	free(conn);
}

void
mu_webconn_set_state(struct mu_webconns *s, struct mu_webconn *conn,
    enum mu_webconn_state state, mu_us now)
{
	if (conn == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	conn->state = state;
	conn->since = now;
	pthread_mutex_unlock(&s->lock);
}
