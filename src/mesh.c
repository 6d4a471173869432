/*
 * mesh.c -- links between the daemons of the serving path.
 *
 * Frames are encoded by frame.c.  While the send queue of a link is full, its
 * frames are refused; a link whose bytes stay unacknowledged is closed by the
 * kernel (TCP_USER_TIMEOUT) and dialled again.  Requests that wait for a reply
 * fail as soon as their link is closed, so that their senders can try another
 * path at once.
 *
 * Anyone who reaches the mesh port can connect.  What accepted links hold is
 * therefore limited: a link must give its name with a heartbeat in time, and
 * before that may send small frames only; the number of links from daemons that
 * aren't listed is limited, and so are all incomplete frames together, in
 * bytes. Beyond a limit, links of daemons that aren't listed are closed first.
 * They are not limited to small frames: a daemon that starts while the store is
 * down lists no other and gets a large seed.
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
#include "metric.h"
#include "net.h"

#define SEND_QUEUE_MAX_BYTES ((size_t)8 << 20) /* per link */
#define READ_BYTES 16384
#define DIAL_INTERVAL_US (1 * MU_US_PER_S) /* between attempts to a peer */
#define CONNECT_TIMEOUT_US (500 * MU_US_PER_MS)
#define KEEPALIVE_INTERVAL_S 10 /* between probes on an idle link */
/* Links to each other failure domain, for relaying store operations that this
 * domain cannot run, and for callers when the whole domain is down. */
#define REMOTE_DOMAIN_LINKS 3
/* Daemons send heartbeats several times a second. */
#define NAME_TIMEOUT_US (5 * MU_US_PER_S)
/* Accepted links of daemons that aren't listed; half of the descriptors that
 * max_connections leaves. */
#define UNLISTED_LINKS_MAX 256
#define UNNAMED_FRAME_MAX_BYTES ((size_t)64 << 10)
/* Buffers of incomplete frames, on a host of 96 MB beside what callers hold;
 * daemons send frames of up to some MiB. */
#define INPUT_MAX_BYTES ((size_t)24 << 20)
#define KEPT_BUFFER_BYTES ((size_t)64 << 10) /* of a link without input */

struct mu_mesh_link {
	struct cds_list_head node;
	struct mu_mesh *mesh;
	struct mu_peer *peer; /* NULL on accepted links */
	unsigned references;
	bool closed;
	bool connecting;
	bool named; /* accepted links: a heartbeat has arrived */
	bool listed; /* and it was a listed daemon's */
	mu_us opened_at;
	struct mu_watch watch;
	struct mu_buf in;
	struct mu_buf out;
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
	struct cds_list_head links; /* newest first */
	unsigned unlisted; /* accepted links of daemons that aren't listed */
	size_t input_bytes; /* allocated for input of accepted links */
	struct mu_acct *acct; /* counts them; NULL: not counted */
	struct mu_acct_holder input_hold;
	bool accept_paused;
	uint64_t next_id;
};

static void on_link_event(void *arg, uint32_t events);
static bool queue_frame(struct mu_mesh_link *l, const Mu__Frame *f);

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

/* Frames of peers are never refused for lack of room: an overload by callers
 * would cut the daemons off from each other. */
static void
count_input(struct mu_mesh *m)
{
	size_t counted = m->input_hold.bytes;

	if (m->acct == NULL)
		return;
	if (m->input_bytes > counted)
		mu_acct_force(m->acct, &m->input_hold, m->input_bytes - counted,
		    mu_loop_now(m->loop));
	else
		mu_acct_give(m->acct, &m->input_hold, counted - m->input_bytes);
}

static void
link_close(struct mu_mesh_link *l)
{
	struct request *q, *next;
	struct mu_peer *p = l->peer;

	if (l->closed)
		return;
	l->closed = true;
	if (p == NULL) {
		l->mesh->input_bytes -= l->in.size;
		count_input(l->mesh);
		l->mesh->unlisted -= l->listed ? 0 : 1;
	}
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

/* Returns NULL when out of memory. */
static Mu__Beat *
new_heartbeat(struct mu_mesh *m)
{
	Mu__Beat *b = malloc(sizeof(*b));

	if (b == NULL)
		return NULL;
	mu__beat__init(b);
	b->host = strdup(m->host);
	b->incarnation = m->conf.incarnation;
	m->hooks.fill_heartbeat(m->hooks.arg, b);
	return b;
}

/* Uses are of interest within a failure domain only. */
static bool
queue_heartbeat(struct mu_mesh *m, struct mu_peer *p, Mu__Beat *b)
{
	Mu__Frame f = MU__FRAME__INIT;
	size_t nuses = b->n_uses;
	bool queued;

	f.body_case = MU__FRAME__BODY_BEAT;
	f.beat = b;
	b->n_uses = strcmp(p->domain, m->domain) == 0 ? nuses : 0;
	queued = queue_frame(p->link, &f);
	b->n_uses = nuses;
	return queued;
}

/* A large frame is accepted only after the name. */
static void
queue_name(struct mu_mesh_link *l)
{
	Mu__Beat *b = new_heartbeat(l->mesh);

	if (b == NULL)
		return;
	(void)queue_heartbeat(l->mesh, l->peer, b);
	mu__beat__free_unpacked(b, NULL);
}

static bool
queue_frame(struct mu_mesh_link *l, const Mu__Frame *f)
{
	uint8_t *p;
	size_t n;

	if (l == NULL || l->closed ||
	    mu_buf_len(&l->out) > SEND_QUEUE_MAX_BYTES)
		return false;
	if (l->connecting && mu_buf_len(&l->out) == 0 &&
	    f->body_case != MU__FRAME__BODY_BEAT)
		queue_name(l);
	if (mu_frame_encode(f, &p, &n) != 0)
		return false;
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
note_name(struct mu_mesh_link *l, const char *host)
{
	if (l->peer != NULL || *host == '\0')
		return;
	l->named = true;
	if (l->listed || mu_mesh_find_peer(l->mesh, host) == NULL)
		return;
	l->listed = true;
	l->mesh->unlisted--;
}

static void
handle_frame(struct mu_mesh_link *l, Mu__Frame *f)
{
	switch (f->body_case) {
	case MU__FRAME__BODY_BEAT:
		note_name(l, f->beat->host);
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

/* Whether the incomplete frame at the start of the input may be received. */
static bool
may_receive(const struct mu_mesh_link *l)
{
	const uint8_t *p = (const uint8_t *)mu_buf_data(&l->in);

	return l->peer != NULL || l->named ||
	       mu_buf_len(&l->in) < MU_FRAME_PREFIX_BYTES ||
	       mu_frame_size(p) <=
		   MU_FRAME_PREFIX_BYTES + UNNAMED_FRAME_MAX_BYTES;
}

/* Handles the complete frames received; false when one is malformed or too
 * large. */
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
			return may_receive(l);
		mu_buf_consume(&l->in, used);
		handle_frame(l, f);
		mu_frame_free(f);
		if (l->closed)
			return true;
	}
}

/* The accepted link to close first: of a daemon that isn't listed, then the
 * one with the largest buffer. */
static struct mu_mesh_link *
largest_input(struct mu_mesh *m)
{
	struct mu_mesh_link *l, *best = NULL;

	cds_list_for_each_entry (l, &m->links, node) {
		if (l->peer != NULL || l->in.size <= KEPT_BUFFER_BYTES)
			continue;
		if (best == NULL || (!l->listed && best->listed) ||
		    (l->listed == best->listed && l->in.size > best->in.size))
			best = l;
	}
	return best;
}

static void
close_refused(struct mu_mesh_link *l, const char *reason)
{
	mu_count(MU_M_LINKS_REFUSED, 1);
	mu_log(MU_LOG_WARN, "mesh", "link_refused", "{s:s,s:i}", "reason",
	    reason, "unlisted", (int)l->mesh->unlisted);
	link_close(l);
}

/* Space to read into.  Returns NULL when out of memory or l was closed. */
static char *
reserve_input(struct mu_mesh_link *l)
{
	struct mu_mesh *m = l->mesh;
	size_t before = l->in.size;
	struct mu_mesh_link *largest;
	char *space;

	if (mu_buf_len(&l->in) == 0 && before > KEPT_BUFFER_BYTES)
		mu_buf_clear(&l->in);
	space = mu_buf_reserve(&l->in, READ_BYTES);
	if (l->peer != NULL)
		return space;
	m->input_bytes = m->input_bytes - before + l->in.size;
	while (m->input_bytes > INPUT_MAX_BYTES && !l->closed) {
		largest = largest_input(m);
		if (largest == NULL)
			break;
		close_refused(largest, "input");
	}
	count_input(m);
	return l->closed ? NULL : space;
}

static void
read_link(struct mu_mesh_link *l)
{
	char *space;
	ssize_t n;

	do {
		space = reserve_input(l);
		n = space == NULL ? 0 : recv(l->watch.fd, space, READ_BYTES, 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n <= 0) {
			link_close(l);
			return;
		}
		l->in.len += (size_t)n;
		if (!decode_frames(l)) {
			mu_log(MU_LOG_WARN, "mesh", "malformed_frame", NULL);
			link_close(l);
			return;
		}
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
	CDS_INIT_LIST_HEAD(&l->requests);
	cds_list_add(&l->node, &m->links);
	(void)mu_watch_add(m->loop, &l->watch);
	return l;
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

/* Closes the oldest link of a daemon that isn't listed, first of all one
 * without a name.  Returns false if there is none. */
static bool
close_unlisted(struct mu_mesh *m, const char *reason)
{
	struct mu_mesh_link *l, *oldest = NULL;

	cds_list_for_each_entry (l, &m->links, node) {
		if (l->peer != NULL || l->listed)
			continue;
		if (oldest == NULL || !l->named || oldest->named)
			oldest = l;
	}
	if (oldest == NULL)
		return false;
	close_refused(oldest, reason);
	return true;
}

/* Stops accepting until the next heartbeat: without descriptors the listener
 * stays readable, and the loop would spin. */
static void
pause_accept(struct mu_mesh *m)
{
	m->accept_paused = true;
	mu_watch_set(m->loop, &m->listener, 0);
}

static void
on_accept(void *arg, uint32_t events __attribute__((unused)))
{
	struct mu_mesh *m = arg;
	int fd;

	while ((fd = accept4(m->listener.fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (link_new(m, fd, EPOLLIN) == NULL)
			continue;
		m->unlisted++;
		if (m->unlisted > UNLISTED_LINKS_MAX)
			(void)close_unlisted(m, "links");
	}
	if ((errno == EMFILE || errno == ENFILE) &&
	    !close_unlisted(m, "descriptors"))
		pause_accept(m);
}

/* Closes accepted links that have not given their name in time. */
static void
close_nameless(struct mu_mesh *m)
{
	mu_us now = mu_loop_now(m->loop);
	struct mu_mesh_link *l, *next;

	cds_list_for_each_entry_safe (l, next, &m->links, node)
		if (l->peer == NULL && !l->named &&
		    now - l->opened_at >= NAME_TIMEOUT_US)
			close_refused(l, "name");
}

void
mu_mesh_send_heartbeat(struct mu_mesh *m)
{
	Mu__Beat *b = new_heartbeat(m);
	struct mu_peer *p;

	if (b == NULL)
		return;
	cds_list_for_each_entry (p, &m->peers, node)
		if (p->connected)
			(void)queue_heartbeat(m, p, b);
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
	close_nameless(m);
	if (m->accept_paused) {
		m->accept_paused = false;
		mu_watch_set(m->loop, &m->listener, EPOLLIN);
	}
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

void
mu_mesh_set_account(struct mu_mesh *m, struct mu_acct *a)
{
	m->acct = a;
	mu_acct_holder_init(&m->input_hold, MU_ACCT_PEER, 0, m);
}
