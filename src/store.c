/*
 * store.c -- operations on the platform's table store.
 *
 * Load that this answers: a store that is slow, loses answers, or serves some
 * daemons only, while turns wait for their records.  An answer that is lost is
 * told from a slow store by the smoothed time of answers: after a few times
 * as long the operation is sent once more while the first attempt goes on, and
 * the wait doubles after each miss (RFC 6298 does the same for TCP).  The
 * first answer counts.  After two failures in a row operations go through a
 * peer that the store answers, and the direct way is tried again from time to
 * time.
 */
#include <jansson.h>
#include <stdlib.h>
#include <urcu/list.h>

#include "log.h"
#include "metric.h"
#include "store.h"

#define RTT_FACTOR 5 /* a usual answer's time; spreads widely under load */
#define LIMIT_FLOOR_MS 50 /* ten times a transaction of the platform */
#define LIMIT_CAP_MS 2000
#define MISS_SHIFT_MAX 5
#define RETRY_FIRST_MS 15 /* about the time until the next free turn */
#define RETRY_CAP_MS 250
#define DIRECT_AGAIN_US (400 * MU_US_PER_MS) /* relayed until then */
#define FAILURES_TO_RELAY 2
#define FAILURES_TO_WAIT 4 /* not an answer lost now and then */
#define PROBE_US (60 * MU_US_PER_MS) /* some times an answer's usual time */
#define ATTEMPTS_AT_ONCE 3 /* of one operation, in progress */
#define START_RTT_US (10 * MU_US_PER_MS) /* before the first answer */

struct mu_store {
	struct mu_loop *loop;
	struct mu_store_backend backend;
	struct mu_store_relay relay;
	mu_us rtt;
	unsigned misses; /* direct attempts without an answer, in a row */
	unsigned failures; /* direct attempts failed, in a row */
	mu_us direct_at; /* when the direct way is tried again */
	unsigned pending;
	bool ok;
	struct cds_list_head ops;
	struct cds_list_head waiting; /* for the store to answer again */
	struct mu_timer probe;
};

struct op {
	struct cds_list_head node; /* while waiting */
	bool waiting;
	struct mu_store *s;
	Mu__StoreOp *op;
	mu_us deadline;
	bool maybe; /* an attempt had no answer */
	bool ended; /* done has been called */
	unsigned running; /* attempts in progress */
	struct cds_list_head attempts;
	struct cds_list_head all; /* in the store */
	uint32_t backoff_ms;
	struct mu_timer timer;
	mu_store_fn done;
	void *arg;
};

struct attempt {
	struct cds_list_head node; /* in the operation */
	struct op *o;
	mu_us began;
	bool relayed;
};

static void on_probe(void *arg);

struct mu_store *
mu_store_new(struct mu_loop *l, const struct mu_store_backend *backend)
{
	struct mu_store *s = calloc(1, sizeof(*s));

	if (s == NULL)
		return NULL;
	s->loop = l;
	s->backend = *backend;
	s->rtt = START_RTT_US;
	CDS_INIT_LIST_HEAD(&s->ops);
	CDS_INIT_LIST_HEAD(&s->waiting);
	s->probe.fn = on_probe;
	s->probe.arg = s;
	return s;
}

void
mu_store_set_relay(struct mu_store *s, const struct mu_store_relay *r)
{
	s->relay = *r;
}

static void op_free(struct op *o);

void
mu_store_free(struct mu_store *s)
{
	struct op *o, *next;

	if (s == NULL)
		return;
	cds_list_for_each_entry_safe (o, next, &s->ops, all)
		op_free(o);
	mu_timer_clear(s->loop, &s->probe);
	free(s);
}

bool
mu_store_ok(const struct mu_store *s)
{
	return s->ok;
}

unsigned
mu_store_pending(const struct mu_store *s)
{
	return s->pending;
}

uint32_t
mu_store_limit_ms(mu_us rtt, unsigned misses)
{
	mu_us ms = rtt * RTT_FACTOR / MU_US_PER_MS;
	unsigned shift = misses < MISS_SHIFT_MAX ? misses : MISS_SHIFT_MAX;

	if (ms < LIMIT_FLOOR_MS)
		ms = LIMIT_FLOOR_MS;
	ms <<= shift;
	return ms < LIMIT_CAP_MS ? (uint32_t)ms : LIMIT_CAP_MS;
}

static Mu__StoreOp *
copy_op(const Mu__StoreOp *op)
{
	size_t n = mu__store_op__get_packed_size(op);
	uint8_t *p = malloc(n + 1);
	Mu__StoreOp *copy = NULL;

	if (p != NULL) {
		(void)mu__store_op__pack(op, p);
		copy = mu__store_op__unpack(NULL, n, p);
	}
	free(p);
	return copy;
}

static void
set_ok(struct mu_store *s, bool ok, Mu__StoreResult__Status status)
{
	if (s->ok == ok)
		return;
	s->ok = ok;
	mu_log(ok ? MU_LOG_INFO : MU_LOG_WARN, "store",
	    ok ? "regained" : "lost", "{s:i,s:I,s:i}", "status", (int)status,
	    "rtt_us", (json_int_t)s->rtt, "misses", (int)s->misses);
}

/* The store does not answer: operations go another way for a time. */
static void
lose(struct mu_store *s, Mu__StoreResult__Status st)
{
	set_ok(s, false, st);
	s->direct_at = mu_loop_now(s->loop) + DIRECT_AGAIN_US;
}

/* Learns from the end of a direct attempt. */
static void
learn(struct mu_store *s, const Mu__StoreOp *op, Mu__StoreResult__Status st,
    mu_us took)
{
	switch (st) {
	case MU__STORE_RESULT__STATUS__UNKNOWN:
	case MU__STORE_RESULT__STATUS__REFUSED:
		s->failures++;
		break;
	default:
		s->misses = 0;
		s->failures = 0;
		if (op->wait_ms == 0)
			s->rtt += (took - s->rtt) / 8;
		break;
	}
	if (s->failures >= FAILURES_TO_RELAY)
		lose(s, st);
	else if (s->failures == 0)
		set_ok(s, true, st);
	if (s->failures == 0 && !cds_list_empty(&s->waiting))
		mu_timer_set(s->loop, &s->probe, mu_loop_now(s->loop));
}

static void
op_free(struct op *o)
{
	struct attempt *a, *next;

	cds_list_for_each_entry_safe (a, next, &o->attempts, node)
		free(a);
	mu_timer_clear(o->s->loop, &o->timer);
	cds_list_del(&o->all);
	mu__store_op__free_unpacked(o->op, NULL);
	free(o);
}

static void
op_release(struct op *o)
{
	if (o->ended && o->running == 0)
		op_free(o);
}

static void
finish(struct op *o, const Mu__StoreResult *r)
{
	mu_store_fn done = o->done;
	void *arg = o->arg;

	o->s->pending--;
	o->ended = true;
	if (o->waiting)
		cds_list_del(&o->node);
	o->waiting = false;
	mu_timer_clear(o->s->loop, &o->timer);
	op_release(o);
	done(arg, r);
}

static void
give_up(struct op *o)
{
	Mu__StoreResult last = MU__STORE_RESULT__INIT;

	last.status = o->maybe || o->running > 0
			  ? MU__STORE_RESULT__STATUS__UNKNOWN
			  : MU__STORE_RESULT__STATUS__REFUSED;
	finish(o, &last);
}

static bool
repeatable(const Mu__StoreResult *r)
{
	return r->status == MU__STORE_RESULT__STATUS__UNKNOWN ||
	       r->status == MU__STORE_RESULT__STATUS__REFUSED;
}

/* An attempt failed: the next one follows after a while. */
static void
back_off(struct op *o)
{
	mu_us now = mu_loop_now(o->s->loop), left = o->deadline - now;
	mu_us at = now + o->backoff_ms * MU_US_PER_MS;

	if (left < RETRY_FIRST_MS * MU_US_PER_MS && o->running == 0) {
		give_up(o);
		return;
	}
	if (at > now + left / 2)
		at = now + left / 2;
	if (!o->waiting && (o->timer.slot == 0 || at < o->timer.at))
		mu_timer_set(o->s->loop, &o->timer, at);
	o->backoff_ms *= 2;
	if (o->backoff_ms > RETRY_CAP_MS)
		o->backoff_ms = RETRY_CAP_MS;
}

static void
on_result(void *arg, const Mu__StoreResult *r)
{
	struct attempt *a = arg;
	struct op *o = a->o;
	struct mu_store *s = o->s;

	if (!a->relayed)
		learn(s, o->op, r->status, mu_loop_now(s->loop) - a->began);
	cds_list_del(&a->node);
	free(a);
	o->running--;
	if (o->ended) {
		op_release(o);
		return;
	}
	if (r->status == MU__STORE_RESULT__STATUS__UNKNOWN)
		o->maybe = true;
	if (repeatable(r))
		back_off(o);
	else
		finish(o, r);
}

static bool
use_relay(const struct mu_store *s)
{
	return s->relay.run != NULL && s->failures >= FAILURES_TO_RELAY &&
	       mu_loop_now(s->loop) < s->direct_at &&
	       s->relay.available(s->relay.arg);
}

bool
mu_store_out(const struct mu_store *s)
{
	return s->failures >= FAILURES_TO_WAIT &&
	       (s->relay.run == NULL || !s->relay.available(s->relay.arg));
}

/* While the store is out only one operation at a time asks whether it is back;
 * the others wait. */
static void
wait_for_store(struct op *o)
{
	struct mu_store *s = o->s;

	if (!o->waiting)
		cds_list_add_tail(&o->node, &s->waiting);
	o->waiting = true;
	mu_timer_set(s->loop, &o->timer, o->deadline);
	if (s->probe.slot == 0)
		mu_timer_set(
		    s->loop, &s->probe, mu_loop_now(s->loop) + PROBE_US);
}

/* Time that one attempt may take: the rest, so that a slow one is answered. */
static uint32_t
attempt_limit(const struct op *o, mu_us now)
{
	mu_us left = (o->deadline - now) / MU_US_PER_MS;

	if (left < LIMIT_FLOOR_MS)
		left = LIMIT_FLOOR_MS;
	if (left > LIMIT_CAP_MS)
		left = LIMIT_CAP_MS;
	return (uint32_t)left + o->op->wait_ms;
}

static void
attempt(struct op *o)
{
	struct mu_store *s = o->s;
	mu_us now = mu_loop_now(s->loop);
	struct attempt *a = calloc(1, sizeof(*a));
	uint32_t limit = attempt_limit(o, now);

	if (a == NULL)
		abort();
	a->o = o;
	a->began = now;
	a->relayed = use_relay(s);
	o->running++;
	cds_list_add(&a->node, &o->attempts);
	mu_count(o->op->kind == MU__STORE_OP__KIND__WRITE ? MU_M_PLATFORM_WRITES
							  : MU_M_PLATFORM_READS,
	    1);
	if (a->relayed)
		s->relay.run(s->relay.arg, o->op, limit, on_result, a);
	else
		s->backend.run(s->backend.arg, o->op, limit, on_result, a);
	mu_timer_set(s->loop, &o->timer,
	    now + (mu_store_limit_ms(s->rtt, s->misses) + o->op->wait_ms) *
		      MU_US_PER_MS);
}

/* No answer for a while, or the pause after a failure is over. */
static void
on_timer(void *arg)
{
	struct op *o = arg;
	struct mu_store *s = o->s;
	mu_us now = mu_loop_now(s->loop);

	if (now >= o->deadline) {
		give_up(o);
		return;
	}
	if (o->running > 0) {
		s->misses++;
		s->failures++;
		if (s->failures >= FAILURES_TO_RELAY)
			lose(s, MU__STORE_RESULT__STATUS__UNKNOWN);
	}
	if (mu_store_out(s))
		wait_for_store(o);
	else if (o->running < ATTEMPTS_AT_ONCE)
		attempt(o);
	else
		mu_timer_set(s->loop, &o->timer, o->deadline);
}

void
mu_store_run(struct mu_store *s, const Mu__StoreOp *op, mu_us deadline,
    mu_store_fn done, void *arg)
{
	struct op *o = calloc(1, sizeof(*o));

	if (o == NULL || (o->op = copy_op(op)) == NULL) {
		mu_log(MU_LOG_ERROR, "store", "out_of_memory", NULL);
		abort();
	}
	o->s = s;
	CDS_INIT_LIST_HEAD(&o->attempts);
	cds_list_add(&o->all, &s->ops);
	o->deadline = deadline;
	o->backoff_ms = RETRY_FIRST_MS;
	o->done = done;
	o->arg = arg;
	o->timer.fn = on_timer;
	o->timer.arg = o;
	s->pending++;
	if (mu_store_out(s))
		wait_for_store(o);
	else
		attempt(o);
}

/* Lets the one that waits longest try, or all when the store is back. */
static void
on_probe(void *arg)
{
	struct mu_store *s = arg;
	struct op *o, *next;
	bool out = mu_store_out(s);

	cds_list_for_each_entry_safe (o, next, &s->waiting, node) {
		if (o->running >= ATTEMPTS_AT_ONCE)
			continue;
		cds_list_del(&o->node);
		o->waiting = false;
		attempt(o);
		if (out)
			break;
	}
	if (!cds_list_empty(&s->waiting))
		mu_timer_set(
		    s->loop, &s->probe, mu_loop_now(s->loop) + PROBE_US);
}

void
mu_store_run_once(
    struct mu_store *s, const Mu__StoreOp *op, mu_store_fn done, void *arg)
{
	s->backend.run(s->backend.arg, op,
	    mu_store_limit_ms(s->rtt, s->misses) + op->wait_ms, done, arg);
}
