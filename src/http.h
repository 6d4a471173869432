/*
 * http.h -- one HTTP/1.1 request on a connection of its own.
 *
 * Used by the platform and endpoint modules only.  A request is written at
 * most once and the connection is never used again.
 */
#ifndef MU_HTTP_H
#define MU_HTTP_H

#include <jansson.h>

#include "musher.h"

/* All in ms; 0 means at once, there is no value for "no limit". */
struct mu_http_limits {
	uint32_t connect_ms;
	uint32_t first_byte_ms; /* from the request's last byte */
	uint32_t idle_ms; /* between two reads or writes */
	uint32_t total_ms;
};

struct mu_http_request {
	const char *method;
	const char *addr; /* IP:PORT */
	const char *target; /* path and query, already escaped */
	const char *content_type; /* of the body; NULL without one */
	const void *body;
	size_t body_len;
	struct mu_http_limits limits;
	size_t max_body; /* bytes accepted in the answer */
	/*
	 * Gets the body of a 200 answer piece by piece; false stops.  When
	 * NULL, and for every other status, the body is kept in the result.
	 */
	bool (*on_data)(void *arg, const char *data, size_t len);
	/* Asked between reads and writes; true gives up.  May be NULL. */
	bool (*cancelled)(void *arg);
	void *arg;
};

enum mu_http_result {
	MU_HTTP_COMPLETE, /* the answer came whole, whatever its status */
	MU_HTTP_CONNECT_FAILED, /* connect refused, failed or timed out */
	MU_HTTP_TIMEOUT, /* a limit passed after the connect */
	MU_HTTP_CONN_LOST, /* closed or reset before the end of the answer */
	MU_HTTP_CANCELLED,
	MU_HTTP_ABORTED, /* on_data returned false */
	MU_HTTP_TOO_LARGE,
	MU_HTTP_MALFORMED, /* the answer is not HTTP/1.x */
	MU_HTTP_SYSTEM /* no socket, no memory, bad address */
};

struct mu_http_response {
	enum mu_http_result result;
	bool may_have_sent; /* a byte may have left; false proves that none did
			     */
	int status; /* 0: no status line came */
	char *body; /* NUL-terminated; NULL when nothing was kept */
	size_t body_len;
	uint32_t retry_after_ms; /* from Retry-After; 0: none */
	mu_us first_byte; /* from the start; 0: none came */
	mu_us took;
};

/* Runs q once; r must be cleared with mu_http_response_clear(). */
void mu_http_run(const struct mu_http_request *q, struct mu_http_response *r);
void mu_http_response_clear(struct mu_http_response *r);
/* Short name of an end for messages. */
const char *mu_http_result_name(enum mu_http_result result);
/* The kept body as JSON, or NULL; a new reference. */
json_t *mu_http_response_json(const struct mu_http_response *r);
/* Escapes a path or a query value; malloc'd, '/' stays as it is. */
char *mu_http_escape(const char *s);

#endif
