/*
 * seed.h -- a copy of the store's rows as this daemon last read them, given to
 * daemons that start while the store is unavailable.
 *
 * The copy only lets such a daemon serve; the store stays authoritative.
 */
#ifndef MU_SEED_H
#define MU_SEED_H

#include "loop.h"
#include "peer.pb-c.h"

struct mu_seed;

struct mu_seed *mu_seed_new(void);
void mu_seed_free(struct mu_seed *s);
/* Updates the copy with a row that was read; drops it if row->removed. */
void mu_seed_update(struct mu_seed *s, const Mu__StoreRow *row);
/* Drops the rows of a table that is about to be reread as a whole. */
void mu_seed_drop_table(struct mu_seed *s, const char *table);
/* Sets the rows of out, packed and owned by s; out->rows is freed by
 * mu_seed_release(). */
void mu_seed_pack(const struct mu_seed *s, Mu__Seed *out);
void mu_seed_release(Mu__Seed *out);

/* Calls fn for each readable row of a peer's seed and returns their number. */
size_t mu_seed_for_each(const Mu__Seed *seed,
    void (*fn)(void *arg, const Mu__StoreRow *row), void *arg);

#endif
