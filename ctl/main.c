/*
 * main.c -- musherctl, the operators' command-line tool.
 *
 * Common options are accepted before and after the subcommand: the main parser
 * stops at the first non-option argument, and each subcommand's parser has the
 * parser of the common options as a child.
 */
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "toolhttp.h"

#define ENV_OPERATORS "MUSHERCTL_OPERATORS"
#define ENV_KEY "MUSHERCTL_KEY"
#define COMMAND_NAME_BYTES 64
#define OPT_JSON 0x200
#define OPT_KEY 0x201
#define OPT_KEY_FILE 0x202

const char *argp_program_version = "musherctl " MU_VERSION;

static const struct {
	const char *name;
	int (*run)(struct ctl *c, int argc, char **argv);
} commands[] = {
    {"apply", ctl_apply},
    {"validate", ctl_validate},
    {"diff", ctl_diff},
    {"show", ctl_show},
    {"status", ctl_status},
    {"hosts", ctl_hosts},
    {"programs", ctl_programs},
    {"explain", ctl_explain},
    {"audit", ctl_audit},
    {"drain", ctl_drain},
    {"undrain", ctl_drain},
};
#define NCOMMANDS (sizeof(commands) / sizeof(commands[0]))

static const struct argp_option global_options[] = {
    {"operator", 'O', "IP:PORT,...", 0,
	"Operators' port of a daemon; may be repeated or given as a "
	"comma-separated list.  The next one is tried when one does not "
	"respond (default: $" ENV_OPERATORS ")",
	0},
    {"key", OPT_KEY, "KEY", 0, "Operator's key (default: $" ENV_KEY ")", 0},
    {"key-file", OPT_KEY_FILE, "FILE", 0, "Read the key from FILE", 0},
    {"json", OPT_JSON, NULL, 0, "Print JSON", 0}, {0}};

/* Adds a list of addresses; false if one is malformed or there are too many. */
static bool
add_operator_addrs(struct ctl *c, const char *list)
{
	char ip[MU_ADDR_LEN];
	uint16_t port;
	char *addr;
	size_t n;

	for (; *list != '\0'; list += n + (list[n] == ',')) {
		n = strcspn(list, ",");
		if (n >= MU_ADDR_LEN || c->noperator_addrs == CTL_OPERATORS_MAX)
			return false;
		addr = c->operator_addrs[c->noperator_addrs];
		(void)snprintf(addr, MU_ADDR_LEN, "%.*s", (int)n, list);
		if (mu_addr_parse(addr, ip, &port) != 0)
			return false;
		c->noperator_addrs++;
	}
	return true;
}

static void
read_key(struct ctl *c, const char *file, struct argp_state *state)
{
	FILE *f = fopen(file, "re");
	bool ok = false;

	if (f != NULL) {
		ok = fgets(c->key, sizeof(c->key), f) != NULL;
		(void)fclose(f);
	}
	if (!ok)
		argp_error(state, "--key-file: %s cannot be read", file);
	c->key[strcspn(c->key, "\r\n")] = '\0';
}

static error_t
parse_global_option(int key, char *arg, struct argp_state *state)
{
	struct ctl *c = state->input;

	switch (key) {
	case 'O':
		if (!add_operator_addrs(c, arg))
			argp_error(state,
			    "'%s' is not a list of IP:PORT addresses", arg);
		break;
	case OPT_KEY:
		(void)snprintf(c->key, sizeof(c->key), "%s", arg);
		break;
	case OPT_KEY_FILE:
		read_key(c, arg, state);
		break;
	case OPT_JSON:
		c->json = true;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

const struct argp ctl_global_argp = {
    global_options, parse_global_option, NULL, NULL, NULL, NULL, NULL};

struct command_line {
	struct ctl *c;
	int command_index; /* index in argv; 0: none */
};

static error_t
parse_command_line(int key, char *arg, struct argp_state *state)
{
	struct command_line *command_line = state->input;

	(void)arg;
	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = command_line->c;
		return 0;
	case ARGP_KEY_ARG:
		command_line->command_index = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "COMMAND is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_child main_children[] = {
    {&ctl_global_argp, 0, NULL, 0}, {0}};
static const struct argp main_argp = {NULL, parse_command_line,
    "COMMAND [ARGUMENTS]",
    "Operates a cardamomusher fleet through its services text.\v"
    "Commands:\n"
    "  apply FILE              submit a services text\n"
    "  validate FILE           check a services text; contacts no daemon\n"
    "  diff FILE               compare FILE with the accepted text\n"
    "  show                    show the accepted text\n"
    "  status                  state of the host that responds\n"
    "  hosts                   entry hosts and endpoints\n"
    "  programs                programs and their owners\n"
    "  explain PROGRAM [SEQ]   each decision with its reason\n"
    "  explain --log FILE REQUEST  events of a request from logs; contacts no "
    "daemon\n"
    "  audit                   the audit trail of changes\n"
    "  drain HOST              stop giving a host or endpoint new work\n"
    "  undrain HOST            resume giving it new work\n\n"
    "musherctl COMMAND --help shows the options of a command.\n\n"
    "Exit status: 0 success, 1 refused or failed, 2 usage error, 3 another "
    "change was accepted first, 4 no operators' port responded, 5 the result "
    "is unknown, 6 accepted but not seen on every live host.",
    main_children, NULL, NULL};

int
ctl_load_environment(struct ctl *c)
{
	const char *operators = getenv(ENV_OPERATORS);
	const char *key = getenv(ENV_KEY);

	if (c->key[0] == '\0' && key != NULL)
		(void)snprintf(c->key, sizeof(c->key), "%s", key);
	if (c->noperator_addrs == 0 && operators != NULL &&
	    !add_operator_addrs(c, operators)) {
		(void)fputs("musherctl: $" ENV_OPERATORS
			    " is no list of IP:PORT\n",
		    c->err);
		return CTL_USAGE;
	}
	if (c->noperator_addrs > 0)
		return CTL_OK;
	(void)fputs("musherctl: give --operator IP:PORT or set "
		    "$" ENV_OPERATORS "\n",
	    c->err);
	return CTL_USAGE;
}

static int
run_command(struct ctl *c, int argc, char **argv)
{
	char name[COMMAND_NAME_BYTES];
	char *command = argv[0];
	size_t i;
	int rc;

	for (i = 0; i < NCOMMANDS; i++)
		if (strcmp(command, commands[i].name) == 0)
			break;
	if (i == NCOMMANDS) {
		(void)fprintf(c->err,
		    "musherctl: unknown command '%s'; see musherctl --help\n",
		    command);
		return CTL_USAGE;
	}
	(void)snprintf(name, sizeof(name), "musherctl %s", command);
	argv[0] = name;
	rc = commands[i].run(c, argc, argv);
	argv[0] = command;
	return rc;
}

int
main(int argc, char **argv)
{
	struct ctl c = {.out = stdout, .err = stderr};
	struct command_line command_line = {.c = &c};

	argp_err_exit_status = CTL_USAGE;
	if (mu_tool_init() != 0)
		return CTL_FAILED;
	if (argp_parse(&main_argp, argc, argv, ARGP_IN_ORDER, NULL,
		&command_line) != 0)
		return CTL_USAGE;
	return run_command(&c, argc - command_line.command_index,
	    argv + command_line.command_index);
}
