/*
 * follow.c -- follows a table of the store.
 *
 * The table is read page by page, and its rows replace all that the user of
 * this module held.  Then changes after the version of that read are
 * requested.  If the store has dropped the history since that version, the
 * table is read again.  A table that changes continually is polled at
 * intervals: a request that waits for a change would return at every change.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "follow.h"
#include "log.h"

#define REQUEST_TIMEOUT_US (3 * MU_US_PER_S) /* includes retries */
#define RETRY_INTERVAL_US (100 * MU_US_PER_MS) /* after a failure */

struct mu_follow {
	struct mu_loop *loop;
	struct mu_store *store;
	struct mu_follow_conf conf;
	struct mu_timer timer;
	bool list_complete;
	bool reading_list;
	uint64_t ver; /* changes after this version are requested */
	uint64_t list_ver; /* version of the first page of the current read */
	/* First key of the next page, which is the last one of the previous. */
	char *page_start;
	mu_us last_result_at;
};

static void send_request(void *arg);

struct mu_follow *
mu_follow_new(
    struct mu_loop *l, struct mu_store *s, const struct mu_follow_conf *conf)
{
	struct mu_follow *f = calloc(1, sizeof(*f));

	if (f == NULL)
		return NULL;
	f->loop = l;
	f->store = s;
	f->conf = *conf;
	f->timer.fn = send_request;
	f->timer.arg = f;
	mu_timer_set(l, &f->timer, mu_loop_now(l));
	return f;
}

void
mu_follow_free(struct mu_follow *f)
{
	if (f == NULL)
		return;
	mu_timer_clear(f->loop, &f->timer);
	free(f->page_start);
	free(f);
}

mu_us
mu_follow_age(const struct mu_follow *f)
{
	return f->last_result_at == 0
		   ? MU_US_NEVER
		   : mu_loop_now(f->loop) - f->last_result_at;
}

static void
schedule_request(struct mu_follow *f, mu_us d)
{
	mu_timer_set(f->loop, &f->timer, mu_loop_now(f->loop) + d);
}

static void
apply_page(struct mu_follow *f, const Mu__StoreResult *r)
{
	size_t i;

	if (f->page_start == NULL) {
		f->list_ver = r->ver;
		f->conf.list_begin(f->conf.arg);
	}
	for (i = 0; i < r->n_rows; i++)
		if (f->page_start == NULL ||
		    strcmp(r->rows[i]->key, f->page_start) != 0)
			f->conf.row(f->conf.arg, r->rows[i]);
	if (r->more && r->n_rows > 0) {
		free(f->page_start);
		f->page_start = strdup(r->rows[r->n_rows - 1]->key);
		schedule_request(f, 0);
		return;
	}
	free(f->page_start);
	f->page_start = NULL;
	f->list_complete = true;
	f->ver = f->list_ver;
	f->conf.list_end(f->conf.arg);
	schedule_request(f, f->conf.poll_interval_ms * MU_US_PER_MS);
}

static void
apply_changes(struct mu_follow *f, const Mu__StoreResult *r)
{
	size_t i;

	for (i = 0; i < r->n_rows; i++)
		f->conf.row(f->conf.arg, r->rows[i]);
	if (r->ver > f->ver)
		f->ver = r->ver;
	schedule_request(f, f->conf.poll_interval_ms * MU_US_PER_MS);
}

static void
on_result(void *arg, const Mu__StoreResult *r)
{
	struct mu_follow *f = arg;

	switch (r->status) {
	case MU__STORE_RESULT__STATUS__DONE:
		f->last_result_at = mu_loop_now(f->loop);
		if (f->reading_list)
			apply_page(f, r);
		else
			apply_changes(f, r);
		break;
	case MU__STORE_RESULT__STATUS__HISTORY_GONE:
		mu_log(MU_LOG_INFO, "follow", "history_gone", "{s:s,s:I}",
		    "table", f->conf.table, "after", (json_int_t)f->ver);
		f->list_complete = false;
		schedule_request(f, 0);
		break;
	default:
		mu_log(MU_LOG_WARN, "follow", "read_failed", "{s:s,s:i}",
		    "table", f->conf.table, "status", (int)r->status);
		schedule_request(f, RETRY_INTERVAL_US);
		break;
	}
}

static void
send_request(void *arg)
{
	struct mu_follow *f = arg;
	Mu__StoreOp op = MU__STORE_OP__INIT;

	op.table = (char *)(uintptr_t)f->conf.table;
	f->reading_list = !f->list_complete;
	if (f->reading_list) {
		op.kind = MU__STORE_OP__KIND__READ;
		if (f->page_start != NULL)
			op.from = f->page_start;
	} else {
		op.kind = MU__STORE_OP__KIND__FEED;
		op.after = f->ver;
		op.wait_ms = f->conf.wait_ms;
	}
	mu_store_run(f->store, &op,
	    mu_loop_now(f->loop) + REQUEST_TIMEOUT_US +
		op.wait_ms * MU_US_PER_MS,
	    on_result, f);
}
