/*
 * proc.c -- starting, signalling and ending processes in tests.
 *
 * A table holds every process started by the test.  proc_end_all() kills them
 * by process ID; it runs as the test's teardown and at exit.  A handler for
 * SIGTERM and SIGINT kills them too, so that a failed or interrupted test
 * leaves no process behind.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <ftw.h>
#include <setjmp.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>
#include <fcntl.h>
#include <cmocka.h>

#include "proc.h"

#define PROCS 256
#define FIRST_PORT 20000 /* below the ephemeral port range */
#define LAST_PORT 31999
#define LOG_LINES 5 /* printed for each process when a wait fails */

extern char **environ;

static struct proc procs[PROCS];
static int nprocs;
static char temp_dir[64];
static int next_port = FIRST_PORT;

void
proc_sleep_ms(unsigned ms)
{
	struct timespec ts = {ms / 1000, (long)(ms % 1000) * 1000000};

	while (nanosleep(&ts, &ts) == -1 && errno == EINTR)
		continue;
}

int64_t
proc_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Files */

static int
remove_entry(const char *path, const struct stat *st, int type, struct FTW *f)
{
	(void)st;
	(void)type;
	(void)f;
	return remove(path);
}

static void
end_at_exit(void)
{
	proc_end_all();
}

static void
end_on_signal(int sig)
{
	int i;

	for (i = 0; i < nprocs; i++)
		if (procs[i].pid > 0)
			kill(procs[i].pid, SIGKILL);
	signal(sig, SIG_DFL);
	raise(sig);
}

static void
init(void)
{
	static bool done;
	const char *tmp = getenv("TMPDIR");

	if (!done) {
		atexit(end_at_exit);
		signal(SIGTERM, end_on_signal);
		signal(SIGINT, end_on_signal);
		signal(SIGPIPE, SIG_IGN);
		done = true;
	}
	if (temp_dir[0] != '\0')
		return;
	snprintf(temp_dir, sizeof(temp_dir), "%.40s/musher-XXXXXX",
	    tmp == NULL ? "/tmp" : tmp);
	if (mkdtemp(temp_dir) == NULL)
		fail_msg("mkdtemp %s: %s", temp_dir, strerror(errno));
}

void
proc_path(char *buf, size_t len, const char *file)
{
	init();
	snprintf(buf, len, "%s/%s", temp_dir, file);
}

void
proc_write(char *path, size_t len, const char *file, const char *text)
{
	FILE *f;

	proc_path(path, len, file);
	f = fopen(path, "w");
	if (f == NULL || fputs(text, f) == EOF)
		fail_msg("write %s: %s", path, strerror(errno));
	else
		fclose(f);
}

long
proc_status_kb(const struct proc *p, const char *key)
{
	char path[64], line[256];
	size_t n = strlen(key);
	long kb = -1;
	FILE *f;

	(void)snprintf(path, sizeof(path), "/proc/%d/status", (int)p->pid);
	f = fopen(path, "re");
	assert_non_null(f);
	while (kb < 0 && fgets(line, sizeof(line), f) != NULL)
		if (strncmp(line, key, n) == 0 && line[n] == ':')
			kb = strtol(line + n + 1, NULL, 10);
	(void)fclose(f);
	return kb;
}

bool
proc_logged(const struct proc *p, const char *text)
{
	char path[256], line[4096];
	bool found = false;
	FILE *f;

	proc_path(path, sizeof(path), p->name);
	f = fopen(path, "r");
	if (f == NULL)
		return false;
	fseek(f, p->log_offset, SEEK_SET);
	while (!found && fgets(line, sizeof(line), f) != NULL)
		found = strstr(line, text) != NULL;
	fclose(f);
	return found;
}

/* Prints the last lines of a process's log. */
static void
log_tail(const struct proc *p)
{
	char path[256], line[LOG_LINES][512];
	unsigned i, n = 0;
	FILE *f;

	proc_path(path, sizeof(path), p->name);
	f = fopen(path, "r");
	if (f == NULL)
		return;
	while (fgets(line[n % LOG_LINES], sizeof(line[0]), f) != NULL)
		n++;
	fclose(f);
	print_error("-- %s (%s)\n", p->name, p->pid > 0 ? "runs" : "ended");
	for (i = n > LOG_LINES ? n - LOG_LINES : 0; i < n; i++)
		print_error("   %s", line[i % LOG_LINES]);
}

/* Addresses */

static bool
can_bind(const char *ip, int number)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)number)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok;

	if (fd == -1)
		return false;
	inet_pton(AF_INET, ip, &sin.sin_addr);
	ok = bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
	close(fd);
	return ok;
}

void
proc_addr(char addr[PROC_ADDR_LEN])
{
	unsigned id = (unsigned)getpid();
	char ip[INET_ADDRSTRLEN];

	/* 127.64.0.0/10 by process ID, unique among live test programs. */
	snprintf(ip, sizeof(ip), "127.%u.%u.%u", 64 + ((id >> 16) & 63),
	    (id >> 8) & 255, id & 255);
	while (next_port <= LAST_PORT && !can_bind(ip, next_port))
		next_port++;
	if (next_port > LAST_PORT)
		fail_msg("no free port on %s", ip);
	snprintf(addr, PROC_ADDR_LEN, "%s:%d", ip, next_port++);
}

/* Processes */

/* Path of an executable in the test program's own directory. */
static void
sibling_path(char *buf, size_t len, const char *prog)
{
	char self[256];
	ssize_t n = readlink("/proc/self/exe", self, sizeof(self) - 1);
	char *slash;

	self[n < 0 ? 0 : n] = '\0';
	slash = strrchr(self, '/');
	if (slash == NULL)
		fail_msg("readlink: %s", strerror(errno));
	else
		*slash = '\0';
	snprintf(buf, len, "%s/%s", self, prog);
}

static long
file_size(const char *path)
{
	struct stat st;

	return stat(path, &st) == 0 ? (long)st.st_size : 0;
}

static void
spawn(struct proc *p)
{
	posix_spawn_file_actions_t fa;
	posix_spawnattr_t attr;
	char path[512], log[256];
	sigset_t none;
	int err;

	sibling_path(path, sizeof(path), p->prog);
	proc_path(log, sizeof(log), p->name);
	p->log_offset = file_size(log);
	sigemptyset(&none);
	posix_spawnattr_init(&attr);
	posix_spawnattr_setsigmask(&attr, &none);
	posix_spawnattr_setflags(&attr, POSIX_SPAWN_SETSIGMASK);
	posix_spawn_file_actions_init(&fa);
	posix_spawn_file_actions_addopen(&fa, 0, "/dev/null", O_RDONLY, 0);
	posix_spawn_file_actions_addopen(
	    &fa, 1, log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(&fa, 1, 2);
	err = posix_spawn(&p->pid, path, &fa, &attr, p->argv, environ);
	posix_spawn_file_actions_destroy(&fa);
	posix_spawnattr_destroy(&attr);
	if (err != 0) {
		p->pid = 0;
		fail_msg("start %s: %s", path, strerror(err));
	}
}

struct proc *
proc_start(const char *name, const char *prog, const char *const args[])
{
	struct proc *p = &procs[nprocs];
	int i;

	init();
	if (nprocs == PROCS)
		fail_msg("more than %d processes", PROCS);
	memset(p, 0, sizeof(*p));
	snprintf(p->name, sizeof(p->name), "%s", name);
	snprintf(p->prog, sizeof(p->prog), "%s", prog);
	p->argv[0] = p->prog;
	for (i = 0; i < PROC_ARGS && args[i] != NULL; i++)
		p->argv[i + 1] = strdup(args[i]);
	nprocs++;
	spawn(p);
	return p;
}

void
proc_restart(struct proc *p)
{
	assert_int_equal(p->pid, 0);
	spawn(p);
}

/* Reaps the process, with waitpid() flags; returns whether it has exited. */
static bool
reap(struct proc *p, int flags)
{
	pid_t r;

	if (p->pid == 0)
		return true;
	do
		r = waitpid(p->pid, &p->status, flags);
	while (r == -1 && errno == EINTR);
	if (r == 0)
		return false;
	p->pid = 0;
	return true;
}

bool
proc_alive(struct proc *p)
{
	return !reap(p, WNOHANG);
}

void
proc_kill(struct proc *p)
{
	if (p->pid == 0)
		return;
	kill(p->pid, SIGKILL);
	reap(p, 0);
}

void
proc_term(const struct proc *p)
{
	if (p->pid != 0)
		kill(p->pid, SIGTERM);
}

static bool
has_ended(void *arg)
{
	return !proc_alive(arg);
}

int
proc_wait(struct proc *p)
{
	proc_until("exit of a process", has_ended, p);
	return WIFEXITED(p->status) ? WEXITSTATUS(p->status) : -1;
}

void
proc_pause(const struct proc *p)
{
	int status;

	assert_int_not_equal(p->pid, 0);
	kill(p->pid, SIGSTOP);
	assert_int_equal(waitpid(p->pid, &status, WUNTRACED), p->pid);
	assert_true(WIFSTOPPED(status));
}

void
proc_resume(const struct proc *p)
{
	assert_int_not_equal(p->pid, 0);
	kill(p->pid, SIGCONT);
}

void
proc_end_all(void)
{
	char **a;
	int i;

	for (i = 0; i < nprocs; i++) {
		proc_kill(&procs[i]);
		for (a = procs[i].argv + 1; *a != NULL; a++)
			free(*a);
	}
	nprocs = 0;
	if (temp_dir[0] == '\0')
		return;
	if (getenv("PROC_KEEP") == NULL)
		nftw(temp_dir, remove_entry, 8, FTW_DEPTH | FTW_PHYS);
	else
		print_message("logs are kept in %s\n", temp_dir);
	temp_dir[0] = '\0';
}

int
proc_teardown(void **state)
{
	(void)state;
	proc_end_all();
	return 0;
}

int
proc_setup(void **state)
{
	(void)state;
	proc_end_all();
	return 0;
}

void
proc_until(const char *what, bool (*cond)(void *arg), void *arg)
{
	int64_t limit = proc_now_ms() + PROC_LIMIT_MS;
	int i;

	while (!cond(arg)) {
		if (proc_now_ms() > limit) {
			for (i = 0; i < nprocs; i++)
				log_tail(&procs[i]);
			fail_msg("limit reached waiting for %s", what);
		}
		proc_sleep_ms(PROC_POLL_MS);
	}
}

static bool
ready_or_ended(void *arg)
{
	struct proc *p = arg;

	return proc_logged(p, "\"event\":\"ready\"") || !proc_alive(p);
}

void
proc_ready(struct proc *p)
{
	proc_until(p->name, ready_or_ended, p);
	if (!proc_alive(p))
		fail_msg("%s exited during startup", p->name);
}

struct proc *
proc_standin(const char *prog, char addr[PROC_ADDR_LEN],
    char fault[PROC_ADDR_LEN], const char *const args[])
{
	const char *all[PROC_ARGS + 1] = {
	    "--listen", addr, "--fault", fault, NULL};
	char name[PROC_NAME_LEN];
	struct proc *p;
	int i;

	proc_addr(addr);
	proc_addr(fault);
	for (i = 0; i < PROC_ARGS - 4 && args[i] != NULL; i++)
		all[i + 4] = args[i];
	snprintf(name, sizeof(name), "%s-%s", prog, addr);
	p = proc_start(name, prog, all);
	proc_ready(p);
	return p;
}
