/*
 * store.h -- client of the platform's table store.
 *
 * Operations are protobuf messages (proto/peer.proto, StoreOp), so that a
 * daemon which the store does not serve can send them through a peer.  A
 * backend runs one attempt; this module decides on timeouts, retries and the
 * path.
 */
#ifndef MU_STORE_H
#define MU_STORE_H

#include "loop.h"
#include "peer.pb-c.h"

#define MU_STORE_KEY_BYTES 200 /* longest key */

typedef void (*mu_store_result_fn)(void *arg, const Mu__StoreResult *r);

/* run() starts one attempt and calls done exactly once, never before it
 * returns. */
struct mu_store_backend {
	void *arg;
	void (*run)(void *arg, const Mu__StoreOp *op, uint32_t timeout_ms,
	    mu_store_result_fn done, void *done_arg);
};

/* The path through a peer; run() is as above and may end with REFUSED. */
struct mu_store_relay {
	void *arg;
	bool (*available)(void *arg);
	void (*run)(void *arg, const Mu__StoreOp *op, uint32_t timeout_ms,
	    mu_store_result_fn done, void *done_arg);
};

struct mu_store;

struct mu_store *
mu_store_new(struct mu_loop *l, const struct mu_store_backend *backend);
void mu_store_set_relay(struct mu_store *s, const struct mu_store_relay *r);
/* Drops operations in progress; the backend must not complete them later. */
void mu_store_free(struct mu_store *s);

/*
 * Runs op until it succeeds, fails permanently or deadline passes.  An
 * operation without an answer is sent again, so writes must be idempotent: a
 * CONFLICT may be caused by an earlier attempt of the same operation.  op is
 * copied.  done is called once, never from within this function.
 */
void mu_store_run(struct mu_store *s, const Mu__StoreOp *op, mu_us deadline,
    mu_store_result_fn done, void *arg);
/* Makes one attempt on behalf of a peer; it is never relayed further. */
void mu_store_run_for_peer(struct mu_store *s, const Mu__StoreOp *op,
    mu_store_result_fn done, void *arg);
/* Whether the store answers this daemon directly, judged by the partitions used
 * recently. */
bool mu_store_direct_available(const struct mu_store *s);
/* Whether the store answers neither this daemon nor a peer, so that operations
 * are queued. */
bool mu_store_unavailable(const struct mu_store *s);
/* Whether the partition failed recently while others answered. */
bool mu_store_partition_suspect(
    struct mu_store *s, const char *table, const char *part);
/* Whether operations on a partition are queued, as neither path reaches it. */
bool mu_store_partition_unavailable(
    struct mu_store *s, const char *table, const char *part);
/* Operations in progress. */
unsigned mu_store_pending(const struct mu_store *s);

#endif
