/*
 * buf.h -- growable byte buffer: append at the end, consume at the front.
 */
#ifndef MU_BUF_H
#define MU_BUF_H

#include "musher.h"

struct mu_buf {
	char *p;
	size_t start; /* first unread byte */
	size_t len; /* end of the bytes written */
	size_t size;
};

/* Makes room for n more bytes and a NUL and returns where they go; NULL if out
 * of memory. */
char *mu_buf_reserve(struct mu_buf *b, size_t n);
/* The allocated size after room for n more bytes has been made. */
size_t mu_buf_size_for(const struct mu_buf *b, size_t n);
/* Allocates exactly this size, of which one byte is for the NUL; it must be
 * more than the content.  Returns 0 or MU_E_NOMEM. */
int mu_buf_set_size(struct mu_buf *b, size_t size);
/* Returns 0 or MU_E_NOMEM. */
int mu_buf_add(struct mu_buf *b, const void *data, size_t n);
int mu_buf_printf(struct mu_buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void
mu_buf_consume(struct mu_buf *b, size_t n); /* drops n bytes at the front */
void mu_buf_clear(struct mu_buf *b); /* frees the memory */

static inline char *
mu_buf_data(const struct mu_buf *b)
{
	return b->p + b->start;
}

static inline size_t
mu_buf_len(const struct mu_buf *b)
{
	return b->len - b->start;
}

#endif
