/*
 * member.c -- membership: the known hosts and endpoints and their state.
 *
 * The host list names the hosts that may exist, but lags; heartbeats on the
 * peer links show which daemons are alive.  One thread reads the list and the
 * operators' drains and publishes the fleet; a few threads read the endpoints'
 * load reports.  The board keeps an endpoint's statistics when the list
 * changes.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "config.h"
#include "log.h"
#include "member.h"
#include "metric.h"
#include "slots.h"
#include "wait.h"

#define REPORT_POLLERS 8
#define REPORT_TIMEOUT_MS 500
#define MAX_DRAINS 1000
#define FLEET_WRITES_PER_S 250 /* journal transactions of all daemons */
#define MAX_PEERS 1024
#define PUSH_INTERVAL_MS 1000 /* of the services text to lagging peers */

/* Last heartbeat of a daemon. */
struct peer_heartbeat {
	char host[MU_NAME_LEN];
	mu_us received_at;
	uint64_t config_version;
	uint32_t running;
	uint32_t queued;
	bool leaving;
	bool platform_ok;
	bool isolated;
};

struct poller {
	struct mu_member *m;
	unsigned index;
	pthread_t thread;
	bool started;
};

struct mu_member {
	struct mu_daemon *d;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool stopping;
	bool publish_requested; /* without waiting for the next poll */
	struct peer_heartbeat *heartbeats;
	size_t nheartbeats;
	struct mu_hosts hosts; /* as last read; member thread only */
	char (*drains)[MU_NAME_LEN];
	size_t ndrains;
	mu_us platform_answered_at;
	mu_us config_pushed_at; /* to peers without the platform */
	bool self_listed_leaving;
	size_t npeer_hosts; /* other entry hosts on the list */
	pthread_t thread;
	bool started;
	struct poller pollers[REPORT_POLLERS];
};

static struct peer_heartbeat *
find_or_add_heartbeat(struct mu_member *m, const char *host)
{
	size_t i;

	for (i = 0; i < m->nheartbeats; i++)
		if (strcmp(m->heartbeats[i].host, host) == 0)
			return &m->heartbeats[i];
	if (m->nheartbeats == MAX_PEERS)
		return NULL;
	memset(&m->heartbeats[m->nheartbeats], 0, sizeof(m->heartbeats[0]));
	(void)snprintf(
	    m->heartbeats[m->nheartbeats].host, MU_NAME_LEN, "%s", host);
	return &m->heartbeats[m->nheartbeats++];
}

static void
request_publish(struct mu_member *m)
{
	m->publish_requested = true;
	pthread_cond_signal(&m->wake);
}

static void
apply_quarantine_report(
    struct mu_daemon *d, const char *host, const Mu__Heartbeat *hb)
{
	pthread_mutex_lock(&d->quarantine_lock);
	mu_quar_apply_digest(&d->quarantine, mu_quar_hash_name(host),
	    hb->suspected, hb->n_suspected, hb->quarantined, hb->n_quarantined,
	    mu_now(&d->clock));
	pthread_mutex_unlock(&d->quarantine_lock);
}

/*
 * Updates whether another daemon may reach the platform: a live one reports it,
 * or the list has other daemons and none of them is live.  The lock is held.
 */
static void
update_peers_ok(struct mu_member *m)
{
	mu_us oldest_valid =
	    mu_now(&m->d->clock) - m->d->conf->silence_ms * MU_US_PER_MS;
	bool reachable = false, any_live = false;
	size_t i;

	for (i = 0; i < m->nheartbeats; i++) {
		if (m->heartbeats[i].received_at <= oldest_valid)
			continue;
		any_live = true;
		reachable = reachable || m->heartbeats[i].platform_ok;
	}
	MU_ATOMIC_STORE(m->d->board.peer_platform_ok,
	    reachable || (!any_live && m->npeer_hosts > 0));
}

/*
 * Whether to push the services text again: the daemon that accepted it may have
 * failed before it reached this peer, which cannot read the platform.  The lock
 * is held.
 */
static bool
needs_config_push(struct mu_member *m, const Mu__Heartbeat *hb)
{
	mu_us now = mu_now(&m->d->clock);

	if (hb->platform_ok ||
	    hb->config_version >= mu_board_version(&m->d->board) ||
	    now - m->config_pushed_at < PUSH_INTERVAL_MS * MU_US_PER_MS)
		return false;
	m->config_pushed_at = now;
	return true;
}

void
mu_member_on_heartbeat(void *daemon, const char *host, const Mu__Heartbeat *hb)
{
	struct mu_daemon *d = daemon;
	struct mu_member *m = d->member;
	struct peer_heartbeat *h;
	bool push;

	pthread_mutex_lock(&m->lock);
	push = needs_config_push(m, hb);
	h = find_or_add_heartbeat(m, host);
	if (h != NULL) {
		if (h->leaving != hb->leaving ||
		    h->config_version != hb->config_version)
			request_publish(m);
		h->received_at = mu_now(&d->clock);
		h->config_version = hb->config_version;
		h->running = hb->running;
		h->queued = hb->queued;
		h->leaving = hb->leaving;
		h->isolated = hb->isolated;
		if (h->platform_ok != hb->platform_ok) {
			h->platform_ok = hb->platform_ok;
			update_peers_ok(m);
		}
	}
	pthread_mutex_unlock(&m->lock);
	if (push)
		mu_config_push_to_peers(d->config);
	apply_quarantine_report(d, host, hb);
	mu_config_on_peer_version(d->config, hb->config_version);
}

void
mu_member_fill_heartbeat(
    void *daemon, Mu__Heartbeat *hb, struct mu_arena *arena)
{
	struct mu_daemon *d = daemon;
	uint64_t *fps;

	hb->config_version = mu_board_version(&d->board);
	hb->running = MU_ATOMIC_LOAD(d->board.running);
	hb->queued = MU_ATOMIC_LOAD(d->board.queued);
	hb->leaving = MU_ATOMIC_LOAD(d->board.leaving);
	hb->isolated = MU_ATOMIC_LOAD(d->board.isolated);
	hb->platform_ok = MU_ATOMIC_LOAD(d->board.platform_ok) &&
			  mu_journal_platform_ok(d->journal);
	fps = mu_arena_alloc(arena, 2 * MU_QUAR_DIGEST_MAX * sizeof(*fps));
	if (fps == NULL)
		return;
	pthread_mutex_lock(&d->quarantine_lock);
	hb->suspected = fps;
	hb->n_suspected =
	    mu_quar_list_suspected(&d->quarantine, fps, mu_now(&d->clock));
	hb->quarantined = fps + MU_QUAR_DIGEST_MAX;
	hb->n_quarantined = mu_quar_list_quarantined(
	    &d->quarantine, hb->quarantined, mu_now(&d->clock));
	pthread_mutex_unlock(&d->quarantine_lock);
}

void
mu_member_on_link(void *daemon, const char *host, bool up)
{
	struct mu_daemon *d = daemon;
	struct mu_member *m = d->member;

	mu_log(MU_LOG_INFO, "member", up ? "link_up" : "link_down", "{s:s}",
	    "peer", host);
	pthread_mutex_lock(&m->lock);
	request_publish(m);
	pthread_mutex_unlock(&m->lock);
	if (up)
		mu_config_push_to_peers(d->config);
}

/*
 * Fleet.
 */

static bool
is_drained(const struct mu_member *m, const char *host)
{
	size_t i;

	for (i = 0; i < m->ndrains; i++)
		if (strcmp(m->drains[i], host) == 0)
			return true;
	return false;
}

static struct mu_bd_endpoint *
endpoint_of(struct mu_board *b, const struct mu_host *h)
{
	struct mu_bd_endpoint *e;

	cds_list_for_each_entry (e, &b->endpoints, node) {
		if (strcmp(e->addr, h->addr) == 0 &&
		    strcmp(e->service, h->service) == 0)
			return e;
	}
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		return NULL;
	memcpy(e->name, h->name, sizeof(e->name));
	memcpy(e->addr, h->addr, sizeof(e->addr));
	memcpy(e->service, h->service, sizeof(e->service));
	memcpy(e->domain, h->domain, sizeof(e->domain));
	e->id = XXH3_64bits(e->addr, strlen(e->addr));
	mu_health_init(&e->health);
	cds_list_add(&e->node, &b->endpoints);
	return e;
}

static void
fleet_add_endpoint(
    struct mu_member *m, struct mu_bd_fleet *f, const struct mu_host *h)
{
	struct mu_bd_endpoint *e = endpoint_of(&m->d->board, h);

	if (e == NULL)
		return;
	MU_ATOMIC_STORE(e->leaving, h->state == MU_HOST_LEAVING);
	MU_ATOMIC_STORE(e->drained, is_drained(m, h->name));
	MU_ATOMIC_STORE(e->listed, true);
	f->endpoints[f->nendpoints++] = e;
}

static void
fleet_add_daemon(
    struct mu_member *m, struct mu_bd_fleet *f, const struct mu_host *h)
{
	struct mu_bd_daemon *b = &f->daemons[f->ndaemons++];
	bool self = strcmp(h->name, m->d->conf->host) == 0;
	struct peer_heartbeat *s;

	memcpy(b->host, h->name, sizeof(b->host));
	memcpy(b->addr, h->addr, sizeof(b->addr));
	memcpy(b->peer, h->peer, sizeof(b->peer));
	memcpy(b->domain, h->domain, sizeof(b->domain));
	b->leaving = h->state == MU_HOST_LEAVING || is_drained(m, h->name);
	if (self) {
		m->self_listed_leaving = b->leaving;
		b->up = true;
		b->config_version = mu_board_version(&m->d->board);
		b->running = MU_ATOMIC_LOAD(m->d->board.running);
		b->queued = MU_ATOMIC_LOAD(m->d->board.queued);
		b->leaving = b->leaving || MU_ATOMIC_LOAD(m->d->board.leaving);
		return;
	}
	b->up = m->d->peers != NULL && mu_peers_link_up(m->d->peers, h->name);
	s = find_or_add_heartbeat(m, h->name);
	if (s == NULL)
		return;
	b->config_version = s->config_version;
	b->running = s->running;
	b->queued = s->queued;
	b->leaving = b->leaving || (b->up && s->leaving);
}

/* Endpoints removed from the list get no calls, but keep their statistics. */
static void
mark_unlisted(struct mu_member *m, const struct mu_bd_fleet *f)
{
	struct mu_bd_endpoint *e;
	size_t i;

	cds_list_for_each_entry (e, &m->d->board.endpoints, node) {
		for (i = 0; i < f->nendpoints; i++)
			if (f->endpoints[i] == e)
				break;
		if (i == f->nendpoints)
			MU_ATOMIC_STORE(e->listed, false);
	}
}

static void
publish(struct mu_member *m)
{
	struct mu_bd_fleet *f = calloc(1, sizeof(*f));
	size_t i, n = m->hosts.count;

	if (f == NULL)
		return;
	f->daemons = calloc(n + 1, sizeof(*f->daemons));
	f->endpoints = calloc(n + 1, sizeof(*f->endpoints));
	if (f->daemons == NULL || f->endpoints == NULL) {
		free(f->daemons);
		free(f->endpoints);
		free(f);
		return;
	}
	pthread_mutex_lock(&m->lock);
	m->self_listed_leaving = false;
	for (i = 0; i < n; i++) {
		switch (m->hosts.host[i].role) {
		case MU_HOST_ENTRY:
			fleet_add_daemon(m, f, &m->hosts.host[i]);
			break;
		case MU_HOST_ENDPOINT:
			fleet_add_endpoint(m, f, &m->hosts.host[i]);
			break;
		}
	}
	mark_unlisted(m, f);
	pthread_mutex_unlock(&m->lock);
	mu_board_set_fleet(&m->d->board, f);
}

static void
set_peers(struct mu_member *m)
{
	struct mu_peer_target *t;
	const struct mu_host *h;
	size_t i, n = 0;

	if (m->d->peers == NULL)
		return;
	t = calloc(m->hosts.count + 1, sizeof(*t));
	for (i = 0; t != NULL && i < m->hosts.count; i++) {
		h = &m->hosts.host[i];
		if (h->role != MU_HOST_ENTRY ||
		    strcmp(h->name, m->d->conf->host) == 0)
			continue;
		t[n++] = (struct mu_peer_target){h->name, h->peer};
	}
	if (t != NULL)
		mu_peers_set_targets(m->d->peers, t, n);
	m->npeer_hosts = n;
	free(t);
}

static int
read_drains(struct mu_member *m, struct mu_error *e)
{
	struct mu_rows rows = {0};
	size_t i;
	int rc;

	mu_count(MU_M_PLATFORM_READS, 1);
	rc = mu_platform_list(
	    m->d->platform, "drain/", NULL, MAX_DRAINS, &rows, e);
	if (rc != 0)
		return rc;
	m->ndrains = 0;
	for (i = 0; i < rows.count && i < MAX_DRAINS; i++)
		(void)snprintf(m->drains[m->ndrains++], MU_NAME_LEN, "%s",
		    rows.row[i].key + strlen("drain/"));
	mu_rows_clear(&rows);
	return 0;
}

static int
read_hosts(struct mu_member *m, struct mu_error *e)
{
	struct mu_hosts hosts = {0};
	int rc;

	mu_count(MU_M_PLATFORM_READS, 1);
	rc = mu_platform_hosts(m->d->platform, &hosts, e);
	if (rc == 0)
		rc = read_drains(m, e);
	if (rc != 0) {
		mu_hosts_clear(&hosts);
		return rc;
	}
	mu_hosts_clear(&m->hosts);
	m->hosts = hosts;
	return 0;
}

/*
 * Whether a peer that is not isolated sent a heartbeat after oldest_valid, and
 * none of these peers has a newer configuration than the one in force here.
 */
static bool
has_current_peer(struct mu_member *m, mu_us oldest_valid)
{
	uint64_t version = mu_board_version(&m->d->board);
	bool found = false, outdated = false;
	size_t i;

	pthread_mutex_lock(&m->lock);
	for (i = 0; i < m->nheartbeats; i++) {
		if (m->heartbeats[i].received_at <= oldest_valid ||
		    m->heartbeats[i].isolated)
			continue;
		found = true;
		outdated =
		    outdated || m->heartbeats[i].config_version > version;
	}
	pthread_mutex_unlock(&m->lock);
	return found && !outdated;
}

/*
 * A daemon that reaches neither the platform nor any peer for isolation_ms
 * can't know which configuration is in force.  Isolation ends only when that is
 * known again: read from the platform, or from a peer which is not isolated
 * itself.
 */
static void
update_isolation(struct mu_member *m)
{
	struct mu_daemon *d = m->d;
	mu_us oldest_valid =
	    mu_now(&d->clock) - d->conf->isolation_ms * MU_US_PER_MS;
	bool was_isolated = MU_ATOMIC_LOAD(d->board.isolated);
	bool isolated = m->platform_answered_at < oldest_valid &&
			!has_current_peer(m, oldest_valid);

	if (was_isolated && !isolated && !has_current_peer(m, oldest_valid))
		isolated = mu_config_fetch(d->config) != 0;
	if (isolated != was_isolated)
		mu_log(MU_LOG_WARN, "member",
		    isolated ? "isolated" : "not_isolated", NULL);
	MU_ATOMIC_STORE(d->board.isolated, isolated);
}

static void
update_platform_state(struct mu_member *m, bool ok)
{
	struct mu_board *b = &m->d->board;
	mu_us now = mu_now(&m->d->clock);

	if (ok)
		m->platform_answered_at = now;
	if (ok != MU_ATOMIC_LOAD(b->platform_ok) ||
	    MU_ATOMIC_LOAD(b->platform_since) == 0)
		MU_ATOMIC_STORE(b->platform_since, now);
	MU_ATOMIC_STORE(b->platform_ok, ok);
}

/* Leaving is set while the host list or a drain requires it, or on stop. */
static void
update_leaving(struct mu_member *m)
{
	struct mu_board *b = &m->d->board;
	bool leaving = m->self_listed_leaving || MU_ATOMIC_LOAD(b->stopping);

	if (leaving == MU_ATOMIC_LOAD(b->leaving))
		return;
	mu_log(MU_LOG_INFO, "member", leaving ? "self_leaving" : "self_back",
	    NULL);
	MU_ATOMIC_STORE(b->leaving, leaving);
}

static void
refresh_fleet(struct mu_member *m)
{
	struct mu_error e;
	uint32_t live;
	bool ok = read_hosts(m, &e) == 0;

	update_platform_state(m, ok);
	update_isolation(m);
	pthread_mutex_lock(&m->lock);
	update_peers_ok(m);
	pthread_mutex_unlock(&m->lock);
	if (ok)
		set_peers(m);
	publish(m);
	live = mu_board_live_daemons(&m->d->board);
	mu_journal_set_commit_interval(
	    m->d->journal, live * 1000 / FLEET_WRITES_PER_S);
	update_leaving(m);
}

/* Waits for the next poll; publishes the fleet when heartbeats change it. */
static bool
wait_for_poll(struct mu_member *m, uint32_t ms)
{
	struct timespec ts;
	bool proceed;
	int rc = 0;

	mu_time_after(&ts, ms);
	pthread_mutex_lock(&m->lock);
	while (!m->stopping && rc != ETIMEDOUT) {
		rc = pthread_cond_timedwait(&m->wake, &m->lock, &ts);
		if (!m->publish_requested)
			continue;
		m->publish_requested = false;
		pthread_mutex_unlock(&m->lock);
		publish(m);
		pthread_mutex_lock(&m->lock);
	}
	proceed = !m->stopping;
	pthread_mutex_unlock(&m->lock);
	return proceed;
}

static void *
member_main(void *arg)
{
	struct mu_member *m = arg;

	while (wait_for_poll(m, m->d->conf->host_poll_ms))
		refresh_fleet(m);
	return NULL;
}

/*
 * Load reports.
 */

static void
read_report(struct mu_member *m, struct mu_bd_endpoint *e)
{
	struct mu_ep_load l;
	struct mu_error err;
	mu_us at;

	if (mu_ep_get_load(e->addr, REPORT_TIMEOUT_MS, &l, &err) != 0)
		return;
	at = mu_now(&m->d->clock) - (mu_us)l.age_ms * MU_US_PER_MS;
	MU_ATOMIC_STORE(e->running, l.running);
	MU_ATOMIC_STORE(e->queued, l.queued);
	MU_ATOMIC_STORE(e->max_batch, l.max_batch);
	MU_ATOMIC_STORE(e->cache_used, l.cache_used);
	MU_ATOMIC_STORE(e->cache_max, l.cache_max);
	MU_ATOMIC_STORE(e->report_at, at);
}

/* Lists this poller's endpoints; they stay allocated while the daemon runs. */
static size_t
assigned_endpoints(struct poller *p, struct mu_bd_endpoint **list, size_t max)
{
	struct mu_bd_fleet *f;
	size_t i, n = 0;

	rcu_read_lock();
	f = rcu_dereference(p->m->d->board.fleet);
	for (i = p->index; f != NULL && i < f->nendpoints && n < max;
	     i += REPORT_POLLERS)
		list[n++] = f->endpoints[i];
	rcu_read_unlock();
	return n;
}

static void *
poller_main(void *arg)
{
	struct poller *p = arg;
	struct mu_member *m = p->m;
	struct mu_bd_endpoint *list[256];
	size_t i, n;
	bool proceed = true;

	while (proceed) {
		n = assigned_endpoints(p, list, sizeof(list) / sizeof(list[0]));
		for (i = 0; i < n; i++)
			read_report(m, list[i]);
		mu_sleep_ms(m->d->conf->report_poll_ms);
		pthread_mutex_lock(&m->lock);
		proceed = !m->stopping;
		pthread_mutex_unlock(&m->lock);
	}
	return NULL;
}

int
mu_member_open(struct mu_member **out, struct mu_daemon *d)
{
	struct mu_member *m = calloc(1, sizeof(*m));

	if (m == NULL)
		return MU_E_NOMEM;
	m->d = d;
	m->heartbeats = calloc(MAX_PEERS, sizeof(*m->heartbeats));
	m->drains = calloc(MAX_DRAINS, sizeof(*m->drains));
	if (m->heartbeats == NULL || m->drains == NULL) {
		free(m->heartbeats);
		free(m->drains);
		free(m);
		return MU_E_NOMEM;
	}
	m->platform_answered_at = mu_now(&d->clock);
	pthread_mutex_init(&m->lock, NULL);
	mu_cond_init(&m->wake);
	*out = m;
	return 0;
}

int
mu_member_start(struct mu_member *m)
{
	unsigned i;

	refresh_fleet(m);
	if (pthread_create(&m->thread, NULL, member_main, m) != 0)
		return MU_E_SYSTEM;
	m->started = true;
	for (i = 0; i < REPORT_POLLERS; i++) {
		m->pollers[i].m = m;
		m->pollers[i].index = i;
		if (pthread_create(&m->pollers[i].thread, NULL, poller_main,
			&m->pollers[i]) != 0)
			return MU_E_SYSTEM;
		m->pollers[i].started = true;
	}
	return 0;
}

void
mu_member_stop(struct mu_member *m)
{
	unsigned i;

	if (m == NULL)
		return;
	pthread_mutex_lock(&m->lock);
	m->stopping = true;
	pthread_cond_signal(&m->wake);
	pthread_mutex_unlock(&m->lock);
	if (m->started)
		pthread_join(m->thread, NULL);
	m->started = false;
	for (i = 0; i < REPORT_POLLERS; i++) {
		if (m->pollers[i].started)
			pthread_join(m->pollers[i].thread, NULL);
		m->pollers[i].started = false;
	}
}

void
mu_member_close(struct mu_member *m)
{
	if (m == NULL)
		return;
	mu_member_stop(m);
	mu_hosts_clear(&m->hosts);
	pthread_cond_destroy(&m->wake);
	pthread_mutex_destroy(&m->lock);
	free(m->heartbeats);
	free(m->drains);
	free(m);
}
