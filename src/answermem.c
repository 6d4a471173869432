/*
 * answermem.c -- memory that answers of endpoints take while they are received
 * and handled.
 *
 * An endpoint may send without end, and to many calls at once, so that a limit
 * for each answer does not limit their sum.  An answer that finds no room fails
 * rather than waits: those that hold the room may never end.
 */
#include <pthread.h>
#include <string.h>

#include <xxhash.h>

#include "answermem.h"
#include "metric.h"
#include "net.h"

/* Answers of up to this size are received whatever the others hold. */
#define SMALL_BYTES ((size_t)64 << 10)
/* Room is taken for this many received bytes at a time. */
#define STEP_BYTES ((size_t)64 << 10)
/* Bytes held for each received one: a buffer that doubles, its parsed form, the
 * text of the stream and the answer to the caller. */
#define COPIES 6

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct mu_acct acct;
static bool is_limited;

void
mu_answermem_set_limit(size_t bytes)
{
	mu_acct_init(&acct, bytes);
	is_limited = true;
}

void
mu_answermem_init(struct mu_answermem *m, const char *endpoint)
{
	mu_acct_holder_init(&m->holder, MU_ACCT_ANSWER,
	    XXH3_64bits(endpoint, strlen(endpoint)), NULL);
	m->received = 0;
}

static bool
take(struct mu_answermem *m, size_t n)
{
	enum mu_acct_result rc;

	pthread_mutex_lock(&lock);
	rc = mu_acct_take(&acct, &m->holder, n, mu_net_now());
	mu_gauge_set(MU_G_HELD_RECEIVED, acct.total);
	pthread_mutex_unlock(&lock);
	if (rc != MU_ACCT_OK)
		mu_count(MU_M_RECEIVED_NO_ROOM, 1);
	return rc == MU_ACCT_OK;
}

bool
mu_answermem_add(struct mu_answermem *m, size_t n)
{
	m->received += n;
	if (!is_limited || m->received <= SMALL_BYTES ||
	    m->received * COPIES <= m->holder.bytes)
		return true;
	return take(m, (m->received + STEP_BYTES) * COPIES - m->holder.bytes);
}

void
mu_answermem_release(struct mu_answermem *m)
{
	if (m->holder.bytes == 0)
		return;
	pthread_mutex_lock(&lock);
	mu_acct_give(&acct, &m->holder, SIZE_MAX);
	mu_gauge_set(MU_G_HELD_RECEIVED, acct.total);
	pthread_mutex_unlock(&lock);
}
