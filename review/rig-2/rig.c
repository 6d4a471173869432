/*
 * rig.c -- stand-ins for a small deployment (see rig.h).
 *
 * The store keeps to the limits of the platform: 1 MB and 100 entries a call,
 * one part unless told otherwise, rows of 64 KiB, 5 ms a transaction.  An
 * endpoint answers 421 to a request that expects another instance or other
 * weights, and 503 with Not-Executed when it is full.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

#define HOST "recipes.example"
#define STORE_CALL_MAX ((size_t)1000000)
#define STORE_ENTRIES_MAX 100
#define STORE_ROW_TEXT_MAX ((size_t)87384) /* base64 of 64 KiB */
#define STORE_TX_MS 5
#define STORE_READ_MS 4
#define STORE_ROWS_MAX 500
#define HEARTBEAT_MS 1200
#define READY_LIMIT_MS 20000
#define ENDPOINT_QUEUE 24
#define FIRST_PORT 10000
#define PORTS 20000
#define PROGRAM "target/cardamomusher"

static int64_t started_at;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char temp_dir[] = "/tmp/review-rig-XXXXXX";

static struct {
	pid_t pid;
	char host[32], conf[128];
	int caller, ready, directory, mesh, metrics;
} daemons[RIG_DAEMONS];
static int ndaemons;

/* Of a case */

static int64_t
clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
rig_now_ms(void)
{
	return clock_ms() - started_at;
}

void
rig_sleep_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	while (ms > 0 && nanosleep(&ts, &ts) != 0 && errno == EINTR)
		;
}

void
rig_sleep_until(int64_t ms)
{
	rig_sleep_ms(ms - rig_now_ms());
}

bool
rig_trouble(void)
{
	const char *s = getenv("TROUBLE");

	return s == NULL || strcmp(s, "0") != 0;
}

void
record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)rig_now_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static void
end_processes(void)
{
	char command_file[160];
	int i;

	for (i = 0; i < ndaemons; i++) {
		if (daemons[i].pid > 0) {
			kill(daemons[i].pid, SIGKILL);
			waitpid(daemons[i].pid, NULL, 0);
		}
		unlink(daemons[i].conf);
		snprintf(command_file, sizeof(command_file), "%s.log",
		    daemons[i].conf);
		if (getenv("KEEP_LOGS") == NULL)
			unlink(command_file);
	}
	if (getenv("KEEP_LOGS") == NULL)
		rmdir(temp_dir);
}

void
rig_exit(int status)
{
	static const char *const names[] = {
	    "the rule held", "the rule was broken", "the case could not run"};

	record("end: %s", names[status]);
	end_processes();
	printf("%s\n", names[status]);
	fflush(NULL);
	_exit(status);
}

void
rig_unable(const char *why)
{
	record("unable: %s", why);
	printf("%s\n", why);
	rig_exit(RIG_UNABLE);
}

void
rig_open(const char *record_path)
{
	started_at = clock_ms();
	signal(SIGPIPE, SIG_IGN);
	record_file = fopen(record_path, "w");
	if (record_file == NULL || sodium_init() < 0 ||
	    mkdtemp(temp_dir) == NULL) {
		fprintf(stderr, "cannot write %s\n", record_path);
		exit(RIG_UNABLE);
	}
	record("trouble: %s", rig_trouble() ? "yes" : "no");
}

/* Bytes that grow */

void
text_add(struct text *t, const void *data, size_t n)
{
	if (t->len + n + 1 > t->size) {
		t->size = 2 * (t->len + n + 1);
		t->p = realloc(t->p, t->size);
		if (t->p == NULL)
			abort();
	}
	if (n > 0)
		memcpy(t->p + t->len, data, n);
	t->len += n;
	t->p[t->len] = '\0';
}

void
text_printf(struct text *t, const char *fmt, ...)
{
	char buf[8192];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(buf, sizeof(buf), fmt, ap);
	va_end(ap);
	if (n < 0 || n >= (int)sizeof(buf))
		abort();
	text_add(t, buf, (size_t)n);
}

void
text_clear(struct text *t)
{
	free(t->p);
	memset(t, 0, sizeof(*t));
}

static void
text_consume(struct text *t, size_t n)
{
	memmove(t->p, t->p + n, t->len - n + 1);
	t->len -= n;
}

/* Sockets */

static int
listen_any(int *port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, 512) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0)
		rig_unable("no port");
	*port = ntohs(sin.sin_port);
	return fd;
}

/* A free port below those that the system gives to outgoing connections, so
 * that none is taken before its daemon listens.  Cases that run at the same time
 * begin at different ports. */
static int
free_port(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	static unsigned tried;
	unsigned port;
	int fd, rc;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	do {
		port = FIRST_PORT + ((unsigned)getpid() * 331 + tried++) % PORTS;
		sin.sin_port = htons((uint16_t)port);
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		rc = bind(fd, (struct sockaddr *)&sin, sizeof(sin));
		close(fd);
	} while (rc != 0 && tried < PORTS);
	return (int)port;
}

static void
no_delay(int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static bool
send_all(int fd, const void *data, size_t n)
{
	const char *p = data;
	ssize_t k;

	while (n > 0) {
		k = send(fd, p, n, MSG_NOSIGNAL);
		if (k < 0 && errno == EINTR)
			continue;
		if (k <= 0)
			return false;
		p += k;
		n -= (size_t)k;
	}
	return true;
}

/* Receives more bytes; false at the end, on an error or after the deadline of
 * clock_ms(); 0: none. */
static bool
receive(struct conn *c, int64_t deadline)
{
	struct pollfd p = {.fd = c->fd, .events = POLLIN};
	char buf[65536];
	int64_t left;
	ssize_t n;

	if (deadline != 0) {
		left = deadline - clock_ms();
		if (left <= 0 || poll(&p, 1, (int)left) <= 0)
			return false;
	}
	n = recv(c->fd, buf, sizeof(buf), 0);
	if (n <= 0)
		return false;
	text_add(&c->in, buf, (size_t)n);
	return true;
}

/* HTTP/1.1 */

const char *
msg_header(const struct msg *m, const char *name, char *buf, size_t size)
{
	size_t n = strlen(name), len;
	const char *p = m->headers, *end;

	for (; *p != '\0'; p = end + 2) {
		end = strstr(p, "\r\n");
		if (end == NULL)
			return NULL;
		if (strncasecmp(p, name, n) != 0 || p[n] != ':')
			continue;
		p += n + 1;
		while (*p == ' ')
			p++;
		len = (size_t)(end - p) < size ? (size_t)(end - p) : size - 1;
		memcpy(buf, p, len);
		buf[len] = '\0';
		return buf;
	}
	return NULL;
}

static bool
read_head(struct conn *c, struct msg *m, int64_t deadline)
{
	char *end, *line;
	size_t n;

	while (c->in.len == 0 || (end = strstr(c->in.p, "\r\n\r\n")) == NULL)
		if (!receive(c, deadline))
			return false;
	line = strstr(c->in.p, "\r\n");
	n = (size_t)(line - c->in.p);
	if (n >= sizeof(m->start))
		return false;
	memcpy(m->start, c->in.p, n);
	m->start[n] = '\0';
	n = (size_t)(end + 2 - (line + 2));
	if (n >= sizeof(m->headers))
		return false;
	memcpy(m->headers, line + 2, n);
	m->headers[n] = '\0';
	text_consume(&c->in, (size_t)(end + 4 - c->in.p));
	return true;
}

static bool
read_sized(struct conn *c, struct text *body, size_t n, int64_t deadline)
{
	while (c->in.len < n)
		if (!receive(c, deadline))
			return false;
	text_add(body, c->in.p, n);
	text_consume(&c->in, n);
	return true;
}

/* Reads a chunked body; body has what was received also on a failure. */
static bool
read_chunked(struct conn *c, struct text *body, int64_t deadline)
{
	char *end;
	size_t n;

	for (;;) {
		while (c->in.len == 0 || (end = strstr(c->in.p, "\r\n")) == NULL)
			if (!receive(c, deadline))
				return false;
		n = strtoul(c->in.p, NULL, 16);
		text_consume(&c->in, (size_t)(end + 2 - c->in.p));
		if (!read_sized(c, body, n, deadline))
			return false;
		while (c->in.len < 2)
			if (!receive(c, deadline))
				return false;
		text_consume(&c->in, 2);
		if (n == 0)
			return true;
	}
}

static bool
read_request(struct conn *c, struct msg *m)
{
	char buf[32];

	memset(m, 0, sizeof(*m));
	if (!read_head(c, m, 0))
		return false;
	if (msg_header(m, "Content-Length", buf, sizeof(buf)) != NULL)
		return read_sized(c, &m->body, strtoul(buf, NULL, 10), 0);
	text_add(&m->body, "", 0);
	return true;
}

static bool
respond(struct conn *c, int status, const char *headers, const char *body)
{
	struct text t = {0};
	bool ok;

	text_printf(&t, "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status,
	    headers, strlen(body));
	text_add(&t, body, strlen(body));
	ok = send_all(c->fd, t.p, t.len);
	text_clear(&t);
	return ok;
}

/* Servers: a thread a connection */

struct server {
	int fd;
	void (*serve)(struct conn *c, void *arg);
	void *arg;
};

struct served {
	struct server *s;
	struct conn c;
};

static void
thread_start(void *(*fn)(void *), void *arg)
{
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&a, 1 << 20);
	if (pthread_create(&t, &a, fn, arg) != 0)
		rig_unable("no thread");
	pthread_attr_destroy(&a);
}

static void *
serve_connection(void *arg)
{
	struct served *v = arg;

	v->s->serve(&v->c, v->s->arg);
	close(v->c.fd);
	text_clear(&v->c.in);
	free(v);
	return NULL;
}

static void *
accept_connections(void *arg)
{
	struct server *s = arg;
	struct served *v;
	int fd;

	for (;;) {
		fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		no_delay(fd);
		v = calloc(1, sizeof(*v));
		v->s = s;
		v->c.fd = fd;
		thread_start(serve_connection, v);
	}
	return NULL;
}

static int
server_open(void (*serve)(struct conn *, void *), void *arg)
{
	struct server *s = calloc(1, sizeof(*s));
	int port;

	s->fd = listen_any(&port);
	s->serve = serve;
	s->arg = arg;
	thread_start(accept_connections, s);
	return port;
}

/* The store */

struct row {
	char *table, *part, *key, *value; /* value in base64; NULL: removed */
	int64_t ver;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct row *rows;
	size_t n, size;
	int64_t ver;
	int port;
} store = {PTHREAD_MUTEX_INITIALIZER, PTHREAD_COND_INITIALIZER, NULL, 0, 0, 0,
    0};

static struct row *
find_row(const char *table, const char *part, const char *key)
{
	struct row *r;

	for (r = store.rows; r < store.rows + store.n; r++)
		if (strcmp(r->key, key) == 0 && strcmp(r->part, part) == 0 &&
		    strcmp(r->table, table) == 0)
			return r;
	return NULL;
}

static void
set_row(const char *table, const char *part, const char *key, const char *value)
{
	struct row *r = find_row(table, part, key);

	if (r == NULL) {
		if (store.n == store.size) {
			store.size = store.size > 0 ? 2 * store.size : 256;
			store.rows = realloc(
			    store.rows, store.size * sizeof(struct row));
		}
		r = &store.rows[store.n++];
		r->table = strdup(table);
		r->part = strdup(part);
		r->key = strdup(key);
		r->value = NULL;
	}
	free(r->value);
	r->value = value != NULL ? strdup(value) : NULL;
	r->ver = store.ver;
}

void
store_put(const char *table, const char *key, const char *json)
{
	size_t n = strlen(json),
	       size = sodium_base64_ENCODED_LEN(
		   n, sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(size);

	sodium_bin2base64(text, size, (const unsigned char *)json, n,
	    sodium_base64_VARIANT_ORIGINAL);
	pthread_mutex_lock(&store.lock);
	store.ver++;
	set_row(table, "", key, text);
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
	free(text);
}

void
store_remove(const char *table, const char *key)
{
	pthread_mutex_lock(&store.lock);
	store.ver++;
	set_row(table, "", key, NULL);
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

static const char *
text_of(json_t *j, const char *field)
{
	const char *s = json_string_value(json_object_get(j, field));

	return s != NULL ? s : "";
}

static json_t *
row_json(const struct row *r)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
	    r->part, "key", r->key, "ver", (json_int_t)r->ver);

	if (r->value != NULL)
		json_object_set_new(j, "value", json_string(r->value));
	else
		json_object_set_new(j, "tombstone", json_true());
	return j;
}

/* Answers with rows; takes the reference. */
static void
respond_rows(struct conn *c, int status, json_t *rows, bool truncated)
{
	json_t *j;
	char *text;

	pthread_mutex_lock(&store.lock);
	j = json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "truncated",
	    (int)truncated, "ver", (json_int_t)store.ver, "now_ms",
	    (json_int_t)rig_now_ms());
	pthread_mutex_unlock(&store.lock);
	text = json_dumps(j, JSON_COMPACT);
	respond(c, status, "Content-Type: application/json\r\n", text);
	free(text);
	json_decref(j);
}

/* The status that a transaction gets for its form; 0: well-formed. */
static int
check_tx(json_t *tx, size_t len)
{
	static const char *const lists[] = {"expected", "put", "remove"};
	const char *part = NULL, *table;
	json_t *list, *e;
	size_t i, k, n = 0;

	if (len > STORE_CALL_MAX)
		return 413;
	for (i = 0; i < 3; i++) {
		list = json_object_get(tx, lists[i]);
		json_array_foreach (list, k, e) {
			n++;
			table = text_of(e, "table");
			if (i > 0 && (strcmp(table, "op") == 0 ||
					 strcmp(table, "servers") == 0))
				return 403;
			if (part != NULL && strcmp(part, text_of(e, "part")))
				return 400;
			part = text_of(e, "part");
			if (strlen(text_of(e, "key")) > 200 ||
			    strlen(text_of(e, "value")) > STORE_ROW_TEXT_MAX)
				return 400;
		}
	}
	return n > STORE_ENTRIES_MAX ? 400 : 0;
}

static void
store_tx(struct conn *c, const struct msg *m)
{
	json_t *tx = json_loadb(m->body.p, m->body.len, 0, NULL);
	json_t *list, *e, *current = json_array();
	int status = tx != NULL ? check_tx(tx, m->body.len) : 400;
	struct row *r;
	size_t k;

	rig_sleep_ms(STORE_TX_MS);
	if (status != 0) {
		record("store: refuses a call of %zu bytes with %d",
		    m->body.len, status);
		respond(c, status, "", "{}");
		json_decref(current);
		json_decref(tx);
		return;
	}
	pthread_mutex_lock(&store.lock);
	list = json_object_get(tx, "expected");
	status = 200;
	json_array_foreach (list, k, e) {
		r = find_row(text_of(e, "table"), text_of(e, "part"),
		    text_of(e, "key"));
		if ((r != NULL && r->value != NULL ? r->ver : 0) !=
		    json_integer_value(json_object_get(e, "ver")))
			status = 412;
		if (r != NULL && r->value != NULL)
			json_array_append_new(current, row_json(r));
	}
	if (status == 200) {
		store.ver++;
		list = json_object_get(tx, "put");
		json_array_foreach (list, k, e)
			set_row(text_of(e, "table"), text_of(e, "part"),
			    text_of(e, "key"), text_of(e, "value"));
		list = json_object_get(tx, "remove");
		json_array_foreach (list, k, e)
			set_row(text_of(e, "table"), text_of(e, "part"),
			    text_of(e, "key"), NULL);
		json_array_clear(current);
		pthread_cond_broadcast(&store.changed);
	}
	pthread_mutex_unlock(&store.lock);
	respond_rows(c, status, current, false);
	json_decref(tx);
}

static void
query(const char *start, const char *name, char *buf, size_t size)
{
	size_t n = strlen(name), len = 0;
	const char *p = strchr(start, '?');
	unsigned code;

	buf[0] = '\0';
	for (; p != NULL; p = strpbrk(p, "& ")) {
		if (*p == ' ')
			return;
		p++;
		if (strncmp(p, name, n) != 0 || p[n] != '=')
			continue;
		for (p += n + 1; *p != '&' && *p != ' ' && len + 1 < size;
		     p++) {
			if (*p == '%' && sscanf(p + 1, "%2x", &code) == 1) {
				buf[len++] = (char)code;
				p += 2;
			} else {
				buf[len++] = *p;
			}
		}
		buf[len] = '\0';
		return;
	}
}

static int
compare_keys(const void *a, const void *b)
{
	return strcmp((*(struct row *const *)a)->key,
	    (*(struct row *const *)b)->key);
}

static void
store_get(struct conn *c, const struct msg *m)
{
	char table[256], part[256], from[256], to[256], limit[16];
	struct row **found;
	size_t n = 0, i, most, bytes = 0;
	json_t *rows = json_array();
	struct row *r;
	bool truncated = false;

	query(m->start, "table", table, sizeof(table));
	query(m->start, "part", part, sizeof(part));
	query(m->start, "from", from, sizeof(from));
	query(m->start, "to", to, sizeof(to));
	query(m->start, "limit", limit, sizeof(limit));
	most = *limit != '\0' ? strtoul(limit, NULL, 10) : STORE_ROWS_MAX;
	rig_sleep_ms(STORE_READ_MS);
	pthread_mutex_lock(&store.lock);
	found = calloc(store.n + 1, sizeof(*found));
	for (r = store.rows; r < store.rows + store.n; r++)
		if (r->value != NULL && strcmp(r->table, table) == 0 &&
		    strcmp(r->part, part) == 0 && strcmp(r->key, from) >= 0 &&
		    (*to == '\0' || strcmp(r->key, to) < 0))
			found[n++] = r;
	qsort(found, n, sizeof(*found), compare_keys);
	for (i = 0; i < n && !truncated; i++) {
		bytes += strlen(found[i]->value);
		if (i == most || (i > 0 && bytes > STORE_CALL_MAX))
			truncated = true;
		else
			json_array_append_new(rows, row_json(found[i]));
	}
	free(found);
	pthread_mutex_unlock(&store.lock);
	respond_rows(c, 200, rows, truncated);
}

static int
compare_versions(const void *a, const void *b)
{
	int64_t x = (*(struct row *const *)a)->ver,
		y = (*(struct row *const *)b)->ver;

	return x < y ? -1 : x > y;
}

static size_t
changed_rows(const char *table, int64_t after, struct row **found)
{
	struct row *r;
	size_t n = 0;

	for (r = store.rows; r < store.rows + store.n; r++)
		if (r->ver > after && strcmp(r->table, table) == 0)
			found[n++] = r;
	qsort(found, n, sizeof(*found), compare_versions);
	return n;
}

static void
store_feed(struct conn *c, const struct msg *m)
{
	char table[256], after[32], wait_ms[16];
	struct timespec until;
	struct row **found;
	json_t *rows = json_array();
	size_t n, i;
	long wait;

	query(m->start, "table", table, sizeof(table));
	query(m->start, "after", after, sizeof(after));
	query(m->start, "wait_ms", wait_ms, sizeof(wait_ms));
	wait = strtol(wait_ms, NULL, 10);
	rig_sleep_ms(STORE_READ_MS);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait / 1000;
	until.tv_nsec += wait % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&store.lock);
	for (;;) {
		found = calloc(store.n + 1, sizeof(*found));
		n = changed_rows(table, strtoll(after, NULL, 10), found);
		if (n > 0 || wait <= 0 ||
		    pthread_cond_timedwait(
			&store.changed, &store.lock, &until) != 0)
			break;
		free(found);
	}
	for (i = 0; i < n; i++)
		json_array_append_new(rows, row_json(found[i]));
	free(found);
	pthread_mutex_unlock(&store.lock);
	respond_rows(c, 200, rows, false);
}

static void
serve_store(struct conn *c, void *arg __attribute__((unused)))
{
	struct msg m;

	while (read_request(c, &m)) {
		if (strncmp(m.start, "POST /rows-tx", 13) == 0)
			store_tx(c, &m);
		else if (strncmp(m.start, "GET /rows-get?", 14) == 0)
			store_get(c, &m);
		else if (strncmp(m.start, "GET /rows-feed?", 15) == 0)
			store_feed(c, &m);
		else
			respond(c, 404, "", "{}");
		text_clear(&m.body);
	}
	text_clear(&m.body);
}

void
store_open(void)
{
	store.port = server_open(serve_store, NULL);
}

/* Endpoints */

static pthread_mutex_t endpoint_lock = PTHREAD_MUTEX_INITIALIZER;
static struct endpoint *endpoints[RIG_ENDPOINTS];
static int nendpoints;

uint32_t
body_hash(const void *p, size_t len)
{
	const unsigned char *b = p;
	uint32_t h = 2166136261U;

	while (len-- > 0)
		h = (h ^ *b++) * 16777619U;
	return h;
}

void
event_text(struct text *t, uint32_t hash, int n)
{
	text_printf(t, "words %d of %08x\n", n, (unsigned)hash);
}

static void
put_entry(struct endpoint *e)
{
	struct text t = {0};

	e->sequence++;
	text_printf(&t,
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"born\":%lld,\"sequence\":%lld}",
	    e->service, e->port, e->zone, e->slots,
	    e->leaving ? "draining" : "ready", (long long)e->born,
	    (long long)e->sequence);
	store_put("servers", e->id, t.p);
	text_clear(&t);
}

static void *
send_heartbeats(void *arg)
{
	int i;

	for (;;) {
		rig_sleep_ms(HEARTBEAT_MS);
		pthread_mutex_lock(&endpoint_lock);
		for (i = 0; i < nendpoints; i++)
			put_entry(endpoints[i]);
		pthread_mutex_unlock(&endpoint_lock);
	}
	return arg;
}

static void
answer_headers(const struct arrival *a, struct text *t)
{
	text_printf(t, "Request-Id: %s\r\nKeep-Alive: timeout=5\r\n", a->id);
	text_printf(t, "Instance-Load: %d,0,%d\r\n", a->e->running,
	    a->e->slots);
}

void
arrival_refuse(struct arrival *a, int status, const char *reason)
{
	struct text t = {0};

	record("%s: refuses %s with %d: %s", a->e->id, a->id, status, reason);
	answer_headers(a, &t);
	if (status != 421)
		text_printf(&t, "Not-Executed: 1\r\n");
	else
		text_printf(&t, "Instance-Id: %s\r\n", a->e->id);
	respond(a->c, status, t.p, "");
	text_clear(&t);
}

static bool
send_chunk(struct conn *c, const char *p, size_t n)
{
	struct text t = {0};
	bool ok;

	text_printf(&t, "%zx\r\n", n);
	text_add(&t, p, n);
	text_add(&t, "\r\n", 2);
	ok = send_all(c->fd, t.p, t.len);
	text_clear(&t);
	return ok;
}

static void
reset_connection(struct conn *c)
{
	struct linger l = {1, 0};

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

void
arrival_lose(struct arrival *a)
{
	record("%s: has run %s and loses the answer", a->e->id, a->id);
	reset_connection(a->c);
	a->broken = true;
}

/* Whether the other side has closed the connection. */
static bool
caller_left(struct conn *c)
{
	char b;

	return recv(c->fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void
arrival_stream(struct arrival *a, int events, int pause_ms, int break_after)
{
	struct text t = {0};
	int n;

	text_printf(&t, "HTTP/1.1 200 OK\r\n");
	answer_headers(a, &t);
	text_printf(&t,
	    "Server-Signature: %08x\r\nWeight-Versions: %d\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    (unsigned)a->hash, a->e->weights);
	if (!send_all(a->c->fd, t.p, t.len))
		a->broken = true;
	for (n = a->last_event + 1; n <= events && !a->broken; n++) {
		rig_sleep_ms(pause_ms);
		t.len = 0;
		text_printf(&t, "id: %d\ndata: ", n);
		event_text(&t, a->hash, n);
		text_printf(&t, "\n");
		if (break_after > 0 && n > break_after) {
			send_chunk(a->c, t.p, 6);
			record("%s: breaks %s off after event %d", a->e->id,
			    a->id, n - 1);
			reset_connection(a->c);
			a->broken = true;
		} else if (caller_left(a->c) ||
			   !send_chunk(a->c, t.p, t.len)) {
			record("%s: %s has left", a->e->id, a->id);
			a->broken = true;
		}
	}
	if (!a->broken && !send_all(a->c->fd, "0\r\n\r\n", 5))
		a->broken = true;
	text_clear(&t);
}

static bool
admit(struct endpoint *e)
{
	bool ok;

	pthread_mutex_lock(&endpoint_lock);
	ok = e->running < e->slots + ENDPOINT_QUEUE;
	e->running += ok;
	pthread_mutex_unlock(&endpoint_lock);
	return ok;
}

static void
serve_request(struct arrival *a, const struct msg *m)
{
	struct endpoint *e = a->e;
	char buf[128];

	if (msg_header(m, "Expect-Instance", buf, sizeof(buf)) != NULL &&
	    strcmp(buf, e->id) != 0) {
		arrival_refuse(a, 421, "another instance");
		return;
	}
	if (msg_header(m, "Expect-Version", buf, sizeof(buf)) != NULL &&
	    atoi(buf) != e->weights) {
		arrival_refuse(a, 421, "other weights");
		return;
	}
	if (!admit(e)) {
		arrival_refuse(a, 503, "full");
		return;
	}
	e->run(a);
	pthread_mutex_lock(&endpoint_lock);
	e->running--;
	pthread_mutex_unlock(&endpoint_lock);
}

static void
serve_endpoint(struct conn *c, void *arg)
{
	struct arrival a = {.e = arg, .c = c};
	char buf[32];
	struct msg m;

	while (!a.broken && read_request(c, &m)) {
		a.m = &m;
		a.id[0] = '\0';
		(void)msg_header(&m, "Request-Id", a.id, sizeof(a.id));
		a.last_event =
		    msg_header(&m, "Last-Event-Id", buf, sizeof(buf)) != NULL
			? atoi(buf)
			: 0;
		a.hash = body_hash(m.body.p, m.body.len);
		a.path[0] = '\0';
		(void)sscanf(m.start, "%*s %255s", a.path);
		serve_request(&a, &m);
		text_clear(&m.body);
	}
	text_clear(&m.body);
}

struct endpoint *
endpoint_open(const char *id, const char *service, const char *zone,
    void (*run)(struct arrival *a))
{
	struct endpoint *e = calloc(1, sizeof(*e));

	snprintf(e->id, sizeof(e->id), "%s", id);
	snprintf(e->service, sizeof(e->service), "%s", service);
	snprintf(e->zone, sizeof(e->zone), "%s", zone);
	e->slots = 8;
	e->weights = 1;
	e->run = run;
	e->born = (int64_t)time(NULL) * 1000;
	e->port = server_open(serve_endpoint, e);
	pthread_mutex_lock(&endpoint_lock);
	if (nendpoints == 0)
		thread_start(send_heartbeats, NULL);
	endpoints[nendpoints++] = e;
	put_entry(e);
	pthread_mutex_unlock(&endpoint_lock);
	return e;
}

void
endpoint_leave(struct endpoint *e)
{
	pthread_mutex_lock(&endpoint_lock);
	e->leaving = true;
	put_entry(e);
	pthread_mutex_unlock(&endpoint_lock);
	record("%s: the store has its state as draining", e->id);
}

/* Daemons */

static const char *const zones[] = {"duluth", "milwaukee", "toledo"};

static void
write_settings(int i)
{
	FILE *f;

	snprintf(daemons[i].host, sizeof(daemons[i].host), "edge-%s-%d",
	    zones[i % 3], i / 3 + 1);
	snprintf(daemons[i].conf, sizeof(daemons[i].conf), "%s/%s.yaml",
	    temp_dir, daemons[i].host);
	daemons[i].caller = free_port();
	daemons[i].ready = free_port();
	daemons[i].directory = free_port();
	daemons[i].mesh = free_port();
	daemons[i].metrics = free_port();
	f = fopen(daemons[i].conf, "w");
	if (f == NULL)
		rig_unable("cannot write settings");
	/* As deploy/settings.yaml.tmpl renders them. */
	fprintf(f,
	    "host: \"%s\"\ndomain: \"%s\"\nregion: \"great-lakes\"\n"
	    "caller_addr: \"127.0.0.1:%d\"\nready_addr: \"127.0.0.1:%d\"\n"
	    "directory_addr: \"127.0.0.1:%d\"\nmesh_addr: \"127.0.0.1:%d\"\n"
	    "metrics_addr: \"127.0.0.1:%d\"\nstore_addr: \"127.0.0.1:%d\"\n"
	    "stop_s: 8\naddress_ttl_ms: 1000\nconfig_fresh_ms: 2000\n"
	    "shed_priority: 2\nlog_level: info\n",
	    daemons[i].host, zones[i % 3], daemons[i].caller, daemons[i].ready,
	    daemons[i].directory, daemons[i].mesh, daemons[i].metrics,
	    store.port);
	fclose(f);
}

static void
start_daemon(int i)
{
	static char program[] = PROGRAM;
	char *argv[] = {program, NULL}, log[160], variable[192];
	char *envp[] = {variable, NULL};
	int fd;

	snprintf(log, sizeof(log), "%s.log", daemons[i].conf);
	snprintf(variable, sizeof(variable), "CARDAMOMUSHER_NODE_FILE=%s",
	    daemons[i].conf);
	daemons[i].pid = fork();
	if (daemons[i].pid < 0)
		rig_unable("no process");
	if (daemons[i].pid == 0) {
		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		if (fd >= 0) {
			dup2(fd, 1);
			dup2(fd, 2);
		}
		execve(program, argv, envp);
		_exit(127);
	}
	record("%s: started", daemons[i].host);
}

int
daemon_port(int i)
{
	return daemons[i].caller;
}

static int
connect_to(int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd >= 0 && connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		close(fd);
		fd = -1;
	}
	if (fd >= 0)
		no_delay(fd);
	return fd;
}

bool
daemon_ready(int i)
{
	static const char ask[] = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
	struct conn c = {.fd = connect_to(daemons[i].ready)};
	struct msg m = {0};
	bool ready;

	if (c.fd < 0)
		return false;
	ready = send_all(c.fd, ask, strlen(ask)) &&
		read_head(&c, &m, clock_ms() + 1000) &&
		strstr(m.start, " 200") != NULL;
	caller_close(&c);
	return ready;
}

void
daemons_open(int n)
{
	int i;

	if (access(PROGRAM, X_OK) != 0)
		rig_unable(PROGRAM " is not built");
	for (i = 0; i < n; i++)
		write_settings(i);
	ndaemons = n;
	for (i = 0; i < n; i++)
		start_daemon(i);
	for (i = 0; i < n; i++)
		while (!daemon_ready(i)) {
			if (rig_now_ms() > READY_LIMIT_MS)
				rig_unable("a daemon is not ready");
			rig_sleep_ms(50);
		}
	rig_sleep_ms(2000); /* links between daemons */
	record("all daemons are ready");
}

void
daemon_kill(int i)
{
	kill(daemons[i].pid, SIGKILL);
	waitpid(daemons[i].pid, NULL, 0);
	daemons[i].pid = 0;
	record("%s: killed", daemons[i].host);
}

void
daemon_stop(int i)
{
	record("%s: SIGTERM", daemons[i].host);
	kill(daemons[i].pid, SIGTERM);
	waitpid(daemons[i].pid, NULL, 0);
	daemons[i].pid = 0;
	record("%s: has exited", daemons[i].host);
}

/* Callers */

void
caller_open(struct conn *c, int daemon)
{
	memset(c, 0, sizeof(*c));
	c->fd = connect_to(daemons[daemon].caller);
}

void
caller_close(struct conn *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	text_clear(&c->in);
}

static void
count_events(struct answer *a)
{
	const char *p = a->body.p, *end, *id;

	while (p != NULL && (end = strstr(p, "\n\n")) != NULL) {
		a->events++;
		id = strstr(p, "id: ");
		if (id != NULL && id < end)
			a->last_event = atoi(id + 4);
		p = end + 2;
	}
}

void
caller_run(struct conn *c, const char *id, const char *method, const char *path,
    const char *headers, const void *body, size_t len, int deadline_ms,
    int timeout_ms, struct answer *a)
{
	int64_t until = clock_ms() + timeout_ms;
	struct text t = {0};
	struct msg m = {0};
	char buf[64];

	memset(a, 0, sizeof(*a));
	text_printf(&t,
	    "%s %s HTTP/1.1\r\nHost: " HOST "\r\nRequest-Id: %s\r\n%s"
	    "Deadline-Ms: %d\r\n",
	    method, path, id, headers, deadline_ms);
	if (body != NULL)
		text_printf(&t, "Content-Length: %zu\r\n", len);
	text_add(&t, "\r\n", 2);
	text_add(&t, body, body != NULL ? len : 0);
	if (c->fd < 0 || !send_all(c->fd, t.p, t.len) ||
	    !read_head(c, &m, until))
		goto out;
	a->status = atoi(m.start + strlen("HTTP/1.1 "));
	if (msg_header(&m, "Content-Length", buf, sizeof(buf)) != NULL)
		a->whole = read_sized(
		    c, &a->body, strtoul(buf, NULL, 10), until);
	else
		a->whole = read_chunked(c, &a->body, until);
	count_events(a);
out:
	text_clear(&t);
}

void
answer_clear(struct answer *a)
{
	text_clear(&a->body);
}
