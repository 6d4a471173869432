/*
 * soak.c -- randomized soak test of the serving daemon's real processes.
 *
 * Starts daemons as separate processes on loopback and implements the store,
 * the endpoints and the callers itself, so that it observes all their traffic.
 * A seed determines planned work and faults, which overlap: daemons are stopped
 * one after the other, reload their settings, get new configurations, endpoints
 * leave and come back; daemons are killed and paused, the store is busy, silent
 * or loses answers, endpoints close the connection, refuse or hang.  One seed
 * in two has planned work only.  Invariants checked during the run:
 *
 *   once      an order is executed at most once
 *   not run   a request answered with 503 or 402 is never executed
 *   whole     a complete answer belongs to the caller's own request
 *   history   an endpoint receives exactly the chain of a turn, and a turn with
 *             a complete answer is never unknown afterwards
 *   budget    the tokens of a program stay within its budget plus the maximum
 *             of one turn
 *   cut       without faults, a request that a daemon has read is answered
 *             whole (judge.c)
 *   stop      a daemon exits by itself within its time to stop
 *
 * Environment: SOAK_DAEMONS and SOAK_CALLERS, their numbers; SOAK_MODE, planned
 * or mixed; DAEMON, the program to test; OLD_DAEMON, the daemon of an earlier
 * release: each start picks one of the two, as in an upgrade or a rollback.
 */
#include <signal.h>
#include <stdarg.h>
#include <sys/wait.h>

#include "soak.h"
#include "view.h"

#define DAEMONS 3
#define CALLERS 24
#define STALL_MS 50 /* an iteration that takes longer delays observations */
#define START_MS 1500
#define STORE_DELAY_MS 30 /* at most; of a store without faults */
/* Mixed mode: faults in the first part of each cycle. */
#define CYCLE_S 12
#define FAULTS_S 6

struct soak soak;

/* Called by signal handlers, too. */
static void
kill_daemons(void)
{
	unsigned i;

	for (i = 0; i < soak.ndaemons; i++)
		if (soak.daemon[i].pid > 0) {
			(void)kill(soak.daemon[i].pid, SIGKILL);
			(void)waitpid(soak.daemon[i].pid, NULL, 0);
		}
}

void
fatal(const char *what)
{
	printf("soak: %s\n", what);
	(void)fflush(stdout);
	kill_daemons();
	_exit(2);
}

/* Also when the soak itself fails, no daemon outlives it. */
static void
on_fatal_signal(int sig)
{
	(void)sig;
	kill_daemons();
	_exit(2);
}

double
elapsed_s(mu_us at)
{
	return (double)(at - soak.started_at) / MU_US_PER_S;
}

void
violation(const char *fmt, ...)
{
	va_list ap;

	soak.violations++;
	printf("BROKEN at %.3f s: ", elapsed_s(mu_now(&soak.clock)));
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

uint64_t
random_below(uint64_t bound)
{
	return mu_rand(&soak.rng) % bound;
}

mu_us
random_moment(unsigned lo, unsigned hi)
{
	return mu_loop_now(soak.loop) +
	       (mu_us)(lo + random_below(hi - lo + 1)) * MU_US_PER_MS;
}

void
put_row(const char *table, const char *key, const char *text)
{
	soak.mem->ver++;
	mem_put(soak.mem, table, "", key, text, strlen(text));
	tablekit_changed(&soak.store);
}

struct call *
find_call(const char *id)
{
	struct mu_hnode *n = mu_hmap_find(&soak.calls, id);

	return n != NULL ? MU_CONTAINER_OF(n, struct call, node) : NULL;
}

/* Unplanned disruptions. */

static void
fault_store(void)
{
	soak.store.force = soak.store.mute = soak.store.lost = 0;
	switch (random_below(3)) {
	case 0:
		soak.store.force = 503;
		break;
	case 1:
		soak.store.mute = true;
		break;
	default:
		soak.store.lost = true;
		break;
	}
	soak.store_fault_until = random_moment(100, 1600);
}

static void
start_fault(void)
{
	static mu_us next;
	mu_us now = mu_loop_now(soak.loop);

	if (now < next)
		return;
	next = random_moment(100, 600);
	soak.disrupted_at = now;
	switch (random_below(4)) {
	case 0:
		fault_store();
		break;
	case 1:
		fault_endpoint();
		break;
	default:
		fault_daemon();
		break;
	}
}

/* Ends faults whose time is over and notes whether there are others. */
static void
poll_faults(void)
{
	mu_us now = mu_loop_now(soak.loop);
	bool faulty = poll_daemons();

	faulty = poll_endpoints() || faulty || soak.store_fault_until != 0;
	if (now > soak.store_fault_until) {
		soak.store.force = soak.store.mute = soak.store.lost = 0;
		soak.store_fault_until = 0;
	}
	if (faulty)
		soak.disrupted_at = now;
}

static bool
is_time_of_faults(void)
{
	mu_us t = mu_loop_now(soak.loop) - soak.started_at;

	return !soak.planned_only &&
	       t % (CYCLE_S * MU_US_PER_S) < FAULTS_S * MU_US_PER_S;
}

static void
run_once(void)
{
	mu_us before = mu_now(&soak.clock);
	unsigned i;

	soak.store.delay_ms = (unsigned)random_below(STORE_DELAY_MS + 1);
	mu_loop_once(soak.loop, 2);
	poll_faults();
	for (i = 0; i < soak.ncallers; i++)
		poll_caller(&soak.caller[i]);
	poll_strangers();
	if (mu_now(&soak.clock) - before > STALL_MS * MU_US_PER_MS)
		soak.stalled_at = mu_now(&soak.clock);
}

static void
run_soak(mu_us seconds)
{
	mu_us end = mu_loop_now(soak.loop) + seconds;

	while (mu_loop_now(soak.loop) < end) {
		run_once();
		plan_work();
		if (is_time_of_faults())
			start_fault();
	}
}

static unsigned
number_from(const char *variable, unsigned most, unsigned otherwise)
{
	const char *text = getenv(variable);
	unsigned long n = text != NULL ? strtoul(text, NULL, 10) : otherwise;

	return n < 2 ? 2 : n > most ? most : (unsigned)n;
}

static void
choose_mode(uint64_t seed)
{
	const char *mode = getenv("SOAK_MODE");

	soak.rng = seed;
	soak.planned_only =
	    mode != NULL ? strcmp(mode, "planned") == 0 : (seed & 2) != 0;
	soak.ndaemons = number_from("SOAK_DAEMONS", MAX_DAEMONS, DAEMONS);
	soak.ncallers = number_from("SOAK_CALLERS", MAX_CALLERS, CALLERS);
}

static void
report(uint64_t seed)
{
	printf("seed %llu, %s: %u answered, %u refused, %u failed, %u budgets "
	       "spent; %u stops, %u killed; %u requests judged: %u not sent "
	       "whole, %u crossed the exit, %u ended at their limit, %u cut in "
	       "faults, %u given up; %u broken; logs %d-*\n",
	    (unsigned long long)seed, soak.planned_only ? "planned" : "mixed",
	    soak.answered, soak.refused, soak.failed, soak.budget_rejections,
	    soak.stops, soak.kills, soak.judged, soak.unsent, soak.unread,
	    soak.ended, soak.cut_disrupted, soak.unanswered, soak.violations,
	    (int)getpid());
}

int
main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	int seconds = argc > 2 ? (int)strtol(argv[2], NULL, 10) : 10;

	signal(SIGPIPE, SIG_IGN);
	signal(SIGABRT, on_fatal_signal);
	signal(SIGTERM, on_fatal_signal);
	signal(SIGINT, on_fatal_signal);
	signal(SIGSEGV, on_fatal_signal);
	if (sodium_init() < 0 || mu_hmap_init(&soak.calls) != 0)
		return 2;
	choose_mode(seed);
	mu_clock_real(&soak.clock);
	soak.loop = mu_loop_new(&soak.clock);
	soak.mem = calloc(1, sizeof(*soak.mem));
	if (soak.mem == NULL ||
	    tablekit_open(&soak.store, soak.loop, soak.mem) != 0)
		return 2;
	write_config();
	open_endpoints();
	start_daemons();
	kit_run_ms(soak.loop, START_MS);
	soak.started_at = mu_now(&soak.clock);
	open_callers();
	run_soak((mu_us)seconds * MU_US_PER_S);
	kill_daemons();
	if (soak.answered == 0)
		violation("nothing was served");
	report(seed);
	return soak.violations > 0;
}
