/*
 * lease.h -- leases without synchronized clocks.
 *
 * A host owns its slots while it renews its lease, each time with a new counter
 * in its lease row.  The holder counts its lease from before it sent the
 * renewal; a watcher counts from after it read a new counter.  Both measure
 * durations on their own monotonic clock, so a watcher can't see the lease end
 * before its holder does.  Plain data, no locks.  docs/design/protocol.md names
 * the transitions.
 */
#ifndef MU_LEASE_H
#define MU_LEASE_H

#include "musher.h"

/* Effect of a confirmed renewal on the holder. */
enum mu_lease_event {
	MU_LEASE_EXTENDED,
	MU_LEASE_GAINED, /* was not held before */
	MU_LEASE_LATE /* the lease had ended before; slot rows must be reread */
};

struct mu_lease {
	mu_us duration; /* a watcher lets the lease lapse after this */
	mu_us margin; /* no new work starts this long before the end */
	mu_us renewal_sent_at; /* of the newest confirmed renewal */
	bool held;
};

void mu_lease_init(struct mu_lease *l, mu_us duration, mu_us margin);
/*
 * Records that a renewal sent at `sent` is known, at `now`, to have committed.
 * Answers may arrive in any order.  On LATE the lease is not held: reread the
 * slot rows, drop slots that others own, then call mu_lease_init() and renew.
 */
enum mu_lease_event mu_lease_confirm(struct mu_lease *l, mu_us sent, mu_us now);
/* Marks the lease as not held, after a conflict or when it is given up. */
void mu_lease_mark_lost(struct mu_lease *l);
/* Whether new work may start at now, before the margin. */
bool mu_lease_may_start(const struct mu_lease *l, mu_us now);
/* Whether the lease itself has ended at now. */
bool mu_lease_ended(const struct mu_lease *l, mu_us now);
/* Time in microseconds in which new work may still start; 0 when none. */
mu_us mu_lease_time_left(const struct mu_lease *l, mu_us now);

/* What a watcher knows of one host's lease row. */
struct mu_lease_watch {
	bool known;
	uint64_t incarnation;
	uint64_t counter;
	uint64_t rev; /* of the row as last read; checked by takeover */
	mu_us first_read_at; /* return of the first read of this counter */
	mu_us last_read_sent_at; /* sending of the newest */
};

void mu_lease_watch_init(struct mu_lease_watch *w);
/* A read sent at `sent` returned at `now` with these values. */
void mu_lease_watch_update(struct mu_lease_watch *w, uint64_t incarnation,
    uint64_t counter, uint64_t rev, mu_us sent, mu_us now);
/*
 * Whether the lease lapsed: reads at least `duration` apart showed the same
 * counter.  Time without reads proves nothing, so no lease lapses in an outage.
 */
bool mu_lease_watch_lapsed(const struct mu_lease_watch *w, mu_us duration);

#endif
