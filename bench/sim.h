/*
 * sim.h -- the experiment: programs, daemons and engines on a paused clock.
 *
 * An event queue moves the clock.  Engines are the model in engine.c; daemons
 * hold lagging beliefs and call the decision modules of src/ or a baseline;
 * programs are drawn by shape.c.  One run is one struct sim, deterministic
 * for its configuration and seed.
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
#define REPORT_HISTORY 64 /* reports remembered */

enum place_policy {
	PLACE_ROUND_ROBIN,
	PLACE_LEAST_LOADED,
	PLACE_SAMPLED, /* least of a few drawn at random */
	PLACE_STICKY,
	PLACE_ESTIMATED_TIME,
	PLACE_BOUND,
	PLACE_MUSHER
};

enum retain_policy {
	RETAIN_BY_ENGINE, /* the engine's eviction alone */
	RETAIN_MUSHER,
	RETAIN_UNTIL_END, /* keep all until the program's end */
	RETAIN_NEVER /* drop after each call */
};

struct policy {
	const char *name;
	enum place_policy placement;
	enum retain_policy retention;
	bool priorities; /* priorities; without: first come first served */
	bool admission; /* limits and early refusal */
};

enum fault {
	FAULT_NONE,
	FAULT_ENGINE_LOST,
	FAULT_DOMAIN_LOST,
	FAULT_ENGINE_SLOW,
	FAULT_REPORTS_FROZEN,
	FAULT_FLOOD,
	FAULT_COUNT
};

struct sim_conf {
	const struct workload *workload;
	const struct shape *shape;
	const struct policy *policy;
	enum fault fault;
	double load;
	uint64_t seed;
	double warmup_s; /* not measured */
	double run_s; /* measured */
};

struct prog;

/* A prefix at rest in one engine's cache. */
struct cache_entry {
	struct cds_list_head node; /* in the engine's eviction order */
	struct prog *prog;
	uint32_t tokens; /* 0: not held */
	mu_us stored_at;
};

enum prog_state {
	PROG_PAUSED,
	PROG_WAITING, /* in a daemon's queue or told to come back */
	PROG_QUEUED, /* in an engine's queue */
	PROG_RUNNING,
	PROG_TERMINATED
};

struct prog {
	const struct prog_class *class;
	struct prog *parent; /* of a sub-agent */
	struct prog *next; /* all programs, for the end of the run */
	uint64_t id;
	uint64_t rng;
	uint32_t caller;
	uint32_t daemon;
	enum prog_state state;
	/* the visit */
	uint32_t turns_left;
	uint32_t turns_until_vanish; /* turns until it vanishes; 0: never */
	mu_us visit_started_at;
	uint32_t visits; /* so far */
	uint32_t nchildren; /* so far */
	mu_us latency; /* sum of its calls' times */
	mu_us ideal_latency; /* the same on an empty engine */
	/* whole program */
	uint32_t history; /* tokens */
	uint32_t calls;
	uint64_t attained;
	mu_us born_at;
	mu_us terminated_at; /* never comes back after this; MU_US_NEVER */
	mu_us paused_at;
	struct mu_pause_stats pauses;
	/* the call */
	uint32_t prompt;
	uint32_t output;
	uint32_t prefill_left;
	uint32_t decode_left;
	mu_us first_submitted_at; /* first try */
	mu_us queued_at; /* in the daemon's queue since */
	mu_us sent_at;
	int32_t priority;
	uint64_t arrival_seq; /* of arrival in the engine */
	uint32_t engine; /* while queued or running */
	uint32_t queue_index; /* place in the engine's queue */
	/* the owner's beliefs */
	int32_t home;
	uint32_t home_tokens;
	uint32_t counted_engine; /* engine that booked is counted for */
	uint32_t counted_tokens; /* tokens */
	mu_us batch_joined_at; /* in the batch */
	mu_us last_run_us; /* time of the last call in the batch */
	mu_us last_queue_us; /* in the engine's queue */
	mu_us evict_event_at; /* when the event of an eviction arrives */
	uint32_t evict_tokens_left; /* tokens that it leaves */
	uint32_t exported_tokens; /* tokens in the object store */
	uint32_t retain_version;
	struct cache_entry cached[]; /* one for each engine */
};

struct engine {
	uint32_t index;
	bool alive;
	double speed; /* 1: as configured */
	struct prog **batch;
	uint32_t nbatch;
	struct prog **queue; /* binary heap */
	uint32_t nqueue;
	uint32_t queue_size;
	struct cds_list_head lru; /* least recently used first */
	uint64_t cache_used;
	mu_us steps_started_at; /* start of the steps in progress */
	mu_us step_us; /* time of each */
	uint32_t steps; /* number of them; 0: idle */
	uint32_t version; /* of its event */
	mu_us link_busy_until; /* imports in progress end */
};

/* What a report says, and the sums of each daemon at that instant. */
struct report {
	mu_us at;
	bool alive;
	uint32_t running;
	uint32_t queued;
	uint64_t cache_used;
	mu_us step_us;
	uint64_t *sent_total; /* for each daemon */
	uint64_t *completed_total;
	uint64_t *tokens_total;
};

/* One daemon's view of one engine. */
struct engine_stats {
	uint32_t in_flight; /* there now */
	uint64_t sent_total;
	uint64_t completed_total;
	uint64_t tokens_total;
	uint64_t own_tokens; /* firm prefixes homed there */
	uint32_t own_prefixes; /* number of them */
	double own_tokens_squared; /* sum of their tokens squared */
	mu_us ejected_until;
	double step_us; /* smoothed time a piece, seen in its streams */
	mu_us step_sampled_at;
};

struct daemon {
	uint32_t index;
	uint64_t rng;
	uint32_t next_engine; /* round robin */
	struct engine_stats *engine_stats; /* for each engine */
	struct prog **queue;
	uint32_t nqueue;
	uint32_t queue_size;
	uint32_t running;
	double idle_token_us; /* token-time of firm prefixes at rest, fading */
	double busy_token_us; /* the same while a call uses them */
	mu_us last_program_at; /* last program that isn't urgent */
	double program_start_interval; /* smoothed, microseconds */
	uint32_t *caller_running;
	uint32_t *caller_queued;
	struct mu_limit limit;
	double call_us; /* smoothed */
	struct mu_pause_stats pauses[2]; /* by urgency */
	uint64_t calls[2]; /* first calls and all, by urgency */
	uint64_t first_calls[2];
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

/* The latency of one visit, told by its key from those of other runs. */
struct visit {
	uint64_t key;
	double latency; /* seconds */
};

struct stat {
	struct visit *visits; /* all that ended */
	uint32_t nvisits;
	uint32_t visits_size;
	double *latency; /* of each visit that ended, seconds */
	uint32_t nlatency;
	uint32_t latency_size;
	double *urgent;
	uint32_t nurgent;
	uint32_t urgent_size;
	double *caller_slowdown_sum; /* slowdown of each caller's visits */
	uint32_t *caller_visits;
	uint64_t arrived; /* visits */
	uint64_t ended;
	uint64_t given_up;
	uint64_t normal_arrived; /* of them, not urgent */
	uint64_t normal_ended;
	uint64_t refusals;
	uint64_t calls;
	double recomputed; /* tokens */
	double prompted; /* prompt tokens of all calls */
	double
	    held_token_s; /* token-seconds of programs that never came back */
	double exported; /* tokens */
	double work_us; /* engine time of visits that ended, at full batch */
	uint64_t moved;
	double excess; /* mean over the bound's for the same visits, seconds */
	double excess_p95; /* 95th less the bound's for the same visits */
	uint32_t ncompared;
	double load_cv_sum; /* sum over ticks, spread of the engines' load */
	uint32_t ticks;
};

struct sim {
	struct sim_conf conf;
	mu_us now;
	mu_us warmup_end;
	mu_us run_end;
	double arrival_rate; /* arriving programs a second */
	uint64_t arrival_rng; /* arrivals */
	uint64_t noise_rng; /* lost events, jitter */
	uint64_t nroot_progs; /* but sub-agents */
	uint64_t last_seq;
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
/* Deadline of the call of p: its caller stops waiting for a start. */
mu_us sim_deadline(const struct sim *s, const struct prog *p);
bool sim_deadline_passed(const struct sim *s, const struct prog *p);
void *sim_alloc(size_t n, size_t size);

/* shape.c */
double dist_draw(const struct dist *d, uint64_t *rng);
/* Arrivals a second at load 1. */
double shape_arrival_rate(const struct workload *w, const struct shape *s);
/* Time of the calls at a full batch without recomputing, microseconds. */
double
shape_call_us(const struct engine_conf *e, uint32_t added, uint32_t output);
struct prog *prog_new(struct sim *s, struct prog *parent);
void prog_draw_visit(struct sim *s, struct prog *p); /* draws a visit's turns */
void prog_draw_call(struct sim *s, struct prog *p);

/* engine.c */
void engine_init(struct sim *s, uint32_t index);
void engine_submit(struct sim *s, struct engine *e, struct prog *p);
void engine_finish_steps(struct sim *s, struct engine *e);
void engine_crash(struct sim *s, struct engine *e);
void engine_drop(struct sim *s, struct engine *e, struct prog *p);
/* Moves a prefix to the object store; returns its tokens. */
uint32_t engine_export(struct sim *s, struct engine *e, struct prog *p);
/* Fetches an exported prefix, after which p is submitted. */
void engine_import(struct sim *s, struct engine *e, struct prog *p);
void engine_import_done(struct sim *s, struct engine *e, struct prog *p);

/* life.c: what programs do */
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

/* baseline.c: the engine for a call, MU_NO_ENDPOINT when there is none */
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
/* Compares visits with those of the lower bound's run, which may be NULL. */
void stat_compare(struct sim *s, const struct stat *bound);
void stat_print(struct sim *s, bool json);
void stat_free(struct sim *s);
const char *fault_name(enum fault f);
int fault_find(const char *name);

#endif
