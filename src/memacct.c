/*
 * memacct.c -- account of the bytes that a daemon holds on behalf of others.
 *
 * Each holder takes its bytes before it allocates them, and is refused when the
 * limit would be exceeded.  A quarter of the limit is kept for holders of at
 * most 64 KiB, so that ordinary requests are served beside many large ones.
 * While another client waits for room, a client address gets at most half of
 * the limit.  Clients are refused at once rather than queued, so one counts as
 * waiting for the time after which it is likely to have tried again.
 *
 * Room is made by dropping holders whose client has stalled: those of the
 * address that holds the most first, and of these the largest first.  Nothing
 * is dropped if all of them together would not make room.  The search visits
 * every holder, so it is skipped until the first of them can have stalled.
 */
#include <stdlib.h>
#include <string.h>

#include "memacct.h"

#define LARGE_PART_NUM 3 /* of the limit, for large holders: 3/4 */
#define LARGE_PART_DEN 4
#define SHARE_DIVISOR 2 /* part of the limit for one client: 1/2 */
/* A refused client counts as waiting for this long; refusals tell callers to
 * retry sooner. */
#define WAITING_US (1 * MU_US_PER_S)
#define DEFAULT_PART 4 /* of the host's memory: a quarter */
#define BODY_MEMORY_MIN ((size_t)24 << 20)
#define CONNECTION_BYTES ((uint64_t)64 << 10) /* of the library */
#define CONNECTIONS_MIN 256
#define CONNECTIONS_MAX 4096
/* For peers, the store, endpoints and logs. */
#define DESCRIPTOR_RESERVE 512
/* Served even where the reserve leaves none. */
#define CONNECTIONS_LEAST 16

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define CHECK_COUNT(ok) \
	do { \
		if (!(ok)) \
			abort(); \
	} while (0)
#else
#define CHECK_COUNT(ok) ((void)(ok))
#endif

struct mu_acct_client {
	struct mu_acct_client *next;
	uint64_t key;
	size_t bytes;
	size_t nholders;
};

const char *
mu_acct_use_name(enum mu_acct_use use)
{
	static const char *const names[] = {
#define X(sym, name) name,
	    MU_ACCT_USES(X)
#undef X
	};

	return names[use];
}

void
mu_acct_init(struct mu_acct *a, size_t limit)
{
	memset(a, 0, sizeof(*a));
	a->limit = limit;
	CDS_INIT_LIST_HEAD(&a->holders);
}

void
mu_acct_fini(struct mu_acct *a)
{
	struct mu_acct_client *c, *next;
	size_t i;

	CHECK_COUNT(a->total == 0 && a->large == 0);
	for (i = 0; i < MU_ACCT_CLIENT_BUCKETS; i++)
		for (c = a->clients[i]; c != NULL; c = next) {
			next = c->next;
			free(c);
		}
	memset(a, 0, sizeof(*a));
}

void
mu_acct_holder_init(struct mu_acct_holder *h, enum mu_acct_use use,
    uint64_t client_key, void *owner)
{
	memset(h, 0, sizeof(*h));
	h->use = use;
	h->client_key = client_key;
	h->owner = owner;
}

static struct mu_acct_client **
client_place(struct mu_acct *a, uint64_t key)
{
	/* Folds all bytes of an address, of which hosts differ in any. */
	uint64_t hash = (key ^ (key >> 32)) * UINT64_C(0x9e3779b97f4a7c15);
	struct mu_acct_client **p =
	    &a->clients[(hash >> 32) % MU_ACCT_CLIENT_BUCKETS];

	while (*p != NULL && (*p)->key != key)
		p = &(*p)->next;
	return p;
}

/* Adds a holder without bytes to the lists. */
static int
attach(struct mu_acct *a, struct mu_acct_holder *h)
{
	struct mu_acct_client **p, *c;

	if (h->client != NULL)
		return 0;
	p = client_place(a, h->client_key);
	c = *p;
	if (c == NULL) {
		c = calloc(1, sizeof(*c));
		if (c == NULL)
			return MU_E_NOMEM;
		c->key = h->client_key;
		*p = c;
	}
	c->nholders++;
	h->client = c;
	cds_list_add_tail(&h->node, &a->holders);
	return 0;
}

static void
detach(struct mu_acct *a, struct mu_acct_holder *h)
{
	struct mu_acct_client **p, *c = h->client;

	cds_list_del(&h->node);
	h->client = NULL;
	if (--c->nholders > 0)
		return;
	p = client_place(a, c->key);
	*p = c->next;
	free(c);
}

static bool
is_large(const struct mu_acct_holder *h)
{
	return h->bytes > MU_ACCT_SMALL_BYTES;
}

static void
add(struct mu_acct *a, struct mu_acct_holder *h, size_t n, mu_us now)
{
	bool was_large = is_large(h);

	h->bytes += n;
	if (is_large(h))
		a->large += was_large ? n : h->bytes;
	a->total += n;
	a->used[h->use] += n;
	h->client->bytes += n;
	h->progress_at = now;
}

static size_t
excess(size_t held, size_t n, size_t limit)
{
	return held + n > limit ? held + n - limit : 0;
}

/* What n more bytes exceed, each in bytes. */
struct shortage {
	size_t total;
	size_t large;
	size_t share; /* of the client */
};

static bool
another_waits(const struct mu_acct *a, uint64_t key, mu_us now)
{
	const struct mu_acct_refused *r;

	for (r = a->refused; r < a->refused + 2; r++)
		if (r->valid && r->client_key != key &&
		    now - r->at < WAITING_US)
			return true;
	return false;
}

static void
note_refused(struct mu_acct *a, uint64_t key, mu_us now)
{
	struct mu_acct_refused *r = a->refused;

	if (r[0].valid && r[0].client_key != key)
		r[1] = r[0];
	r[0].client_key = key;
	r[0].at = now;
	r[0].valid = true;
}

/* A size that overflows when added is over every limit. */
static bool
is_absurd(const struct mu_acct *a, size_t n)
{
	return n > SIZE_MAX / 2 - a->total;
}

static struct shortage
shortage_of(
    struct mu_acct *a, const struct mu_acct_holder *h, size_t n, mu_us now)
{
	const struct mu_acct_client *c = *client_place(a, h->client_key);
	struct shortage s = {0};

	s.total = excess(a->total, n, a->limit);
	if (h->bytes + n > MU_ACCT_SMALL_BYTES)
		s.large = excess(a->large, is_large(h) ? n : h->bytes + n,
		    a->limit / LARGE_PART_DEN * LARGE_PART_NUM);
	if (another_waits(a, h->client_key, now))
		s.share = excess(
		    c != NULL ? c->bytes : 0, n, a->limit / SHARE_DIVISOR);
	return s;
}

enum mu_acct_result
mu_acct_take(struct mu_acct *a, struct mu_acct_holder *h, size_t n, mu_us now)
{
	struct shortage s;

	if (n == 0)
		return MU_ACCT_OK;
	if (is_absurd(a, n))
		return MU_ACCT_NO_ROOM;
	s = shortage_of(a, h, n, now);
	if (s.share > 0)
		return MU_ACCT_SHARE;
	if (s.total > 0 || s.large > 0) {
		note_refused(a, h->client_key, now);
		return MU_ACCT_NO_ROOM;
	}
	if (attach(a, h) != 0)
		return MU_ACCT_NOMEM;
	add(a, h, n, now);
	return MU_ACCT_OK;
}

void
mu_acct_force(struct mu_acct *a, struct mu_acct_holder *h, size_t n, mu_us now)
{
	/* Without memory for the list the bytes go uncounted. */
	if (n > 0 && !is_absurd(a, n) && attach(a, h) == 0)
		add(a, h, n, now);
}

static void
subtract(size_t *from, size_t n)
{
	/* A wrong count must not wrap: no room would be left for ever. */
	CHECK_COUNT(*from >= n);
	*from -= n < *from ? n : *from;
}

void
mu_acct_give(struct mu_acct *a, struct mu_acct_holder *h, size_t n)
{
	bool was_large = is_large(h);
	size_t before = h->bytes;

	if (h->client == NULL)
		return;
	if (n > h->bytes) {
		CHECK_COUNT(n == SIZE_MAX);
		n = h->bytes;
	}
	h->bytes -= n;
	if (was_large)
		subtract(&a->large, is_large(h) ? n : before);
	subtract(&a->total, n);
	subtract(&a->used[h->use], n);
	subtract(&h->client->bytes, n);
	if (h->bytes == 0)
		detach(a, h);
}

void
mu_acct_progress(struct mu_acct_holder *h, mu_us now)
{
	h->progress_at = now;
}

/* The bytes that dropping v adds to the room that s lacks. */
static size_t
gain(const struct shortage *s, const struct mu_acct_holder *h,
    const struct mu_acct_holder *v)
{
	if (v == h || (s->share > 0 && v->client_key != h->client_key) ||
	    (s->large > 0 && !is_large(v)))
		return 0;
	return v->bytes;
}

static bool
precedes(const struct mu_acct_holder *x, const struct mu_acct_holder *y)
{
	if (x->client->bytes != y->client->bytes)
		return x->client->bytes > y->client->bytes;
	return x->bytes > y->bytes;
}

struct mu_acct_holder *
mu_acct_victim(
    struct mu_acct *a, const struct mu_acct_holder *h, size_t n, mu_us now)
{
	struct mu_acct_holder *v, *best = NULL;
	mu_us first = now + MU_ACCT_STALL_US;
	struct shortage s;
	size_t sum = 0, need;

	if (now < a->no_stalled_before || is_absurd(a, n))
		return NULL;
	s = shortage_of(a, h, n, now);
	cds_list_for_each_entry (v, &a->holders, node) {
		if (!v->may_drop)
			continue;
		if (v->progress_at + MU_ACCT_STALL_US < first)
			first = v->progress_at + MU_ACCT_STALL_US;
		if (now - v->progress_at < MU_ACCT_STALL_US ||
		    gain(&s, h, v) == 0)
			continue;
		sum += v->bytes;
		if (best == NULL || precedes(v, best))
			best = v;
	}
	a->no_stalled_before = first;
	need = s.total > s.large ? s.total : s.large;
	if (s.share > need)
		need = s.share;
	return sum >= need ? best : NULL;
}

uint32_t
mu_acct_max_connections(uint64_t descriptors)
{
	if (descriptors < DESCRIPTOR_RESERVE + CONNECTIONS_LEAST)
		return CONNECTIONS_LEAST;
	return descriptors - DESCRIPTOR_RESERVE < UINT32_MAX
		   ? (uint32_t)(descriptors - DESCRIPTOR_RESERVE)
		   : UINT32_MAX;
}

void
mu_acct_default_limits(
    uint64_t memory, uint64_t descriptors, struct mu_acct_limits *out)
{
	uint64_t n = memory / DEFAULT_PART / CONNECTION_BYTES;
	uint32_t most = mu_acct_max_connections(descriptors);

	if (n < CONNECTIONS_MIN)
		n = CONNECTIONS_MIN;
	if (n > CONNECTIONS_MAX)
		n = CONNECTIONS_MAX;
	out->max_connections = n < most ? (uint32_t)n : most;
	out->body_memory = (size_t)(memory / DEFAULT_PART);
	if (out->body_memory < BODY_MEMORY_MIN)
		out->body_memory = BODY_MEMORY_MIN;
}
