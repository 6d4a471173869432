/*
 * run.h -- one call in progress at its owner.
 */
#ifndef MU_RUN_H
#define MU_RUN_H

#include "callreq.h"
#include "daemon.h"
#include "textlog.h"

struct mu_run {
	struct mu_daemon *d;
	/* The call. */
	unsigned slot;
	uint64_t epoch;
	char program[MU_ID_LEN + 1];
	char caller[MU_NAME_LEN];
	struct mu_callreq call;
	struct mu_bd_text *text;
	const struct mu_service *service; /* in text */
	bool repeatable;
	uint64_t fingerprint;
	mu_us deadline;
	mu_us started_at;
	/* The program as it was when the call started. */
	json_t *input; /* for the endpoint: with the history before it */
	uint64_t prompt_tokens;
	char home[MU_ADDR_LEN];
	uint64_t home_tokens;
	mu_us home_idle;
	uint64_t attained;
	uint32_t prior_turns;
	/* Progress. */
	struct mu_stream *stream;
	struct mu_textlog log;
	struct mu_amount granted;
	struct mu_amount failed_usage; /* by attempts that gave no answer */
	struct mu_bd_endpoint *failed_endpoints[MU_ASK_TRIED];
	unsigned nfailed_endpoints;
	uint32_t attempts;
	bool may_have_run; /* an attempt may have run */
	bool intent_durable; /* an intent is durable */
	bool cancelled; /* atomic: the program was ended */
	json_t *attempt_log; /* list of attempts */
};

/*
 * Prepares a call; the slot's lock is held and it is the program's turn.
 * Errors mean not run.  On success the run has the program's run place.
 */
int mu_run_new(struct mu_daemon *d, struct mu_slot *slot, struct mu_program *p,
    struct mu_callreq *call, const char *caller, mu_us deadline,
    struct mu_run **out, struct mu_error *e);
/*
 * Starts its thread, which ends the stream and frees the run.  On an error the
 * run is gone and its place is free; the slot's lock is held.
 */
int mu_run_start(struct mu_run *r, struct mu_slot *slot);
/* Time until its deadline, 0 when it has passed. */
mu_us mu_run_time_left(const struct mu_run *r);

#endif
