/*
 * quarantine.h -- quarantine: rejects requests that crash endpoints.
 *
 * A request is identified by its fingerprint, a hash of service and body, so
 * that program, seq, caller and daemon make no difference.  After one endpoint
 * died while running it, a request is suspected and gets a single trial.  After
 * a second death it is quarantined: every daemon rejects it until the
 * quarantine expires.  Daemons exchange fingerprints in their heartbeats.
 *
 * Pure, no locks; all memory is allocated by mu_quar_init.  The rules and the
 * cases that they don't cover are in docs/design/retries.md.
 */
#ifndef MU_QUARANTINE_H
#define MU_QUARANTINE_H

#include <urcu/list.h>

#include "musher.h"

/* Most suspected, and most quarantined, fingerprints in one heartbeat.  A
 * list of this length may be truncated. */
#define MU_QUAR_DIGEST_MAX 64
#define MU_QUAR_BUCKETS 1024

struct mu_quar_conf {
	uint32_t max_entries; /* fingerprints in the table */
	mu_us digest_wait; /* before a trial, for other daemons' digests */
	mu_us suspect_ttl; /* lifetime of a suspicion */
	mu_us quarantine_ttl; /* lifetime of a quarantine */
	mu_us trial_recheck; /* recheck interval while a copy is in flight */
};

extern const struct mu_quar_conf mu_quar_conf_default;

struct mu_quar_entry; /* quarantine.c */

/* The counters are read for metrics; the other fields are private. */
struct mu_quarantine {
	struct mu_quar_conf conf;
	struct cds_list_head bucket[MU_QUAR_BUCKETS];
	struct cds_list_head recent; /* last used first, for eviction */
	struct cds_list_head unused;
	struct mu_quar_entry *pool; /* array of max_entries */
	uint32_t entries; /* in use */
	uint64_t refused;
	uint64_t evicted;
};

enum mu_quar_kind {
	MU_QUAR_RUN, /* not suspected */
	MU_QUAR_TRIAL, /* run on an endpoint that has no other trial */
	MU_QUAR_WAIT, /* check again after u.wait.time */
	MU_QUAR_REFUSE /* reject without running */
};

/* X(symbol, wire name) */
#define MU_QUAR_REASONS(X) \
	X(CLEAR, "clear") \
	X(ONE_DEATH, "one_endpoint_died") \
	X(WAITING_FOR_DIGESTS, "waiting_for_digests") \
	X(IN_FLIGHT, "same_request_in_flight") \
	X(PEER_SUSPECTS, "suspected_by_peer") \
	X(TWO_DEATHS, "two_endpoints_died") \
	X(PEER_QUARANTINES, "quarantined_by_peer")

enum mu_quar_reason {
#define X(sym, name) MU_QUAR_REASON_##sym,
	MU_QUAR_REASONS(X)
#undef X
	MU_QUAR_REASON_COUNT
};

struct mu_quar_decision {
	enum mu_quar_kind kind;
	enum mu_quar_reason reason;
	union {
		struct {
			mu_us time;
		} wait;
		struct {
			enum mu_errtype error; /* MU_E_QUARANTINED */
			uint32_t retry_after_ms;
		} refuse;
	} u;
};

/* Result of an attempt, as far as it is evidence. */
enum mu_quar_attempt_result {
	MU_QUAR_COMPLETED, /* complete answer: clears this daemon's evidence */
	MU_QUAR_OTHER_FAILURE, /* any other failure: no evidence */
	MU_QUAR_ENDPOINT_DIED /* the endpoint died during the attempt */
};

/* Wire name of a reason; never NULL. */
const char *mu_quar_reason_name(enum mu_quar_reason reason);
/* Fingerprint of a request; never 0. */
uint64_t mu_quar_fingerprint(const char *service, const char *body, size_t len);
/* Hash of an endpoint's or a host's name: `endpoint` and `peer` below. */
uint64_t mu_quar_hash_name(const char *name);

/* Returns 0 or MU_E_NOMEM. */
int mu_quar_init(struct mu_quarantine *q, const struct mu_quar_conf *conf);
void mu_quar_fini(struct mu_quarantine *q);

/* Decides whether a request may be sent now. */
struct mu_quar_decision
mu_quar_check(struct mu_quarantine *q, uint64_t fp, mu_us now);
/*
 * Checks again and, on RUN or TRIAL, records the start of the attempt in the
 * same step, so that concurrent attempts can't all be allowed as the trial.
 * Call it just before sending, since the first check may be outdated by then.
 * *tracked: mu_quar_attempt_end must be called.
 */
struct mu_quar_decision mu_quar_attempt_start_checked(
    struct mu_quarantine *q, uint64_t fp, mu_us now, bool *tracked);
/*
 * Records the start of an attempt (after RUN or TRIAL).  Returns 0, or
 * MU_E_NOMEM if requests in flight fill the table; the attempt is not tracked
 * then.
 */
int mu_quar_attempt_start(struct mu_quarantine *q, uint64_t fp, mu_us now);
/* Records the end of an attempt, once per start that returned 0. */
void mu_quar_attempt_end(struct mu_quarantine *q, uint64_t fp,
    uint64_t endpoint, enum mu_quar_attempt_result how, mu_us now);

/*
 * Digest for a heartbeat: fingerprints for which this daemon has evidence of
 * its own, last used first.  Return the number written to fps.
 */
size_t mu_quar_list_suspected(
    struct mu_quarantine *q, uint64_t fps[MU_QUAR_DIGEST_MAX], mu_us now);
size_t mu_quar_list_quarantined(
    struct mu_quarantine *q, uint64_t fps[MU_QUAR_DIGEST_MAX], mu_us now);
/*
 * Applies a peer's complete digest.  Earlier reports of this peer that are no
 * longer in it are withdrawn, unless a list was full and may be truncated.
 * Reports of a peer that sends no more heartbeats are kept until they expire.
 */
void mu_quar_apply_digest(struct mu_quarantine *q, uint64_t peer,
    const uint64_t *suspected, size_t nsuspected, const uint64_t *quarantined,
    size_t nquarantined, mu_us now);

/*
 * Whether the daemon of this rank (among ndaemons live ones, ordered by name)
 * may run trials on the endpoint with this index (among nendpoints of the
 * service, ordered by address).  If there are at least as many endpoints as
 * daemons, no two daemons share an endpoint for trials, so that a second death
 * is due to the one request that was on trial there.
 */
bool mu_quar_trial_allowed(
    size_t rank, size_t ndaemons, size_t index, size_t nendpoints);

#endif
