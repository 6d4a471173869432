/*
 * receipt.c -- sealed receipts for turns that could not be committed.
 *
 * The turn's record is encrypted and authenticated (libsodium's secretbox)
 * with a key that all daemons of a deployment share, so that a caller can
 * neither read placement details from a receipt nor forge one.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "receipt.h"

#define BASE64_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING
#define BOX_OVERHEAD_BYTES \
	(crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES)

int
mu_receipt_key_init(struct mu_receipt_key *k, const char *hex)
{
	size_t len;

	memset(k, 0, sizeof(*k));
	if (hex == NULL)
		return 0;
	if (sodium_hex2bin(k->key, sizeof(k->key), hex, strlen(hex), NULL, &len,
		NULL) != 0 ||
	    len != sizeof(k->key))
		return MU_E_CONFIG_INVALID;
	k->set = true;
	return 0;
}

char *
mu_receipt_seal(const struct mu_receipt_key *k, const json_t *record)
{
	char *text, *out = NULL;
	unsigned char *box = NULL;
	size_t len, size;

	if (!k->set)
		return NULL;
	text = json_dumps(record, JSON_COMPACT);
	if (text == NULL)
		return NULL;
	len = strlen(text);
	size =
	    sodium_base64_encoded_len(len + BOX_OVERHEAD_BYTES, BASE64_VARIANT);
	box = malloc(len + BOX_OVERHEAD_BYTES);
	out = malloc(size);
	if (box == NULL || out == NULL) {
		free(out);
		out = NULL;
		goto done;
	}
	randombytes_buf(box, crypto_secretbox_NONCEBYTES);
	crypto_secretbox_easy(box + crypto_secretbox_NONCEBYTES,
	    (unsigned char *)text, len, box, k->key);
	sodium_bin2base64(
	    out, size, box, len + BOX_OVERHEAD_BYTES, BASE64_VARIANT);
done:
	free(box);
	free(text);
	return out;
}

json_t *
mu_receipt_open(const struct mu_receipt_key *k, const char *receipt)
{
	size_t max = strlen(receipt);
	unsigned char *box = malloc(max + 1);
	unsigned char *text = malloc(max + 1);
	json_t *record = NULL;
	size_t len;

	if (!k->set || box == NULL || text == NULL)
		goto done;
	if (sodium_base642bin(box, max, receipt, max, NULL, &len, NULL,
		BASE64_VARIANT) != 0 ||
	    len <= BOX_OVERHEAD_BYTES)
		goto done;
	if (crypto_secretbox_open_easy(text, box + crypto_secretbox_NONCEBYTES,
		len - crypto_secretbox_NONCEBYTES, box, k->key) != 0)
		goto done;
	record = json_loadb((char *)text, len - BOX_OVERHEAD_BYTES, 0, NULL);
done:
	free(box);
	free(text);
	return record;
}
