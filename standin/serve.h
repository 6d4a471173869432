/*
 * serve.h -- HTTP server shared by all stand-ins.
 *
 * A stand-in fills in a struct server, parses its options with serve_argp as
 * a child parser and calls serve_run().  The server reads requests, calls
 * handle() and applies the faults that were set through the fault port.
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

/* Active faults; see "Fault port" in docs/design/contracts.md. */
struct serve_fault {
	bool down;
	bool refuse;
	bool fencing; /* reject epochs below the highest seen */
	uint32_t slow_ms;
	uint32_t lose_answers;
	uint32_t fail_answers; /* execute the next N, then answer 500 */
	uint32_t truncate;
	uint32_t cross;
	uint32_t duplicate;
	uint32_t report_lag_ms;
	uint32_t event_lag_ms;
	uint32_t host_lag_ms;
	uint32_t token_ms;
	uint32_t work_ms; /* plain service: duration of a call */
	double event_loss; /* fraction of cache events dropped, 0..1 */
	char *crash_on;
	char *match; /* limits counted faults to bodies with this text */
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
	/* Waits for the next event; *event is malloc'd unless SERVE_ABORT. */
	enum serve_event_status (*next_event)(
	    void *arg, const struct serve_conn *conn, char **event);
	/* Called once, when the stream ended or the client closed. */
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
	bool took_effect; /* a write, call or cache command took effect */
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
	serve_handler *handle_fault; /* further fault-port paths; may be NULL */
	/* Called after each accepted POST /fault; may be NULL. */
	void (*on_fault)(struct server *s, const json_t *fields);
	/* Called once, before the ports open; may be NULL. */
	void (*start)(struct server *s);
	/* Fills in the current load; NULL when none is reported. */
	void (*get_load)(struct serve_load *l);
	struct serve_fault fault; /* set by the stand-in; restored by "reset" */

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
	unsigned nsample; /* samples taken since the start */
};

/* Parses --listen, --fault and --executed; its input is a struct server. */
extern const struct argp serve_argp;

/*
 * Listens, prints the ready line and serves until SIGTERM or SIGINT, then
 * exits the process.  Returns an exit status when it cannot start.
 */
int serve_run(struct server *s);
/*
 * Copies the active faults.  The string members may be freed by another
 * thread, so the caller must not read them.
 */
struct serve_fault serve_get_faults(struct server *s);
/*
 * Decrements the counted fault *n and returns true if it is above 0 and body
 * contains the "match" text.
 */
bool serve_consume_fault(struct server *s, uint32_t *n, const char *body);
/* Microseconds on the server's clock. */
mu_us serve_now(const struct server *s);
void serve_sleep_ms(uint32_t ms);
/* Whether the client closed its side; false while the connection is frozen. */
bool serve_client_closed(const struct serve_conn *conn);
/* Appends the request to the executed log; returns its number, from 1. */
uint64_t serve_log_execution(struct server *s, const json_t *request);
/* Increments a counter; the name must live as long as the process. */
void serve_count(struct server *s, const char *name);
/* The request id for the answer; "cross" replaces it by another one. */
const char *
serve_answer_id(struct serve_req *q, char buf[MU_NAME_LEN + 1], const char *id);
/* Answers with the load, delayed by report_lag_ms. */
void serve_load_report(struct server *s, struct serve_answer *a);
/* Unescaped query argument, or NULL. */
const char *serve_query_arg(const struct serve_req *q, const char *name);
uint64_t serve_query_uint(
    const struct serve_req *q, const char *name, uint64_t otherwise);
/* Whether the request has this method and path. */
bool
serve_matches(const struct serve_req *q, const char *method, const char *path);
/* Fills in *a and takes ownership of json. */
void serve_json(struct serve_answer *a, unsigned status, json_t *json);
void serve_error(struct serve_answer *a, unsigned status, const char *error);

#endif
