/*
 * proc_http.c -- a small blocking HTTP client for tests, and fault ports.
 *
 * Each request uses a new connection with "Connection: close", so that no
 * request is ever retried without the test's knowledge.  Bodies may have a
 * Content-Length, be chunked or end with the connection; a truncated body is
 * kept and marked as incomplete (whole is false).
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "proc.h"

#define HEAD_MAX 4096 /* bytes, of a request's header */
#define READ_SIZE 16384 /* bytes */

static int
tcp_connect(const char *addr)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[PROC_ADDR_LEN];
	const char *colon = strchr(addr, ':');
	int fd;

	if (colon == NULL || colon - addr >= PROC_ADDR_LEN)
		return -1;
	memcpy(ip, addr, (size_t)(colon - addr));
	ip[colon - addr] = '\0';
	inet_pton(AF_INET, ip, &sin.sin_addr);
	sin.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd == -1)
		return -1;
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Waits until fd is ready.  Returns false at the limit. */
static bool
wait_ready(int fd, short events, int64_t limit)
{
	struct pollfd p = {fd, events, 0};
	int64_t left = limit - proc_now_ms();

	return left > 0 && poll(&p, 1, (int)left) > 0;
}

static bool
send_all(int fd, const char *data, size_t n, int64_t limit)
{
	ssize_t sent;

	while (n > 0) {
		if (!wait_ready(fd, POLLOUT, limit))
			return false;
		sent = send(fd, data, n, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (sent == -1 && errno == EAGAIN)
			continue;
		if (sent <= 0)
			return false;
		data += sent;
		n -= (size_t)sent;
	}
	return true;
}

/* Reads until the close or the limit into a malloc'd, NUL-terminated buffer. */
static char *
read_all(int fd, size_t *len, int64_t limit)
{
	size_t cap = READ_SIZE;
	char *buf = malloc(cap + 1), *more;
	ssize_t n;

	*len = 0;
	while (buf != NULL && wait_ready(fd, POLLIN, limit)) {
		if (*len == cap) {
			cap *= 2;
			more = realloc(buf, cap + 1);
			if (more == NULL)
				break;
			buf = more;
		}
		n = recv(fd, buf + *len, cap - *len, 0);
		if (n <= 0)
			break;
		*len += (size_t)n;
	}
	if (buf != NULL)
		buf[*len] = '\0';
	return buf;
}

const char *
http_header(const struct http_res *r, const char *name, size_t *len)
{
	size_t n = strlen(name);
	const char *p = r->head, *end;

	while (p != NULL && (p = strstr(p, "\r\n")) != NULL) {
		p += 2;
		if (strncasecmp(p, name, n) != 0 || p[n] != ':')
			continue;
		p += n + 1;
		p += strspn(p, " ");
		end = strstr(p, "\r\n");
		*len = end == NULL ? strlen(p) : (size_t)(end - p);
		return p;
	}
	return NULL;
}

/* Decodes chunks in place.  Returns whether the last chunk was received. */
static bool
decode_chunked(char *body, size_t *len)
{
	char *in = body, *out = body, *end = body + *len, *line;
	bool whole = false;
	size_t n;

	while (in < end && (line = strstr(in, "\r\n")) != NULL) {
		n = strtoul(in, NULL, 16);
		in = line + 2;
		whole = n == 0;
		if (whole || n > (size_t)(end - in)) {
			n = whole ? 0 : (size_t)(end - in);
			memmove(out, in, n);
			out += n;
			break;
		}
		memmove(out, in, n);
		out += n;
		in += n + 2;
	}
	*out = '\0';
	*len = (size_t)(out - body);
	return whole;
}

/* Splits the response into head and body. */
static void
answer_parse(struct http_res *r, const char *raw, size_t len)
{
	const char *head_end = memmem(raw, len, "\r\n\r\n", 4), *v;
	size_t n;

	if (head_end == NULL || sscanf(raw, "HTTP/%*s %d", &r->status) != 1)
		return;
	r->head = strndup(raw, (size_t)(head_end - raw));
	r->len = len - (size_t)(head_end + 4 - raw);
	r->body = malloc(r->len + 1);
	if (r->head == NULL || r->body == NULL)
		abort();
	memcpy(r->body, head_end + 4, r->len);
	r->body[r->len] = '\0';
	if (http_header(r, "Transfer-Encoding", &n) != NULL)
		r->whole = decode_chunked(r->body, &r->len);
	else if ((v = http_header(r, "Content-Length", &n)) != NULL)
		r->whole = r->len == strtoul(v, NULL, 10);
	else
		r->whole = true;
	r->json = json_loadb(r->body, r->len, JSON_DECODE_ANY, NULL);
}

static bool
request_send(int fd, const struct http_req *q, int64_t limit)
{
	char head[HEAD_MAX];
	int n;

	n = snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n%s%s%s%s\r\n",
	    q->method, q->path, q->addr, q->len,
	    q->bearer == NULL ? "" : "Authorization: Bearer ",
	    q->bearer == NULL ? "" : q->bearer, q->bearer == NULL ? "" : "\r\n",
	    q->headers == NULL ? "" : q->headers);
	return n > 0 && (size_t)n < sizeof(head) &&
	       send_all(fd, head, (size_t)n, limit) &&
	       send_all(fd, q->body, q->len, limit);
}

void
http_run(const struct http_req *q, struct http_res *r)
{
	int64_t limit =
	    proc_now_ms() + (q->limit_ms > 0 ? q->limit_ms : PROC_LIMIT_MS);
	int fd = tcp_connect(q->addr);
	size_t len;
	char *raw;

	memset(r, 0, sizeof(*r));
	if (fd == -1)
		return;
	r->connected = true;
	if (request_send(fd, q, limit)) {
		raw = read_all(fd, &len, limit);
		if (raw != NULL)
			answer_parse(r, raw, len);
		free(raw);
	}
	close(fd);
}

void
http_clear(struct http_res *r)
{
	json_decref(r->json);
	free(r->head);
	free(r->body);
	memset(r, 0, sizeof(*r));
}

json_t *
http_send(const char *method, const char *addr, const char *path,
    const char *bearer, json_t *body, int *status)
{
	char *text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
	struct http_req q = {.method = method,
	    .addr = addr,
	    .path = path,
	    .bearer = bearer,
	    .body = text,
	    .len = text == NULL ? 0 : strlen(text)};
	struct http_res r;
	json_t *json;

	http_run(&q, &r);
	free(text);
	json_decref(body);
	if (status != NULL)
		*status = r.status;
	json = json_incref(r.json);
	http_clear(&r);
	return json;
}

json_t *
http_get(const char *addr, const char *path, const char *bearer, int *status)
{
	return http_send("GET", addr, path, bearer, NULL, status);
}

json_t *
http_post(const char *addr, const char *path, const char *bearer, json_t *body,
    int *status)
{
	return http_send("POST", addr, path, bearer, body, status);
}

json_t *
json_quoted(const char *text)
{
	char *copy = strdup(text), *p;
	json_t *o;

	if (copy == NULL)
		abort();
	for (p = copy; *p != '\0'; p++)
		if (*p == '\'')
			*p = '"';
	o = json_loads(copy, 0, NULL);
	free(copy);
	return o;
}

int
http_open(const char *addr, const char *data)
{
	int fd = tcp_connect(addr);

	if (fd == -1)
		return -1;
	if (send_all(fd, data, strlen(data), proc_now_ms() + PROC_LIMIT_MS))
		return fd;
	close(fd);
	return -1;
}

struct get_until {
	const char *addr;
	const char *path;
	const char *bearer;
	bool (*cond)(int status, const json_t *json, void *arg);
	void *arg;
	json_t *json; /* body of the last response */
};

static bool
get_cond_holds(void *arg)
{
	struct get_until *u = arg;
	int status;

	json_decref(u->json);
	u->json = http_get(u->addr, u->path, u->bearer, &status);
	return u->cond(status, u->json, u->arg);
}

json_t *
http_until(const char *addr, const char *path, const char *bearer,
    bool (*cond)(int status, const json_t *json, void *arg), void *arg)
{
	struct get_until u = {addr, path, bearer, cond, arg, NULL};
	char what[256];

	snprintf(what, sizeof(what), "GET %s%s", addr, path);
	proc_until(what, get_cond_holds, &u);
	return u.json;
}

/* Fault ports */

void
fault_set(const char *fault, const char *fmt, ...)
{
	json_error_t e;
	json_t *body;
	va_list ap;
	int status;

	va_start(ap, fmt);
	body = json_vpack_ex(&e, 0, fmt, ap);
	va_end(ap);
	if (body == NULL)
		fail_msg("fault %s: %s", fmt, e.text);
	json_decref(http_post(fault, "/fault", NULL, body, &status));
	if (status != 200)
		fail_msg("fault %s at %s: status %d", fmt, fault, status);
}

json_t *
fault_executed(const char *fault)
{
	json_t *o = http_get(fault, "/executed", NULL, NULL);
	json_t *list = json_incref(json_object_get(o, "executed"));

	json_decref(o);
	if (list == NULL)
		fail_msg("no executed log at %s", fault);
	return list;
}

size_t
fault_run_count(const char *fault, const char *program, json_int_t seq)
{
	json_t *list = fault_executed(fault), *e;
	size_t i, n = 0;
	const char *p;

	json_array_foreach (list, i, e) {
		p = json_string_value(json_object_get(e, "program"));
		if (program == NULL ||
		    (p != NULL && strcmp(p, program) == 0 &&
			json_integer_value(json_object_get(e, "seq")) == seq))
			n++;
	}
	json_decref(list);
	return n;
}

json_int_t
fault_count(const char *fault, const char *name)
{
	json_t *o = http_get(fault, "/counts", NULL, NULL);
	json_int_t n = json_integer_value(json_object_get(o, name));

	json_decref(o);
	return n;
}
