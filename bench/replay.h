/*
 * replay.h -- replays recorded calls on the engine model.
 */
#ifndef BENCH_REPLAY_H
#define BENCH_REPLAY_H

#include "workload.h"

/*
 * Replays the calls that bench/calibrate recorded in a file on a model with
 * the given step time and batch size, and prints both mean latencies.
 */
int replay(struct workload *w, const char *path, double step_s, unsigned batch);

#endif
