/*
 * peer.c -- the set of links between this daemon and its peers.
 *
 * Each target peer has one thread, which connects, performs the handshake,
 * reads the link until it closes, and reconnects after an exponential backoff
 * up to a maximum.  Half of the delay is random, so that daemons that lost
 * the same peer at the same time do not all reconnect at once.  The listener
 * starts one thread for each incoming link.  A daemon forwards requests only
 * over outgoing links, so two daemons that connect to each other have two
 * links, one for each direction of forwarding.
 *
 * Heartbeats carry the full state on the outgoing link.  On an incoming link
 * they are empty while the outgoing link to the same peer is up: they keep
 * the link alive at a cost of a few bytes, and state is not sent twice.
 *
 * Lookups on the request path take a mutex for a short time instead of using
 * RCU: the request needs a counted reference to the link while it waits, so
 * an RCU reader would have to write to a shared counter as well.
 */
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu/list.h>

#include "forward.h"
#include "frame.h"
#include "net.h"
#include "peerset.h"

#define RECONNECT_MIN_MS 50U
#define RECONNECT_MAX_MS 2000U
/* Large frames on incoming links: 64 bodies of the default largest size.
 * Without a peer key, whoever connects could otherwise fill 16 MiB on each
 * link. */
#define INCOMING_INPUT_MAX_BYTES ((size_t)64 << 20)
#define FORWARD_THREADS_MAX 512 /* forwarded requests served concurrently */

/* A target peer and the outgoing link to it. */
struct peer {
	struct cds_list_head node;
	int refs; /* atomic */
	struct mu_peers *set;
	char host[MU_NAME_LEN];
	char addr[MU_ADDR_LEN];
	int stop; /* eventfd */
	pthread_t thread;
	struct mu_pending pending;
	bool removed; /* from the set; protected by set->lock */
	struct mu_link *link; /* NULL if down; protected by set->lock */
};

static void
signal_stop(int fd)
{
	uint64_t one = 1;

	(void)!write(fd, &one, sizeof(one));
}

static void
peer_unref(struct peer *t)
{
	if (__atomic_sub_fetch(&t->refs, 1, __ATOMIC_ACQ_REL) != 0)
		return;
	mu_pending_destroy(&t->pending);
	close(t->stop);
	free(t);
}

/* Caller holds p->lock. */
static struct peer *
find_peer(struct mu_peers *p, const char *host)
{
	struct peer *t;

	cds_list_for_each_entry (t, &p->peers, node) {
		if (strcmp(t->host, host) == 0)
			return t;
	}
	return NULL;
}

static void
dispatch_frame(struct mu_peers *p, struct mu_link *l, const Mu__Frame *f)
{
	struct peer *t = mu_link_owner(l);
	const char *host = mu_link_host(l);

	switch (f->body_case) {
	case MU__FRAME__BODY_HEARTBEAT:
		if (*f->heartbeat->host != '\0')
			p->hooks.on_heartbeat(p->hooks.arg, host, f->heartbeat);
		break;
	case MU__FRAME__BODY_CONFIG:
		p->hooks.on_config(p->hooks.arg, host, f->config->version,
		    (const char *)f->config->text.data, f->config->text.len);
		break;
	case MU__FRAME__BODY_CHUNK:
	case MU__FRAME__BODY_RESULT:
		if (t != NULL)
			mu_pending_on_frame(&t->pending, l, f);
		break;
	default:
		break;
	}
}

static void
on_frame(void *arg, struct mu_link *l, Mu__Frame *f)
{
	struct mu_peers *p = arg;

	if (f->body_case == MU__FRAME__BODY_FORWARD) {
		mu_forward_serve(&p->forward_threads, &p->hooks, l, f);
		return;
	}
	dispatch_frame(p, l, f);
	mu_frame_free(f);
}

static void
fill_link_heartbeat(
    void *arg, struct mu_link *l, Mu__Heartbeat *hb, struct mu_arena *arena)
{
	struct mu_peers *p = arg;
	char *host;

	if (mu_link_owner(l) == NULL && mu_peers_link_up(p, mu_link_host(l)))
		return;
	host = mu_arena_strdup(arena, p->host);
	if (host == NULL)
		return;
	hb->host = host;
	p->hooks.fill_heartbeat(p->hooks.arg, hb, arena);
}

struct mu_link *
mu_peers_link(struct mu_peers *p, int fd, const char *host, struct peer *owner)
{
	struct mu_link_conf conf = {
	    .host = host,
	    .owner = owner,
	    .heartbeat_ms = p->heartbeat_ms,
	    .silence_ms = p->silence_ms,
	};
	struct mu_link *l = mu_link_new(fd, &conf, &p->link_hooks);

	if (l != NULL && owner == NULL)
		mu_link_share_input(l, &p->input);
	return l;
}

/* Connects and performs the handshake.  Returns the descriptor or -1. */
static int
peer_connect(struct peer *t)
{
	struct mu_peers *p = t->set;
	mu_us deadline = mu_net_deadline(p->connect_ms);
	char host[MU_NAME_LEN];
	bool pending;
	int fd, rc;

	rc = mu_net_connect(t->addr, &fd, &pending);
	if (rc == 0 && pending)
		rc = mu_net_wait(fd, POLLOUT, t->stop, deadline);
	if (rc == 0)
		rc = mu_net_connect_result(fd);
	if (rc == 0)
		rc = mu_hello_connect(
		    &p->hello, fd, t->stop, p->connect_ms, host);
	if (rc == 0 && strcmp(host, t->host) != 0)
		rc = MU_E_MISMATCH;
	if (rc == 0)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

/* Sets the link of t, or clears it with NULL; false if t was removed. */
static bool
peer_set_link(struct peer *t, struct mu_link *l)
{
	bool removed;

	pthread_mutex_lock(&t->set->lock);
	removed = t->removed;
	t->link = removed ? NULL : l;
	pthread_mutex_unlock(&t->set->lock);
	return !removed;
}

static void
peer_run_link(struct peer *t, int fd)
{
	struct mu_peers *p = t->set;
	struct mu_link *l = mu_peers_link(p, fd, t->host, t);

	if (l == NULL)
		return;
	if (peer_set_link(t, l)) {
		p->hooks.on_link(p->hooks.arg, t->host, true);
		mu_link_run(l);
		(void)peer_set_link(t, NULL);
		mu_pending_fail_link(&t->pending, l);
		p->hooks.on_link(p->hooks.arg, t->host, false);
	}
	mu_link_unref(l);
}

static void *
peer_main(void *arg)
{
	struct peer *t = arg;
	uint32_t backoff_ms = RECONNECT_MIN_MS;
	uint32_t delay_ms;
	int fd, rc;

	do {
		fd = peer_connect(t);
		if (fd >= 0) {
			peer_run_link(t, fd);
			backoff_ms = RECONNECT_MIN_MS;
		}
		delay_ms =
		    backoff_ms / 2 + randombytes_uniform(backoff_ms / 2 + 1);
		backoff_ms = backoff_ms * 2 < RECONNECT_MAX_MS
				 ? backoff_ms * 2
				 : RECONNECT_MAX_MS;
		rc =
		    mu_net_wait(t->stop, POLLIN, -1, mu_net_deadline(delay_ms));
	} while (rc == MU_E_DEADLINE);
	return NULL;
}

static struct peer *
peer_new(struct mu_peers *p, const struct mu_peer_target *target)
{
	struct peer *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	t->refs = 1;
	t->set = p;
	(void)snprintf(t->host, sizeof(t->host), "%s", target->host);
	(void)snprintf(t->addr, sizeof(t->addr), "%s", target->addr);
	mu_pending_init(&t->pending);
	t->stop = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (t->stop >= 0)
		return t;
	mu_pending_destroy(&t->pending);
	free(t);
	return NULL;
}

/*
 * Adds a peer unless one of that name exists.  A failure is not reported: the
 * next mu_peers_set_targets() tries again.
 */
static void
peer_add(struct mu_peers *p, const struct mu_peer_target *target)
{
	struct peer *t = peer_new(p, target);
	bool added;

	if (t == NULL)
		return;
	pthread_mutex_lock(&p->lock);
	added = !p->closing && find_peer(p, target->host) == NULL;
	if (added)
		cds_list_add_tail(&t->node, &p->peers);
	pthread_mutex_unlock(&p->lock);
	if (added && pthread_create(&t->thread, NULL, peer_main, t) != 0) {
		pthread_mutex_lock(&p->lock);
		cds_list_del(&t->node);
		pthread_mutex_unlock(&p->lock);
		added = false;
	}
	if (!added)
		peer_unref(t);
}

/* Stops and releases a peer that was unlinked from the set. */
static void
peer_stop(struct peer *t)
{
	signal_stop(t->stop);
	pthread_mutex_lock(&t->set->lock);
	t->removed = true;
	if (t->link != NULL)
		mu_link_stop(t->link);
	pthread_mutex_unlock(&t->set->lock);
	pthread_join(t->thread, NULL);
	peer_unref(t);
}

static bool
is_target(const struct peer *t, const struct mu_peer_target *targets, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(t->host, targets[i].host) == 0 &&
		    strcmp(t->addr, targets[i].addr) == 0)
			return true;
	}
	return false;
}

/* Removes and stops every peer that is not among the targets. */
static void
remove_non_targets(
    struct mu_peers *p, const struct mu_peer_target *targets, size_t n)
{
	struct cds_list_head removed_peers;
	struct peer *t, *next;

	CDS_INIT_LIST_HEAD(&removed_peers);
	pthread_mutex_lock(&p->lock);
	cds_list_for_each_entry_safe (t, next, &p->peers, node) {
		if (!is_target(t, targets, n)) {
			cds_list_del(&t->node);
			cds_list_add(&t->node, &removed_peers);
		}
	}
	pthread_mutex_unlock(&p->lock);
	cds_list_for_each_entry_safe (t, next, &removed_peers, node)
		peer_stop(t);
}

void
mu_peers_set_targets(
    struct mu_peers *p, const struct mu_peer_target *targets, size_t n)
{
	size_t i;

	pthread_mutex_lock(&p->set_lock);
	remove_non_targets(p, targets, n);
	for (i = 0; i < n; i++) {
		if (strcmp(targets[i].host, p->host) != 0)
			peer_add(p, &targets[i]);
	}
	pthread_mutex_unlock(&p->set_lock);
}

bool
mu_peers_link_up(struct mu_peers *p, const char *host)
{
	struct peer *t;
	bool up;

	pthread_mutex_lock(&p->lock);
	t = find_peer(p, host);
	up = t != NULL && t->link != NULL && mu_link_up(t->link);
	pthread_mutex_unlock(&p->lock);
	return up;
}

int
mu_peers_forward(struct mu_peers *p, const char *host, Mu__Forward *f,
    bool (*on_chunk)(void *arg, const char *data, size_t len), void *arg,
    struct mu_peer_reply *reply, struct mu_error *e)
{
	struct mu_link *l = NULL;
	struct peer *t;
	int rc;

	pthread_mutex_lock(&p->lock);
	t = find_peer(p, host);
	if (t != NULL && t->link != NULL && mu_link_up(t->link)) {
		l = mu_link_ref(t->link);
		__atomic_add_fetch(&t->refs, 1, __ATOMIC_RELAXED);
	}
	pthread_mutex_unlock(&p->lock);
	if (l == NULL)
		return mu_fail(e, MU_E_LINK_LOST, MU_OUTCOME_NOT_RUN, 0,
		    "no link to %s", host);
	rc = mu_pending_forward(&t->pending, l, f, on_chunk, arg, reply, e);
	mu_link_unref(l);
	peer_unref(t);
	return rc;
}

void
mu_peers_push_config(
    struct mu_peers *p, uint64_t version, const char *text, size_t len)
{
	Mu__Config c = MU__CONFIG__INIT;
	Mu__Frame f = MU__FRAME__INIT;
	struct peer *t;

	c.version = version;
	c.text.data = (uint8_t *)text;
	c.text.len = len;
	f.body_case = MU__FRAME__BODY_CONFIG;
	f.config = &c;
	pthread_mutex_lock(&p->lock);
	cds_list_for_each_entry (t, &p->peers, node) {
		if (t->link != NULL)
			(void)mu_link_post(t->link, &f);
	}
	pthread_mutex_unlock(&p->lock);
}

static void
ignore_link_change(void *arg, const char *host, bool up)
{
	(void)arg;
	(void)host;
	(void)up;
}

static void
peers_init(struct mu_peers *p, const struct mu_peer_conf *conf,
    const struct mu_peer_hooks *hooks)
{
	(void)snprintf(p->host, sizeof(p->host), "%s", conf->host);
	p->hello.host = p->host;
	p->hello.incarnation = conf->incarnation;
	mu_hello_set_key(&p->hello, conf->key);
	p->heartbeat_ms = conf->heartbeat_ms;
	p->silence_ms = conf->silence_ms;
	p->connect_ms = conf->connect_ms;
	p->hooks = *hooks;
	if (p->hooks.on_link == NULL)
		p->hooks.on_link = ignore_link_change;
	p->link_hooks.arg = p;
	p->link_hooks.on_frame = on_frame;
	p->link_hooks.fill_heartbeat = fill_link_heartbeat;
	mu_workers_init(&p->forward_threads, FORWARD_THREADS_MAX);
	pthread_mutex_init(&p->set_lock, NULL);
	pthread_mutex_init(&p->lock, NULL);
	CDS_INIT_LIST_HEAD(&p->peers);
	CDS_INIT_LIST_HEAD(&p->incoming);
	CDS_INIT_LIST_HEAD(&p->handshakes);
	p->input.max = INCOMING_INPUT_MAX_BYTES;
}

int
mu_peers_open(struct mu_peers **out, const struct mu_peer_conf *conf,
    const struct mu_peer_hooks *hooks, struct mu_error *e)
{
	struct mu_peers *p = calloc(1, sizeof(*p));
	int rc = MU_E_SYSTEM;

	if (p == NULL || sodium_init() < 0)
		goto no_set;
	peers_init(p, conf, hooks);
	p->stop = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (p->stop < 0)
		goto no_stop;
	rc = mu_listen_start(p, conf->listen);
	if (rc != 0)
		goto no_listen;
	*out = p;
	return 0;
no_listen:
	close(p->stop);
no_stop:
	mu_workers_join(&p->forward_threads);
	pthread_mutex_destroy(&p->lock);
	pthread_mutex_destroy(&p->set_lock);
no_set:
	free(p);
	return mu_fail(e, (enum mu_errtype)rc, MU_OUTCOME_NOT_RUN, 0,
	    "peers: cannot listen on %s", conf->listen);
}

void
mu_peers_close(struct mu_peers *p)
{
	signal_stop(p->stop);
	pthread_mutex_lock(&p->lock);
	p->closing = true;
	pthread_mutex_unlock(&p->lock);
	mu_listen_stop(p);
	mu_peers_set_targets(p, NULL, 0);
	mu_workers_join(&p->forward_threads);
	close(p->stop);
	pthread_mutex_destroy(&p->lock);
	pthread_mutex_destroy(&p->set_lock);
	free(p);
}
