/*
 * quarantine.c -- table of suspected and quarantined requests.
 *
 * When an endpoint dies, every request that was running on it is suspected,
 * since the cause can't be told from the others.  Trials find the cause: the
 * daemon that observed the death runs a suspected request once more, one copy
 * at a time, while other daemons reject it.  A complete answer clears the
 * request, a second death quarantines it.  One request can thus crash at most
 * two endpoints, over all daemons that receive each other's heartbeats.
 *
 * Entries are linked in hash buckets and in a list ordered by last use.  An
 * entry without evidence exists only while attempts are in flight, so that the
 * first death also applies to copies still running elsewhere on this daemon.
 */
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "quarantine.h"

#define PEER_REPORTS_MAX 4 /* per fingerprint */
#define US_PER_MS ((mu_us)1000)
#define DEATHS_TO_QUARANTINE 2

enum level {
	LEVEL_NONE,
	LEVEL_SUSPECTED,
	LEVEL_QUARANTINED
};

struct peer_report {
	uint64_t peer; /* hash of its name; 0: unused */
	enum level level;
	mu_us received;
};

struct mu_quar_entry {
	struct cds_list_head in_bucket;
	struct cds_list_head in_recent;
	uint64_t fp;
	uint32_t in_flight; /* attempts of this daemon */
	uint32_t deaths; /* observed here; a peer's report makes one two */
	uint64_t last_dead_endpoint;
	mu_us last_death; /* time when it was observed */
	struct peer_report reports[PEER_REPORTS_MAX];
};

const struct mu_quar_conf mu_quar_conf_default = {
    .max_entries = 8192,
    .digest_wait = MU_US_PER_S,
    .suspect_ttl = 60 * MU_US_PER_S,
    .quarantine_ttl = 600 * MU_US_PER_S,
    .trial_recheck = 250 * MU_US_PER_MS,
};

const char *
mu_quar_reason_name(enum mu_quar_reason reason)
{
	static const char *const names[] = {
#define X(sym, name) name,
	    MU_QUAR_REASONS(X)
#undef X
	};

	return (unsigned)reason < MU_QUAR_REASON_COUNT ? names[reason]
						       : "internal";
}

uint64_t
mu_quar_fingerprint(const char *service, const char *body, size_t len)
{
	uint64_t fp = XXH64(service, strlen(service), 0);

	fp = XXH64(body, len, fp);
	return fp != 0 ? fp : 1;
}

uint64_t
mu_quar_hash_name(const char *name)
{
	uint64_t h = XXH64(name, strlen(name), 0);

	return h != 0 ? h : 1;
}

int
mu_quar_init(struct mu_quarantine *q, const struct mu_quar_conf *conf)
{
	size_t i;

	memset(q, 0, sizeof(*q));
	q->conf = *conf;
	CDS_INIT_LIST_HEAD(&q->recent);
	CDS_INIT_LIST_HEAD(&q->unused);
	for (i = 0; i < MU_QUAR_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&q->bucket[i]);
	q->pool = calloc(conf->max_entries, sizeof(*q->pool));
	if (q->pool == NULL)
		return MU_E_NOMEM;
	for (i = 0; i < conf->max_entries; i++)
		cds_list_add(&q->pool[i].in_recent, &q->unused);
	return 0;
}

void
mu_quar_fini(struct mu_quarantine *q)
{
	free(q->pool);
	q->pool = NULL;
}

static void
entry_free(struct mu_quarantine *q, struct mu_quar_entry *e)
{
	cds_list_del(&e->in_bucket);
	cds_list_move(&e->in_recent, &q->unused);
	q->entries--;
}

/* Takes an unused entry for fp; NULL if there is none. */
static struct mu_quar_entry *
entry_new(struct mu_quarantine *q, uint64_t fp)
{
	struct mu_quar_entry *e = NULL;

	if (cds_list_empty(&q->unused))
		return NULL;
	e = cds_list_first_entry(&q->unused, struct mu_quar_entry, in_recent);
	cds_list_del(&e->in_recent);
	memset(e, 0, sizeof(*e));
	e->fp = fp;
	cds_list_add(&e->in_bucket, &q->bucket[fp % MU_QUAR_BUCKETS]);
	cds_list_add(&e->in_recent, &q->recent);
	q->entries++;
	return e;
}

/* Drops expired evidence; own evidence is kept while attempts are in flight. */
static void
entry_expire(const struct mu_quarantine *q, struct mu_quar_entry *e, mu_us now)
{
	struct peer_report *r;
	mu_us lifetime;

	lifetime = e->deaths >= DEATHS_TO_QUARANTINE ? q->conf.quarantine_ttl
						     : q->conf.suspect_ttl;
	if (e->in_flight == 0 && now - e->last_death >= lifetime)
		e->deaths = 0;
	for (r = e->reports; r < e->reports + PEER_REPORTS_MAX; r++) {
		lifetime = r->level == LEVEL_QUARANTINED
			       ? q->conf.quarantine_ttl
			       : q->conf.suspect_ttl;
		if (r->peer != 0 && now - r->received >= lifetime)
			memset(r, 0, sizeof(*r));
	}
}

static bool
has_peer_reports(const struct mu_quar_entry *e)
{
	size_t i;

	for (i = 0; i < PEER_REPORTS_MAX; i++) {
		if (e->reports[i].peer != 0)
			return true;
	}
	return false;
}

static bool
entry_is_empty(const struct mu_quar_entry *e)
{
	if (e->in_flight > 0 || e->deaths > 0)
		return false;
	return !has_peer_reports(e);
}

/* Finds an entry and drops expired evidence; NULL if it is then empty. */
static struct mu_quar_entry *
entry_find(struct mu_quarantine *q, uint64_t fp, mu_us now)
{
	struct cds_list_head *b = &q->bucket[fp % MU_QUAR_BUCKETS];
	struct mu_quar_entry *e = NULL;

	cds_list_for_each_entry (e, b, in_bucket) {
		if (e->fp != fp)
			continue;
		entry_expire(q, e, now);
		if (!entry_is_empty(e))
			return e;
		entry_free(q, e);
		return NULL;
	}
	return NULL;
}

/*
 * Frees one entry: the least recently used one that isn't quarantined by this
 * daemon, else the least recently used quarantine.  Never one in flight.
 */
static void
evict(struct mu_quarantine *q, mu_us now)
{
	struct mu_quar_entry *e = NULL, *victim = NULL;

	cds_list_for_each_entry_reverse(e, &q->recent, in_recent)
	{
		entry_expire(q, e, now);
		if (e->in_flight > 0)
			continue;
		if (victim == NULL || e->deaths < DEATHS_TO_QUARANTINE)
			victim = e;
		if (e->deaths < DEATHS_TO_QUARANTINE)
			break;
	}
	if (victim == NULL)
		return;
	entry_free(q, victim);
	q->evicted++;
}

static struct mu_quar_entry *
entry_get(struct mu_quarantine *q, uint64_t fp, mu_us now)
{
	struct mu_quar_entry *e = entry_find(q, fp, now);

	if (e != NULL) {
		cds_list_move(&e->in_recent, &q->recent);
		return e;
	}
	if (cds_list_empty(&q->unused))
		evict(q, now);
	return entry_new(q, fp);
}

/* Highest level that any peer reports, and the time when it expires. */
static enum level
reported_level(
    const struct mu_quarantine *q, const struct mu_quar_entry *e, mu_us *until)
{
	enum level level = LEVEL_NONE;
	const struct peer_report *r;
	mu_us expiry;

	*until = 0;
	for (r = e->reports; r < e->reports + PEER_REPORTS_MAX; r++) {
		if (r->peer == 0 || r->level < level)
			continue;
		expiry = r->received + (r->level == LEVEL_QUARANTINED
					       ? q->conf.quarantine_ttl
					       : q->conf.suspect_ttl);
		if (r->level > level || expiry > *until)
			*until = expiry;
		level = r->level;
	}
	return level;
}

static struct mu_quar_decision
decide_refuse(struct mu_quarantine *q, enum mu_quar_reason reason, mu_us left)
{
	struct mu_quar_decision d;

	memset(&d, 0, sizeof(d));
	d.kind = MU_QUAR_REFUSE;
	d.reason = reason;
	d.u.refuse.error = MU_E_QUARANTINED;
	d.u.refuse.retry_after_ms =
	    left > 0 ? (uint32_t)((left + US_PER_MS - 1) / US_PER_MS) : 1;
	q->refused++;
	return d;
}

static struct mu_quar_decision
decide_wait(enum mu_quar_reason reason, mu_us time)
{
	struct mu_quar_decision d;

	memset(&d, 0, sizeof(d));
	d.kind = MU_QUAR_WAIT;
	d.reason = reason;
	d.u.wait.time = time;
	return d;
}

static struct mu_quar_decision
decide_run(enum mu_quar_kind kind, enum mu_quar_reason reason)
{
	struct mu_quar_decision d;

	memset(&d, 0, sizeof(d));
	d.kind = kind;
	d.reason = reason;
	return d;
}

struct mu_quar_decision
mu_quar_check(struct mu_quarantine *q, uint64_t fp, mu_us now)
{
	struct mu_quar_entry *e = entry_find(q, fp, now);
	enum level reported;
	mu_us until;

	if (e == NULL)
		return decide_run(MU_QUAR_RUN, MU_QUAR_REASON_CLEAR);
	reported = reported_level(q, e, &until);
	if (e->deaths >= DEATHS_TO_QUARANTINE)
		return decide_refuse(q, MU_QUAR_REASON_TWO_DEATHS,
		    e->last_death + q->conf.quarantine_ttl - now);
	if (reported == LEVEL_QUARANTINED)
		return decide_refuse(
		    q, MU_QUAR_REASON_PEER_QUARANTINES, until - now);
	if (reported == LEVEL_SUSPECTED)
		return decide_refuse(
		    q, MU_QUAR_REASON_PEER_SUSPECTS, until - now);
	if (e->deaths == 0)
		return decide_run(MU_QUAR_RUN, MU_QUAR_REASON_CLEAR);
	if (e->in_flight > 0)
		return decide_wait(
		    MU_QUAR_REASON_IN_FLIGHT, q->conf.trial_recheck);
	if (now - e->last_death < q->conf.digest_wait)
		return decide_wait(MU_QUAR_REASON_WAITING_FOR_DIGESTS,
		    e->last_death + q->conf.digest_wait - now);
	return decide_run(MU_QUAR_TRIAL, MU_QUAR_REASON_ONE_DEATH);
}

int
mu_quar_attempt_start(struct mu_quarantine *q, uint64_t fp, mu_us now)
{
	struct mu_quar_entry *e = entry_get(q, fp, now);

	if (e == NULL)
		return MU_E_NOMEM;
	e->in_flight++;
	return 0;
}

struct mu_quar_decision
mu_quar_attempt_start_checked(
    struct mu_quarantine *q, uint64_t fp, mu_us now, bool *tracked)
{
	struct mu_quar_decision d = mu_quar_check(q, fp, now);

	*tracked = (d.kind == MU_QUAR_RUN || d.kind == MU_QUAR_TRIAL) &&
		   mu_quar_attempt_start(q, fp, now) == 0;
	return d;
}

/*
 * Counts a death.  Several attempts that failed with the same endpoint count
 * once.  A death observed here and one reported by a peer count as two, since
 * a digest doesn't name the endpoint.
 */
static void
record_death(const struct mu_quarantine *q, struct mu_quar_entry *e,
    uint64_t endpoint, mu_us now)
{
	bool already_counted = e->deaths > 0 &&
			       e->last_dead_endpoint == endpoint &&
			       now - e->last_death < q->conf.digest_wait;

	if (has_peer_reports(e))
		e->deaths = DEATHS_TO_QUARANTINE;
	else if (!already_counted && e->deaths < DEATHS_TO_QUARANTINE)
		e->deaths++;
	e->last_dead_endpoint = endpoint;
	e->last_death = now;
}

void
mu_quar_attempt_end(struct mu_quarantine *q, uint64_t fp, uint64_t endpoint,
    enum mu_quar_attempt_result how, mu_us now)
{
	struct mu_quar_entry *e = entry_find(q, fp, now);

	if (e == NULL)
		return;
	if (e->in_flight > 0)
		e->in_flight--;
	switch (how) {
	case MU_QUAR_COMPLETED:
		e->deaths = 0;
		break;
	case MU_QUAR_ENDPOINT_DIED:
		record_death(q, e, endpoint, now);
		cds_list_move(&e->in_recent, &q->recent);
		break;
	case MU_QUAR_OTHER_FAILURE:
		break;
	}
	if (entry_is_empty(e))
		entry_free(q, e);
}

/* Level that this daemon reports to its peers. */
static enum level
own_level(const struct mu_quar_entry *e)
{
	if (e->deaths == 0)
		return LEVEL_NONE;
	return e->deaths < DEATHS_TO_QUARANTINE ? LEVEL_SUSPECTED
						: LEVEL_QUARANTINED;
}

static size_t
collect_level(struct mu_quarantine *q, enum level level,
    uint64_t fps[MU_QUAR_DIGEST_MAX], mu_us now)
{
	struct mu_quar_entry *e = NULL;
	size_t n = 0;

	cds_list_for_each_entry (e, &q->recent, in_recent) {
		entry_expire(q, e, now);
		if (own_level(e) != level)
			continue;
		fps[n++] = e->fp;
		if (n == MU_QUAR_DIGEST_MAX)
			break;
	}
	return n;
}

size_t
mu_quar_list_suspected(
    struct mu_quarantine *q, uint64_t fps[MU_QUAR_DIGEST_MAX], mu_us now)
{
	return collect_level(q, LEVEL_SUSPECTED, fps, now);
}

size_t
mu_quar_list_quarantined(
    struct mu_quarantine *q, uint64_t fps[MU_QUAR_DIGEST_MAX], mu_us now)
{
	return collect_level(q, LEVEL_QUARANTINED, fps, now);
}

static void
record_peer_report(struct mu_quarantine *q, uint64_t peer, uint64_t fp,
    enum level level, mu_us now)
{
	struct mu_quar_entry *e = entry_get(q, fp, now);
	struct peer_report *r, *report = NULL;

	if (e == NULL)
		return;
	for (r = e->reports; r < e->reports + PEER_REPORTS_MAX; r++) {
		if (r->peer == peer) {
			report = r;
			break;
		}
		if (r->peer == 0 && report == NULL)
			report = r;
	}
	/* Further peers add no evidence to that of PEER_REPORTS_MAX others. */
	if (report == NULL)
		return;
	report->peer = peer;
	report->level = level;
	report->received = now;
	if (e->deaths == 1) {
		e->deaths = DEATHS_TO_QUARANTINE;
		e->last_death = now;
	}
}

static bool
contains(const uint64_t *fps, size_t n, uint64_t fp)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (fps[i] == fp)
			return true;
	}
	return false;
}

void
mu_quar_apply_digest(struct mu_quarantine *q, uint64_t peer,
    const uint64_t *suspected, size_t nsuspected, const uint64_t *quarantined,
    size_t nquarantined, mu_us now)
{
	bool truncated = nsuspected >= MU_QUAR_DIGEST_MAX ||
			 nquarantined >= MU_QUAR_DIGEST_MAX;
	struct mu_quar_entry *e = NULL, *next = NULL;
	size_t i;

	cds_list_for_each_entry_safe (e, next, &q->recent, in_recent) {
		for (i = 0; i < PEER_REPORTS_MAX && !truncated; i++) {
			if (e->reports[i].peer == peer &&
			    !contains(suspected, nsuspected, e->fp) &&
			    !contains(quarantined, nquarantined, e->fp))
				memset(
				    &e->reports[i], 0, sizeof(e->reports[i]));
		}
		if (entry_is_empty(e))
			entry_free(q, e);
	}
	for (i = 0; i < nsuspected; i++)
		record_peer_report(q, peer, suspected[i], LEVEL_SUSPECTED, now);
	for (i = 0; i < nquarantined; i++)
		record_peer_report(
		    q, peer, quarantined[i], LEVEL_QUARANTINED, now);
}

bool
mu_quar_trial_allowed(
    size_t rank, size_t ndaemons, size_t index, size_t nendpoints)
{
	size_t groups = ndaemons < nendpoints ? ndaemons : nendpoints;

	if (groups == 0)
		return true;
	return index % groups == rank % groups;
}
