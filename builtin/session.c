#include "builtin/session.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "store/etcd-json.h"

#define EXTRA_READ_TRIES 2 /* beyond one per endpoint */

struct session {
	uv_loop_t loop;
	uv_timer_t timer;
	struct counters counters;
	struct store *store;
	size_t endpoint_nr;
	struct store_answer answer; /* copy of the last answer */
	bool done;
};

bool parse_endpoints(const char *option, const char *text,
		     struct endpoint_list *l)
{
	char **parts = g_strsplit(text, ",", -1);
	struct status st = { .kind = STATUS_OK };

	l->nr = 0;
	for (char **p = parts; *p && st.kind == STATUS_OK; p++) {
		if (l->nr == SETTINGS_LIST_MAX)
			set_status(&st, STATUS_INVALID, "at most %d addresses",
				   SETTINGS_LIST_MAX);
		else
			st.kind = parse_endpoint(*p, &l->at[l->nr++], &st);
	}
	g_strfreev(parts);
	if (st.kind != STATUS_OK)
		fprintf(stderr, "%s: %s\n", option, st.message);
	return st.kind == STATUS_OK;
}

struct session *create_session(const char *endpoints)
{
	struct endpoint_list l;
	struct session *s;

	if (!endpoints) {
		fprintf(stderr, "--store=ADDRESS:PORT[,...] is missing: where "
				"the platform's store listens\n");
		return NULL;
	}
	if (!parse_endpoints("--store", endpoints, &l))
		return NULL;
	s = g_new0(struct session, 1);
	uv_loop_init(&s->loop);
	uv_timer_init(&s->loop, &s->timer);
	s->timer.data = s;
	s->endpoint_nr = l.nr;
	s->store = create_etcd_store(&s->loop, &l, &s->counters);
	return s;
}

void destroy_session(struct session *s)
{
	if (!s)
		return;
	destroy_store(s->store);
	uv_close((uv_handle_t *)&s->timer, NULL);
	uv_run(&s->loop, UV_RUN_DEFAULT);
	uv_loop_close(&s->loop);
	release_store_answer(&s->answer);
	g_free(s);
}

static void copy_answer(const struct store_answer *a, void *data)
{
	struct session *s = data;

	s->answer = *a;
	s->answer.entries = g_new0(struct store_entry, a->entry_nr + 1);
	for (size_t i = 0; i < a->entry_nr; i++) {
		s->answer.entries[i] = a->entries[i];
		s->answer.entries[i].key = g_strdup(a->entries[i].key);
		s->answer.entries[i].value =
			g_memdup2(a->entries[i].value, a->entries[i].len);
	}
	s->done = true;
}

static const struct store_answer *run_until_done(struct session *s)
{
	while (!s->done)
		uv_run(&s->loop, UV_RUN_ONCE);
	return &s->answer;
}

static void clear_answer(struct session *s)
{
	release_store_answer(&s->answer);
	s->done = false;
}

const struct store_answer *read_store_range(struct session *s,
					    const struct store_range *r)
{
	for (size_t i = 0; i < s->endpoint_nr + EXTRA_READ_TRIES; i++) {
		clear_answer(s);
		query_store_range(s->store, r, copy_answer, s);
		if (run_until_done(s)->status.kind == STATUS_OK)
			break;
	}
	return &s->answer;
}

static const struct store_answer *wait_commit(struct session *s,
					      const struct store_txn *txn)
{
	clear_answer(s);
	commit_store_txn(s->store, txn, copy_answer, s);
	return run_until_done(s);
}

static void on_timer(uv_timer_t *timer)
{
	struct session *s = timer->data;

	s->done = true;
}

static void wait_ms(struct session *s, uint32_t ms)
{
	clear_answer(s);
	uv_timer_start(&s->timer, on_timer, ms, 0);
	run_until_done(s);
}

void run_change(struct session *s, step_change_fn step, void *change)
{
	const struct store_answer *a = NULL;
	struct change_action act;

	for (;;) {
		step(change, a, &act);
		a = NULL;
		switch (act.kind) {
		case CHANGE_RANGE:
			a = read_store_range(s, &act.range);
			break;
		case CHANGE_COMMIT:
			a = wait_commit(s, &act.txn);
			break;
		case CHANGE_WAIT:
			wait_ms(s, act.wait_ms);
			break;
		case CHANGE_DONE:
			return;
		}
	}
}
