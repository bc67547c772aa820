#include "t/edge-harness.h"

#include <fcntl.h>
#include <string.h>

void step_edge_instance(struct edge_instance *ei, const struct mirror_event *ev)
{
	GArray *actions =
		g_array_new(FALSE, FALSE, sizeof(struct mirror_action));

	step_mirror(ei->e->mirror, ev, ei->e->now_ms, actions);
	for (guint i = 0; i < actions->len; i++) {
		const struct mirror_action *a =
			&g_array_index(actions, struct mirror_action, i);

		if (a->kind == MIRROR_KEY_CHANGED ||
		    a->kind == MIRROR_KEY_REMOVED)
			apply_edge_change(ei->e, a);
	}
	apply_new_services(ei->e);
	g_array_free(actions, TRUE);
}

void answer_edge_instance(struct edge_instance *ei, enum mirror_event_kind kind,
			  uint64_t era, struct store_entry *se, size_t nr)
{
	struct store_answer a = { .era = era,
				  .revision = ei->revision,
				  .entries = se,
				  .entry_nr = nr };

	step_edge_instance(
		ei, &(struct mirror_event){ .kind = kind, .answer = &a });
}

void write_store_key(struct edge_instance *ei, const char *key,
		     const char *value)
{
	struct store_entry se = { .key = (char *)key,
				  .value = (void *)value,
				  .len = value ? strlen(value) : 0,
				  .mod_revision = ++ei->revision,
				  .deleted = !value };

	answer_edge_instance(ei, MIRROR_WATCH_ANSWER, 1, &se, 1);
}

void write_entry(struct edge_instance *ei, const char *name, const char *value)
{
	char key[CATALOG_NAME_MAX];

	g_snprintf(key, sizeof(key), "servers/%s", name);
	write_store_key(ei, key, value);
}

void write_configuration(struct edge_instance *ei, uint64_t version,
			 uint16_t port, const char *service)
{
	char *route = g_strdup_printf(
		"{\"host\":\"198.18.0.1\",\"prefix\":\"/%u/\","
		"\"kind\":\"safe\",\"timeoutMs\":3000,\"sloMs\":200,"
		"\"priority\":1,\"service\":\"%s\"}",
		port, service ? service : "");
	char *text = g_strdup_printf(
		"{\"version\":%llu,\"routes\":[%s],\"services\":[%s%s%s],"
		"\"limits\":{\"idleTimeoutMs\":15000}}",
		(unsigned long long)version, service ? route : "",
		service ? "{\"name\":\"" : "", service ? service : "",
		service ? "\",\"warmupPerS\":20}" : "");

	write_store_key(ei, "op/config", text);
	g_free(text);
	g_free(route);
}

void init_edge_instance(struct edge_instance *ei)
{
	struct edge *e = g_new0(struct edge, 1);

	init_cookie_instance(&ei->cookie, "in-1", "north");
	ei->e = e;
	e->log = create_event_log(open("/dev/null", O_WRONLY | O_CLOEXEC));
	e->catalog = ei->cookie.catalog;
	e->placement = ei->cookie.placer;
	e->steering = ei->cookie.steering;
	e->mirror = create_mirror(1);
	e->restored_records = create_restored_records();
	e->settings.bounds.heartbeat_ms = TEST_HEARTBEAT_MS;
	set_edge_hold_times(e);
	e->now_ms = 10000;
	ei->revision = 10;
	step_edge_instance(ei, &(struct mirror_event){ .kind = MIRROR_TICK });
	answer_edge_instance(ei, MIRROR_READ_DONE, 1, NULL, 0);
}

void release_edge_instance(struct edge_instance *ei)
{
	destroy_restored_records(ei->e->restored_records);
	destroy_mirror(ei->e->mirror);
	destroy_event_log(ei->e->log);
	g_free(ei->e);
	release_cookie_instance(&ei->cookie);
}

const char *open_flow_address(const struct edge_instance *ei, uint64_t id)
{
	static char text[ENDPOINT_TEXT_MAX];
	const struct catalog_upstream *up = get_upstream(
		ei->e->catalog,
		find_upstream_by_cookie(ei->e->catalog, make_cookie(id)));

	return up && up->report.id == id
		       ? format_endpoint(&up->report.address, text)
		       : "none";
}

bool takes_new_flows(const struct edge_instance *ei, uint64_t id)
{
	return accepts_flows(
		ei->e->catalog,
		find_upstream_by_cookie(ei->e->catalog, make_cookie(id)));
}
