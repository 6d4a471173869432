/*
 * test_trace.c -- traces of spec/slot.pml, replayed on the decision modules.
 *
 * Each trace is a list of steps, named as in the model.  Two hosts, whose
 * clocks differ by an hour, share a small table of one slot row and two lease
 * rows.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "lease.h"
#include "retry.h"
#include "slotrule.h"

#define S MU_US_PER_S
#define LEASE (10 * S)
#define MARGIN (2 * S)
#define A 0
#define B 1

static const char *const names[] = {"duluth-1", "toledo-1"};
static const mu_us clock_offset[] = {0, 3600 * S};

enum step {
	SEND_RENEWAL, /* the host sends it */
	APPLY, /* the renewal takes effect in the table */
	ANSWERED, /* the host receives the answer; expect: the lease event */
	WATCH, /* reads the peer's lease row; expect: whether it lapsed */
	LEAVE, /* the host starts to drain */
	RULE, /* runs the slot rule; expect: number of actions applied */
	MAY_SEND, /* expect: whether a call may be sent */
	OWNER, /* expect: whether the host owns the slot in the table */
	EPOCH /* expect: the epoch in the table */
};

struct line {
	int at; /* seconds on the true clock */
	int host;
	enum step step;
	int expect;
};

static struct {
	uint64_t lease_rev[2], counter[2];
	struct mu_slot_view slot;
} table;

static struct {
	struct mu_lease lease;
	struct mu_lease_watch peer_lease;
	bool held, leaving;
	mu_us sent;
	uint64_t checked_rev; /* revision that the renewal in flight checks */
	bool applied;
} host[2];

static void
apply(int h)
{
	host[h].applied = table.lease_rev[h] == host[h].checked_rev;
	if (!host[h].applied)
		return;
	table.lease_rev[h]++;
	table.counter[h]++;
}

static int
answered(int h, mu_us now)
{
	if (host[h].applied)
		return (int)mu_lease_confirm(&host[h].lease, host[h].sent, now);
	mu_lease_mark_lost(&host[h].lease);
	return -1;
}

static int
watch(int h, mu_us now)
{
	struct mu_lease_watch *w = &host[h].peer_lease;

	mu_lease_watch_update(
	    w, 1, table.counter[!h], table.lease_rev[!h], now, now);
	return mu_lease_watch_lapsed(w, LEASE);
}

/* Applies the rule's action with the checks of TakeOver and HandOver. */
static int
rule(int h)
{
	struct mu_slot_host hosts[2];
	const struct mu_slot_input in = {&table.slot, 1, hosts, 2, names[h], 0};
	struct mu_slot_action a;
	int i;

	for (i = 0; i < 2; i++) {
		hosts[i] = (struct mu_slot_host){
		    names[i], true, host[i].leaving, false};
		hosts[i].lapsed =
		    i != h && mu_lease_watch_lapsed(&host[h].peer_lease, LEASE);
	}
	table.slot.held = host[h].held;
	table.slot.prior_process_lapsed = !host[h].held;
	if (mu_slot_rule(&in, &a, 1) == 0)
		return 0;
	if (a.kind == MU_SLOT_TAKE_OVER && table.slot.owner == names[!h]) {
		if (host[h].peer_lease.rev != table.lease_rev[!h])
			return 0;
		table.lease_rev[!h]++; /* clears the lapsed owner's lease row */
	}
	table.slot.epoch++;
	host[h].held = a.kind != MU_SLOT_HAND_OVER;
	table.slot.owner = host[h].held ? names[h] : names[!h];
	return 1;
}

static int
perform(const struct line *l)
{
	mu_us now = l->at * S + clock_offset[l->host];
	int h = l->host;

	switch (l->step) {
	case SEND_RENEWAL:
		host[h].sent = now;
		host[h].checked_rev = table.lease_rev[h];
		return 0;
	case APPLY:
		apply(h);
		return 0;
	case ANSWERED:
		return answered(h, now);
	case WATCH:
		return watch(h, now);
	case LEAVE:
		host[h].leaving = true;
		return 0;
	case RULE:
		return rule(h);
	case MAY_SEND:
		return host[h].held && mu_lease_may_start(&host[h].lease, now);
	case OWNER:
		return table.slot.owner == names[h];
	case EPOCH:
		return (int)table.slot.epoch;
	}
	return -1;
}

static void
replay(const struct line *l, size_t n)
{
	size_t i;

	memset(&table, 0, sizeof(table));
	memset(host, 0, sizeof(host));
	for (i = 0; i < 2; i++) {
		mu_lease_init(&host[i].lease, LEASE, MARGIN);
		mu_lease_watch_init(&host[i].peer_lease);
	}
	table.slot.owner = names[A];
	table.slot.epoch = 1;
	host[A].held = true;
	host[B].leaving = true; /* so that A is preferred until a LEAVE step */
	for (i = 0; i < n; i++) {
		if (perform(&l[i]) != l[i].expect)
			fail_msg("line %zu of the trace", i);
		if (l[i].step == LEAVE)
			host[!l[i].host].leaving = false;
	}
}

#define REPLAY(t) replay(t, sizeof(t) / sizeof((t)[0]))

/* Expire, TakeOver, then the renewal that was in flight (finding 1). */
static void
test_paused_holder(void **state)
{
	static const struct line trace[] = {
	    {0, A, SEND_RENEWAL, 0},
	    {1, A, APPLY, 0},
	    {1, A, ANSWERED, MU_LEASE_GAINED},
	    {2, B, WATCH, 0},
	    {7, A, MAY_SEND, 1},
	    {7, A, SEND_RENEWAL, 0},
	    {8, A, MAY_SEND, 0},
	    {11, B, WATCH, 0},
	    {12, B, WATCH, 1},
	    {12, A, LEAVE, 0},
	    {12, B, RULE, 1},
	    {12, B, OWNER, 1},
	    {12, B, EPOCH, 2},
	    {13, A, APPLY, 0},
	    {14, A, ANSWERED, -1},
	    {14, A, MAY_SEND, 0},
	};

	(void)state;
	REPLAY(trace);
}

/* A renewal between the watcher's read and its TakeOver. */
static void
test_renewal_beats_takeover(void **state)
{
	static const struct line trace[] = {
	    {0, A, SEND_RENEWAL, 0},
	    {0, A, APPLY, 0},
	    {0, A, ANSWERED, MU_LEASE_GAINED},
	    {0, B, WATCH, 0},
	    {10, B, WATCH, 1},
	    {10, A, SEND_RENEWAL, 0},
	    {10, A, APPLY, 0},
	    {10, A, LEAVE, 0},
	    {11, B, RULE, 0},
	    {11, A, OWNER, 1},
	    {11, A, ANSWERED, MU_LEASE_LATE},
	    {11, A, MAY_SEND, 0},
	    {12, B, WATCH, 0},
	};

	(void)state;
	REPLAY(trace);
}

/* HandOver, then TakeOver of what was handed over. */
static void
test_hand_over(void **state)
{
	static const struct line trace[] = {
	    {0, A, SEND_RENEWAL, 0},
	    {0, A, APPLY, 0},
	    {0, A, ANSWERED, MU_LEASE_GAINED},
	    {1, A, RULE, 0},
	    {1, A, LEAVE, 0},
	    {1, A, RULE, 1},
	    {1, B, OWNER, 1},
	    {1, A, MAY_SEND, 0},
	    {2, B, RULE, 1},
	    {2, B, EPOCH, 3},
	    {2, B, RULE, 0},
	};

	(void)state;
	REPLAY(trace);
}

/* After an outage without reads no lease has lapsed. */
static void
test_outage(void **state)
{
	static const struct line trace[] = {
	    {0, A, SEND_RENEWAL, 0},
	    {0, A, APPLY, 0},
	    {0, A, ANSWERED, MU_LEASE_GAINED},
	    {1, B, WATCH, 0},
	    {60, A, MAY_SEND, 0},
	    {60, A, SEND_RENEWAL, 0},
	    {60, A, APPLY, 0},
	    {60, B, WATCH, 0},
	    {60, A, LEAVE, 0},
	    {60, B, RULE, 0},
	};

	(void)state;
	REPLAY(trace);
}

/* Steps of a non-idempotent call, and the outcome reported to the caller. */
static void
test_call(void **state)
{
	static const struct {
		const char *step;
		enum mu_errtype error;
		enum mu_attempt_progress sent;
		bool earlier;
		enum mu_retry_kind kind;
		enum mu_outcome outcome;
	} trace[] = {
	    {"NotSent", MU_E_CONNECT, MU_ATTEMPT_NOT_SENT, false,
		MU_RETRY_OTHER_ENDPOINT, MU_OUTCOME_NOT_RUN},
	    {"Refused", MU_E_OVERLOADED, MU_ATTEMPT_REFUSED, false,
		MU_RETRY_OTHER_ENDPOINT, MU_OUTCOME_NOT_RUN},
	    {"Refused", MU_E_BAD_REQUEST, MU_ATTEMPT_REFUSED, false,
		MU_RETRY_FAIL_CALL, MU_OUTCOME_NOT_RUN},
	    {"Break", MU_E_ENDPOINT_LOST, MU_ATTEMPT_MAY_HAVE_RUN, false,
		MU_RETRY_FAIL_CALL, MU_OUTCOME_UNKNOWN},
	    {"Break", MU_E_ENDPOINT_TIMEOUT, MU_ATTEMPT_MAY_HAVE_RUN, false,
		MU_RETRY_FAIL_CALL, MU_OUTCOME_UNKNOWN},
	    {"Break, then NotSent", MU_E_CONNECT, MU_ATTEMPT_NOT_SENT, true,
		MU_RETRY_FAIL_CALL, MU_OUTCOME_UNKNOWN},
	    {"Send under an old epoch", MU_E_STALE_EPOCH, MU_ATTEMPT_REFUSED,
		false, MU_RETRY_FAIL_CALL, MU_OUTCOME_UNKNOWN},
	};
	struct mu_retry_request q = {0};
	struct mu_retry_decision d;
	struct mu_retry_budget b;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(trace) / sizeof(trace[0]); i++) {
		mu_retry_budget_init(&b, 1);
		q.error = trace[i].error;
		q.sent = trace[i].sent;
		q.earlier_may_have_run = trace[i].earlier;
		q.attempts = 1;
		q.other_endpoint = true;
		q.deadline = MU_US_NEVER;
		d = mu_retry_decide(&mu_retry_policy_default, &b, &q, 0);
		if (d.kind != trace[i].kind ||
		    (d.kind == MU_RETRY_FAIL_CALL &&
			d.u.failure.outcome != trace[i].outcome))
			fail_msg("%s", trace[i].step);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_paused_holder),
	    cmocka_unit_test(test_renewal_beats_takeover),
	    cmocka_unit_test(test_hand_over),
	    cmocka_unit_test(test_outage),
	    cmocka_unit_test(test_call),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
