/*
 * web.c -- HTTP servers on libmicrohttpd.
 *
 * A connection that stalls while it sends a request is closed after a timeout,
 * which is disabled while the handler runs, because an answer may take
 * minutes, and set again for the next request.  TCP_USER_TIMEOUT closes a
 * connection whose peer no longer acknowledges data.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <arpa/inet.h>
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
#define INITIAL_BODY_BYTES 1024
#define STOPPING_RETRY_AFTER_MS 1000 /* other daemons are up */

struct mu_web {
	struct MHD_Daemon *daemon;
	struct mu_web_conf conf;
	MHD_socket quiesced_socket;
	bool draining; /* atomic, as is the next */
	bool refusing;
};

/* Body of a request that is being received. */
struct request_body {
	char *body;
	size_t len;
	size_t size;
	bool too_large;
};

enum MHD_Result
mu_web_queue(
    struct mu_web_req *r, unsigned status, struct MHD_Response *response)
{
	enum MHD_Result rc;

	if (response == NULL)
		return MHD_NO;
	if (MU_ATOMIC_LOAD(r->web->draining))
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

static bool
body_append(struct request_body *p, const char *data, size_t len, size_t max)
{
	size_t size = p->size != 0 ? p->size : INITIAL_BODY_BYTES;
	char *body;

	if (p->len + len > max) {
		p->too_large = true;
		return true; /* the rest is read and discarded */
	}
	while (size < p->len + len + 1)
		size *= 2;
	if (size != p->size) {
		body = realloc(p->body, size);
		if (body == NULL)
			return false;
		p->body = body;
		p->size = size;
	}
	memcpy(p->body + p->len, data, len);
	p->len += len;
	p->body[p->len] = '\0';
	return true;
}

static enum MHD_Result
call_handler(struct mu_web *w, struct MHD_Connection *connection,
    const char *method, const char *path, struct request_body *p)
{
	struct mu_web_req r = {0};
	struct mu_error e;
	enum MHD_Result rc;

	MHD_set_connection_option(
	    connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
	r.web = w;
	r.connection = connection;
	r.method = method;
	r.path = path;
	r.body = p->body != NULL ? p->body : "";
	r.len = p->len;
	r.arena = mu_arena_new();
	if (r.arena == NULL)
		return MHD_NO;
	if (p->too_large) {
		mu_fail(&e, MU_E_TOO_LARGE, MU_OUTCOME_NOT_RUN, 0,
		    "the body is larger than %u bytes", w->conf.max_body);
		rc = mu_web_error(&r, &e);
	} else if (MU_ATOMIC_LOAD(w->refusing)) {
		/* Only the owner knows whether an earlier copy has run. */
		mu_fail(&e, MU_E_STOPPING, MU_OUTCOME_UNKNOWN,
		    STOPPING_RETRY_AFTER_MS, "the daemon stops");
		rc = mu_web_error(&r, &e);
	} else {
		rc = w->conf.handle(w->conf.arg, &r);
	}
	mu_arena_free(r.arena);
	return rc;
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version __attribute__((unused)),
    const char *data, size_t *size, void **state)
{
	struct mu_web *w = cls;
	struct request_body *p = *state;

	if (p == NULL) {
		p = calloc(1, sizeof(*p));
		*state = p;
		if (p != NULL && w->conf.requests_in_progress != NULL)
			MU_ATOMIC_ADD(*w->conf.requests_in_progress, 1);
		return p != NULL ? MHD_YES : MHD_NO;
	}
	if (*size > 0) {
		if (!body_append(p, data, *size, w->conf.max_body))
			return MHD_NO;
		*size = 0;
		return MHD_YES;
	}
	return call_handler(w, connection, method, url, p);
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code __attribute__((unused)))
{
	struct mu_web *w = cls;
	struct request_body *p = *state;

	if (p == NULL)
		return;
	if (w->conf.requests_in_progress != NULL)
		MU_ATOMIC_SUB(*w->conf.requests_in_progress, 1);
	MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
	    (unsigned)REQUEST_TIMEOUT_S);
	free(p->body);
	free(p);
	*state = NULL;
}

static void
on_connection(void *cls __attribute__((unused)),
    struct MHD_Connection *connection, void **state __attribute__((unused)),
    enum MHD_ConnectionNotificationCode code)
{
	const union MHD_ConnectionInfo *info;
	int on = 1, idle = KEEPALIVE_IDLE_S, unacked = UNACKED_TIMEOUT_MS;

	if (code != MHD_CONNECTION_NOTIFY_STARTED)
		return;
	info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info == NULL)
		return;
	(void)setsockopt(
	    info->connect_fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(
	    info->connect_fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	(void)setsockopt(info->connect_fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
	    &unacked, sizeof(unacked));
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
	w->quiesced_socket = MHD_INVALID_SOCKET;
	w->daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
					 MHD_USE_INTERNAL_POLLING_THREAD |
					 MHD_USE_POLL | MHD_USE_ITC,
	    ntohs(sin.sin_port), NULL, NULL, on_request, w,
	    MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sin,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, w,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, w,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned)conf->max_connections,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)REQUEST_TIMEOUT_S,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (w->daemon == NULL) {
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
	free(w);
}
