/*
 * net.h -- non-blocking TCP sockets and waits with a limit.
 */
#ifndef MU_NET_H
#define MU_NET_H

#include "musher.h"

struct sockaddr_in;

/* Reads "IP:PORT"; 0 or MU_E_BAD_REQUEST. */
int mu_net_addr(const char *addr, struct sockaddr_in *sin);
/*
 * Starts a connect to "IP:PORT"; *fd is set also while it goes on, and
 * *pending tells that it does.  0, MU_E_BAD_REQUEST, MU_E_CONNECT (refused
 * at once) or MU_E_SYSTEM; on failure *fd is -1.
 */
int mu_net_connect(const char *addr, int *fd, bool *pending);
/* Result of a connect once fd is writable: 0 or MU_E_CONNECT. */
int mu_net_connected(int fd);
/* Listens on "IP:PORT". */
int mu_net_listen(const char *addr, int *fd);
/*
 * Waits for events on fd until deadline (real clock) or until stop (an
 * eventfd, or -1) is readable.  0, MU_E_DEADLINE, MU_E_STOPPING, MU_E_SYSTEM.
 */
int mu_net_wait(int fd, short events, int stop, mu_us deadline);
/* Writes all bytes; each wait ends after idle_ms.  MU_E_LINK_LOST too. */
int
mu_net_write(int fd, const void *data, size_t len, int stop, uint32_t idle_ms);
/* Microseconds on the real clock, and that time plus ms. */
mu_us mu_net_now(void);
mu_us mu_net_after(uint32_t ms);

#endif
