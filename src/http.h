/*
 * http.h -- HTTP/1.1 client with one connection per request.
 *
 * Used by the platform and endpoint modules only.  A request is sent at most
 * once, and its connection is never reused.
 */
#ifndef MU_HTTP_H
#define MU_HTTP_H

#include <jansson.h>

#include "answermem.h"

/* All in ms; 0 expires immediately, there is no value for "no limit". */
struct mu_http_limits {
	uint32_t connect_ms;
	uint32_t first_byte_ms; /* from the last byte of the request */
	uint32_t idle_ms; /* between two reads or writes */
	uint32_t total_ms;
};

struct mu_http_request {
	const char *method;
	const char *addr; /* IP:PORT */
	const char *target; /* path and query, already escaped */
	const char *content_type; /* NULL when there is no body */
	const void *body;
	size_t body_len;
	struct mu_http_limits limits;
	size_t max_body; /* largest accepted body of the answer */
	/* The answer of an endpoint: counts in answermem.h, and the body of one
	 * that isn't 200 has a small limit. */
	bool from_endpoint;
	/*
	 * Receives the body of a 200 answer as it arrives; false aborts the
	 * transfer.  If NULL, and for every other status, the body is stored
	 * in the response.
	 */
	bool (*on_data)(void *arg, const char *data, size_t len);
	/* Polled during the transfer; true cancels it.  May be NULL. */
	bool (*cancelled)(void *arg);
	void *arg;
};

enum mu_http_result {
	MU_HTTP_COMPLETE, /* complete answer, whatever its status */
	MU_HTTP_CONNECT_FAILED, /* connect refused, failed or timed out */
	MU_HTTP_TIMEOUT, /* a limit expired after the connect */
	MU_HTTP_CONN_LOST, /* closed or reset before the answer ended */
	MU_HTTP_CANCELLED,
	MU_HTTP_ABORTED, /* on_data returned false */
	MU_HTTP_TOO_LARGE,
	MU_HTTP_NO_ROOM, /* too many large answers at a time */
	MU_HTTP_MALFORMED, /* not an answer of HTTP/1.x */
	MU_HTTP_SYSTEM /* no socket, out of memory, bad address */
};

struct mu_http_response {
	enum mu_http_result result;
	bool may_have_sent; /* false: no byte of the request was sent */
	int status; /* 0: no status line received */
	char *body; /* NUL-terminated; NULL when nothing was stored */
	size_t body_len;
	struct mu_answermem mem; /* until the response is cleared */
	uint32_t retry_after_ms; /* from Retry-After; 0: none */
	mu_us time_to_first_byte; /* from the start; 0: no byte received */
	mu_us took;
};

/* Sends q at most once; r must be cleared with mu_http_response_clear(). */
void mu_http_run(const struct mu_http_request *q, struct mu_http_response *r);
void mu_http_response_clear(struct mu_http_response *r);
/* Short description of a result for messages. */
const char *mu_http_result_name(enum mu_http_result result);
/* Parses the stored body; a new reference, or NULL if it is not JSON. */
json_t *mu_http_response_json(const struct mu_http_response *r);
/* Percent-encodes a path or query value except '/'; the caller frees it. */
char *mu_http_escape(const char *s);

#endif
