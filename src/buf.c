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

char *
mu_buf_reserve(struct mu_buf *b, size_t n)
{
	size_t size = b->size != 0 ? b->size : INITIAL_BYTES;
	char *p;

	if (b->start > 0 && b->start >= b->len / 2) {
		memmove(b->p, b->p + b->start, b->len - b->start);
		b->len -= b->start;
		b->start = 0;
	}
	while (size < b->len + n + 1)
		size *= 2;
	if (size != b->size) {
		p = realloc(b->p, size);
		if (p == NULL)
			return NULL;
		b->p = p;
		b->size = size;
	}
	return b->p + b->len;
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
