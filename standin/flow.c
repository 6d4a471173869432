/*
 * flow.c -- streamed answers and the faults that apply to them.
 *
 * libmicrohttpd reads the body on the connection's thread; the next event is
 * taken from the stand-in once the previous one was passed on completely.
 * "truncate" and "duplicate" are applied here, so that the stand-ins need not
 * implement them.
 */
#include <stdlib.h>
#include <string.h>

#include "serve_private.h"

#define READ_BLOCK_BYTES 4096

/* State of one streamed answer. */
struct stream_state {
	struct server *s;
	struct serve_conn *conn;
	struct serve_stream source;
	char *event;
	size_t len;
	size_t off; /* bytes of event already passed on */
	uint64_t events_taken;
	uint64_t truncate_at; /* close before this event */
	bool duplicate;
	bool resend; /* send the event a second time */
	bool last_taken;
};

/* Takes the next event into f->event; false aborts the stream. */
static bool
stream_next(struct stream_state *f)
{
	f->off = 0;
	if (f->resend) {
		f->resend = false;
		return true;
	}
	free(f->event);
	f->event = NULL;
	if (f->events_taken >= f->truncate_at)
		return false;
	switch (f->source.next_event(f->source.arg, f->conn, &f->event)) {
	case SERVE_ABORT:
		return false;
	case SERVE_LAST:
		f->last_taken = true;
		break;
	case SERVE_MORE:
		f->resend = f->duplicate;
		break;
	}
	f->events_taken++;
	f->len = strlen(f->event);
	return true;
}

static ssize_t
stream_read(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct stream_state *f = cls;
	size_t n;

	(void)pos;
	if (f->off == f->len) {
		if (f->last_taken)
			return MHD_CONTENT_READER_END_OF_STREAM;
		if (!stream_next(f))
			return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	if (conn_frozen(f->conn)) {
		conn_park(f->conn);
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	n = f->len - f->off;
	if (n > max)
		n = max;
	memcpy(buf, f->event + f->off, n);
	f->off += n;
	return (ssize_t)n;
}

static void
stream_free(void *cls)
{
	struct stream_state *f = cls;

	f->source.close(f->source.arg);
	free(f->event);
	free(f);
}

void
stream_discard(const struct serve_req *q, struct serve_stream *st)
{
	enum serve_event_status n;
	char *event;

	do {
		event = NULL;
		n = st->next_event(st->arg, q->conn, &event);
		free(event);
	} while (n == SERVE_MORE);
}

struct MHD_Response *
stream_response(struct serve_req *q, struct serve_stream *st)
{
	struct server *s = q->s;
	struct MHD_Response *r;
	struct stream_state *f = calloc(1, sizeof(*f));

	if (f == NULL) {
		st->close(st->arg);
		return NULL;
	}
	f->s = s;
	f->conn = q->conn;
	f->source = *st;
	f->truncate_at = UINT64_MAX;
	if (serve_consume_fault(s, &s->fault.truncate, q->body))
		f->truncate_at = st->chunks / 2;
	f->duplicate = serve_consume_fault(s, &s->fault.duplicate, q->body);
	r = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, READ_BLOCK_BYTES, stream_read, f, stream_free);
	if (r != NULL)
		MHD_add_response_header(r, "Content-Type", "text/event-stream");
	return r;
}
