/*
 * arena.c -- bump allocator for the memory of one request.
 *
 * A request makes many small allocations that all have its lifetime.  They
 * come from a chain of blocks that is released in one call, so error paths
 * need not track single allocations.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "musher.h"

#define BLOCK_BYTES ((size_t)4096)
#define ALIGN_BYTES ((size_t)16)

struct block {
	struct block *next;
	size_t used;
	size_t size;
	_Alignas(16) unsigned char data[];
};

struct mu_arena {
	struct block *head;
};

struct mu_arena *
mu_arena_new(void)
{
	return calloc(1, sizeof(struct mu_arena));
}

static struct block *
block_add(struct mu_arena *a, size_t n)
{
	struct block *b;
	size_t size = n > BLOCK_BYTES ? n : BLOCK_BYTES;

	b = malloc(sizeof(*b) + size);
	if (b == NULL)
		return NULL;
	b->used = 0;
	b->size = size;
	b->next = a->head;
	a->head = b;
	return b;
}

void *
mu_arena_alloc(struct mu_arena *a, size_t n)
{
	struct block *b = a->head;
	void *p;

	if (n > SIZE_MAX / 2)
		return NULL;
	n = (n + ALIGN_BYTES - 1) & ~(ALIGN_BYTES - 1);
	if (b == NULL || b->size - b->used < n)
		b = block_add(a, n);
	if (b == NULL)
		return NULL;
	p = b->data + b->used;
	b->used += n;
	memset(p, 0, n);
	return p;
}

char *
mu_arena_strdup(struct mu_arena *a, const char *s)
{
	size_t n = strlen(s) + 1;
	char *p = mu_arena_alloc(a, n);

	if (p != NULL)
		memcpy(p, s, n);
	return p;
}

char *
mu_arena_printf(struct mu_arena *a, const char *fmt, ...)
{
	va_list ap;
	char *p;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0)
		return NULL;
	p = mu_arena_alloc(a, (size_t)n + 1);
	if (p == NULL)
		return NULL;
	va_start(ap, fmt);
	(void)vsnprintf(p, (size_t)n + 1, fmt, ap);
	va_end(ap);
	return p;
}

void
mu_arena_free(struct mu_arena *a)
{
	struct block *b;

	if (a == NULL)
		return;
	while ((b = a->head) != NULL) {
		a->head = b->next;
		free(b);
	}
	free(a);
}
