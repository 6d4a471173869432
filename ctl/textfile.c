/*
 * textfile.c -- the operator's copy of the services text.
 *
 * The base version of a copy is stored in FILE.base, not in the text, so that
 * the accepted text equals the file byte for byte and a base version is not
 * copied along with the text by accident.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define FILE_MAX_BYTES ((size_t)1024 * 1024)
#define PATH_BYTES 4096

char *
ctl_read_file(struct ctl *c, const char *file)
{
	bool is_stdin = strcmp(file, "-") == 0;
	FILE *f = is_stdin ? stdin : fopen(file, "re");
	char *buf = NULL;
	size_t n;

	if (f == NULL)
		goto fail;
	buf = malloc(FILE_MAX_BYTES + 1);
	if (buf == NULL)
		goto fail;
	n = fread(buf, 1, FILE_MAX_BYTES, f);
	if (ferror(f))
		goto fail;
	buf[n] = '\0';
	if (strlen(buf) != n || !feof(f)) {
		(void)fprintf(c->err,
		    "musherctl: %s: too large or not a text file\n", file);
		free(buf);
		buf = NULL;
	}
	if (!is_stdin)
		(void)fclose(f);
	return buf;
fail:
	(void)fprintf(c->err, "musherctl: %s: %s\n", file, strerror(errno));
	free(buf);
	if (f != NULL && !is_stdin)
		(void)fclose(f);
	return NULL;
}

int
ctl_write_file(struct ctl *c, const char *file, const char *text)
{
	FILE *f = fopen(file, "we");
	int failed = f == NULL;

	if (f != NULL) {
		failed = fputs(text, f) < 0;
		failed |= fclose(f) != 0;
	}
	if (failed)
		(void)fprintf(
		    c->err, "musherctl: %s: %s\n", file, strerror(errno));
	return failed ? CTL_FAILED : CTL_OK;
}

long long
ctl_read_base_version(const char *file)
{
	char path[PATH_BYTES];
	char line[32];
	long long version = -1;
	char *end;
	FILE *f;

	(void)snprintf(path, sizeof(path), "%s.base", file);
	if ((f = fopen(path, "re")) == NULL)
		return -1;
	if (fgets(line, sizeof(line), f) != NULL) {
		version = strtoll(line, &end, 10);
		if (end == line || version < 0)
			version = -1;
	}
	(void)fclose(f);
	return version;
}

int
ctl_write_base_version(struct ctl *c, const char *file, long long version)
{
	char path[PATH_BYTES];
	char line[32];

	if (strcmp(file, "-") == 0)
		return CTL_OK;
	(void)snprintf(path, sizeof(path), "%s.base", file);
	(void)snprintf(line, sizeof(line), "%lld\n", version);
	return ctl_write_file(c, path, line);
}
