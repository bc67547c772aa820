/*
 * Applies the store's records to the catalog: configurations, domains that are
 * out of service, upstreams and instances. After a restore of the store some
 * are held, see config/restored-records.h.
 */

#include "net/edge-state.h"
#include "platform/records.h"

/* An upstream's entry lapses after so many heartbeats that did not come. */
#define LAPSE_HEARTBEATS 3

/*
 * An upstream may have turned cold while its domain was out, and reports that
 * with its next heartbeat. It counts as cold until a second heartbeat is due,
 * in case the first is lost, plus the delay until that arrives here.
 */
#define ASSUME_COLD_HEARTBEATS 2
#define ASSUME_COLD_SLACK_MS 200

/*
 * Whether the change A goes into force, or what was known before the store was
 * restored stays.
 */
static bool is_believed(struct edge *e, const struct mirror_action *a,
			enum record_class class, struct record_order order)
{
	bool present = a->kind == MIRROR_KEY_CHANGED;

	if (admit_record(e->restored_records, a->key, class, present, order,
			 a->source, e->now_ms) == RECORD_APPLY)
		return true;
	count(&e->counters, COUNT_STORE_RECORDS_HELD);
	log_event(e->log, EVENT_RECORD_HELD,
		  "key=%.200s store=%s revision=%llu era=%llu", a->key,
		  present ? "older" : "missing",
		  (unsigned long long)a->revision,
		  (unsigned long long)mirror_position(e->mirror).era);
	return false;
}

static const struct record_order no_order;

/* The time within which the entry of an upstream that left lapses. */
static uint64_t entry_lapse_ms(const struct edge *e)
{
	return (uint64_t)LAPSE_HEARTBEATS * e->settings.bounds.heartbeat_ms +
	       MIRROR_REMOVAL_HOLD_MS;
}

/* Logs and counts that the entry NAME at REVISION is not used. */
static void note_unused_entry(struct edge *e, const char *name,
			      uint64_t revision, const struct status *st)
{
	log_event(e->log, EVENT_UPSTREAM_INVALID,
		  "upstream=%.64s revision=%llu why=\"%s\"", name,
		  (unsigned long long)revision, st->message);
	count(&e->counters, st->kind == STATUS_NOT_FOUND
				    ? COUNT_CONFIG_OTHER_ENTRIES
				    : COUNT_CONFIG_CORRUPT);
}

static void log_upstream_report(const struct edge *e,
				const struct upstream_report *r,
				uint64_t revision)
{
	char at[ENDPOINT_TEXT_MAX];

	log_event(e->log, EVENT_UPSTREAM,
		  "upstream=%s service=%s domain=%s address=%s "
		  "state=%s cold_ms=%u start_ms=%llu revision=%llu",
		  r->name, r->service, r->domain,
		  format_endpoint(&r->address, at),
		  r->draining ? "draining" : "ready", r->cold_left_ms,
		  (unsigned long long)r->started_at_ms,
		  (unsigned long long)revision);
}

/* Why R is not used, in ST; STATUS_OK if it is. */
static enum status_kind
check_report(struct edge *e, const struct upstream_report *r, struct status *st)
{
	if (!names_upstream(e->catalog, r, e->now_ms))
		return set_status(st, STATUS_NOT_FOUND,
				  "service '%.64s' is not configured",
				  r->service);
	/* an upstream that runs replaces an entry of another writer in time */
	if (dispute_upstream_report(e->catalog, r, entry_lapse_ms(e),
				    e->now_ms))
		return set_status(st, STATUS_CONFLICT,
				  "another address, service or domain "
				  "without a new start");
	return STATUS_OK;
}

/*
 * Applies the entry NAME at REVISION, of which R was read if READ->kind is
 * STATUS_OK.
 */
static void apply_upstream_entry(struct edge *e, const char *name,
				 const struct upstream_report *r,
				 const struct status *read, uint64_t revision)
{
	struct status st = *read;
	upstream_index_t nr = CATALOG_NONE;

	if (st.kind == STATUS_OK)
		check_report(e, r, &st);
	if (st.kind != STATUS_OK) {
		note_unused_entry(e, name, revision, &st);
		if (st.kind != STATUS_CONFLICT)
			nr = ignore_upstream_entry(e->catalog, name, r->id,
						   e->now_ms);
	} else {
		nr = update_catalog_upstream(e->catalog, r, revision,
					     e->now_ms);
		log_upstream_report(e, r, revision);
		if (nr != CATALOG_NONE &&
		    get_upstream(e->catalog, nr)->ambiguous)
			log_event(e->log, EVENT_UPSTREAM_INVALID,
				  "upstream=%.64s revision=%llu "
				  "why=\"another upstream has its cookie\"",
				  name, (unsigned long long)revision);
	}
	if (nr != CATALOG_NONE)
		update_placer_upstream(e->placement, nr, e->now_ms);
}

static void handle_upstream_entry(struct edge *e, const char *name,
				  const struct mirror_action *a)
{
	struct upstream_report r;
	struct status st = { .kind = STATUS_OK };
	struct record_order order = no_order;

	if (read_upstream_entry(name, a->value, a->len, &r, &st) == STATUS_OK) {
		order.started_at_ms = r.started_at_ms;
		order.write_count = r.write_count;
	}
	/* without a configuration, apply_new_services() will read it again */
	if (is_believed(e, a, RECORD_CLASS_UPSTREAM, order) &&
	    catalog_version(e->catalog))
		apply_upstream_entry(e, name, &r, &st, a->revision);
}

/* Applies the entry at KEY if it is of a service that is new. */
static void apply_entry_of_new_service(struct edge *e, const char *key)
{
	struct mirror_entry entry = find_mirror_entry(e->mirror, key);
	struct status st = { .kind = STATUS_OK };
	struct upstream_report r;
	const char *name;

	if (platform_key_kind(key, &name) != RECORD_UPSTREAM || !entry.value ||
	    is_record_held(e->restored_records, key) ||
	    read_upstream_entry(name, entry.value, entry.len, &r, &st) !=
		    STATUS_OK ||
	    !is_new_service(e->catalog, r.service, e->services_version) ||
	    is_report_in_force(e->catalog, name, entry.revision))
		return;
	apply_upstream_entry(e, name, &r, &st, entry.revision);
}

void apply_new_services(struct edge *e)
{
	GPtrArray *keys;

	if (has_new_services(e->catalog, e->services_version)) {
		keys = list_mirror_keys(e->mirror);
		for (guint i = 0; i < keys->len; i++)
			apply_entry_of_new_service(e,
						   g_ptr_array_index(keys, i));
		g_ptr_array_free(keys, TRUE);
	}
	e->services_version = catalog_version(e->catalog);
}

static void handle_routes_entry(struct edge *e, const struct mirror_action *a)
{
	struct status st;
	enum status_kind kind = read_operator_config(e->catalog, a->value,
						     a->len, e->now_ms, &st);

	if (kind != STATUS_OK) {
		log_event(e->log, EVENT_ROUTES_REFUSED,
			  "revision=%llu in_force=%llu why=\"%s\"",
			  (unsigned long long)a->revision,
			  (unsigned long long)catalog_version(e->catalog),
			  st.message);
		count(&e->counters, kind == STATUS_CONFLICT
					    ? COUNT_CONFIG_STALE
					    : COUNT_CONFIG_CORRUPT);
		return;
	}
	count(&e->counters, COUNT_CONFIG_APPLIED);
	log_event(e->log, EVENT_ROUTES, "version=%llu revision=%llu routes=%zu",
		  (unsigned long long)catalog_version(e->catalog),
		  (unsigned long long)a->revision,
		  catalog_route_count(e->catalog));
}

/*
 * The latest time at which the routes that are known here were surely the newest
 * ones; 0 if there is none. A change is in force everywhere CHANGE_MS later.
 */
static uint64_t routes_current_ms(const struct edge *e)
{
	uint64_t at_ms = store_current_ms(e->placement);

	return at_ms - MIN(at_ms, e->settings.bounds.change_ms);
}

void end_flows_of_dropped_routes(struct edge *e)
{
	GArray *resets;

	if (!mirror_lacks_value(e->mirror))
		note_routes_current(e->steering, routes_current_ms(e));
	if (e->routes_version == catalog_version(e->catalog) &&
	    !may_end_unknown_routes(e->steering))
		return;
	e->routes_version = catalog_version(e->catalog);
	resets = g_array_new(FALSE, FALSE, sizeof(struct cookie_reset));
	end_flows_without_route(e->steering, e->now_ms, resets);
	send_edge_resets(e, resets);
	g_array_free(resets, TRUE);
}

static void handle_domain_out(struct edge *e, const char *name, bool out,
			      uint64_t revision)
{
	uint64_t assume_cold_ms = (uint64_t)ASSUME_COLD_HEARTBEATS *
					  e->settings.bounds.heartbeat_ms +
				  ASSUME_COLD_SLACK_MS;

	set_catalog_domain_out(e->catalog, name, out, assume_cold_ms,
			       e->now_ms);
	log_event(e->log, EVENT_DOMAIN, "domain=%s out=%d revision=%llu", name,
		  out, (unsigned long long)revision);
}

static void handle_instance_entry(struct edge *e, const struct mirror_action *a)
{
	struct wire_message msg;
	struct wire_reader r;
	struct endpoint at;

	if (open_wire_message(&msg, &r, a->value, a->len)) {
		read_endpoint(&r, &at);
		if (!r.malformed && at.family == 4)
			add_heartbeat_address(e->instance_heartbeats, &at);
	}
	release_wire_message(&msg);
}

static void handle_changed_entry(struct edge *e, const struct mirror_action *a)
{
	const char *name;

	switch (platform_key_kind(a->key, &name)) {
	case RECORD_ROUTES:
		handle_routes_entry(e, a);
		break;
	case RECORD_DOMAIN_OUT:
		if (is_believed(e, a, RECORD_CLASS_DOMAIN_OUT, no_order))
			handle_domain_out(e, name, true, a->revision);
		break;
	case RECORD_UPSTREAM:
		handle_upstream_entry(e, name, a);
		break;
	case RECORD_INSTANCE:
		handle_instance_entry(e, a);
		break;
	case RECORD_OTHER:
		break;
	}
}

static void handle_upstream_gone(struct edge *e, const char *name,
				 uint64_t revision)
{
	upstream_index_t nr =
		remove_catalog_upstream(e->catalog, name, e->now_ms);

	if (nr != CATALOG_NONE)
		update_placer_upstream(e->placement, nr, e->now_ms);
	log_event(e->log, EVENT_UPSTREAM,
		  "upstream=%s state=gone revision=%llu", name,
		  (unsigned long long)revision);
}

/* Applies the end of the record at KEY. */
static void end_record(struct edge *e, const char *key, uint64_t revision)
{
	const char *name;

	switch (platform_key_kind(key, &name)) {
	case RECORD_DOMAIN_OUT:
		handle_domain_out(e, name, false, revision);
		break;
	case RECORD_UPSTREAM:
		handle_upstream_gone(e, name, revision);
		break;
	case RECORD_ROUTES:
	case RECORD_INSTANCE:
	case RECORD_OTHER:
		break;
	}
}

static enum record_class record_class_of(const char *key)
{
	const char *name;

	switch (platform_key_kind(key, &name)) {
	case RECORD_DOMAIN_OUT:
		return RECORD_CLASS_DOMAIN_OUT;
	case RECORD_UPSTREAM:
		return RECORD_CLASS_UPSTREAM;
	case RECORD_ROUTES:
	case RECORD_INSTANCE:
	case RECORD_OTHER:
		break;
	}
	return RECORD_CLASS_OTHER;
}

static void handle_removed_entry(struct edge *e, const struct mirror_action *a)
{
	if (is_believed(e, a, record_class_of(a->key), no_order))
		end_record(e, a->key, a->revision);
}

void apply_edge_change(struct edge *e, const struct mirror_action *a)
{
	if (a->kind == MIRROR_KEY_CHANGED)
		handle_changed_entry(e, a);
	else
		handle_removed_entry(e, a);
}

/* Appends to KEYS the entries of upstreams whose reports are used after all. */
static void list_settled_entries(struct edge *e, GPtrArray *keys)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	list_settled_disputes(e->catalog, entry_lapse_ms(e), e->now_ms, names);
	for (guint i = 0; i < names->len; i++)
		g_ptr_array_add(
			keys, format_upstream_key(g_ptr_array_index(names, i)));
	g_ptr_array_free(names, TRUE);
}

/* Lets what the store has of records that are no longer held go into force. */
void tick_edge_records(struct edge *e)
{
	GPtrArray *keys;

	if (!mirror_hears_changes(e->mirror))
		return;
	keys = g_ptr_array_new_with_free_func(g_free);
	end_record_holds(e->restored_records, e->now_ms, keys);
	list_settled_entries(e, keys);
	for (guint i = 0; i < keys->len; i++) {
		const char *key = g_ptr_array_index(keys, i);
		struct mirror_entry entry = find_mirror_entry(e->mirror, key);
		struct mirror_action a = { .kind = entry.value
							   ? MIRROR_KEY_CHANGED
							   : MIRROR_KEY_REMOVED,
					   .key = key,
					   .value = entry.value,
					   .len = entry.len,
					   .revision = entry.revision };

		apply_edge_change(e, &a);
	}
	g_ptr_array_free(keys, TRUE);
}

void set_edge_hold_times(struct edge *e)
{
	const struct steering_bounds *b = &e->settings.bounds;
	struct record_hold_times times = { .operator_ms =
						   b->operator_rewrite_ms,
					   .upstream_ms =
						   MIRROR_REMOVAL_HOLD_MS,
					   .lapse_ms = entry_lapse_ms(e) };

	set_record_hold_times(e->restored_records, &times);
}

void adopt_edge_records(struct edge *e, const struct store_update *n)
{
	/* a peer that has not seen the restore yet holds nothing */
	if (e->start_check.done || n->from.era < mirror_position(e->mirror).era)
		return;
	for (size_t i = 0; i < n->nr; i++) {
		const struct update_entry *ue = &n->entries[i];
		struct held_record h = { ue->key,
					 ue->encoding == UPDATE_OMITTED,
					 ue->base_revision };
		enum record_class class = record_class_of(ue->key);
		const char *name;

		if (adopt_held_record(e->restored_records, &h, class,
				      e->now_ms) == RECORD_HOLD)
			continue;
		log_event(e->log, EVENT_RECORD_HELD,
			  "key=%.200s store=%s revision=0 era=%llu", ue->key,
			  h.present ? "missing" : "older",
			  (unsigned long long)n->from.era);
		if (!h.present)
			end_record(e, ue->key, 0);
		else if (platform_key_kind(ue->key, &name) == RECORD_DOMAIN_OUT)
			handle_domain_out(e, name, true, 0);
	}
}
