/*
 * mesh.h -- links between the daemons of the serving path, on the loop.
 *
 * Each daemon dials the others of its failure domain and a few of each other
 * domain, sends its heartbeats and requests over the link that it dialled, and
 * gets the replies there.  A peer
 * is up while that link stands and its own heartbeats have been heard within
 * the silence limit.
 */
#ifndef MU_MESH_H
#define MU_MESH_H

#include <urcu/list.h>

#include "loop.h"
#include "peer.pb-c.h"

struct mu_mesh;
struct mu_mesh_link; /* where a request came from */

struct mu_peer {
	struct cds_list_head node;
	char host[MU_NAME_LEN];
	char addr[MU_ADDR_LEN]; /* mesh port */
	char caller_addr[MU_ADDR_LEN];
	char domain[MU_NAME_LEN];
	uint64_t weight; /* among its domain's, for this daemon's links */
	uint64_t incarnation;
	mu_us last_heartbeat_at; /* last heartbeat; 0: none */
	bool connected;
	bool up;
	bool leaving;
	bool ready;
	bool store_ok;
	bool keep_link; /* this daemon keeps a link to it */
	bool has_inbound_link; /* it keeps a link to this daemon */
	Mu__Beat *beat; /* the last one; NULL: none */
	struct mu_mesh_link *link; /* dialled by this daemon */
	mu_us dial_at;
};

struct mu_mesh_conf {
	const char *host;
	const char *domain;
	const char *listen; /* IP:PORT */
	uint64_t incarnation;
	uint32_t heartbeat_ms;
	uint32_t silence_ms;
};

struct mu_mesh_hooks {
	void *arg;
	/* Fills a heartbeat; its memory is freed as that of an unpacked one. */
	void (*fill_heartbeat)(void *arg, Mu__Beat *b);
	/* May be NULL.  before is the heartbeat before p->beat, or NULL. */
	void (*on_heartbeat)(
	    void *arg, struct mu_peer *p, const Mu__Beat *before);
	void (*on_up_changed)(void *arg, struct mu_peer *p); /* up or down */
	/* May be NULL.  Any heartbeat, also of a daemon that is not known. */
	void (*on_any_heartbeat)(
	    void *arg, struct mu_mesh_link *from, const Mu__Beat *b);
	/* A BEGIN, SETTLE, RELAY, GUARANTEE, SEED_ASK or SEED. */
	void (*on_request)(
	    void *arg, struct mu_mesh_link *from, const Mu__Frame *f);
};

/* reply is NULL when the link ended or the time ran out. */
typedef void (*mu_mesh_reply_fn)(void *arg, const Mu__Frame *reply);

int mu_mesh_new(struct mu_mesh **m, struct mu_loop *l,
    const struct mu_mesh_conf *conf, const struct mu_mesh_hooks *hooks,
    struct mu_error *e);
void mu_mesh_free(struct mu_mesh *m);

/* Adds or updates a peer. */
void mu_mesh_learn(struct mu_mesh *m, const Mu__DaemonRow *row);
void mu_mesh_forget(struct mu_mesh *m, const char *host);
struct cds_list_head *mu_mesh_peers(struct mu_mesh *m);
struct mu_peer *mu_mesh_peer(struct mu_mesh *m, const char *host);
/* Sends a heartbeat to every peer now. */
void mu_mesh_beat(struct mu_mesh *m);

/* Sends without an answer; false when the peer's link is down. */
bool mu_mesh_send(struct mu_mesh *m, struct mu_peer *p, const Mu__Frame *f);
/* Dials a peer to which this daemon keeps no link yet. */
void mu_mesh_reach(struct mu_mesh *m, struct mu_peer *p);
/*
 * Sends a BEGIN, RELAY or GUARANTEE, whose id is set here, and waits for the
 * reply.  False when there is no link; fn is not called then.  fn is never
 * called from within this function.
 */
bool mu_mesh_ask(struct mu_mesh *m, struct mu_peer *p, Mu__Frame *f,
    mu_us deadline, mu_mesh_reply_fn fn, void *arg);
/* A reference to the link of a request; valid until released. */
struct mu_mesh_link *mu_mesh_hold(struct mu_mesh_link *l);
void mu_mesh_release(struct mu_mesh_link *l);
/* Replies over the link of a request; false when it has ended. */
bool mu_mesh_reply(struct mu_mesh_link *l, const Mu__Frame *f);

#endif
