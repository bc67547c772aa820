/* The status of an instance that steers by cookie, as JSON for operators. */

#include <jansson.h>

#include "net/admin.h"
#include "net/edge-state.h"

static const char *upstream_state_label(const struct edge *e,
					upstream_index_t nr)
{
	const struct catalog_upstream *up = get_upstream(e->catalog, nr);
	enum upstream_health h = reached_health(e->placement, nr);

	if (!up->listed)
		return "gone";
	if (is_catalog_domain_out(e->catalog, up->domain))
		return upstream_state_name(UPSTREAM_OUT);
	if (h != HEALTH_GOOD)
		return upstream_health_name(h);
	if (up->report.draining)
		return upstream_state_name(UPSTREAM_DRAINING);
	return upstream_state_name(is_cold_upstream(e->catalog, nr, e->now_ms)
					   ? UPSTREAM_COLD
					   : UPSTREAM_WARM);
}

static json_t *upstreams_json(const struct edge *e,
			      const struct catalog_service *sv)
{
	json_t *list = json_array();

	for (guint i = 0; i < sv->upstreams->len; i++) {
		upstream_index_t nr =
			g_array_index(sv->upstreams, upstream_index_t, i);
		const struct catalog_upstream *up =
			get_upstream(e->catalog, nr);

		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s}", "name",
						up->report.name, "domain",
						up->report.domain, "state",
						upstream_state_label(e, nr)));
	}
	return list;
}

static json_t *services_json(const struct edge *e)
{
	json_t *list = json_array();

	for (size_t i = 0; i < catalog_service_count(e->catalog); i++) {
		const struct catalog_service *sv =
			get_service(e->catalog, (service_index_t)i);

		json_array_append_new(list, json_pack("{s:s, s:o}", "name",
						      sv->name, "upstreams",
						      upstreams_json(e, sv)));
	}
	return list;
}

static json_t *domains_json(const struct edge *e)
{
	json_t *list = json_array();

	for (size_t i = 0; i < catalog_domain_count(e->catalog); i++) {
		domain_index_t nr = (domain_index_t)i;
		bool out = is_catalog_domain_out(e->catalog, nr);

		json_array_append_new(
			list, json_pack("{s:s, s:b, s:I}", "name",
					domain_name(e->catalog, nr), "out", out,
					"epoch", (json_int_t)0));
	}
	return list;
}

char *format_edge_status(const struct edge *e)
{
	uint64_t contact_ms = mirror_last_answer_ms(e->mirror);
	json_t *j = json_object();
	char *text;

	json_object_set_new(j, "name", json_string(e->settings.name));
	json_object_set_new(j, "domain", json_string(e->settings.domain));
	json_object_set_new(
		j, "epoch",
		json_integer((json_int_t)catalog_version(e->catalog)));
	json_object_set_new(j, "publish-id", json_null());
	json_object_set_new(
		j, "reader",
		json_boolean(mirror_is_watching(e->mirror, e->now_ms)));
	json_object_set_new(
		j, "store-age-ms",
		contact_ms ? json_integer((json_int_t)(e->now_ms - contact_ms))
			   : json_null());
	json_object_set_new(
		j, "store-era",
		json_integer((json_int_t)mirror_position(e->mirror).era));
	json_object_set_new(
		j, "store-revision",
		json_integer((json_int_t)mirror_position(e->mirror).revision));
	json_object_set_new(j, "records-held",
			    json_integer((json_int_t)held_record_count(
				    e->restored_records)));
	json_object_set_new(
		j, "open-requests",
		json_integer((json_int_t)busy_request_count(e->placement)));
	json_object_set_new(j, "domains", domains_json(e));
	json_object_set_new(j, "members", members_json(e->view));
	json_object_set_new(j, "services", services_json(e));
	json_object_set_new(j, "counters", counters_json(&e->counters));
	text = json_dumps(j, JSON_INDENT(1));
	json_decref(j);
	return text;
}
