#include "config/catalog.h"

#include <string.h>

#define INDEXES_MAX 65000	  /* per table; indexes have 16 bits */
#define IGNORED_ENTRIES_MAX 10000 /* remembered for is_contested() */

/*
 * How long what peers say of an upstream is doubted after another writer
 * replaced its entry. An instance that started meanwhile takes the entry for the
 * upstream's own until the upstream writes again, at most three heartbeats.
 */
#define CONTESTED_MS 10000

/*
 * Entries that are read at once, in any order, name the owner of a cookie
 * together. One that has owned it for longer may have flows.
 */
#define COOKIE_OWNER_SETTLE_MS 1000

struct domain {
	char *name;
	bool out;
};

struct catalog {
	uint64_t flow_ttl_ms;
	uint64_t version;
	uint64_t version_before;	/* the one that VERSION replaced */
	uint64_t service_added_version; /* the last that added a service */
	uint32_t idle_ms;
	GArray *routes;		 /* of struct catalog_route, sorted */
	GPtrArray *upstreams;	 /* of struct catalog_upstream, or NULL */
	guint lowest_free;	 /* no index of UPSTREAMS below is free */
	GHashTable *by_name;	 /* name -> upstream's index + 1 */
	GHashTable *by_cookie;	 /* cookie -> index + 1 of its owner */
	GHashTable *ignored;	 /* name of an entry -> its cookie */
	GHashTable *ignored_nrs; /* cookie -> number of entries in IGNORED */
	GPtrArray *services;	 /* of struct catalog_service */
	GHashTable *service_nrs; /* name -> service's index + 1 */
	GArray *domains;	 /* of struct domain */
};

static void free_service(gpointer data)
{
	struct catalog_service *sv = data;

	g_array_free(sv->upstreams, TRUE);
	g_free(sv);
}

static void free_routes(GArray *routes)
{
	if (!routes)
		return;
	for (guint i = 0; i < routes->len; i++)
		g_free(g_array_index(routes, struct catalog_route, i).targets);
	g_array_free(routes, TRUE);
}

struct catalog *create_catalog(uint64_t flow_ttl_ms)
{
	struct catalog *c = g_new0(struct catalog, 1);

	c->flow_ttl_ms = flow_ttl_ms;
	c->upstreams = g_ptr_array_new_with_free_func(g_free);
	c->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->by_cookie = g_hash_table_new(NULL, NULL);
	c->ignored =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->ignored_nrs = g_hash_table_new(NULL, NULL);
	c->services = g_ptr_array_new_with_free_func(free_service);
	c->service_nrs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->domains = g_array_new(FALSE, FALSE, sizeof(struct domain));
	return c;
}

void destroy_catalog(struct catalog *c)
{
	if (!c)
		return;
	free_routes(c->routes);
	g_ptr_array_free(c->upstreams, TRUE);
	g_hash_table_destroy(c->by_name);
	g_hash_table_destroy(c->by_cookie);
	g_hash_table_destroy(c->ignored);
	g_hash_table_destroy(c->ignored_nrs);
	g_ptr_array_free(c->services, TRUE);
	g_hash_table_destroy(c->service_nrs);
	for (guint i = 0; i < c->domains->len; i++)
		g_free(g_array_index(c->domains, struct domain, i).name);
	g_array_free(c->domains, TRUE);
	g_free(c);
}

uint32_t make_cookie(uint64_t id)
{
	uint32_t cookie = (uint32_t)(id ^ (id >> 32));

	return cookie ? cookie : 1;
}

service_index_t intern_service(struct catalog *c, const char *name)
{
	guint known =
		GPOINTER_TO_UINT(g_hash_table_lookup(c->service_nrs, name));
	struct catalog_service *sv;

	if (known)
		return (service_index_t)(known - 1);
	if (c->services->len >= INDEXES_MAX)
		return CATALOG_NONE;
	sv = g_new0(struct catalog_service, 1);
	g_strlcpy(sv->name, name, sizeof(sv->name));
	sv->upstreams = g_array_new(FALSE, FALSE, sizeof(upstream_index_t));
	g_ptr_array_add(c->services, sv);
	g_hash_table_insert(c->service_nrs, g_strdup(name),
			    GUINT_TO_POINTER(c->services->len));
	return (service_index_t)(c->services->len - 1);
}

domain_index_t intern_domain(struct catalog *c, const char *name)
{
	struct domain d = { g_strdup(name), false };

	for (guint i = 0; i < c->domains->len; i++) {
		if (strcmp(g_array_index(c->domains, struct domain, i).name,
			   name) != 0)
			continue;
		g_free(d.name);
		return (domain_index_t)i;
	}
	if (c->domains->len >= INDEXES_MAX) {
		g_free(d.name);
		return CATALOG_NONE;
	}
	g_array_append_val(c->domains, d);
	return (domain_index_t)(c->domains->len - 1);
}

static int compare_address(uint32_t a_ip, uint16_t a_port, uint32_t b_ip,
			   uint16_t b_port)
{
	if (a_ip != b_ip)
		return a_ip < b_ip ? -1 : 1;
	return (int)a_port - (int)b_port;
}

static int compare_routes(const void *a, const void *b)
{
	const struct catalog_route *x = a;
	const struct catalog_route *y = b;

	return compare_address(x->ip, x->port, y->ip, y->port);
}

static struct catalog_upstream *upstream_by_index(const struct catalog *c,
						  upstream_index_t nr)
{
	return g_ptr_array_index(c->upstreams, nr);
}

/* Whether the configuration in force names SV. */
static bool is_configured(const struct catalog *c,
			  const struct catalog_service *sv)
{
	return sv->version && sv->version == c->version;
}

/* Whether flows may be open that were placed while SV was configured. */
static bool may_have_flows(const struct catalog *c,
			   const struct catalog_service *sv, uint64_t now_ms)
{
	return is_configured(c, sv) ||
	       (sv->version && now_ms - sv->left_at_ms <= c->flow_ttl_ms);
}

/* Whether UP has an entry, or may have it again, and its service is configured. */
static bool is_usable(const struct catalog *c,
		      const struct catalog_upstream *up)
{
	return (up->has_entry || up->overwritten) &&
	       is_configured(c, g_ptr_array_index(c->services, up->service));
}

/*
 * Whether upstream A rather than B owns the cookie of both: the one that started
 * first. Flows of an upstream that has left may be open until it is forgotten.
 * Of two names for one id, one that can get new flows goes first: the other one
 * has no flows, as it never owned the cookie.
 */
static bool precedes_in_cookie(const struct catalog *c,
			       const struct catalog_upstream *a,
			       const struct catalog_upstream *b)
{
	bool a_usable = is_usable(c, a);

	if (a->report.id == b->report.id && a_usable != is_usable(c, b))
		return a_usable;
	if (a->report.started_at_ms != b->report.started_at_ms)
		return a->report.started_at_ms < b->report.started_at_ms;
	if (a->report.id != b->report.id)
		return a->report.id < b->report.id;
	return strcmp(a->report.name, b->report.name) > 0;
}

/* The owner of COOKIE, followed by the others that have it. */
static upstream_index_t first_of_cookie(const struct catalog *c,
					uint32_t cookie)
{
	guint known = GPOINTER_TO_UINT(
		g_hash_table_lookup(c->by_cookie, GUINT_TO_POINTER(cookie)));

	return known ? (upstream_index_t)(known - 1) : CATALOG_NONE;
}

static void set_first_of_cookie(struct catalog *c, uint32_t cookie,
				upstream_index_t nr)
{
	if (nr == CATALOG_NONE)
		g_hash_table_remove(c->by_cookie, GUINT_TO_POINTER(cookie));
	else
		g_hash_table_insert(c->by_cookie, GUINT_TO_POINTER(cookie),
				    GUINT_TO_POINTER(nr + 1));
}

static void unlink_from_cookie(struct catalog *c, upstream_index_t nr)
{
	struct catalog_upstream *up = upstream_by_index(c, nr);
	upstream_index_t at = first_of_cookie(c, up->cookie);

	if (at == nr) {
		set_first_of_cookie(c, up->cookie, up->next_of_cookie);
		return;
	}
	while (upstream_by_index(c, at)->next_of_cookie != nr)
		at = upstream_by_index(c, at)->next_of_cookie;
	upstream_by_index(c, at)->next_of_cookie = up->next_of_cookie;
}

static void make_first_of_cookie(struct catalog *c, upstream_index_t nr)
{
	struct catalog_upstream *up = upstream_by_index(c, nr);

	up->next_of_cookie = first_of_cookie(c, up->cookie);
	set_first_of_cookie(c, up->cookie, nr);
}

/* Adds NR to those with its cookie; it owns the cookie if there is no other. */
static void link_to_cookie(struct catalog *c, upstream_index_t nr)
{
	struct catalog_upstream *up = upstream_by_index(c, nr);
	upstream_index_t owner = first_of_cookie(c, up->cookie);

	if (owner == CATALOG_NONE) {
		make_first_of_cookie(c, nr);
		return;
	}
	up->next_of_cookie = upstream_by_index(c, owner)->next_of_cookie;
	upstream_by_index(c, owner)->next_of_cookie = nr;
}

/* The one of those with COOKIE that should own it. */
static upstream_index_t find_rightful_owner(const struct catalog *c,
					    uint32_t cookie)
{
	upstream_index_t best = first_of_cookie(c, cookie);

	for (upstream_index_t nr = best; nr != CATALOG_NONE;
	     nr = upstream_by_index(c, nr)->next_of_cookie)
		if (precedes_in_cookie(c, upstream_by_index(c, nr),
				       upstream_by_index(c, best)))
			best = nr;
	return best;
}

/*
 * Whether OWNER keeps its cookie although the upstream NEXT should own it, since
 * its flows may be open: NEXT has another id, and OWNER was given flows before.
 */
static bool keeps_cookie(const struct catalog *c,
			 struct catalog_upstream *owner,
			 const struct catalog_upstream *next, uint64_t now_ms)
{
	if (owner == next || owner->report.id == next->report.id ||
	    now_ms < owner->owner_since_ms + COOKIE_OWNER_SETTLE_MS) {
		owner->yields_since_ms = 0;
		return owner == next;
	}
	if (!owner->yields_since_ms)
		owner->yields_since_ms = now_ms;
	return now_ms - owner->yields_since_ms <= c->flow_ttl_ms;
}

/*
 * Makes the owner of COOKIE the first, and updates what follows from that. While
 * an owner yields to another one, neither gets new flows.
 */
static void resolve_cookie(struct catalog *c, uint32_t cookie, uint64_t now_ms)
{
	upstream_index_t owner = first_of_cookie(c, cookie);
	struct catalog_upstream *up;
	upstream_index_t next;

	if (owner == CATALOG_NONE)
		return;
	next = find_rightful_owner(c, cookie);
	if (upstream_by_index(c, owner)->owner_since_ms &&
	    keeps_cookie(c, upstream_by_index(c, owner),
			 upstream_by_index(c, next), now_ms))
		next = owner;
	for (upstream_index_t nr = owner; nr != CATALOG_NONE;
	     nr = up->next_of_cookie) {
		up = upstream_by_index(c, nr);
		up->ambiguous = nr != next;
		up->listed = false;
		if (nr != next)
			up->owner_since_ms = up->yields_since_ms = 0;
	}
	unlink_from_cookie(c, next);
	make_first_of_cookie(c, next);
	up = upstream_by_index(c, next);
	if (!up->owner_since_ms)
		up->owner_since_ms = MAX(now_ms, 1);
	up->listed = is_usable(c, up) && up->has_entry && !up->yields_since_ms;
}

static void resolve_cookies_of_service(struct catalog *c,
				       const struct catalog_service *sv,
				       uint64_t now_ms)
{
	for (guint i = 0; i < sv->upstreams->len; i++)
		resolve_cookie(
			c,
			upstream_by_index(c, g_array_index(sv->upstreams,
							   upstream_index_t, i))
				->cookie,
			now_ms);
}

/* Notes that the configuration in force names SV. */
static void note_configured(struct catalog *c, struct catalog_service *sv)
{
	if (is_configured(c, sv))
		return;
	if (!sv->version || sv->version != c->version_before) {
		sv->since_version = c->version;
		c->service_added_version = c->version;
	}
	sv->version = c->version;
	sv->left_at_ms = 0;
}

/* Notes which services ROUTES and SERVICES name, and their lowest priority. */
static void note_configured_services(struct catalog *c, const GArray *routes,
				     const GArray *services)
{
	for (guint i = 0; i < c->services->len; i++) {
		struct catalog_service *sv = g_ptr_array_index(c->services, i);

		sv->lowest_priority = 0;
		sv->longest_target_ms = 0;
	}
	for (guint i = 0; i < routes->len; i++) {
		const struct catalog_route *r =
			&g_array_index(routes, struct catalog_route, i);

		for (uint32_t k = 0; k < r->target_nr; k++) {
			struct catalog_service *sv = g_ptr_array_index(
				c->services, r->targets[k].service);

			note_configured(c, sv);
			sv->lowest_priority =
				MAX(sv->lowest_priority, r->priority);
			sv->longest_target_ms =
				MAX(sv->longest_target_ms, r->slo_ms);
		}
	}
	for (guint i = 0; services && i < services->len; i++)
		note_configured(c, g_ptr_array_index(
					   c->services,
					   g_array_index(services,
							 service_index_t, i)));
}

bool set_catalog_routes(struct catalog *c, uint64_t version, GArray *routes,
			const GArray *services, uint32_t idle_ms,
			uint64_t now_ms)
{
	if (version <= c->version) {
		free_routes(routes);
		return false;
	}
	g_array_sort(routes, compare_routes);
	free_routes(c->routes);
	c->routes = routes;
	c->version_before = c->version;
	c->version = version;
	c->idle_ms = idle_ms;
	note_configured_services(c, routes, services);
	for (guint i = 0; i < c->services->len; i++) {
		struct catalog_service *sv = g_ptr_array_index(c->services, i);
		bool left = sv->version && sv->version == c->version_before;

		if (left)
			sv->left_at_ms = now_ms;
		if (left || sv->since_version == version)
			resolve_cookies_of_service(c, sv, now_ms);
	}
	return true;
}

void set_catalog_service(struct catalog *c, service_index_t nr,
			 const struct catalog_service *settings)
{
	struct catalog_service *sv = g_ptr_array_index(c->services, nr);

	memcpy(sv->health_path, settings->health_path, sizeof(sv->health_path));
	sv->cold_ms = settings->cold_ms;
	sv->cold_flows_per_s = settings->cold_flows_per_s;
	sv->max_flows = settings->max_flows;
}

static const struct catalog_service *find_service(const struct catalog *c,
						  const char *name)
{
	guint known =
		GPOINTER_TO_UINT(g_hash_table_lookup(c->service_nrs, name));

	return known ? g_ptr_array_index(c->services, known - 1) : NULL;
}

bool is_new_service(const struct catalog *c, const char *service,
		    uint64_t version)
{
	const struct catalog_service *sv = find_service(c, service);

	return sv && is_configured(c, sv) && sv->since_version > version;
}

bool has_new_services(const struct catalog *c, uint64_t version)
{
	return c->service_added_version > version;
}

static void remove_from_service(struct catalog *c, upstream_index_t nr)
{
	struct catalog_service *sv = g_ptr_array_index(
		c->services, upstream_by_index(c, nr)->service);

	for (guint i = 0; i < sv->upstreams->len; i++)
		if (g_array_index(sv->upstreams, upstream_index_t, i) == nr) {
			g_array_remove_index_fast(sv->upstreams, i);
			return;
		}
}

static void add_to_service(struct catalog *c, upstream_index_t nr,
			   service_index_t service)
{
	struct catalog_service *sv = g_ptr_array_index(c->services, service);

	upstream_by_index(c, nr)->service = service;
	g_array_append_val(sv->upstreams, nr);
}

/* A free index for an upstream; CATALOG_NONE if there is none. */
static upstream_index_t find_free_index(struct catalog *c)
{
	while (c->lowest_free < c->upstreams->len) {
		if (!g_ptr_array_index(c->upstreams, c->lowest_free))
			return (upstream_index_t)c->lowest_free;
		c->lowest_free++;
	}
	if (c->upstreams->len >= INDEXES_MAX)
		return CATALOG_NONE;
	g_ptr_array_add(c->upstreams, NULL);
	return (upstream_index_t)(c->upstreams->len - 1);
}

static upstream_index_t add_upstream_entry(struct catalog *c,
					   const struct upstream_report *r,
					   service_index_t service)
{
	upstream_index_t nr = find_free_index(c);
	struct catalog_upstream *up;

	if (nr == CATALOG_NONE)
		return nr;
	up = g_new0(struct catalog_upstream, 1);
	up->report = *r;
	up->cookie = make_cookie(r->id);
	g_ptr_array_index(c->upstreams, nr) = up;
	g_hash_table_insert(c->by_name, g_strdup(r->name),
			    GUINT_TO_POINTER(nr + 1));
	add_to_service(c, nr, service);
	link_to_cookie(c, nr);
	return nr;
}

static upstream_index_t find_upstream_by_name(const struct catalog *c,
					      const char *name)
{
	guint known = GPOINTER_TO_UINT(g_hash_table_lookup(c->by_name, name));

	return known ? (upstream_index_t)(known - 1) : CATALOG_NONE;
}

/* Counts one entry with COOKIE more or, if STEP is -1, less in IGNORED. */
static void count_ignored(struct catalog *c, uint32_t cookie, int step)
{
	gpointer key = GUINT_TO_POINTER(cookie);
	int nr = GPOINTER_TO_INT(g_hash_table_lookup(c->ignored_nrs, key)) +
		 step;

	if (nr)
		g_hash_table_insert(c->ignored_nrs, key, GINT_TO_POINTER(nr));
	else
		g_hash_table_remove(c->ignored_nrs, key);
}

/* Forgets that the entry NAME names no upstream. */
static void forget_ignored_entry(struct catalog *c, const char *name)
{
	gpointer cookie = g_hash_table_lookup(c->ignored, name);

	if (!cookie)
		return;
	count_ignored(c, GPOINTER_TO_UINT(cookie), -1);
	g_hash_table_remove(c->ignored, name);
}

static void remember_ignored_entry(struct catalog *c, const char *name,
				   uint32_t cookie)
{
	forget_ignored_entry(c, name);
	if (g_hash_table_size(c->ignored) >= IGNORED_ENTRIES_MAX)
		return;
	g_hash_table_insert(c->ignored, g_strdup(name),
			    GUINT_TO_POINTER(cookie));
	count_ignored(c, cookie, 1);
}

bool names_upstream(const struct catalog *c, const struct upstream_report *r,
		    uint64_t now_ms)
{
	const struct catalog_service *sv = find_service(c, r->service);
	upstream_index_t nr = find_upstream_by_name(c, r->name);

	if (!sv || !may_have_flows(c, sv, now_ms))
		return false;
	if (is_configured(c, sv) || nr == CATALOG_NONE)
		return true;
	return !is_configured(
		c, get_service(c, upstream_by_index(c, nr)->service));
}

bool is_report_in_force(const struct catalog *c, const char *name,
			uint64_t revision)
{
	upstream_index_t nr = find_upstream_by_name(c, name);

	return nr != CATALOG_NONE && upstream_by_index(c, nr)->has_entry &&
	       upstream_by_index(c, nr)->revision == revision;
}

/*
 * Ends the entry of upstream NR, which was removed or OVERWRITTEN. False if it
 * had none.
 */
static bool end_upstream_entry(struct catalog *c, upstream_index_t nr,
			       bool overwritten, uint64_t now_ms)
{
	struct catalog_upstream *up = upstream_by_index(c, nr);
	bool had_entry = up->has_entry;

	up->disputed_at_ms = 0;
	up->has_entry = false;
	up->overwritten = overwritten && (had_entry || up->overwritten);
	if (overwritten)
		up->overwritten_ms = now_ms;
	if (had_entry)
		up->removed_at_ms = now_ms;
	resolve_cookie(c, up->cookie, now_ms);
	return had_entry;
}

upstream_index_t ignore_upstream_entry(struct catalog *c, const char *name,
				       uint64_t id, uint64_t now_ms)
{
	upstream_index_t nr = find_upstream_by_name(c, name);

	if (nr == CATALOG_NONE) {
		if (id)
			remember_ignored_entry(c, name, make_cookie(id));
		return nr;
	}
	return end_upstream_entry(c, nr, true, now_ms) ? nr : CATALOG_NONE;
}

bool is_contested(const struct catalog *c, upstream_index_t nr, uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(c, nr);

	if (!up)
		return false;
	if (up->next_of_cookie != CATALOG_NONE ||
	    g_hash_table_contains(c->ignored_nrs, GUINT_TO_POINTER(up->cookie)))
		return true;
	return up->overwritten_ms && now_ms - up->overwritten_ms < CONTESTED_MS;
}

/* True if the process restarted between the reports OLD and R. */
static bool is_new_start(const struct upstream_report *old,
			 const struct upstream_report *r)
{
	return old->started_at_ms && r->started_at_ms &&
	       old->started_at_ms != r->started_at_ms;
}

static bool is_same_place(const struct upstream_report *a,
			  const struct upstream_report *b)
{
	return same_endpoint(&a->address, &b->address) &&
	       !strcmp(a->service, b->service) && !strcmp(a->domain, b->domain);
}

/* True if R returns to the start and place that UP had before its report. */
static bool is_return(const struct catalog_upstream *up,
		      const struct upstream_report *r)
{
	return up->replaced.id &&
	       up->replaced.started_at_ms == r->started_at_ms &&
	       is_same_place(&up->replaced, r);
}

/* Keeps the report of UP that R replaces, unless R itself was replaced by it. */
static void keep_replaced_report(struct catalog_upstream *up,
				 const struct upstream_report *r)
{
	if (is_return(up, r))
		up->replaced.id = 0;
	else if (!is_same_place(&up->report, r))
		up->replaced = up->report;
}

upstream_index_t update_catalog_upstream(struct catalog *c,
					 const struct upstream_report *r,
					 uint64_t revision, uint64_t now_ms)
{
	service_index_t service = intern_service(c, r->service);
	domain_index_t domain = intern_domain(c, r->domain);
	upstream_index_t nr = find_upstream_by_name(c, r->name);
	struct catalog_upstream *up;

	if (service == CATALOG_NONE || domain == CATALOG_NONE)
		return CATALOG_NONE;
	if (nr == CATALOG_NONE)
		nr = add_upstream_entry(c, r, service);
	if (nr == CATALOG_NONE)
		return nr;
	up = upstream_by_index(c, nr);
	if (up->service != service) {
		remove_from_service(c, nr);
		add_to_service(c, nr, service);
	}
	if (is_new_start(&up->report, r))
		up->restart_count++;
	keep_replaced_report(up, r);
	up->report = *r;
	up->domain = domain;
	up->has_entry = true;
	up->overwritten = false;
	up->removed_at_ms = 0;
	up->disputed_at_ms = 0;
	up->revision = revision;
	up->reported_at_ms = now_ms;
	up->cold_until_ms = r->cold_left_ms ? now_ms + r->cold_left_ms : 0;
	forget_ignored_entry(c, r->name);
	resolve_cookie(c, up->cookie, now_ms);
	return nr;
}

upstream_index_t remove_catalog_upstream(struct catalog *c, const char *name,
					 uint64_t now_ms)
{
	upstream_index_t nr = find_upstream_by_name(c, name);

	forget_ignored_entry(c, name);
	return nr != CATALOG_NONE && end_upstream_entry(c, nr, false, now_ms)
		       ? nr
		       : CATALOG_NONE;
}

/* True if R is about another place than UP without a later start. */
static bool contradicts_report(const struct catalog_upstream *up,
			       const struct upstream_report *r)
{
	return r->started_at_ms <= up->report.started_at_ms &&
	       !is_same_place(r, &up->report) && !is_return(up, r);
}

bool dispute_upstream_report(struct catalog *c, const struct upstream_report *r,
			     uint64_t hold_ms, uint64_t now_ms)
{
	upstream_index_t nr = find_upstream_by_name(c, r->name);
	struct catalog_upstream *up = NULL;
	uint64_t since_ms;

	if (nr != CATALOG_NONE)
		up = upstream_by_index(c, nr);
	if (!up || !contradicts_report(up, r))
		return false;
	since_ms = up->disputed_at_ms ? up->disputed_at_ms : now_ms;
	if (now_ms - since_ms >= hold_ms)
		return false;
	end_upstream_entry(c, nr, true, now_ms);
	up->disputed_at_ms = since_ms;
	return true;
}

void list_settled_disputes(const struct catalog *c, uint64_t hold_ms,
			   uint64_t now_ms, GPtrArray *names)
{
	for (guint i = 0; i < c->upstreams->len; i++) {
		const struct catalog_upstream *up =
			upstream_by_index(c, (upstream_index_t)i);

		if (up && up->disputed_at_ms &&
		    now_ms - up->disputed_at_ms >= hold_ms)
			g_ptr_array_add(names, g_strdup(up->report.name));
	}
}

/* UP may have started without a report yet. */
static void assume_cold_start(const struct catalog *c,
			      struct catalog_upstream *up, uint64_t least_ms,
			      uint64_t now_ms)
{
	uint64_t cold_ms = get_service(c, up->service)->cold_ms;

	up->cold_until_ms =
		MAX(up->cold_until_ms, now_ms + MAX(cold_ms, least_ms));
}

void set_catalog_domain_out(struct catalog *c, const char *domain, bool out,
			    uint64_t assume_cold_ms, uint64_t now_ms)
{
	domain_index_t nr = intern_domain(c, domain);
	struct domain *d;

	if (nr == CATALOG_NONE)
		return;
	d = &g_array_index(c->domains, struct domain, nr);
	if (d->out && !out) {
		for (guint i = 0; i < c->upstreams->len; i++) {
			struct catalog_upstream *up =
				upstream_by_index(c, (upstream_index_t)i);

			if (up && up->domain == nr)
				assume_cold_start(c, up, assume_cold_ms,
						  now_ms);
		}
	}
	d->out = out;
}

static void forget_upstream(struct catalog *c, upstream_index_t nr,
			    uint64_t now_ms)
{
	struct catalog_upstream *up = upstream_by_index(c, nr);
	uint32_t cookie = up->cookie;

	remove_from_service(c, nr);
	unlink_from_cookie(c, nr);
	g_hash_table_remove(c->by_name, up->report.name);
	g_free(up);
	g_ptr_array_index(c->upstreams, nr) = NULL;
	c->lowest_free = MIN(c->lowest_free, nr);
	resolve_cookie(c, cookie, now_ms);
}

void set_catalog_flow_ttl(struct catalog *c, uint64_t flow_ttl_ms)
{
	c->flow_ttl_ms = flow_ttl_ms;
}

void expire_catalog(struct catalog *c, uint64_t now_ms)
{
	for (guint i = 0; i < c->upstreams->len; i++) {
		struct catalog_upstream *up =
			upstream_by_index(c, (upstream_index_t)i);

		if (!up)
			continue;
		if (up->overwritten &&
		    now_ms - up->removed_at_ms >= CONTESTED_MS) {
			up->overwritten = false;
			resolve_cookie(c, up->cookie, now_ms);
		}
		if ((up->removed_at_ms &&
		     now_ms - up->removed_at_ms > c->flow_ttl_ms) ||
		    !may_have_flows(c, get_service(c, up->service), now_ms))
			forget_upstream(c, (upstream_index_t)i, now_ms);
		else if (up->yields_since_ms)
			resolve_cookie(c, up->cookie, now_ms);
	}
}

bool is_lowest_priority(const struct catalog *c, const struct catalog_route *r,
			service_index_t service)
{
	const struct catalog_service *sv = get_service(c, service);

	return sv && r->priority >= sv->lowest_priority;
}

uint64_t catalog_version(const struct catalog *c)
{
	return c->version;
}

uint64_t catalog_flow_ttl_ms(const struct catalog *c)
{
	return c->flow_ttl_ms;
}

uint32_t catalog_idle_ms(const struct catalog *c)
{
	return c->idle_ms;
}

const struct catalog_route *find_catalog_route(const struct catalog *c,
					       uint32_t ip, uint16_t port)
{
	guint low = 0;
	guint high = c->routes ? c->routes->len : 0;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		const struct catalog_route *r =
			&g_array_index(c->routes, struct catalog_route, mid);
		int order = compare_address(r->ip, r->port, ip, port);

		if (!order)
			return r;
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

size_t catalog_route_count(const struct catalog *c)
{
	return c->routes ? c->routes->len : 0;
}

upstream_index_t find_upstream_by_cookie(const struct catalog *c,
					 uint32_t cookie)
{
	return first_of_cookie(c, cookie);
}

const struct catalog_upstream *get_upstream(const struct catalog *c,
					    upstream_index_t nr)
{
	return nr < c->upstreams->len ? upstream_by_index(c, nr) : NULL;
}

size_t catalog_upstream_count(const struct catalog *c)
{
	return c->upstreams->len;
}

const struct catalog_service *get_service(const struct catalog *c,
					  service_index_t nr)
{
	return nr < c->services->len ? g_ptr_array_index(c->services, nr)
				     : NULL;
}

size_t catalog_service_count(const struct catalog *c)
{
	return c->services->len;
}

size_t catalog_domain_count(const struct catalog *c)
{
	return c->domains->len;
}

const char *domain_name(const struct catalog *c, domain_index_t nr)
{
	return g_array_index(c->domains, struct domain, nr).name;
}

bool is_catalog_domain_out(const struct catalog *c, domain_index_t nr)
{
	return g_array_index(c->domains, struct domain, nr).out;
}

bool accepts_flows(const struct catalog *c, upstream_index_t nr)
{
	const struct catalog_upstream *up = get_upstream(c, nr);

	return up && up->listed && !up->report.draining &&
	       !is_catalog_domain_out(c, up->domain);
}

bool is_cold_upstream(const struct catalog *c, upstream_index_t nr,
		      uint64_t now_ms)
{
	const struct catalog_upstream *up = get_upstream(c, nr);

	return up && now_ms < up->cold_until_ms;
}
