/*
 * serve.h -- the server that every stand-in shares.
 *
 * A stand-in fills in a struct server, parses its options with serve_argp as
 * a child parser and calls serve_run().  The server reads requests, applies
 * the faults that the fault port asks for, and calls handle() for the rest.
 * Handlers run on the connection's own thread and may block.
 */
#ifndef SERVE_H
#define SERVE_H

#include <argp.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <urcu/list.h>

#include "musher.h"

/* Faults in force; see "Fault port" in docs/design/contracts.md. */
struct serve_fault {
	bool down;
	bool refuse;
	bool fencing; /* refuse an epoch below the highest seen */
	uint32_t slow_ms;
	uint32_t lose_answers;
	uint32_t fail_answers; /* run the next N, then answer 500 */
	uint32_t truncate;
	uint32_t cross;
	uint32_t duplicate;
	uint32_t report_lag_ms;
	uint32_t event_lag_ms;
	uint32_t host_lag_ms;
	uint32_t token_ms;
	uint32_t work_ms; /* plain service: time that a call takes */
	double event_loss; /* share of the cache events never shown, 0..1 */
	char *crash_on;
	char *match; /* the counted faults strike only bodies with this text */
};

/* One open connection of the main port. */
struct serve_conn {
	struct cds_list_head node;
	int fd;
	bool frozen;
};

struct server;

struct serve_req {
	struct server *s;
	struct MHD_Connection *mhd;
	struct serve_conn *conn; /* NULL on the fault port */
	char *method;
	char *path;
	char *body; /* NUL-terminated */
	size_t len;
	size_t cap;
	json_t *json; /* the body when it is JSON, else NULL */
};

enum serve_event_status {
	SERVE_MORE, /* an event that is not the last */
	SERVE_LAST, /* the last event */
	SERVE_ABORT /* close without the last event */
};

/* A text/event-stream answer. */
struct serve_stream {
	/* Blocks for the next event; *event is malloc'd unless SERVE_ABORT. */
	enum serve_event_status (*next_event)(
	    void *arg, const struct serve_conn *conn, char **event);
	/* Called once, when the stream ended or its client has gone. */
	void (*close)(void *arg);
	void *arg;
	uint64_t chunks; /* events before the last one */
};

enum serve_kind {
	SERVE_JSON,
	SERVE_BYTES,
	SERVE_STREAM
};

struct serve_answer {
	enum serve_kind kind;
	unsigned status;
	bool took_effect; /* a write, call or order took effect */
	union {
		json_t *json; /* owned by the answer */
		struct {
			char *data; /* malloc'd, owned by the answer */
			size_t len;
		} bytes;
		struct serve_stream stream;
	} u;
};

typedef void serve_handler(struct serve_req *q, struct serve_answer *a);

/* A load report as endpoints publish it. */
struct serve_load {
	mu_us sampled_at;
	uint32_t running;
	uint32_t queued;
	uint32_t max_batch;
	uint64_t cache_used; /* tokens */
	uint64_t cache_max; /* tokens */
};

#define SERVE_SAMPLES 32
#define SERVE_MAX_COUNTERS 16

struct server {
	/* Set by the stand-in. */
	const char *name;
	const char *listen; /* IP:PORT; NULL: no main port */
	const char *fault_addr; /* IP:PORT */
	const char *executed_file; /* each execution is also appended here */
	serve_handler *handle;
	serve_handler *handle_fault; /* paths of its own; may be NULL */
	/* Told of each accepted POST /fault; may be NULL. */
	void (*on_fault)(struct server *s, const json_t *fields);
	/* Called once, before the ports open; may be NULL. */
	void (*start)(struct server *s);
	/* Current load; NULL when the stand-in reports none. */
	void (*get_load)(struct serve_load *l);
	struct serve_fault fault; /* at start: the values that reset restores */

	/* Private to the shared server. */
	struct mu_clock clock;
	pthread_mutex_t lock; /* guards all below */
	struct serve_fault initial_fault;
	struct cds_list_head conns;
	json_t *executed;
	FILE *executed_log;
	char last_id[MU_NAME_LEN + 1];
	struct {
		const char *name;
		uint64_t n;
	} counters[SERVE_MAX_COUNTERS];
	struct serve_load sample[SERVE_SAMPLES];
	unsigned nsample; /* samples ever taken */
};

/* --listen, --fault and --executed; its input is the struct serve. */
extern const struct argp serve_argp;

/* Listens, prints the ready line and returns on SIGTERM; an exit status. */
int serve_run(struct server *s);
/* Copy of the faults in force; its strings are not to be used. */
struct serve_fault serve_get_faults(struct server *s);
/* Takes one from the counted fault *n if it is above 0 and body matches. */
bool serve_consume_fault(struct server *s, uint32_t *n, const char *body);
/* Microseconds on the server's clock. */
mu_us serve_now(const struct server *s);
void serve_sleep_ms(uint32_t ms);
/* Whether the client has closed; false while the connection is frozen. */
bool serve_client_closed(const struct serve_conn *conn);
/* Adds the request to the executed log; returns its number, from 1. */
uint64_t serve_log_execution(struct server *s, const json_t *request);
/* Counts one under a name that lives as long as the process. */
void serve_count(struct server *s, const char *name);
/* The request id to answer with: another request's under "cross". */
const char *
serve_answer_id(struct serve_req *q, char buf[MU_NAME_LEN + 1], const char *id);
/* The load report that is due to be seen now. */
void serve_load_report(struct server *s, struct serve_answer *a);
/* Query argument, unescaped, or NULL. */
const char *serve_query_arg(const struct serve_req *q, const char *name);
uint64_t serve_query_uint(
    const struct serve_req *q, const char *name, uint64_t otherwise);
/* Whether the request has this method and path. */
bool
serve_matches(const struct serve_req *q, const char *method, const char *path);
/* Fills *a; takes over json. */
void serve_json(struct serve_answer *a, unsigned status, json_t *json);
void serve_error(struct serve_answer *a, unsigned status, const char *error);

#endif
