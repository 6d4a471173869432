/*
 * route.c -- routes requests to the daemon that owns their slot.
 *
 * The slot table may be stale, the owner may die, a link may fall silent, or
 * the slot may move during the call.  The request is then retried until its
 * deadline under the same (program, seq), so that it joins a run in progress or
 * finds its answer.  Text that the reader already has is compared with the
 * rerun's and not sent twice.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "log.h"
#include "metric.h"
#include "owner.h"
#include "route.h"
#include "textlog.h"
#include "wait.h"

#define RETRY_INTERVAL_MS 50
#define READ_BYTES 8192
#define WAIT_INTERVAL_MS 1000
#define RETRY_AFTER_MS 1000
#define OWNER_REACHED_MS 1000
/* A takeover takes one lease time and a few rounds of the slot controller. */
#define MAX_TAKEOVER_LEASES 3
#define THREAD_STACK ((size_t)256 * 1024)

/* A request that is being routed. */
struct route_task {
	struct mu_daemon *d;
	const struct mu_req *r;
	struct mu_stream *answer;
	struct mu_textlog log;
	bool may_have_started; /* at another daemon */
};

/* Passes a stream's bytes to fn until its end; false when fn returns false. */
static bool
relay_stream(
    struct mu_stream *s, bool (*fn)(void *, const char *, size_t), void *arg)
{
	char buf[READ_BYTES];
	size_t offset = 0, n;
	bool ended = false;

	while (!ended) {
		n = mu_stream_read(
		    s, offset, buf, sizeof(buf), WAIT_INTERVAL_MS, &ended);
		offset += n;
		if (n > 0 && !fn(arg, buf, n))
			return false;
	}
	return true;
}

static const struct mu_reply *
wait_for_reply(struct mu_stream *s)
{
	const struct mu_reply *reply;

	do
		reply = mu_stream_wait_end(s, WAIT_INTERVAL_MS);
	while (reply == NULL);
	return reply;
}

struct text_sink {
	struct route_task *t;
	struct mu_textlines lines;
};

static bool
text_sink_write(void *arg, const char *data, size_t len)
{
	struct text_sink *k = arg;

	if (!k->t->r->stream)
		return true;
	return mu_textlines_feed(&k->lines, &k->t->log, data, len);
}

/* Fails a rerun whose answer contradicts text that the reader already has. */
static void
fail_mismatch(struct route_task *t)
{
	struct mu_error e;

	mu_fail(&e, MU_E_MISMATCH, MU_OUTCOME_UNKNOWN, RETRY_INTERVAL_MS,
	    "the answer was made again and differs");
	mu_stream_fail(t->answer, &e);
}

/*
 * A retry may find the answer stored, in which case no text is streamed before
 * the reply.  Passes on the text that the reader lacks.
 */
static void
relay_missing_text(struct route_task *t, const struct mu_reply *reply)
{
	json_t *j, *output;

	if (!t->r->stream || reply->status != 200)
		return;
	j = json_loadb(reply->body, reply->len, 0, NULL);
	output = json_object_get(j, "output");
	if (json_is_string(output))
		(void)mu_textlog_finish(&t->log, json_string_value(output),
		    json_string_length(output));
	json_decref(j);
}

/* Ends the answer if the reply is final; false if a retry is needed. */
static bool
finish_if_final(struct route_task *t, const struct mu_reply *reply)
{
	struct mu_reply copy;

	if (reply->not_owner)
		return false;
	relay_missing_text(t, reply);
	if (t->log.rerun_differs) {
		fail_mismatch(t);
		return true;
	}
	copy = *reply;
	copy.body = malloc(reply->len + 1);
	if (copy.body == NULL)
		return false;
	if (reply->len > 0)
		memcpy(copy.body, reply->body, reply->len);
	copy.body[reply->len] = '\0';
	mu_stream_end(t->answer, &copy);
	return true;
}

static bool
try_local(struct route_task *t)
{
	struct text_sink k = {t, {0}};
	struct mu_stream *s = mu_owner_handle(t->d, t->r);
	bool done = true;

	if (s == NULL)
		return false;
	/* On a mismatch the run continues, but its end is not awaited. */
	if (!relay_stream(s, text_sink_write, &k) && t->log.rerun_differs)
		fail_mismatch(t);
	else
		done = finish_if_final(t, wait_for_reply(s));
	mu_textlines_clear(&k.lines);
	mu_stream_unref(s);
	return done;
}

static Mu__Forward__Kind
forward_kind(enum mu_req_kind kind)
{
	switch (kind) {
	case MU_REQ_CREATE:
		return MU__FORWARD__KIND__CREATE;
	case MU_REQ_CALL:
		return MU__FORWARD__KIND__CALL;
	case MU_REQ_GET_CALL:
		return MU__FORWARD__KIND__GET_CALL;
	case MU_REQ_GET_PROGRAM:
		return MU__FORWARD__KIND__GET_PROGRAM;
	case MU_REQ_END:
		return MU__FORWARD__KIND__END;
	case MU_REQ_EXPLAIN:
		break;
	}
	return MU__FORWARD__KIND__EXPLAIN;
}

static void
fill_forward(const struct route_task *t, Mu__Forward *f)
{
	mu_us left = t->r->deadline - mu_now(&t->d->clock);

	mu__forward__init(f);
	f->kind = forward_kind(t->r->kind);
	f->caller = (char *)t->r->caller;
	f->program = (char *)t->r->program;
	f->seq = t->r->seq;
	f->body.data = (uint8_t *)t->r->body;
	f->body.len = t->r->len;
	f->stream = t->r->stream;
	f->deadline_ms = left > 0 ? (uint32_t)(left / MU_US_PER_MS) : 1;
	f->hops = t->r->hops + 1;
	f->request = t->r->request_id;
}

static bool
try_peer(struct route_task *t, const char *host)
{
	struct text_sink k = {t, {0}};
	struct mu_peer_reply pr = {0};
	struct mu_reply reply = {0};
	struct mu_error e = {0};
	Mu__Forward f;
	bool done = false;
	int rc;

	fill_forward(t, &f);
	mu_count(MU_M_FORWARDS, 1);
	rc = mu_peers_forward(
	    t->d->peers, host, &f, text_sink_write, &k, &pr, &e);
	if (rc == 0) {
		reply.status = (int)pr.status;
		reply.body = pr.body;
		reply.len = pr.body_len;
		reply.retry_after_ms = pr.retry_after_ms;
		reply.not_owner = pr.not_owner;
		done = finish_if_final(t, &reply);
		free(pr.body);
	} else if (t->log.rerun_differs) {
		fail_mismatch(t);
		done = true;
	} else if (e.outcome != MU_OUTCOME_NOT_RUN) {
		t->may_have_started = true;
	}
	mu_textlines_clear(&k.lines);
	return done;
}

/* Picks a host to create a program on when this one owns no slot. */
static bool
find_any_owner(struct mu_daemon *d, char host[MU_NAME_LEN])
{
	struct mu_bd_slots *s;
	size_t i;
	bool found = false;

	rcu_read_lock();
	s = rcu_dereference(d->board.slots);
	for (i = 0; s != NULL && i < s->count && !found; i++) {
		if (s->slot[i].owner[0] == '\0' ||
		    !mu_peers_link_up(d->peers, s->slot[i].owner))
			continue;
		memcpy(host, s->slot[i].owner, MU_NAME_LEN);
		found = true;
	}
	rcu_read_unlock();
	return found;
}

/* Looks up the owner of the request's slot; false when unknown. */
static bool
find_owner(struct route_task *t, char host[MU_NAME_LEN])
{
	unsigned slot;

	if (t->r->kind == MU_REQ_CREATE &&
	    !mu_slots_parse_id(t->d->slots, t->r->program, &slot)) {
		if (mu_slots_pick_owned(t->d->slots) < 0)
			return find_any_owner(t->d, host);
		(void)snprintf(host, MU_NAME_LEN, "%s", t->d->conf->host);
		return true;
	}
	if (!mu_slots_parse_id(t->d->slots, t->r->program, &slot)) {
		/* No such slot: every daemon gives the same answer. */
		(void)snprintf(host, MU_NAME_LEN, "%s", t->d->conf->host);
		return true;
	}
	return mu_board_owner(&t->d->board, slot, host);
}

static bool
try_owner(struct route_task *t)
{
	char host[MU_NAME_LEN];

	if (!find_owner(t, host))
		return false;
	if (strcmp(host, t->d->conf->host) == 0)
		return try_local(t);
	return try_peer(t, host);
}

/*
 * Whether an earlier copy of the call may have run, sent from here or through
 * another daemon, which only the owner knows.
 */
static bool
outcome_unknown(const struct route_task *t)
{
	return t->may_have_started || t->r->kind == MU_REQ_CALL;
}

static void
fail_unreachable(struct route_task *t)
{
	struct mu_error e;

	mu_fail(&e, MU_E_DEADLINE,
	    outcome_unknown(t) ? MU_OUTCOME_UNKNOWN : MU_OUTCOME_NOT_RUN,
	    RETRY_AFTER_MS,
	    "the daemon that owns the program was not reached in time");
	mu_stream_fail(t->answer, &e);
}

/*
 * Whether to stop: the deadline has passed, no owner was reached for longer
 * than a takeover takes, or this daemon is isolated and so cannot learn of a
 * takeover.
 */
static bool
must_stop_retrying(const struct route_task *t, mu_us last_reached)
{
	mu_us now = mu_now(&t->d->clock);
	mu_us max_outage =
	    MAX_TAKEOVER_LEASES * t->d->conf->lease_ms * MU_US_PER_MS;

	return now >= t->r->deadline || now - last_reached > max_outage ||
	       MU_ATOMIC_LOAD(t->d->board.isolated);
}

static void
route_until_final(struct route_task *t)
{
	mu_us attempt_start = mu_now(&t->d->clock),
	      last_reached = attempt_start;

	mu_textlog_init(&t->log, t->answer);
	while (!try_owner(t)) {
		/* An attempt that took this long had reached an owner. */
		if (mu_now(&t->d->clock) - attempt_start >
		    OWNER_REACHED_MS * MU_US_PER_MS)
			last_reached = mu_now(&t->d->clock);
		if (must_stop_retrying(t, last_reached)) {
			fail_unreachable(t);
			break;
		}
		mu_slots_request_refresh(t->d->slots);
		mu_sleep_ms(RETRY_INTERVAL_MS);
		mu_textlog_rerun(&t->log);
		attempt_start = mu_now(&t->d->clock);
	}
	mu_textlog_clear(&t->log);
}

struct mu_stream *
mu_route(struct mu_daemon *d, const struct mu_req *r)
{
	struct route_task t = {.d = d, .r = r};

	t.answer = mu_stream_new();
	if (t.answer != NULL)
		route_until_final(&t);
	return t.answer;
}

/* A copy of a request, routed on its own thread. */
struct route_job {
	struct route_task task;
	struct mu_req r;
	struct mu_arena *arena;
};

static void *
route_job_main(void *arg)
{
	struct route_job *a = arg;
	struct mu_daemon *d = a->task.d;

	route_until_final(&a->task);
	mu_stream_unref(a->task.answer);
	mu_arena_free(a->arena);
	MU_ATOMIC_SUB(d->run_threads, 1);
	return NULL;
}

static struct route_job *
route_job_new(struct mu_daemon *d, const struct mu_req *r)
{
	struct mu_arena *arena = mu_arena_new();
	struct route_job *a;
	char *body;

	if (arena == NULL)
		return NULL;
	a = mu_arena_alloc(arena, sizeof(*a));
	body = mu_arena_alloc(arena, r->len + 1);
	if (a == NULL || body == NULL) {
		mu_arena_free(arena);
		return NULL;
	}
	memcpy(body, r->body, r->len);
	a->arena = arena;
	a->r = *r;
	a->r.body = body;
	a->r.caller = mu_arena_strdup(arena, r->caller);
	a->r.program = mu_arena_strdup(arena, r->program);
	a->task.d = d;
	a->task.r = &a->r;
	a->task.answer = mu_stream_new();
	return a;
}

struct mu_stream *
mu_route_start(struct mu_daemon *d, const struct mu_req *r)
{
	struct route_job *a = route_job_new(d, r);
	struct mu_stream *answer;
	pthread_attr_t attr;
	pthread_t thread;
	int rc;

	if (a == NULL)
		return NULL;
	answer = mu_stream_ref(a->task.answer);
	MU_ATOMIC_ADD(d->run_threads, 1);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, THREAD_STACK);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	rc = pthread_create(&thread, &attr, route_job_main, a);
	pthread_attr_destroy(&attr);
	if (rc != 0) {
		fail_unreachable(&a->task);
		mu_stream_unref(a->task.answer);
		mu_arena_free(a->arena);
		MU_ATOMIC_SUB(d->run_threads, 1);
	}
	return answer;
}

/*
 * Forwarded requests.
 */

static bool
send_chunk(void *arg, const char *data, size_t len)
{
	return mu_peer_send_chunk(arg, data, len);
}

static enum mu_req_kind
request_kind(Mu__Forward__Kind kind)
{
	switch (kind) {
	case MU__FORWARD__KIND__CREATE:
		return MU_REQ_CREATE;
	case MU__FORWARD__KIND__CALL:
		return MU_REQ_CALL;
	case MU__FORWARD__KIND__GET_CALL:
		return MU_REQ_GET_CALL;
	case MU__FORWARD__KIND__END:
		return MU_REQ_END;
	case MU__FORWARD__KIND__EXPLAIN:
		return MU_REQ_EXPLAIN;
	default:
		return MU_REQ_GET_PROGRAM;
	}
}

static void
finish_with_error(struct mu_peer_responder *to, const struct mu_error *e)
{
	struct mu_peer_reply pr = {0};
	struct mu_reply r;

	mu_reply_error(&r, e);
	pr.status = (uint32_t)r.status;
	pr.body = r.body;
	pr.body_len = r.len;
	pr.retry_after_ms = r.retry_after_ms;
	pr.not_owner = r.not_owner;
	mu_peer_send_result(to, &pr);
	free(r.body);
}

void
mu_route_serve_forwarded(
    void *daemon, const Mu__Forward *f, struct mu_peer_responder *to)
{
	struct mu_daemon *d = daemon;
	struct mu_peer_reply pr = {0};
	const struct mu_reply *reply;
	struct mu_stream *s;
	struct mu_error e;
	struct mu_req r = {0};

	r.kind = request_kind(f->kind);
	r.caller = f->caller;
	r.program = f->program;
	r.seq = f->seq;
	r.body = (const char *)f->body.data;
	r.len = f->body.len;
	r.stream = f->stream;
	r.deadline = mu_now(&d->clock) + f->deadline_ms * MU_US_PER_MS;
	r.request_id = f->request;
	r.hops = f->hops;
	mu_count(MU_M_FORWARDED, 1);
	s = mu_owner_handle(d, &r);
	if (s == NULL) {
		mu_fail(&e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, RETRY_AFTER_MS,
		    "no memory");
		finish_with_error(to, &e);
		return;
	}
	if (r.stream)
		(void)relay_stream(s, send_chunk, to);
	reply = wait_for_reply(s);
	if (reply->not_run && !reply->not_owner)
		mu_refusals_add(&d->refusals, r.request_id);
	if (reply->not_owner)
		mu_slots_request_refresh(d->slots);
	pr.status = (uint32_t)reply->status;
	pr.body = reply->body;
	pr.body_len = reply->len;
	pr.retry_after_ms = reply->retry_after_ms;
	pr.not_owner = reply->not_owner;
	mu_peer_send_result(to, &pr);
	mu_stream_unref(s);
}
