/*
 * callreq.h -- parsing and validation of callers' request bodies.
 */
#ifndef MU_CALLREQ_H
#define MU_CALLREQ_H

#include <jansson.h>

#include "musher.h"
#include "program.h"

enum mu_tristate {
	MU_UNSET,
	MU_NO,
	MU_YES
};

/* Body of POST /v1/programs/ID/calls. */
struct mu_callreq {
	json_t *json; /* the whole body; owns what the others point into */
	uint64_t seq;
	const char *service;
	json_t *input; /* borrowed from json */
	enum mu_tristate repeatable;
	uint32_t deadline_ms; /* 0: not given */
	bool stream;
	const char *receipt; /* of an uncommitted turn; NULL: none */
	char hash[MU_HASH_SIZE]; /* of service, input and repeatable */
	/* Of the messages (model call) or the input (plain call): a request
	 * that is sent again with other limits or flags keeps it. */
	uint64_t fingerprint;
};

/* Errors: NOT_JSON, BAD_REQUEST; c then needs no mu_callreq_clear(). */
int mu_callreq_parse(
    struct mu_callreq *c, const char *body, size_t len, struct mu_error *e);
void mu_callreq_clear(struct mu_callreq *c);
/* New messages of a model call, borrowed; NULL when the input has none. */
json_t *mu_callreq_messages(const struct mu_callreq *c);
/* Operation of a plain call; NULL when there is none. */
const char *mu_callreq_operation(const struct mu_callreq *c);

/* Body of POST /v1/programs; an empty body is allowed. */
struct mu_createreq {
	uint64_t tokens; /* 0: default of the services text */
	uint64_t calls;
	uint64_t seconds;
	char parent[MU_ID_LEN + 1]; /* empty: none */
};

int mu_createreq_parse(
    struct mu_createreq *c, const char *body, size_t len, struct mu_error *e);

#endif
