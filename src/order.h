/*
 * order.h -- priority of a call in the queues of daemons and model engines.
 */
#ifndef MU_ORDER_H
#define MU_ORDER_H

#include "view.h"

#define MU_ORDER_REASONS(X) \
	X(URGENT, "urgent service") \
	X(ATTAINED, "service attained by the whole program") \
	X(AGED, "waited long enough to pass others")

enum mu_order_reason {
#define X(sym, name) MU_ORDER_##sym,
	MU_ORDER_REASONS(X)
#undef X
	MU_ORDER_REASON_COUNT
};

struct mu_order {
	enum mu_order_reason reason;
	int32_t priority; /* lowest runs first; comparable between daemons */
};

/*
 * Current priority of a call, from its urgency, waited, attained,
 * prompt_tokens and home_tokens.
 */
struct mu_order mu_order(const struct mu_call_info *r);
const char *mu_order_reason_name(enum mu_order_reason reason);

#endif
