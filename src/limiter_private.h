/*
 * limiter_private.h -- state shared by the modules that request tokens and pass
 * requests on (limiter.c) and that count what customers use (limitcount.c).
 */
#ifndef MU_LIMITER_PRIVATE_H
#define MU_LIMITER_PRIVATE_H

#include "hmap.h"
#include "limiter.h"
#include "limitmap.h"

/* A customer at this daemon. */
struct mu_limited {
	struct mu_hnode node;
	struct cds_list_head all;
	char name[MU_NAME_LEN];
	bool is_root; /* `count` is in use */
	bool has_share; /* `share` is in use */
	struct mu_rate_state count;
	struct mu_rate_state share; /* for requests without an answer */
	mu_us ample_until;
	unsigned unanswered; /* admitted, not yet answered */
	uint64_t last_root; /* incarnation */
	mu_us last_root_at;
	mu_us used_at;
	mu_us logged_at;
};

struct mu_limiter {
	struct mu_loop *loop;
	struct mu_mesh *mesh;
	struct mu_limiter_conf conf;
	struct mu_limit_map map;
	bool peers_known;
	struct mu_hmap customers;
	struct cds_list_head all;
	struct mu_timer sweep_timer;
	struct cds_list_head held; /* struct take, until links are set up */
	struct mu_timer held_timer;
};

/* The customer at this daemon; added if it is not known. */
struct mu_limited *mu_limiter_get(struct mu_limiter *x, const char *name);

/* limitcount.c */

/* Decides as the root of a customer. */
void mu_limit_decide(
    struct mu_limiter *x, const Mu__LimitAsk *q, Mu__LimitAnswer *a);
/* Corrects the count of a customer, if this daemon keeps one. */
void mu_limit_apply_note(struct mu_limiter *x, const Mu__LimitNote *n);
/* Whether this daemon may admit a request of its own although the root does not
 * answer. */
bool mu_limit_take_share(struct mu_limiter *x, const char *name);

#endif
