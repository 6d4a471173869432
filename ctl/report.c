/*
 * report.c -- the commands status, hosts, programs, explain, audit and drain.
 *
 * Each prints the daemon's JSON with --json and text otherwise.
 */
#include <stdlib.h>
#include <string.h>

#include <neon/ne_alloc.h>
#include <neon/ne_uri.h>

#include "ctl.h"

#define POSITIONAL_MAX 2
/* One log file for each daemon, at twice the largest fleet. */
#define LOG_FILES_MAX 1024
#define TARGET_BYTES 512
#define NAME_WIDTH 16
#define ADDR_WIDTH 21
#define NUMBER_WIDTH 8
#define DRAIN_TIMEOUT_S 30

struct args {
	struct ctl *c;
	const char *args[POSITIONAL_MAX];
	int nargs;
	int min_args;
	int max_args;
	const char *after_entry;
	const char *limit;
	const char *note;
	char *log_files[LOG_FILES_MAX];
	size_t nlog_files;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = a->c;
		break;
	case 'a':
		a->after_entry = arg;
		break;
	case 'l':
		a->limit = arg;
		break;
	case 'n':
		a->note = arg;
		break;
	case 'f':
		if (a->nlog_files == LOG_FILES_MAX)
			argp_error(state, "too many log files");
		a->log_files[a->nlog_files++] = arg;
		break;
	case ARGP_KEY_ARG:
		if (a->nargs >= a->max_args)
			argp_error(state, "too many arguments");
		a->args[a->nargs++] = arg;
		break;
	case ARGP_KEY_END:
		if (a->nargs < a->min_args)
			argp_error(state, "an argument is missing");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	if ((key == 'a' || key == 'l') &&
	    (*arg == '\0' || arg[strspn(arg, "0123456789")] != '\0'))
		argp_error(state, "'%s' is not a number", arg);
	return 0;
}

static const struct argp_child children[] = {
    {&ctl_global_argp, 0, "Common options:", 1}, {0}};
static const struct argp_option audit_options[] = {
    {"after", 'a', "N", 0, "Entries after number N (default: 0)", 0},
    {"limit", 'l', "L", 0, "At most L entries (default: 100)", 0}, {0}};
static const struct argp_option programs_options[] = {
    {"limit", 'l', "L", 0, "At most L programs per host (default: 100)", 0},
    {0}};
static const struct argp_option explain_options[] = {
    {"log", 'f', "FILE", 0,
	"Show the events of a request from the log lines in FILE (-: "
	"standard input) without contacting a daemon; may be repeated, once "
	"for each daemon",
	0},
    {0}};
static const struct argp_option drain_options[] = {
    {"note", 'n', "TEXT", 0, "Note for the audit trail", 0}, {0}};

static const struct argp status_argp = {NULL, parse_option, "",
    "Shows the state of the host that responds.", children, NULL, NULL};
static const struct argp hosts_argp = {NULL, parse_option, "",
    "Lists entry hosts and endpoints.", children, NULL, NULL};
static const struct argp programs_argp = {programs_options, parse_option, "",
    "Lists the programs that each --operator host owns.", children, NULL, NULL};
static const struct argp explain_argp = {explain_options, parse_option,
    "PROGRAM [SEQ]\n--log FILE... REQUEST",
    "Shows each decision about a program or call, with its reason.", children,
    NULL, NULL};
static const struct argp audit_argp = {audit_options, parse_option, "",
    "Shows the audit trail of changes.", children, NULL, NULL};
static const struct argp drain_argp = {drain_options, parse_option, "HOST",
    "Stops (drain) or resumes (undrain) giving new work to an entry host or "
    "endpoint.",
    children, NULL, NULL};

static void
print_members(struct ctl *c, const json_t *o, const char *const *keys)
{
	for (; *keys != NULL; keys++) {
		(void)fprintf(c->out, "%-18s", *keys);
		ctl_print_cell(c->out, o, *keys, 0);
		(void)fputc('\n', c->out);
	}
}

static void
print_status(struct ctl *c, const json_t *s)
{
	static const char *const keys[] = {"host", "domain", "region",
	    "config_version", "accepted_version", "programs", "calls_running",
	    "calls_queued", "leaving", NULL};
	const json_t *platform = json_object_get(s, "platform");
	const json_t *lease = json_object_get(s, "lease");
	const json_t *slots = json_object_get(s, "slots");

	print_members(c, s, keys);
	(void)fprintf(c->out, "%-18s%s for %lld s\n", "platform",
	    json_is_true(json_object_get(platform, "ok")) ? "answers" : "down",
	    (long long)(ctl_json_int(platform, "since_ms") / 1000));
	(void)fprintf(c->out, "%-18s%s, %lld ms left\n", "lease",
	    json_is_true(json_object_get(lease, "held")) ? "held" : "not held",
	    (long long)ctl_json_int(lease, "left_ms"));
	(void)fprintf(c->out, "%-18s%lld of %lld\n", "slots owned",
	    (long long)ctl_json_int(slots, "owned"),
	    (long long)ctl_json_int(slots, "total"));
}

int
ctl_status(struct ctl *c, int argc, char **argv)
{
	struct args a = {.c = c};
	json_t *s;
	int rc;

	if (argp_parse(&status_argp, argc, argv, 0, NULL, &a) != 0)
		return CTL_USAGE;
	rc = ctl_get(c, "/v1/status", &s);
	if (rc == CTL_OK && !ctl_print_json(c, s))
		print_status(c, s);
	json_decref(s);
	return rc;
}

struct column {
	const char *key;
	int width;
};

static void
print_table(struct ctl *c, const json_t *rows, const struct column *columns)
{
	const struct column *col;
	json_t *row;
	size_t i;

	for (col = columns; col->key != NULL; col++)
		(void)fprintf(c->out, "%-*s ", col->width, col->key);
	(void)fputc('\n', c->out);
	json_array_foreach (rows, i, row) {
		for (col = columns; col->key != NULL; col++)
			ctl_print_cell(c->out, row, col->key, col->width);
		(void)fputc('\n', c->out);
	}
}

int
ctl_hosts(struct ctl *c, int argc, char **argv)
{
	static const struct column hosts[] = {{"name", NAME_WIDTH},
	    {"state", NUMBER_WIDTH}, {"up", 4}, {"addr", ADDR_WIDTH},
	    {"config_version", 14}, {"running", NUMBER_WIDTH},
	    {"queued", NUMBER_WIDTH}, {NULL, 0}};
	static const struct column endpoints[] = {{"name", NAME_WIDTH},
	    {"service", NAME_WIDTH}, {"state", NUMBER_WIDTH},
	    {"domain", NAME_WIDTH}, {"addr", ADDR_WIDTH},
	    {"running", NUMBER_WIDTH}, {"queued", NUMBER_WIDTH},
	    {"report_age_ms", 13}, {NULL, 0}};
	struct args a = {.c = c};
	json_t *s;
	int rc;

	if (argp_parse(&hosts_argp, argc, argv, 0, NULL, &a) != 0)
		return CTL_USAGE;
	rc = ctl_get(c, "/v1/status", &s);
	if (rc == CTL_OK && !ctl_print_json(c, s)) {
		print_table(c, json_object_get(s, "hosts"), hosts);
		(void)fputc('\n', c->out);
		print_table(c, json_object_get(s, "endpoints"), endpoints);
	}
	json_decref(s);
	return rc;
}

/* A host lists only the programs that it owns, so all are queried. */
int
ctl_programs(struct ctl *c, int argc, char **argv)
{
	static const struct column columns[] = {{"program", MU_ID_LEN},
	    {"caller", NAME_WIDTH}, {"slot", NUMBER_WIDTH},
	    {"state", NUMBER_WIDTH}, {"seq", NUMBER_WIDTH},
	    {"tokens", NUMBER_WIDTH}, {NULL, 0}};
	struct args a = {.c = c, .limit = "100"};
	char target[TARGET_BYTES];
	json_t *programs = json_array(), *answer, *o;
	unsigned i;
	int rc = CTL_OK;

	if (argp_parse(&programs_argp, argc, argv, 0, NULL, &a) != 0 ||
	    ctl_load_environment(c) != CTL_OK)
		rc = CTL_USAGE;
	(void)snprintf(
	    target, sizeof(target), "/v1/programs?limit=%s", a.limit);
	for (i = 0; i < c->noperator_addrs && rc != CTL_USAGE; i++) {
		int host_rc =
		    ctl_get_from_port(c, c->operator_addrs[i], target, &answer);

		if (host_rc == CTL_OK)
			(void)json_array_extend(
			    programs, json_object_get(answer, "programs"));
		else
			rc = host_rc;
		json_decref(answer);
	}
	o = json_pack("{s:O}", "programs", programs);
	if (rc != CTL_USAGE && !ctl_print_json(c, o))
		print_table(c, programs, columns);
	json_decref(o);
	json_decref(programs);
	return rc;
}

static void
print_event(struct ctl *c, const json_t *e)
{
	char *detail = json_dumps(json_object_get(e, "detail"), JSON_COMPACT);

	ctl_print_time(c->out, e, "at_ms");
	ctl_print_cell(c->out, e, "host", NAME_WIDTH);
	ctl_print_cell(c->out, e, "seq", 4);
	ctl_print_cell(c->out, e, "decision", NAME_WIDTH);
	ctl_puts(c->out, ctl_json_string(e, "reason"));
	if (detail != NULL && strcmp(detail, "{}") != 0) {
		(void)fputs("  ", c->out);
		ctl_puts(c->out, detail);
	}
	(void)fputc('\n', c->out);
	free(detail);
}

int
ctl_explain(struct ctl *c, int argc, char **argv)
{
	struct args a = {.c = c, .min_args = 1, .max_args = 2};
	char target[TARGET_BYTES];
	char *program;
	json_t *s, *e;
	size_t i;
	int rc;

	if (argp_parse(&explain_argp, argc, argv, 0, NULL, &a) != 0)
		return CTL_USAGE;
	if (a.nlog_files > 0)
		return ctl_timeline(c, a.args[0], a.log_files, a.nlog_files);
	program = ne_path_escape(a.args[0]);
	(void)snprintf(target, sizeof(target), "/v1/explain/%.200s%s%.20s",
	    program, a.nargs > 1 ? "/" : "", a.nargs > 1 ? a.args[1] : "");
	ne_free(program);
	rc = ctl_get(c, target, &s);
	if (rc == CTL_OK && !ctl_print_json(c, s)) {
		(void)fputs("program ", c->out);
		ctl_print_cell(c->out, s, "program", 0);
		(void)fputs("owner ", c->out);
		ctl_print_cell(c->out, s, "owner", 0);
		(void)fputs("epoch ", c->out);
		ctl_print_cell(c->out, s, "epoch", 0);
		(void)fputc('\n', c->out);
		json_array_foreach (json_object_get(s, "events"), i, e) {
			print_event(c, e);
		}
	}
	json_decref(s);
	return rc;
}

static void
print_entry(struct ctl *c, const json_t *e)
{
	ctl_print_cell(c->out, e, "n", 5);
	ctl_print_time(c->out, e, "at_ms");
	ctl_print_cell(c->out, e, "who", NAME_WIDTH);
	ctl_print_cell(c->out, e, "action", NUMBER_WIDTH);
	ctl_print_cell(c->out, e, "from", 0);
	(void)fputs("-> ", c->out);
	ctl_print_cell(c->out, e, "to", 0);
	ctl_print_cell(c->out, e, "result", 0);
	ctl_puts(c->out, ctl_json_string(e, "note"));
	(void)fputc('\n', c->out);
	ctl_puts(c->out, ctl_json_string(e, "diff"));
}

int
ctl_audit(struct ctl *c, int argc, char **argv)
{
	struct args a = {.c = c, .after_entry = "0", .limit = "100"};
	char target[TARGET_BYTES];
	json_t *s, *e;
	size_t i;
	int rc;

	if (argp_parse(&audit_argp, argc, argv, 0, NULL, &a) != 0)
		return CTL_USAGE;
	(void)snprintf(target, sizeof(target),
	    "/v1/audit?after=%.20s&limit=%.20s", a.after_entry, a.limit);
	rc = ctl_get(c, target, &s);
	if (rc == CTL_OK && !ctl_print_json(c, s)) {
		json_array_foreach (json_object_get(s, "entries"), i, e) {
			print_entry(c, e);
		}
	}
	json_decref(s);
	return rc;
}

int
ctl_drain(struct ctl *c, int argc, char **argv)
{
	struct args a = {.c = c, .min_args = 1, .max_args = 1, .note = ""};
	bool undrain = strstr(argv[0], "undrain") != NULL;
	json_t *request, *s = NULL;
	int rc, http;

	if (argp_parse(&drain_argp, argc, argv, 0, NULL, &a) != 0)
		return CTL_USAGE;
	request = json_pack("{s:s,s:s}", "host", a.args[0], "note", a.note);
	if (request == NULL)
		return CTL_USAGE;
	rc = ctl_post(c, undrain ? "/v1/undrain" : "/v1/drain", request,
	    DRAIN_TIMEOUT_S, &http, &s);
	json_decref(request);
	if (rc == CTL_OK && !ctl_print_json(c, s)) {
		ctl_print_cell(c->out, s, "host", 0);
		(void)fputs(json_is_true(json_object_get(s, "drained"))
				? "gets no new work\n"
				: "gets new work\n",
		    c->out);
	}
	if (rc == CTL_RESULT_UNKNOWN)
		(void)fputs("musherctl: the result is unknown; the command "
			    "can be given again\n",
		    c->err);
	json_decref(s);
	return rc;
}
