/*
 * web.c -- HTTP servers on libmicrohttpd.
 *
 * A connection that stalls while it sends a request is closed after a timeout,
 * which is disabled while the handler runs, because an answer may take
 * minutes, and set again for the next request.  TCP_USER_TIMEOUT closes a
 * connection whose peer no longer acknowledges data.
 *
 * A body that is too large, or for which there is no room, is refused when its
 * head is received.  The connection then ends, but what the client still sends
 * is read and discarded for a while: closing a socket with unread data resets
 * the connection, and the client could lose the response.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <arpa/inet.h>
#include <poll.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "board.h"
#include "net.h"
#include "web.h"

#define REQUEST_TIMEOUT_S 15 /* while a request is received */
#define UNACKED_TIMEOUT_MS 10000 /* then the peer counts as dead */
#define KEEPALIVE_IDLE_S 5
#define CONNECTION_MEMORY_BYTES 16384 /* mostly request headers */
#define THREAD_STACK ((size_t)256 * 1024)
/* Accepted beyond max_connections, until those shut down for them end. */
#define CLOSING_CONNECTIONS 32
#define DISCARD_BYTES 16384
#define DISCARD_TIMEOUT_MS 5000 /* for a refused body */
#define DISCARD_IDLE_MS 1000 /* without a byte of it */
#define LARGE_ANSWER_BYTES 16384 /* counted in the account */
#define STOPPING_RETRY_AFTER_MS 1000 /* other daemons are up */

struct mu_web {
	struct MHD_Daemon *daemon;
	struct mu_web_conf conf;
	struct mu_webconns conns;
	MHD_socket quiesced_socket;
	bool draining; /* atomic, as is the next */
	bool refusing;
};

/* A request from its head to the end of its response. */
struct web_request {
	struct mu_webconn *conn; /* NULL when out of memory */
	struct mu_webbody body;
	bool refused; /* with a body that was not read */
};

enum MHD_Result
mu_web_queue(
    struct mu_web_req *r, unsigned status, struct MHD_Response *response)
{
	enum MHD_Result rc;

	if (response == NULL)
		return MHD_NO;
	if (MU_ATOMIC_LOAD(r->web->draining) || r->ends_connection)
		MHD_add_response_header(
		    response, MHD_HTTP_HEADER_CONNECTION, "close");
	rc = MHD_queue_response(r->connection, status, response);
	MHD_destroy_response(response);
	return rc;
}

enum MHD_Result
mu_web_text(struct mu_web_req *r, int status, char *text, const char *type)
{
	struct MHD_Response *response;

	if (text == NULL)
		return MHD_NO;
	response = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	if (response != NULL)
		MHD_add_response_header(
		    response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	return mu_web_queue(r, (unsigned)status, response);
}

enum MHD_Result
mu_web_json(struct mu_web_req *r, int status, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return mu_web_text(r, status, text, "application/json");
}

static void
add_retry_after(struct MHD_Response *response, uint32_t ms)
{
	char text[16];

	if (ms == 0)
		return;
	(void)snprintf(text, sizeof(text), "%u", (ms + 999) / 1000);
	MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, text);
}

enum MHD_Result
mu_web_reply(struct mu_web_req *r, const struct mu_reply *p)
{
	struct MHD_Response *response;

	response = MHD_create_response_from_buffer(
	    p->len, p->body, MHD_RESPMEM_MUST_COPY);
	if (response == NULL)
		return MHD_NO;
	MHD_add_response_header(
	    response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
	add_retry_after(response, p->retry_after_ms);
	return mu_web_queue(r, (unsigned)p->status, response);
}

static ssize_t
read_answer(void *cls, uint64_t pos, char *buf, size_t max)
{
	size_t n = mu_webanswer_read(cls, pos, buf, max);

	return n > 0 ? (ssize_t)n : MHD_CONTENT_READER_END_WITH_ERROR;
}

static void
free_answer(void *cls)
{
	mu_webanswer_free(cls);
}

enum MHD_Result
mu_web_reply_stream(struct mu_web_req *r, struct mu_stream *s)
{
	const struct mu_reply *p = mu_stream_wait_end(s, 0);
	struct MHD_Response *response;
	struct mu_webanswer *w;

	if (p->len < LARGE_ANSWER_BYTES)
		return mu_web_reply(r, p);
	w = mu_webanswer_new(r->web->conf.mem, r->conn, s);
	if (w == NULL)
		return MHD_NO;
	response = MHD_create_response_from_callback(
	    p->len, LARGE_ANSWER_BYTES, read_answer, w, free_answer);
	if (response == NULL) {
		mu_webanswer_free(w);
		return MHD_NO;
	}
	MHD_add_response_header(
	    response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
	add_retry_after(response, p->retry_after_ms);
	return mu_web_queue(r, (unsigned)p->status, response);
}

enum MHD_Result
mu_web_error(struct mu_web_req *r, const struct mu_error *e)
{
	struct mu_reply p;
	enum MHD_Result rc;

	mu_reply_error(&p, e);
	rc = mu_web_reply(r, &p);
	free(p.body);
	return rc;
}

const char *
mu_web_query(struct mu_web_req *r, const char *name)
{
	return MHD_lookup_connection_value(
	    r->connection, MHD_GET_ARGUMENT_KIND, name);
}

const char *
mu_web_header(struct mu_web_req *r, const char *name)
{
	return MHD_lookup_connection_value(
	    r->connection, MHD_HEADER_KIND, name);
}

uint64_t
mu_web_query_number(struct mu_web_req *r, const char *name, uint64_t def)
{
	const char *text = mu_web_query(r, name);
	char *end;
	uint64_t n;

	if (text == NULL || *text == '\0' || *text == '-')
		return def;
	n = strtoull(text, &end, 10);
	return *end == '\0' ? n : def;
}

/* Compares hashes of keys, each in constant time. */
const char *
mu_web_authenticate(
    struct mu_web_req *r, const struct mu_caller_key *keys, unsigned nkeys)
{
	const char *header = mu_web_header(r, MHD_HTTP_HEADER_AUTHORIZATION);
	unsigned char hash[crypto_hash_sha256_BYTES];
	char hex[2 * crypto_hash_sha256_BYTES + 1];
	const char *found = NULL;
	unsigned i;

	if (header == NULL || strncmp(header, "Bearer ", 7) != 0)
		return NULL;
	header += 7;
	crypto_hash_sha256(hash, (const unsigned char *)header, strlen(header));
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	for (i = 0; i < nkeys; i++)
		if (strlen(keys[i].sha256) == sizeof(hex) - 1 &&
		    sodium_memcmp(keys[i].sha256, hex, sizeof(hex) - 1) == 0)
			found = keys[i].caller;
	return found;
}

static mu_us
web_now(const struct mu_web *w)
{
	return mu_webmem_now(w->conf.mem);
}

static enum MHD_Result
respond_too_large(struct mu_web_req *r)
{
	struct mu_error e;

	mu_fail(&e, MU_E_TOO_LARGE, MU_OUTCOME_NOT_RUN, 0,
	    "the body is larger than %u bytes", r->web->conf.max_body);
	return mu_web_error(r, &e);
}

static enum MHD_Result
respond_no_room(struct mu_web_req *r)
{
	struct mu_error e;

	mu_fail(&e, MU_E_OVERLOADED, MU_OUTCOME_NOT_RUN,
	    MU_WEBMEM_RETRY_AFTER_MS, "no room for the body");
	return mu_web_error(r, &e);
}

static enum MHD_Result
respond_stopping(struct mu_web_req *r)
{
	struct mu_error e;

	/* Only the owner knows whether an earlier copy has run. */
	mu_fail(&e, MU_E_STOPPING, MU_OUTCOME_UNKNOWN, STOPPING_RETRY_AFTER_MS,
	    "the daemon stops");
	return mu_web_error(r, &e);
}

/* Handles a complete request. */
static enum MHD_Result
call_handler(struct mu_web *w, struct web_request *q, struct mu_web_req *r)
{
	enum mu_webmem_result room;
	enum MHD_Result rc;

	if (q->body.too_large)
		return respond_too_large(r);
	if (MU_ATOMIC_LOAD(w->refusing))
		return respond_stopping(r);
	room = mu_webbody_complete(&q->body);
	if (room == MU_WEBMEM_CLOSE)
		return MHD_NO;
	if (room != MU_WEBMEM_OK)
		return respond_no_room(r);
	r->body = q->body.data != NULL ? q->body.data : "";
	r->len = q->body.len;
	r->arena = mu_arena_new();
	if (r->arena == NULL)
		return MHD_NO;
	rc = w->conf.handle(w->conf.arg, r);
	mu_arena_free(r->arena);
	/* The copies of a streamed call are freed when it ends. */
	if (r->streams)
		mu_webbody_free_data(&q->body);
	else
		mu_webbody_end(&q->body);
	return rc;
}

static void
set_timeout(struct MHD_Connection *connection, unsigned s)
{
	(void)MHD_set_connection_option(
	    connection, MHD_CONNECTION_OPTION_TIMEOUT, s);
}

/* Lets the connection end with the time allowed for its body. */
static void
set_body_timeout(
    struct MHD_Connection *connection, const struct mu_webbody *body)
{
	mu_us left = mu_webbody_time_left(body);

	if (left >= REQUEST_TIMEOUT_S * MU_US_PER_S)
		set_timeout(connection, REQUEST_TIMEOUT_S);
	else
		set_timeout(connection, (unsigned)(left / MU_US_PER_S) + 1);
}

static uint64_t
declared_length(struct MHD_Connection *connection)
{
	const char *text;

	if (MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
		MHD_HTTP_HEADER_TRANSFER_ENCODING) != NULL)
		return MU_WEBBODY_CHUNKED;
	text = MHD_lookup_connection_value(
	    connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
	return text != NULL ? strtoull(text, NULL, 10) : 0;
}

static struct mu_webconn *
conn_of(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info != NULL ? info->socket_context : NULL;
}

/* Receives a head.  Refuses the request if its body must not be read. */
static enum MHD_Result
begin_request(struct mu_web *w, struct mu_web_req *r, struct web_request **out)
{
	struct web_request *q = calloc(1, sizeof(*q));
	enum mu_webmem_result room;

	if (q == NULL)
		return MHD_NO;
	*out = q;
	if (w->conf.requests_in_progress != NULL)
		MU_ATOMIC_ADD(*w->conf.requests_in_progress, 1);
	q->conn = r->conn;
	mu_webconn_set_state(
	    &w->conns, q->conn, MU_WEBCONN_RECEIVING, web_now(w));
	room = mu_webbody_begin(&q->body, w->conf.mem, q->conn,
	    w->conf.max_body, declared_length(r->connection));
	if (room == MU_WEBMEM_OK)
		return MHD_YES;
	q->refused = true;
	r->ends_connection = true;
	return room == MU_WEBMEM_TOO_LARGE ? respond_too_large(r)
					   : respond_no_room(r);
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version __attribute__((unused)),
    const char *data, size_t *size, void **state)
{
	struct mu_web *w = cls;
	struct web_request *q = *state;
	struct mu_web_req r = {.connection = connection,
	    .method = method,
	    .path = url,
	    .web = w,
	    .conn = conn_of(connection)};

	if (q == NULL)
		return begin_request(w, &r, (struct web_request **)state);
	if (*size > 0) {
		if (mu_webbody_append(&q->body, data, *size) != MU_WEBMEM_OK)
			return MHD_NO;
		*size = 0;
		mu_webconn_set_state(
		    &w->conns, q->conn, MU_WEBCONN_RECEIVING, web_now(w));
		set_body_timeout(connection, &q->body);
		return MHD_YES;
	}
	set_timeout(connection, 0);
	mu_webconn_set_state(&w->conns, q->conn, MU_WEBCONN_BUSY, web_now(w));
	return call_handler(w, q, &r);
}

/* Discards what the client still sends of a refused body. */
static void
discard_body(const struct mu_web *w, int fd)
{
	mu_us end = web_now(w) + DISCARD_TIMEOUT_MS * MU_US_PER_MS;
	struct pollfd p = {.fd = fd, .events = POLLIN};
	size_t left = (size_t)2 * w->conf.max_body;
	char buf[DISCARD_BYTES];
	ssize_t n;

	(void)shutdown(fd, SHUT_WR);
	while (
	    left > 0 && web_now(w) < end && poll(&p, 1, DISCARD_IDLE_MS) > 0) {
		n = recv(fd, buf, left < sizeof(buf) ? left : sizeof(buf), 0);
		if (n <= 0)
			return;
		left -= (size_t)n;
	}
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct mu_web *w = cls;
	struct web_request *q = *state;

	if (q == NULL)
		return;
	if (w->conf.requests_in_progress != NULL)
		MU_ATOMIC_SUB(*w->conf.requests_in_progress, 1);
	mu_webbody_end(&q->body);
	if (q->refused && q->conn != NULL &&
	    code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		discard_body(w, q->conn->fd);
	set_timeout(connection, REQUEST_TIMEOUT_S);
	mu_webconn_set_state(&w->conns, q->conn, MU_WEBCONN_IDLE, web_now(w));
	free(q);
	*state = NULL;
}

static void
set_socket_options(int fd)
{
	int on = 1, idle = KEEPALIVE_IDLE_S, unacked = UNACKED_TIMEOUT_MS;

	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof(unacked));
}

static void
on_connection(void *cls, struct MHD_Connection *connection, void **state,
    enum MHD_ConnectionNotificationCode code)
{
	const union MHD_ConnectionInfo *info, *client;
	struct mu_web *w = cls;
	int fd;

	if (code != MHD_CONNECTION_NOTIFY_STARTED) {
		mu_webconn_remove(&w->conns, *state);
		*state = NULL;
		return;
	}
	info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info == NULL)
		return;
	fd = info->connect_fd;
	set_socket_options(fd);
	client = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	if (client != NULL)
		*state = mu_webconn_add(&w->conns, fd,
		    (const struct sockaddr_in *)(const void *)
			client->client_addr,
		    web_now(w));
}

int
mu_web_open(
    struct mu_web **out, const struct mu_web_conf *conf, struct mu_error *e)
{
	struct mu_web *w = calloc(1, sizeof(*w));
	struct sockaddr_in sin;

	if (w == NULL)
		return mu_fail(
		    e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "no memory");
	if (mu_net_parse_addr(conf->listen, &sin) != 0) {
		free(w);
		return mu_fail(e, MU_E_CONFIG_INVALID, MU_OUTCOME_NOT_RUN, 0,
		    "%s: expected IP:PORT", conf->listen);
	}
	w->conf = *conf;
	mu_webconns_init(&w->conns, conf->max_connections);
	w->quiesced_socket = MHD_INVALID_SOCKET;
	w->daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
					 MHD_USE_INTERNAL_POLLING_THREAD |
					 MHD_USE_POLL | MHD_USE_ITC,
	    ntohs(sin.sin_port), NULL, NULL, on_request, w,
	    MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sin,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, w,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, w,
	    MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned)conf->max_connections + CLOSING_CONNECTIONS,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)REQUEST_TIMEOUT_S,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (w->daemon == NULL) {
		mu_webconns_fini(&w->conns);
		free(w);
		return mu_fail(e, MU_E_SYSTEM, MU_OUTCOME_NOT_RUN, 0,
		    "cannot listen on %s", conf->listen);
	}
	*out = w;
	return 0;
}

void
mu_web_drain(struct mu_web *w)
{
	MU_ATOMIC_STORE(w->draining, true);
}

void
mu_web_refuse(struct mu_web *w)
{
	MU_ATOMIC_STORE(w->refusing, true);
}

void
mu_web_quiesce(struct mu_web *w)
{
	if (w->quiesced_socket == MHD_INVALID_SOCKET)
		w->quiesced_socket = MHD_quiesce_daemon(w->daemon);
	if (w->quiesced_socket != MHD_INVALID_SOCKET)
		(void)shutdown(w->quiesced_socket, SHUT_RDWR);
}

void
mu_web_close(struct mu_web *w)
{
	if (w == NULL)
		return;
	MHD_stop_daemon(w->daemon);
	mu_webconns_fini(&w->conns);
	free(w);
}
