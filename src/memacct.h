/*
 * memacct.h -- account of the bytes that a daemon holds on behalf of others.
 *
 * Without I/O and locks: callers on several threads lock around each call.
 */
#ifndef MU_MEMACCT_H
#define MU_MEMACCT_H

#include <urcu/list.h>

#include "musher.h"

#define MU_ACCT_CLIENT_BUCKETS 256
/* A holder of at most this many bytes may use the whole limit; larger ones
 * leave a quarter of it free. */
#define MU_ACCT_SMALL_BYTES ((size_t)64 << 10)
/* A holder without progress for this long may be dropped to make room. */
#define MU_ACCT_STALL_US (1 * MU_US_PER_S)

/* X(symbol, name) */
#define MU_ACCT_USES(X) \
	X(BODY, "body") /* bodies of requests, and copies of them */ \
	X(ANSWER, "answer") /* of endpoints, not taken by the caller yet */ \
	X(PEER, "peer") /* frames of other daemons */ \
	X(STORE, "store") /* operations of the store */

enum mu_acct_use {
#define X(sym, name) MU_ACCT_##sym,
	MU_ACCT_USES(X)
#undef X
	MU_ACCT_USE_COUNT
};

struct mu_acct_client; /* one client address */

/* One request's bytes of one use; embedded in its owner. */
struct mu_acct_holder {
	struct cds_list_head node; /* in the account while bytes > 0 */
	struct mu_acct_client *client; /* NULL while bytes is 0 */
	uint64_t client_key;
	enum mu_acct_use use;
	/* When it has stalled.  Set before the first bytes are taken; may only
	 * be cleared later. */
	bool may_drop;
	size_t bytes;
	mu_us progress_at; /* last byte sent or taken by the client */
	void *owner; /* for the user of the account */
};

/* A client that was refused for lack of room. */
struct mu_acct_refused {
	uint64_t client_key;
	mu_us at;
	bool valid;
};

struct mu_acct {
	size_t limit;
	size_t total;
	size_t large; /* of it, by holders of more than MU_ACCT_SMALL_BYTES */
	size_t used[MU_ACCT_USE_COUNT];
	struct cds_list_head holders;
	struct mu_acct_client *clients[MU_ACCT_CLIENT_BUCKETS];
	/* Refused most recently, of two different clients. */
	struct mu_acct_refused refused[2];
	mu_us no_stalled_before; /* no holder has stalled before this time */
};

enum mu_acct_result {
	MU_ACCT_OK,
	MU_ACCT_NO_ROOM,
	MU_ACCT_SHARE, /* more than the client's share, and another waits */
	MU_ACCT_NOMEM /* for the account's own list */
};

void mu_acct_init(struct mu_acct *a, size_t limit);
/* All bytes must have been given back; builds with a sanitizer check it. */
void mu_acct_fini(struct mu_acct *a);

/* client_key identifies the client's address. */
void mu_acct_holder_init(struct mu_acct_holder *h, enum mu_acct_use use,
    uint64_t client_key, void *owner);
/* Takes n bytes before they are allocated; nothing is taken unless the result
 * is MU_ACCT_OK. */
enum mu_acct_result
mu_acct_take(struct mu_acct *a, struct mu_acct_holder *h, size_t n, mu_us now);
/* Counts n bytes that can't be refused any more.  May exceed the limit. */
void
mu_acct_force(struct mu_acct *a, struct mu_acct_holder *h, size_t n, mu_us now);
/* Gives n bytes back after they are freed; all: SIZE_MAX. */
void mu_acct_give(struct mu_acct *a, struct mu_acct_holder *h, size_t n);
/* The client sent or took a byte. */
void mu_acct_progress(struct mu_acct_holder *h, mu_us now);
/*
 * After mu_acct_take() was refused: the stalled holder to drop first, or NULL
 * if dropping all that are stalled would not make room.  The caller frees its
 * memory, gives its bytes back and takes again.
 */
struct mu_acct_holder *mu_acct_victim(
    struct mu_acct *a, const struct mu_acct_holder *h, size_t n, mu_us now);
const char *mu_acct_use_name(enum mu_acct_use use);

/* Limits that follow from a host's memory and its limit of descriptors. */
struct mu_acct_limits {
	size_t body_memory; /* bytes */
	uint32_t max_connections;
};

void mu_acct_default_limits(
    uint64_t memory, uint64_t descriptors, struct mu_acct_limits *out);
/* The largest number of callers' connections that leaves the reserve. */
uint32_t mu_acct_max_connections(uint64_t descriptors);

#endif
