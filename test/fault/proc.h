/*
 * proc.h -- processes, HTTP requests and clusters for whole-process tests.
 *
 * A test program starts the programs that were built beside it, talks to them
 * over loopback and ends them all, also when a test fails: set proc_teardown
 * as the test's teardown.  Each test program has a loopback IP of its own, so
 * that test programs may run beside one another.
 *
 * Tests wait for conditions, never for a time; PROC_LIMIT_MS only bounds a
 * wait that will not be met.  Functions that start or wait fail the test
 * themselves; call those from the test's own thread.  The http_ functions
 * never fail the test and may be called from any thread.
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
	pid_t pid; /* 0: ended and reaped */
	int status; /* as of waitpid, once ended */
	long log_from; /* offset in its log at its last start */
	char name[PROC_NAME_LEN]; /* of its log file */
	char prog[PROC_NAME_LEN];
	char *argv[PROC_ARGS + 2];
};

/*
 * Starts prog, a file beside the test program, with these arguments (NULL at
 * the end); its output goes to a log file called name,
 * which no other process of the test may have.
 */
struct proc *
proc_start(const char *name, const char *prog, const char *const args[]);
/* Waits for the ready line of a stand-in. */
void proc_ready(struct proc *p);
/* Starts a stand-in on addresses that it fills in, and waits for it. */
struct proc *proc_standin(const char *prog, char addr[PROC_ADDR_LEN],
    char fault[PROC_ADDR_LEN], const char *const args[]);
/* Starts an ended process again with the same arguments. */
void proc_restart(struct proc *p);
/* Ends it with SIGKILL, and reaps it. */
void proc_kill(struct proc *p);
/* Sends SIGTERM without waiting. */
void proc_term(const struct proc *p);
/* Waits for its end; the exit status, or -1 if a signal ended it. */
int proc_wait(struct proc *p);
/* SIGSTOP, returning once it has stopped; SIGCONT. */
void proc_pause(const struct proc *p);
void proc_resume(const struct proc *p);
/* Whether it still runs; reaps it if not. */
bool proc_alive(struct proc *p);
/* Whether it has logged the text since its last start. */
bool proc_logged(const struct proc *p, const char *text);
/* Path of a file of the temporary directory. */
void proc_path(char *buf, size_t len, const char *file);
/* Writes a file of the temporary directory, and fills in its path. */
void proc_write(char *path, size_t len, const char *file, const char *text);
/* An address of this program's own that nobody listens on. */
void proc_addr(char addr[PROC_ADDR_LEN]);
/* Ends all processes; removes the directory unless PROC_KEEP is set. */
void proc_end_all(void);
/* cmocka teardown: proc_end_all(). */
int proc_teardown(void **state);
/* cmocka setup: nothing is left over from another test. */
int proc_setup(void **state);

/* Waits until cond is true; fails the test at the limit, naming what. */
void proc_until(const char *what, bool (*cond)(void *arg), void *arg);
void proc_sleep_ms(unsigned ms);
int64_t proc_now_ms(void);

/* HTTP: one fresh connection for each request */

struct http_req {
	const char *method;
	const char *addr;
	const char *path;
	const char *bearer; /* may be NULL */
	const char *headers; /* more header lines, each with CRLF, or NULL */
	const char *body; /* may be NULL */
	size_t len;
	int limit_ms; /* whole request; 0: PROC_LIMIT_MS */
};

struct http_res {
	int status; /* 0: no whole answer head came */
	bool connected;
	bool whole; /* the body came to its end */
	char *head;
	char *body; /* NUL-terminated */
	size_t len;
	json_t *json; /* the body when it is JSON, else NULL */
};

/* Runs one request; a status of 0 is how it fails. */
void http_run(const struct http_req *q, struct http_res *r);
void http_clear(struct http_res *r);
/* The answer's JSON (NULL if none), a new reference; *status may be NULL. */
json_t *
http_get(const char *addr, const char *path, const char *bearer, int *status);
/* As http_get; takes over body. */
json_t *http_post(const char *addr, const char *path, const char *bearer,
    json_t *body, int *status);
json_t *http_send(const char *method, const char *addr, const char *path,
    const char *bearer, json_t *body, int *status);
/* Value of a header of the answer, or NULL; *len is its length. */
const char *
http_header(const struct http_res *r, const char *name, size_t *len);

/* JSON from text that has single quotes in place of double ones. */
json_t *json_quoted(const char *text);

/* Opens a connection and sends data; the socket, or -1.  For odd clients. */
int http_open(const char *addr, const char *data);

/* GETs until cond holds for the answer; returns it, a new reference. */
json_t *http_until(const char *addr, const char *path, const char *bearer,
    bool (*cond)(int status, const json_t *json, void *arg), void *arg);

/* Fault ports */

/* POST /fault with a JSON object in the manner of json_pack(). */
void fault_set(const char *fault, const char *fmt, ...);
/* The executed log, a new reference. */
json_t *fault_executed(const char *fault);
/* How many executions have this program and seq (program NULL: all). */
size_t fault_ran(const char *fault, const char *program, json_int_t seq);
/* A counter of /counts, 0 when it has not counted yet. */
json_int_t fault_count(const char *fault, const char *name);

/* Clusters */

#define CLUSTER_DAEMONS 12
#define CLUSTER_ENGINES 16
#define CLUSTER_SERVICES 16

#define CLUSTER_CALLER_KEY "key-of-the-trust"
#define CLUSTER_OTHER_KEY "key-of-another-caller"
#define CLUSTER_OPERATOR_KEY "key-of-an-operator"
#define CLUSTER_OPERATOR2_KEY "key-of-another-operator" /* operator2 */

/* Relays to put in between. */
#define CLUSTER_WIRE_PLATFORM 1 /* each daemon to the platform */
#define CLUSTER_WIRE_PEER 2 /* all others to each daemon's peer port */
#define CLUSTER_WIRE_ENDPOINT 4 /* all daemons to each endpoint */

struct cluster_conf {
	int daemons;
	int engines;
	int services;
	unsigned wires; /* CLUSTER_WIRE_ bits */
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
	bool fencing; /* endpoints honour it */
};

enum unit_state {
	UNIT_LIVE,
	UNIT_LEAVING,
	UNIT_GONE /* not in the host list */
};

/* One process of a cluster. */
struct unit {
	struct proc *proc;
	enum unit_state state; /* what the host list says */
	char name[PROC_NAME_LEN];
	char domain[PROC_NAME_LEN];
	char service[PROC_NAME_LEN]; /* endpoints */
	char addr[PROC_ADDR_LEN]; /* callers', or the stand-in's */
	char oper[PROC_ADDR_LEN]; /* daemons */
	char peer[PROC_ADDR_LEN]; /* daemons */
	char fault[PROC_ADDR_LEN]; /* stand-ins */
	struct proc *relay; /* relay before it, or NULL */
	char wire_addr[PROC_ADDR_LEN];
	char wire_fault[PROC_ADDR_LEN];
	struct proc *pwire; /* daemons: relay to the platform, or NULL */
	char pwire_addr[PROC_ADDR_LEN];
	char pwire_fault[PROC_ADDR_LEN];
};

struct cluster {
	struct cluster_conf conf;
	struct unit platform;
	struct unit daemon[CLUSTER_DAEMONS];
	struct unit engine[CLUSTER_ENGINES];
	struct unit service[CLUSTER_SERVICES];
};

/* Settings that suit a test: short leases, everything in 32 slots. */
void cluster_defaults(struct cluster_conf *conf);
/* Starts all, posts the host list and waits until each daemon answers. */
struct cluster *cluster_start(int daemons, int engines, int services);
struct cluster *cluster_start_conf(const struct cluster_conf *conf);
/* Waits until each daemon answers its operators' port. */
void cluster_wait_ready(struct cluster *c);
/* Posts the host list as the units' states say. */
void cluster_hosts(struct cluster *c);
/*
 * Submits a services text through a daemon, based on the newest version, and
 * waits until every daemon that runs has it in force; none may be paused.
 */
void cluster_apply(struct cluster *c, int daemon, const char *text);
/* A services text for the endpoints of a cluster; honours conf.fencing. */
void cluster_text(const struct cluster *c, char *buf, size_t len);

#endif
