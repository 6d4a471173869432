/*
 * addrs.c -- selection of the daemon address on the caller's side.
 *
 * The address list of a daemon is cached for its TTL.  After a failure the
 * next address is used.  The addresses from the command line stay at the end
 * of the list, as a caller also keeps its configured addresses.
 */
#include <string.h>

#include "load.h"

#define CONNECT_TIMEOUT_S 2
#define READ_TIMEOUT_S 5
#define TARGET_BYTES 256
#define DEFAULT_TTL_MS 5000

void
load_addrs_init(struct load_addrs *a, const struct load_opts *opts,
    struct load_tally *t, unsigned start)
{
	memset(a, 0, sizeof(*a));
	a->opts = opts;
	a->tally = t;
	a->current = start;
	mu_clock_real(&a->clock);
}

static void
add_unique(struct load_addrs *a, const char *addr)
{
	unsigned i;

	for (i = 0; i < a->naddr; i++)
		if (strcmp(a->addr[i], addr) == 0)
			return;
	if (a->naddr < LOAD_ADDRESSES_MAX)
		(void)snprintf(a->addr[a->naddr++], MU_ADDR_LEN, "%s", addr);
}

/* Uses the addresses from the command line until a daemon returns a list. */
static void
use_option_addresses(struct load_addrs *a)
{
	unsigned i;

	a->naddr = 0;
	for (i = 0; i < a->opts->naddress; i++)
		add_unique(a, a->opts->address[i]);
	a->expires_at = 0;
}

void
load_addrs_update(struct load_addrs *a, const json_t *answer)
{
	json_t *list = json_object_get(answer, "addresses");
	json_t *ttl = json_object_get(answer, "ttl_ms");
	json_t *v;
	size_t i;

	if (json_array_size(list) == 0)
		return;
	a->naddr = 0;
	a->current = 0;
	json_array_foreach (list, i, v) {
		if (json_is_string(v))
			add_unique(a, json_string_value(v));
	}
	for (i = 0; i < a->opts->naddress; i++)
		add_unique(a, a->opts->address[i]);
	a->expires_at =
	    mu_now(&a->clock) + MU_US_PER_MS * (json_is_integer(ttl)
						       ? json_integer_value(ttl)
						       : DEFAULT_TTL_MS);
}

static const char *
current_address(const struct load_addrs *a)
{
	return a->naddr > 0 ? a->addr[a->current % a->naddr]
			    : a->opts->address[0];
}

/* Queries the current address for the list; false if it does not answer. */
static bool
refresh(struct load_addrs *a, const char *program)
{
	char target[TARGET_BYTES] = "/v1/addresses";
	struct mu_tool_req q = {.addr = current_address(a),
	    .method = "GET",
	    .target = target,
	    .key = a->opts->key,
	    .connect_timeout_s = CONNECT_TIMEOUT_S,
	    .read_timeout_s = READ_TIMEOUT_S};
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
	load_addrs_update(a, answer);
	json_decref(answer);
	return true;
}

const char *
load_addrs_get(struct load_addrs *a, const char *program)
{
	unsigned tries;

	if (a->naddr == 0)
		use_option_addresses(a);
	for (tries = 0; tries < a->naddr && mu_now(&a->clock) >= a->expires_at;
	     tries++)
		if (!refresh(a, program))
			load_addrs_fail_over(a);
	return current_address(a);
}

void
load_addrs_fail_over(struct load_addrs *a)
{
	a->current++;
	/* All addresses failed, so the list may be outdated. */
	if (a->naddr > 0 && a->current >= a->naddr)
		a->expires_at = 0;
}
