/*
 * proc_load.h -- callers that make one call after the other, whatever fails.
 *
 * Half of them call the model, half the plain service's reprint, which may
 * not be repeated.  A call is sent to one daemon after the other until it has
 * its final answer.
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
	int done; /* calls with a final answer; atomic */
	int unknown; /* those of them whose outcome is unknown for good */
	int unexpected; /* errors that were not a typed "not run" */
	int incomplete; /* requests that were sent and got no whole answer */
	char first_unexpected[256]; /* the first wrong one */
	char id[CALL_ID_LEN];
};

enum load_check {
	LOAD_STRICT, /* every call is done, with refusals at most before it */
	LOAD_KILLS /* daemons were killed or frozen meanwhile */
};

void load_start(struct load l[LOAD_CALLERS], struct cluster *c);
/* Waits until each caller has had two more answers. */
void load_moves(struct load l[LOAD_CALLERS]);
/*
 * Ends the load.  Every answer is stored, in order, and what may not be
 * repeated ran at most once, and once if its caller was told so.
 */
void
load_end(struct load l[LOAD_CALLERS], struct cluster *c, enum load_check check);

#endif
