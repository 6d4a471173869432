/*
 * inbound.h -- HTTP servers of the serving path: libmicrohttpd on the loop.
 *
 * A handler gets a request once its body is whole and answers it then or
 * later, in one piece or as a stream.  The request lives until its `closed`
 * hook has run.
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
	/* A whole request; must answer it, now or later. */
	void (*request)(void *arg, struct mu_in_req *r);
	/* The request is over: answered whole (ok), or the caller has gone or
	 * the answer was broken off.  r is freed after this. */
	void (*closed)(void *arg, struct mu_in_req *r, bool ok);
	/* Asked before each wait of the loop until it is true: connections wait
	 * to be accepted until then.  NULL: from the start. */
	bool (*admits)(void *arg);
};

struct mu_in_conf {
	const char *listen; /* IP:PORT */
	uint32_t max_body;
	uint32_t max_connections;
	uint32_t idle_s; /* a connection without a request is closed */
	struct mu_in_hooks hooks;
};

struct mu_in_req {
	struct MHD_Connection *connection;
	struct mu_inbound *in;
	const char *method;
	const char *target; /* as sent, query included */
	struct mu_buf body;
	bool has_body; /* a length or chunks were announced */
	bool too_large;
	void *user; /* the handler's */
	struct mu_arena *arena;
	bool caller_closed; /* the caller has closed its connection */
	/* Private to inbound.c. */
	char *uri;
	struct mu_watch watch;
	bool watching;
	bool suspended;
	bool dispatched;
	struct MHD_Response *response; /* made and not queued yet */
	int status;
	struct mu_buf stream_buf; /* of a stream */
	bool stream_ended; /* after what is queued */
	bool stream_truncated; /* broken off after what is queued */
	bool aborted; /* at once */
};

int mu_in_open(struct mu_inbound **in, struct mu_loop *l,
    const struct mu_in_conf *conf, struct mu_error *e);
/* No request may be in progress. */
void mu_in_close(struct mu_inbound *in);
/* Answers from now on ask callers to close their connections. */
void mu_in_leave(struct mu_inbound *in);
/* Connections that are open. */
unsigned mu_in_connections(struct mu_inbound *in);

const char *mu_in_header(struct mu_in_req *r, const char *name);
const char *mu_in_query(struct mu_in_req *r, const char *name);

/* The whole answer; the body is copied. */
void mu_in_answer(struct mu_in_req *r, int status,
    const struct mu_header *headers, size_t n, const void *body, size_t len);
/* An answer whose body follows piece by piece. */
void mu_in_begin(
    struct mu_in_req *r, int status, const struct mu_header *headers, size_t n);
void mu_in_write(struct mu_in_req *r, const void *data, size_t len);
/* Ends a stream: complete, or broken off so that the caller sees it. */
void mu_in_end(struct mu_in_req *r, bool complete);

#endif
