/*
 * strangers.c -- clients of the soak that don't keep to the limits.
 *
 * They open connections, send parts of heads, bodies and frames, and stay.  No
 * call is theirs; the callers' calls must end as they do without them.
 */
#include "soak.h"
#include "view.h"

#define STRANGERS 24
#define STRANGER_INTERVAL_MS 60 /* between two connections */
#define STRANGER_STAY_MS 2500
#define STRANGER_BYTES ((size_t)192 * 1024) /* sent after the head */

static struct {
	int fd[STRANGERS]; /* 0: none */
	mu_us close_at[STRANGERS];
	mu_us next_at;
	uint64_t rng; /* of its own, so that a seed's faults stay the same */
} strangers;

static const char *const starts[] = {
    "POST /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: s\r\n"
    "Content-Length: 4000000\r\n\r\n",
    "POST /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
    "POST /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: s\r\n"
    "Content-Length: 400000000\r\n\r\n",
    "POST /order/1 HTTP/1.1\r\nHost: h\r\nX: ",
    "\x7f\xff\xff\xff", /* the length of a frame */
};

static int
connect_to(const char *addr)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[MU_ADDR_LEN];
	uint16_t port;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	(void)mu_addr_parse(addr, ip, &port);
	sin.sin_port = htons(port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd >= 0 && connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	if (fd >= 0)
		(void)close(fd);
	return 0;
}

static void
open_stranger(unsigned i)
{
	static const char bytes[STRANGER_BYTES];
	struct process *p =
	    &soak.daemon[mu_rand(&strangers.rng) % soak.ndaemons];
	unsigned n = sizeof(starts) / sizeof(*starts);
	const char *start = starts[mu_rand(&strangers.rng) % n];

	strangers.fd[i] =
	    connect_to(start == starts[n - 1] ? p->mesh : p->addr);
	if (strangers.fd[i] == 0)
		return;
	(void)!send(
	    strangers.fd[i], start, strlen(start), MSG_NOSIGNAL | MSG_DONTWAIT);
	(void)!send(
	    strangers.fd[i], bytes, sizeof(bytes), MSG_NOSIGNAL | MSG_DONTWAIT);
	strangers.close_at[i] =
	    mu_loop_now(soak.loop) + STRANGER_STAY_MS * MU_US_PER_MS;
}

void
poll_strangers(void)
{
	mu_us now = mu_loop_now(soak.loop);
	unsigned i, free_one = STRANGERS;

	for (i = 0; i < STRANGERS; i++) {
		if (strangers.fd[i] != 0 && now >= strangers.close_at[i]) {
			(void)close(strangers.fd[i]);
			strangers.fd[i] = 0;
		}
		if (strangers.fd[i] == 0)
			free_one = i;
	}
	if (free_one == STRANGERS || now < strangers.next_at)
		return;
	strangers.next_at = now + STRANGER_INTERVAL_MS * MU_US_PER_MS;
	open_stranger(free_one);
}
