/*
 * call.c -- one call, sent again until its answer is final.
 *
 * (program, seq) is the identity of a call, so the same request may be sent
 * again after any failure, also one that may not be repeated: the daemons
 * answer for it.  A refusal is final unless it names a time to come back or
 * says that the daemon, not the call, was the matter.
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "load.h"
#include "sse.h"

#define CONNECT_S 2
#define AGAIN_MS 100 /* when a refusal names no time */
#define EVENT_MAX ((size_t)16 * 1024 * 1024)

/* A streamed answer as it comes in. */
struct reading {
	struct load_call *c;
	struct mu_clock clock;
	mu_us start;
	struct mu_sse sse;
	char *text; /* of the pieces */
	size_t len;
	json_t *last; /* object that is no piece */
	bool done;
	int broken;
};

enum load_next
load_judge(int status, const struct mu_tool_error *e, uint32_t *wait_ms)
{
	*wait_ms = e->retry_after_ms;
	/* An earlier turn has to be brought back first. */
	if (strcmp(e->type, "seq_gap") == 0)
		return NEXT_FINAL;
	if (e->retry_after_ms > 0)
		return NEXT_AGAIN;
	*wait_ms = AGAIN_MS;
	if ((status == 503 || status == 429) &&
	    strcmp(e->outcome, "not_run") == 0)
		return NEXT_AGAIN;
	return NEXT_FINAL;
}

static int
add_piece(struct reading *rd, const char *text)
{
	size_t n = strlen(text);
	char *p = realloc(rd->text, rd->len + n + 1);

	if (p == NULL)
		return MU_E_NOMEM;
	memcpy(p + rd->len, text, n + 1);
	rd->text = p;
	rd->len += n;
	return 0;
}

static int
on_event(void *arg, const char *data, size_t len)
{
	struct reading *rd = arg;
	const char *text;
	json_t *o;
	int rc = 0;

	if (strcmp(data, "[DONE]") == 0) {
		rd->done = true;
		return 0;
	}
	o = json_loadb(data, len, 0, NULL);
	text = json_string_value(json_object_get(o, "text"));
	if (text != NULL) {
		if (rd->c->first_token == 0)
			rd->c->first_token = mu_now(&rd->clock) - rd->start;
		rc = add_piece(rd, text);
	} else if (o != NULL) {
		json_decref(rd->last);
		rd->last = json_incref(o);
	}
	json_decref(o);
	return rc;
}

static void
on_data(void *arg, const char *data, size_t len)
{
	struct reading *rd = arg;

	if (rd->broken == 0)
		rd->broken = mu_sse_feed(&rd->sse, data, len, on_event, rd);
}

/* The final object of a stream that came whole; else NULL. */
static json_t *
stream_answer(struct reading *rd)
{
	const char *output;

	if (!rd->done || rd->broken != 0 || rd->last == NULL)
		return NULL;
	output = json_string_value(json_object_get(rd->last, "output"));
	if (output != NULL && rd->text != NULL && strcmp(output, rd->text) != 0)
		rd->c->stream_differs = true;
	return json_incref(rd->last);
}

/* Notes what an error answer tells; returns whether to send again. */
static enum load_next
on_error(struct load_addrs *a, struct load_call *c, uint32_t *wait_ms)
{
	struct mu_tool_error e;
	bool not_run;

	mu_tool_parse_error(c->answer, &e);
	not_run = strcmp(e.outcome, "not_run") == 0;
	c->told = not_run ? TOLD_NOT_RUN : TOLD_UNKNOWN;
	(void)snprintf(c->type, sizeof(c->type), "%.40s",
	    e.type[0] != '\0' ? e.type : "no_type");
	tally_error(a->tally, c->type);
	pthread_mutex_lock(&a->tally->lock);
	a->tally->refused_not_run += not_run;
	a->tally->refused_unknown += !not_run;
	pthread_mutex_unlock(&a->tally->lock);
	return load_judge(c->status, &e, wait_ms);
}

/* A refusal given earlier stands only when nothing was sent since. */
static enum load_next
on_no_answer(struct load_addrs *a, struct load_call *c,
    const struct mu_tool_res *r, uint32_t *wait_ms)
{
	if (r->result != MU_TOOL_UNREACHABLE)
		c->told = TOLD_NOTHING;
	pthread_mutex_lock(&a->tally->lock);
	a->tally->connections_failed += r->result == MU_TOOL_UNREACHABLE;
	a->tally->answers_lost += r->result != MU_TOOL_UNREACHABLE;
	pthread_mutex_unlock(&a->tally->lock);
	load_addrs_next(a);
	*wait_ms = AGAIN_MS;
	return NEXT_AGAIN;
}

/* Sends the request once. */
static enum load_next
attempt(struct load_addrs *a, const char *program, struct load_call *c,
    const char *body, mu_us start, uint32_t *wait_ms)
{
	struct reading rd = {.c = c, .clock = a->clock, .start = start};
	struct mu_tool_req q = {.addr = load_addrs_get(a, program),
	    .method = c->method,
	    .target = c->target,
	    .key = a->opts->key,
	    .body = body,
	    .connect_timeout_s = CONNECT_S,
	    .read_timeout_s = a->opts->read_timeout_s,
	    .on_data = c->stream ? on_data : NULL,
	    .arg = &rd};
	struct mu_tool_res r;
	enum load_next next = NEXT_FINAL;

	json_decref(c->answer);
	c->answer = NULL;
	c->type[0] = '\0';
	mu_sse_init(&rd.sse, EVENT_MAX);
	mu_tool_run(&q, &r);
	if (c->stream && r.status == 200)
		c->answer = stream_answer(&rd);
	else if (r.result == MU_TOOL_ANSWERED && r.status != 204)
		c->answer = mu_tool_json(&r);
	if (c->answer != NULL || r.status == 204)
		c->status = r.status;
	else
		c->status = 0;
	/* Calls have an answer in JSON, whatever its status. */
	if (c->status == 0)
		next = on_no_answer(a, c, &r, wait_ms);
	else if (c->status / 100 == 2 &&
		 json_object_get(c->answer, "error") == NULL)
		c->told = TOLD_DONE;
	else
		next = on_error(a, c, wait_ms);
	mu_sse_clear(&rd.sse);
	free(rd.text);
	json_decref(rd.last);
	mu_tool_clear(&r);
	return next;
}

static void
sleep_ms(uint32_t ms)
{
	struct timespec t = {
	    .tv_sec = ms / 1000, .tv_nsec = (long)(ms % 1000) * 1000000};

	(void)nanosleep(&t, NULL);
}

void
load_call_run(struct load_addrs *a, const char *program, struct load_call *c)
{
	char *body = NULL;
	mu_us start = mu_now(&a->clock);
	mu_us end = start + MU_US_PER_S * a->opts->patience_s;
	enum load_next next;
	uint32_t wait_ms;

	c->told = TOLD_NOTHING;
	c->attempts = 0;
	if (c->body != NULL)
		body = json_dumps(c->body, JSON_COMPACT);
	do {
		wait_ms = 0;
		next = attempt(a, program, c, body, start, &wait_ms);
		c->attempts++;
		if (next == NEXT_FINAL ||
		    mu_now(&a->clock) + wait_ms * MU_US_PER_MS >= end)
			break;
		sleep_ms(wait_ms);
	} while (true);
	c->took = mu_now(&a->clock) - start;
	free(body);
	pthread_mutex_lock(&a->tally->lock);
	a->tally->calls_resent += c->attempts - 1;
	pthread_mutex_unlock(&a->tally->lock);
}

void
load_call_clear(struct load_call *c)
{
	json_decref(c->answer);
	c->answer = NULL;
}
