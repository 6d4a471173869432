/*
 * program.c -- one agent program, run as a caller would.
 *
 * Creates a program, sends its calls one after another with pauses and checks
 * each answer.  Finally it fetches the history and the stored answers of the
 * non-idempotent calls, compares them with its own copies and ends the
 * program.  Each message starts with a marker that is unique to its call.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "load.h"
#include "proof.h"

#define TARGET_BYTES 192
#define CONTENT_BYTES 512
#define FILLER_MIN_BYTES 20
#define FILLER_SPREAD_BYTES 300
#define MAX_TOKENS 64
#define NON_STREAMED_INTERVAL 4 /* every fourth model call */
#define MS_PER_S 1000

struct program_run {
	const struct load_opts *opts;
	struct load_tally *tally;
	struct load_addrs addrs;
	struct shape_rand rand;
	unsigned number;
	char id[MU_ID_LEN + 1];
	uint64_t seq;
	struct load_history history;
	json_t *stored_results; /* {"seq","output"} of non-idempotent calls */
	json_t *uncommitted; /* requests not committed yet, with receipts */
	mu_us busy_time;
};

static void
make_marker(const struct program_run *r, char marker[LOAD_MARKER_BYTES])
{
	(void)snprintf(marker, LOAD_MARKER_BYTES,
	    "[p%u.s%" PRIu64 ".r%" PRIu64 "]", r->number, r->seq,
	    r->opts->seed);
}

/* Makes a message of random length that starts with the marker. */
static void
make_content(
    struct program_run *r, const char *marker, char content[CONTENT_BYTES])
{
	size_t n = (size_t)snprintf(content, CONTENT_BYTES, "%s ", marker);
	size_t end = n + FILLER_MIN_BYTES +
		     (size_t)(shape_uniform(&r->rand) * FILLER_SPREAD_BYTES);

	for (; n < end && n < CONTENT_BYTES - 1; n++)
		content[n] = (char)('a' + n % 26);
	content[n] = '\0';
}

static void
pause_between_calls(struct program_run *r)
{
	mu_us us = shape_exponential(
	    &r->rand, (mu_us)r->opts->think_ms * MU_US_PER_MS);
	struct timespec t = {.tv_sec = (time_t)(us / MU_US_PER_S),
	    .tv_nsec = (long)(us % MU_US_PER_S) * 1000};

	(void)nanosleep(&t, NULL);
}

/* Sends a request for this program that is not a call and has no seq. */
static void
send_request(struct program_run *r, struct load_call *c, const char *method,
    const char *target)
{
	memset(c, 0, sizeof(*c));
	c->method = method;
	c->target = target;
	load_call_run(&r->addrs, r->id, c);
}

static bool
create_program(struct program_run *r)
{
	json_t *body = json_pack("{s:{s:I,s:I,s:I}}", "budget", "tokens",
	    (json_int_t)10000000, "calls", (json_int_t)10000, "seconds",
	    (json_int_t)86400);
	struct load_call c = {
	    .method = "POST", .target = "/v1/programs", .body = body};
	const char *id;

	load_call_run(&r->addrs, NULL, &c);
	json_decref(body);
	id = json_string_value(json_object_get(c.answer, "program"));
	if (c.outcome == LOAD_OUTCOME_DONE && id != NULL &&
	    strlen(id) <= MU_ID_LEN) {
		(void)snprintf(r->id, sizeof(r->id), "%s", id);
		load_addrs_update(&r->addrs, c.answer);
	}
	r->busy_time += c.duration;
	load_call_clear(&c);
	return r->id[0] != '\0';
}

/* Returns whether the answer belongs to this program and call. */
static bool
answer_matches_call(const struct program_run *r, const json_t *answer)
{
	const char *id = json_string_value(json_object_get(answer, "program"));
	json_t *seq = json_object_get(answer, "seq");

	return id != NULL && strcmp(id, r->id) == 0 && json_is_integer(seq) &&
	       (uint64_t)json_integer_value(seq) == r->seq;
}

static void
check_model_answer(
    struct program_run *r, const json_t *answer, const char *marker)
{
	const char *output =
	    json_string_value(json_object_get(answer, "output"));
	enum load_fault f = FAULT_MIXED;
	bool has_proof = false;

	if (output != NULL)
		f = load_proof_check(
		    &r->history, r->id, marker, output, &has_proof);
	if (f != FAULT_COUNT)
		tally_add_fault(r->tally, f, r->id, r->seq, output);
	pthread_mutex_lock(&r->tally->lock);
	if (has_proof && r->history.is_known)
		r->tally->histories_checked++;
	else
		r->tally->histories_unchecked++;
	pthread_mutex_unlock(&r->tally->lock);
}

/* The stand-in of a plain service echoes its input. */
static void
check_service_answer(
    struct program_run *r, const json_t *answer, const char *marker)
{
	const json_t *output = json_object_get(answer, "output");
	const json_t *echo = json_object_get(output, "echo");
	const char *item = json_string_value(json_object_get(echo, "item"));

	if (echo != NULL && (item == NULL || strcmp(item, marker) != 0))
		tally_add_fault(r->tally, FAULT_MIXED, r->id, r->seq, item);
}

static void
tally_call(struct program_run *r, const struct load_call *c)
{
	pthread_mutex_lock(&r->tally->lock);
	if (c->outcome == LOAD_OUTCOME_DONE) {
		r->tally->calls_done++;
		hist_add(&r->tally->call, c->duration);
		if (c->first_token > 0)
			hist_add(&r->tally->first_token, c->first_token);
	}
	pthread_mutex_unlock(&r->tally->lock);
	if (c->stream_differs)
		tally_add_fault(r->tally, FAULT_STREAM, r->id, r->seq, NULL);
	if (c->outcome == LOAD_OUTCOME_DONE &&
	    !answer_matches_call(r, c->answer))
		tally_add_fault(
		    r->tally, FAULT_MIXED, r->id, r->seq, "program or seq");
	/* The program was not ended, so every daemon must find it. */
	if (strcmp(c->error_type, "not_found") == 0)
		tally_add_fault(r->tally, FAULT_FORGOTTEN, r->id, r->seq, NULL);
}

/* Records the last outcome of a non-idempotent call. */
static void
record_non_idempotent(struct program_run *r, const struct load_call *c,
    const char *operation, const char *marker)
{
	json_t *entry = json_pack("{s:s,s:I,s:s,s:s,s:s,s:i,s:s}", "program",
	    r->id, "seq", (json_int_t)r->seq, "operation", operation, "marker",
	    marker, "told", load_outcome_name(c->outcome), "attempts",
	    (int)c->attempts, "type", c->error_type);

	pthread_mutex_lock(&r->tally->lock);
	(void)json_array_append_new(r->tally->call_records, entry);
	pthread_mutex_unlock(&r->tally->lock);
	if (c->outcome == LOAD_OUTCOME_DONE)
		(void)json_array_append_new(r->stored_results,
		    json_pack("{s:I,s:O?}", "seq", (json_int_t)r->seq, "output",
			json_object_get(c->answer, "output")));
}

/* Keeps request and receipt of an answer that was not committed. */
static void
keep_receipt(struct program_run *r, const json_t *body, const json_t *answer)
{
	json_t *receipt = json_object_get(answer, "receipt");
	json_t *request;

	if (!json_is_false(json_object_get(answer, "committed"))) {
		/* Turns are committed in order, so all earlier ones are. */
		(void)json_array_clear(r->uncommitted);
		return;
	}
	request = json_deep_copy(body);
	if (receipt != NULL)
		(void)json_object_set(request, "receipt", receipt);
	(void)json_array_append_new(r->uncommitted, request);
	pthread_mutex_lock(&r->tally->lock);
	r->tally->uncommitted++;
	pthread_mutex_unlock(&r->tally->lock);
}

/* Resends turns that a daemon lost before it could commit them. */
static void
restore_uncommitted(struct program_run *r, const char *target)
{
	struct load_call c;
	json_t *body;
	size_t i;

	json_array_foreach (r->uncommitted, i, body) {
		memset(&c, 0, sizeof(c));
		c.method = "POST";
		c.target = target;
		c.body = body;
		c.stream = json_is_true(json_object_get(body, "stream"));
		load_call_run(&r->addrs, r->id, &c);
		r->busy_time += c.duration;
		load_call_clear(&c);
	}
	pthread_mutex_lock(&r->tally->lock);
	r->tally->restored += json_array_size(r->uncommitted);
	pthread_mutex_unlock(&r->tally->lock);
}

/* Sends the call of a step; returns false if the program cannot continue. */
static bool
send_call(struct program_run *r, const struct shape_step *step, json_t *input,
    bool stream, struct load_call *c)
{
	char target[TARGET_BYTES];
	json_t *body;

	(void)snprintf(target, sizeof(target), "/v1/programs/%s/calls", r->id);
	body = json_pack("{s:I,s:s,s:o,s:I,s:b}", "seq", (json_int_t)r->seq,
	    "service", step->service, "input", input, "deadline_ms",
	    (json_int_t)r->opts->call_timeout_s * MS_PER_S, "stream", stream);
	if (!step->repeatable)
		(void)json_object_set_new(body, "repeatable", json_false());
	memset(c, 0, sizeof(*c));
	c->method = "POST";
	c->target = target;
	c->body = body;
	c->stream = stream;
	load_call_run(&r->addrs, r->id, c);
	r->busy_time += c->duration;
	if (strcmp(c->error_type, "seq_gap") == 0 &&
	    c->outcome != LOAD_OUTCOME_DONE) {
		restore_uncommitted(r, target);
		load_call_run(&r->addrs, r->id, c);
		r->busy_time += c->duration;
	}
	if (c->outcome == LOAD_OUTCOME_DONE)
		keep_receipt(r, body, c->answer);
	c->body = NULL;
	c->target = NULL;
	json_decref(body);
	tally_call(r, c);
	/* A call of unknown result uses up its seq, one not run does not. */
	return c->outcome == LOAD_OUTCOME_DONE ||
	       c->outcome == LOAD_OUTCOME_UNKNOWN;
}

static json_t *
make_message(const char *role, const char *content)
{
	return json_pack("{s:s,s:s}", "role", role, "content", content);
}

static bool
run_model_turn(struct program_run *r, unsigned turn)
{
	struct shape_step step = shape_model_call(r->opts->shape);
	char marker[LOAD_MARKER_BYTES], content[CONTENT_BYTES];
	struct load_call c;
	const char *output;
	bool ok;

	r->seq++;
	make_marker(r, marker);
	make_content(r, marker, content);
	ok = send_call(r, &step,
	    json_pack("{s:[o],s:i}", "messages", make_message("user", content),
		"max_tokens", MAX_TOKENS),
	    turn % NON_STREAMED_INTERVAL != 0, &c);
	if (c.outcome == LOAD_OUTCOME_DONE) {
		(void)json_array_append_new(
		    r->history.messages, make_message("user", content));
		check_model_answer(r, c.answer, marker);
		output = json_string_value(json_object_get(c.answer, "output"));
		(void)json_array_append_new(r->history.messages,
		    make_message("assistant", output != NULL ? output : ""));
	} else {
		r->history.is_known = false;
	}
	load_call_clear(&c);
	return ok;
}

static bool
run_tool_call(struct program_run *r, const struct shape_step *step)
{
	char marker[LOAD_MARKER_BYTES];
	struct load_call c;
	bool ok;

	r->seq++;
	make_marker(r, marker);
	ok = send_call(r, step,
	    json_pack(
		"{s:s,s:s}", "operation", step->operation, "item", marker),
	    false, &c);
	if (c.outcome == LOAD_OUTCOME_DONE)
		check_service_answer(r, c.answer, marker);
	if (!step->repeatable)
		record_non_idempotent(r, &c, step->operation, marker);
	load_call_clear(&c);
	return ok;
}

static bool
run_turns(struct program_run *r)
{
	struct shape_step tools[SHAPE_TOOLS_MAX];
	unsigned turn, i, n;

	for (turn = 1; turn <= r->opts->turns; turn++) {
		if (!run_model_turn(r, turn))
			return false;
		pause_between_calls(r);
		n = shape_tool_calls(
		    r->opts->shape, &r->rand, turn, r->opts->turns, tools);
		for (i = 0; i < n; i++) {
			if (!run_tool_call(r, &tools[i]))
				return false;
			pause_between_calls(r);
		}
	}
	return true;
}

/* Compares the daemon's history with the local copy. */
static void
check_history(struct program_run *r)
{
	char target[TARGET_BYTES];
	struct load_call c;
	const json_t *h;

	(void)snprintf(target, sizeof(target), "/v1/programs/%s", r->id);
	send_request(r, &c, "GET", target);
	if (strcmp(c.error_type, "not_found") == 0)
		tally_add_fault(r->tally, FAULT_FORGOTTEN, r->id, r->seq, NULL);
	h = json_object_get(c.answer, "history");
	if (c.outcome == LOAD_OUTCOME_DONE && r->history.is_known &&
	    json_object_get(json_array_get(h, 0), "role") != NULL &&
	    (json_array_size(h) != json_array_size(r->history.messages) ||
		proof_hash_messages(h) !=
		    proof_hash_messages(r->history.messages)))
		tally_add_fault(
		    r->tally, FAULT_HISTORY, r->id, r->seq, "at the end");
	load_call_clear(&c);
}

/* Compares the stored answers of non-idempotent calls with the first ones. */
static void
check_stored_answers(struct program_run *r)
{
	char target[TARGET_BYTES];
	struct load_call c;
	json_t *entry;
	json_int_t seq;
	size_t i;

	json_array_foreach (r->stored_results, i, entry) {
		seq = json_integer_value(json_object_get(entry, "seq"));
		(void)snprintf(target, sizeof(target),
		    "/v1/programs/%s/calls/%" JSON_INTEGER_FORMAT, r->id, seq);
		send_request(r, &c, "GET", target);
		if (c.outcome == LOAD_OUTCOME_DONE &&
		    !json_equal(json_object_get(c.answer, "output"),
			json_object_get(entry, "output")))
			tally_add_fault(r->tally, FAULT_CHANGED, r->id,
			    (uint64_t)seq, "stored answer");
		load_call_clear(&c);
	}
}

static void
end_program(struct program_run *r)
{
	char target[TARGET_BYTES];
	struct load_call c;

	(void)snprintf(target, sizeof(target), "/v1/programs/%s", r->id);
	send_request(r, &c, "DELETE", target);
	load_call_clear(&c);
}

void
load_program_run(const struct load_opts *opts, struct load_tally *t,
    unsigned thread, unsigned number)
{
	struct program_run r = {.opts = opts, .tally = t, .number = number};
	mu_us start;
	bool ok;

	load_addrs_init(&r.addrs, opts, t, thread);
	shape_seed(&r.rand, opts->seed, number);
	r.history.messages = json_array();
	r.history.is_known = true;
	r.stored_results = json_array();
	r.uncommitted = json_array();
	start = mu_now(&r.addrs.clock);
	ok = create_program(&r) && run_turns(&r);
	pthread_mutex_lock(&t->lock);
	if (ok) {
		t->programs_done++;
		hist_add(&t->program, mu_now(&r.addrs.clock) - start);
		hist_add(&t->program_busy, r.busy_time);
	} else {
		t->programs_failed++;
	}
	pthread_mutex_unlock(&t->lock);
	if (r.id[0] != '\0') {
		check_history(&r);
		check_stored_answers(&r);
		end_program(&r);
	}
	json_decref(r.history.messages);
	json_decref(r.stored_results);
	json_decref(r.uncommitted);
}
