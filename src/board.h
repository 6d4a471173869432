/*
 * board.h -- blackboard: shared state that controllers write and requests read.
 *
 * Snapshots (services text, fleet, slot table) are immutable and replaced as a
 * whole under RCU: read them between rcu_read_lock() and rcu_read_unlock().
 * Statistics of an endpoint and flags of the daemon are atomics, updated in
 * place.  Each part has one writer, named beside it.
 */
#ifndef MU_BOARD_H
#define MU_BOARD_H

#include <urcu-bp.h>
#include <urcu/list.h>

#include "eject.h"
#include "endpoint.h"
#include "musher.h"
#include "platform.h"
#include "text.h"

/* The configuration in force.  Writer: config.c. */
struct mu_bd_text {
	struct rcu_head rcu;
	unsigned references;
	uint64_t version;
	char *yaml;
	struct mu_text *text; /* NULL while no version is known */
};

#define MU_BD_RECENT_CALLS 64

/* A call sent by this daemon; corrects load reports that do not include it. */
struct mu_bd_sent_call {
	mu_us at; /* when it was sent; 0: unused entry */
	mu_us done; /* when it ended; 0: in progress */
	uint64_t tokens; /* prompt tokens to compute */
};

/*
 * An endpoint; kept while the daemon runs, so that a call's pointer to it stays
 * valid when the fleet changes.  Writers: member.c (reports, state), dispatch.c
 * (counts).
 */
struct mu_bd_endpoint {
	struct cds_list_head node;
	char name[MU_NAME_LEN];
	char addr[MU_ADDR_LEN];
	char service[MU_NAME_LEN];
	char domain[MU_NAME_LEN];
	uint64_t id; /* hash of addr, equal in each daemon */
	bool listed; /* on the newest host list */
	bool leaving;
	bool drained;
	bool ejected;
	/* Last load report. */
	mu_us report_at; /* when the reported state was valid; 0: no report */
	uint32_t running;
	uint32_t queued;
	uint32_t max_batch;
	uint64_t cache_used;
	uint64_t cache_max;
	/* Calls of this daemon; under the service's lock in dispatch.c. */
	uint32_t sent; /* calls in progress */
	struct mu_bd_sent_call recent[MU_BD_RECENT_CALLS];
	unsigned next_recent;
	double call_us; /* smoothed average duration of a call */
	double prefill_us; /* smoothed average per prompt token; 0: unknown */
	struct mu_health health;
};

/* An entry host. */
struct mu_bd_daemon {
	char host[MU_NAME_LEN];
	char addr[MU_ADDR_LEN];
	char peer[MU_ADDR_LEN];
	char domain[MU_NAME_LEN];
	bool leaving; /* by host list, drain or its own heartbeat */
	bool up; /* link active within the silence limit; self: true */
	uint64_t config_version;
	uint32_t running;
	uint32_t queued;
};

/* Hosts and endpoints.  Writer: member.c. */
struct mu_bd_fleet {
	struct rcu_head rcu;
	struct mu_bd_daemon *daemons; /* self included */
	size_t ndaemons;
	struct mu_bd_endpoint **endpoints; /* those on the host list */
	size_t nendpoints;
};

struct mu_bd_slot {
	char owner[MU_NAME_LEN]; /* empty: none */
	uint64_t epoch;
};

/* The slot table as last read.  Writer: takeover.c. */
struct mu_bd_slots {
	struct rcu_head rcu;
	size_t count;
	struct mu_bd_slot slot[];
};

struct mu_board {
	struct mu_bd_text *text;
	struct mu_bd_fleet *fleet;
	struct mu_bd_slots *slots;
	struct cds_list_head endpoints; /* all ever listed */
	/* Flags; atomics. */
	bool leaving; /* this daemon is stopping or drained */
	bool stopping; /* shutting down; writer: daemon.c */
	bool peer_platform_ok; /* another daemon may reach the platform */
	bool isolated; /* reaches neither platform nor any peer */
	uint32_t running; /* calls */
	uint32_t queued;
	uint32_t requests; /* HTTP requests in progress */
	bool platform_ok;
	mu_us platform_since; /* time of the last change of platform_ok */
};

void mu_board_init(struct mu_board *b);
void mu_board_clear(struct mu_board *b);

/* Publish a snapshot; each takes ownership of it and frees the previous one
 * after a grace period. */
void mu_board_set_text(struct mu_board *b, struct mu_bd_text *t);
void mu_board_set_fleet(struct mu_board *b, struct mu_bd_fleet *f);
void mu_board_set_slots(struct mu_board *b, struct mu_bd_slots *s);

/* Returns the text in force with a reference added, or NULL. */
struct mu_bd_text *mu_board_text_ref(struct mu_board *b);
void mu_board_text_unref(struct mu_bd_text *t);
/* Version in force; 0: none. */
uint64_t mu_board_version(struct mu_board *b);
/* Copies the owner of slot; false when it has none. */
bool mu_board_owner(struct mu_board *b, unsigned slot, char host[MU_NAME_LEN]);
/* Entry hosts that are up and not leaving, this one included; at least 1. */
uint32_t mu_board_live_daemons(struct mu_board *b);

/* Atomic operations on a flag or figure of the board. */
#define MU_ATOMIC_LOAD(x) __atomic_load_n(&(x), __ATOMIC_ACQUIRE)
#define MU_ATOMIC_STORE(x, v) __atomic_store_n(&(x), (v), __ATOMIC_RELEASE)
#define MU_ATOMIC_ADD(x, n) __atomic_add_fetch(&(x), (n), __ATOMIC_ACQ_REL)
#define MU_ATOMIC_SUB(x, n) __atomic_sub_fetch(&(x), (n), __ATOMIC_ACQ_REL)

#endif
