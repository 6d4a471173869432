/*
 * rpc.c -- HTTP requests to the operators' ports.
 *
 * A GET is sent to each port in turn until one responds.  A change carries a
 * token or is idempotent, so when its response is lost the same request is
 * retried, on another port first, until a daemon reports the result.  Only
 * this retry loop can return an unknown result.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ctl.h"
#include "toolhttp.h"

#define CONNECT_TIMEOUT_S 2
#define READ_TIMEOUT_S 10
#define DEFAULT_RETRY_DELAY_MS 250 /* without retry_after_ms */
#define MAX_RETRY_DELAY_MS 5000
#define TARGET_BYTES 64

static void
print_error(struct ctl *c, const char *addr, int http, const json_t *body)
{
	struct mu_tool_error e;

	mu_tool_parse_error(body, &e);
	(void)fprintf(c->err, "musherctl: %s: %d ", addr, http);
	ctl_puts(c->err, e.type[0] != '\0' ? e.type : "error");
	(void)fputs(": ", c->err);
	ctl_puts(c->err, e.message);
	(void)fputc('\n', c->err);
}

static void
send_request(struct ctl *c, const char *addr, const char *method,
    const char *target, const char *body, struct mu_tool_res *r)
{
	struct mu_tool_req q = {.addr = addr,
	    .method = method,
	    .target = target,
	    .key = c->key,
	    .body = body,
	    .connect_timeout_s = CONNECT_TIMEOUT_S,
	    .read_timeout_s = READ_TIMEOUT_S};

	mu_tool_run(&q, r);
	if (r->result != MU_TOOL_ANSWERED)
		(void)fprintf(c->err, "musherctl: %s\n", r->problem);
}

/* With not_found_ok, a 404 returns CTL_OK and no body. */
static int
get_from_port(struct ctl *c, const char *addr, const char *target,
    bool not_found_ok, json_t **body)
{
	struct mu_tool_res r;
	int rc = CTL_FAILED;

	*body = NULL;
	send_request(c, addr, "GET", target, NULL, &r);
	if (r.result != MU_TOOL_ANSWERED) {
		mu_tool_clear(&r);
		return CTL_UNREACHABLE;
	}
	*body = mu_tool_json(&r);
	if (r.status / 100 == 2 && *body != NULL) {
		rc = CTL_OK;
	} else if (r.status == 404 && not_found_ok) {
		json_decref(*body);
		*body = NULL;
		rc = CTL_OK;
	} else if (r.status == 503) {
		rc = CTL_UNREACHABLE;
	}
	if (rc != CTL_OK)
		print_error(c, addr, r.status, *body);
	mu_tool_clear(&r);
	return rc;
}

static int
get_from_any_port(
    struct ctl *c, const char *target, bool not_found_ok, json_t **body)
{
	unsigned i;
	int rc = CTL_UNREACHABLE;

	*body = NULL;
	if (ctl_load_environment(c) != CTL_OK)
		return CTL_USAGE;
	for (i = 0; i < c->noperator_addrs && rc == CTL_UNREACHABLE; i++) {
		json_decref(*body);
		rc = get_from_port(
		    c, c->operator_addrs[i], target, not_found_ok, body);
	}
	return rc;
}

int
ctl_get_from_port(
    struct ctl *c, const char *addr, const char *target, json_t **body)
{
	return get_from_port(c, addr, target, false, body);
}

int
ctl_get(struct ctl *c, const char *target, json_t **body)
{
	return get_from_any_port(c, target, false, body);
}

int
ctl_get_config(struct ctl *c, long long version, json_t **config)
{
	char target[TARGET_BYTES] = "/v1/config";
	int rc;

	if (version >= 0)
		(void)snprintf(
		    target, sizeof(target), "/v1/config?version=%lld", version);
	rc = get_from_any_port(c, target, version < 0, config);
	/* No version was accepted yet: version 0 is the empty text. */
	if (rc == CTL_OK && *config == NULL)
		*config = json_pack("{s:i,s:s,s:s,s:i}", "version", 0, "text",
		    "", "by", "", "in_force", 0);
	return rc;
}

enum attempt_result {
	ATTEMPT_FINAL, /* the response decides; no retry */
	ATTEMPT_NOT_RUN, /* took no effect */
	ATTEMPT_UNKNOWN /* may have taken effect */
};

static enum attempt_result
post_attempt(struct ctl *c, const char *addr, const char *target,
    const char *text, int *http, json_t **body, uint32_t *delay_ms)
{
	enum attempt_result result = ATTEMPT_FINAL;
	struct mu_tool_res r;
	struct mu_tool_error e;

	*delay_ms = DEFAULT_RETRY_DELAY_MS;
	json_decref(*body);
	*body = NULL;
	send_request(c, addr, "POST", target, text, &r);
	*http = r.result == MU_TOOL_ANSWERED ? r.status : 0;
	if (r.result == MU_TOOL_UNREACHABLE)
		result = ATTEMPT_NOT_RUN;
	else if (r.result == MU_TOOL_INCOMPLETE)
		result = ATTEMPT_UNKNOWN;
	else
		*body = mu_tool_json(&r);
	if (*http >= 500) {
		mu_tool_parse_error(*body, &e);
		result = strcmp(e.outcome, "not_run") == 0 ? ATTEMPT_NOT_RUN
							   : ATTEMPT_UNKNOWN;
		if (e.retry_after_ms > 0)
			*delay_ms = e.retry_after_ms;
		print_error(c, addr, *http, *body);
	}
	mu_tool_clear(&r);
	return result;
}

/* Sleeps before a retry; false if that would pass the deadline. */
static bool
wait_before_retry(uint32_t ms, mu_us deadline)
{
	struct mu_clock clock;

	mu_clock_real(&clock);
	if (ms > MAX_RETRY_DELAY_MS)
		ms = MAX_RETRY_DELAY_MS;
	if (mu_now(&clock) + (mu_us)ms * MU_US_PER_MS >= deadline)
		return false;
	(void)usleep(ms * 1000);
	return true;
}

int
ctl_post(struct ctl *c, const char *target, const json_t *request,
    unsigned timeout_s, int *http, json_t **body)
{
	char *text;
	bool may_have_run = false, answered = false;
	struct mu_clock clock;
	enum attempt_result result;
	uint32_t delay_ms;
	unsigned i = 0;
	mu_us deadline;

	*body = NULL;
	*http = 0;
	if (ctl_load_environment(c) != CTL_OK)
		return CTL_USAGE;
	text = json_dumps(request, JSON_COMPACT);
	if (text == NULL)
		return CTL_FAILED;
	mu_clock_real(&clock);
	deadline = mu_now(&clock) + (mu_us)timeout_s * MU_US_PER_S;
	do {
		result =
		    post_attempt(c, c->operator_addrs[i++ % c->noperator_addrs],
			target, text, http, body, &delay_ms);
		may_have_run |= result == ATTEMPT_UNKNOWN;
		answered |= *http != 0;
		/* Wait only after every port was tried. */
		if (i % c->noperator_addrs != 0)
			delay_ms = 0;
	} while (
	    result != ATTEMPT_FINAL && wait_before_retry(delay_ms, deadline));
	free(text);
	if (result != ATTEMPT_FINAL) {
		if (may_have_run)
			return CTL_RESULT_UNKNOWN;
		return answered ? CTL_FAILED : CTL_UNREACHABLE;
	}
	if (*http / 100 == 2 && *body != NULL)
		return CTL_OK;
	if (*http == 409)
		return CTL_CONFLICT;
	print_error(
	    c, c->operator_addrs[(i - 1) % c->noperator_addrs], *http, *body);
	/* A text that is invalid (422) was so in earlier attempts as well; a
	 * rejected key, for example, says nothing about them. */
	if (may_have_run && *http != 422)
		return CTL_RESULT_UNKNOWN;
	return CTL_FAILED;
}
