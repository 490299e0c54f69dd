#include "clock.h"

#include <sys/resource.h>
#include <time.h>

static int64_t
read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t
clock_boot_us(void)
{
	return read_us(CLOCK_BOOTTIME);
}

int64_t
clock_boot_ms(void)
{
	return clock_boot_us() / 1000;
}

int64_t
clock_wall_ms(void)
{
	return read_us(CLOCK_REALTIME) / 1000;
}

int64_t
clock_cpu_us(void)
{
	return read_us(CLOCK_PROCESS_CPUTIME_ID);
}

int64_t
clock_rss_kb(void)
{
	struct rusage ru;

	getrusage(RUSAGE_SELF, &ru);
	return ru.ru_maxrss;
}
