/*
 * call.c -- one call, retried until its answer is final.
 *
 * (program, seq) identifies a call, so the same request can be retried after
 * any failure, even for a non-idempotent call: the daemons guarantee that it
 * runs at most once.  An error is final unless it has a retry_after_ms or
 * shows that the daemon, not the call, is the cause (429 or 503 with outcome
 * not_run).
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "load.h"
#include "sse.h"

#define CONNECT_TIMEOUT_S 2
#define DEFAULT_RETRY_DELAY_MS 100 /* if an error has no retry_after_ms */
#define EVENT_MAX_BYTES ((size_t)16 * 1024 * 1024)

/* State of a streamed answer while it is read. */
struct stream_reader {
	struct load_call *c;
	struct mu_clock clock;
	mu_us start;
	struct mu_sse sse;
	char *text; /* concatenated chunks */
	size_t text_len;
	json_t *last_object; /* last event that is not a chunk */
	bool end_received;
	int parse_error;
};

enum load_action
load_classify_error(
    int status, const struct mu_tool_error *e, uint32_t *wait_ms)
{
	*wait_ms = e->retry_after_ms;
	/* The caller has to resend earlier turns first. */
	if (strcmp(e->type, "seq_gap") == 0)
		return LOAD_STOP;
	if (e->retry_after_ms > 0)
		return LOAD_RETRY;
	*wait_ms = DEFAULT_RETRY_DELAY_MS;
	if ((status == 503 || status == 429) &&
	    strcmp(e->outcome, "not_run") == 0)
		return LOAD_RETRY;
	return LOAD_STOP;
}

static int
append_text(struct stream_reader *rd, const char *text)
{
	size_t n = strlen(text);
	char *p = realloc(rd->text, rd->text_len + n + 1);

	if (p == NULL)
		return MU_E_NOMEM;
	memcpy(p + rd->text_len, text, n + 1);
	rd->text = p;
	rd->text_len += n;
	return 0;
}

static int
on_event(void *arg, const char *data, size_t len)
{
	struct stream_reader *rd = arg;
	const char *text;
	json_t *o;
	int rc = 0;

	if (strcmp(data, "[DONE]") == 0) {
		rd->end_received = true;
		return 0;
	}
	o = json_loadb(data, len, 0, NULL);
	text = json_string_value(json_object_get(o, "text"));
	if (text != NULL) {
		if (rd->c->first_token == 0)
			rd->c->first_token = mu_now(&rd->clock) - rd->start;
		rc = append_text(rd, text);
	} else if (o != NULL) {
		json_decref(rd->last_object);
		rd->last_object = json_incref(o);
	}
	json_decref(o);
	return rc;
}

static void
on_data(void *arg, const char *data, size_t len)
{
	struct stream_reader *rd = arg;

	if (rd->parse_error == 0)
		rd->parse_error =
		    mu_sse_feed(&rd->sse, data, len, on_event, rd);
}

/* Returns the final object of a complete stream, else NULL. */
static json_t *
stream_answer(struct stream_reader *rd)
{
	const char *output;

	if (!rd->end_received || rd->parse_error != 0 ||
	    rd->last_object == NULL)
		return NULL;
	output = json_string_value(json_object_get(rd->last_object, "output"));
	if (output != NULL && rd->text != NULL && strcmp(output, rd->text) != 0)
		rd->c->stream_differs = true;
	return json_incref(rd->last_object);
}

/* Records an error answer and decides whether to retry. */
static enum load_action
handle_error(struct load_addrs *a, struct load_call *c, uint32_t *wait_ms)
{
	struct mu_tool_error e;
	bool not_run;

	mu_tool_parse_error(c->answer, &e);
	not_run = strcmp(e.outcome, "not_run") == 0;
	c->outcome = not_run ? LOAD_OUTCOME_NOT_RUN : LOAD_OUTCOME_UNKNOWN;
	(void)snprintf(c->error_type, sizeof(c->error_type), "%.40s",
	    e.type[0] != '\0' ? e.type : "no_type");
	tally_add_error(a->tally, c->error_type);
	pthread_mutex_lock(&a->tally->lock);
	a->tally->refused_not_run += not_run;
	a->tally->refused_unknown += !not_run;
	pthread_mutex_unlock(&a->tally->lock);
	return load_classify_error(c->status, &e, wait_ms);
}

/* The outcome of an earlier attempt stays if this one was never sent. */
static enum load_action
handle_no_answer(struct load_addrs *a, struct load_call *c,
    const struct mu_tool_res *r, uint32_t *wait_ms)
{
	if (r->result != MU_TOOL_UNREACHABLE)
		c->outcome = LOAD_OUTCOME_NO_ANSWER;
	pthread_mutex_lock(&a->tally->lock);
	a->tally->connections_failed += r->result == MU_TOOL_UNREACHABLE;
	a->tally->answers_lost += r->result != MU_TOOL_UNREACHABLE;
	pthread_mutex_unlock(&a->tally->lock);
	load_addrs_fail_over(a);
	*wait_ms = DEFAULT_RETRY_DELAY_MS;
	return LOAD_RETRY;
}

/* Sends the request once and classifies the answer. */
static enum load_action
send_attempt(struct load_addrs *a, const char *program, struct load_call *c,
    const char *body, mu_us start, uint32_t *wait_ms)
{
	struct stream_reader rd = {.c = c, .clock = a->clock, .start = start};
	struct mu_tool_req q = {.addr = load_addrs_get(a, program),
	    .method = c->method,
	    .target = c->target,
	    .key = a->opts->key,
	    .body = body,
	    .connect_timeout_s = CONNECT_TIMEOUT_S,
	    .read_timeout_s = a->opts->read_timeout_s,
	    .on_data = c->stream ? on_data : NULL,
	    .arg = &rd};
	struct mu_tool_res r;
	enum load_action action = LOAD_STOP;

	json_decref(c->answer);
	c->answer = NULL;
	c->error_type[0] = '\0';
	mu_sse_init(&rd.sse, EVENT_MAX_BYTES);
	mu_tool_run(&q, &r);
	if (c->stream && r.status == 200)
		c->answer = stream_answer(&rd);
	else if (r.result == MU_TOOL_ANSWERED && r.status != 204)
		c->answer = mu_tool_json(&r);
	if (c->answer != NULL || r.status == 204)
		c->status = r.status;
	else
		c->status = 0;
	/* Every valid answer is JSON or 204; anything else counts as lost. */
	if (c->status == 0)
		action = handle_no_answer(a, c, &r, wait_ms);
	else if (c->status / 100 == 2 &&
		 json_object_get(c->answer, "error") == NULL)
		c->outcome = LOAD_OUTCOME_DONE;
	else
		action = handle_error(a, c, wait_ms);
	mu_sse_clear(&rd.sse);
	free(rd.text);
	json_decref(rd.last_object);
	mu_tool_clear(&r);
	return action;
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
	mu_us deadline = start + MU_US_PER_S * a->opts->call_timeout_s;
	enum load_action action;
	uint32_t wait_ms;

	c->outcome = LOAD_OUTCOME_NO_ANSWER;
	c->attempts = 0;
	if (c->body != NULL)
		body = json_dumps(c->body, JSON_COMPACT);
	do {
		wait_ms = 0;
		action = send_attempt(a, program, c, body, start, &wait_ms);
		c->attempts++;
		if (action == LOAD_STOP ||
		    mu_now(&a->clock) + wait_ms * MU_US_PER_MS >= deadline)
			break;
		sleep_ms(wait_ms);
	} while (true);
	c->duration = mu_now(&a->clock) - start;
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
