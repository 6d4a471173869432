/*
 * forward.h -- requests forwarded over links, sending and serving side.
 */
#ifndef MU_FORWARD_H
#define MU_FORWARD_H

#include <pthread.h>
#include <urcu/list.h>

#include "link.h"
#include "peer.h"
#include "worker.h"

#define MU_FORWARD_BUCKETS 64

/* Hash table of the requests that wait for their result, by id. */
struct mu_pending {
	pthread_mutex_t lock;
	uint64_t next_id;
	struct cds_list_head bucket[MU_FORWARD_BUCKETS];
};

void mu_pending_init(struct mu_pending *p);
void mu_pending_destroy(struct mu_pending *p);
/* Implements mu_peers_forward() on link l. */
int mu_pending_forward(struct mu_pending *p, struct mu_link *l, Mu__Forward *f,
    bool (*on_chunk)(void *arg, const char *data, size_t len), void *arg,
    struct mu_peer_reply *reply, struct mu_error *e);
/* Handles a chunk or result received on l; ignores frames of other kinds. */
void mu_pending_on_frame(
    struct mu_pending *p, struct mu_link *l, const Mu__Frame *f);
/* Fails every request that was sent over l with MU_E_LINK_LOST. */
void mu_pending_fail_link(struct mu_pending *p, struct mu_link *l);

/* Runs on_forward for a request received on l.  Takes ownership of f. */
void mu_forward_serve(struct mu_workers *w, const struct mu_peer_hooks *hooks,
    struct mu_link *l, Mu__Frame *f);

#endif
