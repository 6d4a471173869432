/*
 * slots.c -- which slots this daemon owns, and their state.
 *
 * One controller thread reads the lease rows and the slot table and carries out
 * the actions that slotrule.c returns, each as one transaction conditional on
 * the rows that were read (spec: Claim, TakeOver, HandOver).  New requests
 * access a slot only through mu_slots_lock().
 */
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "log.h"
#include "metric.h"
#include "slots_private.h"
#include "wait.h"

#define ID_RANDOM_BYTES 10
#define ID_SLOT_DIGITS 4
#define PLATFORM_DOWN_RETRY_AFTER_MS 1000
#define SLOT_RECHECK_MS 200 /* while a slot is recovered or handed over */

bool
mu_slots_parse_id(const struct mu_slots *s, const char *id, unsigned *slot)
{
	char digits[ID_SLOT_DIGITS + 1];
	size_t len = strlen(id);
	size_t i;

	if (len != ID_SLOT_DIGITS + 2 * ID_RANDOM_BYTES)
		return false;
	for (i = 0; i < len; i++)
		if (strchr("0123456789abcdef", id[i]) == NULL)
			return false;
	memcpy(digits, id, ID_SLOT_DIGITS);
	digits[ID_SLOT_DIGITS] = '\0';
	*slot = (unsigned)strtoul(digits, NULL, 16);
	return *slot < s->conf.count;
}

void
mu_slots_new_id(unsigned slot, char id[MU_ID_LEN + 1])
{
	unsigned char random[ID_RANDOM_BYTES];
	char hex[2 * ID_RANDOM_BYTES + 1];

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(hex, sizeof(hex), random, sizeof(random));
	(void)snprintf(id, MU_ID_LEN + 1, "%04x%s", slot, hex);
}

/* Waits up to ms for a change of the slot; its lock is held. */
static void
wait_for_change(struct mu_slot *slot, uint32_t ms)
{
	struct timespec ts;

	mu_time_after(&ts, ms);
	(void)pthread_cond_timedwait(&slot->changed, &slot->lock, &ts);
}

/* Time left in which no other daemon can own this one's slots; 0 until the
 * table was reread after a late renewal. */
static mu_us
verified_lease_left(struct mu_slots *s)
{
	uint64_t late;
	mu_us left = mu_journal_lease_status(s->conf.journal, &late);

	return late == MU_ATOMIC_LOAD(s->verified_late_count) ? left : 0;
}

bool
mu_slots_may_send(struct mu_slots *s, mu_us margin)
{
	return verified_lease_left(s) > margin;
}

/* Checks whether work may start; see "State and ownership" in the protocol. */
static int
check_may_start(struct mu_slots *s, struct mu_error *e)
{
	if (verified_lease_left(s) > 0)
		return 0;
	if (!mu_journal_platform_ok(s->conf.journal)) {
		if (!MU_ATOMIC_LOAD(s->conf.board->peer_platform_ok))
			return 0; /* takeover needs the table */
		return mu_fail(e, MU_E_PLATFORM_DOWN, MU_OUTCOME_UNKNOWN,
		    PLATFORM_DOWN_RETRY_AFTER_MS,
		    "cut from the platform; another daemon may own the slot");
	}
	return mu_fail(e, MU_E_NOT_OWNER, MU_OUTCOME_NOT_RUN, SLOT_RECHECK_MS,
	    "the lease has lapsed and is being renewed");
}

struct mu_slot *
mu_slots_lock(
    struct mu_slots *s, unsigned number, mu_us deadline, struct mu_error *e)
{
	struct mu_slot *slot = &s->slot[number];

	pthread_mutex_lock(&slot->lock);
	while (slot->state == MU_SLOT_RECOVERING ||
	       slot->state == MU_SLOT_HANDING_OVER) {
		if (mu_now(s->conf.clock) >= deadline) {
			/* What has run is known only once it is recovered. */
			mu_fail(e, MU_E_DEADLINE,
			    slot->state == MU_SLOT_HANDING_OVER
				? MU_OUTCOME_NOT_RUN
				: MU_OUTCOME_UNKNOWN,
			    SLOT_RECHECK_MS, "slot %u is changing hands",
			    number);
			pthread_mutex_unlock(&slot->lock);
			return NULL;
		}
		wait_for_change(slot, SLOT_RECHECK_MS);
	}
	if (slot->state == MU_SLOT_OWNED && check_may_start(s, e) == 0)
		return slot;
	if (slot->state != MU_SLOT_OWNED)
		mu_fail(e, MU_E_NOT_OWNER, MU_OUTCOME_NOT_RUN, 0,
		    "slot %u has another owner", number);
	pthread_mutex_unlock(&slot->lock);
	return NULL;
}

struct mu_slot *
mu_slots_lock_at_epoch(struct mu_slots *s, unsigned number, uint64_t epoch)
{
	struct mu_slot *slot = &s->slot[number];

	pthread_mutex_lock(&slot->lock);
	if (slot->epoch == epoch && (slot->state == MU_SLOT_OWNED ||
					slot->state == MU_SLOT_HANDING_OVER))
		return slot;
	pthread_mutex_unlock(&slot->lock);
	return NULL;
}

void
mu_slot_unlock(struct mu_slot *slot)
{
	pthread_mutex_unlock(&slot->lock);
}

int
mu_slots_pick_owned(struct mu_slots *s)
{
	unsigned start = randombytes_uniform(s->conf.count);
	struct mu_slot *slot;
	unsigned i, n;
	bool owned;

	for (i = 0; i < s->conf.count; i++) {
		n = (start + i) % s->conf.count;
		slot = &s->slot[n];
		pthread_mutex_lock(&slot->lock);
		owned = slot->state == MU_SLOT_OWNED;
		pthread_mutex_unlock(&slot->lock);
		if (owned)
			return (int)n;
	}
	return -1;
}

unsigned
mu_slots_count_owned(struct mu_slots *s)
{
	unsigned i, n = 0;

	for (i = 0; i < s->conf.count; i++) {
		pthread_mutex_lock(&s->slot[i].lock);
		if (s->slot[i].state >= MU_SLOT_OWNED)
			n++;
		pthread_mutex_unlock(&s->slot[i].lock);
	}
	return n;
}

void
mu_slots_for_each_owned(
    struct mu_slots *s, void (*fn)(void *arg, struct mu_slot *slot), void *arg)
{
	unsigned i;

	for (i = 0; i < s->conf.count; i++) {
		pthread_mutex_lock(&s->slot[i].lock);
		if (s->slot[i].state >= MU_SLOT_OWNED)
			fn(arg, &s->slot[i]);
		pthread_mutex_unlock(&s->slot[i].lock);
	}
}

void
mu_slot_drop(struct mu_slot *slot)
{
	mu_programs_clear(&slot->programs);
	slot->state = MU_SLOT_NOT_OWNED;
	slot->epoch = 0;
	slot->busy_rounds = 0;
	pthread_cond_broadcast(&slot->changed);
}

void
mu_slots_ownership_lost(struct mu_slots *s, unsigned number)
{
	struct mu_slot *slot;

	if (number >= s->conf.count)
		return;
	slot = &s->slot[number];
	pthread_mutex_lock(&slot->lock);
	if (slot->state != MU_SLOT_NOT_OWNED) {
		mu_log(MU_LOG_WARN, "slots", "lost", "{s:i,s:I}", "slot",
		    (int)number, "epoch", (json_int_t)slot->epoch);
		mu_slot_drop(slot);
	}
	pthread_mutex_unlock(&slot->lock);
	mu_slots_request_refresh(s);
}

void
mu_slots_request_refresh(struct mu_slots *s)
{
	pthread_mutex_lock(&s->lock);
	s->refresh_requested = true;
	pthread_cond_signal(&s->wake);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Controller.
 */

static bool
wait_for_next_round(struct mu_slots *s)
{
	struct timespec ts;
	bool proceed;
	int rc = 0;

	mu_time_after(&ts, s->conf.poll_ms);
	pthread_mutex_lock(&s->lock);
	while (!s->stopping && !s->refresh_requested && rc != ETIMEDOUT)
		rc = pthread_cond_timedwait(&s->wake, &s->lock, &ts);
	s->refresh_requested = false;
	proceed = !s->stopping;
	pthread_mutex_unlock(&s->lock);
	return proceed;
}

static void *
controller_main(void *arg)
{
	struct mu_slots *s = arg;

	while (wait_for_next_round(s))
		mu_slots_reconcile(s);
	return NULL;
}

int
mu_slots_open(struct mu_slots **out, const struct mu_slots_conf *conf)
{
	struct mu_slots *s = calloc(1, sizeof(*s));
	unsigned i;

	if (s == NULL)
		return MU_E_NOMEM;
	s->conf = *conf;
	s->slot = calloc(conf->count, sizeof(*s->slot));
	s->table = calloc(conf->count, sizeof(*s->table));
	if (s->slot == NULL || s->table == NULL)
		goto fail;
	CDS_INIT_LIST_HEAD(&s->watched_leases);
	pthread_mutex_init(&s->lock, NULL);
	mu_cond_init(&s->wake);
	for (i = 0; i < conf->count; i++) {
		s->slot[i].number = i;
		mu_programs_init(&s->slot[i].programs);
		pthread_mutex_init(&s->slot[i].lock, NULL);
		mu_cond_init(&s->slot[i].changed);
	}
	*out = s;
	return 0;
fail:
	free(s->slot);
	free(s->table);
	free(s);
	return MU_E_NOMEM;
}

void
mu_slots_set_journal(struct mu_slots *s, struct mu_journal *j)
{
	s->conf.journal = j;
}

int
mu_slots_start(struct mu_slots *s)
{
	if (pthread_create(&s->controller, NULL, controller_main, s) != 0)
		return MU_E_SYSTEM;
	s->started = true;
	return 0;
}

void
mu_slots_stop(struct mu_slots *s)
{
	if (s == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	s->stopping = true;
	pthread_cond_signal(&s->wake);
	pthread_mutex_unlock(&s->lock);
	if (s->started)
		pthread_join(s->controller, NULL);
	s->started = false;
}

void
mu_slots_close(struct mu_slots *s)
{
	struct watched_lease *w, *next;
	unsigned i;

	if (s == NULL)
		return;
	mu_slots_stop(s);
	for (i = 0; i < s->conf.count; i++) {
		mu_programs_clear(&s->slot[i].programs);
		pthread_cond_destroy(&s->slot[i].changed);
		pthread_mutex_destroy(&s->slot[i].lock);
	}
	cds_list_for_each_entry_safe (w, next, &s->watched_leases, node)
		free(w);
	pthread_cond_destroy(&s->wake);
	pthread_mutex_destroy(&s->lock);
	free(s->slot);
	free(s->table);
	free(s);
}
