/*
 * operator.c -- planned work of the soak: stops of daemons one after the other,
 * changes of settings and configuration, endpoints that leave.
 */
#include "soak.h"

#define QUICK_TIMEOUT_MS 1500
#define TIMEOUT_MS 1800
#define SERIES_MS 4500 /* of a rolling restart, at most */
#define STOP_GAP_MIN_MS 50

static struct {
	unsigned version;
	mu_us timeout, timeout_before; /* shortest of the routes */
	mu_us changed_at;
	unsigned series_left; /* stops of a rolling restart */
	unsigned next_daemon; /* of it */
	mu_us next_stop_at;
	mu_us next_work_at;
} plan;

/* The route below /order/x/ comes and goes; the one of /order/ matches, too. */
void
write_config(void)
{
	static const char extra[] =
	    "{\"name\":\"extra\",\"host\":\"h\",\"path_prefix\":\"/order/x/\","
	    "\"type\":\"unsafe\",\"timeout_ms\":1900,\"service\":\"app\"},";
	unsigned ms = random_below(2) == 0 ? QUICK_TIMEOUT_MS : TIMEOUT_MS;
	char text[1024];

	plan.version += 1 + (unsigned)random_below(5);
	(void)snprintf(text, sizeof(text),
	    "{\"version\":%u,\"routes\":[%s"
	    "{\"name\":\"chat\",\"host\":\"h\",\"path_prefix\":\"/chat/\","
	    "\"type\":\"streaming\",\"timeout_ms\":%u,\"service\":\"llm\","
	    "\"keeps_history\":true,\"retention_s\":60},"
	    "{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\","
	    "\"type\":\"unsafe\",\"timeout_ms\":%u,\"service\":\"app\"},"
	    "{\"name\":\"long\",\"host\":\"h\",\"path_prefix\":\"/long/\","
	    "\"type\":\"streaming\",\"service\":\"llm\"}],"
	    "\"services\":[{\"name\":\"llm\",\"engine\":{\"chunk_tokens\":17}},"
	    "{\"name\":\"app\"}],\"limits\":{}}",
	    plan.version, random_below(2) == 0 ? extra : "", ms, ms);
	plan.timeout_before = plan.timeout;
	plan.timeout = ms * MU_US_PER_MS;
	plan.changed_at = mu_loop_now(soak.loop);
	put_row("op", "config", text);
}

mu_us
shortest_timeout(mu_us since)
{
	if (plan.changed_at > since && plan.timeout_before != 0 &&
	    plan.timeout_before < plan.timeout)
		return plan.timeout_before;
	return plan.timeout;
}

/* Stops the daemons in turn; some are still draining when the next one is
 * stopped.  One always serves. */
static void
continue_series(void)
{
	struct process *p;

	if (plan.series_left == 0 ||
	    mu_loop_now(soak.loop) < plan.next_stop_at || count_serving() <= 1)
		return;
	p = &soak.daemon[plan.next_daemon++ % soak.ndaemons];
	if (!is_serving(p))
		return;
	stop_daemon(p);
	plan.series_left--;
	plan.next_stop_at =
	    random_moment(STOP_GAP_MIN_MS, SERIES_MS / soak.ndaemons);
}

static void
stop_again(void)
{
	struct process *p = &soak.daemon[random_below(soak.ndaemons)];

	if (p->term_at != 0)
		stop_daemon(p);
}

void
plan_work(void)
{
	mu_us now = mu_loop_now(soak.loop);

	continue_series();
	if (now < plan.next_work_at)
		return;
	plan.next_work_at = random_moment(50, 400);
	switch (random_below(6)) {
	case 0:
	case 1:
		if (plan.series_left == 0)
			plan.series_left =
			    1 + (unsigned)random_below(soak.ndaemons);
		break;
	case 2:
		stop_again();
		break;
	case 3:
		reload_daemon(&soak.daemon[random_below(soak.ndaemons)]);
		break;
	case 4:
		if (now - plan.changed_at > MU_US_PER_S)
			write_config();
		break;
	default:
		leave_endpoint();
		break;
	}
}
