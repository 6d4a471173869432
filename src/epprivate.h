/*
 * epprivate.h -- what endpoint.c and eporder.c share.
 */
#ifndef MU_EPPRIVATE_H
#define MU_EPPRIVATE_H

#include "endpoint.h"
#include "http.h"

/* The type of failure of a request that got no whole answer. */
enum mu_errtype mu_ep_transport_error(const struct mu_http_response *h);
/* The type of a whole answer whose status is not 200. */
enum mu_errtype mu_ep_status_error(int status);
/* A count; false when the member is missing, negative or no integer. */
bool mu_ep_get_count(const json_t *j, const char *name, uint64_t *n);
/* A string member, or NULL. */
const char *mu_ep_get_string(const json_t *j, const char *name);

#endif
