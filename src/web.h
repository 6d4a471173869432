/*
 * web.h -- HTTP servers on libmicrohttpd.
 *
 * A thread for each connection; a handler sees a request once its body is
 * whole, and may block.
 */
#ifndef MU_WEB_H
#define MU_WEB_H

#include <jansson.h>
#include <microhttpd.h>

#include "conf.h"
#include "musher.h"
#include "stream.h"

struct mu_web;

struct mu_web_req {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	const char *body; /* NUL-terminated */
	size_t len;
	struct mu_arena *arena;
};

struct mu_web_conf {
	const char *listen; /* IP:PORT */
	uint32_t max_body;
	uint32_t max_connections;
	uint32_t *requests_in_progress; /* requests; atomic, may be NULL */
	void *arg;
	/* Queues exactly one response. */
	enum MHD_Result (*handle)(void *arg, struct mu_web_req *r);
};

int mu_web_open(
    struct mu_web **w, const struct mu_web_conf *conf, struct mu_error *e);
/* Accepts no more connections; those in progress go on. */
void mu_web_quiesce(struct mu_web *w);
void mu_web_close(struct mu_web *w);

/* Responses. */
enum MHD_Result mu_web_json(struct mu_web_req *r, int status, json_t *j);
enum MHD_Result
mu_web_text(struct mu_web_req *r, int status, char *text, const char *type);
enum MHD_Result mu_web_error(struct mu_web_req *r, const struct mu_error *e);
enum MHD_Result mu_web_reply(struct mu_web_req *r, const struct mu_reply *p);

/* Name of the key's holder, or NULL. */
const char *mu_web_authenticate(
    struct mu_web_req *r, const struct mu_caller_key *keys, unsigned nkeys);
const char *mu_web_query(struct mu_web_req *r, const char *name);
const char *mu_web_header(struct mu_web_req *r, const char *name);
/* Unsigned number in a query; def when absent or not a number. */
uint64_t
mu_web_query_number(struct mu_web_req *r, const char *name, uint64_t def);

#endif
