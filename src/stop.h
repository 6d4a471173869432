/*
 * stop.h -- a planned stop: which requests are still accepted, and when the
 * daemon may exit.
 *
 * Callers cache an address and use open connections for a while, so the daemon
 * keeps serving until they have had time to move away and no request has been
 * in progress for MU_STOP_IDLE_US.  Then it stops listening, serves what comes
 * on open connections for as long again, and exits.  It exits before the
 * platform would kill it, and no request may be in progress then.  So it
 * accepts only requests whose time ends before that; what is left then, from
 * before the stop, gets its final answer.
 *
 * Turns at other daemons may have reserved their budget here (home.c).  The
 * exit waits until they have settled and the rest is returned to the store, as
 * what a daemon that is gone has drawn is lost to the programs.  Pure
 * functions.
 */
#ifndef MU_STOP_H
#define MU_STOP_H

#include "musher.h"

/* The poll interval, and how long before a poll the last request must have been
 * seen in progress for the daemon to exit. */
#define MU_STOP_IDLE_US (100 * MU_US_PER_MS)

struct mu_stop {
	mu_us began; /* 0: the daemon is not draining */
	mu_us idle_since; /* no request, and all settled, since then */
	mu_us moved_by; /* callers may still arrive until then */
	mu_us closed_at; /* told to stop listening; 0: not yet */
	bool ended; /* told to give requests their final answer */
	mu_us answer_by; /* every request has its final answer by then */
	mu_us exit_by; /* exit even if answers have not been sent */
};

enum mu_stop_step {
	MU_STOP_SERVE,
	MU_STOP_CLOSE, /* stop listening */
	MU_STOP_END_REQUESTS, /* give those in progress their final answer */
	MU_STOP_EXIT
};

/* Callers cache an address for address_ttl_ms; the platform kills the process
 * after stop_ms. */
void mu_stop_begin(
    struct mu_stop *s, mu_us now, uint32_t address_ttl_ms, uint32_t stop_ms);
/* Whether a request that has its final answer by deadline may be accepted. */
bool mu_stop_accepts(const struct mu_stop *s, mu_us deadline);
/* What to do now, with this number of requests in progress; settled: no budget
 * is reserved or left to be returned. */
enum mu_stop_step
mu_stop_poll(struct mu_stop *s, mu_us now, unsigned requests, bool settled);
/* When to poll next. */
mu_us mu_stop_next_poll(const struct mu_stop *s, mu_us now);

#endif
