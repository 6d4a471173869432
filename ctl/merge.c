/*
 * merge.c -- three-way merge of two operators' changes.
 *
 * The change from base to mine is split into the hunks of mu_text_diff(), each
 * with its context lines.  A hunk is applied where its old lines (context and
 * removed) occur in the other operator's text.  They must occur exactly once:
 * a services text has many similar sections, and changing the wrong one would
 * be worse than reporting a conflict.
 */
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "text.h"

/* Old and new lines of one hunk, with their newlines. */
struct hunk {
	char *old_lines;
	char *new_lines;
};

static void
hunk_free(struct hunk *h)
{
	free(h->old_lines);
	free(h->new_lines);
}

static void
append(char *to, const char *s, size_t n)
{
	(void)strncat(to, s, n);
}

/* Parses the hunk at *p, skipping its header line; advances *p past it. */
static int
hunk_read(const char **p, struct hunk *h)
{
	size_t size = strlen(*p) + 1;
	const char *line, *end;

	h->old_lines = calloc(1, size);
	h->new_lines = calloc(1, size);
	if (h->old_lines == NULL || h->new_lines == NULL) {
		hunk_free(h);
		return MU_E_NOMEM;
	}
	for (line = strchr(*p, '\n') + 1; *line != '\0' && *line != '@';
	     line = end) {
		end = strchr(line, '\n') + 1;
		if (*line != '+')
			append(
			    h->old_lines, line + 1, (size_t)(end - line - 1));
		if (*line != '-')
			append(
			    h->new_lines, line + 1, (size_t)(end - line - 1));
	}
	*p = line;
	return 0;
}

/* Finds old at or after s, at the start of a line. */
static char *
find_lines(char *text, char *s, const char *old)
{
	for (; (s = strstr(s, old)) != NULL; s++)
		if (s == text || s[-1] == '\n')
			return s;
	return NULL;
}

/* Replaces the only match of the hunk's old lines in *text. */
static int
hunk_apply(const struct hunk *h, char **text)
{
	char *pos = *text, *out;
	size_t prefix_len, size;

	/* A hunk without old lines was made from an empty base text. */
	if (h->old_lines[0] == '\0' && (*text)[0] != '\0')
		return MU_E_CONFLICT;
	if (h->old_lines[0] != '\0') {
		pos = find_lines(*text, *text, h->old_lines);
		if (pos == NULL ||
		    find_lines(*text, pos + 1, h->old_lines) != NULL)
			return MU_E_CONFLICT;
	}
	prefix_len = (size_t)(pos - *text);
	size = strlen(*text) + strlen(h->new_lines) + 1;
	out = malloc(size);
	if (out == NULL)
		return MU_E_NOMEM;
	(void)snprintf(out, size, "%.*s%s%s", (int)prefix_len, *text,
	    h->new_lines, pos + strlen(h->old_lines));
	free(*text);
	*text = out;
	return 0;
}

/* Copies s, adding a final newline if it has none, as the hunks do. */
static char *
copy_with_final_newline(const char *s)
{
	size_t n = strlen(s);
	char *p = malloc(n + 2);

	if (p == NULL)
		return NULL;
	memcpy(p, s, n + 1);
	if (n > 0 && s[n - 1] != '\n')
		memcpy(p + n, "\n", 2);
	return p;
}

int
ctl_merge(const char *base, const char *mine, const char *theirs, char **merged)
{
	char *diff = mu_text_diff(base, mine);
	char *text = copy_with_final_newline(theirs);
	const char *p = diff;
	struct hunk h;
	int rc = 0;

	*merged = NULL;
	if (diff == NULL || text == NULL)
		rc = MU_E_NOMEM;
	while (rc == 0 && *p != '\0') {
		rc = hunk_read(&p, &h);
		if (rc != 0)
			break;
		rc = hunk_apply(&h, &text);
		hunk_free(&h);
	}
	free(diff);
	if (rc != 0)
		free(text);
	else
		*merged = text;
	return rc;
}
