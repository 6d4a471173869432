/*
 * callgate.c -- whether a request may run: its customer's key and rate limit.
 *
 * A key is judged by the configuration version that also routes the request,
 * and again by the version in force whenever the request is sent to an
 * endpoint, since it may have been queued meanwhile.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call_private.h"
#include "log.h"
#include "metric.h"
#include "scope.h"

#define RETRY_AFTER_OLD_CONFIG_MS 500

static void
set_scoped_ids(struct mu_call *c)
{
	const char *name = c->customer != NULL ? c->customer->name : NULL;

	c->turn_id = mu_scope_id(c->arena, name, c->req.id);
	c->program_id = c->req.program != NULL
			    ? mu_scope_id(c->arena, name, c->req.program)
			    : NULL;
	c->previous_id = c->req.previous != NULL
			     ? mu_scope_id(c->arena, name, c->req.previous)
			     : NULL;
	if (c->turn_id == NULL ||
	    (c->req.program != NULL && c->program_id == NULL) ||
	    (c->req.previous != NULL && c->previous_id == NULL))
		abort();
}

static bool
too_long(const char *id)
{
	return id != NULL && strlen(id) > MU_CALL_ID_BYTES;
}

/* Refuses a request whose key is missing or unknown.  A key may have been added
 * by a version that this daemon has not seen. */
static void
refuse_key(struct mu_call *c, mu_us age)
{
	mu_count(MU_M_KEYS_REFUSED, 1);
	if (age > c->s->conf.config_fresh_ms * MU_US_PER_MS)
		mu_call_end_with_error(
		    c, 503, RETRY_AFTER_OLD_CONFIG_MS, "configuration_too_old");
	else
		mu_call_end_with_error(
		    c, 401, 0, c->req.key != NULL ? "unknown_key" : "no_key");
}

bool
mu_call_identify(struct mu_call *c)
{
	mu_us age = mu_serve_config_age(c->s);
	mu_us trust = c->s->conf.key_trust_ms * MU_US_PER_MS;

	if (c->routes->customers != NULL && !c->route->is_public) {
		if (c->req.key != NULL)
			c->customer = mu_customers_by_key(
			    c->routes->customers, c->req.key);
		if (c->customer == NULL) {
			refuse_key(c, age);
			return false;
		}
		if (trust > 0 && age > trust) {
			mu_call_end_with_error(c, 503,
			    RETRY_AFTER_OLD_CONFIG_MS, "configuration_too_old");
			return false;
		}
	}
	set_scoped_ids(c);
	if (!too_long(c->turn_id) && !too_long(c->program_id) &&
	    !too_long(c->previous_id))
		return true;
	mu_call_end_with_error(c, 400, 0, "id_too_long");
	return false;
}

bool
mu_call_key_valid(const struct mu_call *c)
{
	const struct mu_customers *t = c->s->routes->customers;
	const struct mu_customer *now;

	if (c->customer == NULL || c->routes == c->s->routes || t == NULL)
		return true;
	now = mu_customers_by_key(t, c->req.key);
	return now != NULL && strcmp(now->name, c->customer->name) == 0;
}

static void
on_token(void *arg, const struct mu_limit_result *r)
{
	struct mu_call *c = arg;
	bool taken = r->status == MU_LIMIT_ADMITTED ||
		     r->status == MU_LIMIT_ADMITTED_STARTED;

	c->holds_token = taken;
	if (c->closed || c->state != ST_PREPARING) {
		mu_call_return_token(c); /* the call ended meanwhile */
		mu_call_unref(c);
		return;
	}
	c->only_started = r->status == MU_LIMIT_ADMITTED_STARTED;
	c->limit_retry_ms = r->retry_after_ms;
	if (taken) {
		mu_call_admitted(c);
	} else if (r->status == MU_LIMIT_REFUSED) {
		mu_count(MU_M_LIMITED, 1);
		mu_call_end_with_error(
		    c, 429, r->retry_after_ms, "rate_limited");
	} else {
		mu_call_end_with_error(
		    c, 503, r->retry_after_ms, "rate_limit_unavailable");
	}
	mu_call_unref(c);
}

static enum mu_rate_kind
rate_kind(const struct mu_call *c)
{
	if (c->req.program == NULL)
		return MU_RATE_SINGLE;
	return c->req.has_budget && c->req.previous == NULL
		   ? MU_RATE_MAY_START
		   : MU_RATE_IN_PROGRAM;
}

void
mu_call_take_token(struct mu_call *c)
{
	c->state = ST_PREPARING;
	c->references++;
	mu_limiter_take(c->s->limiter, c->customer, rate_kind(c), on_token, c);
}

void
mu_call_return_token(struct mu_call *c)
{
	if (c->holds_token && c->customer->rate > 0)
		mu_limiter_refund(c->s->limiter, c->customer->name);
	c->holds_token = false;
}

void
mu_call_turn_reserved(struct mu_call *c)
{
	if (c->customer != NULL && c->customer->rate > 0 && c->grant.first_turn)
		mu_limiter_program_started(c->s->limiter, c->customer->name);
}
