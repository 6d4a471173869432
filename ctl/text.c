/*
 * text.c -- the commands validate, diff and show.
 */
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "text.h"

struct args {
	struct ctl *c;
	const char *file;
	const char *output;
	long long version;
	bool takes_file;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;
	char *end;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = a->c;
		break;
	case 'v':
		a->version = strtoll(arg, &end, 10);
		if (*arg == '\0' || *end != '\0' || a->version < 0)
			argp_error(state, "'%s' is not a version number", arg);
		break;
	case 'o':
		a->output = arg;
		break;
	case ARGP_KEY_ARG:
		if (a->file != NULL || !a->takes_file)
			argp_error(state, "too many arguments");
		a->file = arg;
		break;
	case ARGP_KEY_END:
		if (a->file == NULL && a->takes_file)
			argp_error(state, "FILE is missing");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp_child children[] = {
    {&ctl_global_argp, 0, "Common options:", 1}, {0}};

static const struct argp_option version_option[] = {
    {"version", 'v', "N", 0, "An older version (default: the newest)", 0}, {0}};
static const struct argp_option show_options[] = {
    {"version", 'v', "N", 0, "An older version (default: the newest)", 0},
    {"output", 'o', "FILE", 0,
	"Write FILE, and FILE.base with its version for apply", 0},
    {0}};

static const struct argp validate_argp = {NULL, parse_option, "FILE",
    "Checks a services text without contacting a daemon.", children, NULL,
    NULL};
static const struct argp diff_argp = {version_option, parse_option, "FILE",
    "Shows the difference between the accepted text and FILE.", children, NULL,
    NULL};
static const struct argp show_argp = {show_options, parse_option, "",
    "Shows the accepted text.", children, NULL, NULL};

int
ctl_validate(struct ctl *c, int argc, char **argv)
{
	struct args a = {.c = c, .takes_file = true};
	struct mu_text *t;
	struct mu_error e;
	char *text;
	int rc;

	if (argp_parse(&validate_argp, argc, argv, 0, NULL, &a) != 0)
		return CTL_USAGE;
	text = ctl_read_file(c, a.file);
	if (text == NULL)
		return CTL_FAILED;
	rc = mu_text_parse(text, strlen(text), &t, &e);
	free(text);
	if (rc != 0) {
		(void)fprintf(c->err, "musherctl: %s: ", a.file);
		ctl_puts(c->err, e.message);
		(void)fputc('\n', c->err);
		return CTL_FAILED;
	}
	(void)fprintf(c->out, "%s: valid, %u services\n", a.file, t->nservices);
	mu_text_free(t);
	return CTL_OK;
}

int
ctl_diff(struct ctl *c, int argc, char **argv)
{
	struct args a = {.c = c, .version = -1, .takes_file = true};
	json_t *config;
	char *text, *diff;
	int rc;

	if (argp_parse(&diff_argp, argc, argv, 0, NULL, &a) != 0)
		return CTL_USAGE;
	text = ctl_read_file(c, a.file);
	if (text == NULL)
		return CTL_FAILED;
	rc = ctl_get_config(c, a.version, &config);
	if (rc == CTL_OK) {
		diff = mu_text_diff(ctl_json_string(config, "text"), text);
		if (diff != NULL)
			ctl_puts(c->out, diff);
		free(diff);
	}
	free(text);
	json_decref(config);
	return rc;
}

static int
save_config(struct args *a, const json_t *config)
{
	int rc =
	    ctl_write_file(a->c, a->output, ctl_json_string(config, "text"));

	if (rc != CTL_OK)
		return rc;
	return ctl_write_base_version(
	    a->c, a->output, (long long)ctl_json_int(config, "version"));
}

int
ctl_show(struct ctl *c, int argc, char **argv)
{
	struct args a = {.c = c, .version = -1};
	json_t *config;
	int rc;

	if (argp_parse(&show_argp, argc, argv, 0, NULL, &a) != 0)
		return CTL_USAGE;
	rc = ctl_get_config(c, a.version, &config);
	if (rc == CTL_OK && a.output != NULL)
		rc = save_config(&a, config);
	else if (rc == CTL_OK && !ctl_print_json(c, config)) {
		(void)fprintf(c->err, "version %lld by ",
		    (long long)ctl_json_int(config, "version"));
		ctl_puts(c->err, ctl_json_string(config, "by"));
		(void)fprintf(c->err, "; this host runs version %lld\n",
		    (long long)ctl_json_int(config, "in_force"));
		ctl_puts(c->out, ctl_json_string(config, "text"));
	}
	json_decref(config);
	return rc;
}
