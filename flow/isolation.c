#include "flow/isolation.h"

void update_isolation(struct isolation *is, uint64_t last_heard_ms,
		      const struct placer *pl, uint64_t now_ms)
{
	bool heard = now_ms - last_heard_ms < ISOLATION_SILENCE_MS;
	bool recently_unheard;

	if (last_heard_ms && !heard)
		is->unheard_ms = now_ms;
	/* begins only while nobody is heard */
	if (heard && !is->isolated)
		return;
	recently_unheard =
		is->unheard_ms && now_ms - is->unheard_ms < ISOLATION_END_MS;
	is->isolated = recently_unheard && reaches_no_upstream(pl);
}
