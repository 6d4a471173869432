/*
 * rig.h -- stand-ins and processes for the review's cases.
 *
 * One test program plays the platform's store, the engines and the clients in
 * threads, and starts the daemons as separate processes with the command of
 * the deploy file.  All traffic stays on 127.0.0.1.
 */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define RIG_ADDR 32
#define RIG_HEADERS 64

/* Exit codes of a case. */
#define RIG_HELD 0
#define RIG_BROKEN 1
#define RIG_COULD_NOT_RUN 2

/* A request as read by a stand-in's server. */
struct rig_req {
	int fd;
	void *arg; /* of rig_serve() */
	char method[16];
	char target[2048];
	char *head; /* header lines, NUL-terminated */
	char *body;
	size_t len;
};

/* Opens the record, the temporary folder and the random numbers.  Returns
 * whether the disruption is switched on (TROUBLE is not 0). */
bool rig_open(const char *record);
/* Kills the daemons that still run, closes the record and exits. */
void rig_exit(int code) __attribute__((noreturn));
double rig_now(void); /* seconds since rig_open() */
void rig_sleep(double seconds);
void rig_until(double at); /* sleeps until rig_now() is at */
/* Writes a line with the time to the record. */
void rig_note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void rig_id(char id[17]); /* a new request id */
void rig_thread(void *(*fn)(void *), void *arg);

/* HTTP servers: one thread a connection; fn returns false to close it. */
struct rig_server *rig_serve(
    char addr[RIG_ADDR], bool (*fn)(struct rig_req *r), void *arg);
/* Closes the port; channels that are open stay. */
void rig_server_close(struct rig_server *s);
/* Resets a channel whose thread still owns it. */
void rig_reset(int fd);
/* Copies the value of a header; false if there is none. */
bool rig_header(const char *head, const char *name, char *to, size_t size);
bool rig_send(int fd, const void *data, size_t len);
bool rig_printf(int fd, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Sends one chunk of a chunked body. */
bool rig_chunk(int fd, const char *data, size_t len);

/* The store.  Values are JSON texts. */
void rig_store_open(char addr[RIG_ADDR]);
void rig_store_put(const char *table, const char *key, const char *json);
void rig_store_remove(const char *table, const char *key);

/* Daemons. */
struct rig_daemon {
	char name[32];
	char caller[RIG_ADDR];
	char ready[RIG_ADDR];
	char settings[256];
	char log[256];
	pid_t pid; /* 0: ended */
	int status; /* of waitpid(), once it has ended */
	/* As given to rig_daemon_start(). */
	char zone[32];
	char store[RIG_ADDR];
	char extra[256];
	int starts;
};

/* Writes the settings as deploy/settings.yaml.tmpl has them and starts
 * target/cardamomusher; extra holds more lines of settings. */
void rig_daemon_start(struct rig_daemon *d, const char *name, const char *zone,
    const char *store, const char *extra);
/* Waits until all are ready; exits with RIG_COULD_NOT_RUN if one is not.  One
 * that exits meanwhile is started again with other ports, in case another
 * process has taken one of its ports. */
void rig_daemons_ready(struct rig_daemon *d, int n);
/* Whether the process runs; keeps its status once it has ended. */
bool rig_daemon_alive(struct rig_daemon *d);

/* Clients. */
struct rig_answer {
	int status; /* 0: the channel ended before a whole head */
	bool whole; /* the body is complete */
	char head[8192];
	char *body; /* as received; without the framing of chunks */
	size_t len;
};

int rig_connect(const char *addr);
/* Sends one request on an open channel and reads the answer.  headers are
 * lines that end in CR LF. */
void rig_call(int fd, const char *method, const char *target,
    const char *headers, const char *body, int timeout_ms,
    struct rig_answer *a);
void rig_answer_clear(struct rig_answer *a);

#endif
