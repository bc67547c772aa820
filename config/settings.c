#include "config/settings.h"

#include <glib.h>
#include <string.h>

#include "base/ini.h"
#include "config/units.h"

#define ADMIN_PORT_DEFAULT 7400
#define PEER_PORT_DEFAULT 7401
#define FLOW_PORT_DEFAULT 6080 /* the port that IANA assigned to GUE */
#define STOP_MS_DEFAULT 30000
#define STOP_MS_MAX (30 * 60 * 1000)
#define HEARTBEAT_MS_DEFAULT 1200
#define FLOW_TTL_MS_DEFAULT 60000
#define BOUND_STOP_MS_DEFAULT 6000
#define COLD_FACTOR_DEFAULT 1.5 /* the platform's bound for cold upstreams */
#define OPERATOR_REWRITE_MS_DEFAULT 12000
#define CHANGE_MS_DEFAULT 3000
#define COLD_SLACK_DEFAULT 5

static const struct steering_bounds default_bounds = {
	.heartbeat_ms = HEARTBEAT_MS_DEFAULT,
	.flow_lifetime_ms = FLOW_TTL_MS_DEFAULT,
	.kill_after_ms = BOUND_STOP_MS_DEFAULT,
	.cold_factor = COLD_FACTOR_DEFAULT,
	.cold_slack = COLD_SLACK_DEFAULT,
	.change_ms = CHANGE_MS_DEFAULT,
	.drain_ms = CHANGE_MS_DEFAULT,
	.operator_rewrite_ms = OPERATOR_REWRITE_MS_DEFAULT
};

struct settings_draft {
	const char *file;
	const struct steering_bounds *fallback;
	struct settings *s;
	struct problems *ps;
	size_t warnings; /* problems that do not make the settings invalid */
	int line;	 /* of the entry that is parsed */
};

/* Reports what is wrong with [SECTION] KEY, and what is used instead. */
static void warn(struct settings_draft *d, const char *section, const char *key,
		 const char *why, const char *instead)
{
	add_problem(d->ps, d->file, d->line, "[%s] %s: %s; %s", section, key,
		    why, instead);
	d->warnings++;
}

static enum status_kind parse_name_setting(const char *value, char *name,
					   struct status *st)
{
	if (!valid_name(value))
		return set_status(st, STATUS_INVALID,
				  "use 1 to 39 of a-z, 0-9 and '-', starting "
				  "with a letter");
	g_strlcpy(name, value, CONFIG_NAME_MAX);
	return STATUS_OK;
}

static enum status_kind parse_port_setting(const char *value, uint16_t *port,
					   struct status *st)
{
	uint32_t n;
	enum status_kind kind = parse_number(value, 1, UINT16_MAX, &n, st);

	if (kind == STATUS_OK)
		*port = (uint16_t)n;
	return kind;
}

/*
 * Parses a number that may have decimals; one below 1 becomes 1, since 0 stands
 * for a bandwidth that is not known.
 */
static enum status_kind parse_mbps_setting(struct settings_draft *d,
					   const char *value, struct status *st)
{
	double n;
	enum status_kind kind = parse_figure(value, &n, st);

	d->s->link_mbps = 0;
	if (kind == STATUS_INVALID)
		return kind;
	if (kind != STATUS_OK || n == 0)
		warn(d, "instance", "link-mbps",
		     "not a number of Mbit/s above 0",
		     "the bandwidth counts as unknown");
	else
		d->s->link_mbps = (uint32_t)CLAMP(n, 1, UINT32_MAX);
	return STATUS_OK;
}

/* Without a value the default port is used. */
static enum status_kind parse_peer_port(struct settings_draft *d,
					const char *value, struct status *st)
{
	if (*value)
		return parse_port_setting(value, &d->s->peer_port, st);
	warn(d, "instance", "peer-port", "no value",
	     "the default port is used");
	return STATUS_OK;
}

static enum status_kind parse_endpoint_list(const char *value,
					    struct endpoint_list *l,
					    struct status *st)
{
	char **parts = g_strsplit_set(value, ", ", -1);
	enum status_kind kind = STATUS_OK;

	for (char **p = parts; *p && kind == STATUS_OK; p++) {
		if (!**p)
			continue;
		if (l->nr == SETTINGS_LIST_MAX)
			kind = set_status(st, STATUS_INVALID,
					  "at most %d addresses",
					  SETTINGS_LIST_MAX);
		else
			kind = parse_endpoint(*p, &l->at[l->nr++], st);
	}
	g_strfreev(parts);
	return kind;
}

/* Parses the peers to contact at start; the others will do if one is wrong. */
static void parse_seeds(struct settings_draft *d, const char *value)
{
	char **parts = g_strsplit_set(value, ", ", -1);
	struct endpoint_list *l = &d->s->seeds;
	struct status st;

	for (char **p = parts; *p; p++) {
		if (!**p)
			continue;
		if (l->nr == SETTINGS_LIST_MAX) {
			warn(d, "peers", "seeds", "too many addresses",
			     "the first 16 are used");
			break;
		}
		if (parse_endpoint(*p, &l->at[l->nr], &st) == STATUS_OK)
			l->nr++;
		else
			warn(d, "peers", "seeds", st.message,
			     "the others are used");
	}
	g_strfreev(parts);
}

static enum status_kind parse_bind(const char *value, bool *bind_service,
				   struct status *st)
{
	if (!strcmp(value, "service"))
		*bind_service = true;
	else if (!strcmp(value, "own"))
		*bind_service = false;
	else
		return set_status(st, STATUS_INVALID,
				  "must be 'own' or 'service'");
	return STATUS_OK;
}

static enum status_kind parse_directory(const char *value, struct settings *s,
					struct status *st)
{
	if (g_strlcpy(s->directory, value, sizeof(s->directory)) >=
	    sizeof(s->directory))
		return set_status(st, STATUS_INVALID, "path is too long");
	return STATUS_OK;
}

static enum status_kind parse_instance_key(struct settings_draft *d,
					   const char *key, const char *value,
					   struct status *st)
{
	struct settings *s = d->s;

	if (!strcmp(key, "name"))
		return parse_name_setting(value, s->name, st);
	if (!strcmp(key, "domain"))
		return parse_name_setting(value, s->domain, st);
	if (!strcmp(key, "address"))
		return parse_address(value, &s->address, st);
	if (!strcmp(key, "admin-port"))
		return parse_port_setting(value, &s->admin_port, st);
	if (!strcmp(key, "peer-port"))
		return parse_peer_port(d, value, st);
	if (!strcmp(key, "flow-port"))
		return parse_port_setting(value, &s->flow_port, st);
	if (!strcmp(key, "bind"))
		return parse_bind(value, &s->bind_service, st);
	if (!strcmp(key, "link-mbps"))
		return parse_mbps_setting(d, value, st);
	if (!strcmp(key, "stop-timeout"))
		return parse_duration(value, STOP_MS_MAX, &s->stop_timeout_ms,
				      st);
	return set_status(st, STATUS_NOT_FOUND,
			  "unknown key; known are name, domain, address, "
			  "admin-port, peer-port, flow-port, bind, link-mbps, "
			  "stop-timeout");
}

static enum status_kind parse_steering(const char *value, struct settings *s,
				       struct status *st)
{
	if (!strcmp(value, "cookie"))
		s->steering = STEER_BY_COOKIE;
	else if (!strcmp(value, "slot"))
		s->steering = STEER_BY_SLOT;
	else
		return set_status(st, STATUS_INVALID,
				  "must be 'slot' or 'cookie', not '%s'",
				  value);
	return STATUS_OK;
}

static enum status_kind parse_listen_key(struct settings *s, const char *key,
					 const char *value, struct status *st)
{
	if (!strcmp(key, "packets"))
		return parse_endpoint(value, &s->packets, st);
	if (!strcmp(key, "ready"))
		return parse_endpoint(value, &s->ready, st);
	if (!strcmp(key, "metrics"))
		return *value ? parse_endpoint(value, &s->metrics, st)
			      : STATUS_OK;
	return set_status(st, STATUS_NOT_FOUND,
			  "unknown key; known are packets, ready, metrics");
}

/*
 * Parses KEY of [bounds], a time, into MS; FALLBACK is used for one that means
 * nothing, as one below LEAST does.
 */
static enum status_kind parse_time_bound(struct settings_draft *d,
					 const char *key, const char *value,
					 enum bound_rounding rounding,
					 uint32_t least, uint32_t *ms,
					 uint32_t fallback, struct status *st)
{
	enum status_kind kind = parse_bound(value, rounding, ms, st);
	char instead[64];

	if (kind == STATUS_OK && *ms < least)
		kind = set_status(st, STATUS_NOT_FOUND, "'%s' is below %u ms",
				  value, least);
	switch (kind) {
	case STATUS_NOT_FOUND:
		*ms = fallback;
		g_snprintf(instead, sizeof(instead), "%u ms are used", *ms);
		warn(d, "bounds", key, st->message, instead);
		return STATUS_OK;
	case STATUS_TOO_LARGE:
		g_snprintf(instead, sizeof(instead), "%u ms are used", *ms);
		warn(d, "bounds", key, st->message, instead);
		return STATUS_OK;
	default:
		return kind;
	}
}

/* The same for a number without a unit. */
static enum status_kind parse_number_bound(struct settings_draft *d,
					   const char *key, const char *value,
					   double *n, double fallback,
					   struct status *st)
{
	enum status_kind kind = parse_figure(value, n, st);
	char instead[64];

	if (kind == STATUS_OK) {
		*n = MIN(*n, UINT32_MAX);
		return kind;
	}
	*n = fallback;
	if (kind != STATUS_NOT_FOUND)
		return kind;
	g_snprintf(instead, sizeof(instead), "%g is used", *n);
	warn(d, "bounds", key, st->message, instead);
	return STATUS_OK;
}

/*
 * A time is rounded to the side on which what it promises is kept: what others
 * do, and what is kept for open flows, lasts longer; what this instance does in
 * time takes shorter.
 */
static enum status_kind parse_bound_key(struct settings_draft *d,
					const char *key, const char *value,
					struct status *st)
{
	struct steering_bounds *b = &d->s->bounds;
	const struct steering_bounds *f = d->fallback;

	if (!strcmp(key, "heartbeat"))
		return parse_time_bound(d, key, value, BOUND_ROUND_UP, 1,
					&b->heartbeat_ms, f->heartbeat_ms, st);
	if (!strcmp(key, "flow-lifetime"))
		return parse_time_bound(d, key, value, BOUND_ROUND_UP, 0,
					&b->flow_lifetime_ms,
					f->flow_lifetime_ms, st);
	if (!strcmp(key, "stop"))
		return parse_time_bound(d, key, value, BOUND_ROUND_DOWN, 0,
					&b->kill_after_ms, f->kill_after_ms,
					st);
	if (!strcmp(key, "cold-factor"))
		return parse_number_bound(d, key, value, &b->cold_factor,
					  f->cold_factor, st);
	if (!strcmp(key, "cold-slack"))
		return parse_number_bound(d, key, value, &b->cold_slack,
					  f->cold_slack, st);
	if (!strcmp(key, "change"))
		return parse_time_bound(d, key, value, BOUND_ROUND_DOWN, 0,
					&b->change_ms, f->change_ms, st);
	if (!strcmp(key, "drain"))
		return parse_time_bound(d, key, value, BOUND_ROUND_DOWN, 0,
					&b->drain_ms, f->drain_ms, st);
	if (!strcmp(key, "operator-rewrite"))
		return parse_time_bound(d, key, value, BOUND_ROUND_UP, 0,
					&b->operator_rewrite_ms,
					f->operator_rewrite_ms, st);
	return set_status(st, STATUS_NOT_FOUND,
			  "unknown key; known are heartbeat, flow-lifetime, "
			  "stop, cold-factor, cold-slack, change, drain, "
			  "operator-rewrite");
}

/*
 * Parses the list of what the platform's upstreams and callers can do, which
 * may have words for other programs.
 */
static enum status_kind parse_capabilities(const char *value,
					   struct settings *s)
{
	char **words = g_strsplit_set(value, ", \t[]\"'", -1);

	s->compare_upstreams =
		g_strv_contains((const gchar *const *)words, "health");
	g_strfreev(words);
	return STATUS_OK;
}

static enum status_kind parse_setting(struct settings_draft *d,
				      const struct ini_entry *e,
				      struct status *st)
{
	struct settings *s = d->s;

	if (!strcmp(e->section, "listen"))
		return parse_listen_key(s, e->key, e->value, st);
	if (!strcmp(e->section, "bounds"))
		return parse_bound_key(d, e->key, e->value, st);
	if (!strcmp(e->section, "flows") && !strcmp(e->key, "steering"))
		return parse_steering(e->value, s, st);
	if (!strcmp(e->section, "instance"))
		return parse_instance_key(d, e->key, e->value, st);
	if (!strcmp(e->section, "store") && !strcmp(e->key, "endpoints"))
		return parse_endpoint_list(e->value, &s->store, st);
	if (!strcmp(e->section, "source") && !strcmp(e->key, "directory"))
		return parse_directory(e->value, s, st);
	if (!strcmp(e->section, "peers") && !strcmp(e->key, "seeds")) {
		parse_seeds(d, e->value);
		return STATUS_OK;
	}
	if (!strcmp(e->section, "upstreams") && !strcmp(e->key, "capabilities"))
		return parse_capabilities(e->value, s);
	return set_status(st, STATUS_NOT_FOUND,
			  "unknown; known are [instance], [listen], [bounds], "
			  "[flows] steering, [store] endpoints, "
			  "[source] directory, [peers] seeds and "
			  "[upstreams] capabilities");
}

static void handle_settings_entry(const struct ini_entry *e, void *data)
{
	struct settings_draft *d = data;
	struct status st;

	d->line = e->line;
	if (parse_setting(d, e, &st) != STATUS_OK)
		add_problem(d->ps, d->file, e->line, "[%s] %s: %s", e->section,
			    e->key, st.message);
}

static void check_settings(const struct settings_draft *d)
{
	const struct settings *s = d->s;

	if (!s->name[0])
		add_problem(d->ps, d->file, 0, "[instance] name is missing");
	if (!s->domain[0])
		add_problem(d->ps, d->file, 0, "[instance] domain is missing");
	if (!s->address.family)
		add_problem(d->ps, d->file, 0, "[instance] address is missing");
	if (!s->store.nr && !s->directory[0])
		add_problem(d->ps, d->file, 0,
			    "one of [store] endpoints and [source] directory "
			    "is needed");
	if (s->steering == STEER_BY_COOKIE &&
	    (!s->packets.family || !s->ready.family || !s->store.nr))
		add_problem(d->ps, d->file, 0,
			    "[flows] steering = cookie needs [listen] packets "
			    "and ready, and [store] endpoints");
	if (s->store.nr && s->directory[0])
		add_problem(d->ps, d->file, 0,
			    "[store] endpoints and [source] directory exclude "
			    "each other");
}

bool parse_settings(const char *file, const char *text, size_t len,
		    const struct steering_bounds *fallback, struct settings *s,
		    struct problems *ps)
{
	struct settings_draft d = { .file = file,
				    .fallback = fallback ? fallback
							 : &default_bounds,
				    .s = s,
				    .ps = ps };
	size_t before = problem_count(ps);

	memset(s, 0, sizeof(*s));
	s->admin_port = ADMIN_PORT_DEFAULT;
	s->peer_port = PEER_PORT_DEFAULT;
	s->flow_port = FLOW_PORT_DEFAULT;
	s->stop_timeout_ms = STOP_MS_DEFAULT;
	s->bounds = default_bounds;
	read_ini(file, text, len, handle_settings_entry, &d, ps);
	if (problem_count(ps) == before + d.warnings)
		check_settings(&d);
	return problem_count(ps) == before + d.warnings;
}
