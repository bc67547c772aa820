#include "net/source.h"

#include <glib.h>

#include "config/follow.h"
#include "fleet/reader.h"
#include "net/files.h"
#include "net/log.h"
#include "store/store.h"

struct source {
	uv_loop_t *loop;
	uv_timer_t timer;
	const struct settings *settings;
	const struct view *view;
	struct counters *counters;
	struct source_sink sink;
	struct store *store;   /* NULL: a local directory */
	struct follow *follow; /* NULL: a local directory */
	struct store_watch *watch;
	uint64_t corrupt; /* values counted so far */
	bool reader;
	uint64_t epoch;	 /* of the local directory's snapshot */
	uint64_t digest; /* of the same */
};

static void step(struct source *src, const struct follow_event *ev);

static void on_answer(const struct store_answer *a, void *data)
{
	struct follow_event ev = { .kind = FOLLOW_ANSWER, .answer = a };

	step(data, &ev);
}

static void on_watched(const struct store_answer *a, void *data)
{
	struct follow_event ev = { .kind = FOLLOW_WATCHED, .answer = a };
	struct source *src = data;

	if (a->status.kind != STATUS_OK)
		src->watch = NULL;
	step(src, &ev);
}

static void stop_watch(struct source *src)
{
	if (src->watch)
		cancel_store_watch(src->watch);
	src->watch = NULL;
}

static void carry_out(struct source *src, const struct follow_action *a)
{
	switch (a->kind) {
	case FOLLOW_RANGE:
		range_store(src->store, &a->range, on_answer, src);
		break;
	case FOLLOW_COMMIT:
		commit_store(src->store, &a->txn, on_answer, src);
		break;
	case FOLLOW_WATCH:
		stop_watch(src);
		src->watch = watch_store(src->store, &a->range, a->revision,
					 on_watched, src);
		break;
	case FOLLOW_STOP_WATCH:
		stop_watch(src);
		break;
	case FOLLOW_SNAPSHOT:
		src->sink.on_snapshot(a->snapshot, src->sink.data);
		break;
	case FOLLOW_DOMAIN:
		src->sink.on_domain(&a->domain, src->sink.data);
		break;
	}
}

static void step(struct source *src, const struct follow_event *ev)
{
	struct follow_actions as;

	step_follow(src->follow, ev, uv_now(src->loop), &as);
	count_n(src->counters, COUNT_CONFIG_CORRUPT,
		follow_corrupt_nr(src->follow) - src->corrupt);
	src->corrupt = follow_corrupt_nr(src->follow);
	for (size_t i = 0; i < as.nr; i++)
		carry_out(src, &as.at[i]);
}

static void on_timer(uv_timer_t *timer)
{
	struct source *src = timer->data;
	struct follow_event role = { .kind = FOLLOW_ROLE };
	struct follow_event tick = { .kind = FOLLOW_TICK };

	src->reader = is_reader(src->view);
	role.reader = src->reader;
	step(src, &role);
	step(src, &tick);
}

/* Puts the local directory's service files in force, if they are right. */
static bool load_local(struct source *src)
{
	struct problems *ps = create_problems();
	const char *path = src->settings->directory;
	struct snapshot *sn =
		load_services(&path, 1, src->epoch + 1, "local", ps);

	for (size_t i = 0; problem_at(ps, i); i++)
		log_problem("%s", problem_at(ps, i));
	destroy_problems(ps);
	if (!sn)
		return false;
	if (!src->epoch || snapshot_digest(sn) != src->digest) {
		src->epoch++;
		src->digest = snapshot_digest(sn);
		src->sink.on_snapshot(sn, src->sink.data);
	}
	unref_snapshot(sn);
	return true;
}

void reload_source(struct source *src)
{
	if (src->store)
		return;
	if (load_local(src))
		log_change("%s: read again", src->settings->directory);
	else
		log_problem("%s: not taken; epoch %llu stays in force",
			    src->settings->directory,
			    (unsigned long long)src->epoch);
}

static void follow_store(struct source *src)
{
	uint32_t seed =
		(uint32_t)(uv_hrtime() ^ service_id(src->settings->name));

	src->store = create_etcd_store(src->loop, &src->settings->store,
				       src->counters);
	src->follow = create_follow(seed);
	uv_timer_start(&src->timer, on_timer, 0, FOLLOW_TICK_MS);
}

struct source *create_source(uv_loop_t *loop, const struct settings *settings,
			     const struct view *view, struct counters *counters,
			     const struct source_sink *sink)
{
	struct source *src = g_new0(struct source, 1);

	src->loop = loop;
	src->settings = settings;
	src->view = view;
	src->counters = counters;
	src->sink = *sink;
	uv_timer_init(loop, &src->timer);
	src->timer.data = src;
	if (settings->store.nr) {
		follow_store(src);
	} else if (!load_local(src)) {
		destroy_source(src);
		return NULL;
	}
	return src;
}

static void free_source(uv_handle_t *timer)
{
	g_free(timer->data);
}

void destroy_source(struct source *src)
{
	if (!src)
		return;
	stop_watch(src);
	destroy_store(src->store);
	destroy_follow(src->follow);
	uv_timer_stop(&src->timer);
	uv_close((uv_handle_t *)&src->timer, free_source);
}

void note_source_snapshot(struct source *src, const struct snapshot *sn)
{
	struct follow_event ev = { .kind = FOLLOW_IN_FORCE, .snapshot = sn };

	if (src->follow)
		step(src, &ev);
}

void note_source_domain(struct source *src, const struct domain_record *rec)
{
	struct follow_event ev = { .kind = FOLLOW_RECORD, .domain = rec };

	if (src->follow)
		step(src, &ev);
}

uint64_t source_contact_age_ms(const struct source *src)
{
	uint64_t at = src->follow ? follow_contact_ms(src->follow) : 0;

	return at ? uv_now(src->loop) - at : UINT64_MAX;
}

bool source_is_reader(const struct source *src)
{
	return src->follow && src->reader;
}
