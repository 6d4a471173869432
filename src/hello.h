/*
 * hello.h -- handshake of a new link, with proof of the shared key.
 */
#ifndef MU_HELLO_H
#define MU_HELLO_H

#include <sodium.h>

#include "musher.h"

struct mu_hello_conf {
	const char *host; /* name of this daemon */
	uint64_t incarnation;
	bool has_key;
	unsigned char key[crypto_auth_KEYBYTES];
};

/* Derives the key from the deployment's secret; NULL or "" for no key. */
void mu_hello_set_key(struct mu_hello_conf *c, const char *secret);
/*
 * Perform the handshake on fd as the connecting or the accepting side, and set
 * host to the name of the peer.  Return 0, MU_E_UNAUTHORIZED, MU_E_BAD_REQUEST,
 * MU_E_DEADLINE, MU_E_LINK_LOST, MU_E_STOPPING (stop became readable),
 * MU_E_SYSTEM, MU_E_NOMEM.
 */
int mu_hello_connect(const struct mu_hello_conf *c, int fd, int stop,
    uint32_t timeout_ms, char host[MU_NAME_LEN]);
int mu_hello_accept(const struct mu_hello_conf *c, int fd, int stop,
    uint32_t timeout_ms, char host[MU_NAME_LEN]);

#endif
