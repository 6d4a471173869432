/*
 * crashes.h -- evidence that a request crashes the endpoints that run it.
 *
 * A request is identified by its fingerprint, a hash of customer, host, method,
 * path and the whole body that an endpoint receives, so a turn of a
 * conversation includes what was said before.  A request that crashed
 * MU_CRASHES_LIMIT endpoints one after the other, and never completed, is
 * refused by every daemon.  Daemons exchange what they saw in heartbeats.
 *
 * Pure, no locks; all memory is allocated by mu_crashes_init().  The ways
 * weighed are in docs/design/retries.md.
 */
#ifndef MU_CRASHES_H
#define MU_CRASHES_H

#include "musher.h"

/* Crashes, one after the other, after which a request is refused. */
#define MU_CRASHES_LIMIT 2
/* Most reports in one heartbeat.  A list of this length may be truncated. */
#define MU_CRASHES_REPORTS_MAX 64

struct mu_crash_conf {
	uint32_t max_entries; /* fingerprints with evidence */
	uint32_t max_completed; /* fingerprints known to complete */
	mu_us suspicion_ttl; /* lifetime of fewer crashes than the limit */
	mu_us refusal_ttl; /* lifetime of evidence that refuses a request */
};

extern const struct mu_crash_conf mu_crash_conf_default;

/* An attempt that its endpoint broke off. */
struct mu_crash_attempt {
	uint64_t fingerprint;
	uint32_t known; /* mu_crashes_count() when it was sent */
	mu_us started;
	mu_us ended;
};

/* What a daemon tells its peers about one request. */
struct mu_crash_report {
	uint64_t fingerprint;
	uint32_t count;
};

struct mu_crash_entry; /* crashes.c */

struct mu_crashes {
	struct mu_crash_conf conf;
	struct mu_crash_entry *entries; /* array of max_entries */
	uint32_t nentries;
	uint64_t *completed; /* direct-mapped, max_completed slots */
};

/* Returns 0 or MU_E_NOMEM. */
int mu_crashes_init(struct mu_crashes *c, const struct mu_crash_conf *conf);
void mu_crashes_fini(struct mu_crashes *c);

/* customer may be NULL.  Never 0. */
uint64_t mu_crashes_fingerprint(const char *customer, const char *host,
    const char *method, const char *path, const void *body, size_t len);

/* Crashes, one after the other, that this daemon and its peers know of.  The
 * request is to be refused when there are MU_CRASHES_LIMIT. */
uint32_t mu_crashes_count(struct mu_crashes *c, uint64_t fp, mu_us now);
/* The endpoint of a broken-off attempt turned out to have died.  Returns the
 * number of crashes that this daemon knows of afterwards. */
uint32_t mu_crashes_died(
    struct mu_crashes *c, const struct mu_crash_attempt *a, mu_us now);
/* An endpoint ran the request to its end. */
void mu_crashes_completed(struct mu_crashes *c, uint64_t fp);

/* What this daemon saw itself, for a heartbeat; returns the number of reports
 * written. */
size_t mu_crashes_list(struct mu_crashes *c,
    struct mu_crash_report out[MU_CRASHES_REPORTS_MAX], mu_us now);
/* Applies a peer's complete list.  Earlier reports of this peer (a hash of its
 * name) that are no longer in it are withdrawn, unless it may be truncated. */
void mu_crashes_apply(struct mu_crashes *c, uint64_t peer,
    const struct mu_crash_report *reports, size_t n, mu_us now);

#endif
