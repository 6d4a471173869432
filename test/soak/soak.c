/*
 * soak.c -- randomized soak test of the serving daemon's real processes.
 *
 * Starts daemons as separate processes on loopback and implements the store,
 * the endpoints and the callers itself, so that it observes all their traffic.
 * A seed determines the faults: daemons are killed, paused, stopped gracefully
 * and restarted, the store is busy, silent or loses answers, endpoints close
 * the connection, refuse or hang; several faults may overlap.  Invariants
 * checked during the run:
 *
 *   once      an order is executed at most once
 *   not run   a request answered with 503 or 402 is never executed
 *   whole     a complete answer belongs to the caller's own request
 *   history   an endpoint receives exactly the chain of a turn, and a turn with
 *             a complete answer is never unknown afterwards
 *   budget    the tokens of a program stay within its budget plus the maximum
 *             of one turn
 *
 * With OLD_DAEMON, the path of a daemon of an earlier release, each start picks
 * one of the two, as in an upgrade or a rollback.
 *
 * It kills only the processes that it started, by their ids.
 */
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "hmap.h"
#include "tablekit.h"
#include "view.h"

#define DAEMONS 3
#define ENDPOINTS 4 /* of each of the two services */
#define CALLERS 24
#define TURNS_PER_PROGRAM 5 /* then the caller starts a new program */
#define MAX_TURN_TOKENS 51 /* three events */
#define PROGRAM_BUDGET 230 /* tokens; the last turn may exceed it */
#define EVENT_TOKENS 17
#define CALL_TIMEOUT_MS 2000
#define MEAN_PAUSE_POLLS 100 /* between a caller's calls; polls of 2 ms */
#define LOG_DIR "build/soak-logs"

extern char **environ;

enum {
	ENDPOINT_FAULT_NONE,
	ENDPOINT_FAULT_REFUSE, /* some requests get 503 Not-Executed */
	ENDPOINT_FAULT_ABORT, /* some requests run and the connection closes */
	ENDPOINT_FAULT_HANG, /* some requests run and get no answer */
	ENDPOINT_FAULT_COUNT
};

struct call {
	struct mu_hnode node; /* by request id */
	char id[32];
	char *expected_body; /* body that an endpoint must receive */
	unsigned executions;
	bool is_order;
	bool reported_not_run; /* the answer was 503 or 402 */
};

struct caller {
	struct kit_caller *conn;
	struct call *call;
	mu_us deadline;
	char program[24];
	char previous[32];
	char *history; /* text of the turns so far */
	uint64_t tokens;
	unsigned turn;
	bool is_order;
};

struct proc {
	pid_t pid;
	char conf[64];
	char addr[MU_ADDR_LEN];
	mu_us restart_at; /* 0: running */
	mu_us resume_at; /* 0: not paused */
};

static struct {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct tablekit store;
	struct mu_inbound *endpoints[2 * ENDPOINTS];
	char endpoint_addr[2 * ENDPOINTS][MU_ADDR_LEN];
	mu_us endpoint_fault_until[2 * ENDPOINTS];
	unsigned endpoint_fault[2 * ENDPOINTS];
	struct proc daemon[DAEMONS];
	struct caller caller[CALLERS];
	struct mu_hmap calls;
	uint64_t rng;
	mu_us store_fault_until;
	unsigned next_id;
	unsigned violations, answered, refused, failed, budget_rejections;
	mu_us started_at;
} soak;

/* Kills the running daemons, also when the soak itself fails. */
static void
kill_daemons(void)
{
	int i;

	for (i = 0; i < DAEMONS; i++)
		if (soak.daemon[i].pid > 0) {
			(void)kill(soak.daemon[i].pid, SIGKILL);
			(void)waitpid(soak.daemon[i].pid, NULL, 0);
		}
}

static void fatal(const char *what) __attribute__((noreturn));

static void
fatal(const char *what)
{
	printf("soak: %s\n", what);
	(void)fflush(stdout);
	kill_daemons();
	_exit(2);
}

static void
on_fatal_signal(int sig)
{
	(void)sig;
	kill_daemons();
	_exit(2);
}

static void
violation(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

static void
violation(const char *fmt, ...)
{
	va_list ap;

	soak.violations++;
	printf("BROKEN at %.3f s: ",
	    (double)(mu_now(&soak.clock) - soak.started_at) / MU_US_PER_S);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

static uint64_t
random_below(uint64_t bound)
{
	return mu_rand(&soak.rng) % bound;
}

static struct call *
find_call(const char *id)
{
	struct mu_hnode *n = mu_hmap_find(&soak.calls, id);

	return n != NULL ? MU_CONTAINER_OF(n, struct call, node) : NULL;
}

/* Endpoints. */

/* Counts an execution and checks its body; false when no caller sent it. */
static bool
record_execution(struct mu_in_req *r, const char *id)
{
	struct call *call = find_call(id);
	size_t len = mu_buf_len(&r->body);

	if (call == NULL) {
		violation("unknown request %s", id);
		return false;
	}
	call->executions++;
	if (call->is_order && call->executions > 1)
		violation("order %s ran %u times", id, call->executions);
	if (call->reported_not_run)
		violation("%s runs after its refusal", id);
	if (len != strlen(call->expected_body) ||
	    (len > 0 &&
		memcmp(mu_buf_data(&r->body), call->expected_body, len) != 0))
		violation("%s has another body: %zu bytes, expected %zu", id,
		    len, strlen(call->expected_body));
	return true;
}

static void
answer_stream(struct mu_in_req *r, const char *id)
{
	struct mu_header h[] = {{"Request-Id", id}, {"Server-Signature", "s"}};
	char text[128];
	int i;

	mu_in_stream_begin(r, 200, h, 2);
	for (i = 1; i <= 3; i++) {
		(void)snprintf(
		    text, sizeof(text), "id: %d\ndata: %s-%d\n\n", i, id, i);
		mu_in_stream_write(r, text, strlen(text));
	}
	mu_in_stream_end(r, true);
}

static void
on_endpoint_request(void *arg, struct mu_in_req *r)
{
	unsigned i = (unsigned)(uintptr_t)arg;
	const char *id = mu_in_header(r, "Request-Id");
	const char *want = mu_in_header(r, "Expect-Instance");
	struct mu_header h[] = {{"Request-Id", id != NULL ? id : ""},
	    {"Server-Signature", "s"}, {"Not-Executed", "1"}};
	unsigned fault = mu_loop_now(soak.loop) < soak.endpoint_fault_until[i]
			     ? soak.endpoint_fault[i]
			     : ENDPOINT_FAULT_NONE;
	char name[16];

	(void)snprintf(name, sizeof(name), "i-%u", i);
	if (id == NULL || want == NULL || strcmp(want, name) != 0) {
		mu_in_answer(r, 421, h, 1, "", 0);
		return;
	}
	if (fault == ENDPOINT_FAULT_REFUSE && random_below(2) == 0) {
		mu_in_answer(r, 503, h, 3, "", 0);
		return;
	}
	if (!record_execution(r, id))
		return;
	if (fault == ENDPOINT_FAULT_ABORT && random_below(3) == 0) {
		mu_in_stream_end(r, false);
		return;
	}
	if (fault == ENDPOINT_FAULT_HANG && random_below(3) == 0)
		return;
	if (i < ENDPOINTS)
		answer_stream(r, id);
	else
		mu_in_answer(r, 200, h, 2, id, strlen(id));
}

static void
on_endpoint_closed(void *arg, struct mu_in_req *r, bool ok)
{
	(void)arg;
	(void)r;
	(void)ok;
}

static void
put_row(const char *table, const char *key, const char *text)
{
	soak.mem->ver++;
	mem_put(soak.mem, table, "", key, text, strlen(text));
}

static void
open_endpoints(void)
{
	struct mu_in_conf c = {0};
	struct mu_error e;
	char row[512], name[16];
	unsigned i;

	for (i = 0; i < 2 * ENDPOINTS; i++) {
		kit_unused_addr(soak.endpoint_addr[i]);
		c.listen = soak.endpoint_addr[i];
		c.max_body = 1 << 22;
		c.max_connections = 400;
		c.idle_s = 30;
		c.hooks.arg = (void *)(uintptr_t)i;
		c.hooks.request = on_endpoint_request;
		c.hooks.closed = on_endpoint_closed;
		if (mu_in_open(&soak.endpoints[i], soak.loop, &c, &e) != 0)
			fatal(e.message);
		(void)snprintf(name, sizeof(name), "i-%u", i);
		(void)snprintf(row, sizeof(row),
		    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
		    "\"slots\":8,\"state\":\"ready\",\"sequence\":1}",
		    i < ENDPOINTS ? "llm" : "app", soak.endpoint_addr[i]);
		put_row("servers", name, row);
	}
}

/* Daemons. */

static void
start_daemon(struct proc *p)
{
	char new_daemon[] = "build/cardamomusher", option[] = "--settings";
	char *old_daemon = getenv("OLD_DAEMON"), *program = new_daemon;
	char *argv[] = {NULL, option, p->conf, NULL};
	posix_spawn_file_actions_t a;
	char log[80];

	if (old_daemon != NULL && random_below(2) == 0)
		program = old_daemon;
	argv[0] = program;

	(void)snprintf(log, sizeof(log), "%s.log", p->conf);
	posix_spawn_file_actions_init(&a);
	posix_spawn_file_actions_addopen(
	    &a, STDOUT_FILENO, log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&a, STDOUT_FILENO, STDERR_FILENO);
	if (posix_spawn(&p->pid, program, &a, NULL, argv, environ) != 0)
		fatal("cannot start the daemon");
	posix_spawn_file_actions_destroy(&a);
	p->restart_at = 0;
}

static void
start_daemons(void)
{
	char ready[MU_ADDR_LEN], directory[MU_ADDR_LEN], mesh[MU_ADDR_LEN];
	char metrics[MU_ADDR_LEN];
	FILE *f;
	int i;

	(void)mkdir("build", 0755);
	(void)mkdir(LOG_DIR, 0755);
	for (i = 0; i < DAEMONS; i++) {
		kit_unused_addr(soak.daemon[i].addr);
		kit_unused_addr(ready);
		kit_unused_addr(directory);
		kit_unused_addr(mesh);
		kit_unused_addr(metrics);
		(void)snprintf(soak.daemon[i].conf, sizeof(soak.daemon[i].conf),
		    LOG_DIR "/%d-d%d.yaml", (int)getpid(), i);
		f = fopen(soak.daemon[i].conf, "we");
		if (f == NULL)
			fatal("cannot write settings");
		(void)fprintf(f,
		    "host: d%d\ndomain: z\nregion: r\ncaller_addr: %s\n"
		    "ready_addr: %s\ndirectory_addr: %s\nmesh_addr: %s\n"
		    "metrics_addr: %s\nstore_addr: %s\nstop_ms: 3000\n"
		    "address_ttl_ms: 300\n",
		    i, soak.daemon[i].addr, ready, directory, mesh, metrics,
		    soak.store.addr);
		(void)fclose(f);
		start_daemon(&soak.daemon[i]);
	}
}

/* Callers. */

static struct call *
new_call(const char *body, bool is_order)
{
	struct call *call = calloc(1, sizeof(*call));

	(void)snprintf(call->id, sizeof(call->id), "r%06u", ++soak.next_id);
	call->node.key = call->id;
	call->expected_body = strdup(body);
	call->is_order = is_order;
	mu_hmap_add(&soak.calls, &call->node);
	return call;
}

static void
send_order(struct caller *c, char *request, size_t size)
{
	c->call = new_call("order", true);
	(void)snprintf(request, size,
	    "POST /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: %d\r\nContent-Length: 5\r\n\r\norder",
	    c->call->id, CALL_TIMEOUT_MS);
}

static void
send_turn(struct caller *c, char *request, size_t size)
{
	char input[64], *body = NULL, before[64] = "";

	if (c->turn == 0) {
		(void)snprintf(
		    c->program, sizeof(c->program), "p%u", ++soak.next_id);
		free(c->history);
		c->history = strdup("");
		c->previous[0] = '\0';
		c->tokens = 0;
	}
	(void)snprintf(input, sizeof(input), "in-%s-%u;", c->program, c->turn);
	if (asprintf(&body, "%s%s", c->history, input) < 0)
		abort();
	c->call = new_call(body, false);
	free(body);
	if (c->previous[0] != '\0')
		(void)snprintf(before, sizeof(before), "Previous-Turn: %s\r\n",
		    c->previous);
	(void)snprintf(request, size,
	    "POST /chat/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: %d\r\nProgram-Id: %s\r\nToken-Budget: %d\r\n"
	    "Token-Usage: 10,%d\r\n%sContent-Length: %zu\r\n\r\n%s",
	    c->call->id, CALL_TIMEOUT_MS, c->program, PROGRAM_BUDGET,
	    MAX_TURN_TOKENS, before, strlen(input), input);
}

static void
start_call(struct caller *c)
{
	struct proc *p = &soak.daemon[random_below(DAEMONS)];
	char request[1024];

	c->is_order = random_below(3) == 0;
	if (c->is_order)
		send_order(c, request, sizeof(request));
	else
		send_turn(c, request, sizeof(request));
	c->deadline = mu_loop_now(soak.loop) + CALL_TIMEOUT_MS * MU_US_PER_MS;
	c->conn = kit_caller_open(soak.loop, p->addr, request);
}

static unsigned
count_events(const char *answer, const char *id)
{
	char want[48];
	unsigned n = 0;

	for (;;) {
		(void)snprintf(
		    want, sizeof(want), "data: %s-%u\n\n", id, n + 1);
		if (strstr(answer, want) == NULL)
			return n;
		n++;
	}
}

/* The next turn continues from the completed one. */
static void
turn_completed(struct caller *c)
{
	struct call *call = c->call;
	char *next = NULL;

	if (asprintf(&next, "%s%s-1\n%s-2\n%s-3\n", call->expected_body,
		call->id, call->id, call->id) < 0)
		abort();
	free(c->history);
	c->history = next;
	(void)snprintf(c->previous, sizeof(c->previous), "%s", call->id);
	c->turn = (c->turn + 1) % TURNS_PER_PROGRAM;
}

static void
finish_call(struct caller *c)
{
	const char *a = kit_caller_received(c->conn);
	struct call *call = c->call;
	unsigned events = c->is_order ? 0 : count_events(a, call->id);
	int status = 0;

	(void)sscanf(a, "HTTP/1.1 %d", &status);
	c->tokens += events * EVENT_TOKENS;
	if (c->tokens > PROGRAM_BUDGET + MAX_TURN_TOKENS)
		violation("%s: %u tokens of a budget of %d", c->program,
		    (unsigned)c->tokens, PROGRAM_BUDGET);
	if (status == 503 || status == 402) {
		call->reported_not_run = true;
		if (call->executions > 0)
			violation("%s was run and refused", call->id);
	}
	if (status == 404)
		violation("%s: turn %s is unknown", call->id, c->previous);
	if (status == 402) {
		soak.budget_rejections++;
		c->turn = 0;
	} else if (status == 503) {
		soak.refused++;
	} else if (status == 200 && c->is_order &&
		   strstr(a, call->id) != NULL) {
		soak.answered++;
	} else if (status == 200 && !c->is_order &&
		   strstr(a, "\r\n0\r\n\r\n") != NULL) {
		soak.answered++;
		if (events != 3)
			violation("%s: complete answer with %u events",
			    call->id, events);
		turn_completed(c);
	} else {
		soak.failed++;
		if (!c->is_order && random_below(3) == 0)
			c->turn = 0;
	}
	kit_caller_free(c->conn);
	c->conn = NULL;
}

static bool
call_finished(const struct caller *c)
{
	const char *a = kit_caller_received(c->conn),
		   *body = strstr(a, "\r\n\r\n"), *len;

	if (c->conn->closed || mu_loop_now(soak.loop) > c->deadline)
		return true;
	if (body == NULL)
		return false;
	len = strstr(a, "Content-Length: ");
	if (len != NULL && len < body)
		return strlen(body + 4) >= strtoul(len + 16, NULL, 10);
	return strstr(body, "\r\n0\r\n\r\n") != NULL;
}

/* Faults. */

static void
fault_daemon(void)
{
	struct proc *p = &soak.daemon[random_below(DAEMONS)];
	mu_us now = mu_loop_now(soak.loop);

	if (p->restart_at != 0 || p->resume_at != 0)
		return;
	switch (random_below(4)) {
	case 0:
	case 1:
		(void)kill(p->pid, SIGKILL);
		break;
	case 2:
		(void)kill(p->pid, SIGSTOP);
		p->resume_at =
		    now + (mu_us)(200 + random_below(1500)) * MU_US_PER_MS;
		break;
	default:
		(void)kill(p->pid, SIGTERM);
		break;
	}
}

static void
fault_store(void)
{
	soak.store.force = soak.store.mute = soak.store.lost = 0;
	switch (random_below(3)) {
	case 0:
		soak.store.force = 503;
		break;
	case 1:
		soak.store.mute = true;
		break;
	default:
		soak.store.lost = true;
		break;
	}
	soak.store_fault_until =
	    mu_loop_now(soak.loop) +
	    (mu_us)(100 + random_below(1500)) * MU_US_PER_MS;
}

static void
fault_endpoint(void)
{
	unsigned i = (unsigned)random_below(2 * ENDPOINTS);

	soak.endpoint_fault[i] = ENDPOINT_FAULT_REFUSE +
				 (unsigned)random_below(ENDPOINT_FAULT_COUNT -
							ENDPOINT_FAULT_REFUSE);
	soak.endpoint_fault_until[i] =
	    mu_loop_now(soak.loop) +
	    (mu_us)(300 + random_below(2000)) * MU_US_PER_MS;
}

/* Ends faults whose time is over and restarts daemons that exited. */
static void
end_expired_faults(void)
{
	mu_us now = mu_loop_now(soak.loop);
	struct proc *p;
	int i, status;

	if (soak.store_fault_until != 0 && now > soak.store_fault_until) {
		soak.store.force = soak.store.mute = soak.store.lost = 0;
		soak.store_fault_until = 0;
	}
	for (i = 0; i < DAEMONS; i++) {
		p = &soak.daemon[i];
		if (p->resume_at != 0 && now > p->resume_at) {
			(void)kill(p->pid, SIGCONT);
			p->resume_at = 0;
		}
		if (p->restart_at == 0 &&
		    waitpid(p->pid, &status, WNOHANG) == p->pid) {
			p->pid = 0;
			if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL)
				violation("daemon %d ended by signal %d", i,
				    WTERMSIG(status));
			p->restart_at = now + (mu_us)(100 + random_below(600)) *
						  MU_US_PER_MS;
		}
		if (p->restart_at != 0 && now > p->restart_at)
			start_daemon(p);
	}
}

static void
run_soak(mu_us seconds)
{
	mu_us now = mu_loop_now(soak.loop), end = now + seconds, next = now;
	int i;

	while ((now = mu_loop_now(soak.loop)) < end) {
		mu_loop_once(soak.loop, 2);
		end_expired_faults();
		for (i = 0; i < CALLERS; i++) {
			if (soak.caller[i].conn == NULL &&
			    random_below(MEAN_PAUSE_POLLS) == 0)
				start_call(&soak.caller[i]);
			else if (soak.caller[i].conn != NULL &&
				 call_finished(&soak.caller[i]))
				finish_call(&soak.caller[i]);
		}
		if (now < next)
			continue;
		next = now + (mu_us)(100 + random_below(500)) * MU_US_PER_MS;
		switch (random_below(4)) {
		case 0:
			fault_store();
			break;
		case 1:
			fault_endpoint();
			break;
		default:
			fault_daemon();
			break;
		}
	}
}

static const char config[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\","
    "\"type\":\"streaming\",\"timeout_ms\":1800,\"service\":\"llm\","
    "\"keeps_history\":true,\"retention_s\":60},"
    "{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\","
    "\"type\":\"unsafe\",\"timeout_ms\":1800,\"service\":\"app\"}],"
    "\"services\":[{\"name\":\"llm\",\"engine\":{\"chunk_tokens\":17}},"
    "{\"name\":\"app\"}],\"limits\":{}}";

int
main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	int seconds = argc > 2 ? (int)strtol(argv[2], NULL, 10) : 10;

	signal(SIGPIPE, SIG_IGN);
	signal(SIGABRT, on_fatal_signal);
	signal(SIGTERM, on_fatal_signal);
	signal(SIGINT, on_fatal_signal);
	signal(SIGSEGV, on_fatal_signal);
	if (sodium_init() < 0 || mu_hmap_init(&soak.calls) != 0)
		return 2;
	soak.rng = seed;
	mu_clock_real(&soak.clock);
	soak.loop = mu_loop_new(&soak.clock);
	soak.mem = calloc(1, sizeof(*soak.mem));
	if (tablekit_open(&soak.store, soak.loop, soak.mem) != 0)
		return 2;
	put_row("op", "config", config);
	open_endpoints();
	start_daemons();
	soak.started_at = mu_now(&soak.clock);
	kit_run_ms(soak.loop, 1500);
	run_soak((mu_us)seconds * MU_US_PER_S);
	kill_daemons();
	printf("seed %llu: %u answered, %u refused, %u failed, %u budgets "
	       "spent, %u broken\n",
	    (unsigned long long)seed, soak.answered, soak.refused, soak.failed,
	    soak.budget_rejections, soak.violations);
	if (soak.answered == 0)
		violation("nothing was served");
	return soak.violations > 0;
}
