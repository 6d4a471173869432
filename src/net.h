/*
 * net.h -- non-blocking TCP sockets and waits with a timeout.
 */
#ifndef MU_NET_H
#define MU_NET_H

#include "musher.h"

struct sockaddr_in;

/* Parses "IP:PORT"; returns 0 or MU_E_BAD_REQUEST. */
int mu_net_parse_addr(const char *addr, struct sockaddr_in *sin);
/*
 * Starts a non-blocking connect to "IP:PORT".  *fd is valid even while the
 * connect is in progress, which *pending reports.  Returns 0,
 * MU_E_BAD_REQUEST, MU_E_CONNECT (failed immediately) or MU_E_SYSTEM; on
 * failure *fd is -1.
 */
int mu_net_connect(const char *addr, int *fd, bool *pending);
/* Result of a pending connect once fd is writable: 0 or MU_E_CONNECT. */
int mu_net_connect_result(int fd);
/* Listens on "IP:PORT". */
int mu_net_listen(const char *addr, int *fd);
/*
 * Waits for events on fd until deadline (real clock) or until stop (an
 * eventfd, or -1) is readable.  Returns 0, MU_E_DEADLINE, MU_E_STOPPING or
 * MU_E_SYSTEM.
 */
int mu_net_wait(int fd, short events, int stop, mu_us deadline);
/*
 * Writes all bytes, waiting at most idle_ms each time until fd is writable.
 * Returns an error of mu_net_wait(), or MU_E_LINK_LOST if a send fails.
 */
int
mu_net_write(int fd, const void *data, size_t len, int stop, uint32_t idle_ms);
/* Current time of the real clock, in microseconds. */
mu_us mu_net_now(void);
/* Deadline ms milliseconds from now. */
mu_us mu_net_deadline(uint32_t ms);

#endif
