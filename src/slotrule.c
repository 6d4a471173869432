/*
 * slotrule.c -- owner of each slot by rendezvous hashing.
 *
 * Each pair (host, slot) has a weight from xxhash; the live host with the
 * highest weight should own the slot.  When a host is removed, only its own
 * slots move, and they spread over all remaining hosts.  Consistent hashing on
 * a ring would need many points per host for the same balance, and more code.
 */
#include <string.h>
#include <xxhash.h>

#include "slotrule.h"

const char *
mu_slot_action_name(enum mu_slot_action_kind kind)
{
	switch (kind) {
	case MU_SLOT_CLAIM:
		return "claim";
	case MU_SLOT_TAKE_OVER:
		return "take_over";
	case MU_SLOT_HAND_OVER:
		return "hand_over";
	}
	return "internal";
}

int
mu_slot_preferred_host(
    const struct mu_slot_host *hosts, size_t nhosts, uint32_t slot)
{
	const struct mu_slot_host *h;
	uint64_t weight, best = 0;
	int wanted = -1;
	size_t i;

	for (i = 0; i < nhosts; i++) {
		h = &hosts[i];
		if (!h->live || h->leaving || h->lapsed)
			continue;
		weight = XXH64(h->name, strlen(h->name), slot);
		/* On equal weights the lower name wins, in any array order. */
		if (wanted >= 0 && weight == best &&
		    strcmp(h->name, hosts[wanted].name) > 0)
			continue;
		if (wanted < 0 || weight >= best) {
			wanted = (int)i;
			best = weight;
		}
	}
	return wanted;
}

static const struct mu_slot_host *
host_find(const struct mu_slot_input *in, const char *name)
{
	size_t i;

	for (i = 0; i < in->nhosts; i++) {
		if (strcmp(in->hosts[i].name, name) == 0)
			return &in->hosts[i];
	}
	return NULL;
}

/* Whether the slot may be taken over from its recorded owner. */
static bool
owner_lapsed(const struct mu_slot_input *in, const struct mu_slot_view *s)
{
	const struct mu_slot_host *h;

	if (strcmp(s->owner, in->self) == 0)
		return !s->held && s->prior_process_lapsed;
	h = host_find(in, s->owner);
	return h != NULL && h->lapsed;
}

/* Decides on one slot; false when no action is needed. */
static bool
slot_decide(
    const struct mu_slot_input *in, uint32_t slot, struct mu_slot_action *a)
{
	const struct mu_slot_view *s = &in->slots[slot];
	int w = mu_slot_preferred_host(in->hosts, in->nhosts, slot);
	bool mine;

	if (w < 0)
		return false;
	mine = strcmp(in->hosts[w].name, in->self) == 0;
	a->slot = slot;
	if (s->owner == NULL || s->owner[0] == '\0') {
		a->kind = MU_SLOT_CLAIM;
		a->u.claim.epoch = s->epoch + 1;
		return mine;
	}
	if (s->held && strcmp(s->owner, in->self) == 0) {
		a->kind = MU_SLOT_HAND_OVER;
		a->u.hand_over.epoch = s->epoch + 1;
		a->u.hand_over.to = in->hosts[w].name;
		return !mine;
	}
	a->kind = MU_SLOT_TAKE_OVER;
	a->u.take_over.epoch = s->epoch + 1;
	return mine && owner_lapsed(in, s);
}

size_t
mu_slot_rule(
    const struct mu_slot_input *in, struct mu_slot_action *actions, size_t cap)
{
	const struct mu_slot_host *self = host_find(in, in->self);
	struct mu_slot_action a;
	uint32_t slot, handed = 0;
	size_t n = 0;

	/* A host whose own lease lapsed must not change the table. */
	if (self == NULL || self->lapsed)
		return 0;
	for (slot = 0; slot < in->nslots && n < cap; slot++) {
		if (!slot_decide(in, slot, &a))
			continue;
		if (a.kind == MU_SLOT_HAND_OVER && in->max_hand_over > 0 &&
		    handed++ >= in->max_hand_over)
			continue;
		actions[n++] = a;
	}
	return n;
}
