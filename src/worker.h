/*
 * worker.h -- a bounded set of joinable threads, and waits on conditions.
 */
#ifndef MU_WORKER_H
#define MU_WORKER_H

#include <pthread.h>
#include <urcu/list.h>

#include "musher.h"
#include "wait.h"

struct mu_workers {
	pthread_mutex_t lock;
	pthread_cond_t worker_finished;
	struct cds_list_head finished; /* ended, to be joined */
	size_t running; /* running */
	size_t max;
};

void mu_workers_init(struct mu_workers *w, size_t max);
/* Runs fn(arg) on a new thread; MU_E_OVERLOADED at the bound, MU_E_SYSTEM. */
int mu_workers_start(struct mu_workers *w, void (*fn)(void *arg), void *arg);
/* Waits for every thread and joins it. */
void mu_workers_join(struct mu_workers *w);

/* Waits at most until deadline (real clock); false once it has passed. */
bool mu_cond_wait_until(pthread_cond_t *c, pthread_mutex_t *m, mu_us deadline);

#endif
