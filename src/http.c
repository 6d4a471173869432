/*
 * http.c -- HTTP/1.1 client with one connection per request, using libcurl.
 *
 * libcurl implements the protocol; the time limits are enforced here, because
 * libcurl's own timers cover only the connect and the total time.  The
 * transfer runs in a multi handle: after each step the time of the last
 * progress gives the deadline in force, and curl_multi_poll() waits until
 * then, or for CANCEL_POLL_INTERVAL_MS if the caller can cancel the request.
 * Limits are checked after the step, so that a process that was suspended
 * first reads the data that has arrived.
 *
 * A request reaches a server at most once.  libcurl resends a request only on
 * a connection from its cache, on a redirect, or after "417 Expectation
 * Failed"; here each request has its own handle with an empty cache, follows
 * no redirects and sends no "Expect".  `may_have_sent` is set by the callback
 * that libcurl runs between the connect and the first byte of the request, so
 * while it is false no byte has been sent.
 *
 * An answer is complete if libcurl reports no error and the end of its header
 * was seen: libcurl treats a connection that closes within the header as an
 * empty answer.
 */
#include <errno.h>
#include <limits.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <curl/curl.h>
#include <neon/ne_uri.h>

#include "http.h"
#include "net.h"
#include "uphead.h"

#define CANCEL_POLL_INTERVAL_MS 20
#define HEADER_MAX_BYTES ((size_t)65536) /* header and trailer */
#define LINE_MAX_BYTES 128 /* of a request header line or a URL */
#define BODY_INITIAL_BYTES ((size_t)4096)
/* Body of an endpoint's answer that isn't 200: the text of an error. */
#define FAILURE_MAX_BYTES ((size_t)65536)
#define RETRY_AFTER_MAX_S 3600
/* 25 days, so that the limits enforced here expire first. */
#define CURL_CONNECT_TIMEOUT_MS 0x7fffffffL

enum phase {
	CONNECTING,
	SENDING_REQUEST,
	AWAITING_RESPONSE, /* the whole request was sent */
	READING_RESPONSE
};

struct conn {
	const struct mu_http_request *q;
	struct mu_http_response *r;
	CURL *easy;
	CURLM *multi;
	struct curl_slist *header_lines; /* of the request */
	enum phase phase;
	mu_us last_progress; /* start of the phase, or last byte moved */
	mu_us total_deadline;
	mu_us start;
	curl_off_t uploaded_bytes; /* of the body */
	size_t header_bytes; /* received */
	bool header_complete;
	struct mu_head_framing framing; /* of the header being received */
	size_t body_size; /* allocated bytes of r->body */
	size_t body_received; /* bytes */
	bool socket_failed;
	enum mu_http_result stop_result; /* set if a callback aborted */
};

static pthread_once_t init_once = PTHREAD_ONCE_INIT;
static CURLcode init_result;

static void
init_curl(void)
{
	init_result = curl_global_init(CURL_GLOBAL_NOTHING);
}

/*
 * Opens the socket here, to distinguish a lack of descriptors from a refused
 * connection.
 */
static curl_socket_t
on_socket(void *arg, curlsocktype purpose, struct curl_sockaddr *a)
{
	struct conn *c = arg;
	int fd;

	(void)purpose;
	fd = socket(a->family, a->socktype | SOCK_CLOEXEC, a->protocol);
	c->socket_failed = fd < 0;
	return fd < 0 ? CURL_SOCKET_BAD : fd;
}

/* Called after the connect, before the first byte of the request. */
static int
on_connected(void *arg, char *ip, char *local_ip, int port, int local_port)
{
	struct conn *c = arg;

	(void)ip;
	(void)local_ip;
	(void)port;
	(void)local_port;
	c->r->may_have_sent = true;
	c->phase = SENDING_REQUEST;
	c->last_progress = mu_net_now();
	return CURL_PREREQFUNC_OK;
}

/* Records the result; the value returned makes libcurl abort. */
static size_t
abort_transfer(struct conn *c, enum mu_http_result result)
{
	c->stop_result = result;
	return CURL_WRITEFUNC_ERROR;
}

static int
status_of(const struct conn *c)
{
	long status = 0;

	(void)curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	return (int)status;
}

/* Needed because libcurl accepts an HTTP/2 status line over HTTP/1.1. */
static bool
is_http1(const struct conn *c)
{
	long v = CURL_HTTP_VERSION_NONE;

	(void)curl_easy_getinfo(c->easy, CURLINFO_HTTP_VERSION, &v);
	return v == CURL_HTTP_VERSION_1_0 || v == CURL_HTTP_VERSION_1_1;
}

/* Whether the line may stand in a header.  libcurl takes any length and coding
 * that it can make sense of. */
static bool
check_header_line(struct conn *c, const char *line, size_t n)
{
	static const char version[] = "HTTP/";

	if (c->header_complete) /* a trailer */
		return true;
	if (n >= strlen(version) &&
	    strncmp(line, version, strlen(version)) == 0) {
		memset(&c->framing, 0, sizeof(c->framing));
		return true;
	}
	return mu_head_add_line(&c->framing, line, n);
}

/* Receives one header line of the answer, including its line end. */
static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct conn *c = arg;

	(void)size;
	if (c->r->time_to_first_byte == 0)
		c->r->time_to_first_byte = mu_net_now() - c->start;
	c->phase = READING_RESPONSE;
	c->last_progress = mu_net_now();
	c->header_bytes += n;
	if (c->header_bytes > HEADER_MAX_BYTES)
		return abort_transfer(c, MU_HTTP_MALFORMED);
	if (*data != '\r' && *data != '\n')
		return check_header_line(c, data, n)
			   ? n
			   : abort_transfer(c, MU_HTTP_MALFORMED);
	if (!is_http1(c) || mu_head_kind(status_of(c)) == MU_HEAD_INVALID)
		return abort_transfer(c, MU_HTTP_MALFORMED);
	c->header_complete = mu_head_kind(status_of(c)) == MU_HEAD_FINAL;
	return n;
}

static enum mu_http_result
append_body(struct conn *c, const char *data, size_t len)
{
	struct mu_http_response *r = c->r;
	size_t size = c->body_size;
	char *p;

	while (size < r->body_len + len + 1)
		size = size == 0 ? BODY_INITIAL_BYTES : size * 2;
	if (size != c->body_size) {
		p = realloc(r->body, size);
		if (p == NULL)
			return MU_HTTP_SYSTEM;
		r->body = p;
		c->body_size = size;
	}
	memcpy(r->body + r->body_len, data, len);
	r->body_len += len;
	r->body[r->body_len] = '\0';
	return MU_HTTP_COMPLETE;
}

static enum mu_http_result
deliver_body(struct conn *c, const char *data, size_t len)
{
	bool failed = status_of(c) != 200;
	size_t most = c->q->max_body;

	if (c->q->from_endpoint && failed && most > FAILURE_MAX_BYTES)
		most = FAILURE_MAX_BYTES;
	if (len > most - c->body_received)
		return MU_HTTP_TOO_LARGE;
	c->body_received += len;
	if (c->q->from_endpoint && !mu_answermem_add(&c->r->mem, len))
		return MU_HTTP_NO_ROOM;
	if (c->q->on_data == NULL || failed)
		return append_body(c, data, len);
	if (!c->q->on_data(c->q->arg, data, len))
		return MU_HTTP_ABORTED;
	return MU_HTTP_COMPLETE;
}

static size_t
on_body(char *data, size_t size, size_t n, void *arg)
{
	struct conn *c = arg;
	enum mu_http_result result;

	(void)size;
	result = deliver_body(c, data, n);
	c->last_progress = mu_net_now();
	return result == MU_HTTP_COMPLETE ? n : abort_transfer(c, result);
}

#define SET(c, option, value) curl_easy_setopt((c)->easy, option, value)

/* One request per connection; no proxy settings from the environment. */
static bool
set_connection_options(const struct conn *c)
{
	int rc = 0;

	rc |= SET(c, CURLOPT_FRESH_CONNECT, 1L);
	rc |= SET(c, CURLOPT_FORBID_REUSE, 1L);
	rc |= SET(c, CURLOPT_FOLLOWLOCATION, 0L);
	rc |= SET(c, CURLOPT_PROXY, "");
	rc |= SET(c, CURLOPT_PROTOCOLS_STR, "http");
	rc |= SET(c, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	rc |= SET(c, CURLOPT_HTTP09_ALLOWED, 0L);
	rc |= SET(c, CURLOPT_NOSIGNAL, 1L);
	rc |= SET(c, CURLOPT_CONNECTTIMEOUT_MS, CURL_CONNECT_TIMEOUT_MS);
	return rc == 0;
}

static bool
set_callbacks(struct conn *c)
{
	int rc = 0;

	rc |= SET(c, CURLOPT_OPENSOCKETFUNCTION, on_socket);
	rc |= SET(c, CURLOPT_OPENSOCKETDATA, c);
	rc |= SET(c, CURLOPT_PREREQFUNCTION, on_connected);
	rc |= SET(c, CURLOPT_PREREQDATA, c);
	rc |= SET(c, CURLOPT_HEADERFUNCTION, on_header);
	rc |= SET(c, CURLOPT_HEADERDATA, c);
	rc |= SET(c, CURLOPT_WRITEFUNCTION, on_body);
	rc |= SET(c, CURLOPT_WRITEDATA, c);
	return rc == 0;
}

static bool
add_header_line(struct conn *c, const char *line)
{
	struct curl_slist *l = curl_slist_append(c->header_lines, line);

	if (l == NULL)
		return false;
	c->header_lines = l;
	return true;
}

/* Sets the body and its headers; "Expect:" removes libcurl's own header. */
static bool
set_body(struct conn *c)
{
	const struct mu_http_request *q = c->q;
	char line[LINE_MAX_BYTES];
	int rc = 0;

	if (q->content_type == NULL)
		return true;
	if (snprintf(line, sizeof(line), "Content-Type: %s", q->content_type) >=
	    (int)sizeof(line))
		return false;
	if (!add_header_line(c, line) || !add_header_line(c, "Expect:"))
		return false;
	rc |= SET(c, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)q->body_len);
	rc |= SET(c, CURLOPT_POSTFIELDS, q->body_len > 0 ? q->body : "");
	return rc == 0;
}

static bool
set_request(struct conn *c)
{
	const struct mu_http_request *q = c->q;
	char ip[MU_ADDR_LEN], url[LINE_MAX_BYTES];
	uint16_t port;
	int rc = 0;

	if (mu_addr_parse(q->addr, ip, &port) != 0)
		return false;
	(void)snprintf(url, sizeof(url), "http://%s:%u/", ip, port);
	if (!set_body(c) || !add_header_line(c, "Connection: close"))
		return false;
	rc |= SET(c, CURLOPT_URL, url);
	rc |= SET(c, CURLOPT_REQUEST_TARGET, q->target);
	rc |= SET(c, CURLOPT_CUSTOMREQUEST, q->method);
	rc |= SET(c, CURLOPT_HTTPHEADER, c->header_lines);
	if (q->max_body > 0 && q->max_body <= INT64_MAX)
		rc |=
		    SET(c, CURLOPT_MAXFILESIZE_LARGE, (curl_off_t)q->max_body);
	return rc == 0;
}

/* Updates the progress of the upload since the last step. */
static void
track_upload(struct conn *c)
{
	curl_off_t n = 0;

	if (c->phase != SENDING_REQUEST)
		return;
	(void)curl_easy_getinfo(c->easy, CURLINFO_SIZE_UPLOAD_T, &n);
	if (n != c->uploaded_bytes)
		c->last_progress = mu_net_now();
	c->uploaded_bytes = n;
	if ((uint64_t)n >= c->q->body_len)
		c->phase = AWAITING_RESPONSE;
}

/* Returns the earliest deadline in force. */
static mu_us
next_deadline(const struct conn *c)
{
	const struct mu_http_limits *l = &c->q->limits;
	uint32_t ms = l->idle_ms;
	mu_us deadline;

	if (c->phase == CONNECTING)
		ms = l->connect_ms;
	else if (c->phase == AWAITING_RESPONSE)
		ms = l->first_byte_ms;
	deadline = c->last_progress + (mu_us)ms * MU_US_PER_MS;
	return deadline < c->total_deadline ? deadline : c->total_deadline;
}

/* Time to wait, in ms and rounded up; 0 if the deadline has passed. */
static int
poll_timeout_ms(const struct conn *c)
{
	mu_us left = next_deadline(c) - mu_net_now();
	mu_us most =
	    c->q->cancelled != NULL ? CANCEL_POLL_INTERVAL_MS : INT_MAX;
	mu_us ms = (left + MU_US_PER_MS - 1) / MU_US_PER_MS;

	if (left <= 0)
		return 0;
	return (int)(ms < most ? ms : most);
}

/*
 * Converts libcurl's result.  CURLE_RECV_ERROR stands for both a connection
 * reset and an invalid chunk; only the first has an error of the system.
 */
static enum mu_http_result
map_curl_result(const struct conn *c, CURLcode rc)
{
	long err = 0;

	switch (rc) {
	case CURLE_OK:
		return c->header_complete ? MU_HTTP_COMPLETE
					  : MU_HTTP_CONN_LOST;
	case CURLE_COULDNT_CONNECT:
		return c->socket_failed ? MU_HTTP_SYSTEM
					: MU_HTTP_CONNECT_FAILED;
	case CURLE_RECV_ERROR:
		(void)curl_easy_getinfo(c->easy, CURLINFO_OS_ERRNO, &err);
		return err != 0 ? MU_HTTP_CONN_LOST : MU_HTTP_MALFORMED;
	case CURLE_SEND_ERROR:
	case CURLE_GOT_NOTHING:
	case CURLE_PARTIAL_FILE:
		return MU_HTTP_CONN_LOST;
	case CURLE_FILESIZE_EXCEEDED:
		return MU_HTTP_TOO_LARGE;
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_BAD_CONTENT_ENCODING:
	case CURLE_BAD_FUNCTION_ARGUMENT: /* a trailer without a name */
		return MU_HTTP_MALFORMED;
	default:
		return MU_HTTP_SYSTEM;
	}
}

/* Returns the result of a transfer that libcurl has finished. */
static enum mu_http_result
transfer_result(const struct conn *c)
{
	const CURLMsg *m;
	int left;

	if (c->stop_result != MU_HTTP_COMPLETE)
		return c->stop_result;
	m = curl_multi_info_read(c->multi, &left);
	if (m == NULL || m->msg != CURLMSG_DONE)
		return MU_HTTP_SYSTEM;
	return map_curl_result(c, m->data.result);
}

static enum mu_http_result
transfer(struct conn *c)
{
	const struct mu_http_request *q = c->q;
	int running, ms;

	for (;;) {
		if (q->cancelled != NULL && q->cancelled(q->arg))
			return MU_HTTP_CANCELLED;
		if (curl_multi_perform(c->multi, &running) != CURLM_OK)
			return MU_HTTP_SYSTEM;
		if (running == 0)
			return transfer_result(c);
		track_upload(c);
		ms = poll_timeout_ms(c);
		if (ms == 0)
			return c->r->may_have_sent ? MU_HTTP_TIMEOUT
						   : MU_HTTP_CONNECT_FAILED;
		if (curl_multi_poll(c->multi, NULL, 0, ms, NULL) != CURLM_OK)
			return MU_HTTP_SYSTEM;
	}
}

static uint32_t
get_retry_after_ms(const struct conn *c)
{
	curl_off_t s = 0;

	(void)curl_easy_getinfo(c->easy, CURLINFO_RETRY_AFTER, &s);
	if (s <= 0 || s > RETRY_AFTER_MAX_S)
		return 0;
	return (uint32_t)s * 1000;
}

static enum mu_http_result
run_transfer(struct conn *c)
{
	enum mu_http_result result = MU_HTTP_SYSTEM;

	(void)pthread_once(&init_once, init_curl);
	if (init_result != CURLE_OK)
		return result;
	c->easy = curl_easy_init();
	c->multi = curl_multi_init();
	if (c->easy == NULL || c->multi == NULL)
		goto out;
	if (!set_connection_options(c) || !set_callbacks(c) || !set_request(c))
		goto out;
	if (curl_multi_add_handle(c->multi, c->easy) != CURLM_OK)
		goto out;
	result = transfer(c);
	c->r->status = status_of(c);
	c->r->retry_after_ms = get_retry_after_ms(c);
	(void)curl_multi_remove_handle(c->multi, c->easy);
out:
	curl_easy_cleanup(c->easy);
	(void)curl_multi_cleanup(c->multi);
	curl_slist_free_all(c->header_lines);
	return result;
}

void
mu_http_run(const struct mu_http_request *q, struct mu_http_response *r)
{
	struct conn c = {.q = q, .r = r, .phase = CONNECTING};

	memset(r, 0, sizeof(*r));
	mu_answermem_init(&r->mem, q->addr);
	c.start = mu_net_now();
	c.last_progress = c.start;
	c.total_deadline = c.start + (mu_us)q->limits.total_ms * MU_US_PER_MS;
	r->result = run_transfer(&c);
	r->took = mu_net_now() - c.start;
}

void
mu_http_response_clear(struct mu_http_response *r)
{
	free(r->body);
	r->body = NULL;
	r->body_len = 0;
	mu_answermem_release(&r->mem);
}

const char *
mu_http_result_name(enum mu_http_result result)
{
	switch (result) {
	case MU_HTTP_COMPLETE:
		return "whole answer";
	case MU_HTTP_CONNECT_FAILED:
		return "connect failed";
	case MU_HTTP_TIMEOUT:
		return "timed out";
	case MU_HTTP_CONN_LOST:
		return "connection lost";
	case MU_HTTP_CANCELLED:
		return "cancelled";
	case MU_HTTP_ABORTED:
		return "stopped by the reader";
	case MU_HTTP_TOO_LARGE:
		return "answer too large";
	case MU_HTTP_NO_ROOM:
		return "no room for the answer";
	case MU_HTTP_MALFORMED:
		return "answer malformed";
	case MU_HTTP_SYSTEM:
		break;
	}
	return "system error";
}

json_t *
mu_http_response_json(const struct mu_http_response *r)
{
	if (r->body == NULL)
		return NULL;
	return json_loadb(r->body, r->body_len,
	    JSON_ALLOW_NUL | JSON_REJECT_DUPLICATES, NULL);
}

char *
mu_http_escape(const char *s)
{
	return ne_path_escape(s);
}
