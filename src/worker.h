/*
 * worker.h -- a bounded set of joinable threads, and timed condition waits.
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
	struct cds_list_head finished; /* threads to be joined */
	size_t running;
	size_t max;
};

void mu_workers_init(struct mu_workers *w, size_t max);
/*
 * Runs fn(arg) on a new thread.  Returns 0, MU_E_OVERLOADED when max threads
 * are running, MU_E_SYSTEM or MU_E_NOMEM.
 */
int mu_workers_start(struct mu_workers *w, void (*fn)(void *arg), void *arg);
/* Waits until every thread has ended, joins them and destroys the set. */
void mu_workers_join(struct mu_workers *w);

/*
 * Waits until c is signalled or deadline (real clock), with the usual spurious
 * wakeups.  Returns false, without waiting, if the deadline has passed.
 */
bool mu_cond_wait_until(pthread_cond_t *c, pthread_mutex_t *m, mu_us deadline);

#endif
