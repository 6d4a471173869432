/*
 * clean.h -- releases cached prefixes of closed or idle programs on engines.
 */
#ifndef MU_CLEAN_H
#define MU_CLEAN_H

struct mu_clean;
struct mu_daemon;

int mu_clean_open(struct mu_clean **c, struct mu_daemon *d);
void mu_clean_close(struct mu_clean *c);
/* Starts a round now, as a program has ended. */
void mu_clean_wake(struct mu_clean *c);

#endif
