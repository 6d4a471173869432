/*
 * follow.c -- follows a table of the store.
 *
 * The table is read page by page into a list that the follower replaces as a
 * whole, and then changes are asked for after the version of that reading.
 * When the store has dropped its history the table is read again.  A table
 * that changes all the time is asked in intervals, without waiting: a call
 * that waits would end at every change.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "follow.h"
#include "log.h"

#define OP_LIMIT_US (3 * MU_US_PER_S) /* of one reading, retries included */
#define AGAIN_US (100 * MU_US_PER_MS) /* after a reading that failed */

struct mu_follow {
	struct mu_loop *loop;
	struct mu_store *store;
	struct mu_follow_conf conf;
	struct mu_timer timer;
	bool listed;
	bool listing;
	uint64_t ver; /* changes after this one are asked for */
	uint64_t list_ver; /* of the first page of the reading */
	char *from; /* of the next page */
	mu_us heard;
};

static void ask(void *arg);

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
	f->timer.fn = ask;
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
	free(f->from);
	free(f);
}

mu_us
mu_follow_age(const struct mu_follow *f)
{
	return f->heard == 0 ? MU_US_NEVER : mu_loop_now(f->loop) - f->heard;
}

static void
ask_after(struct mu_follow *f, mu_us d)
{
	mu_timer_set(f->loop, &f->timer, mu_loop_now(f->loop) + d);
}

static void
list_page(struct mu_follow *f, const Mu__StoreResult *r)
{
	size_t i;

	if (f->from == NULL) {
		f->list_ver = r->ver;
		f->conf.list_begin(f->conf.arg);
	}
	for (i = 0; i < r->n_rows; i++)
		if (f->from == NULL || strcmp(r->rows[i]->key, f->from) != 0)
			f->conf.row(f->conf.arg, r->rows[i]);
	if (r->more && r->n_rows > 0) {
		free(f->from);
		f->from = strdup(r->rows[r->n_rows - 1]->key);
		ask_after(f, 0);
		return;
	}
	free(f->from);
	f->from = NULL;
	f->listed = true;
	f->ver = f->list_ver;
	f->conf.list_end(f->conf.arg);
	ask_after(f, f->conf.every_ms * MU_US_PER_MS);
}

static void
changes(struct mu_follow *f, const Mu__StoreResult *r)
{
	size_t i;

	for (i = 0; i < r->n_rows; i++)
		f->conf.row(f->conf.arg, r->rows[i]);
	if (r->ver > f->ver)
		f->ver = r->ver;
	ask_after(f, f->conf.every_ms * MU_US_PER_MS);
}

static void
on_result(void *arg, const Mu__StoreResult *r)
{
	struct mu_follow *f = arg;

	switch (r->status) {
	case MU__STORE_RESULT__STATUS__DONE:
		f->heard = mu_loop_now(f->loop);
		if (f->listing)
			list_page(f, r);
		else
			changes(f, r);
		break;
	case MU__STORE_RESULT__STATUS__HISTORY_GONE:
		mu_log(MU_LOG_INFO, "follow", "history_gone", "{s:s,s:I}",
		    "table", f->conf.table, "after", (json_int_t)f->ver);
		f->listed = false;
		ask_after(f, 0);
		break;
	default:
		mu_log(MU_LOG_WARN, "follow", "read_failed", "{s:s,s:i}",
		    "table", f->conf.table, "status", (int)r->status);
		ask_after(f, AGAIN_US);
		break;
	}
}

static void
ask(void *arg)
{
	struct mu_follow *f = arg;
	Mu__StoreOp op = MU__STORE_OP__INIT;

	op.table = (char *)(uintptr_t)f->conf.table;
	f->listing = !f->listed;
	if (f->listing) {
		op.kind = MU__STORE_OP__KIND__READ;
		if (f->from != NULL)
			op.from = f->from;
	} else {
		op.kind = MU__STORE_OP__KIND__FEED;
		op.after = f->ver;
		op.wait_ms = f->conf.wait_ms;
	}
	mu_store_run(f->store, &op,
	    mu_loop_now(f->loop) + OP_LIMIT_US + op.wait_ms * MU_US_PER_MS,
	    on_result, f);
}
