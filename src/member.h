/*
 * member.h -- membership: the known hosts and endpoints and their state.
 */
#ifndef MU_MEMBER_H
#define MU_MEMBER_H

#include <jansson.h>

#include "daemon.h"

int mu_member_open(struct mu_member **m, struct mu_daemon *d);
/* Reads the host list once, then starts the threads. */
int mu_member_start(struct mu_member *m);
/* Stops the threads; the callbacks below may be called until close. */
void mu_member_stop(struct mu_member *m);
void mu_member_close(struct mu_member *m);

/* Callbacks of the peer links. */
void
mu_member_on_heartbeat(void *daemon, const char *host, const Mu__Heartbeat *hb);
void mu_member_fill_heartbeat(
    void *daemon, Mu__Heartbeat *hb, struct mu_arena *arena);
void mu_member_on_link(void *daemon, const char *host, bool up);

#endif
