#include "config/service-file.h"

#include <glib.h>
#include <string.h>

#include "base/ini.h"
#include "config/units.h"

#define DEADLINE_MS_MAX (10 * 60 * 1000)
#define IDLE_MS_MAX (24 * 3600 * 1000)
#define MAX_BODY_MAX (64 * 1024 * 1024) /* bytes */
#define SLOTS_MAX 100000
#define CONNECTIONS_MAX 10000000
#define UPSTREAM_SECTION "upstream "

struct upstream_draft {
	struct upstream up;
	int line; /* of the section's first key */
	bool has_cold_slots;
	bool has_cold_connections;
};

struct service_draft {
	const char *file;
	struct problems *ps;
	struct service *sv;
	GArray *upstreams; /* of struct upstream_draft */
	bool has_name;
	bool has_kind;
};

static void report(struct service_draft *d, const struct ini_entry *e,
		   const char *what)
{
	add_problem(d->ps, d->file, e->line, "[%s] %s: %s", e->section, e->key,
		    what);
}

static void report_if_invalid(struct service_draft *d,
			      const struct ini_entry *e, enum status_kind kind,
			      const struct status *st)
{
	if (kind != STATUS_OK)
		report(d, e, st->message);
}

static void parse_name(struct service_draft *d, const struct ini_entry *e)
{
	if (!valid_name(e->value)) {
		report(d, e,
		       "use 1 to 39 of a-z, 0-9 and '-', starting with a "
		       "letter");
		return;
	}
	g_strlcpy(d->sv->name, e->value, sizeof(d->sv->name));
	d->sv->id = service_id(d->sv->name);
	d->has_name = true;
}

static void parse_kind(struct service_draft *d, const struct ini_entry *e)
{
	d->has_kind = true;
	if (!strcmp(e->value, "requests"))
		d->sv->kind = SERVICE_REQUESTS;
	else if (!strcmp(e->value, "flows"))
		d->sv->kind = SERVICE_FLOWS;
	else
		report(d, e, "must be 'requests' or 'flows'");
}

static void parse_protocol(struct service_draft *d, const struct ini_entry *e)
{
	if (!strcmp(e->value, "tcp"))
		d->sv->protocol = FLOW_TCP;
	else if (!strcmp(e->value, "udp"))
		d->sv->protocol = FLOW_UDP;
	else
		report(d, e, "must be 'tcp' or 'udp'");
}

static void parse_service_key(struct service_draft *d,
			      const struct ini_entry *e)
{
	struct service *sv = d->sv;
	struct status st;
	enum status_kind kind = STATUS_OK;

	if (!strcmp(e->key, "name"))
		parse_name(d, e);
	else if (!strcmp(e->key, "kind"))
		parse_kind(d, e);
	else if (!strcmp(e->key, "protocol"))
		parse_protocol(d, e);
	else if (!strcmp(e->key, "address"))
		kind = parse_endpoint(e->value, &sv->address, &st);
	else if (!strcmp(e->key, "deadline"))
		kind = parse_duration(e->value, DEADLINE_MS_MAX,
				      &sv->deadline_ms, &st);
	else if (!strcmp(e->key, "max-body"))
		kind = parse_size(e->value, MAX_BODY_MAX, &sv->max_body_bytes,
				  &st);
	else if (!strcmp(e->key, "idle"))
		kind = parse_duration(e->value, IDLE_MS_MAX, &sv->idle_ms, &st);
	else
		report(d, e,
		       "unknown key; known are name, kind, protocol, address, "
		       "deadline, max-body, idle");
	report_if_invalid(d, e, kind, &st);
}

static struct upstream_draft *find_or_add_draft(struct service_draft *d,
						const struct ini_entry *e)
{
	const char *name = e->section + strlen(UPSTREAM_SECTION);
	struct upstream_draft u = { .line = e->line };

	for (guint i = 0; i < d->upstreams->len; i++) {
		struct upstream_draft *have =
			&g_array_index(d->upstreams, struct upstream_draft, i);

		if (!strcmp(have->up.name, name))
			return have;
	}
	if (!valid_name(name)) {
		add_problem(d->ps, d->file, e->line,
			    "[%s]: an upstream's name is 1 to 39 of a-z, 0-9 "
			    "and '-', starting with a letter",
			    e->section);
		return NULL;
	}
	g_strlcpy(u.up.name, name, sizeof(u.up.name));
	u.up.slots = 1;
	u.up.connections = 1;
	g_array_append_val(d->upstreams, u);
	return &g_array_index(d->upstreams, struct upstream_draft,
			      d->upstreams->len - 1);
}

static void parse_upstream_state(struct service_draft *d,
				 const struct ini_entry *e, struct upstream *up)
{
	if (!strcmp(e->value, "draining"))
		up->draining = true;
	else if (strcmp(e->value, "active") != 0)
		report(d, e, "must be 'active' or 'draining'");
}

static void parse_domain(struct service_draft *d, const struct ini_entry *e,
			 struct upstream *up)
{
	if (valid_name(e->value))
		g_strlcpy(up->domain, e->value, sizeof(up->domain));
	else
		report(d, e, "is not a valid name of a failure domain");
}

static void parse_upstream_key(struct service_draft *d,
			       const struct ini_entry *e)
{
	struct upstream_draft *u = find_or_add_draft(d, e);
	struct status st;
	enum status_kind kind = STATUS_OK;

	if (!u)
		return;
	if (!strcmp(e->key, "address"))
		kind = parse_endpoint(e->value, &u->up.address, &st);
	else if (!strcmp(e->key, "health"))
		kind = parse_endpoint(e->value, &u->up.health, &st);
	else if (!strcmp(e->key, "domain"))
		parse_domain(d, e, &u->up);
	else if (!strcmp(e->key, "state"))
		parse_upstream_state(d, e, &u->up);
	else if (!strcmp(e->key, "slots"))
		kind = parse_number(e->value, 1, SLOTS_MAX, &u->up.slots, &st);
	else if (!strcmp(e->key, "connections"))
		kind = parse_number(e->value, 1, CONNECTIONS_MAX,
				    &u->up.connections, &st);
	else if (!strcmp(e->key, "cold-slots")) {
		u->has_cold_slots = true;
		kind = parse_number(e->value, 1, SLOTS_MAX, &u->up.cold_slots,
				    &st);
	} else if (!strcmp(e->key, "cold-connections")) {
		u->has_cold_connections = true;
		kind = parse_number(e->value, 1, CONNECTIONS_MAX,
				    &u->up.cold_connections, &st);
	} else
		report(d, e,
		       "unknown key; known are address, health, domain, state, "
		       "slots, connections, cold-slots, cold-connections");
	report_if_invalid(d, e, kind, &st);
}

static void handle_service_file_entry(const struct ini_entry *e, void *data)
{
	struct service_draft *d = data;

	if (!strcmp(e->section, "service"))
		parse_service_key(d, e);
	else if (g_str_has_prefix(e->section, UPSTREAM_SECTION))
		parse_upstream_key(d, e);
	else
		add_problem(d->ps, d->file, e->line,
			    "unknown section [%s]; known are [service] and "
			    "[upstream NAME]",
			    e->section);
}

/* Limit of a cold upstream if the file has none: a third of the warm limit. */
static uint32_t default_cold_limit(uint32_t warm)
{
	return warm < 3 ? 1 : warm / 3;
}

static void finish_upstream(struct service_draft *d, struct upstream_draft *u)
{
	struct upstream *up = &u->up;

	if (!up->address.family)
		add_problem(d->ps, d->file, u->line,
			    "[upstream %s] address is missing", up->name);
	if (!up->domain[0])
		add_problem(d->ps, d->file, u->line,
			    "[upstream %s] domain is missing: every upstream "
			    "is in a failure domain",
			    up->name);
	if (!u->has_cold_slots)
		up->cold_slots = default_cold_limit(up->slots);
	if (!u->has_cold_connections)
		up->cold_connections = default_cold_limit(up->connections);
	if (up->cold_slots > up->slots)
		add_problem(d->ps, d->file, u->line,
			    "[upstream %s] cold-slots %u exceeds slots %u",
			    up->name, up->cold_slots, up->slots);
	if (up->cold_connections > up->connections)
		add_problem(d->ps, d->file, u->line,
			    "[upstream %s] cold-connections %u exceeds "
			    "connections %u",
			    up->name, up->cold_connections, up->connections);
	add_upstream(d->sv, up);
}

static void finish_service(struct service_draft *d)
{
	if (!d->has_name)
		add_problem(d->ps, d->file, 0, "[service] name is missing");
	if (!d->has_kind)
		add_problem(d->ps, d->file, 0, "[service] kind is missing");
	if (!d->sv->address.family)
		add_problem(d->ps, d->file, 0, "[service] address is missing");
	if (!d->upstreams->len)
		add_problem(d->ps, d->file, 0,
			    "no [upstream NAME] section: a service needs one");
	for (guint i = 0; i < d->upstreams->len; i++)
		finish_upstream(d, &g_array_index(d->upstreams,
						  struct upstream_draft, i));
}

struct service *parse_service_file(const char *file, const char *text,
				   size_t len, struct problems *ps)
{
	struct service_draft d = { .file = file, .ps = ps };
	size_t before = problem_count(ps);

	d.sv = create_service("");
	d.upstreams = g_array_new(FALSE, TRUE, sizeof(struct upstream_draft));
	read_ini(file, text, len, handle_service_file_entry, &d, ps);
	if (problem_count(ps) == before)
		finish_service(&d);
	g_array_free(d.upstreams, TRUE);
	if (problem_count(ps) != before) {
		unref_service(d.sv);
		return NULL;
	}
	seal_service(d.sv);
	return d.sv;
}
