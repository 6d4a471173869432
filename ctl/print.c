/*
 * print.c -- output as text or JSON.
 *
 * Notes and names are written by other operators and by callers, so control
 * characters are replaced before they reach a terminal.
 */
#include <inttypes.h>
#include <string.h>
#include <time.h>

#include "ctl.h"

#define CELL_BYTES 128

void
ctl_puts(FILE *f, const char *s)
{
	for (; *s != '\0'; s++) {
		unsigned char ch = (unsigned char)*s;

		if ((ch < ' ' && ch != '\n' && ch != '\t') || ch == 0x7f)
			ch = '?';
		(void)fputc(ch, f);
	}
}

const char *
ctl_json_string(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s != NULL ? s : "";
}

json_int_t
ctl_json_int(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

/* Formats a value as text; "-" when it is missing. */
static void
format_cell(const json_t *v, char cell[CELL_BYTES])
{
	(void)snprintf(cell, CELL_BYTES, "-");
	if (json_is_string(v))
		(void)snprintf(cell, CELL_BYTES, "%s", json_string_value(v));
	else if (json_is_integer(v))
		(void)snprintf(cell, CELL_BYTES, "%" JSON_INTEGER_FORMAT,
		    json_integer_value(v));
	else if (json_is_boolean(v))
		(void)snprintf(
		    cell, CELL_BYTES, "%s", json_is_true(v) ? "yes" : "no");
}

void
ctl_print_cell(FILE *f, const json_t *o, const char *key, int width)
{
	char cell[CELL_BYTES];
	int n;

	format_cell(json_object_get(o, key), cell);
	ctl_puts(f, cell);
	for (n = (int)strlen(cell); n < width; n++)
		(void)fputc(' ', f);
	(void)fputc(' ', f);
}

void
ctl_print_time(FILE *f, const json_t *o, const char *key)
{
	time_t s = (time_t)(ctl_json_int(o, key) / 1000);
	struct tm tm;
	char text[32] = "-";

	if (gmtime_r(&s, &tm) != NULL)
		(void)strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &tm);
	(void)fprintf(f, "%s ", text);
}

bool
ctl_print_json(struct ctl *c, const json_t *o)
{
	if (!c->json)
		return false;
	(void)json_dumpf(o, c->out, JSON_INDENT(1));
	(void)fputc('\n', c->out);
	return true;
}
