#include "base/version.h"

/* The Makefile defines it for this file. */
#ifndef BUILD_ID
#define BUILD_ID "unknown"
#endif

const char *build_id(void)
{
	return BUILD_ID;
}
