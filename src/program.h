/*
 * program.h -- in-memory state of agent programs, and the journal's records.
 *
 * A program is a sequence of turns, numbered by seq; a turn is one call and its
 * answer.  An intent is the journal record that precedes sending a call.
 *
 * The programs of a slot are changed only by applying records, by the owner
 * that writes them and by a later owner that replays the journal, so that both
 * get the same state.  Not thread-safe: protected by the slot's lock.
 */
#ifndef MU_PROGRAM_H
#define MU_PROGRAM_H

#include <jansson.h>
#include <urcu/list.h>

#include "budget.h"
#include "musher.h"

enum mu_turn_state {
	MU_TURN_INTENT, /* may have been sent; no result yet */
	MU_TURN_DONE, /* body is the answer */
	MU_TURN_UNKNOWN /* result lost; body is the error response */
};

#define MU_HASH_SIZE 33 /* 128 bits in hex and a NUL */

struct mu_turn {
	enum mu_turn_state state;
	int status;
	char *body; /* response to the caller, JSON text */
	char hash[MU_HASH_SIZE]; /* of the request */
	char *service;
	char *attempts; /* attempts and their placement, JSON text or NULL */
	struct mu_amount granted; /* reserved by the intent */
};

struct mu_run; /* a call in progress; see run.h */

struct mu_program {
	struct cds_list_head node;
	char id[MU_ID_LEN + 1];
	char caller[MU_NAME_LEN];
	char parent[MU_ID_LEN + 1]; /* empty: none */
	bool ended;
	struct mu_budget budget;
	struct mu_turn *turns; /* turns[i] has seq i + 1 */
	size_t nturns;
	size_t turns_size;
	json_t *messages; /* history of its model calls, in order */
	uint64_t message_tokens;
	uint64_t attained; /* service received: tokens of all its calls */
	char home[MU_ADDR_LEN]; /* endpoint that caches its prefix, or empty */
	char home_service[MU_NAME_LEN];
	uint64_t home_tokens;

	/* State of this owner, not in the journal. */
	mu_us last_used;
	struct mu_run *run;
	uint64_t run_seq;
	bool prefix_released; /* engines were requested to free it */
};

struct mu_programs {
	struct cds_list_head list;
	size_t count;
};

void mu_programs_init(struct mu_programs *ps);
void mu_programs_clear(struct mu_programs *ps);
struct mu_program *
mu_program_find(const struct mu_programs *ps, const char *id);
/* Seq of the program's next call. */
uint64_t mu_program_next_seq(const struct mu_program *p);
/* The turn with this seq, or NULL. */
const struct mu_turn *mu_program_turn(const struct mu_program *p, uint64_t seq);

/* Topmost ancestor of p, or p itself; all its descendants use its budget. */
struct mu_program *
mu_program_root(const struct mu_programs *ps, struct mu_program *p);

/* Estimated tokens of a message's text: 4 bytes per token. */
uint64_t mu_text_tokens(const char *text);
uint64_t mu_messages_tokens(const json_t *messages);

/*
 * Journal records.  Each function returns a new reference, or NULL when out of
 * memory.
 */
json_t *mu_record_create(const char *id, const char *caller, const char *parent,
    const struct mu_budget *budget);
/* Precedes sending a call; granted is the amount reserved for it. */
json_t *mu_record_intent(const char *id, uint64_t seq, const char *hash,
    const char *service, const char *endpoint, const struct mu_amount *granted);
/* Withdraws an intent: the call was not sent and won't be under it. */
json_t *mu_record_drop(const char *id, uint64_t seq);

struct mu_record_turn {
	const char *id;
	uint64_t seq;
	enum mu_turn_state state;
	int status;
	const char *body;
	const char *hash;
	const char *service;
	const char *attempts; /* may be NULL */
	const json_t *messages; /* added by the caller; NULL: none */
	const char *text; /* the model's answer; NULL: none */
	const char *home; /* endpoint that now caches the prefix, or NULL */
	uint64_t home_tokens;
	struct mu_amount used;
};

json_t *mu_record_turn(const struct mu_record_turn *t);
/* Charges attempts of a call that ended without an answer. */
json_t *mu_record_charge(const char *id, const struct mu_amount *used);
json_t *mu_record_end(const char *id);

/*
 * Applies a record.  Returns MU_E_INTERNAL if it doesn't fit the state, which
 * can't happen in a journal that was written by one owner at a time.
 */
int mu_record_apply(
    struct mu_programs *ps, const json_t *record, struct mu_error *e);

/* After a takeover: marks intents without a result as UNKNOWN and charges what
 * they had reserved. */
void mu_programs_recover(struct mu_programs *ps);

/* Snapshot of all programs of a slot as one JSON value, and its inverse. */
json_t *mu_programs_dump(const struct mu_programs *ps);
int mu_programs_load(
    struct mu_programs *ps, const json_t *dump, struct mu_error *e);

#endif
