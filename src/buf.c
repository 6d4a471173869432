/*
 * buf.c -- growable byte buffer.
 *
 * Doubles when full and moves its content to the front once half of it has
 * been consumed, so the cost per byte is constant on average.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buf.h"

#define INITIAL_BYTES 512

static bool
should_compact(const struct mu_buf *b)
{
	return b->start > 0 && b->start >= b->len / 2;
}

static void
compact(struct mu_buf *b)
{
	memmove(b->p, b->p + b->start, b->len - b->start);
	b->len -= b->start;
	b->start = 0;
}

static int
resize(struct mu_buf *b, size_t size)
{
	char *p;

	if (size == b->size)
		return 0;
	p = realloc(b->p, size);
	if (p == NULL)
		return MU_E_NOMEM;
	b->p = p;
	b->size = size;
	return 0;
}

size_t
mu_buf_size_for(const struct mu_buf *b, size_t n)
{
	size_t size = b->size != 0 ? b->size : INITIAL_BYTES;
	size_t len = should_compact(b) ? b->len - b->start : b->len;

	while (size < len + n + 1)
		size *= 2;
	return size;
}

int
mu_buf_set_size(struct mu_buf *b, size_t size)
{
	if (b->start > 0)
		compact(b);
	return size > b->len ? resize(b, size) : MU_E_NOMEM;
}

char *
mu_buf_reserve(struct mu_buf *b, size_t n)
{
	if (should_compact(b))
		compact(b);
	return resize(b, mu_buf_size_for(b, n)) == 0 ? b->p + b->len : NULL;
}

int
mu_buf_add(struct mu_buf *b, const void *data, size_t n)
{
	char *p = mu_buf_reserve(b, n);

	if (p == NULL)
		return MU_E_NOMEM;
	if (n > 0)
		memcpy(p, data, n);
	b->len += n;
	b->p[b->len] = '\0';
	return 0;
}

int
mu_buf_printf(struct mu_buf *b, const char *fmt, ...)
{
	va_list ap;
	char *p;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0 || (p = mu_buf_reserve(b, (size_t)n)) == NULL)
		return MU_E_NOMEM;
	va_start(ap, fmt);
	(void)vsnprintf(p, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
	return 0;
}

void
mu_buf_consume(struct mu_buf *b, size_t n)
{
	b->start += n;
	if (b->start >= b->len)
		b->start = b->len = 0;
}

void
mu_buf_clear(struct mu_buf *b)
{
	free(b->p);
	memset(b, 0, sizeof(*b));
}
