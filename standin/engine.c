/*
 * engine.c -- stand-in for a model engine: requests and cache commands.
 *
 * Requests run in the batch (batch.c) and use the prefix cache (cache.c).
 * The text of an answer depends only on the request and starts with a
 * fingerprint of the history that was received (proof.h).
 */
#include <stdlib.h>
#include <string.h>

#include "batch.h"
#include "cache.h"
#include "kvstore.h"
#include "proof.h"

#define DEFAULT_TOKEN_MS 5
#define DEFAULT_CACHE_TOKENS 400000
/* An answer has MIN_CHUNKS to MIN_CHUNKS + CHUNK_COUNT_RANGE - 1 chunks. */
#define MIN_CHUNKS 8
#define CHUNK_COUNT_RANGE 25

static struct {
	uint64_t cache_max; /* tokens */
	uint64_t seed;
	const char *platform; /* IP:PORT of the object store, or NULL */
	json_t *epochs; /* highest epoch by program; guarded by eng.lock */
} conf = {.cache_max = DEFAULT_CACHE_TOKENS};

/* Records the epoch; false when it is below the highest seen. */
static bool
epoch_is_current(const char *program, json_int_t epoch)
{
	json_int_t highest;

	highest = json_integer_value(json_object_get(conf.epochs, program));
	if (epoch > highest)
		json_object_set_new(conf.epochs, program, json_integer(epoch));
	return epoch >= highest;
}

/* Requests */

static uint64_t
count_tokens(const json_t *messages)
{
	uint64_t n = 0;
	json_t *m;
	size_t i;

	json_array_foreach (messages, i, m) {
		n +=
		    (json_string_length(json_object_get(m, "content")) + 3) / 4;
	}
	return n;
}

static struct job *
job_new(struct serve_req *q, const char *id, const char *program,
    const json_t *messages, json_int_t max_tokens)
{
	struct job *j = calloc(1, sizeof(*j));
	char last[PROOF_LAST_BYTES + 1];
	uint64_t hash = proof_hash_messages(messages);

	if (j == NULL)
		abort();
	j->s = q->s;
	j->request = json_incref(q->json);
	snprintf(j->program, sizeof(j->program), "%s", program);
	serve_answer_id(q, j->id, id);
	proof_copy_last_user(messages, last);
	if (asprintf(&j->proof, PROOF_FORMAT, program,
		json_array_size(messages), (unsigned long long)hash,
		last) == -1)
		abort();
	j->prompt_tokens = count_tokens(messages);
	j->chunks = MIN_CHUNKS + hash % CHUNK_COUNT_RANGE;
	if (max_tokens > 0 && (uint64_t)max_tokens < j->chunks)
		j->chunks = (uint64_t)max_tokens;
	pthread_cond_init(&j->progress, NULL);
	return j;
}

static void
generate(struct serve_req *q, struct serve_answer *a)
{
	const char *id, *program;
	json_t *messages;
	json_int_t seq, epoch, priority = 0, max_tokens = 0;
	bool fencing = serve_get_faults(q->s).fencing;
	struct job *j;

	if (json_unpack(q->json, "{s:s,s:s,s:I,s:I,s?I,s:o,s?I}", "request_id",
		&id, "program", &program, "seq", &seq, "epoch", &epoch,
		"priority", &priority, "messages", &messages, "max_tokens",
		&max_tokens) != 0 ||
	    !json_is_array(messages)) {
		serve_error(a, 400, "bad_request");
		return;
	}
	pthread_mutex_lock(&eng.lock);
	if (!epoch_is_current(program, epoch) && fencing) {
		serve_error(a, 412, "stale_epoch");
	} else if (eng.nwaiting >= eng.max_queue) {
		serve_error(a, 429, "overloaded");
	} else {
		j = job_new(q, id, program, messages, max_tokens);
		j->priority = priority;
		a->kind = SERVE_STREAM;
		a->status = 200;
		a->took_effect = true;
		a->u.stream = (struct serve_stream){
		    job_next_event, job_stream_close, j, j->chunks};
		batch_add(j);
	}
	pthread_mutex_unlock(&eng.lock);
}

static void
cancel(struct serve_req *q, struct serve_answer *a)
{
	const char *id;
	bool found;

	if (json_unpack(q->json, "{s:s}", "request_id", &id) != 0) {
		serve_error(a, 400, "bad_request");
		return;
	}
	pthread_mutex_lock(&eng.lock);
	found = batch_cancel(id);
	pthread_mutex_unlock(&eng.lock);
	a->took_effect = true;
	serve_json(a, 200, json_pack("{s:b}", "found", (int)found));
}

static void
events_get(struct serve_req *q, struct serve_answer *a)
{
	pthread_mutex_lock(&eng.lock);
	serve_json(a, 200, cache_events(serve_query_uint(q, "after", 0)));
	pthread_mutex_unlock(&eng.lock);
}

static void
held_get(struct serve_answer *a)
{
	pthread_mutex_lock(&eng.lock);
	serve_json(a, 200, cache_entries());
	pthread_mutex_unlock(&eng.lock);
}

/* Cache commands */

static void
export_prefix(const char *program, const char *name, struct serve_answer *a)
{
	const struct cache_entry *e;
	uint64_t tokens = 0;

	pthread_mutex_lock(&eng.lock);
	e = cache_find(program);
	if (e != NULL)
		tokens = e->tokens;
	pthread_mutex_unlock(&eng.lock);
	if (e == NULL)
		serve_error(a, 404, "not_held");
	else if (!kv_put(name, program, tokens))
		serve_error(a, 503, "unavailable");
	else
		serve_json(
		    a, 200, json_pack("{s:I}", "tokens", (json_int_t)tokens));
}

static void
import_prefix(const char *program, const char *name, struct serve_answer *a)
{
	json_t *o = kv_get(name);
	const char *owner;
	json_int_t tokens;

	if (json_unpack(o, "{s:s,s:I}", "program", &owner, "tokens", &tokens) !=
		0 ||
	    strcmp(owner, program) != 0) {
		serve_error(a, 404, "no_object");
	} else {
		pthread_mutex_lock(&eng.lock);
		cache_store(program, (uint64_t)tokens);
		pthread_mutex_unlock(&eng.lock);
		serve_json(a, 200, json_pack("{s:I}", "tokens", tokens));
	}
	json_decref(o);
}

static void
release_prefix(const char *program, struct serve_answer *a)
{
	struct cache_entry *e;

	pthread_mutex_lock(&eng.lock);
	e = cache_find(program);
	if (e != NULL)
		cache_evict(e);
	pthread_mutex_unlock(&eng.lock);
	serve_json(a, 200, json_pack("{s:b}", "ok", 1));
}

static void
cache_command(struct serve_req *q, struct serve_answer *a)
{
	const char *verb = q->path + strlen("/v1/");
	const char *program, *name = "";
	json_int_t epoch;
	bool fencing = serve_get_faults(q->s).fencing;
	bool current;

	if (json_unpack(q->json, "{s:s,s:I,s?s}", "program", &program, "epoch",
		&epoch, "object", &name) != 0) {
		serve_error(a, 400, "bad_request");
		return;
	}
	pthread_mutex_lock(&eng.lock);
	current = epoch_is_current(program, epoch);
	pthread_mutex_unlock(&eng.lock);
	if (!current && fencing) {
		serve_error(a, 412, "stale_epoch");
		return;
	}
	serve_count(q->s, "orders");
	if (strcmp(verb, "release") == 0)
		release_prefix(program, a);
	else if (strcmp(verb, "export") == 0)
		export_prefix(program, name, a);
	else
		import_prefix(program, name, a);
	a->took_effect = a->status == 200;
}

static void
handle(struct serve_req *q, struct serve_answer *a)
{
	if (serve_matches(q, "POST", "/v1/generate"))
		generate(q, a);
	else if (serve_matches(q, "POST", "/v1/cancel"))
		cancel(q, a);
	else if (serve_matches(q, "GET", "/v1/load"))
		serve_load_report(q->s, a);
	else if (serve_matches(q, "GET", "/v1/events"))
		events_get(q, a);
	else if (serve_matches(q, "GET", "/v1/held"))
		held_get(a);
	else if (serve_matches(q, "POST", "/v1/release") ||
		 serve_matches(q, "POST", "/v1/export") ||
		 serve_matches(q, "POST", "/v1/import"))
		cache_command(q, a);
	else
		serve_error(a, 404, "not_found");
}

static struct server server = {
    .name = "engine",
    .handle = handle,
    .start = batch_start,
    .on_fault = batch_on_fault,
    .get_load = batch_load,
    .fault.token_ms = DEFAULT_TOKEN_MS,
};

/* argp passes NULL for its special keys. */
static uint64_t
parse_number(const char *arg)
{
	return arg == NULL ? 0 : strtoull(arg, NULL, 10);
}

static error_t
parse(int key, char *arg, struct argp_state *st)
{
	uint64_t n = parse_number(arg);

	switch (key) {
	case ARGP_KEY_INIT:
		st->child_inputs[0] = &server;
		return 0;
	case 't':
		server.fault.token_ms = (uint32_t)n;
		return 0;
	case 'b':
		eng.max_batch = (uint32_t)n;
		return 0;
	case 'q':
		eng.max_queue = (uint32_t)n;
		return 0;
	case 'c':
		conf.cache_max = n;
		return 0;
	case 'p':
		eng.prefill_us_per_token = (uint32_t)n;
		return 0;
	case 's':
		conf.seed = n;
		return 0;
	case 'o':
		conf.platform = arg;
		return 0;
	case 'e':
		server.fault.fencing = strcmp(arg, "honour") == 0;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
    {"token-ms", 't', "N", 0, "Time per output chunk, ms (5)", 0},
    {"max-batch", 'b', "N", 0, "Max. batch size (8)", 0},
    {"max-queue", 'q', "N", 0, "Queued requests before a 429 (1000)", 0},
    {"cache-tokens", 'c', "N", 0, "Size of the prefix cache (400000)", 0},
    {"prefill-us", 'p', "N", 0,
	"Prefill time per uncached prompt token, microseconds (0)", 0},
    {"seed", 's', "N", 0, "Seed for the loss of cache events (1)", 0},
    {"platform", 'o', "IP:PORT", 0, "Object store for exports (process memory)",
	0},
    {"fencing", 'e', "honour|ignore", 0, "Treatment of stale epochs (ignore)",
	0},
    {0},
};

int
main(int argc, char **argv)
{
	static const struct argp_child children[] = {
	    {&serve_argp, 0, NULL, 0}, {0}};
	static const struct argp argp = {.options = options,
	    .parser = parse,
	    .doc = "Stand-in for a model engine.",
	    .children = children};

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	conf.epochs = json_object();
	cache_init(&server, conf.cache_max, conf.seed);
	kv_init(conf.platform);
	return serve_run(&server);
}
