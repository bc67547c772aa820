/* baobabvalve audit: lists accepted changes from the audit trail. */

#include "builtin/builtin.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/session.h"
#include "config/audit.h"
#include "config/keys.h"

#define PAGE_ENTRIES 1000 /* per store call */

struct audit_options {
	char *store;
	char *format;
	char *since;
	char *who;
	char *what;
	char *id;
	bool json;
	uint64_t since_ms; /* Unix time */
};

static bool matches_filters(const struct audit_options *o,
			    const struct audit_entry *e)
{
	const char *what = audit_what_name(e->what);

	if (e->when_ms < o->since_ms)
		return false;
	if (o->who && strcmp(o->who, e->who) != 0)
		return false;
	if (o->id && strcmp(o->id, e->id) != 0)
		return false;
	return !o->what || g_str_has_prefix(what, o->what);
}

/* Appends the matching entries of A to LIST; false if one is malformed. */
static bool add_entries(const struct audit_options *o,
			const struct store_answer *a, GArray *list)
{
	struct audit_entry e;

	for (size_t i = 0; i < a->entry_nr; i++) {
		if (!decode_audit(a->entries[i].value, a->entries[i].len, &e)) {
			fprintf(stderr, "%s is not an audit entry\n",
				a->entries[i].key);
			return false;
		}
		if (matches_filters(o, &e))
			g_array_append_val(list, e);
	}
	return true;
}

/* Reads the audit trail page by page. */
static bool read_trail(const struct audit_options *o, struct session *s,
		       GArray *list)
{
	char *from = g_strdup(KEY_AUDIT_PREFIX);
	bool ok = true;
	bool more = true;

	while (ok && more) {
		struct store_range r = { .key = from,
					 .end = KEY_AUDIT_END,
					 .limit = PAGE_ENTRIES };
		const struct store_answer *a = read_store_range(s, &r);

		ok = a->status.kind == STATUS_OK;
		if (!ok)
			fprintf(stderr, "%s\n", a->status.message);
		ok = ok && add_entries(o, a, list);
		more = a->entry_nr == PAGE_ENTRIES;
		g_free(from);
		from = more ? g_strconcat(a->entries[a->entry_nr - 1].key, "!",
					  NULL)
			    : NULL;
	}
	g_free(from);
	return ok;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const struct audit_entry *ea = a;
	const struct audit_entry *eb = b;

	return (ea->when_ms > eb->when_ms) - (ea->when_ms < eb->when_ms);
}

static char *format_time(uint64_t ms)
{
	GDateTime *t = g_date_time_new_from_unix_utc((gint64)(ms / 1000));
	char *text = t ? g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ") : NULL;

	if (t)
		g_date_time_unref(t);
	return text ? text : g_strdup("?");
}

static json_t *entry_json(const struct audit_entry *e)
{
	char *when = format_time(e->when_ms);
	json_t *j = json_pack(
		"{s:s, s:s, s:I, s:s, s:s, s:s, s:s, s:I, s:I}", "id", e->id,
		"when", when, "when-ms", (json_int_t)e->when_ms, "who", e->who,
		"what", audit_what_name(e->what), "subject", e->subject, "why",
		e->why, "old-epoch", (json_int_t)e->old_epoch, "new-epoch",
		(json_int_t)e->new_epoch);

	g_free(when);
	return j;
}

static void print_json(const GArray *list)
{
	json_t *j = json_array();
	char *text;

	for (guint i = 0; i < list->len; i++)
		json_array_append_new(j, entry_json(&g_array_index(
						 list, struct audit_entry, i)));
	text = json_dumps(j, JSON_INDENT(1));
	puts(text);
	free(text);
	json_decref(j);
}

static void print_text(const GArray *list)
{
	for (guint i = 0; i < list->len; i++) {
		const struct audit_entry *e =
			&g_array_index(list, struct audit_entry, i);
		char *when = format_time(e->when_ms);

		printf("%s  %s  %s %s  epoch %llu -> %llu\n    why: %s\n"
		       "    id: %s\n",
		       when, e->who, audit_what_name(e->what), e->subject,
		       (unsigned long long)e->old_epoch,
		       (unsigned long long)e->new_epoch, e->why, e->id);
		g_free(when);
	}
}

static int list_trail(const struct audit_options *o, struct session *s)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct audit_entry));
	bool ok = read_trail(o, s, list);

	g_array_sort(list, compare_times);
	if (ok && o->json)
		print_json(list);
	else if (ok)
		print_text(list);
	g_array_free(list, TRUE);
	return ok ? 0 : EXIT_REFUSED;
}

/* Parses --since: "2026-12-03T20:00:00Z", or "30m" for 30 minutes ago. */
static bool parse_since(struct audit_options *o)
{
	GTimeZone *utc;
	GDateTime *t;
	gint64 now = g_get_real_time() / 1000;
	char *end;
	guint64 n;

	if (!o->since)
		return true;
	n = g_ascii_strtoull(o->since, &end, 10);
	if (n && n < 1000000 &&
	    (!strcmp(end, "m") || !strcmp(end, "h") || !strcmp(end, "d"))) {
		n *= *end == 'm' ? 60 : *end == 'h' ? 3600 : 86400;
		o->since_ms = (uint64_t)now - MIN(n * 1000, (guint64)now);
		return true;
	}
	utc = g_time_zone_new_utc();
	t = g_date_time_new_from_iso8601(o->since, utc);
	g_time_zone_unref(utc);
	if (!t) {
		fprintf(stderr,
			"--since: '%s' is not a time; write for example "
			"2026-12-03T20:00:00Z, 30m, 12h or 7d\n",
			o->since);
		return false;
	}
	o->since_ms = (uint64_t)g_date_time_to_unix(t) * 1000;
	g_date_time_unref(t);
	return true;
}

static bool check_what(const char *what)
{
	if (!what || !strcmp(what, "publish") || !strcmp(what, "domain") ||
	    !strcmp(what, "domain-out") || !strcmp(what, "domain-back"))
		return true;
	fprintf(stderr,
		"--what: '%s' is not 'publish', 'domain', 'domain-out' or "
		"'domain-back'\n",
		what);
	return false;
}

static void free_options(struct audit_options *o)
{
	g_free(o->store);
	g_free(o->format);
	g_free(o->since);
	g_free(o->who);
	g_free(o->what);
	g_free(o->id);
}

int cmd_audit(int argc, char **argv)
{
	struct audit_options o = { .store = NULL };
	GOptionEntry entries[] = {
		OPTION_STORE(&o.store),
		{ "since", 0, 0, G_OPTION_ARG_STRING, &o.since,
		  "Only changes since then: a time, or an age such as 12h",
		  "TIME|AGE" },
		{ "who", 0, 0, G_OPTION_ARG_STRING, &o.who,
		  "Only changes by this operator", "NAME" },
		{ "what", 0, 0, G_OPTION_ARG_STRING, &o.what,
		  "Only 'publish', 'domain', 'domain-out' or 'domain-back'",
		  "KIND" },
		{ "id", 0, 0, G_OPTION_ARG_STRING, &o.id,
		  "Only the change with this id", "ID" },
		OPTION_FORMAT(&o.format),
		G_OPTION_ENTRY_NULL
	};
	struct session *s = NULL;
	int code = EXIT_USAGE;

	argc = parse_command(argc, argv, entries, "",
			     "Lists accepted changes, oldest first.");
	if (argc > 1)
		usage_error("audit", "takes no arguments");
	else if (argc && parse_format(o.format, &o.json) && parse_since(&o) &&
		 check_what(o.what))
		s = create_session(o.store);
	if (s)
		code = list_trail(&o, s);
	destroy_session(s);
	free_options(&o);
	return code;
}
