/*
 * proc_stream.h -- a caller that reads a streamed answer incrementally.
 *
 * The request is HTTP/1.0, so that the events arrive without chunk headers and
 * the response ends when the server closes the connection.  Functions report
 * failures to cmocka; call them from the test's thread.
 */
#ifndef PROC_STREAM_H
#define PROC_STREAM_H

#include "proc.h"

struct stream {
	int fd;
	char *buf; /* NUL-terminated */
	size_t len;
	bool closed;
};

/* Sends a streamed model call; text must not need JSON escapes. */
void stream_open(struct stream *s, const char *addr, const char *program,
    int seq, const char *text, int max_tokens);
/* Reads until n text events have arrived or the connection is closed. */
void stream_until(struct stream *s, size_t n);
/* Reads until the server closes the connection. */
void stream_drain(struct stream *s);
void stream_close(struct stream *s);
/* Concatenated text of all events so far; to be freed with free(). */
char *stream_text(const struct stream *s);
/* The last JSON event, or the body if there is none (new reference). */
json_t *stream_last(const struct stream *s);
/* Stores the error type of the last event in buf, "" if none. */
const char *stream_error(const struct stream *s, char buf[64]);

/* POST /fault {field: n} to each running engine. */
void engines_set(struct cluster *c, const char *field, json_int_t n);
/* How many times the engines ran the call (program NULL: any call). */
size_t
engines_run_count(struct cluster *c, const char *program, json_int_t seq);
/* Waits until the engines ran the call n times. */
void engines_until(struct cluster *c, const char *program, int seq, size_t n);
/* Waits until an engine ran the call, and returns that engine. */
struct unit *engine_of(struct cluster *c, const char *program, int seq);
/* Applies the text of cluster_text() with line added to each service. */
void cluster_apply_with_line(struct cluster *c, const char *line);

#endif
