/*
 * lint.h -- what cppcheck has to be told, as it sees no system headers.
 */
#define _GNU_SOURCE 1
#define PROTOBUF_C_VERSION_NUMBER 1004001
#define PROTOBUF_C_MIN_COMPILER_VERSION 1000000
#define cds_list_for_each_entry(p, h, m) \
	for ((p) = list_first(h); list_more(p); (p) = list_next(p))
#define cds_list_for_each_entry_safe(p, n, h, m) \
	for ((p) = list_first(h), (n) = list_next(p); list_more(p); \
	     (p) = (n), (n) = list_next(p))
