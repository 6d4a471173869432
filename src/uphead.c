/*
 * uphead.c -- what the head of an endpoint's answer says about the answer.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "uphead.h"

#define STATUS_DIGITS 3
#define STATUS_SWITCHING_PROTOCOLS 101 /* only sent when asked for */
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define KEEP_ALIVE_MAX_S 3600
#define FRAMING_LINE_BYTES 256

void
mu_status_line_begin(struct mu_status_line *l)
{
	l->place = MU_LINE_VERSION;
	l->n = 0;
}

static bool
is_digit(char c)
{
	return c >= '0' && c <= '9';
}

static bool
check_byte(struct mu_status_line *l, char c)
{
	static const char version[] = "TTP/1.";

	switch (l->place) {
	case MU_LINE_VERSION:
		if (c != version[l->n])
			return false;
		if (version[++l->n] == '\0')
			l->place = MU_LINE_MINOR;
		return true;
	case MU_LINE_MINOR:
		l->place = MU_LINE_SPACE;
		return is_digit(c);
	case MU_LINE_SPACE:
		l->place = MU_LINE_STATUS;
		l->n = 0;
		return c == ' ';
	case MU_LINE_STATUS:
		if (c == ' ' && l->n == 0)
			return true; /* more white space */
		if (l->n < STATUS_DIGITS) {
			l->n++;
			return is_digit(c);
		}
		l->place = MU_LINE_CHECKED;
		return c == ' ' || c == '\r' || c == '\n';
	case MU_LINE_CHECKED:
		break;
	}
	return true;
}

bool
mu_status_line_check(struct mu_status_line *l, const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len && l->place != MU_LINE_CHECKED; i++)
		if (!check_byte(l, data[i]))
			return false;
	return true;
}

enum mu_head_kind
mu_head_kind(int status)
{
	if (status < 100 || status > 599 ||
	    status == STATUS_SWITCHING_PROTOCOLS)
		return MU_HEAD_INVALID;
	return status < 200 ? MU_HEAD_INTERIM : MU_HEAD_FINAL;
}

bool
mu_head_has_body(int status)
{
	return status != STATUS_NO_CONTENT && status != STATUS_NOT_MODIFIED;
}

bool
mu_head_is_coding(const struct mu_header *h)
{
	return strcasecmp(h->name, "Transfer-Encoding") == 0;
}

bool
mu_head_is_other_coding(const struct mu_header *h)
{
	return mu_head_is_coding(h) && strcasecmp(h->value, "chunked") != 0;
}

/* Sets the parts of a line; false if it has no name. */
static bool
split_line(char *line, struct mu_header *h)
{
	char *colon = strchr(line, ':'), *value;
	size_t n;

	if (colon == NULL || colon == line)
		return false;
	*colon = '\0';
	value = colon + 1 + strspn(colon + 1, " \t");
	n = strlen(value);
	while (n > 0 && strchr(" \t\r\n", value[n - 1]) != NULL)
		value[--n] = '\0';
	n = strlen(line);
	while (n > 0 && (line[n - 1] == ' ' || line[n - 1] == '\t'))
		line[--n] = '\0';
	h->name = line;
	h->value = value;
	return true;
}

static bool
add_length(struct mu_head_framing *f, const char *value)
{
	size_t n = strlen(value);

	if (n == 0 || n >= sizeof(f->length) ||
	    strspn(value, "0123456789") != n ||
	    (f->has_length && strcmp(f->length, value) != 0))
		return false;
	memcpy(f->length, value, n + 1);
	f->has_length = true;
	return true;
}

bool
mu_head_add_line(struct mu_head_framing *f, const char *line, size_t len)
{
	/* Longer ones are no length and no transfer coding. */
	char copy[FRAMING_LINE_BYTES];
	struct mu_header h;

	if (*line == ' ' || *line == '\t')
		return true; /* continues a field */
	if (len >= sizeof(copy))
		return memchr(line, ':', len) != NULL && *line != ':';
	memcpy(copy, line, len);
	copy[len] = '\0';
	if (!split_line(copy, &h))
		return false;
	if (strcasecmp(h.name, "Content-Length") == 0 &&
	    !add_length(f, h.value))
		return false;
	if (mu_head_is_other_coding(&h))
		return false;
	f->is_chunked = f->is_chunked || mu_head_is_coding(&h);
	return !f->is_chunked || !f->has_length;
}

mu_us
mu_head_keep_alive(const struct mu_header *headers, size_t n, mu_us none)
{
	mu_us found = none;
	const char *p;
	size_t i;
	long s;

	for (i = 0; i < n; i++) {
		if (strcasecmp(headers[i].name, "Keep-Alive") != 0 ||
		    (p = strcasestr(headers[i].value, "timeout=")) == NULL)
			continue;
		s = strtol(p + strlen("timeout="), NULL, 10);
		if (s < 0)
			s = 0;
		found =
		    (s < KEEP_ALIVE_MAX_S ? s : KEEP_ALIVE_MAX_S) * MU_US_PER_S;
	}
	return found;
}
