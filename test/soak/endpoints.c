/*
 * endpoints.c -- endpoints of the soak: slow work, faults, and planned leaves.
 *
 * An endpoint that leaves may report that it drains.  Later its row is removed,
 * and once it has ended its work it exits.  Then it comes back, as itself or
 * under a new name.
 */
#include "soak.h"

#define ANSWER_MIN_MS 100
#define ANSWER_MAX_MS 1200
#define QUICK_MAX_MS 40
#define LONG_PAUSE_MAX_MS 700 /* between events of a long stream */
#define STILL_SERVING_MS 500 /* after its row is removed */

enum leave_step {
	STEP_READY,
	STEP_DRAINING,
	STEP_REMOVED,
	STEP_GONE
};

struct endpoint {
	struct mu_inbound *in;
	char addr[MU_ADDR_LEN];
	char name[24];
	unsigned generation;
	unsigned sequence;
	unsigned requests; /* in progress */
	enum endpoint_fault fault;
	mu_us fault_until;
	enum leave_step step;
	mu_us next_step_at;
};

/* A request that an endpoint works on. */
struct work {
	struct mu_timer timer;
	struct mu_in_req *r;
	struct call *call;
	unsigned events;
};

static struct endpoint endpoints[2 * ENDPOINTS];

/* Counts an execution and checks its body. */
static void
record_execution(struct mu_in_req *r, struct call *call)
{
	size_t len = mu_buf_len(&r->body);

	call->executions++;
	if (call->kind != KIND_TURN && call->executions > 1)
		violation("%s ran %u times", call->id, call->executions);
	if (call->reported_not_run)
		violation("%s runs after its refusal", call->id);
	if (len != strlen(call->expected_body) ||
	    (len > 0 &&
		memcmp(mu_buf_data(&r->body), call->expected_body, len) != 0))
		violation("%s has another body: %zu bytes, expected %zu",
		    call->id, len, strlen(call->expected_body));
}

/* When an answer, or the next event of one, is ready. */
static mu_us
random_work(enum kind kind)
{
	if (kind == KIND_LONG)
		return random_moment(1, LONG_PAUSE_MAX_MS);
	if (kind == KIND_TURN)
		return random_moment(1, ANSWER_MAX_MS / EVENTS);
	if (random_below(4) == 0)
		return random_moment(1, QUICK_MAX_MS);
	return random_moment(ANSWER_MIN_MS, ANSWER_MAX_MS);
}

static void
answer_order(struct work *w)
{
	struct mu_header h[] = {
	    {"Request-Id", w->call->id}, {"Server-Signature", "s"}};
	size_t n = strlen(w->call->id);
	char *body = malloc(n + w->call->padding);

	if (body == NULL)
		fatal("no memory");
	memcpy(body, w->call->id, n);
	w->call->served_at = mu_loop_now(soak.loop);
	memset(body + n, '.', w->call->padding);
	mu_in_answer(w->r, 200, h, 2, body, n + w->call->padding);
	free(body);
}

/* Sends the next event of a stream, or a whole answer. */
static void
on_work(void *arg)
{
	struct work *w = arg;
	struct mu_header h[] = {
	    {"Request-Id", w->call->id}, {"Server-Signature", "s"}};
	char text[128];

	if (w->call->kind == KIND_ORDER) {
		answer_order(w);
		return;
	}
	if (w->events == 0)
		mu_in_stream_begin(w->r, 200, h, 2);
	w->events++;
	(void)snprintf(text, sizeof(text), "id: %u\ndata: %s-%u\n\n", w->events,
	    w->call->id, w->events);
	mu_in_stream_write(w->r, text, strlen(text));
	if (w->events < events_of(w->call->kind)) {
		mu_timer_set(soak.loop, &w->timer, random_work(w->call->kind));
		return;
	}
	w->call->served_at = mu_loop_now(soak.loop);
	mu_in_stream_end(w->r, true);
}

static void
start_work(struct mu_in_req *r, struct call *call)
{
	struct work *w = calloc(1, sizeof(*w));

	if (w == NULL)
		fatal("no memory");
	w->r = r;
	w->call = call;
	w->timer.fn = on_work;
	w->timer.arg = w;
	r->user = w;
	mu_timer_set(soak.loop, &w->timer, random_work(call->kind));
}

static void
answer_not_run(struct mu_in_req *r, const char *id, int status)
{
	struct mu_header h[] = {{"Request-Id", id != NULL ? id : ""},
	    {"Server-Signature", "s"}, {"Not-Executed", "1"}};

	mu_in_answer(r, status, h, status == 503 ? 3 : 1, "", 0);
}

static void
on_endpoint_request(void *arg, struct mu_in_req *r)
{
	struct endpoint *e = arg;
	const char *id = mu_in_header(r, "Request-Id");
	const char *want = mu_in_header(r, "Expect-Instance");
	struct call *call = id != NULL ? find_call(id) : NULL;
	enum endpoint_fault fault = mu_loop_now(soak.loop) < e->fault_until
					? e->fault
					: ENDPOINT_FAULT_NONE;

	e->requests++;
	if (call != NULL)
		call->received = true;
	if (id == NULL || want == NULL || strcmp(want, e->name) != 0) {
		answer_not_run(r, id, 421);
		return;
	}
	if (fault == ENDPOINT_FAULT_REFUSE && random_below(2) == 0) {
		answer_not_run(r, id, 503);
		return;
	}
	if (call == NULL) {
		violation("unknown request %s", id);
		mu_in_stream_end(r, false);
		return;
	}
	record_execution(r, call);
	if (fault == ENDPOINT_FAULT_ABORT && random_below(3) == 0) {
		call->broken_off = true;
		mu_in_stream_end(r, false);
	} else if (fault != ENDPOINT_FAULT_HANG || random_below(3) != 0) {
		start_work(r, call);
	}
}

static void
on_endpoint_closed(void *arg, struct mu_in_req *r, bool ok)
{
	struct endpoint *e = arg;
	struct work *w = r->user;

	(void)ok;
	e->requests--;
	if (w == NULL)
		return;
	mu_timer_clear(soak.loop, &w->timer);
	free(w);
}

static void
put_endpoint_row(struct endpoint *e)
{
	char row[512];

	(void)snprintf(row, sizeof(row),
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
	    "\"slots\":%u,\"state\":\"%s\",\"sequence\":%u}",
	    e < endpoints + ENDPOINTS ? "llm" : "app", e->addr,
	    8 + soak.ncallers / 4, e->step == STEP_READY ? "ready" : "draining",
	    ++e->sequence);
	put_row("servers", e->name, row);
}

static void
remove_endpoint_row(const struct endpoint *e)
{
	struct mem_row *row = mem_get(soak.mem, "servers", "", e->name);

	row->removed = true;
	row->ver = ++soak.mem->ver;
	tablekit_changed(&soak.store);
}

static void
start_listening(struct endpoint *e)
{
	struct mu_in_conf c = {0};
	struct mu_error err;

	c.listen = e->addr;
	c.max_body = 1 << 22;
	c.max_connections = 4000;
	c.idle_s = 30;
	c.hooks.arg = e;
	c.hooks.request = on_endpoint_request;
	c.hooks.closed = on_endpoint_closed;
	if (mu_in_open(&e->in, soak.loop, &c, &err) != 0)
		fatal(err.message);
}

void
open_endpoints(void)
{
	struct endpoint *e;
	unsigned i;

	for (i = 0; i < 2 * ENDPOINTS; i++) {
		e = &endpoints[i];
		choose_addr(e->addr);
		start_listening(e);
		(void)snprintf(e->name, sizeof(e->name), "i-%u", i);
		put_endpoint_row(e);
	}
}

void
fault_endpoint(void)
{
	struct endpoint *e = &endpoints[random_below(2 * ENDPOINTS)];

	e->fault = ENDPOINT_FAULT_REFUSE +
		   (unsigned)random_below(
		       ENDPOINT_FAULT_COUNT - ENDPOINT_FAULT_REFUSE);
	e->fault_until = random_moment(300, 2300);
}

/* Whether this is the last one of its service that accepts new work. */
static bool
is_last_ready(const struct endpoint *e)
{
	const struct endpoint *first =
	    endpoints + (e < endpoints + ENDPOINTS ? 0 : ENDPOINTS);
	unsigned i, n = 0;

	for (i = 0; i < ENDPOINTS; i++)
		n += first[i].step == STEP_READY;
	return n <= 1;
}

void
leave_endpoint(void)
{
	struct endpoint *e = &endpoints[random_below(2 * ENDPOINTS)];

	if (e->step != STEP_READY || is_last_ready(e))
		return;
	e->step = STEP_DRAINING;
	if (random_below(2) == 0) { /* leaves without a report */
		e->next_step_at = mu_loop_now(soak.loop);
		return;
	}
	e->next_step_at = random_moment(800, 2000);
	put_endpoint_row(e);
}

static void
come_back(struct endpoint *e)
{
	e->step = STEP_READY;
	if (e->in == NULL)
		start_listening(e);
	if (random_below(2) == 0)
		(void)snprintf(e->name, sizeof(e->name), "i-%u-%u",
		    (unsigned)(e - endpoints), ++e->generation);
	put_endpoint_row(e);
}

static void
next_step(struct endpoint *e)
{
	switch (e->step) {
	case STEP_READY:
		break;
	case STEP_DRAINING:
		e->step = STEP_REMOVED;
		e->next_step_at = random_moment(
		    STILL_SERVING_MS, STILL_SERVING_MS + ANSWER_MAX_MS);
		remove_endpoint_row(e);
		break;
	case STEP_REMOVED:
		if (e->requests > 0)
			break;
		e->step = STEP_GONE;
		e->next_step_at = random_moment(100, 1000);
		mu_in_close(e->in);
		e->in = NULL;
		break;
	case STEP_GONE:
		come_back(e);
		break;
	}
}

bool
poll_endpoints(void)
{
	mu_us now = mu_loop_now(soak.loop);
	bool faulty = false;
	unsigned i;

	for (i = 0; i < 2 * ENDPOINTS; i++) {
		if (endpoints[i].step != STEP_READY &&
		    now > endpoints[i].next_step_at)
			next_step(&endpoints[i]);
		faulty = faulty || now < endpoints[i].fault_until;
	}
	return faulty;
}
