/*
 * sse.c -- incremental parser of text/event-stream.
 *
 * Input arrives in chunks of any size, so the current line and event are
 * buffered between calls.  A line ends with CR, LF or CRLF, a blank line ends
 * an event, and only the fields "data" and "id" are used.  An event that is
 * incomplete at the end of the stream is discarded.  The buffers are bounded,
 * because the input comes from another process.
 */
#include <stdlib.h>
#include <string.h>

#include "sse.h"

#define INITIAL_BYTES ((size_t)256)

void
mu_sse_init(struct mu_sse *s, size_t max)
{
	memset(s, 0, sizeof(*s));
	s->max = max;
}

void
mu_sse_clear(struct mu_sse *s)
{
	free(s->line.p);
	free(s->data.p);
	free(s->id.p);
	mu_sse_init(s, s->max);
}

/* Appends bytes and a terminating NUL; at most max bytes in total. */
static int
append_bytes(struct mu_sse_buf *b, const char *bytes, size_t len, size_t max)
{
	size_t size = b->size != 0 ? b->size : INITIAL_BYTES;
	char *p;

	if (len > max - b->len)
		return MU_E_TOO_LARGE;
	while (size < b->len + len + 1)
		size *= 2;
	if (size != b->size) {
		p = realloc(b->p, size);
		if (p == NULL)
			return MU_E_NOMEM;
		b->p = p;
		b->size = size;
	}
	if (len > 0)
		memcpy(b->p + b->len, bytes, len);
	b->len += len;
	b->p[b->len] = '\0';
	return 0;
}

/* Finds the value of the named field; false if line is another field. */
static bool
field_value(
    const struct mu_sse_buf *line, const char *name, const char **p, size_t *n)
{
	size_t len = strlen(name);

	if (line->len < len || memcmp(line->p, name, len) != 0 ||
	    (line->len > len && line->p[len] != ':'))
		return false;
	*p = line->p + len;
	*n = line->len - len;
	if (*n > 0) {
		(*p)++;
		(*n)--;
	}
	if (*n > 0 && **p == ' ') {
		(*p)++;
		(*n)--;
	}
	return true;
}

/* Stores the value of a "data" or "id" line; other fields are ignored. */
static int
process_line(struct mu_sse *s)
{
	const char *p;
	size_t n;
	int rc;

	if (field_value(&s->line, "id", &p, &n)) {
		s->id.len = 0;
		return append_bytes(&s->id, p, n, s->max);
	}
	if (!field_value(&s->line, "data", &p, &n))
		return 0;
	if (s->has_data) {
		rc = append_bytes(&s->data, "\n", 1, s->max);
		if (rc != 0)
			return rc;
	}
	s->has_data = true;
	return append_bytes(&s->data, p, n, s->max);
}

static int
end_line(struct mu_sse *s,
    int (*on_event)(void *arg, const char *data, size_t len), void *arg)
{
	int rc = 0;

	if (s->line.len > 0) {
		if (*s->line.p != ':') /* a comment */
			s->in_event = true;
		rc = process_line(s);
		s->line.len = 0;
		return rc;
	}
	s->in_event = false;
	if (s->has_data) {
		rc = on_event(arg, s->data.p, s->data.len);
		s->data.len = 0;
		s->has_data = false;
	}
	return rc;
}

size_t
mu_sse_held(const struct mu_sse *s)
{
	return s->line.size + s->data.size + s->id.size;
}

bool
mu_sse_at_boundary(const struct mu_sse *s)
{
	return s->line.len == 0 && !s->in_event;
}

/* Returns the number of bytes before the next CR or LF. */
static size_t
line_span(const char *bytes, size_t len)
{
	size_t n;

	for (n = 0; n < len; n++) {
		if (bytes[n] == '\n' || bytes[n] == '\r')
			break;
	}
	return n;
}

int
mu_sse_feed(struct mu_sse *s, const char *bytes, size_t len,
    int (*on_event)(void *arg, const char *data, size_t len), void *arg)
{
	size_t n;
	int rc;

	while (len > 0) {
		if (s->after_cr && *bytes == '\n') {
			s->after_cr = false;
			s->bytes_fed++;
			bytes++;
			len--;
			continue;
		}
		s->after_cr = false;
		n = line_span(bytes, len);
		rc = append_bytes(&s->line, bytes, n, s->max);
		if (rc != 0)
			return rc;
		s->bytes_fed += n;
		if (n == len)
			return 0;
		s->bytes_fed++;
		s->after_cr = bytes[n] == '\r';
		bytes += n + 1;
		len -= n + 1;
		rc = end_line(s, on_event, arg);
		if (rc != 0)
			return rc;
	}
	return 0;
}

static const char *
skip_zeros(const char *number)
{
	while (*number == '0')
		number++;
	return number;
}

static bool
is_decimal(const char *id)
{
	return *id != '\0' && id[strspn(id, "0123456789")] == '\0';
}

enum mu_sse_order
mu_sse_compare_ids(const char *id, const char *with)
{
	size_t n, m;
	int diff;

	if (!is_decimal(id) || !is_decimal(with))
		return strcmp(id, with) == 0 ? MU_SSE_SAME : MU_SSE_BEFORE;
	id = skip_zeros(id);
	with = skip_zeros(with);
	n = strlen(id);
	m = strlen(with);
	diff = n != m ? (n > m) - (n < m) : strcmp(id, with);
	if (diff == 0)
		return MU_SSE_SAME;
	return diff < 0 ? MU_SSE_BEFORE : MU_SSE_AFTER;
}
