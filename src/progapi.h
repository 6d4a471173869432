/*
 * progapi.h -- program requests at the owner: create, end, get, explain.
 */
#ifndef MU_PROGAPI_H
#define MU_PROGAPI_H

#include "daemon.h"

/* The request's program; NULL with MU_E_NOT_FOUND if there is none or it
 * belongs to another customer. */
struct mu_program *mu_progapi_find(
    struct mu_slot *slot, const struct mu_req *r, struct mu_error *e);
/* Appends a record to the journal and applies it; the slot's lock must be held.
 * Consumes the reference to record.  NULL with e if the journal refuses it. */
struct mu_ticket *mu_progapi_append(struct mu_daemon *d, struct mu_slot *slot,
    json_t *record, enum mu_ticket_policy policy, struct mu_error *e);

/* Handlers.  Each ends the stream; those with a slot release its lock. */
void mu_progapi_create(
    struct mu_daemon *d, const struct mu_req *r, struct mu_stream *s);
void mu_progapi_end(struct mu_daemon *d, struct mu_slot *slot,
    const struct mu_req *r, struct mu_stream *s);
void mu_progapi_get(
    struct mu_slot *slot, const struct mu_req *r, struct mu_stream *s);
/* For operators: finds programs of all customers. */
void mu_progapi_explain(struct mu_daemon *d, struct mu_slot *slot,
    const struct mu_req *r, struct mu_stream *s);

#endif
