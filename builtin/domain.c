/* baobabvalve domain: takes failure domains out of service and back. */

#include "builtin/builtin.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "builtin/instances.h"
#include "builtin/session.h"
#include "config/domain-change.h"

struct domain_options {
	struct change_options common;
	gboolean force;
};

/* The record of domain NAME that instances are to apply. */
struct awaited_record {
	const char *name;
	uint64_t epoch;
};

static void step_change(void *change, const struct store_answer *a,
			struct change_action *out)
{
	step_domain_change(change, a, out);
}

/* The epoch of domain NAME's record in STATUS, or 0. */
static uint64_t domain_epoch(const json_t *status, const char *name)
{
	const json_t *rec;
	size_t i;

	json_array_foreach(json_object_get(status, "domains"), i, rec)
	{
		const char *domain =
			json_string_value(json_object_get(rec, "name"));

		if (domain && !strcmp(domain, name))
			return (uint64_t)json_integer_value(
				json_object_get(rec, "epoch"));
	}
	return 0;
}

static bool has_applied_record(const json_t *status, const void *data)
{
	const struct awaited_record *w = data;

	return domain_epoch(status, w->name) >= w->epoch;
}

static uint64_t query_highest_epoch(const char *list, const char *name)
{
	char **addresses = split_instance_list(list);
	GArray *answers = query_instances((const char *const *)addresses,
					  g_strv_length(addresses));
	uint64_t highest = 0;

	for (guint i = 0; answers && i < answers->len; i++) {
		const struct instance_answer *ia =
			&g_array_index(answers, struct instance_answer, i);

		highest = MAX(highest, domain_epoch(ia->status, name));
	}
	free_instance_answers(answers);
	g_strfreev(addresses);
	return highest;
}

static int report_change(const struct domain_options *o,
			 struct domain_change *dc, const char *name,
			 const char *id)
{
	const struct status *st = domain_change_status(dc);
	struct awaited_record w = { name, domain_change_epoch(dc) };

	print_result(o->common.json, st, NULL, w.epoch, id);
	if (st->kind == STATUS_OK && o->common.wait &&
	    !wait_for_instances(o->common.instances, o->common.timeout_ms,
				has_applied_record, &w))
		return EXIT_REFUSED;
	return find_status_row(st->kind)->exit_code;
}

static int change_domain(const struct domain_options *o, struct session *s,
			 const char *name, bool out)
{
	char *id = g_uuid_string_random();
	struct domain_intent in = { .out = out, .force = o->force, .id = id };
	struct domain_change *dc;
	int code;

	g_strlcpy(in.name, name, sizeof(in.name));
	in.who = operator_name(o->common.who);
	in.why = o->common.why;
	in.when_ms = (uint64_t)(g_get_real_time() / 1000);
	in.known_epoch =
		o->common.instances
			? query_highest_epoch(o->common.instances, name)
			: 0;
	dc = create_domain_change(&in, g_random_int());
	run_change(s, step_change, dc);
	code = report_change(o, dc, in.name, id);
	destroy_domain_change(dc);
	g_free(id);
	return code;
}

static json_t *domain_json(const char *name, const struct domain_record *rec)
{
	return json_pack("{s:s, s:b, s:I}", "name", name, "out",
			 rec && rec->out, "epoch",
			 (json_int_t)(rec ? rec->epoch : 0));
}

/* Domains of the configuration, then domains that only have a record. */
static json_t *domains_json(const struct store_head *h)
{
	json_t *list = json_array();

	for (size_t i = 0; h->pointer && i < h->pointer->domain_nr; i++) {
		const char *name = h->pointer->domains[i];

		json_array_append_new(
			list,
			domain_json(name, find_domain(&h->domains, name)));
	}
	for (size_t i = 0; i < h->domains.nr; i++) {
		const struct domain_record *rec = &h->domains.at[i];

		if (!h->pointer || !pointer_has_domain(h->pointer, rec->name))
			json_array_append_new(list,
					      domain_json(rec->name, rec));
	}
	return list;
}

static void print_domains(const json_t *list, bool json)
{
	const json_t *j;
	size_t i;
	char *text;

	if (json) {
		text = json_dumps(list, JSON_INDENT(1));
		puts(text);
		free(text);
		return;
	}
	json_array_foreach(list, i, j)
		printf("%-40s %-4s epoch %" JSON_INTEGER_FORMAT "\n",
		       json_string_value(json_object_get(j, "name")),
		       json_is_true(json_object_get(j, "out")) ? "out" : "in",
		       json_integer_value(json_object_get(j, "epoch")));
}

static int list_domains(const struct domain_options *o, struct session *s)
{
	struct store_range r = store_head_range();
	const struct store_answer *a = read_store_range(s, &r);
	struct status st = a->status;
	struct store_head h = { .pointer = NULL };
	json_t *list;

	if (st.kind == STATUS_OK)
		st.kind = decode_store_head(&h, a, &st);
	if (st.kind == STATUS_OK) {
		list = domains_json(&h);
		print_domains(list, o->common.json);
		json_decref(list);
	} else {
		print_result(o->common.json, &st, NULL, 0, "");
	}
	release_store_head(&h);
	return find_status_row(st.kind)->exit_code;
}

static int check_options(struct domain_options *o, int argc, char **argv)
{
	bool list = argc >= 2 && !strcmp(argv[1], "list");

	if (argc < 2 || (!list && strcmp(argv[1], "out") != 0 &&
			 strcmp(argv[1], "back") != 0))
		return usage_error("domain", "expected out, back or list");
	if (argc != (list ? 2 : 3))
		return usage_error(
			"domain",
			list ? "list takes no name"
			     : "expected the name of one failure domain");
	if (!list && !valid_name(argv[2]))
		return usage_error("domain",
				   "a domain's name is 1 to 39 of a-z, 0-9 "
				   "and '-', starting with a letter");
	if (!list && (!o->common.why || !*o->common.why))
		return usage_error("domain",
				   "--why=TEXT is missing: a reason for the "
				   "audit trail");
	return check_change_options(&o->common, "domain");
}

int cmd_domain(int argc, char **argv)
{
	struct domain_options o = { .common = { .store = NULL } };
	GOptionEntry entries[] = {
		OPTION_STORE(&o.common.store),
		OPTION_WHY(&o.common.why),
		OPTION_WHO(&o.common.who),
		{ "force", 0, 0, G_OPTION_ARG_NONE, &o.force,
		  "Allow the last domain in service, or an unknown one", NULL },
		OPTION_INSTANCES(&o.common.instances),
		OPTION_WAIT(&o.common.wait),
		OPTION_TIMEOUT(&o.common.timeout),
		OPTION_FORMAT(&o.common.format),
		G_OPTION_ENTRY_NULL
	};
	struct session *s = NULL;
	int code = EXIT_USAGE;

	argc = parse_command(argc, argv, entries, "out|back|list [NAME]",
			     "Takes failure domains out of service and back.");
	if (argc && !check_options(&o, argc, argv))
		s = create_session(o.common.store);
	if (s && argc == 2)
		code = list_domains(&o, s);
	else if (s)
		code = change_domain(&o, s, argv[2], !strcmp(argv[1], "out"));
	destroy_session(s);
	free_change_options(&o.common);
	return code;
}
