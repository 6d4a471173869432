/*
 * webmem.h -- memory that the HTTP servers of a daemon hold for their clients.
 *
 * Bodies of requests and large answers, within one limit.  Thread-safe.
 */
#ifndef MU_WEBMEM_H
#define MU_WEBMEM_H

#include "memacct.h"
#include "stream.h"
#include "webconn.h"

/*
 * Copies of a complete body that count beside it: its parsed form, the request
 * to the endpoint and the record for the journal.
 */
#define MU_WEBMEM_BODY_COPIES 3
/* A body of the largest size and its copies must fit in the half of the limit
 * that a client address may hold while another one waits. */
#define MU_WEBMEM_MIN_BODIES (2 * (1 + MU_WEBMEM_BODY_COPIES))
#define MU_WEBMEM_RETRY_AFTER_MS 1000 /* told to refused clients */

struct mu_webmem;

struct mu_webmem_conf {
	size_t limit; /* bytes */
	uint32_t body_timeout_ms;
	const struct mu_clock *clock;
};

int mu_webmem_new(struct mu_webmem **m, const struct mu_webmem_conf *conf);
void mu_webmem_free(struct mu_webmem *m);
mu_us mu_webmem_now(const struct mu_webmem *m);

enum mu_webmem_result {
	MU_WEBMEM_OK,
	MU_WEBMEM_TOO_LARGE,
	MU_WEBMEM_NO_ROOM,
	MU_WEBMEM_CLOSE /* the connection must be closed */
};

#define MU_WEBBODY_CHUNKED UINT64_MAX /* no declared length */

/* A body that is received or handled; its fields are webmem.c's. */
struct mu_webbody {
	struct mu_acct_holder holder;
	struct mu_acct_holder copies[MU_WEBMEM_BODY_COPIES];
	struct mu_webmem *mem;
	const struct mu_webconn *conn;
	char *data; /* NUL-terminated; NULL while empty */
	size_t len;
	size_t size; /* allocated */
	size_t max;
	size_t discarded;
	mu_us deadline;
	bool too_large;
	bool dropped; /* to make room for another one */
};

/* Starts a body when its head was received.  Returns OK, TOO_LARGE or
 * NO_ROOM; mu_webbody_end() must follow in each case. */
enum mu_webmem_result
mu_webbody_begin(struct mu_webbody *b, struct mu_webmem *m,
    const struct mu_webconn *conn, size_t max, uint64_t declared);
/* Returns OK or CLOSE.  A body over its limit is discarded, and b->too_large
 * set. */
enum mu_webmem_result
mu_webbody_append(struct mu_webbody *b, const char *data, size_t len);
/* Time left for the rest of the body. */
mu_us mu_webbody_time_left(const struct mu_webbody *b);
/* The body is complete and may be read.  Counts the copies that are made of
 * it.  Returns OK, NO_ROOM or CLOSE. */
enum mu_webmem_result mu_webbody_complete(struct mu_webbody *b);
/* Frees the data; the copies still count. */
void mu_webbody_free_data(struct mu_webbody *b);
void mu_webbody_end(struct mu_webbody *b);

/* An answer that is being sent from the reply of an ended stream. */
struct mu_webanswer;

/* Returns NULL if there is no room. */
struct mu_webanswer *mu_webanswer_new(struct mu_webmem *m,
    const struct mu_webconn *conn, struct mu_stream *ended);
/* Copies bytes from pos.  Returns 0 if the answer was dropped. */
size_t
mu_webanswer_read(struct mu_webanswer *w, uint64_t pos, char *buf, size_t max);
void mu_webanswer_free(struct mu_webanswer *w);

#endif
