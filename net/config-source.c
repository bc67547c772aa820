#include "net/config-source.h"

#include <glib.h>

#include "config/follow.h"
#include "fleet/store-reader.h"
#include "net/files.h"
#include "net/log.h"
#include "store/store.h"

struct config_source {
	uv_loop_t *loop;
	uv_timer_t tick_timer;
	const struct settings *settings;
	const struct view *view;
	struct counters *counters;
	struct config_sink sink;
	struct store *store;	       /* NULL: reads a local directory */
	struct store_follower *follow; /* NULL: reads a local directory */
	struct store_watch *watch;
	uint64_t corrupt_counted; /* corrupt values added to the counter */
	bool reads_store;
	uint64_t local_epoch;  /* of the local directory's snapshot */
	uint64_t local_digest; /* of that snapshot */
};

static void step_source(struct config_source *src,
			const struct follow_event *ev);

static void on_store_answer(const struct store_answer *a, void *data)
{
	struct follow_event ev = { .kind = FOLLOW_ANSWER, .answer = a };

	step_source(data, &ev);
}

static void on_watch_answer(const struct store_answer *a, void *data)
{
	struct follow_event ev = { .kind = FOLLOW_WATCH_ANSWER, .answer = a };
	struct config_source *src = data;

	if (a->status.kind != STATUS_OK)
		src->watch = NULL;
	step_source(src, &ev);
}

static void stop_watch(struct config_source *src)
{
	if (src->watch)
		cancel_store_watch(src->watch);
	src->watch = NULL;
}

static void execute_action(struct config_source *src,
			   const struct follow_action *a)
{
	switch (a->kind) {
	case FOLLOW_READ_RANGE:
		query_store_range(src->store, &a->range, on_store_answer, src);
		break;
	case FOLLOW_COMMIT_TXN:
		commit_store_txn(src->store, &a->txn, on_store_answer, src);
		break;
	case FOLLOW_WATCH:
		stop_watch(src);
		src->watch = watch_store(src->store, &a->range, a->revision,
					 on_watch_answer, src);
		break;
	case FOLLOW_STOP_WATCH:
		stop_watch(src);
		break;
	case FOLLOW_SNAPSHOT_READ:
		src->sink.on_snapshot(a->snapshot, src->sink.data);
		break;
	case FOLLOW_DOMAIN_READ:
		src->sink.on_domain(&a->domain, src->sink.data);
		break;
	}
}

static void step_source(struct config_source *src,
			const struct follow_event *ev)
{
	struct follow_actions as;

	step_store_follower(src->follow, ev, uv_now(src->loop), &as);
	count_n(src->counters, COUNT_CONFIG_CORRUPT,
		follow_corrupt_count(src->follow) - src->corrupt_counted);
	src->corrupt_counted = follow_corrupt_count(src->follow);
	for (size_t i = 0; i < as.nr; i++)
		execute_action(src, &as.at[i]);
}

static void on_tick(uv_timer_t *timer)
{
	struct config_source *src = timer->data;
	struct follow_event role = { .kind = FOLLOW_ROLE_CHANGED };
	struct follow_event tick = { .kind = FOLLOW_TICK };

	src->reads_store = is_store_reader(src->view);
	role.is_store_reader = src->reads_store;
	step_source(src, &role);
	step_source(src, &tick);
}

/* Applies the local directory's service files if they are valid. */
static bool load_local_directory(struct config_source *src)
{
	struct problems *ps = create_problems();
	const char *path = src->settings->directory;
	struct snapshot *sn =
		load_services(&path, 1, src->local_epoch + 1, "local", ps);

	for (size_t i = 0; problem_at(ps, i); i++)
		log_warning("%s", problem_at(ps, i));
	destroy_problems(ps);
	if (!sn)
		return false;
	if (!src->local_epoch || snapshot_digest(sn) != src->local_digest) {
		src->local_epoch++;
		src->local_digest = snapshot_digest(sn);
		src->sink.on_snapshot(sn, src->sink.data);
	}
	unref_snapshot(sn);
	return true;
}

void reload_config_source(struct config_source *src)
{
	if (src->store)
		return;
	if (load_local_directory(src))
		log_info("%s: reloaded", src->settings->directory);
	else
		log_warning("%s: not reloaded; epoch %llu remains in force",
			    src->settings->directory,
			    (unsigned long long)src->local_epoch);
}

static void follow_store(struct config_source *src)
{
	uint32_t seed =
		(uint32_t)(uv_hrtime() ^ service_id(src->settings->name));

	src->store = create_etcd_store(src->loop, &src->settings->store,
				       src->counters);
	src->follow = create_store_follower(seed);
	uv_timer_start(&src->tick_timer, on_tick, 0, FOLLOW_TICK_MS);
}

struct config_source *create_config_source(uv_loop_t *loop,
					   const struct settings *settings,
					   const struct view *view,
					   struct counters *counters,
					   const struct config_sink *sink)
{
	struct config_source *src = g_new0(struct config_source, 1);

	src->loop = loop;
	src->settings = settings;
	src->view = view;
	src->counters = counters;
	src->sink = *sink;
	uv_timer_init(loop, &src->tick_timer);
	src->tick_timer.data = src;
	if (settings->store.nr) {
		follow_store(src);
	} else if (!load_local_directory(src)) {
		destroy_config_source(src);
		return NULL;
	}
	return src;
}

static void free_source(uv_handle_t *timer)
{
	g_free(timer->data);
}

void destroy_config_source(struct config_source *src)
{
	if (!src)
		return;
	stop_watch(src);
	destroy_store(src->store);
	destroy_store_follower(src->follow);
	uv_timer_stop(&src->tick_timer);
	uv_close((uv_handle_t *)&src->tick_timer, free_source);
}

void note_config_snapshot(struct config_source *src, const struct snapshot *sn)
{
	struct follow_event ev = { .kind = FOLLOW_SNAPSHOT_IN_FORCE,
				   .snapshot = sn };

	if (src->follow)
		step_source(src, &ev);
}

void note_config_domain(struct config_source *src,
			const struct domain_record *rec)
{
	struct follow_event ev = { .kind = FOLLOW_DOMAIN_IN_FORCE,
				   .domain = rec };

	if (src->follow)
		step_source(src, &ev);
}

uint64_t config_store_age_ms(const struct config_source *src)
{
	uint64_t last_answer_ms =
		src->follow ? follow_last_answer_ms(src->follow) : 0;

	return last_answer_ms ? uv_now(src->loop) - last_answer_ms : UINT64_MAX;
}

bool config_is_store_reader(const struct config_source *src)
{
	return src->follow && src->reads_store;
}
