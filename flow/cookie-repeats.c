/*
 * What the packets that callers repeat show of upstreams.
 *
 * Both ends of a flow acknowledge every second packet, and repeat the first one
 * that is missing. So one repeat shows nothing, repeats of later and later
 * packets show that the earlier ones were acknowledged, and repeats of the same
 * packet, for long enough, that its upstream is silent on that flow.
 */

#include "flow/cookie-state.h"

/* The caller of F repeats P now, and another packet before or none. */
static void start_repeats(struct cookie_flow *f, const struct cookie_packet *p,
			  uint64_t sent_ms, uint64_t now_ms)
{
	struct repeated_packet *rp = &f->repeated;
	bool is_last = p->seq + p->payload_len == f->caller_next_seq;

	rp->seq = p->seq;
	rp->repeat_nr = 0;
	rp->sent_ms = sent_ms;
	rp->followed_ms = is_last ? 0 : now_ms;
}

void observe_repeat(struct cookie_steering *cs, struct cookie_flow *f,
		    const struct cookie_packet *p, uint64_t now_ms)
{
	struct repeated_packet *rp = &f->repeated;
	int32_t distance = (int32_t)(p->seq - rp->seq);

	/* the caller has repeated a later one already */
	if (rp->repeat_nr && distance < 0)
		return;
	if (rp->repeat_nr && distance > 0) {
		/* the earlier one was acknowledged after its last repeat */
		rp->moved_on = true;
		note_upstream_alive_at(cs->placer, f->upstream,
				       rp->repeated_ms + 1, now_ms);
	}
	if (!rp->repeat_nr || distance)
		start_repeats(f, p, f->last_packet_ms, now_ms);
	else if (now_ms - rp->repeated_ms > PLACEMENT_REPEAT_GAP_MS)
		start_repeats(f, p, now_ms, now_ms);
	else if (was_alive_since(cs->placer, f->upstream, rp->sent_ms + 1))
		rp->sent_ms = f->last_packet_ms;
	rp->repeat_nr++;
	rp->repeated_ms = now_ms;
	if (rp->repeat_nr > 1 && (!rp->moved_on || rp->followed_ms))
		note_upstream_silent(cs->placer, f->upstream, f->last_packet_ms,
				     now_ms);
	else if (!rp->moved_on)
		note_silence(cs->placer, f->upstream, f->last_packet_ms,
			     now_ms);
}

void observe_new_data(struct cookie_flow *f, uint64_t now_ms)
{
	if (f->repeated.repeat_nr && !f->repeated.followed_ms)
		f->repeated.followed_ms = now_ms;
}

void forget_repeats(struct cookie_flow *f)
{
	/* a slow caller remains one */
	f->repeated =
		(struct repeated_packet){ .moved_on = f->repeated.moved_on };
}

/* Whether the upstream of F no longer answers what is sent on F. */
static bool is_flow_silent(const struct cookie_steering *cs,
			   const struct cookie_flow *f, uint64_t now_ms)
{
	const struct repeated_packet *rp = &f->repeated;
	uint64_t since_ms = rp->sent_ms;

	/* a slow caller repeats each packet until it sends the next one */
	if (rp->moved_on && !rp->followed_ms)
		return false;
	if (rp->moved_on)
		since_ms = MAX(since_ms, rp->followed_ms);
	if (!rp->repeat_nr ||
	    rp->repeated_ms < since_ms + PLACEMENT_LAST_REPEAT_MS)
		return false;
	return is_unlistening_silent(cs->placer, f->upstream, since_ms, now_ms);
}

void end_silent_flows(struct cookie_steering *cs, uint64_t now_ms,
		      GArray *resets)
{
	if (!has_unlistening_upstream(cs->placer))
		return;
	for (guint i = 0; i < cs->flows_by_upstream->len; i++) {
		struct cookie_flow *f =
			g_ptr_array_index(cs->flows_by_upstream, i);

		if (!is_unlistening(cs->placer, (upstream_index_t)i))
			continue;
		while (f) {
			struct cookie_flow *next = f->upstream_next;

			if (f->phase == PHASE_OPEN &&
			    is_flow_silent(cs, f, now_ms)) {
				add_cookie_reset(f, COOKIE_UPSTREAM_SILENT,
						 now_ms, resets);
				remove_cookie_flow(cs, f);
			}
			f = next;
		}
	}
}
