/*
 * stop.c -- a planned stop: which requests are still accepted, and when the
 * daemon may exit.
 */
#include "stop.h"

/* Callers may use an address, and connections open to it, for up to three times
 * its TTL. */
#define ADDRESS_TTL_FACTOR 3
/* Before the platform kills the process: exit, and before that time to send the
 * last answers.  Together less than a sixth of the whole time. */
#define KILL_MARGIN_US (300 * MU_US_PER_MS)
#define SEND_TIME_US (400 * MU_US_PER_MS)
#define MARGIN_DIVISOR 14
/* After a late poll, until the loop has sent the last answers. */
#define MIN_SEND_TIME_US (1 * MU_US_PER_MS)

static mu_us
earlier(mu_us a, mu_us b)
{
	return a < b ? a : b;
}

void
mu_stop_begin(
    struct mu_stop *s, mu_us now, uint32_t address_ttl_ms, uint32_t stop_ms)
{
	mu_us stop = stop_ms * MU_US_PER_MS, most = stop / MARGIN_DIVISOR;

	s->began = s->idle_since = now;
	s->closed_at = 0;
	s->ended = false;
	s->moved_by = now + ADDRESS_TTL_FACTOR * address_ttl_ms * MU_US_PER_MS;
	s->exit_by = now + stop - earlier(KILL_MARGIN_US, most);
	s->answer_by = s->exit_by - earlier(SEND_TIME_US, most);
}

bool
mu_stop_accepts(const struct mu_stop *s, mu_us deadline)
{
	return s->began == 0 || deadline <= s->answer_by;
}

enum mu_stop_step
mu_stop_poll(struct mu_stop *s, mu_us now, unsigned requests, bool settled)
{
	bool idle, close;

	if (requests > 0 || !settled)
		s->idle_since = now;
	idle = now - s->idle_since >= MU_STOP_IDLE_US;
	close = now >= s->answer_by || (now >= s->moved_by && idle);
	if (close && s->closed_at == 0) {
		s->closed_at = now;
		return MU_STOP_CLOSE;
	}
	if (now >= s->answer_by && !s->ended) {
		s->ended = true;
		return MU_STOP_END_REQUESTS;
	}
	if (now >= s->exit_by ||
	    (s->closed_at != 0 && requests == 0 && settled &&
		now - s->closed_at >= MU_STOP_IDLE_US))
		return MU_STOP_EXIT;
	return now >= s->answer_by ? MU_STOP_END_REQUESTS : MU_STOP_SERVE;
}

mu_us
mu_stop_next_poll(const struct mu_stop *s, mu_us now)
{
	mu_us at = earlier(now + MU_STOP_IDLE_US, s->exit_by);

	if (s->closed_at != 0 && now >= s->answer_by && !s->ended)
		return now;
	if (at < now + MIN_SEND_TIME_US)
		at = now + MIN_SEND_TIME_US;
	return now < s->answer_by ? earlier(at, s->answer_by) : at;
}
