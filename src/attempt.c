/*
 * attempt.c -- one attempt of a call at one endpoint.
 *
 * Sends the request, forwards each event of a stream once it is complete,
 * buffers other answers whole, and records what the attempt shows about the
 * endpoint: its load, its health, and whether it died.  An answer that is long
 * overdue counts as a failure at once: otherwise more requests would be sent to
 * a hanging endpoint until the first ones time out.
 */
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "call_private.h"
#include "log.h"
#include "metric.h"

/* Bounds a buffered answer and a single event: an endpoint may send endless
 * data, and a small host has memory for some tens of these. */
#define MAX_BUFFERED_BYTES ((size_t)2 << 20)
#define MAX_REFUSAL_BYTES ((size_t)64 << 10) /* the body is not used */
#define FULL_BACKOFF_US (50 * MU_US_PER_MS) /* after a refusal */
/* The first byte is overdue after this multiple of its smoothed average time,
 * and not before the minimum. */
#define OVERDUE_FACTOR 8
#define OVERDUE_MIN_US (400 * MU_US_PER_MS)
#define SMOOTHING_DIVISOR 16 /* weight of a new sample: 1/16 */
/* Answers up to this size are read even without room, as the request before
 * them was small as a rule. */
#define SMALL_ANSWER_BYTES ((size_t)64 << 10)
/* Interval between attempts to get room for the rest of an answer. */
#define ROOM_INTERVAL_US (20 * MU_US_PER_MS)

/* Ends the call's use of its endpoint and sends queued calls.  took is the time
 * per event, or of a plain answer, for the endpoint's health; 0: unknown. */
static void
detach_target(struct mu_call *c, enum mu_health_result result, mu_us took)
{
	struct mu_target *x = c->target;

	if (x == NULL)
		return;
	(void)snprintf(
	    c->last_endpoint, sizeof(c->last_endpoint), "%s", x->info.name);
	c->target = NULL;
	c->exchange = NULL;
	x->sent--;
	mu_timer_clear(c->s->loop, &c->overdue_timer);
	mu_timer_clear(c->s->loop, &c->room_timer);
	c->short_of_room = NULL;
	if (x->listed && !(c->overdue_reported && result == MU_HEALTH_FAILURE))
		mu_target_request_ended(&c->s->targets, x, result, took);
	mu_target_release(&c->s->targets, x);
	mu_call_retry_waiting(c->s, c->group);
}

void
mu_attempt_cancel(struct mu_call *c, enum mu_health_result result)
{
	if (c->exchange == NULL)
		return;
	if (mu_up_cancel(c->exchange))
		c->possible_runs++;
	detach_target(c, result, 0);
}

/*
 * Whether an overdue attempt is cancelled and retried.  When as many endpoints
 * as the route allows have run the request, a plain request is repeated at the
 * last one, which may have lost only this answer.  A stream is not: it would
 * lose its slot or its position in the queue there.
 */
static bool
should_retry_overdue(const struct mu_call *c)
{
	unsigned most = c->route->max_endpoints;

	if (c->route->kind == MU_ROUTE_IDEMPOTENT)
		most += MU_CALL_EXTRA_RUNS;
	return mu_call_retryable(c) && c->possible_runs + 1 < most;
}

/*
 * The answer is long overdue.  Reporting it now distinguishes a hanging
 * endpoint from a busy one before callers' deadlines pass, and a request that
 * may be repeated goes to another endpoint.
 */
static void
on_overdue(void *arg)
{
	struct mu_call *c = arg;

	mu_count(MU_M_OVERDUE, 1);
	mu_log(MU_LOG_WARN, "call", "overdue", "{s:s,s:s,s:I,s:I}", "request",
	    c->req.id, "endpoint", c->target->info.name, "ms",
	    (json_int_t)((mu_loop_now(c->s->loop) - c->sent_at) / MU_US_PER_MS),
	    "usual_ms", (json_int_t)(c->group->first_byte_time / MU_US_PER_MS));
	if (c->target->listed)
		mu_target_request_ended(
		    &c->s->targets, c->target, MU_HEALTH_FAILURE, 0);
	c->overdue_reported = true;
	if (!should_retry_overdue(c))
		return;
	if (c->possible_runs + 1 < c->route->max_endpoints)
		mu_call_exclude_endpoint(c, c->target->info.name);
	mu_attempt_cancel(c, MU_HEALTH_FAILURE);
	mu_call_attempt_aborted(c, "overdue");
}

bool
mu_call_retryable(const struct mu_call *c)
{
	switch (c->route->kind) {
	case MU_ROUTE_IDEMPOTENT:
		return true;
	case MU_ROUTE_NON_IDEMPOTENT:
		return false;
	case MU_ROUTE_STREAM:
		/* It goes on after its last event, which must have an id. */
		return c->route->resumable &&
		       (c->events == 0 || c->last_event_id[0] != '\0');
	}
	return false;
}

void
mu_call_exclude_endpoint(struct mu_call *c, const char *name)
{
	if (c->nexcluded < MU_CALL_MAX_ATTEMPTS)
		(void)snprintf(
		    c->excluded[c->nexcluded++], MU_NAME_LEN, "%s", name);
}

/*
 * Endpoints name the request in each answer.  One that doesn't may be an
 * earlier answer once more, unless it is the first on its connection.  A
 * refusal is taken, since no refusal without a name can have come before it:
 * the connection is not used again after one.
 */
static enum mu_up_owner
answer_owner(void *arg, const struct mu_up_head *head)
{
	struct mu_call *c = arg;
	struct mu_answer_head a = {0};

	c->s->adapter->read_answer(head, &a);
	if (a.leaving)
		mu_target_reported_leaving(c->target);
	if (a.request != NULL && strcmp(a.request, c->req.id) != 0) {
		mu_log(MU_LOG_WARN, "call", "foreign_answer", "{s:s,s:s,s:s}",
		    "request", c->req.id, "answers", a.request, "endpoint",
		    c->target->info.name);
		return MU_UP_FOREIGN;
	}
	c->is_attributed =
	    a.request != NULL || !head->reused || a.not_run || a.wrong_endpoint;
	if (a.request != NULL)
		return MU_UP_OWN;
	mu_log(MU_LOG_WARN, "call", "answer_without_id", "{s:s,s:s,s:i,s:b}",
	    "request", c->req.id, "endpoint", c->target->info.name, "status",
	    head->status, "reused", head->reused);
	return MU_UP_OWN_LAST;
}

static bool
is_hop_by_hop(const char *name)
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
copy_headers(struct mu_call *c, const struct mu_up_head *head)
{
	size_t i;

	c->nheaders = 0;
	for (i = 0; i < head->nheaders; i++) {
		if (is_hop_by_hop(head->headers[i].name))
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
	bool time_to_first_byte = c->first_byte_at == 0;
	mu_us took;

	c->s->adapter->read_answer(head, &a);
	c->status = head->status;
	c->not_run = a.not_run || a.wrong_endpoint;
	c->is_signed = a.has_digest;
	if (a.has_load)
		mu_target_load_reported(c->target, mu_loop_now(c->s->loop),
		    a.running, a.waiting, a.slots);
	if (a.wrong_endpoint)
		c->target->full_until = MU_US_NEVER;
	if (c->not_run)
		return;
	mu_timer_clear(c->s->loop, &c->overdue_timer);
	took = mu_loop_now(c->s->loop) - c->sent_at;
	c->group->first_byte_time +=
	    (took - c->group->first_byte_time) / SMOOTHING_DIVISOR;
	if (time_to_first_byte) {
		c->first_byte_at = mu_loop_now(c->s->loop);
		mu_observe(MU_H_FIRST_TEXT, c->first_byte_at - c->arrived);
	}
	/* An answer to HEAD has no events. */
	c->forwarding = c->route->kind == MU_ROUTE_STREAM && c->status == 200 &&
			c->is_signed && c->is_attributed &&
			strcmp(c->req.method, "HEAD") != 0;
	if (c->streaming) /* the caller has the first attempt's head */
		return;
	copy_headers(c, head);
	if (!c->forwarding)
		return;
	c->streaming = true;
	mu_in_stream_begin(c->in, c->status, c->headers, c->nheaders);
}

static void
record_event_interval(struct mu_call *c)
{
	mu_us now = mu_loop_now(c->s->loop);

	if (c->last_event_at != 0 && c->target != NULL)
		mu_target_chunk_time(
		    &c->s->targets, c->target, now - c->last_event_at);
	c->last_event_at = now;
}

/* Counts what is held of the answer, with room or without. */
static void
count_answer(struct mu_call *c)
{
	size_t now = c->answer.size + c->output.size + mu_sse_held(&c->sse);
	size_t counted = c->answer_hold.bytes;

	if (c->acct == NULL)
		return;
	if (now > counted)
		mu_acct_force(c->acct, &c->answer_hold, now - counted,
		    mu_loop_now(c->s->loop));
	else
		mu_acct_give(c->acct, &c->answer_hold, counted - now);
}

/* Takes room for the next allocation of part of the answer; false if there is
 * none. */
static bool
reserve_room(struct mu_call *c, const struct mu_buf *part, size_t size)
{
	size_t more = size > part->size ? size - part->size : 0;

	/* The parser of a stream copies the line that it reads. */
	if (part == &c->answer && c->forwarding)
		more *= 2;
	return c->acct == NULL || more == 0 || size <= SMALL_ANSWER_BYTES ||
	       mu_in_reserve(c->in, &c->answer_hold, more);
}

static void
wait_for_room(struct mu_call *c)
{
	mu_timer_set(c->s->loop, &c->room_timer,
	    mu_loop_now(c->s->loop) + ROOM_INTERVAL_US);
}

/* Reads on once there is room for the rest of the answer, as far as its size is
 * known.  One answer at a time is read without, and counts as such until its
 * request has ended. */
static void
on_room_retry(void *arg)
{
	struct mu_call *c = arg;
	size_t size = 2 * c->short_of_room->size;
	size_t most = c->short_of_room == &c->answer ? MAX_BUFFERED_BYTES
						     : MU_HISTORY_MAX_BYTES;

	if (size > most + 1)
		size = most + 1;
	if (!reserve_room(c, c->short_of_room, size)) {
		if (c->s->overdraft != NULL) {
			wait_for_room(c);
			return;
		}
		c->s->overdraft = c;
	}
	(void)mu_buf_set_size(c->short_of_room, size);
	c->short_of_room = NULL;
	count_answer(c);
	mu_up_resume(c->exchange);
}

/*
 * Adds bytes to part of the answer.  Without room for a large one the rest is
 * not read for now: the endpoint waits, as for a slow caller, rather than that
 * the answer of a request that has run is lost.
 */
static int
add_part(struct mu_call *c, struct mu_buf *part, const char *data, size_t len)
{
	size_t size = mu_buf_size_for(part, len);

	if (c->s->overdraft != c && !reserve_room(c, part, size)) {
		if (mu_buf_set_size(part, part->len + len + 1) != 0)
			return MU_E_NOMEM;
		c->short_of_room = part;
	}
	return mu_buf_add(part, data, len);
}

/* Whether the caller has the event from an earlier attempt of its own. */
static bool
caller_has_event(struct mu_call *c)
{
	const char *id = c->sse.id.len > 0 ? c->sse.id.p : "";

	if (c->resume_after == NULL)
		return false;
	switch (mu_sse_compare_ids(id, c->resume_after)) {
	case MU_SSE_BEFORE:
		return true;
	case MU_SSE_SAME:
		c->resume_after = NULL;
		return true;
	case MU_SSE_AFTER:
		c->resume_after = NULL;
		break;
	}
	return false;
}

/* Forwards a complete event. */
static int
on_event(void *arg, const char *data, size_t len)
{
	struct mu_call *c = arg;
	size_t n = c->sse.bytes_fed - c->event_start;

	if (c->grant.held && c->grant.tokens > 0 &&
	    (c->events + 1) * c->service->tokens_per_event > c->grant.tokens) {
		c->reservation_exceeded = true;
		return MU_E_BUDGET;
	}
	record_event_interval(c);
	if (!caller_has_event(c))
		mu_in_stream_write(c->in, mu_buf_data(&c->answer), n);
	mu_buf_consume(&c->answer, n);
	c->event_start = c->sse.bytes_fed;
	c->events++;
	c->last_event_id[0] = '\0'; /* also if it is too long to keep */
	if (c->sse.id.len > 0 && c->sse.id.len < sizeof(c->last_event_id))
		memcpy(c->last_event_id, c->sse.id.p, c->sse.id.len + 1);
	if (!c->route->keeps_history)
		return 0;
	if (!mu_call_record_fits(c, len + 1))
		return MU_E_TOO_LARGE;
	if (add_part(c, &c->output, data, len) != 0 ||
	    add_part(c, &c->output, "\n", 1) != 0)
		return MU_E_NOMEM;
	return 0;
}

/* The body of a refusal is only read so that its connection can be kept. */
static void
skip_refusal(struct mu_call *c, size_t len)
{
	c->refusal_bytes += len;
	if (c->refusal_bytes <= MAX_REFUSAL_BYTES)
		return;
	mu_attempt_cancel(c, MU_HEALTH_FAILURE);
	mu_call_attempt_aborted(c, "refusal_too_large");
}

static void
on_body(void *arg, const char *data, size_t len)
{
	struct mu_call *c = arg;

	if (c->not_run) {
		skip_refusal(c, len);
		return;
	}
	if (mu_buf_len(&c->answer) + len > MAX_BUFFERED_BYTES ||
	    add_part(c, &c->answer, data, len) != 0)
		goto fail;
	if (c->forwarding && mu_sse_feed(&c->sse, data, len, on_event, c) != 0)
		goto fail;
	count_answer(c);
	if (c->short_of_room == NULL)
		return;
	mu_up_pause(c->exchange);
	c->room_timer.fn = on_room_retry;
	c->room_timer.arg = c;
	wait_for_room(c);
	return;
fail:
	if (c->reservation_exceeded) {
		mu_attempt_cancel(c, MU_HEALTH_BUSY);
		mu_call_end_with_error(c, 504, 0, "reservation_used_up");
		return;
	}
	mu_log(MU_LOG_ERROR, "call", "answer_too_large", "{s:s}", "request",
	    c->req.id);
	mu_attempt_cancel(c, MU_HEALTH_FAILURE);
	mu_call_fail(c, 0, "answer_too_large");
}

static void
on_end(void *arg, enum mu_up_end end, bool sent)
{
	struct mu_call *c = arg;
	struct mu_target *x = c->target;
	mu_us now = mu_loop_now(c->s->loop), took = now - c->sent_at;
	struct mu_crash_attempt a = {
	    c->fingerprint, c->known_crashes, c->sent_at, now};
	enum mu_health_result result = MU_HEALTH_SUCCESS;

	if (end != MU_UP_COMPLETE || c->status >= 500)
		result = MU_HEALTH_FAILURE;
	if (end == MU_UP_COMPLETE && c->not_run) {
		result = MU_HEALTH_BUSY;
		if (x->full_until != MU_US_NEVER)
			x->full_until = now + FULL_BACKOFF_US;
	}
	if (result == MU_HEALTH_SUCCESS && c->route->kind != MU_ROUTE_STREAM)
		mu_target_chunk_time(&c->s->targets, x, took);
	if (result == MU_HEALTH_SUCCESS)
		c->group->call_time +=
		    (took - c->group->call_time) / SMOOTHING_DIVISOR;
	if (end != MU_UP_COMPLETE)
		mu_log(MU_LOG_WARN, "call", "attempt_failed",
		    "{s:s,s:s,s:s,s:b,s:I,s:I,s:I}", "request", c->req.id,
		    "endpoint", x->info.name, "end", mu_up_end_name(end),
		    "sent", sent, "events", (json_int_t)c->events, "ms",
		    (json_int_t)(took / MU_US_PER_MS), "fingerprint",
		    (json_int_t)c->fingerprint);
	if (end == MU_UP_REJECTED)
		(void)mu_target_unreachable(x, now);
	if (end == MU_UP_CONNECT_FAILED)
		mu_target_connect_failed(x, now);
	if ((end == MU_UP_ABORTED || end == MU_UP_REJECTED) && sent)
		mu_target_aborted(x, &a, now);
	if (sent && !(end == MU_UP_COMPLETE && c->not_run))
		c->possible_runs++;
	detach_target(
	    c, result, c->events > 0 ? took / (mu_us)(c->events + 1) : took);
	if (end == MU_UP_COMPLETE) {
		mu_call_answer_complete(c);
	} else if (!sent) {
		mu_call_exclude_endpoint(c, c->last_endpoint);
		c->retry_same_endpoint = false;
		if (c->attempts >= MU_CALL_MAX_ATTEMPTS)
			mu_call_fail(
			    c, MU_CALL_RETRY_AFTER_MS, "connect_failed");
		else
			mu_call_retry(c);
	} else {
		mu_call_attempt_aborted(c, mu_up_end_name(end));
	}
}

static const char *
write_headers(struct mu_call *c, struct mu_buf *to)
{
	struct mu_request_head h = {0};
	mu_us left = c->deadline - mu_loop_now(c->s->loop);

	h.endpoint = c->target->info.name;
	h.left_ms = (uint32_t)(left / MU_US_PER_MS);
	h.customer = c->customer != NULL ? c->customer->name : NULL;
	h.last_event = c->events > 0 ? c->last_event_id : c->req.last_event;
	if (mu_buf_add(to, c->req.headers, strlen(c->req.headers)) != 0 ||
	    c->s->adapter->write_request_headers(to, &h) != 0)
		return NULL;
	return mu_buf_data(to);
}

bool
mu_attempt_send(struct mu_call *c, struct mu_target *x)
{
	struct mu_up_hooks hooks = {c, answer_owner, on_head, on_body, on_end};
	struct mu_up_req r = {0};
	struct mu_buf headers = {0};
	mu_us limit;

	c->target = x;
	r.method = c->req.method;
	r.target = c->req.target;
	r.headers = write_headers(c, &headers);
	r.body = mu_buf_len(&c->body) > 0 ? mu_buf_data(&c->body) : c->req.body;
	r.len = mu_buf_len(&c->body) > 0 ? mu_buf_len(&c->body) : c->req.len;
	r.has_body = c->req.has_body;
	if (r.headers != NULL)
		c->exchange = mu_up_start(x->pool, &r, &hooks);
	mu_buf_clear(&headers);
	if (c->exchange == NULL) {
		c->target = NULL;
		return false;
	}
	c->overdue_timer.fn = on_overdue;
	c->overdue_timer.arg = c;
	c->attempts++;
	c->overdue_reported = false;
	c->last_event_at = 0;
	c->known_crashes = mu_crashes_count(
	    &c->s->crashes, c->fingerprint, mu_loop_now(c->s->loop));
	c->sent_at = mu_loop_now(c->s->loop);
	limit = OVERDUE_FACTOR * c->group->first_byte_time;
	mu_timer_set(c->s->loop, &c->overdue_timer,
	    c->sent_at + (limit > OVERDUE_MIN_US ? limit : OVERDUE_MIN_US));
	if (c->attempts == 1)
		mu_observe(MU_H_QUEUE, c->sent_at - c->arrived);
	if (mu_health_state(&mu_targets_eject_conf, &x->health, c->sent_at) ==
	    MU_HEALTH_PROBE)
		mu_health_probe_started(&x->health, c->sent_at);
	x->sent++;
	c->state = ST_SENT;
	mu_count(MU_M_CALLS, 1);
	return true;
}
