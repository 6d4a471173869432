/*
 * front.h -- HTTP port for callers.
 */
#ifndef MU_FRONT_H
#define MU_FRONT_H

#include "daemon.h"
#include "web.h"

int mu_front_open(struct mu_web **w, struct mu_daemon *d, struct mu_error *e);

#endif
