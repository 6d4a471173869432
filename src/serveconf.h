/*
 * serveconf.h -- settings of a serving daemon (YAML, libcyaml schema).
 */
#ifndef MU_SERVECONF_H
#define MU_SERVECONF_H

#include "musher.h"

struct mu_serveconf {
	char *host; /* this host's name */
	char *domain; /* failure domain */
	char *region;
	char *caller_addr; /* IP:PORT for callers */
	char *ready_addr; /* IP:PORT for readiness checks */
	char *directory_addr; /* IP:PORT for callers' address lookups */
	char *mesh_addr; /* IP:PORT for other daemons */
	char *metrics_addr; /* IP:PORT for metrics */
	char *store_addr; /* IP:PORT of the table store */
	uint32_t stop_ms; /* time from the stop signal to the kill */
	uint32_t address_ttl_ms; /* callers may cache an address so long */
	/* Age up to which a configuration tells that a key is unknown. */
	uint32_t config_fresh_ms;
	/* Age up to which it tells that a key is valid; 0: no limit. */
	uint32_t key_trust_ms;
	/* Accepted beyond a customer's rate limit in any span of
	 * limit_window_ms: this fraction of it, and limit_slack requests. */
	uint32_t limit_window_ms;
	uint32_t limit_slack;
	double limit_overage;
	uint32_t shed_priority; /* shed first from here on; 0: none (shed.h) */
	/* For request bodies and other bytes held for callers, in MiB, and
	 * callers' connections; 0: by the host's size (memacct.h). */
	uint32_t body_memory_mb;
	uint32_t max_connections;
	uint32_t body_max_bytes; /* of one body */
	uint32_t body_timeout_ms; /* from the head to the end of the body */
	char *log_level; /* debug, info, warn or error */
};

/* Reads and validates file; *c is set only on success.  Returns
 * MU_E_CONFIG_INVALID if a setting is wrong. */
int mu_serveconf_load(
    const char *file, struct mu_serveconf **c, struct mu_error *e);
int mu_serveconf_parse(
    const char *yaml, size_t len, struct mu_serveconf **c, struct mu_error *e);
/* The bytes that one body of body_max_bytes needs in the account. */
uint64_t mu_serveconf_least_body_memory(const struct mu_serveconf *c);
void mu_serveconf_free(struct mu_serveconf *c);

#endif
