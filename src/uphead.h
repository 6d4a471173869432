/*
 * uphead.h -- what the head of an endpoint's answer says about the answer.
 *
 * Without I/O.  http-parser accepts more than HTTP/1.1 (RFC 9110, RFC 9112)
 * lets an answer be; what it passes over is checked here.
 */
#ifndef MU_UPHEAD_H
#define MU_UPHEAD_H

#include "upstream.h"

enum mu_status_line_place {
	MU_LINE_VERSION,
	MU_LINE_MINOR,
	MU_LINE_SPACE,
	MU_LINE_STATUS,
	MU_LINE_CHECKED
};

/* The part of a status line that has been checked. */
struct mu_status_line {
	enum mu_status_line_place place;
	unsigned n; /* bytes of the version, or digits of the status */
};

/* The parser has taken the line's first letter. */
void mu_status_line_begin(struct mu_status_line *l);
/* Checks the bytes that follow; false: not HTTP/1, or a status that isn't three
 * digits. */
bool
mu_status_line_check(struct mu_status_line *l, const char *data, size_t len);

enum mu_head_kind {
	MU_HEAD_INTERIM, /* another answer follows */
	MU_HEAD_FINAL,
	MU_HEAD_INVALID
};

enum mu_head_kind mu_head_kind(int status);
/* Whether a body follows a final head, by its status. */
bool mu_head_has_body(int status);
/* Whether the header names a transfer coding other than chunked.  Requests ask
 * for none, and the caller would get the coded body without this header. */
bool mu_head_is_other_coding(const struct mu_header *h);
/* Whether the header names a transfer coding. */
bool mu_head_is_coding(const struct mu_header *h);
/* What the fields read so far say about the end of the body. */
struct mu_head_framing {
	bool has_length;
	bool is_chunked;
	char length[24];
};

/* Adds a line of a head, without a status line; false if it is no field, or
 * leaves the end of the body in doubt.  For libcurl, which doesn't check it. */
bool mu_head_add_line(struct mu_head_framing *f, const char *line, size_t len);
/* The time for which the endpoint keeps the connection, from Keep-Alive; none
 * if it doesn't say. */
mu_us mu_head_keep_alive(const struct mu_header *headers, size_t n, mu_us none);

#endif
