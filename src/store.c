/*
 * store.c -- operations on the platform's table store.
 *
 * Loads that this answers: a store that is slow, loses answers, serves some
 * daemons only or some of its parts only, while turns wait for their records.
 * An answer that is lost is told from a slow store by the smoothed time of
 * answers: after a few times as long the operation is sent once more while the
 * first attempt goes on, and the wait doubles after each miss (RFC 6298 does
 * the same for TCP).  The first answer counts.  reach.c decides which way an
 * attempt goes; operations on a part that answers nobody wait here, and a few
 * of them ask from time to time whether it is back.
 */
#include <jansson.h>
#include <stdio.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "hmap.h"
#include "log.h"
#include "metric.h"
#include "reach.h"
#include "store.h"

#define RETRY_FIRST_MS 15 /* about the time until the next free turn */
#define RETRY_CAP_MS 250
#define PROBE_US (60 * MU_US_PER_MS) /* some times an answer's usual time */
/* Parts asked at once whether they are back: a third of a fleet's usual calls
 * when nearly half of the parts are down. */
#define PROBES 2
#define PROBE_MISSES 2 /* limit of an attempt that asks */
#define ATTEMPTS_AT_ONCE 3 /* of one operation, in progress */
#define LANE_KEY 64

/* One part of a table, and the operations that wait for it. */
struct lane {
	struct mu_hnode node;
	struct cds_list_head all; /* in the store, the last probed one last */
	char key[LANE_KEY]; /* table and part */
	struct mu_lane reach;
	struct cds_list_head waiting;
	bool down; /* as last logged */
	unsigned probes;
};

struct mu_store {
	struct mu_loop *loop;
	struct mu_store_backend backend;
	struct mu_store_relay relay;
	struct mu_reach reach;
	struct mu_hmap by_key;
	struct cds_list_head lanes;
	unsigned pending;
	bool ok; /* as last logged */
	struct cds_list_head ops;
	struct mu_timer probe;
};

struct op {
	struct cds_list_head node; /* while waiting */
	bool waiting;
	struct mu_store *s;
	struct lane *lane;
	Mu__StoreOp *op;
	mu_us deadline;
	bool maybe; /* an attempt had no answer */
	bool ended; /* done has been called */
	unsigned running; /* attempts in progress */
	bool relayed; /* the newest one */
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

	if (s == NULL || mu_hmap_init(&s->by_key) != 0) {
		free(s);
		return NULL;
	}
	s->loop = l;
	s->backend = *backend;
	mu_reach_init(&s->reach);
	CDS_INIT_LIST_HEAD(&s->ops);
	CDS_INIT_LIST_HEAD(&s->lanes);
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
	struct lane *l, *after;

	if (s == NULL)
		return;
	cds_list_for_each_entry_safe (o, next, &s->ops, all)
		op_free(o);
	cds_list_for_each_entry_safe (l, after, &s->lanes, all) {
		mu_lane_fini(&l->reach);
		free(l);
	}
	mu_hmap_clear(&s->by_key);
	mu_timer_clear(s->loop, &s->probe);
	free(s);
}

static struct lane *
get_lane(struct mu_store *s, const char *table, const char *part)
{
	char key[LANE_KEY];
	struct mu_hnode *n;
	struct lane *l;

	(void)snprintf(key, sizeof(key), "%s/%s", table, part);
	n = mu_hmap_find(&s->by_key, key);
	if (n != NULL)
		return MU_CONTAINER_OF(n, struct lane, node);
	l = calloc(1, sizeof(*l));
	if (l == NULL)
		abort();
	memcpy(l->key, key, sizeof(key));
	l->node.key = l->key;
	mu_lane_init(&l->reach, &s->reach);
	CDS_INIT_LIST_HEAD(&l->waiting);
	cds_list_add_tail(&l->all, &s->lanes);
	mu_hmap_add(&s->by_key, &l->node);
	return l;
}

/* Rows of one operation are all of one part. */
static struct lane *
lane_of(struct mu_store *s, const Mu__StoreOp *op)
{
	const Mu__StoreRow *row = NULL;

	if (op->n_put > 0)
		row = op->put[0];
	else if (op->n_remove > 0)
		row = op->remove[0];
	else if (op->n_expected > 0)
		row = op->expected[0];
	return row != NULL ? get_lane(s, row->table, row->part)
			   : get_lane(s, op->table, op->part);
}

static bool
relay_usable(const struct mu_store *s)
{
	return s->relay.run != NULL && s->relay.available(s->relay.arg);
}

static bool
lost(const struct mu_store *s)
{
	return mu_reach_lost(&s->reach, mu_loop_now(s->loop));
}

bool
mu_store_ok(const struct mu_store *s)
{
	return s->reach.answered && !lost(s);
}

bool
mu_store_out(const struct mu_store *s)
{
	return lost(s) && !relay_usable(s);
}

static bool
lane_out(const struct mu_store *s, const struct lane *l)
{
	return mu_lane_way(&l->reach, mu_loop_now(s->loop), relay_usable(s)) ==
	       MU_WAY_WAIT;
}

bool
mu_store_part_suspect(struct mu_store *s, const char *table, const char *part)
{
	return mu_lane_suspect(
	    &get_lane(s, table, part)->reach, mu_loop_now(s->loop));
}

unsigned
mu_store_pending(const struct mu_store *s)
{
	return s->pending;
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

/* Logs what has changed since the last attempt. */
static void
log_changes(struct mu_store *s, struct lane *l, Mu__StoreResult__Status st)
{
	bool ok = mu_store_ok(s), down = lane_out(s, l);

	if (s->ok != ok)
		mu_log(ok ? MU_LOG_INFO : MU_LOG_WARN, "store",
		    ok ? "regained" : "lost", "{s:i,s:I,s:i}", "status",
		    (int)st, "rtt_us", (json_int_t)s->reach.rtt, "misses",
		    (int)l->reach.misses);
	if (l->down != down)
		mu_log(down ? MU_LOG_WARN : MU_LOG_INFO, "store",
		    down ? "part_lost" : "part_regained", "{s:s,s:i}", "part",
		    l->key, "status", (int)st);
	s->ok = ok;
	l->down = down;
}

static bool
repeatable(Mu__StoreResult__Status st)
{
	return st == MU__STORE_RESULT__STATUS__UNKNOWN ||
	       st == MU__STORE_RESULT__STATUS__REFUSED;
}

/* Learns from the end of an attempt. */
static void
learn(struct op *o, const struct attempt *a, Mu__StoreResult__Status st)
{
	struct mu_store *s = o->s;
	struct lane *l = o->lane;
	mu_us now = mu_loop_now(s->loop);
	bool was_down = l->down;

	if (a->relayed)
		mu_lane_relayed(&l->reach, !repeatable(st));
	else if (repeatable(st))
		mu_lane_failed(&l->reach, now);
	else
		mu_lane_answered(
		    &l->reach, now, o->op->wait_ms == 0 ? now - a->began : 0);
	log_changes(s, l, st);
	/* A part is back: others may be, too. */
	if (was_down && !l->down)
		mu_timer_set(s->loop, &s->probe, now);
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

/* While its part is out an operation waits for its turn to ask. */
static void
wait_for_part(struct op *o)
{
	struct mu_store *s = o->s;

	if (!o->waiting)
		cds_list_add_tail(&o->node, &o->lane->waiting);
	o->waiting = true;
	mu_timer_set(s->loop, &o->timer, o->deadline);
	if (s->probe.slot == 0)
		mu_timer_set(
		    s->loop, &s->probe, mu_loop_now(s->loop) + PROBE_US);
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
	if (lane_out(o->s, o->lane)) {
		wait_for_part(o);
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

	learn(o, a, r->status);
	cds_list_del(&a->node);
	free(a);
	o->running--;
	if (o->ended) {
		op_release(o);
		return;
	}
	if (r->status == MU__STORE_RESULT__STATUS__UNKNOWN)
		o->maybe = true;
	if (repeatable(r->status))
		back_off(o);
	else
		finish(o, r);
}

/* Time that one attempt may take: the rest, so that a slow one is answered. */
static uint32_t
attempt_limit(const struct op *o, mu_us now)
{
	mu_us left = (o->deadline - now) / MU_US_PER_MS;

	if (left < MU_STORE_LIMIT_FLOOR_MS)
		left = MU_STORE_LIMIT_FLOOR_MS;
	if (left > MU_STORE_LIMIT_CAP_MS)
		left = MU_STORE_LIMIT_CAP_MS;
	return (uint32_t)left + o->op->wait_ms;
}

/* The way of the next attempt; one that asks whether the part is back takes
 * each in turn. */
static bool
choose_relay(struct op *o, enum mu_way way)
{
	switch (way) {
	case MU_WAY_DIRECT:
		return false;
	case MU_WAY_RELAY:
		return true;
	case MU_WAY_WAIT:
		return o->lane->probes++ % 2 == 1 && relay_usable(o->s);
	}
	return false;
}

static void
attempt(struct op *o)
{
	struct mu_store *s = o->s;
	struct mu_lane *l = &o->lane->reach;
	mu_us now = mu_loop_now(s->loop);
	enum mu_way way = mu_lane_way(l, now, relay_usable(s));
	struct attempt *a = calloc(1, sizeof(*a));
	uint32_t limit = attempt_limit(o, now), next;

	if (a == NULL)
		abort();
	a->o = o;
	a->began = now;
	a->relayed = o->relayed = choose_relay(o, way);
	o->running++;
	cds_list_add(&a->node, &o->attempts);
	mu_count(o->op->kind == MU__STORE_OP__KIND__WRITE ? MU_M_PLATFORM_WRITES
							  : MU_M_PLATFORM_READS,
	    1);
	next = mu_lane_limit_ms(l, now, relay_usable(s)) + o->op->wait_ms;
	if (way == MU_WAY_WAIT) {
		/* It only asks whether the part is back. */
		next = mu_store_limit_ms(s->reach.rtt, PROBE_MISSES) +
		       o->op->wait_ms;
		limit = next < limit ? next : limit;
	}
	if (a->relayed) {
		s->relay.run(s->relay.arg, o->op, limit, on_result, a);
	} else {
		mu_lane_begin(l, now);
		s->backend.run(s->backend.arg, o->op, limit, on_result, a);
	}
	mu_timer_set(s->loop, &o->timer, now + next * MU_US_PER_MS);
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
	if (o->running > 0 && o->relayed)
		mu_lane_relayed(&o->lane->reach, false);
	else if (o->running > 0)
		mu_lane_missed(&o->lane->reach, now);
	if (o->running > 0)
		log_changes(s, o->lane, MU__STORE_RESULT__STATUS__UNKNOWN);
	if (lane_out(s, o->lane))
		wait_for_part(o);
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
	o->lane = lane_of(s, o->op);
	CDS_INIT_LIST_HEAD(&o->attempts);
	cds_list_add(&o->all, &s->ops);
	o->deadline = deadline;
	o->backoff_ms = RETRY_FIRST_MS;
	o->done = done;
	o->arg = arg;
	o->timer.fn = on_timer;
	o->timer.arg = o;
	s->pending++;
	if (lane_out(s, o->lane))
		wait_for_part(o);
	else
		attempt(o);
}

/* Lets up to `most` operations of a part go, the one that waits longest first.
 */
static unsigned
let_go(struct lane *l, unsigned most)
{
	struct op *o, *next;
	unsigned n = 0;

	cds_list_for_each_entry_safe (o, next, &l->waiting, node) {
		if (n == most)
			break;
		if (o->running >= ATTEMPTS_AT_ONCE)
			continue;
		cds_list_del(&o->node);
		o->waiting = false;
		attempt(o);
		n++;
	}
	return n;
}

/* All go whose part is back; a few others ask whether theirs is. */
static void
on_probe(void *arg)
{
	struct mu_store *s = arg;
	unsigned probes = mu_store_out(s) ? 1 : PROBES;
	bool waiting = false;
	struct lane *l, *next;
	CDS_LIST_HEAD(asked);

	cds_list_for_each_entry_safe (l, next, &s->lanes, all) {
		if (cds_list_empty(&l->waiting))
			continue;
		waiting = true;
		if (!lane_out(s, l)) {
			(void)let_go(l, UINT_MAX);
		} else if (probes > 0 && let_go(l, 1) > 0) {
			probes--;
			cds_list_del(&l->all);
			cds_list_add_tail(&l->all, &asked);
		}
	}
	cds_list_for_each_entry_safe (l, next, &asked, all) {
		cds_list_del(&l->all);
		cds_list_add_tail(&l->all, &s->lanes);
	}
	if (waiting)
		mu_timer_set(
		    s->loop, &s->probe, mu_loop_now(s->loop) + PROBE_US);
}

void
mu_store_run_once(
    struct mu_store *s, const Mu__StoreOp *op, mu_store_fn done, void *arg)
{
	const struct lane *l = lane_of(s, op);

	s->backend.run(s->backend.arg, op,
	    mu_store_limit_ms(s->reach.rtt, l->reach.misses) + op->wait_ms,
	    done, arg);
}
