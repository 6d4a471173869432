/*
 * rpc.c -- requests to the operators' ports.
 *
 * A GET goes to each port in turn until one answers.  A change carries a
 * token (or is idempotent), so after a lost answer the same request is sent
 * again, to another port first, until some daemon says what became of it.
 * Only that loop may end as "unknown".
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ctl.h"
#include "toolhttp.h"

#define CONNECT_S 2
#define READ_S 10
#define RETRY_MS 250 /* when the answer names no time */
#define RETRY_MAX_MS 5000
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
run(struct ctl *c, const char *addr, const char *method, const char *target,
    const char *body, struct mu_tool_res *r)
{
	struct mu_tool_req q = {.addr = addr,
	    .method = method,
	    .target = target,
	    .key = c->key,
	    .body = body,
	    .connect_timeout_s = CONNECT_S,
	    .read_timeout_s = READ_S};

	mu_tool_run(&q, r);
	if (r->result != MU_TOOL_ANSWERED)
		(void)fprintf(c->err, "musherctl: %s\n", r->problem);
}

/* Asks one port; a 404 gives CTL_OK and no body when absent_ok. */
static int
get_from(struct ctl *c, const char *addr, const char *target, bool absent_ok,
    json_t **body)
{
	struct mu_tool_res r;
	int rc = CTL_REFUSED;

	*body = NULL;
	run(c, addr, "GET", target, NULL, &r);
	if (r.result != MU_TOOL_ANSWERED) {
		mu_tool_clear(&r);
		return CTL_UNREACHABLE;
	}
	*body = mu_tool_json(&r);
	if (r.status / 100 == 2 && *body != NULL) {
		rc = CTL_OK;
	} else if (r.status == 404 && absent_ok) {
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
get_any(struct ctl *c, const char *target, bool absent_ok, json_t **body)
{
	unsigned i;
	int rc = CTL_UNREACHABLE;

	*body = NULL;
	if (ctl_ready(c) != CTL_OK)
		return CTL_USAGE;
	for (i = 0; i < c->noperators && rc == CTL_UNREACHABLE; i++) {
		json_decref(*body);
		rc = get_from(c, c->operators[i], target, absent_ok, body);
	}
	return rc;
}

int
ctl_get_from(struct ctl *c, const char *addr, const char *target, json_t **body)
{
	return get_from(c, addr, target, false, body);
}

int
ctl_get(struct ctl *c, const char *target, json_t **body)
{
	return get_any(c, target, false, body);
}

int
ctl_get_config(struct ctl *c, long long version, json_t **config)
{
	char target[TARGET_BYTES] = "/v1/config";
	int rc;

	if (version >= 0)
		(void)snprintf(
		    target, sizeof(target), "/v1/config?version=%lld", version);
	rc = get_any(c, target, version < 0, config);
	/* Nothing was accepted yet: version 0 is the empty text. */
	if (rc == CTL_OK && *config == NULL)
		*config = json_pack("{s:i,s:s,s:s,s:i}", "version", 0, "text",
		    "", "by", "", "in_force", 0);
	return rc;
}

/* What one attempt of a change came to. */
enum attempt {
	ATTEMPT_SETTLED,
	ATTEMPT_NOT_RUN, /* safe to give up on */
	ATTEMPT_UNKNOWN
};

static enum attempt
attempt(struct ctl *c, const char *addr, const char *target, const char *text,
    int *http, json_t **body, uint32_t *wait_ms)
{
	enum attempt a = ATTEMPT_SETTLED;
	struct mu_tool_res r;
	struct mu_tool_error e;

	*wait_ms = RETRY_MS;
	json_decref(*body);
	*body = NULL;
	run(c, addr, "POST", target, text, &r);
	*http = r.result == MU_TOOL_ANSWERED ? r.status : 0;
	if (r.result == MU_TOOL_UNREACHABLE)
		a = ATTEMPT_NOT_RUN;
	else if (r.result == MU_TOOL_INCOMPLETE)
		a = ATTEMPT_UNKNOWN;
	else
		*body = mu_tool_json(&r);
	if (*http >= 500) {
		mu_tool_parse_error(*body, &e);
		a = strcmp(e.outcome, "not_run") == 0 ? ATTEMPT_NOT_RUN
						      : ATTEMPT_UNKNOWN;
		if (e.retry_after_ms > 0)
			*wait_ms = e.retry_after_ms;
		print_error(c, addr, *http, *body);
	}
	mu_tool_clear(&r);
	return a;
}

/* Waits before the next round; false when the time is up. */
static bool
pause_round(uint32_t ms, mu_us end)
{
	struct mu_clock clock;

	mu_clock_real(&clock);
	if (ms > RETRY_MAX_MS)
		ms = RETRY_MAX_MS;
	if (mu_now(&clock) + (mu_us)ms * MU_US_PER_MS >= end)
		return false;
	(void)usleep(ms * 1000);
	return true;
}

int
ctl_post(struct ctl *c, const char *target, const json_t *request,
    unsigned timeout_s, int *http, json_t **body)
{
	char *text;
	bool unknown = false, sent = false;
	struct mu_clock clock;
	enum attempt a;
	uint32_t wait_ms;
	unsigned i = 0;
	mu_us end;

	*body = NULL;
	*http = 0;
	if (ctl_ready(c) != CTL_OK)
		return CTL_USAGE;
	text = json_dumps(request, JSON_COMPACT);
	if (text == NULL)
		return CTL_REFUSED;
	mu_clock_real(&clock);
	end = mu_now(&clock) + (mu_us)timeout_s * MU_US_PER_S;
	do {
		a = attempt(c, c->operators[i++ % c->noperators], target, text,
		    http, body, &wait_ms);
		unknown |= a == ATTEMPT_UNKNOWN;
		sent |= *http != 0;
		/* The pause comes after a round over all the ports. */
		if (i % c->noperators != 0)
			wait_ms = 0;
	} while (a != ATTEMPT_SETTLED && pause_round(wait_ms, end));
	free(text);
	if (a != ATTEMPT_SETTLED) {
		if (unknown)
			return CTL_UNKNOWN;
		return sent ? CTL_REFUSED : CTL_UNREACHABLE;
	}
	if (*http / 100 == 2 && *body != NULL)
		return CTL_OK;
	if (*http == 409)
		return CTL_CONFLICT;
	print_error(c, c->operators[(i - 1) % c->noperators], *http, *body);
	/* A refused key, say, tells nothing about an earlier attempt. */
	if (unknown && *http != 422)
		return CTL_UNKNOWN;
	return CTL_REFUSED;
}
