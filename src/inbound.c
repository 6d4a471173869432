/*
 * inbound.c -- HTTP servers of the serving path.
 *
 * libmicrohttpd runs in external event mode: the loop watches its epoll
 * descriptor.  A request is suspended while it is processed and resumed when
 * its answer, or more of it, is available.  libmicrohttpd does not poll
 * suspended connections, so the loop watches them for a close by the caller.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "inbound_private.h"
#include "log.h"
#include "net.h"

/* A caller that acknowledges no data, or has no room for more, for this long is
 * disconnected.  The kernel has one time-out for both. */
#define ACK_TIMEOUT_MS 10000
/* A request's head with the library's record of each field, and twice that for
 * a connection, since the head of the answer comes from the same memory. */
#define MAX_REQUEST_HEAD_BYTES ((size_t)32 * 1024)
#define FIELD_RECORD_BYTES 64
#define CONNECTION_MEMORY_BYTES (2 * MAX_REQUEST_HEAD_BYTES)
#define STREAM_BLOCK_BYTES 4096
/* Larger answers are read block by block, which shows whether the caller takes
 * them; smaller ones go out in one write with their head. */
#define LARGE_ANSWER_BYTES ((size_t)64 << 10)
#define ANSWER_BLOCK_BYTES 16384
#define LOG_INTERVAL_US MU_US_PER_S
/* Of a body without room: stalled ones can be dropped a second later. */
#define RETRY_AFTER_S "1"
/* Connections that the library accepts before it has closed those that were
 * shut down for them. */
#define CONNECTIONS_IN_CLOSE 32

bool
mu_in_may_log(struct mu_inbound *in, struct mu_in_log_limit *l)
{
	mu_us now = mu_loop_now(in->loop);

	if (now < l->next_at) {
		l->suppressed++;
		return false;
	}
	l->next_at = now + LOG_INTERVAL_US;
	l->suppressed = 0;
	return true;
}

static int
connection_fd(struct MHD_Connection *c)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
	return info != NULL ? info->connect_fd : -1;
}

static void
unwatch(struct mu_in_req *r)
{
	if (r->watching)
		mu_watch_del(r->in->loop, &r->watch);
	r->watching = false;
}

void
mu_in_resume(struct mu_in_req *r)
{
	if (!r->suspended)
		return;
	r->suspended = false;
	unwatch(r);
	MHD_resume_connection(r->connection);
	r->in->needs_run = true;
}

/* The caller closed or reset its connection while its request was pending. */
static void
on_hangup(void *arg, uint32_t events __attribute__((unused)))
{
	struct mu_in_req *r = arg;

	r->caller_closed = true;
	r->aborted = true;
	mu_in_resume(r);
}

static void
suspend(struct mu_in_req *r)
{
	MHD_suspend_connection(r->connection);
	r->suspended = true;
	r->watch.fd = connection_fd(r->connection);
	r->watch.events = EPOLLRDHUP;
	r->watch.fn = on_hangup;
	r->watch.arg = r;
	r->watching = mu_watch_add(r->in->loop, &r->watch) == 0;
}

const char *
mu_in_header(struct mu_in_req *r, const char *name)
{
	return MHD_lookup_connection_value(
	    r->connection, MHD_HEADER_KIND, name);
}

const char *
mu_in_query(struct mu_in_req *r, const char *name)
{
	return MHD_lookup_connection_value(
	    r->connection, MHD_GET_ARGUMENT_KIND, name);
}

static void
set_response(struct mu_in_req *r, int status, struct MHD_Response *response,
    const struct mu_header *headers, size_t n)
{
	size_t i;

	if (response == NULL) {
		mu_log(MU_LOG_ERROR, "inbound", "out_of_memory", NULL);
		r->aborted = true;
		mu_in_resume(r);
		return;
	}
	for (i = 0; i < n; i++)
		(void)MHD_add_response_header(
		    response, headers[i].name, headers[i].value);
	if (r->in->leaving)
		(void)MHD_add_response_header(
		    response, MHD_HTTP_HEADER_CONNECTION, "close");
	r->response = response;
	r->status = status;
	mu_in_resume(r);
}

void
mu_in_answer(struct mu_in_req *r, int status, const struct mu_header *headers,
    size_t n, const void *body, size_t len)
{
	if (r->response != NULL || r->aborted)
		return;
	set_response(r, status,
	    MHD_create_response_from_buffer(
		len, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY),
	    headers, n);
}

/* Ends a stream before its end.  HTTP/1.0 has no chunks: only a reset tells a
 * stream that is broken off from a whole one.  libmicrohttpd would shut the
 * connection down first, so that the caller reads an end before the reset. */
static ssize_t
break_off(struct mu_in_req *r)
{
	static const struct sockaddr none = {.sa_family = AF_UNSPEC};

	if (r->is_http10) /* on a connected socket this sends a reset */
		(void)connect(
		    connection_fd(r->connection), &none, sizeof(none));
	return MHD_CONTENT_READER_END_WITH_ERROR;
}

/* Gives libmicrohttpd the next bytes of a stream. */
static ssize_t
read_stream(
    void *arg, uint64_t pos __attribute__((unused)), char *to, size_t max)
{
	struct mu_in_req *r = arg;
	size_t n = mu_buf_len(&r->stream_buf);

	if (r->aborted)
		return break_off(r);
	if (n > 0) {
		if (n > max)
			n = max;
		memcpy(to, mu_buf_data(&r->stream_buf), n);
		mu_buf_consume(&r->stream_buf, n);
		mu_in_unsent_taken(r);
		return (ssize_t)n;
	}
	if (r->stream_truncated)
		return break_off(r);
	if (r->stream_ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	suspend(r);
	return 0;
}

void
mu_in_answer_buf(struct mu_in_req *r, int status,
    const struct mu_header *headers, size_t n, struct mu_buf *body,
    struct mu_acct_holder *h)
{
	struct mu_acct *a = r->in->conf.acct;
	size_t len = mu_buf_len(body);

	if (a == NULL || len <= LARGE_ANSWER_BYTES) {
		mu_in_answer(r, status, headers, n, mu_buf_data(body), len);
		return;
	}
	if (r->response != NULL || r->aborted)
		return;
	mu_acct_give(a, h, body->size);
	mu_acct_force(a, &r->unsent_hold, body->size, mu_loop_now(r->in->loop));
	r->stream_buf = *body;
	memset(body, 0, sizeof(*body));
	r->stream_ended = true;
	set_response(r, status,
	    MHD_create_response_from_callback(
		len, ANSWER_BLOCK_BYTES, read_stream, r, NULL),
	    headers, n);
}

void
mu_in_stream_begin(
    struct mu_in_req *r, int status, const struct mu_header *headers, size_t n)
{
	if (r->response != NULL || r->aborted)
		return;
	set_response(r, status,
	    MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, r, NULL),
	    headers, n);
}

void
mu_in_stream_write(struct mu_in_req *r, const void *data, size_t len)
{
	if (r->aborted)
		return;
	if (!mu_in_unsent_grow(r, len)) {
		mu_in_abort_unread(r);
		return;
	}
	if (mu_buf_add(&r->stream_buf, data, len) != 0)
		r->aborted = true;
	mu_in_resume(r);
}

void
mu_in_stream_end(struct mu_in_req *r, bool complete)
{
	if (complete)
		r->stream_ended = true;
	else
		r->stream_truncated = true;
	mu_in_resume(r);
}

/* NULL: it could not be allocated. */
static struct mu_in_conn *
conn_of(struct MHD_Connection *c)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	return info != NULL ? info->socket_context : NULL;
}

static void *
on_uri(void *cls, const char *uri, struct MHD_Connection *connection)
{
	struct mu_inbound *in = cls;
	struct mu_in_conn *c = conn_of(connection);
	struct mu_in_req *r = c != NULL ? calloc(1, sizeof(*r)) : NULL;

	if (r == NULL)
		return NULL;
	r->in = in;
	r->conn = c;
	mu_in_conn_receiving(in, c);
	r->connection = connection;
	r->uri = strdup(uri);
	r->target = r->uri;
	r->arena = mu_arena_new();
	return r;
}

/* Answers with a failure in place of an answer that cannot be sent, such as one
 * whose status is not three digits. */
static enum MHD_Result
queue_failure(struct mu_in_req *r)
{
	struct MHD_Response *empty =
	    MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result rc;

	mu_log(MU_LOG_ERROR, "inbound", "answer_refused", "{s:i}", "status",
	    r->status);
	if (empty == NULL)
		return MHD_NO;
	rc = MHD_queue_response(r->connection, MHD_HTTP_BAD_GATEWAY, empty);
	MHD_destroy_response(empty);
	return rc;
}

static enum MHD_Result
queue_response(struct mu_in_req *r)
{
	enum MHD_Result rc = MHD_NO;

	/* A status below 200 would not end the request. */
	if (r->status >= MHD_HTTP_OK)
		rc = MHD_queue_response(
		    r->connection, (unsigned)r->status, r->response);
	MHD_destroy_response(r->response);
	return rc == MHD_YES ? rc : queue_failure(r);
}

/* Whether the request's head takes memory that its answer may need. */
static bool
head_too_large(struct mu_in_req *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    r->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	const char *cookies = mu_in_header(r, MHD_HTTP_HEADER_COOKIE);
	int fields = MHD_get_connection_values(r->connection,
	    MHD_HEADER_KIND | MHD_FOOTER_KIND | MHD_COOKIE_KIND |
		MHD_GET_ARGUMENT_KIND,
	    NULL, NULL);
	size_t n = (size_t)fields * FIELD_RECORD_BYTES;

	if (info != NULL)
		n += info->header_size;
	if (cookies != NULL) /* the library keeps a copy */
		n += strlen(cookies);
	return n > MAX_REQUEST_HEAD_BYTES;
}

/* Answers a request before its body; the library reads nothing after it. */
static enum MHD_Result
refuse_at_head(struct mu_in_req *r, int status, const char *error)
{
	struct MHD_Response *response;
	char body[64];
	int len = snprintf(body, sizeof(body), "{\"error\":\"%s\"}", error);

	response = MHD_create_response_from_buffer(
	    (size_t)len, body, MHD_RESPMEM_MUST_COPY);
	if (response == NULL)
		return MHD_NO;
	(void)MHD_add_response_header(
	    response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
	(void)MHD_add_response_header(
	    response, MHD_HTTP_HEADER_CONNECTION, "close");
	if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
		(void)MHD_add_response_header(
		    response, MHD_HTTP_HEADER_RETRY_AFTER, RETRY_AFTER_S);
	r->response = response;
	r->status = status;
	return queue_response(r);
}

static enum MHD_Result
receive_head(struct mu_in_req *r, const char *method, const char *version)
{
	const char *error = NULL;
	int status;

	if (r->uri == NULL || r->arena == NULL || r->conn->closing)
		return MHD_NO;
	r->method = method;
	r->is_http10 = strcmp(version, MHD_HTTP_VERSION_1_0) == 0;
	r->has_body =
	    mu_in_header(r, MHD_HTTP_HEADER_CONTENT_LENGTH) != NULL ||
	    mu_in_header(r, MHD_HTTP_HEADER_TRANSFER_ENCODING) != NULL;
	mu_in_conn_receiving(r->in, r->conn);
	/* The library would read the body with what is left of the memory, down
	 * to two bytes at a time. */
	if (r->in->conf.strict && r->has_body && head_too_large(r))
		return refuse_at_head(r,
		    MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, "head too large");
	status = mu_in_body_begin(r, &error);
	return status != 0 ? refuse_at_head(r, status, error) : MHD_YES;
}

static void
dispatch(struct mu_in_req *r)
{
	struct mu_inbound *in = r->in;

	r->dispatched = true;
	in->nrequests++;
	mu_in_body_complete(r);
	MHD_set_connection_option(
	    r->connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
	if (head_too_large(r))
		mu_in_answer(r, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, NULL,
		    0, NULL, 0);
	else
		in->conf.hooks.request(in->conf.hooks.arg, r);
}

static enum MHD_Result
on_access(void *cls __attribute__((unused)),
    struct MHD_Connection *connection __attribute__((unused)),
    const char *url __attribute__((unused)), const char *method,
    const char *version, const char *data, size_t *size, void **state)
{
	struct mu_in_req *r = *state;

	if (r == NULL)
		return MHD_NO;
	if (r->method == NULL)
		return receive_head(r, method, version);
	if (*size > 0) {
		/* The rest of a dropped body is not kept; the library closes
		 * the connection that was shut down. */
		(void)mu_in_body_add(r, data, *size);
		*size = 0;
		return MHD_YES;
	}
	if (r->dropped)
		return MHD_NO;
	if (r->aborted)
		return MHD_NO;
	if (r->dispatched)
		return r->response != NULL ? queue_response(r) : MHD_NO;
	dispatch(r);
	if (r->response != NULL)
		return queue_response(r);
	if (r->aborted)
		return MHD_NO;
	suspend(r);
	return MHD_YES;
}

const char *
mu_in_end_name(enum mu_in_end end)
{
	static const char *const names[] = {
	    "sent", "caller_closed", "cut", "timeout", "failed"};

	return names[end];
}

static enum mu_in_end
end_of(const struct mu_in_req *r, enum MHD_RequestTerminationCode code)
{
	if (r->caller_closed)
		return MU_IN_CALLER_CLOSED;
	if (r->aborted || r->stream_truncated)
		return MU_IN_CUT;
	switch (code) {
	case MHD_REQUEST_TERMINATED_COMPLETED_OK:
		return MU_IN_SENT;
	case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
		return MU_IN_TIMEOUT;
	case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
		return MU_IN_CALLER_CLOSED;
	default:
		return MU_IN_FAILED;
	}
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct mu_inbound *in = cls;
	struct mu_in_req *r = *state;

	if (r == NULL)
		return;
	*state = NULL;
	unwatch(r);
	MHD_set_connection_option(
	    connection, MHD_CONNECTION_OPTION_TIMEOUT, in->conf.idle_s);
	r->end = end_of(r, code);
	if (r->dispatched) {
		in->nrequests--;
		in->conf.hooks.closed(
		    in->conf.hooks.arg, r, r->end == MU_IN_SENT);
	}
	mu_in_body_free(r);
	mu_in_conn_idle(in, r->conn);
	mu_arena_free(r->arena);
	free(r->uri);
	free(r);
}

static void
on_connection(void *cls, struct MHD_Connection *connection, void **state,
    enum MHD_ConnectionNotificationCode code)
{
	struct mu_inbound *in = cls;
	int fd = connection_fd(connection), on = 1,
	    ack_timeout_ms = ACK_TIMEOUT_MS;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (*state != NULL)
			mu_in_conn_free(in, *state);
		*state = NULL;
		return;
	}
	if (fd < 0)
		return;
	*state = mu_in_conn_open(in, fd);
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ack_timeout_ms,
	    sizeof(ack_timeout_ms));
}

static void
on_epoll_ready(void *arg, uint32_t events __attribute__((unused)))
{
	struct mu_inbound *in = arg;

	in->needs_run = true;
}

static void
on_timer(void *arg)
{
	struct mu_inbound *in = arg;

	in->needs_run = true;
}

static void
on_panic(void *cls __attribute__((unused)), const char *file, unsigned line,
    const char *reason)
{
	mu_log(MU_LOG_ERROR, "inbound", "panic", "{s:s,s:i,s:s?}", "file", file,
	    "line", (int)line, "reason", reason);
	abort();
}

/* Logs libmicrohttpd's messages, most of them about callers' connections. */
static void
on_library_log(void *cls, const char *fmt, va_list ap)
{
	struct mu_inbound *in = cls;
	unsigned suppressed = in->library_log.suppressed;
	char text[256];

	if (!mu_in_may_log(in, &in->library_log))
		return;
	(void)vsnprintf(text, sizeof(text), fmt, ap);
	text[strcspn(text, "\n")] = '\0';
	mu_log(MU_LOG_WARN, "inbound", "library", "{s:s,s:i}", "message", text,
	    "suppressed", (int)suppressed);
}

static unsigned
connection_limit(const struct mu_in_conf *conf)
{
	return conf->max_connections +
	       (conf->strict ? CONNECTIONS_IN_CLOSE : 0);
}

static int
start_daemon(struct mu_inbound *in, struct sockaddr_in *sin)
{
	const union MHD_DaemonInfo *info;

	MHD_set_panic_func(on_panic, NULL);
	in->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
					  MHD_USE_SUPPRESS_DATE_NO_CLOCK |
					  MHD_USE_ERROR_LOG,
	    ntohs(sin->sin_port), NULL, NULL, on_access, in,
	    MHD_OPTION_EXTERNAL_LOGGER, on_library_log, in,
	    MHD_OPTION_SOCK_ADDR, (struct sockaddr *)sin,
	    MHD_OPTION_URI_LOG_CALLBACK, on_uri, in,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, in,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, in,
	    MHD_OPTION_CONNECTION_LIMIT, connection_limit(&in->conf),
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)in->conf.idle_s,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (in->daemon == NULL)
		return MU_E_SYSTEM;
	info = MHD_get_daemon_info(in->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	if (info == NULL)
		return MU_E_SYSTEM;
	in->watch.fd = info->epoll_fd;
	in->watch.events = EPOLLIN;
	in->watch.fn = on_epoll_ready;
	in->watch.arg = in;
	return 0;
}

/* Starts to accept connections once the handler allows it. */
static bool
start_accepting(struct mu_inbound *in)
{
	if (in->accepting)
		return true;
	if (in->conf.hooks.may_accept != NULL &&
	    !in->conf.hooks.may_accept(in->conf.hooks.arg))
		return false;
	if (mu_watch_add(in->loop, &in->watch) != 0) {
		mu_log(MU_LOG_ERROR, "inbound", "cannot_watch", "{s:s}",
		    "listen", in->conf.listen);
		abort();
	}
	in->accepting = true;
	in->needs_run = true;
	return true;
}

/* Before each wait of the loop: runs libmicrohttpd while it has work. */
static void
run_pending(void *arg)
{
	struct mu_inbound *in = arg;
	MHD_UNSIGNED_LONG_LONG ms;

	if (!start_accepting(in))
		return;
	while (in->needs_run) {
		in->needs_run = false;
		(void)MHD_run(in->daemon);
	}
	if (MHD_get_timeout(in->daemon, &ms) == MHD_YES)
		mu_timer_set(in->loop, &in->timer,
		    mu_loop_now(in->loop) + (mu_us)ms * MU_US_PER_MS);
}

int
mu_in_open(struct mu_inbound **out, struct mu_loop *l,
    const struct mu_in_conf *conf, struct mu_error *e)
{
	struct sockaddr_in sin;
	struct mu_inbound *in = calloc(1, sizeof(*in));

	if (in == NULL)
		return mu_fail(
		    e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "no memory");
	in->loop = l;
	in->conf = *conf;
	CDS_INIT_LIST_HEAD(&in->idle);
	CDS_INIT_LIST_HEAD(&in->receiving);
	if (mu_net_parse_addr(conf->listen, &sin) != 0) {
		free(in);
		return mu_fail(e, MU_E_CONFIG_INVALID, MU_OUTCOME_NOT_RUN, 0,
		    "%s: expected IP:PORT", conf->listen);
	}
	if (start_daemon(in, &sin) != 0) {
		if (in->daemon != NULL)
			MHD_stop_daemon(in->daemon);
		free(in);
		return mu_fail(e, MU_E_SYSTEM, MU_OUTCOME_NOT_RUN, 0,
		    "cannot listen on %s", conf->listen);
	}
	in->timer.fn = on_timer;
	in->timer.arg = in;
	in->hook.fn = run_pending;
	in->hook.arg = in;
	mu_hook_add(l, &in->hook);
	*out = in;
	return 0;
}

void
mu_in_drain(struct mu_inbound *in)
{
	in->leaving = true;
}

void
mu_in_stop_listening(struct mu_inbound *in)
{
	MHD_socket fd;

	(void)MHD_run(in->daemon); /* accepts those that wait */
	fd = MHD_quiesce_daemon(in->daemon);
	if (fd != MHD_INVALID_SOCKET)
		(void)close(fd);
}

unsigned
mu_in_requests(const struct mu_inbound *in)
{
	return in->nrequests;
}

unsigned
mu_in_connections(struct mu_inbound *in)
{
	const union MHD_DaemonInfo *info;

	info = MHD_get_daemon_info(
	    in->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
	return info != NULL ? info->num_connections : 0;
}

void
mu_in_close(struct mu_inbound *in)
{
	if (in == NULL)
		return;
	mu_hook_del(in->loop, &in->hook);
	mu_timer_clear(in->loop, &in->timer);
	if (in->accepting)
		mu_watch_del(in->loop, &in->watch);
	MHD_stop_daemon(in->daemon);
	free(in);
}
