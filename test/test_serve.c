/* test_serve.c -- several daemons on one loop: mesh links, homes, histories and
 * budgets that follow a program, store outages for one daemon or all. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "adapter.h"
#include "memstore.h"
#include "sockkit.h"

#define N 3

/* One daemon's access to the store. */
struct store_view {
	struct memstore *mem;
	bool busy; /* the store refuses this daemon */
	bool closed; /* the daemon is closed: drop results */
	unsigned pending; /* operations in progress */
};

struct pending_op {
	struct store_view *v;
	mu_store_result_fn done;
	void *arg;
};

struct fixture {
	struct mu_clock clock;
	struct mu_loop *loop;
	struct memstore *mem;
	struct store_view view[N];
	struct mu_serve daemon[N];
	bool running[N];
	char host[N][16];
	char mesh[N][MU_ADDR_LEN];
	unsigned starts;
	unsigned replies;
	enum mu_turn_start_status status;
	struct mu_turn_reservation grant;
};

static void
view_done(void *arg, const Mu__StoreResult *r)
{
	struct pending_op *p = arg;

	p->v->pending--;
	if (!p->v->closed)
		p->done(p->arg, r);
	free(p);
}

static void
view_run(void *arg, const Mu__StoreOp *op, uint32_t limit_ms,
    mu_store_result_fn done, void *done_arg)
{
	struct store_view *v = arg;
	enum mem_fault saved = v->mem->fault;

	struct pending_op *p = malloc(sizeof(*p));

	v->pending++;
	p->v = v;
	p->done = done;
	p->arg = done_arg;
	if (v->busy)
		v->mem->fault = MEM_BUSY;
	mem_run(v->mem, op, limit_ms, view_done, p);
	v->mem->fault = saved;
}

static void
start(struct fixture *f, int i)
{
	struct mu_store_backend b = {&f->view[i], view_run};
	struct mu_error e = {0};

	memset(&f->daemon[i], 0, sizeof(f->daemon[i]));
	f->view[i].mem = f->mem;
	(void)snprintf(f->host[i], sizeof(f->host[i]), "d%d", i);
	f->daemon[i].adapter = &pf_adapter;
	f->daemon[i].conf.host = f->host[i];
	f->daemon[i].conf.domain = "east";
	f->daemon[i].conf.incarnation = ++f->starts;
	f->daemon[i].conf.caller_addr = "127.0.0.1:1";
	f->daemon[i].conf.mesh_addr = f->mesh[i];
	assert_int_equal(mu_serve_open(&f->daemon[i], f->loop, &b, &e), 0);
	f->running[i] = true;
	f->view[i].closed = false;
}

static unsigned
peers_up(struct fixture *f, int i)
{
	struct mu_peer *p;
	unsigned n = 0;

	cds_list_for_each_entry (p, mu_mesh_peers(f->daemon[i].mesh), node)
		n += p->up;
	return n;
}

static int
setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));
	int i;

	mu_clock_real(&f->clock);
	f->loop = mu_loop_new(&f->clock);
	f->mem = calloc(1, sizeof(*f->mem));
	(void)mem_backend(f->mem, f->loop);
	for (i = 0; i < N; i++)
		kit_unused_addr(f->mesh[i]);
	for (i = 0; i < N; i++)
		start(f, i);
	assert_true(kit_until(f->loop, 5000,
	    peers_up(f, 0) == N - 1 && peers_up(f, 1) == N - 1 &&
		peers_up(f, 2) == N - 1));
	*state = f;
	return 0;
}

static void
stop(struct fixture *f, int i)
{
	if (!f->running[i])
		return;
	f->running[i] = false;
	f->view[i].closed = true;
	mu_serve_close(&f->daemon[i]);
}

static unsigned
operations_pending(const struct fixture *f)
{
	unsigned n = 0;
	int i;

	for (i = 0; i < N; i++)
		n += f->view[i].pending;
	return n;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;
	int i;

	/* Lets operations relayed through a peer finish first. */
	f->mem->fault = MEM_HEALTHY;
	for (i = 0; i < N; i++)
		f->view[i].busy = false;
	kit_run_ms(f->loop, 800);
	for (i = 0; i < N; i++)
		stop(f, i);
	/* Answers of closed daemons' operations are dropped as they arrive. */
	assert_true(kit_until(f->loop, 5000, operations_pending(f) == 0));
	mem_free(f->mem);
	mu_loop_free(f->loop);
	free(f);
	return 0;
}

static void
on_begun(void *arg, enum mu_turn_start_status status)
{
	struct fixture *f = arg;

	f->replies++;
	f->status = status;
}

static enum mu_turn_start_status
begin(struct fixture *f, int i, const char *turn, const char *previous)
{
	struct mu_turn_start b = {.program = "prog",
	    .budget = 3000,
	    .most = 289,
	    .turn = turn,
	    .previous = previous,
	    .keep = 60 * MU_US_PER_S,
	    .deadline = mu_now(&f->clock) + 2 * MU_US_PER_S};
	unsigned before = f->replies;

	mu_home_start_turn(f->daemon[i].home, &b, &f->grant, on_begun, f);
	assert_true(kit_until(f->loop, 4000, f->replies > before));
	return f->status;
}

static Mu__TurnRecord *
make_record(const char *turn)
{
	Mu__TurnRecord *r = malloc(sizeof(*r));

	mu__turn_record__init(r);
	r->turn = strdup(turn);
	r->input.data = (uint8_t *)strdup("in");
	r->input.len = 2;
	r->output.data = (uint8_t *)strdup("out\n");
	r->output.len = 4;
	return r;
}

static void
end_turn(struct fixture *f, int i, const char *turn, uint64_t used,
    const Mu__TurnRecord *rec)
{
	struct mu_settlement t = {.program = "prog",
	    .turn = turn,
	    .used = used,
	    .rec = rec,
	    .part = "line",
	    .cached = {"e7", 500}};

	mu_home_settle(f->daemon[i].home, &f->grant, &t);
}

/* The home of "prog" among the running daemons. */
static int
prog_home(struct fixture *f)
{
	uint64_t best = 0, w;
	int i, at = 0;

	for (i = 0; i < N; i++) {
		w = mu_rendezvous(f->host[i], "prog");
		if (f->running[i] && w > best) {
			best = w;
			at = i;
		}
	}
	return at;
}

/* Consecutive turns on different daemons: the history comes from the home's
 * memory and the budget is drawn once. */
static void
test_program_over_several_daemons(void **state)
{
	struct fixture *f = *state;
	Mu__TurnRecord *r = make_record("t1");
	int a = (prog_home(f) + 1) % N, b = (prog_home(f) + 2) % N;
	unsigned reads;

	assert_int_equal(begin(f, a, "t1", NULL), MU_START_OK);
	assert_true(f->grant.remote);
	end_turn(f, a, "t1", 73, r);
	kit_run_ms(f->loop, 30);
	reads = f->mem->reads;
	assert_int_equal(begin(f, b, "t2", "t1"), MU_START_OK);
	assert_true(mu_history_chain_cached(f->daemon[b].history, "t1"));
	assert_int_equal(f->mem->reads, reads);
	end_turn(f, b, "t2", 73, NULL);
	mu__turn_record__free_unpacked(r, NULL);
}

/* The home dies: the next turn begins within 500 ms, with its history from the
 * store. */
static void
test_home_dies(void **state)
{
	struct fixture *f = *state;
	Mu__TurnRecord *r = make_record("t1");
	int h = prog_home(f), a = (h + 1) % N;
	mu_us began;

	assert_int_equal(begin(f, h, "t1", NULL), MU_START_OK);
	mu_history_commit(f->daemon[h].history, r, 60 * MU_US_PER_S,
	    mu_now(&f->clock) + MU_US_PER_S,
	    (mu_history_fn)(void (*)(void))on_begun, f);
	kit_run_ms(f->loop, 100);
	end_turn(f, h, "t1", 73, r);
	stop(f, h);
	began = mu_now(&f->clock);
	assert_int_equal(begin(f, a, "t2", "t1"), MU_START_OK);
	assert_true(mu_now(&f->clock) - began < 500 * MU_US_PER_MS);
	assert_true(mu_history_chain_cached(f->daemon[a].history, "t1"));
	end_turn(f, a, "t2", 10, NULL);
	mu__turn_record__free_unpacked(r, NULL);
}

/* The store refuses one daemon, which draws and reads through a peer. */
static void
test_store_refuses_one_daemon(void **state)
{
	struct fixture *f = *state;
	int h = prog_home(f);

	f->view[h].busy = true;
	(void)kit_until(
	    f->loop, 1500, !mu_store_direct_available(f->daemon[h].store));
	assert_false(mu_store_direct_available(f->daemon[h].store));
	assert_int_equal(begin(f, h, "t1", NULL), MU_START_OK);
	assert_int_equal(begin(f, h, "t2", "nix"), MU_START_NO_SUCH_TURN);
}

/* A draining daemon is no home for new turns and returns its draw. */
static void
test_leaving_daemon_is_no_home(void **state)
{
	struct fixture *f = *state;
	int h = prog_home(f), a = (h + 1) % N;

	mu_serve_drain(&f->daemon[h], 1000, 8000);
	kit_run_ms(f->loop, 300);
	assert_int_equal(begin(f, a, "t1", NULL), MU_START_OK);
	assert_true(!f->grant.remote || strcmp(f->grant.host, f->host[h]) != 0);
	end_turn(f, a, "t1", 1, NULL);
}

/* Tokens of the program's budget that are granted to daemons. */
static uint64_t
granted_in_row(struct fixture *f)
{
	Mu__LedgerRow *row;
	uint64_t granted = 0;
	size_t i;

	for (i = 0; i < f->mem->nrows; i++) {
		if (strcmp(f->mem->row[i].table, "budgets") != 0 ||
		    strcmp(f->mem->row[i].key, "prog") != 0)
			continue;
		row = mu__ledger_row__unpack(
		    NULL, f->mem->row[i].len, f->mem->row[i].value);
		assert_non_null(row);
		granted = row->granted;
		mu__ledger_row__free_unpacked(row, NULL);
	}
	return granted;
}

/* Guards against turns that wait at other daemons for tokens that a leaving
 * home keeps until its last turn has ended. */
static void
test_leaving_home_returns_what_no_turn_has_reserved(void **state)
{
	struct fixture *f = *state;
	int h = prog_home(f), a = (h + 1) % N;

	assert_int_equal(begin(f, a, "t1", NULL), MU_START_OK);
	assert_true(f->grant.remote);
	assert_true(granted_in_row(f) > f->grant.tokens);
	mu_serve_drain(&f->daemon[h], 1000, 8000);
	kit_run_ms(f->loop, 200);
	assert_int_equal(granted_in_row(f), f->grant.tokens);
	assert_false(mu_home_settled(f->daemon[h].home));
	end_turn(f, a, "t1", 73, NULL);
	kit_run_ms(f->loop, 200);
	assert_int_equal(granted_in_row(f), 73);
	assert_true(mu_home_settled(f->daemon[h].home));
}

static void
test_peers_tell_what_they_have_at_endpoints(void **state)
{
	struct fixture *f = *state;
	struct mu_target_info info = {.name = "e1",
	    .service = "s",
	    .addr = "127.0.0.1:9",
	    .domain = "east",
	    .slots = 4};
	struct mu_candidate c[MU_CHOOSE_MAX];
	struct mu_target *who[MU_CHOOSE_MAX];
	int i;

	for (i = 0; i < N; i++)
		mu_targets_learn(&f->daemon[i].targets, &info);
	(void)mu_group_view(&f->daemon[1].targets,
	    mu_targets_group(&f->daemon[1].targets, "s"), c, who);
	who[0]->sent = 3;
	kit_run_ms(f->loop, 500);
	assert_int_equal(
	    mu_group_view(&f->daemon[0].targets,
		mu_targets_group(&f->daemon[0].targets, "s"), c, who),
	    1);
	assert_true(c[0].others > 2.5 && c[0].others < 3.5);
	assert_true(c[0].usable);
	(void)mu_group_view(&f->daemon[1].targets,
	    mu_targets_group(&f->daemon[1].targets, "s"), c, who);
	who[0]->sent = 0;
	assert_true(mu_target_unreachable(who[0], mu_now(&f->clock)));
	assert_false(mu_target_unreachable(who[0], mu_now(&f->clock)));
	kit_run_ms(f->loop, 220);
	(void)mu_group_view(&f->daemon[0].targets,
	    mu_targets_group(&f->daemon[0].targets, "s"), c, who);
	assert_true(who[0]->peer_down_until > 0);
}

static void
test_crashing_request_is_known_to_peers(void **state)
{
	struct fixture *f = *state;
	struct mu_crash_attempt a = {.fingerprint = 42};
	mu_us now = mu_now(&f->clock);

	for (; a.known < MU_CRASHES_LIMIT; a.known++) {
		a.started = a.ended = now;
		(void)mu_crashes_died(&f->daemon[1].crashes, &a, now);
	}
	kit_run_ms(f->loop, 500);
	assert_int_equal(
	    mu_crashes_count(&f->daemon[0].crashes, 42, mu_now(&f->clock)),
	    MU_CRASHES_LIMIT);
}

/* Guards against a seed of more than 63 rows, which its receiver refused as
 * malformed, again and again: the daemon served nothing until the store was
 * back. */
static void
test_daemon_of_a_large_deployment_starts_without_the_store(void **state)
{
	static const char config[] =
	    "{\"version\":7,\"routes\":[],\"services\":[]}";
	static const char entry[] =
	    "{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":"
	    "\"east\","
	    "\"slots\":8,\"state\":\"ready\",\"sequence\":1,\"born\":5}";
	const unsigned n = 700;
	struct fixture *f = *state;
	char name[16];
	unsigned i;

	f->mem->ver++;
	mem_put(f->mem, "op", "", "config", config, strlen(config));
	for (i = 0; i < n; i++) {
		(void)snprintf(name, sizeof(name), "e%u", i);
		mem_put(f->mem, "servers", "", name, entry, strlen(entry));
	}
	assert_true(kit_until(f->loop, 4000,
	    mu_serve_ready(&f->daemon[0]) &&
		f->daemon[0].targets.by_name.count == n &&
		f->daemon[2].targets.by_name.count == n));
	f->mem->fault = MEM_SILENT;
	stop(f, 1);
	kit_run_ms(f->loop, 100);
	start(f, 1);
	assert_true(kit_until(f->loop, 2500, mu_serve_ready(&f->daemon[1])));
	assert_int_equal(f->daemon[1].targets.by_name.count, n);
	f->mem->fault = MEM_HEALTHY;
	kit_run_ms(f->loop, 4500);
}

/* A daemon restarted while the store is unavailable to all gets the
 * configuration, the endpoints and the daemons' addresses from its peers and
 * becomes ready. */
static void
test_daemon_starts_without_the_store(void **state)
{
	static const char config[] =
	    "{\"version\":7,\"routes\":[{\"name\":\"look\",\"host\":\"h\","
	    "\"path_prefix\":\"/look/"
	    "\",\"type\":\"safe\",\"service\":\"app\"}],"
	    "\"services\":[{\"name\":\"app\"}]}";
	static const char entry[] =
	    "{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":"
	    "\"east\","
	    "\"slots\":8,\"state\":\"ready\",\"sequence\":1,\"born\":5}";
	struct fixture *f = *state;

	f->mem->ver++;
	mem_put(f->mem, "op", "", "config", config, strlen(config));
	mem_put(f->mem, "servers", "", "e1", entry, strlen(entry));
	assert_true(kit_until(f->loop, 4000,
	    mu_serve_ready(&f->daemon[0]) && mu_serve_ready(&f->daemon[2]) &&
		f->daemon[0].targets.by_name.count == 1 &&
		f->daemon[2].targets.by_name.count == 1));
	f->mem->fault = MEM_SILENT;
	stop(f, 1);
	kit_run_ms(f->loop, 100);
	start(f, 1);
	assert_false(mu_serve_ready(&f->daemon[1]));
	assert_true(kit_until(f->loop, 2500, mu_serve_ready(&f->daemon[1])));
	assert_int_equal(f->daemon[1].routes->version, 7);
	assert_int_equal(f->daemon[1].targets.by_name.count, 1);
	assert_true(kit_until(f->loop, 2000, peers_up(f, 1) == N - 1));
	/* Rows read from the store later take precedence. */
	f->mem->ver++;
	mem_put(f->mem, "servers", "", "e2", entry, strlen(entry));
	f->mem->fault = MEM_HEALTHY;
	assert_true(
	    kit_until(f->loop, 5000, f->daemon[1].targets.by_name.count == 2));
	/* Lets attempts that the store never answered time out. */
	kit_run_ms(f->loop, 4500);
}

/* Regression: a daemon crashed that heard that a peer leaves while it had no
 * link of its own to that peer. */
static void
test_peer_without_a_link_leaves(void **state)
{
	struct fixture *f = *state;
	Mu__DaemonRow row = MU__DAEMON_ROW__INIT;
	struct mu_peer *p = mu_mesh_find_peer(f->daemon[1].mesh, f->host[0]);

	row.host = f->host[0];
	row.domain = (char *)(uintptr_t) "east";
	row.mesh_addr = (char *)(uintptr_t) "127.0.0.1:9";
	mu_mesh_update_peer(f->daemon[1].mesh, &row);
	assert_false(p->up);
	assert_true(kit_until(f->loop, 2000, p->beat != NULL));
	mu_serve_drain(&f->daemon[0], 1000, 8000);
	assert_true(kit_until(f->loop, 2000, p->leaving));
	kit_run_ms(f->loop, 300);
	assert_false(p->up);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
#define T(t) cmocka_unit_test_setup_teardown(t, setup, teardown)
	    T(test_program_over_several_daemons),
	    T(test_home_dies),
	    T(test_store_refuses_one_daemon),
	    T(test_leaving_daemon_is_no_home),
	    T(test_leaving_home_returns_what_no_turn_has_reserved),
	    T(test_peers_tell_what_they_have_at_endpoints),
	    T(test_crashing_request_is_known_to_peers),
	    T(test_daemon_starts_without_the_store),
	    T(test_daemon_of_a_large_deployment_starts_without_the_store),
	    T(test_peer_without_a_link_leaves),
#undef T
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
