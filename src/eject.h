/*
 * eject.h -- outlier ejection: health of a service's endpoints as this daemon
 * observes it.
 *
 * An endpoint that fails repeatedly, or is much slower than the others, is
 * ejected for a time that doubles with each ejection; then one call at a time
 * probes it.  At most half of a service is ejected.  Plain data, no locks.
 */
#ifndef MU_EJECT_H
#define MU_EJECT_H

#include "musher.h"

/* Limit on the endpoints of one service that are compared. */
#define MU_EJECT_MAX 256

struct mu_eject_conf {
	uint32_t failures_to_eject; /* consecutive */
	uint32_t min_samples; /* before an average is used */
	double slow_factor; /* slow above this times the others' median */
	mu_us slow_floor; /* averages below this are never slow */
	mu_us first_ejection; /* doubles with each further one */
	mu_us longest_ejection;
	mu_us probe_timeout; /* then another probe may start */
};

extern const struct mu_eject_conf mu_eject_conf_default;

/* Health of one endpoint, embedded in the daemon's record of it. */
struct mu_health {
	uint32_t failures; /* consecutive */
	uint32_t samples; /* in the average; saturates at min_samples */
	mu_us average_time; /* moving average of the samples */
	uint32_t ejections; /* consecutive; sets the length of the next */
	bool ejected;
	mu_us ejected_until; /* then probes are allowed */
	mu_us probe_started_at; /* of the probe in flight; 0: none */
	mu_us restored_at; /* end of the last ejection */
};

enum mu_health_state {
	MU_HEALTH_OK, /* takes work */
	MU_HEALTH_PROBE, /* takes one call */
	MU_HEALTH_EJECTED /* takes none */
};

enum mu_health_result {
	MU_HEALTH_SUCCESS,
	MU_HEALTH_FAILURE, /* connect, lost, timeout, truncated, 5xx */
	MU_HEALTH_BUSY /* 429, 503: no evidence about its health */
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

/* Returns the wire name of a reason; never NULL. */
const char *mu_eject_reason_name(enum mu_eject_reason reason);
void mu_health_init(struct mu_health *h);
enum mu_health_state mu_health_state(
    const struct mu_eject_conf *c, const struct mu_health *h, mu_us now);
/* Records that a call was sent to an endpoint in state PROBE. */
void mu_health_probe_started(struct mu_health *h, mu_us now);
/*
 * Records the result of a call at all[i] and ejects or restores the endpoint if
 * due.  took must be comparable between calls: time to first byte, or time per
 * token; 0 on failure or when not known.
 */
struct mu_eject_event
mu_eject_report(const struct mu_eject_conf *c, struct mu_health *const *all,
    size_t n, size_t i, enum mu_health_result result, mu_us took, mu_us now);

#endif
