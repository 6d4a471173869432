/*
 * reaper.h -- removes rows from the store when they have been kept long enough.
 */
#ifndef MU_REAPER_H
#define MU_REAPER_H

#include "store.h"

struct mu_reaper;

struct mu_reaper *mu_reaper_new(struct mu_loop *l, struct mu_store *s);
void mu_reaper_free(struct mu_reaper *r);
/*
 * The row may be removed after keep, if it has version ver then; 0: whatever
 * version it has.  table and part must outlive r.
 */
void mu_reaper_add(struct mu_reaper *r, const char *table, const char *part,
    const char *key, uint64_t ver, mu_us retention);

#endif
