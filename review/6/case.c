/*
 * A conversation whose caller comes back shortly before the retention time of
 * its last turn ends, while the endpoint is slow.  The turn that it adds ends
 * after the retention time of the one before; the next turn must still carry
 * all of the conversation.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define RETENTION_MS 60000
#define EVENTS 6
#define ENDPOINTS 7
#define USUAL_PAUSE_MS 75 /* between the events of an answer */
#define SLOWDOWN 5 /* of an endpoint under trouble */
#define CALLERS 14 /* of ordinary programs */

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"adapt\",\"host\":"
    "\"recipes.example\",\"path_prefix\":\"/adapt/\",\"type\":\"streaming\","
    "\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":1,"
    "\"service\":\"smokehouse\",\"max_attempts\":1,\"keeps_history\":true,"
    "\"retention_s\":60.0,\"sticky\":true,\"resumable\":false,"
    "\"gap_target_ms\":150}],\"services\":[{\"name\":\"smokehouse\","
    "\"health_path\":\"/healthz\",\"max_connections\":140,\"protocol\":\"h1\","
    "\"tls\":false,\"engine\":{\"slots\":8,\"kv_capacity_tokens\":103850,"
    "\"chunk_tokens\":17,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{"
    "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/* The endpoint that is slow; NULL: none. */
static struct endpoint *volatile slow;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct text last_body; /* that an endpoint got for the cook's turn */

static void
run(struct arrival *a)
{
	bool cook = strncmp(a->id, "cook", 4) == 0;

	if (rig_trouble() && strncmp(a->id, "cook2", 5) == 0) {
		slow = a->e;
		record("%s: is slow from now on", a->e->id);
	}
	if (cook) {
		record("%s: runs %s, body of %zu bytes", a->e->id, a->id,
		    a->m->body.len);
		pthread_mutex_lock(&lock);
		text_clear(&last_body);
		text_add(&last_body, a->m->body.p, a->m->body.len);
		pthread_mutex_unlock(&lock);
	}
	arrival_stream(a, EVENTS,
	    slow == a->e ? SLOWDOWN * USUAL_PAUSE_MS : USUAL_PAUSE_MS, 0);
}

/* Runs a turn of a conversation through daemon 0. */
static void
run_turn(struct conn *c, const char *id, const char *program,
    const char *previous, const char *input, struct answer *a)
{
	char headers[512];
	int n;

	n = snprintf(headers, sizeof(headers),
	    "Model: m\r\nToken-Usage: 60,102\r\nProgram-Id: %s\r\n"
	    "Session-Id: %s\r\nProgram-Deadline-Ms: 70000\r\n"
	    "Token-Budget: 2000\r\n",
	    program, program);
	if (previous != NULL)
		snprintf(headers + n, sizeof(headers) - (size_t)n,
		    "Previous-Turn: %s\r\n", previous);
	caller_run(c, id, "POST", "/adapt/2f", headers, input, strlen(input),
	    3000, 4000, a);
}

/* Programs of one turn each, one after the other. */
static void *
ordinary_caller(void *arg)
{
	int k = *(int *)arg, n;
	char id[64], program[64];
	struct answer a;
	struct conn c;

	caller_open(&c, 0);
	for (n = 0;; n++) {
		snprintf(id, sizeof(id), "other%d-%d", k, n);
		snprintf(program, sizeof(program), "p%d-%d", k, n);
		run_turn(&c, id, program, NULL, "an ordinary question\n", &a);
		if (!a.whole) {
			caller_close(&c);
			caller_open(&c, 0);
		}
		answer_clear(&a);
		rig_sleep_ms(100);
	}
	return NULL;
}

/* Runs the cook's turn n and appends it to the conversation.  A refused turn is
 * sent again, as another attempt. */
static int
cook_turn(struct conn *c, int n, char *previous, struct text *conversation)
{
	char id[64], input[128];
	struct answer a;
	int attempt;

	for (attempt = 1; attempt <= 3; attempt++) {
		snprintf(id, sizeof(id), "cook%d-%d", n, attempt);
		snprintf(input, sizeof(input), "question %d of the cook\n", n);
		record("cook: sends %s, after %s", id,
		    *previous != '\0' ? previous : "no turn");
		run_turn(c, id, "cook", *previous != '\0' ? previous : NULL,
		    input, &a);
		record("cook: gets %d, %d events, %s", a.status, a.events,
		    a.whole ? "whole" : "not whole");
		if (a.whole && a.status == 200)
			break;
		answer_clear(&a);
		caller_close(c);
		rig_sleep_ms(200);
		caller_open(c, 0);
	}
	if (attempt > 3)
		rig_unable("a turn of the cook was not answered");
	text_add(conversation, input, strlen(input));
	for (n = 1; n <= EVENTS; n++)
		event_text(
		    conversation, body_hash(last_body.p, last_body.len), n);
	snprintf(previous, 64, "%s", id);
	answer_clear(&a);
	return attempt;
}

int
main(int argc, char **argv)
{
	static int numbers[CALLERS];
	char previous[64] = "", input[] = "question 3 of the cook\n";
	struct text conversation = {0};
	pthread_t t;
	struct conn c;
	int64_t answered;
	int i;

	rig_open(argc > 1 ? argv[1] : "record.txt");
	store_open();
	store_put("op", "config", config);
	for (i = 0; i < ENDPOINTS; i++) {
		static const char *const zones[] = {
		    "duluth", "milwaukee", "toledo"};
		char id[16];

		snprintf(id, sizeof(id), "i-%d", i + 1);
		endpoint_open(id, "smokehouse", zones[i % 3], run);
	}
	daemons_open(3);
	for (i = 0; i < CALLERS; i++) {
		numbers[i] = i;
		pthread_create(&t, NULL, ordinary_caller, &numbers[i]);
	}
	caller_open(&c, 0);
	cook_turn(&c, 1, previous, &conversation);
	answered = rig_now_ms();
	rig_sleep_until(answered + RETENTION_MS - 1200);
	caller_close(&c);
	caller_open(&c, 0);
	cook_turn(&c, 2, previous, &conversation);
	record("cook: %.1f s after the end of turn 1",
	    (double)(rig_now_ms() - answered) / 1000);
	slow = NULL;
	record("all endpoints are as usual");
	rig_sleep_ms(500);
	text_add(&conversation, input, strlen(input));
	{
		struct text rest = {0};

		cook_turn(&c, 3, previous, &rest);
		text_clear(&rest);
	}
	record("expected body of turn 3 (%zu bytes):\n%s", conversation.len,
	    conversation.p);
	record("body that an endpoint ran (%zu bytes):\n%s", last_body.len,
	    last_body.p);
	rig_exit(conversation.len == last_body.len &&
			 memcmp(conversation.p, last_body.p, last_body.len) == 0
		     ? RIG_HELD
		     : RIG_BROKEN);
}
