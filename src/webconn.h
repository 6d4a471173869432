/*
 * webconn.h -- connections of an HTTP server, and which one to close when there
 * are too many.
 */
#ifndef MU_WEBCONN_H
#define MU_WEBCONN_H

#include <netinet/in.h>
#include <pthread.h>
#include <urcu/list.h>

#include "musher.h"

enum mu_webconn_state {
	MU_WEBCONN_IDLE, /* before the end of a request's head */
	MU_WEBCONN_RECEIVING, /* a body */
	MU_WEBCONN_BUSY /* the request is being handled or answered */
};

struct mu_webconn {
	struct cds_list_head node;
	int fd;
	uint64_t client_key; /* of the address, without the port */
	char client[INET_ADDRSTRLEN];
	enum mu_webconn_state state; /* protected by the lock, as is the rest */
	mu_us since; /* in this state; when receiving, of the last byte */
	bool closing;
};

struct mu_webconns {
	pthread_mutex_t lock;
	struct cds_list_head list;
	uint32_t open; /* without those that are closing */
	uint32_t max;
};

void mu_webconns_init(struct mu_webconns *s, uint32_t max);
void mu_webconns_fini(struct mu_webconns *s);
/*
 * Adds an accepted connection and, if there are more than the maximum, shuts
 * one down.  Returns NULL when out of memory.
 */
struct mu_webconn *mu_webconn_add(
    struct mu_webconns *s, int fd, const struct sockaddr_in *client, mu_us now);
/* Must precede the close of the descriptor.  conn may be NULL. */
void mu_webconn_remove(struct mu_webconns *s, struct mu_webconn *conn);
void mu_webconn_set_state(struct mu_webconns *s, struct mu_webconn *conn,
    enum mu_webconn_state state, mu_us now);
/* The connection to close first, or NULL if all are busy; the lock is held. */
struct mu_webconn *mu_webconns_victim(struct mu_webconns *s);

#endif
