/*
 * config_private.h -- private state of config.c and submit.c.
 */
#ifndef MU_CONFIG_PRIVATE_H
#define MU_CONFIG_PRIVATE_H

#include "config.h"

struct mu_config {
	struct mu_daemon *d;
	pthread_mutex_t apply_lock; /* one version is applied at a time */
	pthread_mutex_t lock; /* guards hinted_version and stopping */
	pthread_cond_t wake;
	uint64_t hinted_version; /* highest version that a peer reported */
	bool stopping;
	bool started;
	pthread_t thread;
};

/* Applies a version that this daemon accepted and pushes it to the peers. */
void mu_config_apply_and_push(
    struct mu_config *c, uint64_t version, const char *text);

#endif
