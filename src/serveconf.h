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
	char *directory_addr; /* IP:PORT for callers that ask where to go */
	char *mesh_addr; /* IP:PORT for other daemons */
	char *metrics_addr; /* IP:PORT for metrics */
	char *store_addr; /* IP:PORT of the table store */
	uint32_t stop_ms; /* from the signal to stop until it is killed */
	uint32_t address_ttl_ms; /* callers keep an address for this long */
	char *log_level; /* debug, info, warn or error */
};

/* Reads and checks file; *c is set only on success. MU_E_CONFIG_INVALID. */
int mu_serveconf_load(
    const char *file, struct mu_serveconf **c, struct mu_error *e);
int mu_serveconf_parse(
    const char *yaml, size_t len, struct mu_serveconf **c, struct mu_error *e);
void mu_serveconf_free(struct mu_serveconf *c);

#endif
