/*
 * textcheck.h -- private to text.c and textcheck.c.
 */
#ifndef MU_TEXTCHECK_H
#define MU_TEXTCHECK_H

#include "text.h"

#define MU_SERVICES_MAX 256 /* services in one text */
#define MU_NAME_EXPECTED "a name of letters, digits and ._-"

/*
 * Checks names, references, duplicates, dependency cycles, timeouts, and
 * fields that have no effect.
 */
int mu_text_check(const struct mu_text *t, struct mu_error *e);

#endif
