/*
 * ctl.h -- declarations shared by the source files of musherctl.
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
	CTL_UNREACHABLE = 4, /* no operators' port responded */
	CTL_RESULT_UNKNOWN = 5, /* the change may have taken effect */
	CTL_NOT_ON_ALL_HOSTS = 6 /* accepted, not seen on every live host */
};

/* Common options and output streams of every subcommand. */
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
 * Sets options not given on the command line from the environment; call it
 * after option parsing.  Returns CTL_USAGE when no operators' port is known.
 */
int ctl_load_environment(struct ctl *c);

/* Subcommands; argv[0] ends with the subcommand's name. */
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
 * Sends a GET to the operators' ports in turn until one returns a complete
 * response other than 503.  *body (may be NULL on failure) is a new reference.
 * Returns CTL_OK for a 2xx response; otherwise prints the error and returns
 * the exit status.
 */
int ctl_get(struct ctl *c, const char *target, json_t **body);
/*
 * Fetches the accepted services text of a version, or of the newest one when
 * version is negative.
 */
int ctl_get_config(struct ctl *c, long long version, json_t **config);
/*
 * Sends a POST that is safe to repeat because it carries a token or is
 * idempotent.  Retries, on other ports as well, until a response is final or
 * timeout_s passes (CTL_RESULT_UNKNOWN when an attempt may have run).  *http is
 * the last HTTP status, 0 for none.
 */
int ctl_post(struct ctl *c, const char *target, const json_t *request,
    unsigned timeout_s, int *http, json_t **body);
/* Sends a GET to one port, for commands that query every port. */
int ctl_get_from_port(
    struct ctl *c, const char *addr, const char *target, json_t **body);

/* print.c */

/* Prints untrusted text, with control characters replaced by '?'. */
void ctl_puts(FILE *f, const char *s);
/* Prints a string or number member of o, or "-", padded to width. */
void ctl_print_cell(FILE *f, const json_t *o, const char *key, int width);
/* Prints a member in milliseconds since the epoch as a UTC time. */
void ctl_print_time(FILE *f, const json_t *o, const char *key);
/* With --json, prints o as JSON and returns true. */
bool ctl_print_json(struct ctl *c, const json_t *o);
const char *ctl_json_string(const json_t *o, const char *key);
json_int_t ctl_json_int(const json_t *o, const char *key);

/* textfile.c */

/*
 * Reads FILE ("-": standard input) into a malloc'd string; prints the error
 * and returns NULL on failure.
 */
char *ctl_read_file(struct ctl *c, const char *file);
int ctl_write_file(struct ctl *c, const char *file, const char *text);
/* Reads the base version of FILE from FILE.base; -1 when unknown. */
long long ctl_read_base_version(const char *file);
int ctl_write_base_version(struct ctl *c, const char *file, long long version);

/* timeline.c */

/* Prints the events of a request from log files; "-": standard input. */
int ctl_timeline(
    struct ctl *c, const char *request_id, char *const *files, size_t nfiles);

/* merge.c */

/*
 * Three-way merge: applies the change from base to mine to theirs.  *merged is
 * malloc'd.  Returns 0, MU_E_CONFLICT when both changed the same lines or a
 * hunk matches more than one position, or MU_E_NOMEM.
 */
int ctl_merge(
    const char *base, const char *mine, const char *theirs, char **merged);

#endif
