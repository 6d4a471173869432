/*
 * wait.h -- timed waits on the monotonic clock.
 */
#ifndef MU_WAIT_H
#define MU_WAIT_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

/* Initializes c so that its timed waits use the monotonic clock. */
void mu_cond_init(pthread_cond_t *c);
/* Sets ts to ms from now, for pthread_cond_timedwait() on such a variable. */
void mu_time_after(struct timespec *ts, uint32_t ms);
/* For pauses that need no wakeup; a signal ends them early. */
void mu_sleep_ms(uint32_t ms);

#endif
