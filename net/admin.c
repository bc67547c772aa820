#include "net/admin.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define REQUEST_BODY_MAX_BYTES 4096

static json_t *upstreams_json(const struct admin_source *src,
			      const struct service *sv)
{
	json_t *list = json_array();

	for (size_t i = 0; i < sv->upstream_nr; i++) {
		const struct upstream *up = &sv->upstreams[i];
		const char *state =
			upstream_state_name(upstream_state(src->view, up));

		json_array_append_new(
			list, json_pack("{s:s, s:s, s:s}", "name", up->name,
					"domain", up->domain, "state", state));
	}
	return list;
}

static json_t *services_json(const struct admin_source *src,
			     const struct snapshot *sn)
{
	json_t *list = json_array();

	for (size_t i = 0; sn && i < snapshot_service_count(sn); i++) {
		const struct service *sv = snapshot_service(sn, i);

		json_array_append_new(list, json_pack("{s:s, s:o}", "name",
						      sv->name, "upstreams",
						      upstreams_json(src, sv)));
	}
	return list;
}

static json_t *domains_json(const struct admin_source *src)
{
	const struct domain_set *ds = src->domains(src->data);
	json_t *list = json_array();

	for (size_t i = 0; i < ds->nr; i++)
		json_array_append_new(
			list, json_pack("{s:s, s:b, s:I}", "name",
					ds->at[i].name, "out", ds->at[i].out,
					"epoch", (json_int_t)ds->at[i].epoch));
	return list;
}

json_t *members_json(const struct view *view)
{
	json_t *list = json_array();
	const struct member *ms;
	size_t nr;

	ms = view_members(view, &nr);
	for (size_t i = 0; i < nr; i++)
		json_array_append_new(
			list, json_pack("{s:s, s:s, s:s}", "name", ms[i].name,
					"domain", ms[i].domain, "state",
					member_state_name(ms[i].state)));
	return list;
}

json_t *counters_json(const struct counters *cs)
{
	json_t *j = json_object();

	for (int i = 0; i < COUNTER_NR; i++)
		json_object_set_new(j, counter_name((enum counter)i),
				    json_integer((json_int_t)cs->value[i]));
	return j;
}

static json_t *age_json(uint64_t age)
{
	return age == UINT64_MAX ? json_null() : json_integer((json_int_t)age);
}

static char *status_text(const struct admin_source *src)
{
	const struct snapshot *sn = src->snapshot(src->data);
	uint64_t epoch = sn ? snapshot_epoch(sn) : 0;
	json_t *j = json_object();
	char *text;

	json_object_set_new(j, "name", json_string(src->settings->name));
	json_object_set_new(j, "domain", json_string(src->settings->domain));
	json_object_set_new(j, "epoch", json_integer((json_int_t)epoch));
	json_object_set_new(j, "publish-id",
			    sn ? json_string(snapshot_publish_id(sn))
			       : json_null());
	json_object_set_new(j, "reader",
			    json_boolean(src->reads_store(src->data)));
	json_object_set_new(j, "store-age-ms",
			    age_json(src->store_age_ms(src->data)));
	json_object_set_new(
		j, "open-requests",
		json_integer((json_int_t)src->open_requests(src->data)));
	json_object_set_new(j, "domains", domains_json(src));
	json_object_set_new(j, "members", members_json(src->view));
	json_object_set_new(j, "services", services_json(src, sn));
	json_object_set_new(j, "counters", counters_json(src->counters));
	text = json_dumps(j, JSON_INDENT(1));
	json_decref(j);
	return text;
}

static void on_request(struct http_exchange *ex, const struct http_message *m,
		       void *data)
{
	struct http_message *answer = create_http_message();
	char *text;

	if (m->method == HTTP_GET && !strcmp(m->target, "/status")) {
		text = status_text(data);
		answer->code = 200;
		add_http_header(answer, "Content-Type", "application/json");
		set_http_body(answer, text);
		free(text);
	} else {
		answer->code = 404;
		set_http_body(answer,
			      "not found; the only path is GET /status\n");
	}
	answer_http(ex, answer);
}

struct http_server *
create_admin(uv_loop_t *loop, const struct admin_source *src, struct status *st)
{
	struct http_handler handler = { .on_request = on_request,
					.data = (void *)src };
	struct endpoint at = src->settings->address;

	at.port = src->settings->admin_port;
	return create_http_server(loop, &at, REQUEST_BODY_MAX_BYTES, &handler,
				  st);
}
