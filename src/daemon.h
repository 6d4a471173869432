/*
 * daemon.h -- state shared by the modules of a daemon.
 */
#ifndef MU_DAEMON_H
#define MU_DAEMON_H

#include <pthread.h>

#include "board.h"
#include "conf.h"
#include "dispatch.h"
#include "journal.h"
#include "peer.h"
#include "platform.h"
#include "quarantine.h"
#include "receipt.h"
#include "refusal.h"
#include "slots.h"
#include "stream.h"

struct mu_config;
struct mu_member;
struct mu_clean;
struct mu_webmem;

struct mu_daemon {
	struct mu_conf *conf;
	struct mu_clock clock;
	uint64_t incarnation;
	struct mu_board board;
	struct mu_platform *platform;
	struct mu_journal *journal;
	struct mu_slots *slots;
	struct mu_dispatch *dispatch;
	struct mu_peers *peers;
	struct mu_config *config;
	struct mu_member *member;
	struct mu_clean *clean;
	struct mu_webmem *webmem; /* held for callers and operators */
	struct mu_receipt_key receipts;
	struct mu_refusals refusals;
	pthread_mutex_t quarantine_lock;
	struct mu_quarantine quarantine;
	uint32_t run_threads; /* call and routing threads in progress; atomic */
	bool lease_taken; /* another process holds this host's lease; atomic */
};

enum mu_req_kind {
	MU_REQ_CREATE,
	MU_REQ_CALL,
	MU_REQ_GET_CALL,
	MU_REQ_GET_PROGRAM,
	MU_REQ_END,
	MU_REQ_EXPLAIN
};

/* A request as passed from the callers' port or a peer link to the owner. */
struct mu_req {
	enum mu_req_kind kind;
	const char *caller;
	const char *program; /* empty for CREATE without a parent */
	uint64_t seq;
	const char *body;
	size_t len;
	bool stream;
	mu_us deadline;
	uint64_t request_id; /* shared by all copies; 0: none */
	uint32_t hops; /* times that it was forwarded */
};

#endif
