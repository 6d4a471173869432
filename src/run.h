/*
 * run.h -- execution of one call at the owner of its program.
 */
#ifndef MU_RUN_H
#define MU_RUN_H

#include "callreq.h"
#include "daemon.h"
#include "textlog.h"

struct mu_run {
	struct mu_daemon *d;
	/* The call, fixed when the run starts. */
	unsigned slot;
	uint64_t epoch;
	char program[MU_ID_LEN + 1];
	char caller[MU_NAME_LEN];
	struct mu_callreq call;
	struct mu_bd_text *text;
	const struct mu_service *service; /* points into text */
	bool repeatable; /* idempotent: may be sent more than once */
	uint64_t fingerprint;
	mu_us deadline;
	mu_us started_at;
	/* State of the program when the call started. */
	json_t *input; /* sent to the endpoint: history, then new messages */
	uint64_t prompt_tokens;
	char home[MU_ADDR_LEN]; /* endpoint that caches the prefix; or empty */
	uint64_t home_tokens; /* tokens of that prefix */
	mu_us home_idle; /* time since the program's last call */
	uint64_t attained; /* tokens that the program has used */
	uint32_t prior_turns;
	/* Progress. */
	struct mu_stream *stream;
	struct mu_textlog log;
	struct mu_amount granted; /* reserved from the budget */
	struct mu_amount failed_usage; /* of attempts without an answer */
	struct mu_bd_endpoint *failed_endpoints[MU_DISPATCH_EXCLUDED_MAX];
	unsigned nfailed_endpoints;
	uint32_t attempts;
	bool may_have_run; /* an endpoint may have executed an attempt */
	bool intent_durable; /* an intent is committed and not dropped */
	bool cancelled; /* atomic: the program was ended */
	json_t *attempt_log; /* array, one object for each attempt */
};

/*
 * Prepares the program's next call.  The slot's lock must be held and no other
 * run be registered in the program.  On success the run is registered as
 * p->run and owns the contents of call; on an error nothing has run.
 */
int mu_run_new(struct mu_daemon *d, struct mu_slot *slot, struct mu_program *p,
    struct mu_callreq *call, const char *caller, mu_us deadline,
    struct mu_run **out, struct mu_error *e);
/*
 * Starts the thread, which ends the stream and frees the run.  The slot's lock
 * must be held.  On an error the run has been unregistered and freed.
 */
int mu_run_start(struct mu_run *r, struct mu_slot *slot);
/* Time until the deadline, 0 when it has passed. */
mu_us mu_run_time_left(const struct mu_run *r);

#endif
