/* Record of what happens at the runners. */
#include "events.h"

#include <stdio.h>
#include <time.h>

#include "standin.h"

static FILE *file;

bool
events_open(const char *path)
{
	file = fopen(path, "a");
	if (file != NULL)
		setvbuf(file, NULL, _IOLBF, 0);
	return file != NULL;
}

bool
events_on(void)
{
	return file != NULL;
}

void
events_write(json_t *e)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	json_object_set_new(e, "t", json_integer(now_ms()));
	json_object_set_new(e, "wall",
	    json_integer((json_int_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000));
	json_dumpf(e, file, JSON_COMPACT);
	fputc('\n', file);
	json_decref(e);
}
