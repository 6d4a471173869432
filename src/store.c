/*
 * store.c -- operations on the platform's table store.
 *
 * The store may be slow, lose answers, or serve only some daemons or some
 * partitions, while turns wait for their records.  A lost answer is told from
 * a slow store by the smoothed round-trip time: after a multiple of it the
 * operation is sent again while the first attempt continues, and the timeout
 * doubles each time it expires (as RFC 6298 does for TCP).  The first answer
 * counts.  storepath.c chooses the path of an attempt.  Operations on a
 * partition that neither path reaches are queued here, and a few of them are
 * sent at intervals as probes.
 *
 * A store that was slow refuses operations as too many, and all daemons of a
 * large fleet probe it at the same time.  Their probes alone could be more than
 * it takes, so that it never recovers.  The interval between probes therefore
 * doubles with each one refused for this reason, until one is answered.
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
#include "storepath.h"
#include "store.h"

/* About the time until a busy store can take another operation. */
#define BACKOFF_MIN_MS 15
#define BACKOFF_MAX_MS 250
/* Several times the typical round-trip time. */
#define PROBE_INTERVAL_US (60 * MU_US_PER_MS)
/* While the store refuses probes as too many.  At this rate those of hundreds
 * of daemons are a fraction of what it takes. */
#define PROBE_INTERVAL_MAX_US (1 * MU_US_PER_S)
/* Partitions probed per interval. */
#define PROBES_PER_INTERVAL 2
#define PROBE_TIMEOUT_DOUBLINGS 2 /* of the timeout of a probe */
#define MAX_CONCURRENT_ATTEMPTS 3 /* of one operation */
#define PARTITION_KEY_BYTES 64

/* A partition of a table and the operations queued for it. */
struct partition {
	struct mu_hnode node;
	struct cds_list_head store_node; /* most recently probed last */
	char key[PARTITION_KEY_BYTES]; /* table/partition */
	struct mu_partition_path path;
	struct cds_list_head waiting;
	bool logged_unavailable;
	unsigned probe_count;
};

struct mu_store {
	struct mu_loop *loop;
	struct mu_store_backend backend;
	struct mu_store_relay relay;
	struct mu_store_paths paths;
	struct mu_hmap partitions_by_key;
	struct cds_list_head partitions;
	unsigned pending;
	bool logged_available;
	struct cds_list_head ops;
	struct mu_timer probe_timer;
	mu_us probe_interval;
};

struct op {
	struct cds_list_head node; /* in the partition's waiting list */
	bool waiting;
	struct mu_store *s;
	struct partition *partition;
	Mu__StoreOp *request;
	mu_us deadline;
	bool outcome_unknown; /* an attempt ended without an answer */
	bool finished; /* done has been called */
	unsigned running_attempts;
	bool last_relayed; /* the newest attempt is relayed */
	struct cds_list_head attempts;
	struct cds_list_head store_node; /* in s->ops */
	uint32_t backoff_ms;
	struct mu_timer timer;
	mu_store_result_fn done;
	void *arg;
};

struct attempt {
	struct cds_list_head node; /* in o->attempts */
	struct op *o;
	mu_us began;
	bool relayed;
	bool probe;
};

static void on_probe_timer(void *arg);

struct mu_store *
mu_store_new(struct mu_loop *l, const struct mu_store_backend *backend)
{
	struct mu_store *s = calloc(1, sizeof(*s));

	if (s == NULL || mu_hmap_init(&s->partitions_by_key) != 0) {
		free(s);
		return NULL;
	}
	s->loop = l;
	s->backend = *backend;
	mu_store_paths_init(&s->paths);
	CDS_INIT_LIST_HEAD(&s->ops);
	CDS_INIT_LIST_HEAD(&s->partitions);
	s->probe_timer.fn = on_probe_timer;
	s->probe_timer.arg = s;
	s->probe_interval = PROBE_INTERVAL_US;
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
	struct partition *p, *after;

	if (s == NULL)
		return;
	cds_list_for_each_entry_safe (o, next, &s->ops, store_node)
		op_free(o);
	cds_list_for_each_entry_safe (p, after, &s->partitions, store_node) {
		mu_path_fini(&p->path);
		free(p);
	}
	mu_hmap_clear(&s->partitions_by_key);
	mu_timer_clear(s->loop, &s->probe_timer);
	free(s);
}

static struct partition *
get_partition(struct mu_store *s, const char *table, const char *part)
{
	char key[PARTITION_KEY_BYTES];
	struct mu_hnode *n;
	struct partition *p;

	(void)snprintf(key, sizeof(key), "%s/%s", table, part);
	n = mu_hmap_find(&s->partitions_by_key, key);
	if (n != NULL)
		return MU_CONTAINER_OF(n, struct partition, node);
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		abort();
	memcpy(p->key, key, sizeof(key));
	p->node.key = p->key;
	mu_path_init(&p->path, &s->paths);
	CDS_INIT_LIST_HEAD(&p->waiting);
	cds_list_add_tail(&p->store_node, &s->partitions);
	mu_hmap_add(&s->partitions_by_key, &p->node);
	return p;
}

/* All rows of an operation belong to the same partition. */
static struct partition *
partition_of(struct mu_store *s, const Mu__StoreOp *op)
{
	const Mu__StoreRow *row = NULL;

	if (op->n_put > 0)
		row = op->put[0];
	else if (op->n_remove > 0)
		row = op->remove[0];
	else if (op->n_expected > 0)
		row = op->expected[0];
	return row != NULL ? get_partition(s, row->table, row->part)
			   : get_partition(s, op->table, op->part);
}

static bool
relay_available(const struct mu_store *s)
{
	return s->relay.run != NULL && s->relay.available(s->relay.arg);
}

static bool
direct_unavailable(const struct mu_store *s)
{
	return mu_store_paths_direct_unavailable(
	    &s->paths, mu_loop_now(s->loop));
}

bool
mu_store_direct_available(const struct mu_store *s)
{
	return s->paths.ever_answered && !direct_unavailable(s);
}

bool
mu_store_unavailable(const struct mu_store *s)
{
	return direct_unavailable(s) && !relay_available(s);
}

static bool
partition_unavailable(const struct mu_store *s, const struct partition *p)
{
	return mu_path_choose(&p->path, mu_loop_now(s->loop),
		   relay_available(s)) == MU_PATH_NONE;
}

bool
mu_store_partition_suspect(
    struct mu_store *s, const char *table, const char *part)
{
	return mu_path_partition_suspect(
	    &get_partition(s, table, part)->path, mu_loop_now(s->loop));
}

bool
mu_store_partition_unavailable(
    struct mu_store *s, const char *table, const char *part)
{
	return partition_unavailable(s, get_partition(s, table, part));
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

/* Logs changes in the availability of the store and the partition. */
static void
log_changes(struct mu_store *s, struct partition *p, Mu__StoreResult__Status st)
{
	bool available = mu_store_direct_available(s);
	bool unavailable = partition_unavailable(s, p);

	if (s->logged_available != available)
		mu_log(available ? MU_LOG_INFO : MU_LOG_WARN, "store",
		    available ? "regained" : "lost", "{s:i,s:I,s:i}", "status",
		    (int)st, "rtt_us", (json_int_t)s->paths.rtt, "misses",
		    (int)p->path.timeouts);
	if (p->logged_unavailable != unavailable)
		mu_log(unavailable ? MU_LOG_WARN : MU_LOG_INFO, "store",
		    unavailable ? "part_lost" : "part_regained", "{s:s,s:i}",
		    "part", p->key, "status", (int)st);
	s->logged_available = available;
	p->logged_unavailable = unavailable;
}

static bool
retryable(Mu__StoreResult__Status st)
{
	return st == MU__STORE_RESULT__STATUS__UNKNOWN ||
	       st == MU__STORE_RESULT__STATUS__REFUSED;
}

/* Updates the path state with the result of an attempt. */
static void
record_outcome(
    struct op *o, const struct attempt *a, Mu__StoreResult__Status st)
{
	struct mu_store *s = o->s;
	struct partition *p = o->partition;
	mu_us now = mu_loop_now(s->loop);
	bool was_unavailable = p->logged_unavailable;

	if (a->relayed)
		mu_path_relay_end(&p->path, !retryable(st));
	else if (retryable(st))
		mu_path_direct_failed(&p->path, now);
	else
		mu_path_direct_answered(&p->path, now,
		    o->request->wait_ms == 0 ? now - a->began : 0);
	log_changes(s, p, st);
	/* Other partitions may have recovered as well: probe now. */
	if (was_unavailable && !p->logged_unavailable)
		mu_timer_set(s->loop, &s->probe_timer, now);
}

static void
op_free(struct op *o)
{
	struct attempt *a, *next;

	cds_list_for_each_entry_safe (a, next, &o->attempts, node)
		free(a);
	mu_timer_clear(o->s->loop, &o->timer);
	cds_list_del(&o->store_node);
	mu__store_op__free_unpacked(o->request, NULL);
	free(o);
}

static void
op_free_if_idle(struct op *o)
{
	if (o->finished && o->running_attempts == 0)
		op_free(o);
}

static void
finish(struct op *o, const Mu__StoreResult *r)
{
	mu_store_result_fn done = o->done;
	void *arg = o->arg;

	o->s->pending--;
	o->finished = true;
	if (o->waiting)
		cds_list_del(&o->node);
	o->waiting = false;
	mu_timer_clear(o->s->loop, &o->timer);
	op_free_if_idle(o);
	done(arg, r);
}

static void
finish_failed(struct op *o)
{
	Mu__StoreResult last = MU__STORE_RESULT__INIT;

	last.status = o->outcome_unknown || o->running_attempts > 0
			  ? MU__STORE_RESULT__STATUS__UNKNOWN
			  : MU__STORE_RESULT__STATUS__REFUSED;
	finish(o, &last);
}

/* Queues an operation until its partition recovers or it is sent as a probe. */
static void
wait_for_partition(struct op *o)
{
	struct mu_store *s = o->s;

	if (!o->waiting)
		cds_list_add_tail(&o->node, &o->partition->waiting);
	o->waiting = true;
	mu_timer_set(s->loop, &o->timer, o->deadline);
	if (s->probe_timer.slot == 0)
		mu_timer_set(s->loop, &s->probe_timer,
		    mu_loop_now(s->loop) + s->probe_interval);
}

/* Schedules the next attempt after one that failed. */
static void
schedule_retry(struct op *o)
{
	mu_us now = mu_loop_now(o->s->loop), left = o->deadline - now;
	mu_us at = now + o->backoff_ms * MU_US_PER_MS;

	if (left < BACKOFF_MIN_MS * MU_US_PER_MS && o->running_attempts == 0) {
		finish_failed(o);
		return;
	}
	if (partition_unavailable(o->s, o->partition)) {
		wait_for_partition(o);
		return;
	}
	if (at > now + left / 2)
		at = now + left / 2;
	if (!o->waiting && (o->timer.slot == 0 || at < o->timer.at))
		mu_timer_set(o->s->loop, &o->timer, at);
	o->backoff_ms *= 2;
	if (o->backoff_ms > BACKOFF_MAX_MS)
		o->backoff_ms = BACKOFF_MAX_MS;
}

static void
adapt_probe_interval(struct mu_store *s, const Mu__StoreResult *r)
{
	mu_us interval = s->probe_interval;

	if (r->overloaded)
		interval *= 2;
	else if (!retryable(r->status))
		interval = PROBE_INTERVAL_US;
	if (interval > PROBE_INTERVAL_MAX_US)
		interval = PROBE_INTERVAL_MAX_US;
	s->probe_interval = interval;
}

static void
on_attempt_result(void *arg, const Mu__StoreResult *r)
{
	struct attempt *a = arg;
	struct op *o = a->o;

	if (a->probe)
		adapt_probe_interval(o->s, r);
	record_outcome(o, a, r->status);
	cds_list_del(&a->node);
	free(a);
	o->running_attempts--;
	if (o->finished) {
		op_free_if_idle(o);
		return;
	}
	if (r->status == MU__STORE_RESULT__STATUS__UNKNOWN)
		o->outcome_unknown = true;
	if (retryable(r->status))
		schedule_retry(o);
	else
		finish(o, r);
}

/* Timeout of one attempt: the time left to the deadline, so that a slow answer
 * is still received. */
static uint32_t
attempt_timeout_ms(const struct op *o, mu_us now)
{
	mu_us left = (o->deadline - now) / MU_US_PER_MS;

	if (left < MU_STORE_TIMEOUT_MIN_MS)
		left = MU_STORE_TIMEOUT_MIN_MS;
	if (left > MU_STORE_TIMEOUT_MAX_MS)
		left = MU_STORE_TIMEOUT_MAX_MS;
	return (uint32_t)left + o->request->wait_ms;
}

/* Whether to relay the next attempt; probes alternate between the two paths. */
static bool
use_relay(struct op *o, enum mu_path_kind kind)
{
	switch (kind) {
	case MU_PATH_DIRECT:
		return false;
	case MU_PATH_RELAY:
		return true;
	case MU_PATH_NONE:
		return o->partition->probe_count++ % 2 == 1 &&
		       relay_available(o->s);
	}
	return false;
}

static void
start_attempt(struct op *o)
{
	struct mu_store *s = o->s;
	struct mu_partition_path *path = &o->partition->path;
	mu_us now = mu_loop_now(s->loop);
	enum mu_path_kind kind = mu_path_choose(path, now, relay_available(s));
	struct attempt *a = calloc(1, sizeof(*a));
	uint32_t timeout_ms = attempt_timeout_ms(o, now), next_ms;

	if (a == NULL)
		abort();
	a->o = o;
	a->began = now;
	a->probe = kind == MU_PATH_NONE;
	a->relayed = o->last_relayed = use_relay(o, kind);
	o->running_attempts++;
	cds_list_add(&a->node, &o->attempts);
	mu_count(o->request->kind == MU__STORE_OP__KIND__WRITE
		     ? MU_M_PLATFORM_WRITES
		     : MU_M_PLATFORM_READS,
	    1);
	next_ms = mu_path_timeout_ms(path, now, relay_available(s)) +
		  o->request->wait_ms;
	if (kind == MU_PATH_NONE) {
		/* A probe only tests whether the partition has recovered, so
		 * the attempt itself ends with the short timeout. */
		next_ms =
		    mu_store_timeout_ms(s->paths.rtt, PROBE_TIMEOUT_DOUBLINGS) +
		    o->request->wait_ms;
		timeout_ms = next_ms < timeout_ms ? next_ms : timeout_ms;
	}
	if (a->relayed) {
		s->relay.run(
		    s->relay.arg, o->request, timeout_ms, on_attempt_result, a);
	} else {
		mu_path_direct_begin(path, now);
		s->backend.run(s->backend.arg, o->request, timeout_ms,
		    on_attempt_result, a);
	}
	mu_timer_set(s->loop, &o->timer, now + next_ms * MU_US_PER_MS);
}

/* The timeout of the newest attempt has expired, or the backoff after a failure
 * has ended. */
static void
on_op_timer(void *arg)
{
	struct op *o = arg;
	struct mu_store *s = o->s;
	mu_us now = mu_loop_now(s->loop);

	if (now >= o->deadline) {
		finish_failed(o);
		return;
	}
	if (o->running_attempts > 0 && o->last_relayed)
		mu_path_relay_end(&o->partition->path, false);
	else if (o->running_attempts > 0)
		mu_path_direct_timed_out(&o->partition->path, now);
	if (o->running_attempts > 0)
		log_changes(s, o->partition, MU__STORE_RESULT__STATUS__UNKNOWN);
	if (partition_unavailable(s, o->partition))
		wait_for_partition(o);
	else if (o->running_attempts < MAX_CONCURRENT_ATTEMPTS)
		start_attempt(o);
	else
		mu_timer_set(s->loop, &o->timer, o->deadline);
}

void
mu_store_run(struct mu_store *s, const Mu__StoreOp *op, mu_us deadline,
    mu_store_result_fn done, void *arg)
{
	struct op *o = calloc(1, sizeof(*o));

	if (o == NULL || (o->request = copy_op(op)) == NULL) {
		mu_log(MU_LOG_ERROR, "store", "out_of_memory", NULL);
		abort();
	}
	o->s = s;
	o->partition = partition_of(s, o->request);
	CDS_INIT_LIST_HEAD(&o->attempts);
	cds_list_add(&o->store_node, &s->ops);
	o->deadline = deadline;
	o->backoff_ms = BACKOFF_MIN_MS;
	o->done = done;
	o->arg = arg;
	o->timer.fn = on_op_timer;
	o->timer.arg = o;
	s->pending++;
	if (partition_unavailable(s, o->partition))
		wait_for_partition(o);
	else
		start_attempt(o);
}

/* Sends up to max queued operations of a partition, oldest first. */
static unsigned
resume_waiting(struct partition *p, unsigned max)
{
	struct op *o, *next;
	unsigned n = 0;

	cds_list_for_each_entry_safe (o, next, &p->waiting, node) {
		if (n == max)
			break;
		if (o->running_attempts >= MAX_CONCURRENT_ATTEMPTS)
			continue;
		cds_list_del(&o->node);
		o->waiting = false;
		start_attempt(o);
		n++;
	}
	return n;
}

/* Sends all operations whose partition has recovered, and a few others as
 * probes. */
static void
on_probe_timer(void *arg)
{
	struct mu_store *s = arg;
	unsigned probes = mu_store_unavailable(s) ? 1 : PROBES_PER_INTERVAL;
	bool waiting = false;
	struct partition *p, *next;
	CDS_LIST_HEAD(probed);

	cds_list_for_each_entry_safe (p, next, &s->partitions, store_node) {
		if (cds_list_empty(&p->waiting))
			continue;
		waiting = true;
		if (!partition_unavailable(s, p)) {
			(void)resume_waiting(p, UINT_MAX);
		} else if (probes > 0 && resume_waiting(p, 1) > 0) {
			probes--;
			cds_list_del(&p->store_node);
			cds_list_add_tail(&p->store_node, &probed);
		}
	}
	cds_list_for_each_entry_safe (p, next, &probed, store_node) {
		cds_list_del(&p->store_node);
		cds_list_add_tail(&p->store_node, &s->partitions);
	}
	if (waiting)
		mu_timer_set(s->loop, &s->probe_timer,
		    mu_loop_now(s->loop) + s->probe_interval);
}

void
mu_store_run_for_peer(struct mu_store *s, const Mu__StoreOp *op,
    mu_store_result_fn done, void *arg)
{
	const struct partition *p = partition_of(s, op);

	s->backend.run(s->backend.arg, op,
	    mu_store_timeout_ms(s->paths.rtt, p->path.timeouts) + op->wait_ms,
	    done, arg);
}
