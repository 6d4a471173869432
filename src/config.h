/*
 * config.h -- the services text in force: submission and distribution.
 *
 * Rows: "config/current" holds the newest accepted version, "config/v/N" each
 * version, "config/token/U" the version that the submit with token U created,
 * and "audit/e/N" and "audit/last" the audit trail.
 */
#ifndef MU_CONFIG_H
#define MU_CONFIG_H

#include <jansson.h>

#include "daemon.h"

int mu_config_open(struct mu_config **c, struct mu_daemon *d);
int mu_config_start(struct mu_config *c);
/* Stops the thread; peers' pushes and versions may still arrive until close. */
void mu_config_stop(struct mu_config *c);
void mu_config_close(struct mu_config *c);

/*
 * Reads the newest version and applies it if it is higher than the one in
 * force.  Returns 0 when the read succeeded, also if no version exists.
 */
int mu_config_fetch(struct mu_config *c);
/*
 * Handles a peer's report of its version; a newer one is read from the
 * platform.
 */
void mu_config_on_peer_version(struct mu_config *c, uint64_t version);
/* Handles a version that a peer pushed with its text. */
void mu_config_on_push(
    struct mu_config *c, uint64_t version, const char *text, size_t len);
/*
 * Pushes the version in force to all peers, e.g. when a link comes up whose
 * peer may have missed a push.
 */
void mu_config_push_to_peers(struct mu_config *c);

struct mu_submit {
	uint64_t base; /* version that the text is based on */
	const char *text;
	const char *note;
	const char *token; /* chosen by the submitter; the same on a retry */
	const char *who;
};

/*
 * Submits a text.  Returns 0 with the new *version; MU_E_CONFIG_CONFLICT with
 * *version and by (the submitter) of the text in force; MU_E_CONFIG_INVALID;
 * or MU_E_PLATFORM_DOWN, with outcome unknown when the text may have been
 * accepted.
 */
int mu_config_submit(struct mu_config *c, const struct mu_submit *s,
    uint64_t *version, char by[MU_NAME_LEN], struct mu_error *e);
/* Reads a stored version (0: the newest) as JSON; NULL with e on failure. */
json_t *
mu_config_read(struct mu_config *c, uint64_t version, struct mu_error *e);

/* Drains a host or ends its drain, and records it in the audit trail. */
int mu_config_set_drain(struct mu_config *c, const char *host, bool drained,
    const char *who, const char *note, struct mu_error *e);
/*
 * Reads the audit entries after that number, in the form in which the
 * operators' port returns them.
 */
json_t *mu_config_read_audit(
    struct mu_config *c, uint64_t after, size_t limit, struct mu_error *e);

#endif
