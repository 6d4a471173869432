/*
 * chat.h -- the chat-completions API, for existing clients.
 */
#ifndef MU_CHAT_H
#define MU_CHAT_H

#include "stream.h"
#include "text.h"
#include "web.h"

/* A chat request as a call; strings are in the request's arena. */
struct mu_chat {
	uint64_t seq;
	bool stream;
	const char *model;
	const char *body; /* JSON for mu_callreq_parse() */
};

/*
 * Converts a chat request to a call.  Clients send the whole conversation each
 * time, but the program's history is stored here, so only the messages after
 * the last assistant message are passed on.  program and seq are the values of
 * the headers Cardamom-Program and Cardamom-Seq, or NULL.
 */
int mu_chat_parse(struct mu_chat *c, struct mu_web_req *r,
    const struct mu_text *text, const char *program, const char *seq,
    struct mu_error *e);
/* Program id in the reply to a create, copied into the request's arena. */
const char *
mu_chat_program_id(struct mu_web_req *r, const struct mu_reply *reply);
/* Queues the reply in chat-completions form; errors are not converted. */
enum MHD_Result mu_chat_reply(struct mu_web_req *r, const struct mu_chat *c,
    const char *program, const struct mu_reply *reply);

#endif
