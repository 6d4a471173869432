/*
 * textlog.c -- log of streamed text, for resuming a stream after a rerun.
 *
 * Text beyond MU_REPLAY_MAX_BYTES is written to the stream but not kept.  An
 * owner then does not rerun the call (all_text_kept is false, so retry.c does
 * not allow it).  After the loss of an owner, route.c compares the kept part
 * and skips the rest by its length.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "textlog.h"

void
mu_textlog_init(struct mu_textlog *t, struct mu_stream *s)
{
	memset(t, 0, sizeof(*t));
	t->stream = s;
	t->all_text_kept = true;
}

void
mu_textlog_clear(struct mu_textlog *t)
{
	free(t->text);
	memset(t, 0, sizeof(*t));
}

void
mu_textlog_rerun(struct mu_textlog *t)
{
	mu_replay_init(&t->replay, t->text, t->len);
	t->rerun_bytes = 0;
	t->replaying = true;
}

static bool
grow(char **buf, size_t *size, size_t need)
{
	size_t n = *size != 0 ? *size : 256;
	char *p;

	while (n < need)
		n *= 2;
	if (n == *size)
		return true;
	p = realloc(*buf, n);
	if (p == NULL)
		return false;
	*buf = p;
	*size = n;
	return true;
}

static void
retain_text(struct mu_textlog *t, const char *text, size_t len)
{
	if (!t->all_text_kept)
		return;
	if (t->len + len > MU_REPLAY_MAX_BYTES ||
	    !grow(&t->text, &t->size, t->len + len)) {
		t->all_text_kept = false;
		return;
	}
	memcpy(t->text + t->len, text, len);
	t->len += len;
}

static void
write_line(struct mu_textlog *t, const char *text, size_t len)
{
	json_t *s = json_stringn_nocheck(text, len);
	char *line = json_dumps(s, JSON_ENCODE_ANY | JSON_COMPACT);

	json_decref(s);
	if (line == NULL)
		return;
	mu_stream_write_line(t->stream, line);
	free(line);
}

/* Sets *skip to how much of a rerun's piece the reader already has. */
static bool
match_rerun(struct mu_textlog *t, const char *text, size_t len, size_t *skip)
{
	uint64_t remaining = t->delivered_bytes - t->rerun_bytes;

	if (mu_replay_feed(&t->replay, text, len, skip) == MU_REPLAY_DIFFERS) {
		t->rerun_differs = true;
		return false;
	}
	*skip = remaining < len ? (size_t)remaining : len;
	t->rerun_bytes += *skip;
	t->replaying = *skip == len;
	return true;
}

bool
mu_textlog_add(struct mu_textlog *t, const char *text, size_t len)
{
	size_t skip = 0;

	if (t->replaying && !match_rerun(t, text, len, &skip))
		return false;
	if (skip == len)
		return true;
	write_line(t, text + skip, len - skip);
	retain_text(t, text + skip, len - skip);
	t->delivered_bytes += len - skip;
	return true;
}

bool
mu_textlog_finish(struct mu_textlog *t, const char *text, size_t len)
{
	if (t->rerun_differs || len < t->delivered_bytes ||
	    (t->len > 0 && memcmp(t->text, text, t->len) != 0)) {
		t->rerun_differs = true;
		return false;
	}
	if (len > t->delivered_bytes)
		write_line(
		    t, text + t->delivered_bytes, len - t->delivered_bytes);
	t->delivered_bytes = len;
	return true;
}

bool
mu_textlog_complete(const struct mu_textlog *t)
{
	return !t->rerun_differs &&
	       (!t->replaying || t->rerun_bytes == t->delivered_bytes);
}

static bool
process_line(struct mu_textlines *l, struct mu_textlog *t)
{
	json_t *s = json_loadb(l->line, l->len, JSON_DECODE_ANY, NULL);
	bool consistent =
	    json_is_string(s) &&
	    mu_textlog_add(t, json_string_value(s), json_string_length(s));

	json_decref(s);
	l->len = 0;
	return consistent;
}

bool
mu_textlines_feed(
    struct mu_textlines *l, struct mu_textlog *t, const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (data[i] == '\n') {
			if (!process_line(l, t))
				return false;
			continue;
		}
		if (!grow(&l->line, &l->size, l->len + 1))
			return false;
		l->line[l->len++] = data[i];
	}
	return true;
}

void
mu_textlines_clear(struct mu_textlines *l)
{
	free(l->line);
	memset(l, 0, sizeof(*l));
}
