/*
 * textlog.h -- streamed text that survives a rerun.
 *
 * Writes text to a stream as lines and keeps it, so that when the answer is
 * made again (another endpoint, another owner) what the reader already has is
 * matched and not sent twice.
 */
#ifndef MU_TEXTLOG_H
#define MU_TEXTLOG_H

#include "musher.h"
#include "retry.h"
#include "stream.h"

struct mu_textlog {
	struct mu_stream *stream; /* borrowed */
	char *text;
	size_t len;
	size_t size;
	bool all_text_kept; /* all text so far is in text */
	bool differs; /* a rerun gave another answer */
	uint64_t delivered_bytes; /* bytes that the reader has */
	uint64_t rerun_bytes; /* bytes that the rerun has given */
	struct mu_replay replay;
	bool replaying;
};

void mu_textlog_init(struct mu_textlog *t, struct mu_stream *s);
void mu_textlog_clear(struct mu_textlog *t);
/* The answer starts again from its beginning. */
void mu_textlog_rerun(struct mu_textlog *t);
/* Takes a piece; false when it contradicts what the reader has. */
bool mu_textlog_add(struct mu_textlog *t, const char *text, size_t len);
/*
 * Takes the whole answer at its end, and passes on what the reader lacks;
 * false when it contradicts what the reader has.
 */
bool mu_textlog_finish(struct mu_textlog *t, const char *text, size_t len);
/* Takes bytes of another stream, which are whole or partial lines. */
struct mu_textlines {
	char *line;
	size_t len;
	size_t size;
};
bool mu_textlines_add(
    struct mu_textlines *l, struct mu_textlog *t, const char *data, size_t len);
void mu_textlines_clear(struct mu_textlines *l);
/* True when the reader has nothing that the rerun has not given. */
bool mu_textlog_complete(const struct mu_textlog *t);

#endif
