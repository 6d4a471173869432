/*
 * batch.h -- the continuous batch of the engine stand-in.
 */
#ifndef BATCH_H
#define BATCH_H

#include "serve.h"

enum job_state {
	JOB_WAITING,
	JOB_RUNNING,
	JOB_FINISHED,
	JOB_STOPPED /* cancelled, or the client closed */
};

struct job {
	struct cds_list_head node;
	struct server *s;
	enum job_state state;
	char id[MU_NAME_LEN + 1]; /* in the answer; replaced under "cross" */
	json_t *request;
	char program[MU_NAME_LEN + 1];
	int64_t priority;
	char *proof; /* text of chunk 0, see proof.h */
	uint64_t chunks;
	uint64_t chunks_generated;
	uint64_t chunks_sent; /* taken by the connection's thread */
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t prefill_left_us;
	pthread_cond_t progress;
};

struct engine {
	pthread_mutex_t lock; /* guards all below; taken before serve's */
	pthread_cond_t queue_changed; /* a job was added or removed */
	pthread_cond_t token_ms_set;
	struct server *s;
	struct cds_list_head waiting; /* by priority, then arrival */
	struct cds_list_head running;
	uint32_t nwaiting;
	uint32_t nrunning;
	uint32_t max_batch;
	uint32_t max_queue;
	uint32_t prefill_us_per_token; /* uncached tokens only */
};

extern struct engine eng;

/* Starts the batch's thread. */
void batch_start(struct server *s);
/* Wakes the batch so that a new token_ms takes effect at once. */
void batch_on_fault(struct server *s, const json_t *fields);
void batch_load(struct serve_load *l);
/* Adds a job to the queue; the caller holds eng.lock. */
void batch_add(struct job *j);
/* Stops the job of a request id; false if none.  Needs eng.lock. */
bool batch_cancel(const char *id);
/* Callbacks of struct serve_stream; job_stream_close frees the job. */
enum serve_event_status
job_next_event(void *arg, const struct serve_conn *conn, char **event);
void job_stream_close(void *arg);

#endif
