/*
 * judge.c -- which connections that ended without a complete answer are
 * violations.
 *
 * A request whose last byte was sent must be answered if it was passed on, or
 * if the connection stays open for longer than a request takes that crosses its
 * end.  Excused are: a disruption that was not planned, an endpoint that broke
 * off, a time limit that was reached, and an endpoint that is still at work
 * when the time to stop is nearly over.
 */
#include "soak.h"

/* The daemon measures a time limit from its own reading of the request. */
#define TIMER_SLACK_MS 50
/* A request may be ended in the last sixth of the time to stop. */
#define LAST_PART 6

static bool
disrupted(const struct call *call)
{
	return soak.disrupted_at != 0 &&
	       soak.disrupted_at >= call->sent_at - CONTACT_MS * MU_US_PER_MS;
}

static bool
time_limit_reached(const struct call *call, mu_us now)
{
	mu_us limit;

	if (call->kind == KIND_LONG)
		return false;
	limit = shortest_timeout(call->sent_at - MU_US_PER_S);
	return now - call->sent_at >= limit - TIMER_SLACK_MS * MU_US_PER_MS;
}

/* One that an endpoint still works on when the time to stop is nearly over, and
 * that came before SIGTERM: later ones are refused if they may last as long. */
static bool
outlasts_stop(const struct call *call, const struct process *p, mu_us now)
{
	mu_us stop = STOP_MS * MU_US_PER_MS;
	mu_us last = p->last_term_at + stop - stop / LAST_PART;

	return p->last_term_at != 0 && now >= last &&
	       (call->served_at == 0 || call->served_at >= last) &&
	       call->sent_at <= p->last_term_at + LOSS_SLACK_MS * MU_US_PER_MS;
}

void
judge_closed(const struct caller *c)
{
	static const char *const names[] = {"order", "turn", "long stream"};
	const struct call *call = c->call;
	const struct process *p = &soak.daemon[c->daemon];
	mu_us now = mu_loop_now(soak.loop);

	if (call->sent_at == 0)
		soak.unsent++;
	if (call->sent_at == 0 || call->broken_off || c->old_release)
		return;
	if (!call->received &&
	    (now - call->sent_at <= LOSS_SLACK_MS * MU_US_PER_MS ||
		soak.stalled_at >= call->sent_at)) {
		soak.unread++;
		return;
	}
	if (time_limit_reached(call, now) || outlasts_stop(call, p, now)) {
		soak.ended++;
		return;
	}
	if (disrupted(call)) {
		soak.cut_disrupted++;
		return;
	}
	violation("cut: %s %s (style %d) to daemon %u, sent at %.3f s, %s, "
		  "%zu bytes of the answer; SIGTERM at %.3f s",
	    names[call->kind], call->id, (int)c->style, c->daemon,
	    elapsed_s(call->sent_at),
	    call->received ? "passed on" : "not passed on", mu_buf_len(&c->in),
	    p->last_term_at != 0 ? elapsed_s(p->last_term_at) : -1.0);
}
