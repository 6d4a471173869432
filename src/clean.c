/*
 * clean.c -- releases cached prefixes of closed or idle programs on engines.
 *
 * Cache events arrive late and with gaps, release orders get lost, and slot
 * owners fail.  So every daemon regularly queries each engine for the prefixes
 * that it holds, and decides on those of programs in its own slots.  It
 * releases the prefix of a program that has ended or is unknown, and one that
 * by retain.c is not worth its memory.  A lost release order is repeated in
 * the next round.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clean.h"
#include "daemon.h"
#include "log.h"
#include "metric.h"
#include "retain.h"
#include "wait.h"

#define ROUND_INTERVAL_MS 2000
#define REQUEST_TIMEOUT_MS 1000
#define MAX_ENDPOINTS 512
/* A prefix used more recently than this is not released as an orphan. */
#define ORPHAN_MIN_IDLE_US ((mu_us)2 * MU_US_PER_S)

struct mu_clean {
	struct mu_daemon *d;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool wake_requested;
	bool stopping;
	bool started;
	pthread_t thread;
};

/* The service's retain_idle_ms in microseconds; 0 for an unknown service. */
static mu_us
service_retain_idle(struct mu_daemon *d, const char *service)
{
	struct mu_bd_text *t = mu_board_text_ref(&d->board);
	const struct mu_service *s = NULL;
	mu_us max = 0;

	if (t != NULL && t->text != NULL)
		s = mu_text_find_service(t->text, service);
	if (s != NULL)
		max = s->retain_idle_ms * MU_US_PER_MS;
	mu_board_text_unref(t);
	return max;
}

/*
 * Whether endpoint e should release this program's prefix; *epoch is the slot
 * epoch to send with the order.
 */
static bool
should_release(struct mu_daemon *d, const struct mu_bd_endpoint *e,
    const struct mu_ep_cache_entry *h, uint64_t *epoch,
    enum mu_retain_reason *reason)
{
	struct mu_retain_view v = {0};
	struct mu_retention r;
	struct mu_program *p;
	struct mu_slot *slot;
	struct mu_error err;
	unsigned number;

	if (!mu_slots_parse_id(d->slots, h->program, &number))
		return false;
	slot = mu_slots_lock(d->slots, number, 0, &err);
	if (slot == NULL)
		return false; /* the slot's owner decides */
	*epoch = slot->epoch;
	p = mu_program_find(&slot->programs, h->program);
	v.tokens = (uint32_t)h->tokens;
	v.orphan = p == NULL;
	v.cache_used = MU_ATOMIC_LOAD(e->cache_used);
	v.cache_max = MU_ATOMIC_LOAD(e->cache_max);
	v.weight_waste = 1.0;
	if (p != NULL) {
		v.ended = p->ended;
		v.idle = mu_now(&d->clock) - p->last_used;
		/* Another endpoint holds the newer prefix. */
		if (strcmp(p->home, e->addr) != 0 && p->run == NULL &&
		    v.idle > ORPHAN_MIN_IDLE_US)
			v.orphan = true;
		if (p->run != NULL && !p->ended)
			v.idle = 0;
	}
	mu_slot_unlock(slot);
	v.idle_max = service_retain_idle(d, e->service);
	r = mu_retain(&v);
	*reason = r.reason;
	return r.kind != MU_RETAIN_KEEP;
}

static void
clean_endpoint(struct mu_daemon *d, struct mu_bd_endpoint *e)
{
	struct mu_ep_cache_entry *held = NULL;
	enum mu_retain_reason reason;
	struct mu_error err;
	uint64_t epoch;
	size_t i, n = 0;

	if (mu_ep_get_cache_entries(
		e->addr, REQUEST_TIMEOUT_MS, &held, &n, &err) != 0)
		return;
	for (i = 0; i < n; i++) {
		if (!should_release(d, e, &held[i], &epoch, &reason))
			continue;
		if (mu_ep_release_cache(e->addr, REQUEST_TIMEOUT_MS,
			held[i].program, epoch, &err) != 0)
			continue;
		mu_count(MU_M_RELEASES, 1);
		mu_log(MU_LOG_DEBUG, "clean", "released", "{s:s,s:s,s:s}",
		    "program", held[i].program, "endpoint", e->addr, "reason",
		    mu_retain_reason_name(reason));
	}
	free(held);
}

static bool
is_model(struct mu_daemon *d, const char *service)
{
	struct mu_bd_text *t = mu_board_text_ref(&d->board);
	const struct mu_service *s = NULL;
	bool model;

	if (t != NULL && t->text != NULL)
		s = mu_text_find_service(t->text, service);
	model = s != NULL && s->kind == MU_SERVICE_MODEL;
	mu_board_text_unref(t);
	return model;
}

static void
clean_round(struct mu_daemon *d)
{
	struct mu_bd_endpoint *list[MAX_ENDPOINTS];
	struct mu_bd_fleet *f;
	size_t i, n = 0;

	rcu_read_lock();
	f = rcu_dereference(d->board.fleet);
	for (i = 0; f != NULL && i < f->nendpoints && n < MAX_ENDPOINTS; i++)
		list[n++] = f->endpoints[i];
	rcu_read_unlock();
	for (i = 0; i < n; i++)
		if (is_model(d, list[i]->service))
			clean_endpoint(d, list[i]);
}

static bool
clean_wait(struct mu_clean *c)
{
	struct timespec ts;
	bool running;
	int rc = 0;

	mu_time_after(&ts, ROUND_INTERVAL_MS);
	pthread_mutex_lock(&c->lock);
	while (!c->stopping && !c->wake_requested && rc != ETIMEDOUT)
		rc = pthread_cond_timedwait(&c->wake, &c->lock, &ts);
	c->wake_requested = false;
	running = !c->stopping;
	pthread_mutex_unlock(&c->lock);
	return running;
}

static void *
clean_main(void *arg)
{
	struct mu_clean *c = arg;

	while (clean_wait(c))
		clean_round(c->d);
	return NULL;
}

int
mu_clean_open(struct mu_clean **out, struct mu_daemon *d)
{
	struct mu_clean *c = calloc(1, sizeof(*c));

	if (c == NULL)
		return MU_E_NOMEM;
	c->d = d;
	pthread_mutex_init(&c->lock, NULL);
	mu_cond_init(&c->wake);
	c->started = pthread_create(&c->thread, NULL, clean_main, c) == 0;
	*out = c;
	return c->started ? 0 : MU_E_SYSTEM;
}

void
mu_clean_wake(struct mu_clean *c)
{
	pthread_mutex_lock(&c->lock);
	c->wake_requested = true;
	pthread_cond_signal(&c->wake);
	pthread_mutex_unlock(&c->lock);
}

void
mu_clean_close(struct mu_clean *c)
{
	if (c == NULL)
		return;
	pthread_mutex_lock(&c->lock);
	c->stopping = true;
	pthread_cond_signal(&c->wake);
	pthread_mutex_unlock(&c->lock);
	if (c->started)
		pthread_join(c->thread, NULL);
	pthread_cond_destroy(&c->wake);
	pthread_mutex_destroy(&c->lock);
	free(c);
}
