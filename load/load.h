/*
 * load.h -- shared declarations of musherload.
 */
#ifndef MU_LOAD_H
#define MU_LOAD_H

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>

#include "hist.h"
#include "shape.h"
#include "toolhttp.h"

#define LOAD_ADDRESSES_MAX 32
#define LOAD_ERROR_TYPE_BYTES 48
#define LOAD_ERROR_TYPES_MAX 64
#define LOAD_MARKER_BYTES 64

struct load_opts {
	const char *address[LOAD_ADDRESSES_MAX];
	unsigned naddress;
	const char *key;
	enum shape_kind shape;
	unsigned programs; /* concurrent programs, one thread each */
	unsigned repeat; /* programs per thread, run one after another */
	unsigned turns;
	unsigned think_ms; /* mean pause between two calls */
	unsigned call_timeout_s; /* of a call, including retries */
	int read_timeout_s; /* of a connection without data */
	uint64_t seed;
	bool json;
	const char *plot_dir; /* NULL: no plot */
	const char *record_file; /* NULL: no record */
};

/* Outcome of a call as last reported to the caller. */
enum load_outcome {
	LOAD_OUTCOME_DONE,
	LOAD_OUTCOME_NOT_RUN,
	LOAD_OUTCOME_UNKNOWN,
	LOAD_OUTCOME_NO_ANSWER /* no daemon answered */
};

/* Invariant violations that a caller can detect. */
enum load_fault {
	FAULT_MIXED, /* answer of another program or call */
	FAULT_HISTORY, /* history with missing or extra turns */
	FAULT_STREAM, /* streamed chunks differ from the final answer */
	FAULT_CHANGED, /* the stored answer differs from the first one */
	FAULT_FORGOTTEN, /* program not found although it was not ended */
	FAULT_COUNT /* also: no fault */
};

/* Results of all threads, protected by lock. */
struct load_tally {
	pthread_mutex_t lock;
	struct hist first_token;
	struct hist call;
	struct hist program_busy; /* a program without think time */
	struct hist program; /* a program including think time */
	uint64_t programs_done;
	uint64_t programs_failed;
	uint64_t calls_done;
	uint64_t calls_resent; /* retries */
	uint64_t connections_failed;
	uint64_t answers_lost;
	uint64_t refused_not_run; /* error answers by outcome */
	uint64_t refused_unknown;
	uint64_t uncommitted; /* answers with a receipt (store outage) */
	uint64_t restored; /* of these, resent after a seq_gap error */
	uint64_t histories_checked;
	uint64_t histories_unchecked; /* no proof or result unknown */
	uint64_t faults[FAULT_COUNT];
	char first_fault[256];
	struct {
		char type[LOAD_ERROR_TYPE_BYTES];
		uint64_t count;
	} errors[LOAD_ERROR_TYPES_MAX];
	unsigned nerrors;
	json_t *call_records; /* of non-idempotent calls */
};

/* Daemon addresses known to one caller. */
struct load_addrs {
	const struct load_opts *opts;
	struct load_tally *tally;
	char addr[LOAD_ADDRESSES_MAX][MU_ADDR_LEN];
	unsigned naddr;
	unsigned current;
	mu_us expires_at;
	struct mu_clock clock;
};

void load_addrs_init(struct load_addrs *a, const struct load_opts *opts,
    struct load_tally *t, unsigned start);
/* Returns the address to use; refreshes the list when it has expired. */
const char *load_addrs_get(struct load_addrs *a, const char *program);
/* Moves to the next address after a failure of the current one. */
void load_addrs_fail_over(struct load_addrs *a);
/* Updates the list from "addresses" and "ttl_ms" of an answer. */
void load_addrs_update(struct load_addrs *a, const json_t *answer);

/* One call: the request and, after load_call_run(), its result. */
struct load_call {
	const char *method;
	const char *target;
	const json_t *body; /* NULL: none */
	bool stream;

	enum load_outcome outcome;
	int status; /* 0: no answer */
	char error_type[LOAD_ERROR_TYPE_BYTES]; /* empty: no error */
	json_t *answer; /* complete answer, or NULL */
	unsigned attempts;
	mu_us first_token; /* since the first attempt; 0: none */
	mu_us duration;
	bool stream_differs;
};

/*
 * Retries the same request until an answer is final or call_timeout_s has
 * passed.  Changes the address after a connection failure and honors the
 * retry_after_ms of an error.
 */
void
load_call_run(struct load_addrs *a, const char *program, struct load_call *c);
void load_call_clear(struct load_call *c);

/* Decides whether to retry after an answer other than 2xx. */
enum load_action {
	LOAD_STOP,
	LOAD_RETRY
};
enum load_action load_classify_error(
    int status, const struct mu_tool_error *e, uint32_t *wait_ms);

/* Runs one program from creation to deletion. */
void load_program_run(const struct load_opts *opts, struct load_tally *t,
    unsigned thread, unsigned number);

/* Messages of a program in the order that the daemon must have them. */
struct load_history {
	json_t *messages;
	bool is_known; /* false after a turn of unknown result */
};

/*
 * Checks the proof in an engine's answer against the history; FAULT_COUNT if
 * it matches or there is none.
 */
enum load_fault
load_proof_check(const struct load_history *h, const char *program,
    const char *marker, const char *output, bool *has_proof);

void tally_init(struct load_tally *t);
void tally_clear(struct load_tally *t);
void tally_add_error(struct load_tally *t, const char *type);
void tally_add_fault(struct load_tally *t, enum load_fault f,
    const char *program, uint64_t seq, const char *detail);
const char *load_fault_name(enum load_fault f);
const char *load_outcome_name(enum load_outcome o);
bool tally_no_faults(const struct load_tally *t);

/* Prints the report; writes the plot and the record if configured. */
int report_write(
    const struct load_opts *opts, const struct load_tally *t, mu_us duration);

#endif
