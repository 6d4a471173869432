/*
 * proof.h -- fingerprint of the history that the engine stand-in received.
 *
 * The generated text starts with these fields, so that a test can verify from
 * the answer alone which program's history was used and that it was complete.
 */
#ifndef PROOF_H
#define PROOF_H

#include <jansson.h>
#include <stdint.h>
#include <string.h>
#include <xxhash.h>

/* Program, number of messages, their hash, start of the last user message. */
#define PROOF_FORMAT "program=%s messages=%zu hash=%016llx last=%s;"
#define PROOF_LAST_BYTES 64 /* of the last user message */

/* Hash of every role and content in order. */
static inline uint64_t
proof_hash_messages(const json_t *messages)
{
	static const char *const keys[] = {"role", "content"};
	uint64_t h = 0;
	size_t i, k;
	json_t *m;

	json_array_foreach (messages, i, m) {
		for (k = 0; k < 2; k++) {
			const char *t =
			    json_string_value(json_object_get(m, keys[k]));

			if (t != NULL)
				h = XXH64(t, strlen(t) + 1, h);
		}
	}
	return h;
}

/* Copies the start of the last user message, cut at a UTF-8 boundary. */
static inline void
proof_copy_last_user(const json_t *messages, char buf[PROOF_LAST_BYTES + 1])
{
	size_t i, n = json_array_size(messages);
	const char *text = "";

	for (i = n; i > 0; i--) {
		json_t *m = json_array_get(messages, i - 1);
		const char *role =
		    json_string_value(json_object_get(m, "role"));

		if (role != NULL && strcmp(role, "user") == 0) {
			text = json_string_value(json_object_get(m, "content"));
			break;
		}
	}
	n = text == NULL ? 0 : strlen(text);
	if (n > PROOF_LAST_BYTES) {
		n = PROOF_LAST_BYTES;
		while (n > 0 && ((unsigned char)text[n] & 0xc0) == 0x80)
			n--;
	}
	if (n > 0)
		memcpy(buf, text, n);
	buf[n] = '\0';
}

#endif
