/*
 * run.c -- execution of one call at the owner of its program.
 *
 * Each call has a thread, which takes it through quarantine, admission,
 * placement, the attempts on endpoints and the commit of its turn, and then
 * ends the stream that its readers follow.  The guarantees depend on the order
 * of the steps (spec: Intent, Send, Outcome):
 *
 *	A non-idempotent call commits an intent before the first byte is sent,
 *	and the lease is checked just before sending.
 *	The final answer is given once the turn is durable, except during an
 *	outage of the platform, when it is marked as uncommitted and carries a
 *	receipt.
 *	"not run" is reported only if no endpoint can have run an attempt.  The
 *	run ends with that report, so nothing of it can be sent later.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "log.h"
#include "metric.h"
#include "run.h"
#include "turn.h"
#include "wait.h"

#define THREAD_STACK_BYTES ((size_t)512 * 1024)
/* Least time left on the lease when a non-idempotent call is sent. */
#define LEASE_MARGIN_US ((mu_us)300 * MU_US_PER_MS)
#define DEFAULT_MAX_TOKENS 512
#define RETRY_AFTER_MS 500
#define PROBE_TIMEOUT_MS 1000 /* of a check that an endpoint still listens */
#define PROBE_ATTEMPTS 5
#define PROBE_INTERVAL_MS 50

static bool
run_cancelled(void *arg)
{
	struct mu_run *r = arg;

	return MU_ATOMIC_LOAD(r->cancelled) && r->repeatable;
}

static void
run_free(struct mu_run *r)
{
	mu_callreq_clear(&r->call);
	mu_board_text_unref(r->text);
	mu_textlog_clear(&r->log);
	mu_stream_unref(r->stream);
	json_decref(r->input);
	json_decref(r->attempt_log);
	free(r);
}

mu_us
mu_run_time_left(const struct mu_run *r)
{
	mu_us left = r->deadline - mu_now(&r->d->clock);

	return left > 0 ? left : 0;
}

/*
 * Preparation.
 */

static uint64_t
max_tokens(const struct mu_run *r)
{
	const json_t *v = json_object_get(r->call.input, "max_tokens");

	if (r->service->kind != MU_SERVICE_MODEL)
		return 0;
	return v != NULL ? (uint64_t)json_integer_value(v) : DEFAULT_MAX_TOKENS;
}

/* Input for the endpoint: the history, then the caller's new messages. */
static json_t *
endpoint_input(const struct mu_run *r, const struct mu_program *p)
{
	json_t *messages;

	if (r->service->kind != MU_SERVICE_MODEL)
		return json_incref(r->call.input);
	messages = json_copy(p->messages);
	json_array_extend(messages, mu_callreq_messages(&r->call));
	return json_pack("{s:o,s:I}", "messages", messages, "max_tokens",
	    (json_int_t)max_tokens(r));
}

static int
resolve_service(struct mu_run *r, struct mu_error *e)
{
	bool model;

	r->text = mu_board_text_ref(&r->d->board);
	if (r->text == NULL || r->text->text == NULL)
		return mu_fail(e, MU_E_CONFIG_UNKNOWN, MU_OUTCOME_NOT_RUN,
		    RETRY_AFTER_MS, "no services text is in force here yet");
	r->service = mu_text_find_service(r->text->text, r->call.service);
	if (r->service == NULL)
		return mu_fail(e, MU_E_UNKNOWN_SERVICE, MU_OUTCOME_NOT_RUN, 0,
		    "%.60s: no such service", r->call.service);
	model = r->service->kind == MU_SERVICE_MODEL;
	if (model != (mu_callreq_messages(&r->call) != NULL))
		return mu_fail(e, MU_E_BAD_REQUEST, MU_OUTCOME_NOT_RUN, 0,
		    "input: service %s takes %s", r->service->name,
		    model ? "messages" : "an operation");
	r->repeatable =
	    r->call.repeatable != MU_NO &&
	    mu_text_repeatable(r->service, mu_callreq_operation(&r->call));
	return 0;
}

static int
reserve_budget(struct mu_run *r, struct mu_slot *slot, struct mu_program *p,
    struct mu_error *e)
{
	struct mu_program *root = mu_program_root(&slot->programs, p);
	bool model = r->service->kind == MU_SERVICE_MODEL;
	struct mu_amount need = {r->prompt_tokens + (model ? 1 : 0), 1, 1};
	struct mu_amount want = {
	    r->prompt_tokens + max_tokens(r), 1, r->service->timeouts.total_ms};
	struct mu_budget_result b, own;

	b = mu_budget_reserve(&root->budget, &need, &want);
	if (b.kind == MU_BUDGET_GRANTED && root != p) {
		want = b.u.granted;
		own = mu_budget_reserve(&p->budget, &need, &want);
		if (own.kind == MU_BUDGET_REFUSED) {
			mu_budget_settle(&root->budget, &b.u.granted,
			    &(struct mu_amount){0});
			b = own;
		} else {
			/* Make both reservations equal. */
			mu_budget_settle(&root->budget, &b.u.granted,
			    &(struct mu_amount){0});
			b = mu_budget_reserve(
			    &root->budget, &own.u.granted, &own.u.granted);
		}
	}
	if (b.kind == MU_BUDGET_REFUSED)
		return mu_fail(e, MU_E_BUDGET, MU_OUTCOME_NOT_RUN, 0,
		    "the program's budget of %s is used up",
		    mu_budget_unit_name(b.u.refused.unit));
	r->granted = b.u.granted;
	return 0;
}

int
mu_run_new(struct mu_daemon *d, struct mu_slot *slot, struct mu_program *p,
    struct mu_callreq *call, const char *caller, mu_us deadline,
    struct mu_run **out, struct mu_error *e)
{
	struct mu_run *r = calloc(1, sizeof(*r));
	mu_us limit;
	int rc;

	if (r == NULL)
		return mu_fail(e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN,
		    RETRY_AFTER_MS, "no memory");
	r->d = d;
	r->call = *call;
	rc = resolve_service(r, e);
	if (rc != 0)
		goto fail;
	r->slot = slot->number;
	r->epoch = slot->epoch;
	(void)snprintf(r->program, sizeof(r->program), "%s", p->id);
	(void)snprintf(r->caller, sizeof(r->caller), "%s", caller);
	r->started_at = mu_now(&d->clock);
	limit = r->started_at + r->service->timeouts.total_ms * MU_US_PER_MS;
	r->deadline = deadline < limit ? deadline : limit;
	r->input = endpoint_input(r, p);
	if (r->service->kind == MU_SERVICE_MODEL)
		r->prompt_tokens =
		    p->message_tokens +
		    mu_messages_tokens(mu_callreq_messages(&r->call));
	rc = reserve_budget(r, slot, p, e);
	if (rc != 0)
		goto fail;
	if (strcmp(p->home_service, r->service->name) == 0) {
		memcpy(r->home, p->home, sizeof(r->home));
		r->home_tokens = p->home_tokens;
	}
	r->home_idle = r->started_at - p->last_used;
	r->attained = p->attained;
	r->prior_turns = (uint32_t)p->nturns;
	r->fingerprint = r->call.fingerprint;
	r->stream = mu_stream_new();
	r->attempt_log = json_array();
	mu_textlog_init(&r->log, r->stream);
	p->run = r;
	p->run_seq = r->call.seq;
	p->last_used = r->started_at;
	slot->running++;
	memset(call, 0, sizeof(*call));
	*out = r;
	return 0;
fail:
	memset(&r->call, 0, sizeof(r->call)); /* call still owns it */
	mu_board_text_unref(r->text);
	free(r);
	return rc;
}

/*
 * Attempts.
 */

static bool
on_text(void *arg, const char *text, size_t len)
{
	struct mu_run *r = arg;

	return mu_textlog_add(&r->log, text, len);
}

/*
 * Waits until quarantine lets the request run; then returns 0.  *trial is set
 * if it must run alone on its endpoint.
 */
static int
wait_quarantine(struct mu_run *r, bool *trial, struct mu_error *e)
{
	struct mu_daemon *d = r->d;
	struct mu_quar_decision q;
	mu_us wait;

	for (;;) {
		pthread_mutex_lock(&d->quarantine_lock);
		q = mu_quar_check(
		    &d->quarantine, r->fingerprint, mu_now(&d->clock));
		pthread_mutex_unlock(&d->quarantine_lock);
		*trial = q.kind == MU_QUAR_TRIAL;
		if (q.kind == MU_QUAR_RUN || q.kind == MU_QUAR_TRIAL)
			return 0;
		if (q.kind == MU_QUAR_REFUSE) {
			mu_count(MU_M_QUARANTINED, 1);
			return mu_fail(e, q.u.refuse.error, MU_OUTCOME_NOT_RUN,
			    q.u.refuse.retry_after_ms, "%s",
			    mu_quar_reason_name(q.reason));
		}
		wait = q.u.wait.time;
		if (wait > mu_run_time_left(r))
			return mu_fail(e, MU_E_QUARANTINED, MU_OUTCOME_NOT_RUN,
			    (uint32_t)(wait / MU_US_PER_MS), "%s",
			    mu_quar_reason_name(q.reason));
		mu_sleep_ms((uint32_t)(wait / MU_US_PER_MS) + 1);
	}
}

/*
 * Whether the endpoint's process has died, that is, connections are refused.
 * A process that is exiting may still accept a connection and drop it, so the
 * probe requires a response, not just a connection.
 */
static bool
endpoint_died(const struct mu_ep_result *res, const struct mu_bd_endpoint *b)
{
	struct mu_ep_load load;
	struct mu_error e = {0};
	int i, rc = MU_E_ENDPOINT_LOST;

	if (res->ok || (res->error.type != MU_E_ENDPOINT_LOST &&
			   res->error.type != MU_E_TRUNCATED))
		return false;
	for (i = 0; i < PROBE_ATTEMPTS && rc == MU_E_ENDPOINT_LOST; i++) {
		if (i > 0)
			mu_sleep_ms(PROBE_INTERVAL_MS);
		rc = mu_ep_get_load(b->addr, PROBE_TIMEOUT_MS, &load, &e);
	}
	mu_log(MU_LOG_WARN, "run", "endpoint_lost", "{s:s,s:b,s:s}", "endpoint",
	    b->addr, "died", rc == MU_E_CONNECT, "probe",
	    mu_errname((enum mu_errtype)rc));
	return rc == MU_E_CONNECT;
}

static void
report_to_quarantine(struct mu_run *r, const struct mu_ep_result *res,
    const struct mu_bd_endpoint *b)
{
	struct mu_daemon *d = r->d;
	enum mu_quar_attempt_result end = MU_QUAR_OTHER_FAILURE;

	if (res->ok)
		end = MU_QUAR_COMPLETED;
	else if (endpoint_died(res, b))
		end = MU_QUAR_ENDPOINT_DIED;
	pthread_mutex_lock(&d->quarantine_lock);
	mu_quar_attempt_end(&d->quarantine, r->fingerprint,
	    mu_quar_hash_name(b->addr), end, mu_now(&d->clock));
	pthread_mutex_unlock(&d->quarantine_lock);
}

static void
attempt_limits(const struct mu_run *r, struct mu_ep_limits *l)
{
	uint32_t left = (uint32_t)(mu_run_time_left(r) / MU_US_PER_MS);
	const struct mu_timeouts *t = &r->service->timeouts;

	l->connect_ms = t->connect_ms < left ? t->connect_ms : left;
	l->first_byte_ms = t->first_byte_ms < left ? t->first_byte_ms : left;
	l->idle_ms = t->idle_ms < left ? t->idle_ms : left;
	l->total_ms = t->total_ms < left ? t->total_ms : left;
	if (r->granted.ms > r->failed_usage.ms &&
	    r->granted.ms - r->failed_usage.ms < l->total_ms)
		l->total_ms = (uint32_t)(r->granted.ms - r->failed_usage.ms);
}

/* Limits max_tokens to what the budget granted beyond the prompt. */
static void
cap_max_tokens(struct mu_run *r)
{
	uint64_t left = r->granted.tokens - r->prompt_tokens;

	if (r->service->kind == MU_SERVICE_MODEL && left < max_tokens(r))
		json_object_set_new(
		    r->input, "max_tokens", json_integer((json_int_t)left));
}

static void
send_call(struct mu_run *r, const struct mu_permit *g, struct mu_ep_result *res)
{
	struct mu_ep_call c = {0};
	char id[MU_ID_LEN + 64];
	bool tracked;

	(void)snprintf(id, sizeof(id), "%s-%llu-%llx-%u", r->program,
	    (unsigned long long)r->call.seq, (unsigned long long)r->epoch,
	    r->attempts);
	c.kind =
	    r->service->kind == MU_SERVICE_MODEL ? MU_EP_MODEL : MU_EP_PLAIN;
	c.addr = g->endpoint->addr;
	c.request_id = id;
	c.program = r->program;
	c.seq = r->call.seq;
	c.epoch = r->epoch;
	c.priority = g->priority;
	c.input = r->input;
	attempt_limits(r, &c.limits);
	c.on_text = on_text;
	c.cancelled = run_cancelled;
	c.arg = r;
	mu_count(MU_M_CALLS, 1);
	pthread_mutex_lock(&r->d->quarantine_lock);
	tracked = mu_quar_attempt_start(&r->d->quarantine, r->fingerprint,
		      mu_now(&r->d->clock)) == 0;
	pthread_mutex_unlock(&r->d->quarantine_lock);
	mu_ep_run(&c, res);
	if (tracked)
		report_to_quarantine(r, res, g->endpoint);
}

static void
fill_dispatch_request(struct mu_run *r, struct mu_dispatch_request *req,
    bool trial, json_t *attempt)
{
	unsigned i;

	memset(req, 0, sizeof(*req));
	req->service = r->service;
	req->text = r->text->text;
	req->call.program = XXH3_64bits(r->program, strlen(r->program));
	req->call.caller = XXH3_64bits(r->caller, strlen(r->caller));
	req->call.prompt_tokens = (uint32_t)r->prompt_tokens;
	req->call.home_tokens = (uint32_t)r->home_tokens;
	req->call.home_idle = r->home_idle;
	req->call.attained = r->attained;
	req->call.calls = r->prior_turns;
	req->call.deadline = r->deadline;
	req->call.urgency = r->service->urgent ? MU_URGENT : MU_NORMAL;
	req->home_addr = r->home[0] != '\0' ? r->home : NULL;
	req->trial = trial;
	for (i = 0; i < r->nfailed_endpoints; i++)
		req->excluded[i] = r->failed_endpoints[i]->addr;
	req->nexcluded = r->nfailed_endpoints;
	req->why = attempt;
	req->cancelled = run_cancelled;
	req->arg = r;
}

/* Checks the lease just before a non-idempotent call is sent. */
static int
check_lease(struct mu_run *r, struct mu_error *e)
{
	if (r->repeatable || mu_slots_may_send(r->d->slots, LEASE_MARGIN_US))
		return 0;
	return mu_fail(e, MU_E_NOT_OWNER, MU_OUTCOME_NOT_RUN, RETRY_AFTER_MS,
	    "the lease is about to lapse");
}

enum step {
	STEP_RETRY, /* make another attempt */
	STEP_END /* the stream has ended */
};

static void
record_failed_endpoint(struct mu_run *r, struct mu_bd_endpoint *b)
{
	if (r->nfailed_endpoints == MU_DISPATCH_EXCLUDED_MAX)
		memmove(r->failed_endpoints, r->failed_endpoints + 1,
		    (MU_DISPATCH_EXCLUDED_MAX - 1) *
			sizeof(r->failed_endpoints[0]));
	else
		r->nfailed_endpoints++;
	r->failed_endpoints[r->nfailed_endpoints - 1] = b;
}

/* Decides what follows a failed attempt. */
static enum step
handle_failure(struct mu_run *r, const struct mu_ep_result *res,
    struct mu_bd_endpoint *b, json_t *attempt)
{
	struct mu_retry_request q = {0};
	struct mu_retry_decision rd;
	struct mu_error e = res->error;

	/* on_text() stopped the attempt, so its error is only "cancelled". */
	if (r->log.rerun_differs)
		e.type = MU_E_MISMATCH;
	q.error = e.type;
	q.sent = res->sent;
	q.endpoint_retry_after_ms = res->error.retry_after_ms;
	q.repeatable = r->repeatable;
	q.earlier_may_have_run = r->may_have_run;
	q.streamed_bytes = r->log.len;
	q.can_replay = r->log.all_text_kept && !r->log.rerun_differs;
	q.attempts = r->attempts;
	q.other_endpoint = true;
	q.same_endpoint = true;
	q.deadline = r->deadline;
	if (res->sent == MU_ATTEMPT_MAY_HAVE_RUN) {
		r->may_have_run = true;
		r->failed_usage.tokens += r->prompt_tokens;
		r->failed_usage.ms += (uint64_t)(res->took / MU_US_PER_MS);
	}
	rd = mu_dispatch_retry(r->d->dispatch, r->service, &q);
	json_object_update_new(
	    attempt, json_pack("{s:s,s:s,s:s}", "error", mu_errname(e.type),
			 "retry", mu_retry_kind_name(rd.kind), "reason",
			 mu_retry_reason_name(rd.reason)));
	if (rd.kind != MU_RETRY_FAIL_CALL) {
		record_failed_endpoint(r, b);
		mu_sleep_ms(rd.u.retry.backoff_ms);
		mu_textlog_rerun(&r->log);
		return STEP_RETRY;
	}
	e.type = rd.u.failure.error;
	e.outcome = rd.u.failure.outcome;
	e.retry_after_ms = rd.u.failure.retry_after_ms;
	if (!r->repeatable && e.outcome == MU_OUTCOME_UNKNOWN) {
		mu_turn_record_unknown(r, &e);
		return STEP_END;
	}
	mu_turn_drop_intent(r);
	mu_turn_fail(r, &e);
	return STEP_END;
}

static enum step
fail_before_send(struct mu_run *r, struct mu_error *e)
{
	if (r->may_have_run && !r->repeatable) {
		mu_turn_record_unknown(r, e);
		return STEP_END;
	}
	if (r->may_have_run)
		e->outcome = MU_OUTCOME_UNKNOWN;
	mu_turn_drop_intent(r);
	mu_turn_fail(r, e);
	return STEP_END;
}

/* Makes one attempt, from the quarantine check to its result. */
static enum step
run_attempt(struct mu_run *r)
{
	struct mu_ep_result res = {0};
	struct mu_permit g = {0};
	struct mu_error e = {0};
	struct mu_dispatch_request req;
	enum step step;
	json_t *attempt;
	bool trial;

	if (wait_quarantine(r, &trial, &e) != 0)
		return fail_before_send(r, &e);
	attempt = json_object();
	json_array_append_new(r->attempt_log, attempt);
	fill_dispatch_request(r, &req, trial, attempt);
	if (mu_dispatch_acquire(r->d->dispatch, &req, &g, &e) != 0)
		return fail_before_send(r, &e);
	r->attempts++;
	if ((!r->repeatable && mu_turn_commit_intent(r, g.endpoint, &e) != 0) ||
	    check_lease(r, &e) != 0) {
		mu_dispatch_release(r->d->dispatch, &g, NULL);
		return fail_before_send(r, &e);
	}
	send_call(r, &g, &res);
	mu_dispatch_release(r->d->dispatch, &g, &res);
	if (res.ok && mu_textlog_complete(&r->log)) {
		mu_turn_complete(r, &res, g.endpoint->addr);
		step = STEP_END;
	} else {
		if (res.ok) {
			res.sent = MU_ATTEMPT_MAY_HAVE_RUN;
			mu_fail(&res.error, MU_E_MISMATCH, MU_OUTCOME_UNKNOWN,
			    0, "a rerun gave another answer");
		}
		step = handle_failure(r, &res, g.endpoint, attempt);
	}
	json_decref(res.output);
	return step;
}

static void *
run_main(void *arg)
{
	struct mu_run *r = arg;
	struct mu_daemon *d = r->d;

	cap_max_tokens(r);
	mu_dispatch_first_attempt(d->dispatch, r->service);
	while (run_attempt(r) == STEP_RETRY)
		continue;
	run_free(r);
	MU_ATOMIC_SUB(d->run_threads, 1);
	return NULL;
}

int
mu_run_start(struct mu_run *r, struct mu_slot *slot)
{
	pthread_attr_t attr;
	pthread_t thread;
	int rc;

	MU_ATOMIC_ADD(r->d->run_threads, 1);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	rc = pthread_create(&thread, &attr, run_main, r);
	pthread_attr_destroy(&attr);
	if (rc == 0)
		return 0;
	MU_ATOMIC_SUB(r->d->run_threads, 1);
	mu_turn_release(r, slot);
	run_free(r);
	return MU_E_SYSTEM;
}
