/*
 * proc_call.h -- calls made while faults are injected, and their outcomes.
 */
#ifndef PROC_CALL_H
#define PROC_CALL_H

#include <pthread.h>

#include "proc.h"

#define CALL_ID_LEN 64

/* A call that runs on its own thread. */
struct caller {
	pthread_t thread;
	char addr[PROC_ADDR_LEN];
	char path[128];
	char body[512];
	struct http_res res;
};

/* Starts a cluster of that size and applies its services text. */
struct cluster *call_cluster(int daemons, int engines, int services);
/* Creates a program through the first running daemon. */
void call_program(struct cluster *c, char id[CALL_ID_LEN]);
/* Returns the owner of the program; *other is a daemon that is not. */
struct unit *
call_owner(struct cluster *c, const char *program, struct unit **other);

/* Starts a call of pantry's reprint, a non-idempotent operation. */
void call_start(
    struct caller *k, const struct unit *d, const char *program, int seq);
/* Starts a model call whose user message is text. */
void call_start_model(struct caller *k, const struct unit *d,
    const char *program, int seq, const char *text, int max_tokens);
/* Starts a call with the given JSON body. */
void call_start_body(struct caller *k, const struct unit *d,
    const char *program, const char *body);
/* Waits for the response; the test must http_clear(&k->res). */
void call_end(struct caller *k);
/* Repeats a call of reprint until its outcome is final: done, or permanently
 * unknown. */
void call_until_final(
    struct caller *k, const struct unit *d, const char *program, int seq);

/* Outcome in the response: "done", "unknown", "not_run", or "" if absent. */
const char *call_outcome(const struct caller *k);
/* Error type in the response, or "". */
const char *call_error(const struct caller *k);
/* How many times the plain services executed the call. */
size_t call_run_count(struct cluster *c, const char *program, int seq);
void call_until_run(struct cluster *c, const char *program, int seq);
void call_services_slow(struct cluster *c, int ms);
/* Condition for proc_until(): the daemon (a struct unit) reports the platform
 * as unavailable. */
bool call_platform_unavailable(void *daemon);
/* An integer field of a daemon's status. */
json_int_t call_status(const struct unit *d, const char *key);

#endif
