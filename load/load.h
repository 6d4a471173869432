/*
 * load.h -- private to musherload.
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
	unsigned programs; /* at once */
	unsigned repeat; /* programs of each thread, one after another */
	unsigned turns;
	unsigned think_ms; /* mean pause between two calls */
	unsigned call_timeout_s; /* a call is given up after this */
	int read_timeout_s; /* a silent connection is given up after this */
	uint64_t seed;
	bool json;
	const char *plot_dir; /* directory, or NULL */
	const char *record_file; /* file, or NULL */
};

/* What the caller was told last about a call. */
enum load_outcome {
	LOAD_OUTCOME_DONE,
	LOAD_OUTCOME_NOT_RUN,
	LOAD_OUTCOME_UNKNOWN,
	LOAD_OUTCOME_NO_ANSWER /* no daemon answered */
};

/* How an answer departs from what must always hold. */
enum load_fault {
	FAULT_MIXED, /* another program's or call's answer */
	FAULT_HISTORY, /* made from a history that lacks or adds turns */
	FAULT_STREAM, /* pieces differ from the final answer */
	FAULT_CHANGED, /* asked again, the answer was another */
	FAULT_FORGOTTEN, /* a program that was not ended is not known */
	FAULT_COUNT
};

/* Results of all threads; lock guards them. */
struct load_tally {
	pthread_mutex_t lock;
	struct hist first_token;
	struct hist call;
	struct hist program_busy; /* a program without the pauses made here */
	struct hist program; /* a program from start to end */
	uint64_t programs_done;
	uint64_t programs_failed;
	uint64_t calls_done;
	uint64_t calls_resent; /* attempts after the first */
	uint64_t connections_failed;
	uint64_t answers_lost;
	uint64_t refused_not_run; /* error answers, by outcome */
	uint64_t refused_unknown;
	uint64_t uncommitted; /* answers in an outage, with a receipt */
	uint64_t restored; /* of these, sent again after a seq_gap */
	uint64_t histories_checked;
	uint64_t histories_unchecked; /* after a turn without a known result */
	uint64_t faults[FAULT_COUNT];
	char first_fault[256];
	struct {
		char type[LOAD_ERROR_TYPE_BYTES];
		uint64_t count;
	} errors[LOAD_ERROR_TYPES_MAX];
	unsigned nerrors;
	json_t *call_records; /* of the calls that may not be repeated */
};

/* Addresses as one caller knows them. */
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
/* The address to use now; asks again when the answer has expired. */
const char *load_addrs_get(struct load_addrs *a, const char *program);
/* The address in use failed. */
void load_addrs_fail_over(struct load_addrs *a);
/* Takes "addresses" and "ttl_ms" of an answer. */
void load_addrs_update(struct load_addrs *a, const json_t *answer);

/* One call: what to send and, after load_call_run(), what came of it. */
struct load_call {
	const char *method;
	const char *target;
	const json_t *body; /* NULL: none */
	bool stream;

	enum load_outcome outcome;
	int status; /* 0: no answer */
	char error_type[LOAD_ERROR_TYPE_BYTES]; /* of the error; empty: none */
	json_t *answer; /* the whole answer, or NULL */
	unsigned attempts;
	mu_us first_token; /* from the start; 0: none */
	mu_us duration;
	bool stream_differs;
};

/*
 * Sends the same request until an answer is final or patience ends, to
 * another address after a failure, and at the time that a refusal names.
 */
void
load_call_run(struct load_addrs *a, const char *program, struct load_call *c);
void load_call_clear(struct load_call *c);

/* What to do about an answer that is not 2xx; pure. */
enum load_action {
	LOAD_STOP,
	LOAD_RETRY
};
enum load_action load_classify_error(
    int status, const struct mu_tool_error *e, uint32_t *wait_ms);

/* Runs one program from creation to end. */
void load_program_run(const struct load_opts *opts, struct load_tally *t,
    unsigned thread, unsigned number);

/* Checks the proof in an engine's answer against the history; load/proof.c */
struct load_history {
	json_t *messages; /* as the daemon must have them */
	bool is_known; /* false after a turn without a known result */
};
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

/* Prints the report; writes the plot and the record when asked for. */
int report_write(
    const struct load_opts *opts, const struct load_tally *t, mu_us duration);

#endif
