#include "flow/stall.h"

#include <glib.h>

#define WAYS 4		    /* entries of a set; a flow maps to one set */
#define PROBE_PAYLOAD_MAX 1 /* bytes of a keep-alive or window probe */

struct tracked_flow {
	uint32_t tag;	       /* upper bits of the flow's hash; 0: unused */
	uint32_t seq;	       /* of the newest data */
	uint32_t first_sent_s; /* when SEQ was first sent */
	uint32_t last_data_s;  /* when the flow last sent data */
};

struct stall_detector {
	size_t set_mask; /* number of sets - 1 */
	struct tracked_flow *flows;
};

struct stall_detector *create_stall_detector(size_t flow_nr)
{
	struct stall_detector *sd = g_new0(struct stall_detector, 1);
	size_t sets = 1;

	while (sets * WAYS < flow_nr)
		sets *= 2;
	sd->set_mask = sets - 1;
	sd->flows = g_new0(struct tracked_flow, sets * WAYS);
	return sd;
}

void destroy_stall_detector(struct stall_detector *sd)
{
	if (!sd)
		return;
	g_free(sd->flows);
	g_free(sd);
}

/* The flow's entry, else the least recently used entry of its set. */
static struct tracked_flow *find_tracked_flow(struct stall_detector *sd,
					      uint64_t hash, uint32_t tag)
{
	struct tracked_flow *set = &sd->flows[(hash & sd->set_mask) * WAYS];
	struct tracked_flow *oldest = set;

	for (int i = 0; i < WAYS; i++) {
		if (set[i].tag == tag)
			return &set[i];
		if (set[i].last_data_s < oldest->last_data_s)
			oldest = &set[i];
	}
	return oldest;
}

bool detect_stall(struct stall_detector *sd, const struct packet *p,
		  uint64_t now_ms)
{
	uint32_t now_s = (uint32_t)(now_ms / 1000);
	uint32_t tag = (uint32_t)(p->hash >> 32) | 1;
	struct tracked_flow *tf;

	if (p->protocol != FLOW_TCP)
		return false;
	tf = find_tracked_flow(sd, p->hash, tag);
	if (p->flags & TCP_SYN && tf->tag == tag)
		tf->tag = 0;
	if (p->flags & TCP_SYN || p->payload_len <= PROBE_PAYLOAD_MAX)
		return false;
	if (tf->tag != tag || (int32_t)(p->seq - tf->seq) > 0) {
		tf->tag = tag;
		tf->seq = p->seq;
		tf->first_sent_s = now_s;
	}
	tf->last_data_s = now_s;
	if (p->seq != tf->seq || now_s - tf->first_sent_s <= STALL_MS / 1000)
		return false;
	tf->tag = 0;
	return true;
}
