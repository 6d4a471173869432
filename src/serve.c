/*
 * serve.c -- assembles the serving path and follows the store's tables of
 * configuration, endpoints and daemons.
 *
 * Each daemon publishes a row in the daemons' table and discovers the others
 * there; heartbeats on the mesh show which of them are alive.  A daemon that
 * cannot reach the store relays its reads and writes through a peer that can.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "call.h"
#include "loans.h"
#include "log.h"
#include "metric.h"
#include "storerelay.h"
#include "seed.h"
#include "serve.h"

#define DAEMON_TABLE "daemons"
/* Long poll: a change is returned at once; a dead connection is detected after
 * this time plus the response timeout. */
#define CONFIG_LONG_POLL_MS 1000
/* Two polls fit into the time for which an endpoint keeps serving after it
 * announces its shutdown. */
#define ENDPOINT_POLL_INTERVAL_MS 800
/* The platform restores live endpoints' entries within 2 s of the store's
 * recovery; the rest is the round trip. */
#define ENTRIES_RESTORE_US (2200 * MU_US_PER_MS)
/* 5 heartbeats last 1 s: long enough that a few slow responses do not count as
 * an outage. */
#define OUTAGE_HEARTBEATS 5
#define DAEMON_LONG_POLL_MS 2000
/* Hosts of a new fleet start within a second of each other. */
#define FLEET_START_US (1500 * MU_US_PER_MS)
#define HEARTBEAT_INTERVAL_MS 200
#define SILENCE_MS 700 /* three heartbeats and the network delay */
/* A fifth of the smallest host's memory. */
#define HISTORY_CACHE_BYTES ((size_t)32 << 20)
#define ANNOUNCE_TIMEOUT_US (2 * MU_US_PER_S)
/* Several times the round trip of a seed request. */
#define SEED_RETRY_INTERVAL_US (300 * MU_US_PER_MS)
#define SEED_AGE_MAX_US (3600 * MU_US_PER_S) /* older: reported as unknown */
#define STATS_INTERVAL_US (10 * MU_US_PER_S)
/* Allows several reads of the store; callers time out a connection after
 * 1 s. */
#define ACCEPT_DELAY_MAX_US (300 * MU_US_PER_MS)
#define ANNOUNCE_RETRY_INTERVAL_US (200 * MU_US_PER_MS)

/* Configuration. */

static void
ignore_list_event(void *arg __attribute__((unused)))
{
}

/* The limits of shed.c for services with less urgent programs need an estimate
 * that is not too low. */
static void
choose_load_estimates(struct mu_serve *s)
{
	const struct mu_service *v;
	struct mu_hnode *n;
	struct mu_group *g;
	size_t i;

	for (i = 0; i < s->targets.groups.nbuckets; i++)
		for (n = s->targets.groups.bucket[i]; n != NULL; n = n->next) {
			g = MU_CONTAINER_OF(n, struct mu_group, node);
			g->load_estimate = MU_LOADEST_REPORT;
		}
	for (i = 0; i < s->routes->nservices; i++) {
		v = &s->routes->service[i];
		g = mu_targets_group(&s->targets, v->name);
		if (mu_shed_class(s->conf.shed_priority, v->least_urgent,
			v->least_urgent) != MU_SHED_DEFAULT)
			g->load_estimate = MU_LOADEST_MEAN;
	}
}

static void
on_config_row(void *arg, const Mu__StoreRow *row)
{
	struct mu_serve *s = arg;
	struct mu_error e = {.type = MU_E_CONFIG_INVALID};
	struct mu_routes *r;

	if (strcmp(row->key, s->adapter->config_key) != 0 || row->removed)
		return;
	mu_seed_update(s->seed, row);
	r = s->adapter->read_routes(row, &e);
	if (r == NULL) {
		mu_log(MU_LOG_ERROR, "serve", "config_unreadable",
		    "{s:I,s:s,s:s}", "ver", (json_int_t)row->ver, "error",
		    mu_errname(e.type), "message", e.message);
		return;
	}
	if (s->routes != NULL && r->version <= s->routes->version) {
		mu_routes_unref(r);
		return;
	}
	mu_routes_index(r);
	mu_log(MU_LOG_INFO, "serve", "config_in_force", "{s:I,s:I,s:i,s:i,s:i}",
	    "version", (json_int_t)r->version, "before",
	    s->routes != NULL ? (json_int_t)s->routes->version : 0, "routes",
	    (int)r->nroutes, "services", (int)r->nservices, "customers",
	    r->customers != NULL ? (int)mu_customers_count(r->customers) : -1);
	mu_count(MU_M_CONFIGS, 1);
	mu_routes_unref(s->routes);
	s->routes = r;
	choose_load_estimates(s);
}

/* Endpoints. */

static void
on_endpoints_begin(void *arg)
{
	struct mu_serve *s = arg;

	mu_seed_drop_table(s->seed, s->adapter->endpoint_table);
	mu_targets_list_begin(&s->targets);
}

static void
retry_all_groups(struct mu_serve *s)
{
	struct mu_hnode *n;
	size_t i;

	for (i = 0; i < s->targets.groups.nbuckets; i++)
		for (n = s->targets.groups.bucket[i]; n != NULL; n = n->next)
			mu_call_retry_waiting(
			    s, MU_CONTAINER_OF(n, struct mu_group, node));
}

static void
on_endpoints_end(void *arg)
{
	struct mu_serve *s = arg;

	mu_targets_list_end(&s->targets);
	s->endpoints_loaded = true;
	retry_all_groups(s);
}

static void
on_endpoint_row(void *arg, const Mu__StoreRow *row)
{
	struct mu_serve *s = arg;
	struct mu_target_info info;

	mu_seed_update(s->seed, row);
	if (row->removed) {
		mu_targets_remove(&s->targets, row->key);
	} else if (s->adapter->read_endpoint(row, &info)) {
		mu_targets_learn(&s->targets, &info);
	} else {
		mu_log(MU_LOG_WARN, "serve", "endpoint_unreadable", "{s:s}",
		    "key", row->key);
		mu_targets_remove(&s->targets, row->key);
	}
}

/*
 * Endpoints' entries expire during a store outage; live endpoints have theirs
 * back within two seconds of its recovery.  Endpoints are kept until then,
 * since a service would otherwise have none in the meantime.
 */
static void
detect_endpoint_table_outage(struct mu_serve *s)
{
	bool unavailable = !mu_store_direct_available(s->store) ||
			   mu_store_partition_suspect(
			       s->store, s->adapter->endpoint_table, "");
	mu_us now = mu_loop_now(s->loop);

	/* A new link gets a heartbeat between two intervals. */
	if (now - s->table_checked_at <
	    HEARTBEAT_INTERVAL_MS * MU_US_PER_MS / 2)
		return;
	s->table_checked_at = now;
	s->table_outage_heartbeats =
	    unavailable ? s->table_outage_heartbeats + 1 : 0;
	if (s->table_outage_heartbeats >= OUTAGE_HEARTBEATS)
		mu_targets_keep_lapsed(
		    &s->targets, mu_loop_now(s->loop) + ENTRIES_RESTORE_US);
}

/* Other daemons. */

static void
on_daemon_row(void *arg, const Mu__StoreRow *row)
{
	struct mu_serve *s = arg;
	Mu__DaemonRow *d;

	mu_seed_update(s->seed, row);
	if (mu_bootstrap_on_row(s->bootstrap, row))
		return;
	if (row->removed) {
		mu_mesh_remove_peer(s->mesh, row->key);
		return;
	}
	d = mu__daemon_row__unpack(NULL, row->value.len, row->value.data);
	if (d == NULL || strcmp(d->host, row->key) != 0) {
		mu_log(MU_LOG_WARN, "serve", "daemon_unreadable", "{s:s}",
		    "key", row->key);
	} else {
		mu_bootstrap_on_daemon(s->bootstrap, d);
		mu_mesh_update_peer(s->mesh, d);
	}
	if (d != NULL)
		mu__daemon_row__free_unpacked(d, NULL);
}

static void
on_daemons_end(void *arg)
{
	struct mu_serve *s = arg;

	mu_limiter_peers_known(s->limiter);
	mu_bootstrap_on_list_end(s->bootstrap);
}

/* Publishes this daemon's row only after the bootstrap check, since it replaces
 * the row of an earlier process. */
static void
on_bootstrap_decided(void *arg, bool first_start)
{
	struct mu_serve *s = arg;

	s->first_start = first_start;
	mu_timer_set(s->loop, &s->announce_timer, mu_loop_now(s->loop));
}

static void
fill_endpoint_uses(struct mu_serve *s, Mu__Beat *b)
{
	struct mu_hmap *m = &s->targets.by_name;
	struct mu_target *x;
	struct mu_hnode *n;
	Mu__EndpointUse *u;
	mu_us down;
	size_t i;

	b->uses = calloc(m->count + 1, sizeof(Mu__EndpointUse *));
	if (b->uses == NULL)
		return;
	for (i = 0; i < m->nbuckets; i++)
		for (n = m->bucket[i]; n != NULL; n = n->next) {
			x = MU_CONTAINER_OF(n, struct mu_target, node);
			down = x->down_until - mu_loop_now(s->loop);
			if ((x->sent == 0 && down <= 0 &&
				!x->reported_leaving) ||
			    (u = malloc(sizeof(*u))) == NULL)
				continue;
			mu__endpoint_use__init(u);
			u->endpoint = strdup(x->info.name);
			u->sent = x->sent;
			u->leaving = x->reported_leaving;
			u->born = x->info.born;
			if (down > 0)
				u->down_ms =
				    (uint32_t)(down / MU_US_PER_MS) + 1;
			b->uses[b->n_uses++] = u;
		}
}

/* Reports the requests that this daemon has seen crash endpoints. */
static void
fill_crashes(struct mu_serve *s, Mu__Beat *b)
{
	struct mu_crash_report reports[MU_CRASHES_REPORTS_MAX];
	size_t i, n;

	n = mu_crashes_list(&s->crashes, reports, mu_loop_now(s->loop));
	b->crashes = n > 0 ? calloc(n, sizeof(Mu__CrashReport *)) : NULL;
	for (i = 0; b->crashes != NULL && i < n; i++) {
		b->crashes[i] = malloc(sizeof(Mu__CrashReport));
		if (b->crashes[i] == NULL)
			return;
		mu__crash_report__init(b->crashes[i]);
		b->crashes[i]->fingerprint = reports[i].fingerprint;
		b->crashes[i]->count = reports[i].count;
		b->n_crashes++;
	}
}

static void
apply_peer_crashes(struct mu_serve *s, const struct mu_peer *p)
{
	struct mu_crash_report reports[MU_CRASHES_REPORTS_MAX];
	size_t n = 0;

	for (; n < p->beat->n_crashes && n < MU_CRASHES_REPORTS_MAX; n++) {
		reports[n].fingerprint = p->beat->crashes[n]->fingerprint;
		reports[n].count = p->beat->crashes[n]->count;
	}
	mu_crashes_apply(
	    &s->crashes, mu_hash(p->host), reports, n, mu_loop_now(s->loop));
}

/* On the fleet's first start nothing can have been lent before.  But a daemon
 * that doesn't know all others yet may take itself for the guarantor of a
 * program that has another one, so it lends only once the list of daemons is
 * newer than the start of the last of them. */
static void
end_first_start(struct mu_serve *s)
{
	mu_us started = s->opened_at + FLEET_START_US;

	if (!s->first_start ||
	    mu_loop_now(s->loop) - started <= mu_follow_age(s->follow_daemons))
		return;
	s->first_start = false;
	mu_loans_skip_grace(s->loans);
}

static void
fill_heartbeat(void *arg, Mu__Beat *b)
{
	struct mu_serve *s = arg;

	end_first_start(s);
	detect_endpoint_table_outage(s);
	b->leaving = mu_serve_leaving(s);
	b->ready = mu_serve_ready(s);
	b->store_ok = mu_store_direct_available(s->store);
	fill_endpoint_uses(s, b);
	fill_crashes(s, b);
}

/* Adds a peer's requests at endpoints to their load, or removes them. */
static void
apply_peer_uses(struct mu_serve *s, const Mu__Beat *b, bool add)
{
	size_t i;

	for (i = 0; b != NULL && i < b->n_uses; i++) {
		if (add && b->uses[i]->leaving)
			mu_targets_peer_reported_leaving(&s->targets,
			    b->uses[i]->endpoint, b->uses[i]->born);
		mu_targets_peer_report(&s->targets, b->uses[i]->endpoint,
		    add ? 0 : b->uses[i]->sent, add ? b->uses[i]->sent : 0,
		    add ? b->uses[i]->down_ms : 0);
	}
}

static void
on_peer_heartbeat(void *arg, struct mu_peer *p, const Mu__Beat *before)
{
	struct mu_serve *s = arg;

	apply_peer_uses(s, before, false);
	apply_peer_uses(s, p->beat, true);
	apply_peer_crashes(s, p);
}

/* Requests of a peer that is down end soon, so they no longer count as load. */
static void
on_peer_changed(void *arg, struct mu_peer *p)
{
	struct mu_serve *s = arg;

	mu_limiter_peer_changed(s->limiter, p);
	if (p->up || p->beat == NULL)
		return;
	apply_peer_uses(s, p->beat, false);
	mu__beat__free_unpacked(p->beat, NULL);
	p->beat = NULL;
}

/* Seeds: rows from peers, for a daemon that starts during a store outage. */

/* Requests a seed from a ready peer while the store is unavailable. */
static void
on_any_heartbeat(void *arg, struct mu_mesh_link *from, const Mu__Beat *b)
{
	struct mu_serve *s = arg;
	mu_us now = mu_loop_now(s->loop);
	Mu__Frame f = MU__FRAME__INIT;
	Mu__SeedAsk q = MU__SEED_ASK__INIT;

	if (mu_serve_state_loaded(s) || !b->ready ||
	    mu_store_direct_available(s->store) ||
	    (s->seed_requested_at != 0 &&
		now - s->seed_requested_at < SEED_RETRY_INTERVAL_US))
		return;
	s->seed_requested_at = now;
	q.host = (char *)(uintptr_t)s->conf.host;
	f.body_case = MU__FRAME__BODY_SEED_ASK;
	f.seed_ask = &q;
	(void)mu_mesh_reply(from, &f);
}

static void
send_seed(struct mu_serve *s, struct mu_mesh_link *from, const Mu__SeedAsk *q)
{
	mu_us age = mu_follow_age(s->follow_config);
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Seed seed = MU__SEED__INIT;

	if (!mu_serve_state_loaded(s))
		return;
	seed.age_ms =
	    age < SEED_AGE_MAX_US ? (uint32_t)(age / MU_US_PER_MS) : UINT32_MAX;
	mu_seed_pack(s->seed, &seed);
	f.body_case = MU__FRAME__BODY_SEED;
	f.seed = &seed;
	(void)mu_mesh_reply(from, &f);
	mu_log(MU_LOG_INFO, "serve", "seed_given", "{s:s,s:i}", "host", q->host,
	    "rows", (int)seed.n_rows);
	mu_seed_release(&seed);
}

static void
apply_seed_row(void *arg, const Mu__StoreRow *row)
{
	struct mu_serve *s = arg;

	if (strcmp(row->table, s->adapter->config_table) == 0)
		on_config_row(s, row);
	else if (strcmp(row->table, s->adapter->endpoint_table) == 0)
		on_endpoint_row(s, row);
	else if (strcmp(row->table, DAEMON_TABLE) == 0)
		on_daemon_row(s, row);
}

/* Versions only rise and instances are distinguished by their start time, so
 * rows read from the store later replace all of the seed. */
static void
apply_seed(struct mu_serve *s, const Mu__Seed *seed)
{
	size_t n;

	if (mu_serve_state_loaded(s))
		return;
	n = mu_seed_for_each(seed, apply_seed_row, s);
	s->endpoints_loaded = s->routes != NULL;
	mu_limiter_peers_known(s->limiter);
	mu_log(MU_LOG_INFO, "serve", "seeded", "{s:i,s:I,s:b}", "rows", (int)n,
	    "age_ms", (json_int_t)seed->age_ms, "ready", mu_serve_ready(s));
}

static void
on_peer_request(void *arg, struct mu_mesh_link *from, const Mu__Frame *f)
{
	struct mu_serve *s = arg;

	switch (f->body_case) {
	case MU__FRAME__BODY_BEGIN:
		mu_home_on_begin(s->home, from, f->begin);
		break;
	case MU__FRAME__BODY_SETTLE:
		mu_home_on_settle(s->home, f->settle);
		break;
	case MU__FRAME__BODY_RELAY:
		mu_relay_on_request(s, from, f->relay);
		break;
	case MU__FRAME__BODY_GUARANTEE:
		mu_loans_on_request(s->loans, from, f->guarantee);
		break;
	case MU__FRAME__BODY_LIMIT_ASK:
		mu_limiter_on_ask(s->limiter, from, f->limit_ask);
		break;
	case MU__FRAME__BODY_LIMIT_NOTE:
		mu_limiter_on_note(s->limiter, f->limit_note);
		break;
	case MU__FRAME__BODY_SEED_ASK:
		send_seed(s, from, f->seed_ask);
		break;
	case MU__FRAME__BODY_SEED:
		apply_seed(s, f->seed);
		break;
	default:
		break;
	}
}

/* This daemon's row. */

static void
on_announced(void *arg, const Mu__StoreResult *r)
{
	struct mu_serve *s = arg;

	s->row_written = r->status == MU__STORE_RESULT__STATUS__DONE;
	if (s->row_written)
		return;
	mu_log(MU_LOG_WARN, "serve", "announce_failed", "{s:i}", "status",
	    (int)r->status);
	mu_timer_set(s->loop, &s->announce_timer,
	    mu_loop_now(s->loop) + ANNOUNCE_RETRY_INTERVAL_US);
}

static void
announce(void *arg)
{
	struct mu_serve *s = arg;
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow put = MU__STORE_ROW__INIT, *puts[] = {&put};
	Mu__DaemonRow d = MU__DAEMON_ROW__INIT;
	uint8_t value[512];

	d.host = (char *)(uintptr_t)s->conf.host;
	d.incarnation = s->conf.incarnation;
	d.domain = (char *)(uintptr_t)s->conf.domain;
	d.mesh_addr = (char *)(uintptr_t)s->conf.mesh_addr;
	d.caller_addr = (char *)(uintptr_t)s->conf.caller_addr;
	if (mu__daemon_row__get_packed_size(&d) > sizeof(value))
		return;
	put.table = (char *)(uintptr_t)DAEMON_TABLE;
	put.key = d.host;
	put.value.data = value;
	put.value.len = mu__daemon_row__pack(&d, value);
	op.kind = MU__STORE_OP__KIND__WRITE;
	op.n_put = 1;
	op.put = puts;
	mu_store_run(s->store, &op, mu_loop_now(s->loop) + ANNOUNCE_TIMEOUT_US,
	    on_announced, s);
}

/* Logs totals periodically, for deployments that keep no metrics. */
static void
on_stats(void *arg)
{
	struct mu_serve *s = arg;

	mu_log(MU_LOG_INFO, "serve", "totals",
	    "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i,s:i,s:i}", "calls",
	    (json_int_t)mu_counter_value(MU_M_HTTP), "answered",
	    (json_int_t)mu_counter_value(MU_M_CALLS_OK), "failed",
	    (json_int_t)mu_counter_value(MU_M_CALLS_FAILED), "refused",
	    (json_int_t)mu_counter_value(MU_M_REFUSED), "store_writes",
	    (json_int_t)mu_counter_value(MU_M_PLATFORM_WRITES), "store_reads",
	    (json_int_t)mu_counter_value(MU_M_PLATFORM_READS), "commits",
	    (json_int_t)mu_counter_value(MU_M_COMMITS), "budget_writes",
	    (json_int_t)mu_counter_value(MU_M_BUDGET_DRAWS), "history_reads",
	    (json_int_t)mu_counter_value(MU_M_HISTORY_READS), "connections",
	    (json_int_t)mu_counter_value(MU_M_CONNECTIONS), "in_progress",
	    (int)s->ncalls, "store_pending", (int)mu_store_pending(s->store),
	    "records_pending", (int)mu_history_pending_commits(s->history));
	mu_timer_set(
	    s->loop, &s->stats_timer, mu_loop_now(s->loop) + STATS_INTERVAL_US);
}

/* Customers. */

static const struct mu_customer *
find_customer(void *arg, const char *name)
{
	const struct mu_serve *s = arg;

	return s->routes != NULL && s->routes->customers != NULL
		   ? mu_customers_by_name(s->routes->customers, name)
		   : NULL;
}

/* Opening and closing. */

static bool
open_follows(struct mu_serve *s)
{
	struct mu_follow_conf config = {s->adapter->config_table,
	    CONFIG_LONG_POLL_MS, 0, s, ignore_list_event, ignore_list_event,
	    on_config_row};
	struct mu_follow_conf endpoints = {s->adapter->endpoint_table, 0,
	    ENDPOINT_POLL_INTERVAL_MS, s, on_endpoints_begin, on_endpoints_end,
	    on_endpoint_row};
	struct mu_follow_conf daemons = {DAEMON_TABLE, DAEMON_LONG_POLL_MS, 0,
	    s, ignore_list_event, on_daemons_end, on_daemon_row};

	s->follow_config = mu_follow_new(s->loop, s->store, &config);
	s->follow_endpoints = mu_follow_new(s->loop, s->store, &endpoints);
	s->follow_daemons = mu_follow_new(s->loop, s->store, &daemons);
	return s->follow_config != NULL && s->follow_endpoints != NULL &&
	       s->follow_daemons != NULL;
}

mu_us
mu_serve_config_age(const struct mu_serve *s)
{
	return mu_follow_age(s->follow_config);
}

bool
mu_serve_may_accept(const struct mu_serve *s)
{
	return mu_serve_state_loaded(s) ||
	       mu_loop_now(s->loop) - s->opened_at >= ACCEPT_DELAY_MAX_US;
}

int
mu_serve_open(struct mu_serve *s, struct mu_loop *l,
    const struct mu_store_backend *backend, struct mu_error *e)
{
	struct mu_mesh_conf mc = {s->conf.host, s->conf.domain,
	    s->conf.mesh_addr, s->conf.incarnation, HEARTBEAT_INTERVAL_MS,
	    SILENCE_MS};
	struct mu_mesh_hooks hooks = {s, fill_heartbeat, on_peer_heartbeat,
	    on_peer_changed, on_any_heartbeat, on_peer_request};
	struct mu_home_conf hc = {
	    s->conf.host, s->conf.domain, s->conf.incarnation, NULL};
	struct mu_store_relay relay = {s, mu_relay_available, mu_relay_run};
	struct mu_limiter_conf lc = {s->conf.host, s->conf.domain,
	    s->conf.incarnation, s->conf.limit_window_ms, s->conf.limit_overage,
	    s->conf.limit_slack, s, find_customer};
	struct mu_bootstrap_conf fc = {DAEMON_TABLE, s->conf.host,
	    s->conf.incarnation, s, on_bootstrap_decided};
	int rc;

	s->loop = l;
	CDS_INIT_LIST_HEAD(&s->calls);
	s->opened_at = mu_loop_now(l);
	s->seed = mu_seed_new();
	s->store = mu_store_new(l, backend);
	if (s->seed == NULL || s->store == NULL ||
	    mu_crashes_init(&s->crashes, &mu_crash_conf_default) != 0 ||
	    mu_targets_init(
		&s->targets, l, s->conf.domain, s->conf.incarnation) != 0)
		goto nomem;
	s->targets.crashes = &s->crashes;
	rc = mu_mesh_new(&s->mesh, l, &mc, &hooks, e);
	if (rc != 0)
		return rc;
	mu_mesh_set_account(s->mesh, s->conf.acct);
	mu_store_set_relay(s->store, &relay);
	s->reaper = mu_reaper_new(l, s->store);
	s->history =
	    mu_history_new(l, s->store, s->reaper, HISTORY_CACHE_BYTES);
	s->loans = hc.loans = mu_loans_new(l, s->mesh, s->conf.host);
	s->limiter = mu_limiter_new(l, s->mesh, &lc);
	s->home = mu_home_new(l, s->store, s->reaper, s->mesh, s->history, &hc);
	s->bootstrap = mu_bootstrap_new(l, s->store, &fc);
	s->announce_timer.fn = announce;
	s->announce_timer.arg = s;
	if (s->reaper == NULL || s->history == NULL || s->loans == NULL ||
	    s->limiter == NULL || s->home == NULL || s->bootstrap == NULL ||
	    !open_follows(s))
		goto nomem;
	s->stats_timer.fn = on_stats;
	s->stats_timer.arg = s;
	mu_timer_set(l, &s->stats_timer, mu_loop_now(l) + STATS_INTERVAL_US);
	return 0;
nomem:
	return mu_fail(e, MU_E_NOMEM, MU_OUTCOME_NOT_RUN, 0, "no memory");
}

void
mu_serve_drain(struct mu_serve *s, uint32_t address_ttl_ms, uint32_t stop_ms)
{
	mu_stop_begin(&s->stop, mu_loop_now(s->loop), address_ttl_ms, stop_ms);
	mu_mesh_send_heartbeat(s->mesh);
	mu_limiter_drain(s->limiter);
	mu_home_drain(s->home);
}

void
mu_serve_close(struct mu_serve *s)
{
	/* Ends requests to peers first, then store operations; neither calls
	 * back into the modules freed below after this. */
	mu_mesh_free(s->mesh);
	mu_store_free(s->store);
	mu_follow_free(s->follow_config);
	mu_follow_free(s->follow_endpoints);
	mu_follow_free(s->follow_daemons);
	mu_bootstrap_free(s->bootstrap);
	mu_timer_clear(s->loop, &s->announce_timer);
	mu_timer_clear(s->loop, &s->stats_timer);
	mu_home_free(s->home);
	mu_loans_free(s->loans);
	mu_limiter_free(s->limiter);
	mu_history_free(s->history);
	mu_reaper_free(s->reaper);
	mu_targets_clear(&s->targets);
	mu_crashes_fini(&s->crashes);
	mu_seed_free(s->seed);
	mu_routes_unref(s->routes);
}
