/* What the flows of cookie steering count at their upstreams. */

#include "flow/cookie-state.h"
#include "flow/in-flight.h"

/*
 * A flow is listed while it opens or has a pending request. Between the
 * handshake and its first request it still counts as opening.
 */
static void list_flow(struct cookie_steering *cs, struct cookie_flow *f)
{
	if (f->is_listed)
		return;
	f->is_listed = true;
	f->pending_at = cs->pending_flows->len;
	g_ptr_array_add(cs->pending_flows, f);
}

static void unlist_flow(struct cookie_steering *cs, struct cookie_flow *f)
{
	struct cookie_flow *last;

	if (!f->is_listed)
		return;
	f->is_listed = false;
	last = g_ptr_array_index(cs->pending_flows, cs->pending_flows->len - 1);
	last->pending_at = f->pending_at;
	g_ptr_array_remove_index_fast(cs->pending_flows, f->pending_at);
}

static void set_flow_load(struct cookie_steering *cs, struct cookie_flow *f,
			  bool established, uint8_t weight)
{
	if (f->upstream != CATALOG_NONE)
		remove_flow_load(cs->placer, f->upstream, &f->load);
	f->load.counted = f->phase != PHASE_CLOSING;
	f->load.established = established;
	f->load.weight = weight;
	if (f->upstream != CATALOG_NONE)
		add_flow_load(cs->placer, f->upstream, &f->load);
}

void start_flow_load(struct cookie_steering *cs, struct cookie_flow *f)
{
	set_flow_load(cs, f, false, IN_FLIGHT_WEIGHT_ONE);
	list_flow(cs, f);
}

void end_flow_load(struct cookie_steering *cs, struct cookie_flow *f)
{
	f->request_pending = false;
	f->request_unseen = false;
	set_flow_load(cs, f, f->phase == PHASE_OPEN, 0);
	unlist_flow(cs, f);
}

void start_request(struct cookie_steering *cs, struct cookie_flow *f,
		   uint64_t now_ms)
{
	set_flow_load(cs, f, f->load.established, IN_FLIGHT_WEIGHT_ONE);
	list_flow(cs, f);
	f->request_pending = true;
	f->request_unseen = false;
	f->request_sent_ms = now_ms;
}

void observe_answer(struct cookie_steering *cs, struct cookie_flow *f,
		    const struct cookie_packet *p, uint64_t now_ms)
{
	uint64_t took_ms = now_ms - f->request_sent_ms;

	/* one with data may come long after the response, by way of others */
	bool late = f->request_unseen && !p->payload_len &&
		    took_ms <= f->deadline_ms;

	if (f->request_pending)
		note_answer(cs->placer, f->upstream, took_ms, now_ms);
	else if (late)
		note_late_answer(cs->placer, f->upstream, took_ms, now_ms);
	else
		note_upstream_alive(cs->placer, f->upstream, now_ms);
	if (f->request_pending || late)
		note_response_on_route(cs->placer, f->load.route, now_ms);
	end_flow_load(cs, f);
}

/* The request of F is not waited for any longer. */
static void end_unseen_request(struct cookie_steering *cs,
			       struct cookie_flow *f, uint64_t now_ms)
{
	count(cs->counters, COUNT_FLOW_UNSEEN_ENDS);
	note_request_unseen(cs->placer, f->upstream, f->request_sent_ms,
			    now_ms);
	end_flow_load(cs, f);
	f->request_unseen = true;
}

static void update_request_weight(struct cookie_steering *cs,
				  struct cookie_flow *f, uint64_t now_ms)
{
	double p = request_probability(cs->placer, f->upstream,
				       f->request_sent_ms, now_ms);

	/* callers give up at the deadline, but send nothing */
	if (p < IN_FLIGHT_ENDED || now_ms - f->request_sent_ms > f->deadline_ms)
		end_unseen_request(cs, f, now_ms);
	else
		set_flow_load(cs, f, f->load.established, in_flight_weight(p));
}

void update_flow_loads(struct cookie_steering *cs, uint64_t now_ms)
{
	uint64_t limit_ms = handshake_limit_ms(cs);

	if (now_ms - cs->weights_updated_ms < IN_FLIGHT_UPDATE_MS)
		return;
	cs->weights_updated_ms = now_ms;
	/* backwards: a flow that ends is replaced by the last one */
	for (guint i = cs->pending_flows->len; i > 0; i--) {
		struct cookie_flow *f =
			g_ptr_array_index(cs->pending_flows, i - 1);

		if (f->request_pending)
			update_request_weight(cs, f, now_ms);
		else if (now_ms - f->syn_ms >= limit_ms)
			end_flow_load(cs, f);
	}
}
