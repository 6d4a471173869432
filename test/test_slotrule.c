/* test_slotrule.c -- daemons that read the same rows agree on the owners. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "slotrule.h"

#define SLOTS 256
#define HOSTS 7

static const char *const names[HOSTS] = {
    "brno-1", "brno-2", "ostrava-1", "ostrava-2", "zlin-1", "zlin-2", "zlin-3"};
static struct mu_slot_host hosts[HOSTS];
static struct mu_slot_view slots[SLOTS];
static struct mu_slot_action actions[SLOTS];

static int
setup(void **state)
{
	size_t i;

	(void)state;
	memset(slots, 0, sizeof(slots));
	for (i = 0; i < HOSTS; i++)
		hosts[i] = (struct mu_slot_host){names[i], true, false, false};
	return 0;
}

static size_t
rule(const char *self, uint32_t max_hand_over)
{
	const struct mu_slot_input in = {
	    slots, SLOTS, hosts, HOSTS, self, max_hand_over};

	return mu_slot_rule(&in, actions, SLOTS);
}

/* Applies each live host's actions to the table; returns their number. */
static size_t
apply_all(void)
{
	size_t i, k, n, performed = 0;
	struct mu_slot_action *a;

	for (i = 0; i < HOSTS; i++) {
		if (!hosts[i].live || hosts[i].lapsed)
			continue;
		for (k = 0; k < SLOTS; k++)
			slots[k].held = slots[k].owner == names[i];
		n = rule(names[i], 0);
		for (k = 0; k < n; k++) {
			a = &actions[k];
			slots[a->slot].epoch++;
			slots[a->slot].owner = a->kind == MU_SLOT_HAND_OVER
						   ? a->u.hand_over.to
						   : names[i];
		}
		performed += n;
	}
	return performed;
}

static size_t
owned_by(const char *name)
{
	size_t k, n = 0;

	for (k = 0; k < SLOTS; k++)
		n +=
		    slots[k].owner != NULL && strcmp(slots[k].owner, name) == 0;
	return n;
}

static void
test_claims_cover_all_and_spread(void **state)
{
	size_t i;

	(void)state;
	assert_int_equal(apply_all(), SLOTS);
	for (i = 0; i < HOSTS; i++)
		assert_in_range(
		    owned_by(names[i]), SLOTS / HOSTS / 2, SLOTS / HOSTS * 2);
	assert_int_equal(apply_all(), 0);
}

static void
test_order_of_hosts_is_irrelevant(void **state)
{
	struct mu_slot_host reversed[HOSTS];
	uint32_t slot;
	size_t i;

	(void)state;
	for (i = 0; i < HOSTS; i++)
		reversed[i] = hosts[HOSTS - 1 - i];
	for (slot = 0; slot < SLOTS; slot++)
		assert_int_equal(mu_slot_preferred_host(hosts, HOSTS, slot),
		    HOSTS - 1 - mu_slot_preferred_host(reversed, HOSTS, slot));
}

static void
test_lapsed_host_loses_only_its_own(void **state)
{
	size_t lost;

	(void)state;
	(void)apply_all();
	lost = owned_by(names[2]);
	hosts[2].live = false;
	assert_int_equal(apply_all(), 0); /* down, lease not lapsed */
	hosts[2].lapsed = true;
	assert_int_equal(apply_all(), lost);
	assert_int_equal(owned_by(names[2]), 0);
}

static void
test_leaving_host_hands_over(void **state)
{
	(void)state;
	(void)apply_all();
	hosts[4].leaving = true;
	(void)apply_all();
	assert_int_equal(owned_by(names[4]), 0);
	hosts[4].leaving = false;
	(void)apply_all();
	assert_true(owned_by(names[4]) > 0);
	assert_int_equal(apply_all(), 0);
}

static void
test_hand_overs_are_bounded(void **state)
{
	size_t k;

	(void)state;
	for (k = 0; k < SLOTS; k++)
		slots[k] = (struct mu_slot_view){names[0], 1, true, false};
	assert_int_equal(rule(names[0], 3), 3);
	assert_int_equal(actions[0].kind, MU_SLOT_HAND_OVER);
	assert_int_equal(actions[0].u.hand_over.epoch, 2);
}

/* A new process of a host waits until its predecessor's lease has lapsed. */
static void
test_own_slots_of_an_earlier_process(void **state)
{
	int wanted = mu_slot_preferred_host(hosts, HOSTS, 0);
	const char *self = hosts[wanted].name;
	size_t k;

	(void)state;
	for (k = 1; k < SLOTS; k++)
		slots[k].owner = names[(wanted + 1) % HOSTS];
	slots[0].owner = self;
	slots[0].epoch = 4;
	assert_int_equal(rule(self, 0), 0);
	slots[0].prior_process_lapsed = true;
	assert_int_equal(rule(self, 0), 1);
	assert_int_equal(actions[0].kind, MU_SLOT_TAKE_OVER);
	assert_int_equal(actions[0].u.take_over.epoch, 5);
	hosts[wanted].lapsed = true;
	assert_int_equal(rule(self, 0), 0);
}

#define T(f) cmocka_unit_test_setup(f, setup)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    T(test_claims_cover_all_and_spread),
	    T(test_order_of_hosts_is_irrelevant),
	    T(test_lapsed_host_loses_only_its_own),
	    T(test_leaving_host_hands_over),
	    T(test_hand_overs_are_bounded),
	    T(test_own_slots_of_an_earlier_process),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
