/*
 * bootstrap.c -- detects the first start of the fleet (bootstrap).
 *
 * The first daemon that reads the table of daemons adds the fleet row, with
 * the bootstrap open.  The daemons that start with it close the bootstrap
 * after a few seconds, and so does one that finds it open although its host
 * had an earlier process.  A daemon is on the first start of the fleet if it
 * finds neither a closed fleet row nor a row of an earlier process of its host.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "bootstrap.h"
#include "log.h"

/* Not a valid host name, so no daemon row has this key. */
#define FLEET_KEY "/fleet"
/* Hosts of a new fleet start within a second of each other. */
#define BOOTSTRAP_WINDOW_US (5 * MU_US_PER_S)
#define WRITE_TIMEOUT_US (2 * MU_US_PER_S)
#define RETRY_INTERVAL_US (1 * MU_US_PER_S)

enum fleet_row_state {
	FLEET_ABSENT,
	FLEET_BOOTSTRAP_OPEN,
	FLEET_BOOTSTRAP_CLOSED
};

struct mu_bootstrap {
	struct mu_loop *loop;
	struct mu_store *store;
	struct mu_bootstrap_conf conf;
	struct mu_timer close_timer;
	enum fleet_row_state row_state;
	bool had_predecessor; /* an earlier process of this host has a row */
	bool decided;
};

static void
on_close_written(void *arg, const Mu__StoreResult *r)
{
	struct mu_bootstrap *f = arg;

	if (r->status == MU__STORE_RESULT__STATUS__DONE) {
		f->row_state = FLEET_BOOTSTRAP_CLOSED;
		return;
	}
	mu_log(MU_LOG_WARN, "founding", "close_failed", "{s:i}", "status",
	    (int)r->status);
	mu_timer_set(
	    f->loop, &f->close_timer, mu_loop_now(f->loop) + RETRY_INTERVAL_US);
}

static void
on_open_written(void *arg __attribute__((unused)), const Mu__StoreResult *r)
{
	/* On a conflict another daemon has added the row. */
	if (r->status != MU__STORE_RESULT__STATUS__DONE &&
	    r->status != MU__STORE_RESULT__STATUS__CONFLICT)
		mu_log(MU_LOG_WARN, "founding", "open_failed", "{s:i}",
		    "status", (int)r->status);
}

static void
write_fleet_row(struct mu_bootstrap *f, bool open, mu_store_result_fn done)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow absent = MU__STORE_ROW__INIT, put = MU__STORE_ROW__INIT;
	Mu__StoreRow *expected[] = {&absent}, *puts[] = {&put};
	Mu__FleetRow row = MU__FLEET_ROW__INIT;
	uint8_t value[16];

	row.founding = open;
	absent.table = put.table = (char *)(uintptr_t)f->conf.table;
	absent.key = put.key = (char *)(uintptr_t)FLEET_KEY;
	put.value.data = value;
	put.value.len = mu__fleet_row__pack(&row, value);
	op.kind = MU__STORE_OP__KIND__WRITE;
	/* The bootstrap is opened only if there is no row; closing it is
	 * unconditional. */
	op.n_expected = open ? 1 : 0;
	op.expected = expected;
	op.n_put = 1;
	op.put = puts;
	mu_store_run(
	    f->store, &op, mu_loop_now(f->loop) + WRITE_TIMEOUT_US, done, f);
}

static void
on_close_timer(void *arg)
{
	struct mu_bootstrap *f = arg;

	if (f->row_state != FLEET_BOOTSTRAP_CLOSED)
		write_fleet_row(f, false, on_close_written);
}

struct mu_bootstrap *
mu_bootstrap_new(
    struct mu_loop *l, struct mu_store *s, const struct mu_bootstrap_conf *conf)
{
	struct mu_bootstrap *f = calloc(1, sizeof(*f));

	if (f == NULL)
		return NULL;
	f->loop = l;
	f->store = s;
	f->conf = *conf;
	f->close_timer.fn = on_close_timer;
	f->close_timer.arg = f;
	return f;
}

void
mu_bootstrap_free(struct mu_bootstrap *f)
{
	if (f == NULL)
		return;
	mu_timer_clear(f->loop, &f->close_timer);
	free(f);
}

bool
mu_bootstrap_on_row(struct mu_bootstrap *f, const Mu__StoreRow *row)
{
	Mu__FleetRow *v;

	if (strcmp(row->key, FLEET_KEY) != 0)
		return false;
	v = row->removed
		? NULL
		: mu__fleet_row__unpack(NULL, row->value.len, row->value.data);
	/* A row that cannot be read counts as closed. */
	f->row_state = v != NULL && v->founding ? FLEET_BOOTSTRAP_OPEN
						: FLEET_BOOTSTRAP_CLOSED;
	if (v != NULL)
		mu__fleet_row__free_unpacked(v, NULL);
	return true;
}

void
mu_bootstrap_on_daemon(struct mu_bootstrap *f, const Mu__DaemonRow *row)
{
	if (strcmp(row->host, f->conf.host) == 0 &&
	    row->incarnation != f->conf.incarnation)
		f->had_predecessor = true;
}

void
mu_bootstrap_on_list_end(struct mu_bootstrap *f)
{
	bool first_start =
	    !f->had_predecessor && f->row_state != FLEET_BOOTSTRAP_CLOSED;

	if (f->decided)
		return;
	f->decided = true;
	mu_log(MU_LOG_INFO, "founding", "decided", "{s:b,s:b,s:i}", "founder",
	    first_start, "had_predecessor", f->had_predecessor, "row",
	    (int)f->row_state);
	if (first_start && f->row_state == FLEET_ABSENT)
		write_fleet_row(f, true, on_open_written);
	mu_timer_set(f->loop, &f->close_timer,
	    mu_loop_now(f->loop) + (first_start ? BOOTSTRAP_WINDOW_US : 0));
	f->conf.decided(f->conf.arg, first_start);
}
