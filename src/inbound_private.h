/*
 * inbound_private.h -- shared by inbound.c (requests and answers), inbody.c
 * (room for bodies and answers) and inconn.c (connections).
 */
#ifndef MU_INBOUND_PRIVATE_H
#define MU_INBOUND_PRIVATE_H

#include <netinet/in.h>

#include "inbound.h"

/* Log lines of one event, at most one a second. */
struct mu_in_log_limit {
	mu_us next_at;
	unsigned suppressed; /* since the last line */
};

struct mu_inbound {
	struct mu_loop *loop;
	struct mu_in_conf conf;
	struct MHD_Daemon *daemon;
	struct mu_watch watch;
	struct mu_timer timer;
	struct mu_hook hook;
	bool needs_run; /* libmicrohttpd has work pending */
	bool accepting;
	bool leaving;
	unsigned nrequests; /* read whole and not answered whole */
	/* Connections, by the time of their last change, oldest first. */
	struct cds_list_head idle; /* without a request */
	struct cds_list_head receiving; /* a head or body */
	unsigned nconns; /* open and not being closed */
	struct mu_in_log_limit refused_log;
	struct mu_in_log_limit library_log;
};

/* A caller's connection. */
struct mu_in_conn {
	struct cds_list_head node; /* in idle or receiving, if listed */
	int fd;
	struct in_addr client;
	bool listed;
	bool closing; /* shut down; its requests are not read any more */
};

/* inbound.c */

/* Lets libmicrohttpd go on with a suspended request. */
void mu_in_resume(struct mu_in_req *r);
/* Whether a line may be written now; counts the others. */
bool mu_in_may_log(struct mu_inbound *in, struct mu_in_log_limit *l);

/* inconn.c */

/* Starts to manage a connection.  If there are too many, closes the one that
 * has been idle longest.  Returns NULL if out of memory. */
struct mu_in_conn *mu_in_conn_open(struct mu_inbound *in, int fd);
void mu_in_conn_free(struct mu_inbound *in, struct mu_in_conn *c);
/* A request begins, or more of it arrived. */
void mu_in_conn_receiving(struct mu_inbound *in, struct mu_in_conn *c);
/* Its request is complete. */
void mu_in_conn_busy(struct mu_inbound *in, struct mu_in_conn *c);
/* Its request has ended. */
void mu_in_conn_idle(struct mu_inbound *in, struct mu_in_conn *c);
/* Shuts the connection down; libmicrohttpd then closes it. */
void mu_in_conn_shutdown(struct mu_inbound *in, struct mu_in_conn *c);
/* Identifies the client's address in the account. */
uint64_t mu_in_conn_client(const struct mu_in_conn *c);

/* inbody.c */

/* The status with which a request is refused when its head has arrived, and
 * the error text; 0: its body may be read. */
int mu_in_body_begin(struct mu_in_req *r, const char **error);
/* Takes a piece of the body.  False: the connection is being closed. */
bool mu_in_body_add(struct mu_in_req *r, const char *data, size_t n);
/* The body is complete and can't be dropped any more. */
void mu_in_body_complete(struct mu_in_req *r);
/* Frees what is held for a request. */
void mu_in_body_free(struct mu_in_req *r);
/* Makes room for n more unsent bytes of an answer; false if the answer must be
 * aborted. */
bool mu_in_unsent_grow(struct mu_in_req *r, size_t n);
/* The caller took bytes of the answer. */
void mu_in_unsent_taken(struct mu_in_req *r);
/* Aborts an answer that its caller does not read. */
void mu_in_abort_unread(struct mu_in_req *r);

#endif
