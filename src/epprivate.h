/*
 * epprivate.h -- private interface of endpoint.c and epcontrol.c.
 */
#ifndef MU_EPPRIVATE_H
#define MU_EPPRIVATE_H

#include "endpoint.h"
#include "http.h"

/* Error type of a request without a complete answer. */
enum mu_errtype mu_ep_transport_error(const struct mu_http_response *h);
/* Error type of a complete answer whose status is not 200. */
enum mu_errtype mu_ep_status_error(int status);
/* Reads a count; false if it is missing, negative or not an integer. */
bool mu_ep_get_count(const json_t *j, const char *name, uint64_t *n);
/* Returns a string member, or NULL; borrowed from j. */
const char *mu_ep_get_string(const json_t *j, const char *name);

#endif
