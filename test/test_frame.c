/* test_frame.c -- frames: round trip, limits, malformed and random input. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "frame.h"
#include "quarantine.h"

#define HEARTBEATS_IN_TWO_YEARS 126144000 /* one every 500 ms */
#define CONFIG_CHANGES_IN_TWO_YEARS 17520000 /* 24,000 a day */
#define RANDOM_ROUNDS 20000
#define RANDOM_BYTES 64

/* xorshift32; a fixed seed gives every run the same input. */
static uint32_t
next_random(uint32_t *x)
{
	*x ^= *x << 13;
	*x ^= *x >> 17;
	*x ^= *x << 5;
	return *x;
}

static void
encode_forward(size_t body, uint8_t **buf, size_t *len)
{
	Mu__Forward fw = MU__FORWARD__INIT;
	Mu__Frame f = MU__FRAME__INIT;
	char caller[] = "cook";

	fw.id = 7;
	fw.kind = MU__FORWARD__KIND__CALL;
	fw.caller = caller;
	fw.body.data = calloc(1, body);
	fw.body.len = body;
	f.body_case = MU__FRAME__BODY_FORWARD;
	f.forward = &fw;
	assert_int_equal(mu_frame_encode(&f, buf, len), 0);
	free(fw.body.data);
}

static void
test_round_trip_and_short_input(void **state)
{
	size_t len, used, i;
	Mu__Frame *f;
	uint8_t *buf;

	(void)state;
	encode_forward(100, &buf, &len);
	for (i = 0; i < len; i++) {
		assert_int_equal(mu_frame_decode(buf, i, &used, &f), 0);
		assert_null(f);
		assert_int_equal(used, 0);
	}
	assert_int_equal(mu_frame_decode(buf, len, &used, &f), 0);
	assert_int_equal(used, len);
	assert_int_equal(f->body_case, MU__FRAME__BODY_FORWARD);
	assert_string_equal(f->forward->caller, "cook");
	assert_int_equal(f->forward->body.len, 100);
	mu_frame_free(f);
	free(buf);
}

static void
test_too_large(void **state)
{
	static const uint8_t big[8] = {0x7f, 0xff, 0xff, 0xff};
	Mu__Chunk c = MU__CHUNK__INIT;
	Mu__Frame out = MU__FRAME__INIT;
	size_t used, len;
	uint8_t *buf;
	Mu__Frame *f;

	(void)state;
	assert_int_equal(mu_frame_decode(big, 8, &used, &f), MU_E_TOO_LARGE);
	c.data.len = MU_FRAME_MAX_BYTES;
	c.data.data = calloc(1, MU_FRAME_MAX_BYTES);
	out.body_case = MU__FRAME__BODY_CHUNK;
	out.chunk = &c;
	assert_int_equal(mu_frame_encode(&out, &buf, &len), MU_E_TOO_LARGE);
	free(c.data.data);
}

static void
test_large_heartbeat_is_refused(void **state)
{
	Mu__Heartbeat hb = MU__HEARTBEAT__INIT;
	Mu__Frame out = MU__FRAME__INIT;
	size_t used, len;
	uint8_t *buf;
	Mu__Frame *f;

	(void)state;
	hb.n_suspected = MU_FRAME_LISTS_MAX_BYTES / sizeof(*hb.suspected);
	hb.suspected = calloc(hb.n_suspected, sizeof(*hb.suspected));
	out.body_case = MU__FRAME__BODY_HEARTBEAT;
	out.heartbeat = &hb;
	assert_int_equal(mu_frame_encode(&out, &buf, &len), 0);
	assert_int_equal(mu_frame_decode(buf, len, &used, &f), MU_E_TOO_LARGE);
	free(hb.suspected);
	free(buf);
}

/* Encoded size of a heartbeat with lists of the given lengths. */
static size_t
heartbeat_bytes(char *host, size_t quarantined, size_t suspected)
{
	Mu__Heartbeat hb = MU__HEARTBEAT__INIT;
	Mu__Frame f = MU__FRAME__INIT;
	uint64_t fps[MU_QUAR_DIGEST_MAX];
	uint8_t *buf;
	size_t len;

	memset(fps, 0x5a, sizeof(fps));
	hb.seq = HEARTBEATS_IN_TWO_YEARS;
	if (host != NULL) {
		hb.host = host;
		hb.config_version = CONFIG_CHANGES_IN_TWO_YEARS;
		hb.running = 500;
		hb.queued = 500;
		hb.leaving = 1;
		hb.platform_ok = 1;
		hb.quarantined = fps;
		hb.n_quarantined = quarantined;
		hb.suspected = fps;
		hb.n_suspected = suspected;
	}
	f.body_case = MU__FRAME__BODY_HEARTBEAT;
	f.heartbeat = &hb;
	assert_int_equal(mu_frame_encode(&f, &buf, &len), 0);
	free(buf);
	return len;
}

/* docs/design/links.md calculates the link traffic from these sizes. */
static void
test_bytes_of_heartbeats(void **state)
{
	char host[] = "entry-07";

	(void)state;
	assert_int_equal(heartbeat_bytes(NULL, 0, 0), 11);
	assert_int_equal(heartbeat_bytes(host, 0, 0), 36);
	assert_int_equal(heartbeat_bytes(host, 1, 1), 56);
	assert_int_equal(heartbeat_bytes(host, MU_QUAR_DIGEST_MAX, 0), 552);
	assert_int_equal(
	    heartbeat_bytes(host, MU_QUAR_DIGEST_MAX, MU_QUAR_DIGEST_MAX),
	    1067);
}

static void
test_malformed(void **state)
{
	/* 65 fields in a kind of message that is limited to 64. */
	uint8_t too_many_fields[4 + 3 + 130] = {0, 0, 0, 133, 0x1a, 0x82, 0x01};
	static const uint8_t empty[4];
	static const uint8_t two_fields[] = {0, 0, 0, 4, 0x12, 0, 0x12, 0};
	static const uint8_t truncated_field[] = {0, 0, 0, 2, 0x12, 9};
	/* Field 100, which no release defines. */
	static const uint8_t unknown_field[] = {0, 0, 0, 3, 0xa2, 0x06, 0};
	size_t used, i;
	Mu__Frame *f;

	(void)state;
	for (i = 7; i < sizeof(too_many_fields); i += 2)
		too_many_fields[i] = 0x08;
	assert_int_equal(
	    mu_frame_decode(empty, 4, &used, &f), MU_E_BAD_REQUEST);
	assert_int_equal(
	    mu_frame_decode(two_fields, sizeof(two_fields), &used, &f),
	    MU_E_BAD_REQUEST);
	assert_int_equal(mu_frame_decode(truncated_field,
			     sizeof(truncated_field), &used, &f),
	    MU_E_BAD_REQUEST);
	assert_int_equal(mu_frame_decode(too_many_fields,
			     sizeof(too_many_fields), &used, &f),
	    MU_E_BAD_REQUEST);
	assert_int_equal(
	    mu_frame_decode(unknown_field, sizeof(unknown_field), &used, &f),
	    0);
	assert_int_equal(f->body_case, MU__FRAME__BODY__NOT_SET);
	mu_frame_free(f);
}

static void
test_any_bytes(void **state)
{
	uint8_t buf[RANDOM_BYTES], *good;
	uint32_t x = 2463534242U;
	size_t used, len, i;
	Mu__Frame *f;
	int round;

	(void)state;
	encode_forward(RANDOM_BYTES / 2, &good, &len);
	assert_in_range(len, 1, RANDOM_BYTES);
	for (round = 0; round < RANDOM_ROUNDS; round++) {
		memcpy(buf, good, len);
		for (i = 0; i < 4; i++)
			buf[next_random(&x) % len] = (uint8_t)next_random(&x);
		if (mu_frame_decode(buf, len, &used, &f) == 0 && f != NULL)
			assert_in_range(used, 1, len);
		mu_frame_free(f);
	}
	free(good);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_round_trip_and_short_input),
	    cmocka_unit_test(test_too_large),
	    cmocka_unit_test(test_large_heartbeat_is_refused),
	    cmocka_unit_test(test_bytes_of_heartbeats),
	    cmocka_unit_test(test_malformed),
	    cmocka_unit_test(test_any_bytes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
