/*
 * rig.h -- small deployment for the cases of this review: a table store, model
 * engines and clients in one process, and daemons as separate processes, all on
 * loopback addresses and the real clock.
 */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_HEADERS 48
#define RIG_EVENTS 64

/* Exit statuses of a case. */
#define RIG_HELD 0
#define RIG_BROKEN 1
#define RIG_CANNOT_RUN 2

/* Settings of a small deployment, in force for all cases. */
#define RIG_LEAD_MS 10000 /* from the start of the machines to the traffic */
#define RIG_CONTACT_MS 3000
#define RIG_DRAIN_MS 2000
#define RIG_BEAT_MS 1200
#define RIG_CHUNK_TOKENS 17

struct rig_server;

struct rig_header {
	char name[64];
	char value[512];
};

struct rig_request {
	char method[16];
	char path[512];
	struct rig_header header[RIG_HEADERS];
	size_t nheaders;
	char *body; /* with a terminating NUL */
	size_t len;
};

/* Starts the record and the folder for logs and settings.  Exits with
 * RIG_CANNOT_RUN on a failure. */
void rig_begin(const char *record);
/* Ends all daemons and returns the case's exit status. */
int rig_end(int status);
/* Milliseconds since rig_begin(). */
long rig_now(void);
void rig_sleep(long ms);
/* Sleeps until `at` on the clock of rig_now(). */
void rig_sleep_until(long at);
void rig_note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void rig_cannot(const char *fmt, ...)
    __attribute__((format(printf, 1, 2), noreturn));
bool rig_trouble(void);

const char *rig_find(const struct rig_request *q, const char *name);

/* The store.  Values are JSON texts, which it keeps in base64. */
void rig_store_start(void);
void rig_store_put(const char *table, const char *key, const char *json);
void rig_store_remove(const char *table, const char *key);

/* An engine.  `run` is called for each request that the engine begins to run;
 * it writes the answer and returns whether the channel is kept. */
struct rig_engine {
	char id[32];
	const char *service;
	const char *zone;
	int slots;
	int weights; /* version of the weights */
	bool (*run)(struct rig_engine *e, int fd, const struct rig_request *q);
	char addr[32];
	int64_t born;
	unsigned sequence;
	bool draining;
	bool gone;
	int running;
	int requests; /* that it began to run */
	unsigned lifetime;
	struct rig_server *server;
};

void rig_engine_start(struct rig_engine *e);
/* A planned end: reports `draining`, serves on, is removed. */
void rig_engine_drain(struct rig_engine *e);
void rig_engine_remove(struct rig_engine *e);
/* The engine's process ends at once: its channels are reset and its port
 * refuses.  After down_ms it is back as a new lifetime under the same id. */
void rig_engine_crash(struct rig_engine *e, long down_ms);

/* Writing of answers by an engine; false if the channel is broken. */
bool rig_write(int fd, const void *data, size_t len);
bool rig_stream_begin(int fd, struct rig_engine *e, const struct rig_request *q);
bool rig_stream_event(int fd, unsigned id, const char *data);
bool rig_stream_end(int fd);
bool rig_answer(int fd, const struct rig_engine *e, const struct rig_request *q,
    int status, const char *extra, const char *body);
/* Closes the channel with a reset. */
void rig_reset(int fd);

/* A daemon, started with the command of the deploy file. */
struct rig_daemon {
	char host[32];
	const char *zone;
	char callers[32], ready[32], directory[32], mesh[32], metrics[32];
	const char *more_settings; /* further lines; NULL: none */
	pid_t pid;
	unsigned starts;
};

void rig_daemon_init(struct rig_daemon *d, const char *host, const char *zone);
void rig_daemon_start(struct rig_daemon *d);
void rig_daemon_kill(struct rig_daemon *d);
/* Stops the process as a freeze of its machine does, and wakes it. */
void rig_daemon_freeze(struct rig_daemon *d);
void rig_daemon_wake(struct rig_daemon *d);
/* Processor time that the process has used, in ms. */
long rig_daemon_cpu(const struct rig_daemon *d);
/* Waits until it says that it is ready. */
void rig_daemon_wait(struct rig_daemon *d, long limit_ms);
/* The address that the directory of d gives to a client of its zone. */
bool rig_resolve(const struct rig_daemon *d, char *addr, size_t size);

/* A client's answer. */
struct rig_answer {
	int status; /* 0: none */
	bool complete;
	bool broken; /* the channel ended before the answer did */
	char *body;
	size_t len;
	unsigned nevents;
	char event[RIG_EVENTS][256]; /* data */
	char event_id[RIG_EVENTS][32];
	struct rig_header header[RIG_HEADERS];
	size_t nheaders;
};

/* Sends a request on a new channel and reads its answer until limit_ms. */
void rig_call(const char *addr, const char *method, const char *path,
    const char *headers, const char *body, long limit_ms,
    struct rig_answer *a);
/* The same with a hook after each event; it ends the call if it returns
 * false. */
void rig_call_stream(const char *addr, const char *method, const char *path,
    const char *headers, const char *body, long limit_ms,
    struct rig_answer *a, bool (*on_event)(void *arg, struct rig_answer *a),
    void *arg);
const char *rig_answer_header(const struct rig_answer *a, const char *name);
void rig_answer_free(struct rig_answer *a);

#endif
