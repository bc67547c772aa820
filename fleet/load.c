#include "fleet/load.h"

const char *upstream_health_name(enum upstream_health h)
{
	static const char *const names[] = { "good", "doubted", "cut-off",
					     "dead" };

	return names[h];
}
