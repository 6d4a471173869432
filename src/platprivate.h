/*
 * platprivate.h -- private interface of platform.c and platobject.c.
 */
#ifndef MU_PLATPRIVATE_H
#define MU_PLATPRIVATE_H

#include "http.h"
#include "platform.h"

struct mu_platform {
	char addr[MU_ADDR_LEN];
	uint32_t timeout_ms;
};

/* Sends one request; p's timeout applies to each step and to the total. */
void mu_plat_request(const struct mu_platform *p, const char *method,
    const char *target, const char *type, const void *body, size_t len,
    size_t max, struct mu_http_response *r);
/*
 * Reports a failed request.  A write that may have been sent has an unknown
 * outcome unless the platform answered 503; a read always counts as not run.
 */
int
mu_plat_error(struct mu_error *e, const struct mu_http_response *r, bool write);
int mu_plat_nomem(struct mu_error *e);

#endif
