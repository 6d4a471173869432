/*
 * hello.c -- handshake of a new link.
 *
 * The handshake has three hellos: the connecting side sends its name and a
 * nonce; the accepting side replies with its own name, nonce and a MAC; the
 * connecting side sends its MAC.  A MAC covers both nonces, both names and
 * the sender's role, so it can be neither replayed on another link nor
 * reflected to its sender.  The key proves membership of the deployment.  It
 * does not protect the frames that follow: links run inside the deployment's
 * own network.
 *
 * Each frame is read to its exact length, so that the handshake consumes no
 * bytes of the frames that follow it.
 */
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "frame.h"
#include "hello.h"
#include "net.h"

#define HELLO_MAX_BYTES ((size_t)1024)
#define NONCE_BYTES 24
#define MAC_BYTES crypto_auth_BYTES

/* State of a handshake; side 0 connects and side 1 accepts. */
struct handshake {
	const struct mu_hello_conf *conf;
	int fd;
	int stop;
	mu_us deadline;
	char host[2][MU_NAME_LEN];
	unsigned char nonce[2][NONCE_BYTES];
};

void
mu_hello_set_key(struct mu_hello_conf *c, const char *secret)
{
	c->has_key = secret != NULL && *secret != '\0';
	if (!c->has_key)
		return;
	(void)crypto_generichash(c->key, sizeof(c->key),
	    (const unsigned char *)secret, strlen(secret), NULL, 0);
}

static void
make_mac(const struct handshake *s, int side, unsigned char mac[MAC_BYTES])
{
	unsigned char signed_data[1 + 2 * NONCE_BYTES + 2 * MU_NAME_LEN] = {0};
	unsigned char *p = signed_data;

	*p++ = (unsigned char)side;
	memcpy(p, s->nonce, sizeof(s->nonce));
	p += sizeof(s->nonce);
	memcpy(p, s->host, sizeof(s->host));
	(void)crypto_auth(mac, signed_data, sizeof(signed_data), s->conf->key);
}

static int
send_hello(const struct handshake *s, int side, bool with_mac)
{
	unsigned char mac[MAC_BYTES], nonce[NONCE_BYTES];
	Mu__Hello h = MU__HELLO__INIT;
	Mu__Frame f = MU__FRAME__INIT;
	char host[MU_NAME_LEN];
	uint8_t *buf;
	size_t len;
	mu_us left;
	int rc;

	memcpy(host, s->host[side], sizeof(host));
	memcpy(nonce, s->nonce[side], sizeof(nonce));
	h.host = host;
	h.incarnation = s->conf->incarnation;
	h.nonce.data = nonce;
	h.nonce.len = sizeof(nonce);
	if (with_mac && s->conf->has_key) {
		make_mac(s, side, mac);
		h.mac.data = mac;
		h.mac.len = sizeof(mac);
	}
	f.body_case = MU__FRAME__BODY_HELLO;
	f.hello = &h;
	rc = mu_frame_encode(&f, &buf, &len);
	if (rc != 0)
		return rc;
	left = s->deadline - mu_net_now();
	if (left <= 0)
		rc = MU_E_DEADLINE;
	else
		rc = mu_net_write(
		    s->fd, buf, len, s->stop, (uint32_t)(left / MU_US_PER_MS));
	free(buf);
	return rc;
}

static int
read_bytes(const struct handshake *s, uint8_t *p, size_t len)
{
	ssize_t n;
	int rc;

	while (len > 0) {
		rc = mu_net_wait(s->fd, POLLIN, s->stop, s->deadline);
		if (rc != 0)
			return rc;
		n = recv(s->fd, p, len, 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (n <= 0)
			return MU_E_LINK_LOST;
		p += n;
		len -= (size_t)n;
	}
	return 0;
}

/* Reads the next frame; it must be a hello. */
static int
read_frame(const struct handshake *s, Mu__Frame **f)
{
	uint8_t buf[MU_FRAME_PREFIX_BYTES + HELLO_MAX_BYTES];
	size_t need, used;
	int rc;

	rc = read_bytes(s, buf, MU_FRAME_PREFIX_BYTES);
	if (rc != 0)
		return rc;
	need = mu_frame_size(buf);
	if (need > sizeof(buf))
		return MU_E_BAD_REQUEST;
	rc = read_bytes(
	    s, buf + MU_FRAME_PREFIX_BYTES, need - MU_FRAME_PREFIX_BYTES);
	if (rc == 0)
		rc = mu_frame_decode(buf, need, &used, f);
	if (rc != 0)
		return rc;
	if (*f != NULL && (*f)->body_case == MU__FRAME__BODY_HELLO)
		return 0;
	mu_frame_free(*f);
	return MU_E_BAD_REQUEST;
}

/* Stores the name and nonce of the peer. */
static int
set_peer_identity(struct handshake *s, int side, const Mu__Hello *h)
{
	if (h->nonce.len != NONCE_BYTES || *h->host == '\0' ||
	    strlen(h->host) >= MU_NAME_LEN)
		return MU_E_BAD_REQUEST;
	memset(s->host[side], 0, MU_NAME_LEN);
	memcpy(s->host[side], h->host, strlen(h->host));
	memcpy(s->nonce[side], h->nonce.data, NONCE_BYTES);
	return 0;
}

static int
check_mac(const struct handshake *s, int side, const Mu__Hello *h)
{
	unsigned char mac[MAC_BYTES];

	if (!s->conf->has_key)
		return 0;
	make_mac(s, side, mac);
	if (h->mac.len != MAC_BYTES ||
	    sodium_memcmp(h->mac.data, mac, MAC_BYTES) != 0)
		return MU_E_UNAUTHORIZED;
	return 0;
}

/*
 * Reads a hello of the peer.  with_identity: stores its name and nonce;
 * with_mac: checks its MAC.
 */
static int
read_hello(struct handshake *s, int side, bool with_identity, bool with_mac)
{
	Mu__Frame *f = NULL;
	int rc;

	rc = read_frame(s, &f);
	if (rc != 0)
		return rc;
	if (with_identity)
		rc = set_peer_identity(s, side, f->hello);
	if (rc == 0 && with_mac)
		rc = check_mac(s, side, f->hello);
	mu_frame_free(f);
	return rc;
}

static void
handshake_init(struct handshake *s, const struct mu_hello_conf *c, int side,
    int fd, int stop, uint32_t timeout_ms)
{
	memset(s, 0, sizeof(*s));
	s->conf = c;
	s->fd = fd;
	s->stop = stop;
	s->deadline = mu_net_deadline(timeout_ms);
	(void)snprintf(s->host[side], MU_NAME_LEN, "%s", c->host);
	randombytes_buf(s->nonce[side], NONCE_BYTES);
}

int
mu_hello_connect(const struct mu_hello_conf *c, int fd, int stop,
    uint32_t timeout_ms, char host[MU_NAME_LEN])
{
	struct handshake s;
	int rc;

	handshake_init(&s, c, 0, fd, stop, timeout_ms);
	rc = send_hello(&s, 0, false);
	if (rc == 0)
		rc = read_hello(&s, 1, true, true);
	if (rc == 0)
		rc = send_hello(&s, 0, true);
	if (rc == 0)
		memcpy(host, s.host[1], MU_NAME_LEN);
	return rc;
}

int
mu_hello_accept(const struct mu_hello_conf *c, int fd, int stop,
    uint32_t timeout_ms, char host[MU_NAME_LEN])
{
	struct handshake s;
	int rc;

	handshake_init(&s, c, 1, fd, stop, timeout_ms);
	rc = read_hello(&s, 0, true, false);
	if (rc == 0)
		rc = send_hello(&s, 1, true);
	if (rc == 0)
		rc = read_hello(&s, 0, false, true);
	if (rc == 0)
		memcpy(host, s.host[0], MU_NAME_LEN);
	return rc;
}
