/*
 * platform.h -- client of the platform's table service, object store and
 * host list.
 *
 * The only module that implements the platform's protocol
 * (docs/design/contracts.md).  All calls are synchronous and thread-safe;
 * each has its own timeout.
 */
#ifndef MU_PLATFORM_H
#define MU_PLATFORM_H

#include "musher.h"

struct mu_platform;

struct mu_platform_conf {
	const char *addr; /* IP:PORT */
	uint32_t timeout_ms; /* per request, including the connect */
};

/* Precondition: the row has revision rev; 0 means it does not exist. */
struct mu_txn_check {
	const char *key;
	uint64_t rev;
};

/* Writes a row, or deletes it when value is NULL. */
struct mu_txn_put {
	const char *key;
	const char *value;
	size_t value_len;
};

/* An atomic transaction: the puts are applied only if all checks hold. */
struct mu_txn {
	const struct mu_txn_check *checks;
	size_t nchecks;
	const struct mu_txn_put *puts;
	size_t nputs;
};

enum mu_commit_kind {
	MU_COMMIT_DONE, /* committed; rev is the new revision */
	MU_COMMIT_CONFLICT, /* a check failed; see key and rev */
	MU_COMMIT_UNKNOWN, /* no valid answer: may still take effect */
	MU_COMMIT_REFUSED /* not sent, or reported as not applied */
};

struct mu_commit {
	enum mu_commit_kind kind;
	uint64_t rev; /* DONE: of every row put; CONFLICT: current revision */
	char key[256]; /* CONFLICT: row whose check failed */
	struct mu_error error; /* UNKNOWN, REFUSED */
};

struct mu_row {
	char *key;
	char *value; /* NUL-terminated; NULL when the row does not exist */
	size_t value_len;
	uint64_t rev; /* 0 when the row does not exist */
};

struct mu_rows {
	struct mu_row *row; /* in key order */
	size_t count;
	bool more; /* the limit was reached and more rows follow */
};

enum mu_host_role {
	MU_HOST_ENTRY,
	MU_HOST_ENDPOINT
};
enum mu_host_state {
	MU_HOST_LIVE,
	MU_HOST_LEAVING
};

struct mu_host {
	char name[MU_NAME_LEN];
	enum mu_host_role role;
	enum mu_host_state state;
	char addr[MU_ADDR_LEN]; /* where callers, or the scheduler, connect */
	char peer[MU_ADDR_LEN]; /* entry hosts: where other daemons connect */
	char service[MU_NAME_LEN]; /* endpoints only */
	char domain[MU_NAME_LEN];
	char region[MU_NAME_LEN];
};

struct mu_hosts {
	struct mu_host *host;
	size_t count;
};

int
mu_platform_open(struct mu_platform **p, const struct mu_platform_conf *conf);
void mu_platform_close(struct mu_platform *p);

/* Sends the transaction at most once; it is never retried here. */
void mu_platform_commit(
    struct mu_platform *p, const struct mu_txn *txn, struct mu_commit *out);
/* Reads one row.  A missing row is not an error: it has rev 0. */
int mu_platform_get(struct mu_platform *p, const char *key, struct mu_row *row,
    struct mu_error *e);
/* Lists rows whose key starts with prefix and, unless NULL, is > after. */
int mu_platform_list(struct mu_platform *p, const char *prefix,
    const char *after, size_t limit, struct mu_rows *rows, struct mu_error *e);
/* Objects are written and read whole; put replaces an existing object. */
int mu_platform_put_object(struct mu_platform *p, const char *name,
    const void *data, size_t len, struct mu_error *e);
int mu_platform_get_object(struct mu_platform *p, const char *name, char **data,
    size_t *len, struct mu_error *e);
int mu_platform_delete_object(
    struct mu_platform *p, const char *name, struct mu_error *e);
int mu_platform_hosts(
    struct mu_platform *p, struct mu_hosts *hosts, struct mu_error *e);

void mu_row_clear(struct mu_row *row);
void mu_rows_clear(struct mu_rows *rows);
void mu_hosts_clear(struct mu_hosts *hosts);

#endif
