/*
 * seed.h -- rows of the store as this daemon last read them, for daemons that
 * start while the store is out.
 *
 * They only let such a daemon serve; what lasts is in the store alone.
 */
#ifndef MU_SEED_H
#define MU_SEED_H

#include "loop.h"
#include "peer.pb-c.h"

struct mu_seed;

struct mu_seed *mu_seed_new(void);
void mu_seed_free(struct mu_seed *s);
/* A row was read, or is removed. */
void mu_seed_row(struct mu_seed *s, const Mu__StoreRow *row);
/* A table is read anew from its start: what was read of it is dropped. */
void mu_seed_drop(struct mu_seed *s, const char *table);
/* The rows, packed; out->rows is freed by mu_seed_release(). */
void mu_seed_fill(const struct mu_seed *s, Mu__Seed *out);
void mu_seed_release(Mu__Seed *out);

/* Calls fn for each row of a peer's seed; returns how many there were. */
size_t mu_seed_each(const Mu__Seed *seed,
    void (*fn)(void *arg, const Mu__StoreRow *row), void *arg);

#endif
