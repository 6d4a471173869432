/*
 * mesh.c -- links between the daemons of the serving path.
 *
 * Frames are encoded by frame.c.  While the send queue of a link is full, its
 * frames are refused; a link whose bytes stay unacknowledged is closed by the
 * kernel (TCP_USER_TIMEOUT) and dialled again.  Requests that wait for a reply
 * fail as soon as their link is closed, so that their senders can try another
 * path at once.
 *
 * Anyone can connect to the port.  Until a link has given a name, in its first
 * heartbeat, its frames must be small, it has a few seconds for it, and there
 * are not many such links; daemons send their large frames after a heartbeat.
 */
#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buf.h"
#include "frame.h"
#include "hmap.h"
#include "log.h"
#include "mesh.h"
#include "net.h"

#define SEND_QUEUE_MAX_BYTES ((size_t)8 << 20) /* per link */
#define READ_BYTES 16384
/* A larger buffer of received bytes is freed once it is empty. */
#define INPUT_KEPT_BYTES ((size_t)64 << 10)
#define DIAL_INTERVAL_US (1 * MU_US_PER_S) /* between attempts to a peer */
#define CONNECT_TIMEOUT_US (500 * MU_US_PER_MS)
#define KEEPALIVE_INTERVAL_S 10 /* between probes on an idle link */
/* Links to each other failure domain, for relaying store operations that this
 * domain cannot run, and for callers when the whole domain is down. */
#define REMOTE_DOMAIN_LINKS 3

/* Of a frame on an accepted link without a name. */
#define UNNAMED_FRAME_MAX_BYTES ((size_t)64 << 10)
#define NAME_TIMEOUT_US (5 * MU_US_PER_S)
/* More than a fleet of a thousand daemons dials between two heartbeats. */
#define UNNAMED_LINKS_MAX 256

struct mu_mesh_link {
	struct cds_list_head node;
	struct mu_mesh *mesh;
	struct mu_peer *peer; /* NULL on accepted links */
	unsigned references;
	bool closed;
	bool connecting;
	bool named; /* a heartbeat was received, or sent if dialled */
	mu_us opened_at;
	struct mu_watch watch;
	struct mu_buf in;
	struct mu_buf out;
	struct mu_acct_holder hold; /* of in */
	struct cds_list_head requests; /* waiting for a reply */
};

struct request {
	struct cds_list_head node;
	struct mu_loop *loop;
	uint64_t id;
	struct mu_timer timer;
	mu_mesh_reply_fn fn;
	void *arg;
};

struct mu_mesh {
	struct mu_loop *loop;
	struct mu_mesh_conf conf;
	struct mu_mesh_hooks hooks;
	char host[MU_NAME_LEN];
	char domain[MU_NAME_LEN];
	struct mu_watch listener;
	struct mu_timer heartbeat_timer;
	struct cds_list_head peers;
	struct cds_list_head links; /* the newest first */
	unsigned nunnamed; /* accepted links without a name */
	uint64_t next_id;
	struct mu_acct *acct; /* NULL: nothing is counted */
};

static void on_link_event(void *arg, uint32_t events);

struct mu_mesh_link *
mu_mesh_link_ref(struct mu_mesh_link *l)
{
	l->references++;
	return l;
}

void
mu_mesh_link_unref(struct mu_mesh_link *l)
{
	if (--l->references > 0)
		return;
	mu_buf_clear(&l->in);
	mu_buf_clear(&l->out);
	free(l);
}

static void
request_finish(struct request *q, const Mu__Frame *reply)
{
	cds_list_del(&q->node);
	mu_timer_clear(q->loop, &q->timer);
	q->fn(q->arg, reply);
	free(q);
}

static void
update_peer_up(struct mu_mesh *m, struct mu_peer *p)
{
	mu_us silence = m->conf.silence_ms * MU_US_PER_MS;
	bool up = p->connected && p->last_heartbeat_at != 0 &&
		  mu_loop_now(m->loop) - p->last_heartbeat_at < silence;

	if (up == p->up)
		return;
	p->up = up;
	if (up) {
		p->rejoined = p->up_incarnation == p->incarnation;
		p->up_incarnation = p->incarnation;
	} else {
		p->has_inbound_link = false;
	}
	mu_log(up ? MU_LOG_INFO : MU_LOG_WARN, "mesh",
	    up ? "peer_up" : "peer_down", "{s:s,s:b,s:I}", "host", p->host,
	    "connected", p->connected, "heard_ms_ago",
	    p->last_heartbeat_at != 0
		? (json_int_t)((mu_loop_now(m->loop) - p->last_heartbeat_at) /
			       MU_US_PER_MS)
		: -1);
	if (m->hooks.on_changed != NULL)
		m->hooks.on_changed(m->hooks.arg, p);
}

/* An accepted link whose peer has not told its name. */
static bool
is_unnamed(const struct mu_mesh_link *l)
{
	return l->peer == NULL && !l->named && !l->closed;
}

static void
link_close(struct mu_mesh_link *l)
{
	struct request *q, *next;
	struct mu_peer *p = l->peer;

	if (l->closed)
		return;
	if (is_unnamed(l))
		l->mesh->nunnamed--;
	l->closed = true;
	if (l->mesh->acct != NULL)
		mu_acct_give(l->mesh->acct, &l->hold, SIZE_MAX);
	mu_watch_del(l->mesh->loop, &l->watch);
	(void)close(l->watch.fd);
	cds_list_del(&l->node);
	if (p != NULL) {
		p->link = NULL;
		p->connected = false;
		/* A restarted process may answer the next connection. */
		p->last_heartbeat_at = 0;
		update_peer_up(l->mesh, p);
	}
	cds_list_for_each_entry_safe (q, next, &l->requests, node)
		request_finish(q, NULL);
	mu_mesh_link_unref(l);
}

/* Sends queued bytes; closes the link on an error. */
static void
flush_queue(struct mu_mesh_link *l)
{
	ssize_t n;

	while (mu_buf_len(&l->out) > 0) {
		n = send(l->watch.fd, mu_buf_data(&l->out), mu_buf_len(&l->out),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			mu_watch_set(
			    l->mesh->loop, &l->watch, EPOLLIN | EPOLLOUT);
			return;
		}
		if (n < 0) {
			link_close(l);
			return;
		}
		mu_buf_consume(&l->out, (size_t)n);
	}
	mu_watch_set(l->mesh->loop, &l->watch, EPOLLIN);
}

static bool
queue_frame(struct mu_mesh_link *l, const Mu__Frame *f)
{
	uint8_t *p;
	size_t n;

	if (l == NULL || l->closed ||
	    mu_buf_len(&l->out) > SEND_QUEUE_MAX_BYTES ||
	    mu_frame_encode(f, &p, &n) != 0)
		return false;
	/* The peer would close the link. */
	if (l->peer != NULL && !l->named && n > UNNAMED_FRAME_MAX_BYTES) {
		free(p);
		return false;
	}
	(void)mu_buf_add(&l->out, p, n);
	free(p);
	/* Sent from the loop, because callers must not see the link closed
	 * within this call. */
	if (!l->connecting)
		mu_watch_set(l->mesh->loop, &l->watch, EPOLLIN | EPOLLOUT);
	return true;
}

static void
complete_request(struct mu_mesh_link *l, uint64_t id, const Mu__Frame *f)
{
	struct request *q;

	cds_list_for_each_entry (q, &l->requests, node)
		if (q->id == id) {
			request_finish(q, f);
			return;
		}
}

static void
handle_heartbeat(struct mu_mesh *m, Mu__Frame *f)
{
	struct mu_peer *p = mu_mesh_find_peer(m, f->beat->host);
	Mu__Beat *before;
	bool began_to_leave;

	if (p == NULL)
		return;
	before = p->beat;
	p->beat = f->beat;
	f->body_case = MU__FRAME__BODY__NOT_SET;
	p->incarnation = p->beat->incarnation;
	p->last_heartbeat_at = p->last_seen_at = mu_loop_now(m->loop);
	if (!p->has_inbound_link) {
		p->has_inbound_link = true;
		p->keep_link = true;
		p->dial_at = 0;
	}
	began_to_leave = p->beat->leaving && !p->leaving;
	p->leaving = p->beat->leaving;
	p->ready = p->beat->ready;
	p->store_ok = p->beat->store_ok;
	update_peer_up(m, p);
	if (m->hooks.on_heartbeat != NULL)
		m->hooks.on_heartbeat(m->hooks.arg, p, before);
	if (began_to_leave && m->hooks.on_changed != NULL)
		m->hooks.on_changed(m->hooks.arg, p);
	if (before != NULL)
		mu__beat__free_unpacked(before, NULL);
}

static void
handle_frame(struct mu_mesh_link *l, Mu__Frame *f)
{
	switch (f->body_case) {
	case MU__FRAME__BODY_BEAT:
		if (is_unnamed(l) && *f->beat->host != '\0') {
			l->named = true;
			l->mesh->nunnamed--;
		}
		if (l->mesh->hooks.on_any_heartbeat != NULL)
			l->mesh->hooks.on_any_heartbeat(
			    l->mesh->hooks.arg, l, f->beat);
		handle_heartbeat(l->mesh, f);
		break;
	case MU__FRAME__BODY_GRANTED:
		complete_request(l, f->granted->id, f);
		break;
	case MU__FRAME__BODY_RELAYED:
		complete_request(l, f->relayed->id, f);
		break;
	case MU__FRAME__BODY_GUARANTEED:
		complete_request(l, f->guaranteed->id, f);
		break;
	case MU__FRAME__BODY_LIMIT_ANSWER:
		complete_request(l, f->limit_answer->id, f);
		break;
	case MU__FRAME__BODY_LIMIT_ASK:
	case MU__FRAME__BODY_LIMIT_NOTE:
	case MU__FRAME__BODY_BEGIN:
	case MU__FRAME__BODY_SETTLE:
	case MU__FRAME__BODY_RELAY:
	case MU__FRAME__BODY_GUARANTEE:
	case MU__FRAME__BODY_SEED_ASK:
	case MU__FRAME__BODY_SEED:
		l->mesh->hooks.on_request(l->mesh->hooks.arg, l, f);
		break;
	default: /* from a newer release */
		break;
	}
}

/* Handles the complete frames received; false when one is malformed. */
static bool
decode_frames(struct mu_mesh_link *l)
{
	Mu__Frame *f;
	size_t used;

	for (;;) {
		if (mu_frame_decode((uint8_t *)mu_buf_data(&l->in),
			mu_buf_len(&l->in), &used, &f) != 0)
			return false;
		if (f == NULL)
			return true;
		mu_buf_consume(&l->in, used);
		handle_frame(l, f);
		mu_frame_free(f);
		if (l->closed)
			return true;
	}
}

/* The next frame is small as a rule. */
static void
shrink_input(struct mu_mesh_link *l)
{
	if (mu_buf_len(&l->in) == 0 && l->in.size > INPUT_KEPT_BYTES)
		mu_buf_clear(&l->in);
}

static bool
frame_too_large(const struct mu_mesh_link *l)
{
	return is_unnamed(l) && mu_buf_len(&l->in) >= MU_FRAME_PREFIX_BYTES &&
	       mu_frame_size((const uint8_t *)mu_buf_data(&l->in)) >
		   UNNAMED_FRAME_MAX_BYTES;
}

/* Frames of peers are never refused for lack of room: a crowd of callers would
 * cut the daemons off from each other. */
static void
count_received(struct mu_mesh_link *l)
{
	struct mu_acct *a = l->mesh->acct;

	if (a == NULL || l->closed)
		return;
	if (l->in.size > l->hold.bytes)
		mu_acct_force(a, &l->hold, l->in.size - l->hold.bytes,
		    mu_loop_now(l->mesh->loop));
	else
		mu_acct_give(a, &l->hold, l->hold.bytes - l->in.size);
}

static void
read_link(struct mu_mesh_link *l)
{
	char *space;
	ssize_t n;

	do {
		space = mu_buf_reserve(&l->in, READ_BYTES);
		n = space == NULL ? 0 : recv(l->watch.fd, space, READ_BYTES, 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n <= 0) {
			link_close(l);
			return;
		}
		l->in.len += (size_t)n;
		count_received(l);
		if (!decode_frames(l) || frame_too_large(l)) {
			mu_log(MU_LOG_WARN, "mesh", "malformed_frame", NULL);
			link_close(l);
			return;
		}
		shrink_input(l);
		count_received(l);
	} while (n == READ_BYTES && !l->closed);
}

static void
on_link_event(void *arg, uint32_t events)
{
	struct mu_mesh_link *l = mu_mesh_link_ref(arg);

	if (l->connecting && mu_net_connect_result(l->watch.fd) != 0) {
		link_close(l);
	} else if (l->connecting) {
		l->connecting = false;
		l->peer->connected = true;
		update_peer_up(l->mesh, l->peer);
	}
	if (!l->closed && (events & EPOLLOUT) != 0)
		flush_queue(l);
	if (!l->closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		read_link(l);
	mu_mesh_link_unref(l);
}

static struct mu_mesh_link *
link_new(struct mu_mesh *m, int fd, uint32_t events)
{
	struct mu_mesh_link *l = calloc(1, sizeof(*l));
	int on = 1, unacked_ms = (int)m->conf.silence_ms;
	int interval_s = KEEPALIVE_INTERVAL_S;

	if (l == NULL) {
		(void)close(fd);
		return NULL;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof(unacked_ms));
	/* On an accepted link this end may have nothing to send, so only
	 * keepalive probes detect that the peer has lost power. */
	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s, sizeof(interval_s));
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	l->mesh = m;
	l->references = 1;
	l->opened_at = mu_loop_now(m->loop);
	l->watch.fd = fd;
	l->watch.events = events;
	l->watch.fn = on_link_event;
	l->watch.arg = l;
	mu_acct_holder_init(&l->hold, MU_ACCT_PEER, 0, l);
	CDS_INIT_LIST_HEAD(&l->requests);
	cds_list_add(&l->node, &m->links);
	(void)mu_watch_add(m->loop, &l->watch);
	return l;
}

/* Closes the links that have been without a name for too long, or the oldest of
 * them. */
static void
close_unnamed(struct mu_mesh *m, bool oldest)
{
	mu_us now = mu_loop_now(m->loop);
	struct mu_mesh_link *l, *prev;

	for (l = cds_list_entry(m->links.prev, struct mu_mesh_link, node);
	     &l->node != &m->links && m->nunnamed > 0; l = prev) {
		prev = cds_list_entry(l->node.prev, struct mu_mesh_link, node);
		if (!is_unnamed(l))
			continue;
		if (!oldest && now - l->opened_at < NAME_TIMEOUT_US)
			return; /* the others are newer */
		link_close(l);
		if (oldest)
			return;
	}
}

static void
dial(struct mu_mesh *m, struct mu_peer *p)
{
	bool pending;
	int fd;

	p->dial_at = mu_loop_now(m->loop) + DIAL_INTERVAL_US;
	if (mu_net_connect(p->addr, &fd, &pending) != 0)
		return;
	p->link = link_new(m, fd, EPOLLOUT);
	if (p->link == NULL)
		return;
	p->link->peer = p;
	p->link->connecting = true;
}

/* Whether p is among the REMOTE_DOMAIN_LINKS peers of highest weight in its
 * domain. */
static bool
ranks_for_link(struct mu_mesh *m, const struct mu_peer *p)
{
	struct mu_peer *q;
	unsigned rank = 0;

	cds_list_for_each_entry (q, &m->peers, node)
		if (q->weight > p->weight && strcmp(q->domain, p->domain) == 0)
			rank++;
	return rank < REMOTE_DOMAIN_LINKS;
}

/* Chooses the peers of a domain to keep links to: all in this daemon's own
 * domain, a few in another one, and those that have a link to this daemon, so
 * that heartbeats go both ways. */
static void
choose_links(struct mu_mesh *m, const char *domain)
{
	bool own = strcmp(domain, m->domain) == 0;
	struct mu_peer *p;

	cds_list_for_each_entry (p, &m->peers, node) {
		if (strcmp(p->domain, domain) != 0)
			continue;
		p->keep_link =
		    own || p->has_inbound_link || ranks_for_link(m, p);
		if (!p->keep_link && p->link != NULL)
			link_close(p->link);
	}
}

static void
on_accept(void *arg, uint32_t events __attribute__((unused)))
{
	struct mu_mesh *m = arg;
	int fd;

	while ((fd = accept4(m->listener.fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (m->nunnamed >= UNNAMED_LINKS_MAX)
			close_unnamed(m, true);
		if (link_new(m, fd, EPOLLIN) != NULL)
			m->nunnamed++;
	}
	/* Out of descriptors or memory: the connection stays ready, so the loop
	 * would spin.  The next heartbeat accepts again. */
	if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
		mu_watch_set(m->loop, &m->listener, 0);
}

void
mu_mesh_send_heartbeat(struct mu_mesh *m)
{
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Beat *b = malloc(sizeof(*b));
	struct mu_peer *p;
	size_t nuses;

	if (b == NULL)
		return;
	mu__beat__init(b);
	b->host = strdup(m->host);
	b->incarnation = m->conf.incarnation;
	m->hooks.fill_heartbeat(m->hooks.arg, b);
	f.body_case = MU__FRAME__BODY_BEAT;
	f.beat = b;
	nuses = b->n_uses;
	cds_list_for_each_entry (p, &m->peers, node) {
		b->n_uses = strcmp(p->domain, m->domain) == 0 ? nuses : 0;
		if (p->connected && queue_frame(p->link, &f))
			p->link->named = true;
	}
	b->n_uses = nuses;
	mu__beat__free_unpacked(b, NULL);
}

static void
on_heartbeat_timer(void *arg)
{
	struct mu_mesh *m = arg;
	mu_us now = mu_loop_now(m->loop);
	mu_us silence = m->conf.silence_ms * MU_US_PER_MS;
	struct mu_peer *p;

	mu_mesh_send_heartbeat(m);
	close_unnamed(m, false);
	mu_watch_set(m->loop, &m->listener, EPOLLIN);
	cds_list_for_each_entry (p, &m->peers, node) {
		if (p->link != NULL && p->link->connecting &&
		    now - p->link->opened_at > CONNECT_TIMEOUT_US)
			link_close(p->link);
		/* Fails the requests that wait for a silent peer. */
		if (p->up && now - p->last_heartbeat_at >= silence &&
		    p->link != NULL)
			link_close(p->link);
		if (p->keep_link && p->link == NULL && now >= p->dial_at)
			dial(m, p);
		update_peer_up(m, p);
	}
	mu_timer_set(m->loop, &m->heartbeat_timer,
	    now + m->conf.heartbeat_ms * MU_US_PER_MS);
}

int
mu_mesh_new(struct mu_mesh **out, struct mu_loop *l,
    const struct mu_mesh_conf *conf, const struct mu_mesh_hooks *hooks,
    struct mu_error *e)
{
	struct mu_mesh *m = calloc(1, sizeof(*m));

	if (m == NULL)
		return mu_fail(
		    e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "no memory");
	m->loop = l;
	m->conf = *conf;
	m->hooks = *hooks;
	strncpy(m->host, conf->host, sizeof(m->host) - 1);
	strncpy(m->domain, conf->domain, sizeof(m->domain) - 1);
	CDS_INIT_LIST_HEAD(&m->peers);
	CDS_INIT_LIST_HEAD(&m->links);
	m->listener.events = EPOLLIN;
	m->listener.fn = on_accept;
	m->listener.arg = m;
	m->heartbeat_timer.fn = on_heartbeat_timer;
	m->heartbeat_timer.arg = m;
	if (mu_net_listen(conf->listen, &m->listener.fd) != 0 ||
	    mu_watch_add(l, &m->listener) != 0)
		goto fail;
	mu_timer_set(l, &m->heartbeat_timer, mu_loop_now(l));
	*out = m;
	return 0;
fail:
	if (m->listener.fd >= 0)
		(void)close(m->listener.fd);
	free(m);
	return mu_fail(e, MU_E_SYSTEM, MU_OUTCOME_NOT_RUN, 0,
	    "cannot listen on %s", conf->listen);
}

void
mu_mesh_set_account(struct mu_mesh *m, struct mu_acct *a)
{
	m->acct = a;
}

void
mu_mesh_free(struct mu_mesh *m)
{
	struct mu_mesh_link *l, *next;
	struct mu_peer *p, *after;

	if (m == NULL)
		return;
	mu_timer_clear(m->loop, &m->heartbeat_timer);
	cds_list_for_each_entry_safe (l, next, &m->links, node)
		link_close(l);
	cds_list_for_each_entry_safe (p, after, &m->peers, node) {
		if (p->beat != NULL)
			mu__beat__free_unpacked(p->beat, NULL);
		free(p);
	}
	mu_watch_del(m->loop, &m->listener);
	(void)close(m->listener.fd);
	free(m);
}

static void
copy_text(char *to, size_t size, const char *from)
{
	(void)strncpy(to, from, size - 1);
	to[size - 1] = '\0';
}

void
mu_mesh_update_peer(struct mu_mesh *m, const Mu__DaemonRow *row)
{
	struct mu_peer *p;

	if (strcmp(row->host, m->host) == 0)
		return;
	p = mu_mesh_find_peer(m, row->host);
	if (p == NULL) {
		p = calloc(1, sizeof(*p));
		if (p == NULL)
			return;
		copy_text(p->host, sizeof(p->host), row->host);
		p->weight = mu_hash(m->host) ^ mu_hash(p->host);
		cds_list_add_tail(&p->node, &m->peers);
	}
	if (strcmp(p->addr, row->mesh_addr) != 0 && p->link != NULL)
		link_close(p->link);
	if (p->incarnation != row->incarnation)
		p->dial_at = 0;
	copy_text(p->addr, sizeof(p->addr), row->mesh_addr);
	copy_text(p->caller_addr, sizeof(p->caller_addr), row->caller_addr);
	copy_text(p->domain, sizeof(p->domain), row->domain);
	choose_links(m, p->domain);
	if (p->keep_link && p->link == NULL &&
	    p->dial_at <= mu_loop_now(m->loop))
		dial(m, p);
}

void
mu_mesh_remove_peer(struct mu_mesh *m, const char *host)
{
	struct mu_peer *p = mu_mesh_find_peer(m, host);

	if (p == NULL)
		return;
	if (p->link != NULL)
		link_close(p->link);
	cds_list_del(&p->node);
	if (p->beat != NULL)
		mu__beat__free_unpacked(p->beat, NULL);
	free(p);
}

struct cds_list_head *
mu_mesh_peers(struct mu_mesh *m)
{
	return &m->peers;
}

struct mu_peer *
mu_mesh_find_peer(struct mu_mesh *m, const char *host)
{
	struct mu_peer *p;

	cds_list_for_each_entry (p, &m->peers, node)
		if (strcmp(p->host, host) == 0)
			return p;
	return NULL;
}

bool
mu_mesh_send(struct mu_mesh *m __attribute__((unused)), struct mu_peer *p,
    const Mu__Frame *f)
{
	return p->connected && queue_frame(p->link, f);
}

static void
on_request_timeout(void *arg)
{
	request_finish(arg, NULL);
}

static void
set_request_id(Mu__Frame *f, uint64_t id)
{
	switch (f->body_case) {
	case MU__FRAME__BODY_BEGIN:
		f->begin->id = id;
		break;
	case MU__FRAME__BODY_RELAY:
		f->relay->id = id;
		break;
	case MU__FRAME__BODY_GUARANTEE:
		f->guarantee->id = id;
		break;
	case MU__FRAME__BODY_LIMIT_ASK:
		f->limit_ask->id = id;
		break;
	default:
		break;
	}
}

void
mu_mesh_ensure_link(struct mu_mesh *m, struct mu_peer *p)
{
	p->keep_link = true;
	if (p->link == NULL && p->dial_at <= mu_loop_now(m->loop))
		dial(m, p);
}

bool
mu_mesh_request(struct mu_mesh *m, struct mu_peer *p, Mu__Frame *f,
    mu_us deadline, mu_mesh_reply_fn fn, void *arg)
{
	struct request *q;

	if (p->link == NULL || (q = calloc(1, sizeof(*q))) == NULL)
		return false;
	q->id = ++m->next_id;
	set_request_id(f, q->id);
	if (!queue_frame(p->link, f)) {
		free(q);
		return false;
	}
	q->loop = m->loop;
	q->fn = fn;
	q->arg = arg;
	q->timer.fn = on_request_timeout;
	q->timer.arg = q;
	mu_timer_set(m->loop, &q->timer, deadline);
	cds_list_add_tail(&q->node, &p->link->requests);
	return true;
}

bool
mu_mesh_reply(struct mu_mesh_link *l, const Mu__Frame *f)
{
	return queue_frame(l, f);
}
