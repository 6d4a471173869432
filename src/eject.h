/*
 * eject.h -- health of the endpoints of one service, as this daemon sees it.
 *
 * An endpoint that fails repeatedly, or is much slower than the others, is
 * ejected for a time that doubles; then one call at a time probes it.  Never
 * more than half of a service is ejected.  Plain data, no locks.
 */
#ifndef MU_EJECT_H
#define MU_EJECT_H

#include "musher.h"

/* Endpoints of one service that are compared. */
#define MU_EJECT_MAX 256

struct mu_eject_conf {
	uint32_t failures_to_eject; /* in a row that eject */
	uint32_t min_samples; /* before an average counts */
	double slow_factor; /* times the median of the others */
	mu_us slow_floor; /* averages below this are never slow */
	mu_us first_ejection; /* first ejection; doubles each time */
	mu_us longest_ejection; /* longest ejection */
	mu_us probe_timeout; /* a probe that hasn't ended by then is void */
};

extern const struct mu_eject_conf mu_eject_conf_default;

/* One endpoint; part of the daemon's record of it. */
struct mu_health {
	uint32_t failures; /* in a row */
	uint32_t samples; /* in the average, saturating at min_samples */
	mu_us average_time; /* moving average of a sample's time */
	uint32_t ejections; /* in a row; sets the length of the next */
	bool ejected;
	mu_us ejected_until; /* end of the ejection; then probes */
	mu_us probe_started_at; /* start of the probe in flight; 0: none */
	mu_us restored_at; /* restored at */
};

enum mu_health_state {
	MU_HEALTH_OK, /* takes work */
	MU_HEALTH_PROBE, /* takes one call */
	MU_HEALTH_EJECTED /* takes none */
};

enum mu_health_result {
	MU_HEALTH_SUCCESS,
	MU_HEALTH_FAILURE, /* connect, lost, timeout, truncated, 5xx */
	MU_HEALTH_BUSY /* 429, 503: says nothing of its health */
};

/* X(symbol, wire name) */
#define MU_EJECT_REASONS(X) \
	X(NONE, "none") \
	X(FAILURES, "failures_in_a_row") \
	X(SLOW, "slower_than_others") \
	X(PROBE_FAILED, "probe_failed") \
	X(HALF, "half_already_ejected") \
	X(RESTORED, "probe_succeeded")

enum mu_eject_reason {
#define X(sym, name) MU_EJECT_WHY_##sym,
	MU_EJECT_REASONS(X)
#undef X
	MU_EJECT_WHY_COUNT
};

enum mu_eject_kind {
	MU_EJECT_NOTHING, /* reason NONE or HALF */
	MU_EJECT_EJECT, /* until h->ejected_until */
	MU_EJECT_RESTORE
};

struct mu_eject_event {
	enum mu_eject_kind kind;
	enum mu_eject_reason reason;
	union {
		struct {
			mu_us until;
		} eject;
	} u;
};

/* Wire name of a reason; never NULL. */
const char *mu_eject_reason_name(enum mu_eject_reason reason);
void mu_health_init(struct mu_health *h);
enum mu_health_state mu_health_state(
    const struct mu_eject_conf *c, const struct mu_health *h, mu_us now);
/* A call was placed on h in state PROBE. */
void mu_health_probe(struct mu_health *h, mu_us now);
/*
 * A call on all[i] ended.  took must be comparable between calls: time to the
 * first byte, or time for a token; 0 on failure or when not known.
 */
struct mu_eject_event
mu_eject_report(const struct mu_eject_conf *c, struct mu_health *const *all,
    size_t n, size_t i, enum mu_health_result result, mu_us took, mu_us now);

#endif
