/*
 * loop.c -- event loop of the serving path.
 *
 * epoll for descriptors and a binary heap for timers.  Events are read in
 * batches; a descriptor that is removed while its batch is handled has its
 * remaining events dropped, so owners may free themselves at any time.
 */
#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "log.h"
#include "loop.h"

#define EVENT_BATCH 64 /* events read at once */
#define INITIAL_HEAP_SIZE 64

struct mu_loop {
	int epoll;
	const struct mu_clock *clock;
	mu_us now;
	struct epoll_event batch[EVENT_BATCH];
	int nbatch;
	struct mu_timer **heap; /* heap[0] is unused */
	size_t ntimers;
	size_t heap_size;
	struct mu_hook *hooks;
	volatile bool stop_requested;
};

struct mu_loop *
mu_loop_new(const struct mu_clock *clock)
{
	struct mu_loop *l = calloc(1, sizeof(*l));

	if (l == NULL)
		return NULL;
	l->clock = clock;
	l->heap_size = INITIAL_HEAP_SIZE;
	l->heap = calloc(l->heap_size, sizeof(struct mu_timer *));
	l->epoll = epoll_create1(EPOLL_CLOEXEC);
	if (l->heap == NULL || l->epoll < 0) {
		mu_loop_free(l);
		return NULL;
	}
	l->now = mu_now(clock);
	return l;
}

void
mu_loop_free(struct mu_loop *l)
{
	if (l == NULL)
		return;
	if (l->epoll >= 0)
		(void)close(l->epoll);
	free(l->heap);
	free(l);
}

mu_us
mu_loop_now(const struct mu_loop *l)
{
	return l->now;
}

int
mu_watch_add(struct mu_loop *l, struct mu_watch *w)
{
	struct epoll_event ev = {.events = w->events, .data.ptr = w};

	return epoll_ctl(l->epoll, EPOLL_CTL_ADD, w->fd, &ev) == 0
		   ? 0
		   : MU_E_SYSTEM;
}

void
mu_watch_set(struct mu_loop *l, struct mu_watch *w, uint32_t events)
{
	struct epoll_event ev = {.events = events, .data.ptr = w};

	if (w->events == events)
		return;
	w->events = events;
	(void)epoll_ctl(l->epoll, EPOLL_CTL_MOD, w->fd, &ev);
}

void
mu_watch_del(struct mu_loop *l, struct mu_watch *w)
{
	int i;

	(void)epoll_ctl(l->epoll, EPOLL_CTL_DEL, w->fd, NULL);
	for (i = 0; i < l->nbatch; i++)
		if (l->batch[i].data.ptr == w)
			l->batch[i].data.ptr = NULL;
}

static void
heap_put(struct mu_loop *l, size_t i, struct mu_timer *t)
{
	l->heap[i] = t;
	t->slot = i;
}

static void
heap_up(struct mu_loop *l, size_t i, struct mu_timer *t)
{
	while (i > 1 && l->heap[i / 2]->at > t->at) {
		heap_put(l, i, l->heap[i / 2]);
		i /= 2;
	}
	heap_put(l, i, t);
}

static void
heap_down(struct mu_loop *l, size_t i, struct mu_timer *t)
{
	size_t child;

	while ((child = 2 * i) <= l->ntimers) {
		if (child < l->ntimers &&
		    l->heap[child + 1]->at < l->heap[child]->at)
			child++;
		if (l->heap[child]->at >= t->at)
			break;
		heap_put(l, i, l->heap[child]);
		i = child;
	}
	heap_put(l, i, t);
}

void
mu_timer_clear(struct mu_loop *l, struct mu_timer *t)
{
	struct mu_timer *last;
	size_t i = t->slot;

	if (i == 0)
		return;
	t->slot = 0;
	last = l->heap[l->ntimers--];
	if (last == t)
		return;
	heap_down(l, i, last);
	heap_up(l, last->slot, last);
}

void
mu_timer_set(struct mu_loop *l, struct mu_timer *t, mu_us at)
{
	struct mu_timer **heap;

	mu_timer_clear(l, t);
	t->at = at;
	if (l->ntimers + 2 > l->heap_size) {
		heap = realloc(
		    l->heap, 2 * l->heap_size * sizeof(struct mu_timer *));
		if (heap == NULL) {
			/* Without timers no deadline can be kept. */
			mu_log(MU_LOG_ERROR, "loop", "out_of_memory", NULL);
			abort();
		}
		l->heap = heap;
		l->heap_size *= 2;
	}
	heap_up(l, ++l->ntimers, t);
}

void
mu_hook_add(struct mu_loop *l, struct mu_hook *h)
{
	h->next = l->hooks;
	l->hooks = h;
}

void
mu_hook_del(struct mu_loop *l, struct mu_hook *h)
{
	struct mu_hook **p = &l->hooks;

	while (*p != NULL && *p != h)
		p = &(*p)->next;
	if (*p != NULL)
		*p = h->next;
}

static void
run_timers(struct mu_loop *l)
{
	struct mu_timer *t;

	while (l->ntimers > 0 && l->heap[1]->at <= l->now) {
		t = l->heap[1];
		mu_timer_clear(l, t);
		t->fn(t->arg);
	}
}

static int
poll_timeout_ms(const struct mu_loop *l, int wait_ms)
{
	mu_us left;
	int ms;

	if (l->ntimers == 0)
		return wait_ms;
	left = l->heap[1]->at - mu_now(l->clock);
	if (left <= 0)
		return 0;
	ms = left > 60 * MU_US_PER_S ? 60000 : (int)((left + 999) / 1000);
	return wait_ms >= 0 && wait_ms < ms ? wait_ms : ms;
}

void
mu_loop_once(struct mu_loop *l, int wait_ms)
{
	struct mu_watch *w;
	struct mu_hook *h;
	int i;

	for (h = l->hooks; h != NULL; h = h->next)
		h->fn(h->arg);
	l->nbatch = epoll_wait(
	    l->epoll, l->batch, EVENT_BATCH, poll_timeout_ms(l, wait_ms));
	l->now = mu_now(l->clock);
	for (i = 0; i < l->nbatch; i++) {
		w = l->batch[i].data.ptr;
		if (w != NULL)
			w->fn(w->arg, l->batch[i].events);
	}
	l->nbatch = 0;
	run_timers(l);
}

void
mu_loop_run(struct mu_loop *l)
{
	while (!l->stop_requested)
		mu_loop_once(l, -1);
}

void
mu_loop_stop(struct mu_loop *l)
{
	l->stop_requested = true;
}
