/*
 * worker.c -- a bounded set of joinable threads.
 *
 * A thread that ends adds itself to a list; the next start or the final join
 * joins it.  Threads are not detached, so that after mu_workers_join() none of
 * them can still be running.
 */
#include <stdlib.h>
#include <time.h>

#include "net.h"
#include "worker.h"

#define COND_WAIT_MAX_US (3600 * MU_US_PER_S)

struct worker {
	struct cds_list_head node;
	struct mu_workers *set;
	pthread_t thread;
	void (*fn)(void *arg);
	void *arg;
};

void
mu_workers_init(struct mu_workers *w, size_t max)
{
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->worker_finished, NULL);
	CDS_INIT_LIST_HEAD(&w->finished);
	w->running = 0;
	w->max = max;
}

static void *
worker_main(void *arg)
{
	struct worker *k = arg;
	struct mu_workers *w = k->set;

	k->fn(k->arg);
	pthread_mutex_lock(&w->lock);
	cds_list_add_tail(&k->node, &w->finished);
	w->running--;
	pthread_cond_signal(&w->worker_finished);
	pthread_mutex_unlock(&w->lock);
	return NULL;
}

/* Joins one finished thread; false if there is none. */
static bool
join_finished(struct mu_workers *w)
{
	struct worker *k = NULL;

	pthread_mutex_lock(&w->lock);
	if (!cds_list_empty(&w->finished)) {
		k = cds_list_first_entry(&w->finished, struct worker, node);
		cds_list_del(&k->node);
	}
	pthread_mutex_unlock(&w->lock);
	if (k == NULL)
		return false;
	pthread_join(k->thread, NULL);
	free(k);
	return true;
}

int
mu_workers_start(struct mu_workers *w, void (*fn)(void *arg), void *arg)
{
	struct worker *k;
	int rc = 0;

	while (join_finished(w))
		continue;
	k = calloc(1, sizeof(*k));
	if (k == NULL)
		return MU_E_NOMEM;
	k->set = w;
	k->fn = fn;
	k->arg = arg;
	/* join_finished() reads k->thread, so hold the lock until it is set. */
	pthread_mutex_lock(&w->lock);
	if (w->running >= w->max)
		rc = MU_E_OVERLOADED;
	else if (pthread_create(&k->thread, NULL, worker_main, k) != 0)
		rc = MU_E_SYSTEM;
	else
		w->running++;
	pthread_mutex_unlock(&w->lock);
	if (rc != 0)
		free(k);
	return rc;
}

void
mu_workers_join(struct mu_workers *w)
{
	bool unfinished = true;

	while (unfinished) {
		while (join_finished(w))
			continue;
		pthread_mutex_lock(&w->lock);
		while (w->running > 0 && cds_list_empty(&w->finished))
			pthread_cond_wait(&w->worker_finished, &w->lock);
		unfinished = w->running > 0 || !cds_list_empty(&w->finished);
		pthread_mutex_unlock(&w->lock);
	}
	pthread_cond_destroy(&w->worker_finished);
	pthread_mutex_destroy(&w->lock);
}

bool
mu_cond_wait_until(pthread_cond_t *c, pthread_mutex_t *m, mu_us deadline)
{
	mu_us left = deadline - mu_net_now();
	struct timespec ts;
	mu_us at;

	if (left <= 0)
		return false;
	if (left > COND_WAIT_MAX_US)
		left = COND_WAIT_MAX_US;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	at = (mu_us)ts.tv_sec * MU_US_PER_S + ts.tv_nsec / 1000 + left;
	ts.tv_sec = at / MU_US_PER_S;
	ts.tv_nsec = (at % MU_US_PER_S) * 1000;
	(void)pthread_cond_timedwait(c, m, &ts);
	return true;
}
