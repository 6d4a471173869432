/*
 * store.h -- the platform's table store as the serving path uses it.
 *
 * Operations are protobuf messages (proto/peer.proto, StoreOp), so that a
 * daemon which the store does not serve can pass them on through a peer.  A
 * backend runs one attempt; this module decides how long to wait for it, when
 * to try again and which way.
 */
#ifndef MU_STORE_H
#define MU_STORE_H

#include "loop.h"
#include "peer.pb-c.h"

#define MU_STORE_KEY 200 /* bytes of the longest key */

typedef void (*mu_store_fn)(void *arg, const Mu__StoreResult *r);

/* Runs one attempt and calls done exactly once, never from within run(). */
struct mu_store_backend {
	void *arg;
	void (*run)(void *arg, const Mu__StoreOp *op, uint32_t timeout_ms,
	    mu_store_fn done, void *done_arg);
};

/* The way through a peer; run() is as above and may refuse. */
struct mu_store_relay {
	void *arg;
	bool (*available)(void *arg);
	void (*run)(void *arg, const Mu__StoreOp *op, uint32_t timeout_ms,
	    mu_store_fn done, void *done_arg);
};

struct mu_store;

struct mu_store *
mu_store_new(struct mu_loop *l, const struct mu_store_backend *backend);
void mu_store_set_relay(struct mu_store *s, const struct mu_store_relay *r);
/* Drops operations in progress; the backend must not answer them any more. */
void mu_store_free(struct mu_store *s);

/*
 * Runs op until it is done, refused for good or deadline passes; an operation
 * without an answer is sent again, so a write must bear being run twice: a
 * CONFLICT may come from an earlier attempt of its own.  op is copied.  done
 * is called once, never from within this function.
 */
void mu_store_run(struct mu_store *s, const Mu__StoreOp *op, mu_us deadline,
    mu_store_fn done, void *arg);
/* One attempt for a peer; never relayed further. */
void mu_store_run_once(
    struct mu_store *s, const Mu__StoreOp *op, mu_store_fn done, void *arg);
/* Whether the store answers this daemon, in most of the parts asked lately. */
bool mu_store_ok(const struct mu_store *s);
/* Whether the store answers neither this daemon nor a peer: operations wait.
 */
bool mu_store_out(const struct mu_store *s);
/* Whether the part failed lately while others answered. */
bool
mu_store_part_suspect(struct mu_store *s, const char *table, const char *part);
/* Operations in progress. */
unsigned mu_store_pending(const struct mu_store *s);

#endif
