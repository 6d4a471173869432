/*
 * web.h -- HTTP servers on libmicrohttpd.
 *
 * Each connection has a thread.  A handler is called once the body is complete
 * and may block.
 */
#ifndef MU_WEB_H
#define MU_WEB_H

#include <jansson.h>
#include <microhttpd.h>

#include "conf.h"
#include "musher.h"
#include "stream.h"
#include "webmem.h"

struct mu_web;

struct mu_web_req {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	const char *body; /* NUL-terminated */
	size_t len;
	struct mu_arena *arena;
	struct mu_web *web;
	struct mu_webconn *conn; /* NULL when out of memory */
	bool ends_connection; /* its response is the last one */
	bool streams; /* the response is sent while the request is handled */
};

struct mu_web_conf {
	const char *listen; /* IP:PORT */
	uint32_t max_body;
	uint32_t max_connections;
	struct mu_webmem *mem; /* shared by the servers of a daemon */
	uint32_t *requests_in_progress; /* counter; atomic, may be NULL */
	void *arg;
	/* Must queue exactly one response. */
	enum MHD_Result (*handle)(void *arg, struct mu_web_req *r);
};

int mu_web_open(
    struct mu_web **w, const struct mu_web_conf *conf, struct mu_error *e);
/* Answers from now on end their connections, so that callers go elsewhere. */
void mu_web_drain(struct mu_web *w);
/* Stops accepting connections; open ones continue. */
void mu_web_quiesce(struct mu_web *w);
/* Requests that have not reached the handler yet are answered with
 * MU_E_STOPPING. */
void mu_web_refuse(struct mu_web *w);
void mu_web_close(struct mu_web *w);

/* Queues a response, which is released. */
enum MHD_Result mu_web_queue(
    struct mu_web_req *r, unsigned status, struct MHD_Response *response);
/* Queue a response; take over j and the malloc'd text. */
enum MHD_Result mu_web_json(struct mu_web_req *r, int status, json_t *j);
enum MHD_Result
mu_web_text(struct mu_web_req *r, int status, char *text, const char *type);
enum MHD_Result mu_web_error(struct mu_web_req *r, const struct mu_error *e);
enum MHD_Result mu_web_reply(struct mu_web_req *r, const struct mu_reply *p);
/* Sends the reply of an ended stream without copying a large one.  Closes the
 * connection if there is no room for it. */
enum MHD_Result mu_web_reply_stream(struct mu_web_req *r, struct mu_stream *s);

/* Name that the request's bearer key belongs to, or NULL. */
const char *mu_web_authenticate(
    struct mu_web_req *r, const struct mu_caller_key *keys, unsigned nkeys);
const char *mu_web_query(struct mu_web_req *r, const char *name);
const char *mu_web_header(struct mu_web_req *r, const char *name);
/* Unsigned query parameter; def when absent or not a number. */
uint64_t
mu_web_query_number(struct mu_web_req *r, const char *name, uint64_t def);

#endif
