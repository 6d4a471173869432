/*
 * sseout.h -- sends a stream to a caller as server-sent events.
 */
#ifndef MU_SSEOUT_H
#define MU_SSEOUT_H

#include "stream.h"
#include "web.h"

enum mu_sse_style {
	MU_SSE_NATIVE, /* {"text":...}, then the final reply */
	MU_SSE_CHAT /* chat.completion.chunk objects */
};

/* Queues a response that follows s.  model is for MU_SSE_CHAT only. */
enum MHD_Result mu_sse_queue_response(struct mu_web_req *r, struct mu_stream *s,
    enum mu_sse_style style, const char *program, const char *model);

#endif
