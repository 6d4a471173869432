/*
 * apply.c -- submits a services text and waits for its rollout.
 *
 * Each submission carries a token generated here, so that sending it again
 * after a lost response returns the result of the first.  It also names the
 * version that the file is based on.  When another change was accepted first,
 * the operator is shown its author and diff, and `--rebase` merges the file's
 * change into the newest version.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "ctl.h"
#include "text.h"

#define TOKEN_BYTES 16
#define TOKEN_HEX_SIZE (2 * TOKEN_BYTES + 1)
#define DEFAULT_TIMEOUT_S 30
#define POLL_INTERVAL_MS 300
#define OPT_BASE 'b'
#define OPT_NOTE 'n'
#define OPT_WAIT 'w'
#define OPT_TIMEOUT 't'
#define OPT_TOKEN 0x100
#define OPT_REBASE 0x101

struct apply {
	struct ctl *c;
	const char *file;
	const char *note;
	const char *token;
	char generated_token[TOKEN_HEX_SIZE];
	long long base_version;
	unsigned timeout_s;
	bool wait;
	bool rebase;
	char *text;
};

static const struct argp_option options[] = {
    {"base", OPT_BASE, "N", 0,
	"Version that FILE is based on (default: from FILE.base)", 0},
    {"note", OPT_NOTE, "TEXT", 0, "Note for the audit trail", 0},
    {"wait", OPT_WAIT, NULL, 0,
	"Wait until every live host has the new version", 0},
    {"timeout", OPT_TIMEOUT, "SECONDS", 0, "Time limit (default: 30)", 0},
    {"rebase", OPT_REBASE, NULL, 0,
	"Merge the change of FILE into the newest version, rewrite FILE "
	"and submit it",
	0},
    {"token", OPT_TOKEN, "TOKEN", 0,
	"Token of an earlier submission whose result is unknown", 0},
    {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct apply *a = state->input;
	char *end;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = a->c;
		break;
	case OPT_BASE:
		a->base_version = strtoll(arg, &end, 10);
		if (*arg == '\0' || *end != '\0' || a->base_version < 0)
			argp_error(
			    state, "--base: '%s' is not a version number", arg);
		break;
	case OPT_NOTE:
		a->note = arg;
		break;
	case OPT_WAIT:
		a->wait = true;
		break;
	case OPT_TIMEOUT:
		a->timeout_s = (unsigned)strtoul(arg, &end, 10);
		if (*end != '\0' || a->timeout_s == 0)
			argp_error(state,
			    "--timeout: '%s' is not a number of seconds", arg);
		break;
	case OPT_REBASE:
		a->rebase = true;
		break;
	case OPT_TOKEN:
		a->token = arg;
		break;
	case ARGP_KEY_ARG:
		if (a->file != NULL)
			argp_error(state, "only one FILE may be given");
		a->file = arg;
		break;
	case ARGP_KEY_END:
		if (a->file == NULL)
			argp_error(state, "FILE is missing");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp_child children[] = {
    {&ctl_global_argp, 0, "Common options:", 1}, {0}};
static const struct argp argp = {options, parse_option, "FILE",
    "Submits a services text.\vThe text is validated locally first.  It "
    "is refused unless its base is the version in force.",
    children, NULL, NULL};

/* Validates text as the daemon does; prints the error. */
static int
check_text(struct ctl *c, const char *file, const char *text)
{
	struct mu_text *t;
	struct mu_error e;

	if (mu_text_parse(text, strlen(text), &t, &e) != 0) {
		(void)fprintf(c->err, "musherctl: %s: ", file);
		ctl_puts(c->err, e.message);
		(void)fputc('\n', c->err);
		return CTL_FAILED;
	}
	mu_text_free(t);
	return CTL_OK;
}

static void
print_diff(struct ctl *c, const char *from, const char *to)
{
	char *d = mu_text_diff(from, to);

	if (d != NULL)
		ctl_puts(c->out, d);
	free(d);
}

static void
ensure_token(struct apply *a)
{
	unsigned char raw[TOKEN_BYTES];

	if (a->token != NULL)
		return;
	randombytes_buf(raw, sizeof(raw));
	(void)sodium_bin2hex(
	    a->generated_token, sizeof(a->generated_token), raw, sizeof(raw));
	a->token = a->generated_token;
}

/* Prints who submitted the accepted version, its diff and how to rebase. */
static void
explain_conflict(struct apply *a, const json_t *answer)
{
	struct ctl *c = a->c;
	json_t *theirs = NULL, *base = NULL;

	(void)fprintf(c->err, "musherctl: version %lld by ",
	    (long long)ctl_json_int(answer, "version"));
	ctl_puts(c->err, ctl_json_string(answer, "by"));
	(void)fprintf(c->err,
	    " was accepted before this change, which is based on version "
	    "%lld.\n",
	    a->base_version);
	if (ctl_get_config(c, -1, &theirs) == CTL_OK &&
	    (a->base_version == 0 ||
		ctl_get_config(c, a->base_version, &base) == CTL_OK)) {
		(void)fprintf(c->out, "What has changed since version %lld:\n",
		    a->base_version);
		print_diff(c, ctl_json_string(base, "text"),
		    ctl_json_string(theirs, "text"));
	}
	(void)fprintf(c->err,
	    "To merge this change into it: musherctl apply --rebase "
	    "--base %lld %s\n",
	    a->base_version, a->file);
	json_decref(theirs);
	json_decref(base);
}

/* Merges the file's change into the newest text; sets a->base_version. */
static int
rebase(struct apply *a)
{
	struct ctl *c = a->c;
	json_t *theirs = NULL, *base = NULL;
	char *merged = NULL;
	int rc, err;

	if ((rc = ctl_get_config(c, -1, &theirs)) != CTL_OK ||
	    (a->base_version > 0 &&
		(rc = ctl_get_config(c, a->base_version, &base)) != CTL_OK))
		goto out;
	err = ctl_merge(ctl_json_string(base, "text"), a->text,
	    ctl_json_string(theirs, "text"), &merged);
	if (err != 0) {
		(void)fprintf(c->err,
		    "musherctl: both changed the same lines; %s is left "
		    "unchanged.  The other change:\n",
		    a->file);
		print_diff(c, ctl_json_string(base, "text"),
		    ctl_json_string(theirs, "text"));
		rc = CTL_CONFLICT;
		goto out;
	}
	a->base_version = ctl_json_int(theirs, "version");
	(void)fprintf(c->out, "On top of version %lld:\n", a->base_version);
	print_diff(c, ctl_json_string(theirs, "text"), merged);
	free(a->text);
	a->text = merged;
	rc = check_text(c, a->file, a->text);
	if (rc == CTL_OK && strcmp(a->file, "-") != 0)
		rc = ctl_write_file(c, a->file, a->text);
	if (rc == CTL_OK)
		rc = ctl_write_base_version(c, a->file, a->base_version);
out:
	json_decref(theirs);
	json_decref(base);
	return rc;
}

/* Submits the text; sets *version when it was accepted. */
static int
submit(struct apply *a, json_int_t *version)
{
	struct ctl *c = a->c;
	json_t *request, *answer = NULL;
	int rc, http;

	ensure_token(a);
	request =
	    json_pack("{s:I,s:s,s:s,s:s}", "base", (json_int_t)a->base_version,
		"text", a->text, "note", a->note, "token", a->token);
	if (request == NULL) {
		(void)fprintf(c->err, "musherctl: %s is not UTF-8\n", a->file);
		return CTL_FAILED;
	}
	rc = ctl_post(c, "/v1/config", request, a->timeout_s, &http, &answer);
	json_decref(request);
	if (rc == CTL_OK)
		*version = ctl_json_int(answer, "version");
	if (rc == CTL_CONFLICT)
		explain_conflict(a, answer);
	if (rc == CTL_RESULT_UNKNOWN)
		(void)fprintf(c->err,
		    "musherctl: the result is unknown.  To find out: "
		    "musherctl apply --token %s --base %lld %s\n",
		    a->token, a->base_version, a->file);
	json_decref(answer);
	return rc;
}

/* Counts the live entry hosts that do not have version yet. */
static unsigned
count_outdated_hosts(struct ctl *c, const json_t *status, json_int_t version,
    unsigned *live, bool print_each)
{
	json_t *h;
	size_t i;
	unsigned outdated = 0;

	*live = 0;
	json_array_foreach (json_object_get(status, "hosts"), i, h) {
		if (strcmp(ctl_json_string(h, "state"), "live") != 0 ||
		    strcmp(ctl_json_string(h, "role"), "endpoint") == 0)
			continue;
		++*live;
		if (ctl_json_int(h, "config_version") >= version)
			continue;
		outdated++;
		if (!print_each)
			continue;
		(void)fputs("  ", c->err);
		ctl_print_cell(c->err, h, "name", 0);
		(void)fprintf(c->err, "has version %lld%s\n",
		    (long long)ctl_json_int(h, "config_version"),
		    json_is_false(json_object_get(h, "up"))
			? " and does not respond"
			: "");
	}
	return outdated;
}

static int
wait_for_rollout(struct apply *a, json_int_t version)
{
	struct ctl *c = a->c;
	struct mu_clock clock;
	json_t *status = NULL;
	unsigned live = 0, outdated = 1, last_outdated = UINT32_MAX;
	mu_us end;

	mu_clock_real(&clock);
	end = mu_now(&clock) + (mu_us)a->timeout_s * MU_US_PER_S;
	for (;;) {
		json_decref(status);
		if (ctl_get(c, "/v1/status", &status) == CTL_OK) {
			outdated = count_outdated_hosts(
			    c, status, version, &live, false);
			if (outdated != last_outdated && !c->json)
				(void)fprintf(c->out,
				    "%u of %u hosts have version %lld\n",
				    live - outdated, live, (long long)version);
			last_outdated = outdated;
		}
		if ((outdated == 0 && live > 0) || mu_now(&clock) >= end)
			break;
		(void)usleep(POLL_INTERVAL_MS * 1000);
	}
	if (outdated > 0 || live == 0) {
		(void)fprintf(c->err,
		    "musherctl: version %lld is accepted but was not seen on "
		    "every live host within %u s:\n",
		    (long long)version, a->timeout_s);
		(void)count_outdated_hosts(c, status, version, &live, true);
	}
	json_decref(status);
	return outdated == 0 && live > 0 ? CTL_OK : CTL_NOT_ON_ALL_HOSTS;
}

/* Queries the accepted version only when the file's base is not known. */
static int
find_base_version(struct apply *a)
{
	struct ctl *c = a->c;
	json_t *newest;
	int rc;

	if (a->base_version < 0)
		a->base_version = ctl_read_base_version(a->file);
	if (a->base_version >= 0)
		return CTL_OK;
	rc = ctl_get_config(c, -1, &newest);
	if (rc == CTL_OK && ctl_json_int(newest, "version") == 0)
		a->base_version = 0;
	else if (rc == CTL_OK) {
		(void)fprintf(c->err,
		    "musherctl: version %lld is in force and it is not known "
		    "which one %s is based on; give --base N, or start from "
		    "musherctl show -o FILE\n",
		    (long long)ctl_json_int(newest, "version"), a->file);
		rc = CTL_USAGE;
	}
	json_decref(newest);
	return rc;
}

int
ctl_apply(struct ctl *c, int argc, char **argv)
{
	struct apply a = {.c = c,
	    .note = "",
	    .base_version = -1,
	    .timeout_s = DEFAULT_TIMEOUT_S};
	json_int_t version = 0;
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &a) != 0)
		return CTL_USAGE;
	a.text = ctl_read_file(c, a.file);
	if (a.text == NULL)
		return CTL_FAILED;
	if ((rc = check_text(c, a.file, a.text)) != CTL_OK ||
	    (rc = find_base_version(&a)) != CTL_OK)
		goto out;
	if (a.rebase && (rc = rebase(&a)) != CTL_OK)
		goto out;
	if ((rc = submit(&a, &version)) != CTL_OK)
		goto out;
	(void)ctl_write_base_version(c, a.file, version);
	if (c->json)
		(void)fprintf(
		    c->out, "{\"version\":%lld}\n", (long long)version);
	else
		(void)fprintf(
		    c->out, "accepted as version %lld\n", (long long)version);
	if (a.wait)
		rc = wait_for_rollout(&a, version);
out:
	free(a.text);
	return rc;
}
