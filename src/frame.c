/*
 * frame.c -- encodes and decodes frames.
 *
 * The length prefix is checked against a hard maximum before anything is
 * allocated.  protobuf-c allocates memory for each list element, which may
 * take two bytes on the wire and over a hundred in memory.  A frame's
 * structure is therefore checked before it is unpacked: it must hold exactly
 * one field (the message itself); hellos and heartbeats, which contain lists,
 * must be small; the other kinds, which carry bulk data in single fields, are
 * limited in their number of fields, and so are the rows of a seed.  This
 * bounds the memory that a hostile frame can allocate to a small multiple of
 * its size.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "frame.h"

#define FIELDS_MAX 64 /* fields in a message that may be large */
/* Rows of a seed: a few for each endpoint of the largest fleet. */
#define SEED_FIELDS_MAX 16384
#define VARINT_MAX_BYTES 10

#define WIRE_VARINT 0
#define WIRE_FIXED64 1
#define WIRE_LEN 2
#define WIRE_FIXED32 5

/* Unread part of a message. */
struct span {
	const uint8_t *p;
	size_t len;
};

static bool
read_varint(struct span *s, uint64_t *v)
{
	unsigned i;
	uint8_t b;

	*v = 0;
	for (i = 0; i < VARINT_MAX_BYTES && s->len > 0; i++) {
		b = *s->p++;
		s->len--;
		*v |= (uint64_t)(b & 0x7f) << (7 * i);
		if ((b & 0x80) == 0)
			return true;
	}
	return false;
}

/* Reads one field; sets *body to the content unless it is a varint. */
static bool
read_field(struct span *s, uint64_t *tag, struct span *body)
{
	uint64_t n = 0;

	if (!read_varint(s, tag))
		return false;
	switch (*tag & 7) {
	case WIRE_VARINT:
		return read_varint(s, &n);
	case WIRE_FIXED64:
		n = 8;
		break;
	case WIRE_FIXED32:
		n = 4;
		break;
	case WIRE_LEN:
		if (!read_varint(s, &n))
			return false;
		break;
	default:
		return false;
	}
	if (n > s->len)
		return false;
	body->p = s->p;
	body->len = (size_t)n;
	s->p += n;
	s->len -= (size_t)n;
	return true;
}

static bool
field_count_ok(struct span s, unsigned max)
{
	struct span body;
	uint64_t tag;
	unsigned n;

	for (n = 0; s.len > 0; n++) {
		if (n == max || !read_field(&s, &tag, &body))
			return false;
	}
	return true;
}

/* Checks a message's size and field count before it is unpacked. */
static int
check_shape(const uint8_t *p, size_t len)
{
	struct span s = {p, len};
	struct span body;
	uint64_t tag;

	if (!read_field(&s, &tag, &body) || s.len != 0 || (tag & 7) != WIRE_LEN)
		return MU_E_BAD_REQUEST;
	switch (tag >> 3) {
	case MU__FRAME__BODY_HELLO:
	case MU__FRAME__BODY_HEARTBEAT:
	case MU__FRAME__BODY_BEAT:
		return len <= MU_FRAME_LISTS_MAX_BYTES ? 0 : MU_E_TOO_LARGE;
	case MU__FRAME__BODY_SEED:
		return field_count_ok(body, SEED_FIELDS_MAX) ? 0
							     : MU_E_BAD_REQUEST;
	default:
		return field_count_ok(body, FIELDS_MAX) ? 0 : MU_E_BAD_REQUEST;
	}
}

static uint32_t
get_length(const uint8_t *buf)
{
	uint32_t n;

	memcpy(&n, buf, sizeof(n));
	return ntohl(n);
}

size_t
mu_frame_size(const uint8_t *buf)
{
	return MU_FRAME_PREFIX_BYTES + get_length(buf);
}

int
mu_frame_decode(const uint8_t *buf, size_t len, size_t *used, Mu__Frame **f)
{
	size_t n;
	int rc;

	*f = NULL;
	*used = 0;
	if (len < MU_FRAME_PREFIX_BYTES)
		return 0;
	n = get_length(buf);
	if (n > MU_FRAME_MAX_BYTES)
		return MU_E_TOO_LARGE;
	if (n > len - MU_FRAME_PREFIX_BYTES)
		return 0;
	rc = check_shape(buf + MU_FRAME_PREFIX_BYTES, n);
	if (rc != 0)
		return rc;
	*f = mu__frame__unpack(NULL, n, buf + MU_FRAME_PREFIX_BYTES);
	if (*f == NULL)
		return MU_E_BAD_REQUEST;
	*used = MU_FRAME_PREFIX_BYTES + n;
	return 0;
}

void
mu_frame_free(Mu__Frame *f)
{
	if (f != NULL)
		mu__frame__free_unpacked(f, NULL);
}

int
mu_frame_encode(const Mu__Frame *f, uint8_t **buf, size_t *len)
{
	size_t n = mu__frame__get_packed_size(f);
	uint32_t prefix;

	if (n > MU_FRAME_MAX_BYTES)
		return MU_E_TOO_LARGE;
	*buf = malloc(MU_FRAME_PREFIX_BYTES + n);
	if (*buf == NULL)
		return MU_E_NOMEM;
	prefix = htonl((uint32_t)n);
	memcpy(*buf, &prefix, sizeof(prefix));
	(void)mu__frame__pack(f, *buf + MU_FRAME_PREFIX_BYTES);
	*len = MU_FRAME_PREFIX_BYTES + n;
	return 0;
}
