/*
 * serve_private.h -- what the files of the shared server know of one another.
 */
#ifndef SERVE_PRIVATE_H
#define SERVE_PRIVATE_H

#include "serve.h"

/* conn.c */

/* libmicrohttpd's notes of connections that start and close. */
void conn_notify(void *cls, struct MHD_Connection *mhd, void **ctx,
    enum MHD_ConnectionNotificationCode code);
/* Its question whether to take a connection. */
enum MHD_Result
conn_accept(void *cls, const struct sockaddr *addr, socklen_t len);
/* Whether the connection passes no more bytes; false for the fault port. */
bool conn_frozen(const struct serve_conn *conn);
/* Holds a frozen connection open, passing nothing, until the client goes. */
void conn_park(const struct serve_conn *conn);
void conns_freeze(struct server *s);
void conns_cut(struct server *s);

/* flow.c */

/* The response that sends a stream; NULL when memory is short. */
struct MHD_Response *
stream_response(struct serve_req *q, struct serve_stream *st);
/* Runs a stream to its end without sending it: the answer that is lost. */
void stream_discard(const struct serve_req *q, struct serve_stream *st);

/* faults.c */

void fault_post(struct serve_req *q, struct serve_answer *a);
void executed_get(struct server *s, struct serve_answer *a);
void counts_get(struct server *s, struct serve_answer *a);

/* report.c */

/* Thread that samples the load; its argument is the struct serve. */
void *load_sample_loop(void *arg);

#endif
