/*
 * inbound.h -- HTTP servers of the serving path: libmicrohttpd on the loop.
 *
 * The request hook is called once the body is complete; it answers then or
 * later, in one piece or as a stream.  The request is valid until its `closed`
 * hook has returned.
 */
#ifndef MU_INBOUND_H
#define MU_INBOUND_H

#include <microhttpd.h>

#include "buf.h"
#include "loop.h"
#include "memacct.h"
#include "upstream.h"

struct mu_inbound; /* one listening address */
struct mu_in_req;

struct mu_in_hooks {
	void *arg;
	/* Handles a complete request; must answer it, now or later. */
	void (*request)(void *arg, struct mu_in_req *r);
	/* The request has ended.  ok: the whole answer was sent; else the
	 * caller closed the connection or the answer was aborted.  r is freed
	 * after this call. */
	void (*closed)(void *arg, struct mu_in_req *r, bool ok);
	/* Called before each wait of the loop until it returns true; no
	 * connection is accepted before that.  NULL: accept at once. */
	bool (*may_accept)(void *arg);
};

struct mu_in_conf {
	const char *listen; /* IP:PORT */
	uint32_t max_body;
	uint32_t max_connections;
	uint32_t idle_s; /* idle connections are closed after this */
	struct mu_in_hooks hooks;
	/* Refuses a length over max_body when the head is received, and closes
	 * the longest idle connection at max_connections.  Otherwise bodies are
	 * read to their end, and callers beyond the limit wait. */
	bool strict;
	struct mu_acct *acct; /* with strict; NULL: the sum is not limited */
	uint32_t body_timeout_ms; /* with strict; 0: none */
	/* A stream with more unsent bytes is aborted; 0: no limit. */
	size_t max_unsent;
};

/* How a request ended. */
enum mu_in_end {
	MU_IN_SENT, /* the whole answer was written to the socket */
	MU_IN_CALLER_CLOSED, /* the caller closed or reset its connection */
	MU_IN_CUT, /* by the daemon: the answer was aborted */
	MU_IN_TIMEOUT,
	MU_IN_FAILED /* of the connection, otherwise */
};

struct mu_in_req {
	struct MHD_Connection *connection;
	struct mu_inbound *in;
	const char *method;
	const char *target; /* as sent, including the query */
	struct mu_buf body;
	bool has_body; /* has Content-Length or Transfer-Encoding */
	bool too_large;
	void *user; /* for the handler */
	struct mu_arena *arena;
	bool caller_closed; /* the caller has closed its connection */
	bool unread; /* aborted, since the caller did not read the answer */
	enum mu_in_end end; /* valid in the `closed` hook */
	/* Private to inbound.c and inbody.c. */
	struct mu_in_conn *conn;
	char *uri;
	struct mu_timer body_timer;
	struct mu_acct_holder body_hold; /* of body */
	struct mu_acct_holder unsent_hold; /* of stream_buf */
	size_t skipped; /* bytes of a body that is too large */
	bool dropped; /* the rest of the body is not read */
	struct mu_watch watch;
	bool watching;
	bool suspended;
	bool dispatched;
	bool is_http10;
	struct MHD_Response *response; /* created, not queued yet */
	int status;
	struct mu_buf stream_buf; /* bytes of a stream not sent yet */
	bool stream_ended; /* end it after the bytes in stream_buf */
	bool stream_truncated; /* abort it after the bytes in stream_buf */
	bool aborted; /* drop the connection at once */
};

int mu_in_open(struct mu_inbound **in, struct mu_loop *l,
    const struct mu_in_conf *conf, struct mu_error *e);
/* No request may be in progress. */
void mu_in_close(struct mu_inbound *in);
/* Answers from now on carry "Connection: close". */
void mu_in_drain(struct mu_inbound *in);
/* Refuses new connections; requests on open ones are still served. */
void mu_in_stop_listening(struct mu_inbound *in);
/* Number of requests that were read whole and are not answered whole. */
unsigned mu_in_requests(const struct mu_inbound *in);
/* Number of open connections. */
unsigned mu_in_connections(struct mu_inbound *in);

const char *mu_in_end_name(enum mu_in_end end);
const char *mu_in_header(struct mu_in_req *r, const char *name);
const char *mu_in_query(struct mu_in_req *r, const char *name);

/* Sends a whole answer; the body is copied. */
void mu_in_answer(struct mu_in_req *r, int status,
    const struct mu_header *headers, size_t n, const void *body, size_t len);
/* Sends a whole answer; takes over a large body instead of copying it, with the
 * bytes that h holds for it, and leaves it empty then. */
void mu_in_answer_buf(struct mu_in_req *r, int status,
    const struct mu_header *headers, size_t n, struct mu_buf *body,
    struct mu_acct_holder *h);
/* Starts an answer whose body is streamed. */
void mu_in_stream_begin(
    struct mu_in_req *r, int status, const struct mu_header *headers, size_t n);
void mu_in_stream_write(struct mu_in_req *r, const void *data, size_t len);
/* Ends a stream; if it is not complete, the connection is aborted so that the
 * caller notices. */
void mu_in_stream_end(struct mu_in_req *r, bool complete);

/* The body is not needed any more: frees it before the request ends. */
void mu_in_body_done(struct mu_in_req *r);

/* Room in the account, for what is held because of a request. */

/* NULL: nothing is counted. */
struct mu_acct *mu_in_account(const struct mu_in_req *r);
void mu_in_holder_init(
    struct mu_in_req *r, struct mu_acct_holder *h, enum mu_acct_use use);
/* Takes n bytes, if need be after dropping what stalled callers hold; false if
 * there is no room. */
bool mu_in_reserve(struct mu_in_req *r, struct mu_acct_holder *h, size_t n);

#endif
