/*
 * limiter.c -- customers' rate limits over all daemons.
 *
 * A request for a token goes from daemon to daemon as limitmap.c says and is
 * decided by limitcount.c at the root.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "limiter_private.h"
#include "log.h"
#include "metric.h"

/* Several round trips between failure domains. */
#define ASK_TIMEOUT_US (150 * MU_US_PER_MS)
/* Shorter, so that the first asker still gets the answer. */
#define FORWARD_TIMEOUT_US (100 * MU_US_PER_MS)
/* How long an answer that the customer is far below its limit holds. */
#define AMPLE_US (1 * MU_US_PER_S)
/* Requests of one customer that this daemon admits without an answer. */
#define UNANSWERED_MAX 1
/* After the start, links are set up within this time. */
#define SETTLE_US (400 * MU_US_PER_MS)
#define HELD_POLL_US (20 * MU_US_PER_MS)
#define IDLE_US (60 * MU_US_PER_S)
#define SWEEP_US (10 * MU_US_PER_S)
#define RETRY_AFTER_UNAVAILABLE_MS 300

/* A token requested on this daemon. */
struct take {
	struct cds_list_head node; /* in held */
	struct mu_limiter *x;
	char name[MU_NAME_LEN];
	enum mu_rate_kind kind;
	bool admitted; /* fn has been called */
	mu_limit_fn fn;
	void *arg;
};

/* A frame of another daemon that is answered later. */
struct relay {
	struct mu_limiter *x;
	struct mu_mesh_link *from;
	uint64_t id;
	bool answered;
	char name[MU_NAME_LEN];
};

/* Customers at this daemon. */

struct mu_limited *
mu_limiter_get(struct mu_limiter *x, const char *name)
{
	struct mu_hnode *n = mu_hmap_find(&x->customers, name);
	struct mu_limited *c;

	if (n == NULL) {
		c = calloc(1, sizeof(*c));
		if (c == NULL)
			abort();
		(void)snprintf(c->name, sizeof(c->name), "%s", name);
		c->node.key = c->name;
		mu_hmap_add(&x->customers, &c->node);
		cds_list_add(&c->all, &x->all);
	} else {
		c = MU_CONTAINER_OF(n, struct mu_limited, node);
	}
	c->used_at = mu_loop_now(x->loop);
	return c;
}

static void
customer_free(struct mu_limiter *x, struct mu_limited *c)
{
	mu_hmap_del(&x->customers, &c->node);
	cds_list_del(&c->all);
	free(c);
}

static void
on_sweep(void *arg)
{
	struct mu_limiter *x = arg;
	mu_us now = mu_loop_now(x->loop);
	struct mu_limited *c, *next;

	cds_list_for_each_entry_safe (c, next, &x->all, all)
		if (now - c->used_at > IDLE_US && c->unanswered == 0)
			customer_free(x, c);
	mu_timer_set(x->loop, &x->sweep_timer, now + SWEEP_US);
}

/* Remembers an answer of the root. */
static void
learn(struct mu_limiter *x, struct mu_limited *c, const Mu__LimitAnswer *a)
{
	mu_us now = mu_loop_now(x->loop);

	if (a->status == MU__LIMIT_ANSWER__STATUS__UNAVAILABLE)
		return;
	c->ample_until = a->ample ? now + AMPLE_US : 0;
	c->last_root = a->root;
	c->last_root_at = now;
}

/* Tells the root which daemon decided last, if that was lately. */
static void
fill_last_root(
    struct mu_limiter *x, const struct mu_limited *c, Mu__LimitAsk *q)
{
	mu_us age = mu_loop_now(x->loop) - c->last_root_at;

	if (age >= x->conf.window_ms * MU_US_PER_MS)
		return;
	q->last_root = c->last_root;
	q->last_root_age_ms = (uint32_t)(age / MU_US_PER_MS);
}

/* Whether a request may be admitted before it is reported. */
static bool
admit_early(struct mu_limiter *x, const struct mu_limited *c)
{
	return mu_loop_now(x->loop) < c->ample_until &&
	       c->unanswered < UNANSWERED_MAX;
}

/* Asking another daemon. */

static bool
send_ask(struct mu_limiter *x, struct mu_peer *p, Mu__LimitAsk *q,
    mu_us timeout, mu_mesh_reply_fn fn, void *arg)
{
	Mu__Frame f = MU__FRAME__INIT;

	mu_count(MU_M_LIMIT_ASKS, 1);
	f.body_case = MU__FRAME__BODY_LIMIT_ASK;
	f.limit_ask = q;
	return mu_mesh_request(
	    x->mesh, p, &f, mu_loop_now(x->loop) + timeout, fn, arg);
}

static void
reply(struct mu_mesh_link *from, Mu__LimitAnswer *a)
{
	Mu__Frame f = MU__FRAME__INIT;

	f.body_case = MU__FRAME__BODY_LIMIT_ANSWER;
	f.limit_answer = a;
	(void)mu_mesh_reply(from, &f);
}

static void
on_forwarded(void *arg, const Mu__Frame *f)
{
	struct relay *r = arg;
	struct mu_limited *c = mu_limiter_get(r->x, r->name);
	Mu__LimitAnswer a = MU__LIMIT_ANSWER__INIT;

	if (f != NULL)
		a = *f->limit_answer;
	learn(r->x, c, &a);
	if (r->answered) {
		c->unanswered--;
	} else {
		a.id = r->id;
		reply(r->from, &a);
	}
	mu_mesh_link_unref(r->from);
	free(r);
}

/* Passes a request for a token on, and answers it at once if the customer is
 * far below its limit. */
static void
forward(struct mu_limiter *x, struct mu_mesh_link *from, const Mu__LimitAsk *q,
    struct mu_peer *to, Mu__LimitAsk__Hop hop)
{
	struct mu_limited *c = mu_limiter_get(x, q->customer);
	struct relay *r = calloc(1, sizeof(*r));
	Mu__LimitAnswer a = MU__LIMIT_ANSWER__INIT;
	Mu__LimitAsk next = *q;

	if (r == NULL)
		abort();
	r->x = x;
	r->from = mu_mesh_link_ref(from);
	r->id = a.id = q->id;
	r->answered = hop == MU__LIMIT_ASK__HOP__ROOT_DOMAIN &&
		      (q->admitted || admit_early(x, c));
	(void)snprintf(r->name, sizeof(r->name), "%s", q->customer);
	next.hop = hop;
	next.admitted = q->admitted || r->answered;
	if (next.last_root == 0)
		fill_last_root(x, c, &next);
	a.status = MU__LIMIT_ANSWER__STATUS__ADMITTED;
	a.ample = mu_loop_now(x->loop) < c->ample_until;
	a.root = c->last_root;
	if (send_ask(x, to, &next, FORWARD_TIMEOUT_US, on_forwarded, r)) {
		c->unanswered += r->answered;
		if (r->answered)
			reply(from, &a);
		return;
	}
	a.status = MU__LIMIT_ANSWER__STATUS__UNAVAILABLE;
	reply(from, &a);
	mu_mesh_link_unref(r->from);
	free(r);
}

void
mu_limiter_on_ask(
    struct mu_limiter *x, struct mu_mesh_link *from, const Mu__LimitAsk *q)
{
	Mu__LimitAnswer a = MU__LIMIT_ANSWER__INIT;
	Mu__LimitAsk__Hop hop = q->hop;
	struct mu_peer *p;
	bool decides;

	p = mu_limit_next_hop(&x->map, q->customer, q->hop, &hop, &decides);
	if (p != NULL) {
		forward(x, from, q, p, hop);
		return;
	}
	a.id = q->id;
	if (decides && x->peers_known)
		mu_limit_decide(x, q, &a);
	reply(from, &a);
}

/* Tokens requested on this daemon. */

static void
finish(struct take *t, const struct mu_limit_result *r)
{
	mu_limit_fn fn = t->fn;
	void *arg = t->arg;

	if (!t->admitted)
		fn(arg, r);
	free(t);
}

/* No answer: admits what this daemon's share allows. */
static void
take_share(struct take *t)
{
	struct mu_limiter *x = t->x;
	struct mu_limit_result r = {
	    MU_LIMIT_UNAVAILABLE, RETRY_AFTER_UNAVAILABLE_MS};

	if (t->admitted) {
		finish(t, &r);
		return;
	}
	if (mu_limit_take_share(x, t->name))
		r = (struct mu_limit_result){MU_LIMIT_ADMITTED, 0};
	mu_count(MU_M_LIMIT_UNANSWERED, 1);
	mu_log(MU_LOG_INFO, "limiter", "root_silent", "{s:s,s:b}", "customer",
	    t->name, "admitted", r.status == MU_LIMIT_ADMITTED);
	finish(t, &r);
}

static void
finish_with_answer(struct take *t, const Mu__LimitAnswer *a)
{
	struct mu_limit_result r = {MU_LIMIT_ADMITTED, a->retry_after_ms};

	switch (a->status) {
	case MU__LIMIT_ANSWER__STATUS__ADMITTED:
		break;
	case MU__LIMIT_ANSWER__STATUS__ADMITTED_STARTED:
		r.status = MU_LIMIT_ADMITTED_STARTED;
		break;
	case MU__LIMIT_ANSWER__STATUS__REFUSED:
		r.status = MU_LIMIT_REFUSED;
		break;
	default:
		take_share(t);
		return;
	}
	finish(t, &r);
}

static void
on_answer(void *arg, const Mu__Frame *f)
{
	struct take *t = arg;
	struct mu_limited *c = mu_limiter_get(t->x, t->name);

	c->unanswered -= t->admitted;
	if (f == NULL) {
		take_share(t);
		return;
	}
	learn(t->x, c, f->limit_answer);
	finish_with_answer(t, f->limit_answer);
}

static void
take_now(struct take *t)
{
	static const struct mu_limit_result early = {MU_LIMIT_ADMITTED, 0};
	struct mu_limiter *x = t->x;
	struct mu_limited *c = mu_limiter_get(x, t->name);
	Mu__LimitAsk q = MU__LIMIT_ASK__INIT;
	Mu__LimitAnswer a = MU__LIMIT_ANSWER__INIT;
	struct mu_peer *p;
	bool decides = false;

	if (!x->peers_known) {
		take_share(t);
		return;
	}
	p = mu_limit_home(&x->map, t->name);
	q.customer = t->name;
	q.kind = (Mu__LimitAsk__Kind)t->kind;
	q.hop = MU__LIMIT_ASK__HOP__DOMAIN;
	fill_last_root(x, c, &q);
	if (p == NULL)
		p = mu_limit_next_hop(
		    &x->map, t->name, q.hop, &q.hop, &decides);
	if (decides) {
		mu_limit_decide(x, &q, &a);
		learn(x, c, &a);
		finish_with_answer(t, &a);
		return;
	}
	q.admitted = admit_early(x, c);
	if (p == NULL || !send_ask(x, p, &q, ASK_TIMEOUT_US, on_answer, t)) {
		take_share(t);
		return;
	}
	if (!q.admitted)
		return;
	c->unanswered++;
	t->admitted = true;
	t->fn(t->arg, &early);
}

/* Whether this daemon has just started and its links are not set up yet. */
static bool
settling(struct mu_limiter *x)
{
	return mu_loop_now(x->loop) - x->map.opened_at < SETTLE_US &&
	       (!x->peers_known || mu_limit_visible(&x->map) < 1);
}

static void
on_held(void *arg)
{
	struct mu_limiter *x = arg;
	struct take *t, *next;
	CDS_LIST_HEAD(held);

	if (settling(x)) {
		mu_timer_set(x->loop, &x->held_timer,
		    mu_loop_now(x->loop) + HELD_POLL_US);
		return;
	}
	cds_list_splice(&x->held, &held);
	CDS_INIT_LIST_HEAD(&x->held);
	cds_list_for_each_entry_safe (t, next, &held, node)
		take_now(t);
}

void
mu_limiter_take(struct mu_limiter *x, const struct mu_customer *c,
    enum mu_rate_kind kind, mu_limit_fn fn, void *arg)
{
	static const struct mu_limit_result unlimited = {MU_LIMIT_ADMITTED, 0};
	struct take *t;

	if (c->rate <= 0) {
		fn(arg, &unlimited);
		return;
	}
	t = calloc(1, sizeof(*t));
	if (t == NULL)
		abort();
	t->x = x;
	t->kind = kind;
	t->fn = fn;
	t->arg = arg;
	(void)snprintf(t->name, sizeof(t->name), "%s", c->name);
	if (!settling(x)) {
		take_now(t);
		return;
	}
	cds_list_add_tail(&t->node, &x->held);
	if (x->held_timer.slot == 0)
		mu_timer_set(x->loop, &x->held_timer,
		    mu_loop_now(x->loop) + HELD_POLL_US);
}

/* Corrections. */

static void
pass_note(struct mu_limiter *x, const Mu__LimitNote *n, struct mu_peer *p,
    Mu__LimitAsk__Hop hop)
{
	Mu__Frame f = MU__FRAME__INIT;
	Mu__LimitNote next = *n;

	next.hop = hop;
	f.body_case = MU__FRAME__BODY_LIMIT_NOTE;
	f.limit_note = &next;
	(void)mu_mesh_send(x->mesh, p, &f);
}

void
mu_limiter_on_note(struct mu_limiter *x, const Mu__LimitNote *n)
{
	Mu__LimitAsk__Hop hop = n->hop;
	struct mu_peer *p;
	bool decides;

	p = mu_limit_next_hop(&x->map, n->customer, n->hop, &hop, &decides);
	if (p != NULL)
		pass_note(x, n, p, hop);
	else if (decides)
		mu_limit_apply_note(x, n);
}

static void
send_note(struct mu_limiter *x, const char *customer, uint32_t refunds,
    uint32_t programs)
{
	struct mu_peer *p = mu_limit_home(&x->map, customer);
	Mu__LimitNote n = MU__LIMIT_NOTE__INIT;

	n.hop = MU__LIMIT_ASK__HOP__DOMAIN;
	n.customer = (char *)(uintptr_t)customer;
	n.refunds = refunds;
	n.programs = programs;
	if (p != NULL)
		pass_note(x, &n, p, n.hop);
	else
		mu_limiter_on_note(x, &n);
}

void
mu_limiter_refund(struct mu_limiter *x, const char *customer)
{
	send_note(x, customer, 1, 0);
}

void
mu_limiter_program_started(struct mu_limiter *x, const char *customer)
{
	send_note(x, customer, 0, 1);
}

/* Opening and closing. */

struct mu_limiter *
mu_limiter_new(
    struct mu_loop *l, struct mu_mesh *m, const struct mu_limiter_conf *conf)
{
	struct mu_limiter *x = calloc(1, sizeof(*x));

	if (x == NULL || mu_hmap_init(&x->customers) != 0) {
		free(x);
		return NULL;
	}
	x->loop = l;
	x->mesh = m;
	x->conf = *conf;
	x->map = (struct mu_limit_map){.loop = l,
	    .mesh = m,
	    .host = conf->host,
	    .domain = conf->domain,
	    .opened_at = mu_loop_now(l),
	    .unchanged_since = mu_loop_now(l)};
	CDS_INIT_LIST_HEAD(&x->all);
	CDS_INIT_LIST_HEAD(&x->held);
	x->held_timer.fn = on_held;
	x->held_timer.arg = x;
	x->sweep_timer.fn = on_sweep;
	x->sweep_timer.arg = x;
	mu_timer_set(l, &x->sweep_timer, x->map.opened_at + SWEEP_US);
	return x;
}

void
mu_limiter_free(struct mu_limiter *x)
{
	struct mu_limited *c, *next;
	struct take *t, *after;

	if (x == NULL)
		return;
	mu_timer_clear(x->loop, &x->sweep_timer);
	mu_timer_clear(x->loop, &x->held_timer);
	cds_list_for_each_entry_safe (t, after, &x->held, node)
		free(t);
	cds_list_for_each_entry_safe (c, next, &x->all, all)
		customer_free(x, c);
	mu_hmap_clear(&x->customers);
	free(x);
}

void
mu_limiter_peers_known(struct mu_limiter *x)
{
	x->peers_known = true;
}

void
mu_limiter_peer_changed(struct mu_limiter *x, const struct mu_peer *p)
{
	mu_limit_map_changed(&x->map, p);
}

void
mu_limiter_drain(struct mu_limiter *x)
{
	x->map.leaving = true;
}
