/*
 * oper.c -- HTTP port for operators.
 *
 * Serves configuration, status, the audit trail, metrics and explanations of
 * decisions.  Every change goes through submit.c, which records it in the audit
 * trail.  Paths and bodies are specified in docs/design/contracts.md.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "metric.h"
#include "oper.h"
#include "route.h"

#define MAX_BODY_BYTES ((uint32_t)1024 * 1024)
#define MAX_CONNECTIONS 64
#define EXPLAIN_DEADLINE_MS 10000
#define DEFAULT_AUDIT_LIMIT 100
#define DEFAULT_PROGRAMS_LIMIT 1000

static enum MHD_Result
reject_as(struct mu_web_req *r, enum mu_errtype type, const char *message)
{
	struct mu_error e;

	mu_fail(&e, type, MU_OUTCOME_NOT_RUN, 0, "%s", message);
	return mu_web_error(r, &e);
}

/*
 * Configuration.
 */

static enum MHD_Result
get_config(struct mu_daemon *d, struct mu_web_req *r)
{
	struct mu_error e;
	json_t *j;

	j = mu_config_read(d->config, mu_web_query_number(r, "version", 0), &e);
	if (j == NULL)
		return mu_web_error(r, &e);
	json_object_del(j, "token");
	json_object_set_new(j, "in_force",
	    json_integer((json_int_t)mu_board_version(&d->board)));
	return mu_web_json(r, 200, j);
}

/* Error response with the version in force and its submitter. */
static enum MHD_Result
config_conflict(struct mu_web_req *r, const struct mu_error *e,
    uint64_t version, const char *by)
{
	char *body = mu_error_body(e);
	json_t *j = json_loads(body, 0, NULL);

	free(body);
	json_object_set_new(j, "version", json_integer((json_int_t)version));
	json_object_set_new(j, "by", json_string(by));
	return mu_web_json(r, mu_errstatus(e->type), j);
}

static enum MHD_Result
post_config(struct mu_daemon *d, struct mu_web_req *r, const char *who)
{
	json_t *j = json_loadb(r->body, r->len, JSON_REJECT_DUPLICATES, NULL);
	struct mu_submit s = {0};
	char by[MU_NAME_LEN];
	struct mu_error e;
	uint64_t version = 0;
	enum MHD_Result rc;
	json_int_t base;
	int bad;

	if (j == NULL)
		return reject_as(r, MU_E_NOT_JSON, "the body is not JSON");
	base = json_integer_value(json_object_get(j, "base"));
	s.text = json_string_value(json_object_get(j, "text"));
	s.note = json_string_value(json_object_get(j, "note"));
	s.token = json_string_value(json_object_get(j, "token"));
	s.who = who;
	if (s.note == NULL)
		s.note = "";
	if (s.text == NULL || s.token == NULL || base < 0 ||
	    !json_is_integer(json_object_get(j, "base"))) {
		json_decref(j);
		return reject_as(r, MU_E_BAD_REQUEST,
		    "expected base (an integer), text and token");
	}
	s.base = (uint64_t)base;
	bad = mu_config_submit(d->config, &s, &version, by, &e);
	if (bad == 0)
		rc = mu_web_json(
		    r, 200, json_pack("{s:I}", "version", (json_int_t)version));
	else if (bad == MU_E_CONFIG_CONFLICT)
		rc = config_conflict(r, &e, version, by);
	else
		rc = mu_web_error(r, &e);
	json_decref(j);
	return rc;
}

/*
 * Status.
 */

static const char *
endpoint_state(struct mu_bd_endpoint *e)
{
	if (MU_ATOMIC_LOAD(e->leaving))
		return "leaving";
	if (MU_ATOMIC_LOAD(e->drained))
		return "drained";
	if (MU_ATOMIC_LOAD(e->ejected))
		return "ejected";
	return "live";
}

static json_t *
status_endpoint(struct mu_daemon *d, struct mu_bd_endpoint *e)
{
	mu_us at = MU_ATOMIC_LOAD(e->report_at);

	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:I,s:I}", "name",
	    e->name, "service", e->service, "addr", e->addr, "domain",
	    e->domain, "state", endpoint_state(e), "running",
	    (int)MU_ATOMIC_LOAD(e->running), "queued",
	    (int)MU_ATOMIC_LOAD(e->queued), "cache_used",
	    (json_int_t)MU_ATOMIC_LOAD(e->cache_used), "report_age_ms",
	    (json_int_t)(at != 0 ? (mu_now(&d->clock) - at) / MU_US_PER_MS
				 : -1));
}

static json_t *
status_host(const struct mu_bd_daemon *h)
{
	return json_pack("{s:s,s:s,s:s,s:b,s:s,s:s,s:I,s:i,s:i}", "name",
	    h->host, "role", "entry", "state", h->leaving ? "leaving" : "live",
	    "up", h->up, "addr", h->addr, "domain", h->domain, "config_version",
	    (json_int_t)h->config_version, "running", (int)h->running, "queued",
	    (int)h->queued);
}

static void
status_fleet(struct mu_daemon *d, json_t *hosts, json_t *endpoints)
{
	struct mu_bd_fleet *f;
	size_t i;

	rcu_read_lock();
	f = rcu_dereference(d->board.fleet);
	for (i = 0; f != NULL && i < f->ndaemons; i++)
		json_array_append_new(hosts, status_host(&f->daemons[i]));
	for (i = 0; f != NULL && i < f->nendpoints; i++)
		json_array_append_new(
		    endpoints, status_endpoint(d, f->endpoints[i]));
	rcu_read_unlock();
}

static void
count_programs(void *arg, struct mu_slot *slot)
{
	*(size_t *)arg += slot->programs.count;
}

static enum MHD_Result
get_status(struct mu_daemon *d, struct mu_web_req *r)
{
	mu_us left = mu_journal_lease_left(d->journal);
	mu_us since = MU_ATOMIC_LOAD(d->board.platform_since);
	json_t *hosts = json_array(), *endpoints = json_array();
	json_int_t version = (json_int_t)mu_board_version(&d->board);
	size_t programs = 0;

	mu_slots_for_each_owned(d->slots, count_programs, &programs);
	status_fleet(d, hosts, endpoints);
	return mu_web_json(r, 200,
	    json_pack(
		"{s:s,s:s,s:s,s:s,s:I,s:{s:b,s:I,s:b},s:{s:b,s:I},s:{s:i,s:i}"
		",s:I,s:i,s:i,s:b,s:b,s:o,s:o}",
		"version", MU_VERSION, "host", d->conf->host, "domain",
		d->conf->domain, "region", d->conf->region, "config_version",
		version, "platform", "ok",
		MU_ATOMIC_LOAD(d->board.platform_ok) &&
		    mu_journal_platform_ok(d->journal),
		"since_ms",
		(json_int_t)((mu_now(&d->clock) - since) / MU_US_PER_MS),
		"peers_ok", MU_ATOMIC_LOAD(d->board.peer_platform_ok), "lease",
		"held", left > 0, "left_ms", (json_int_t)(left / MU_US_PER_MS),
		"slots", "total", (int)d->conf->slots, "owned",
		(int)mu_slots_count_owned(d->slots), "programs",
		(json_int_t)programs, "calls_running",
		(int)MU_ATOMIC_LOAD(d->board.running), "calls_queued",
		(int)MU_ATOMIC_LOAD(d->board.queued), "leaving",
		MU_ATOMIC_LOAD(d->board.leaving), "isolated",
		MU_ATOMIC_LOAD(d->board.isolated), "hosts", hosts, "endpoints",
		endpoints));
}

struct program_list {
	json_t *list;
	size_t limit;
};

static void
append_programs(void *arg, struct mu_slot *slot)
{
	struct program_list *l = arg;
	struct mu_program *p;

	cds_list_for_each_entry (p, &slot->programs.list, node) {
		if (json_array_size(l->list) >= l->limit)
			return;
		json_array_append_new(l->list,
		    json_pack("{s:s,s:s,s:i,s:s,s:I,s:I,s:s}", "program", p->id,
			"caller", p->caller, "slot", (int)slot->number, "state",
			p->ended         ? "ended"
			: p->run != NULL ? "running"
					 : "active",
			"seq", (json_int_t)p->nturns, "tokens",
			(json_int_t)p->attained, "home", p->home));
	}
}

static enum MHD_Result
get_programs(struct mu_daemon *d, struct mu_web_req *r)
{
	struct program_list l = {json_array(), 0};

	l.limit =
	    (size_t)mu_web_query_number(r, "limit", DEFAULT_PROGRAMS_LIMIT);
	mu_slots_for_each_owned(d->slots, append_programs, &l);
	return mu_web_json(r, 200, json_pack("{s:o}", "programs", l.list));
}

/* path is "ID" or "ID/SEQ". */
static enum MHD_Result
get_explain(struct mu_daemon *d, struct mu_web_req *r, const char *path)
{
	char *id = mu_arena_strdup(r->arena, path);
	struct mu_req q = {0};
	struct mu_stream *s;
	enum MHD_Result rc;
	char *slash;

	if (id == NULL)
		return MHD_NO;
	slash = strchr(id, '/');
	if (slash != NULL) {
		*slash = '\0';
		q.seq = strtoull(slash + 1, NULL, 10);
	}
	q.kind = MU_REQ_EXPLAIN;
	q.caller = "";
	q.program = id;
	q.body = "";
	q.deadline = mu_now(&d->clock) + EXPLAIN_DEADLINE_MS * MU_US_PER_MS;
	s = mu_route(d, &q);
	if (s == NULL)
		return MHD_NO;
	rc = mu_web_reply(r, mu_stream_wait_end(s, 0));
	mu_stream_unref(s);
	return rc;
}

static enum MHD_Result
get_audit(struct mu_daemon *d, struct mu_web_req *r)
{
	struct mu_error e;
	json_t *j;

	j = mu_config_read_audit(d->config, mu_web_query_number(r, "after", 0),
	    (size_t)mu_web_query_number(r, "limit", DEFAULT_AUDIT_LIMIT), &e);
	if (j == NULL)
		return mu_web_error(r, &e);
	return mu_web_json(r, 200, j);
}

/* Whether a host or an endpoint of this name is listed. */
static bool
is_name_listed(struct mu_daemon *d, const char *name)
{
	struct mu_bd_fleet *f;
	bool found = false;
	size_t i;

	rcu_read_lock();
	f = rcu_dereference(d->board.fleet);
	for (i = 0; f != NULL && i < f->ndaemons; i++)
		found = found || strcmp(f->daemons[i].host, name) == 0;
	for (i = 0; f != NULL && i < f->nendpoints; i++)
		found = found || strcmp(f->endpoints[i]->name, name) == 0;
	rcu_read_unlock();
	return found;
}

static enum MHD_Result
post_drain(
    struct mu_daemon *d, struct mu_web_req *r, const char *who, bool drained)
{
	json_t *j = json_loadb(r->body, r->len, 0, NULL);
	const char *host = json_string_value(json_object_get(j, "host"));
	const char *note = json_string_value(json_object_get(j, "note"));
	struct mu_error e;
	enum MHD_Result rc;

	if (host == NULL || strlen(host) == 0 || strlen(host) >= MU_NAME_LEN) {
		json_decref(j);
		return reject_as(r, MU_E_BAD_REQUEST, "expected host, a name");
	}
	/* A host that is no longer listed can still be undrained. */
	if (drained && !is_name_listed(d, host)) {
		json_decref(j);
		return reject_as(r, MU_E_NOT_FOUND, "no such host is listed");
	}
	if (mu_config_set_drain(d->config, host, drained, who,
		note != NULL ? note : "", &e) != 0)
		rc = mu_web_error(r, &e);
	else
		rc = mu_web_json(r, 200,
		    json_pack("{s:s,s:b}", "host", host, "drained", drained));
	json_decref(j);
	return rc;
}

static enum MHD_Result
handle_get(struct mu_daemon *d, struct mu_web_req *r)
{
	if (strcmp(r->path, "/v1/config") == 0)
		return get_config(d, r);
	if (strcmp(r->path, "/v1/status") == 0)
		return get_status(d, r);
	if (strcmp(r->path, "/v1/audit") == 0)
		return get_audit(d, r);
	if (strcmp(r->path, "/v1/programs") == 0)
		return get_programs(d, r);
	if (strncmp(r->path, "/v1/explain/", 12) == 0)
		return get_explain(d, r, r->path + 12);
	if (strcmp(r->path, "/metrics") == 0)
		return mu_web_text(
		    r, 200, mu_metrics_text(), "text/plain; version=0.0.4");
	return reject_as(r, MU_E_NOT_FOUND, "no such resource");
}

static enum MHD_Result
handle_post(struct mu_daemon *d, struct mu_web_req *r, const char *who)
{
	if (strcmp(r->path, "/v1/config") == 0)
		return post_config(d, r, who);
	if (strcmp(r->path, "/v1/drain") == 0)
		return post_drain(d, r, who, true);
	if (strcmp(r->path, "/v1/undrain") == 0)
		return post_drain(d, r, who, false);
	return reject_as(r, MU_E_NOT_FOUND, "no such resource");
}

static enum MHD_Result
handle_request(void *arg, struct mu_web_req *r)
{
	struct mu_daemon *d = arg;
	const char *who;

	who = mu_web_authenticate(r, d->conf->operators, d->conf->noperators);
	if (who == NULL)
		return reject_as(
		    r, MU_E_UNAUTHORIZED, "an operator's key is needed");
	if (strcmp(r->method, "GET") == 0)
		return handle_get(d, r);
	if (strcmp(r->method, "POST") == 0)
		return handle_post(d, r, who);
	return reject_as(r, MU_E_METHOD, "this method is not served here");
}

int
mu_oper_open(struct mu_web **w, struct mu_daemon *d, struct mu_error *e)
{
	struct mu_web_conf conf = {0};

	conf.listen = d->conf->operator_addr;
	conf.max_body = MAX_BODY_BYTES;
	conf.max_connections = MAX_CONNECTIONS;
	conf.mem = d->webmem;
	conf.arg = d;
	conf.handle = handle_request;
	return mu_web_open(w, &conf, e);
}
