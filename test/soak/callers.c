/*
 * callers.c -- callers of the soak: orders and the turns of programs.
 *
 * Callers choose among all daemons, also those that are stopping, and keep a
 * connection until the daemon ends it or an answer says that it will.
 */
#include "soak.h"

#define PAUSE_MAX_MS 400 /* between an answer and the next request */
#define REST_MIN_MS 300
#define REST_MAX_MS 4000
#define SPLIT_MAX_MS 500 /* between the two pieces of a request */
#define LONG_ANSWER_BYTES ((size_t)300 * 1024)
#define SLOW_RECEIVE_BUFFER 8192
#define SLOW_READ_BYTES 4096
#define SLOW_READ_MS 5

static struct call *
new_call(const char *body, enum kind kind)
{
	static unsigned next_id;
	struct call *call = calloc(1, sizeof(*call));

	if (call == NULL)
		fatal("no memory");
	(void)snprintf(call->id, sizeof(call->id), "r%06u", ++next_id);
	call->node.key = call->id;
	call->expected_body = strdup(body);
	call->kind = kind;
	mu_hmap_add(&soak.calls, &call->node);
	return call;
}

static void
write_order(struct caller *c)
{
	static const char *const bodies[] = {"Content-Length: 5\r\n\r\norder",
	    "Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n"};

	c->call = new_call("order", KIND_ORDER);
	if (c->style == STYLE_SLOW)
		c->call->padding = LONG_ANSWER_BYTES;
	(void)snprintf(c->request, sizeof(c->request),
	    "POST /order/%s1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: %d\r\n%s",
	    random_below(2) == 0 ? "x/" : "", c->call->id, CALL_TIMEOUT_MS,
	    bodies[random_below(2)]);
}

static void
write_long(struct caller *c)
{
	c->call = new_call("long", KIND_LONG);
	(void)snprintf(c->request, sizeof(c->request),
	    "POST /long/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
	    "Content-Length: 4\r\n\r\nlong",
	    c->call->id);
}

static void
start_program(struct caller *c)
{
	static unsigned next_program;

	(void)snprintf(c->program, sizeof(c->program), "p%u", ++next_program);
	free(c->history);
	c->history = strdup("");
	c->previous[0] = '\0';
	c->tokens = 0;
}

static void
write_turn(struct caller *c)
{
	char input[64], *body = NULL, before[64] = "";

	if (c->turn == 0)
		start_program(c);
	(void)snprintf(input, sizeof(input), "in-%s-%u;", c->program, c->turn);
	if (asprintf(&body, "%s%s", c->history, input) < 0)
		fatal("no memory");
	c->call = new_call(body, KIND_TURN);
	free(body);
	if (c->previous[0] != '\0')
		(void)snprintf(before, sizeof(before), "Previous-Turn: %s\r\n",
		    c->previous);
	(void)snprintf(c->request, sizeof(c->request),
	    "POST /chat/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: %d\r\nProgram-Id: %s\r\nToken-Budget: %d\r\n"
	    "Token-Usage: 10,%d\r\n%sContent-Length: %zu\r\n\r\n%s",
	    c->call->id, CALL_TIMEOUT_MS, c->program, PROGRAM_BUDGET,
	    MAX_TURN_TOKENS, before, strlen(input), input);
}

/* Connections. */

static void
close_connection(struct caller *c)
{
	if (!c->open)
		return;
	if (!c->closed)
		mu_watch_del(soak.loop, &c->watch);
	(void)close(c->watch.fd);
	mu_buf_clear(&c->in);
	c->open = false;
}

static void
on_readable(void *arg, uint32_t events)
{
	struct caller *c = arg;
	bool slow = c->style == STYLE_SLOW;
	size_t size = slow ? SLOW_READ_BYTES : 65536;
	char *room = mu_buf_reserve(&c->in, 65536);
	ssize_t n = recv(c->watch.fd, room, size, MSG_DONTWAIT);

	(void)events;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		c->closed = true;
		mu_watch_del(soak.loop, &c->watch);
		return;
	}
	c->in.len += (size_t)n;
	c->in.p[c->in.len] = '\0';
	if (!slow)
		return;
	mu_watch_set(soak.loop, &c->watch, 0);
	c->read_at = random_moment(1, SLOW_READ_MS);
}

static bool
open_connection(struct caller *c)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int size = SLOW_RECEIVE_BUFFER;
	char ip[MU_ADDR_LEN];
	uint16_t port;

	c->daemon = (unsigned)random_below(soak.ndaemons);
	c->old_release = soak.daemon[c->daemon].old_release;
	(void)mu_addr_parse(soak.daemon[c->daemon].addr, ip, &port);
	sin.sin_port = htons(port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	c->watch.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (c->style == STYLE_SLOW)
		(void)setsockopt(
		    c->watch.fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (connect(c->watch.fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		(void)close(c->watch.fd);
		return false;
	}
	c->watch.events = EPOLLIN;
	c->watch.fn = on_readable;
	c->watch.arg = c;
	(void)mu_watch_add(soak.loop, &c->watch);
	c->open = true;
	c->closed = false;
	c->read_at = 0;
	return true;
}

static void
send_piece(struct caller *c, size_t to)
{
	ssize_t n = send(c->watch.fd, c->request + c->sent, to - c->sent,
	    MSG_NOSIGNAL | MSG_DONTWAIT);

	if (n > 0)
		c->sent += (size_t)n;
	if (c->sent == strlen(c->request))
		c->call->sent_at = mu_now(&soak.clock);
}

static void
start_call(struct caller *c)
{
	unsigned ms = CALL_TIMEOUT_MS;
	size_t size;

	if (!c->open && !open_connection(c)) {
		c->next_at = random_moment(1, PAUSE_MAX_MS);
		return;
	}
	switch (random_below(6)) {
	case 0:
	case 1:
		write_order(c);
		break;
	case 2:
		write_long(c);
		ms = LONG_CALL_TIMEOUT_MS;
		break;
	default:
		write_turn(c);
		break;
	}
	size = strlen(c->request);
	c->sent = 0;
	c->send_rest_at = 0;
	c->deadline = mu_loop_now(soak.loop) + ms * MU_US_PER_MS;
	if (c->style == STYLE_SPLIT) {
		send_piece(c, 1 + random_below(size - 1));
		c->send_rest_at = random_moment(1, SPLIT_MAX_MS);
		c->deadline += SPLIT_MAX_MS * MU_US_PER_MS;
	} else {
		send_piece(c, size);
	}
}

/* Answers. */

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
		fatal("no memory");
	free(c->history);
	c->history = next;
	(void)snprintf(c->previous, sizeof(c->previous), "%s", call->id);
	c->turn = (c->turn + 1) % TURNS_PER_PROGRAM;
}

/* Whether the answer is complete as its framing says. */
static bool
answer_complete(const struct caller *c)
{
	const char *a = mu_buf_len(&c->in) > 0 ? mu_buf_data(&c->in) : "";
	const char *body = strstr(a, "\r\n\r\n"), *len;

	if (body == NULL)
		return false;
	len = strstr(a, "Content-Length: ");
	if (len != NULL && len < body)
		return mu_buf_len(&c->in) - (size_t)(body + 4 - a) >=
		       strtoul(len + 16, NULL, 10);
	return strstr(body, "\r\n0\r\n\r\n") != NULL;
}

static void
check_order(const struct caller *c, const char *a)
{
	const char *body = strstr(a, "\r\n\r\n") + 4;
	size_t n = strlen(c->call->id);

	if (strncmp(body, c->call->id, n) != 0 ||
	    strspn(body + n, ".") != c->call->padding ||
	    strlen(body + n) != c->call->padding)
		violation("%s: not the endpoint's body", c->call->id);
}

static void
count_success(struct caller *c, const char *a, unsigned events)
{
	soak.answered++;
	if (c->call->kind == KIND_ORDER) {
		check_order(c, a);
		return;
	}
	if (events != events_of(c->call->kind))
		violation(
		    "%s: complete answer with %u events", c->call->id, events);
	if (c->call->kind == KIND_TURN)
		turn_completed(c);
}

static void
check_refusal(struct call *call)
{
	call->reported_not_run = true;
	if (call->executions > 0)
		violation("%s was run and refused", call->id);
}

static void
check_tokens(struct caller *c, unsigned events)
{
	if (c->call->kind != KIND_TURN)
		return;
	c->tokens += events * EVENT_TOKENS;
	if (c->tokens > PROGRAM_BUDGET + MAX_TURN_TOKENS)
		violation("%s: %u tokens of a budget of %d", c->program,
		    (unsigned)c->tokens, PROGRAM_BUDGET);
}

static void
count_answer(struct caller *c, bool complete)
{
	const char *a = mu_buf_len(&c->in) > 0 ? mu_buf_data(&c->in) : "";
	struct call *call = c->call;
	unsigned events =
	    call->kind == KIND_ORDER ? 0 : count_events(a, call->id);
	int status = 0;

	(void)sscanf(a, "HTTP/1.1 %d", &status);
	check_tokens(c, events);
	if (status == 503 || status == 402)
		check_refusal(call);
	if (status == 404)
		violation("%s: turn %s is unknown", call->id, c->previous);
	if (status == 402) {
		soak.budget_rejections++;
		c->turn = 0;
	} else if (status == 503) {
		soak.refused++;
	} else if (status == 200 && complete) {
		count_success(c, a, events);
	} else {
		soak.failed++;
		if (call->kind == KIND_TURN && random_below(3) == 0)
			c->turn = 0;
	}
}

static void
finish_call(struct caller *c, bool complete)
{
	bool closes = !complete || c->closed || c->style == STYLE_NEW ||
		      c->sent < strlen(c->request) ||
		      strstr(mu_buf_data(&c->in), "Connection: close") != NULL;

	soak.judged += c->call->sent_at != 0;
	if (!complete && c->closed)
		judge_closed(c);
	soak.unanswered += !complete && !c->closed;
	count_answer(c, complete);
	c->call = NULL;
	if (closes)
		close_connection(c);
	else
		mu_buf_consume(&c->in, mu_buf_len(&c->in));
	c->next_at = c->style == STYLE_RESTING
			 ? random_moment(REST_MIN_MS, REST_MAX_MS)
			 : random_moment(1, PAUSE_MAX_MS);
}

static void
poll_idle(struct caller *c)
{
	if (c->open && mu_buf_len(&c->in) > 0)
		violation("%zu bytes without a request", mu_buf_len(&c->in));
	if (c->open && (c->closed || mu_buf_len(&c->in) > 0))
		close_connection(c);
	if (mu_loop_now(soak.loop) >= c->next_at)
		start_call(c);
}

void
poll_caller(struct caller *c)
{
	mu_us now = mu_loop_now(soak.loop);
	bool complete;

	if (c->call == NULL) {
		poll_idle(c);
		return;
	}
	if (c->send_rest_at != 0 && now >= c->send_rest_at && !c->closed) {
		c->send_rest_at = 0;
		send_piece(c, strlen(c->request));
	}
	if (c->read_at != 0 && now >= c->read_at && !c->closed) {
		c->read_at = 0;
		mu_watch_set(soak.loop, &c->watch, EPOLLIN);
	}
	complete = answer_complete(c);
	if (complete || c->closed || now > c->deadline)
		finish_call(c, complete);
}

void
open_callers(void)
{
	unsigned i;

	for (i = 0; i < soak.ncallers; i++) {
		soak.caller[i].style = i % STYLE_COUNT;
		soak.caller[i].next_at = random_moment(1, PAUSE_MAX_MS);
	}
}
