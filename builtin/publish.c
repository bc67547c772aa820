/* baobabvalve publish: puts service files in force everywhere. */

#include "builtin/builtin.h"

#include <stdio.h>
#include <time.h>

#include "builtin/session.h"
#include "config/carry.h"
#include "net/files.h"
#include "store/keys.h"

/*
 * The snapshot in force, NULL if there is none, and the revision of its
 * record; false if it cannot be read.
 */
static bool read_current(struct session *s, struct snapshot **current,
			 uint64_t *revision)
{
	const struct store_answer *a = wait_range(s, KEY_CONFIG, false);
	struct status st;

	*current = NULL;
	*revision = 0;
	if (a->status.kind != STATUS_OK) {
		fprintf(stderr, "%s\n", a->status.message);
		return false;
	}
	if (!a->entry_nr)
		return true;
	*current = decode_snapshot(a->entries[0].value, a->entries[0].len, &st);
	if (!*current) {
		fprintf(stderr, "%s\n", st.message);
		return false;
	}
	*revision = a->entries[0].mod_revision;
	return true;
}

/* Whether the record in the store is the one called PUBLISH_ID. */
static bool is_published(struct session *s, const char *publish_id)
{
	const struct store_answer *a = wait_range(s, KEY_CONFIG, false);
	struct snapshot *sn = NULL;
	bool ours;

	if (a->status.kind == STATUS_OK && a->entry_nr)
		sn = decode_snapshot(a->entries[0].value, a->entries[0].len,
				     NULL);
	ours = sn && !g_strcmp0(snapshot_publish_id(sn), publish_id);
	unref_snapshot(sn);
	return ours;
}

static int commit(struct session *s, const struct snapshot *sn,
		  uint64_t revision)
{
	struct store_compare cmp = { KEY_CONFIG, revision };
	struct store_op op = { .kind = STORE_PUT, .key = KEY_CONFIG };
	struct store_txn txn = { &cmp, 1, &op, 1 };
	const struct store_answer *a;
	struct wire_writer w;
	bool done;

	init_wire_writer(&w);
	encode_snapshot(&w, sn);
	op.value = w.buf.data;
	op.len = w.buf.size;
	a = wait_commit(s, &txn);
	done = a->status.kind == STATUS_OK
		       ? a->succeeded
		       : is_published(s, snapshot_publish_id(sn));
	release_wire_writer(&w);
	if (done)
		printf("epoch %llu published\n",
		       (unsigned long long)snapshot_epoch(sn));
	else
		fprintf(stderr, "not published: the configuration was "
				"changed by someone else; look and try "
				"again\n");
	return done ? 0 : EXIT_REFUSED;
}

static int publish(struct session *s, const char *const *paths, size_t nr)
{
	char *id = g_uuid_string_random();
	struct problems *ps = create_problems();
	struct snapshot *current = NULL;
	struct snapshot *sn = NULL;
	uint64_t epoch;
	uint64_t revision;
	int code = EXIT_REFUSED;

	if (read_current(s, &current, &revision)) {
		epoch = current ? snapshot_epoch(current) : 0;
		sn = load_services(paths, nr, epoch + 1, id, ps);
		if (sn) {
			sn = carry_snapshot(current, sn, (uint64_t)time(NULL));
			code = commit(s, sn, revision);
		} else
			print_problems(ps);
	}
	unref_snapshot(sn);
	unref_snapshot(current);
	destroy_problems(ps);
	g_free(id);
	return code;
}

int cmd_publish(int argc, char **argv)
{
	char *store = NULL;
	GOptionEntry entries[] = { { "store", 0, 0, G_OPTION_ARG_STRING, &store,
				     "Endpoints of the platform's store",
				     "ADDRESS:PORT[,...]" },
				   G_OPTION_ENTRY_NULL };
	struct session *s;
	int code = EXIT_USAGE;

	argc = parse_command(argc, argv, entries, "FILE|DIR...",
			     "Checks service files and puts them in force.");
	s = argc < 2 ? NULL : create_session(store);
	if (s)
		code = publish(s, (const char *const *)argv + 1,
			       (size_t)argc - 1);
	destroy_session(s);
	g_free(store);
	return code;
}
