/*
 * serve_private.h -- interfaces between the files of the shared server.
 */
#ifndef SERVE_PRIVATE_H
#define SERVE_PRIVATE_H

#include "serve.h"

/* conn.c */

/* libmicrohttpd callback: a connection was opened or closed. */
void conn_notify(void *cls, struct MHD_Connection *mhd, void **ctx,
    enum MHD_ConnectionNotificationCode code);
/* libmicrohttpd callback: whether to accept a connection. */
enum MHD_Result
conn_accept(void *cls, const struct sockaddr *addr, socklen_t len);
/* Whether the connection is frozen; false for the fault port (NULL). */
bool conn_frozen(const struct serve_conn *conn);
/* Keeps a frozen connection open and idle until the client closes it. */
void conn_park(const struct serve_conn *conn);
void conns_freeze(struct server *s);
void conns_cut(struct server *s);

/* flow.c */

/* Creates the response that sends a stream; NULL when out of memory. */
struct MHD_Response *
stream_response(struct serve_req *q, struct serve_stream *st);
/* Runs a stream to its end without sending it, for a lost answer. */
void stream_discard(const struct serve_req *q, struct serve_stream *st);

/* faults.c */

void fault_post(struct serve_req *q, struct serve_answer *a);
void executed_get(struct server *s, struct serve_answer *a);
void counts_get(struct server *s, struct serve_answer *a);

/* report.c */

/* Samples the load periodically; thread function, arg is the server. */
void *load_sample_loop(void *arg);

#endif
