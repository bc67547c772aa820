#include "net/fleet-runner.h"

#include <glib.h>

#include "net/log.h"

struct fleet_runner {
	uv_loop_t *loop;
	struct view *view;
	struct fleet *fleet;
	struct peers *peers;
	uv_timer_t tick_timer;
	fleet_action_fn on_action;
	void *data;
	bool logged_settled; /* is_view_settled() as last logged */
};

static void execute_action(struct fleet_runner *fr,
			   const struct fleet_action *a)
{
	switch (a->kind) {
	case FLEET_SEND:
		send_peer(fr->peers, &a->to, PEER_FLEET, a->data, a->len);
		break;
	case FLEET_RESET:
		reset_peer(fr->peers, &a->to);
		break;
	case FLEET_APPLY:
	case FLEET_DOMAIN_CHANGED:
	case FLEET_UPSTREAM_CHANGED:
	case FLEET_MEMBER_CHANGED:
		fr->on_action(a, fr->data);
		break;
	}
}

static void log_settled(struct fleet_runner *fr)
{
	bool settled = is_view_settled(fr->view);

	if (settled == fr->logged_settled)
		return;
	fr->logged_settled = settled;
	log_info(settled ? "caught up with the fleet: %zu live members"
			 : "rejoining the fleet: %zu live members known",
		 live_member_count(fr->view));
}

void step_fleet_runner(struct fleet_runner *fr, const struct fleet_event *ev)
{
	struct fleet_actions as = { 0 };

	step_fleet(fr->fleet, ev, uv_now(fr->loop), &as);
	for (size_t i = 0; i < as.nr; i++)
		execute_action(fr, &as.items[i]);
	release_fleet_actions(&as);
	log_settled(fr);
}

static void on_tick(uv_timer_t *timer)
{
	struct fleet_event ev = { .kind = FLEET_TICK };

	step_fleet_runner(timer->data, &ev);
}

static void on_peer_message(const void *data, size_t len, void *user)
{
	struct fleet_event ev = { .kind = FLEET_MESSAGE,
				  .message = { data, len } };

	step_fleet_runner(user, &ev);
}

struct fleet_runner *
create_fleet_runner(uv_loop_t *loop, const struct settings *settings,
		    const struct member *self, struct view *view,
		    struct counters *counters, fleet_action_fn fn, void *data,
		    struct status *st)
{
	struct fleet_runner *fr = g_new0(struct fleet_runner, 1);
	struct endpoint at = settings->address;
	uint32_t seed = 0;

	at.port = settings->peer_port;
	fr->peers = create_peers(loop, &at, counters, st);
	if (!fr->peers) {
		g_free(fr);
		return NULL;
	}
	uv_random(NULL, NULL, &seed, sizeof(seed), 0, NULL);
	fr->loop = loop;
	fr->view = view;
	fr->on_action = fn;
	fr->data = data;
	fr->fleet = create_fleet(self, view, settings->seeds.at,
				 settings->seeds.nr, seed, counters);
	set_peer_handler(fr->peers, PEER_FLEET, on_peer_message, fr);
	uv_timer_init(loop, &fr->tick_timer);
	fr->tick_timer.data = fr;
	uv_timer_start(&fr->tick_timer, on_tick, 0, FLEET_TICK_MS);
	return fr;
}

static void on_closed(uv_handle_t *handle)
{
	struct fleet_runner *fr = handle->data;

	destroy_fleet(fr->fleet);
	g_free(fr);
}

void destroy_fleet_runner(struct fleet_runner *fr)
{
	struct fleet_event ev = { .kind = FLEET_GONE };

	if (!fr)
		return;
	step_fleet_runner(fr, &ev);
	set_peer_handler(fr->peers, PEER_FLEET, NULL, NULL);
	destroy_peers(fr->peers);
	uv_close((uv_handle_t *)&fr->tick_timer, on_closed);
}

const struct fleet *runner_fleet(const struct fleet_runner *fr)
{
	return fr->fleet;
}

struct peers *runner_peers(const struct fleet_runner *fr)
{
	return fr->peers;
}
