/*
 * proc_cluster.c -- whole clusters for failure tests.
 *
 * A cluster consists of a platform stand-in, endpoints and daemons, assigned
 * round-robin to the failure domains of the Trust.  Stand-ins are started
 * first, then the host list is posted, then the daemons are started, so that
 * the platform responds when they start.  Tests can place relays between two
 * sides: a frozen relay looks like a lost connection to both sides, which the
 * fault port of one side cannot simulate.
 */
#include <setjmp.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "proc.h"

#define REGION "great-lakes"
#define DOMAINS 3
#define SETTINGS_MAX 4096 /* bytes */
#define PEER_KEY "peer-key-of-the-tests"
/* 32 bytes in hexadecimal. */
#define RECEIPT_KEY \
	"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

static const char *const domains[DOMAINS] = {"duluth", "milwaukee", "toledo"};

static struct cluster cluster;

void
cluster_defaults(struct cluster_conf *conf)
{
	*conf = (struct cluster_conf){.slots = 32,
	    .lease_ms = 1500,
	    .renew_ms = 500,
	    .heartbeat_ms = 200,
	    .silence_ms = 1000,
	    .isolation_ms = 5000,
	    .outage_buffer = 256,
	    .token_ms = 2,
	    .max_batch = 8,
	    .cache_tokens = 100000};
}

/* Hexadecimal SHA-256 of a key, as stored in the settings. */
static const char *
key_hash(const char *key, char hex[2 * crypto_hash_sha256_BYTES + 1])
{
	unsigned char h[crypto_hash_sha256_BYTES];

	crypto_hash_sha256(h, (const unsigned char *)key, strlen(key));
	return sodium_bin2hex(hex, 2 * sizeof(h) + 1, h, sizeof(h));
}

static void
platform_start(struct unit *u)
{
	snprintf(u->name, sizeof(u->name), "platform");
	u->proc = proc_standin(
	    "standin-platform", u->addr, u->fault, (const char *[]){NULL});
}

/* Starts a relay in front of an address. */
static struct proc *
relay_start(const char *to, char addr[PROC_ADDR_LEN], char fault[PROC_ADDR_LEN])
{
	return proc_standin(
	    "standin-wire", addr, fault, (const char *[]){"--to", to, NULL});
}

/* Starts the i-th endpoint of a service, and its relay. */
static void
endpoint_start(struct cluster *c, struct unit *u, const char *service, int i,
    const char *prog, const char *const args[])
{
	snprintf(u->name, sizeof(u->name), "%s-%d", service, i + 1);
	snprintf(u->service, sizeof(u->service), "%s", service);
	snprintf(u->domain, sizeof(u->domain), "%s", domains[i % DOMAINS]);
	u->proc = proc_standin(prog, u->addr, u->fault, args);
	if (c->conf.relays & CLUSTER_RELAY_ENDPOINT)
		u->relay = relay_start(u->addr, u->relay_addr, u->relay_fault);
}

static const char *
fencing(const struct cluster *c)
{
	return c->conf.fencing ? "honour" : "ignore";
}

static void
engine_start(struct cluster *c, int i)
{
	char token_ms[16], batch[16], cache[16];

	snprintf(token_ms, sizeof(token_ms), "%u", c->conf.token_ms);
	snprintf(batch, sizeof(batch), "%u", c->conf.max_batch);
	snprintf(cache, sizeof(cache), "%u", c->conf.cache_tokens);
	endpoint_start(c, &c->engine[i], "smokehouse", i, "standin-engine",
	    (const char *[]){"--platform", c->platform.addr, "--token-ms",
		token_ms, "--max-batch", batch, "--cache-tokens", cache,
		"--fencing", fencing(c), NULL});
}

static void
service_start(struct cluster *c, int i)
{
	endpoint_start(c, &c->service[i], "pantry", i, "standin-service",
	    (const char *[]){"--fencing", fencing(c), NULL});
}

static void
daemon_init(struct cluster *c, int i)
{
	struct unit *u = &c->daemon[i];

	snprintf(u->name, sizeof(u->name), "entry-%d", i + 1);
	snprintf(u->domain, sizeof(u->domain), "%s", domains[i % DOMAINS]);
	proc_addr(u->addr);
	proc_addr(u->oper);
	proc_addr(u->peer);
	if (c->conf.relays & CLUSTER_RELAY_PEER)
		u->relay = relay_start(u->peer, u->relay_addr, u->relay_fault);
	if (c->conf.relays & CLUSTER_RELAY_PLATFORM)
		u->platform_relay = relay_start(c->platform.addr,
		    u->platform_relay_addr, u->platform_relay_fault);
}

static void
settings_write(const struct cluster *c, const struct unit *u, char path[256])
{
	char text[SETTINGS_MAX], file[PROC_NAME_LEN + 8];
	char caller[2 * crypto_hash_sha256_BYTES + 1];
	char other[sizeof(caller)], oper[sizeof(caller)];
	char oper2[sizeof(caller)];
	const struct cluster_conf *f = &c->conf;

	snprintf(text, sizeof(text),
	    "host: %s\ndomain: %s\nregion: " REGION "\n"
	    "caller_addr: %s\noperator_addr: %s\npeer_addr: %s\n"
	    "platform_addr: %s\nplatform_timeout_ms: 1000\n"
	    "slots: %u\nlease_ms: %u\nrenew_ms: %u\n"
	    "heartbeat_ms: %u\nsilence_ms: %u\nisolation_ms: %u\n"
	    "outage_buffer: %u\n"
	    "host_poll_ms: 200\nreport_poll_ms: 100\n"
	    "address_ttl_ms: 1000\nseq_wait_ms: 2000\n"
	    "peer_key: " PEER_KEY "\nreceipt_key: " RECEIPT_KEY "\n"
	    "callers:\n- {caller: trust, sha256: %s}\n"
	    "- {caller: other, sha256: %s}\n"
	    "operators:\n- {caller: operator, sha256: %s}\n"
	    "- {caller: operator2, sha256: %s}\n"
	    "log_level: info\n%s",
	    u->name, u->domain, u->addr, u->oper, u->peer,
	    u->platform_relay == NULL ? c->platform.addr
				      : u->platform_relay_addr,
	    f->slots, f->lease_ms, f->renew_ms, f->heartbeat_ms, f->silence_ms,
	    f->isolation_ms, f->outage_buffer,
	    key_hash(CLUSTER_CALLER_KEY, caller),
	    key_hash(CLUSTER_OTHER_KEY, other),
	    key_hash(CLUSTER_OPERATOR_KEY, oper),
	    key_hash(CLUSTER_OPERATOR2_KEY, oper2),
	    f->settings != NULL ? f->settings : "");
	snprintf(file, sizeof(file), "%s.yaml", u->name);
	proc_write(path, 256, file, text);
}

static void
daemon_start(struct cluster *c, int i)
{
	struct unit *u = &c->daemon[i];
	char path[256];

	settings_write(c, u, path);
	u->proc = proc_start(u->name, "cardamomusherd",
	    (const char *[]){"--settings", path, NULL});
}

/* Host list */

static void
host_add(json_t *list, const struct unit *u, const char *role)
{
	static const char *const states[] = {"live", "leaving", ""};
	const char *addr = u->addr, *peer = u->peer;

	if (u->state == UNIT_REMOVED)
		return;
	if (u->relay != NULL && u->peer[0] != '\0')
		peer = u->relay_addr;
	else if (u->relay != NULL)
		addr = u->relay_addr;
	json_array_append_new(
	    list, json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s}", "name",
		      u->name, "role", role, "state", states[u->state], "addr",
		      addr, "peer", peer, "service", u->service, "domain",
		      u->domain, "region", REGION));
}

void
cluster_hosts(struct cluster *c)
{
	json_t *list = json_array();
	int i, status;

	for (i = 0; i < c->conf.daemons; i++)
		host_add(list, &c->daemon[i], "entry");
	for (i = 0; i < c->conf.engines; i++)
		host_add(list, &c->engine[i], "endpoint");
	for (i = 0; i < c->conf.services; i++)
		host_add(list, &c->service[i], "endpoint");
	json_decref(http_post(c->platform.fault, "/hosts", NULL,
	    json_pack("{s:o}", "hosts", list), &status));
	assert_int_equal(status, 200);
}

/* Start */

static bool
is_responding(int status, const json_t *json, void *arg)
{
	struct unit *u = arg;

	(void)json;
	if (!proc_alive(u->proc))
		fail_msg("%s exited during startup", u->name);
	return status == 200;
}

void
cluster_wait_ready(struct cluster *c)
{
	int i;

	for (i = 0; i < c->conf.daemons; i++)
		json_decref(http_until(c->daemon[i].oper, "/v1/status",
		    CLUSTER_OPERATOR_KEY, is_responding, &c->daemon[i]));
}

struct cluster *
cluster_start_conf(const struct cluster_conf *conf)
{
	struct cluster *c = &cluster;
	int i;

	assert_in_range(conf->daemons, 0, CLUSTER_DAEMONS);
	assert_in_range(conf->engines, 0, CLUSTER_ENGINES);
	assert_in_range(conf->services, 0, CLUSTER_SERVICES);
	memset(c, 0, sizeof(*c));
	c->conf = *conf;
	platform_start(&c->platform);
	for (i = 0; i < conf->engines; i++)
		engine_start(c, i);
	for (i = 0; i < conf->services; i++)
		service_start(c, i);
	for (i = 0; i < conf->daemons; i++)
		daemon_init(c, i);
	cluster_hosts(c);
	for (i = 0; i < conf->daemons; i++)
		daemon_start(c, i);
	cluster_wait_ready(c);
	return c;
}

struct cluster *
cluster_start(int daemons, int engines, int services)
{
	struct cluster_conf conf;

	cluster_defaults(&conf);
	conf.daemons = daemons;
	conf.engines = engines;
	conf.services = services;
	return cluster_start_conf(&conf);
}

/* Configuration */

void
cluster_text(const struct cluster *c, char *buf, size_t len)
{
	const char *mode = c->conf.fencing ? "honoured" : "ignored";

	snprintf(buf, len,
	    "services:\n"
	    "- name: smokehouse\n  kind: model\n  region: " REGION "\n"
	    "  places: [duluth, milwaukee, toledo]\n"
	    "  depends_on: [pantry]\n  fencing: %s\n"
	    "- name: pantry\n  kind: plain\n  region: " REGION "\n"
	    "  places: [duluth, milwaukee, toledo]\n"
	    "  fencing: %s\n  repeatable: false\n"
	    "  repeatable_operations: [lookup]\n",
	    mode, mode);
}

static bool
config_in_force(int status, const json_t *json, void *arg)
{
	const json_int_t *version = arg;

	return status == 200 && json_integer_value(json_object_get(
				    json, "config_version")) >= *version;
}

void
cluster_apply(struct cluster *c, int daemon, const char *text)
{
	const char *oper = c->daemon[daemon].oper;
	json_int_t version, base;
	char token[32];
	json_t *now, *r;
	int i, status;

	now = http_get(oper, "/v1/config", CLUSTER_OPERATOR_KEY, NULL);
	base = json_integer_value(json_object_get(now, "version"));
	json_decref(now);
	snprintf(token, sizeof(token), "test-%lld", (long long)base);
	r = http_post(oper, "/v1/config", CLUSTER_OPERATOR_KEY,
	    json_pack("{s:I,s:s,s:s,s:s}", "base", base, "text", text, "note",
		"test", "token", token),
	    &status);
	version = json_integer_value(json_object_get(r, "version"));
	json_decref(r);
	if (status != 200)
		fail_msg("apply through %s: status %d", oper, status);
	for (i = 0; i < c->conf.daemons; i++) {
		if (!proc_alive(c->daemon[i].proc))
			continue;
		json_decref(http_until(c->daemon[i].oper, "/v1/status",
		    CLUSTER_OPERATOR_KEY, config_in_force, &version));
	}
}
