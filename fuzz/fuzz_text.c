/*
 * fuzz_text.c -- the services text that operators submit.
 *
 * Any input parses or returns config_invalid with a message.  In a text that
 * parses, each service is found by its name.
 */
#include <stdlib.h>

#include "text.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct mu_error e = {0};
	struct mu_text *t = NULL;
	unsigned i;
	int rc;

	rc = mu_text_parse((const char *)data, size, &t, &e);
	if (rc != 0) {
		if (t != NULL || e.message[0] == '\0')
			abort();
		return 0;
	}
	for (i = 0; i < t->nservices; i++) {
		if (mu_text_find_service(t, t->services[i].name) == NULL)
			abort();
		(void)mu_text_repeatable(&t->services[i], "order");
	}
	mu_text_free(t);
	return 0;
}
