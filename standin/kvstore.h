/*
 * kvstore.h -- exported prefixes of the engine stand-in.
 */
#ifndef KVSTORE_H
#define KVSTORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* IP:PORT of the platform's object store; NULL: process memory. */
void kv_init(const char *platform);
/* Whether the export was stored. */
bool kv_put(const char *name, const char *program, uint64_t tokens);
/* The export {"program","tokens"}, a new reference, or NULL. */
json_t *kv_get(const char *name);

#endif
