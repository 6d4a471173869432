/*
 * serve.h -- state shared by the modules of the serving path.
 */
#ifndef MU_SERVE_H
#define MU_SERVE_H

#include "home.h"
#include "follow.h"
#include "bootstrap.h"
#include "inbound.h"
#include "limiter.h"
#include "shed.h"
#include "stop.h"
#include "targets.h"

/* Metadata of an endpoint's answer, decoded from its headers. */
struct mu_answer_head {
	const char *request; /* id of the request answered; NULL: none */
	bool not_run; /* the endpoint did not execute the request */
	bool wrong_endpoint; /* another instance is at this address */
	bool has_digest; /* carries the endpoint's digest */
	bool leaving; /* the endpoint accepts no new work */
	bool has_load; /* running, waiting and slots are set */
	uint32_t running, waiting, slots;
};

/* What the daemon sends to an endpoint besides the caller's own headers. */
struct mu_request_head {
	const char *endpoint; /* instance that is to execute it */
	uint32_t left_ms; /* until the caller's deadline */
	const char *customer; /* whose key the request carries; NULL: none */
	const char *last_event; /* to resume after; NULL: from the start */
};

/* Adapter for the users' protocol: headers of endpoints, rows of the store.
 * Implemented outside src. */
struct mu_protocol_adapter {
	void (*read_answer)(
	    const struct mu_up_head *head, struct mu_answer_head *out);
	/* Appends the header lines of a request. */
	int (*write_request_headers)(
	    struct mu_buf *to, const struct mu_request_head *h);
	/* Store tables that operators and endpoints write. */
	const char *config_table;
	const char *config_key;
	const char *endpoint_table;
	/* Returns a new routing table, or NULL and an error. */
	struct mu_routes *(*read_routes)(
	    const Mu__StoreRow *row, struct mu_error *e);
	/* Returns false if the row describes no usable endpoint. */
	bool (*read_endpoint)(
	    const Mu__StoreRow *row, struct mu_target_info *out);
};

struct mu_serve_conf {
	const char *host;
	const char *domain;
	uint64_t incarnation;
	const char *caller_addr;
	const char *mesh_addr;
	/* Older, a configuration does not tell that a key is unknown. */
	uint32_t config_fresh_ms;
	/* Older, a configuration does not tell that a key is still valid; 0: it
	 * always does. */
	uint32_t key_trust_ms;
	struct mu_acct *acct; /* NULL: nothing is counted */
	/* Accepted beyond rate limits (limiter.h). */
	uint32_t limit_window_ms;
	double limit_overage;
	double limit_slack;
	/* Routes that are shed first (shed.h); 0: none. */
	uint32_t shed_priority;
};

struct mu_call;

struct mu_serve {
	struct mu_loop *loop;
	struct mu_serve_conf conf;
	const struct mu_protocol_adapter *adapter;
	struct mu_store *store;
	struct mu_mesh *mesh;
	struct mu_reaper *reaper;
	struct mu_history *history;
	struct mu_loans *loans;
	struct mu_limiter *limiter;
	struct mu_home *home;
	struct mu_bootstrap *bootstrap;
	struct mu_seed *seed;
	mu_us seed_requested_at; /* from a peer; 0: never */
	struct mu_targets targets;
	struct mu_crashes crashes;
	struct mu_routes *routes; /* NULL until a configuration is known */
	bool endpoints_loaded; /* the list has been read, or a seed applied */
	mu_us opened_at;
	bool first_start; /* of the fleet; nothing is lent yet */
	struct mu_stop stop;
	struct cds_list_head calls; /* struct mu_call, in progress */
	unsigned ncalls;
	/* The call whose answer is read although there is no room for it, so
	 * that answers which wait for each other end; NULL: none. */
	const struct mu_call *overdraft;
	struct mu_follow *follow_config;
	struct mu_follow *follow_endpoints;
	struct mu_follow *follow_daemons;
	struct mu_timer announce_timer;
	struct mu_timer stats_timer;
	/* Heartbeats in a row with the endpoints' table unavailable. */
	unsigned table_outage_heartbeats;
	mu_us table_checked_at; /* 0: not yet */
	bool row_written; /* this daemon's row is in the store */
};

/* Opens all modules on l.  s->conf and the protocol adapter must be set, and
 * the loop must be run. */
int mu_serve_open(struct mu_serve *s, struct mu_loop *l,
    const struct mu_store_backend *backend, struct mu_error *e);
/* Starts draining: peers are told that this daemon accepts no new callers, and
 * requests that could outlast the process are refused (stop.h). */
void
mu_serve_drain(struct mu_serve *s, uint32_t address_ttl_ms, uint32_t stop_ms);
void mu_serve_close(struct mu_serve *s);

/*
 * Whether callers' connections may be accepted.  When all daemons restart at
 * once, callers keep sending; a request that arrives before the configuration
 * has been read would be rejected, and few callers retry more than once.
 */
bool mu_serve_may_accept(const struct mu_serve *s);

/* Time since the configuration in force was last confirmed by the store;
 * MU_US_NEVER: not yet. */
mu_us mu_serve_config_age(const struct mu_serve *s);

/* Whether configuration and endpoints are known. */
static inline bool
mu_serve_state_loaded(const struct mu_serve *s)
{
	return s->routes != NULL && s->endpoints_loaded;
}

static inline bool
mu_serve_leaving(const struct mu_serve *s)
{
	return s->stop.began != 0;
}

/* Ready for callers: state is loaded and the daemon is not draining. */
static inline bool
mu_serve_ready(const struct mu_serve *s)
{
	return mu_serve_state_loaded(s) && !mu_serve_leaving(s);
}

#endif
