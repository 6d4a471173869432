/*
 * serve.c -- HTTP server shared by all stand-ins.
 *
 * libmicrohttpd runs one thread for each connection, so a handler may block:
 * a delay is a sleep, a stream waits for its next event, and a frozen
 * connection parks its thread (conn.c).  The fault port is a second server
 * that faults do not affect (faults.c).
 *
 * Faults that lose or replace an answer apply after the handler has run,
 * because the case to test is a lost answer to a request that took effect.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "net.h"
#include "serve_private.h"

#define MAX_BODY_BYTES ((size_t)64 << 20)
#define MAX_CONNECTIONS 4000
#define LISTEN_BACKLOG 1024

mu_us
serve_now(const struct server *s)
{
	return mu_now(&s->clock);
}

void
serve_sleep_ms(uint32_t ms)
{
	struct timespec ts;

	ts.tv_sec = ms / 1000;
	ts.tv_nsec = (long)(ms % 1000) * 1000000;
	while (nanosleep(&ts, &ts) == -1 && errno == EINTR)
		continue;
}

const char *
serve_query_arg(const struct serve_req *q, const char *name)
{
	return MHD_lookup_connection_value(q->mhd, MHD_GET_ARGUMENT_KIND, name);
}

uint64_t
serve_query_uint(
    const struct serve_req *q, const char *name, uint64_t otherwise)
{
	const char *v = serve_query_arg(q, name);

	return v == NULL ? otherwise : strtoull(v, NULL, 10);
}

bool
serve_matches(const struct serve_req *q, const char *method, const char *path)
{
	return strcmp(q->method, method) == 0 && strcmp(q->path, path) == 0;
}

void
serve_json(struct serve_answer *a, unsigned status, json_t *json)
{
	a->kind = SERVE_JSON;
	a->status = status;
	a->u.json = json;
}

void
serve_error(struct serve_answer *a, unsigned status, const char *error)
{
	serve_json(a, status, json_pack("{s:s}", "error", error));
}

/* Answers */

static struct MHD_Response *
json_response(json_t *json)
{
	struct MHD_Response *r;
	char *text = json_dumps(json, JSON_COMPACT);

	if (text == NULL)
		return NULL;
	r = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	if (r != NULL)
		MHD_add_response_header(r, "Content-Type", "application/json");
	return r;
}

static struct MHD_Response *
response(struct serve_req *q, struct serve_answer *a)
{
	struct MHD_Response *r;

	switch (a->kind) {
	case SERVE_JSON:
		r = json_response(a->u.json);
		json_decref(a->u.json);
		return r;
	case SERVE_BYTES:
		return MHD_create_response_from_buffer(
		    a->u.bytes.len, a->u.bytes.data, MHD_RESPMEM_MUST_FREE);
	case SERVE_STREAM:
		return stream_response(q, &a->u.stream);
	}
	return NULL;
}

static void
answer_discard(const struct serve_req *q, struct serve_answer *a)
{
	switch (a->kind) {
	case SERVE_JSON:
		json_decref(a->u.json);
		break;
	case SERVE_BYTES:
		free(a->u.bytes.data);
		break;
	case SERVE_STREAM:
		stream_discard(q, &a->u.stream);
		a->u.stream.close(a->u.stream.arg);
		break;
	}
}

static enum MHD_Result
send_answer(struct serve_req *q, struct serve_answer *a)
{
	struct MHD_Response *r = response(q, a);
	enum MHD_Result ret;

	if (r == NULL)
		return MHD_NO;
	ret = MHD_queue_response(q->mhd, a->status, r);
	MHD_destroy_response(r);
	return ret;
}

/* Exits at once if the body contains the crash_on text. */
static void
crash_if_matched(struct server *s, const struct serve_req *q)
{
	bool crash;

	pthread_mutex_lock(&s->lock);
	crash = s->fault.crash_on != NULL && q->len > 0 &&
		memmem(q->body, q->len, s->fault.crash_on,
		    strlen(s->fault.crash_on)) != NULL;
	pthread_mutex_unlock(&s->lock);
	if (!crash)
		return;
	printf("{\"event\":\"crash\",\"path\":\"%s\"}\n", q->path);
	fflush(stdout);
	_exit(1);
}

static enum MHD_Result
answer_main(struct serve_req *q)
{
	struct server *s = q->s;
	struct serve_answer a = {.kind = SERVE_JSON};
	struct serve_fault f = serve_get_faults(s);

	if (f.down)
		return MHD_NO;
	if (f.refuse) {
		serve_error(&a, 503, "unavailable");
		return send_answer(q, &a);
	}
	crash_if_matched(s, q);
	s->handle(q, &a);
	if (a.took_effect &&
	    serve_consume_fault(s, &s->fault.lose_answers, q->body)) {
		answer_discard(q, &a);
		return MHD_NO;
	}
	if (a.took_effect &&
	    serve_consume_fault(s, &s->fault.fail_answers, q->body)) {
		answer_discard(q, &a);
		serve_error(&a, 500, "internal");
	}
	serve_sleep_ms(f.slow_ms);
	if (conn_frozen(q->conn)) {
		answer_discard(q, &a);
		conn_park(q->conn);
		return MHD_NO;
	}
	return send_answer(q, &a);
}

static enum MHD_Result
answer_fault(struct serve_req *q)
{
	struct serve_answer a = {.kind = SERVE_JSON};

	if (serve_matches(q, "POST", "/fault"))
		fault_post(q, &a);
	else if (serve_matches(q, "GET", "/executed"))
		executed_get(q->s, &a);
	else if (serve_matches(q, "GET", "/counts"))
		counts_get(q->s, &a);
	else if (q->s->handle_fault != NULL)
		q->s->handle_fault(q, &a);
	else
		serve_error(&a, 404, "not_found");
	return send_answer(q, &a);
}

/* Requests */

static struct serve_req *
req_new(struct server *s, struct MHD_Connection *mhd, const char *url,
    const char *method, bool main_port)
{
	struct serve_req *q = calloc(1, sizeof(*q));

	if (q == NULL)
		return NULL;
	q->s = s;
	q->mhd = mhd;
	q->method = strdup(method);
	q->path = strdup(url);
	q->cap = 1024;
	q->body = calloc(1, q->cap);
	if (main_port)
		q->conn = MHD_get_connection_info(
		    mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			      ->socket_context;
	return q;
}

static bool
req_append(struct serve_req *q, const char *data, size_t n)
{
	char *body;

	if (n > MAX_BODY_BYTES - q->len)
		return false;
	if (q->len + n + 1 > q->cap) {
		q->cap = 2 * (q->len + n + 1);
		body = realloc(q->body, q->cap);
		if (body == NULL)
			return false;
		q->body = body;
	}
	memcpy(q->body + q->len, data, n);
	q->len += n;
	q->body[q->len] = '\0';
	return true;
}

static void
on_completed(void *cls, struct MHD_Connection *mhd, void **ctx,
    enum MHD_RequestTerminationCode code)
{
	struct serve_req *q = *ctx;

	(void)cls;
	(void)mhd;
	(void)code;
	if (q == NULL)
		return;
	json_decref(q->json);
	free(q->method);
	free(q->path);
	free(q->body);
	free(q);
	*ctx = NULL;
}

static enum MHD_Result
on_request(struct server *s, struct MHD_Connection *mhd, const char *url,
    const char *method, const char *data, size_t *size, void **ctx,
    bool main_port)
{
	struct serve_req *q = *ctx;
	size_t n = *size;

	if (q == NULL) {
		*ctx = q = req_new(s, mhd, url, method, main_port);
		return q == NULL ? MHD_NO : MHD_YES;
	}
	if (conn_frozen(q->conn)) {
		conn_park(q->conn);
		return MHD_NO;
	}
	if (n > 0) {
		*size = 0;
		return req_append(q, data, n) ? MHD_YES : MHD_NO;
	}
	q->json = json_loadb(q->body, q->len, 0, NULL);
	return main_port ? answer_main(q) : answer_fault(q);
}

static enum MHD_Result
on_main_port(void *cls, struct MHD_Connection *mhd, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **ctx)
{
	(void)version;
	return on_request(cls, mhd, url, method, data, size, ctx, true);
}

static enum MHD_Result
on_fault_port(void *cls, struct MHD_Connection *mhd, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **ctx)
{
	(void)version;
	return on_request(cls, mhd, url, method, data, size, ctx, false);
}

static struct MHD_Daemon *
start(struct server *s, const char *addr, bool main_port)
{
	struct sockaddr_in sin;

	if (mu_net_parse_addr(addr, &sin) != 0)
		return NULL;
	return MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
				    MHD_USE_INTERNAL_POLLING_THREAD |
				    MHD_USE_POLL,
	    ntohs(sin.sin_port), main_port ? conn_accept : NULL, s,
	    main_port ? on_main_port : on_fault_port, s, MHD_OPTION_SOCK_ADDR,
	    (struct sockaddr *)&sin, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS,
	    MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)LISTEN_BACKLOG,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
	    main_port ? MHD_OPTION_NOTIFY_CONNECTION : MHD_OPTION_END,
	    conn_notify, s, MHD_OPTION_END);
}

static error_t
parse(int key, char *arg, struct argp_state *st)
{
	struct server *s = st->input;

	switch (key) {
	case 'l':
		s->listen = arg;
		return 0;
	case 'f':
		s->fault_addr = arg;
		return 0;
	case 'x':
		s->executed_file = arg;
		return 0;
	case ARGP_KEY_END:
		if (s->listen == NULL || s->fault_addr == NULL)
			argp_error(st, "--listen and --fault are required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "Serve on this address", 0},
    {"fault", 'f', "IP:PORT", 0, "Serve the fault port on this address", 0},
    {"executed", 'x', "FILE", 0,
	"Append each execution to FILE as a line of JSON before it runs", 0},
    {0},
};

const struct argp serve_argp = {.options = options, .parser = parse};

static int
fail(const char *what, const char *arg)
{
	fprintf(stderr, "%s %s: %s\n", what, arg, strerror(errno));
	return 1;
}

int
serve_run(struct server *s)
{
	pthread_t sampler;
	sigset_t set;
	int sig;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	mu_clock_real(&s->clock);
	pthread_mutex_init(&s->lock, NULL);
	CDS_INIT_LIST_HEAD(&s->conns);
	s->executed = json_array();
	s->initial_fault = s->fault;
	if (s->executed_file != NULL &&
	    (s->executed_log = fopen(s->executed_file, "a")) == NULL)
		return fail("open", s->executed_file);
	if (s->start != NULL)
		s->start(s);
	if (s->get_load != NULL)
		pthread_create(&sampler, NULL, load_sample_loop, s);
	if (s->handle != NULL && start(s, s->listen, true) == NULL)
		return fail("listen", s->listen);
	if (start(s, s->fault_addr, false) == NULL)
		return fail("listen", s->fault_addr);
	printf("{\"event\":\"ready\",\"name\":\"%s\",\"listen\":\"%s\","
	       "\"fault\":\"%s\"}\n",
	    s->name, s->listen, s->fault_addr);
	fflush(stdout);
	sigwait(&set, &sig);
	/* Open connections hold no persistent state and are not drained. */
	fflush(NULL);
	_exit(0);
}
