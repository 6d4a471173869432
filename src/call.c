/*
 * call.c -- a caller's request on the serving path.
 *
 * The daemon that took the request runs it: it reserves the program's budget
 * and history at the program's home, waits for a place at an endpoint, passes
 * the answer on and, for a turn with history, commits the turn's record before
 * the caller gets the end of the answer.
 *
 * What may run at most once is sent to one endpoint and, unless that endpoint
 * says that it did not run it, never again; as each attempt of a caller has an
 * id of its own, no other daemon has to be asked.  A stream that may be
 * resumed goes on after its last whole event: at the same endpoint, and at
 * another one only when the first cannot be reached.
 *
 * A request that was not sent, or that every endpoint refused, gets 503, which
 * promises that it has not run; one whose answer was lost gets 502, and 504
 * when the time ran out.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "call.h"
#include "log.h"
#include "metric.h"
#include "sse.h"

#define BODY_MAX ((size_t)8 << 20) /* of an answer that is kept whole */
#define EVENT_MAX ((size_t)1 << 20)
#define RETRY_UNAVAILABLE_MS 200 /* about the time to draw or read anew */
/* A request waits this long for a store that is out, then its caller is told to
 * come back: programs that begin late in an outage go on at once when it ends,
 * and none is held until its time is over. */
#define BEGIN_US (1 * MU_US_PER_S)
#define RETRY_OUTAGE_MS 400
#define RETRY_OVERLOAD_MS 250
/* some turns end meanwhile, and a caller can still come back several times */
#define RETRY_NEW_MS 350
#define FULL_BACK_US (50 * MU_US_PER_MS) /* after an endpoint's refusal */
/* A first byte that takes so many times the usual time is overdue. */
#define LATE_FACTOR 8
#define LATE_MIN_US (400 * MU_US_PER_MS)
#define FIRST_SMOOTHING 16
/* Requests lost this long before an endpoint was found dead are suspected. */
#define SUSPECT_US (1500 * MU_US_PER_MS)
#define RERUNS 2 /* at an endpoint that has run it, beyond the route's own */
#define TRIES_MAX 6 /* endpoints asked for one request */
#define PREFILL_US 6 /* to read a prompt token, of a usual model endpoint */
#define ANSWER_HEADERS MU_UP_HEADERS

enum state {
	ST_BEGIN, /* reserving budget, reading history */
	ST_WAIT, /* for a place at an endpoint */
	ST_SENT,
	ST_COMMIT,
	ST_ANSWERED
};

struct mu_call {
	struct cds_list_head node; /* while waiting */
	struct mu_serve *s;
	struct mu_in_req *in;
	struct mu_call_req req; /* in arena */
	struct mu_arena *arena;
	struct mu_routes *routes;
	const struct mu_route *route;
	const struct mu_service *service;
	struct mu_group *group;
	struct mu_waiting rank;
	enum state state;
	bool beginning; /* mu_home_begin() has not ended */
	bool dead; /* closed while something still refers to it */
	unsigned references;
	uint64_t fingerprint; /* of the request, whoever sends it */
	mu_us arrived;
	mu_us deadline; /* final answer by then */
	struct mu_timer timer;
	struct mu_timer late; /* no byte of the answer for long */
	bool overdue; /* its endpoint's health has been told so */
	struct mu_grant grant;
	struct mu_buf body; /* history and input; empty: the request's own */
	/* Sending. */
	struct mu_target *target;
	struct mu_up_exchange *exchange;
	mu_us sent_at;
	mu_us first_at; /* first byte of the answer */
	unsigned tries; /* endpoints asked */
	unsigned ran; /* endpoints that may have run it */
	bool resend_same; /* to the endpoint that broke off, if it is there */
	char same[MU_NAME_LEN];
	char tried[TRIES_MAX][MU_NAME_LEN]; /* refused, not to be asked again */
	unsigned ntried;
	/* The answer. */
	int status;
	bool not_run;
	bool is_signed;
	bool streaming; /* its events are passed on as they come */
	struct mu_header headers[ANSWER_HEADERS];
	size_t nheaders;
	struct mu_buf answer; /* body kept whole, or bytes of an event */
	struct mu_sse sse;
	size_t event_at; /* sse.fed at the start of answer */
	uint64_t events; /* passed on */
	struct mu_buf output; /* data of the events */
	char last_event[64];
	const char *why; /* of the final answer, for the log */
};

static void place(struct mu_call *c);
static bool repeatable(const struct mu_call *c);
static void mark_tried(struct mu_call *c, const char *name);
static void after_loss(struct mu_call *c, const char *why);
static void retry_waiting(struct mu_serve *s, struct mu_group *g);

/* Final answers. */

static const struct mu_header json_header = {
    "Content-Type", "application/json"};

void
mu_call_reject(
    struct mu_in_req *r, int status, uint32_t retry_after_ms, const char *why)
{
	struct mu_header headers[2] = {json_header};
	char after[32], body[160];
	size_t n = 1;
	int len;

	if (retry_after_ms > 0) {
		(void)snprintf(after, sizeof(after), "%.3f",
		    (double)retry_after_ms / 1000);
		headers[n].name = "Retry-After";
		headers[n++].value = after;
	}
	len = snprintf(body, sizeof(body), "{\"error\":\"%s\"}", why);
	r->refused = true;
	mu_in_answer(r, status, headers, n, body, (size_t)len);
}

static void
log_end(struct mu_call *c, int status)
{
	mu_us now = mu_loop_now(c->s->loop);

	mu_log(status >= 400 || status == 0 ? MU_LOG_WARN : MU_LOG_INFO, "call",
	    "end",
	    "{s:s,s:s?,s:s?,s:s?,s:i,s:s?,s:s?,s:I,s:I,s:I,s:i,s:i,s:I,s:I}",
	    "request", c->req.id, "program", c->req.program, "previous",
	    c->req.previous, "route", c->route != NULL ? c->route->name : NULL,
	    "status", status, "why", c->why, "endpoint",
	    c->target != NULL ? c->target->info.name : c->same, "ms",
	    (json_int_t)((now - c->arrived) / MU_US_PER_MS), "sent_ms",
	    c->sent_at != 0
		? (json_int_t)((c->sent_at - c->arrived) / MU_US_PER_MS)
		: -1,
	    "first_ms",
	    c->first_at != 0
		? (json_int_t)((c->first_at - c->arrived) / MU_US_PER_MS)
		: -1,
	    "tries", (int)c->tries, "ran", (int)c->ran, "events",
	    (json_int_t)c->events, "config",
	    c->routes != NULL ? (json_int_t)c->routes->version : 0);
}

static void
settle(struct mu_call *c, const Mu__TurnRecord *rec)
{
	struct mu_settlement t = {0};

	if (!c->grant.held)
		return;
	t.program = c->req.program;
	t.turn = c->req.id;
	t.rec = rec;
	if (c->service != NULL)
		t.used = c->events * c->service->tokens_per_event;
	if (c->events > 0 && c->req.nparts > 0 && *c->same != '\0') {
		t.part = c->req.parts[0];
		(void)snprintf(t.cached.endpoint, sizeof(t.cached.endpoint),
		    "%s", c->same);
		t.cached.held = c->req.prompt_tokens + t.used;
	}
	mu_home_settle(c->s->home, &c->grant, &t);
}

/* Ends the timer, the place in a queue and the reservation. */
static void
release(struct mu_call *c)
{
	mu_timer_clear(c->s->loop, &c->timer);
	if (c->state == ST_WAIT) {
		cds_list_del(&c->node);
		c->group->nwaiting--;
	}
	c->state = ST_ANSWERED;
	settle(c, NULL);
}

static void
refuse(struct mu_call *c, int status, uint32_t retry_after_ms, const char *why)
{
	c->why = why;
	if (status == 503 || status == 429)
		mu_count(MU_M_REFUSED, 1);
	else
		mu_count(MU_M_CALLS_FAILED, 1);
	log_end(c, status);
	release(c);
	if (c->streaming)
		mu_in_end(c->in, false);
	else
		mu_call_reject(c->in, status, retry_after_ms, why);
}

/* A request that no endpoint has run, or one that may have run. */
static void
give_up(struct mu_call *c, uint32_t retry_after_ms, const char *why)
{
	if (c->ran == 0)
		refuse(c, 503, retry_after_ms, why);
	else
		refuse(c, 502, 0, why);
}

/* Sending. */

/* Takes the call off its endpoint; took: time a piece, for its health. */
static void
leave_target(struct mu_call *c, enum mu_health_result result, mu_us took)
{
	struct mu_target *x = c->target;

	if (x == NULL)
		return;
	(void)snprintf(c->same, sizeof(c->same), "%s", x->info.name);
	c->target = NULL;
	c->exchange = NULL;
	x->sent--;
	mu_timer_clear(c->s->loop, &c->late);
	if (x->listed && !(c->overdue && result == MU_HEALTH_FAILURE))
		mu_target_ended(&c->s->targets, x, result, took);
	mu_target_release(&c->s->targets, x);
	retry_waiting(c->s, c->group);
}

/* Breaks off the attempt in progress, which has run if a byte of it left. */
static void
cancel_exchange(struct mu_call *c, enum mu_health_result result)
{
	if (c->exchange == NULL)
		return;
	if (mu_up_cancel(c->exchange))
		c->ran++;
	leave_target(c, result, 0);
}

/*
 * The answer is long overdue: an endpoint that hangs is told from a busy one
 * before callers' time is over, and what may be repeated goes elsewhere.
 */
static void
on_late(void *arg)
{
	struct mu_call *c = arg;

	mu_count(MU_M_OVERDUE, 1);
	mu_log(MU_LOG_WARN, "call", "overdue", "{s:s,s:s,s:I,s:I}", "request",
	    c->req.id, "endpoint", c->target->info.name, "ms",
	    (json_int_t)((mu_loop_now(c->s->loop) - c->sent_at) / MU_US_PER_MS),
	    "usual_ms", (json_int_t)(c->group->first / MU_US_PER_MS));
	if (c->target->listed)
		mu_target_ended(
		    &c->s->targets, c->target, MU_HEALTH_FAILURE, 0);
	c->overdue = true;
	if (!repeatable(c) || c->ran + 1 >= c->route->max_endpoints)
		return;
	mark_tried(c, c->target->info.name);
	cancel_exchange(c, MU_HEALTH_FAILURE);
	after_loss(c, "overdue");
}

static void
on_timer(void *arg)
{
	struct mu_call *c = arg;

	cancel_exchange(c, MU_HEALTH_FAILURE);
	if (c->ran == 0)
		refuse(c, 503, RETRY_OVERLOAD_MS, "timeout_before_sending");
	else
		refuse(c, 504, 0, "timeout");
}

static bool
repeatable(const struct mu_call *c)
{
	switch (c->route->kind) {
	case MU_ROUTE_IDEMPOTENT:
		return true;
	case MU_ROUTE_ONCE:
		return false;
	case MU_ROUTE_STREAM:
		return c->route->resumable;
	}
	return false;
}

static void
mark_tried(struct mu_call *c, const char *name)
{
	if (c->ntried < TRIES_MAX)
		(void)snprintf(c->tried[c->ntried++], MU_NAME_LEN, "%s", name);
}

/* Starts over after an attempt that was not run, or that may be repeated. */
static void
try_again(struct mu_call *c)
{
	c->nheaders = 0;
	c->status = 0;
	mu_buf_take(&c->answer, mu_buf_len(&c->answer));
	mu_sse_clear(&c->sse);
	c->event_at = 0;
	place(c);
}

/* The attempt failed after it was sent: it may have run. */
static void
after_loss(struct mu_call *c, const char *why)
{
	c->why = why;
	if (!repeatable(c) || c->tries >= TRIES_MAX ||
	    c->ran >= c->route->max_endpoints + RERUNS) {
		give_up(c, 0, why);
		return;
	}
	/* One endpoint may run it as often as needed, others only as many as
	 * the route allows. */
	c->resend_same = c->ran >= c->route->max_endpoints ||
			 c->route->kind == MU_ROUTE_STREAM;
	mu_count(MU_M_RETRIES, 1);
	try_again(c);
}

static bool
own_answer(void *arg, const struct mu_up_head *head)
{
	struct mu_call *c = arg;
	struct mu_answer_head a = {0};

	c->s->dialect->read_answer(head, &a);
	if (a.request == NULL || strcmp(a.request, c->req.id) == 0)
		return true;
	mu_log(MU_LOG_WARN, "call", "foreign_answer", "{s:s,s:s,s:s}",
	    "request", c->req.id, "answers", a.request, "endpoint",
	    c->target->info.name);
	return false;
}

static bool
hop_header(const char *name)
{
	static const char *const names[] = {"Connection", "Keep-Alive",
	    "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade",
	    "Proxy-Authenticate", "Proxy-Connection", "TE", "Date"};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(*names); i++)
		if (strcasecmp(name, names[i]) == 0)
			return true;
	return false;
}

static void
keep_headers(struct mu_call *c, const struct mu_up_head *head)
{
	size_t i;

	c->nheaders = 0;
	for (i = 0; i < head->nheaders; i++) {
		if (hop_header(head->headers[i].name))
			continue;
		c->headers[c->nheaders].name =
		    mu_arena_strdup(c->arena, head->headers[i].name);
		c->headers[c->nheaders].value =
		    mu_arena_strdup(c->arena, head->headers[i].value);
		if (c->headers[c->nheaders].name == NULL ||
		    c->headers[c->nheaders].value == NULL)
			abort();
		c->nheaders++;
	}
}

static void
on_head(void *arg, const struct mu_up_head *head)
{
	struct mu_call *c = arg;
	struct mu_answer_head a = {0};
	bool first = c->first_at == 0;
	mu_us took;

	c->s->dialect->read_answer(head, &a);
	c->status = head->status;
	c->not_run = a.not_run || a.wrong_endpoint;
	c->is_signed = a.signed_;
	if (a.loaded)
		mu_target_told(c->target, mu_loop_now(c->s->loop), a.running,
		    a.waiting, a.slots);
	if (a.wrong_endpoint)
		c->target->full_until = MU_US_NEVER;
	if (c->not_run)
		return;
	mu_timer_clear(c->s->loop, &c->late);
	took = mu_loop_now(c->s->loop) - c->sent_at;
	c->group->first += (took - c->group->first) / FIRST_SMOOTHING;
	if (first) {
		c->first_at = mu_loop_now(c->s->loop);
		mu_observe(MU_H_FIRST, c->first_at - c->arrived);
	}
	if (c->streaming) /* a resumed stream keeps its first head */
		return;
	keep_headers(c, head);
	if (c->route->kind != MU_ROUTE_STREAM || c->status != 200 ||
	    !c->is_signed)
		return;
	c->streaming = true;
	mu_in_begin(c->in, c->status, c->headers, c->nheaders);
}

/* Passes a whole event on. */
static int
on_event(void *arg, const char *data, size_t len)
{
	struct mu_call *c = arg;
	size_t n = c->sse.fed - c->event_at;

	mu_in_write(c->in, mu_buf_data(&c->answer), n);
	mu_buf_take(&c->answer, n);
	c->event_at = c->sse.fed;
	c->events++;
	if (c->sse.id.len > 0)
		(void)snprintf(
		    c->last_event, sizeof(c->last_event), "%s", c->sse.id.p);
	if (c->route->keeps_history &&
	    (mu_buf_add(&c->output, data, len) != 0 ||
		mu_buf_add(&c->output, "\n", 1) != 0))
		return MU_E_NOMEM;
	return 0;
}

static void
on_body(void *arg, const char *data, size_t len)
{
	struct mu_call *c = arg;

	if (c->not_run)
		return;
	if (mu_buf_len(&c->answer) + len > BODY_MAX ||
	    mu_buf_add(&c->answer, data, len) != 0)
		goto fail;
	if (c->streaming && c->status == 200 &&
	    mu_sse_feed(&c->sse, data, len, on_event, c) != 0)
		goto fail;
	return;
fail:
	mu_log(MU_LOG_ERROR, "call", "answer_too_large", "{s:s}", "request",
	    c->req.id);
	cancel_exchange(c, MU_HEALTH_FAILURE);
	give_up(c, 0, "answer_too_large");
}

static void
answer_whole(struct mu_call *c)
{
	c->why = "answered";
	mu_count(MU_M_CALLS_OK, 1);
	mu_observe(MU_H_CALL, mu_loop_now(c->s->loop) - c->arrived);
	log_end(c, c->status);
	release(c);
	if (c->streaming)
		mu_in_end(c->in, true);
	else
		mu_in_answer(c->in, c->status, c->headers, c->nheaders,
		    mu_buf_data(&c->answer), mu_buf_len(&c->answer));
}

/* Committing a turn with history. */

static Mu__TurnRecord *
make_record(struct mu_call *c)
{
	const Mu__TurnRecord *before = NULL;
	Mu__TurnRecord *r = malloc(sizeof(*r));
	size_t i;

	if (r == NULL)
		abort();
	mu__turn_record__init(r);
	r->turn = strdup(c->req.id);
	if (c->req.previous != NULL)
		before = mu_history_find(c->s->history, c->req.previous);
	if (before != NULL) {
		r->ancestors = calloc(before->n_ancestors + 1, sizeof(char *));
		if (r->ancestors == NULL)
			abort();
		for (i = 0; i < before->n_ancestors; i++)
			r->ancestors[i] = strdup(before->ancestors[i]);
		r->ancestors[i] = strdup(before->turn);
		r->n_ancestors = i + 1;
	}
	r->input.data = malloc(c->req.len + 1);
	r->output.data = malloc(mu_buf_len(&c->output) + 1);
	if (r->input.data == NULL || r->output.data == NULL)
		abort();
	r->input.len = c->req.len;
	memcpy(r->input.data, c->req.body, c->req.len);
	r->output.len = mu_buf_len(&c->output);
	memcpy(r->output.data, mu_buf_data(&c->output), r->output.len);
	return r;
}

static void
call_unref(struct mu_call *c)
{
	if (--c->references > 0)
		return;
	mu_buf_clear(&c->body);
	mu_buf_clear(&c->answer);
	mu_buf_clear(&c->output);
	mu_sse_clear(&c->sse);
	mu_routes_unref(c->routes);
	mu_arena_free(c->arena);
	free(c);
}

struct committing {
	struct mu_call *c;
	Mu__TurnRecord *rec;
};

static void
on_committed(void *arg, enum mu_history_status st)
{
	struct committing *k = arg;
	struct mu_call *c = k->c;
	mu_us keep = c->route->keep;
	struct mu_history *h = c->s->history;

	if (!c->dead && c->state == ST_COMMIT) {
		if (st == MU_HISTORY_OK) {
			settle(c, k->rec);
			mu_history_keep(h, k->rec, keep);
			k->rec = NULL;
			answer_whole(c);
		} else {
			refuse(c, 504, 0, "record_not_committed");
		}
	}
	if (k->rec != NULL)
		mu__turn_record__free_unpacked(k->rec, NULL);
	free(k);
	call_unref(c);
}

static void
commit(struct mu_call *c)
{
	struct committing *k = calloc(1, sizeof(*k));

	if (k == NULL)
		abort();
	c->state = ST_COMMIT;
	c->references++;
	k->c = c;
	k->rec = make_record(c);
	mu_history_commit(c->s->history, k->rec, c->route->keep, c->deadline,
	    on_committed, k);
}

/* An answer that came complete. */
static void
on_whole(struct mu_call *c)
{
	if (c->not_run) {
		/* Refused: another endpoint may have a place. */
		mark_tried(c, c->same);
		c->why = "refused_by_endpoint";
		if (c->tries >= TRIES_MAX)
			give_up(c, RETRY_OVERLOAD_MS, "endpoints_full");
		else
			try_again(c);
		return;
	}
	if (c->status / 100 == 2 && !c->is_signed) {
		after_loss(c, "answer_without_digest");
		return;
	}
	if (c->streaming && c->status != 200) {
		after_loss(c, "resumed_with_failure");
		return;
	}
	if (c->streaming && mu_buf_len(&c->answer) > 0) {
		/* The last event was not ended, so the stream is not whole. */
		after_loss(c, "stream_ends_in_event");
		return;
	}
	if (c->streaming && c->route->keeps_history)
		commit(c);
	else
		answer_whole(c);
}

/* The endpoint died: what was lost there just before may have killed it. */
static void
accuse(struct mu_serve *s, const struct mu_target *x)
{
	mu_us now = mu_loop_now(s->loop);
	uint64_t endpoint = mu_quar_name(x->info.name);
	unsigned i;

	for (i = 0; i < MU_LOST_MAX; i++) {
		if (x->lost[i].at == 0 || now - x->lost[i].at > SUSPECT_US ||
		    mu_quar_start(
			&s->quarantine, x->lost[i].fingerprint, now) != 0)
			continue;
		mu_log(MU_LOG_INFO, "call", "suspected", "{s:s,s:I}",
		    "endpoint", x->info.name, "fingerprint",
		    (json_int_t)x->lost[i].fingerprint);
		mu_quar_finish(&s->quarantine, x->lost[i].fingerprint, endpoint,
		    MU_QUAR_DIED, now);
	}
}

static void
on_end(void *arg, enum mu_up_end end, bool sent)
{
	struct mu_call *c = arg;
	struct mu_target *x = c->target;
	mu_us now = mu_loop_now(c->s->loop), took = now - c->sent_at;
	enum mu_health_result result = MU_HEALTH_SUCCESS;

	if (end != MU_UP_WHOLE || c->status >= 500)
		result = MU_HEALTH_FAILURE;
	if (end == MU_UP_WHOLE && c->not_run) {
		result = MU_HEALTH_BUSY;
		if (x->full_until != MU_US_NEVER)
			x->full_until = now + FULL_BACK_US;
	}
	if (result == MU_HEALTH_SUCCESS)
		c->group->call += (took - c->group->call) / 16;
	if (end != MU_UP_WHOLE)
		mu_log(MU_LOG_WARN, "call", "attempt_failed",
		    "{s:s,s:s,s:s,s:b,s:I,s:I}", "request", c->req.id,
		    "endpoint", x->info.name, "end", mu_up_end_name(end),
		    "sent", sent, "events", (json_int_t)c->events, "ms",
		    (json_int_t)(took / MU_US_PER_MS));
	if (end == MU_UP_CONNECT && mu_target_died(x, now))
		accuse(c->s, x);
	if (end == MU_UP_LOST && sent)
		mu_target_lost(x, c->fingerprint, now);
	if (sent && !(end == MU_UP_WHOLE && c->not_run))
		c->ran++;
	leave_target(
	    c, result, c->events > 0 ? took / (mu_us)(c->events + 1) : took);
	if (end == MU_UP_WHOLE) {
		on_whole(c);
	} else if (!sent) {
		mark_tried(c, c->same);
		c->resend_same = false;
		if (c->tries >= TRIES_MAX)
			give_up(c, RETRY_UNAVAILABLE_MS, "connect_failed");
		else
			try_again(c);
	} else {
		after_loss(c, mu_up_end_name(end));
	}
}

static const char *
send_headers(struct mu_call *c, struct mu_buf *to)
{
	struct mu_send_head h = {0};
	mu_us left = c->deadline - mu_loop_now(c->s->loop);

	h.endpoint = c->target->info.name;
	h.left_ms = (uint32_t)(left / MU_US_PER_MS);
	h.last_event = c->events > 0 ? c->last_event : c->req.last_event;
	if (mu_buf_add(to, c->req.headers, strlen(c->req.headers)) != 0 ||
	    c->s->dialect->write_send(to, &h) != 0)
		return NULL;
	return mu_buf_data(to);
}

/* Sends the call to x; false when no exchange could be started. */
static bool
send_to(struct mu_call *c, struct mu_target *x)
{
	struct mu_up_hooks hooks = {c, own_answer, on_head, on_body, on_end};
	struct mu_up_req r = {0};
	struct mu_buf headers = {0};
	mu_us limit;

	c->target = x;
	r.method = c->req.method;
	r.target = c->req.target;
	r.headers = send_headers(c, &headers);
	r.body = mu_buf_len(&c->body) > 0 ? mu_buf_data(&c->body) : c->req.body;
	r.len = mu_buf_len(&c->body) > 0 ? mu_buf_len(&c->body) : c->req.len;
	r.has_body = c->req.has_body;
	if (r.headers != NULL)
		c->exchange = mu_up_start(&x->pool, &r, &hooks);
	mu_buf_clear(&headers);
	if (c->exchange == NULL) {
		c->target = NULL;
		return false;
	}
	c->tries++;
	c->overdue = false;
	c->sent_at = mu_loop_now(c->s->loop);
	limit = LATE_FACTOR * c->group->first;
	mu_timer_set(c->s->loop, &c->late,
	    c->sent_at + (limit > LATE_MIN_US ? limit : LATE_MIN_US));
	if (c->tries == 1)
		mu_observe(MU_H_QUEUE, c->sent_at - c->arrived);
	if (mu_health_state(&mu_targets_eject, &x->health, c->sent_at) ==
	    MU_HEALTH_PROBE)
		mu_health_probe(&x->health, c->sent_at);
	x->sent++;
	c->state = ST_SENT;
	mu_count(MU_M_CALLS, 1);
	return true;
}

static bool
was_tried(const struct mu_call *c, const char *name)
{
	unsigned i;

	for (i = 0; i < c->ntried; i++)
		if (strcmp(c->tried[i], name) == 0)
			return true;
	return false;
}

/* Prompt tokens that each endpoint would have to read. */
static void
count_missing(const struct mu_call *c, struct mu_candidate *cand,
    struct mu_target *const *who, uint32_t n)
{
	const struct mu_cached *at = &c->grant.cached;
	uint64_t have;
	uint32_t i;

	for (i = 0; i < n; i++) {
		have = 0;
		if (strcmp(who[i]->info.name, at->endpoint) == 0)
			have = at->held;
		cand[i].missing = have < c->req.prompt_tokens
				      ? (uint32_t)(c->req.prompt_tokens - have)
				      : 0;
	}
}

/* Leaves usable what this call may be sent to. */
static void
narrow(const struct mu_call *c, struct mu_candidate *cand,
    struct mu_target *const *who, uint32_t n)
{
	bool there = false;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (was_tried(c, who[i]->info.name))
			cand[i].usable = false;
		if (c->resend_same && strcmp(who[i]->info.name, c->same) == 0)
			there = true;
	}
	if (!there)
		return;
	for (i = 0; i < n; i++)
		if (strcmp(who[i]->info.name, c->same) == 0) {
			cand[i].usable = !was_tried(c, c->same);
			cand[i].sent = 0;
			cand[i].others = 0;
		} else if (!was_tried(c, c->same)) {
			cand[i].usable = false;
		}
}

static void
demand(const struct mu_call *c, struct mu_demand *d)
{
	mu_us now = mu_loop_now(c->s->loop);

	d->call = c->group->call;
	d->token = PREFILL_US;
	d->left = c->deadline - now;
}

static void
enqueue(struct mu_call *c)
{
	struct mu_call *w;

	c->state = ST_WAIT;
	c->group->nwaiting++;
	cds_list_for_each_entry (w, &c->group->waiting, node)
		if (mu_choose_before(&c->rank, &w->rank)) {
			cds_list_add_tail(&c->node, &w->node);
			return;
		}
	cds_list_add_tail(&c->node, &c->group->waiting);
}

/* Sends the call, lets it wait or refuses it; true when it was sent. */
static bool
try_place(struct mu_call *c, bool queued)
{
	struct mu_candidate cand[MU_CHOOSE_MAX];
	struct mu_target *who[MU_CHOOSE_MAX];
	struct mu_choice choice;
	struct mu_demand d;
	uint32_t n;

	for (;;) {
		n = mu_group_view(&c->s->targets, c->group, cand, who);
		narrow(c, cand, who, n);
		count_missing(c, cand, who, n);
		demand(c, &d);
		choice = mu_choose(cand, n, &d, &c->s->targets.rng);
		if (choice.kind != MU_CHOICE_SEND)
			break;
		if (queued) {
			cds_list_del(&c->node);
			c->group->nwaiting--;
			queued = false;
			c->state = ST_BEGIN;
		}
		if (send_to(c, who[choice.index]))
			return true;
		mark_tried(c, who[choice.index]->info.name);
		if (c->ntried == TRIES_MAX) {
			give_up(c, RETRY_UNAVAILABLE_MS, "no_connection");
			return true;
		}
	}
	if (queued)
		return false;
	if (choice.kind == MU_CHOICE_WAIT)
		choice = mu_choose_wait(cand, n, &d, c->group->nwaiting);
	if (choice.kind == MU_CHOICE_REFUSE)
		give_up(c, choice.retry_after_ms,
		    choice.none ? "no_endpoint" : "overloaded");
	else
		enqueue(c);
	return false;
}

static void
place(struct mu_call *c)
{
	(void)try_place(c, false);
}

/* A place may have become free: sends those that wait, in their order. */
static void
retry_waiting(struct mu_serve *s, struct mu_group *g)
{
	struct mu_call *c;

	if (g->retrying)
		return;
	g->retrying = true;
	while (!cds_list_empty(&g->waiting)) {
		c = cds_list_first_entry(&g->waiting, struct mu_call, node);
		if (c->s != s || !try_place(c, true))
			break;
	}
	g->retrying = false;
}

void
mu_call_retry_waiting(struct mu_serve *s, struct mu_group *g)
{
	retry_waiting(s, g);
}

/* Beginning. */

static void
on_begun(void *arg, enum mu_begin_status st)
{
	struct mu_call *c = arg;

	c->beginning = false;
	if (c->dead || c->state != ST_BEGIN) {
		settle(c, NULL); /* given up meanwhile: nothing was used */
		call_unref(c);
		return;
	}
	switch (st) {
	case MU_BEGIN_OK:
		if (c->req.previous != NULL &&
		    (mu_history_text(
			 c->s->history, c->req.previous, &c->body) != 0 ||
			mu_buf_add(&c->body, c->req.body, c->req.len) != 0))
			refuse(c, 503, RETRY_UNAVAILABLE_MS,
			    "history_unavailable");
		else
			place(c);
		break;
	case MU_BEGIN_EXHAUSTED:
		refuse(c, 402, 0, "budget_exhausted");
		break;
	case MU_BEGIN_NO_TURN:
		refuse(c, 404, 0, "no_such_turn");
		break;
	case MU_BEGIN_NOT_BEGUN:
		refuse(c, 503, RETRY_NEW_MS, "no_place_for_new_programs");
		break;
	case MU_BEGIN_UNAVAILABLE:
		refuse(c, 503, RETRY_OUTAGE_MS, "state_unavailable");
		break;
	}
	call_unref(c);
}

static void
begin(struct mu_call *c)
{
	struct mu_begin b = {0};

	b.program =
	    c->req.has_budget && c->req.program != NULL ? c->req.program : "";
	b.budget = c->req.budget;
	b.most = c->req.most_tokens;
	b.turn = c->req.id;
	b.previous = c->req.previous;
	b.keep = c->route->keep;
	b.parts = c->req.parts;
	b.nparts = c->req.nparts;
	b.only_begun =
	    c->req.previous == NULL &&
	    !mu_choose_admit(mu_group_pressure(&c->s->targets, c->group));
	b.deadline = c->arrived + BEGIN_US < c->deadline ? c->arrived + BEGIN_US
							 : c->deadline;
	c->state = ST_BEGIN;
	c->beginning = true;
	c->references++;
	mu_home_begin(c->s->home, &b, &c->grant, on_begun, c);
}

/* Finds route and service; false when the request has been answered. */
static bool
find_route(struct mu_call *c)
{
	struct mu_serve *s = c->s;
	const char *service, *by = c->req.program;

	if (s->routes == NULL || !s->endpoints_known) {
		refuse(c, 503, RETRY_UNAVAILABLE_MS, "no_configuration");
		return false;
	}
	c->routes = mu_routes_ref(s->routes);
	c->route = mu_routes_find(c->routes, c->req.host, c->req.path);
	if (c->route == NULL) {
		refuse(c, 404, 0, "no_route");
		return false;
	}
	service = mu_route_pick(c->route, mu_hash(by != NULL ? by : c->req.id));
	if (service == NULL) {
		refuse(c, 503, RETRY_OVERLOAD_MS, "no_service");
		return false;
	}
	c->service = mu_routes_service(c->routes, service);
	c->group = mu_targets_group(&s->targets, service);
	return true;
}

static void
set_deadline(struct mu_call *c)
{
	mu_us limit = MU_US_NEVER, now = c->arrived;

	if (c->req.wait_ms > 0)
		limit = now + c->req.wait_ms * MU_US_PER_MS;
	if (c->route->timeout_ms > 0 &&
	    now + c->route->timeout_ms * MU_US_PER_MS < limit)
		limit = now + c->route->timeout_ms * MU_US_PER_MS;
	if (limit == MU_US_NEVER)
		limit = now + 60 * MU_US_PER_S;
	c->deadline = limit;
	c->timer.fn = on_timer;
	c->timer.arg = c;
	mu_timer_set(c->s->loop, &c->timer, limit);
	c->rank.priority = c->route->priority;
	c->rank.since = now;
	c->rank.begun = c->req.previous != NULL;
	c->rank.slack = c->req.program_ms > 0
			    ? now + c->req.program_ms * MU_US_PER_MS
			    : limit;
}

/* Refuses a request that has killed endpoints. */
static bool
quarantined(struct mu_call *c)
{
	struct mu_quar_decision d;
	char place[MU_NAME_LEN * 2];

	(void)snprintf(
	    place, sizeof(place), "%s %s", c->req.method, c->req.path);
	c->fingerprint = mu_quar_fingerprint(
	    place, c->req.len > 0 ? c->req.body : "", c->req.len);
	d = mu_quar_check(
	    &c->s->quarantine, c->fingerprint, mu_loop_now(c->s->loop));
	if (d.kind != MU_QUAR_REFUSE)
		return false;
	mu_count(MU_M_QUARANTINED, 1);
	refuse(c, 503, RETRY_OUTAGE_MS, "kills_endpoints");
	return true;
}

void
mu_call_start(
    struct mu_serve *s, struct mu_in_req *r, const struct mu_call_req *req)
{
	struct mu_call *c = calloc(1, sizeof(*c));

	if (c == NULL)
		abort();
	c->s = s;
	c->in = r;
	c->req = *req;
	c->arena = r->arena; /* outlives r */
	r->arena = NULL;
	c->references = 1;
	c->late.fn = on_late;
	c->late.arg = c;
	c->arrived = mu_loop_now(s->loop);
	c->state = ST_BEGIN;
	mu_sse_init(&c->sse, EVENT_MAX);
	r->user = c;
	s->calls++;
	mu_count(MU_M_HTTP, 1);
	if (!find_route(c))
		return;
	set_deadline(c);
	if (quarantined(c))
		return;
	if (c->route->kind != MU_ROUTE_STREAM)
		c->req.has_budget = false;
	if (!c->route->keeps_history)
		c->req.previous = NULL;
	if (c->req.has_budget || c->req.previous != NULL)
		begin(c);
	else
		place(c);
}

void
mu_call_closed(struct mu_in_req *r, bool ok)
{
	struct mu_call *c = r->user;

	if (c == NULL)
		return;
	r->user = NULL;
	cancel_exchange(c, MU_HEALTH_BUSY);
	if (c->state != ST_ANSWERED) {
		c->why = ok ? "closed" : "caller_gone";
		log_end(c, 0);
		release(c);
	}
	c->dead = true;
	c->s->calls--;
	call_unref(c);
}
