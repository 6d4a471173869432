/*
 * storerelay.c -- operations on the store that one daemon runs for another.
 *
 * A daemon that the store does not answer sends its operations through a peer
 * that the store answers.
 */
#include <stdlib.h>

#include "log.h"
#include "storerelay.h"
#include "view.h"

/* An operation executed here for a peer that cannot reach the store. */
struct peer_op {
	struct mu_mesh_link *from;
	uint64_t id;
};

static void
on_peer_op_done(void *arg, const Mu__StoreResult *r)
{
	struct peer_op *q = arg;
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Relayed m = MU__RELAYED__INIT;

	m.id = q->id;
	m.result.len = mu__store_result__get_packed_size(r);
	m.result.data = malloc(m.result.len + 1);
	if (m.result.data != NULL) {
		(void)mu__store_result__pack(r, m.result.data);
		f.body_case = MU__FRAME__BODY_RELAYED;
		f.relayed = &m;
		(void)mu_mesh_reply(q->from, &f);
	}
	free(m.result.data);
	mu_mesh_link_unref(q->from);
	free(q);
}

void
mu_relay_on_request(
    struct mu_serve *s, struct mu_mesh_link *from, const Mu__Relay *m)
{
	Mu__StoreOp *op = mu__store_op__unpack(NULL, m->op.len, m->op.data);
	struct peer_op *q = calloc(1, sizeof(*q));

	if (op == NULL || q == NULL) {
		mu_log(MU_LOG_WARN, "serve", "relay_unreadable", NULL);
		free(q);
	} else {
		q->from = mu_mesh_link_ref(from);
		q->id = m->id;
		mu_store_run_for_peer(s->store, op, on_peer_op_done, q);
	}
	if (op != NULL)
		mu__store_op__free_unpacked(op, NULL);
}

static bool
can_relay(const struct mu_peer *p)
{
	return p->up && p->store_ok && !p->leaving;
}

/* Picks at random among the peers that reach the store, so that one whose last
 * heartbeat is out of date is not picked every time. */
static struct mu_peer *
choose_relay_peer(struct mu_serve *s)
{
	struct mu_peer *p, *chosen = NULL;
	unsigned n = 0;

	cds_list_for_each_entry (p, mu_mesh_peers(s->mesh), node)
		if (can_relay(p) && mu_rand(&s->targets.rng) % ++n == 0)
			chosen = p;
	return chosen;
}

bool
mu_relay_available(void *arg)
{
	struct mu_serve *s = arg;
	struct mu_peer *p;

	cds_list_for_each_entry (p, mu_mesh_peers(s->mesh), node)
		if (can_relay(p))
			return true;
	return false;
}

/* An operation of this daemon that a peer executes. */
struct relayed_op {
	mu_store_result_fn done;
	void *arg;
};

static void
on_relay_reply(void *arg, const Mu__Frame *f)
{
	struct relayed_op *q = arg;
	Mu__StoreResult unknown = MU__STORE_RESULT__INIT, *r = NULL;

	if (f != NULL && f->relayed->result.len > 0)
		r = mu__store_result__unpack(
		    NULL, f->relayed->result.len, f->relayed->result.data);
	unknown.status = MU__STORE_RESULT__STATUS__UNKNOWN;
	q->done(q->arg, r != NULL ? r : &unknown);
	if (r != NULL)
		mu__store_result__free_unpacked(r, NULL);
	free(q);
}

void
mu_relay_run(void *arg, const Mu__StoreOp *op, uint32_t limit_ms,
    mu_store_result_fn done, void *done_arg)
{
	struct mu_serve *s = arg;
	struct mu_peer *p = choose_relay_peer(s);
	struct relayed_op *q = calloc(1, sizeof(*q));
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Relay m = MU__RELAY__INIT;
	bool sent = false;

	if (q == NULL)
		abort();
	q->done = done;
	q->arg = done_arg;
	m.op.len = mu__store_op__get_packed_size(op);
	m.op.data = malloc(m.op.len + 1);
	if (m.op.data != NULL && p != NULL) {
		(void)mu__store_op__pack(op, m.op.data);
		f.body_case = MU__FRAME__BODY_RELAY;
		f.relay = &m;
		sent = mu_mesh_request(s->mesh, p, &f,
		    mu_loop_now(s->loop) + 2 * limit_ms * MU_US_PER_MS,
		    on_relay_reply, q);
	}
	free(m.op.data);
	if (sent)
		return;
	free(q);
	mu_store_run_for_peer(s->store, op, done, done_arg);
}
