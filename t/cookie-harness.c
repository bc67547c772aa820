#include "t/cookie-harness.h"

#include <string.h>

struct upstream_report make_upstream_report(const char *name,
					    const char *domain)
{
	struct upstream_report r = { .id = upstream_id("board", name),
				     .slots = 3,
				     .started_at_ms = 1 };

	g_strlcpy(r.name, name, sizeof(r.name));
	g_strlcpy(r.service, "board", sizeof(r.service));
	g_strlcpy(r.domain, domain, sizeof(r.domain));
	parse_endpoint("127.0.0.1:9", &r.address, NULL);
	return r;
}

void set_test_routes(struct catalog *c, uint64_t version, const uint16_t *ports,
		     size_t port_nr, double cold_per_s)
{
	GArray *routes =
		g_array_new(FALSE, FALSE, sizeof(struct catalog_route));
	struct catalog_service sv = { .cold_ms = 2000,
				      .cold_flows_per_s = cold_per_s,
				      .max_flows = 2000 };
	service_index_t nr = intern_service(c, "board");

	for (size_t i = 0; i < port_nr; i++) {
		struct catalog_route r = { .ip = TEST_ROUTE_IP,
					   .port = ports[i],
					   .deadline_ms = TEST_DEADLINE_MS,
					   .target_nr = 1 };

		r.targets = g_new0(struct route_target, 1);
		r.targets[0].service = nr;
		r.targets[0].weight = 1;
		g_array_append_val(routes, r);
	}
	if (set_catalog_routes(c, version, routes, NULL, TEST_IDLE_MS, 1))
		set_catalog_service(c, nr, &sv);
}

void set_test_route_repeatable(struct catalog *c, uint64_t version,
			       bool repeatable)
{
	GArray *routes =
		g_array_new(FALSE, FALSE, sizeof(struct catalog_route));
	struct catalog_route r = { .ip = TEST_ROUTE_IP,
				   .port = TEST_ROUTE_PORT,
				   .deadline_ms = TEST_DEADLINE_MS,
				   .repeatable = repeatable,
				   .target_nr = 1 };

	r.targets = g_new0(struct route_target, 1);
	r.targets[0].service = intern_service(c, "board");
	r.targets[0].weight = 1;
	g_array_append_val(routes, r);
	set_catalog_routes(c, version, routes, NULL, TEST_IDLE_MS, 1);
}

void set_test_member(struct cookie_instance *in, const char *name,
		     const char *domain, enum member_state state)
{
	struct member m = { .id = service_id(name), .state = state };

	g_strlcpy(m.name, name, sizeof(m.name));
	g_strlcpy(m.domain, domain, sizeof(m.domain));
	set_view_member(in->view, &m);
}

void init_cookie_instance(struct cookie_instance *in, const char *name,
			  const char *domain)
{
	const uint16_t port = TEST_ROUTE_PORT;

	memset(in, 0, sizeof(*in));
	in->catalog = create_catalog(TEST_ENTRY_TTL_MS);
	in->view = create_view(service_id(name));
	set_test_member(in, name, domain, MEMBER_ALIVE);
	set_view_settled(in->view, true);
	in->quotas = create_quotas(in->view);
	in->placer =
		create_placer(in->catalog, in->view, in->quotas, domain, 7);
	set_cold_bounds(in->placer, 1.5, 5);
	in->steering =
		create_cookie_steering(in->catalog, in->placer, &in->counters);
	set_test_routes(in->catalog, 1, &port, 1, 20);
}

void release_cookie_instance(struct cookie_instance *in)
{
	destroy_cookie_steering(in->steering);
	destroy_placer(in->placer);
	destroy_quotas(in->quotas);
	destroy_view(in->view);
	destroy_catalog(in->catalog);
}

upstream_index_t put_test_upstream(struct cookie_instance *in,
				   const struct upstream_report *r,
				   uint64_t now_ms)
{
	upstream_index_t nr =
		update_catalog_upstream(in->catalog, r, now_ms, now_ms);

	update_placer_upstream(in->placer, nr, now_ms);
	return nr;
}

struct cookie_packet make_cookie_packet(uint32_t caller, uint16_t port,
					uint8_t flags, uint32_t cookie)
{
	struct cookie_packet p = { .flags = flags, .cookie = cookie };

	p.key.caller_ip = caller;
	p.key.caller_port = port;
	p.key.service_ip = TEST_ROUTE_IP;
	p.key.service_port = TEST_ROUTE_PORT;
	p.seq = 1000;
	return p;
}
