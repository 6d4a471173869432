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
	size_t max; /* longest line and longest event data, bytes */
	struct mu_sse_buf line; /* line being read */
	struct mu_sse_buf data; /* data of the event being read */
	struct mu_sse_buf id; /* last event id; may be empty */
	size_t bytes_fed; /* bytes parsed; while on_event runs this includes the
		       line end that completes the event */
	bool has_data;
	bool in_event; /* a field was read since the last blank line */
	bool after_cr;
};

void mu_sse_init(struct mu_sse *s, size_t max);
/*
 * Parses len bytes and calls on_event with the data of each event that they
 * complete; data is NUL-terminated and valid during the call only.  Returns 0,
 * MU_E_TOO_LARGE, MU_E_NOMEM or a non-zero value returned by on_event.  After
 * a non-zero result the only valid operation on s is mu_sse_clear().
 */
int mu_sse_feed(struct mu_sse *s, const char *bytes, size_t len,
    int (*on_event)(void *arg, const char *data, size_t len), void *arg);
/* Bytes allocated for what is being read. */
size_t mu_sse_held(const struct mu_sse *s);
/* Whether the input so far ends between two events: a stream that ends
 * elsewhere was broken off. */
bool mu_sse_at_boundary(const struct mu_sse *s);
void mu_sse_clear(struct mu_sse *s);

enum mu_sse_order {
	MU_SSE_BEFORE,
	MU_SSE_SAME,
	MU_SSE_AFTER
};

/* Where an event stands to another one of its stream, by their ids.  Ids that
 * are numbers increase; others have no order, and one that differs counts as
 * before. */
enum mu_sse_order mu_sse_compare_ids(const char *id, const char *with);

#endif
