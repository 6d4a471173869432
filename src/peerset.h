/*
 * peerset.h -- private state of struct mu_peers, shared by peer.c and listen.c.
 */
#ifndef MU_PEERSET_H
#define MU_PEERSET_H

#include <pthread.h>
#include <urcu/list.h>

#include "hello.h"
#include "link.h"
#include "peer.h"
#include "worker.h"

struct peer;

struct mu_peers {
	struct mu_hello_conf hello;
	char host[MU_NAME_LEN];
	uint32_t heartbeat_ms;
	uint32_t silence_ms;
	uint32_t connect_ms;
	struct mu_peer_hooks hooks;
	struct mu_link_hooks link_hooks;
	int listen_fd;
	int stop; /* eventfd: readable once the set is closing */
	pthread_t listener;
	struct mu_workers incoming_threads;
	struct mu_link_input input; /* of incoming links */
	struct mu_workers forward_threads;
	pthread_mutex_t set_lock; /* serializes mu_peers_set_targets() */
	pthread_mutex_t lock; /* for all below; never held while blocking */
	struct cds_list_head peers;
	struct cds_list_head incoming;
	struct cds_list_head handshakes; /* on incoming links; oldest first */
	unsigned nhandshakes; /* without those that were shut down */
	bool closing;
};

/* Creates a link on fd to host; owner is NULL when the other end opened it. */
struct mu_link *
mu_peers_link(struct mu_peers *p, int fd, const char *host, struct peer *owner);
/* Starts the listener. */
int mu_listen_start(struct mu_peers *p, const char *addr);
/* Ends all incoming links and the listener; p->stop must be signalled. */
void mu_listen_stop(struct mu_peers *p);

#endif
