/*
 * receipt.h -- sealed receipts for turns that could not be committed.
 *
 * While the platform is unavailable, an answer carries a receipt: its turn in
 * encrypted form.  The caller sends the receipt with the program's next call;
 * if the daemon has died before it could commit the turn, the turn is restored
 * from it.
 */
#ifndef MU_RECEIPT_H
#define MU_RECEIPT_H

#include <jansson.h>

#include "musher.h"

#define MU_RECEIPT_KEY_LEN 32

struct mu_receipt_key {
	bool set;
	unsigned char key[MU_RECEIPT_KEY_LEN];
};

/* hex: 64 digits, or NULL for no key.  Error: MU_E_CONFIG_INVALID. */
int mu_receipt_key_init(struct mu_receipt_key *k, const char *hex);
/* Seals a turn record; malloc'd text, or NULL without a key or memory. */
char *mu_receipt_seal(const struct mu_receipt_key *k, const json_t *record);
/* Opens a receipt; NULL when it was not sealed with this key. */
json_t *mu_receipt_open(const struct mu_receipt_key *k, const char *receipt);

#endif
