/*
 * history.h -- turns that have ended, by their ids.
 *
 * A turn's record never changes.  It is in the store before its caller gets
 * the end of the answer, and in the memory of daemons that served it or are
 * likely to be asked for it.
 */
#ifndef MU_HISTORY_H
#define MU_HISTORY_H

#include "buf.h"
#include "reaper.h"
#include "store.h"

struct mu_history;

enum mu_history_status {
	MU_HISTORY_OK,
	MU_HISTORY_NOT_FOUND, /* the store says that there is no such turn */
	MU_HISTORY_UNAVAILABLE /* cannot tell now */
};

typedef void (*mu_history_fn)(void *arg, enum mu_history_status status);

struct mu_history *mu_history_new(struct mu_loop *l, struct mu_store *s,
    struct mu_reaper *reaper, size_t max_bytes);
void mu_history_free(struct mu_history *h);

/* Keeps rec, which it takes, in memory for keep. */
void
mu_history_keep(struct mu_history *h, Mu__TurnRecord *rec, mu_us retention);
/* Record of a turn in memory, or NULL. */
const Mu__TurnRecord *mu_history_find(struct mu_history *h, const char *turn);
/* Whether a turn and all that it continues are in memory. */
bool mu_history_whole(struct mu_history *h, const char *turn);
/* Appends the input and output of a whole turn and of all before it. */
int
mu_history_text(struct mu_history *h, const char *turn, struct mu_buf *text);

/* Writes rec to the store; fn gets OK or UNAVAILABLE.  rec is copied.  The row
 * is removed some time after keep. */
void mu_history_commit(struct mu_history *h, const Mu__TurnRecord *rec,
    mu_us retention, mu_us deadline, mu_history_fn fn, void *arg);
/* Reads a turn and what it continues from the store into memory. */
void mu_history_fetch(struct mu_history *h, const char *turn, mu_us retention,
    mu_us deadline, mu_history_fn fn, void *arg);
/* Records waiting for the store. */
unsigned mu_history_pending(const struct mu_history *h);

#endif
