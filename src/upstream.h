/*
 * upstream.h -- HTTP/1.1 exchanges with endpoints on persistent connections.
 *
 * Runs on the event loop.  A pool holds the connections to one address.  An
 * exchange takes an idle connection or opens a new one, writes its request at
 * most once and reports how the answer ended.  Retries are left to the user of
 * this module.
 */
#ifndef MU_UPSTREAM_H
#define MU_UPSTREAM_H

#include <urcu/list.h>

#include "loop.h"

#define MU_UP_HEADERS 48 /* most header fields of an answer */

struct mu_header {
	const char *name;
	const char *value;
};

struct mu_up_head {
	int status;
	bool reused; /* the connection has carried an earlier request */
	const struct mu_header *headers;
	size_t nheaders;
};

enum mu_up_end {
	MU_UP_COMPLETE, /* the whole answer was received */
	MU_UP_CONNECT_FAILED, /* no connection was established */
	MU_UP_ABORTED, /* closed or reset before the answer's end */
	/* A new connection was closed or reset at once: the endpoint is down or
	 * has too many connections.  The request may have run nevertheless. */
	MU_UP_REJECTED,
	MU_UP_MALFORMED, /* not HTTP, or over the limits of upstream.c */
	MU_UP_NOMEM
};

/* Connections to one address. */
struct mu_up_pool {
	struct mu_loop *loop;
	char addr[MU_ADDR_LEN];
	uint32_t max_conns; /* 0: no limit */
	uint32_t nopen;
	uint32_t nidle;
	uint64_t total_opened; /* since the pool was initialized */
	mu_us reuse_limit; /* longest idle time before reuse, learned */
	struct cds_list_head idle_conns; /* most recently used first */
	bool released; /* freed when its last connection closes */
	struct mu_up_exchange *probe; /* connection of mu_up_probe() */
	void (*on_unreachable)(void *arg);
	void *on_unreachable_arg;
};

enum mu_up_owner {
	MU_UP_OWN, /* the answer belongs to this request */
	MU_UP_OWN_LAST, /* it does, and the connection is not used again */
	MU_UP_FOREIGN /* it belongs to another request: skipped */
};

struct mu_up_hooks {
	void *arg;
	enum mu_up_owner (*owner)(void *arg, const struct mu_up_head *head);
	void (*head)(void *arg, const struct mu_up_head *head);
	void (*body)(void *arg, const char *data, size_t len);
	/* The exchange has ended and must not be used again.  sent is false
	 * only if no byte of the request was written to the socket. */
	void (*end)(void *arg, enum mu_up_end end, bool sent);
};

struct mu_up_req {
	const char *method;
	const char *target;
	const char *headers; /* lines, each terminated by CR LF */
	/* A large body is not copied: it must stay valid until the exchange has
	 * ended or was cancelled. */
	const void *body;
	size_t len;
	bool has_body; /* Content-Length is sent, even if it is 0 */
};

struct mu_up_exchange;

/* Returns NULL if there is no memory. */
struct mu_up_pool *
mu_up_pool_new(struct mu_loop *l, const char *addr, uint32_t max);
/*
 * Closes idle connections.  No exchange may be in progress, but this may be
 * called from a hook of one that has just been cancelled: the pool is freed
 * with its last connection.
 */
void mu_up_pool_release(struct mu_up_pool *p);
/*
 * Starts an exchange.  Returns NULL, and calls no hook, if the address is
 * invalid, the pool is at its limit or a socket or memory is not available.
 * Hooks are never called from within this function.
 */
struct mu_up_exchange *mu_up_start(struct mu_up_pool *p,
    const struct mu_up_req *req, const struct mu_up_hooks *hooks);
/* Ends an exchange without calling its end hook and closes the connection.
 * Returns false only if no byte of the request was written to the socket. */
bool mu_up_cancel(struct mu_up_exchange *x);
/* Stops reading the answer, for lack of room, until it is resumed. */
void mu_up_pause(struct mu_up_exchange *x);
void mu_up_resume(struct mu_up_exchange *x);
/*
 * Opens a connection to learn whether the address still accepts any, and keeps
 * it for later exchanges; on_unreachable is called if it can't be established,
 * never from within this function.  Does nothing while a probe is in progress.
 */
void
mu_up_probe(struct mu_up_pool *p, void (*on_unreachable)(void *arg), void *arg);
/* Whether the next exchange would reuse an idle connection. */
bool mu_up_can_reuse(struct mu_up_pool *p);
const char *mu_up_end_name(enum mu_up_end end);

#endif
