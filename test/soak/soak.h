/*
 * soak.h -- state that the parts of the soak share.
 */
#ifndef MU_SOAK_H
#define MU_SOAK_H

#include "hmap.h"
#define MEM_ROWS 65536
#include "tablekit.h"

#define ENDPOINTS 4 /* of each of the two services */
#define MAX_DAEMONS 64
#define MAX_CALLERS 512
#define TURNS_PER_PROGRAM 5 /* then the caller starts a new program */
#define MAX_TURN_TOKENS 51 /* three events */
#define PROGRAM_BUDGET 230 /* tokens; the last turn may exceed it */
#define EVENT_TOKENS 17
#define EVENTS 3 /* of a turn */
#define LONG_EVENTS 8 /* of a long stream */
#define CALL_TIMEOUT_MS 2000
#define LONG_CALL_TIMEOUT_MS 10000
#define STOP_MS 3000 /* then the platform kills a process */
#define CONTACT_MS 3000 /* a disruption has an effect for this long */
#define LOSS_SLACK_MS 200 /* a request may cross the end of its connection */

enum endpoint_fault {
	ENDPOINT_FAULT_NONE,
	ENDPOINT_FAULT_REFUSE, /* some requests get 503 Not-Executed */
	ENDPOINT_FAULT_ABORT, /* some requests run and the connection closes */
	ENDPOINT_FAULT_HANG, /* some requests run and get no answer */
	ENDPOINT_FAULT_COUNT
};

enum kind {
	KIND_ORDER,
	KIND_TURN, /* of a program, with history */
	KIND_LONG /* a stream without a time limit */
};

struct call {
	struct mu_hnode node; /* by request id */
	char id[32];
	char *expected_body; /* body that an endpoint must receive */
	unsigned executions;
	size_t padding; /* of the answer, after the id */
	mu_us sent_at; /* last byte; 0: not sent whole */
	enum kind kind;
	bool received; /* by an endpoint */
	bool broken_off; /* by an endpoint */
	mu_us served_at; /* by an endpoint, whole; 0: not yet */
	bool reported_not_run; /* the answer was 503 or 402 */
};

/* How a caller uses its connections. */
enum style {
	STYLE_KEPT, /* one connection for many requests */
	STYLE_RESTING, /* kept, with long pauses between requests */
	STYLE_NEW, /* a connection for each request */
	STYLE_SPLIT, /* kept; each request is sent in two pieces */
	STYLE_SLOW, /* kept; reads long answers slowly */
	STYLE_COUNT
};

struct caller {
	struct mu_watch watch;
	enum style style;
	bool open; /* has a connection */
	bool closed; /* the connection was closed by the daemon */
	bool old_release; /* of the connection's daemon */
	struct mu_buf in;
	char request[1024];
	size_t sent; /* bytes of request */
	mu_us send_rest_at; /* 0: nothing left to send */
	mu_us read_at; /* slow readers: when to read again */
	mu_us next_at; /* of the next request */
	unsigned daemon;
	struct call *call; /* NULL: none in progress */
	mu_us deadline;
	char program[24];
	char previous[32];
	char *history; /* text of the turns so far */
	uint64_t tokens;
	unsigned turn;
};

struct process {
	pid_t pid; /* 0: not running */
	char conf[64];
	char addr[MU_ADDR_LEN], ready[MU_ADDR_LEN], directory[MU_ADDR_LEN];
	char mesh[MU_ADDR_LEN], metrics[MU_ADDR_LEN];
	bool old_release;
	bool loaded; /* main() has begun */
	bool was_paused; /* since SIGTERM */
	bool killed; /* it outlasted its stop */
	mu_us term_at; /* 0: not stopped */
	mu_us last_term_at; /* of this process or one before; 0: none */
	mu_us restart_at; /* 0: running */
	mu_us resume_at; /* 0: not paused */
};

extern struct soak {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct tablekit store;
	struct process daemon[MAX_DAEMONS];
	struct caller caller[MAX_CALLERS];
	unsigned ndaemons, ncallers;
	struct mu_hmap calls;
	uint64_t rng;
	bool planned_only; /* no unplanned disruptions */
	mu_us store_fault_until; /* 0: none */
	mu_us disrupted_at; /* latest unplanned disruption; 0: none yet */
	mu_us stalled_at; /* the soak itself was late */
	unsigned violations, answered, refused, failed, budget_rejections;
	unsigned unsent, unread, ended, unanswered, judged, cut_disrupted,
	    stops, kills;
	mu_us started_at;
} soak;

static inline unsigned
events_of(enum kind kind)
{
	return kind == KIND_TURN ? EVENTS : kind == KIND_LONG ? LONG_EVENTS : 0;
}

/* soak.c */
void fatal(const char *what) __attribute__((noreturn));
void violation(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Seconds since the start, for messages. */
double elapsed_s(mu_us at);
uint64_t random_below(uint64_t bound);
/* A moment between lo and hi ms from now. */
mu_us random_moment(unsigned lo, unsigned hi);
void put_row(const char *table, const char *key, const char *text);
struct call *find_call(const char *id);

/* endpoints.c */
void open_endpoints(void);
void fault_endpoint(void);
/* Drains an endpoint; it leaves and comes back. */
void leave_endpoint(void);
/* Moves endpoints through their steps; true while one is faulty. */
bool poll_endpoints(void);

/* processes.c */
/* Returns an address that is free. */
void choose_addr(char addr[MU_ADDR_LEN]);
void start_daemons(void);
/* Ends pauses, kills what outlasts its stop, restarts what has exited; true
 * while a process is disrupted. */
bool poll_daemons(void);
void stop_daemon(struct process *p);
void reload_daemon(struct process *p);
void fault_daemon(void);
/* Runs and is not stopping. */
bool is_serving(struct process *p);
unsigned count_serving(void);

/* operator.c */
void write_config(void);
/* The shortest time limit of a route that was in force since then. */
mu_us shortest_timeout(mu_us since);
void plan_work(void);

/* callers.c */
void open_callers(void);
void poll_caller(struct caller *c);

/* strangers.c */
void poll_strangers(void);

/* judge.c */
/* The connection has ended without a complete answer. */
void judge_closed(const struct caller *c);

#endif
