/*
 * case.c -- an order that crashes each engine that runs it comes again.
 *
 * Three daemons before nine engines: about twenty orders a second in all, and a
 * look-up every five seconds.  One caller sends the same order once a second, at
 * one daemon after the other.  With the disruption, each engine that begins to
 * run it crashes: its channels are reset, its port is closed, and it starts
 * again after some seconds with a new id.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../rig/rig.h"

#define DAEMONS 3
#define ENGINES 9
#define ORDER_CLIENTS 24
#define RUN_S 45.0
#define DOWN_S 3.6 /* three status report intervals: the old entry is gone */
#define CONTACT_S 3.0 /* contact_ms */
#define RETRIES_ALLOWED 3 /* of the rule */
#define CRASHES_COUNTED 3 /* retries count from this one */
#define WORK_S 0.104
#define LOOK_UP_PAUSE_S 5.0
#define CHANNELS 256

struct engine {
	int number;
	pthread_mutex_t lock;
	char name[24];
	char addr[RIG_ADDR];
	struct rig_server *server;
	_Atomic bool down;
	int fd[CHANNELS]; /* its channels */
	int nfd;
};

static const char *const zones[DAEMONS] = {"duluth", "milwaukee", "toledo"};
static struct rig_daemon daemons[DAEMONS];
static struct engine engines[ENGINES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int ncrashes, nlate, nstarts;
static double third_crash_at;
static _Atomic int nserved, nlost, nrefused, nkillers, nkillers_refused;
static _Atomic bool stop;
static bool trouble;

static bool on_engine(struct rig_req *r);

static void
start_engine(struct engine *e)
{
	char json[512];
	int n;

	pthread_mutex_lock(&lock);
	n = ++nstarts;
	pthread_mutex_unlock(&lock);
	(void)snprintf(e->name, sizeof(e->name), "i-%08x", 0x5a3c0000 + n);
	e->nfd = 0;
	e->down = false;
	e->server = rig_serve(e->addr, on_engine, e);
	(void)snprintf(json, sizeof(json),
	    "{\"service\":\"pantry\",\"address\":\"%s\",\"zone\":\"%s\","
	    "\"version\":\"1\",\"slots\":6,\"state\":\"ready\","
	    "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":%lld}",
	    e->addr, zones[e->number % DAEMONS], 1700000000000LL + n);
	rig_store_put("servers", e->name, json);
}

static void *
restart_engine(void *arg)
{
	struct engine *e = arg;

	rig_sleep(DOWN_S);
	rig_store_remove("servers", e->name);
	start_engine(e);
	return NULL;
}

static void
crash_engine(struct engine *e, const char *id)
{
	double now = rig_now();
	bool late;
	int i;

	pthread_mutex_lock(&e->lock);
	if (e->down) {
		pthread_mutex_unlock(&e->lock);
		return;
	}
	e->down = true;
	rig_server_close(e->server);
	for (i = 0; i < e->nfd; i++)
		rig_reset(e->fd[i]);
	pthread_mutex_unlock(&e->lock);
	pthread_mutex_lock(&lock);
	if (++ncrashes == CRASHES_COUNTED)
		third_crash_at = now;
	late = ncrashes > CRASHES_COUNTED && now > third_crash_at + CONTACT_S;
	nlate += late;
	rig_note("request %s crashes engine %s: the %d. crash%s", id, e->name,
	    ncrashes, late ? ", later than contact_ms after the third" : "");
	pthread_mutex_unlock(&lock);
	rig_thread(restart_engine, e);
}

static void
remember_channel(struct engine *e, int fd)
{
	int i;

	pthread_mutex_lock(&e->lock);
	for (i = 0; i < e->nfd && e->fd[i] != fd; i++)
		;
	if (i == e->nfd && e->nfd < CHANNELS)
		e->fd[e->nfd++] = fd;
	pthread_mutex_unlock(&e->lock);
}

static bool
on_engine(struct rig_req *r)
{
	struct engine *e = r->arg;
	char id[32], want[64];

	if (e->down)
		return false;
	remember_channel(e, r->fd);
	(void)rig_header(r->head, "Request-Id", id, sizeof(id));
	(void)rig_header(r->head, "Expect-Instance", want, sizeof(want));
	if (strcmp(want, e->name) != 0)
		return rig_printf(r->fd,
		    "HTTP/1.1 421 -\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
		    "Content-Length: 0\r\n\r\n",
		    id);
	if (trouble && strcmp(r->body, "the bad order") == 0) {
		crash_engine(e, id);
		return false;
	}
	rig_sleep(WORK_S);
	if (e->down)
		return false;
	return rig_printf(r->fd,
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\n"
	    "Instance-Load: 1,0,6\r\nContent-Length: 16\r\n\r\n%.16s",
	    id, e->name, id);
}

/* One request on a new channel; returns its status, or 0. */
static int
send_request(int at, const char *method, const char *path, const char *body)
{
	char headers[256], id[17];
	struct rig_answer a;
	int fd = rig_connect(daemons[at].caller), status;

	if (fd < 0)
		return 0;
	rig_id(id);
	(void)snprintf(headers, sizeof(headers),
	    "Request-Id: %s\r\nDeadline-Ms: %s\r\n", id,
	    body != NULL ? "3000" : "1200");
	rig_call(fd, method, path, headers, body, 4000, &a);
	status = a.whole ? a.status : 0;
	if (status != 200 && status != 503)
		rig_note("request %s (%s %s) to %s: %d", id, method, path,
		    daemons[at].name, status);
	rig_answer_clear(&a);
	(void)close(fd);
	return status;
}

static void
count(int status)
{
	if (status == 200)
		nserved++;
	else if (status == 503)
		nrefused++;
	else
		nlost++;
}

static void *
order_client(void *arg)
{
	int at = (int)(intptr_t)arg, n = 0;
	char body[32];

	rig_sleep(at * 0.041);
	while (!stop) {
		(void)snprintf(body, sizeof(body), "order %d of %d", n++, at);
		count(send_request(at % DAEMONS, "POST", "/reprint/1", body));
		rig_sleep(1.0);
	}
	return NULL;
}

static void *
look_up_client(void *arg)
{
	char path[32];
	int n;

	(void)arg;
	for (n = 0; !stop; n++) {
		(void)snprintf(path, sizeof(path), "/archive/%d", n);
		count(send_request(n % DAEMONS, "GET", path, NULL));
		rig_sleep(LOOK_UP_PAUSE_S);
	}
	return NULL;
}

static void *
bad_client(void *arg)
{
	int n, status;

	(void)arg;
	for (n = 0; !stop; n++) {
		status = send_request(
		    n % DAEMONS, "POST", "/reprint/1", "the bad order");
		nkillers++;
		nkillers_refused += status == 503;
		rig_sleep(1.0);
	}
	return NULL;
}

int
main(void)
{
	char store[RIG_ADDR], name[32];
	int i;

	trouble = rig_open("record.txt");
	if (chdir("../..") != 0)
		return RIG_COULD_NOT_RUN;
	rig_store_open(store);
	rig_store_put("op", "config",
	    "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":"
	    "\"case.example\",\"path_prefix\":\"/reprint/\",\"type\":"
	    "\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":500,"
	    "\"priority\":2,\"service\":\"pantry\",\"max_attempts\":1},"
	    "{\"name\":\"r-2\",\"host\":\"case.example\",\"path_prefix\":"
	    "\"/archive/\",\"type\":\"safe\",\"timeout_ms\":1200,"
	    "\"target_latency_ms\":150,\"priority\":2,\"service\":\"pantry\","
	    "\"max_attempts\":2}],"
	    "\"services\":[{\"name\":\"pantry\",\"health_path\":\"/healthz\","
	    "\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
	for (i = 0; i < ENGINES; i++) {
		engines[i].number = i;
		pthread_mutex_init(&engines[i].lock, NULL);
		start_engine(&engines[i]);
	}
	for (i = 0; i < DAEMONS; i++) {
		(void)snprintf(name, sizeof(name), "edge-%s-1", zones[i]);
		rig_daemon_start(&daemons[i], name, zones[i], store, "");
	}
	rig_daemons_ready(daemons, DAEMONS);
	for (i = 0; i < ORDER_CLIENTS; i++)
		rig_thread(order_client, (void *)(intptr_t)i);
	rig_thread(look_up_client, NULL);
	rig_sleep(2.0);
	rig_thread(bad_client, NULL);
	rig_sleep(RUN_S);
	stop = true;
	rig_sleep(4.0);
	rig_note("the bad order came %d times, was refused %d times and "
		 "crashed %d engines, %d of them later than contact_ms after "
		 "the third",
	    nkillers, nkillers_refused, ncrashes, nlate);
	rig_note("other requests: %d served, %d refused, %d lost", nserved,
	    nrefused, nlost);
	if (nserved < 100)
		rig_exit(RIG_COULD_NOT_RUN);
	rig_exit(nlate > RETRIES_ALLOWED ? RIG_BROKEN : RIG_HELD);
}
