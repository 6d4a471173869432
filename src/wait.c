/*
 * wait.c -- timed waits on the monotonic clock.
 *
 * By default a condition variable waits on the realtime clock, so setting the
 * host's clock would lengthen or shorten the wait.
 */
#include "wait.h"

#define NS_PER_S 1000000000L
#define NS_PER_MS 1000000L

void
mu_cond_init(pthread_cond_t *c)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(c, &attr);
	pthread_condattr_destroy(&attr);
}

void
mu_time_after(struct timespec *ts, uint32_t ms)
{
	clock_gettime(CLOCK_MONOTONIC, ts);
	ts->tv_sec += ms / 1000;
	ts->tv_nsec += (long)(ms % 1000) * NS_PER_MS;
	if (ts->tv_nsec >= NS_PER_S) {
		ts->tv_sec++;
		ts->tv_nsec -= NS_PER_S;
	}
}

void
mu_sleep_ms(uint32_t ms)
{
	struct timespec ts = {ms / 1000, (long)(ms % 1000) * NS_PER_MS};

	(void)nanosleep(&ts, NULL);
}
