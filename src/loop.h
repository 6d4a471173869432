/*
 * loop.h -- event loop of the serving path: descriptors, timers, deferred work.
 *
 * One thread runs a loop and all its callbacks, so state of the serving path
 * needs no locks.  Only mu_loop_stop() may be called from a signal handler or
 * another thread.
 */
#ifndef MU_LOOP_H
#define MU_LOOP_H

#include "musher.h"

struct mu_loop;

/* A watched descriptor; embedded in its owner. */
struct mu_watch {
	int fd;
	uint32_t events; /* EPOLLIN etc. */
	void (*fn)(void *arg, uint32_t events);
	void *arg;
};

/* A timer; embedded in its owner.  Zeroed memory is a timer that is not set. */
struct mu_timer {
	mu_us at;
	size_t slot; /* index in the heap, from 1; 0: not set */
	void (*fn)(void *arg);
	void *arg;
};

/* A function called before each wait of the loop. */
struct mu_hook {
	void (*fn)(void *arg);
	void *arg;
	struct mu_hook *next;
};

/* The clock must outlive the loop.  Returns NULL if out of descriptors or
 * memory. */
struct mu_loop *mu_loop_new(const struct mu_clock *clock);
void mu_loop_free(struct mu_loop *l);
/* Runs until mu_loop_stop(). */
void mu_loop_run(struct mu_loop *l);
/* Runs one iteration: waits up to wait_ms (-1: no limit), then handles ready
 * descriptors and expired timers. */
void mu_loop_once(struct mu_loop *l, int wait_ms);
void mu_loop_stop(struct mu_loop *l);
/* Time when the current iteration started to handle events. */
mu_us mu_loop_now(const struct mu_loop *l);

int mu_watch_add(struct mu_loop *l, struct mu_watch *w);
void mu_watch_set(struct mu_loop *l, struct mu_watch *w, uint32_t events);
/* No event of w is delivered after this, not even one already read. */
void mu_watch_del(struct mu_loop *l, struct mu_watch *w);

/* Sets or moves a timer. */
void mu_timer_set(struct mu_loop *l, struct mu_timer *t, mu_us at);
void mu_timer_clear(struct mu_loop *l, struct mu_timer *t);

void mu_hook_add(struct mu_loop *l, struct mu_hook *h);
void mu_hook_del(struct mu_loop *l, struct mu_hook *h);

#endif
