/*
 * tally.c -- counters shared by all threads.
 */
#include <inttypes.h>
#include <string.h>

#include "load.h"

void
tally_init(struct load_tally *t)
{
	memset(t, 0, sizeof(*t));
	pthread_mutex_init(&t->lock, NULL);
	t->call_records = json_array();
}

void
tally_clear(struct load_tally *t)
{
	json_decref(t->call_records);
	pthread_mutex_destroy(&t->lock);
}

void
tally_add_error(struct load_tally *t, const char *type)
{
	unsigned i;

	pthread_mutex_lock(&t->lock);
	for (i = 0; i < t->nerrors; i++)
		if (strcmp(t->errors[i].type, type) == 0)
			break;
	/* The last entry counts all types that do not fit. */
	if (i == LOAD_ERROR_TYPES_MAX)
		i--;
	if (i == t->nerrors) {
		(void)snprintf(
		    t->errors[i].type, LOAD_ERROR_TYPE_BYTES, "%s", type);
		t->nerrors++;
	}
	t->errors[i].count++;
	pthread_mutex_unlock(&t->lock);
}

const char *
load_fault_name(enum load_fault f)
{
	switch (f) {
	case FAULT_MIXED:
		return "mixed";
	case FAULT_HISTORY:
		return "history";
	case FAULT_STREAM:
		return "stream";
	case FAULT_CHANGED:
		return "changed";
	case FAULT_FORGOTTEN:
		return "forgotten";
	case FAULT_COUNT:
		break;
	}
	return "none";
}

const char *
load_outcome_name(enum load_outcome o)
{
	switch (o) {
	case LOAD_OUTCOME_DONE:
		return "done";
	case LOAD_OUTCOME_NOT_RUN:
		return "not_run";
	case LOAD_OUTCOME_UNKNOWN:
		return "unknown";
	case LOAD_OUTCOME_NO_ANSWER:
		break;
	}
	return "nothing";
}

void
tally_add_fault(struct load_tally *t, enum load_fault f, const char *program,
    uint64_t seq, const char *detail)
{
	pthread_mutex_lock(&t->lock);
	t->faults[f]++;
	if (t->first_fault[0] == '\0')
		(void)snprintf(t->first_fault, sizeof(t->first_fault),
		    "%s: program %s seq %" PRIu64 ": %.150s",
		    load_fault_name(f), program, seq,
		    detail != NULL ? detail : "");
	pthread_mutex_unlock(&t->lock);
}

bool
tally_no_faults(const struct load_tally *t)
{
	unsigned i;

	for (i = 0; i < FAULT_COUNT; i++)
		if (t->faults[i] > 0)
			return false;
	return true;
}
