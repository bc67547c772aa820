#include "net/fleet-port.h"

#include <glib.h>

#include "net/log.h"

struct fleet_port {
	uv_loop_t *loop;
	struct view *view;
	struct fleet *fleet;
	struct peers *peers;
	uv_timer_t ticker;
	fleet_fn fn;
	void *data;
	bool settled; /* as last logged */
};

static void carry_out(struct fleet_port *fp, const struct fleet_action *a)
{
	switch (a->kind) {
	case FLEET_SEND:
		send_peer(fp->peers, &a->to, PEER_FLEET, a->data, a->len);
		break;
	case FLEET_RESET:
		reset_peer(fp->peers, &a->to);
		break;
	case FLEET_APPLY:
	case FLEET_DOMAIN_CHANGED:
	case FLEET_UPSTREAM_CHANGED:
	case FLEET_MEMBER_CHANGED:
		fp->fn(a, fp->data);
		break;
	}
}

static void log_settled(struct fleet_port *fp)
{
	bool settled = is_view_settled(fp->view);

	if (settled == fp->settled)
		return;
	fp->settled = settled;
	log_change(settled ? "caught up with the fleet: %zu live members"
			   : "joins the fleet again: %zu live members known",
		   live_member_nr(fp->view));
}

void step_fleet_port(struct fleet_port *fp, const struct fleet_event *ev)
{
	struct fleet_actions as = { 0 };

	step_fleet(fp->fleet, ev, uv_now(fp->loop), &as);
	for (size_t i = 0; i < as.nr; i++)
		carry_out(fp, &as.at[i]);
	release_fleet_actions(&as);
	log_settled(fp);
}

static void on_tick(uv_timer_t *timer)
{
	struct fleet_event ev = { .kind = FLEET_TICK };

	step_fleet_port(timer->data, &ev);
}

static void on_message(const void *data, size_t len, void *user)
{
	struct fleet_event ev = { .kind = FLEET_MESSAGE,
				  .message = { data, len } };

	step_fleet_port(user, &ev);
}

struct fleet_port *create_fleet_port(uv_loop_t *loop,
				     const struct settings *settings,
				     const struct member *self,
				     struct view *view,
				     struct counters *counters, fleet_fn fn,
				     void *data, struct status *st)
{
	struct fleet_port *fp = g_new0(struct fleet_port, 1);
	struct endpoint at = settings->address;
	uint32_t seed = 0;

	at.port = settings->peer_port;
	fp->peers = create_peers(loop, &at, counters, st);
	if (!fp->peers) {
		g_free(fp);
		return NULL;
	}
	uv_random(NULL, NULL, &seed, sizeof(seed), 0, NULL);
	fp->loop = loop;
	fp->view = view;
	fp->fn = fn;
	fp->data = data;
	fp->fleet = create_fleet(self, view, settings->seeds.at,
				 settings->seeds.nr, seed, counters);
	set_peer_handler(fp->peers, PEER_FLEET, on_message, fp);
	uv_timer_init(loop, &fp->ticker);
	fp->ticker.data = fp;
	uv_timer_start(&fp->ticker, on_tick, 0, FLEET_TICK_MS);
	return fp;
}

static void on_closed(uv_handle_t *handle)
{
	struct fleet_port *fp = handle->data;

	destroy_fleet(fp->fleet);
	g_free(fp);
}

void destroy_fleet_port(struct fleet_port *fp)
{
	struct fleet_event ev = { .kind = FLEET_GONE };

	if (!fp)
		return;
	step_fleet_port(fp, &ev);
	set_peer_handler(fp->peers, PEER_FLEET, NULL, NULL);
	destroy_peers(fp->peers);
	uv_close((uv_handle_t *)&fp->ticker, on_closed);
}

const struct fleet *port_fleet(const struct fleet_port *fp)
{
	return fp->fleet;
}

struct peers *port_peers(const struct fleet_port *fp)
{
	return fp->peers;
}
