/*
 * peer.h -- links between daemons.
 *
 * Each daemon keeps one TCP link to each peer.  A link carries framed
 * protobuf-c messages (proto/peer.proto) and heartbeats in both directions.
 * A link on which nothing arrives for silence_ms is closed and reopened.
 * Requests pending on it fail with MU_E_LINK_LOST; the code that called
 * mu_peers_forward() retries them under the same (program, seq).
 */
#ifndef MU_PEER_H
#define MU_PEER_H

#include "musher.h"
#include "peer.pb-c.h"

struct mu_peers;

/* The answer to a forwarded request, as the forwarding daemon gets it. */
struct mu_peer_reply {
	uint32_t status;
	char *body; /* malloc'd; owned by the receiver */
	size_t body_len;
	uint32_t retry_after_ms;
	bool not_owner;
};

/* Sends the answer to one incoming forwarded request; opaque. */
struct mu_peer_responder;

/*
 * Callbacks.  Only on_link may be NULL.  None may call mu_peers_set_targets()
 * or mu_peers_close().
 */
struct mu_peer_hooks {
	void *arg;
	/* Runs on its own thread; must call mu_peer_send_result() last. */
	void (*on_forward)(
	    void *arg, const Mu__Forward *f, struct mu_peer_responder *to);
	void (*on_heartbeat)(
	    void *arg, const char *host, const Mu__Heartbeat *hb);
	void (*on_config)(void *arg, const char *host, uint64_t version,
	    const char *text, size_t len);
	/* Fills a heartbeat before it is encoded; arena lives until then. */
	void (*fill_heartbeat)(
	    void *arg, Mu__Heartbeat *hb, struct mu_arena *arena);
	/* The own link to host was established or lost. */
	void (*on_link)(void *arg, const char *host, bool up);
};

struct mu_peer_conf {
	const char *host; /* name of this daemon */
	const char *listen; /* IP:PORT */
	const char *key; /* shared secret of the deployment; may be NULL */
	uint64_t incarnation;
	uint32_t heartbeat_ms;
	uint32_t silence_ms; /* limit without received data on a link */
	uint32_t connect_ms;
};

int mu_peers_open(struct mu_peers **p, const struct mu_peer_conf *conf,
    const struct mu_peer_hooks *hooks, struct mu_error *e);
/*
 * Closes every link and joins every thread.  Blocks until all on_forward
 * callbacks have returned, so these must be about to end.  No other thread
 * may call this module any more.
 */
void mu_peers_close(struct mu_peers *p);

struct mu_peer_target {
	const char *host;
	const char *addr;
};
/* Sets the peers to keep links to; links to all others are closed. */
void mu_peers_set_targets(
    struct mu_peers *p, const struct mu_peer_target *t, size_t n);

/* True while the link to host is up and received data within silence_ms. */
bool mu_peers_link_up(struct mu_peers *p, const char *host);

/*
 * Sends f to host and waits for the result, up to f->deadline_ms.
 * on_chunk receives streamed bytes in order and returns false to abandon the
 * request.  Returns 0 with *reply set, or MU_E_LINK_LOST, MU_E_DEADLINE,
 * MU_E_CANCELLED (abandoned by on_chunk), MU_E_TRUNCATED (a chunk is
 * missing), MU_E_TOO_LARGE, MU_E_NOMEM; e->outcome is NOT_RUN only if nothing
 * was queued.  The owner keeps running the request when the wait ends early.
 * Sets f->id.
 */
int mu_peers_forward(struct mu_peers *p, const char *host, Mu__Forward *f,
    bool (*on_chunk)(void *arg, const char *data, size_t len), void *arg,
    struct mu_peer_reply *reply, struct mu_error *e);

/* Sends a configuration to every connected peer. */
void mu_peers_push_config(
    struct mu_peers *p, uint64_t version, const char *text, size_t len);

/* Streams part of the answer; false when the link was lost. */
bool
mu_peer_send_chunk(struct mu_peer_responder *to, const char *data, size_t len);
/* Sends the final result and frees to. */
void mu_peer_send_result(
    struct mu_peer_responder *to, const struct mu_peer_reply *reply);

#endif
