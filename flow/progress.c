#include "flow/progress.h"

#include <glib.h>

#define WAYS 4		/* places that one flow may take */
#define PROBE_PAYLOAD 1 /* bytes of the largest probe */

struct progress_slot {
	uint32_t tag;	  /* of the flow's hash; 0 when free */
	uint32_t seq;	  /* of the newest bytes sent */
	uint32_t first_s; /* when they were first sent */
	uint32_t seen_s;  /* when the flow was last seen */
};

struct progress {
	size_t mask; /* of sets */
	struct progress_slot *slots;
};

struct progress *create_progress(size_t slot_nr)
{
	struct progress *pg = g_new0(struct progress, 1);
	size_t sets = 1;

	while (sets * WAYS < slot_nr)
		sets *= 2;
	pg->mask = sets - 1;
	pg->slots = g_new0(struct progress_slot, sets * WAYS);
	return pg;
}

void destroy_progress(struct progress *pg)
{
	if (!pg)
		return;
	g_free(pg->slots);
	g_free(pg);
}

/* The flow's slot, else the one of its set that was used longest ago. */
static struct progress_slot *find_slot(struct progress *pg, uint64_t hash,
				       uint32_t tag)
{
	struct progress_slot *set = &pg->slots[(hash & pg->mask) * WAYS];
	struct progress_slot *oldest = set;

	for (int i = 0; i < WAYS; i++) {
		if (set[i].tag == tag)
			return &set[i];
		if (set[i].seen_s < oldest->seen_s)
			oldest = &set[i];
	}
	return oldest;
}

bool note_progress(struct progress *pg, const struct packet *p, uint64_t now_ms)
{
	uint32_t now_s = (uint32_t)(now_ms / 1000);
	uint32_t tag = (uint32_t)(p->hash >> 32) | 1;
	struct progress_slot *slot;

	if (p->protocol != FLOW_TCP)
		return false;
	slot = find_slot(pg, p->hash, tag);
	if (p->flags & TCP_SYN && slot->tag == tag)
		slot->tag = 0;
	if (p->flags & TCP_SYN || p->payload <= PROBE_PAYLOAD)
		return false;
	if (slot->tag != tag || (int32_t)(p->seq - slot->seq) > 0) {
		slot->tag = tag;
		slot->seq = p->seq;
		slot->first_s = now_s;
	}
	slot->seen_s = now_s;
	if (p->seq != slot->seq || now_s - slot->first_s <= SILENT_MS / 1000)
		return false;
	slot->tag = 0;
	return true;
}
