/*
 * report.c -- the report as text or JSON, the plot and the record of
 * non-idempotent calls.
 *
 * The plot is written as data files and a gnuplot script.  The tool starts no
 * other process, so run `gnuplot latency.gp` to draw it.
 */
#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <sys/stat.h>

#include "load.h"

#define PATH_BYTES 4096
#define NHISTS 4

struct named_hist {
	const char *name;
	const char *title;
	const struct hist *h;
};

struct named_count {
	const char *name;
	uint64_t count;
};

static void
list_hists(const struct load_tally *t, struct named_hist v[NHISTS])
{
	v[0] = (struct named_hist){
	    "first_token", "time to first token", &t->first_token};
	v[1] = (struct named_hist){"call", "call latency", &t->call};
	v[2] = (struct named_hist){
	    "program_busy", "program latency without pauses", &t->program_busy};
	v[3] = (struct named_hist){"program", "program latency", &t->program};
}

static double
to_ms(mu_us us)
{
	return (double)us / (double)MU_US_PER_MS;
}

static json_t *
hist_json(const struct hist *h)
{
	return json_pack("{s:I,s:f,s:f,s:f,s:f,s:f}", "n", (json_int_t)h->n,
	    "mean_ms", to_ms(hist_mean(h)), "p50_ms",
	    to_ms(hist_quantile(h, 0.5)), "p95_ms",
	    to_ms(hist_quantile(h, 0.95)), "p99_ms",
	    to_ms(hist_quantile(h, 0.99)), "max_ms", to_ms(h->max));
}

static json_t *
counts_json(const struct load_tally *t)
{
	const struct named_count v[] = {{"programs_done", t->programs_done},
	    {"programs_failed", t->programs_failed},
	    {"calls_done", t->calls_done}, {"calls_resent", t->calls_resent},
	    {"connections_failed", t->connections_failed},
	    {"answers_lost", t->answers_lost},
	    {"refused_not_run", t->refused_not_run},
	    {"refused_unknown", t->refused_unknown},
	    {"uncommitted", t->uncommitted}, {"restored", t->restored},
	    {"histories_checked", t->histories_checked},
	    {"histories_unchecked", t->histories_unchecked},
	    {"once_calls", json_array_size(t->call_records)}};
	json_t *o = json_object();
	size_t i;

	for (i = 0; i < sizeof(v) / sizeof(v[0]); i++)
		(void)json_object_set_new(
		    o, v[i].name, json_integer((json_int_t)v[i].count));
	return o;
}

static json_t *
errors_json(const struct load_tally *t)
{
	json_t *o = json_object();
	unsigned i;

	for (i = 0; i < t->nerrors; i++)
		(void)json_object_set_new(o, t->errors[i].type,
		    json_integer((json_int_t)t->errors[i].count));
	return o;
}

static json_t *
faults_json(const struct load_tally *t)
{
	json_t *o = json_object();
	unsigned i;

	for (i = 0; i < FAULT_COUNT; i++)
		(void)json_object_set_new(o, load_fault_name(i),
		    json_integer((json_int_t)t->faults[i]));
	return o;
}

static json_t *
report_json(
    const struct load_opts *opts, const struct load_tally *t, mu_us duration)
{
	struct named_hist v[NHISTS];
	json_t *o = json_object(), *latency = json_object();
	unsigned i;

	list_hists(t, v);
	for (i = 0; i < NHISTS; i++)
		(void)json_object_set_new(
		    latency, v[i].name, hist_json(v[i].h));
	(void)json_object_set_new(o, "shape",
	    json_string(opts->shape == SHAPE_TRUST ? "trust" : "hotline"));
	(void)json_object_set_new(
	    o, "seed", json_integer((json_int_t)opts->seed));
	(void)json_object_set_new(o, "took_ms", json_real(to_ms(duration)));
	(void)json_object_set_new(o, "counts", counts_json(t));
	(void)json_object_set_new(o, "errors", errors_json(t));
	(void)json_object_set_new(o, "faults", faults_json(t));
	(void)json_object_set_new(
	    o, "first_fault", json_string(t->first_fault));
	(void)json_object_set_new(o, "latency", latency);
	return o;
}

static void
print_section(const char *title, const json_t *o)
{
	const char *key;
	json_t *v;

	(void)printf("%s\n", title);
	json_object_foreach ((json_t *)(uintptr_t)o, key, v) {
		(void)printf("  %-22s %" JSON_INTEGER_FORMAT "\n", key,
		    json_integer_value(v));
	}
}

static void
print_text(const struct load_tally *t, const json_t *o)
{
	struct named_hist v[NHISTS];
	unsigned i;

	print_section("counts", json_object_get(o, "counts"));
	print_section("errors", json_object_get(o, "errors"));
	print_section("invariant violations", json_object_get(o, "faults"));
	if (t->first_fault[0] != '\0')
		(void)printf("  first: %s\n", t->first_fault);
	(void)printf("%-32s %8s %9s %9s %9s %9s %9s\n", "latency, ms", "n",
	    "mean", "p50", "p95", "p99", "max");
	list_hists(t, v);
	for (i = 0; i < NHISTS; i++)
		(void)printf("%-32s %8" PRIu64
			     " %9.1f %9.1f %9.1f %9.1f %9.1f\n",
		    v[i].title, v[i].h->n, to_ms(hist_mean(v[i].h)),
		    to_ms(hist_quantile(v[i].h, 0.5)),
		    to_ms(hist_quantile(v[i].h, 0.95)),
		    to_ms(hist_quantile(v[i].h, 0.99)), to_ms(v[i].h->max));
}

static FILE *
open_in_dir(const char *dir, const char *name)
{
	char path[PATH_BYTES];
	FILE *f;

	(void)mkdir(dir, 0777); /* on failure fopen() fails too */
	(void)snprintf(path, sizeof(path), "%s/%s", dir, name);
	f = fopen(path, "we");
	if (f == NULL)
		(void)fprintf(
		    stderr, "musherload: %s: %s\n", path, strerror(errno));
	return f;
}

static int
write_hist_data(const char *dir, const struct named_hist *v)
{
	char name[64];
	FILE *f;

	(void)snprintf(name, sizeof(name), "%s.dat", v->name);
	if ((f = open_in_dir(dir, name)) == NULL)
		return MU_E_SYSTEM;
	hist_write(v->h, f);
	return fclose(f) == 0 ? 0 : MU_E_SYSTEM;
}

static int
write_gnuplot_script(const char *dir, const struct named_hist v[NHISTS])
{
	FILE *f = open_in_dir(dir, "latency.gp");
	unsigned i;

	if (f == NULL)
		return MU_E_SYSTEM;
	(void)fputs("set terminal png size 900,600\n"
		    "set output 'latency.png'\n"
		    "set logscale x\n"
		    "set xlabel 'milliseconds'\n"
		    "set ylabel 'share at or below'\n"
		    "set yrange [0:1]\nset key bottom right\nset grid\nplot",
	    f);
	for (i = 0; i < NHISTS; i++)
		(void)fprintf(f, "%s '%s.dat' with steps title '%s'",
		    i > 0 ? "," : "", v[i].name, v[i].title);
	(void)fputc('\n', f);
	return fclose(f) == 0 ? 0 : MU_E_SYSTEM;
}

static int
write_plot(const char *dir, const struct load_tally *t)
{
	struct named_hist v[NHISTS];
	unsigned i;

	list_hists(t, v);
	for (i = 0; i < NHISTS; i++)
		if (write_hist_data(dir, &v[i]) != 0)
			return MU_E_SYSTEM;
	return write_gnuplot_script(dir, v);
}

static int
write_record(const char *file, const struct load_tally *t)
{
	json_t *o = json_pack("{s:O}", "calls", t->call_records);
	int failed = json_dump_file(o, file, JSON_INDENT(1));

	json_decref(o);
	if (failed != 0)
		(void)fprintf(
		    stderr, "musherload: %s cannot be written\n", file);
	return failed == 0 ? 0 : MU_E_SYSTEM;
}

int
report_write(
    const struct load_opts *opts, const struct load_tally *t, mu_us duration)
{
	json_t *o = report_json(opts, t, duration);
	int rc = 0;

	if (opts->json) {
		(void)json_dumpf(o, stdout, JSON_INDENT(1));
		(void)putchar('\n');
	} else {
		print_text(t, o);
	}
	json_decref(o);
	if (opts->plot_dir != NULL)
		rc = write_plot(opts->plot_dir, t);
	if (rc == 0 && opts->record_file != NULL)
		rc = write_record(opts->record_file, t);
	return rc;
}
