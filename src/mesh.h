/*
 * mesh.h -- links between the daemons of the serving path, on the loop.
 *
 * Each daemon dials all others of its failure domain and a few of each other
 * domain, sends its heartbeats and requests over the links that it dialled, and
 * receives the replies on them.  A peer is up while that link is connected and
 * the peer's last heartbeat is not older than the silence limit.
 */
#ifndef MU_MESH_H
#define MU_MESH_H

#include <urcu/list.h>

#include "loop.h"
#include "memacct.h"
#include "peer.pb-c.h"

struct mu_mesh;
struct mu_mesh_link; /* carries a request and its reply */

struct mu_peer {
	struct cds_list_head node;
	char host[MU_NAME_LEN];
	char addr[MU_ADDR_LEN]; /* mesh port */
	char caller_addr[MU_ADDR_LEN];
	char domain[MU_NAME_LEN];
	uint64_t weight; /* orders a domain's peers for choosing links */
	uint64_t incarnation;
	uint64_t up_incarnation; /* when it was up last; 0: never */
	bool rejoined; /* came up as the process that was up before */
	mu_us last_heartbeat_at; /* 0: none since the link was closed */
	mu_us last_seen_at; /* last heartbeat of all; 0: none */
	bool connected; /* link is established */
	bool up;
	bool leaving;
	bool ready;
	bool store_ok; /* the store answers it */
	bool keep_link; /* redial when there is no link */
	bool has_inbound_link; /* it sends heartbeats to this daemon */
	Mu__Beat *beat; /* last heartbeat; NULL: none */
	struct mu_mesh_link *link; /* dialled by this daemon */
	mu_us dial_at; /* earliest time of the next attempt */
};

/* Whether callers may be sent to it. */
static inline bool
mu_peer_accepts_callers(const struct mu_peer *p)
{
	return p->up && p->ready && !p->leaving;
}

struct mu_mesh_conf {
	const char *host;
	const char *domain;
	const char *listen; /* IP:PORT */
	uint64_t incarnation;
	uint32_t heartbeat_ms;
	uint32_t silence_ms; /* a peer silent for this long is down */
};

struct mu_mesh_hooks {
	void *arg;
	/* Fills a heartbeat, which is freed with mu__beat__free_unpacked(). */
	void (*fill_heartbeat)(void *arg, Mu__Beat *b);
	/* May be NULL.  A known peer's heartbeat, p->beat, has arrived;
	 * before is the previous one, or NULL. */
	void (*on_heartbeat)(
	    void *arg, struct mu_peer *p, const Mu__Beat *before);
	/* May be NULL.  A peer went up or down, or began to leave. */
	void (*on_changed)(void *arg, struct mu_peer *p);
	/* May be NULL.  Called for every heartbeat, also of unknown daemons. */
	void (*on_any_heartbeat)(
	    void *arg, struct mu_mesh_link *from, const Mu__Beat *b);
	/* Called for every frame that is neither a heartbeat nor a reply. */
	void (*on_request)(
	    void *arg, struct mu_mesh_link *from, const Mu__Frame *f);
};

/* reply is NULL when the link was closed or the deadline passed. */
typedef void (*mu_mesh_reply_fn)(void *arg, const Mu__Frame *reply);

int mu_mesh_new(struct mu_mesh **m, struct mu_loop *l,
    const struct mu_mesh_conf *conf, const struct mu_mesh_hooks *hooks,
    struct mu_error *e);
/* Counts frames that were received in a.  Called before the loop runs. */
void mu_mesh_set_account(struct mu_mesh *m, struct mu_acct *a);
void mu_mesh_free(struct mu_mesh *m);

/* Adds or updates a peer. */
void mu_mesh_update_peer(struct mu_mesh *m, const Mu__DaemonRow *row);
void mu_mesh_remove_peer(struct mu_mesh *m, const char *host);
struct cds_list_head *mu_mesh_peers(struct mu_mesh *m);
struct mu_peer *mu_mesh_find_peer(struct mu_mesh *m, const char *host);
/* Sends a heartbeat to every connected peer without waiting for the timer. */
void mu_mesh_send_heartbeat(struct mu_mesh *m);

/* Queues a frame that gets no reply; false when the peer is not connected or
 * its queue is full. */
bool mu_mesh_send(struct mu_mesh *m, struct mu_peer *p, const Mu__Frame *f);
/* Dials a peer if there is no link to it, and keeps the link from now on. */
void mu_mesh_ensure_link(struct mu_mesh *m, struct mu_peer *p);
/*
 * Sends a BEGIN, RELAY, GUARANTEE or LIMIT_ASK, whose id is set here; fn gets
 * the reply.
 * False when there is no link or its queue is full; fn is not called then.  fn
 * is never called from within this function.
 */
bool mu_mesh_request(struct mu_mesh *m, struct mu_peer *p, Mu__Frame *f,
    mu_us deadline, mu_mesh_reply_fn fn, void *arg);
/* Takes a reference to the link of a request, for a later reply. */
struct mu_mesh_link *mu_mesh_link_ref(struct mu_mesh_link *l);
void mu_mesh_link_unref(struct mu_mesh_link *l);
/* Replies over the link of a request; false when it is closed or its queue is
 * full. */
bool mu_mesh_reply(struct mu_mesh_link *l, const Mu__Frame *f);

#endif
