/*
 * platprivate.h -- what platform.c and platobject.c share.
 */
#ifndef MU_PLATPRIVATE_H
#define MU_PLATPRIVATE_H

#include "http.h"
#include "platform.h"

struct mu_platform {
	char addr[MU_ADDR_LEN];
	uint32_t timeout_ms;
};

/* Runs one request under the platform's timeout. */
void mu_plat_request(const struct mu_platform *p, const char *method,
    const char *target, const char *type, const void *body, size_t len,
    size_t max, struct mu_http_response *r);
/* A failed request as an error; a read never takes effect. */
int
mu_plat_error(struct mu_error *e, const struct mu_http_response *r, bool write);
int mu_plat_nomem(struct mu_error *e);

#endif
