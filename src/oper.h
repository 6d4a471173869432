/*
 * oper.h -- HTTP port for operators.
 */
#ifndef MU_OPER_H
#define MU_OPER_H

#include "daemon.h"
#include "web.h"

int mu_oper_open(struct mu_web **w, struct mu_daemon *d, struct mu_error *e);

#endif
