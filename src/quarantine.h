/*
 * quarantine.h -- requests that crash the endpoints that run them.
 *
 * A request is known by its fingerprint: service and body, whatever program,
 * seq, caller or daemon sends it.  One endpoint that died under it makes it
 * suspected: it gets one more trial, alone.  A second one makes it
 * quarantined: it is refused.  Daemons tell each other by heartbeat digests.
 * Pure; its memory is taken once, by mu_quar_init; no locks.
 * docs/design/retries.md has the rules and what they don't cover.
 */
#ifndef MU_QUARANTINE_H
#define MU_QUARANTINE_H

#include <urcu/list.h>

#include "musher.h"

/* Fingerprints of one level in a heartbeat; a full list may be cut. */
#define MU_QUAR_DIGEST_MAX 64
#define MU_QUAR_BUCKETS 1024

struct mu_quar_conf {
	uint32_t max_entries; /* fingerprints kept */
	mu_us digest_wait; /* wait after a death for other daemons' digests */
	mu_us suspect_ttl; /* a suspicion expires after this */
	mu_us quarantine_ttl; /* a quarantine expires after this */
	mu_us trial_recheck; /* wait while another trial is in flight */
};

extern const struct mu_quar_conf mu_quar_conf_default;

struct mu_quar_entry; /* quarantine.c */

/* State: counters for metrics are public, the rest is the module's. */
struct mu_quarantine {
	struct mu_quar_conf conf;
	struct cds_list_head bucket[MU_QUAR_BUCKETS];
	struct cds_list_head recent; /* newest first, for eviction */
	struct cds_list_head unused;
	struct mu_quar_entry *pool; /* max_entries of them */
	uint32_t entries;
	uint64_t refused;
	uint64_t evicted;
};

enum mu_quar_kind {
	MU_QUAR_RUN, /* nothing known against it */
	MU_QUAR_TRIAL, /* run alone: no other trial on that endpoint */
	MU_QUAR_WAIT, /* ask again after wait */
	MU_QUAR_REFUSE /* not run; answer at once */
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

/* How an attempt ended. */
enum mu_quar_end {
	MU_QUAR_DONE, /* a whole answer: clears what is known here */
	MU_QUAR_FAILED, /* failed otherwise: says nothing */
	MU_QUAR_DIED /* the endpoint died under it */
};

/* Wire name of a reason; never NULL. */
const char *mu_quar_reason_name(enum mu_quar_reason reason);
/* Fingerprint of a request; never 0. */
uint64_t mu_quar_fingerprint(const char *service, const char *body, size_t len);
/* Hash of an endpoint's or a host's name, for the calls below. */
uint64_t mu_quar_name(const char *name);

/* 0 or MU_E_NOMEM. */
int mu_quar_init(struct mu_quarantine *q, const struct mu_quar_conf *conf);
void mu_quar_fini(struct mu_quarantine *q);

/* What to do with a request before an attempt. */
struct mu_quar_decision
mu_quar_check(struct mu_quarantine *q, uint64_t fp, mu_us now);
/*
 * Looks again and, on RUN or TRIAL, starts the attempt in one step, so that no
 * two of them get the same trial.  To be called just before sending: time has
 * passed since the first look.  *tracked says whether mu_quar_finish is due.
 */
struct mu_quar_decision mu_quar_attempt_start_checked(
    struct mu_quarantine *q, uint64_t fp, mu_us now, bool *tracked);
/*
 * An attempt starts (after RUN or TRIAL).  0, or MU_E_NOMEM when the table is
 * full of requests in flight: not tracked.
 */
int mu_quar_start(struct mu_quarantine *q, uint64_t fp, mu_us now);
/* The attempt ended; call it once for each start that returned 0. */
void mu_quar_finish(struct mu_quarantine *q, uint64_t fp, uint64_t endpoint,
    enum mu_quar_end how, mu_us now);

/* Digest for a heartbeat: what this daemon saw itself, newest first. */
size_t mu_quar_suspected(
    struct mu_quarantine *q, uint64_t fps[MU_QUAR_DIGEST_MAX], mu_us now);
size_t mu_quar_quarantined(
    struct mu_quarantine *q, uint64_t fps[MU_QUAR_DIGEST_MAX], mu_us now);
/*
 * A peer's digest, whole.  What the peer has taken off its lists it no longer
 * accuses, unless the list was full.  A peer that falls silent keeps its
 * accusations until they expire.
 */
void mu_quar_hear(struct mu_quarantine *q, uint64_t peer,
    const uint64_t *suspected, size_t nsuspected, const uint64_t *quarantined,
    size_t nquarantined, mu_us now);

/*
 * Whether the endpoint with this index (among nendpoints of the service, in
 * order of address) is one on which the daemon of this rank (among ndaemons
 * live ones, in order of name) may run trials.  Disjoint between daemons as
 * long as there are no more daemons than endpoints, so that a second death
 * convicts the one request that was on trial.
 */
bool
mu_quar_lane(size_t rank, size_t ndaemons, size_t index, size_t nendpoints);

#endif
