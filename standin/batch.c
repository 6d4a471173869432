/*
 * batch.c -- continuous batching of the engine stand-in.
 *
 * One thread steps the batch: at each step it admits waiting jobs in order of
 * (priority, arrival) up to max_batch, waits token_ms, and generates one
 * output chunk for each running job.  A job first spends prefill time on the
 * prompt tokens that its program's cached prefix does not cover.
 *
 * A connection's thread only waits for chunks of its own job, so a client
 * that disconnects or a frozen connection never delays the batch.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"
#include "cache.h"

#define DEFAULT_MAX_BATCH 8
#define DEFAULT_MAX_QUEUE 1000
#define DISCONNECT_POLL_MS 50

struct engine eng = {
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .queue_changed = PTHREAD_COND_INITIALIZER,
    .token_ms_set = PTHREAD_COND_INITIALIZER,
    .waiting = CDS_LIST_HEAD_INIT(eng.waiting),
    .running = CDS_LIST_HEAD_INIT(eng.running),
    .max_batch = DEFAULT_MAX_BATCH,
    .max_queue = DEFAULT_MAX_QUEUE,
};

/* Jobs */

static void
job_free(struct job *j)
{
	json_decref(j->request);
	pthread_cond_destroy(&j->progress);
	free(j->proof);
	free(j);
}

/* Admits a job to the batch; from then on it counts as executed. */
static void
job_admit(struct job *j)
{
	struct cache_entry *e = cache_find(j->program);
	uint64_t have = e == NULL ? 0 : e->tokens;

	cds_list_del(&j->node);
	eng.nwaiting--;
	cds_list_add_tail(&j->node, &eng.running);
	eng.nrunning++;
	j->state = JOB_RUNNING;
	j->cached_tokens = have < j->prompt_tokens ? have : j->prompt_tokens;
	j->prefill_left_us =
	    (j->prompt_tokens - j->cached_tokens) * eng.prefill_us_per_token;
	cache_store(j->program, j->prompt_tokens);
	serve_log_execution(j->s, j->request);
	serve_count(j->s, "calls");
}

/* Removes a job from the batch or the queue. */
static void
job_remove(struct job *j, enum job_state state)
{
	cds_list_del(&j->node);
	if (j->state == JOB_RUNNING) {
		eng.nrunning--;
		cache_store(j->program, j->prompt_tokens + j->chunks_generated);
	} else {
		eng.nwaiting--;
	}
	j->state = state;
	pthread_cond_signal(&j->progress);
	pthread_cond_signal(&eng.queue_changed);
}

static bool
job_active(const struct job *j)
{
	return j->state == JOB_WAITING || j->state == JOB_RUNNING;
}

static void
job_advance(struct job *j, uint64_t step_us)
{
	if (j->prefill_left_us > step_us) {
		j->prefill_left_us -= step_us;
		return;
	}
	j->prefill_left_us = 0;
	if (++j->chunks_generated == j->chunks)
		job_remove(j, JOB_FINISHED);
	else
		pthread_cond_signal(&j->progress);
}

/* Advances the time of the next step, to the current time at least. */
static void
advance_step_time(struct timespec *at, uint32_t step_ms)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	at->tv_nsec += (long)(step_ms % 1000) * 1000000;
	at->tv_sec += step_ms / 1000 + at->tv_nsec / 1000000000;
	at->tv_nsec %= 1000000000;
	if (at->tv_sec < now.tv_sec ||
	    (at->tv_sec == now.tv_sec && at->tv_nsec < now.tv_nsec))
		*at = now;
}

/* Waits for the end of a step, or until token_ms changes. */
static void
wait_for_step(struct timespec *at, uint32_t step_ms)
{
	advance_step_time(at, step_ms);
	while (serve_get_faults(eng.s).token_ms == step_ms &&
	       pthread_cond_clockwait(&eng.token_ms_set, &eng.lock,
		   CLOCK_MONOTONIC, at) != ETIMEDOUT)
		continue;
	if (serve_get_faults(eng.s).token_ms != step_ms)
		clock_gettime(CLOCK_MONOTONIC, at);
}

void
batch_on_fault(struct server *s, const json_t *fields)
{
	(void)s;
	(void)fields;
	pthread_mutex_lock(&eng.lock);
	pthread_cond_signal(&eng.token_ms_set);
	pthread_mutex_unlock(&eng.lock);
}

static void *
batch_loop(void *arg)
{
	struct job *j, *next;
	struct timespec at;
	uint32_t ms;

	(void)arg;
	clock_gettime(CLOCK_MONOTONIC, &at);
	pthread_mutex_lock(&eng.lock);
	for (;;) {
		while (eng.nwaiting + eng.nrunning == 0) {
			pthread_cond_wait(&eng.queue_changed, &eng.lock);
			clock_gettime(CLOCK_MONOTONIC, &at);
		}
		while (eng.nwaiting > 0 && eng.nrunning < eng.max_batch)
			job_admit(cds_list_first_entry(
			    &eng.waiting, struct job, node));
		ms = serve_get_faults(eng.s).token_ms;
		wait_for_step(&at, ms);
		cds_list_for_each_entry_safe (j, next, &eng.running, node) {
			job_advance(j, ms == 0 ? UINT64_MAX : ms * 1000ULL);
		}
	}
	return NULL;
}

void
batch_start(struct server *s)
{
	pthread_t t;

	eng.s = s;
	pthread_create(&t, NULL, batch_loop, s);
}

/* Streams */

/* Waits for a chunk or the end; polls for a client that disconnected. */
static void
job_wait(struct job *j, const struct serve_conn *conn)
{
	struct timespec t;

	while (job_active(j) && j->chunks_generated == j->chunks_sent) {
		clock_gettime(CLOCK_MONOTONIC, &t);
		t.tv_nsec += DISCONNECT_POLL_MS * 1000000L;
		if (t.tv_nsec >= 1000000000) {
			t.tv_sec++;
			t.tv_nsec -= 1000000000;
		}
		if (pthread_cond_clockwait(&j->progress, &eng.lock,
			CLOCK_MONOTONIC, &t) == ETIMEDOUT &&
		    serve_client_closed(conn) && job_active(j))
			job_remove(j, JOB_STOPPED);
	}
}

static char *
event_text(json_t *e)
{
	char *json = json_dumps(e, JSON_COMPACT);
	char *text = NULL;

	if (json != NULL && asprintf(&text, "data: %s\n\n", json) == -1)
		text = NULL;
	free(json);
	json_decref(e);
	return text;
}

static char *
last_event_text(const struct job *j)
{
	return event_text(json_pack("{s:s,s:b,s:I,s:{s:I,s:I,s:I}}",
	    "request_id", j->id, "done", 1, "pieces", (json_int_t)j->chunks,
	    "usage", "prompt_tokens", (json_int_t)j->prompt_tokens,
	    "cached_tokens", (json_int_t)j->cached_tokens, "output_tokens",
	    (json_int_t)j->chunks));
}

static char *
chunk_event_text(const struct job *j, uint64_t i)
{
	char word[32];

	snprintf(word, sizeof(word), " w%llu", (unsigned long long)i);
	return event_text(json_pack("{s:s,s:I,s:s}", "request_id", j->id,
	    "index", (json_int_t)i, "text", i == 0 ? j->proof : word));
}

enum serve_event_status
job_next_event(void *arg, const struct serve_conn *conn, char **event)
{
	struct job *j = arg;
	enum serve_event_status r = SERVE_MORE;

	pthread_mutex_lock(&eng.lock);
	job_wait(j, conn);
	if (j->chunks_sent < j->chunks_generated)
		*event = chunk_event_text(j, j->chunks_sent++);
	else if (j->state == JOB_FINISHED) {
		*event = last_event_text(j);
		r = SERVE_LAST;
	} else
		r = SERVE_ABORT;
	pthread_mutex_unlock(&eng.lock);
	return *event == NULL ? SERVE_ABORT : r;
}

void
job_stream_close(void *arg)
{
	struct job *j = arg;

	pthread_mutex_lock(&eng.lock);
	if (job_active(j))
		job_remove(j, JOB_STOPPED);
	pthread_mutex_unlock(&eng.lock);
	job_free(j);
}

/* Queue */

void
batch_add(struct job *j)
{
	struct job *other;

	cds_list_for_each_entry (other, &eng.waiting, node) {
		if (other->priority > j->priority)
			break;
	}
	cds_list_add_tail(&j->node, &other->node);
	eng.nwaiting++;
	pthread_cond_signal(&eng.queue_changed);
}

static bool
cancel_in_list(struct cds_list_head *list, const char *id)
{
	struct job *j;

	cds_list_for_each_entry (j, list, node) {
		if (strcmp(json_string_value(
			       json_object_get(j->request, "request_id")),
			id) == 0) {
			job_remove(j, JOB_STOPPED);
			return true;
		}
	}
	return false;
}

bool
batch_cancel(const char *id)
{
	return cancel_in_list(&eng.waiting, id) ||
	       cancel_in_list(&eng.running, id);
}

void
batch_load(struct serve_load *l)
{
	pthread_mutex_lock(&eng.lock);
	l->running = eng.nrunning;
	l->queued = eng.nwaiting;
	l->max_batch = eng.max_batch;
	cache_load(l);
	pthread_mutex_unlock(&eng.lock);
}
