/*
 * lease.h -- leases without clocks that are compared.
 *
 * The holder counts its lease from before it sent the renewal; a watcher
 * counts from after it read a new counter.  Both use lengths of time on their
 * own monotonic clock, so the watcher's end can't come before the holder's.
 * Plain data, no locks.  docs/design/protocol.md names the transitions.
 */
#ifndef MU_LEASE_H
#define MU_LEASE_H

#include "musher.h"

/* What a confirmed renewal did for the holder. */
enum mu_lease_event {
	MU_LEASE_EXTENDED,
	MU_LEASE_GAINED, /* the first one, or the first after
			    mu_lease_mark_lost() */
	MU_LEASE_LATE /* the lease had ended before; slots must be read again */
};

struct mu_lease {
	mu_us duration; /* a watcher lets it lapse after this long */
	mu_us margin; /* new work stops this long before the end */
	mu_us renewal_sent_at; /* when the newest confirmed renewal was sent */
	bool held;
};

void mu_lease_init(struct mu_lease *l, mu_us duration, mu_us margin);
/*
 * A renewal that was sent at `sent` is known, at `now`, to have committed.
 * Answers may arrive in any order.  On LATE the lease is not held: read the
 * slot rows, drop what others own, then call mu_lease_init and renew again.
 */
enum mu_lease_event mu_lease_confirm(struct mu_lease *l, mu_us sent, mu_us now);
/* A renewal met a conflict, or the host gives up: the lease is not held. */
void mu_lease_mark_lost(struct mu_lease *l);
/* Whether new work may start at now (lease less margin). */
bool mu_lease_may_start(const struct mu_lease *l, mu_us now);
/* Whether the lease itself has ended at now. */
bool mu_lease_ended(const struct mu_lease *l, mu_us now);
/* Time in which new work may still start, microseconds; 0 when none. */
mu_us mu_lease_time_left(const struct mu_lease *l, mu_us now);

/* What a watcher knows of one host's lease row. */
struct mu_lease_watch {
	bool known;
	uint64_t incarnation;
	uint64_t counter;
	uint64_t
	    rev; /* revision of the row as last read; checked by takeover */
	mu_us first_read_at; /* when a read that showed this counter first
				returned */
	mu_us last_read_sent_at; /* when the newest read that showed it was sent
				  */
};

void mu_lease_watch_init(struct mu_lease_watch *w);
/* A read sent at `sent` returned at `now` with these values. */
void mu_lease_watch_update(struct mu_lease_watch *w, uint64_t incarnation,
    uint64_t counter, uint64_t rev, mu_us sent, mu_us now);
/*
 * Whether the lease lapsed: reads at least `lease` apart showed one counter.
 * Time without reads proves nothing, so an outage lets no lease lapse.
 */
bool mu_lease_watch_lapsed(const struct mu_lease_watch *w, mu_us lease);

#endif
