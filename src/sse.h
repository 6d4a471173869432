/*
 * sse.h -- incremental parser of text/event-stream.
 */
#ifndef MU_SSE_H
#define MU_SSE_H

#include "musher.h"

struct mu_sse_buf {
	char *p;
	size_t len;
	size_t size;
};

struct mu_sse {
	size_t max; /* longest line and longest event, bytes */
	struct mu_sse_buf line; /* the line being read */
	struct mu_sse_buf data; /* the event being read */
	struct mu_sse_buf id; /* last event id so far; may be empty */
	size_t fed; /* bytes read, the line end of an event's last line
		       included while on_event runs */
	bool has_data;
	bool after_cr;
};

void mu_sse_init(struct mu_sse *s, size_t max);
/*
 * Reads len bytes and calls on_event with the data of each event that they
 * complete; data is NUL-terminated and valid during the call only.
 * Returns 0, MU_E_TOO_LARGE, MU_E_NOMEM, or what on_event returned if that is
 * not 0; after any of these s must only be cleared.
 */
int mu_sse_feed(struct mu_sse *s, const char *bytes, size_t len,
    int (*on_event)(void *arg, const char *data, size_t len), void *arg);
void mu_sse_clear(struct mu_sse *s);

#endif
