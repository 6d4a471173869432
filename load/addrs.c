/*
 * addrs.c -- which address to use, as a caller decides it.
 *
 * A daemon's answer is kept for its ttl.  After a failure the next address of
 * it is used; the addresses from the command line come after those, as a
 * caller keeps what it was set up with.
 */
#include <string.h>

#include "load.h"

#define CONNECT_S 2
#define READ_S 5
#define TARGET_BYTES 256
#define DEFAULT_TTL_MS 5000

void
load_addrs_init(struct load_addrs *a, const struct load_opts *opts,
    struct load_tally *t, unsigned start)
{
	memset(a, 0, sizeof(*a));
	a->opts = opts;
	a->tally = t;
	a->at = start;
	mu_clock_real(&a->clock);
}

static void
add(struct load_addrs *a, const char *addr)
{
	unsigned i;

	for (i = 0; i < a->n; i++)
		if (strcmp(a->addr[i], addr) == 0)
			return;
	if (a->n < LOAD_ADDRESSES_MAX)
		(void)snprintf(a->addr[a->n++], MU_ADDR_LEN, "%s", addr);
}

/* Uses the addresses from the command line until a daemon names others. */
static void
use_options(struct load_addrs *a)
{
	unsigned i;

	a->n = 0;
	for (i = 0; i < a->opts->naddress; i++)
		add(a, a->opts->address[i]);
	a->expires = 0;
}

void
load_addrs_take(struct load_addrs *a, const json_t *answer)
{
	json_t *list = json_object_get(answer, "addresses");
	json_t *ttl = json_object_get(answer, "ttl_ms");
	json_t *v;
	size_t i;

	if (json_array_size(list) == 0)
		return;
	a->n = 0;
	a->at = 0;
	json_array_foreach (list, i, v) {
		if (json_is_string(v))
			add(a, json_string_value(v));
	}
	for (i = 0; i < a->opts->naddress; i++)
		add(a, a->opts->address[i]);
	a->expires =
	    mu_now(&a->clock) + MU_US_PER_MS * (json_is_integer(ttl)
						       ? json_integer_value(ttl)
						       : DEFAULT_TTL_MS);
}

static const char *
current(const struct load_addrs *a)
{
	return a->n > 0 ? a->addr[a->at % a->n] : a->opts->address[0];
}

/* Asks the address in use; false when it does not answer. */
static bool
refresh(struct load_addrs *a, const char *program)
{
	char target[TARGET_BYTES] = "/v1/addresses";
	struct mu_tool_req q = {.addr = current(a),
	    .method = "GET",
	    .target = target,
	    .key = a->opts->key,
	    .connect_timeout_s = CONNECT_S,
	    .read_timeout_s = READ_S};
	struct mu_tool_res r;
	json_t *answer = NULL;

	if (program != NULL)
		(void)snprintf(target, sizeof(target),
		    "/v1/addresses?program=%s", program);
	mu_tool_run(&q, &r);
	if (r.result == MU_TOOL_ANSWERED && r.status == 200)
		answer = mu_tool_json(&r);
	mu_tool_clear(&r);
	if (answer == NULL)
		return false;
	load_addrs_take(a, answer);
	json_decref(answer);
	return true;
}

const char *
load_addrs_get(struct load_addrs *a, const char *program)
{
	unsigned tries;

	if (a->n == 0)
		use_options(a);
	for (tries = 0; tries < a->n && mu_now(&a->clock) >= a->expires;
	     tries++)
		if (!refresh(a, program))
			load_addrs_next(a);
	return current(a);
}

void
load_addrs_next(struct load_addrs *a)
{
	a->at++;
	/* All have failed once: what they were told may be out of date. */
	if (a->n > 0 && a->at >= a->n)
		a->expires = 0;
}
