#include "net/edge-state.h"

#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

#include "base/version.h"
#include "flow/upstream-quality.h"
#include "net/files.h"

#define TICK_MS 50
#define SETTINGS_CHECK_MS 1000 /* between two checks of the file for changes */

/* A later tick means that the process was paused while its peers continued. */
#define PAUSE_DETECT_MS 700

/*
 * Routers query readiness twice a second and need two failures in a row to
 * remove an instance.
 */
#define STOP_MIN_MS 1700
#define STOP_QUIET_MS 600    /* no packets: routers removed the instance */
#define STOP_RESERVE_MS 1500 /* left before the platform kills the process */

uint64_t edge_clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void close_edge(struct edge *e)
{
	log_event(e->log, EVENT_STOP, "instance=%s incarnation=%s phase=end",
		  e->settings.name, e->incarnation);
	uv_close((uv_handle_t *)&e->tick_timer, NULL);
	uv_close((uv_handle_t *)&e->fast_tick_timer, NULL);
	uv_close((uv_handle_t *)&e->sighup, NULL);
	uv_close((uv_handle_t *)&e->sigterm, NULL);
	uv_close((uv_handle_t *)&e->sigint, NULL);
	destroy_http_server(e->ready_server);
	destroy_http_server(e->metrics_server);
	stop_edge_store(e);
	cancel_health_checks(e);
	destroy_datagrams(e->packet_socket);
	destroy_datagrams(e->peer_socket);
	g_queue_clear_full(&e->early_packets, g_free);
}

/*
 * Ends the process once routers no longer send packets to it, at the latest
 * STOP_RESERVE_MS before the platform kills it.
 */
static void tick_stop(struct edge *e)
{
	uint64_t elapsed_ms = e->now_ms - e->stop_began_ms;
	uint64_t max_stop_ms =
		e->settings.bounds.kill_after_ms > 2 * STOP_RESERVE_MS
			? e->settings.bounds.kill_after_ms - STOP_RESERVE_MS
			: e->settings.bounds.kill_after_ms / 2;

	if (elapsed_ms >= max_stop_ms ||
	    (elapsed_ms >= STOP_MIN_MS &&
	     e->now_ms - e->last_packet_ms >= STOP_QUIET_MS))
		close_edge(e);
}

static void detect_pause(struct edge *e, uint64_t now_ms)
{
	struct mirror_event resumed = { .kind = MIRROR_PROCESS_RESUMED };
	uint64_t paused_ms = now_ms - e->last_tick_ms;

	if (e->last_tick_ms && paused_ms >= PAUSE_DETECT_MS) {
		log_event(e->log, EVENT_WOKEN, "still_ms=%llu",
			  (unsigned long long)paused_ms);
		restart_heartbeats(e->instance_heartbeats, now_ms);
		restart_split_inquiry(e);
		step_edge_mirror(e, &resumed);
	}
	e->last_tick_ms = now_ms;
}

static void log_readiness(struct edge *e)
{
	bool ready = is_edge_ready(e);

	if (ready == e->logged_ready)
		return;
	e->logged_ready = ready;
	log_event(e->log, EVENT_READY, "ready=%d version=%llu isolated=%d",
		  ready, (unsigned long long)catalog_version(e->catalog),
		  e->isolation.isolated);
}

/* True if A and B differ in settings that only a restart can change. */
static bool needs_restart(const struct settings *a, const struct settings *b)
{
	return strcmp(a->name, b->name) != 0 ||
	       strcmp(a->domain, b->domain) != 0 ||
	       a->peer_port != b->peer_port ||
	       !same_endpoint(&a->packets, &b->packets) ||
	       !same_endpoint(&a->ready, &b->ready) ||
	       !same_endpoint(&a->metrics, &b->metrics);
}

static void add_seeds(struct edge *e, const struct settings *s)
{
	struct endpoint self = s->address;

	self.port = s->peer_port;
	for (size_t i = 0; i < s->seeds.nr; i++) {
		struct endpoint at = s->seeds.at[i];

		/* the ports of seeds are ignored: all instances use the same */
		at.port = e->settings.peer_port;
		add_heartbeat_address(e->instance_heartbeats, &at);
		if (!same_endpoint(&at, &self))
			add_introduction_seed(e->introduction, &at);
	}
}

/* Applies the settings that can change while the process runs. */
static void apply_settings(struct edge *e, const struct settings *new)
{
	if (needs_restart(&e->settings, new))
		log_event(e->log, EVENT_PROBLEM,
			  "what=settings why=\"names and addresses change "
			  "only with a restart\"");
	e->settings.bounds = new->bounds;
	e->settings.seeds = new->seeds;
	e->settings.store = new->store;
	set_store_endpoints(e->store, &new->store);
	set_edge_hold_times(e);
	set_catalog_flow_ttl(e->catalog, new->bounds.flow_lifetime_ms);
	set_placer_drain_time(e->placement, new->bounds.drain_ms);
	set_cold_bounds(e->placement, new->bounds.cold_factor,
			new->bounds.cold_slack);
	e->settings.compare_upstreams = new->compare_upstreams;
	set_placer_quality(e->placement, new->compare_upstreams);
	add_seeds(e, new);
}

static void reload_settings(struct edge *e, const char *cause)
{
	struct problems *ps = create_problems();
	struct settings new;

	if (load_settings(e->path, &e->settings.bounds, &new, ps)) {
		apply_settings(e, &new);
		log_event(e->log, EVENT_RELOAD, "path=%s cause=%s", e->path,
			  cause);
	}
	for (size_t i = 0; problem_at(ps, i); i++)
		log_event(e->log, EVENT_PROBLEM, "what=settings why=\"%s\"",
			  problem_at(ps, i));
	destroy_problems(ps);
}

/* Reloads the settings file if it has changed, even without SIGHUP. */
static void check_settings_file(struct edge *e)
{
	struct stat sb;

	if (e->now_ms - e->settings_checked_ms < SETTINGS_CHECK_MS)
		return;
	e->settings_checked_ms = e->now_ms;
	if (stat(e->path, &sb))
		return;
	if (e->settings_mtime.tv_sec &&
	    (sb.st_mtim.tv_sec != e->settings_mtime.tv_sec ||
	     sb.st_mtim.tv_nsec != e->settings_mtime.tv_nsec ||
	     sb.st_size != e->settings_size))
		reload_settings(e, "changed");
	e->settings_mtime = sb.st_mtim;
	e->settings_size = sb.st_size;
}

/* Logs changes of upstreams' health and resets the flows of lost ones. */
static void handle_health_changes(struct edge *e)
{
	GArray *changes =
		g_array_new(FALSE, FALSE, sizeof(struct health_change));

	pop_health_changes(e->placement, changes);
	for (guint i = 0; i < changes->len; i++) {
		const struct health_change *ch =
			&g_array_index(changes, struct health_change, i);
		const struct catalog_upstream *up =
			get_upstream(e->catalog, ch->upstream);

		log_event(e->log, EVENT_HEALTH,
			  "upstream=%s health=%s before=%s signs=%u "
			  "silent_ms=%llu",
			  up ? up->report.name : "none",
			  upstream_health_name(ch->to),
			  upstream_health_name(ch->from), ch->silence_count,
			  (unsigned long long)ch->silent_ms);
		if (ch->to == HEALTH_DEAD || ch->to == HEALTH_UNREACHABLE)
			log_lost_upstream(e, ch);
		reset_flows_if_unusable(e, ch->upstream);
	}
	g_array_free(changes, TRUE);
}

/* Tells the links when members of each domain were heard. */
static void note_heard_domains(struct edge *e)
{
	GArray *heard = g_array_new(FALSE, FALSE, sizeof(struct heard_domain));

	list_heard_domains(e->instance_heartbeats, heard);
	for (guint i = 0; i < heard->len; i++) {
		const struct heard_domain *hd =
			&g_array_index(heard, struct heard_domain, i);

		note_domain_heard(e->domain_links,
				  intern_domain(e->catalog, hd->name),
				  hd->last_heard_ms, hd->expected_ms);
	}
	g_array_free(heard, TRUE);
}

/*
 * Lets callers repeat elsewhere what waits behind cut links, or at upstreams
 * that are silent on their flows.
 */
static void reset_unanswered_flows(struct edge *e)
{
	GArray *resets = g_array_new(FALSE, FALSE, sizeof(struct cookie_reset));

	end_flows_behind_cut_links(e->steering, e->now_ms, resets);
	end_silent_flows(e->steering, e->now_ms, resets);
	send_edge_resets(e, resets);
	g_array_free(resets, TRUE);
}

static void log_link_changes(struct edge *e)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(struct link_change));

	pop_link_changes(e->domain_links, changes);
	for (guint i = 0; i < changes->len; i++) {
		const struct link_change *ch =
			&g_array_index(changes, struct link_change, i);

		log_event(e->log, EVENT_DOMAIN_LINK,
			  "domain=%s link=%s before=%s silent_ms=%llu",
			  domain_name(e->catalog, ch->domain),
			  link_state_name(ch->to), link_state_name(ch->from),
			  (unsigned long long)ch->silent_ms);
	}
	g_array_free(changes, TRUE);
}

static void log_quality_changes(struct edge *e)
{
	GArray *changes =
		g_array_new(FALSE, FALSE, sizeof(struct quality_change));

	pop_placer_quality_changes(e->placement, changes);
	for (guint i = 0; i < changes->len; i++) {
		const struct quality_change *ch =
			&g_array_index(changes, struct quality_change, i);
		const struct catalog_upstream *up =
			get_upstream(e->catalog, ch->upstream);

		log_event(e->log, EVENT_UPSTREAM_QUALITY,
			  "upstream=%s state=%s ratio=%.2f answers=%u "
			  "suspicious=%u",
			  up ? up->report.name : "none",
			  ch->failing ? "failing"
			  : ch->slow  ? "slow"
				      : "usual",
			  ch->ratio, ch->responses, ch->suspicious);
	}
	g_array_free(changes, TRUE);
}

/* Work that cannot wait for on_tick(): handshakes, health and load. */
static void on_fast_tick(uv_timer_t *timer)
{
	struct edge *e = timer->data;
	GArray *checks = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));

	e->now_ms = edge_clock_ms();
	note_loop_tick(&e->loop_lag, COOKIE_TICK_MS, e->now_ms);
	tick_cookie_steering(e->steering, e->now_ms);
	note_heard_domains(e);
	tick_placer(e->placement, e->now_ms, checks);
	start_health_checks(e, checks);
	send_edge_notices(e);
	g_array_free(checks, TRUE);
	update_isolation(&e->isolation, e->domain_links, e->placement,
			 e->now_ms);
	set_cookie_isolated(e->steering, e->isolation.isolated);
	log_link_changes(e);
	reset_unanswered_flows(e);
	handle_health_changes(e);
	log_quality_changes(e);
	tick_edge_waiting_syns(e);
	tick_edge_moved_flows(e);
	tick_edge_split_flows(e);
	if (e->early_packets.length)
		steer_early_packets(e);
	if (has_load_changed(e->placement))
		tick_edge_heartbeats(e);
}

static void on_tick(uv_timer_t *timer)
{
	struct edge *e = timer->data;

	e->now_ms = edge_clock_ms();
	detect_pause(e, e->now_ms);
	tick_edge_store(e);
	if (mirror_is_watching(e->mirror, e->now_ms))
		note_store_current(e->placement,
				   mirror_last_answer_ms(e->mirror));
	end_flows_of_dropped_routes(e);
	update_quotas(e->upstream_quotas, e->now_ms);
	expire_catalog(e->catalog, e->now_ms);
	forget_expired_upstreams(e->steering);
	tick_edge_heartbeats(e);
	set_cookie_routes_behind(
		e->steering,
		highest_ready_config_version(e->instance_heartbeats) >
			catalog_version(e->catalog));
	set_cookie_marks(e->steering,
			 all_members_take_marks(e->instance_heartbeats));
	tick_edge_introduction(e);
	check_settings_file(e);
	log_readiness(e);
	flush_event_log(e->log, e->now_ms);
	if (e->stop_began_ms)
		tick_stop(e);
}

static void on_stop_signal(uv_signal_t *sig, int signum)
{
	struct edge *e = sig->data;

	if (e->stop_began_ms)
		return;
	e->now_ms = edge_clock_ms();
	e->stop_began_ms = e->now_ms;
	log_event(e->log, EVENT_STOP,
		  "instance=%s incarnation=%s phase=begin signal=%d flows=%zu",
		  e->settings.name, e->incarnation, signum,
		  cookie_flow_count(e->steering));
	tick_edge_heartbeats(e);
}

static void on_reload_signal(uv_signal_t *sig, int signum)
{
	(void)signum;
	reload_settings(sig->data, "signal");
}

static void start_signal(struct edge *e, uv_signal_t *sig, uv_signal_cb cb,
			 int signum)
{
	uv_signal_init(&e->loop, sig);
	sig->data = e;
	uv_signal_start(sig, cb, signum);
}

static struct member describe_self(const struct edge *e)
{
	const struct settings *s = &e->settings;
	struct member self = { .id = service_id(s->name),
			       .address = s->address,
			       .peer_port = s->peer_port,
			       .start_number = g_rand_int(e->rand),
			       .link_mbps = s->link_mbps,
			       .state = MEMBER_ALIVE };

	memcpy(self.name, s->name, sizeof(self.name));
	memcpy(self.domain, s->domain, sizeof(self.domain));
	return self;
}

/* True if the link to DOMAIN is not known to be open. */
static bool is_link_doubtful(const char *domain, void *user)
{
	const struct edge *e = user;

	return domain_link_state(e->domain_links,
				 intern_domain(e->catalog, domain)) != LINK_UP;
}

static void create_decision_logic(struct edge *e)
{
	struct member self = describe_self(e);

	e->now_ms = edge_clock_ms();
	e->view = create_view(self.id);
	e->instance_heartbeats =
		create_heartbeat_tracker(&self, e->view, e->now_ms);
	e->introduction = create_introduction(e->now_ms);
	add_seeds(e, &e->settings);
	e->catalog = create_catalog(e->settings.bounds.flow_lifetime_ms);
	e->upstream_quotas = create_quotas(e->view);
	e->placement = create_placer(e->catalog, e->view, e->upstream_quotas,
				     e->settings.domain, g_rand_int(e->rand));
	e->domain_links = create_domain_links(
		intern_domain(e->catalog, e->settings.domain));
	set_placer_links(e->placement, e->domain_links);
	e->health_notices = create_health_notices(e->view);
	set_notice_link_test(e->health_notices, is_link_doubtful, e);
	set_placer_notices(e->placement, e->health_notices);
	set_placer_drain_time(e->placement, e->settings.bounds.drain_ms);
	set_cold_bounds(e->placement, e->settings.bounds.cold_factor,
			e->settings.bounds.cold_slack);
	set_placer_quality(e->placement, e->settings.compare_upstreams);
	e->moved_flows = create_moved_flows();
	e->steering =
		create_cookie_steering(e->catalog, e->placement, &e->counters);
}

static void destroy_decision_logic(struct edge *e)
{
	destroy_cookie_steering(e->steering);
	destroy_moved_flows(e->moved_flows);
	destroy_placer(e->placement);
	destroy_domain_links(e->domain_links);
	destroy_health_notices(e->health_notices);
	destroy_quotas(e->upstream_quotas);
	destroy_catalog(e->catalog);
	destroy_introduction(e->introduction);
	destroy_heartbeat_tracker(e->instance_heartbeats);
	destroy_view(e->view);
}

static bool start_edge(struct edge *e)
{
	struct status st;

	uv_timer_init(&e->loop, &e->tick_timer);
	uv_timer_init(&e->loop, &e->fast_tick_timer);
	e->tick_timer.data = e;
	e->fast_tick_timer.data = e;
	start_signal(e, &e->sighup, on_reload_signal, SIGHUP);
	start_signal(e, &e->sigterm, on_stop_signal, SIGTERM);
	start_signal(e, &e->sigint, on_stop_signal, SIGINT);
	if (!open_edge_ports(e, &st) || !open_edge_http(e, &st)) {
		log_event(e->log, EVENT_PROBLEM, "what=start why=\"%s\"",
			  st.message);
		return false;
	}
	start_edge_store(e);
	uv_timer_start(&e->tick_timer, on_tick, TICK_MS, TICK_MS);
	uv_timer_start(&e->fast_tick_timer, on_fast_tick, COOKIE_TICK_MS,
		       COOKIE_TICK_MS);
	return true;
}

int run_edge(const char *path, const struct settings *settings)
{
	struct edge *e = g_new0(struct edge, 1);
	uint32_t seed;
	int code = 0;

	e->path = path;
	e->settings = *settings;
	e->log = create_event_log(STDOUT_FILENO);
	e->health_checks = g_hash_table_new(NULL, NULL);
	uv_random(NULL, NULL, &seed, sizeof(seed), 0, NULL);
	e->rand = g_rand_new_with_seed(seed);
	g_snprintf(e->incarnation, sizeof(e->incarnation), "%08x", seed);
	uv_loop_init(&e->loop);
	create_decision_logic(e);
	log_event(e->log, EVENT_START,
		  "instance=%s domain=%s incarnation=%s build=%s",
		  settings->name, settings->domain, e->incarnation, build_id());
	if (!start_edge(e)) {
		close_edge(e);
		code = 1;
	}
	uv_run(&e->loop, UV_RUN_DEFAULT);
	uv_loop_close(&e->loop);
	g_hash_table_destroy(e->health_checks);
	destroy_event_log(e->log);
	destroy_decision_logic(e);
	g_rand_free(e->rand);
	g_free(e);
	return code;
}
