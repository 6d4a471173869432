/*
 * loans.c -- requests loans from programs' guarantors, and serves the requests
 * of other daemons to this one.
 *
 * A daemon has no links to most of the fleet.  The link to a guarantor is
 * dialled for the first request, which only happens during an outage of the
 * store.
 */
#include <stdlib.h>

#include "hmap.h"
#include "loans.h"

/* Time to dial a link and for one round trip on it. */
#define LOAN_TIMEOUT_US (300 * MU_US_PER_MS)

struct mu_loans {
	struct mu_loop *loop;
	struct mu_mesh *mesh;
	const char *host;
	struct mu_guarantor *guarantor;
};

struct mu_loans *
mu_loans_new(struct mu_loop *l, struct mu_mesh *m, const char *host)
{
	struct mu_loans *x = calloc(1, sizeof(*x));

	if (x == NULL || (x->guarantor = mu_guarantor_new(l)) == NULL) {
		free(x);
		return NULL;
	}
	x->loop = l;
	x->mesh = m;
	x->host = host;
	return x;
}

void
mu_loans_free(struct mu_loans *x)
{
	if (x == NULL)
		return;
	mu_guarantor_free(x->guarantor);
	free(x);
}

void
mu_loans_skip_grace(struct mu_loans *x)
{
	mu_guarantor_skip_grace(x->guarantor);
}

/* Returns the guarantor of a program, whether it is up or not; NULL: this
 * daemon. */
static struct mu_peer *
guarantor_of(struct mu_loans *x, const char *program)
{
	uint64_t best = mu_rendezvous(x->host, program), w;
	struct mu_peer *p, *guarantor = NULL;

	cds_list_for_each_entry (p, mu_mesh_peers(x->mesh), node) {
		w = mu_rendezvous(p->host, program);
		if (w > best) {
			best = w;
			guarantor = p;
		}
	}
	return guarantor;
}

static struct mu_loan
lend(struct mu_loans *x, const struct mu_loan_request *q)
{
	static const struct mu_loan none;

	/* A daemon that knows other peers may address the wrong guarantor. */
	if (guarantor_of(x, q->program) != NULL)
		return none;
	return q->amount > 0 ? mu_guarantor_lend(x->guarantor, q)
			     : mu_guarantor_release(x->guarantor, q->program);
}

struct loan_query {
	mu_loan_fn fn;
	void *arg;
};

static void
on_guaranteed(void *arg, const Mu__Frame *f)
{
	struct loan_query *q = arg;
	struct mu_loan loan = {false, 0};

	if (f != NULL)
		loan =
		    (struct mu_loan){f->guaranteed->given, f->guaranteed->lent};
	q->fn(q->arg, &loan);
	free(q);
}

void
mu_loans_request(struct mu_loans *x, const struct mu_loan_request *r,
    mu_loan_fn fn, void *arg)
{
	struct mu_peer *p = guarantor_of(x, r->program);
	mu_us until = mu_loop_now(x->loop) + LOAN_TIMEOUT_US;
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Guarantee g = MU__GUARANTEE__INIT;
	struct mu_loan loan = {false, 0};
	struct loan_query *q;

	if (p == NULL) {
		loan = lend(x, r);
		fn(arg, &loan);
		return;
	}
	q = calloc(1, sizeof(*q));
	if (q == NULL)
		abort();
	q->fn = fn;
	q->arg = arg;
	g.program = (char *)(uintptr_t)r->program;
	g.budget = r->budget;
	g.most = r->max_tokens;
	g.amount = r->amount;
	f.body_case = MU__FRAME__BODY_GUARANTEE;
	f.guarantee = &g;
	mu_mesh_ensure_link(x->mesh, p);
	if (mu_mesh_request(x->mesh, p, &f,
		until < r->deadline ? until : r->deadline, on_guaranteed, q))
		return;
	free(q);
	fn(arg, &loan);
}

void
mu_loans_on_request(
    struct mu_loans *x, struct mu_mesh_link *from, const Mu__Guarantee *q)
{
	struct mu_loan_request r = {
	    q->program, q->budget, q->most, q->amount, MU_US_NEVER};
	struct mu_loan loan = lend(x, &r);
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Guaranteed g = MU__GUARANTEED__INIT;

	g.id = q->id;
	g.given = loan.given;
	g.lent = loan.lent;
	f.body_case = MU__FRAME__BODY_GUARANTEED;
	f.guaranteed = &g;
	(void)mu_mesh_reply(from, &f);
}
