/*
 * serve.h -- what the modules of the serving path share.
 */
#ifndef MU_SERVE_H
#define MU_SERVE_H

#include "home.h"
#include "follow.h"
#include "founding.h"
#include "inbound.h"
#include "quarantine.h"
#include "targets.h"

/* What an endpoint's answer says beside its body. */
struct mu_answer_head {
	const char *request; /* id of the request that it answers; NULL: none */
	bool not_run; /* the endpoint did not run the request */
	bool wrong_endpoint; /* another instance has the address */
	bool signed_; /* bears the endpoint's digest */
	bool leaving; /* the endpoint takes no new work */
	bool loaded; /* tells its load */
	uint32_t running, waiting, slots;
};

/* What the daemon tells an endpoint beside the caller's own headers. */
struct mu_send_head {
	const char *endpoint; /* instance that is to run it */
	uint32_t left_ms; /* until the caller gives up */
	const char *last_event; /* goes on after this event; NULL: from the
				   start */
};

/* Names of the users' protocol towards endpoints; implemented outside src. */
struct mu_dialect {
	void (*read_answer)(
	    const struct mu_up_head *head, struct mu_answer_head *out);
	/* Appends header lines. */
	int (*write_send)(struct mu_buf *to, const struct mu_send_head *h);
	/* Rows of the store that operators and endpoints write. */
	const char *config_table;
	const char *config_key;
	const char *endpoint_table;
	/* A new table, or NULL when the row is none. */
	struct mu_routes *(*read_routes)(const Mu__StoreRow *row);
	/* False when the row names no endpoint to use. */
	bool (*read_endpoint)(
	    const Mu__StoreRow *row, struct mu_target_info *out);
};

struct mu_serve_conf {
	const char *host;
	const char *domain;
	uint64_t incarnation;
	const char *caller_addr;
	const char *mesh_addr;
};

struct mu_serve {
	struct mu_loop *loop;
	struct mu_serve_conf conf;
	const struct mu_dialect *dialect;
	struct mu_store *store;
	struct mu_mesh *mesh;
	struct mu_reaper *reaper;
	struct mu_history *history;
	struct mu_loans *loans;
	struct mu_home *home;
	struct mu_founding *founding;
	struct mu_seed *seed;
	mu_us seed_requested_at; /* of a peer; 0: never */
	struct mu_targets targets;
	struct mu_quarantine quarantine;
	struct mu_routes *routes; /* NULL while none is known */
	bool endpoints_loaded; /* the list has been read once */
	mu_us opened_at;
	bool leaving;
	unsigned calls; /* in progress */
	struct mu_follow *follow_config;
	struct mu_follow *follow_endpoints;
	struct mu_follow *follow_daemons;
	struct mu_timer announce_timer;
	struct mu_timer stats_timer;
	unsigned table_outage_heartbeats; /* heartbeats in a row without the
					     endpoints' table */
	bool row_written; /* this daemon's row is in the store */
};

/* Opens every part; s->dialect and s->conf are set.  The loop must run. */
int mu_serve_open(struct mu_serve *s, struct mu_loop *l,
    const struct mu_store_backend *backend, struct mu_error *e);
/* Tells peers that this daemon takes no new callers. */
void mu_serve_leave(struct mu_serve *s);
void mu_serve_close(struct mu_serve *s);

/*
 * Whether callers' connections are accepted.  The load: all daemons start at
 * once while callers ask on; a request that came before the first reading of
 * the configuration would be refused, and few callers repeat one more than
 * once.
 */
bool mu_serve_admits(const struct mu_serve *s);

/* Whether configuration and endpoints are known. */
static inline bool
mu_serve_informed(const struct mu_serve *s)
{
	return s->routes != NULL && s->endpoints_loaded;
}

/* Ready for callers: knows what is in force and does not leave. */
static inline bool
mu_serve_ready(const struct mu_serve *s)
{
	return mu_serve_informed(s) && !s->leaving;
}

#endif
