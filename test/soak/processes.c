/*
 * processes.c -- the daemons of the soak as processes: start, signals, exit.
 *
 * It signals only the processes that it started, by their ids.
 */
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "soak.h"

#define LOG_DIR "build/soak-logs"
#define DAEMON "build/cardamomusher"
#define KILL_SLACK_MS 50 /* the exit may be noticed this late */

/* Below the ports that the system gives to outgoing connections, so that none
 * is taken while its daemon is down. */
#define FIRST_PORT 10000
#define PORTS 20000
#define SETTINGS_VARIABLE "CARDAMOMUSHER_NODE_FILE"

extern char **environ;

/* Runs at the same time begin at different ports. */
void
choose_addr(char addr[MU_ADDR_LEN])
{
	static unsigned tried;
	struct sockaddr_in sin = {.sin_family = AF_INET};
	unsigned port;
	int fd, rc;

	do {
		port =
		    FIRST_PORT + ((unsigned)getpid() * 331 + tried++) % PORTS;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		sin.sin_port = htons((uint16_t)port);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		rc = bind(fd, (struct sockaddr *)&sin, sizeof(sin));
		(void)close(fd);
	} while (rc != 0 && tried < PORTS);
	(void)snprintf(addr, MU_ADDR_LEN, "127.0.0.1:%u", port);
}

static void
write_settings(const struct process *p)
{
	FILE *f = fopen(p->conf, "we");

	if (f == NULL)
		fatal("cannot write settings");
	(void)fprintf(f,
	    "host: d%d\ndomain: z\nregion: r\ncaller_addr: %s\n"
	    "ready_addr: %s\ndirectory_addr: %s\nmesh_addr: %s\n"
	    "metrics_addr: %s\nstore_addr: %s\nstop_ms: %d\n"
	    "address_ttl_ms: %d\n",
	    (int)(p - soak.daemon), p->addr, p->ready, p->directory, p->mesh,
	    p->metrics, soak.store.addr, STOP_MS, 200 + (int)random_below(300));
	(void)fclose(f);
}

static char *
choose_program(struct process *p)
{
	static char daemon[] = DAEMON;
	char *one = getenv("DAEMON"), *old = getenv("OLD_DAEMON");

	p->old_release = old != NULL && random_below(2) == 0;
	if (p->old_release)
		return old;
	return one != NULL ? one : daemon;
}

static void
start_daemon(struct process *p)
{
	char option[] = "--settings", *program = choose_program(p);
	char *argv[] = {program, option, p->conf, NULL};
	posix_spawn_file_actions_t a;
	char log[80];

	(void)snprintf(log, sizeof(log), "%s.log", p->conf);
	(void)setenv(SETTINGS_VARIABLE, p->conf, 1); /* reread on SIGHUP */
	posix_spawn_file_actions_init(&a);
	posix_spawn_file_actions_addopen(
	    &a, STDOUT_FILENO, log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&a, STDOUT_FILENO, STDERR_FILENO);
	if (posix_spawn(&p->pid, program, &a, NULL, argv, environ) != 0)
		fatal("cannot start the daemon");
	posix_spawn_file_actions_destroy(&a);
	p->restart_at = p->term_at = 0;
	p->loaded = p->was_paused = p->killed = false;
}

void
start_daemons(void)
{
	struct process *p;

	(void)mkdir("build", 0755);
	(void)mkdir(LOG_DIR, 0755);
	for (p = soak.daemon; p < soak.daemon + soak.ndaemons; p++) {
		choose_addr(p->addr);
		choose_addr(p->ready);
		choose_addr(p->directory);
		choose_addr(p->mesh);
		choose_addr(p->metrics);
		(void)snprintf(p->conf, sizeof(p->conf), LOG_DIR "/%d-d%d.yaml",
		    (int)getpid(), (int)(p - soak.daemon));
		write_settings(p);
		start_daemon(p);
	}
}

static bool
blocks_sigterm(pid_t pid)
{
	unsigned long long blocked = 0;
	char path[32], line[128];
	FILE *f;

	(void)snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "re");
	if (f == NULL)
		return false;
	while (fgets(line, sizeof(line), f) != NULL)
		if (strncmp(line, "SigBlk:", 7) == 0)
			blocked = strtoull(line + 7, NULL, 16);
	(void)fclose(f);
	return (blocked >> (SIGTERM - 1) & 1) != 0;
}

/* Before main() a signal ends the process; fault_stop tests its beginning. */
static bool
is_loaded(struct process *p)
{
	if (p->restart_at != 0)
		return false;
	if (!p->loaded)
		p->loaded = blocks_sigterm(p->pid);
	return p->loaded;
}

bool
is_serving(struct process *p)
{
	return is_loaded(p) && p->term_at == 0;
}

unsigned
count_serving(void)
{
	unsigned i, n = 0;

	for (i = 0; i < soak.ndaemons; i++)
		n += is_serving(&soak.daemon[i]);
	return n;
}

void
stop_daemon(struct process *p)
{
	if (!is_loaded(p))
		return;
	(void)kill(p->pid, SIGTERM);
	if (p->term_at != 0)
		return;
	p->term_at = p->last_term_at = mu_loop_now(soak.loop);
	p->was_paused = p->resume_at != 0;
	soak.stops++;
}

void
reload_daemon(struct process *p)
{
	if (!is_loaded(p))
		return;
	write_settings(p);
	(void)kill(p->pid, SIGHUP);
}

void
fault_daemon(void)
{
	struct process *p = &soak.daemon[random_below(soak.ndaemons)];

	if (p->restart_at != 0 || p->resume_at != 0)
		return;
	switch (random_below(4)) {
	case 0:
	case 1:
		(void)kill(p->pid, SIGKILL);
		break;
	case 2:
		(void)kill(p->pid, SIGSTOP);
		p->was_paused = true;
		p->resume_at = random_moment(200, 1700);
		break;
	default:
		stop_daemon(p);
		break;
	}
}

static void
check_exit(const struct process *p, int status)
{
	int i = (int)(p - soak.daemon);

	if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL)
		violation("daemon %d ended by signal %d", i, WTERMSIG(status));
	if (WIFEXITED(status) && (p->term_at == 0 || status != 0))
		violation("daemon %d exited by itself with status %d", i,
		    WEXITSTATUS(status));
}

/* What the platform does to a process that outlasts its stop. */
static void
enforce_stop(struct process *p)
{
	mu_us late = (STOP_MS + KILL_SLACK_MS) * MU_US_PER_MS;

	if (p->term_at == 0 || p->killed ||
	    mu_loop_now(soak.loop) - p->term_at < late)
		return;
	(void)kill(p->pid, SIGKILL);
	soak.kills++;
	if (!p->was_paused)
		violation("daemon %d still ran %d ms after SIGTERM",
		    (int)(p - soak.daemon), STOP_MS);
	p->killed = true;
}

static bool
poll_daemon(struct process *p)
{
	mu_us now = mu_loop_now(soak.loop);
	bool disrupted = p->resume_at != 0;
	int status;

	if (p->resume_at != 0 && now > p->resume_at) {
		(void)kill(p->pid, SIGCONT);
		p->resume_at = 0;
	}
	if (p->restart_at == 0 && waitpid(p->pid, &status, WNOHANG) == p->pid) {
		p->pid = 0;
		check_exit(p, status);
		disrupted = disrupted || WIFSIGNALED(status);
		p->restart_at = random_moment(100, 700);
	}
	if (p->restart_at == 0)
		enforce_stop(p);
	else if (now > p->restart_at)
		start_daemon(p);
	return disrupted;
}

bool
poll_daemons(void)
{
	bool disrupted = false;
	unsigned i;

	for (i = 0; i < soak.ndaemons; i++)
		disrupted = poll_daemon(&soak.daemon[i]) || disrupted;
	return disrupted;
}
