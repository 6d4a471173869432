/*
 * fuzz_callreq.c -- bodies of call and create requests.
 *
 * Any input parses or returns a typed error.  The same input gives the same
 * hash, which identifies a call.
 */
#include <stdlib.h>
#include <string.h>

#include "callreq.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check_error(int rc, const struct mu_error *e)
{
	if (rc <= 0 || rc >= MU_E_COUNT || e->message[0] == '\0' ||
	    e->outcome != MU_OUTCOME_NOT_RUN)
		abort();
}

static void
check_call(const char *body, size_t len)
{
	struct mu_callreq first = {0}, second = {0};
	struct mu_error e = {0};
	int rc;

	rc = mu_callreq_parse(&first, body, len, &e);
	if (rc != 0) {
		check_error(rc, &e);
		return;
	}
	if (first.service == NULL || first.seq == 0 ||
	    mu_callreq_parse(&second, body, len, &e) != 0 ||
	    strcmp(first.hash, second.hash) != 0)
		abort();
	(void)mu_callreq_messages(&first);
	(void)mu_callreq_operation(&first);
	mu_callreq_clear(&first);
	mu_callreq_clear(&second);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *body = (const char *)data;
	struct mu_createreq c = {0};
	struct mu_error e = {0};
	int rc;

	check_call(body, size);
	rc = mu_createreq_parse(&c, body, size, &e);
	if (rc != 0)
		check_error(rc, &e);
	return 0;
}
