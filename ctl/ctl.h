/*
 * ctl.h -- private to musherctl.
 */
#ifndef MU_CTL_H
#define MU_CTL_H

#include <argp.h>
#include <jansson.h>
#include <stdio.h>

#include "musher.h"

#define CTL_OPERATORS_MAX 64
#define CTL_KEY_BYTES 256

/* Exit statuses; musherctl(1) documents them. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILED = 1, /* refused or failed */
	CTL_USAGE = 2,
	CTL_CONFLICT = 3, /* another change was accepted first */
	CTL_UNREACHABLE = 4, /* no operators' port answered */
	CTL_RESULT_UNKNOWN = 5, /* it may have taken effect */
	CTL_NOT_ON_ALL_HOSTS = 6 /* accepted, but not seen on all hosts */
};

/* Options that every subcommand takes. */
struct ctl {
	char operator_addrs[CTL_OPERATORS_MAX][MU_ADDR_LEN];
	unsigned noperator_addrs;
	char key[CTL_KEY_BYTES];
	bool json;
	FILE *out;
	FILE *err;
};

extern const struct argp ctl_global_argp;
/*
 * Fills what the options left out from the environment; to be called when
 * all options are read.  CTL_USAGE when no operators' port is known.
 */
int ctl_load_environment(struct ctl *c);

/* Subcommands; argv[0] is the subcommand's name. */
int ctl_apply(struct ctl *c, int argc, char **argv);
int ctl_validate(struct ctl *c, int argc, char **argv);
int ctl_diff(struct ctl *c, int argc, char **argv);
int ctl_show(struct ctl *c, int argc, char **argv);
int ctl_status(struct ctl *c, int argc, char **argv);
int ctl_hosts(struct ctl *c, int argc, char **argv);
int ctl_programs(struct ctl *c, int argc, char **argv);
int ctl_explain(struct ctl *c, int argc, char **argv);
int ctl_audit(struct ctl *c, int argc, char **argv);
int ctl_drain(struct ctl *c, int argc, char **argv);

/* rpc.c */

/*
 * Asks the operators' ports in turn until one answers whole with anything
 * but 503.  *body (may be NULL on failure) is a new reference.  Returns
 * CTL_OK for a 2xx answer; otherwise the status, after printing why.
 */
int ctl_get(struct ctl *c, const char *target, json_t **body);
/* The accepted text of a version; the newest when version is negative. */
int ctl_get_config(struct ctl *c, long long version, json_t **config);
/*
 * The same for a change whose request can be sent again because it carries a
 * token or is idempotent.  Sends it again, also to other ports, until an
 * answer settles it or timeout_s passes (CTL_RESULT_UNKNOWN).  http is its
 * status.
 */
int ctl_post(struct ctl *c, const char *target, const json_t *request,
    unsigned timeout_s, int *http, json_t **body);
/* Asks one port only, for commands that ask all of them. */
int ctl_get_from_port(
    struct ctl *c, const char *addr, const char *target, json_t **body);

/* print.c */

/* Prints s with control characters replaced, as it came over the network. */
void ctl_puts(FILE *f, const char *s);
/* Prints a string or number member of o, or "-", padded to width. */
void ctl_print_cell(FILE *f, const json_t *o, const char *key, int width);
/* Prints wall-clock milliseconds as UTC. */
void ctl_print_time(FILE *f, const json_t *o, const char *key);
/* Prints the JSON itself and returns true when --json was given. */
bool ctl_print_json(struct ctl *c, const json_t *o);
const char *ctl_json_string(const json_t *o, const char *key);
json_int_t ctl_json_int(const json_t *o, const char *key);

/* textfile.c */

/* Reads FILE ("-": standard input); NULL after printing why. malloc'd. */
char *ctl_read_file(struct ctl *c, const char *file);
int ctl_write_file(struct ctl *c, const char *file, const char *text);
/* The version that FILE was based on, from FILE.base; -1 when unknown. */
long long ctl_read_base_version(const char *file);
int ctl_write_base_version(struct ctl *c, const char *file, long long version);

/* story.c */

/* Prints what log lines tell of a request; "-": standard input. */
int
ctl_timeline(struct ctl *c, const char *id, char *const *files, size_t nfiles);

/* merge.c */

/*
 * Puts the change from base to mine on top of theirs.  *merged is malloc'd.
 * Returns 0, MU_E_CONFLICT when the same lines were changed or the place is
 * ambiguous, or MU_E_NOMEM.
 */
int ctl_merge(
    const char *base, const char *mine, const char *theirs, char **merged);

#endif
