/*
 * toolhttp.h -- HTTP client of the command-line tools, based on neon.
 *
 * Used by musherctl and musherload, which talk to daemons as operators and
 * callers do.  The daemon's own requests use http.h instead, because neon
 * lacks the time limits that they need.
 */
#ifndef MU_TOOLHTTP_H
#define MU_TOOLHTTP_H

#include <jansson.h>

#include "musher.h"

struct mu_tool_req {
	const char *addr; /* IP:PORT */
	const char *method;
	const char *target; /* path and query, escaped */
	const char *key; /* sent as bearer token; NULL for none */
	const char *body; /* JSON; NULL for none */
	int connect_timeout_s;
	int read_timeout_s; /* longest wait between two reads */
	/* Receives the body of a 200 answer as it arrives; if NULL, and for
	 * other statuses, the body is stored in the response. */
	void (*on_data)(void *arg, const char *data, size_t len);
	void *arg;
};

enum mu_tool_result {
	MU_TOOL_ANSWERED, /* complete answer, whatever its status */
	MU_TOOL_UNREACHABLE, /* not connected: nothing was sent */
	MU_TOOL_INCOMPLETE /* no complete answer: may have taken effect */
};

struct mu_tool_res {
	enum mu_tool_result result;
	int status;
	char *body; /* NUL-terminated; may be NULL */
	size_t len;
	char problem[MU_MESSAGE_LEN]; /* error text unless ANSWERED */
};

/* Initializes neon; call once before any thread is started. */
int mu_tool_init(void);
/* Sends q at most once; r must be cleared with mu_tool_clear(). */
void mu_tool_run(const struct mu_tool_req *q, struct mu_tool_res *r);
void mu_tool_clear(struct mu_tool_res *r);
/* Parses the stored body; a new reference, or NULL if not a JSON object. */
json_t *mu_tool_json(const struct mu_tool_res *r);

/* Members of {"error":{...}}; the strings are borrowed from the body. */
struct mu_tool_error {
	const char *type; /* "" if missing */
	const char *message;
	const char *outcome; /* "unknown" if missing */
	uint32_t retry_after_ms;
};
void mu_tool_parse_error(const json_t *body, struct mu_tool_error *e);

#endif
