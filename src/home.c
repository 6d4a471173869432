/*
 * home.c -- where a program's budget and recent history are kept in memory.
 *
 * A turn begins with a reservation at the program's home and ends with what it
 * used.  The home is picked among the daemons of the failure domain that are
 * up, so that no history crosses to another domain.  When the home's link
 * ends or it does not answer in time, the daemon reserves for itself: it draws
 * its own share of the budget (ledger.c) and reads the history from the store.
 * Nothing has to be taken over.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hmap.h"
#include "home.h"
#include "ledger.h"
#include "log.h"
#include "metric.h"

#define TABLE "budgets"
#define PARTS 16 /* the platform runs 200 writes a second in a part */
#define HOME_WAIT_US \
	(1 * MU_US_PER_S) /* some draws of a slow store; that the \
			     home is gone is told by its link */
#define PAUSE_US \
	(400 * MU_US_PER_MS) /* without a turn: what is left is given \
				back; most pauses of callers are \
				shorter */
#define RETURN_LIMIT_US (3 * MU_US_PER_S)
#define FORGET_US \
	(90 * MU_US_PER_S) /* idle programs; longer than any pause \
			    */
#define SWEEP_US (10 * MU_US_PER_S)
#define KEY_BYTES 200 /* longest key of the store */

struct program {
	struct mu_hnode node;
	struct mu_home *home;
	char id[KEY_BYTES + 1];
	struct mu_ledger ledger;
	uint64_t ver; /* of the row; 0: not known to exist */
	uint64_t draw; /* number of the last draw */
	uint64_t amount; /* of the draw in progress */
	uint64_t lost_draw; /* number of a draw without an answer; 0: none */
	uint64_t lost_amount;
	bool drawing; /* or giving back */
	bool returning;
	uint64_t writer; /* incarnation that wrote the row last */
	mu_us used_at;
	struct mu_timer pause;
	struct cds_list_head waiters; /* turns that wait for a reservation */
	struct cds_list_head holds; /* turns that have one */
	struct cds_list_head all;
};

/* A turn that waits for its reservation or has it. */
struct hold {
	struct cds_list_head node;
	char turn[KEY_BYTES + 1];
	uint64_t most;
	mu_us deadline;
	mu_begin_fn fn;
	void *arg;
};

struct mu_home {
	struct mu_loop *loop;
	struct mu_store *store;
	struct mu_reaper *reaper;
	struct mu_mesh *mesh;
	struct mu_history *history;
	struct mu_home_conf conf;
	struct mu_hmap programs;
	struct cds_list_head all;
	char part[PARTS][8];
	struct mu_timer sweep;
	bool leaving;
};

static void serve(struct program *p);
static void on_pause(void *arg);
static void settle_here(
    struct mu_home *h, const char *program, const char *turn, uint64_t used);
static void settle_there(struct mu_home *h, const struct mu_grant *grant,
    const char *program, const char *turn, uint64_t used,
    const Mu__TurnRecord *rec);

uint64_t
mu_home_weight(const char *host, const char *key)
{
	uint64_t z = mu_hash(host) ^ (mu_hash(key) * 0x9e3779b97f4a7c15ULL);

	/* Finalizer of splitmix64: all bits of both hashes count. */
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

static void
program_free(struct program *p)
{
	struct hold *w, *next;

	cds_list_for_each_entry_safe (w, next, &p->holds, node)
		free(w);
	mu_timer_clear(p->home->loop, &p->pause);
	mu_hmap_del(&p->home->programs, &p->node);
	cds_list_del(&p->all);
	free(p);
}

static void
on_sweep(void *arg)
{
	struct mu_home *h = arg;
	mu_us now = mu_loop_now(h->loop);
	struct program *p, *next;

	cds_list_for_each_entry_safe (p, next, &h->all, all)
		if (!p->drawing && cds_list_empty(&p->waiters) &&
		    now - p->used_at > FORGET_US)
			program_free(p);
	mu_timer_set(h->loop, &h->sweep, now + SWEEP_US);
}

struct mu_home *
mu_home_new(struct mu_loop *l, struct mu_store *s, struct mu_reaper *reaper,
    struct mu_mesh *m, struct mu_history *history,
    const struct mu_home_conf *conf)
{
	struct mu_home *h = calloc(1, sizeof(*h));
	unsigned i;

	if (h == NULL || mu_hmap_init(&h->programs) != 0) {
		free(h);
		return NULL;
	}
	h->loop = l;
	h->store = s;
	h->reaper = reaper;
	h->mesh = m;
	h->history = history;
	h->conf = *conf;
	CDS_INIT_LIST_HEAD(&h->all);
	for (i = 0; i < PARTS; i++)
		(void)snprintf(h->part[i], sizeof(h->part[i]), "b%u", i);
	h->sweep.fn = on_sweep;
	h->sweep.arg = h;
	mu_timer_set(l, &h->sweep, mu_loop_now(l) + SWEEP_US);
	return h;
}

void
mu_home_free(struct mu_home *h)
{
	struct program *p, *next;

	if (h == NULL)
		return;
	cds_list_for_each_entry_safe (p, next, &h->all, all)
		program_free(p);
	mu_timer_clear(h->loop, &h->sweep);
	mu_hmap_clear(&h->programs);
	free(h);
}

/* Budgets that this daemon draws. */

static struct program *
find_program(struct mu_home *h, const char *id)
{
	struct mu_hnode *n = mu_hmap_find(&h->programs, id);

	return n != NULL ? MU_OWNER(n, struct program, node) : NULL;
}

static struct program *
get_program(struct mu_home *h, const char *id, uint64_t budget)
{
	struct program *p = find_program(h, id);

	if (p == NULL) {
		p = calloc(1, sizeof(*p));
		if (p == NULL)
			abort();
		p->home = h;
		(void)snprintf(p->id, sizeof(p->id), "%s", id);
		p->node.key = p->id;
		CDS_INIT_LIST_HEAD(&p->waiters);
		CDS_INIT_LIST_HEAD(&p->holds);
		p->pause.fn = on_pause;
		p->pause.arg = p;
		mu_hmap_add(&h->programs, &p->node);
		cds_list_add(&p->all, &h->all);
	}
	p->ledger.budget = budget;
	p->used_at = mu_loop_now(h->loop);
	return p;
}

static void
answer(struct hold *w, enum mu_begin_status st)
{
	mu_begin_fn fn = w->fn;
	void *arg = w->arg;

	cds_list_del(&w->node);
	free(w);
	fn(arg, st);
}

static void
answer_all(struct program *p, enum mu_begin_status st)
{
	while (!cds_list_empty(&p->waiters))
		answer(
		    cds_list_first_entry(&p->waiters, struct hold, node), st);
}

/* The reservation is made; the turn keeps it until it is settled. */
static void
answer_held(struct program *p, struct hold *w)
{
	cds_list_del(&w->node);
	cds_list_add(&w->node, &p->holds);
	w->fn(w->arg, MU_BEGIN_OK);
}

/* Takes over what the row says now; true when this draw was applied. */
static bool
adopt(struct program *p, const Mu__StoreResult *r)
{
	Mu__LedgerRow *row = NULL;
	bool mine = false;

	p->ver = 0;
	p->ledger.granted = 0;
	if (r->n_rows > 0 && !r->rows[0]->removed && r->rows[0]->ver != 0) {
		p->ver = r->rows[0]->ver;
		row = mu__ledger_row__unpack(
		    NULL, r->rows[0]->value.len, r->rows[0]->value.data);
	}
	if (row != NULL) {
		mine = row->writer == p->home->conf.incarnation &&
		       row->draw == p->draw;
		p->ledger.granted = row->granted;
		p->writer = row->writer;
		if (row->writer == p->home->conf.incarnation &&
		    row->draw == p->lost_draw)
			mu_ledger_drawn(
			    &p->ledger, p->lost_amount, row->granted);
		p->lost_draw = 0;
		mu__ledger_row__free_unpacked(row, NULL);
	} else if (p->ver != 0) {
		mu_log(MU_LOG_ERROR, "home", "budget_row_unreadable", "{s:s}",
		    "program", p->id);
		p->ledger.granted = p->ledger.budget;
	}
	return mine;
}

/* A draw, or a return, took effect. */
static void
wrote(struct program *p, uint64_t granted)
{
	if (p->returning)
		mu_ledger_returned(&p->ledger, p->amount, granted);
	else
		mu_ledger_drawn(&p->ledger, p->amount, granted);
}

/* A draw had no answer: the row tells later whether it took effect. */
static void
lose_draw(struct program *p)
{
	p->lost_draw = p->draw;
	p->lost_amount = p->amount;
	answer_all(p, MU_BEGIN_UNAVAILABLE);
}

static void
on_drawn(void *arg, const Mu__StoreResult *r)
{
	struct program *p = arg;

	p->drawing = false;
	switch (r->status) {
	case MU__STORE_RESULT__STATUS__DONE:
		if (p->ver == 0)
			mu_reaper_add(p->home->reaper, TABLE,
			    p->home->part[mu_hash(p->id) % PARTS], p->id,
			    FORGET_US);
		p->ver = r->ver;
		p->writer = p->home->conf.incarnation;
		wrote(p, p->returning ? p->ledger.granted - p->amount
				      : p->ledger.granted + p->amount);
		break;
	case MU__STORE_RESULT__STATUS__CONFLICT:
		if (adopt(p, r))
			wrote(p, p->ledger.granted);
		break;
	default:
		/* An attempt without an answer may still be applied: the next
		 * draw meets that row as a conflict. */
		mu_log(MU_LOG_WARN, "home", "draw_failed", "{s:s,s:i}",
		    "program", p->id, "status", (int)r->status);
		if (p->returning)
			/* It may be given back yet: it is not used again. */
			mu_ledger_returned(
			    &p->ledger, p->amount, p->ledger.granted);
		else
			lose_draw(p);
		break;
	}
	p->returning = false;
	serve(p);
}

static void
write_row(struct program *p, uint64_t granted, mu_us deadline)
{
	Mu__StoreOp op = MU__STORE_OP__INIT;
	Mu__StoreRow on = MU__STORE_ROW__INIT, put = MU__STORE_ROW__INIT;
	Mu__StoreRow *ons[] = {&on}, *puts[] = {&put};
	Mu__LedgerRow row = MU__LEDGER_ROW__INIT;
	uint8_t value[64];

	p->drawing = true;
	p->draw++;
	row.budget = p->ledger.budget;
	row.granted = granted;
	row.writer = p->home->conf.incarnation;
	row.draw = p->draw;
	on.table = put.table = (char *)(uintptr_t)TABLE;
	on.part = put.part = p->home->part[mu_hash(p->id) % PARTS];
	on.key = put.key = p->id;
	on.ver = p->ver;
	put.value.data = value;
	put.value.len = mu__ledger_row__pack(&row, value);
	op.kind = MU__STORE_OP__KIND__WRITE;
	op.n_expected = op.n_put = 1;
	op.expected = ons;
	op.put = puts;
	mu_store_run(p->home->store, &op, deadline, on_drawn, p);
}

static void
draw(struct program *p, uint64_t amount, mu_us deadline)
{
	p->amount = amount;
	write_row(p, p->ledger.granted + amount, deadline);
}

/* Gives back what is not used, when the program pauses. */
static void
on_pause(void *arg)
{
	struct program *p = arg;
	uint64_t amount = mu_ledger_spare(&p->ledger, p->home->leaving);

	if (p->drawing || amount == 0 || !cds_list_empty(&p->holds))
		return;
	p->returning = true;
	p->amount = amount;
	write_row(p, p->ledger.granted - amount,
	    mu_loop_now(p->home->loop) + RETURN_LIMIT_US);
}

static void
plan_return(struct program *p)
{
	mu_us now = mu_loop_now(p->home->loop);

	if (!cds_list_empty(&p->holds))
		mu_timer_clear(p->home->loop, &p->pause);
	else
		mu_timer_set(p->home->loop, &p->pause,
		    p->home->leaving ? now : now + PAUSE_US);
}

/* Whether another daemon that lives has drawn from the budget and may give
 * some of it back. */
static bool
others_hold(const struct program *p)
{
	struct mu_peer *q;

	if (p->ledger.granted <= p->ledger.drawn ||
	    p->writer == p->home->conf.incarnation)
		return false;
	cds_list_for_each_entry (q, mu_mesh_peers(p->home->mesh), node)
		if (q->up && q->incarnation == p->writer)
			return true;
	return false;
}

/* Answers those who wait, in order, while the budget drawn so far lasts. */
static void
serve(struct program *p)
{
	struct mu_ledger_answer a;
	struct hold *w;

	while (!p->drawing && !cds_list_empty(&p->waiters)) {
		w = cds_list_first_entry(&p->waiters, struct hold, node);
		a = mu_ledger_reserve(&p->ledger, w->most);
		switch (a.kind) {
		case MU_LEDGER_RESERVED:
			answer_held(p, w);
			break;
		case MU_LEDGER_DRAW:
			draw(p, a.draw, w->deadline);
			break;
		case MU_LEDGER_EXHAUSTED:
			mu_log(MU_LOG_INFO, "home", "budget_exhausted",
			    "{s:s,s:I,s:I,s:I,s:I,s:I}", "program", p->id,
			    "budget", (json_int_t)p->ledger.budget, "granted",
			    (json_int_t)p->ledger.granted, "spent_here",
			    (json_int_t)p->ledger.spent, "reserved_here",
			    (json_int_t)p->ledger.reserved, "most",
			    (json_int_t)w->most);
			answer(w, others_hold(p) ? MU_BEGIN_UNAVAILABLE
						 : MU_BEGIN_EXHAUSTED);
			break;
		}
	}
	if (!p->drawing)
		plan_return(p);
}

static void
reserve_here(struct mu_home *h, const char *program, const char *turn,
    uint64_t budget, uint64_t most, mu_us deadline, mu_begin_fn fn, void *arg)
{
	struct program *p = get_program(h, program, budget);
	struct hold *w = calloc(1, sizeof(*w));

	if (w == NULL)
		abort();
	(void)snprintf(w->turn, sizeof(w->turn), "%s", turn);
	w->most = most;
	w->deadline = deadline;
	w->fn = fn;
	w->arg = arg;
	cds_list_add_tail(&w->node, &p->waiters);
	serve(p);
}

/* Beginning a turn. */

struct begin {
	struct mu_home *h;
	struct mu_begin b;
	char program[KEY_BYTES + 1];
	char turn[KEY_BYTES + 1];
	char previous[KEY_BYTES + 1];
	struct mu_grant *grant;
	mu_begin_fn fn;
	void *arg;
};

static void
begin_end(struct begin *g, enum mu_begin_status st)
{
	mu_begin_fn fn = g->fn;
	void *arg = g->arg;

	if (st != MU_BEGIN_OK && g->grant->held)
		mu_home_settle(g->h, g->grant, g->program, "", 0, NULL);
	free(g);
	fn(arg, st);
}

static void
on_history(void *arg, enum mu_history_status st)
{
	struct begin *g = arg;

	switch (st) {
	case MU_HISTORY_OK:
		begin_end(g, MU_BEGIN_OK);
		break;
	case MU_HISTORY_NOT_FOUND:
		begin_end(g, MU_BEGIN_NO_TURN);
		break;
	case MU_HISTORY_UNAVAILABLE:
		begin_end(g, MU_BEGIN_UNAVAILABLE);
		break;
	}
}

static void
need_history(struct begin *g)
{
	if (*g->previous == '\0' ||
	    mu_history_whole(g->h->history, g->previous))
		begin_end(g, MU_BEGIN_OK);
	else
		mu_history_fetch(g->h->history, g->previous, g->b.keep,
		    g->b.deadline, on_history, g);
}

static void
on_reserved_here(void *arg, enum mu_begin_status st)
{
	struct begin *g = arg;

	if (st != MU_BEGIN_OK) {
		begin_end(g, st);
		return;
	}
	g->grant->held = true;
	g->grant->remote = false;
	g->grant->incarnation = g->h->conf.incarnation;
	need_history(g);
}

static void
keep_history(struct begin *g, const ProtobufCBinaryData *bytes)
{
	Mu__TurnRecords *all;
	size_t i;

	if (bytes->len == 0)
		return;
	all = mu__turn_records__unpack(NULL, bytes->len, bytes->data);
	if (all == NULL)
		return;
	for (i = 0; i < all->n_records; i++) {
		mu_history_keep(g->h->history, all->records[i], g->b.keep);
		all->records[i] = NULL;
	}
	all->n_records = 0;
	mu__turn_records__free_unpacked(all, NULL);
}

static void
on_granted(void *arg, const Mu__Frame *f)
{
	struct begin *g = arg;

	if (f == NULL) {
		mu_log(MU_LOG_INFO, "home", "home_silent", "{s:s,s:s}",
		    "program", g->program, "host", g->grant->host);
		/* If it reserves yet, it must not keep it. */
		settle_there(g->h, g->grant, g->program, g->turn, 0, NULL);
		reserve_here(g->h, g->program, g->turn, g->b.budget, g->b.most,
		    g->b.deadline, on_reserved_here, g);
		return;
	}
	switch (f->granted->status) {
	case MU__GRANTED__STATUS__OK:
		g->grant->held = true;
		g->grant->remote = true;
		keep_history(g, &f->granted->history);
		need_history(g);
		break;
	case MU__GRANTED__STATUS__EXHAUSTED:
		begin_end(g, MU_BEGIN_EXHAUSTED);
		break;
	default:
		begin_end(g, MU_BEGIN_UNAVAILABLE);
		break;
	}
}

/* The daemon that is home to a program; NULL: this one. */
static struct mu_peer *
home_of(struct mu_home *h, const char *program)
{
	uint64_t best = mu_home_weight(h->conf.host, program), w;
	struct mu_peer *p, *home = NULL;

	cds_list_for_each_entry (p, mu_mesh_peers(h->mesh), node) {
		if (!p->up || p->leaving ||
		    strcmp(p->domain, h->conf.domain) != 0)
			continue;
		w = mu_home_weight(p->host, program);
		if (w > best) {
			best = w;
			home = p;
		}
	}
	return home;
}

static bool
ask_home(struct begin *g, struct mu_peer *p)
{
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Begin b = MU__BEGIN__INIT;
	mu_us until = mu_loop_now(g->h->loop) + HOME_WAIT_US;

	(void)snprintf(g->grant->host, sizeof(g->grant->host), "%s", p->host);
	g->grant->incarnation = p->incarnation;
	b.program = g->program;
	b.budget = g->b.budget;
	b.most = g->b.most;
	b.turn = g->turn;
	b.previous = g->previous;
	b.need_history = *g->previous != '\0' &&
			 !mu_history_whole(g->h->history, g->previous);
	f.body_case = MU__FRAME__BODY_BEGIN;
	f.begin = &b;
	return mu_mesh_ask(g->h->mesh, p, &f,
	    until < g->b.deadline ? until : g->b.deadline, on_granted, g);
}

void
mu_home_begin(struct mu_home *h, const struct mu_begin *b,
    struct mu_grant *grant, mu_begin_fn fn, void *arg)
{
	struct begin *g = calloc(1, sizeof(*g));
	struct mu_peer *p;

	if (g == NULL)
		abort();
	g->h = h;
	g->b = *b;
	g->grant = grant;
	g->fn = fn;
	g->arg = arg;
	memset(grant, 0, sizeof(*grant));
	(void)snprintf(g->program, sizeof(g->program), "%s", b->program);
	(void)snprintf(g->turn, sizeof(g->turn), "%s", b->turn);
	(void)snprintf(g->previous, sizeof(g->previous), "%s",
	    b->previous != NULL ? b->previous : "");
	if (*g->program == '\0') {
		need_history(g);
		return;
	}
	p = home_of(h, g->program);
	if (p != NULL && ask_home(g, p))
		return;
	reserve_here(h, g->program, g->turn, b->budget, b->most, b->deadline,
	    on_reserved_here, g);
}

/* Ending a turn. */

static struct hold *
find_hold(struct cds_list_head *list, const char *turn)
{
	struct hold *w;

	cds_list_for_each_entry (w, list, node)
		if (strcmp(w->turn, turn) == 0)
			return w;
	return NULL;
}

static void
settle_here(
    struct mu_home *h, const char *program, const char *turn, uint64_t used)
{
	struct program *p = find_program(h, program);
	struct hold *w;

	if (p == NULL)
		return;
	p->used_at = mu_loop_now(h->loop);
	w = find_hold(&p->holds, turn);
	if (w != NULL) {
		mu_ledger_settle(&p->ledger, w->most, used);
		cds_list_del(&w->node);
		free(w);
	} else if ((w = find_hold(&p->waiters, turn)) != NULL) {
		answer(w, MU_BEGIN_UNAVAILABLE);
	}
	if (!p->drawing)
		serve(p);
}

static void
settle_there(struct mu_home *h, const struct mu_grant *grant,
    const char *program, const char *turn, uint64_t used,
    const Mu__TurnRecord *rec)
{
	struct mu_peer *p = mu_mesh_peer(h->mesh, grant->host);
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Settle s = MU__SETTLE__INIT;

	/* A home that has been replaced knows nothing of this turn: it counts
	 * as used up. */
	if (p == NULL || p->incarnation != grant->incarnation)
		return;
	s.program = (char *)(uintptr_t)program;
	s.turn = (char *)(uintptr_t)turn;
	s.used = used;
	if (rec != NULL) {
		s.record.len = mu__turn_record__get_packed_size(rec);
		s.record.data = malloc(s.record.len + 1);
		if (s.record.data == NULL)
			s.record.len = 0;
		else
			(void)mu__turn_record__pack(rec, s.record.data);
	}
	f.body_case = MU__FRAME__BODY_SETTLE;
	f.settle = &s;
	(void)mu_mesh_send(h->mesh, p, &f);
	free(s.record.data);
}

void
mu_home_settle(struct mu_home *h, struct mu_grant *grant, const char *program,
    const char *turn, uint64_t used, const Mu__TurnRecord *rec)
{
	if (!grant->held)
		return;
	grant->held = false;
	if (grant->remote)
		settle_there(h, grant, program, turn, used, rec);
	else
		settle_here(h, program, turn, used);
}

/* Requests of other daemons. */

struct remote_begin {
	struct mu_home *h;
	struct mu_mesh_link *from;
	uint64_t id;
	char program[KEY_BYTES + 1];
	char turn[KEY_BYTES + 1];
	char previous[KEY_BYTES + 1];
	bool need_history;
};

/* Packs the records of a history that is whole in memory. */
static void
pack_history(struct mu_home *h, const char *turn, ProtobufCBinaryData *out)
{
	const Mu__TurnRecord *last = mu_history_find(h->history, turn);
	Mu__TurnRecords all = MU__TURN_RECORDS__INIT;
	size_t i;

	all.records = calloc(last->n_ancestors + 1, sizeof(Mu__TurnRecord *));
	if (all.records == NULL)
		return;
	for (i = 0; i < last->n_ancestors; i++)
		all.records[i] = (Mu__TurnRecord *)(uintptr_t)mu_history_find(
		    h->history, last->ancestors[i]);
	all.records[i] = (Mu__TurnRecord *)(uintptr_t)last;
	all.n_records = last->n_ancestors + 1;
	out->len = mu__turn_records__get_packed_size(&all);
	out->data = malloc(out->len + 1);
	if (out->data != NULL)
		(void)mu__turn_records__pack(&all, out->data);
	else
		out->len = 0;
	free(all.records);
}

static void
on_reserved_for_peer(void *arg, enum mu_begin_status st)
{
	struct remote_begin *q = arg;
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Granted g = MU__GRANTED__INIT;

	g.id = q->id;
	g.status = st == MU_BEGIN_OK ? MU__GRANTED__STATUS__OK
		   : st == MU_BEGIN_EXHAUSTED
		       ? MU__GRANTED__STATUS__EXHAUSTED
		       : MU__GRANTED__STATUS__UNAVAILABLE;
	if (st == MU_BEGIN_OK && q->need_history &&
	    mu_history_whole(q->h->history, q->previous))
		pack_history(q->h, q->previous, &g.history);
	f.body_case = MU__FRAME__BODY_GRANTED;
	f.granted = &g;
	if (!mu_mesh_reply(q->from, &f) && st == MU_BEGIN_OK)
		settle_here(q->h, q->program, q->turn, 0);
	mu_mesh_release(q->from);
	free(g.history.data);
	free(q);
}

void
mu_home_on_begin(
    struct mu_home *h, struct mu_mesh_link *from, const Mu__Begin *b)
{
	struct remote_begin *q = calloc(1, sizeof(*q));

	if (q == NULL)
		abort();
	q->h = h;
	q->from = mu_mesh_hold(from);
	q->id = b->id;
	q->need_history = b->need_history;
	(void)snprintf(q->program, sizeof(q->program), "%s", b->program);
	(void)snprintf(q->turn, sizeof(q->turn), "%s", b->turn);
	(void)snprintf(q->previous, sizeof(q->previous), "%s", b->previous);
	reserve_here(h, b->program, b->turn, b->budget, b->most,
	    mu_loop_now(h->loop) + HOME_WAIT_US, on_reserved_for_peer, q);
}

void
mu_home_on_settle(struct mu_home *h, const Mu__Settle *s)
{
	Mu__TurnRecord *rec;

	settle_here(h, s->program, s->turn, s->used);
	if (s->record.len == 0)
		return;
	rec = mu__turn_record__unpack(NULL, s->record.len, s->record.data);
	if (rec != NULL)
		mu_history_keep(h->history, rec, FORGET_US);
}

void
mu_home_leave(struct mu_home *h)
{
	struct program *p;

	h->leaving = true;
	cds_list_for_each_entry (p, &h->all, all)
		if (!p->drawing)
			plan_return(p);
}
