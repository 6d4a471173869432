/*
 * link.h -- an established link: reader, writer, send queue, heartbeats.
 */
#ifndef MU_LINK_H
#define MU_LINK_H

#include "musher.h"
#include "peer.pb-c.h"

struct mu_link;

struct mu_link_hooks {
	void *arg;
	/* Runs on the reader; owns f and must not block on the link. */
	void (*on_frame)(void *arg, struct mu_link *l, Mu__Frame *f);
	/* Runs on the writer; may leave the heartbeat empty. */
	void (*fill_heartbeat)(void *arg, struct mu_link *l, Mu__Heartbeat *hb,
	    struct mu_arena *arena);
};

/* Memory for large frames that several links receive. */
struct mu_link_input {
	size_t bytes; /* atomic */
	size_t max;
};

struct mu_link_conf {
	const char *host; /* name of the peer */
	void *owner; /* returned by mu_link_owner() */
	uint32_t heartbeat_ms;
	uint32_t silence_ms;
};

/* Takes ownership of fd, also on failure.  Returns the first reference. */
struct mu_link *mu_link_new(
    int fd, const struct mu_link_conf *conf, const struct mu_link_hooks *hooks);
/* Limits the memory for large frames; before mu_link_run(). */
void mu_link_share_input(struct mu_link *l, struct mu_link_input *input);
struct mu_link *mu_link_ref(struct mu_link *l);
void mu_link_unref(struct mu_link *l);
const char *mu_link_host(const struct mu_link *l);
void *mu_link_owner(const struct mu_link *l);

/*
 * Runs the reader on the calling thread and the writer on a new one until the
 * link is stopped.
 */
void mu_link_run(struct mu_link *l);
/* Shuts the link down and wakes every thread that waits on it. */
void mu_link_stop(struct mu_link *l);
/* True while the link is open and received data within silence_ms. */
bool mu_link_up(struct mu_link *l);

/* Queues f regardless of the queue's size; for small or rare frames. */
int mu_link_post(struct mu_link *l, const Mu__Frame *f);
/*
 * Queues f, waiting for queue space until deadline.  Returns 0,
 * MU_E_LINK_LOST, MU_E_DEADLINE, MU_E_TOO_LARGE or MU_E_NOMEM.
 */
int mu_link_send(struct mu_link *l, const Mu__Frame *f, mu_us deadline);

#endif
