/*
 * service.c -- stand-in for a plain service: orders, archive, dispatch.
 *
 * Accepts any operation: it logs the execution, sleeps work_ms and echoes the
 * input.  The execution numbers and the executed log show whether a call ran
 * twice.  At most --max-batch calls run concurrently; the others are queued.
 */
#include <stdlib.h>
#include <string.h>

#include "serve.h"

#define DEFAULT_MAX_BATCH 64

static struct {
	pthread_mutex_t lock;
	pthread_cond_t slot_free;
	uint32_t running;
	uint32_t queued;
	uint32_t max_batch;
	json_t *epochs; /* highest epoch by program */
} svc = {
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .slot_free = PTHREAD_COND_INITIALIZER,
    .max_batch = DEFAULT_MAX_BATCH,
};

static void
get_load(struct serve_load *l)
{
	pthread_mutex_lock(&svc.lock);
	l->running = svc.running;
	l->queued = svc.queued;
	l->max_batch = svc.max_batch;
	pthread_mutex_unlock(&svc.lock);
}

/* Records the epoch; false when it is below the highest seen. */
static bool
epoch_is_current(const char *program, json_int_t epoch)
{
	json_int_t highest;

	pthread_mutex_lock(&svc.lock);
	highest = json_integer_value(json_object_get(svc.epochs, program));
	if (epoch > highest)
		json_object_set_new(svc.epochs, program, json_integer(epoch));
	pthread_mutex_unlock(&svc.lock);
	return epoch >= highest;
}

static void
slot_acquire(void)
{
	pthread_mutex_lock(&svc.lock);
	svc.queued++;
	while (svc.running >= svc.max_batch)
		pthread_cond_wait(&svc.slot_free, &svc.lock);
	svc.queued--;
	svc.running++;
	pthread_mutex_unlock(&svc.lock);
}

static void
slot_release(void)
{
	pthread_mutex_lock(&svc.lock);
	svc.running--;
	pthread_cond_signal(&svc.slot_free);
	pthread_mutex_unlock(&svc.lock);
}

static void
handle_call(struct serve_req *q, struct serve_answer *a)
{
	const char *id, *program, *op;
	json_t *input = NULL;
	char buf[MU_NAME_LEN + 1];
	json_int_t seq, epoch;
	struct serve_fault f = serve_get_faults(q->s);
	uint64_t n;

	if (json_unpack(q->json, "{s:s,s:s,s:I,s:I,s:s,s?o}", "request_id", &id,
		"program", &program, "seq", &seq, "epoch", &epoch, "operation",
		&op, "input", &input) != 0) {
		serve_error(a, 400, "bad_request");
		return;
	}
	if (!epoch_is_current(program, epoch) && f.fencing) {
		serve_error(a, 412, "stale_epoch");
		return;
	}
	slot_acquire();
	n = serve_log_execution(q->s, q->json);
	serve_count(q->s, "calls");
	serve_sleep_ms(f.work_ms);
	slot_release();
	a->took_effect = true;
	serve_json(a, 200,
	    json_pack("{s:s,s:{s:s,s:I,s:O?}}", "request_id",
		serve_answer_id(q, buf, id), "output", "operation", op, "n",
		(json_int_t)n, "echo", input));
}

static void
handle(struct serve_req *q, struct serve_answer *a)
{
	if (serve_matches(q, "POST", "/call"))
		handle_call(q, a);
	else if (serve_matches(q, "GET", "/v1/load"))
		serve_load_report(q->s, a);
	else
		serve_error(a, 404, "not_found");
}

static struct server server = {
    .name = "service",
    .handle = handle,
    .get_load = get_load,
};

static error_t
parse(int key, char *arg, struct argp_state *st)
{
	switch (key) {
	case ARGP_KEY_INIT:
		st->child_inputs[0] = &server;
		return 0;
	case 'w':
		server.fault.work_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'b':
		svc.max_batch = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'e':
		server.fault.fencing = strcmp(arg, "honour") == 0;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
    {"work-ms", 'w', "N", 0, "Duration of one call in ms (0)", 0},
    {"max-batch", 'b', "N", 0, "Concurrent calls (64)", 0},
    {"fencing", 'e', "honour|ignore", 0, "Stale epoch handling (ignore)", 0},
    {0},
};

int
main(int argc, char **argv)
{
	static const struct argp_child children[] = {
	    {&serve_argp, 0, NULL, 0}, {0}};
	static const struct argp argp = {.options = options,
	    .parser = parse,
	    .doc = "Stand-in for a plain service.",
	    .children = children};

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	svc.epochs = json_object();
	return serve_run(&server);
}
