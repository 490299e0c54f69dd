/** @file Reads members of JSON objects, with defaults for missing ones. */
#ifndef JSON_GET_H
#define JSON_GET_H

#include <jansson.h>
#include <stdint.h>

/** The member's text; "" when it is missing or not a string. */
static inline const char *
json_get_text(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s != NULL ? s : "";
}

/** The member's number; 0 when it is missing or not an integer. */
static inline int64_t
json_get_int(const json_t *j, const char *name)
{
	return (int64_t)json_integer_value(json_object_get(j, name));
}

#endif
