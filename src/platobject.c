/*
 * platobject.c -- client of the platform's object store.
 *
 * An object is written and read whole.  A write without a complete answer has
 * an unknown outcome; it is idempotent, so the caller may retry it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platprivate.h"

#define OBJECT_MAX_BYTES ((size_t)256 << 20)

/* Sends one object request; the caller checks the status of the answer. */
static int
object_request(struct mu_platform *p, const char *method, const char *name,
    const void *data, size_t len, struct mu_http_response *r,
    struct mu_error *e)
{
	char *esc = mu_http_escape(name);
	char *target = NULL;
	int rc = 0;

	memset(r, 0, sizeof(*r));
	if (asprintf(&target, "/objects/%s", esc) < 0) {
		target = NULL;
		rc = mu_plat_nomem(e);
		goto out;
	}
	mu_plat_request(p, method, target,
	    data != NULL ? "application/octet-stream" : NULL, data, len,
	    OBJECT_MAX_BYTES, r);
	if (r->result != MU_HTTP_COMPLETE)
		rc = mu_plat_error(e, r, strcmp(method, "GET") != 0);
out:
	free(target);
	free(esc);
	return rc;
}

int
mu_platform_put_object(struct mu_platform *p, const char *name,
    const void *data, size_t len, struct mu_error *e)
{
	struct mu_http_response r;
	int rc;

	rc = object_request(
	    p, "PUT", name, data != NULL ? data : "", len, &r, e);
	if (rc == 0 && r.status != 201 && r.status != 200)
		rc = mu_plat_error(e, &r, true);
	mu_http_response_clear(&r);
	return rc;
}

int
mu_platform_get_object(struct mu_platform *p, const char *name, char **data,
    size_t *len, struct mu_error *e)
{
	struct mu_http_response r;
	int rc;

	rc = object_request(p, "GET", name, NULL, 0, &r, e);
	if (rc != 0)
		goto out;
	if (r.status == 404) {
		rc = mu_fail(e, MU_E_NOT_FOUND, MU_OUTCOME_NOT_RUN, 0,
		    "no object %s", name);
	} else if (r.status != 200) {
		rc = mu_plat_error(e, &r, false);
	} else {
		*data = r.body != NULL ? r.body : calloc(1, 1);
		*len = r.body_len;
		r.body = NULL;
		rc = *data != NULL ? 0 : mu_plat_nomem(e);
	}
out:
	mu_http_response_clear(&r);
	return rc;
}

int
mu_platform_delete_object(
    struct mu_platform *p, const char *name, struct mu_error *e)
{
	struct mu_http_response r;
	int rc;

	rc = object_request(p, "DELETE", name, NULL, 0, &r, e);
	if (rc == 0 && r.status != 204 && r.status != 404)
		rc = mu_plat_error(e, &r, true);
	mu_http_response_clear(&r);
	return rc;
}
