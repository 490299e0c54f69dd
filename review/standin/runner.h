/**
 * @file Runners of the review's stand-in: they follow PROTOCOL.md ("Running
 * tasks", "Service discovery") and write every event to the record.
 */
#ifndef REVIEW_RUNNER_H
#define REVIEW_RUNNER_H

#include "../../tests/cellstandin/standin.h"

/** Writes a line to the record, with the boot clock in ms before it. */
void record_line(const char *format, ...) __attribute__((format(printf, 1, 2)));

struct runner;

/** Whether the store refuses calls; runners can't reach it then. */
bool store_is_down(void);

/** @param cpu capacity in thousandths of a core */
struct runner *runner_start(struct event_base *base, struct store_sim *store,
    const char *id, int index, uint16_t port, int cpu, int mem_mb);
/** The process dies: its runs are gone and connections are refused. */
void runner_kill(struct runner *r);
/** Reports that the runner is draining. */
void runner_drain(struct runner *r);
/** The runner ends in an orderly way: its entry is removed at once. */
void runner_leave(struct runner *r);
/**
 * Boots again at the same address.
 * @param other_id under another id
 * @param half as a machine of half the size
 */
void runner_boot(struct runner *r, bool other_id, bool half);
/** Cuts the runner off as its pending hold ends, at once when there is none: it
 * answers nothing and reaches no store, and runs on. */
void runner_cut(struct runner *r);
void runner_heal(struct runner *r);

#endif
