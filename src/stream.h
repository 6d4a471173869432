/*
 * stream.h -- stream of a call's answer while it is being generated.
 *
 * An append-only list of lines, each a JSON string with a piece of the
 * answer's text, and one reply at the end.  Any number of readers can follow
 * it from the start; a call that is sent again joins the run in progress this
 * way.
 */
#ifndef MU_STREAM_H
#define MU_STREAM_H

#include "musher.h"

/* The final answer of a request. */
struct mu_reply {
	int status; /* HTTP */
	char *body; /* JSON text; owned by the stream */
	size_t len;
	uint32_t retry_after_ms;
	bool not_owner; /* the request must go to another daemon */
	bool not_run; /* an error with outcome not_run */
};

struct mu_stream;

/* A new stream has one reference. */
struct mu_stream *mu_stream_new(void);
struct mu_stream *mu_stream_ref(struct mu_stream *s);
void mu_stream_unref(struct mu_stream *s);

/* Appends line and a newline; ignored after the end. */
void mu_stream_write_line(struct mu_stream *s, const char *line);
/* Ends the stream; takes over reply->body.  Ignored if it has ended. */
void mu_stream_end(struct mu_stream *s, const struct mu_reply *reply);
/* Ends the stream with an error reply. */
void mu_stream_fail(struct mu_stream *s, const struct mu_error *e);

/*
 * Copies up to size bytes from offset.  Waits until some are available, the
 * stream has ended or wait_ms have passed.  Returns the number copied; 0 with
 * *ended set when everything has been read, 0 without it on a timeout.
 */
size_t mu_stream_read(struct mu_stream *s, size_t offset, char *buf,
    size_t size, uint32_t wait_ms, bool *ended);
/* Waits for the end; NULL on a timeout.  The reply is valid until unref. */
const struct mu_reply *
mu_stream_wait_end(struct mu_stream *s, uint32_t wait_ms);
/* Bytes written so far. */
size_t mu_stream_size(struct mu_stream *s);

/* {"error":{...}} as malloc'd JSON text. */
char *mu_error_body(const struct mu_error *e);
/* Fills *r with an error's status and body. */
void mu_reply_error(struct mu_reply *r, const struct mu_error *e);

#endif
