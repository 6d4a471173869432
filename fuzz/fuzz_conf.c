/*
 * fuzz_conf.c -- settings of a daemon.
 *
 * Any input parses or returns an error with a message.
 */
#include <stdlib.h>

#include "conf.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct mu_error e = {0};
	struct mu_conf *c = NULL;

	if (mu_conf_parse((const char *)data, size, &c, &e) != 0) {
		if (c != NULL || e.message[0] == '\0')
			abort();
		return 0;
	}
	mu_conf_free(c);
	return 0;
}
