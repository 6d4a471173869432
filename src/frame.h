/*
 * frame.h -- frames on a link: a 4-byte big-endian length and one message.
 */
#ifndef MU_FRAME_H
#define MU_FRAME_H

#include "musher.h"
#include "peer.pb-c.h"

#define MU_FRAME_PREFIX_BYTES ((size_t)4) /* bytes of the length */
#define MU_FRAME_MAX_BYTES ((size_t)16 << 20) /* bytes of a message */
#define MU_FRAME_LISTS_MAX_BYTES \
	((size_t)64 << 10) /* of a hello or a heartbeat */

/*
 * Decodes the first frame in buf.  Pure; safe on any bytes.
 * Returns 0 with *f set and *used its length, or 0 with *f NULL and *used 0
 * when more bytes are needed.  A message of a kind that is not known here
 * has body_case NOT_SET.  Otherwise MU_E_TOO_LARGE, MU_E_BAD_REQUEST for
 * bytes that are no frame, or MU_E_NOMEM.
 */
int
mu_frame_decode(const uint8_t *buf, size_t len, size_t *used, Mu__Frame **f);
void mu_frame_free(Mu__Frame *f);
/* *buf is malloc'd.  0, MU_E_TOO_LARGE or MU_E_NOMEM. */
int mu_frame_encode(const Mu__Frame *f, uint8_t **buf, size_t *len);
/* Bytes of the whole frame that starts at buf, of which len >= 4 are there. */
size_t mu_frame_size(const uint8_t *buf);

#endif
