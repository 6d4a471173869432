/*
 * main.c -- musherload, a load and experiment tool.
 *
 * Runs agent programs against daemons as a caller would, one thread per
 * concurrent program, and checks the invariants that a caller can observe.
 */
#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

#define PROGRAMS_MAX 4096
#define THREAD_STACK_BYTES ((size_t)256 * 1024)

enum load_exit {
	LOAD_EXIT_OK = 0,
	LOAD_EXIT_FAULTS = 1, /* an invariant was violated */
	LOAD_EXIT_USAGE = 2,
	LOAD_EXIT_FAILED = 3 /* no program completed, or no report */
};

const char *argp_program_version = "musherload " MU_VERSION;

static const struct argp_option options[] = {
    {"address", 'a', "IP:PORT", 0, "Address of a daemon; may be repeated", 0},
    {"key", 'k', "KEY", 0, "Customer key", 0},
    {"shape", 's', "trust|hotline", 0, "Workload shape (trust)", 0},
    {"programs", 'n', "N", 0, "Concurrent programs (8)", 0},
    {"repeat", 'r', "N", 0, "Programs per thread, run one by one (1)", 0},
    {"turns", 't', "N", 0, "Model calls per program (6)", 0},
    {"think-ms", 'p', "MS", 0, "Mean think time between calls (50)", 0},
    {"patience-s", 'w', "S", 0, "Timeout of a call, with retries (60)", 0},
    {"read-s", 'i', "S", 0, "Read timeout of a connection (20)", 0},
    {"seed", 'S', "N", 0, "Seed of lengths, pauses and tool calls (1)", 0},
    {"json", 'j', NULL, 0, "Print the report as JSON", 0},
    {"plot", 'P', "DIR", 0, "Write histograms and latency.gp to DIR", 0},
    {"record", 'R', "FILE", 0,
	"Write the last outcome of each non-idempotent call", 0},
    {0}};

static unsigned
parse_number(struct argp_state *state, const char *arg, unsigned long min,
    unsigned long max)
{
	char *end;
	unsigned long n = strtoul(arg, &end, 10);

	if (*arg == '\0' || *end != '\0' || n < min || n > max)
		argp_error(state, "'%s': expected an integer %lu to %lu", arg,
		    min, max);
	return (unsigned)n;
}

static void
set_shape(struct argp_state *state, struct load_opts *o, const char *arg)
{
	if (strcmp(arg, "trust") == 0)
		o->shape = SHAPE_TRUST;
	else if (strcmp(arg, "hotline") == 0)
		o->shape = SHAPE_HOTLINE;
	else
		argp_error(state, "--shape: expected trust or hotline");
}

static void
add_address(struct argp_state *state, struct load_opts *o, const char *arg)
{
	char ip[MU_ADDR_LEN];
	uint16_t port;

	if (mu_addr_parse(arg, ip, &port) != 0)
		argp_error(state, "'%s' is not IP:PORT", arg);
	if (o->naddress == LOAD_ADDRESSES_MAX)
		argp_error(state, "too many --address");
	o->address[o->naddress++] = arg;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct load_opts *o = state->input;

	switch (key) {
	case 'a':
		add_address(state, o, arg);
		break;
	case 'k':
		o->key = arg;
		break;
	case 's':
		set_shape(state, o, arg);
		break;
	case 'n':
		o->programs = parse_number(state, arg, 1, PROGRAMS_MAX);
		break;
	case 'r':
		o->repeat = parse_number(state, arg, 1, 1000000);
		break;
	case 't':
		o->turns = parse_number(state, arg, 1, 10000);
		break;
	case 'p':
		o->think_ms = parse_number(state, arg, 0, 600000);
		break;
	case 'w':
		o->call_timeout_s = parse_number(state, arg, 1, 3600);
		break;
	case 'i':
		o->read_timeout_s = (int)parse_number(state, arg, 1, 3600);
		break;
	case 'S':
		o->seed = strtoull(arg, NULL, 10);
		break;
	case 'j':
		o->json = true;
		break;
	case 'P':
		o->plot_dir = arg;
		break;
	case 'R':
		o->record_file = arg;
		break;
	case ARGP_KEY_END:
		if (o->naddress == 0)
			argp_error(state, "--address is missing");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = {options, parse_option, "",
    "Runs agent programs against daemons and checks their answers.\v"
    "Exit status: 0 all checks passed, 1 a check failed, 2 usage error, "
    "3 no program completed or the report could not be written.",
    NULL, NULL, NULL};

struct worker {
	pthread_t thread;
	const struct load_opts *opts;
	struct load_tally *tally;
	unsigned index;
};

static void *
run_worker(void *arg)
{
	struct worker *w = arg;
	unsigned i;

	for (i = 0; i < w->opts->repeat; i++)
		load_program_run(w->opts, w->tally, w->index,
		    i * w->opts->programs + w->index);
	return NULL;
}

/* Runs all programs; returns the number of threads started. */
static unsigned
run_workers(const struct load_opts *opts, struct load_tally *t)
{
	struct worker *w = calloc(opts->programs, sizeof(*w));
	pthread_attr_t attr;
	unsigned i, n = 0;

	if (w == NULL)
		return 0;
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	for (i = 0; i < opts->programs; i++) {
		w[i].opts = opts;
		w[i].tally = t;
		w[i].index = i;
		if (pthread_create(&w[i].thread, &attr, run_worker, &w[i]) != 0)
			break;
		n++;
	}
	for (i = 0; i < n; i++)
		pthread_join(w[i].thread, NULL);
	pthread_attr_destroy(&attr);
	free(w);
	return n;
}

int
main(int argc, char **argv)
{
	struct load_opts opts = {.shape = SHAPE_TRUST,
	    .programs = 8,
	    .repeat = 1,
	    .turns = 6,
	    .think_ms = 50,
	    .call_timeout_s = 60,
	    .read_timeout_s = 20,
	    .seed = 1};
	struct load_tally *t;
	struct mu_clock clock;
	mu_us start;
	unsigned started;
	int rc = LOAD_EXIT_FAILED;

	argp_err_exit_status = LOAD_EXIT_USAGE;
	if (argp_parse(&argp, argc, argv, 0, NULL, &opts) != 0)
		return LOAD_EXIT_USAGE;
	t = malloc(sizeof(*t));
	if (t == NULL || mu_tool_init() != 0)
		goto out;
	tally_init(t);
	mu_clock_real(&clock);
	start = mu_now(&clock);
	started = run_workers(&opts, t);
	if (report_write(&opts, t, mu_now(&clock) - start) == 0 &&
	    started == opts.programs && t->programs_done > 0)
		rc = tally_no_faults(t) ? LOAD_EXIT_OK : LOAD_EXIT_FAULTS;
	else if (!tally_no_faults(t))
		rc = LOAD_EXIT_FAULTS;
	tally_clear(t);
out:
	free(t);
	return rc;
}
