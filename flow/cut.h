#ifndef FLOW_CUT_H
#define FLOW_CUT_H

/*
 * Tells a failure domain that is cut off from one whose upstreams have died:
 * while no instance of a domain can be reached, its upstreams being down here
 * says little, and their flows may go on through other instances. They are
 * not reset at once; a caller that makes no progress is (flow/progress.h).
 */

#include "fleet/view.h"

#define CUT_GRACE_MS 5000 /* news of a healed cut may take this long */

struct cut_watch;

struct cut_watch *create_cut_watch(void);
void destroy_cut_watch(struct cut_watch *cw);

/* Takes in the members' states as of NOW_MS. */
void update_cut_watch(struct cut_watch *cw, const struct view *v,
		      uint64_t now_ms);

/* Whether DOMAIN is, or was until CUT_GRACE_MS ago, cut off from here. */
bool is_cut_off(const struct cut_watch *cw, const char *domain,
		uint64_t now_ms);

#endif
