#include "net/daemon.h"

#include <signal.h>
#include <string.h>
#include <uv.h>

#include "net/admin.h"
#include "net/entry.h"
#include "net/files.h"
#include "net/fleet-port.h"
#include "net/flow-port.h"
#include "net/log.h"
#include "net/probe.h"
#include "store/keys.h"
#include "store/store.h"

#define STORE_READ_MS 500 /* between two reads of the store */
#define STOP_CHECK_MS 20  /* between two looks whether all is done */
#define LEAVE_MS 300	  /* for the last messages to peers */

struct daemon {
	uv_loop_t loop;
	const struct settings *settings;
	struct counters counters;
	struct view *view;
	struct fleet_port *fleet;
	struct chart *upstream_chart;
	struct health *health;
	struct prober *prober;
	struct flows *flows;
	struct requests *requests;
	struct entry *entry;
	struct flow_port *flow_port;
	struct http_server *admin;
	struct admin_source admin_source;
	struct store *store;
	uint64_t store_contact; /* loop time of the last answer, 0 if none */
	uv_timer_t read_timer;
	uv_timer_t stop_timer;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uint64_t stop_deadline; /* loop time */
	uint64_t left;		/* loop time when peers were told; 0: not */
	bool stopping;
};

static void apply_snapshot(struct daemon *d, const struct snapshot *sn)
{
	uint64_t now = uv_now(&d->loop);

	set_flow_snapshot(d->flows, sn, now);
	set_request_snapshot(d->requests, sn, now);
	set_entry_snapshot(d->entry, sn);
	set_health_snapshot(d->health, sn, now);
	log_change("configuration epoch %llu in force: %zu services, "
		   "%zu upstreams",
		   (unsigned long long)snapshot_epoch(sn),
		   snapshot_service_nr(sn), snapshot_upstream_nr(sn));
}

static void log_member(const struct daemon *d, uint64_t id)
{
	const struct member *m = find_member(d->view, id);

	if (m)
		log_change("instance %s of domain %s is %s", m->name, m->domain,
			   member_state_name(m->state));
}

static void on_fleet_action(const struct fleet_action *a, void *data)
{
	struct daemon *d = data;

	switch (a->kind) {
	case FLEET_APPLY:
		apply_snapshot(d, a->snapshot);
		break;
	case FLEET_DOMAIN_CHANGED:
		log_change("domain %s is %s", a->domain,
			   is_domain_out(d->view, a->domain) ? "out" : "back");
		break;
	case FLEET_MEMBER_CHANGED:
		log_member(d, a->id);
		break;
	default:
		break;
	}
}

/* Tells the fleet of a snapshot read from the store or the directory. */
static void offer_read_snapshot(struct daemon *d, struct snapshot *sn)
{
	struct fleet_event ev = { .kind = FLEET_SNAPSHOT, .snapshot = sn };

	step_fleet_port(d->fleet, &ev);
	unref_snapshot(sn);
}

static void on_config(const struct store_answer *a, void *data)
{
	struct daemon *d = data;
	struct snapshot *sn;
	struct status st;

	if (a->status.kind != STATUS_OK)
		return;
	d->store_contact = uv_now(&d->loop);
	if (!a->entry_nr)
		return;
	sn = decode_snapshot(a->entries[0].value, a->entries[0].len, &st);
	if (sn)
		offer_read_snapshot(d, sn);
	else
		count(&d->counters, COUNT_CONFIG_CORRUPT);
}

static void on_read_timer(uv_timer_t *timer)
{
	struct daemon *d = timer->data;

	range_store(d->store, KEY_CONFIG, false, on_config, d);
}

/* Puts the local directory's service files in force, if they are right. */
static bool load_local(struct daemon *d)
{
	struct problems *ps = create_problems();
	const char *path = d->settings->directory;
	struct snapshot *sn = load_services(&path, 1, 1, "local", ps);

	for (size_t i = 0; problem_at(ps, i); i++)
		log_problem("%s", problem_at(ps, i));
	destroy_problems(ps);
	if (!sn)
		return false;
	offer_read_snapshot(d, sn);
	return true;
}

/* Name of the upstream that A is about, for the log. */
static const char *upstream_name(const struct daemon *d,
				 const struct health_action *a)
{
	const struct snapshot *sn = fleet_snapshot(port_fleet(d->fleet));
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

	if (a->kind == HEALTH_PUBLISH)
		step_fleet_port(d->fleet, &ev);
	else
		log_change("upstream %s is %s", upstream_name(d, a),
			   upstream_state_name(a->state));
}

static const struct snapshot *get_snapshot(void *data)
{
	const struct daemon *d = data;

	return fleet_snapshot(port_fleet(d->fleet));
}

static uint64_t get_store_age(void *data)
{
	const struct daemon *d = data;

	if (!d->store_contact)
		return UINT64_MAX;
	return uv_now(&d->loop) - d->store_contact;
}

static size_t get_open_requests(void *data)
{
	const struct daemon *d = data;

	return open_request_nr(d->requests);
}

static void close_daemon(struct daemon *d)
{
	uv_close((uv_handle_t *)&d->read_timer, NULL);
	uv_close((uv_handle_t *)&d->stop_timer, NULL);
	uv_close((uv_handle_t *)&d->sigterm, NULL);
	uv_close((uv_handle_t *)&d->sigint, NULL);
	destroy_http_server(d->admin);
	destroy_flow_port(d->flow_port);
	destroy_entry(d->entry);
	destroy_prober(d->prober);
	destroy_store(d->store);
	destroy_fleet_port(d->fleet);
	d->fleet = NULL;
}

/*
 * Tells peers that this instance leaves. Not before the last accepted request
 * has its answer: until then the instance needs its shares of the upstreams.
 */
static void leave_fleet(struct daemon *d, uint64_t now)
{
	struct fleet_event leave = { .kind = FLEET_LEAVE };

	step_fleet_port(d->fleet, &leave);
	d->left = now;
}

static void on_stop_timer(uv_timer_t *timer)
{
	struct daemon *d = timer->data;
	uint64_t now = uv_now(&d->loop);
	bool late = now >= d->stop_deadline;

	if (!entry_is_idle(d->entry) && !late)
		return;
	if (late)
		log_problem("stop took too long; %zu requests cut",
			    open_request_nr(d->requests));
	if (!d->left)
		leave_fleet(d, now);
	if (late || now >= d->left + LEAVE_MS)
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

static void init_handles(struct daemon *d)
{
	uv_timer_init(&d->loop, &d->read_timer);
	uv_timer_init(&d->loop, &d->stop_timer);
	uv_signal_init(&d->loop, &d->sigterm);
	uv_signal_init(&d->loop, &d->sigint);
	d->read_timer.data = d;
	d->stop_timer.data = d;
	d->sigterm.data = d;
	d->sigint.data = d;
	uv_signal_start(&d->sigterm, on_signal, SIGTERM);
	uv_signal_start(&d->sigint, on_signal, SIGINT);
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

	d->fleet = create_fleet_port(&d->loop, d->settings, &self, d->view,
				     &d->counters, on_fleet_action, d, st);
	return d->fleet;
}

static bool open_ports(struct daemon *d)
{
	struct endpoint flow_at = d->settings->address;
	struct status st;

	flow_at.port = d->settings->flow_port;
	d->flow_port = create_flow_port(&d->loop, &flow_at, d->flows,
					&d->counters, &st);
	if (d->flow_port && join_fleet(d, &st))
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

/* True if no seed names another instance. */
static bool is_alone(const struct settings *s)
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
	struct request_options options = { .alone = is_alone(d->settings) };

	uv_random(NULL, NULL, &options.incarnation, sizeof(options.incarnation),
		  0, NULL);
	options.seed = (uint32_t)options.incarnation;
	d->requests = create_requests(d->view, &d->counters, &options,
				      uv_now(&d->loop));
	d->entry = create_entry(&d->loop, d->settings, d->requests);
}

static bool start_daemon(struct daemon *d)
{
	struct admin_source src = {
		d->settings,   &d->counters,	  d->view, get_snapshot,
		get_store_age, get_open_requests, d
	};

	d->admin_source = src;
	d->flows = create_flows(d->view, &d->counters);
	init_handles(d);
	if (!start_health(d) || !open_ports(d))
		return false;
	start_requests(d);
	if (!d->settings->store.nr)
		return load_local(d);
	d->store =
		create_etcd_store(&d->loop, &d->settings->store, &d->counters);
	uv_timer_start(&d->read_timer, on_read_timer, 0, STORE_READ_MS);
	return true;
}

int run_daemon(const struct settings *settings)
{
	struct daemon d = { .settings = settings };
	int code = 0;

	uv_loop_init(&d.loop);
	d.view = create_view(service_id(settings->name));
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
	destroy_health(d.health);
	destroy_chart(d.upstream_chart);
	destroy_view(d.view);
	log_change("instance %s has stopped", settings->name);
	return code;
}
