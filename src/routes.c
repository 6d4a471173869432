/*
 * routes.c -- routing table: the route with the longest matching prefix wins.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "routes.h"

struct mu_routes *
mu_routes_ref(struct mu_routes *r)
{
	r->references++;
	return r;
}

static void
route_clear(struct mu_route *r)
{
	size_t i;

	for (i = 0; i < r->nshares; i++)
		free(r->shares[i].service);
	free(r->shares);
	free(r->name);
	free(r->host);
	free(r->prefix);
}

void
mu_routes_unref(struct mu_routes *r)
{
	size_t i;

	if (r == NULL || --r->references > 0)
		return;
	for (i = 0; i < r->nroutes; i++)
		route_clear(&r->route[i]);
	for (i = 0; i < r->nservices; i++)
		free(r->service[i].name);
	free(r->route);
	free(r->service);
	mu_customers_free(r->customers);
	free(r);
}

const struct mu_route *
mu_routes_find(const struct mu_routes *r, const char *host, const char *path)
{
	const struct mu_route *best = NULL, *t;
	size_t i, len, longest = 0;

	for (i = 0; i < r->nroutes; i++) {
		t = &r->route[i];
		len = strlen(t->prefix);
		if (len > longest && strncmp(path, t->prefix, len) == 0 &&
		    strcasecmp(host, t->host) == 0) {
			best = t;
			longest = len;
		}
	}
	return best;
}

static struct mu_service *
find_service(const struct mu_routes *r, const char *name)
{
	size_t i;

	for (i = 0; i < r->nservices; i++)
		if (strcmp(r->service[i].name, name) == 0)
			return &r->service[i];
	return NULL;
}

const struct mu_service *
mu_routes_service(const struct mu_routes *r, const char *name)
{
	return find_service(r, name);
}

static void
index_route(struct mu_routes *r, const struct mu_route *t)
{
	struct mu_service *v;
	size_t i;

	for (i = 0; i < t->nshares; i++) {
		if (t->shares[i].weight == 0)
			continue;
		v = find_service(r, t->shares[i].service);
		if (v != NULL && t->priority > v->least_urgent)
			v->least_urgent = t->priority;
	}
}

void
mu_routes_index(struct mu_routes *r)
{
	size_t i;

	for (i = 0; i < r->nroutes; i++)
		if (r->route[i].kind == MU_ROUTE_STREAM)
			index_route(r, &r->route[i]);
}

const char *
mu_route_pick_service(const struct mu_route *r, uint64_t key)
{
	uint64_t total = 0;
	size_t i;

	for (i = 0; i < r->nshares; i++)
		total += r->shares[i].weight;
	if (total == 0)
		return r->nshares > 0 ? r->shares[0].service : NULL;
	key %= total;
	for (i = 0; key >= r->shares[i].weight; i++)
		key -= r->shares[i].weight;
	return r->shares[i].service;
}
