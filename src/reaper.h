/*
 * reaper.h -- removes rows from the store when their retention time ends.
 */
#ifndef MU_REAPER_H
#define MU_REAPER_H

#include "store.h"

struct mu_reaper;

struct mu_reaper *mu_reaper_new(struct mu_loop *l, struct mu_store *s);
void mu_reaper_free(struct mu_reaper *r);
/*
 * Removes the row after the retention time if its version is still ver, or
 * whatever its version if ver is 0.  table and part must outlive r.
 */
void mu_reaper_add(struct mu_reaper *r, const char *table, const char *part,
    const char *key, uint64_t ver, mu_us retention);

#endif
