/*
 * textdiff.c -- line difference of two texts in unified format.
 *
 * The common prefix and suffix are stripped first, which leaves the lines
 * around the edit.  Those are compared by their longest common subsequence
 * (dynamic programming).  When they are too many for the table, they are shown
 * as all removed and all added, which is correct but longer.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "text.h"

#define CONTEXT_LINES 3
#define TABLE_MAX_CELLS ((size_t)4 * 1024 * 1024)

struct line {
	const char *s;
	size_t len;
};

struct lines {
	struct line *v;
	size_t n;
};

/* One output line: its mark (' ', '-' or '+') and its position in each text. */
struct edit {
	char mark;
	struct line line;
	size_t old_line;
	size_t new_line;
};

struct edit_script {
	struct edit *v;
	size_t n;
};

static int
lines_split(const char *s, struct lines *l)
{
	const char *p, *end;
	size_t n = 1;

	for (p = s; *p != '\0'; p++)
		n += *p == '\n';
	l->v = calloc(n, sizeof(*l->v));
	l->n = 0;
	if (l->v == NULL)
		return MU_E_NOMEM;
	while (*s != '\0') {
		end = strchrnul(s, '\n');
		l->v[l->n].s = s;
		l->v[l->n++].len = (size_t)(end - s);
		s = *end == '\n' ? end + 1 : end;
	}
	return 0;
}

static bool
lines_equal(const struct line *a, const struct line *b)
{
	return a->len == b->len && memcmp(a->s, b->s, a->len) == 0;
}

static void
add_edit(
    struct edit_script *s, char mark, const struct line *l, size_t i, size_t j)
{
	struct edit *e = &s->v[s->n++];

	e->mark = mark;
	e->line = *l;
	e->old_line = i;
	e->new_line = j;
}

/*
 * Fills t[i * (m + 1) + j] with the length of the longest common subsequence
 * of a[i..n) and b[j..m).
 */
static uint32_t *
common_lengths(const struct line *a, size_t n, const struct line *b, size_t m)
{
	uint32_t *t, down, right;
	size_t i, j, w = m + 1;

	if ((n + 1) > TABLE_MAX_CELLS / w)
		return NULL;
	t = calloc((n + 1) * w, sizeof(*t));
	if (t == NULL)
		return NULL;
	for (i = n; i-- > 0;) {
		for (j = m; j-- > 0;) {
			down = t[(i + 1) * w + j];
			right = t[i * w + j + 1];
			if (lines_equal(&a[i], &b[j]))
				t[i * w + j] = t[(i + 1) * w + j + 1] + 1;
			else
				t[i * w + j] = down > right ? down : right;
		}
	}
	return t;
}

/*
 * Compares the lines between prefix and suffix; they start at line `offset` of
 * both texts.
 */
static void
diff_middle(struct edit_script *s, const struct line *a, size_t n,
    const struct line *b, size_t m, size_t offset)
{
	uint32_t *t = common_lengths(a, n, b, m);
	size_t i = 0, j = 0, w = m + 1;

	while (i < n || j < m) {
		if (t != NULL && i < n && j < m && lines_equal(&a[i], &b[j])) {
			add_edit(s, ' ', &a[i], offset + i, offset + j);
			i++;
			j++;
		} else if (i < n &&
			   (t == NULL || j == m ||
			       t[(i + 1) * w + j] >= t[i * w + j + 1])) {
			add_edit(s, '-', &a[i], offset + i, offset + j);
			i++;
		} else {
			add_edit(s, '+', &b[j], offset + i, offset + j);
			j++;
		}
	}
	free(t);
}

static void
diff_lines(struct edit_script *s, const struct lines *a, const struct lines *b)
{
	size_t prefix = 0, suffix = 0, i;

	while (prefix < a->n && prefix < b->n &&
	       lines_equal(&a->v[prefix], &b->v[prefix]))
		prefix++;
	while (suffix < a->n - prefix && suffix < b->n - prefix &&
	       lines_equal(&a->v[a->n - 1 - suffix], &b->v[b->n - 1 - suffix]))
		suffix++;
	for (i = 0; i < prefix; i++)
		add_edit(s, ' ', &a->v[i], i, i);
	diff_middle(s, a->v + prefix, a->n - prefix - suffix, b->v + prefix,
	    b->n - prefix - suffix, prefix);
	for (i = suffix; i > 0; i--)
		add_edit(s, ' ', &a->v[a->n - i], a->n - i, b->n - i);
}

/* End of the hunk that contains the change at `from`, including its context. */
static size_t
hunk_end(const struct edit_script *s, size_t from)
{
	size_t i, last = from;

	for (i = from; i < s->n && i - last <= (size_t)2 * CONTEXT_LINES; i++)
		if (s->v[i].mark != ' ')
			last = i;
	last += CONTEXT_LINES + 1;
	return last < s->n ? last : s->n;
}

static void
print_hunk(FILE *f, const struct edit_script *s, size_t from, size_t to)
{
	size_t i, removed = 0, added = 0;

	for (i = from; i < to; i++) {
		removed += s->v[i].mark != '+';
		added += s->v[i].mark != '-';
	}
	(void)fprintf(f, "@@ -%zu,%zu +%zu,%zu @@\n",
	    s->v[from].old_line + (removed > 0), removed,
	    s->v[from].new_line + (added > 0), added);
	for (i = from; i < to; i++)
		(void)fprintf(f, "%c%.*s\n", s->v[i].mark,
		    (int)s->v[i].line.len, s->v[i].line.s);
}

static void
print_script(FILE *f, const struct edit_script *s)
{
	size_t i, from, printed = 0;

	for (i = 0; i < s->n; i++) {
		if (s->v[i].mark == ' ')
			continue;
		from = i > CONTEXT_LINES ? i - CONTEXT_LINES : 0;
		if (from < printed)
			from = printed;
		printed = hunk_end(s, i);
		print_hunk(f, s, from, printed);
		i = printed - 1;
	}
}

char *
mu_text_diff(const char *old_text, const char *new_text)
{
	struct lines a = {NULL, 0}, b = {NULL, 0};
	struct edit_script s = {NULL, 0};
	char *out = NULL;
	size_t size;
	FILE *f;

	if (lines_split(old_text, &a) != 0 || lines_split(new_text, &b) != 0)
		goto done;
	s.v = calloc(a.n + b.n + 1, sizeof(*s.v));
	if (s.v == NULL)
		goto done;
	diff_lines(&s, &a, &b);
	f = open_memstream(&out, &size);
	if (f == NULL)
		goto done;
	print_script(f, &s);
	if (fclose(f) != 0) {
		free(out);
		out = NULL;
	}
done:
	free(s.v);
	free(a.v);
	free(b.v);
	return out;
}
