#include "flow/isolation.h"

void update_isolation(struct isolation *is, const struct domain_links *links,
		      const struct placer *pl, uint64_t now_ms)
{
	bool unheard = hears_no_other_domain(links);

	if (unheard)
		is->unheard_ms = now_ms;
	/* begins only while nobody is heard */
	if (!unheard && !is->isolated)
		return;
	is->isolated = is->unheard_ms &&
		       now_ms - is->unheard_ms < ISOLATION_END_MS &&
		       reaches_no_upstream(pl);
}
