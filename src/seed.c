/*
 * seed.c -- a copy of the store's rows as this daemon last read them.
 *
 * Daemons may be restarted while the store is unavailable.  Without a copy
 * from a peer they would have neither configuration nor endpoints until the
 * store recovers, and a fleet under a rolling restart would lose its capacity.
 * The few hundred rows are kept packed, as they are sent.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "hmap.h"
#include "log.h"
#include "seed.h"

#define FULL_KEY_BYTES 512 /* "table/partition/key" */

struct seed_row {
	struct mu_hnode node;
	struct cds_list_head list_node;
	char full_key[FULL_KEY_BYTES];
	size_t table_len; /* of the table name in full_key */
	ProtobufCBinaryData packed;
};

struct mu_seed {
	struct mu_hmap by_full_key;
	struct cds_list_head rows;
};

struct mu_seed *
mu_seed_new(void)
{
	struct mu_seed *s = calloc(1, sizeof(*s));

	if (s == NULL || mu_hmap_init(&s->by_full_key) != 0) {
		free(s);
		return NULL;
	}
	CDS_INIT_LIST_HEAD(&s->rows);
	return s;
}

static void
remove_row(struct mu_seed *s, struct seed_row *k)
{
	mu_hmap_del(&s->by_full_key, &k->node);
	cds_list_del(&k->list_node);
	free(k->packed.data);
	free(k);
}

void
mu_seed_free(struct mu_seed *s)
{
	struct seed_row *k, *next;

	if (s == NULL)
		return;
	cds_list_for_each_entry_safe (k, next, &s->rows, list_node)
		remove_row(s, k);
	mu_hmap_clear(&s->by_full_key);
	free(s);
}

static struct seed_row *
find_row(struct mu_seed *s, const char *full_key)
{
	struct mu_hnode *n = mu_hmap_find(&s->by_full_key, full_key);

	return n != NULL ? MU_CONTAINER_OF(n, struct seed_row, node) : NULL;
}

void
mu_seed_update(struct mu_seed *s, const Mu__StoreRow *row)
{
	char full_key[FULL_KEY_BYTES];
	struct seed_row *k;

	if (snprintf(full_key, sizeof(full_key), "%s/%s/%s", row->table,
		row->part, row->key) >= (int)sizeof(full_key))
		return;
	k = find_row(s, full_key);
	if (k != NULL)
		remove_row(s, k);
	if (row->removed)
		return;
	k = calloc(1, sizeof(*k));
	if (k == NULL)
		abort();
	memcpy(k->full_key, full_key, sizeof(full_key));
	k->node.key = k->full_key;
	k->table_len = strlen(row->table);
	k->packed.len = mu__store_row__get_packed_size(row);
	k->packed.data = malloc(k->packed.len + 1);
	if (k->packed.data == NULL)
		abort();
	(void)mu__store_row__pack(row, k->packed.data);
	mu_hmap_add(&s->by_full_key, &k->node);
	cds_list_add_tail(&k->list_node, &s->rows);
}

void
mu_seed_drop_table(struct mu_seed *s, const char *table)
{
	size_t n = strlen(table);
	struct seed_row *k, *next;

	cds_list_for_each_entry_safe (k, next, &s->rows, list_node)
		if (k->table_len == n && strncmp(k->full_key, table, n) == 0)
			remove_row(s, k);
}

void
mu_seed_pack(const struct mu_seed *s, Mu__Seed *out)
{
	struct seed_row *k;

	out->n_rows = 0;
	out->rows = calloc(s->by_full_key.count + 1, sizeof(*out->rows));
	if (out->rows == NULL)
		abort();
	cds_list_for_each_entry (k, &s->rows, list_node)
		out->rows[out->n_rows++] = k->packed;
}

void
mu_seed_release(Mu__Seed *out)
{
	free(out->rows); /* the packed rows belong to the mu_seed */
	out->rows = NULL;
	out->n_rows = 0;
}

size_t
mu_seed_for_each(const Mu__Seed *seed,
    void (*fn)(void *arg, const Mu__StoreRow *row), void *arg)
{
	Mu__StoreRow *row;
	size_t i, n = 0;

	for (i = 0; i < seed->n_rows; i++) {
		row = mu__store_row__unpack(
		    NULL, seed->rows[i].len, seed->rows[i].data);
		if (row == NULL) {
			mu_log(MU_LOG_WARN, "seed", "row_unreadable", NULL);
			continue;
		}
		fn(arg, row);
		mu__store_row__free_unpacked(row, NULL);
		n++;
	}
	return n;
}
