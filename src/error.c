/*
 * error.c -- names and HTTP statuses of the error types.
 *
 * The table is generated from MU_ERRORS, so that a type cannot be added
 * without its wire name and status.
 */
#include <stdarg.h>
#include <stdio.h>

#include "musher.h"

static const struct {
	const char *name;
	int status;
} errors[MU_E_COUNT] = {
#define X(sym, name, status) {name, status},
    MU_ERRORS(X)
#undef X
};

const char *
mu_errname(enum mu_errtype type)
{
	if ((unsigned)type >= MU_E_COUNT)
		return "internal";
	return errors[type].name;
}

int
mu_errstatus(enum mu_errtype type)
{
	if ((unsigned)type >= MU_E_COUNT)
		return 500;
	return errors[type].status;
}

const char *
mu_outcome_name(enum mu_outcome outcome)
{
	switch (outcome) {
	case MU_OUTCOME_NOT_RUN:
		return "not_run";
	case MU_OUTCOME_DONE:
		return "done";
	case MU_OUTCOME_UNKNOWN:
		break;
	}
	return "unknown";
}

int
mu_fail(struct mu_error *e, enum mu_errtype type, enum mu_outcome outcome,
    uint32_t retry_after_ms, const char *fmt, ...)
{
	va_list ap;

	if (e == NULL)
		return type;
	e->type = type;
	e->outcome = outcome;
	e->retry_after_ms = retry_after_ms;
	va_start(ap, fmt);
	(void)vsnprintf(e->message, sizeof(e->message), fmt, ap);
	va_end(ap);
	return type;
}
