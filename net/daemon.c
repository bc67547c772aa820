#include "net/daemon.h"

#include <signal.h>
#include <string.h>
#include <uv.h>

#include "net/admin.h"
#include "net/entry.h"
#include "net/flow-port.h"
#include "net/log.h"
#include "net/probe.h"
#include "net/source.h"

#define STOP_CHECK_MS 20 /* between two looks whether all is done */

struct daemon {
	uv_loop_t loop;
	const struct settings *settings;
	struct counters counters;
	struct view *view;
	struct chart *upstream_chart;
	struct health *health;
	struct prober *prober;
	struct snapshot *snapshot;
	struct flows *flows;
	struct requests *requests;
	struct entry *entry;
	struct flow_port *flow_port;
	struct http_server *admin;
	struct admin_source admin_source;
	struct source *source; /* NULL until it has started */
	struct domain_set domains;
	uv_timer_t stop_timer;
	uv_signal_t sighup;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uint64_t stop_deadline; /* loop time */
	bool stopping;
};

static void apply_snapshot(const struct snapshot *sn, void *data)
{
	struct daemon *d = data;
	uint64_t now = uv_now(&d->loop);

	if (d->snapshot && snapshot_epoch(sn) <= snapshot_epoch(d->snapshot)) {
		if (snapshot_epoch(sn) < snapshot_epoch(d->snapshot))
			count(&d->counters, COUNT_CONFIG_STALE);
		return;
	}
	unref_snapshot(d->snapshot);
	d->snapshot = ref_snapshot(sn);
	count(&d->counters, COUNT_CONFIG_APPLIED);
	set_flow_snapshot(d->flows, sn, now);
	set_request_snapshot(d->requests, sn, now);
	set_entry_snapshot(d->entry, sn);
	set_health_snapshot(d->health, sn, now);
	log_change("configuration epoch %llu in force: %zu services, "
		   "%zu upstreams",
		   (unsigned long long)snapshot_epoch(sn),
		   snapshot_service_nr(sn), snapshot_upstream_nr(sn));
}

static void apply_domain(const struct domain_record *rec, void *data)
{
	struct daemon *d = data;

	if (!merge_domain_record(&d->domains, rec)) {
		count(&d->counters, COUNT_CONFIG_STALE);
		return;
	}
	set_domain_out(d->view, rec->name, rec->out);
	log_change("domain %s is %s: epoch %llu", rec->name,
		   rec->out ? "out" : "in", (unsigned long long)rec->epoch);
}

/* Name of the upstream that A is about, for the log. */
static const char *upstream_name(const struct daemon *d,
				 const struct health_action *a)
{
	const struct service *sv = find_service(d->snapshot, a->service);
	const struct upstream *up = NULL;

	if (sv)
		up = find_upstream(sv, a->upstream);
	return up ? up->name : "(unpublished)";
}

static void on_health_change(const struct health_action *a, void *data)
{
	struct daemon *d = data;

	if (a->kind == HEALTH_PUBLISH)
		set_upstream_state(d->view, a->upstream, a->state);
	else
		log_change("upstream %s is %s", upstream_name(d, a),
			   upstream_state_name(a->state));
}

static const struct snapshot *get_snapshot(void *data)
{
	const struct daemon *d = data;

	return d->snapshot;
}

static const struct domain_set *get_domains(void *data)
{
	const struct daemon *d = data;

	return &d->domains;
}

static uint64_t get_store_age(void *data)
{
	const struct daemon *d = data;

	return d->source ? source_contact_age_ms(d->source) : UINT64_MAX;
}

static bool get_is_reader(void *data)
{
	const struct daemon *d = data;

	return d->source && source_is_reader(d->source);
}

static size_t get_open_requests(void *data)
{
	const struct daemon *d = data;

	return open_request_nr(d->requests);
}

static void close_daemon(struct daemon *d)
{
	uv_close((uv_handle_t *)&d->stop_timer, NULL);
	uv_close((uv_handle_t *)&d->sighup, NULL);
	uv_close((uv_handle_t *)&d->sigterm, NULL);
	uv_close((uv_handle_t *)&d->sigint, NULL);
	destroy_http_server(d->admin);
	destroy_flow_port(d->flow_port);
	destroy_entry(d->entry);
	destroy_prober(d->prober);
	destroy_source(d->source);
}

static void on_stop_timer(uv_timer_t *timer)
{
	struct daemon *d = timer->data;
	bool late = uv_now(&d->loop) >= d->stop_deadline;

	if (!entry_is_idle(d->entry) && !late)
		return;
	if (late)
		log_problem("stop took too long; %zu requests cut",
			    open_request_nr(d->requests));
	close_daemon(d);
}

static void on_signal(uv_signal_t *sig, int signum)
{
	struct daemon *d = sig->data;

	if (d->stopping)
		return;
	d->stopping = true;
	d->stop_deadline = uv_now(&d->loop) + d->settings->stop_ms;
	log_change("stopping on signal %d: %zu requests to finish", signum,
		   open_request_nr(d->requests));
	stop_entry(d->entry);
	uv_timer_start(&d->stop_timer, on_stop_timer, STOP_CHECK_MS,
		       STOP_CHECK_MS);
}

static void on_reload(uv_signal_t *sig, int signum)
{
	struct daemon *d = sig->data;

	(void)signum;
	if (d->source)
		reload_source(d->source);
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
	uv_signal_start(&d->sighup, on_reload, SIGHUP);
	uv_signal_start(&d->sigterm, on_signal, SIGTERM);
	uv_signal_start(&d->sigint, on_signal, SIGINT);
}

static void join_view(struct daemon *d)
{
	const struct settings *s = d->settings;
	struct member self = { .id = service_id(s->name),
			       .address = s->address,
			       .peer_port = s->peer_port,
			       .flow_port = s->flow_port,
			       .admin_port = s->admin_port,
			       .state = MEMBER_ALIVE };

	memcpy(self.name, s->name, sizeof(self.name));
	memcpy(self.domain, s->domain, sizeof(self.domain));
	d->view = create_view(self.id);
	put_member(d->view, &self);
}

static bool open_ports(struct daemon *d)
{
	struct endpoint flow_at = d->settings->address;
	struct status st;

	flow_at.port = d->settings->flow_port;
	d->flow_port = create_flow_port(&d->loop, &flow_at, d->flows,
					&d->counters, &st);
	if (d->flow_port)
		d->admin = create_admin(&d->loop, &d->admin_source, &st);
	if (d->flow_port && d->admin)
		return true;
	log_problem("%s", st.message);
	return false;
}

/* Health needs its state chart; one that is wrong ends the start. */
static bool start_health(struct daemon *d)
{
	struct problems *ps = create_problems();
	uint32_t seed = (uint32_t)view_self(d->view);

	d->upstream_chart = create_upstream_chart(ps);
	for (size_t i = 0; problem_at(ps, i); i++)
		log_problem("%s", problem_at(ps, i));
	destroy_problems(ps);
	if (!d->upstream_chart)
		return false;
	d->health =
		create_health(d->view, d->upstream_chart, seed, &d->counters);
	d->prober = create_prober(&d->loop, d->health, on_health_change, d);
	return true;
}

static bool start_daemon(struct daemon *d)
{
	struct source_sink sink = { apply_snapshot, apply_domain, d };
	struct admin_source src = {
		d->settings,   &d->counters,	  d->view,
		get_snapshot,  get_domains,	  get_store_age,
		get_is_reader, get_open_requests, d
	};

	d->admin_source = src;
	d->flows = create_flows(d->view, &d->counters);
	d->requests = create_requests(d->view, &d->counters);
	d->entry = create_entry(&d->loop, d->settings, d->requests);
	init_handles(d);
	if (!start_health(d) || !open_ports(d))
		return false;
	d->source = create_source(&d->loop, d->settings, d->view, &d->counters,
				  &sink);
	return d->source;
}

int run_daemon(const struct settings *settings)
{
	struct daemon d = { .settings = settings };
	int code = 0;

	uv_loop_init(&d.loop);
	join_view(&d);
	if (start_daemon(&d)) {
		log_change("instance %s of domain %s runs", settings->name,
			   settings->domain);
	} else {
		close_daemon(&d);
		code = 1;
	}
	uv_run(&d.loop, UV_RUN_DEFAULT);
	uv_loop_close(&d.loop);
	destroy_requests(d.requests);
	destroy_flows(d.flows);
	unref_snapshot(d.snapshot);
	destroy_health(d.health);
	destroy_chart(d.upstream_chart);
	destroy_view(d.view);
	log_change("instance %s has stopped", settings->name);
	return code;
}
