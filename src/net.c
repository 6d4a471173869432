/*
 * net.c -- non-blocking TCP sockets and waits with a timeout.
 *
 * Every socket is non-blocking, and every wait is a poll() with a deadline
 * and a descriptor that interrupts it, so that no thread hangs on a peer that
 * neither answers nor closes.  Writes use MSG_NOSIGNAL, so that writing to a
 * closed connection returns an error instead of raising SIGPIPE.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <limits.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define LISTEN_BACKLOG 128

mu_us
mu_net_now(void)
{
	struct mu_clock c;

	mu_clock_real(&c);
	return mu_now(&c);
}

mu_us
mu_net_deadline(uint32_t ms)
{
	return mu_net_now() + (mu_us)ms * MU_US_PER_MS;
}

int
mu_net_parse_addr(const char *addr, struct sockaddr_in *sin)
{
	char ip[MU_ADDR_LEN];
	uint16_t port;

	if (mu_addr_parse(addr, ip, &port) != 0)
		return MU_E_BAD_REQUEST;
	*sin = (struct sockaddr_in){.sin_family = AF_INET};
	sin->sin_port = htons(port);
	if (inet_pton(AF_INET, ip, &sin->sin_addr) != 1)
		return MU_E_BAD_REQUEST;
	return 0;
}

int
mu_net_connect(const char *addr, int *fd, bool *pending)
{
	struct sockaddr_in sin;
	int one = 1, rc;

	*fd = -1;
	rc = mu_net_parse_addr(addr, &sin);
	if (rc != 0)
		return rc;
	*fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return MU_E_SYSTEM;
	(void)setsockopt(*fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	rc = connect(*fd, (struct sockaddr *)&sin, sizeof(sin));
	*pending = rc != 0;
	if (rc == 0 || errno == EINPROGRESS)
		return 0;
	close(*fd);
	*fd = -1;
	return MU_E_CONNECT;
}

int
mu_net_connect_result(int fd)
{
	socklen_t len = sizeof(int);
	int err = 0;

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) != 0 || err != 0)
		return MU_E_CONNECT;
	return 0;
}

int
mu_net_listen(const char *addr, int *fd)
{
	struct sockaddr_in sin;
	int one = 1, rc;

	*fd = -1;
	rc = mu_net_parse_addr(addr, &sin);
	if (rc != 0)
		return rc;
	*fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return MU_E_SYSTEM;
	(void)setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(*fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
	    listen(*fd, LISTEN_BACKLOG) == 0)
		return 0;
	close(*fd);
	*fd = -1;
	return MU_E_SYSTEM;
}

/* Converts to a poll() timeout: milliseconds, rounded up. */
static int
poll_ms(mu_us left)
{
	mu_us ms = (left + MU_US_PER_MS - 1) / MU_US_PER_MS;

	if (ms <= 0)
		return 0;
	return ms > INT_MAX ? INT_MAX : (int)ms;
}

int
mu_net_wait(int fd, short events, int stop, mu_us deadline)
{
	struct pollfd p[2] = {
	    {.fd = fd, .events = events}, {.fd = stop, .events = POLLIN}};
	mu_us left;
	int n;

	for (;;) {
		left = deadline - mu_net_now();
		n = poll(p, 2, poll_ms(left));
		if (n < 0 && errno != EINTR)
			return MU_E_SYSTEM;
		if (n > 0 && p[1].revents != 0)
			return MU_E_STOPPING;
		if (n > 0)
			return 0;
		if (left <= 0)
			return MU_E_DEADLINE;
	}
}

int
mu_net_write(int fd, const void *data, size_t len, int stop, uint32_t idle_ms)
{
	const char *p = data;
	ssize_t n;
	int rc;

	while (len > 0) {
		rc = mu_net_wait(fd, POLLOUT, stop, mu_net_deadline(idle_ms));
		if (rc != 0)
			return rc;
		n = send(fd, p, len, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (n < 0)
			return MU_E_LINK_LOST;
		p += n;
		len -= (size_t)n;
	}
	return 0;
}
