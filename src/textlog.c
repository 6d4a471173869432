/*
 * textlog.c -- streamed text that survives a rerun.
 *
 * Text beyond MU_REPLAY_MAX_BYTES is passed on but not kept.  An owner then
 * does not run the call again (retry.c is told replay false); a reader whose
 * owner died has the kept part compared and the rest skipped by its length.
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
	t->kept = true;
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
	t->again = 0;
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
keep(struct mu_textlog *t, const char *text, size_t len)
{
	if (!t->kept)
		return;
	if (t->len + len > MU_REPLAY_MAX_BYTES ||
	    !grow(&t->text, &t->size, t->len + len)) {
		t->kept = false;
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

/* Bytes of a rerun's piece that the reader has already. */
static bool
skip_known(struct mu_textlog *t, const char *text, size_t len, size_t *skip)
{
	uint64_t known = t->passed - t->again;

	if (mu_replay_feed(&t->replay, text, len, skip) == MU_REPLAY_DIFFERS) {
		t->differs = true;
		return false;
	}
	*skip = known < len ? (size_t)known : len;
	t->again += *skip;
	t->replaying = *skip == len;
	return true;
}

bool
mu_textlog_add(struct mu_textlog *t, const char *text, size_t len)
{
	size_t skip = 0;

	if (t->replaying && !skip_known(t, text, len, &skip))
		return false;
	if (skip == len)
		return true;
	write_line(t, text + skip, len - skip);
	keep(t, text + skip, len - skip);
	t->passed += len - skip;
	return true;
}

bool
mu_textlog_finish(struct mu_textlog *t, const char *text, size_t len)
{
	if (t->differs || len < t->passed ||
	    (t->len > 0 && memcmp(t->text, text, t->len) != 0)) {
		t->differs = true;
		return false;
	}
	if (len > t->passed)
		write_line(t, text + t->passed, len - t->passed);
	t->passed = len;
	return true;
}

bool
mu_textlog_whole(const struct mu_textlog *t)
{
	return !t->differs && (!t->replaying || t->again == t->passed);
}

static bool
line_end(struct mu_textlines *l, struct mu_textlog *t)
{
	json_t *s = json_loadb(l->line, l->len, JSON_DECODE_ANY, NULL);
	bool go = json_is_string(s) && mu_textlog_add(t, json_string_value(s),
					   json_string_length(s));

	json_decref(s);
	l->len = 0;
	return go;
}

bool
mu_textlines_add(
    struct mu_textlines *l, struct mu_textlog *t, const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (data[i] == '\n') {
			if (!line_end(l, t))
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
