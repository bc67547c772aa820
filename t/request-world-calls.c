/* Sends, offers, runs and answers of the world of requests. */

#include "t/request-world-state.h"

#include <glib.h>
#include <string.h>

void cancel_world_call(struct request_world *w, struct sent *s)
{
	struct item *it;

	if (!s->call)
		return;
	it = add_world_item(w, w->now + world_net_delay(w), ITEM_CANCEL, 0);
	it->call = s->call;
	s->call = NULL;
}

static void start_call(struct request_world *w, struct sent *s,
		       const struct request_action *a)
{
	struct call *c = g_new0(struct call, 1);
	unsigned int u = 0;

	cancel_world_call(w, s);
	world_stand_in(w, a->upstream, &u);
	g_ptr_array_add(w->calls, c);
	c->sent = s;
	c->upstream = u;
	s->call = c;
	add_world_item(w, w->now + world_net_delay(w), ITEM_OFFER, u)->call = c;
}

static void tell_outcome(struct request_world *w, struct sent *s,
			 enum outcome o)
{
	if (s->outcomes++)
		w->r.two_outcomes++;
	switch (o) {
	case OUTCOME_NOT_RUN:
		w->r.not_run++;
		s->told_not_run = true;
		break;
	case OUTCOME_UNKNOWN:
		w->r.unknown++;
		break;
	case OUTCOME_IN_PROGRESS:
		w->r.in_progress++;
		break;
	case OUTCOME_DONE:
		w->r.done++;
		break;
	case OUTCOME_KEY_REUSED:
		w->r.key_reused++;
		break;
	default:
		break;
	}
}

static void tell_answer(struct request_world *w, struct sent *s,
			uint32_t operation)
{
	double wait = (double)(s->ran_at - s->at) / MS;

	if (s->outcomes++)
		w->r.two_outcomes++;
	if (operation != s->s.operation)
		w->r.wrong_answer++;
	if (w->now > s->at + (uint64_t)w->o.deadline_ms * MS) {
		w->r.late++;
		return;
	}
	w->r.answered++;
	if (s->ran_at)
		g_array_append_val(w->waits, wait);
}

static void send_message(struct request_world *w, unsigned int from,
			 const struct request_action *a)
{
	int copies = world_chance(w, w->o.loss_percent) ? 0 : 1;

	copies += world_chance(w, w->o.loss_percent);
	while (copies--) {
		uint64_t delay = world_net_delay(w);
		struct item *it;

		if (world_chance(w, w->o.late_percent))
			delay += (uint64_t)g_rand_int_range(w->rng, 0,
							    3000 * MS);
		it = add_world_item(w, w->now + delay, ITEM_PEER,
				    a->address.ip[3]);
		it->b = from;
		it->data = g_memdup2(a->data, a->len);
		it->len = a->len;
	}
}

/* Carries out A for instance I; SENT is the send that just arrives. */
static void carry_out(struct request_world *w, unsigned int i,
		      const struct request_action *a)
{
	struct instance *in = &w->in[i];
	struct sent *s =
		g_hash_table_lookup(in->sent, GUINT_TO_POINTER(a->request));

	if (a->kind == REQUEST_SEND_PEER) {
		send_message(w, i, a);
		return;
	}
	if (!s)
		return;
	if (a->ends) {
		g_hash_table_remove(in->sent, GUINT_TO_POINTER(a->request));
		s->handle = 0;
	}
	switch (a->kind) {
	case REQUEST_OFFER:
		start_call(w, s, a);
		break;
	case REQUEST_RELAY:
		tell_answer(w, s, s->s.operation);
		break;
	case REQUEST_REPLAY:
		w->r.replayed++;
		tell_answer(w, s, *(const uint32_t *)a->data);
		break;
	case REQUEST_REFUSE:
		cancel_world_call(w, s);
		if (!s->left)
			tell_outcome(w, s, a->outcome);
		break;
	case REQUEST_CANCEL:
		cancel_world_call(w, s);
		break;
	default:
		break;
	}
}

handle_t step_world_instance(struct request_world *w, unsigned int i,
			     const struct request_event *ev,
			     struct sent *arriving)
{
	struct instance *in = &w->in[i];
	struct request_actions as = { 0 };
	handle_t h = step_requests(in->requests, ev, world_ms(w), &as);

	if (arriving && h) {
		arriving->handle = h;
		g_hash_table_insert(in->sent, GUINT_TO_POINTER(h), arriving);
	}
	for (size_t n = 0; n < as.nr; n++)
		carry_out(w, i, &as.at[n]);
	release_request_actions(&as);
	return h;
}

void take_world_send(struct request_world *w, struct sent *s)
{
	struct instance *in = &w->in[s->s.instance];
	struct operation *op = world_operation(w, s->s.operation);
	struct request_event ev = { .kind = REQUEST_ARRIVED };
	char key[32];

	s->age_ms = op->sent ? (w->now - op->first_sent) / MS + 1 : 0;
	if (!op->sent)
		op->first_sent = w->now;
	op->sent = true;
	if (!in->alive || in->leaving) {
		s->left = true;
		return;
	}
	w->r.sends++;
	s->arrived = true;
	s->incarnation = in->incarnation;
	g_snprintf(key, sizeof(key), "key-%u", s->s.operation);
	ev.service = w->services[s->s.service]->id;
	ev.idempotent = s->s.idempotent;
	ev.has_key = s->s.has_key;
	ev.key = hash_request_key(ev.service, key);
	ev.age_ms = s->s.tells_age ? s->age_ms : KEY_AGE_UNKNOWN;
	ev.digest = s->s.other_body ? 2 : 1;
	ev.deadline_ms = w->o.deadline_ms;
	if (!step_world_instance(w, s->s.instance, &ev, s) || !s->handle)
		return;
	ev.kind = REQUEST_BODY_READ;
	ev.request = s->handle;
	ev.body_digest = ev.digest;
	step_world_instance(w, s->s.instance, &ev, NULL);
}

static bool is_current(const struct request_world *w, const struct sent *s)
{
	const struct instance *in = &w->in[s->s.instance];

	return s->arrived && s->handle && in->alive &&
	       s->incarnation == in->incarnation;
}

void take_world_leaves(struct request_world *w, struct sent *s)
{
	struct request_event ev = { .kind = REQUEST_CALLER_LEFT,
				    .request = s->handle };

	if (s->left || !is_current(w, s))
		return;
	s->left = true;
	step_world_instance(w, s->s.instance, &ev, NULL);
}

void answer_world_call(struct request_world *w, struct call *c,
		       enum request_event_kind how)
{
	struct item *it;

	c->result = how;
	if (how == REQUEST_ANSWERED && world_chance(w, w->o.lost_answers)) {
		if (world_chance(w, 50))
			return; /* silence until the deadline */
		c->result = REQUEST_LOST;
	}
	it = add_world_item(w, w->now + world_net_delay(w), ITEM_ANSWER, 0);
	it->call = c;
}

static void start_run(struct request_world *w, struct stand_in *u,
		      struct call *c)
{
	struct sent *s = c->sent;
	struct operation *op = world_operation(w, s->s.operation);
	double us = w->o.service_us * (0.5 + g_rand_double(w->rng));

	c->running = true;
	s->runs++;
	if (!s->ran_at)
		s->ran_at = w->now;
	u->running++;
	u->runs++;
	if (!s->s.idempotent && op->runs++)
		w->r.doubled++;
	g_hash_table_add(u->calls, c);
	add_world_item(w, w->now + (uint64_t)us, ITEM_RUN_END, c->upstream)
		->call = c;
}

void take_world_offer(struct request_world *w, struct call *c)
{
	struct stand_in *u = &w->ups[c->upstream];
	unsigned int load = u->running + 1;

	if (c->cancelled)
		return;
	u->most = MAX(u->most, load);
	if (u->cold_told && load > u->limit)
		u->excess = MAX(u->excess, load - u->limit);
	if (u->running >= u->limit || w->now < u->sheds_until) {
		w->r.sheds++;
		answer_world_call(w, c, REQUEST_SHED);
	} else {
		start_run(w, u, c);
	}
}

void end_world_run(struct request_world *w, struct call *c)
{
	struct stand_in *u = &w->ups[c->upstream];

	if (!c->running)
		return;
	c->running = false;
	u->running--;
	g_hash_table_remove(u->calls, c);
}

void take_world_run_end(struct request_world *w, struct call *c)
{
	if (!c->running)
		return;
	end_world_run(w, c);
	answer_world_call(w, c, REQUEST_ANSWERED);
}

void take_world_cancel(struct request_world *w, struct call *c)
{
	c->cancelled = true;
	end_world_run(w, c);
}

void take_world_answer(struct request_world *w, struct call *c)
{
	struct sent *s = c->sent;
	struct request_event ev = { .kind = c->result, .repeatable = true };

	if (!is_current(w, s) || s->call != c)
		return;
	ev.request = s->handle;
	ev.data = &s->s.operation;
	ev.len = sizeof(s->s.operation);
	s->call = NULL;
	step_world_instance(w, s->s.instance, &ev, NULL);
}
