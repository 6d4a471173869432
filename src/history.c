/*
 * history.c -- turns that have ended, in memory, by their ids.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history_private.h"

struct turn {
	struct mu_hnode node;
	struct cds_list_head age; /* oldest first */
	Mu__TurnRecord *rec;
	size_t bytes;
	mu_us until;
};

struct mu_history_part *
mu_history_place(struct mu_history *h, const char *turn, unsigned place)
{
	uint64_t hash = mu_hash(turn);
	/* Odd, so that places differ: the number of parts is a power of two. */
	uint64_t step = hash / MU_HISTORY_PARTS | 1;

	return &h->part[(hash + place * step) % MU_HISTORY_PARTS];
}

bool
mu_history_part_suspect(struct mu_history_part *p)
{
	return mu_store_partition_suspect(
	    p->h->store, MU_HISTORY_TABLE, p->name);
}

struct mu_history *
mu_history_new(struct mu_loop *l, struct mu_store *s, struct mu_reaper *reaper,
    size_t max_bytes)
{
	struct mu_history *h = calloc(1, sizeof(*h));
	unsigned i;

	if (h == NULL || mu_hmap_init(&h->turns) != 0) {
		free(h);
		return NULL;
	}
	h->loop = l;
	h->store = s;
	h->reaper = reaper;
	h->max_bytes = max_bytes;
	CDS_INIT_LIST_HEAD(&h->ages);
	for (i = 0; i < MU_HISTORY_PARTS; i++) {
		h->part[i].h = h;
		(void)snprintf(
		    h->part[i].name, sizeof(h->part[i].name), "h%u", i);
		CDS_INIT_LIST_HEAD(&h->part[i].waiting);
		CDS_INIT_LIST_HEAD(&h->part[i].writing);
	}
	mu_history_write_init(h);
	return h;
}

static void
turn_free(struct mu_history *h, struct turn *t)
{
	cds_list_del(&t->age);
	mu_hmap_del(&h->turns, &t->node);
	h->bytes -= t->bytes;
	mu__turn_record__free_unpacked(t->rec, NULL);
	free(t);
}

void
mu_history_free(struct mu_history *h)
{
	struct turn *t, *next;

	if (h == NULL)
		return;
	cds_list_for_each_entry_safe (t, next, &h->ages, age)
		turn_free(h, t);
	mu_history_write_fini(h);
	mu_hmap_clear(&h->turns);
	free(h);
}

unsigned
mu_history_pending(const struct mu_history *h)
{
	return h->pending;
}

/* In memory. */

static struct turn *
find(const struct mu_history *h, const char *turn)
{
	struct mu_hnode *n = mu_hmap_find(&h->turns, turn);

	return n != NULL ? MU_CONTAINER_OF(n, struct turn, node) : NULL;
}

const Mu__TurnRecord *
mu_history_find(struct mu_history *h, const char *turn)
{
	struct turn *t = find(h, turn);

	return t != NULL ? t->rec : NULL;
}

/* Drops what has been kept long enough, and the oldest when memory is short. */
static void
trim(struct mu_history *h)
{
	mu_us now = mu_loop_now(h->loop);
	struct turn *t;

	while (!cds_list_empty(&h->ages)) {
		t = cds_list_first_entry(&h->ages, struct turn, age);
		if (t->until > now && h->bytes <= h->max_bytes)
			break;
		turn_free(h, t);
	}
}

void
mu_history_keep(struct mu_history *h, Mu__TurnRecord *rec, mu_us keep)
{
	struct turn *t;

	if (find(h, rec->turn) != NULL || (t = calloc(1, sizeof(*t))) == NULL) {
		mu__turn_record__free_unpacked(rec, NULL);
		return;
	}
	t->rec = rec;
	t->node.key = rec->turn;
	t->bytes = sizeof(*t) + mu__turn_record__get_packed_size(rec);
	t->until = mu_loop_now(h->loop) + keep;
	h->bytes += t->bytes;
	mu_hmap_add(&h->turns, &t->node);
	cds_list_add_tail(&t->age, &h->ages);
	trim(h);
}

bool
mu_history_whole(struct mu_history *h, const char *turn)
{
	struct turn *t = find(h, turn);
	size_t i;

	if (t == NULL)
		return false;
	for (i = 0; i < t->rec->n_ancestors; i++)
		if (find(h, t->rec->ancestors[i]) == NULL)
			return false;
	return true;
}

static int
add_turn(const Mu__TurnRecord *r, struct mu_buf *text)
{
	if (mu_buf_add(text, r->input.data, r->input.len) != 0)
		return MU_E_NOMEM;
	return mu_buf_add(text, r->output.data, r->output.len);
}

int
mu_history_text(struct mu_history *h, const char *turn, struct mu_buf *text)
{
	struct turn *t = find(h, turn), *a;
	size_t i;

	if (t == NULL)
		return MU_E_NOT_FOUND;
	for (i = 0; i < t->rec->n_ancestors; i++) {
		a = find(h, t->rec->ancestors[i]);
		if (a == NULL)
			return MU_E_NOT_FOUND;
		if (add_turn(a->rec, text) != 0)
			return MU_E_NOMEM;
	}
	return add_turn(t->rec, text);
}
