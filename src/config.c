/*
 * config.c -- the services text in force: distribution and activation.
 *
 * A daemon applies a version only when it is higher than the one in force, so
 * no order of pushes, reads and restarts can bring back an older one (spec:
 * Apply).  A new version arrives in a push from the daemon that accepted it,
 * after a heartbeat that reports a higher version, or through a slow poll.  A
 * daemon that starts while the platform is unavailable uses the highest
 * version that its peers push.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config_private.h"
#include "log.h"
#include "metric.h"
#include "wait.h"

#define POLL_INTERVAL_MS 2000 /* when no peer has reported a newer version */
#define RETRY_INTERVAL_MS 500 /* behind a peer's version, or none in force */

/* Puts a version in force if it is higher than the current one. */
static void
apply_version(
    struct mu_config *c, uint64_t version, const char *text, size_t len)
{
	struct mu_daemon *d = c->d;
	struct mu_bd_text *t;
	struct mu_error e;

	pthread_mutex_lock(&c->apply_lock);
	if (version <= mu_board_version(&d->board)) {
		pthread_mutex_unlock(&c->apply_lock);
		return;
	}
	t = calloc(1, sizeof(*t));
	if (t != NULL && mu_text_parse(text, len, &t->text, &e) != 0) {
		mu_log_error(MU_LOG_ERROR, "config", "stored_text_invalid", &e);
		free(t);
		t = NULL;
	}
	if (t != NULL) {
		t->version = version;
		t->yaml = strndup(text, len);
		mu_board_set_text(&d->board, t);
		mu_count(MU_M_CONFIGS, 1);
		mu_log(MU_LOG_INFO, "config", "applied", "{s:I}", "version",
		    (json_int_t)version);
	}
	pthread_mutex_unlock(&c->apply_lock);
}

void
mu_config_on_push(
    struct mu_config *c, uint64_t version, const char *text, size_t len)
{
	apply_version(c, version, text, len);
}

void
mu_config_push_to_peers(struct mu_config *c)
{
	struct mu_bd_text *t = mu_board_text_ref(&c->d->board);

	if (t != NULL && c->d->peers != NULL)
		mu_peers_push_config(
		    c->d->peers, t->version, t->yaml, strlen(t->yaml));
	mu_board_text_unref(t);
}

void
mu_config_apply_and_push(
    struct mu_config *c, uint64_t version, const char *text)
{
	apply_version(c, version, text, strlen(text));
	mu_config_push_to_peers(c);
}

void
mu_config_on_peer_version(struct mu_config *c, uint64_t version)
{
	if (version <= mu_board_version(&c->d->board))
		return;
	pthread_mutex_lock(&c->lock);
	if (version > c->hinted_version) {
		c->hinted_version = version;
		pthread_cond_signal(&c->wake);
	}
	pthread_mutex_unlock(&c->lock);
}

int
mu_config_fetch(struct mu_config *c)
{
	struct mu_error e = {0};
	json_t *j = mu_config_read(c, 0, &e);
	const char *text = json_string_value(json_object_get(j, "text"));
	uint64_t version =
	    (uint64_t)json_integer_value(json_object_get(j, "version"));

	if (text != NULL)
		apply_version(c, version, text, strlen(text));
	if (j == NULL)
		return e.type == MU_E_NOT_FOUND ? 0 : (int)e.type;
	json_decref(j);
	return 0;
}

static bool
wait_for_poll(struct mu_config *c)
{
	struct timespec ts;
	uint64_t version = mu_board_version(&c->d->board);
	uint32_t ms;
	bool running;
	int rc = 0;

	pthread_mutex_lock(&c->lock);
	ms = version == 0 || c->hinted_version > version ? RETRY_INTERVAL_MS
							 : POLL_INTERVAL_MS;
	mu_time_after(&ts, ms);
	while (!c->stopping && rc != ETIMEDOUT &&
	       (ms == RETRY_INTERVAL_MS || c->hinted_version <= version))
		rc = pthread_cond_timedwait(&c->wake, &c->lock, &ts);
	running = !c->stopping;
	pthread_mutex_unlock(&c->lock);
	return running;
}

static void *
config_main(void *arg)
{
	struct mu_config *c = arg;

	do
		(void)mu_config_fetch(c);
	while (wait_for_poll(c));
	return NULL;
}

int
mu_config_open(struct mu_config **out, struct mu_daemon *d)
{
	struct mu_config *c = calloc(1, sizeof(*c));

	if (c == NULL)
		return MU_E_NOMEM;
	c->d = d;
	pthread_mutex_init(&c->lock, NULL);
	pthread_mutex_init(&c->apply_lock, NULL);
	mu_cond_init(&c->wake);
	*out = c;
	return 0;
}

int
mu_config_start(struct mu_config *c)
{
	if (pthread_create(&c->thread, NULL, config_main, c) != 0)
		return MU_E_SYSTEM;
	c->started = true;
	return 0;
}

void
mu_config_stop(struct mu_config *c)
{
	if (c == NULL)
		return;
	pthread_mutex_lock(&c->lock);
	c->stopping = true;
	pthread_cond_signal(&c->wake);
	pthread_mutex_unlock(&c->lock);
	if (c->started)
		pthread_join(c->thread, NULL);
	c->started = false;
}

void
mu_config_close(struct mu_config *c)
{
	if (c == NULL)
		return;
	mu_config_stop(c);
	pthread_cond_destroy(&c->wake);
	pthread_mutex_destroy(&c->lock);
	pthread_mutex_destroy(&c->apply_lock);
	free(c);
}
