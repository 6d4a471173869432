/*
 * link.h -- one established link: reader, writer, queue, heartbeats.
 */
#ifndef MU_LINK_H
#define MU_LINK_H

#include "musher.h"
#include "peer.pb-c.h"

struct mu_link;

struct mu_link_hooks {
	void *arg;
	/* Runs on the reader; takes f and must not wait for the link. */
	void (*on_frame)(void *arg, struct mu_link *l, Mu__Frame *f);
	/* Runs on the writer; fills a heartbeat or leaves it empty. */
	void (*fill_heartbeat)(void *arg, struct mu_link *l, Mu__Heartbeat *hb,
	    struct mu_arena *arena);
};

struct mu_link_conf {
	const char *host; /* name of the other end */
	void *owner;
	uint32_t heartbeat_ms;
	uint32_t silence_ms;
};

/* Takes fd.  The caller holds the first reference. */
struct mu_link *mu_link_new(
    int fd, const struct mu_link_conf *conf, const struct mu_link_hooks *hooks);
struct mu_link *mu_link_ref(struct mu_link *l);
void mu_link_unref(struct mu_link *l);
const char *mu_link_host(const struct mu_link *l);
void *mu_link_owner(const struct mu_link *l);

/* Reads on the calling thread and writes on one more until the link ends. */
void mu_link_run(struct mu_link *l);
/* Ends the link; every wait on it returns at once. */
void mu_link_stop(struct mu_link *l);
/* True while the link has not ended and was heard within its limit. */
bool mu_link_up(struct mu_link *l);

/* Queues f without waiting for room; for small or rare frames. */
int mu_link_post(struct mu_link *l, const Mu__Frame *f);
/*
 * Queues f and waits for room until deadline.  0, MU_E_LINK_LOST,
 * MU_E_DEADLINE, MU_E_TOO_LARGE, MU_E_NOMEM.
 */
int mu_link_send(struct mu_link *l, const Mu__Frame *f, mu_us deadline);

#endif
