/*
 * forward.c -- requests forwarded over links, sending and serving side.
 *
 * The sending side keeps a pending_request on the stack of the thread that
 * waits for the answer.  The link's reader only stores chunks and the result
 * there and signals; on_chunk runs on the waiting thread, because it may
 * block on a slow caller and the reader must not block.  Each chunk carries
 * the offset of its first byte and the result carries the total, so that
 * missing or repeated data is detected.
 *
 * The serving side runs each request on its own thread, up to a limit.
 * Requests beyond it are rejected at once as "overloaded" with a retry delay.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward.h"
#include "frame.h"
#include "net.h"

#define BUFFERED_MAX_BYTES \
	((size_t)64 << 20) /* chunks not yet passed to on_chunk */
#define CHUNK_MAX_BYTES ((size_t)1 << 20) /* largest chunk sent */
/*
 * Limit on the wait for queue space.  The link's own limits are shorter and
 * normally end the wait first.
 */
#define SEND_TIMEOUT_MS 600000
#define OVERLOADED_RETRY_MS 200
#define OVERLOADED_BODY_BYTES 256

struct pending_request {
	struct cds_list_head node;
	uint64_t id;
	struct mu_link *link;
	pthread_cond_t wake;
	char *buffered; /* chunk data not yet passed to on_chunk */
	size_t buffered_len;
	uint64_t received_bytes; /* total of all chunks */
	bool ended;
	int rc; /* valid once ended */
	struct mu_peer_reply reply;
};

struct mu_peer_responder {
	struct mu_link *link;
	uint64_t id;
	uint64_t streamed_bytes; /* sent in chunks so far */
};

/* Argument of a serving thread. */
struct serve_job {
	const struct mu_peer_hooks *hooks;
	Mu__Frame *frame;
	struct mu_peer_responder *to;
};

void
mu_pending_init(struct mu_pending *p)
{
	int i;

	pthread_mutex_init(&p->lock, NULL);
	p->next_id = 1;
	for (i = 0; i < MU_FORWARD_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&p->bucket[i]);
}

void
mu_pending_destroy(struct mu_pending *p)
{
	pthread_mutex_destroy(&p->lock);
}

static struct cds_list_head *
bucket_of(struct mu_pending *p, uint64_t id)
{
	return &p->bucket[id % MU_FORWARD_BUCKETS];
}

/* Finds an unfinished request that was sent over l; p->lock is held. */
static struct pending_request *
find_request(struct mu_pending *p, const struct mu_link *l, uint64_t id)
{
	struct pending_request *n;

	cds_list_for_each_entry (n, bucket_of(p, id), node) {
		if (n->id == id && n->link == l && !n->ended)
			return n;
	}
	return NULL;
}

static void
complete(struct pending_request *n, int rc)
{
	n->ended = true;
	n->rc = rc;
	pthread_cond_signal(&n->wake);
}

static void
append_chunk(struct pending_request *n, const Mu__Chunk *c)
{
	char *p;

	if (c->offset + c->data.len <= n->received_bytes)
		return;
	if (c->offset != n->received_bytes) {
		complete(n, MU_E_TRUNCATED);
		return;
	}
	if (c->data.len > BUFFERED_MAX_BYTES - n->buffered_len) {
		complete(n, MU_E_TOO_LARGE);
		return;
	}
	p = realloc(n->buffered, n->buffered_len + c->data.len);
	if (p == NULL) {
		complete(n, MU_E_NOMEM);
		return;
	}
	memcpy(p + n->buffered_len, c->data.data, c->data.len);
	n->buffered = p;
	n->buffered_len += c->data.len;
	n->received_bytes += c->data.len;
	pthread_cond_signal(&n->wake);
}

static void
set_result(struct pending_request *n, const Mu__Result *r)
{
	if (r->streamed != n->received_bytes) {
		complete(n, MU_E_TRUNCATED);
		return;
	}
	n->reply.body = malloc(r->body.len + 1);
	if (n->reply.body == NULL) {
		complete(n, MU_E_NOMEM);
		return;
	}
	if (r->body.len > 0)
		memcpy(n->reply.body, r->body.data, r->body.len);
	n->reply.body[r->body.len] = '\0';
	n->reply.body_len = r->body.len;
	n->reply.status = r->status;
	n->reply.retry_after_ms = r->retry_after_ms;
	n->reply.not_owner = r->not_owner;
	complete(n, 0);
}

void
mu_pending_on_frame(struct mu_pending *p, struct mu_link *l, const Mu__Frame *f)
{
	struct pending_request *n;

	pthread_mutex_lock(&p->lock);
	if (f->body_case == MU__FRAME__BODY_CHUNK) {
		n = find_request(p, l, f->chunk->id);
		if (n != NULL)
			append_chunk(n, f->chunk);
	} else if (f->body_case == MU__FRAME__BODY_RESULT) {
		n = find_request(p, l, f->result->id);
		if (n != NULL)
			set_result(n, f->result);
	}
	pthread_mutex_unlock(&p->lock);
}

void
mu_pending_fail_link(struct mu_pending *p, struct mu_link *l)
{
	struct pending_request *n;
	int i;

	pthread_mutex_lock(&p->lock);
	for (i = 0; i < MU_FORWARD_BUCKETS; i++) {
		cds_list_for_each_entry (n, &p->bucket[i], node) {
			if (n->link == l && !n->ended)
				complete(n, MU_E_LINK_LOST);
		}
	}
	pthread_mutex_unlock(&p->lock);
}

static void
request_add(struct mu_pending *p, struct pending_request *n, struct mu_link *l)
{
	memset(n, 0, sizeof(*n));
	n->link = l;
	mu_cond_init(&n->wake);
	pthread_mutex_lock(&p->lock);
	n->id = p->next_id++;
	cds_list_add_tail(&n->node, bucket_of(p, n->id));
	pthread_mutex_unlock(&p->lock);
}

static void
request_remove(struct mu_pending *p, struct pending_request *n)
{
	pthread_mutex_lock(&p->lock);
	cds_list_del(&n->node);
	pthread_mutex_unlock(&p->lock);
	free(n->buffered);
	pthread_cond_destroy(&n->wake);
}

/*
 * Waits for buffered data and takes it.  Returns NULL once the request has
 * ended and no data remains, or has failed.  Caller holds p->lock.
 */
static char *
wait_for_data(struct mu_pending *p, struct pending_request *n, mu_us deadline,
    size_t *len)
{
	char *data;

	while (!n->ended && n->buffered == NULL) {
		if (!mu_cond_wait_until(&n->wake, &p->lock, deadline))
			complete(n, MU_E_DEADLINE);
	}
	if (n->ended && n->rc != 0)
		return NULL;
	data = n->buffered;
	*len = n->buffered_len;
	n->buffered = NULL;
	n->buffered_len = 0;
	return data;
}

/* Passes streamed data to on_chunk until the request has ended. */
static int
await_result(struct mu_pending *p, struct pending_request *n, mu_us deadline,
    bool (*on_chunk)(void *arg, const char *data, size_t len), void *arg)
{
	char *data;
	size_t len;
	bool accepted;
	int rc;

	pthread_mutex_lock(&p->lock);
	while ((data = wait_for_data(p, n, deadline, &len)) != NULL) {
		pthread_mutex_unlock(&p->lock);
		accepted = on_chunk == NULL || on_chunk(arg, data, len);
		free(data);
		pthread_mutex_lock(&p->lock);
		if (!accepted && (!n->ended || n->rc == 0))
			complete(n, MU_E_CANCELLED);
	}
	rc = n->rc;
	pthread_mutex_unlock(&p->lock);
	return rc;
}

int
mu_pending_forward(struct mu_pending *p, struct mu_link *l, Mu__Forward *f,
    bool (*on_chunk)(void *arg, const char *data, size_t len), void *arg,
    struct mu_peer_reply *reply, struct mu_error *e)
{
	enum mu_outcome outcome = MU_OUTCOME_NOT_RUN;
	mu_us deadline = mu_net_deadline(f->deadline_ms);
	Mu__Frame frame = MU__FRAME__INIT;
	struct pending_request n;
	int rc;

	if (f->deadline_ms == 0)
		return mu_fail(e, MU_E_DEADLINE, outcome, 0,
		    "forward to %s: no time left", mu_link_host(l));
	request_add(p, &n, l);
	f->id = n.id;
	frame.body_case = MU__FRAME__BODY_FORWARD;
	frame.forward = f;
	rc = mu_link_send(l, &frame, deadline);
	if (rc == 0) {
		rc = await_result(p, &n, deadline, on_chunk, arg);
		outcome = MU_OUTCOME_UNKNOWN;
	}
	request_remove(p, &n);
	if (rc == 0) {
		*reply = n.reply;
		return 0;
	}
	free(n.reply.body);
	return mu_fail(e, (enum mu_errtype)rc, outcome, 0, "forward to %s: %s",
	    mu_link_host(l), mu_errname((enum mu_errtype)rc));
}

static int
send_result(struct mu_peer_responder *to, const struct mu_peer_reply *reply)
{
	Mu__Result r = MU__RESULT__INIT;
	Mu__Frame f = MU__FRAME__INIT;

	r.id = to->id;
	r.status = reply->status;
	r.body.data = (uint8_t *)reply->body;
	r.body.len = reply->body_len;
	r.retry_after_ms = reply->retry_after_ms;
	r.streamed = to->streamed_bytes;
	r.not_owner = reply->not_owner;
	f.body_case = MU__FRAME__BODY_RESULT;
	f.result = &r;
	return mu_link_send(to->link, &f, mu_net_deadline(SEND_TIMEOUT_MS));
}

bool
mu_peer_send_chunk(struct mu_peer_responder *to, const char *data, size_t len)
{
	Mu__Chunk c = MU__CHUNK__INIT;
	Mu__Frame f = MU__FRAME__INIT;

	f.body_case = MU__FRAME__BODY_CHUNK;
	f.chunk = &c;
	c.id = to->id;
	while (len > 0) {
		c.offset = to->streamed_bytes;
		c.data.data = (uint8_t *)data;
		c.data.len = len < CHUNK_MAX_BYTES ? len : CHUNK_MAX_BYTES;
		if (mu_link_send(
			to->link, &f, mu_net_deadline(SEND_TIMEOUT_MS)) != 0)
			return false;
		to->streamed_bytes += c.data.len;
		data += c.data.len;
		len -= c.data.len;
	}
	return true;
}

void
mu_peer_send_result(
    struct mu_peer_responder *to, const struct mu_peer_reply *reply)
{
	static char too_large_body[] =
	    "{\"error\":{\"type\":\"too_large\",\"message\":\"answer too large "
	    "for a link\",\"outcome\":\"done\"}}";
	struct mu_peer_reply too_large_reply = {
	    .status = 413, .body = too_large_body};

	if (send_result(to, reply) == MU_E_TOO_LARGE) {
		too_large_reply.body_len = strlen(too_large_body);
		(void)send_result(to, &too_large_reply);
	}
	mu_link_unref(to->link);
	free(to);
}

static void
serve_main(void *arg)
{
	struct serve_job *s = arg;

	s->hooks->on_forward(s->hooks->arg, s->frame->forward, s->to);
	mu_frame_free(s->frame);
	free(s);
}

/* Rejects a request for which no thread could start.  Runs on the reader. */
static void
send_overloaded(struct mu_link *l, uint64_t id)
{
	char body[OVERLOADED_BODY_BYTES];
	Mu__Result r = MU__RESULT__INIT;
	Mu__Frame f = MU__FRAME__INIT;

	(void)snprintf(body, sizeof(body),
	    "{\"error\":{\"type\":\"%s\",\"message\":\"too many forwarded "
	    "requests\",\"outcome\":\"not_run\",\"retry_after_ms\":%d}}",
	    mu_errname(MU_E_OVERLOADED), OVERLOADED_RETRY_MS);
	r.id = id;
	r.status = (uint32_t)mu_errstatus(MU_E_OVERLOADED);
	r.body.data = (uint8_t *)body;
	r.body.len = strlen(body);
	r.retry_after_ms = OVERLOADED_RETRY_MS;
	f.body_case = MU__FRAME__BODY_RESULT;
	f.result = &r;
	(void)mu_link_post(l, &f);
}

static struct mu_peer_responder *
responder_new(struct mu_link *l, uint64_t id)
{
	struct mu_peer_responder *to = calloc(1, sizeof(*to));

	if (to == NULL)
		return NULL;
	to->link = mu_link_ref(l);
	to->id = id;
	return to;
}

void
mu_forward_serve(struct mu_workers *w, const struct mu_peer_hooks *hooks,
    struct mu_link *l, Mu__Frame *f)
{
	struct mu_peer_responder *to = responder_new(l, f->forward->id);
	struct serve_job *s = calloc(1, sizeof(*s));

	if (s == NULL || to == NULL)
		goto overloaded;
	s->hooks = hooks;
	s->frame = f;
	s->to = to;
	if (mu_workers_start(w, serve_main, s) == 0)
		return;
overloaded:
	send_overloaded(l, f->forward->id);
	if (to != NULL)
		mu_link_unref(to->link);
	free(to);
	free(s);
	mu_frame_free(f);
}
