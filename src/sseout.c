/*
 * sseout.c -- sends a stream to a caller as server-sent events.
 *
 * libmicrohttpd calls read_response() for more bytes.  They come from a buffer
 * of formatted events, which is filled line by line from the stream.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sseout.h"

#define READ_BYTES 4096
#define BLOCK_BYTES 1024 /* libmicrohttpd's block size for the callback */
#define READ_TIMEOUT_MS 1000

struct sse_response {
	struct mu_stream *stream;
	size_t offset;
	enum mu_sse_style style;
	char *program;
	char *model;
	char *line; /* incomplete line */
	size_t line_len;
	char *out; /* formatted events */
	size_t out_len;
	size_t out_sent;
	bool finished;
};

static void
sse_free(void *arg)
{
	struct sse_response *e = arg;

	mu_stream_unref(e->stream);
	free(e->program);
	free(e->model);
	free(e->line);
	free(e->out);
	free(e);
}

static void
append_output(struct sse_response *e, const char *text, size_t len)
{
	char *p = realloc(e->out, e->out_len + len + 1);

	if (p == NULL)
		return;
	memcpy(p + e->out_len, text, len);
	e->out = p;
	e->out_len += len;
	p[e->out_len] = '\0';
}

static void
append_event(struct sse_response *e, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	if (text == NULL)
		return;
	append_output(e, "data: ", 6);
	append_output(e, text, strlen(text));
	append_output(e, "\n\n", 2);
	free(text);
}

static json_t *
chat_chunk(struct sse_response *e, json_t *delta, const char *finish)
{
	return json_pack("{s:s,s:s,s:s,s:[{s:i,s:o,s:s?}]}", "id", e->program,
	    "object", "chat.completion.chunk", "model",
	    e->model != NULL ? e->model : "", "choices", "index", 0, "delta",
	    delta, "finish_reason", finish);
}

static void
append_text_event(struct sse_response *e, json_t *text)
{
	json_t *delta;

	switch (e->style) {
	case MU_SSE_NATIVE:
		append_event(e, json_pack("{s:O}", "text", text));
		break;
	case MU_SSE_CHAT:
		delta = json_pack("{s:O}", "content", text);
		append_event(e, chat_chunk(e, delta, NULL));
		break;
	}
}

/* Formats one line of the stream as an event. */
static void
process_line(struct sse_response *e)
{
	json_t *text = json_loadb(e->line, e->line_len, JSON_DECODE_ANY, NULL);

	if (text != NULL)
		append_text_event(e, text);
	json_decref(text);
	e->line_len = 0;
}

static void
process_bytes(struct sse_response *e, const char *data, size_t len)
{
	char *p;
	size_t i;

	for (i = 0; i < len; i++) {
		if (data[i] == '\n') {
			process_line(e);
			continue;
		}
		p = realloc(e->line, e->line_len + 1);
		if (p == NULL)
			return;
		e->line = p;
		e->line[e->line_len++] = data[i];
	}
}

static void
process_end(struct sse_response *e)
{
	const struct mu_reply *reply = mu_stream_wait_end(e->stream, 0);
	json_t *j = json_loadb(reply->body, reply->len, 0, NULL);

	if (e->style == MU_SSE_NATIVE || reply->status >= 300) {
		if (j != NULL)
			append_event(e, json_incref(j));
	} else {
		append_event(e, chat_chunk(e, json_object(), "stop"));
	}
	json_decref(j);
	append_output(e, "data: [DONE]\n\n", 14);
	e->finished = true;
}

/* Reads the stream until at least one event is buffered or it has ended. */
static void
refill(struct sse_response *e)
{
	char buf[READ_BYTES];
	bool ended;
	size_t n;

	e->out_len = 0;
	e->out_sent = 0;
	while (e->out_len == 0 && !e->finished) {
		n = mu_stream_read(e->stream, e->offset, buf, sizeof(buf),
		    READ_TIMEOUT_MS, &ended);
		e->offset += n;
		process_bytes(e, buf, n);
		if (ended)
			process_end(e);
	}
}

static ssize_t
read_response(
    void *cls, uint64_t pos __attribute__((unused)), char *buf, size_t max)
{
	struct sse_response *e = cls;
	size_t n;

	if (e->out_sent == e->out_len) {
		if (e->finished)
			return MHD_CONTENT_READER_END_OF_STREAM;
		refill(e);
	}
	n = e->out_len - e->out_sent;
	if (n > max)
		n = max;
	memcpy(buf, e->out + e->out_sent, n);
	e->out_sent += n;
	return (ssize_t)n;
}

enum MHD_Result
mu_sse_queue_response(struct mu_web_req *r, struct mu_stream *s,
    enum mu_sse_style style, const char *program, const char *model)
{
	struct sse_response *e = calloc(1, sizeof(*e));
	struct MHD_Response *response;

	if (e == NULL)
		return MHD_NO;
	e->stream = mu_stream_ref(s);
	e->style = style;
	e->program = strdup(program);
	e->model = model != NULL ? strdup(model) : NULL;
	response = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, BLOCK_BYTES, read_response, e, sse_free);
	if (response == NULL) {
		sse_free(e);
		return MHD_NO;
	}
	MHD_add_response_header(
	    response, MHD_HTTP_HEADER_CONTENT_TYPE, "text/event-stream");
	MHD_add_response_header(response, "Cardamom-Program", program);
	r->streams = true;
	return mu_web_queue(r, MHD_HTTP_OK, response);
}
