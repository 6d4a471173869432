/*
 * addr.c -- parser for "IP:PORT" addresses.
 *
 * Host names are rejected, so that no name lookup can block a request.
 */
#include <arpa/inet.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "musher.h"

int
mu_addr_parse(const char *addr, char ip[MU_ADDR_LEN], uint16_t *port)
{
	const char *colon = strrchr(addr, ':');
	struct in_addr in;
	char *end;
	unsigned long n;
	size_t len;

	/* strtoul() would take a sign or a space. */
	if (colon == NULL || !isdigit((unsigned char)colon[1]))
		return MU_E_BAD_REQUEST;
	len = (size_t)(colon - addr);
	if (len == 0 || len >= MU_ADDR_LEN)
		return MU_E_BAD_REQUEST;
	memcpy(ip, addr, len);
	ip[len] = '\0';
	n = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || n == 0 || n > UINT16_MAX)
		return MU_E_BAD_REQUEST;
	if (inet_pton(AF_INET, ip, &in) != 1)
		return MU_E_BAD_REQUEST;
	*port = (uint16_t)n;
	return 0;
}
