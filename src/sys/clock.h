/** @file The machine's clocks behind one interface. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/** Milliseconds since boot; goes on while the machine is suspended. */
int64_t clock_boot_ms(void);
/** Microseconds since boot. */
int64_t clock_boot_us(void);
/** Wall clock, ms since 1970; for records that people read only. */
int64_t clock_wall_ms(void);
/** Processor time used by this process, in microseconds. */
int64_t clock_cpu_us(void);
/** Largest resident set so far, in KiB. */
int64_t clock_rss_kb(void);

#endif
