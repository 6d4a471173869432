/*
 * A daemon is killed in the middle of a turn.  The caller resumes the stream at
 * another daemon, gets the rest, and goes on with the conversation.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define EVENTS 6
#define PAUSE_MS 100
#define KILL_AFTER_MS 350 /* after the turn was sent */

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"adapt\",\"host\":"
    "\"recipes.example\",\"path_prefix\":\"/adapt/\",\"type\":\"streaming\","
    "\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":1,"
    "\"service\":\"smokehouse\",\"max_attempts\":1,\"keeps_history\":true,"
    "\"retention_s\":60.0,\"sticky\":true,\"resumable\":true,"
    "\"gap_target_ms\":150}],\"services\":[{\"name\":\"smokehouse\","
    "\"health_path\":\"/healthz\",\"max_connections\":140,\"protocol\":\"h1\","
    "\"tls\":false,\"engine\":{\"slots\":8,\"kv_capacity_tokens\":103850,"
    "\"chunk_tokens\":17,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{"
    "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static struct text last_body;

static void
run(struct arrival *a)
{
	text_clear(&last_body);
	text_add(&last_body, a->m->body.p, a->m->body.len);
	record("%s: runs %s from event %d, body of %zu bytes", a->e->id, a->id,
	    a->last_event + 1, a->m->body.len);
	arrival_stream(a, EVENTS, PAUSE_MS, 0);
}

static void
run_turn(int daemon, const char *id, const char *more, const char *input,
    struct answer *a)
{
	char headers[512];
	struct conn c;

	snprintf(headers, sizeof(headers),
	    "Model: m\r\nToken-Usage: 60,102\r\nProgram-Id: cook\r\n"
	    "Session-Id: cook\r\nProgram-Deadline-Ms: 9000\r\n"
	    "Token-Budget: 2000\r\n%s",
	    more);
	caller_open(&c, daemon);
	caller_run(&c, id, "POST", "/adapt/2f", headers, input, strlen(input),
	    3000, 4000, a);
	record("%s at daemon %d: gets %d, %d events up to event %d, %s", id,
	    daemon, a->status, a->events, a->last_event,
	    a->whole ? "whole" : "not whole");
	caller_close(&c);
}

static void *
killer(void *arg)
{
	rig_sleep_ms(KILL_AFTER_MS);
	daemon_kill(0);
	return arg;
}

int
main(int argc, char **argv)
{
	static const char input1[] = "question 1\n", input2[] = "question 2\n";
	struct text expected = {0};
	struct answer a;
	char more[128], turn[64] = "cook1-1";
	pthread_t t;
	int n;

	rig_open(argc > 1 ? argv[1] : "record.txt");
	store_open();
	store_put("op", "config", config);
	endpoint_open("i-1", "smokehouse", "duluth", run);
	endpoint_open("i-2", "smokehouse", "milwaukee", run);
	endpoint_open("i-3", "smokehouse", "toledo", run);
	daemons_open(3);
	if (rig_trouble())
		pthread_create(&t, NULL, killer, NULL);
	run_turn(0, turn, "", input1, &a);
	if (!a.whole) {
		if (a.last_event == 0)
			rig_unable("the stream did not begin");
		snprintf(more, sizeof(more), "Last-Event-Id: %d\r\n",
		    a.last_event);
		answer_clear(&a);
		rig_sleep_ms(100);
		snprintf(turn, sizeof(turn), "cook1-2");
		run_turn(1, turn, more, input1, &a);
	}
	if (!a.whole || a.last_event != EVENTS)
		rig_unable("the turn was not answered");
	answer_clear(&a);
	text_add(&expected, input1, strlen(input1));
	for (n = 1; n <= EVENTS; n++)
		event_text(&expected, body_hash(input1, strlen(input1)), n);
	text_add(&expected, input2, strlen(input2));
	snprintf(more, sizeof(more), "Previous-Turn: %s\r\n", turn);
	run_turn(1, "cook2-1", more, input2, &a);
	if (!a.whole || a.status != 200)
		rig_unable("the second turn was not answered");
	record("expected body of turn 2:\n%s", expected.p);
	record("body that an endpoint ran:\n%s", last_body.p);
	rig_exit(strcmp(expected.p, last_body.p) == 0 ? RIG_HELD : RIG_BROKEN);
}
