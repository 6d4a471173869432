/*
 * frame.h -- frames on a link: a 4-byte big-endian length and one message.
 */
#ifndef MU_FRAME_H
#define MU_FRAME_H

#include "musher.h"
#include "peer.pb-c.h"

#define MU_FRAME_PREFIX_BYTES ((size_t)4) /* length prefix */
#define MU_FRAME_MAX_BYTES ((size_t)16 << 20) /* message, without prefix */
/* Limit for hellos and heartbeats, whose lists need memory per element. */
#define MU_FRAME_LISTS_MAX_BYTES ((size_t)64 << 10)

/*
 * Decodes the first frame in buf.  Has no side effects; safe on any input.
 * Returns 0 with *f set and *used its length, or 0 with *f NULL and *used 0
 * when more bytes are needed.  A message of an unknown kind has body_case
 * NOT_SET.  Otherwise returns MU_E_TOO_LARGE, MU_E_BAD_REQUEST for a
 * malformed frame, or MU_E_NOMEM.
 */
int
mu_frame_decode(const uint8_t *buf, size_t len, size_t *used, Mu__Frame **f);
void mu_frame_free(Mu__Frame *f);
/* Sets *buf to malloc'd memory.  Returns 0, MU_E_TOO_LARGE or MU_E_NOMEM. */
int mu_frame_encode(const Mu__Frame *f, uint8_t **buf, size_t *len);
/* Size of the frame at buf, prefix included; buf holds at least the prefix. */
size_t mu_frame_size(const uint8_t *buf);

#endif
