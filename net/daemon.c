#include "net/daemon.h"

#include <signal.h>
#include <string.h>
#include <uv.h>

#include "fleet/limits.h"
#include "net/admin.h"
#include "net/frontend.h"
#include "net/fleet-runner.h"
#include "net/flow-socket.h"
#include "net/log.h"
#include "net/probe.h"
#include "net/config-source.h"

#define STOP_CHECK_MS 20 /* between two checks whether the stop is complete */

struct daemon {
	uv_loop_t loop;
	const struct settings *settings;
	struct counters counters;
	struct view *view;
	struct fleet_runner *fleet;
	struct chart *upstream_chart;
	struct health *health;
	struct limits *limits;
	struct prober *prober;
	struct flows *flows;
	struct requests *requests;
	struct frontend *frontend;
	struct flow_socket *flow_socket;
	struct http_server *admin;
	struct admin_source admin_source;
	struct config_source *source; /* NULL until it has started */
	uv_timer_t stop_timer;
	uv_signal_t sighup;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uint64_t stop_deadline_ms; /* loop time */
	uint64_t fleet_left_ms;	   /* loop time of leave_fleet(); 0: not yet */
	bool stopping;
};

static void apply_snapshot(struct daemon *d, const struct snapshot *sn)
{
	uint64_t now = uv_now(&d->loop);

	set_flow_snapshot(d->flows, sn, now);
	set_request_snapshot(d->requests, sn, now);
	set_frontend_snapshot(d->frontend, sn);
	set_health_snapshot(d->health, sn, now);
	log_info("configuration epoch %llu in force: %zu services, "
		 "%zu upstreams",
		 (unsigned long long)snapshot_epoch(sn),
		 snapshot_service_count(sn), snapshot_upstream_count(sn));
}

static void log_member(const struct daemon *d, uint64_t id)
{
	const struct member *m = find_member(d->view, id);

	if (m)
		log_info("instance %s of domain %s is %s", m->name, m->domain,
			 member_state_name(m->state));
}

static void apply_domain(struct daemon *d, const char *name)
{
	const struct domain_record *rec =
		find_domain(fleet_domains(runner_fleet(d->fleet)), name);

	log_info("domain %s is %s", name,
		 is_domain_out(d->view, name) ? "out" : "back");
	if (rec && d->source)
		note_config_domain(d->source, rec);
}

static void on_fleet_action(const struct fleet_action *a, void *data)
{
	struct daemon *d = data;

	switch (a->kind) {
	case FLEET_APPLY:
		apply_snapshot(d, a->snapshot);
		if (d->source)
			note_config_snapshot(d->source, a->snapshot);
		break;
	case FLEET_DOMAIN_CHANGED:
		apply_domain(d, a->domain);
		break;
	case FLEET_MEMBER_CHANGED:
		log_member(d, a->id);
		break;
	default:
		break;
	}
}

static void on_snapshot_read(const struct snapshot *sn, void *data)
{
	struct fleet_event ev = { .kind = FLEET_SNAPSHOT, .snapshot = sn };
	struct daemon *d = data;

	step_fleet_runner(d->fleet, &ev);
}

static void on_domain_read(const struct domain_record *rec, void *data)
{
	struct fleet_event ev = { .kind = FLEET_DOMAIN, .domain = rec };
	struct daemon *d = data;

	step_fleet_runner(d->fleet, &ev);
}

/* Name of A's upstream, for the log. */
static const char *upstream_name(const struct daemon *d,
				 const struct health_action *a)
{
	const struct snapshot *sn = fleet_snapshot(runner_fleet(d->fleet));
	const struct service *sv = sn ? find_service(sn, a->service) : NULL;
	const struct upstream *up = NULL;

	if (sv)
		up = find_upstream(sv, a->upstream);
	return up ? up->name : "(unpublished)";
}

static void on_health_change(const struct health_action *a, void *data)
{
	struct fleet_event ev = { .kind = FLEET_UPSTREAM,
				  .upstream = { a->upstream, a->state } };
	struct daemon *d = data;

	if (!d->fleet)
		return;
	if (a->kind == HEALTH_PUBLISH)
		step_fleet_runner(d->fleet, &ev);
	else
		log_info("upstream %s is %s", upstream_name(d, a),
			 upstream_state_name(a->state));
}

/* Reports how an attempt ended to the health assessment of its upstream. */
static void on_attempt_end(uint64_t service, uint64_t upstream,
			   enum request_event_kind how, uint64_t took_ms,
			   uint64_t now_ms, void *data)
{
	struct health_event ev = { .service = service,
				   .upstream = upstream,
				   .latency_ms = (uint32_t)took_ms };
	struct daemon *d = data;

	(void)now_ms;
	switch (how) {
	case REQUEST_ANSWERED:
		ev.kind = HEALTH_ANSWERED;
		break;
	case REQUEST_SHED:
		ev.kind = HEALTH_SHED;
		break;
	case REQUEST_NOT_SENT:
		ev.kind = HEALTH_REFUSED;
		break;
	case REQUEST_LOST:
		ev.kind = HEALTH_LOST;
		break;
	default:
		return;
	}
	observe_upstream(d->prober, &ev);
}

static uint32_t find_slot_limit(const struct service *sv,
				const struct upstream *up, uint64_t now_ms,
				void *data)
{
	return upstream_slots(data, sv, up, now_ms);
}

static const struct snapshot *get_snapshot(void *data)
{
	const struct daemon *d = data;

	return fleet_snapshot(runner_fleet(d->fleet));
}

static const struct domain_set *get_domains(void *data)
{
	const struct daemon *d = data;

	return fleet_domains(runner_fleet(d->fleet));
}

static uint64_t get_store_age(void *data)
{
	const struct daemon *d = data;

	return d->source ? config_store_age_ms(d->source) : UINT64_MAX;
}

static bool get_is_store_reader(void *data)
{
	const struct daemon *d = data;

	return d->source && config_is_store_reader(d->source);
}

static size_t get_open_requests(void *data)
{
	const struct daemon *d = data;

	return open_request_count(d->requests);
}

static void close_daemon(struct daemon *d)
{
	uv_close((uv_handle_t *)&d->stop_timer, NULL);
	uv_close((uv_handle_t *)&d->sighup, NULL);
	uv_close((uv_handle_t *)&d->sigterm, NULL);
	uv_close((uv_handle_t *)&d->sigint, NULL);
	destroy_http_server(d->admin);
	destroy_flow_socket(d->flow_socket);
	destroy_frontend(d->frontend);
	destroy_prober(d->prober);
	destroy_config_source(d->source);
	destroy_fleet_runner(d->fleet);
	d->fleet = NULL;
}

/*
 * Notifies peers that this instance leaves. Must not run before the last
 * accepted request is answered: until then the instance needs its quotas of the
 * upstreams.
 */
static void leave_fleet(struct daemon *d, uint64_t now)
{
	struct fleet_event leave = { .kind = FLEET_LEAVE };

	step_fleet_runner(d->fleet, &leave);
	start_flow_handover(d->flows, now);
	d->fleet_left_ms = now;
}

static void on_stop_timer(uv_timer_t *timer)
{
	struct daemon *d = timer->data;
	uint64_t now = uv_now(&d->loop);
	bool timed_out = now >= d->stop_deadline_ms;

	if (!is_frontend_idle(d->frontend) && !timed_out)
		return;
	if (timed_out)
		log_warning("stop timed out; %zu open requests aborted",
			    open_request_count(d->requests));
	if (!d->fleet_left_ms)
		leave_fleet(d, now);
	if (timed_out || is_flow_handover_done(d->flows, now))
		close_daemon(d);
}

static void on_stop_signal(uv_signal_t *sig, int signum)
{
	struct daemon *d = sig->data;

	if (d->stopping)
		return;
	d->stopping = true;
	d->stop_deadline_ms = uv_now(&d->loop) + d->settings->stop_timeout_ms;
	log_info("stopping on signal %d: %zu open requests to finish", signum,
		 open_request_count(d->requests));
	stop_frontend(d->frontend);
	uv_timer_start(&d->stop_timer, on_stop_timer, STOP_CHECK_MS,
		       STOP_CHECK_MS);
}

static void on_reload_signal(uv_signal_t *sig, int signum)
{
	struct daemon *d = sig->data;

	(void)signum;
	if (d->source)
		reload_config_source(d->source);
}

static void init_handles(struct daemon *d)
{
	uv_timer_init(&d->loop, &d->stop_timer);
	uv_signal_init(&d->loop, &d->sighup);
	uv_signal_init(&d->loop, &d->sigterm);
	uv_signal_init(&d->loop, &d->sigint);
	d->stop_timer.data = d;
	d->sighup.data = d;
	d->sigterm.data = d;
	d->sigint.data = d;
	uv_signal_start(&d->sighup, on_reload_signal, SIGHUP);
	uv_signal_start(&d->sigterm, on_stop_signal, SIGTERM);
	uv_signal_start(&d->sigint, on_stop_signal, SIGINT);
}

static struct member describe_self(const struct settings *s)
{
	struct member self = { .id = service_id(s->name),
			       .address = s->address,
			       .peer_port = s->peer_port,
			       .flow_port = s->flow_port,
			       .admin_port = s->admin_port,
			       .state = MEMBER_ALIVE };

	memcpy(self.name, s->name, sizeof(self.name));
	memcpy(self.domain, s->domain, sizeof(self.domain));
	return self;
}

static bool join_fleet(struct daemon *d, struct status *st)
{
	struct member self = describe_self(d->settings);

	d->fleet = create_fleet_runner(&d->loop, d->settings, &self, d->view,
				       &d->counters, on_fleet_action, d, st);
	return d->fleet;
}

static bool open_sockets(struct daemon *d)
{
	struct endpoint flow_at = d->settings->address;
	struct status st;

	flow_at.port = d->settings->flow_port;
	d->flow_socket = create_flow_socket(&d->loop, &flow_at, d->flows,
					    &d->counters, &st);
	if (d->flow_socket && join_fleet(d, &st))
		d->admin = create_admin(&d->loop, &d->admin_source, &st);
	if (d->flow_socket && d->admin)
		return true;
	log_warning("%s", st.message);
	return false;
}

/* Starts health assessment; false if its state chart has errors. */
static bool start_health(struct daemon *d)
{
	struct problems *ps = create_problems();
	uint32_t seed = (uint32_t)view_self(d->view);

	d->upstream_chart = create_upstream_chart(ps);
	for (size_t i = 0; problem_at(ps, i); i++)
		log_warning("%s", problem_at(ps, i));
	destroy_problems(ps);
	if (!d->upstream_chart)
		return false;
	d->health =
		create_health(d->view, d->upstream_chart, seed, &d->counters);
	d->limits = create_limits(d->view, d->health);
	d->prober = create_prober(&d->loop, d->health, on_health_change, d);
	return true;
}

/* True if no seed names another instance. */
static bool has_no_other_seed(const struct settings *s)
{
	struct endpoint self = s->address;

	self.port = s->peer_port;
	for (size_t i = 0; i < s->seeds.nr; i++)
		if (!same_endpoint(&s->seeds.at[i], &self))
			return false;
	return true;
}

static void start_requests(struct daemon *d)
{
	struct request_options options = { .only_member = has_no_other_seed(
						   d->settings) };

	uv_random(NULL, NULL, &options.incarnation, sizeof(options.incarnation),
		  0, NULL);
	options.seed = (uint32_t)options.incarnation;
	d->requests = create_requests(d->view, &d->counters, &options,
				      uv_now(&d->loop));
	d->frontend = create_frontend(&d->loop, d->settings, d->requests);
	set_frontend_peers(d->frontend, runner_peers(d->fleet));
}

static bool start_daemon(struct daemon *d)
{
	struct config_sink sink = { on_snapshot_read, on_domain_read, d };
	struct admin_source src = {
		d->settings,	     &d->counters,	d->view,
		get_snapshot,	     get_domains,	get_store_age,
		get_is_store_reader, get_open_requests, d
	};

	d->admin_source = src;
	d->flows = create_flows(d->view, &d->counters);
	init_handles(d);
	if (!start_health(d) || !open_sockets(d))
		return false;
	start_requests(d);
	set_request_slot_limit(d->requests, find_slot_limit, d->limits);
	set_attempt_observer(d->requests, on_attempt_end, d);
	d->source = create_config_source(&d->loop, d->settings, d->view,
					 &d->counters, &sink);
	return d->source;
}

int run_daemon(const struct settings *settings)
{
	struct daemon d = { .settings = settings };
	int code = 0;

	uv_loop_init(&d.loop);
	d.view = create_view(service_id(settings->name));
	if (start_daemon(&d)) {
		log_info("instance %s of domain %s started", settings->name,
			 settings->domain);
	} else {
		close_daemon(&d);
		code = 1;
	}
	uv_run(&d.loop, UV_RUN_DEFAULT);
	uv_loop_close(&d.loop);
	destroy_requests(d.requests);
	destroy_flows(d.flows);
	destroy_limits(d.limits);
	destroy_health(d.health);
	destroy_chart(d.upstream_chart);
	destroy_view(d.view);
	log_info("instance %s has stopped", settings->name);
	return code;
}
