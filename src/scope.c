/*
 * scope.c -- ids of programs and turns within one customer.
 *
 * A scoped id is "@LENGTH:CUSTOMER:ID".  The length makes it unambiguous
 * whatever characters the name contains.  An id of a caller without customer
 * that starts with the mark is scoped to the empty name, so that no caller can
 * name the state of a customer.
 */
#include <stdlib.h>
#include <string.h>

#include "scope.h"

#define MARK '@'

const char *
mu_scope_id(struct mu_arena *a, const char *customer, const char *id)
{
	if (customer == NULL && *id != MARK)
		return id;
	if (customer == NULL)
		customer = "";
	return mu_arena_printf(
	    a, "%c%zu:%s:%s", MARK, strlen(customer), customer, id);
}

const char *
mu_scope_plain(const char *scoped)
{
	char *name;
	size_t len;

	if (*scoped != MARK)
		return scoped;
	len = strtoul(scoped + 1, &name, 10);
	if (*name != ':' || strlen(name) < len + 2)
		return scoped;
	return name + len + 2;
}
