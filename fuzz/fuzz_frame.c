/*
 * fuzz_frame.c -- frames from other daemons.
 *
 * Any input decodes to a frame or returns an error.  A decoded frame that is
 * encoded, decoded and encoded a second time gives the same bytes.  Messages
 * with unknown fields are excluded from the round trip: protobuf-c accepts a
 * field number 0 encoded in two bytes, but rejects the single byte that it
 * writes for it.
 */
#include <stdlib.h>
#include <string.h>

#include "frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool
has_unknown(const ProtobufCMessage *m)
{
	return m == NULL || m->n_unknown_fields > 0;
}

static bool
heartbeat_has_unknown(const Mu__Heartbeat *h)
{
	size_t i;

	for (i = 0; i < h->n_loads; i++) {
		if (has_unknown(&h->loads[i]->base))
			return true;
	}
	return has_unknown(&h->base);
}

static bool
frame_has_unknown(const Mu__Frame *f)
{
	if (has_unknown(&f->base))
		return true;
	switch (f->body_case) {
	case MU__FRAME__BODY_HELLO:
		return has_unknown(&f->hello->base);
	case MU__FRAME__BODY_HEARTBEAT:
		return heartbeat_has_unknown(f->heartbeat);
	case MU__FRAME__BODY_FORWARD:
		return has_unknown(&f->forward->base);
	case MU__FRAME__BODY_CHUNK:
		return has_unknown(&f->chunk->base);
	case MU__FRAME__BODY_RESULT:
		return has_unknown(&f->result->base);
	case MU__FRAME__BODY_CONFIG:
		return has_unknown(&f->config->base);
	default:
		return true;
	}
}

static void
check_round_trip(const Mu__Frame *f)
{
	uint8_t *encoded = NULL, *reencoded = NULL;
	size_t len, used, reencoded_len;
	Mu__Frame *decoded = NULL;

	if (frame_has_unknown(f) || mu_frame_encode(f, &encoded, &len) != 0)
		return;
	if (mu_frame_decode(encoded, len, &used, &decoded) != 0 || used != len)
		abort();
	if (mu_frame_encode(decoded, &reencoded, &reencoded_len) != 0 ||
	    reencoded_len != len || memcmp(encoded, reencoded, len) != 0)
		abort();
	mu_frame_free(decoded);
	free(encoded);
	free(reencoded);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	Mu__Frame *f;
	size_t used;

	while (mu_frame_decode(data, size, &used, &f) == 0 && f != NULL) {
		if (used == 0 || used > size)
			abort();
		check_round_trip(f);
		mu_frame_free(f);
		data += used;
		size -= used;
	}
	return 0;
}
