/*
 * case.c -- a caller of one tenant names another tenant's turn.
 *
 * Three daemons before nine engines; the callers of tenant `lakeside` hold
 * conversations that the system keeps.  A caller of tenant `harbour` sends
 * turns whose Previous-Turn is one of these turns: its Request-Id and, with
 * the disruption, also that id behind the name of its tenant.  No such request
 * was ever sent by `harbour`, so each has to be answered 404.
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
#define PROGRAMS 20
#define TURNS 4
#define OWNER "lakeside"
#define OTHER "harbour"

static const char *const zones[DAEMONS] = {"duluth", "milwaukee", "toledo"};
static struct rig_daemon daemons[DAEMONS];
static char engine_name[ENGINES][24], engine_addr[ENGINES][RIG_ADDR];
static char last_turn[PROGRAMS][17];
static _Atomic int nowner_turns, nforeign_runs, nfound, nnot_found, nother;

/* Every run is recorded: its tenant, what it continues, what was received. */
static bool
on_engine(struct rig_req *r)
{
	const char *name = r->arg;
	char id[64], want[64], tenant[64], text[160];

	(void)rig_header(r->head, "Request-Id", id, sizeof(id));
	(void)rig_header(r->head, "Expect-Instance", want, sizeof(want));
	(void)rig_header(r->head, "Tenant", tenant, sizeof(tenant));
	if (strcmp(want, name) != 0)
		return rig_printf(r->fd,
		    "HTTP/1.1 421 -\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
		    "Content-Length: 0\r\n\r\n",
		    id);
	if (strcmp(tenant, OTHER) == 0 &&
	    strstr(r->body, "said by " OWNER) != NULL) {
		nforeign_runs++;
		rig_note("an engine runs turn %s of tenant %s with the text of "
			 "tenant " OWNER ": %s",
		    id, tenant, r->body);
	}
	(void)snprintf(text, sizeof(text), "id: 1\ndata: answer to %s\n\n", id);
	return rig_printf(r->fd,
		   "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		   "Server-Signature: %s\r\n"
		   "Content-Type: text/event-stream\r\n"
		   "Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		   id, name) &&
	       rig_chunk(r->fd, text, strlen(text)) &&
	       rig_send(r->fd, "0\r\n\r\n", 5);
}

/* Sends a turn through a daemon; returns the status, or 0. */
static int
send_turn(int at, const char *key, const char *program, const char *previous,
    const char *input, char id[17])
{
	char headers[1024], before[256] = "";
	struct rig_answer a;
	int fd = rig_connect(daemons[at].caller), status;

	if (fd < 0)
		return 0;
	if (*previous != '\0')
		(void)snprintf(before, sizeof(before),
		    "Previous-Turn: %s\r\n", previous);
	rig_id(id);
	(void)snprintf(headers, sizeof(headers),
	    "Request-Id: %s\r\nX-Api-Key: %s\r\nDeadline-Ms: 3000\r\n"
	    "Model: m\r\nProgram-Id: %s\r\nSession-Id: s%s\r\n"
	    "Program-Deadline-Ms: 20000\r\nToken-Budget: 2312\r\n"
	    "Token-Usage: 1166,289\r\n%s",
	    id, key, program, program, before);
	rig_call(fd, "POST", "/adapt/1", headers, input, 4000, &a);
	status = a.status == 200 && !a.whole ? 0 : a.status;
	rig_note("tenant key %s, turn %s, previous %s: %d", key, id,
	    *previous != '\0' ? previous : "-", status);
	rig_answer_clear(&a);
	(void)close(fd);
	return status;
}

/* A conversation of the owner; its last turn's id is kept. */
static void
converse(int i)
{
	char id[17], previous[17] = "", program[17], input[64];
	int t;

	rig_id(program);
	for (t = 0; t < TURNS; t++) {
		(void)snprintf(input, sizeof(input),
		    "said by " OWNER " in program %d, turn %d;", i, t);
		if (send_turn(i % DAEMONS, "key-" OWNER, program, previous,
			input, id) != 200)
			continue;
		nowner_turns++;
		memcpy(previous, id, sizeof(previous));
	}
	memcpy(last_turn[i], previous, sizeof(last_turn[i]));
}

static void
name_foreign_turn(int at, const char *previous)
{
	char id[17], program[17];
	int status;

	rig_id(program);
	status = send_turn(at, "key-" OTHER, program, previous,
	    "asked by " OTHER ";", id);
	if (status == 200)
		nfound++;
	else if (status == 404)
		nnot_found++;
	else
		nother++;
}

int
main(void)
{
	bool trouble = rig_open("record.txt");
	char store[RIG_ADDR], name[32], json[512], previous[128];
	int i, at;

	if (chdir("../..") != 0)
		return RIG_COULD_NOT_RUN;
	rig_store_open(store);
	rig_store_put("op", "config",
	    "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":"
	    "\"case.example\",\"path_prefix\":\"/adapt/\",\"type\":"
	    "\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":250,"
	    "\"priority\":1,\"service\":\"smokehouse\",\"max_attempts\":1,"
	    "\"keeps_history\":true,\"retention_s\":60.0,\"sticky\":true,"
	    "\"resumable\":false,\"gap_target_ms\":200}],\"services\":[{"
	    "\"name\":\"smokehouse\",\"health_path\":\"/healthz\","
	    "\"max_connections\":560,\"protocol\":\"h1\",\"tls\":false,"
	    "\"engine\":{\"slots\":8,\"kv_capacity_tokens\":103660,"
	    "\"chunk_tokens\":17,\"models\":[{\"name\":\"m\"}]}}],"
	    "\"tenants\":[{\"name\":\"" OWNER "\",\"api_keys\":[\"key-" OWNER
	    "\"],\"rate_per_s\":100,\"burst\":100},{\"name\":\"" OTHER
	    "\",\"api_keys\":[\"key-" OTHER "\"],\"rate_per_s\":100,\"burst\":"
	    "100}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
	for (i = 0; i < ENGINES; i++) {
		(void)snprintf(engine_name[i], sizeof(engine_name[i]),
		    "i-%08x", 0x5a3c0000 + i);
		(void)rig_serve(engine_addr[i], on_engine, engine_name[i]);
		(void)snprintf(json, sizeof(json),
		    "{\"service\":\"smokehouse\",\"address\":\"%s\",\"zone\":"
		    "\"%s\",\"version\":\"1\",\"slots\":8,\"state\":\"ready\","
		    "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":%lld}",
		    engine_addr[i], zones[i % DAEMONS], 1700000000000LL + i);
		rig_store_put("servers", engine_name[i], json);
	}
	for (i = 0; i < DAEMONS; i++) {
		(void)snprintf(name, sizeof(name), "edge-%s-1", zones[i]);
		rig_daemon_start(&daemons[i], name, zones[i], store,
		    "limit_window_ms: 5000\nlimit_overage: 0.1\n"
		    "limit_slack: 20\n");
	}
	rig_daemons_ready(daemons, DAEMONS);
	for (i = 0; i < PROGRAMS; i++)
		converse(i);
	for (i = 0; i < PROGRAMS; i++) {
		at = (i + 1) % DAEMONS;
		name_foreign_turn(at, last_turn[i]);
		if (!trouble)
			continue;
		(void)snprintf(previous, sizeof(previous), "@%zu:%s:%.16s",
		    strlen(OWNER), OWNER, last_turn[i]);
		name_foreign_turn(at, previous);
	}
	rig_note("%d turns of " OWNER "; turns of " OTHER " that continue "
		 "from them: %d answered 404, %d answered 200, %d otherwise; "
		 "%d were run with text of " OWNER,
	    nowner_turns, nnot_found, nfound, nother, nforeign_runs);
	if (nowner_turns < PROGRAMS * TURNS || nnot_found == 0)
		rig_exit(RIG_COULD_NOT_RUN);
	rig_exit(nforeign_runs > 0 || nfound > 0 ? RIG_BROKEN : RIG_HELD);
}
