/*
 * daemon.c -- cardamomusherd: the scheduler daemon of an entry host.
 *
 * Starts the modules in the order of their dependencies, waits for a signal
 * and stops gracefully: it announces the shutdown, hands its slots over, lets
 * requests in progress finish and then exits.
 */
#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>
#include <time.h>
#include <unistd.h>

#include "answermem.h"
#include "clean.h"
#include "config.h"
#include "daemon.h"
#include "front.h"
#include "log.h"
#include "member.h"
#include "metric.h"
#include "oper.h"
#include "route.h"
#include "wait.h"
#include "webmem.h"

#define SLOT_POLL_INTERVAL_MS 500
#define CONNECT_TIMEOUT_MS 1000
#define STOP_POLL_INTERVAL_MS 50
#define STOP_TIMEOUT_MS 120000 /* then calls in progress are abandoned */
/* Larger blocks are mapped, so that freed bodies go back to the system.  By
 * default glibc raises the threshold with each such block that is freed. */
#define MAPPED_BLOCK_BYTES (128 * 1024)
#define EXIT_FAILED 1
#define EXIT_USAGE 2

const char *argp_program_version = "cardamomusherd " MU_VERSION;

struct options {
	const char *settings;
	bool check_only;
};

static const struct argp_option option_list[] = {
    {"settings", 's', "FILE", 0, "read the settings from FILE", 0},
    {"check", 'c', "FILE", 0, "check the settings in FILE and exit", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 's':
		o->settings = arg;
		break;
	case 'c':
		o->settings = arg;
		o->check_only = true;
		break;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument: %s", arg);
		break;
	case ARGP_KEY_END:
		if (o->settings == NULL)
			argp_error(state, "--settings or --check is needed");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp parser = {
    .options = option_list,
    .parser = parse_option,
    .doc = "Daemon of the cardamomusher scheduler, one on each entry host.\v"
	   "Exit status: 0 after a graceful stop, 1 on a failure, 2 on wrong "
	   "usage.",
};

static void
on_slot_lost(void *arg, unsigned slot)
{
	struct mu_daemon *d = arg;

	mu_slots_ownership_lost(d->slots, slot);
}

/* Another process runs under this host's name, so this one must stop. */
static void
on_lease_taken(void *arg)
{
	struct mu_daemon *d = arg;

	MU_ATOMIC_STORE(d->lease_taken, true);
}

static void
on_config(void *arg, const char *host __attribute__((unused)), uint64_t version,
    const char *text, size_t len)
{
	struct mu_daemon *d = arg;

	mu_config_on_push(d->config, version, text, len);
}

static int
open_state(struct mu_daemon *d)
{
	struct mu_platform_conf pc = {
	    d->conf->platform_addr, d->conf->platform_timeout_ms};
	struct mu_slots_conf sc = {0};
	struct mu_journal_conf jc = {0};
	int rc;

	rc = mu_platform_open(&d->platform, &pc);
	if (rc != 0)
		return rc;
	sc.host = d->conf->host;
	sc.incarnation = d->incarnation;
	sc.count = d->conf->slots;
	sc.lease_ms = d->conf->lease_ms;
	sc.poll_ms = SLOT_POLL_INTERVAL_MS;
	sc.clock = &d->clock;
	sc.board = &d->board;
	sc.platform = d->platform;
	rc = mu_slots_open(&d->slots, &sc);
	if (rc != 0)
		return rc;
	jc.host = d->conf->host;
	jc.incarnation = d->incarnation;
	jc.lease_ms = d->conf->lease_ms;
	jc.renew_ms = d->conf->renew_ms;
	jc.buffer = d->conf->outage_buffer;
	jc.clock = &d->clock;
	jc.arg = d;
	jc.on_slot_lost = on_slot_lost;
	jc.on_lease_taken = on_lease_taken;
	rc = mu_journal_open(&d->journal, d->platform, &jc);
	if (rc == 0)
		mu_slots_set_journal(d->slots, d->journal);
	return rc;
}

static int
open_peers(struct mu_daemon *d, struct mu_error *e)
{
	struct mu_peer_conf pc = {0};
	struct mu_peer_hooks hooks = {0};

	pc.host = d->conf->host;
	pc.listen = d->conf->peer_addr;
	pc.key = d->conf->peer_key;
	pc.incarnation = d->incarnation;
	pc.heartbeat_ms = d->conf->heartbeat_ms;
	pc.silence_ms = d->conf->silence_ms;
	pc.connect_ms = CONNECT_TIMEOUT_MS;
	hooks.arg = d;
	hooks.on_forward = mu_route_serve_forwarded;
	hooks.on_heartbeat = mu_member_on_heartbeat;
	hooks.fill_heartbeat = mu_member_fill_heartbeat;
	hooks.on_link = mu_member_on_link;
	hooks.on_config = on_config;
	return mu_peers_open(&d->peers, &pc, &hooks, e);
}

static int
open_controllers(struct mu_daemon *d)
{
	int rc;

	if ((rc = mu_dispatch_open(
		 &d->dispatch, &d->board, &d->clock, d->conf->host)) != 0 ||
	    (rc = mu_config_open(&d->config, d)) != 0 ||
	    (rc = mu_member_open(&d->member, d)) != 0)
		return rc;
	return mu_quar_init(&d->quarantine, &mu_quar_conf_default);
}

static int
start_controllers(struct mu_daemon *d)
{
	int rc;

	if ((rc = mu_member_start(d->member)) != 0 ||
	    (rc = mu_config_start(d->config)) != 0 ||
	    (rc = mu_clean_open(&d->clean, d)) != 0)
		return rc;
	return mu_slots_start(d->slots);
}

/* Waits for a stop signal or until another process takes the lease. */
static void
wait_for_stop(struct mu_daemon *d, const sigset_t *set)
{
	struct timespec poll_interval = {0, 200 * 1000000L};

	while (sigtimedwait(set, NULL, &poll_interval) < 0)
		if (MU_ATOMIC_LOAD(d->lease_taken))
			return;
}

static bool
stop_timed_out(struct mu_daemon *d, mu_us started)
{
	return mu_now(&d->clock) - started > STOP_TIMEOUT_MS * MU_US_PER_MS;
}

/*
 * Waits for the requests in progress.  Callers on kept connections may always
 * have one, so that none of them may reach the handler at last: one that is
 * read after the last look at the counter is refused and has not run.
 */
static void
end_requests(struct mu_daemon *d, struct mu_web *caller_web, mu_us started)
{
	while (MU_ATOMIC_LOAD(d->board.requests) > 0 &&
	       !stop_timed_out(d, started))
		mu_sleep_ms(STOP_POLL_INTERVAL_MS);
	mu_web_refuse(caller_web);
	do
		mu_sleep_ms(STOP_POLL_INTERVAL_MS);
	while (MU_ATOMIC_LOAD(d->board.requests) > 0 &&
	       !stop_timed_out(d, started));
}

/*
 * Announces the shutdown to callers and peers and hands slots over while
 * requests are still served.  New connections are accepted until address_ttl_ms
 * has passed, since callers may use a cached address until then; each answer
 * ends its connection.
 */
static void
drain(struct mu_daemon *d, struct mu_web *caller_web)
{
	mu_us started = mu_now(&d->clock);
	mu_us address_ttl = d->conf->address_ttl_ms * MU_US_PER_MS;

	mu_log(MU_LOG_INFO, "daemon", "leaving", NULL);
	mu_web_drain(caller_web);
	MU_ATOMIC_STORE(d->board.stopping, true);
	MU_ATOMIC_STORE(d->board.leaving, true);
	while (!stop_timed_out(d, started)) {
		if (mu_now(&d->clock) - started > address_ttl &&
		    MU_ATOMIC_LOAD(d->run_threads) == 0 &&
		    (mu_slots_count_owned(d->slots) == 0 ||
			mu_board_live_daemons(&d->board) <= 1))
			break;
		mu_slots_request_refresh(d->slots);
		mu_sleep_ms(STOP_POLL_INTERVAL_MS);
	}
	mu_web_quiesce(caller_web);
	end_requests(d, caller_web, started);
}

/*
 * Exits at once: another process runs under this host's name and owns its
 * slots.  Requests in progress here wait for an owner that they cannot reach,
 * so draining would be of no use; callers retry them.
 */
static void
exit_lease_taken(struct mu_daemon *d)
{
	mu_log(
	    MU_LOG_ERROR, "daemon", "usurped", "{s:s}", "host", d->conf->host);
	mu_log_close();
	_exit(EXIT_FAILED);
}

/*
 * Stops the threads that use other modules first: the controllers, then call
 * and routing threads, then the peer links, whose hooks call into most modules.
 * Memory is released only after that.
 */
static void
close_all(struct mu_daemon *d)
{
	mu_us started = mu_now(&d->clock);

	mu_slots_stop(d->slots);
	mu_member_stop(d->member);
	mu_config_stop(d->config);
	while (MU_ATOMIC_LOAD(d->run_threads) > 0 &&
	       mu_now(&d->clock) - started < STOP_TIMEOUT_MS * MU_US_PER_MS)
		mu_sleep_ms(STOP_POLL_INTERVAL_MS);
	if (d->peers != NULL)
		mu_peers_close(d->peers);
	mu_clean_close(d->clean);
	mu_member_close(d->member);
	mu_config_close(d->config);
	mu_journal_close(d->journal);
	mu_slots_close(d->slots);
	mu_dispatch_close(d->dispatch);
	if (d->platform != NULL)
		mu_platform_close(d->platform);
	mu_quar_fini(&d->quarantine);
	mu_board_clear(&d->board);
	mu_conf_free(d->conf);
}

/* Raises the descriptor limit to its maximum: each call uses several. */
static void
raise_fd_limit(void)
{
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) != 0)
		return;
	r.rlim_cur = r.rlim_max;
	(void)setrlimit(RLIMIT_NOFILE, &r);
}

/* Lowers max_connections to what leaves descriptors for everything else. */
static void
limit_connections(struct mu_conf *c)
{
	struct rlimit r;
	uint32_t most;

	if (getrlimit(RLIMIT_NOFILE, &r) != 0)
		return;
	most = mu_acct_max_connections(r.rlim_cur);
	if (c->max_connections <= most)
		return;
	mu_log(MU_LOG_WARN, "daemon", "connections_limited", "{s:i,s:i}",
	    "max_connections", (int)c->max_connections, "allowed", (int)most);
	c->max_connections = most;
}

/* Memory for what clients or endpoints send, from the host's memory. */
static size_t
default_memory(void)
{
	struct mu_acct_limits limits;
	struct sysinfo host = {0};

	(void)sysinfo(&host);
	mu_acct_default_limits(
	    (uint64_t)host.totalram * host.mem_unit, 0, &limits);
	return limits.body_memory;
}

static int
open_webmem(struct mu_daemon *d)
{
	struct mu_webmem_conf wc = {.clock = &d->clock,
	    .body_timeout_ms = d->conf->body_timeout_ms,
	    .limit = (size_t)d->conf->body_memory_mb << 20};
	size_t least = (size_t)d->conf->max_body_bytes * MU_WEBMEM_MIN_BODIES;

	if (wc.limit == 0) {
		wc.limit = default_memory();
		if (wc.limit < least)
			wc.limit = least;
	}
	return mu_webmem_new(&d->webmem, &wc);
}

static void
limit_answers(const struct mu_conf *c)
{
	size_t limit = (size_t)c->answer_memory_mb << 20;

	mu_answermem_set_limit(limit > 0 ? limit : default_memory());
}

static int
run_daemon(struct mu_daemon *d)
{
	struct mu_web *caller_web = NULL, *operator_web = NULL;
	struct mu_error e = {.type = MU_E_SYSTEM};
	sigset_t set;
	int rc;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	limit_answers(d->conf);
	if ((rc = open_state(d)) != 0 || (rc = open_controllers(d)) != 0 ||
	    (rc = open_peers(d, &e)) != 0 || (rc = start_controllers(d)) != 0 ||
	    (rc = open_webmem(d)) != 0 ||
	    (rc = mu_oper_open(&operator_web, d, &e)) != 0 ||
	    (rc = mu_front_open(&caller_web, d, &e)) != 0) {
		mu_log_error(MU_LOG_ERROR, "daemon", "start_failed", &e);
		goto out;
	}
	mu_log(MU_LOG_INFO, "daemon", "ready", "{s:s,s:s,s:s,s:s}", "host",
	    d->conf->host, "callers", d->conf->caller_addr, "operators",
	    d->conf->operator_addr, "peers", d->conf->peer_addr);
	wait_for_stop(d, &set);
	if (MU_ATOMIC_LOAD(d->lease_taken))
		exit_lease_taken(d);
	drain(d, caller_web);
out:
	mu_web_close(caller_web);
	mu_web_close(operator_web);
	mu_webmem_free(d->webmem);
	mu_log(MU_LOG_INFO, "daemon", "stopped", NULL);
	return rc;
}

int
main(int argc, char **argv)
{
	static struct mu_daemon d;
	struct options o = {0};
	struct mu_error e = {0};
	int rc;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&parser, argc, argv, 0, NULL, &o);
	rc = mu_conf_load(o.settings, &d.conf, &e);
	if (rc != 0) {
		(void)fprintf(
		    stderr, "cardamomusherd: %s: %s\n", o.settings, e.message);
		return EXIT_FAILED;
	}
	if (o.check_only) {
		(void)printf("%s: ok\n", o.settings);
		mu_conf_free(d.conf);
		return 0;
	}
	raise_fd_limit();
	if (sodium_init() < 0 || mu_log_open(d.conf->log_level) != 0)
		return EXIT_FAILED;
	(void)mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
	limit_connections(d.conf);
	mu_clock_real(&d.clock);
	mu_board_init(&d.board);
	mu_refusals_init(&d.refusals);
	pthread_mutex_init(&d.quarantine_lock, NULL);
	randombytes_buf(&d.incarnation, sizeof(d.incarnation));
	rc = mu_receipt_key_init(&d.receipts, d.conf->receipt_key);
	if (rc == 0)
		rc = run_daemon(&d);
	close_all(&d);
	mu_log_close();
	return rc != 0 ? EXIT_FAILED : 0;
}
