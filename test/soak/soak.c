/*
 * soak.c -- randomized soak of the serving daemon's real processes.
 *
 * Starts daemons as separate processes on loopback and plays the store, the
 * endpoints and the callers itself, so that it sees what each of them sees.
 * A seed draws the faults: daemons are killed, paused, stopped gracefully and
 * started again, the store is busy, silent or loses answers, endpoints reset,
 * refuse or go silent; several at once.  Promises are checked while it runs:
 *
 *   once      an order runs at most once
 *   not run   what got 503 or 402 has not run and does not run later
 *   whole     a complete answer is that of the caller's own request
 *   history   an endpoint gets exactly the chain of a turn, and a turn that was
 *             answered whole is never unknown
 *   budget    tokens handed out stay within the budget and one turn's most
 *
 * It ends only the processes that it started, by their ids.
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
#define LINES 24 /* callers at once */
#define TURNS 5 /* of a line, then a new program begins */
#define MOST 51 /* tokens of a turn: three events */
#define BUDGET 230 /* of a program; the last turn of some does not fit */
#define EVENT_TOKENS 17
#define CALL_MS 2000 /* a caller's patience */
#define PAUSE_LOOKS \
	100 /* mean pause between calls of a line, in looks of 2 ms */
#define LOG_DIR "build/soak-logs"

extern char **environ;

struct run {
	struct mu_hnode node; /* by request id */
	char id[32];
	char *expect; /* body that an endpoint must get */
	unsigned ran;
	bool order;
	bool refused; /* its caller was told that it has not run */
};

struct line {
	struct kit_caller *c;
	struct run *run;
	mu_us until;
	char program[24];
	char previous[32];
	char *history; /* text of the chain so far */
	uint64_t tokens;
	unsigned turn;
	bool order;
};

struct proc {
	pid_t pid;
	char conf[64];
	char addr[MU_ADDR_LEN];
	mu_us restart_at; /* 0: it runs */
	mu_us wake_at; /* 0: it is not paused */
};

static struct {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct tablekit store;
	struct mu_inbound *ends[2 * ENDPOINTS];
	char end_addr[2 * ENDPOINTS][MU_ADDR_LEN];
	mu_us end_bad_until[2 * ENDPOINTS];
	unsigned end_fault[2 * ENDPOINTS];
	struct proc daemon[DAEMONS];
	struct line line[LINES];
	struct mu_hmap runs;
	uint64_t rng;
	mu_us store_bad_until;
	unsigned next_id;
	unsigned broken, answered, refused, failed, spent;
	mu_us began;
} w;

/* Ends the daemons that run, also after a failure of the soak itself. */
static void
kill_daemons(void)
{
	int i;

	for (i = 0; i < DAEMONS; i++)
		if (w.daemon[i].pid > 0) {
			(void)kill(w.daemon[i].pid, SIGKILL);
			(void)waitpid(w.daemon[i].pid, NULL, 0);
		}
}

static void give_up(const char *what) __attribute__((noreturn));

static void
give_up(const char *what)
{
	printf("soak: %s\n", what);
	(void)fflush(stdout);
	kill_daemons();
	_exit(2);
}

static void
on_abort(int number)
{
	(void)number;
	kill_daemons();
	_exit(2);
}

static void
violation(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

static void
violation(const char *fmt, ...)
{
	va_list ap;

	w.broken++;
	printf("BROKEN at %.3f s: ",
	    (double)(mu_now(&w.clock) - w.began) / MU_US_PER_S);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

static uint64_t
draw(uint64_t n)
{
	return mu_rand(&w.rng) % n;
}

static struct run *
find_run(const char *id)
{
	struct mu_hnode *n = mu_hmap_find(&w.runs, id);

	return n != NULL ? MU_CONTAINER_OF(n, struct run, node) : NULL;
}

/* Endpoints. */

/* Counts a run and compares its body; false when nobody asked for it. */
static bool
count_run(struct mu_in_req *r, const char *id)
{
	struct run *k = find_run(id);
	size_t len = mu_buf_len(&r->body);

	if (k == NULL) {
		violation("unknown request %s", id);
		return false;
	}
	k->ran++;
	if (k->order && k->ran > 1)
		violation("order %s ran %u times", id, k->ran);
	if (k->refused)
		violation("%s runs after its refusal", id);
	if (len != strlen(k->expect) ||
	    (len > 0 && memcmp(mu_buf_data(&r->body), k->expect, len) != 0))
		violation("%s has another body: %zu bytes, expected %zu", id,
		    len, strlen(k->expect));
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
on_run(void *arg, struct mu_in_req *r)
{
	unsigned i = (unsigned)(uintptr_t)arg;
	const char *id = mu_in_header(r, "Request-Id");
	const char *want = mu_in_header(r, "Expect-Instance");
	struct mu_header h[] = {{"Request-Id", id != NULL ? id : ""},
	    {"Server-Signature", "s"}, {"Not-Executed", "1"}};
	unsigned fault =
	    mu_loop_now(w.loop) < w.end_bad_until[i] ? w.end_fault[i] : 0;
	char name[16];

	(void)snprintf(name, sizeof(name), "i-%u", i);
	if (id == NULL || want == NULL || strcmp(want, name) != 0) {
		mu_in_answer(r, 421, h, 1, "", 0);
		return;
	}
	if (fault == 1 && draw(2) == 0) { /* refuses */
		mu_in_answer(r, 503, h, 3, "", 0);
		return;
	}
	if (!count_run(r, id))
		return;
	if (fault == 2 && draw(3) == 0) { /* runs it and is lost */
		mu_in_stream_end(r, false);
		return;
	}
	if (fault == 3 && draw(3) == 0)
		return; /* hangs */
	if (i < ENDPOINTS)
		answer_stream(r, id);
	else
		mu_in_answer(r, 200, h, 2, id, strlen(id));
}

static void
on_run_closed(void *arg, struct mu_in_req *r, bool ok)
{
	(void)arg;
	(void)r;
	(void)ok;
}

static void
put_row(const char *table, const char *key, const char *text)
{
	w.mem->ver++;
	mem_put(w.mem, table, "", key, text, strlen(text));
}

static void
open_endpoints(void)
{
	struct mu_in_conf c = {0};
	struct mu_error e;
	char row[512], name[16];
	unsigned i;

	for (i = 0; i < 2 * ENDPOINTS; i++) {
		kit_unused_addr(w.end_addr[i]);
		c.listen = w.end_addr[i];
		c.max_body = 1 << 22;
		c.max_connections = 400;
		c.idle_s = 30;
		c.hooks.arg = (void *)(uintptr_t)i;
		c.hooks.request = on_run;
		c.hooks.closed = on_run_closed;
		if (mu_in_open(&w.ends[i], w.loop, &c, &e) != 0)
			give_up(e.message);
		(void)snprintf(name, sizeof(name), "i-%u", i);
		(void)snprintf(row, sizeof(row),
		    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
		    "\"slots\":8,\"state\":\"ready\",\"sequence\":1}",
		    i < ENDPOINTS ? "llm" : "app", w.end_addr[i]);
		put_row("servers", name, row);
	}
}

/* Daemons. */

static void
start(struct proc *p)
{
	char program[] = "build/cardamomusher", option[] = "--settings";
	char *argv[] = {program, option, p->conf, NULL};
	posix_spawn_file_actions_t a;
	char log[80];

	(void)snprintf(log, sizeof(log), "%s.log", p->conf);
	posix_spawn_file_actions_init(&a);
	posix_spawn_file_actions_addopen(
	    &a, STDOUT_FILENO, log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&a, STDOUT_FILENO, STDERR_FILENO);
	if (posix_spawn(&p->pid, program, &a, NULL, argv, environ) != 0)
		give_up("cannot start build/cardamomusher");
	posix_spawn_file_actions_destroy(&a);
	p->restart_at = 0;
}

static void
open_daemons(void)
{
	char ready[MU_ADDR_LEN], directory[MU_ADDR_LEN], mesh[MU_ADDR_LEN];
	char metrics[MU_ADDR_LEN];
	FILE *f;
	int i;

	(void)mkdir("build", 0755);
	(void)mkdir(LOG_DIR, 0755);
	for (i = 0; i < DAEMONS; i++) {
		kit_unused_addr(w.daemon[i].addr);
		kit_unused_addr(ready);
		kit_unused_addr(directory);
		kit_unused_addr(mesh);
		kit_unused_addr(metrics);
		(void)snprintf(w.daemon[i].conf, sizeof(w.daemon[i].conf),
		    LOG_DIR "/%d-d%d.yaml", (int)getpid(), i);
		f = fopen(w.daemon[i].conf, "we");
		if (f == NULL)
			give_up("cannot write settings");
		(void)fprintf(f,
		    "host: d%d\ndomain: z\nregion: r\ncaller_addr: %s\n"
		    "ready_addr: %s\ndirectory_addr: %s\nmesh_addr: %s\n"
		    "metrics_addr: %s\nstore_addr: %s\nstop_ms: 3000\n"
		    "address_ttl_ms: 300\n",
		    i, w.daemon[i].addr, ready, directory, mesh, metrics,
		    w.store.addr);
		(void)fclose(f);
		start(&w.daemon[i]);
	}
}

/* Callers. */

static struct run *
new_run(const char *body, bool order)
{
	struct run *k = calloc(1, sizeof(*k));

	(void)snprintf(k->id, sizeof(k->id), "r%06u", ++w.next_id);
	k->node.key = k->id;
	k->expect = strdup(body);
	k->order = order;
	mu_hmap_add(&w.runs, &k->node);
	return k;
}

static void
send_order(struct line *l, char *request, size_t size)
{
	l->run = new_run("order", true);
	(void)snprintf(request, size,
	    "POST /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: %d\r\nContent-Length: 5\r\n\r\norder",
	    l->run->id, CALL_MS);
}

static void
send_turn(struct line *l, char *request, size_t size)
{
	char input[64], *body = NULL, before[64] = "";

	if (l->turn == 0) {
		(void)snprintf(
		    l->program, sizeof(l->program), "p%u", ++w.next_id);
		free(l->history);
		l->history = strdup("");
		l->previous[0] = '\0';
		l->tokens = 0;
	}
	(void)snprintf(input, sizeof(input), "in-%s-%u;", l->program, l->turn);
	if (asprintf(&body, "%s%s", l->history, input) < 0)
		abort();
	l->run = new_run(body, false);
	free(body);
	if (l->previous[0] != '\0')
		(void)snprintf(before, sizeof(before), "Previous-Turn: %s\r\n",
		    l->previous);
	(void)snprintf(request, size,
	    "POST /chat/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: %d\r\nProgram-Id: %s\r\nToken-Budget: %d\r\n"
	    "Token-Usage: 10,%d\r\n%sContent-Length: %zu\r\n\r\n%s",
	    l->run->id, CALL_MS, l->program, BUDGET, MOST, before,
	    strlen(input), input);
}

static void
begin_call(struct line *l)
{
	struct proc *p = &w.daemon[draw(DAEMONS)];
	char request[1024];

	l->order = draw(3) == 0;
	if (l->order)
		send_order(l, request, sizeof(request));
	else
		send_turn(l, request, sizeof(request));
	l->until = mu_loop_now(w.loop) + CALL_MS * MU_US_PER_MS;
	l->c = kit_caller_open(w.loop, p->addr, request);
}

static unsigned
events_of(const char *answer, const char *id)
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

/* The turn counts: the next one continues from it. */
static void
turn_whole(struct line *l)
{
	struct run *k = l->run;
	char *next = NULL;

	if (asprintf(&next, "%s%s-1\n%s-2\n%s-3\n", k->expect, k->id, k->id,
		k->id) < 0)
		abort();
	free(l->history);
	l->history = next;
	(void)snprintf(l->previous, sizeof(l->previous), "%s", k->id);
	l->turn = (l->turn + 1) % TURNS;
}

static void
end_call(struct line *l)
{
	const char *a = kit_caller_received(l->c);
	struct run *k = l->run;
	unsigned events = l->order ? 0 : events_of(a, k->id);
	int status = 0;

	(void)sscanf(a, "HTTP/1.1 %d", &status);
	l->tokens += events * EVENT_TOKENS;
	if (l->tokens > BUDGET + MOST)
		violation("%s: %u tokens of a budget of %d", l->program,
		    (unsigned)l->tokens, BUDGET);
	if (status == 503 || status == 402) {
		k->refused = true;
		if (k->ran > 0)
			violation("%s was run and refused", k->id);
	}
	if (status == 404)
		violation("%s: turn %s is unknown", k->id, l->previous);
	if (status == 402) {
		w.spent++;
		l->turn = 0;
	} else if (status == 503) {
		w.refused++;
	} else if (status == 200 && l->order && strstr(a, k->id) != NULL) {
		w.answered++;
	} else if (status == 200 && !l->order &&
		   strstr(a, "\r\n0\r\n\r\n") != NULL) {
		w.answered++;
		if (events != 3)
			violation("%s: whole with %u events", k->id, events);
		turn_whole(l);
	} else {
		w.failed++;
		if (!l->order && draw(3) == 0)
			l->turn = 0;
	}
	kit_caller_free(l->c);
	l->c = NULL;
}

static bool
call_over(const struct line *l)
{
	const char *a = kit_caller_received(l->c),
		   *body = strstr(a, "\r\n\r\n"), *len;

	if (l->c->closed || mu_loop_now(w.loop) > l->until)
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
	struct proc *p = &w.daemon[draw(DAEMONS)];
	mu_us now = mu_loop_now(w.loop);

	if (p->restart_at != 0 || p->wake_at != 0)
		return;
	switch (draw(4)) {
	case 0:
	case 1:
		(void)kill(p->pid, SIGKILL);
		break;
	case 2:
		(void)kill(p->pid, SIGSTOP);
		p->wake_at = now + (mu_us)(200 + draw(1500)) * MU_US_PER_MS;
		break;
	default:
		(void)kill(p->pid, SIGTERM);
		break;
	}
}

static void
fault_store(void)
{
	w.store.force = w.store.mute = w.store.lost = 0;
	switch (draw(3)) {
	case 0:
		w.store.force = 503;
		break;
	case 1:
		w.store.mute = true;
		break;
	default:
		w.store.lost = true;
		break;
	}
	w.store_bad_until =
	    mu_loop_now(w.loop) + (mu_us)(100 + draw(1500)) * MU_US_PER_MS;
}

static void
fault_endpoint(void)
{
	unsigned i = (unsigned)draw(2 * ENDPOINTS);

	w.end_fault[i] = 1 + (unsigned)draw(3);
	w.end_bad_until[i] =
	    mu_loop_now(w.loop) + (mu_us)(300 + draw(2000)) * MU_US_PER_MS;
}

/* Ends faults that are over and starts daemons again. */
static void
mend(void)
{
	mu_us now = mu_loop_now(w.loop);
	struct proc *p;
	int i, status;

	if (w.store_bad_until != 0 && now > w.store_bad_until) {
		w.store.force = w.store.mute = w.store.lost = 0;
		w.store_bad_until = 0;
	}
	for (i = 0; i < DAEMONS; i++) {
		p = &w.daemon[i];
		if (p->wake_at != 0 && now > p->wake_at) {
			(void)kill(p->pid, SIGCONT);
			p->wake_at = 0;
		}
		if (p->restart_at == 0 &&
		    waitpid(p->pid, &status, WNOHANG) == p->pid) {
			p->pid = 0;
			if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL)
				violation("daemon %d ended by signal %d", i,
				    WTERMSIG(status));
			p->restart_at =
			    now + (mu_us)(100 + draw(600)) * MU_US_PER_MS;
		}
		if (p->restart_at != 0 && now > p->restart_at)
			start(p);
	}
}

static void
play(mu_us seconds)
{
	mu_us now = mu_loop_now(w.loop), end = now + seconds, next = now;
	int i;

	while ((now = mu_loop_now(w.loop)) < end) {
		mu_loop_once(w.loop, 2);
		mend();
		for (i = 0; i < LINES; i++) {
			if (w.line[i].c == NULL && draw(PAUSE_LOOKS) == 0)
				begin_call(&w.line[i]);
			else if (w.line[i].c != NULL && call_over(&w.line[i]))
				end_call(&w.line[i]);
		}
		if (now < next)
			continue;
		next = now + (mu_us)(100 + draw(500)) * MU_US_PER_MS;
		switch (draw(4)) {
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
	signal(SIGABRT, on_abort);
	signal(SIGTERM, on_abort);
	signal(SIGINT, on_abort);
	signal(SIGSEGV, on_abort);
	if (sodium_init() < 0 || mu_hmap_init(&w.runs) != 0)
		return 2;
	w.rng = seed;
	mu_clock_real(&w.clock);
	w.loop = mu_loop_new(&w.clock);
	w.mem = calloc(1, sizeof(*w.mem));
	if (tablekit_open(&w.store, w.loop, w.mem) != 0)
		return 2;
	put_row("op", "config", config);
	open_endpoints();
	open_daemons();
	w.began = mu_now(&w.clock);
	kit_run_ms(w.loop, 1500);
	play((mu_us)seconds * MU_US_PER_S);
	kill_daemons();
	printf("seed %llu: %u answered, %u refused, %u failed, %u budgets "
	       "spent, %u broken\n",
	    (unsigned long long)seed, w.answered, w.refused, w.failed, w.spent,
	    w.broken);
	if (w.answered == 0)
		violation("nothing was served");
	return w.broken > 0;
}
