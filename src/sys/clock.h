/** @file Clocks of this host and the resource use of this process. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/** Milliseconds since boot; includes the time that the host is suspended. */
int64_t clock_boot_ms(void);
/** Microseconds since boot. */
int64_t clock_boot_us(void);
/**
 * Wall clock, ms since 1970. It may jump, so it is meant for records that
 * people read.
 */
int64_t clock_wall_ms(void);
/** Processor time used by this process, in microseconds. */
int64_t clock_cpu_us(void);
/** Peak resident set size, in KiB. */
int64_t clock_rss_kb(void);

#endif
