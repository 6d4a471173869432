/*
 * case.c -- one engine crashes; conversations elsewhere are refused for long.
 *
 * Seven daemons in three zones before nine engines, as in a small deployment.
 * Callers hold conversations that the system keeps: a first question of their
 * own, then short answers such as "yes, go on".  Other callers send streams
 * that may be resumed.  With the disruption, the busiest of the nine engines
 * crashes once and is back 4.5 s later.  What the callers send from contact_ms after
 * that on is judged.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../rig/rig.h"

#define ZONES 3
#define DAEMONS 7
#define ENGINES 9
#define CONVERSATIONS 27 /* at a time */
#define TURNS 4
#define STREAMS 21 /* clients */
#define CRASH_AT_S 4.0 /* after all is ready */
#define BUSY_RUNS 5 /* at the engine that crashes */
#define BUSY_WAIT_S 4.0 /* for such an engine */
#define DOWN_S 4.5 /* the site's for_s of srv_crash */
#define CONTACT_S 3.0 /* contact_ms */
#define JUDGED_S 20.0
#define SENDS 3 /* a turn is sent again at most twice */
#define ATTEMPTS 2 /* the consumer's retries: 1 */
#define TRIES_ALLOWED 4 /* five tries or more break the rule */
#define PROGRAM_MS 15000 /* the program's aim */
#define EVENTS 5
#define EVENT_S 0.05
#define CHECK_EVENTS 1 /* of a stream that may be resumed */
#define CHANNELS 4096

struct engine {
	int number;
	pthread_mutex_t lock;
	char name[24];
	char addr[RIG_ADDR];
	struct rig_server *server;
	_Atomic bool down;
	_Atomic int running;
	int fd[CHANNELS]; /* its channels */
	int nfd;
};

static const char *const zones[ZONES] = {"duluth", "milwaukee", "toledo"};
/* Zone of each daemon: three, two and two. */
static const int daemon_zone[DAEMONS] = {0, 0, 0, 1, 1, 2, 2};
static const int zone_first[ZONES] = {0, 3, 5}, zone_size[ZONES] = {3, 2, 2};
static const char *const inputs[] = {
    "yes, go on", "no, the other one", "how long does that take?"};

static struct rig_daemon daemons[DAEMONS];
static struct engine engines[ENGINES];
static _Atomic int nstarts, busy, most_busy;
static _Atomic int nfirst, nfirst_reached; /* first turns, judged */
static _Atomic int nturns, nturns_served, nturns_refused, nlost;
static _Atomic bool stop, judging;
static double crashed_at, up_again_at;

static bool on_engine(struct rig_req *r);

static void
start_engine(struct engine *e)
{
	char json[512];
	int n = nstarts++;

	(void)snprintf(e->name, sizeof(e->name), "i-%08x", 0x5a3c0000 + n);
	e->nfd = 0;
	e->down = false;
	e->server = rig_serve(e->addr, on_engine, e);
	(void)snprintf(json, sizeof(json),
	    "{\"service\":\"smokehouse\",\"address\":\"%s\",\"zone\":\"%s\","
	    "\"version\":\"1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":%lld}",
	    e->addr, zones[e->number % ZONES], 1700000000000LL + n);
	rig_store_put("servers", e->name, json);
}

static void
crash_engine(struct engine *e)
{
	int i;

	pthread_mutex_lock(&e->lock);
	e->down = true;
	rig_server_close(e->server);
	for (i = 0; i < e->nfd; i++)
		rig_reset(e->fd[i]);
	pthread_mutex_unlock(&e->lock);
	crashed_at = rig_now();
	rig_note("engine %s crashes while it runs %d requests", e->name,
	    e->running);
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
stream(
    struct rig_req *r, struct engine *e, const char *id, int from, int to)
{
	char text[128];
	int i;

	if (!rig_printf(r->fd,
		"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		"Server-Signature: %s\r\nContent-Type: text/event-stream\r\n"
		"Instance-Load: 1,0,8\r\nWeight-Versions: 1\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		id, e->name))
		return false;
	for (i = from; i <= to; i++) {
		rig_sleep(EVENT_S);
		(void)snprintf(
		    text, sizeof(text), "id: %d\ndata: %s-%d\n\n", i, id, i);
		if (e->down || !rig_chunk(r->fd, text, strlen(text)))
			return false;
	}
	return rig_send(r->fd, "0\r\n\r\n", 5);
}

static bool
on_engine(struct rig_req *r)
{
	struct engine *e = r->arg;
	char id[32], want[64], last[32];
	bool ok;
	int n;

	if (e->down)
		return false;
	remember_channel(e, r->fd);
	(void)rig_header(r->head, "Request-Id", id, sizeof(id));
	(void)rig_header(r->head, "Expect-Instance", want, sizeof(want));
	(void)rig_header(r->head, "Last-Event-Id", last, sizeof(last));
	if (strcmp(want, e->name) != 0)
		return rig_printf(r->fd,
		    "HTTP/1.1 421 -\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
		    "Content-Length: 0\r\n\r\n",
		    id);
	n = ++busy;
	if (n > most_busy)
		most_busy = n;
	e->running++;
	ok = stream(r, e, id, atoi(last) + 1,
	    strcmp(r->target, "/cure/1") == 0 ? CHECK_EVENTS : EVENTS);
	e->running--;
	busy--;
	return ok;
}

/* The engine that runs the most requests. */
static struct engine *
busiest_engine(void)
{
	struct engine *e = &engines[0];
	int i;

	for (i = 1; i < ENGINES; i++)
		if (engines[i].running > e->running)
			e = &engines[i];
	return e;
}

/* Some daemon of the zone, as its directory names them. */
static int
choose_daemon(int zone)
{
	char id[17];

	rig_id(id);
	return zone_first[zone] +
	       (int)(strtoul(id + 8, NULL, 16) % (unsigned)zone_size[zone]);
}

/* One attempt of a consumer on a new channel.  Returns its status, 0 if there
 * was no whole answer. */
static int
attempt(int at, const char *path, const char *program, const char *previous,
    const char *input, char id[17], double *retry_after)
{
	char headers[1024], before[64] = "", text[32];
	struct rig_answer a;
	int fd = rig_connect(daemons[at].caller), status;

	if (fd < 0)
		return 0;
	rig_id(id);
	if (*previous != '\0')
		(void)snprintf(before, sizeof(before),
		    "Previous-Turn: %s\r\n", previous);
	(void)snprintf(headers, sizeof(headers),
	    "Request-Id: %s\r\nDeadline-Ms: 3000\r\nModel: m\r\n"
	    "Program-Id: %s\r\nSession-Id: s%s\r\n"
	    "Program-Deadline-Ms: %d\r\nToken-Budget: 4624\r\n"
	    "Token-Usage: 1166,289\r\n%s",
	    id, program, program, PROGRAM_MS, before);
	rig_call(fd, "POST", path, headers, input, 4000, &a);
	status = a.status == 200 && !a.whole ? 0 : a.status;
	*retry_after = rig_header(a.head, "Retry-After", text, sizeof(text))
			   ? atof(text)
			   : 0;
	rig_answer_clear(&a);
	(void)close(fd);
	return status;
}

/* Sends a turn as the pages tell; returns whether it was answered whole. */
static bool
send_turn(int zone, const char *program, char previous[17], const char *input)
{
	bool first = *previous == '\0', judged = judging, reached = false;
	int send, n, at, status = 0, tries = 0;
	double retry_after;
	char id[17], log[256] = "";

	for (send = 0; send < SENDS && status != 200 && !stop; send++) {
		if (send > 0)
			rig_sleep(0.1 + 0.3 * (double)(id[0] % 4) / 4);
		for (n = 0; n < ATTEMPTS && status != 200; n++) {
			at = choose_daemon(zone);
			status = attempt(at, "/adapt/1", program, previous,
			    input, id, &retry_after);
			tries++;
			(void)snprintf(log + strlen(log),
			    sizeof(log) - strlen(log), " %d by %s", status,
			    daemons[at].name);
			/* Only a refusal promises that no engine had it. */
			reached |= status != 503 && status != 429;
			if (status != 503 && status != 429)
				break;
			if (status == 503)
				rig_sleep(
				    retry_after < 1 ? retry_after : 1);
		}
	}
	if (stop)
		return false;
	if (judged && first) {
		nfirst++;
		nfirst_reached += reached;
	} else if (judged) {
		nturns++;
		nturns_served += status == 200;
		nturns_refused += !reached;
	}
	if (judged && !first && !reached && tries > TRIES_ALLOWED) {
		nlost++;
		rig_note("program %s in %s: the turn \"%s\" after %s reaches "
			 "no engine in %d tries:%s",
		    program, zones[zone], input, previous, tries, log);
	}
	memcpy(previous, id, 17);
	return status == 200;
}

static void *
converse(void *arg)
{
	int client = (int)(intptr_t)arg, zone = client % ZONES, t, n = 0;
	char program[17], previous[17], input[64];

	rig_sleep(client * 0.05);
	while (!stop) {
		rig_id(program);
		*previous = '\0';
		(void)snprintf(input, sizeof(input),
		    "question %d of caller %d", n++, client);
		if (!send_turn(zone, program, previous, input))
			continue;
		for (t = 1; t < TURNS && !stop; t++) {
			rig_sleep(0.15);
			if (!send_turn(zone, program, previous,
				inputs[(client + t + n) % 3]))
				break;
		}
	}
	return NULL;
}

static void *
resumable_streams(void *arg)
{
	int client = (int)(intptr_t)arg, zone = client % ZONES, n;
	char program[17], id[17], input[64];
	double retry_after;

	rig_sleep(client * 0.03);
	for (n = 0; !stop; n++) {
		rig_id(program);
		(void)snprintf(input, sizeof(input), "check %d of caller %d",
		    n, client);
		(void)attempt(choose_daemon(zone), "/cure/1", program, "",
		    input, id, &retry_after);
		rig_sleep(0.1);
	}
	return NULL;
}

int
main(void)
{
	bool trouble = rig_open("record.txt");
	char store[RIG_ADDR], name[32];
	struct engine *e;
	double began;
	int i;

	if (chdir("../..") != 0)
		return RIG_COULD_NOT_RUN;
	rig_store_open(store);
	rig_store_put("op", "config",
	    "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":"
	    "\"case.example\",\"path_prefix\":\"/adapt/\",\"type\":"
	    "\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":250,"
	    "\"priority\":1,\"service\":\"smokehouse\",\"max_attempts\":1,"
	    "\"keeps_history\":true,\"retention_s\":60.0,\"sticky\":true,"
	    "\"resumable\":false,\"gap_target_ms\":150},{\"name\":\"r-2\","
	    "\"host\":\"case.example\",\"path_prefix\":\"/cure/\",\"type\":"
	    "\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":250,"
	    "\"priority\":0,\"service\":\"smokehouse\",\"max_attempts\":1,"
	    "\"keeps_history\":false,\"retention_s\":60.0,\"sticky\":true,"
	    "\"resumable\":true,\"gap_target_ms\":150}],\"services\":[{"
	    "\"name\":\"smokehouse\",\"health_path\":\"/healthz\","
	    "\"max_connections\":140,\"protocol\":\"h1\",\"tls\":false,"
	    "\"engine\":{\"slots\":8,\"kv_capacity_tokens\":103850,"
	    "\"chunk_tokens\":17,\"models\":[{\"name\":\"m\"}]}}],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
	for (i = 0; i < ENGINES; i++) {
		engines[i].number = i;
		pthread_mutex_init(&engines[i].lock, NULL);
		start_engine(&engines[i]);
	}
	for (i = 0; i < DAEMONS; i++) {
		(void)snprintf(name, sizeof(name), "edge-%s-%d",
		    zones[daemon_zone[i]], i - zone_first[daemon_zone[i]] + 1);
		rig_daemon_start(
		    &daemons[i], name, zones[daemon_zone[i]], store, "");
	}
	rig_daemons_ready(daemons, DAEMONS);
	for (i = 0; i < CONVERSATIONS; i++)
		rig_thread(converse, (void *)(intptr_t)i);
	for (i = 0; i < STREAMS; i++)
		rig_thread(resumable_streams, (void *)(intptr_t)i);
	began = rig_now();
	rig_sleep(CRASH_AT_S);
	do {
		rig_sleep(0.001);
		e = busiest_engine();
	} while (e->running < BUSY_RUNS &&
		 rig_now() < began + CRASH_AT_S + BUSY_WAIT_S);
	if (trouble)
		crash_engine(e);
	rig_sleep(DOWN_S);
	if (trouble) {
		rig_store_remove("servers", e->name);
		start_engine(e);
		up_again_at = rig_now();
		rig_note("the engine is back as %s, %.1f s after its crash",
		    e->name, up_again_at - crashed_at);
	}
	rig_sleep(CONTACT_S);
	most_busy = 0;
	judging = true;
	rig_note("from here on turns are judged");
	rig_sleep(JUDGED_S);
	stop = true;
	rig_sleep(4.0);
	rig_note("at most %d of %d places at the engines were taken", most_busy,
	    ENGINES * 8);
	rig_note("first turns: %d of %d reached an engine", nfirst_reached,
	    nfirst);
	rig_note("turns that continue: %d, %d answered whole, %d refused by "
		 "every daemon tried, %d of them in five tries or more",
	    nturns, nturns_served, nturns_refused, nlost);
	if (nfirst < 20 || nturns < 20 || most_busy * 2 >= ENGINES * 8 ||
	    nfirst_reached * 10 < nfirst * 9)
		rig_exit(RIG_COULD_NOT_RUN);
	rig_exit(nlost > 0 ? RIG_BROKEN : RIG_HELD);
}
