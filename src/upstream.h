/*
 * upstream.h -- HTTP/1.1 exchanges with endpoints on kept connections.
 *
 * Runs on the loop.  A pool holds the connections to one address; an exchange
 * borrows an idle one or opens a new one, writes its request at most once and
 * reports how the answer ended.  Nothing is sent again here.
 */
#ifndef MU_UPSTREAM_H
#define MU_UPSTREAM_H

#include <urcu/list.h>

#include "loop.h"

#define MU_UP_HEADERS 48 /* most headers of an answer */

struct mu_header {
	const char *name;
	const char *value;
};

struct mu_up_head {
	int status;
	const struct mu_header *headers;
	size_t nheaders;
};

enum mu_up_end {
	MU_UP_COMPLETE, /* the answer came complete */
	MU_UP_CONNECT_FAILED, /* no connection was made */
	MU_UP_ABORTED, /* closed or reset before the answer's end */
	MU_UP_REJECTED, /* a new connection was reset at once: the endpoint
			      is down or has too many; it may have run all
			      the same */
	MU_UP_MALFORMED, /* bytes that are no answer */
	MU_UP_NOMEM
};

/* Connections to one address. */
struct mu_up_pool {
	struct mu_loop *loop;
	char addr[MU_ADDR_LEN];
	uint32_t max_conns; /* connections; 0: no limit */
	uint32_t nopen;
	uint32_t nidle;
	uint64_t total_opened; /* over the pool's life */
	mu_us reuse_limit; /* idle time after which connections still worked */
	struct cds_list_head idle_conns; /* idle ones, the last used first */
};

struct mu_up_hooks {
	void *arg;
	/* False when the answer belongs to another request; it is skipped. */
	bool (*is_own)(void *arg, const struct mu_up_head *head);
	void (*head)(void *arg, const struct mu_up_head *head);
	void (*body)(void *arg, const char *data, size_t len);
	/* The exchange is over and must not be used again.  sent is false only
	 * if no byte of the request left this process. */
	void (*end)(void *arg, enum mu_up_end end, bool sent);
};

struct mu_up_req {
	const char *method;
	const char *target;
	const char *headers; /* lines, each ended by CR LF */
	const void *body;
	size_t len;
	bool has_body; /* a length is sent, also 0 */
};

struct mu_up_exchange;

void mu_up_pool_init(
    struct mu_up_pool *p, struct mu_loop *l, const char *addr, uint32_t max);
/* Closes idle connections; no exchange may be in progress. */
void mu_up_pool_clear(struct mu_up_pool *p);
/*
 * Starts an exchange.  NULL when no socket can be had, the address is bad or
 * the pool is at its limit; no hook is called then.  Hooks are never called
 * from within this function.
 */
struct mu_up_exchange *mu_up_start(struct mu_up_pool *p,
    const struct mu_up_req *req, const struct mu_up_hooks *hooks);
/* Ends an exchange without a call of end; closes its connection.  False only
 * if no byte of the request left this process. */
bool mu_up_cancel(struct mu_up_exchange *x);
/* Whether the next exchange would use a kept connection. */
bool mu_up_warm(struct mu_up_pool *p);
const char *mu_up_end_name(enum mu_up_end end);

#endif
