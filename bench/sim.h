/*
 * sim.h -- discrete-event simulation of programs, daemons and engines.
 *
 * An event queue advances the simulated clock.  engine.c models the engines;
 * daemons see them through delayed load reports and call the decision modules
 * of src/ or a baseline; shape.c draws the programs.  A run is one struct sim
 * and is deterministic for its configuration and seed.
 *
 * A program makes visits.  A visit is a chain of turns, each of them one call,
 * with a pause between turns; a program may return for another visit later.
 * A program belongs to one daemon, its owner.  Its home is the engine that
 * answered its last call and caches its prefix.  The owner counts that prefix
 * against the engine's cache unless mu_retain() would drop it from a full
 * cache.
 */
#ifndef BENCH_SIM_H
#define BENCH_SIM_H

#include <urcu/list.h>

#include "admit.h"
#include "order.h"
#include "place.h"
#include "retain.h"
#include "workload.h"

#define SECONDS_TO_US(s) ((mu_us)((s) * (double)MU_US_PER_S))
#define US_TO_SECONDS(us) ((double)(us) / (double)MU_US_PER_S)

#define ENGINES_MAX 32
#define REPORT_INTERVAL_US (MU_US_PER_S / 2) /* between load reports */
#define REPORT_HISTORY 64 /* reports kept for each engine */

enum place_policy {
	PLACE_ROUND_ROBIN,
	PLACE_LEAST_LOADED,
	PLACE_SAMPLED, /* least loaded of a few drawn at random */
	PLACE_STICKY, /* the home, else by hash of the program */
	PLACE_ESTIMATED_TIME, /* least queue delay plus prefill time */
	PLACE_BOUND, /* lower bound: current loads, every prefix cached */
	PLACE_MUSHER /* mu_place() */
};

enum retain_policy {
	RETAIN_BY_ENGINE, /* evicted by the engine only */
	RETAIN_MUSHER, /* mu_retain() */
	RETAIN_UNTIL_END, /* dropped when the program ends */
	RETAIN_NEVER /* dropped after each call */
};

struct policy {
	const char *name;
	enum place_policy placement;
	enum retain_policy retention;
	bool priorities; /* mu_order(); otherwise first come, first served */
	bool admission; /* mu_admit(): concurrency limit, queue, refusal */
};

enum fault {
	FAULT_NONE,
	FAULT_ENGINE_LOST,
	FAULT_DOMAIN_LOST,
	FAULT_ENGINE_SLOW,
	FAULT_REPORTS_FROZEN,
	FAULT_FLOOD, /* the first caller doubles the arrival rate */
	FAULT_COUNT
};

struct sim_conf {
	const struct workload *workload;
	const struct shape *shape;
	const struct policy *policy;
	enum fault fault;
	double load;
	uint64_t seed;
	double warmup_s; /* simulated before the measured interval */
	double run_s; /* measured interval */
};

struct prog;

/* A prefix in one engine's cache, not in use by a call. */
struct cache_entry {
	struct cds_list_head node; /* in engine.lru */
	struct prog *prog;
	uint32_t tokens; /* 0: not cached */
	mu_us stored_at;
};

enum prog_state {
	PROG_PAUSED,
	PROG_WAITING, /* in a daemon's queue, or refused until a retry */
	PROG_QUEUED, /* in an engine's queue */
	PROG_RUNNING,
	PROG_TERMINATED
};

struct prog {
	const struct prog_class *class;
	struct prog *parent; /* of a sub-agent, else NULL */
	struct prog *next; /* in sim.progs */
	uint64_t id;
	uint64_t rng;
	uint32_t caller;
	uint32_t daemon;
	enum prog_state state;
	/* current visit */
	uint32_t turns_left;
	uint32_t turns_until_vanish; /* 0: never vanishes */
	mu_us visit_started_at;
	uint32_t visits; /* started so far */
	uint32_t nchildren; /* sub-agents started so far */
	mu_us latency; /* sum over calls, from submission to answer */
	mu_us ideal_latency; /* latency on an empty engine */
	/* whole program, over all visits */
	uint32_t history; /* tokens */
	uint32_t calls;
	uint64_t attained; /* tokens computed for it so far */
	mu_us born_at;
	mu_us terminated_at; /* no calls later; MU_US_NEVER until then */
	mu_us paused_at;
	struct mu_pause_stats pauses;
	/* current call */
	uint32_t prompt;
	uint32_t output;
	uint32_t prefill_left;
	uint32_t decode_left;
	mu_us first_submitted_at; /* before any retry */
	mu_us queued_at; /* entered the daemon's queue */
	mu_us sent_at;
	int32_t priority;
	uint64_t arrival_seq; /* orders calls of equal priority */
	uint32_t engine; /* while queued or running */
	uint32_t queue_index; /* in engine.queue */
	/* what the owner knows, possibly out of date */
	int32_t home;
	uint32_t home_tokens;
	uint32_t counted_engine; /* whose own_tokens include counted_tokens */
	uint32_t counted_tokens;
	mu_us batch_joined_at;
	mu_us last_run_us; /* time that the last call spent in the batch */
	mu_us last_queue_us; /* and before that in the engine's queue */
	mu_us evict_event_at; /* arrival of the eviction event in transit */
	uint32_t evict_tokens_left; /* cached after that eviction */
	uint32_t exported_tokens; /* in the object store */
	uint32_t retain_version; /* invalidates older recheck events */
	struct cache_entry cached[]; /* by engine */
};

struct engine {
	uint32_t index;
	bool alive;
	double speed; /* factor on the configured speed */
	struct prog **batch;
	uint32_t nbatch;
	struct prog **queue; /* binary heap */
	uint32_t nqueue;
	uint32_t queue_size;
	struct cds_list_head lru; /* least recently used first */
	uint64_t cache_used;
	mu_us steps_started_at; /* start of the steps in progress */
	mu_us step_us; /* duration of each */
	uint32_t steps; /* in progress; 0: idle */
	uint32_t version; /* invalidates older events of the engine */
	mu_us link_busy_until; /* end of transfers of exports and imports */
};

/* A load report and the totals of each daemon when it was made. */
struct report {
	mu_us at;
	bool alive;
	uint32_t running;
	uint32_t queued;
	uint64_t cache_used;
	mu_us step_us;
	uint64_t *sent_total; /* by daemon */
	uint64_t *completed_total;
	uint64_t *tokens_total;
};

/* What one daemon knows about one engine. */
struct engine_stats {
	uint32_t in_flight; /* calls sent and not ended */
	uint64_t sent_total;
	uint64_t completed_total;
	uint64_t tokens_total; /* uncached prompt tokens sent */
	uint64_t own_tokens; /* of own programs' counted prefixes */
	uint32_t own_prefixes; /* number of these prefixes */
	double own_tokens_squared; /* sum of the squares of their tokens */
	mu_us ejected_until;
	double step_us; /* smoothed time per streamed token */
	mu_us step_sampled_at;
};

struct daemon {
	uint32_t index;
	uint64_t rng;
	uint32_t next_engine; /* for PLACE_ROUND_ROBIN */
	struct engine_stats *engine_stats; /* by engine */
	struct prog **queue;
	uint32_t nqueue;
	uint32_t queue_size;
	uint32_t running;
	double idle_token_us; /* counted prefixes: decaying sum, idle */
	double busy_token_us; /* and in use by a call */
	mu_us last_program_at; /* start of the last non-urgent program */
	double program_start_interval; /* between these, smoothed, in us */
	uint32_t *caller_running;
	uint32_t *caller_queued;
	struct mu_limit limit;
	double call_us; /* smoothed call time */
	struct mu_pause_stats pauses[2]; /* by urgency */
	uint64_t calls[2]; /* answered calls, by urgency */
	uint64_t first_calls[2]; /* of these, first of their program */
};

enum event_kind {
	EVENT_ARRIVE,
	EVENT_CALL,
	EVENT_RETRY,
	EVENT_STEPS_DONE,
	EVENT_IMPORTED,
	EVENT_RETAIN_RECHECK,
	EVENT_REPORT,
	EVENT_FAULT
};

struct event {
	mu_us at;
	uint64_t seq;
	enum event_kind kind;
	uint32_t index;
	uint32_t version;
	struct prog *prog;
};

/* Latency of one visit.  The key is the same in all runs of one seed. */
struct visit {
	uint64_t key;
	double latency; /* seconds */
};

struct stat {
	struct visit *visits; /* completed */
	uint32_t nvisits;
	uint32_t visits_size;
	double *latency; /* of each completed visit, seconds */
	uint32_t nlatency;
	uint32_t latency_size;
	double *urgent; /* same, urgent programs only */
	uint32_t nurgent;
	uint32_t urgent_size;
	double *caller_slowdown_sum; /* latency / ideal_latency, by caller */
	uint32_t *caller_visits;
	uint64_t arrived; /* visits started */
	uint64_t ended;
	uint64_t given_up;
	uint64_t normal_arrived; /* of arrived, not urgent */
	uint64_t normal_ended; /* of ended, not urgent */
	uint64_t refusals;
	uint64_t calls;
	double recomputed; /* history tokens missing from the cache */
	double prompted; /* prompt tokens of all calls */
	double held_token_s; /* cached for terminated programs */
	double exported; /* tokens */
	double work_us; /* engine time of completed visits at full batch */
	uint64_t moved; /* calls sent to an engine that is not the home */
	double excess; /* mean minus the bound's, same visits, seconds */
	double excess_p95; /* 95th percentile minus the bound's */
	uint32_t ncompared; /* visits completed in both runs */
	double load_cv_sum; /* over ticks: engine loads' std. deviation/mean */
	uint32_t ticks;
};

struct sim {
	struct sim_conf conf;
	mu_us now;
	mu_us warmup_end;
	mu_us run_end;
	double arrival_rate; /* programs per second at load 1 */
	uint64_t arrival_rng;
	uint64_t noise_rng; /* event loss and retry jitter */
	uint64_t nroot_progs; /* programs other than sub-agents */
	uint64_t last_seq; /* last event.seq or prog.arrival_seq */
	struct prog *progs;
	struct engine *engines;
	uint32_t nengines;
	struct daemon *daemons;
	struct report (*reports)[REPORT_HISTORY];
	uint32_t tick;
	bool reports_frozen;
	uint32_t frozen_at_tick;
	bool flood_active;
	struct event *events;
	size_t nevents;
	size_t events_size;
	struct stat stat;
};

/* sim.c */
void sim_init(struct sim *s, const struct sim_conf *conf);
void sim_run(struct sim *s);
void sim_free(struct sim *s);
void sim_schedule(struct sim *s, mu_us at, enum event_kind kind, uint32_t index,
    uint32_t version, struct prog *p);
bool sim_is_measuring(const struct sim *s);
/* Time at which the caller abandons p's call if it has not started. */
mu_us sim_deadline(const struct sim *s, const struct prog *p);
bool sim_deadline_passed(const struct sim *s, const struct prog *p);
void *sim_alloc(size_t n, size_t size);

/* shape.c */
double dist_draw(const struct dist *d, uint64_t *rng);
/* Arriving programs per second at load 1. */
double shape_arrival_rate(const struct workload *w, const struct shape *s);
/* Engine time of a call in a full batch with its history cached, us. */
double
shape_call_us(const struct engine_conf *e, uint32_t added, uint32_t output);
struct prog *prog_new(struct sim *s, struct prog *parent);
/* Starts a visit and draws its number of turns. */
void prog_draw_visit(struct sim *s, struct prog *p);
void prog_draw_call(struct sim *s, struct prog *p);

/* engine.c */
void engine_init(struct sim *s, uint32_t index);
void engine_submit(struct sim *s, struct engine *e, struct prog *p);
void engine_finish_steps(struct sim *s, struct engine *e);
void engine_crash(struct sim *s, struct engine *e);
void engine_drop(struct sim *s, struct engine *e, struct prog *p);
/* Moves a prefix to the object store; returns its size in tokens. */
uint32_t engine_export(struct sim *s, struct engine *e, struct prog *p);
/* Imports p's exported prefix, then submits p's call. */
void engine_import(struct sim *s, struct engine *e, struct prog *p);
void engine_import_done(struct sim *s, struct engine *e, struct prog *p);

/* life.c */
void prog_arrive(struct sim *s);
void prog_call(struct sim *s, struct prog *p);
void prog_call_completed(struct sim *s, struct prog *p);
void prog_call_refused(struct sim *s, struct prog *p, uint32_t retry_ms);
void prog_abandon(struct sim *s, struct prog *p);
void prog_seed_returning(struct sim *s);

/* daemon.c */
void daemon_init(struct sim *s, uint32_t index);
void daemon_submit(struct sim *s, struct prog *p);
void daemon_call_completed(struct sim *s, struct prog *p);
void daemon_call_aborted(struct sim *s, struct prog *p);
void daemon_call_started(struct sim *s, struct prog *p, uint32_t hit);
void daemon_decide_retention(struct sim *s, struct prog *p, bool ended);
void daemon_release_slot(struct sim *s, struct prog *p);
void
daemon_count_prefix(struct sim *s, struct prog *p, uint32_t i, uint32_t tokens);

/* baseline.c: returns the engine for a call or MU_NO_ENDPOINT */
int32_t choose_engine(struct sim *s, struct daemon *d,
    const struct mu_service_view *v, const struct mu_call_info *r);

/* view.c */
void view_fill(struct sim *s, struct daemon *d, struct mu_endpoint_view *ends);
void view_record_reports(struct sim *s);

/* policies.c */
const struct policy *policy_find(const char *name);
extern const struct policy policies[];
extern const unsigned npolicies;

/* stat.c */
void stat_init(struct sim *s);
void stat_sample_load(struct sim *s);
void stat_count_visit(struct sim *s, struct prog *p);
void stat_count_held(struct sim *s, const struct cache_entry *h);
void stat_finish(struct sim *s);
/* Compares the visits with the same visits in the run of the lower bound. */
void stat_compare(struct sim *s, const struct stat *bound);
void stat_print(struct sim *s, bool json);
void stat_free(struct sim *s);
const char *fault_name(enum fault f);
int fault_find(const char *name);

#endif
