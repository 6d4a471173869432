/*
 * accountrow.c -- draws from a program's row, and returns to it.
 *
 * One write at a time, on condition that the row has not changed.  A write
 * without an answer may still take effect.  It is repeated unchanged, under
 * the same condition and number, so that only one of the two can take effect;
 * the number in the row then shows whether one did.
 */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "account_private.h"
#include "log.h"
#include "scope.h"
#include "metric.h"

/* Pause without turns after which unused tokens are returned.  Most pauses of
 * callers are shorter. */
#define RETURN_DELAY_US (400 * MU_US_PER_MS)
#define RETURN_TIMEOUT_US (3 * MU_US_PER_S)
/* Timeout of a draw: time for two attempts at a partition that does not
 * answer.  Then the draw is retried, or the tokens are borrowed if the
 * partition is found unavailable. */
#define DRAW_TIMEOUT_US (160 * MU_US_PER_MS)

/* Replaces the local copy of the row by the one in the store. */
static void
apply_row(struct program *p, const Mu__StoreResult *r)
{
	Mu__LedgerRow *row = NULL;

	p->ver = p->writer = p->row_draw = 0;
	p->ledger.granted = 0;
	if (r->n_rows > 0 && strcmp(r->rows[0]->key, p->id) == 0 &&
	    !r->rows[0]->removed && r->rows[0]->ver != 0) {
		p->ver = r->rows[0]->ver;
		row = mu__ledger_row__unpack(
		    NULL, r->rows[0]->value.len, r->rows[0]->value.data);
	}
	if (row != NULL) {
		p->ledger.granted = row->granted;
		if (row->released)
			mu_ledger_released(&p->ledger, row->lent);
		p->writer = row->writer;
		p->row_draw = row->draw;
		mu__ledger_row__free_unpacked(row, NULL);
	} else if (p->ver != 0) {
		mu_log(MU_LOG_ERROR, "home", "budget_row_unreadable", "{s:s}",
		    "program", mu_scope_plain(p->id));
		p->ledger.granted = p->ledger.budget;
	}
}

/* Whether the row is the result of this daemon's write with that number. */
static bool
took_effect(const struct program *p, uint64_t number)
{
	return number != 0 && p->row_draw == number &&
	       p->writer == p->accounts->conf.incarnation;
}

/* Records that the write in progress took effect; the row counts granted
 * tokens. */
static void
apply_write(struct program *p, uint64_t granted)
{
	if (!p->write.returning)
		mu_ledger_drawn(&p->ledger, p->write.amount, granted);
	else if (p->write.number != p->unresolved.number)
		mu_ledger_returned(&p->ledger, p->write.amount, granted);
	else
		p->ledger.granted = granted;
	p->unresolved.number = 0;
}

/* Forgoes the tokens of a return that was rejected or may have taken effect:
 * another daemon may have drawn them since. */
static void
forfeit_return(struct program *p)
{
	if (p->write.returning && p->write.number != p->unresolved.number)
		mu_ledger_returned(
		    &p->ledger, p->write.amount, p->ledger.granted);
}

/* The write in progress had no answer: it may have taken effect or still may.
 */
static void
mark_unresolved(struct program *p)
{
	forfeit_return(p);
	p->unresolved = p->write;
	p->guarantor_refused = MU_REFUSED_NOTHING;
	mu_account_fail_expired(p);
}

/* What the row counts once the write in progress has taken effect. */
static uint64_t
granted_after(const struct program *p)
{
	return p->write.returning ? p->ledger.granted - p->write.amount
				  : p->ledger.granted + p->write.amount;
}

static void
on_written(void *arg, const Mu__StoreResult *r)
{
	struct program *p = arg;

	p->request_in_flight = false;
	switch (r->status) {
	case MU__STORE_RESULT__STATUS__DONE:
		p->ver = r->ver;
		p->writer = p->accounts->conf.incarnation;
		p->row_draw = p->write.number;
		apply_write(p, granted_after(p));
		break;
	case MU__STORE_RESULT__STATUS__CONFLICT:
		apply_row(p, r);
		if (took_effect(p, p->write.number))
			apply_write(p, p->ledger.granted);
		else /* it may have taken effect before the latest write */
			forfeit_return(p);
		p->unresolved.number = 0;
		break;
	default:
		mu_log(MU_LOG_WARN, "home", "draw_failed", "{s:s,s:i,s:b}",
		    "program", mu_scope_plain(p->id), "status", (int)r->status,
		    "returning", p->write.returning);
		if (r->status != MU__STORE_RESULT__STATUS__INVALID) {
			mark_unresolved(p);
			break;
		}
		/* A retry would be rejected again. */
		forfeit_return(p);
		mu_account_fail_waiters(p);
		break;
	}
	p->row_current = true;
	mu_account_serve(p);
}

static void
on_reread(void *arg, const Mu__StoreResult *r)
{
	struct program *p = arg;

	p->request_in_flight = false;
	p->row_current = true;
	if (r->status == MU__STORE_RESULT__STATUS__DONE)
		apply_row(p, r);
	else
		mu_account_fail_waiters(p);
	mu_account_serve(p);
}

void
mu_account_reread(struct program *p, mu_us deadline)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	char to[MU_STORE_KEY_BYTES + 2];

	p->request_in_flight = true;
	(void)snprintf(to, sizeof(to), "%s!", p->id);
	op.kind = MU__STORE_OP__KIND__READ;
	op.table = (char *)(uintptr_t)MU_ACCOUNT_TABLE;
	op.part = (char *)(uintptr_t)mu_account_partition(p);
	op.from = p->id;
	op.to = to;
	op.limit = 1;
	mu_store_run(p->accounts->store, &op, deadline, on_reread, p);
}

static void
write_row(struct program *p, uint64_t granted, mu_us deadline)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow on = MU__STORE_ROW__INIT, put = MU__STORE_ROW__INIT;
	Mu__StoreRow *ons[] = {&on}, *puts[] = {&put};
	Mu__LedgerRow row = MU__LEDGER_ROW__INIT;
	uint8_t value[64];

	p->request_in_flight = true;
	row.budget = p->ledger.budget;
	row.granted = granted;
	row.released = p->ledger.released;
	row.lent = p->ledger.lent;
	row.writer = p->accounts->conf.incarnation;
	row.draw = p->write.number;
	on.table = put.table = (char *)(uintptr_t)MU_ACCOUNT_TABLE;
	on.part = put.part = (char *)(uintptr_t)mu_account_partition(p);
	on.key = put.key = p->id;
	on.ver = p->ver;
	put.value.data = value;
	put.value.len = mu__ledger_row__pack(&row, value);
	op.kind = MU__STORE_OP__KIND__WRITE;
	op.n_expected = op.n_put = 1;
	op.expected = ons;
	op.put = puts;
	mu_count(MU_M_BUDGET_DRAWS, 1);
	mu_store_run(p->accounts->store, &op, deadline, on_written, p);
}

/*
 * Draws or returns amount.  If an earlier write had no answer, repeats that
 * one unchanged instead.  This is also needed when no turn waits: other
 * daemons see this one alive and expect it to return what that write may have
 * drawn.
 */
static void
start_write(struct program *p, uint64_t amount, bool returning, mu_us deadline)
{
	if (p->unresolved.number != 0)
		p->write = p->unresolved;
	else
		p->write = (struct mu_account_write){
		    ++p->last_write, amount, returning};
	write_row(p, granted_after(p), deadline);
}

void
mu_account_draw(struct program *p, uint64_t amount, mu_us deadline)
{
	mu_us limit = mu_loop_now(p->accounts->loop) + DRAW_TIMEOUT_US;

	/* Without a loan to fall back on, giving up would only put the draw at
	 * the end of the partition's queue again. */
	if (p->guarantor_refused != MU_REFUSED_NOTHING)
		limit = deadline;
	start_write(p, amount, false, limit < deadline ? limit : deadline);
}

/* Whether unused tokens may be returned: the program pauses, or goes on at
 * another daemon. */
static bool
may_return(struct program *p)
{
	return p->accounts->leaving || cds_list_empty(&p->reservations);
}

/* Returns unused tokens. */
void
mu_account_on_return_timer(void *arg)
{
	struct program *p = arg;
	uint64_t amount =
	    mu_ledger_returnable(&p->ledger, p->accounts->leaving);

	if (p->request_in_flight || !may_return(p) ||
	    (amount == 0 && p->unresolved.number == 0))
		return;
	start_write(p, amount, true,
	    mu_loop_now(p->accounts->loop) + RETURN_TIMEOUT_US);
}

void
mu_account_schedule_return(struct program *p)
{
	mu_us now = mu_loop_now(p->accounts->loop);

	if (!may_return(p))
		mu_timer_clear(p->accounts->loop, &p->return_timer);
	else
		mu_timer_set(p->accounts->loop, &p->return_timer,
		    p->accounts->leaving ? now : now + RETURN_DELAY_US);
}
