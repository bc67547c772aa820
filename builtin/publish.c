/* baobabvalve publish: puts service files in force on all instances. */

#include "builtin/builtin.h"

#include <stdio.h>
#include <string.h>

#include "builtin/instances.h"
#include "builtin/session.h"
#include "config/publish.h"
#include "net/files.h"

struct publish_options {
	struct change_options common;
	char **removed;
	gint64 base_epoch;
	gboolean only;
	gboolean allow_removal;
};

static void step_change(void *change, const struct store_answer *a,
			struct change_action *out)
{
	step_publish(change, a, out);
}

/* The highest epoch that the instances in LIST report; false on a bad LIST. */
static bool query_highest_epoch(const char *list, uint64_t *highest)
{
	char **addresses = split_instance_list(list);
	GArray *answers = query_instances((const char *const *)addresses,
					  g_strv_length(addresses));

	*highest = 0;
	for (guint i = 0; answers && i < answers->len; i++) {
		const struct instance_answer *ia =
			&g_array_index(answers, struct instance_answer, i);
		const json_t *epoch = json_object_get(ia->status, "epoch");

		if (!ia->status)
			fprintf(stderr, "%s: no answer\n", ia->address);
		*highest = MAX(*highest, (uint64_t)json_integer_value(epoch));
	}
	free_instance_answers(answers);
	g_strfreev(addresses);
	return answers;
}

/* The epoch that instances are to apply. */
struct awaited_epoch {
	uint64_t epoch;
	const char *id; /* NULL: any publish of that epoch */
};

static bool has_applied_epoch(const json_t *status, const void *data)
{
	const struct awaited_epoch *w = data;
	const json_t *epoch = json_object_get(status, "epoch");
	const char *id =
		json_string_value(json_object_get(status, "publish-id"));
	uint64_t applied_epoch = (uint64_t)json_integer_value(epoch);

	if (applied_epoch != w->epoch)
		return applied_epoch > w->epoch;
	return !w->id || (id && !strcmp(id, w->id));
}

static int report_publish(const struct publish_options *o,
			  const struct publish *p, const char *id)
{
	const struct status *st = publish_status(p);
	struct awaited_epoch w = { publish_epoch(p),
				   publish_committed(p) ? id : NULL };

	print_result(o->common.json, st, publish_problems(p), w.epoch, id);
	if (st->kind == STATUS_OK && publish_committed(p) && !o->common.json)
		printf("changed: %s\n", publish_subject(p));
	if (st->kind == STATUS_OK && o->common.wait &&
	    !wait_for_instances(o->common.instances, o->common.timeout_ms,
				has_applied_epoch, &w))
		return EXIT_REFUSED;
	return find_status_row(st->kind)->exit_code;
}

static int run_publish(const struct publish_options *o, struct session *s,
		       const struct publish_change *change)
{
	char *id = g_uuid_string_random();
	struct publish_intent in = { .change = *change, .id = id };
	struct publish *p;
	int code = EXIT_REFUSED;

	in.who = operator_name(o->common.who);
	in.why = o->common.why ? o->common.why : "";
	in.when_ms = (uint64_t)(g_get_real_time() / 1000);
	in.base_epoch = (uint64_t)o->base_epoch;
	in.allow_removal = o->allow_removal;
	if (!o->common.instances ||
	    query_highest_epoch(o->common.instances, &in.known_epoch)) {
		p = create_publish(&in, g_random_int());
		run_change(s, step_change, p);
		code = report_publish(o, p, id);
		destroy_publish(p);
	}
	g_free(id);
	return code;
}

static struct service **list_services(const struct snapshot *sn)
{
	size_t nr = snapshot_service_count(sn);
	struct service **list = g_new0(struct service *, nr + 1);

	for (size_t i = 0; i < nr; i++)
		list[i] = (struct service *)snapshot_service(sn, i);
	return list;
}

static int publish(const struct publish_options *o, struct session *s,
		   const char *const *paths, size_t nr)
{
	struct problems *ps = create_problems();
	struct snapshot *sn = load_services(paths, nr, 0, "", ps);
	struct publish_change change = { .only = o->only };
	struct service **services;
	struct status st;
	int code = EXIT_REFUSED;

	if (sn) {
		services = list_services(sn);
		change.services = services;
		change.service_nr = snapshot_service_count(sn);
		change.removed = (const char *const *)o->removed;
		change.removed_nr = o->removed ? g_strv_length(o->removed) : 0;
		code = run_publish(o, s, &change);
		g_free(services);
	} else {
		set_status(&st, STATUS_INVALID, "nothing published");
		print_result(o->common.json, &st, ps, 0, "");
	}
	unref_snapshot(sn);
	destroy_problems(ps);
	return code;
}

static int check_options(struct publish_options *o, int argc)
{
	if (argc < 2 && !(o->only && o->removed))
		return usage_error("publish", "no file or directory given");
	if (o->removed && !o->only)
		return usage_error("publish", "--remove needs --only");
	if (o->base_epoch < 0)
		return usage_error("publish", "--base-epoch must be 1 or more");
	return check_change_options(&o->common, "publish");
}

static void free_options(struct publish_options *o)
{
	free_change_options(&o->common);
	g_strfreev(o->removed);
}

int cmd_publish(int argc, char **argv)
{
	struct publish_options o = { .common = { .store = NULL } };
	GOptionEntry entries[] = {
		OPTION_STORE(&o.common.store),
		{ "only", 0, 0, G_OPTION_ARG_NONE, &o.only,
		  "Leave services that are not in the files unchanged", NULL },
		{ "remove", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o.removed,
		  "With --only: remove this service (may be repeated)",
		  "SERVICE" },
		{ "allow-removal", 0, 0, G_OPTION_ARG_NONE, &o.allow_removal,
		  "Allow removing most upstreams of a service", NULL },
		{ "base-epoch", 0, 0, G_OPTION_ARG_INT64, &o.base_epoch,
		  "Refuse unless this epoch is in force", "EPOCH" },
		OPTION_WHY(&o.common.why),
		OPTION_WHO(&o.common.who),
		OPTION_INSTANCES(&o.common.instances),
		OPTION_WAIT(&o.common.wait),
		OPTION_TIMEOUT(&o.common.timeout),
		OPTION_FORMAT(&o.common.format),
		G_OPTION_ENTRY_NULL
	};
	struct session *s = NULL;
	int code = EXIT_USAGE;

	argc = parse_command(argc, argv, entries, "FILE|DIR...",
			     "Checks service files and puts them in force.");
	if (argc && !check_options(&o, argc))
		s = create_session(o.common.store);
	if (s)
		code = publish(&o, s, (const char *const *)argv + 1,
			       (size_t)argc - 1);
	destroy_session(s);
	free_options(&o);
	return code;
}
