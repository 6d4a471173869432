/*
 * endpoint.h -- client of model engines and plain services.
 *
 * The only module that implements the endpoints' protocol
 * (docs/design/contracts.md).  Every call uses a new connection (http.h),
 * because HTTP libraries silently resend a request when a kept-alive
 * connection closes before the answer.  Synchronous; thread-safe.
 */
#ifndef MU_ENDPOINT_H
#define MU_ENDPOINT_H

#include <jansson.h>

#include "musher.h"

enum mu_ep_kind {
	MU_EP_MODEL,
	MU_EP_PLAIN
};

struct mu_ep_limits {
	uint32_t connect_ms;
	uint32_t first_byte_ms; /* from the last byte of the request */
	uint32_t idle_ms; /* between two reads */
	uint32_t total_ms;
};

struct mu_ep_call {
	enum mu_ep_kind kind;
	const char *addr; /* IP:PORT */
	const char *request_id; /* unique for each attempt */
	const char *program;
	uint64_t seq;
	uint64_t epoch;
	int32_t priority; /* lower runs first */
	const json_t *input; /* model: {"messages":[...],"max_tokens":N};
			      * plain: {"operation":"...", ...} */
	struct mu_ep_limits limits;
	/* Receives each piece of text in order; false aborts the call, which
	 * then fails with MU_E_CANCELLED. */
	bool (*on_text)(void *arg, const char *text, size_t len);
	void *arg;
	/* Polled during the call; true aborts it with MU_E_CANCELLED and, for
	 * a model call, sends a cancel to the endpoint.  May be NULL. */
	bool (*cancelled)(void *arg);
};

/*
 * How far a failed attempt got.  Only MU_ATTEMPT_NOT_SENT is proof by itself
 * that it did not run; MU_ATTEMPT_REFUSED relies on the endpoint's answer.
 */
enum mu_attempt_progress {
	MU_ATTEMPT_NOT_SENT, /* no byte was sent, e.g. connect refused */
	MU_ATTEMPT_REFUSED, /* the endpoint reported that it did not run it */
	MU_ATTEMPT_MAY_HAVE_RUN /* a byte may have been sent; it may have run */
};

struct mu_ep_usage {
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t output_tokens;
};

struct mu_ep_result {
	bool ok;
	enum mu_attempt_progress sent; /* when !ok */
	struct mu_error error; /* when !ok */
	json_t *output; /* when ok: model: string; plain: any JSON.
			 * owned by the caller */
	struct mu_ep_usage usage;
	mu_us time_to_first_byte; /* from the start of the attempt; 0: none */
	mu_us took;
};

void mu_ep_run(const struct mu_ep_call *c, struct mu_ep_result *r);

/* A load report; age_ms is its age as reported by the endpoint. */
struct mu_ep_load {
	uint32_t running;
	uint32_t queued;
	uint32_t max_batch;
	uint64_t cache_used; /* tokens */
	uint64_t cache_max;
	uint64_t age_ms;
};

int mu_ep_get_load(const char *addr, uint32_t timeout_ms, struct mu_ep_load *l,
    struct mu_error *e);

enum mu_ep_cache_event_kind {
	MU_EP_STORED,
	MU_EP_EVICTED
};

struct mu_ep_cache_event {
	uint64_t n;
	enum mu_ep_cache_event_kind kind;
	char program[MU_ID_LEN + 1];
	uint64_t tokens; /* length of the program's prefix now cached */
};

/*
 * Reads the cache events numbered above `after`; *next is the value of `after`
 * for the next call.
 */
int mu_ep_get_cache_events(const char *addr, uint32_t timeout_ms,
    uint64_t after, struct mu_ep_cache_event **events, size_t *count,
    uint64_t *next, struct mu_error *e);

struct mu_ep_cache_entry {
	char program[MU_ID_LEN + 1];
	uint64_t tokens;
};

/*
 * Lists the programs in the engine's cache.  Needed after a gap in the events,
 * from which the contents can no longer be derived.
 */
int mu_ep_get_cache_entries(const char *addr, uint32_t timeout_ms,
    struct mu_ep_cache_entry **held, size_t *count, struct mu_error *e);

/*
 * Commands.  All are idempotent; those on a program's cache carry the epoch,
 * for endpoints that reject an earlier owner's commands.
 */
int mu_ep_release_cache(const char *addr, uint32_t timeout_ms,
    const char *program, uint64_t epoch, struct mu_error *e);
int
mu_ep_export_cache(const char *addr, uint32_t timeout_ms, const char *program,
    uint64_t epoch, const char *object, struct mu_error *e);
int
mu_ep_import_cache(const char *addr, uint32_t timeout_ms, const char *program,
    uint64_t epoch, const char *object, struct mu_error *e);
int mu_ep_cancel(const char *addr, uint32_t timeout_ms, const char *request_id,
    struct mu_error *e);

#endif
