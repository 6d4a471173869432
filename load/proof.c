/*
 * proof.c -- checks which history an answer was generated from.
 *
 * The output of the engine stand-in starts with the program, the number of
 * messages received, a hash of all of them and the start of the last one
 * (standin/proof.h).  The tool keeps the expected history, so a single answer
 * proves that no turn was lost, added or taken from another program.  Other
 * engines give no such proof, so their answers are not checked here.
 */
#include <stdlib.h>
#include <string.h>

#include "load.h"
#include "proof.h"

#define PREFIX_BYTES 256

enum load_fault
load_proof_check(const struct load_history *h, const char *program,
    const char *marker, const char *output, bool *has_proof)
{
	char expected[PREFIX_BYTES], last[PROOF_LAST_BYTES + 1];
	const char *p;

	*has_proof = strncmp(output, "program=", strlen("program=")) == 0 &&
		     strstr(output, " hash=") != NULL;
	if (!*has_proof)
		return FAULT_COUNT;
	(void)snprintf(
	    expected, sizeof(expected), "program=%s messages=", program);
	if (strncmp(output, expected, strlen(expected)) != 0)
		return FAULT_MIXED;
	p = strstr(output, "last=");
	if (p == NULL ||
	    strncmp(p + strlen("last="), marker, strlen(marker)) != 0)
		return FAULT_MIXED;
	if (!h->is_known)
		return FAULT_COUNT;
	proof_copy_last_user(h->messages, last);
	(void)snprintf(expected, sizeof(expected), PROOF_FORMAT, program,
	    json_array_size(h->messages),
	    (unsigned long long)proof_hash_messages(h->messages), last);
	if (strncmp(output, expected, strlen(expected)) != 0)
		return FAULT_HISTORY;
	return FAULT_COUNT;
}
