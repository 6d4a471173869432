/*
 * customer.h -- the customers of one configuration version and their keys.
 *
 * A table is filled once and immutable afterwards.  It belongs to the routing
 * table of the same version (routes.h), so that a request sees the routes and
 * customers of one version.
 */
#ifndef MU_CUSTOMER_H
#define MU_CUSTOMER_H

#include "musher.h"

#define MU_CUSTOMER_KEY_BYTES 256 /* longest key */
#define MU_CUSTOMER_KEYS_MAX 1000 /* keys of one customer */

struct mu_customer {
	char name[MU_NAME_LEN];
	bool has_priority;
	uint32_t priority; /* replaces the route's; 0 is the most urgent */
	double rate; /* requests per second over all daemons; 0: no limit */
	double burst; /* requests beyond the rate */
};

struct mu_customers;

/* NULL when out of memory. */
struct mu_customers *mu_customers_new(void);
void mu_customers_free(struct mu_customers *t); /* NULL is allowed */

/*
 * Adds a copy of spec, whose keys are added next.  Returns 0,
 * MU_E_CONFIG_INVALID for a bad or repeated name or a bad limit, or
 * MU_E_NOMEM.
 */
int mu_customers_add(
    struct mu_customers *t, const struct mu_customer *spec, struct mu_error *e);
/* Adds a key of the customer added last.  Returns 0, MU_E_CONFIG_INVALID for an
 * empty, over-long or repeated key, or MU_E_NOMEM.  No error text contains the
 * key. */
int mu_customers_add_key(
    struct mu_customers *t, const char *key, struct mu_error *e);

/* The customer that holds the key, or NULL. */
const struct mu_customer *
mu_customers_by_key(const struct mu_customers *t, const char *key);
/* NULL if there is none. */
const struct mu_customer *
mu_customers_by_name(const struct mu_customers *t, const char *name);
size_t mu_customers_count(const struct mu_customers *t);

#endif
