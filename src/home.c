/*
 * home.c -- keeps the budget and recent history of programs in memory.
 *
 * A turn reserves its budget at the program's home when it starts and reports
 * what it used when it ends.  The home is chosen among the daemons of the
 * failure domain that are up, so that no history crosses to another domain.
 * When the link to the home closes or the home does not answer in time, the
 * daemon reserves at itself: it draws its own share of the budget (account.c)
 * and reads the history from the store.  No takeover from the home is needed.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hmap.h"
#include "home.h"
#include "loans.h"
#include "log.h"
#include "scope.h"

/* Timeout of a request to the home: time for several draws from a slow store.
 * A home that has terminated is noticed earlier, as its link closes. */
#define HOME_TIMEOUT_US (1 * MU_US_PER_S)
/* Retention of records of other daemons' turns; longer than any pause between
 * turns. */
#define HISTORY_RETENTION_US (90 * MU_US_PER_S)

struct mu_home {
	struct mu_loop *loop;
	struct mu_mesh *mesh;
	struct mu_history *history;
	struct mu_accounts *accounts;
	struct mu_home_conf conf;
};

/* A turn that this daemon starts. */
struct local_start {
	struct mu_home *home;
	/* Its strings are only valid until mu_home_start_turn returns. */
	struct mu_turn_start request;
	char program[MU_STORE_KEY_BYTES + 1];
	char turn[MU_STORE_KEY_BYTES + 1];
	char previous[MU_STORE_KEY_BYTES + 1];
	struct mu_turn_reservation *grant;
	mu_turn_start_fn fn;
	void *arg;
};

/* Whether a daemon with this incarnation is up. */
static bool
peer_alive(void *arg, uint64_t incarnation)
{
	struct mu_home *h = arg;
	struct mu_peer *p;

	cds_list_for_each_entry (p, mu_mesh_peers(h->mesh), node)
		if (p->up && p->incarnation == incarnation)
			return true;
	return false;
}

static void
request_loan(
    void *arg, const struct mu_loan_request *q, mu_loan_fn fn, void *fn_arg)
{
	struct mu_home *h = arg;

	mu_loans_request(h->conf.loans, q, fn, fn_arg);
}

struct mu_home *
mu_home_new(struct mu_loop *l, struct mu_store *s, struct mu_reaper *reaper,
    struct mu_mesh *m, struct mu_history *history,
    const struct mu_home_conf *conf)
{
	struct mu_home *h = calloc(1, sizeof(*h));
	struct mu_accounts_conf ac = {
	    conf->incarnation, h, peer_alive, request_loan};

	if (h == NULL)
		return NULL;
	h->loop = l;
	h->mesh = m;
	h->history = history;
	h->conf = *conf;
	h->accounts = mu_accounts_new(l, s, reaper, &ac);
	if (h->accounts == NULL) {
		free(h);
		return NULL;
	}
	return h;
}

void
mu_home_free(struct mu_home *h)
{
	if (h == NULL)
		return;
	mu_accounts_free(h->accounts);
	free(h);
}

void
mu_home_drain(struct mu_home *h)
{
	mu_accounts_drain(h->accounts);
}

bool
mu_home_settled(const struct mu_home *h)
{
	return mu_accounts_settled(h->accounts);
}

/* The end of a turn. */

static void
send_settlement(struct mu_home *h, const struct mu_turn_reservation *grant,
    const struct mu_settlement *t)
{
	struct mu_peer *p = mu_mesh_find_peer(h->mesh, grant->host);
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Settle s = MU__SETTLE__INIT;

	/* A restarted home does not know this turn: all that its predecessor
	 * had drawn counts as spent. */
	if (p == NULL || p->incarnation != grant->incarnation)
		return;
	s.program = (char *)(uintptr_t)t->program;
	s.turn = (char *)(uintptr_t)t->turn;
	s.used = t->used;
	if (t->part != NULL) {
		s.part = (char *)(uintptr_t)t->part;
		s.endpoint = (char *)(uintptr_t)t->cached.endpoint;
		s.held = t->cached.held;
	}
	if (t->rec != NULL) {
		s.record.len = mu__turn_record__get_packed_size(t->rec);
		s.record.data = malloc(s.record.len + 1);
		if (s.record.data == NULL)
			s.record.len = 0;
		else
			(void)mu__turn_record__pack(t->rec, s.record.data);
	}
	f.body_case = MU__FRAME__BODY_SETTLE;
	f.settle = &s;
	(void)mu_mesh_send(h->mesh, p, &f);
	free(s.record.data);
}

void
mu_home_settle(struct mu_home *h, struct mu_turn_reservation *grant,
    const struct mu_settlement *t)
{
	if (!grant->held)
		return;
	grant->held = false;
	if (grant->remote) {
		send_settlement(h, grant, t);
		return;
	}
	mu_accounts_settle(h->accounts, t->program, t->turn, t->used);
	if (t->part != NULL)
		mu_accounts_set_cached(
		    h->accounts, t->program, t->part, &t->cached);
}

/* The start of a turn. */

static void
finish_start(struct local_start *g, enum mu_turn_start_status st)
{
	struct mu_settlement none = {.program = g->program, .turn = g->turn};
	mu_turn_start_fn fn = g->fn;
	void *arg = g->arg;

	if (st != MU_START_OK)
		mu_home_settle(g->home, g->grant, &none);
	free(g);
	fn(arg, st);
}

static void
on_history(void *arg, enum mu_history_status st)
{
	struct local_start *g = arg;

	switch (st) {
	case MU_HISTORY_OK:
		finish_start(g, MU_START_OK);
		break;
	case MU_HISTORY_NOT_FOUND:
		finish_start(g, MU_START_NO_SUCH_TURN);
		break;
	case MU_HISTORY_UNAVAILABLE:
		finish_start(g, MU_START_UNAVAILABLE);
		break;
	}
}

static void
fetch_history(struct local_start *g)
{
	if (*g->previous == '\0' ||
	    mu_history_chain_cached(g->home->history, g->previous))
		finish_start(g, MU_START_OK);
	else
		mu_history_fetch(g->home->history, g->previous, g->request.keep,
		    g->request.deadline, on_history, g);
}

static void
on_reserved_locally(void *arg, enum mu_turn_start_status st)
{
	struct local_start *g = arg;

	if (st != MU_START_OK) {
		finish_start(g, st);
		return;
	}
	g->grant->held = true;
	g->grant->remote = false;
	g->grant->tokens =
	    mu_accounts_reserved(g->home->accounts, g->program, g->turn);
	g->grant->first_turn =
	    mu_accounts_first_turn(g->home->accounts, g->program);
	g->grant->incarnation = g->home->conf.incarnation;
	fetch_history(g);
}

static void
reserve_locally(struct local_start *g)
{
	struct mu_reserve_request r = {g->program, g->turn, g->request.budget,
	    g->request.most, g->request.only_begun, g->request.deadline};

	mu_accounts_reserve(g->home->accounts, &r, on_reserved_locally, g);
}

static void
keep_history(struct local_start *g, const ProtobufCBinaryData *bytes)
{
	Mu__TurnRecords *all;
	size_t i;

	if (bytes->len == 0)
		return;
	all = mu__turn_records__unpack(NULL, bytes->len, bytes->data);
	if (all == NULL) {
		mu_log(MU_LOG_WARN, "home", "history_unreadable", "{s:s,s:s}",
		    "turn", mu_scope_plain(g->turn), "host", g->grant->host);
		return;
	}
	for (i = 0; i < all->n_records; i++) {
		mu_history_cache_put(
		    g->home->history, all->records[i], g->request.keep);
		all->records[i] = NULL;
	}
	all->n_records = 0;
	mu__turn_records__free_unpacked(all, NULL);
}

/* The home has not answered.  The settlement cancels a reservation that it may
 * have made or still make. */
static void
reserve_without_home(struct local_start *g)
{
	struct mu_settlement none = {.program = g->program, .turn = g->turn};

	mu_log(MU_LOG_INFO, "home", "home_silent", "{s:s,s:s,s:s}", "request",
	    mu_scope_plain(g->turn), "program", mu_scope_plain(g->program),
	    "host", g->grant->host);
	send_settlement(g->home, g->grant, &none);
	reserve_locally(g);
}

static void
on_granted(void *arg, const Mu__Frame *f)
{
	struct local_start *g = arg;

	if (f == NULL) {
		reserve_without_home(g);
		return;
	}
	switch (f->granted->status) {
	case MU__GRANTED__STATUS__OK:
		g->grant->held = true;
		g->grant->remote = true;
		(void)snprintf(g->grant->cached.endpoint,
		    sizeof(g->grant->cached.endpoint), "%s",
		    f->granted->endpoint);
		g->grant->cached.held = f->granted->held;
		g->grant->tokens = f->granted->tokens;
		g->grant->first_turn = f->granted->first_turn;
		keep_history(g, &f->granted->history);
		fetch_history(g);
		break;
	case MU__GRANTED__STATUS__EXHAUSTED:
		finish_start(g, MU_START_BUDGET_EXHAUSTED);
		break;
	case MU__GRANTED__STATUS__NOT_BEGUN:
		finish_start(g, MU_START_NEW_PROGRAM);
		break;
	default:
		finish_start(g, MU_START_UNAVAILABLE);
		break;
	}
}

/* Returns the daemon that is home to a program; NULL: this one. */
static struct mu_peer *
home_of(struct mu_home *h, const char *program)
{
	uint64_t best = mu_rendezvous(h->conf.host, program), w;
	struct mu_peer *p, *home = NULL;

	cds_list_for_each_entry (p, mu_mesh_peers(h->mesh), node) {
		if (!p->up || p->leaving ||
		    strcmp(p->domain, h->conf.domain) != 0)
			continue;
		w = mu_rendezvous(p->host, program);
		if (w > best) {
			best = w;
			home = p;
		}
	}
	return home;
}

static bool
request_from_home(struct local_start *g, struct mu_peer *p)
{
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Begin b = MU__BEGIN__INIT;
	mu_us until = mu_loop_now(g->home->loop) + HOME_TIMEOUT_US;

	(void)snprintf(g->grant->host, sizeof(g->grant->host), "%s", p->host);
	g->grant->incarnation = p->incarnation;
	b.program = g->program;
	b.budget = g->request.budget;
	b.most = g->request.most;
	b.turn = g->turn;
	b.previous = g->previous;
	b.need_history =
	    *g->previous != '\0' &&
	    !mu_history_chain_cached(g->home->history, g->previous);
	b.only_begun = g->request.only_begun;
	b.parts = (char **)(uintptr_t)g->request.parts;
	b.n_parts = g->request.nparts;
	f.body_case = MU__FRAME__BODY_BEGIN;
	f.begin = &b;
	return mu_mesh_request(g->home->mesh, p, &f,
	    until < g->request.deadline ? until : g->request.deadline,
	    on_granted, g);
}

void
mu_home_start_turn(struct mu_home *h, const struct mu_turn_start *b,
    struct mu_turn_reservation *grant, mu_turn_start_fn fn, void *arg)
{
	struct local_start *g = calloc(1, sizeof(*g));
	struct mu_peer *p;

	if (g == NULL)
		abort();
	g->home = h;
	g->request = *b;
	g->grant = grant;
	g->fn = fn;
	g->arg = arg;
	memset(grant, 0, sizeof(*grant));
	(void)snprintf(g->program, sizeof(g->program), "%s", b->program);
	(void)snprintf(g->turn, sizeof(g->turn), "%s", b->turn);
	(void)snprintf(g->previous, sizeof(g->previous), "%s",
	    b->previous != NULL ? b->previous : "");
	if (*g->program == '\0') {
		fetch_history(g);
		return;
	}
	p = home_of(h, g->program);
	if (p != NULL && request_from_home(g, p))
		return;
	mu_accounts_find_cached(
	    h->accounts, g->program, b->parts, b->nparts, &grant->cached);
	reserve_locally(g);
}

/* Requests of other daemons. */

/* A turn that another daemon starts, with this one as its home. */
struct remote_start {
	struct mu_home *home;
	struct mu_mesh_link *from;
	uint64_t id;
	char program[MU_STORE_KEY_BYTES + 1];
	char turn[MU_STORE_KEY_BYTES + 1];
	char previous[MU_STORE_KEY_BYTES + 1];
	bool need_history;
	struct mu_cache_location cached;
};

/* Packs the records of a history that is completely in memory. */
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

static Mu__Granted__Status
granted_status(enum mu_turn_start_status st)
{
	switch (st) {
	case MU_START_OK:
		return MU__GRANTED__STATUS__OK;
	case MU_START_BUDGET_EXHAUSTED:
		return MU__GRANTED__STATUS__EXHAUSTED;
	case MU_START_NEW_PROGRAM:
		return MU__GRANTED__STATUS__NOT_BEGUN;
	case MU_START_NO_SUCH_TURN:
	case MU_START_UNAVAILABLE:
		break;
	}
	return MU__GRANTED__STATUS__UNAVAILABLE;
}

static void
on_reserved_for_peer(void *arg, enum mu_turn_start_status st)
{
	struct remote_start *q = arg;
	Mu__Frame f = MU__FRAME__INIT;
	Mu__Granted g = MU__GRANTED__INIT;

	g.id = q->id;
	g.status = granted_status(st);
	g.endpoint = q->cached.endpoint;
	g.held = q->cached.held;
	g.tokens = mu_accounts_reserved(q->home->accounts, q->program, q->turn);
	g.first_turn = st == MU_START_OK &&
		       mu_accounts_first_turn(q->home->accounts, q->program);
	if (st == MU_START_OK && q->need_history &&
	    mu_history_chain_cached(q->home->history, q->previous))
		pack_history(q->home, q->previous, &g.history);
	f.body_case = MU__FRAME__BODY_GRANTED;
	f.granted = &g;
	if (!mu_mesh_reply(q->from, &f) && st == MU_START_OK)
		mu_accounts_settle(q->home->accounts, q->program, q->turn, 0);
	mu_mesh_link_unref(q->from);
	free(g.history.data);
	free(q);
}

void
mu_home_on_begin(
    struct mu_home *h, struct mu_mesh_link *from, const Mu__Begin *b)
{
	struct mu_reserve_request r = {b->program, b->turn, b->budget, b->most,
	    b->only_begun, mu_loop_now(h->loop) + HOME_TIMEOUT_US};
	struct remote_start *q = calloc(1, sizeof(*q));

	if (q == NULL)
		abort();
	q->home = h;
	q->from = mu_mesh_link_ref(from);
	q->id = b->id;
	q->need_history = b->need_history;
	(void)snprintf(q->program, sizeof(q->program), "%s", b->program);
	(void)snprintf(q->turn, sizeof(q->turn), "%s", b->turn);
	(void)snprintf(q->previous, sizeof(q->previous), "%s", b->previous);
	mu_accounts_find_cached(
	    h->accounts, q->program, b->parts, b->n_parts, &q->cached);
	mu_accounts_reserve(h->accounts, &r, on_reserved_for_peer, q);
}

void
mu_home_on_settle(struct mu_home *h, const Mu__Settle *s)
{
	Mu__TurnRecord *rec;
	struct mu_cache_location c = {.held = s->held};

	mu_accounts_settle(h->accounts, s->program, s->turn, s->used);
	if (*s->part != '\0') {
		(void)snprintf(
		    c.endpoint, sizeof(c.endpoint), "%s", s->endpoint);
		mu_accounts_set_cached(h->accounts, s->program, s->part, &c);
	}
	if (s->record.len == 0)
		return;
	rec = mu__turn_record__unpack(NULL, s->record.len, s->record.data);
	if (rec != NULL)
		mu_history_cache_put(h->history, rec, HISTORY_RETENTION_US);
}
