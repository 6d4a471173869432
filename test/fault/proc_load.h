/*
 * proc_load.h -- callers that make calls one after another during faults.
 *
 * Half of them call the model, half the plain service's reprint, which is
 * non-idempotent.  A call is sent to the daemons in turn until its outcome is
 * final.
 */
#ifndef PROC_LOAD_H
#define PROC_LOAD_H

#include <pthread.h>

#include "proc.h"
#include "proc_call.h"

#define LOAD_CALLERS 6

struct load {
	pthread_t thread;
	struct cluster *c;
	int index;
	bool stop; /* atomic */
	int done; /* calls with a final outcome; atomic */
	int unknown; /* of these, permanently unknown outcomes */
	int unexpected; /* errors without the outcome "not_run" */
	int incomplete; /* requests sent without a complete response */
	char first_unexpected[256]; /* the first unexpected response */
	char id[CALL_ID_LEN];
};

enum load_check {
	LOAD_STRICT, /* every call is done; only refusals may precede it */
	LOAD_ALLOW_FAILURES /* daemons were killed or frozen during the load */
};

void load_start(struct load l[LOAD_CALLERS], struct cluster *c);
/* Waits until each caller has completed two more calls. */
void load_until_progress(struct load l[LOAD_CALLERS]);
/*
 * Stops the load and checks that every answer is stored, in order, and that
 * each non-idempotent call was executed at most once, and exactly once if an
 * answer is stored for it.
 */
void
load_end(struct load l[LOAD_CALLERS], struct cluster *c, enum load_check check);

#endif
