/*
 * call.c -- the life cycle of a request on the serving path.
 *
 * The daemon that accepted the request handles it to its end.  It reserves
 * budget and reads history at the program's home, queues for capacity at an
 * endpoint, forwards the answer and, for a turn with history, commits the
 * turn's record before it sends the end of the answer to the caller.
 *
 * A non-idempotent request that has been sent to an endpoint is sent again only
 * if that endpoint reports that it did not run it.  Each attempt of a caller
 * has its own id, so no other daemon has to be consulted.  A resumable stream
 * continues after its last complete event: at the same endpoint, or at another
 * one if that cannot be reached.  A turn with history that its caller resumes
 * runs from its start, as its record needs all of the output; the events that
 * the caller has are not forwarded again.
 *
 * A request that was not sent, or that every endpoint refused, is answered with
 * 503, which guarantees that it has not run.  If its answer was incomplete the
 * status is 502, and after the deadline 504.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call_private.h"
#include "log.h"
#include "metric.h"

#define MAX_EVENT_BYTES ((size_t)1 << 20)
/* From a daemon that stops: at once if another one serves; else by then this
 * one has started again, or others are ready. */
#define RETRY_AFTER_ELSEWHERE_MS 1
#define RETRY_AFTER_RESTART_MS 1000

/* Final answers. */

static const struct mu_header json_header = {
    "Content-Type", "application/json"};

void
mu_call_reject(struct mu_in_req *r, int status, uint32_t retry_after_ms,
    const char *reason)
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
	len = snprintf(body, sizeof(body), "{\"error\":\"%s\"}", reason);
	mu_in_answer(r, status, headers, n, body, (size_t)len);
}

static void
log_end(struct mu_call *c, int status)
{
	mu_us now = mu_loop_now(c->s->loop);

	mu_log(status >= 400 || status == 0 ? MU_LOG_WARN : MU_LOG_INFO, "call",
	    "end",
	    "{s:s,s:s?,s:s?,s:I,s:s?,s:s?,s:i,s:s?,s:s?,s:I,s:I,s:I,s:I,s:I,"
	    "s:i,s:i,s:I,s:I}",
	    "request", c->req.id, "program", c->req.program, "previous",
	    c->req.previous, "turns", (json_int_t)c->nchain, "customer",
	    c->customer != NULL ? c->customer->name : NULL, "route",
	    c->route != NULL ? c->route->name : NULL, "status", status, "why",
	    c->reason, "endpoint",
	    c->target != NULL ? c->target->info.name : c->last_endpoint, "ms",
	    (json_int_t)((now - c->arrived) / MU_US_PER_MS), "wait_ms",
	    (json_int_t)c->req.wait_ms, "program_ms",
	    (json_int_t)c->req.program_left_ms, "sent_ms",
	    c->sent_at != 0
		? (json_int_t)((c->sent_at - c->arrived) / MU_US_PER_MS)
		: -1,
	    "first_ms",
	    c->first_byte_at != 0
		? (json_int_t)((c->first_byte_at - c->arrived) / MU_US_PER_MS)
		: -1,
	    "tries", (int)c->attempts, "ran", (int)c->possible_runs, "events",
	    (json_int_t)c->events, "config",
	    c->routes != NULL ? (json_int_t)c->routes->version : 0);
}

/* The request won't be sent again: frees its body before the caller has taken
 * the answer. */
static void
release_body(struct mu_call *c)
{
	if (c->exchange != NULL || c->closed)
		return;
	mu_in_body_done(c->in);
	c->req.body = NULL;
	c->req.len = 0;
}

/* Clears the deadline timer, leaves the queue, settles the reservation and
 * returns the token of a request that did not run. */
static void
release_resources(struct mu_call *c)
{
	mu_timer_clear(c->s->loop, &c->deadline_timer);
	if (c->state == ST_QUEUED) {
		cds_list_del(&c->node);
		c->group->nwaiting--;
	}
	c->state = ST_ANSWERED;
	release_body(c);
	mu_call_settle(c, NULL);
	if (c->possible_runs == 0)
		mu_call_return_token(c);
}

void
mu_call_end_with_error(
    struct mu_call *c, int status, uint32_t retry_after_ms, const char *reason)
{
	c->reason = reason;
	if (status == 503 || status == 429)
		mu_count(MU_M_REFUSED, 1);
	else
		mu_count(MU_M_CALLS_FAILED, 1);
	log_end(c, status);
	release_resources(c);
	if (c->streaming)
		mu_in_stream_end(c->in, false);
	else
		mu_call_reject(c->in, status, retry_after_ms, reason);
}

void
mu_call_fail(struct mu_call *c, uint32_t retry_after_ms, const char *reason)
{
	if (c->possible_runs == 0)
		mu_call_end_with_error(c, 503, retry_after_ms, reason);
	else
		mu_call_end_with_error(c, 502, 0, reason);
}

static void
on_deadline(void *arg)
{
	struct mu_call *c = arg;

	mu_attempt_cancel(c, MU_HEALTH_FAILURE);
	if (c->possible_runs == 0)
		mu_call_end_with_error(c, 503, MU_CALL_RETRY_AFTER_OVERLOAD_MS,
		    "timeout_before_sending");
	else
		mu_call_end_with_error(c, 504, 0, "timeout");
}

void
mu_call_retry(struct mu_call *c)
{
	c->nheaders = 0;
	c->status = 0;
	c->refusal_bytes = 0;
	c->not_run = c->is_signed = c->forwarding = false;
	mu_buf_consume(&c->answer, mu_buf_len(&c->answer));
	mu_sse_clear(&c->sse);
	c->event_start = 0;
	mu_call_dispatch(c);
}

void
mu_call_attempt_aborted(struct mu_call *c, const char *reason)
{
	c->reason = reason;
	if (!mu_call_retryable(c) || c->attempts >= MU_CALL_MAX_ATTEMPTS ||
	    c->possible_runs >= c->route->max_endpoints + MU_CALL_EXTRA_RUNS) {
		mu_call_fail(c, 0, reason);
		return;
	}
	/* max_endpoints bounds how many endpoints run the request, not how
	 * often one of them does. */
	c->retry_same_endpoint = c->possible_runs >= c->route->max_endpoints ||
				 c->route->kind == MU_ROUTE_STREAM;
	if (c->naborted < MU_CALL_MAX_ATTEMPTS)
		memcpy(c->aborted_at[c->naborted++], c->last_endpoint,
		    sizeof(c->last_endpoint));
	mu_count(MU_M_RETRIES, 1);
	mu_call_retry(c);
}

void
mu_call_send_answer(struct mu_call *c)
{
	c->reason = "answered";
	mu_count(MU_M_CALLS_OK, 1);
	mu_observe(MU_H_CALL, mu_loop_now(c->s->loop) - c->arrived);
	log_end(c, c->status);
	release_resources(c);
	if (c->streaming) {
		/* Bytes after the last event, such as a comment. */
		mu_in_stream_write(
		    c->in, mu_buf_data(&c->answer), mu_buf_len(&c->answer));
		mu_in_stream_end(c->in, true);
	} else {
		mu_in_answer_buf(c->in, c->status, c->headers, c->nheaders,
		    &c->answer, &c->answer_hold);
	}
}

void
mu_call_unref(struct mu_call *c)
{
	if (--c->references > 0)
		return;
	mu_buf_clear(&c->body);
	mu_buf_clear(&c->answer);
	mu_buf_clear(&c->output);
	if (c->acct != NULL) {
		mu_acct_give(c->acct, &c->copies, SIZE_MAX);
		mu_acct_give(c->acct, &c->answer_hold, SIZE_MAX);
	}
	mu_sse_clear(&c->sse);
	mu_routes_unref(c->routes);
	mu_arena_free(c->arena);
	free(c);
}

/* Callers take these as a promise that the request has not run and will not. */
static bool
promises_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

void
mu_call_answer_complete(struct mu_call *c)
{
	if (c->not_run) {
		/* Refused: another endpoint may have capacity. */
		mu_call_exclude_endpoint(c, c->last_endpoint);
		c->reason = "refused_by_endpoint";
		if (c->attempts >= MU_CALL_MAX_ATTEMPTS)
			mu_call_fail(c, MU_CALL_RETRY_AFTER_OVERLOAD_MS,
			    "endpoints_full");
		else
			mu_call_retry(c);
		return;
	}
	if (!c->is_attributed) {
		mu_call_attempt_aborted(c, "answer_without_id");
		return;
	}
	if (c->status / 100 == 2 && !c->is_signed) {
		mu_call_attempt_aborted(c, "answer_without_digest");
		return;
	}
	if (promises_not_run(c->status)) {
		/* The endpoint doesn't say that it refused the request. */
		mu_call_attempt_aborted(c, "refusal_without_promise");
		return;
	}
	if (c->streaming && c->status != 200) {
		mu_call_attempt_aborted(c, "resumed_with_failure");
		return;
	}
	if (c->streaming && !mu_sse_at_boundary(&c->sse)) {
		mu_call_attempt_aborted(c, "stream_ends_in_event");
		return;
	}
	if (c->streaming && c->resume_after != NULL) {
		mu_call_end_with_error(c, 502, 0, "resumed_event_not_found");
		return;
	}
	mu_crashes_completed(&c->s->crashes, c->fingerprint);
	if (c->streaming && c->route->keeps_history)
		mu_call_commit_turn(c);
	else
		mu_call_send_answer(c);
}

/* Routing. */

void
mu_call_set_fingerprint(struct mu_call *c)
{
	bool continued = mu_buf_len(&c->body) > 0;

	c->fingerprint = mu_crashes_fingerprint(
	    c->customer != NULL ? c->customer->name : NULL, c->req.host,
	    c->req.method, c->req.target,
	    continued ? mu_buf_data(&c->body) : c->req.body,
	    continued ? mu_buf_len(&c->body) : c->req.len);
}

bool
mu_call_refuse_crashing(struct mu_call *c)
{
	uint32_t count = mu_crashes_count(
	    &c->s->crashes, c->fingerprint, mu_loop_now(c->s->loop));

	if (count < MU_CRASHES_LIMIT)
		return false;
	mu_count(MU_M_QUARANTINED, 1);
	mu_log(MU_LOG_WARN, "call", "crash_refused", "{s:s,s:I,s:i}", "request",
	    c->req.id, "fingerprint", (json_int_t)c->fingerprint, "crashes",
	    (int)count);
	mu_call_fail(c, MU_CALL_RETRY_AFTER_OUTAGE_MS, "kills_endpoints");
	return true;
}

static uint32_t
retry_after_stopping(const struct mu_serve *s)
{
	struct mu_peer *p;

	cds_list_for_each_entry (p, mu_mesh_peers(s->mesh), node)
		if (mu_peer_accepts_callers(p))
			return RETRY_AFTER_ELSEWHERE_MS;
	return RETRY_AFTER_RESTART_MS;
}

/* Selects route and service; false if there is none and the request has been
 * answered. */
static bool
find_route(struct mu_call *c)
{
	struct mu_serve *s = c->s;
	const char *service, *hash_key = c->req.program;

	if (!mu_serve_state_loaded(s)) {
		mu_call_end_with_error(
		    c, 503, MU_CALL_RETRY_AFTER_MS, "no_configuration");
		return false;
	}
	c->routes = mu_routes_ref(s->routes);
	c->route = mu_routes_find(c->routes, c->req.host, c->req.path);
	if (c->route == NULL) {
		mu_call_end_with_error(c, 404, 0, "no_route");
		return false;
	}
	service = mu_route_pick_service(
	    c->route, mu_hash(hash_key != NULL ? hash_key : c->req.id));
	if (service == NULL) {
		mu_call_end_with_error(
		    c, 503, MU_CALL_RETRY_AFTER_OVERLOAD_MS, "no_service");
		return false;
	}
	c->service = mu_routes_service(c->routes, service);
	c->group = mu_targets_group(&s->targets, service);
	c->shed_class = mu_shed_class(s->conf.shed_priority, c->route->priority,
	    c->service != NULL ? c->service->least_urgent : 0);
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
	c->deadline_timer.fn = on_deadline;
	c->deadline_timer.arg = c;
	mu_timer_set(c->s->loop, &c->deadline_timer, limit);
	c->queue_rank.priority =
	    c->customer != NULL && c->customer->has_priority
		? c->customer->priority
		: c->route->priority;
	c->queue_rank.arrived_at = now;
	c->queue_rank.program_started = c->req.previous != NULL;
	c->queue_rank.program_deadline =
	    c->req.program_left_ms > 0
		? now + c->req.program_left_ms * MU_US_PER_MS
		: limit;
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
	c->arena = r->arena; /* the call may outlive r */
	r->arena = NULL;
	c->references = 1;
	c->arrived = mu_loop_now(s->loop);
	c->state = ST_PREPARING;
	c->acct = mu_in_account(r);
	mu_in_holder_init(r, &c->copies, MU_ACCT_BODY);
	mu_in_holder_init(r, &c->answer_hold, MU_ACCT_ANSWER);
	mu_sse_init(&c->sse, MAX_EVENT_BYTES);
	r->user = c;
	cds_list_add_tail(&c->in_progress, &s->calls);
	s->ncalls++;
	mu_count(MU_M_HTTP, 1);
	if (!find_route(c))
		return;
	if (c->route->kind != MU_ROUTE_STREAM)
		c->req.has_budget = false;
	if (!c->route->keeps_history) {
		c->req.previous = NULL;
	} else {
		/* The turn's record needs the events that the caller has, too:
		 * the endpoint runs it from its start. */
		c->resume_after = c->req.last_event;
		c->req.last_event = NULL;
	}
	if (!mu_call_identify(c))
		return;
	set_deadline(c);
	if (!mu_stop_accepts(&s->stop, c->deadline)) {
		mu_call_end_with_error(
		    c, 503, retry_after_stopping(s), "daemon_stopping");
		return;
	}
	/* That of a turn that continues needs its history first. */
	if (c->req.previous == NULL) {
		mu_call_set_fingerprint(c);
		if (mu_call_refuse_crashing(c))
			return;
	}
	if (c->customer != NULL)
		mu_call_take_token(c);
	else
		mu_call_admitted(c);
}

void
mu_call_closed(struct mu_in_req *r, bool ok)
{
	struct mu_call *c = r->user;

	if (c == NULL)
		return;
	r->user = NULL;
	if (c->s->overdraft == c)
		c->s->overdraft = NULL;
	mu_attempt_cancel(c, MU_HEALTH_BUSY);
	if (c->state != ST_ANSWERED) {
		c->reason = ok          ? "closed"
			    : r->unread ? "answer_not_read"
					: "caller_gone";
		log_end(c, 0);
		release_resources(c);
	} else if (!ok && r->end != MU_IN_CUT) {
		mu_log(MU_LOG_WARN, "call", "answer_not_sent", "{s:s,s:s,s:s}",
		    "request", c->req.id, "why", c->reason, "end",
		    mu_in_end_name(r->end));
	}
	c->closed = true;
	cds_list_del(&c->in_progress);
	c->s->ncalls--;
	mu_call_unref(c);
}

static void
end_calls(struct mu_serve *s, bool sent)
{
	struct mu_call *c;

	cds_list_for_each_entry (c, &s->calls, in_progress)
		if (c->state != ST_ANSWERED && (c->exchange != NULL) == sent) {
			mu_attempt_cancel(c, MU_HEALTH_BUSY);
			mu_call_fail(
			    c, retry_after_stopping(s), "daemon_stopping");
		}
}

void
mu_call_end_all(struct mu_serve *s)
{
	/* In this order: the end of an exchange sends queued requests. */
	end_calls(s, false);
	end_calls(s, true);
}

void
mu_call_log_unfinished(const struct mu_serve *s)
{
	struct mu_call *c;

	cds_list_for_each_entry (c, &s->calls, in_progress) {
		if (c->state != ST_ANSWERED)
			c->reason = "process_stopped";
		log_end(c, 0);
	}
}
