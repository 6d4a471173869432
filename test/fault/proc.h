/*
 * proc.h -- processes, HTTP requests and clusters for whole-process tests.
 *
 * A test program starts executables from its own directory, talks to them over
 * loopback and kills them all at the end, also when a test fails, provided
 * that proc_teardown is the test's teardown.  Each test program uses its own
 * loopback IP, so that several can run in parallel.
 *
 * Tests wait for conditions, never for a fixed time; PROC_LIMIT_MS only bounds
 * the wait for a condition that never holds.  Functions that start a process
 * or wait report failures to cmocka and must be called from the test's thread.
 * The http_ functions never fail the test and may be called from any thread,
 * except http_until(), which waits.
 */
#ifndef PROC_H
#define PROC_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define PROC_LIMIT_MS 60000
#define PROC_POLL_MS 20
#define PROC_ADDR_LEN 32 /* "IP:PORT" */
#define PROC_NAME_LEN 64
#define PROC_ARGS 24

/* Processes */

struct proc {
	pid_t pid; /* 0: exited and reaped */
	int status; /* from waitpid(), after the exit */
	long log_offset; /* log file size at the last start */
	char name[PROC_NAME_LEN]; /* of its log file */
	char prog[PROC_NAME_LEN];
	char *argv[PROC_ARGS + 2];
};

/*
 * Starts prog, an executable in the test program's directory, with a
 * NULL-terminated argument list.  Its output goes to a log file called name,
 * which must be unique within the test.
 */
struct proc *
proc_start(const char *name, const char *prog, const char *const args[]);
/* Waits until a stand-in has logged the event "ready". */
void proc_ready(struct proc *p);
/* Assigns both addresses, starts a stand-in on them, waits until ready. */
struct proc *proc_standin(const char *prog, char addr[PROC_ADDR_LEN],
    char fault[PROC_ADDR_LEN], const char *const args[]);
/* Restarts an exited process with the same arguments. */
void proc_restart(struct proc *p);
/* Sends SIGKILL and reaps the process. */
void proc_kill(struct proc *p);
/* Sends SIGTERM without waiting. */
void proc_term(const struct proc *p);
/* Waits for the exit.  Returns the exit status, or -1 after a signal. */
int proc_wait(struct proc *p);
/* Sends SIGSTOP and waits until the process has stopped. */
void proc_pause(const struct proc *p);
/* Sends SIGCONT. */
void proc_resume(const struct proc *p);
/* Whether the process is running; reaps it if it has exited. */
bool proc_alive(struct proc *p);
/* A figure in kB of the process's status, such as "VmHWM"; -1: there is none.
 */
long proc_status_kb(const struct proc *p, const char *key);
/* Whether the process has logged the text since its last start. */
bool proc_logged(const struct proc *p, const char *text);
/* Builds the path of a file in the temporary directory. */
void proc_path(char *buf, size_t len, const char *file);
/* Writes a file in the temporary directory and returns its path in path. */
void proc_write(char *path, size_t len, const char *file, const char *text);
/* Returns an unused address on this test program's loopback IP. */
void proc_addr(char addr[PROC_ADDR_LEN]);
/* Kills all processes; removes the directory unless PROC_KEEP is set. */
void proc_end_all(void);
/* cmocka teardown: proc_end_all(). */
int proc_teardown(void **state);
/* cmocka setup: kills processes left over from an earlier test. */
int proc_setup(void **state);

/* Waits until cond is true; at the limit fails the test with what. */
void proc_until(const char *what, bool (*cond)(void *arg), void *arg);
void proc_sleep_ms(unsigned ms);
int64_t proc_now_ms(void);

/* HTTP: each request uses a new connection */

struct http_req {
	const char *method;
	const char *addr;
	const char *path;
	const char *bearer; /* may be NULL */
	const char
	    *headers; /* additional lines, each ending in CRLF, or NULL */
	const char *body; /* may be NULL */
	size_t len;
	int limit_ms; /* whole request; 0: PROC_LIMIT_MS */
};

struct http_res {
	int status; /* 0: no complete response head */
	bool connected;
	bool whole; /* the body is complete */
	char *head;
	char *body; /* NUL-terminated */
	size_t len;
	json_t *json; /* the body, or NULL if it is not JSON */
};

/* Runs one request; after a failure r->status is 0. */
void http_run(const struct http_req *q, struct http_res *r);
void http_clear(struct http_res *r);
/* Returns the JSON body (new reference) or NULL; status may be NULL. */
json_t *
http_get(const char *addr, const char *path, const char *bearer, int *status);
/* Like http_get(); takes the reference to body. */
json_t *http_post(const char *addr, const char *path, const char *bearer,
    json_t *body, int *status);
json_t *http_send(const char *method, const char *addr, const char *path,
    const char *bearer, json_t *body, int *status);
/* Value of a response header, *len bytes long, or NULL. */
const char *
http_header(const struct http_res *r, const char *name, size_t *len);

/* Parses JSON written with single instead of double quotes. */
json_t *json_quoted(const char *text);

/*
 * Opens a connection and sends data.  Returns the socket, or -1.  For clients
 * that send partial requests or don't read the response.
 */
int http_open(const char *addr, const char *data);

/* Repeats GET until cond holds; returns that JSON body (new reference). */
json_t *http_until(const char *addr, const char *path, const char *bearer,
    bool (*cond)(int status, const json_t *json, void *arg), void *arg);

/* Fault ports */

/* POST /fault with an object built from a json_pack() format. */
void fault_set(const char *fault, const char *fmt, ...);
/* The log of executed requests (new reference). */
json_t *fault_executed(const char *fault);
/* Number of executions of this program and seq (program NULL: of all). */
size_t fault_run_count(const char *fault, const char *program, json_int_t seq);
/* A counter from /counts, 0 if absent. */
json_int_t fault_count(const char *fault, const char *name);

/* Clusters */

#define CLUSTER_DAEMONS 12
#define CLUSTER_ENGINES 16
#define CLUSTER_SERVICES 16

#define CLUSTER_CALLER_KEY "key-of-the-trust"
#define CLUSTER_OTHER_KEY "key-of-another-caller"
#define CLUSTER_OPERATOR_KEY "key-of-an-operator"
#define CLUSTER_OPERATOR2_KEY "key-of-another-operator" /* operator2 */

/* Relays to insert between processes, as bits. */
#define CLUSTER_RELAY_PLATFORM 1 /* from each daemon to the platform */
#define CLUSTER_RELAY_PEER 2 /* from the peers to each daemon's peer port */
#define CLUSTER_RELAY_ENDPOINT 4 /* from the daemons to each endpoint */

struct cluster_conf {
	int daemons;
	int engines;
	int services;
	unsigned relays; /* CLUSTER_RELAY_ bits */
	unsigned slots;
	unsigned lease_ms;
	unsigned renew_ms;
	unsigned heartbeat_ms;
	unsigned silence_ms;
	unsigned isolation_ms;
	unsigned outage_buffer; /* turns */
	unsigned token_ms;
	unsigned max_batch;
	unsigned cache_tokens;
	bool fencing; /* endpoints honour fencing */
	const char *settings; /* further lines of the daemons' settings */
};

enum unit_state {
	UNIT_LIVE,
	UNIT_LEAVING,
	UNIT_REMOVED /* absent from the host list */
};

/* One process of a cluster, and the relays in front of it. */
struct unit {
	struct proc *proc;
	enum unit_state state; /* in the host list */
	char name[PROC_NAME_LEN];
	char domain[PROC_NAME_LEN];
	char service[PROC_NAME_LEN]; /* endpoints */
	char addr[PROC_ADDR_LEN]; /* caller port, or the stand-in's address */
	char oper[PROC_ADDR_LEN]; /* operator port, daemons only */
	char peer[PROC_ADDR_LEN]; /* peer port, daemons only */
	char fault[PROC_ADDR_LEN]; /* fault port, stand-ins only */
	struct proc *relay; /* relay in front of it, or NULL */
	char relay_addr[PROC_ADDR_LEN];
	char relay_fault[PROC_ADDR_LEN];
	struct proc *platform_relay; /* daemons: relay to the platform */
	char platform_relay_addr[PROC_ADDR_LEN];
	char platform_relay_fault[PROC_ADDR_LEN];
};

struct cluster {
	struct cluster_conf conf;
	struct unit platform;
	struct unit daemon[CLUSTER_DAEMONS];
	struct unit engine[CLUSTER_ENGINES];
	struct unit service[CLUSTER_SERVICES];
};

/* Defaults for tests: short leases and timeouts, 32 slots. */
void cluster_defaults(struct cluster_conf *conf);
/* Starts all processes, posts the host list, waits for all daemons. */
struct cluster *cluster_start(int daemons, int engines, int services);
struct cluster *cluster_start_conf(const struct cluster_conf *conf);
/* Waits until each daemon responds on its operator port. */
void cluster_wait_ready(struct cluster *c);
/* Posts the host list according to the units' states. */
void cluster_hosts(struct cluster *c);
/*
 * Submits a services text through a daemon, based on its current version, and
 * waits until it is in force on every running daemon; none may be paused.
 */
void cluster_apply(struct cluster *c, int daemon, const char *text);
/* Builds a services text for the cluster's endpoints and conf.fencing. */
void cluster_text(const struct cluster *c, char *buf, size_t len);

#endif
