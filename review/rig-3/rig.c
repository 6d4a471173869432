/*
 * rig.c -- see rig.h.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

#define DAEMON "target/cardamomusher"
#define DAEMONS_MAX 16
#define HEAD_MAX ((size_t)64 << 10)
#define STORE_ANSWER_US 4000
#define FEED_ROWS_MAX 500
#define FIRST_PORT 11000
#define PORTS 20000
#define PORT_BLOCK 64 /* of one process */

struct row {
	char *table, *part, *key;
	char *value; /* base64 */
	uint64_t ver;
	bool removed;
};

static struct {
	struct timespec began;
	FILE *record;
	char folder[64];
	pthread_mutex_t note_lock;
	struct rig_daemon *daemons[DAEMONS_MAX];
	size_t ndaemons;
	char store_addr[32];
	pthread_mutex_t lock; /* guards the rows and the engines' figures */
	pthread_cond_t changed;
	struct row *rows;
	size_t nrows;
	uint64_t ver;
} rig = {
    .note_lock = PTHREAD_MUTEX_INITIALIZER,
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .changed = PTHREAD_COND_INITIALIZER,
};

/* Time and record. */

long
rig_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (t.tv_sec - rig.began.tv_sec) * 1000 +
	       (t.tv_nsec - rig.began.tv_nsec) / 1000000;
}

void
rig_sleep(long ms)
{
	struct timespec t = {ms / 1000, ms % 1000 * 1000000};

	if (ms > 0)
		(void)nanosleep(&t, NULL);
}

void
rig_sleep_until(long at)
{
	rig_sleep(at - rig_now());
}

void
rig_note(const char *fmt, ...)
{
	va_list ap;
	long now = rig_now();

	pthread_mutex_lock(&rig.note_lock);
	(void)fprintf(rig.record, "%7.3f ", (double)now / 1000);
	va_start(ap, fmt);
	(void)vfprintf(rig.record, fmt, ap);
	va_end(ap);
	(void)fputc('\n', rig.record);
	(void)fflush(rig.record);
	pthread_mutex_unlock(&rig.note_lock);
}

void
rig_cannot(const char *fmt, ...)
{
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	(void)vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	rig_note("cannot run: %s", text);
	exit(rig_end(RIG_CANNOT_RUN));
}

bool
rig_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return text == NULL || strcmp(text, "0") != 0;
}

void
rig_begin(const char *record)
{
	signal(SIGPIPE, SIG_IGN);
	clock_gettime(CLOCK_MONOTONIC, &rig.began);
	rig.record = fopen(record, "w");
	if (rig.record == NULL)
		exit(RIG_CANNOT_RUN);
	(void)snprintf(rig.folder, sizeof(rig.folder), "/tmp/review.XXXXXX");
	if (mkdtemp(rig.folder) == NULL)
		exit(RIG_CANNOT_RUN);
	rig_note("trouble: %s", rig_trouble() ? "yes" : "no");
}

static void
remove_folder(void)
{
	char path[160];
	size_t i;
	unsigned n;

	if (getenv("KEEP") != NULL) {
		(void)fprintf(stderr, "%s\n", rig.folder);
		return;
	}
	for (i = 0; i < rig.ndaemons; i++) {
		(void)snprintf(path, sizeof(path), "%s/%s.yaml", rig.folder,
		    rig.daemons[i]->host);
		(void)unlink(path);
		for (n = 1; n <= rig.daemons[i]->starts; n++) {
			(void)snprintf(path, sizeof(path), "%s/%s.%u.log",
			    rig.folder, rig.daemons[i]->host, n);
			(void)unlink(path);
		}
	}
	(void)rmdir(rig.folder);
}

int
rig_end(int status)
{
	size_t i;

	for (i = 0; i < rig.ndaemons; i++)
		if (rig.daemons[i]->pid > 0)
			rig_daemon_kill(rig.daemons[i]);
	rig_note("result: %s",
	    status == RIG_HELD     ? "the rule held"
	    : status == RIG_BROKEN ? "the rule was broken"
				   : "could not run");
	remove_folder();
	return status;
}

/* Sockets. */

static int
listen_at(uint16_t port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons(port);
	if (fd < 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0)
		rig_cannot("cannot open a socket: %s", strerror(errno));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
	    listen(fd, 128) == 0)
		return fd;
	(void)close(fd);
	return -1;
}

/* Listens on the port of addr, or on a free one if addr is empty.  Free ports
 * are taken below those that the kernel gives to clients, in a block that
 * differs by process: others must not get them between two starts. */
static int
listen_on(char *addr, size_t size)
{
	static unsigned next;
	unsigned tries, port = 0;
	int fd = -1;

	if (*addr != '\0')
		fd = listen_at((uint16_t)atoi(strchr(addr, ':') + 1));
	for (tries = 0; *addr == '\0' && fd < 0 && tries < PORTS; tries++) {
		port = FIRST_PORT +
		       ((unsigned)getpid() * PORT_BLOCK + next++) % PORTS;
		fd = listen_at((uint16_t)port);
	}
	if (fd < 0)
		rig_cannot("cannot listen on %s", addr);
	if (*addr == '\0')
		(void)snprintf(addr, size, "127.0.0.1:%u", port);
	return fd;
}

static int
connect_to(const char *addr, long limit_ms)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	const char *colon = strchr(addr, ':');
	struct timeval t = {limit_ms / 1000, limit_ms % 1000 * 1000};
	int fd, on = 1;

	if (colon == NULL)
		return -1;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)atoi(colon + 1));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	(void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	(void)close(fd);
	return -1;
}

bool
rig_write(int fd, const void *data, size_t len)
{
	const char *p = data;
	ssize_t n;

	while (len > 0) {
		n = send(fd, p, len, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

void
rig_reset(int fd)
{
	struct linger l = {1, 0};

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/* A reader of HTTP messages. */

struct reader {
	int fd;
	long until; /* 0: no limit */
	char data[HEAD_MAX];
	size_t len;
	bool ended;
};

/* Reads more bytes; false at the end, on an error or at the limit. */
static bool
read_more(struct reader *r)
{
	struct pollfd p = {r->fd, POLLIN, 0};
	long left = r->until != 0 ? r->until - rig_now() : -1;
	ssize_t n;

	if (r->len == sizeof(r->data) || (r->until != 0 && left <= 0))
		return false;
	if (poll(&p, 1, (int)left) != 1)
		return false;
	n = recv(r->fd, r->data + r->len, sizeof(r->data) - r->len, 0);
	if (n <= 0) {
		r->ended = true;
		return false;
	}
	r->len += (size_t)n;
	return true;
}

static void
take(struct reader *r, size_t n)
{
	memmove(r->data, r->data + n, r->len - n);
	r->len -= n;
}

/* Length of the head with its empty line; 0: incomplete. */
static size_t
head_length(const struct reader *r)
{
	const char *p = memmem(r->data, r->len, "\r\n\r\n", 4);

	return p != NULL ? (size_t)(p - r->data) + 4 : 0;
}

static size_t
parse_headers(char *text, struct rig_header *h, size_t max)
{
	char *line, *rest, *colon;
	size_t n = 0;

	for (line = strtok_r(text, "\r\n", &rest); line != NULL && n < max;
	     line = strtok_r(NULL, "\r\n", &rest)) {
		colon = strchr(line, ':');
		if (colon == NULL)
			continue;
		*colon++ = '\0';
		while (*colon == ' ')
			colon++;
		(void)snprintf(h[n].name, sizeof(h[n].name), "%s", line);
		(void)snprintf(h[n].value, sizeof(h[n].value), "%s", colon);
		n++;
	}
	return n;
}

static const char *
find_header(const struct rig_header *h, size_t n, const char *name)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (strcasecmp(h[i].name, name) == 0)
			return h[i].value;
	return NULL;
}

const char *
rig_find(const struct rig_request *q, const char *name)
{
	return find_header(q->header, q->nheaders, name);
}

/* Appends n bytes to a text that grows. */
static void
append(char **text, size_t *len, const char *data, size_t n)
{
	char *p = realloc(*text, *len + n + 1);

	if (p == NULL)
		abort();
	memcpy(p + *len, data, n);
	*len += n;
	p[*len] = '\0';
	*text = p;
}

/* Reads n bytes of a body. */
static bool
read_exactly(struct reader *r, size_t n, char **body, size_t *len)
{
	size_t part;

	while (n > 0) {
		if (r->len == 0 && !read_more(r))
			return false;
		part = r->len < n ? r->len : n;
		append(body, len, r->data, part);
		take(r, part);
		n -= part;
	}
	return true;
}

/* Reads the next request; false at the end of the channel. */
static bool
read_request(struct reader *r, struct rig_request *q)
{
	const char *length;
	size_t n;
	char *text, *line_end;

	memset(q, 0, sizeof(*q));
	while ((n = head_length(r)) == 0)
		if (!read_more(r))
			return false;
	text = strndup(r->data, n);
	take(r, n);
	line_end = strstr(text, "\r\n");
	*line_end = '\0';
	if (sscanf(text, "%15s %511s", q->method, q->path) != 2) {
		free(text);
		return false;
	}
	q->nheaders = parse_headers(line_end + 2, q->header, RIG_HEADERS);
	free(text);
	append(&q->body, &q->len, "", 0);
	length = rig_find(q, "Content-Length");
	return length == NULL ||
	       read_exactly(r, (size_t)atol(length), &q->body, &q->len);
}

/* Servers. */

#define CHANNELS_MAX 512

struct rig_server {
	int listener;
	int fds[CHANNELS_MAX]; /* of open channels; 0: none; guarded by lock */
	bool ended; /* channels are reset */
	bool (*handle)(void *arg, int fd, struct rig_request *q);
	void *arg;
};

struct channel {
	struct rig_server *s;
	struct reader r;
};

/* Replaces fd `from` of the server's list by `to`. */
static void
note_channel(struct rig_server *s, int from, int to)
{
	int i;

	pthread_mutex_lock(&rig.lock);
	for (i = 0; i < CHANNELS_MAX; i++)
		if (s->fds[i] == from) {
			s->fds[i] = to;
			break;
		}
	pthread_mutex_unlock(&rig.lock);
}

static void *
serve_channel(void *arg)
{
	struct channel *c = arg;
	struct rig_request q;
	bool kept = true;

	while (kept && read_request(&c->r, &q)) {
		kept = c->s->handle(c->s->arg, c->r.fd, &q);
		free(q.body);
		q.body = NULL;
	}
	note_channel(c->s, c->r.fd, 0);
	if (__atomic_load_n(&c->s->ended, __ATOMIC_ACQUIRE))
		rig_reset(c->r.fd);
	(void)close(c->r.fd);
	free(c);
	return NULL;
}

static void
start_thread(void *(*fn)(void *), void *arg)
{
	pthread_t t;

	if (pthread_create(&t, NULL, fn, arg) != 0)
		rig_cannot("cannot start a thread");
	(void)pthread_detach(t);
}

static void *
accept_channels(void *arg)
{
	struct rig_server *s = arg;
	struct channel *c;
	int fd, on = 1;

	while ((fd = accept4(s->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = calloc(1, sizeof(*c));
		if (c == NULL)
			abort();
		c->s = s;
		c->r.fd = fd;
		note_channel(s, 0, fd);
		start_thread(serve_channel, c);
	}
	return NULL;
}

static struct rig_server *
server_start(char *addr, size_t size,
    bool (*handle)(void *arg, int fd, struct rig_request *q), void *arg)
{
	struct rig_server *s = calloc(1, sizeof(*s));

	if (s == NULL)
		abort();
	s->listener = listen_on(addr, size);
	s->handle = handle;
	s->arg = arg;
	start_thread(accept_channels, s);
	return s;
}

/* Ends a server as the end of its process does; it is not freed. */
static void
server_end(struct rig_server *s)
{
	int i;

	__atomic_store_n(&s->ended, true, __ATOMIC_RELEASE);
	(void)shutdown(s->listener, SHUT_RDWR);
	(void)close(s->listener);
	pthread_mutex_lock(&rig.lock);
	for (i = 0; i < CHANNELS_MAX; i++)
		if (s->fds[i] != 0) {
			rig_reset(s->fds[i]);
			(void)shutdown(s->fds[i], SHUT_RDWR);
		}
	pthread_mutex_unlock(&rig.lock);
}

/* The store. */

static char *
to_base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t n = strlen(text), i, k = 0;
	const unsigned char *p = (const unsigned char *)text;
	char *out = malloc(4 * (n / 3 + 1) + 1);
	uint32_t v;

	if (out == NULL)
		abort();
	for (i = 0; i < n; i += 3) {
		v = (uint32_t)p[i] << 16;
		v |= i + 1 < n ? (uint32_t)p[i + 1] << 8 : 0;
		v |= i + 2 < n ? p[i + 2] : 0;
		out[k++] = digits[v >> 18];
		out[k++] = digits[v >> 12 & 63];
		out[k++] = i + 1 < n ? digits[v >> 6 & 63] : '=';
		out[k++] = i + 2 < n ? digits[v & 63] : '=';
	}
	out[k] = '\0';
	return out;
}

static struct row *
find_row(const char *table, const char *part, const char *key)
{
	size_t i;

	for (i = 0; i < rig.nrows; i++)
		if (strcmp(rig.rows[i].table, table) == 0 &&
		    strcmp(rig.rows[i].part, part) == 0 &&
		    strcmp(rig.rows[i].key, key) == 0)
			return &rig.rows[i];
	return NULL;
}

static struct row *
get_row(const char *table, const char *part, const char *key)
{
	struct row *w = find_row(table, part, key);

	if (w != NULL)
		return w;
	rig.rows = realloc(rig.rows, (rig.nrows + 1) * sizeof(struct row));
	if (rig.rows == NULL)
		abort();
	w = &rig.rows[rig.nrows++];
	*w = (struct row){
	    strdup(table), strdup(part), strdup(key), strdup(""), 0, true};
	return w;
}

static void
set_row(struct row *w, const char *value, uint64_t ver)
{
	free(w->value);
	w->value = strdup(value != NULL ? value : "");
	w->removed = value == NULL;
	w->ver = ver;
}

static void
change_row(const char *table, const char *key, const char *value)
{
	pthread_mutex_lock(&rig.lock);
	set_row(get_row(table, "", key), value, ++rig.ver);
	pthread_cond_broadcast(&rig.changed);
	pthread_mutex_unlock(&rig.lock);
}

void
rig_store_put(const char *table, const char *key, const char *json)
{
	char *value = to_base64(json);

	change_row(table, key, value);
	free(value);
}

void
rig_store_remove(const char *table, const char *key)
{
	change_row(table, key, NULL);
}

static json_t *
row_to_json(const struct row *w)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:s,s:I}", "table", w->table,
	    "part", w->part, "key", w->key, "value", w->value, "ver",
	    (json_int_t)w->ver);

	if (w->removed)
		(void)json_object_set_new(j, "tombstone", json_true());
	return j;
}

/* Sends a store's answer; takes over j. */
static bool
store_answer(int fd, int status, json_t *j)
{
	char head[160], *text;
	size_t len;
	bool ok;
	int n;

	(void)json_object_set_new(j, "ver", json_integer((json_int_t)rig.ver));
	(void)json_object_set_new(j, "now_ms", json_integer(rig_now()));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	len = strlen(text);
	n = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, len);
	ok = rig_write(fd, head, (size_t)n) && rig_write(fd, text, len);
	free(text);
	return ok;
}

static const char *
text_of(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s != NULL ? s : "";
}

static struct row *
row_of(const json_t *j, bool add)
{
	const char *table = text_of(j, "table"), *part = text_of(j, "part");
	const char *key = text_of(j, "key");

	return add ? get_row(table, part, key) : find_row(table, part, key);
}

/* Called with the lock held; true if all conditions hold. */
static bool
conditions_hold(const json_t *expected, json_t *current)
{
	const struct row *w;
	uint64_t ver, need;
	bool hold = true;
	size_t i;

	for (i = 0; i < json_array_size(expected); i++) {
		w = row_of(json_array_get(expected, i), false);
		ver = w != NULL && !w->removed ? w->ver : 0;
		need = (uint64_t)json_integer_value(json_object_get(
		    json_array_get(expected, i), "ver"));
		hold = hold && ver == need;
		if (ver != 0)
			(void)json_array_append_new(current, row_to_json(w));
	}
	return hold;
}

static bool
store_write(int fd, const struct rig_request *q)
{
	json_t *all = json_loadb(q->body, q->len, 0, NULL), *j;
	json_t *put = json_object_get(all, "put");
	json_t *removed = json_object_get(all, "remove");
	json_t *current = json_array();
	struct row *w;
	bool hold;
	size_t i;

	if (all == NULL)
		return store_answer(fd, 400, json_object());
	pthread_mutex_lock(&rig.lock);
	hold = conditions_hold(json_object_get(all, "expected"), current);
	if (hold)
		rig.ver++;
	for (i = 0; hold && i < json_array_size(put); i++) {
		j = json_array_get(put, i);
		set_row(row_of(j, true), text_of(j, "value"), rig.ver);
	}
	for (i = 0; hold && i < json_array_size(removed); i++) {
		w = row_of(json_array_get(removed, i), false);
		if (w != NULL)
			set_row(w, NULL, rig.ver);
	}
	pthread_cond_broadcast(&rig.changed);
	pthread_mutex_unlock(&rig.lock);
	json_decref(all);
	if (hold)
		json_decref(current);
	return store_answer(fd, hold ? 200 : 412,
	    hold ? json_object() : json_pack("{s:o}", "rows", current));
}

static int
hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	return (c | 32) - 'a' + 10;
}

/* Copies a parameter of the query, decoded; empty if absent. */
static void
parameter(const struct rig_request *q, const char *name, char *out, size_t size)
{
	const char *p = strchr(q->path, '?');
	size_t n = strlen(name), k = 0;

	*out = '\0';
	while (p != NULL && !(strncmp(p + 1, name, n) == 0 && p[n + 1] == '='))
		p = strchr(p + 1, '&');
	if (p == NULL)
		return;
	for (p += n + 2; *p != '\0' && *p != '&' && k + 1 < size; p++)
		if (*p == '%' && p[1] != '\0' && p[2] != '\0') {
			out[k++] =
			    (char)(hex_digit(p[1]) * 16 + hex_digit(p[2]));
			p += 2;
		} else {
			out[k++] = *p;
		}
	out[k] = '\0';
}

static int
by_key(const void *a, const void *b)
{
	const struct row *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static int
by_ver(const void *a, const void *b)
{
	const struct row *const *x = a, *const *y = b;

	return ((*x)->ver > (*y)->ver) - ((*x)->ver < (*y)->ver);
}

static bool
store_read(int fd, const struct rig_request *q)
{
	char table[256], part[256], from[256], to[256], limit[32];
	struct row **found, *w;
	json_t *rows = json_array();
	size_t i, n = 0, most;

	parameter(q, "table", table, sizeof(table));
	parameter(q, "part", part, sizeof(part));
	parameter(q, "from", from, sizeof(from));
	parameter(q, "to", to, sizeof(to));
	parameter(q, "limit", limit, sizeof(limit));
	most = *limit != '\0' ? (size_t)atol(limit) : FEED_ROWS_MAX;
	pthread_mutex_lock(&rig.lock);
	found = calloc(rig.nrows + 1, sizeof(*found));
	for (i = 0; i < rig.nrows; i++) {
		w = &rig.rows[i];
		if (!w->removed && strcmp(w->table, table) == 0 &&
		    strcmp(w->part, part) == 0 && strcmp(w->key, from) >= 0 &&
		    (*to == '\0' || strcmp(w->key, to) < 0))
			found[n++] = w;
	}
	qsort(found, n, sizeof(*found), by_key);
	for (i = 0; i < n && i < most; i++)
		(void)json_array_append_new(rows, row_to_json(found[i]));
	pthread_mutex_unlock(&rig.lock);
	free(found);
	return store_answer(fd, 200,
	    json_pack("{s:o,s:b}", "rows", rows, "truncated", n > most));
}

/* Called with the lock held. */
static json_t *
changes_after(const char *table, uint64_t after)
{
	struct row **found = calloc(rig.nrows + 1, sizeof(*found));
	json_t *rows = json_array();
	size_t i, n = 0;

	for (i = 0; i < rig.nrows; i++)
		if (rig.rows[i].ver > after &&
		    strcmp(rig.rows[i].table, table) == 0)
			found[n++] = &rig.rows[i];
	qsort(found, n, sizeof(*found), by_ver);
	for (i = 0; i < n; i++)
		(void)json_array_append_new(rows, row_to_json(found[i]));
	free(found);
	return rows;
}

static bool
store_feed(int fd, const struct rig_request *q)
{
	char table[256], after[32], wait[32];
	struct timespec until;
	json_t *rows;
	int rc = 0;

	parameter(q, "table", table, sizeof(table));
	parameter(q, "after", after, sizeof(after));
	parameter(q, "wait_ms", wait, sizeof(wait));
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += atol(wait) / 1000;
	until.tv_nsec += atol(wait) % 1000 * 1000000;
	until.tv_sec += until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	pthread_mutex_lock(&rig.lock);
	rows = changes_after(table, strtoull(after, NULL, 10));
	while (json_array_size(rows) == 0 && rc == 0) {
		rc = pthread_cond_timedwait(&rig.changed, &rig.lock, &until);
		json_decref(rows);
		rows = changes_after(table, strtoull(after, NULL, 10));
	}
	pthread_mutex_unlock(&rig.lock);
	return store_answer(fd, 200, json_pack("{s:o}", "rows", rows));
}

static bool
on_store_request(void *arg __attribute__((unused)), int fd,
    struct rig_request *q)
{
	size_t n = strcspn(q->path, "?");

	(void)usleep(STORE_ANSWER_US);
	if (strncmp(q->path, "/rows-tx", n) == 0)
		return store_write(fd, q);
	if (strncmp(q->path, "/rows-get", n) == 0)
		return store_read(fd, q);
	if (strncmp(q->path, "/rows-feed", n) == 0)
		return store_feed(fd, q);
	return store_answer(fd, 404, json_object());
}

void
rig_store_start(void)
{
	(void)server_start(rig.store_addr, sizeof(rig.store_addr),
	    on_store_request, NULL);
}

/* Engines. */

static void
publish(struct rig_engine *e)
{
	char text[512];

	(void)snprintf(text, sizeof(text),
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
	    "\"version\":\"v%d\",\"slots\":%d,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"phase\":\"both\",\"models\":[{\"name\":"
	    "\"m\",\"version\":%d,\"adapters\":[]}],\"sequence\":%u,"
	    "\"born\":%lld}",
	    e->service, e->addr, e->zone, e->weights, e->slots,
	    e->draining ? "draining" : "ready", e->weights, e->sequence++,
	    (long long)e->born);
	rig_store_put("servers", e->id, text);
}

static void *
send_beats(void *arg)
{
	struct rig_engine *e = arg;
	unsigned lifetime = e->lifetime;

	while (!__atomic_load_n(&e->gone, __ATOMIC_ACQUIRE) &&
	       __atomic_load_n(&e->lifetime, __ATOMIC_ACQUIRE) == lifetime) {
		publish(e);
		rig_sleep(RIG_BEAT_MS);
	}
	return NULL;
}

static bool
refuse(int fd, const struct rig_engine *e, const struct rig_request *q,
    int status)
{
	rig_note("engine %s (weights %d): %s not run, %d", e->id, e->weights,
	    rig_find(q, "Request-Id"), status);
	return rig_answer(fd, e, q, status, "Not-Executed: 1\r\n", "");
}

static bool
on_engine_request(void *arg, int fd, struct rig_request *q)
{
	struct rig_engine *e = arg;
	const char *id = rig_find(q, "Request-Id");
	const char *instance = rig_find(q, "Expect-Instance");
	const char *weights = rig_find(q, "Expect-Version");
	unsigned lifetime;
	bool full, kept;

	if (id == NULL)
		return rig_answer(fd, e, q, 400, "Not-Executed: 1\r\n", "");
	if (instance != NULL && strcmp(instance, e->id) != 0)
		return refuse(fd, e, q, 421);
	if (weights != NULL && atoi(weights) != e->weights)
		return refuse(fd, e, q, 421);
	pthread_mutex_lock(&rig.lock);
	full = e->running >= e->slots;
	if (!full) {
		e->running++;
		e->requests++;
	}
	pthread_mutex_unlock(&rig.lock);
	if (full)
		return refuse(fd, e, q, 503);
	lifetime = e->lifetime;
	kept = e->run(e, fd, q);
	pthread_mutex_lock(&rig.lock);
	if (e->lifetime == lifetime)
		e->running--;
	pthread_mutex_unlock(&rig.lock);
	return kept;
}

void
rig_engine_start(struct rig_engine *e)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	e->born = (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
	e->server =
	    server_start(e->addr, sizeof(e->addr), on_engine_request, e);
	e->running = 0;
	publish(e);
	start_thread(send_beats, e);
	rig_note("engine %s of %s starts, weights %d", e->id, e->service,
	    e->weights);
}

void
rig_engine_drain(struct rig_engine *e)
{
	e->draining = true;
	publish(e);
	rig_note("engine %s reports draining", e->id);
}

void
rig_engine_remove(struct rig_engine *e)
{
	__atomic_store_n(&e->gone, true, __ATOMIC_RELEASE);
	rig_store_remove("servers", e->id);
	rig_note("engine %s has left", e->id);
}

struct restart {
	struct rig_engine *e;
	long after_ms;
};

static void *
restart_engine(void *arg)
{
	struct restart *r = arg;

	rig_sleep(r->after_ms);
	r->e->sequence = 0;
	rig_engine_start(r->e);
	free(r);
	return NULL;
}

void
rig_engine_crash(struct rig_engine *e, long down_ms)
{
	struct restart *r = calloc(1, sizeof(*r));

	if (r == NULL)
		abort();
	rig_note("engine %s crashes", e->id);
	__atomic_add_fetch(&e->lifetime, 1, __ATOMIC_RELEASE);
	server_end(e->server);
	r->e = e;
	r->after_ms = down_ms;
	start_thread(restart_engine, r);
}

bool
rig_answer(int fd, const struct rig_engine *e, const struct rig_request *q,
    int status, const char *extra, const char *body)
{
	const char *id = rig_find(q, "Request-Id");
	char head[1024];
	int n;

	n = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d -\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n"
	    "Instance-Load: %d,0,%d\r\n%s%sContent-Length: %zu\r\n\r\n",
	    status, id != NULL ? id : "", e->id, e->running, e->slots,
	    status / 100 == 2 ? "Server-Signature: 5a2.1\r\n" : "", extra,
	    strlen(body));
	return rig_write(fd, head, (size_t)n) &&
	       rig_write(fd, body, strlen(body));
}

bool
rig_stream_begin(int fd, struct rig_engine *e, const struct rig_request *q)
{
	char head[1024];
	int n;

	n = snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: 5a2.2\r\n"
	    "Content-Type: text/event-stream\r\nWeight-Versions: %d\r\n"
	    "Instance-Load: %d,0,%d\r\nTransfer-Encoding: chunked\r\n\r\n",
	    rig_find(q, "Request-Id"), e->weights, e->running, e->slots);
	return rig_write(fd, head, (size_t)n);
}

bool
rig_stream_event(int fd, unsigned id, const char *data)
{
	char event[512], chunk[600];
	int n;

	n = snprintf(event, sizeof(event), "id: %u\ndata: %s\n\n", id, data);
	n = snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", (unsigned)n, event);
	return rig_write(fd, chunk, (size_t)n);
}

bool
rig_stream_end(int fd)
{
	return rig_write(fd, "0\r\n\r\n", 5);
}

/* Daemons. */

static void
free_address(char *addr, size_t size)
{
	*addr = '\0';
	(void)close(listen_on(addr, size));
}

void
rig_daemon_init(struct rig_daemon *d, const char *host, const char *zone)
{
	memset(d, 0, sizeof(*d));
	(void)snprintf(d->host, sizeof(d->host), "%s", host);
	d->zone = zone;
	free_address(d->callers, sizeof(d->callers));
	free_address(d->ready, sizeof(d->ready));
	free_address(d->directory, sizeof(d->directory));
	free_address(d->mesh, sizeof(d->mesh));
	free_address(d->metrics, sizeof(d->metrics));
	if (rig.ndaemons == DAEMONS_MAX)
		rig_cannot("too many daemons");
	rig.daemons[rig.ndaemons++] = d;
}

static void
write_settings(const struct rig_daemon *d, const char *path)
{
	FILE *f = fopen(path, "w");

	if (f == NULL)
		rig_cannot("cannot write %s", path);
	(void)fprintf(f,
	    "host: \"%s\"\ndomain: \"%s\"\nregion: \"region\"\n"
	    "caller_addr: \"%s\"\nready_addr: \"%s\"\ndirectory_addr: \"%s\"\n"
	    "mesh_addr: \"%s\"\nmetrics_addr: \"%s\"\nstore_addr: \"%s\"\n"
	    "stop_s: 8\naddress_ttl_ms: 1000\nconfig_fresh_ms: 2000\n"
	    "shed_priority: 2\nlog_level: info\n%s",
	    d->host, d->zone, d->callers, d->ready, d->directory, d->mesh,
	    d->metrics, rig.store_addr,
	    d->more_settings != NULL ? d->more_settings : "");
	(void)fclose(f);
}

static void
run_daemon(const char *settings, const char *log)
{
	char variable[200];
	char *env[] = {variable, "PATH=/usr/bin:/bin", "LANG=C", NULL};
	char *args[] = {DAEMON, NULL};

	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	(void)snprintf(
	    variable, sizeof(variable), "CARDAMOMUSHER_NODE_FILE=%s", settings);
	if (freopen(log, "w", stdout) == NULL ||
	    dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
		_exit(126);
	(void)execve(DAEMON, args, env);
	_exit(127);
}

void
rig_daemon_start(struct rig_daemon *d)
{
	char settings[128], log[128];

	d->starts++;
	(void)snprintf(
	    settings, sizeof(settings), "%s/%s.yaml", rig.folder, d->host);
	(void)snprintf(
	    log, sizeof(log), "%s/%s.%u.log", rig.folder, d->host, d->starts);
	write_settings(d, settings);
	d->pid = fork();
	if (d->pid < 0)
		rig_cannot("cannot fork");
	if (d->pid == 0)
		run_daemon(settings, log);
	rig_note("daemon %s starts (%s)", d->host, d->callers);
}

void
rig_daemon_kill(struct rig_daemon *d)
{
	int status = 0;

	if (waitpid(d->pid, &status, WNOHANG) == d->pid) {
		rig_note("daemon %s had ended by itself, status %x", d->host,
		    (unsigned)status);
	} else {
		(void)kill(d->pid, SIGKILL);
		(void)waitpid(d->pid, &status, 0);
		rig_note("daemon %s is killed", d->host);
	}
	d->pid = 0;
}

void
rig_daemon_freeze(struct rig_daemon *d)
{
	(void)kill(d->pid, SIGSTOP);
	rig_note("daemon %s freezes", d->host);
}

void
rig_daemon_wake(struct rig_daemon *d)
{
	(void)kill(d->pid, SIGCONT);
	rig_note("daemon %s wakes", d->host);
}

long
rig_daemon_cpu(const struct rig_daemon *d)
{
	unsigned long user = 0, kernel = 0;
	char path[64];
	FILE *f;

	(void)snprintf(path, sizeof(path), "/proc/%d/stat", (int)d->pid);
	f = fopen(path, "r");
	if (f == NULL)
		return 0;
	if (fscanf(f, "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu "
		      "%lu",
		&user, &kernel) != 2)
		user = kernel = 0;
	(void)fclose(f);
	return (long)(user + kernel) * 1000 / sysconf(_SC_CLK_TCK);
}

void
rig_daemon_wait(struct rig_daemon *d, long limit_ms)
{
	long until = rig_now() + limit_ms;
	struct rig_answer a;
	int status;

	do {
		rig_call(d->ready, "GET", "/readyz", "", NULL, 1000, &a);
		status = a.status;
		rig_answer_free(&a);
		if (status == 200)
			return;
		rig_sleep(50);
	} while (rig_now() < until);
	rig_cannot("daemon %s is not ready", d->host);
}

bool
rig_resolve(const struct rig_daemon *d, char *addr, size_t size)
{
	struct rig_answer a;
	char path[256];
	json_t *j;
	const char *first;

	(void)snprintf(path, sizeof(path),
	    "/resolve?name=chat.example&region=region&zone=%s", d->zone);
	rig_call(d->directory, "GET", path, "", NULL, 1000, &a);
	j = a.body != NULL ? json_loads(a.body, 0, NULL) : NULL;
	first = json_string_value(
	    json_array_get(json_object_get(j, "addresses"), 0));
	*addr = '\0';
	if (first != NULL)
		(void)snprintf(addr, size, "%s", first);
	json_decref(j);
	rig_answer_free(&a);
	return *addr != '\0';
}

/* Clients. */

/* Takes the complete events at the start of the body. */
static void
parse_events(struct rig_answer *a, size_t *parsed)
{
	char *p, *end, *id, *data;
	size_t n;

	while (*parsed < a->len &&
	       (end = strstr(a->body + *parsed, "\n\n")) != NULL &&
	       a->nevents < RIG_EVENTS) {
		p = a->body + *parsed;
		*end = '\0';
		id = strstr(p, "id: ");
		data = strstr(p, "data: ");
		if (id != NULL) {
			n = strcspn(id + 4, "\n");
			(void)snprintf(a->event_id[a->nevents],
			    sizeof(a->event_id[0]), "%.*s", (int)n, id + 4);
		}
		if (data != NULL) {
			n = strcspn(data + 6, "\n");
			(void)snprintf(a->event[a->nevents],
			    sizeof(a->event[0]), "%.*s", (int)n, data + 6);
		}
		*end = '\n';
		a->nevents++;
		*parsed = (size_t)(end - a->body) + 2;
	}
}

/* Reads one chunk; false if the channel ends before it does. */
static bool
read_chunk(struct reader *r, struct rig_answer *a, bool *last)
{
	char *p, *none = NULL;
	size_t n, ignored = 0;
	bool ok;

	while ((p = memmem(r->data, r->len, "\r\n", 2)) == NULL)
		if (!read_more(r))
			return false;
	n = strtoul(r->data, NULL, 16);
	take(r, (size_t)(p - r->data) + 2);
	*last = n == 0;
	ok = read_exactly(r, n, &a->body, &a->len) &&
	     read_exactly(r, 2, &none, &ignored);
	free(none);
	return ok;
}

static void
read_chunks(struct reader *r, struct rig_answer *a,
    bool (*on_event)(void *arg, struct rig_answer *a), void *arg)
{
	size_t parsed = 0;
	unsigned before;
	bool last = false;

	while (!last) {
		if (!read_chunk(r, a, &last)) {
			a->broken = r->ended;
			return;
		}
		before = a->nevents;
		parse_events(a, &parsed);
		if (a->nevents > before && on_event != NULL &&
		    !on_event(arg, a))
			return;
	}
	a->complete = true;
}

static void
read_answer(struct reader *r, struct rig_answer *a,
    bool (*on_event)(void *arg, struct rig_answer *a), void *arg)
{
	const char *value;
	char *text;
	size_t n;

	while ((n = head_length(r)) == 0)
		if (!read_more(r)) {
			a->broken = r->ended;
			return;
		}
	text = strndup(r->data, n);
	take(r, n);
	a->status = atoi(text + strlen("HTTP/1.1 "));
	a->nheaders = parse_headers(
	    strstr(text, "\r\n") + 2, a->header, RIG_HEADERS);
	free(text);
	append(&a->body, &a->len, "", 0);
	value = rig_answer_header(a, "Content-Length");
	if (value != NULL) {
		a->complete =
		    read_exactly(r, (size_t)atol(value), &a->body, &a->len);
		a->broken = !a->complete && r->ended;
	} else {
		read_chunks(r, a, on_event, arg);
	}
}

void
rig_call_stream(const char *addr, const char *method, const char *path,
    const char *headers, const char *body, long limit_ms, struct rig_answer *a,
    bool (*on_event)(void *arg, struct rig_answer *a), void *arg)
{
	struct reader *r = calloc(1, sizeof(*r));
	char *head = NULL;
	char line[1024];
	size_t len = 0;
	int n;

	if (r == NULL)
		abort();
	memset(a, 0, sizeof(*a));
	r->fd = connect_to(addr, limit_ms);
	r->until = rig_now() + limit_ms;
	n = snprintf(line, sizeof(line), "%s %s HTTP/1.1\r\nHost: chat.example\r\n",
	    method, path);
	append(&head, &len, line, (size_t)n);
	append(&head, &len, headers, strlen(headers));
	if (body != NULL) {
		n = snprintf(line, sizeof(line), "Content-Length: %zu\r\n",
		    strlen(body));
		append(&head, &len, line, (size_t)n);
	}
	append(&head, &len, "\r\n", 2);
	if (r->fd >= 0 && rig_write(r->fd, head, len) &&
	    (body == NULL || rig_write(r->fd, body, strlen(body))))
		read_answer(r, a, on_event, arg);
	free(head);
	if (r->fd >= 0)
		(void)close(r->fd);
	free(r);
}

void
rig_call(const char *addr, const char *method, const char *path,
    const char *headers, const char *body, long limit_ms, struct rig_answer *a)
{
	rig_call_stream(
	    addr, method, path, headers, body, limit_ms, a, NULL, NULL);
}

const char *
rig_answer_header(const struct rig_answer *a, const char *name)
{
	return find_header(a->header, a->nheaders, name);
}

void
rig_answer_free(struct rig_answer *a)
{
	free(a->body);
	a->body = NULL;
}
