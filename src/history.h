/*
 * history.h -- records of finished turns, by turn id.
 *
 * A turn's record is immutable.  It is written to the store before the caller
 * gets the end of the answer, and cached in memory by the daemons that served
 * the turn or are likely to serve the turn that continues it.
 */
#ifndef MU_HISTORY_H
#define MU_HISTORY_H

#include "buf.h"
#include "reaper.h"
#include "store.h"

/* Of a row; the platform accepts 64 KiB. */
#define MU_HISTORY_CHUNK_BYTES ((size_t)48 * 1024)
#define MU_HISTORY_MAX_CHUNKS 99 /* the number has two digits in the key */
/* Most bytes of an encoded record. */
#define MU_HISTORY_MAX_BYTES (MU_HISTORY_MAX_CHUNKS * MU_HISTORY_CHUNK_BYTES)

struct mu_history;

enum mu_history_status {
	MU_HISTORY_OK,
	MU_HISTORY_NOT_FOUND, /* the store has no such turn */
	MU_HISTORY_UNAVAILABLE /* the store did not answer in time */
};

typedef void (*mu_history_fn)(void *arg, enum mu_history_status status);

/* max_bytes limits the records cached in memory. */
struct mu_history *mu_history_new(struct mu_loop *l, struct mu_store *s,
    struct mu_reaper *reaper, size_t max_bytes);
void mu_history_free(struct mu_history *h);

/* Caches rec in memory for the retention time, from now also if it is cached
 * already.  Takes ownership of rec. */
void mu_history_cache_put(
    struct mu_history *h, Mu__TurnRecord *rec, mu_us retention);
/* The cached record of a turn, or NULL. */
const Mu__TurnRecord *mu_history_find(struct mu_history *h, const char *turn);
/* Whether a turn and all its ancestors are cached. */
bool mu_history_chain_cached(struct mu_history *h, const char *turn);
/* Appends the input and output of all ancestors of a turn, oldest first, and
 * of the turn itself.  0, MU_E_NOT_FOUND when one is not cached, MU_E_NOMEM. */
int
mu_history_text(struct mu_history *h, const char *turn, struct mu_buf *text);

/* The length of that text; 0 when a turn is not cached. */
size_t mu_history_text_len(struct mu_history *h, const char *turn);

/* Writes a copy of rec to the store; fn gets OK or UNAVAILABLE.  The row is
 * removed some time after the retention time has passed. */
void mu_history_commit(struct mu_history *h, const Mu__TurnRecord *rec,
    mu_us retention, mu_us deadline, mu_history_fn fn, void *arg);
/* Reads a turn and its ancestors from the store into the cache. */
void mu_history_fetch(struct mu_history *h, const char *turn, mu_us retention,
    mu_us deadline, mu_history_fn fn, void *arg);
/* Commits in progress. */
unsigned mu_history_pending_commits(const struct mu_history *h);

#endif
