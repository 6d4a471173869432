/*
 * turn.h -- what a call leaves behind: its intent, its turn, its answer.
 *
 * Each function that ends the run also ends its stream and leaves the
 * program's run place; call exactly one of them.
 */
#ifndef MU_TURN_H
#define MU_TURN_H

#include "run.h"

/* Makes the intent durable before the first byte is sent.  Errors:
 * PLATFORM_DOWN and DEADLINE mean not run; NOT_OWNER. */
int mu_turn_commit_intent(
    struct mu_run *r, const struct mu_bd_endpoint *b, struct mu_error *e);
/* The call was not sent, and will not be under its intent. */
void mu_turn_drop_intent(struct mu_run *r);

/* Ends without a turn: the same seq may be sent again. */
void mu_turn_fail(struct mu_run *r, const struct mu_error *e);
/* Ends with the answer that endpoint home gave. */
void mu_turn_complete(
    struct mu_run *r, const struct mu_ep_result *res, const char *home);
/* It may have run and may not be repeated: that is its answer for good. */
void mu_turn_record_unknown(struct mu_run *r, const struct mu_error *e);
/* Ends a run that never started; the slot's lock is held. */
void mu_turn_release(struct mu_run *r, struct mu_slot *slot);

#endif
