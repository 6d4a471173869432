/*
 * turn.h -- records and final answer of a call: its intent and its turn.
 *
 * An intent is the durable record that a non-idempotent call may have been
 * sent; a turn is the stored result of a call.
 *
 * mu_turn_fail(), mu_turn_complete() and mu_turn_record_unknown() end the run:
 * each ends its stream and unregisters it from the program.  Exactly one of
 * them must be called.
 */
#ifndef MU_TURN_H
#define MU_TURN_H

#include "run.h"

/*
 * Commits the intent; to be called before the first byte is sent.  Errors:
 * PLATFORM_DOWN and DEADLINE (not run), NOT_OWNER.
 */
int mu_turn_commit_intent(
    struct mu_run *r, const struct mu_bd_endpoint *b, struct mu_error *e);
/* Drops the intent of a call that was not sent and will not be under it. */
void mu_turn_drop_intent(struct mu_run *r);

/* Ends the run without a turn; the same seq may be sent again. */
void mu_turn_fail(struct mu_run *r, const struct mu_error *e);
/* Ends the run with the answer of the endpoint at address home. */
void mu_turn_complete(
    struct mu_run *r, const struct mu_ep_result *res, const char *home);
/* Ends a non-idempotent call that may have run: its turn stays "unknown". */
void mu_turn_record_unknown(struct mu_run *r, const struct mu_error *e);
/*
 * Unregisters the run from its program and returns its reservation.  The
 * slot's lock must be held; slot is NULL when the slot was lost.
 */
void mu_turn_release(struct mu_run *r, struct mu_slot *slot);

#endif
