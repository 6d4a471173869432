/*
 * crashes.c -- evidence that a request crashes the endpoints that run it.
 *
 * When an endpoint dies, nothing tells the request that killed it from those
 * that only ran beside it.  Three properties tell them apart later:
 *
 * - A request that crashes endpoints never completes.  A completed run removes
 *   all evidence of this daemon, and the next crash beside the same request
 *   counts for nothing.  Popular requests are thus never refused.
 * - It crashes the next endpoint, too.  A crash counts only if its attempt was
 *   sent after the crash before it was seen; so one event that several attempts
 *   or several daemons observe counts once, however many endpoints it took.
 * - Other requests have other fingerprints.
 *
 * The count of crashes is thus the length of a chain of attempts.  Peers report
 * the length that they know, and the largest report holds.
 */
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "crashes.h"

#define PEER_REPORTS_MAX 4 /* per fingerprint */

struct peer_report {
	uint64_t peer; /* 0: unused */
	uint32_t count;
	mu_us received;
};

struct mu_crash_entry {
	uint64_t fp; /* 0: unused */
	uint32_t count; /* seen by this daemon */
	mu_us last; /* end of the last attempt that counted */
	struct peer_report reports[PEER_REPORTS_MAX];
};

const struct mu_crash_conf mu_crash_conf_default = {
    .max_entries = 512,
    .max_completed = 4096,
    .suspicion_ttl = 60 * MU_US_PER_S,
    .refusal_ttl = 600 * MU_US_PER_S,
};

int
mu_crashes_init(struct mu_crashes *c, const struct mu_crash_conf *conf)
{
	memset(c, 0, sizeof(*c));
	c->conf = *conf;
	c->entries = calloc(conf->max_entries, sizeof(*c->entries));
	c->completed = calloc(conf->max_completed, sizeof(*c->completed));
	return c->entries != NULL && c->completed != NULL ? 0 : MU_E_NOMEM;
}

void
mu_crashes_fini(struct mu_crashes *c)
{
	free(c->entries);
	free(c->completed);
	memset(c, 0, sizeof(*c));
}

uint64_t
mu_crashes_fingerprint(const char *customer, const char *host,
    const char *method, const char *path, const void *body, size_t len)
{
	uint64_t h =
	    customer != NULL ? XXH64(customer, strlen(customer), 1) : 0;

	h = XXH64(host, strlen(host), h);
	h = XXH64(method, strlen(method), h);
	h = XXH64(path, strlen(path), h);
	h = XXH64(body, len, h);
	return h != 0 ? h : 1;
}

static uint64_t *
completed_slot(struct mu_crashes *c, uint64_t fp)
{
	return &c->completed[fp % c->conf.max_completed];
}

static mu_us
lifetime(const struct mu_crashes *c, uint32_t count)
{
	return count >= MU_CRASHES_LIMIT ? c->conf.refusal_ttl
					 : c->conf.suspicion_ttl;
}

/* Largest count that a peer reports. */
static uint32_t
reported_count(const struct mu_crash_entry *e)
{
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < PEER_REPORTS_MAX; i++)
		if (e->reports[i].peer != 0 && e->reports[i].count > count)
			count = e->reports[i].count;
	return count;
}

/* Drops expired evidence; false if there is none left. */
static bool
entry_refresh(const struct mu_crashes *c, struct mu_crash_entry *e, mu_us now)
{
	struct peer_report *r;

	if (now - e->last >= lifetime(c, e->count))
		e->count = 0;
	for (r = e->reports; r < e->reports + PEER_REPORTS_MAX; r++)
		if (r->peer != 0 && now - r->received >= lifetime(c, r->count))
			memset(r, 0, sizeof(*r));
	return e->count > 0 || reported_count(e) > 0;
}

/* Frees entry i; the last one takes its place. */
static void
entry_free(struct mu_crashes *c, uint32_t i)
{
	c->entries[i] = c->entries[--c->nentries];
}

static void
drop_expired(struct mu_crashes *c, mu_us now)
{
	uint32_t i = 0;

	while (i < c->nentries)
		if (entry_refresh(c, &c->entries[i], now))
			i++;
		else
			entry_free(c, i);
}

static struct mu_crash_entry *
entry_find(struct mu_crashes *c, uint64_t fp)
{
	uint32_t i;

	for (i = 0; i < c->nentries; i++)
		if (c->entries[i].fp == fp)
			return &c->entries[i];
	return NULL;
}

/* The entry with the least evidence, of these the oldest. */
static uint32_t
weakest_entry(const struct mu_crashes *c)
{
	const struct mu_crash_entry *e, *w = &c->entries[0];
	uint32_t i, level, least = UINT32_MAX;

	for (i = 0; i < c->nentries; i++) {
		e = &c->entries[i];
		level =
		    reported_count(e) > e->count ? reported_count(e) : e->count;
		if (level < least || (level == least && e->last < w->last)) {
			least = level;
			w = e;
		}
	}
	return (uint32_t)(w - c->entries);
}

static struct mu_crash_entry *
entry_get(struct mu_crashes *c, uint64_t fp, mu_us now)
{
	struct mu_crash_entry *e = entry_find(c, fp);

	if (e != NULL)
		return e;
	if (c->nentries == c->conf.max_entries)
		drop_expired(c, now);
	if (c->nentries == c->conf.max_entries)
		entry_free(c, weakest_entry(c));
	e = &c->entries[c->nentries++];
	memset(e, 0, sizeof(*e));
	e->fp = fp;
	e->last = now;
	return e;
}

uint32_t
mu_crashes_count(struct mu_crashes *c, uint64_t fp, mu_us now)
{
	struct mu_crash_entry *e = entry_find(c, fp);
	uint32_t reported;

	if (e == NULL || *completed_slot(c, fp) == fp)
		return 0;
	if (!entry_refresh(c, e, now)) {
		entry_free(c, (uint32_t)(e - c->entries));
		return 0;
	}
	reported = reported_count(e);
	return reported > e->count ? reported : e->count;
}

uint32_t
mu_crashes_died(
    struct mu_crashes *c, const struct mu_crash_attempt *a, mu_us now)
{
	struct mu_crash_entry *e;
	uint32_t count = a->known + 1;

	if (*completed_slot(c, a->fingerprint) == a->fingerprint) {
		*completed_slot(c, a->fingerprint) = 0;
		return 0;
	}
	e = entry_get(c, a->fingerprint, now);
	(void)entry_refresh(c, e, now);
	if (e->count > 0 && a->started >= e->last && count <= e->count)
		count = e->count + 1;
	if (count > e->count)
		e->count = count;
	if (a->ended > e->last || e->count == 1)
		e->last = a->ended;
	return e->count;
}

void
mu_crashes_completed(struct mu_crashes *c, uint64_t fp)
{
	struct mu_crash_entry *e = entry_find(c, fp);

	*completed_slot(c, fp) = fp;
	if (e != NULL)
		e->count = 0;
}

size_t
mu_crashes_list(struct mu_crashes *c,
    struct mu_crash_report out[MU_CRASHES_REPORTS_MAX], mu_us now)
{
	size_t n = 0;
	uint32_t i;

	drop_expired(c, now);
	for (i = 0; i < c->nentries && n < MU_CRASHES_REPORTS_MAX; i++) {
		if (c->entries[i].count == 0)
			continue;
		out[n].fingerprint = c->entries[i].fp;
		out[n++].count = c->entries[i].count;
	}
	return n;
}

static void
apply_report(struct mu_crashes *c, uint64_t peer,
    const struct mu_crash_report *in, mu_us now)
{
	struct mu_crash_entry *e = entry_get(c, in->fingerprint, now);
	struct peer_report *r, *to = e->reports;

	for (r = e->reports; r < e->reports + PEER_REPORTS_MAX; r++)
		if (r->peer == peer) {
			to = r;
			break;
		} else if (r->count < to->count) {
			to = r;
		}
	if (to->peer != 0 && to->peer != peer && to->count >= in->count)
		return; /* the others know of as many */
	to->peer = peer;
	to->count = in->count;
	to->received = now;
}

static bool
contains(const struct mu_crash_report *reports, size_t n, uint64_t fp)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (reports[i].fingerprint == fp)
			return true;
	return false;
}

void
mu_crashes_apply(struct mu_crashes *c, uint64_t peer,
    const struct mu_crash_report *reports, size_t n, mu_us now)
{
	struct mu_crash_entry *e;
	size_t i;

	if (n == 0 && c->nentries == 0)
		return;
	for (e = c->entries; e < c->entries + c->nentries; e++)
		for (i = 0; i < PEER_REPORTS_MAX; i++)
			if (e->reports[i].peer == peer &&
			    n < MU_CRASHES_REPORTS_MAX &&
			    !contains(reports, n, e->fp))
				memset(
				    &e->reports[i], 0, sizeof(e->reports[i]));
	for (i = 0; i < n; i++)
		if (reports[i].fingerprint != 0 && reports[i].count > 0)
			apply_report(c, peer, &reports[i], now);
	drop_expired(c, now);
}
