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
	enum mu_in_end end; /* valid in the `closed` hook */
	/* Private to inbound.c. */
	char *uri;
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
/* Starts an answer whose body is streamed. */
void mu_in_stream_begin(
    struct mu_in_req *r, int status, const struct mu_header *headers, size_t n);
void mu_in_stream_write(struct mu_in_req *r, const void *data, size_t len);
/* Ends a stream; if it is not complete, the connection is aborted so that the
 * caller notices. */
void mu_in_stream_end(struct mu_in_req *r, bool complete);

#endif
