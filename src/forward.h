/*
 * forward.h -- requests forwarded over links, on both sides.
 */
#ifndef MU_FORWARD_H
#define MU_FORWARD_H

#include <pthread.h>
#include <urcu/list.h>

#include "link.h"
#include "peer.h"
#include "worker.h"

#define MU_FORWARD_BUCKETS 64

/* Requests that wait for their result, by id. */
struct mu_pending {
	pthread_mutex_t lock;
	uint64_t next_id;
	struct cds_list_head bucket[MU_FORWARD_BUCKETS];
};

void mu_pending_init(struct mu_pending *p);
void mu_pending_destroy(struct mu_pending *p);
/* As mu_peers_forward(), over l. */
int mu_pending_forward(struct mu_pending *p, struct mu_link *l, Mu__Forward *f,
    bool (*on_chunk)(void *arg, const char *data, size_t len), void *arg,
    struct mu_peer_reply *reply, struct mu_error *e);
/* Takes a chunk or a result that came over l; others are ignored. */
void mu_pending_on_frame(
    struct mu_pending *p, struct mu_link *l, const Mu__Frame *f);
/* Ends every request that was sent over l with MU_E_LINK_LOST. */
void mu_pending_fail_link(struct mu_pending *p, struct mu_link *l);

/* Runs on_forward for a forward that came over l; takes f. */
void mu_forward_serve(struct mu_workers *w, const struct mu_peer_hooks *hooks,
    struct mu_link *l, Mu__Frame *f);

#endif
