/*
 * limitmap.c -- which daemon counts a customer's requests.
 *
 * A customer's root is chosen by rendezvous hashing, first among the failure
 * domains and then among the daemons of one.  A request for a token goes to the
 * customer's home in the asker's own domain, from there to any daemon of the
 * root's domain, and there to the root.  Links exist within a domain and to a
 * few daemons of each other domain, so no customer needs a link of its own.
 */
#include <string.h>

#include "hmap.h"
#include "limitmap.h"

/* A silent daemon is not expected back after this time. */
#define FORGET_US (600 * MU_US_PER_S)
#define VISIBLE_CACHE_US (100 * MU_US_PER_MS)

static bool
same_domain(const struct mu_limit_map *m, const struct mu_peer *p)
{
	return strcmp(p->domain, m->domain) == 0;
}

/* Whether a peer may be running and serving callers. */
static bool
may_be_running(const struct mu_limit_map *m, const struct mu_peer *p)
{
	mu_us last =
	    p->last_seen_at > m->opened_at ? p->last_seen_at : m->opened_at;

	return p->up ||
	       (!p->leaving && mu_loop_now(m->loop) - last < FORGET_US);
}

static bool
domain_up(struct mu_limit_map *m, const char *domain)
{
	struct mu_peer *p;

	cds_list_for_each_entry (p, mu_mesh_peers(m->mesh), node)
		if (p->up && strcmp(p->domain, domain) == 0)
			return true;
	return false;
}

/* Whether p is the first of its domain in the list of peers that may be
 * running. */
static bool
first_of_domain(struct mu_limit_map *m, const struct mu_peer *p)
{
	struct mu_peer *q;

	cds_list_for_each_entry (q, mu_mesh_peers(m->mesh), node)
		if (may_be_running(m, q) && strcmp(q->domain, p->domain) == 0)
			return q == p;
	return false;
}

static double
compute_visible(struct mu_limit_map *m)
{
	unsigned up = 1, known = 1, domains = 1, domains_up = 1;
	struct mu_peer *p;

	cds_list_for_each_entry (p, mu_mesh_peers(m->mesh), node) {
		if (same_domain(m, p)) {
			up += p->up;
			known += may_be_running(m, p);
		} else if (first_of_domain(m, p)) {
			domains++;
			domains_up += domain_up(m, p->domain);
		}
	}
	return (double)up / known * domains_up / domains;
}

double
mu_limit_visible(struct mu_limit_map *m)
{
	mu_us now = mu_loop_now(m->loop);

	if (m->visible_at == 0 || now - m->visible_at >= VISIBLE_CACHE_US) {
		m->visible = compute_visible(m);
		m->visible_at = now;
	}
	return m->visible;
}

void
mu_limit_map_changed(struct mu_limit_map *m, const struct mu_peer *p)
{
	m->unchanged_since = mu_loop_now(m->loop);
	if (p->up && p->rejoined)
		m->rejoined_at = m->unchanged_since;
	m->visible_at = 0;
}

unsigned
mu_limit_daemons(struct mu_limit_map *m)
{
	struct mu_peer *p;
	unsigned n = 1;

	cds_list_for_each_entry (p, mu_mesh_peers(m->mesh), node)
		n += may_be_running(m, p);
	return n;
}

/* The domain whose daemon counts the customer.  Domains without a peer that is
 * up are passed over. */
static const char *
root_domain(struct mu_limit_map *m, const char *customer)
{
	const char *root = m->domain;
	uint64_t best = mu_rendezvous(root, customer), w;
	struct mu_peer *p;

	cds_list_for_each_entry (p, mu_mesh_peers(m->mesh), node) {
		if (!p->up || same_domain(m, p))
			continue;
		w = mu_rendezvous(p->domain, customer);
		if (w > best) {
			best = w;
			root = p->domain;
		}
	}
	return root;
}

/* The peer of the domain that is up and has the highest weight for the
 * customer, if it is over `least`; else NULL. */
static struct mu_peer *
best_peer(struct mu_limit_map *m, const char *domain, const char *customer,
    uint64_t least)
{
	struct mu_peer *p, *best = NULL;
	uint64_t w;

	cds_list_for_each_entry (p, mu_mesh_peers(m->mesh), node) {
		if (!p->up || p->leaving || strcmp(p->domain, domain) != 0)
			continue;
		w = mu_rendezvous(p->host, customer);
		if (w > least) {
			least = w;
			best = p;
		}
	}
	return best;
}

struct mu_peer *
mu_limit_home(struct mu_limit_map *m, const char *customer)
{
	return best_peer(m, m->domain, customer,
	    m->leaving ? 0 : mu_rendezvous(m->host, customer));
}

struct mu_peer *
mu_limit_next_hop(struct mu_limit_map *m, const char *customer,
    Mu__LimitAsk__Hop at, Mu__LimitAsk__Hop *next, bool *decides)
{
	const char *domain = root_domain(m, customer);
	bool own = strcmp(domain, m->domain) == 0;
	struct mu_peer *home = mu_limit_home(m, customer);

	*decides = home == NULL && own;
	/* Others have not heard yet that this daemon leaves. */
	if (m->leaving && home != NULL &&
	    (at == MU__LIMIT_ASK__HOP__DOMAIN ||
		(at == MU__LIMIT_ASK__HOP__ROOT && own))) {
		*next = at;
		return home;
	}
	if (at == MU__LIMIT_ASK__HOP__ROOT_DOMAIN && own && home != NULL) {
		*next = MU__LIMIT_ASK__HOP__ROOT;
		return home;
	}
	if (at == MU__LIMIT_ASK__HOP__DOMAIN && home == NULL && !own) {
		*next = MU__LIMIT_ASK__HOP__ROOT_DOMAIN;
		return best_peer(m, domain, customer, 0);
	}
	return NULL;
}
