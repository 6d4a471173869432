/*
 * lease.c -- holder's and watchers' side of a lease.
 *
 * A renewal is sent at s, takes effect at e and is read by a watcher at r, so
 * s <= e <= r in true time.  The holder stops at s + duration - margin, and a
 * watcher lets the lease lapse at r + duration or later.  Only durations are
 * measured, so clocks may differ by any offset, and in rate by up to
 * margin / duration.
 *
 * A renewal in flight while a watcher takes a slot over must not extend the
 * lease: the renewal checks the revision of the lease row, and a takeover
 * writes that row too (protocol.md, TAKE_OVER).
 */
#include <string.h>

#include "lease.h"

void
mu_lease_init(struct mu_lease *l, mu_us duration, mu_us margin)
{
	memset(l, 0, sizeof(*l));
	l->duration = duration;
	l->margin = margin;
}

enum mu_lease_event
mu_lease_confirm(struct mu_lease *l, mu_us sent, mu_us now)
{
	if (!l->held) {
		if (now - sent >= l->duration)
			return MU_LEASE_LATE;
		l->held = true;
		l->renewal_sent_at = sent;
		return MU_LEASE_GAINED;
	}
	if (mu_lease_ended(l, now)) {
		l->held = false;
		return MU_LEASE_LATE;
	}
	if (sent > l->renewal_sent_at)
		l->renewal_sent_at = sent;
	return MU_LEASE_EXTENDED;
}

void
mu_lease_mark_lost(struct mu_lease *l)
{
	l->held = false;
}

bool
mu_lease_ended(const struct mu_lease *l, mu_us now)
{
	return !l->held || now - l->renewal_sent_at >= l->duration;
}

mu_us
mu_lease_time_left(const struct mu_lease *l, mu_us now)
{
	mu_us left;

	if (!l->held)
		return 0;
	left = l->renewal_sent_at + l->duration - l->margin - now;
	return left > 0 ? left : 0;
}

bool
mu_lease_may_start(const struct mu_lease *l, mu_us now)
{
	return mu_lease_time_left(l, now) > 0;
}

void
mu_lease_watch_init(struct mu_lease_watch *w)
{
	memset(w, 0, sizeof(*w));
}

void
mu_lease_watch_update(struct mu_lease_watch *w, uint64_t incarnation,
    uint64_t counter, uint64_t rev, mu_us sent, mu_us now)
{
	/* Ignore an answer that arrives after a newer one. */
	if (w->known && rev < w->rev)
		return;
	if (!w->known || w->incarnation != incarnation ||
	    w->counter != counter) {
		w->known = true;
		w->incarnation = incarnation;
		w->counter = counter;
		w->first_read_at = now;
		w->last_read_sent_at = now;
	} else if (sent > w->last_read_sent_at)
		w->last_read_sent_at = sent;
	w->rev = rev;
}

bool
mu_lease_watch_lapsed(const struct mu_lease_watch *w, mu_us duration)
{
	return w->known && w->last_read_sent_at - w->first_read_at >= duration;
}
