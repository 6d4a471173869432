/*
 * board.c -- blackboard: shared state that controllers write and requests read.
 *
 * A writer builds a new snapshot, swaps the pointer and frees the old one by
 * call_rcu(), so that a request never waits for a controller.
 */
#include <stdlib.h>
#include <string.h>

#include "board.h"

void
mu_board_init(struct mu_board *b)
{
	memset(b, 0, sizeof(*b));
	CDS_INIT_LIST_HEAD(&b->endpoints);
	b->platform_ok = true;
}

void
mu_board_text_unref(struct mu_bd_text *t)
{
	if (t == NULL || MU_ATOMIC_SUB(t->references, 1) > 0)
		return;
	mu_text_free(t->text);
	free(t->yaml);
	free(t);
}

static void
text_free(struct rcu_head *head)
{
	mu_board_text_unref(caa_container_of(head, struct mu_bd_text, rcu));
}

/* The publisher's reference is held until the grace period ends, so a reader
 * that found the pointer can safely add its own. */
struct mu_bd_text *
mu_board_text_ref(struct mu_board *b)
{
	struct mu_bd_text *t;

	rcu_read_lock();
	t = rcu_dereference(b->text);
	if (t != NULL)
		MU_ATOMIC_ADD(t->references, 1);
	rcu_read_unlock();
	return t;
}

static void
fleet_free(struct rcu_head *head)
{
	struct mu_bd_fleet *f = caa_container_of(head, struct mu_bd_fleet, rcu);

	free(f->daemons);
	free(f->endpoints);
	free(f);
}

static void
slots_free(struct rcu_head *head)
{
	free(caa_container_of(head, struct mu_bd_slots, rcu));
}

void
mu_board_set_text(struct mu_board *b, struct mu_bd_text *t)
{
	struct mu_bd_text *old;

	if (t != NULL)
		t->references = 1;
	old = rcu_xchg_pointer(&b->text, t);

	if (old != NULL)
		call_rcu(&old->rcu, text_free);
}

void
mu_board_set_fleet(struct mu_board *b, struct mu_bd_fleet *f)
{
	struct mu_bd_fleet *old = rcu_xchg_pointer(&b->fleet, f);

	if (old != NULL)
		call_rcu(&old->rcu, fleet_free);
}

void
mu_board_set_slots(struct mu_board *b, struct mu_bd_slots *s)
{
	struct mu_bd_slots *old = rcu_xchg_pointer(&b->slots, s);

	if (old != NULL)
		call_rcu(&old->rcu, slots_free);
}

void
mu_board_clear(struct mu_board *b)
{
	struct mu_bd_endpoint *e, *next;

	mu_board_set_text(b, NULL);
	mu_board_set_fleet(b, NULL);
	mu_board_set_slots(b, NULL);
	rcu_barrier();
	cds_list_for_each_entry_safe (e, next, &b->endpoints, node) {
		cds_list_del(&e->node);
		free(e);
	}
}

uint64_t
mu_board_version(struct mu_board *b)
{
	struct mu_bd_text *t;
	uint64_t version;

	rcu_read_lock();
	t = rcu_dereference(b->text);
	version = t != NULL ? t->version : 0;
	rcu_read_unlock();
	return version;
}

bool
mu_board_owner(struct mu_board *b, unsigned slot, char host[MU_NAME_LEN])
{
	struct mu_bd_slots *s;

	host[0] = '\0';
	rcu_read_lock();
	s = rcu_dereference(b->slots);
	if (s != NULL && slot < s->count)
		memcpy(host, s->slot[slot].owner, MU_NAME_LEN);
	rcu_read_unlock();
	return host[0] != '\0';
}

uint32_t
mu_board_live_daemons(struct mu_board *b)
{
	struct mu_bd_fleet *f;
	uint32_t n = 0;
	size_t i;

	rcu_read_lock();
	f = rcu_dereference(b->fleet);
	for (i = 0; f != NULL && i < f->ndaemons; i++)
		if (f->daemons[i].up && !f->daemons[i].leaving)
			n++;
	rcu_read_unlock();
	return n > 0 ? n : 1;
}
