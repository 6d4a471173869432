/*
 * case.c -- engines that are being replaced answer without end.
 *
 * Three daemons before nine engines of one service; eight clients in each zone
 * send orders on kept channels all the time.  The engines are replaced one
 * after the other all the time, too: a new one starts, an old one leaves.  The
 * first ten report that they drain.  The others don't: their entries are
 * removed while they still hold requests, which they answer a little later.
 * With the disruption, the bodies of these last answers never end.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../rig/rig.h"

#define DAEMONS 3
#define ENGINES 9
#define REPLACED 10
#define TROUBLED 40
#define CLIENTS 24
#define ORDERS 40000
#define LOST_ALLOWED 3 /* of the rule */
#define DRAIN_S 2.0 /* drain_ms */
#define RELEASE_GAP_S 1.0
#define HOLD_S 1.0 /* after its entry's removal a leaving engine answers */
#define CHUNK 16384
#define WORK_S 0.75

enum engine_state {
	ENGINE_SOUND,
	ENGINE_LEAVING, /* holds its answers back until answer_at */
	ENGINE_GONE
};

struct engine {
	char name[24];
	char addr[RIG_ADDR];
	const char *zone;
	_Atomic int state;
	_Atomic bool endless; /* its answers have no end */
	double answer_at;
	int sequence;
	long long born;
};

/* An attempt of a client; written by its client and by the engine. */
struct order {
	char id[17];
	bool kept; /* the channel had carried an answer before */
	_Atomic bool run_by_sound;
};

static const char *const zones[DAEMONS] = {"duluth", "milwaukee", "toledo"};
static struct rig_daemon daemons[DAEMONS];
static struct engine engines[ENGINES + REPLACED + TROUBLED];
static struct order orders[ORDERS];
static _Atomic int norders, answered, refused, failed, lost_other;
static _Atomic int lost[DAEMONS]; /* on kept channels, by sound engines */
static _Atomic bool stop;

static struct order *
find_order(const char *id)
{
	int i;

	for (i = norders - 1; i >= 0; i--)
		if (strcmp(orders[i].id, id) == 0)
			return &orders[i];
	return NULL;
}

static bool
answer_without_end(struct rig_req *r, const char *id)
{
	char data[CHUNK];
	unsigned long long n = 0;

	memset(data, 'x', sizeof(data));
	if (!rig_printf(r->fd,
		"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		"Server-Signature: sound-%s\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		id, id))
		return false;
	while (!stop && rig_chunk(r->fd, data, sizeof(data)))
		n += sizeof(data);
	rig_note("order %s: the caller closed after %llu bytes", id, n);
	return false;
}

static bool
on_engine(struct rig_req *r)
{
	struct engine *e = r->arg;
	char id[64], want[64];
	struct order *o;

	if (e->state == ENGINE_GONE)
		return false;
	(void)rig_header(r->head, "Request-Id", id, sizeof(id));
	(void)rig_header(r->head, "Expect-Instance", want, sizeof(want));
	if (strcmp(want, e->name) != 0)
		return rig_printf(r->fd,
		    "HTTP/1.1 421 -\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
		    "Content-Length: 0\r\n\r\n",
		    id);
	o = find_order(id);
	if (o != NULL && e->state == ENGINE_SOUND)
		o->run_by_sound = true;
	rig_sleep(WORK_S);
	if (e->state == ENGINE_LEAVING) {
		if (o != NULL)
			o->run_by_sound = false;
		rig_note("order %s is at the leaving engine %s", id, e->name);
		rig_until(e->answer_at);
		if (e->endless)
			return answer_without_end(r, id);
	}
	return rig_printf(r->fd,
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: sound-%s"
	    "\r\nInstance-Load: 1,0,6\r\nContent-Length: 16\r\n\r\n%.16s",
	    id, id, id);
}

static void
publish(struct engine *e, const char *state)
{
	char json[512];

	(void)snprintf(json, sizeof(json),
	    "{\"service\":\"pantry\",\"address\":\"%s\",\"zone\":\"%s\","
	    "\"version\":\"1\",\"slots\":6,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"sequence\":%d,\"born\":%lld}",
	    e->addr, e->zone, state, ++e->sequence, e->born);
	rig_store_put("servers", e->name, json);
}

static void
start_engine(int i)
{
	struct engine *e = &engines[i];

	(void)snprintf(e->name, sizeof(e->name), "i-%08x", 0x5a3c0000 + i);
	e->zone = zones[i % DAEMONS];
	e->born = 1700000000000LL + i;
	e->sequence = 0;
	(void)rig_serve(e->addr, on_engine, e);
	publish(e, "ready");
}

/* The old engine reports that it drains, serves on, and leaves. */
static void *
drain_engine(void *arg)
{
	struct engine *e = arg;

	publish(e, "draining");
	rig_sleep(DRAIN_S + 0.5);
	rig_store_remove("servers", e->name);
	rig_sleep(0.5);
	e->state = ENGINE_GONE;
	rig_note("engine %s was replaced and has left", e->name);
	return NULL;
}

/* It serves on for drain_ms and a little longer. */
static void *
end_engine(void *arg)
{
	struct engine *e = arg;

	rig_sleep(DRAIN_S + 0.5);
	e->state = ENGINE_GONE;
	return NULL;
}

/* An engine that never reports draining: its entry is removed and it serves
 * on. */
static void
take_away(struct engine *e, bool trouble)
{
	e->endless = trouble;
	e->answer_at = rig_now() + HOLD_S;
	e->state = ENGINE_LEAVING;
	rig_note("engine %s leaves: its entry is removed", e->name);
	rig_store_remove("servers", e->name);
	rig_thread(end_engine, e);
	rig_sleep(HOLD_S + 0.2);
}

static void
count_answer(struct order *o, const struct rig_answer *a, int at)
{
	const char *daemon = daemons[at].name;

	if (a->status == 200 && a->whole && memcmp(a->body, o->id, 16) == 0) {
		answered++;
	} else if (a->status == 503) {
		refused++;
	} else if (a->status != 0) {
		failed++;
		rig_note("order %s: %d from %s", o->id, a->status, daemon);
	} else if (stop) {
		return; /* the case ends the daemons itself */
	} else if (o->kept && o->run_by_sound) {
		lost[at]++;
		rig_note("order %s: sent on a kept channel to %s, run by a "
			 "sound engine, and the channel ended without an "
			 "answer",
		    o->id, daemon);
	} else {
		lost_other++;
		rig_note("order %s: the channel to %s ended without an answer",
		    o->id, daemon);
	}
}

static void *
client(void *arg)
{
	int at = (int)(intptr_t)arg % DAEMONS, fd = -1, n = 0, i;
	struct rig_answer a;
	struct order *o;
	char headers[128];

	while (!stop) {
		if (fd < 0) {
			fd = rig_connect(daemons[at].caller);
			n = 0;
		}
		if (fd < 0) {
			at = (at + 1) % DAEMONS;
			rig_sleep(0.1);
			continue;
		}
		i = norders++;
		if (i >= ORDERS)
			break;
		o = &orders[i];
		o->kept = n > 0;
		rig_id(o->id);
		(void)snprintf(headers, sizeof(headers),
		    "Request-Id: %s\r\nDeadline-Ms: 3000\r\n", o->id);
		rig_call(fd, "POST", "/reprint/1", headers, "one reprint", 4000,
		    &a);
		count_answer(o, &a, at);
		n++;
		if (a.status == 0 || !a.whole) {
			(void)close(fd);
			fd = -1;
		}
		rig_answer_clear(&a);
		rig_sleep(0.02);
	}
	return NULL;
}

static int
count_alive(void)
{
	int i, n = 0;

	for (i = 0; i < DAEMONS; i++)
		n += rig_daemon_alive(&daemons[i]);
	return n;
}

/* The most orders that one daemon has lost. */
static int
most_lost(void)
{
	int i, most = 0;

	for (i = 0; i < DAEMONS; i++)
		most = lost[i] > most ? lost[i] : most;
	return most;
}

int
main(void)
{
	bool trouble = rig_open("record.txt");
	char store[RIG_ADDR], name[32];
	int i;

	if (chdir("../..") != 0)
		return RIG_COULD_NOT_RUN;
	rig_store_open(store);
	rig_store_put("op", "config",
	    "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":"
	    "\"case.example\",\"path_prefix\":\"/reprint/\",\"type\":"
	    "\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":500,"
	    "\"priority\":2,\"service\":\"pantry\",\"max_attempts\":1}],"
	    "\"services\":[{\"name\":\"pantry\",\"health_path\":\"/healthz\","
	    "\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
	for (i = 0; i < ENGINES; i++)
		start_engine(i);
	for (i = 0; i < DAEMONS; i++) {
		(void)snprintf(name, sizeof(name), "edge-%s-1", zones[i]);
		rig_daemon_start(&daemons[i], name, zones[i], store, "");
	}
	rig_daemons_ready(daemons, DAEMONS);
	for (i = 0; i < CLIENTS; i++)
		rig_thread(client, (void *)(intptr_t)i);
	rig_sleep(2.0);

	rig_note("%d engines are replaced and report it", REPLACED);
	for (i = 0; i < REPLACED; i++) {
		start_engine(ENGINES + i);
		rig_sleep(RELEASE_GAP_S / 2);
		rig_thread(drain_engine, &engines[i]);
	}
	rig_sleep(DRAIN_S + 2.0);
	if (count_alive() < DAEMONS || answered < 20)
		rig_exit(RIG_COULD_NOT_RUN);
	rig_note("%d engines are replaced and don't report it", TROUBLED);
	for (i = 0; i < TROUBLED && most_lost() <= LOST_ALLOWED &&
		    count_alive() > 0;
	     i++) {
		start_engine(ENGINES + REPLACED + i);
		rig_sleep(RELEASE_GAP_S);
		take_away(&engines[ENGINES + REPLACED + i - 1], trouble);
	}
	rig_sleep(1.0);
	stop = true;
	rig_note("%d answered, %d refused with 503, %d failed, at most %d lost "
		 "by one daemon on kept channels, %d other channels ended",
	    answered, refused, failed, most_lost(), lost_other);
	rig_note("%d of %d daemons run", count_alive(), DAEMONS);
	rig_exit(most_lost() > LOST_ALLOWED ? RIG_BROKEN : RIG_HELD);
}
