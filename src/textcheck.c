/*
 * textcheck.c -- checks across the fields of a services text.
 *
 * Dependency cycles are found by repeatedly removing the services whose
 * dependencies are all removed.  A service that remains is on a cycle or
 * depends on one.  The texts are small, so the repeated passes cost less than
 * building a graph.
 */
#include <stdio.h>
#include <string.h>

#include "text.h"
#include "textcheck.h"
#include "yamlerr.h"

#define PATH_BYTES 160

/* Fails with an error at the path "services[N].FIELD (NAME)". */
static int
fail_service(const struct mu_text *t, unsigned i, const char *field,
    const char *problem, const char *value, struct mu_error *e)
{
	char path[PATH_BYTES];

	(void)snprintf(path, sizeof(path), "services[%u].%s (%s)", i + 1, field,
	    t->services[i].name);
	return mu_yaml_fail(e, path, "'%.40s' %s", value, problem);
}

/* Checks that every entry of a list is a valid name and occurs only once. */
static int
check_names(const struct mu_text *t, unsigned i, const char *field,
    char *const *names, unsigned n, struct mu_error *e)
{
	unsigned j, k;

	for (j = 0; j < n; j++) {
		if (!mu_name_valid(names[j]))
			return fail_service(t, i, field,
			    "; expected " MU_NAME_EXPECTED, names[j], e);
		for (k = 0; k < j; k++)
			if (strcmp(names[j], names[k]) == 0)
				return fail_service(t, i, field,
				    "stands twice; expected once", names[j], e);
	}
	return 0;
}

static int
check_name(const struct mu_text *t, unsigned i, struct mu_error *e)
{
	struct mu_service *s = &t->services[i];
	unsigned j;
	int rc;

	if ((rc = check_names(t, i, "name", &s->name, 1, e)) != 0 ||
	    (rc = check_names(t, i, "region", &s->region, 1, e)) != 0)
		return rc;
	if (s->model != NULL &&
	    (rc = check_names(t, i, "model", &s->model, 1, e)) != 0)
		return rc;
	for (j = 0; j < i; j++)
		if (strcmp(s->name, t->services[j].name) == 0)
			return fail_service(t, i, "name",
			    "is the name of two services", s->name, e);
	return 0;
}

static int
check_lists(const struct mu_text *t, unsigned i, struct mu_error *e)
{
	struct mu_service *s = &t->services[i];
	unsigned j;
	int rc;

	rc = check_names(t, i, "places", s->domains, s->ndomains, e);
	if (rc != 0)
		return rc;
	rc = check_names(t, i, "depends_on", s->depends_on, s->ndepends_on, e);
	if (rc != 0)
		return rc;
	rc = check_names(t, i, "repeatable_operations",
	    s->repeatable_operations, s->nrepeatable_operations, e);
	if (rc != 0)
		return rc;
	for (j = 0; j < s->ndepends_on; j++)
		if (mu_text_find_service(t, s->depends_on[j]) == NULL)
			return fail_service(t, i, "depends_on",
			    "is no service of this text", s->depends_on[j], e);
	return 0;
}

/* Rejects fields without effect, which would mislead a reader of the text. */
static int
check_kind(const struct mu_text *t, unsigned i, struct mu_error *e)
{
	const struct mu_service *s = &t->services[i];

	if (s->kind == MU_SERVICE_PLAIN && s->model != NULL)
		return fail_service(t, i, "model",
		    "is for kind model; expected none", s->model, e);
	if (s->nrepeatable_operations == 0)
		return 0;
	if (s->kind == MU_SERVICE_MODEL)
		return fail_service(t, i, "repeatable_operations",
		    "is for kind plain; expected none",
		    s->repeatable_operations[0], e);
	if (s->repeatable)
		return fail_service(t, i, "repeatable_operations",
		    "has no effect with repeatable: true",
		    s->repeatable_operations[0], e);
	return 0;
}

static int
check_timeouts(const struct mu_text *t, unsigned i, struct mu_error *e)
{
	const struct mu_timeouts *m = &t->services[i].timeouts;
	char value[MU_NAME_LEN];

	if (m->connect_ms <= m->total_ms && m->first_byte_ms <= m->total_ms &&
	    m->idle_ms <= m->total_ms)
		return 0;
	(void)snprintf(value, sizeof(value), "%u", m->total_ms);
	return fail_service(t, i, "timeouts.total_ms",
	    "is below another timeout; expected the longest", value, e);
}

/* Whether all dependencies of s are marked as removed. */
static bool
all_removed(
    const struct mu_text *t, const struct mu_service *s, const bool *removed)
{
	unsigned j;

	for (j = 0; j < s->ndepends_on; j++)
		if (!removed[mu_text_find_service(t, s->depends_on[j]) -
			     t->services])
			return false;
	return true;
}

static int
check_cycles(const struct mu_text *t, struct mu_error *e)
{
	bool removed[MU_SERVICES_MAX] = {false};
	bool progress = true;
	unsigned i;

	while (progress) {
		progress = false;
		for (i = 0; i < t->nservices; i++) {
			if (removed[i] ||
			    !all_removed(t, &t->services[i], removed))
				continue;
			removed[i] = true;
			progress = true;
		}
	}
	for (i = 0; i < t->nservices; i++)
		if (!removed[i])
			return fail_service(t, i, "depends_on",
			    "leads into a cycle; expected none",
			    t->services[i].depends_on[0], e);
	return 0;
}

int
mu_text_check(const struct mu_text *t, struct mu_error *e)
{
	unsigned i;
	int rc;

	for (i = 0; i < t->nservices; i++) {
		if ((rc = check_name(t, i, e)) != 0 ||
		    (rc = check_lists(t, i, e)) != 0 ||
		    (rc = check_kind(t, i, e)) != 0 ||
		    (rc = check_timeouts(t, i, e)) != 0)
			return rc;
	}
	return check_cycles(t, e);
}
