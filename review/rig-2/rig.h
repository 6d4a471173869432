/*
 * rig.h -- stand-ins for a small deployment: the platform's table store,
 * endpoints and callers as threads of this process, and daemons as processes.
 *
 * Everything listens on 127.0.0.1 at ports that the system chose.  record()
 * writes what was sent, answered and run to record.txt.
 */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_HELD 0 /* exit status: the rule held */
#define RIG_BROKEN 1
#define RIG_UNABLE 2 /* the case could not run */

#define RIG_ENDPOINTS 8
#define RIG_DAEMONS 8
#define RIG_HEADERS_MAX 4096

/* Of a case */

/* Whether the disruption is to happen; TROUBLE=0 turns it off. */
bool rig_trouble(void);
void rig_open(const char *record_path);
/* Ends all processes that were started, and this one. */
void rig_exit(int status) __attribute__((noreturn));
/* Ends the case as not runnable. */
void rig_unable(const char *why) __attribute__((noreturn));
int64_t rig_now_ms(void); /* since rig_open() */
void rig_sleep_until(int64_t ms);
void rig_sleep_ms(int64_t ms);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Bytes that grow */

struct text {
	char *p; /* terminated by NUL */
	size_t len;
	size_t size;
};

void text_add(struct text *t, const void *data, size_t n);
void text_printf(struct text *t, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void text_clear(struct text *t);

/* HTTP/1.1 */

struct conn {
	int fd;
	struct text in; /* received, not yet used */
};

struct msg {
	char start[512]; /* request line or status line */
	char headers[RIG_HEADERS_MAX]; /* lines, each ending in CRLF */
	struct text body;
};

/* Value of a header of m in buf; NULL: absent. */
const char *
msg_header(const struct msg *m, const char *name, char *buf, size_t size);

/* The store */

/* Starts the store. */
void store_open(void);
/* Writes a row as the operator or an endpoint does. */
void store_put(const char *table, const char *key, const char *json);
void store_remove(const char *table, const char *key);

/* Endpoints */

struct endpoint;

/* A request at an endpoint. */
struct arrival {
	struct endpoint *e;
	struct conn *c;
	const struct msg *m;
	char id[128]; /* Request-Id */
	char path[256];
	int last_event; /* of Last-Event-Id; 0: none */
	uint32_t hash; /* of the request's body */
	bool broken; /* the connection is not used again */
};

struct endpoint {
	char id[32];
	char service[32];
	char zone[32];
	int port;
	int slots;
	bool leaving; /* reported to the store */
	int weights; /* version */
	int64_t born;
	int64_t sequence;
	int running;
	unsigned runs; /* requests that it has begun to run */
	/* Answers a request that has passed the checks of every endpoint. */
	void (*run)(struct arrival *a);
};

/* Starts an endpoint and lists it in the store. */
struct endpoint *endpoint_open(const char *id, const char *service,
    const char *zone, void (*run)(struct arrival *a));
/* Reports that the endpoint leaves; returns when the store has it. */
void endpoint_leave(struct endpoint *e);
/* Refuses as not executed. */
void arrival_refuse(struct arrival *a, int status, const char *reason);
/* Answers with events from_event to `events`, one every pause_ms.  Stops after
 * `break_after` events with a reset in the middle of the next; 0: never. */
void arrival_stream(
    struct arrival *a, int events, int pause_ms, int break_after);
/* Resets the connection without an answer. */
void arrival_lose(struct arrival *a);
/* Text of the data of event n of a request with this hash, with a line feed. */
void event_text(struct text *t, uint32_t hash, int n);
uint32_t body_hash(const void *p, size_t len);

/* Daemons */

/* Starts n daemons with the command of the deploy file and waits until all
 * are ready. */
void daemons_open(int n);
int daemon_port(int i);
void daemon_kill(int i);
/* Sends SIGTERM and waits for the exit. */
void daemon_stop(int i);
bool daemon_ready(int i);

/* Callers */

struct answer {
	int status; /* 0: no complete head */
	bool whole; /* the body is complete */
	int events; /* complete events */
	int last_event; /* id of the last complete event */
	struct text body;
};

/* Connects to daemon i; fd is -1 on a failure. */
void caller_open(struct conn *c, int daemon);
void caller_close(struct conn *c);
/*
 * Sends one request and reads its answer.  headers are lines ending in CRLF.
 * Host, Request-Id, Content-Length and Deadline-Ms are added.  Gives up
 * timeout_ms after the start.
 */
void caller_run(struct conn *c, const char *id, const char *method,
    const char *path, const char *headers, const void *body, size_t len,
    int deadline_ms, int timeout_ms, struct answer *a);
void answer_clear(struct answer *a);

#endif
