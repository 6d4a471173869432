/*
 * fuzz_sse.c -- event streams of model engines.
 *
 * The parsed events do not depend on how the bytes are split into reads.  The
 * first byte of the input gives the length of the reads.
 */
#include <stdlib.h>

#include "sse.h"

#define EVENT_MAX_BYTES ((size_t)256)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct event_digest {
	size_t events;
	uint64_t hash; /* FNV-1a over all events */
};

static int
on_event(void *arg, const char *data, size_t len)
{
	struct event_digest *t = arg;
	size_t i;

	if (data[len] != '\0')
		abort();
	for (i = 0; i <= len; i++)
		t->hash = (t->hash ^ (uint8_t)data[i]) * 0x100000001b3;
	t->events++;
	return 0;
}

static int
feed_in_pieces(
    const char *p, size_t size, size_t piece_len, struct event_digest *t)
{
	struct mu_sse s;
	size_t n;
	int rc = 0;

	mu_sse_init(&s, EVENT_MAX_BYTES);
	while (rc == 0 && size > 0) {
		n = size < piece_len ? size : piece_len;
		rc = mu_sse_feed(&s, p, n, on_event, t);
		p += n;
		size -= n;
	}
	mu_sse_clear(&s);
	return rc;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct event_digest whole = {0}, cut = {0};
	const char *p = (const char *)data + 1;
	int rc;

	if (size < 2)
		return 0;
	rc = feed_in_pieces(p, size - 1, size, &whole);
	if (feed_in_pieces(p, size - 1, data[0] % 16 + 1, &cut) != rc ||
	    cut.events != whole.events || cut.hash != whole.hash)
		abort();
	return 0;
}
