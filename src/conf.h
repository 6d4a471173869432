/*
 * conf.h -- settings of one daemon (YAML, libcyaml schema).
 *
 * docs/settings.md is the reference; a test compares it with the schema.
 */
#ifndef MU_CONF_H
#define MU_CONF_H

#include "musher.h"

struct mu_caller_key {
	char *caller; /* name of the customer or operator */
	char *sha256; /* hex of the SHA-256 of the key */
};

struct mu_conf {
	char *host; /* this host's name, as in the host list */
	char *domain; /* failure domain */
	char *region;
	char *caller_addr; /* IP:PORT for callers */
	char *operator_addr; /* IP:PORT for operators */
	char *peer_addr; /* IP:PORT for other daemons */
	char *platform_addr; /* IP:PORT of the platform's services */
	uint32_t platform_timeout_ms;
	uint32_t slots; /* number of slots; the same on every daemon */
	uint32_t lease_ms; /* a lease expires this long after renewal */
	uint32_t renew_ms; /* longest interval between lease renewals */
	uint32_t heartbeat_ms;
	uint32_t silence_ms; /* a peer link silent this long is closed */
	uint32_t host_poll_ms; /* interval between reads of the host list */
	uint32_t report_poll_ms; /* interval of load reports of an endpoint */
	uint32_t isolation_ms; /* without platform and peers: no new work */
	uint32_t address_ttl_ms; /* callers may cache an address this long */
	uint32_t max_body_bytes;
	uint32_t body_memory_mb; /* for all bodies; 0: from the host's memory */
	uint32_t answer_memory_mb; /* of endpoints; 0: from the host's memory */
	uint32_t body_timeout_ms; /* for a whole body, after its head */
	uint32_t max_connections;
	uint32_t seq_wait_ms; /* a call waits this long for an earlier seq */
	uint32_t outage_buffer; /* turns buffered in a platform outage */
	char *peer_key; /* shared by the daemons of a deployment; may be NULL */
	char *receipt_key; /* 32 bytes in hex; seals receipts in an outage */
	struct mu_caller_key *callers;
	unsigned ncallers;
	struct mu_caller_key *operators;
	unsigned noperators;
	char *log_level; /* debug, info, warn or error */
};

/* Reads and checks a settings file.  Sets *c only on success; fails with
 * MU_E_CONFIG_INVALID or MU_E_NOMEM. */
int mu_conf_load(const char *file, struct mu_conf **c, struct mu_error *e);
int mu_conf_parse(
    const char *yaml, size_t len, struct mu_conf **c, struct mu_error *e);
void mu_conf_free(struct mu_conf *c);

/* Every field of the schema; the entry with path NULL ends the list. */
struct mu_schema_field;
const struct mu_schema_field *mu_conf_fields(void);

#endif
