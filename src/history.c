/*
 * history.c -- in-memory cache of the records of finished turns, by turn id.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "history_private.h"

struct cached_turn {
	struct mu_hnode node;
	struct cds_list_head age_node; /* in mu_history.by_age */
	Mu__TurnRecord *rec;
	size_t bytes;
	mu_us expires_at;
};

struct mu_history_partition *
mu_history_candidate(struct mu_history *h, const char *turn, unsigned candidate)
{
	uint64_t hash = mu_hash(turn);
	/* An odd step makes the candidates differ, because the number of
	 * partitions is a power of two. */
	uint64_t step = hash / MU_HISTORY_PARTITIONS | 1;

	return &h->partitions[(hash + candidate * step) %
			      MU_HISTORY_PARTITIONS];
}

bool
mu_history_partition_suspect(struct mu_history_partition *p)
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
	CDS_INIT_LIST_HEAD(&h->by_age);
	for (i = 0; i < MU_HISTORY_PARTITIONS; i++) {
		h->partitions[i].h = h;
		(void)snprintf(h->partitions[i].name,
		    sizeof(h->partitions[i].name), "h%u", i);
		CDS_INIT_LIST_HEAD(&h->partitions[i].queued);
		CDS_INIT_LIST_HEAD(&h->partitions[i].in_flight);
	}
	mu_history_write_init(h);
	return h;
}

static void
cached_turn_free(struct mu_history *h, struct cached_turn *t)
{
	cds_list_del(&t->age_node);
	mu_hmap_del(&h->turns, &t->node);
	h->bytes -= t->bytes;
	mu__turn_record__free_unpacked(t->rec, NULL);
	free(t);
}

void
mu_history_free(struct mu_history *h)
{
	struct cached_turn *t, *next;

	if (h == NULL)
		return;
	cds_list_for_each_entry_safe (t, next, &h->by_age, age_node)
		cached_turn_free(h, t);
	mu_history_write_fini(h);
	mu_hmap_clear(&h->turns);
	free(h);
}

unsigned
mu_history_pending_commits(const struct mu_history *h)
{
	return h->pending;
}

static struct cached_turn *
find_turn(const struct mu_history *h, const char *turn)
{
	struct mu_hnode *n = mu_hmap_find(&h->turns, turn);

	return n != NULL ? MU_CONTAINER_OF(n, struct cached_turn, node) : NULL;
}

const Mu__TurnRecord *
mu_history_find(struct mu_history *h, const char *turn)
{
	struct cached_turn *t = find_turn(h, turn);

	return t != NULL ? t->rec : NULL;
}

/* The turn is needed: keeps it as long as one that was just added. */
static void
refresh(struct mu_history *h, struct cached_turn *t, mu_us retention)
{
	mu_us until = mu_loop_now(h->loop) + retention;

	if (until > t->expires_at)
		t->expires_at = until;
	cds_list_del(&t->age_node);
	cds_list_add_tail(&t->age_node, &h->by_age);
}

/* Drops expired turns, and the oldest ones while the cache is over its limit.
 */
static void
evict(struct mu_history *h)
{
	mu_us now = mu_loop_now(h->loop);
	struct cached_turn *t;

	while (!cds_list_empty(&h->by_age)) {
		t = cds_list_first_entry(
		    &h->by_age, struct cached_turn, age_node);
		if (t->expires_at > now && h->bytes <= h->max_bytes)
			break;
		cached_turn_free(h, t);
	}
}

void
mu_history_cache_put(struct mu_history *h, Mu__TurnRecord *rec, mu_us retention)
{
	struct cached_turn *t = find_turn(h, rec->turn);

	if (t != NULL)
		refresh(h, t, retention);
	if (t != NULL || (t = calloc(1, sizeof(*t))) == NULL) {
		mu__turn_record__free_unpacked(rec, NULL);
		return;
	}
	t->rec = rec;
	t->node.key = rec->turn;
	t->bytes = sizeof(*t) + mu__turn_record__get_packed_size(rec);
	t->expires_at = mu_loop_now(h->loop) + retention;
	h->bytes += t->bytes;
	mu_hmap_add(&h->turns, &t->node);
	cds_list_add_tail(&t->age_node, &h->by_age);
	evict(h);
}

bool
mu_history_refresh(struct mu_history *h, const char *turn, mu_us retention)
{
	struct cached_turn *t = find_turn(h, turn);

	if (t != NULL)
		refresh(h, t, retention);
	return t != NULL;
}

bool
mu_history_chain_cached(struct mu_history *h, const char *turn)
{
	struct cached_turn *t = find_turn(h, turn);
	size_t i;

	if (t == NULL)
		return false;
	for (i = 0; i < t->rec->n_ancestors; i++)
		if (find_turn(h, t->rec->ancestors[i]) == NULL)
			return false;
	return true;
}

static int
append_turn(const Mu__TurnRecord *r, struct mu_buf *text)
{
	if (mu_buf_add(text, r->input.data, r->input.len) != 0)
		return MU_E_NOMEM;
	return mu_buf_add(text, r->output.data, r->output.len);
}

int
mu_history_text(struct mu_history *h, const char *turn, struct mu_buf *text)
{
	struct cached_turn *t = find_turn(h, turn), *a;
	size_t i;

	if (t == NULL)
		return MU_E_NOT_FOUND;
	for (i = 0; i < t->rec->n_ancestors; i++) {
		a = find_turn(h, t->rec->ancestors[i]);
		if (a == NULL)
			return MU_E_NOT_FOUND;
		if (append_turn(a->rec, text) != 0)
			return MU_E_NOMEM;
	}
	return append_turn(t->rec, text);
}

size_t
mu_history_text_len(struct mu_history *h, const char *turn)
{
	const Mu__TurnRecord *r = mu_history_find(h, turn), *a;
	size_t i, n;

	if (r == NULL)
		return 0;
	n = r->input.len + r->output.len;
	for (i = 0; i < r->n_ancestors; i++) {
		a = mu_history_find(h, r->ancestors[i]);
		if (a == NULL)
			return 0;
		n += a->input.len + a->output.len;
	}
	return n;
}
