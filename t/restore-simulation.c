#include "t/restore-simulation.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "config/mirror.h"
#include "config/restored-records.h"
#include "fleet/start-check.h"

#define INSTANCES_MAX 300
#define STEP_MS 400
#define WAIT_MS 2500
#define OPERATOR_MS 12000
#define LAPSE_MS 6000
#define DELIVERY_MS 2000
#define REWRITE_MS 2000 /* upstreams write again, or lapse, within this */
#define KEYS 3

enum key { KEY_CONFIG, KEY_OUT, KEY_UPSTREAM };

static const char *const key_names[KEYS] = { "op/config", "op/out",
					     "servers/u" };

/* A value in the store; the fields that do not belong to its key are 0. */
struct value {
	uint64_t version;  /* of the configuration; counts evacuations */
	uint64_t born;	   /* of the upstream */
	uint64_t count;	   /* its writings */
	uint64_t draining; /* 0 or 1 */
};

struct item {
	bool present;
	uint64_t revision;
	struct value value;
};

struct change {
	uint64_t revision;
	enum key key;
	bool removed;
	struct value value;
};

struct content {
	struct item items[KEYS];
	uint64_t revision;
	GArray *history; /* of struct change */
};

/* What an owner has written last. */
struct truth {
	bool present;
	struct value value;
	bool lost;	  /* the store does not have it since a restore */
	uint64_t lost_ms; /* when it was lost last */
};

/* An update under way, with copies of its entries. */
struct sent_update {
	struct mirror_update update;
	GArray *entries; /* of struct store_entry */
	GPtrArray *memory;
};

struct instance {
	struct mirror *mirror;
	struct restored_records *records;
	GQueue incoming; /* of struct sent_update */
	GQueue kept;	 /* of struct sent_update */
	uint64_t watch_revision;
	uint64_t watch_era;
	bool watching;
	bool starting; /* places no flows yet, see fleet/start-check.h */
	/* in force */
	uint64_t version;
	bool out;
	bool listed;
	struct value upstream;
	bool was_gone; /* knew that this start of the upstream left */
	uint64_t gone_born;
	bool was_draining; /* knew that this start of it drains */
	uint64_t draining_born;
	uint64_t out_version; /* last evacuation that it knew */
};

struct restore_sim {
	struct content store;
	struct content copy;
	bool has_copy;
	uint64_t era;
	unsigned int restores;
	uint64_t now_ms;
	uint64_t watch_ms;   /* last answer of the reader's watch */
	uint64_t updates_ms; /* last delivery of updates */
	struct truth truth[KEYS];
	struct instance instances[INSTANCES_MAX];
	unsigned int instance_nr;
	bool believe_copy;
	unsigned int reads;
	char violation[128];
};

static void violate(struct restore_sim *sim, const struct instance *in,
		    const char *what)
{
	if (!sim->violation[0])
		g_snprintf(sim->violation, sizeof(sim->violation),
			   "instance %d: %s", (int)(in - sim->instances), what);
}

static void copy_content(struct content *to, const struct content *from)
{
	if (to->history)
		g_array_free(to->history, TRUE);
	*to = *from;
	to->history = g_array_copy(from->history);
}

static enum key find_key(const char *name)
{
	for (int k = 0; k < KEYS; k++)
		if (!strcmp(name, key_names[k]))
			return (enum key)k;
	g_assert_not_reached();
}

/* The owner of KEY writes or removes it; the store has it at once. */
static void write_key(struct restore_sim *sim, enum key key, bool present,
		      struct value value)
{
	struct change ch = { ++sim->store.revision, key, !present, value };
	struct truth *t = &sim->truth[key];

	sim->store.items[key] =
		(struct item){ present, sim->store.revision, value };
	g_array_append_val(sim->store.history, ch);
	t->present = present;
	t->value = value;
	t->lost = false;
}

static struct store_entry make_store_entry(const struct change *ch,
					   GPtrArray *memory)
{
	struct store_entry e = { .mod_revision = ch->revision,
				 .deleted = ch->removed };

	e.key = g_strdup(key_names[ch->key]);
	g_ptr_array_add(memory, e.key);
	if (!ch->removed) {
		e.value = g_memdup2(&ch->value, sizeof(ch->value));
		e.len = sizeof(ch->value);
		g_ptr_array_add(memory, e.value);
	}
	return e;
}

static void free_sent_update(gpointer data)
{
	struct sent_update *su = data;

	g_array_free(su->entries, TRUE);
	g_ptr_array_free(su->memory, TRUE);
	g_free(su);
}

static struct sent_update *copy_update(const struct mirror_update *n)
{
	struct sent_update *su = g_new0(struct sent_update, 1);

	su->update = *n;
	su->memory = g_ptr_array_new_with_free_func(g_free);
	su->entries = g_array_new(FALSE, FALSE, sizeof(struct store_entry));
	for (size_t i = 0; i < n->entry_nr; i++) {
		struct store_entry e = n->entries[i];

		e.key = g_strdup(e.key);
		g_ptr_array_add(su->memory, e.key);
		if (e.value) {
			e.value = g_memdup2(e.value, e.len);
			g_ptr_array_add(su->memory, e.value);
		}
		g_array_append_val(su->entries, e);
	}
	su->update.entries =
		(const struct store_entry *)(void *)su->entries->data;
	su->update.bases = NULL;
	return su;
}

/* What is known of the owners goes into force: checks what must not happen. */
static void check_in_force(struct restore_sim *sim, struct instance *in)
{
	const struct truth *up = &sim->truth[KEY_UPSTREAM];
	const struct truth *out = &sim->truth[KEY_OUT];

	if (in->starting)
		return;
	if (in->listed && in->was_gone && in->upstream.born <= in->gone_born)
		violate(sim, in, "an upstream that left is in use again");
	if (in->listed && in->was_draining && !in->upstream.draining &&
	    in->upstream.born <= in->draining_born)
		violate(sim, in, "a draining upstream gets flows again");
	if (!in->out && out->present && in->out_version == out->value.version &&
	    sim->now_ms < out->lost_ms + OPERATOR_MS)
		violate(sim, in, "a domain that is out is in use again");
	if (!in->listed && up->present && !up->value.draining && !up->lost &&
	    in->was_gone && in->gone_born > up->value.born)
		violate(sim, in, "a living upstream is not used");
	if (in->listed && in->upstream.draining) {
		in->was_draining = true;
		in->draining_born = in->upstream.born;
	}
}

static void set_in_force(struct restore_sim *sim, struct instance *in,
			 enum key key, bool present, const struct value *v)
{
	switch (key) {
	case KEY_CONFIG:
		if (v && v->version > in->version)
			in->version = v->version;
		break;
	case KEY_OUT:
		in->out = present;
		if (v)
			in->out_version = v->version;
		break;
	case KEY_UPSTREAM:
		if (!present && in->listed) {
			in->was_gone =
				!sim->truth[key].present ||
				sim->truth[key].value.born != in->upstream.born;
			in->gone_born = in->upstream.born;
		}
		in->listed = present;
		if (v)
			in->upstream = *v;
		break;
	}
}

static enum record_class class_of(enum key key)
{
	return key == KEY_OUT	     ? RECORD_CLASS_DOMAIN_OUT
	       : key == KEY_UPSTREAM ? RECORD_CLASS_UPSTREAM
				     : RECORD_CLASS_OTHER;
}

static void apply_change(struct restore_sim *sim, struct instance *in,
			 const struct mirror_action *a)
{
	enum key key = find_key(a->key);
	bool present = a->kind == MIRROR_KEY_CHANGED;
	const struct value *v = present ? a->value : NULL;
	struct record_order order = { 0, 0 };

	if (v) {
		order.started_at_ms = v->born;
		order.write_count = v->count;
	}
	if (admit_record(in->records, a->key, class_of(key), present, order,
			 sim->believe_copy ? MIRROR_WRITTEN : a->source,
			 sim->now_ms) == RECORD_APPLY &&
	    (present || key != KEY_CONFIG))
		set_in_force(sim, in, key, present, v);
}

static void step_instance(struct restore_sim *sim, struct instance *in,
			  const struct mirror_event *ev);

static void answer_read(struct restore_sim *sim, struct instance *in)
{
	GPtrArray *memory = g_ptr_array_new_with_free_func(g_free);
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct store_entry));
	struct store_answer a = { .revision = sim->store.revision,
				  .era = sim->era };
	struct mirror_event ev = { .kind = MIRROR_READ_DONE, .answer = &a };

	for (int k = 0; k < KEYS; k++) {
		const struct item *it = &sim->store.items[k];
		struct change ch = { it->revision, (enum key)k, false,
				     it->value };
		struct store_entry e;

		if (!it->present)
			continue;
		e = make_store_entry(&ch, memory);
		g_array_append_val(entries, e);
	}
	a.entries = (struct store_entry *)(void *)entries->data;
	a.entry_nr = entries->len;
	sim->reads++;
	step_instance(sim, in, &ev);
	g_array_free(entries, TRUE);
	g_ptr_array_free(memory, TRUE);
}

static void send_kept_updates(struct restore_sim *sim, struct instance *to)
{
	const struct instance *reader = &sim->instances[0];

	for (GList *l = reader->kept.head; l; l = l->next) {
		const struct sent_update *su = l->data;

		if (compare_store_positions(su->update.to,
					    mirror_position(to->mirror)) > 0)
			g_queue_push_tail(&to->incoming,
					  copy_update(&su->update));
	}
}

static void execute_action(struct restore_sim *sim, struct instance *in,
			   const struct mirror_action *a, bool *read)
{
	switch (a->kind) {
	case MIRROR_DO_READ:
		*read = true;
		break;
	case MIRROR_DO_QUERY_PEER:
		if (in != &sim->instances[0])
			send_kept_updates(sim, in);
		break;
	case MIRROR_DO_SEND_UPDATE:
		g_queue_push_tail(&in->kept, copy_update(&a->update));
		for (unsigned int i = 1; i < sim->instance_nr; i++)
			g_queue_push_tail(&sim->instances[i].incoming,
					  copy_update(&a->update));
		break;
	case MIRROR_DO_DROP_UPDATES:
		g_queue_clear_full(&in->kept, free_sent_update);
		break;
	case MIRROR_DO_WATCH:
		in->watching = true;
		in->watch_revision = a->revision - 1;
		break;
	case MIRROR_DO_STOP_WATCH:
		in->watching = false;
		break;
	case MIRROR_KEY_CHANGED:
	case MIRROR_KEY_REMOVED:
		apply_change(sim, in, a);
		break;
	case MIRROR_ERA_BEGAN:
		restart_record_holds(in->records, sim->now_ms);
		break;
	case MIRROR_DO_READ_KEY:
	case MIRROR_DO_KEEP_UPDATE:
	case MIRROR_STORE_LOST:
	case MIRROR_STORE_REGAINED:
	case MIRROR_OLD_ANSWER:
		break;
	}
}

static void step_instance(struct restore_sim *sim, struct instance *in,
			  const struct mirror_event *ev)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct mirror_action));
	uint64_t version = in->version;
	bool read = false;

	step_mirror(in->mirror, ev, sim->now_ms, out);
	for (guint i = 0; i < out->len; i++)
		execute_action(sim, in,
			       &g_array_index(out, struct mirror_action, i),
			       &read);
	g_array_free(out, TRUE);
	if (in->version < version)
		violate(sim, in, "the configuration went back");
	check_in_force(sim, in);
	if (read)
		answer_read(sim, in);
}

static void tell_peer_state(struct restore_sim *sim, struct instance *in,
			    const struct instance *peer)
{
	struct mirror_peer_state h = { mirror_position(peer->mirror),
				       mirror_digest(peer->mirror),
				       peer == &sim->instances[0] };
	struct mirror_event ev = { .kind = MIRROR_PEER_STATE, .peer = &h };

	step_instance(sim, in, &ev);
}

/* A watch of an instance that lags behind answers at once. */
static void answer_watch(struct restore_sim *sim, struct instance *in)
{
	GPtrArray *memory = g_ptr_array_new_with_free_func(g_free);
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct store_entry));
	struct store_answer a = { .revision = sim->store.revision,
				  .era = sim->era };
	struct mirror_event ev = { .kind = MIRROR_WATCH_ANSWER, .answer = &a };

	if (in->watch_revision > sim->store.revision) {
		a.status.kind = STATUS_NOT_FOUND; /* 410 */
		in->watching = false;
	}
	for (guint i = 0; i < sim->store.history->len; i++) {
		const struct change *ch =
			&g_array_index(sim->store.history, struct change, i);
		struct store_entry e;

		if (a.status.kind != STATUS_OK ||
		    ch->revision <= in->watch_revision)
			continue;
		e = make_store_entry(ch, memory);
		g_array_append_val(entries, e);
	}
	in->watch_revision = MAX(in->watch_revision, a.revision);
	a.entries = (struct store_entry *)(void *)entries->data;
	a.entry_nr = entries->len;
	step_instance(sim, in, &ev);
	g_array_free(entries, TRUE);
	g_ptr_array_free(memory, TRUE);
}

static void tick_instance(struct restore_sim *sim, struct instance *in)
{
	struct mirror_event tick = { .kind = MIRROR_TICK };
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);

	step_instance(sim, in, &tick);
	end_record_holds(in->records, sim->now_ms, keys);
	for (guint i = 0; i < keys->len; i++) {
		const char *key = g_ptr_array_index(keys, i);
		struct mirror_entry entry = find_mirror_entry(in->mirror, key);
		struct mirror_action a = { .kind = entry.value
							   ? MIRROR_KEY_CHANGED
							   : MIRROR_KEY_REMOVED,
					   .key = key,
					   .value = entry.value };

		apply_change(sim, in, &a);
	}
	g_ptr_array_free(keys, TRUE);
	check_in_force(sim, in);
}

static void pass_time(struct restore_sim *sim, uint64_t ms)
{
	uint64_t until_ms = sim->now_ms + ms;

	while (sim->now_ms < until_ms) {
		sim->now_ms += MIRROR_TICK_MS;
		for (unsigned int i = 0; i < sim->instance_nr; i++)
			tick_instance(sim, &sim->instances[i]);
	}
}

/* A starting instance learns from instance 0 what that holds. */
static void adopt_holds(struct restore_sim *sim, struct instance *in)
{
	GArray *held = g_array_new(FALSE, FALSE, sizeof(struct held_record));

	list_held_records(sim->instances[0].records, sim->now_ms, held);
	for (guint i = 0; i < held->len; i++) {
		const struct held_record *h =
			&g_array_index(held, struct held_record, i);
		enum key key = find_key(h->key);

		if (adopt_held_record(in->records, h, class_of(key),
				      sim->now_ms) == RECORD_APPLY)
			set_in_force(sim, in, key, h->present, NULL);
	}
	g_array_free(held, TRUE);
}

static const struct record_hold_times hold_times = {
	.operator_ms = OPERATOR_MS,
	.upstream_ms = MIRROR_REMOVAL_HOLD_MS,
	.lapse_ms = LAPSE_MS
};

static void create_instance(struct restore_sim *sim, unsigned int i)
{
	struct instance *in = &sim->instances[i];
	bool starting = in->starting;
	struct mirror_event role = { .kind = MIRROR_ROLE_CHANGED,
				     .is_store_reader = i == 0 };
	struct mirror_event tick = { .kind = MIRROR_TICK };

	memset(in, 0, sizeof(*in));
	in->starting = starting;
	in->mirror = create_mirror(i + 1);
	in->records = create_restored_records();
	set_record_hold_times(in->records, &hold_times);
	step_instance(sim, in, &role);
	step_instance(sim, in, &tick);
}

static void destroy_instance(struct instance *in)
{
	destroy_mirror(in->mirror);
	destroy_restored_records(in->records);
	g_queue_clear_full(&in->incoming, free_sent_update);
	g_queue_clear_full(&in->kept, free_sent_update);
}

struct restore_sim *create_restore_sim(unsigned int instance_nr,
				       bool believe_copy)
{
	struct restore_sim *sim = g_new0(struct restore_sim, 1);
	struct value config = { .version = 1 };
	struct value upstream = { .born = 1, .count = 1 };

	sim->era = 1;
	sim->now_ms = 1000;
	sim->instance_nr = instance_nr;
	sim->believe_copy = believe_copy;
	sim->store.revision = 10;
	sim->store.history = g_array_new(FALSE, FALSE, sizeof(struct change));
	write_key(sim, KEY_CONFIG, true, config);
	write_key(sim, KEY_UPSTREAM, true, upstream);
	for (unsigned int i = 0; i < instance_nr; i++)
		create_instance(sim, i);
	return sim;
}

void destroy_restore_sim(struct restore_sim *sim)
{
	for (unsigned int i = 0; i < sim->instance_nr; i++)
		destroy_instance(&sim->instances[i]);
	g_array_free(sim->store.history, TRUE);
	if (sim->copy.history)
		g_array_free(sim->copy.history, TRUE);
	g_free(sim);
}

static void restore(struct restore_sim *sim)
{
	copy_content(&sim->store, &sim->copy);
	sim->era++;
	sim->restores++;
	for (int k = 0; k < KEYS; k++) {
		const struct item *it = &sim->store.items[k];
		struct truth *t = &sim->truth[k];

		bool lost = t->present != it->present ||
			    (t->present && memcmp(&t->value, &it->value,
						  sizeof(t->value)) != 0);

		if (lost && !t->lost)
			t->lost_ms = sim->now_ms;
		t->lost = lost;
	}
}

/* Owners write again; an entry of an upstream that left lapses. */
static bool write_again(struct restore_sim *sim, enum key first, enum key last)
{
	bool any = false;

	for (int k = first; k <= (int)last; k++) {
		struct truth *t = &sim->truth[k];

		if (!t->lost)
			continue;
		any = true;
		write_key(sim, (enum key)k, t->present, t->value);
	}
	return any;
}

static bool write_upstream(struct restore_sim *sim, enum restore_event ev)
{
	struct truth *t = &sim->truth[KEY_UPSTREAM];
	struct value v = t->value;

	v.count++;
	switch (ev) {
	case RESTORE_DRAIN:
		if (!t->present || v.draining)
			return false;
		v.draining = 1;
		write_key(sim, KEY_UPSTREAM, true, v);
		return true;
	case RESTORE_LEAVE:
		if (!t->present || !v.draining)
			return false;
		write_key(sim, KEY_UPSTREAM, false, v);
		return true;
	default:
		if (t->present)
			return false;
		v = (struct value){ .born = v.born + 1, .count = 1 };
		write_key(sim, KEY_UPSTREAM, true, v);
		return true;
	}
}

static bool deliver_updates(struct restore_sim *sim)
{
	bool any = false;

	for (unsigned int i = 1; i < sim->instance_nr; i++) {
		struct instance *in = &sim->instances[i];
		struct sent_update *su;

		while ((su = g_queue_pop_head(&in->incoming))) {
			struct mirror_event ev = { .kind = MIRROR_PEER_UPDATE,
						   .update = &su->update };

			step_instance(sim, in, &ev);
			free_sent_update(su);
			any = true;
		}
	}
	return any;
}

static bool lose_update(struct restore_sim *sim)
{
	struct instance *in = &sim->instances[sim->instance_nr - 1];
	struct sent_update *su = g_queue_pop_head(&in->incoming);

	if (su)
		free_sent_update(su);
	return su;
}

static bool restart_last(struct restore_sim *sim)
{
	struct instance *in = &sim->instances[sim->instance_nr - 1];

	destroy_instance(in);
	in->starting = true;
	create_instance(sim, sim->instance_nr - 1);
	/* its heartbeats tell the reader of a new era */
	for (int i = 0; i < START_CHECK_MAX_MS / MIRROR_TICK_MS; i++) {
		if (mirror_position(sim->instances[0].mirror).era >=
		    mirror_position(in->mirror).era)
			break;
		tell_peer_state(sim, &sim->instances[0], in);
		pass_time(sim, MIRROR_TICK_MS);
	}
	adopt_holds(sim, in);
	in->starting = false;
	/* it may not serve an older configuration than a ready peer */
	in->version = MAX(in->version, sim->instances[0].version);
	in->was_gone = sim->instances[0].was_gone;
	in->gone_born = sim->instances[0].gone_born;
	in->was_draining = sim->instances[0].was_draining;
	in->draining_born = sim->instances[0].draining_born;
	check_in_force(sim, in);
	return true;
}

/* Owners write what they write again within the next MS. */
static void write_what_is_due(struct restore_sim *sim, uint64_t ms)
{
	for (int k = 0; k < KEYS; k++) {
		uint64_t limit_ms =
			k == KEY_UPSTREAM ? REWRITE_MS : OPERATOR_MS - WAIT_MS;

		if (sim->truth[k].lost &&
		    sim->now_ms + ms >= sim->truth[k].lost_ms + limit_ms)
			write_again(sim, (enum key)k, (enum key)k);
	}
}

static bool execute_event(struct restore_sim *sim, enum restore_event ev);

/* A watch answers, and updates arrive or are asked for, within DELIVERY_MS. */
static void deliver_what_is_due(struct restore_sim *sim)
{
	if (sim->now_ms - sim->watch_ms >= DELIVERY_MS) {
		sim->watch_ms = sim->now_ms;
		execute_event(sim, RESTORE_WATCH);
	}
	if (sim->now_ms - sim->updates_ms >= DELIVERY_MS) {
		sim->updates_ms = sim->now_ms;
		execute_event(sim, RESTORE_UPDATES);
	}
}

static bool execute_event(struct restore_sim *sim, enum restore_event ev)
{
	struct value v = { 0 };

	switch (ev) {
	case RESTORE_CONFIG:
		v.version = sim->truth[KEY_CONFIG].value.version + 1;
		write_key(sim, KEY_CONFIG, true, v);
		return true;
	case RESTORE_EVACUATE:
		v.version = sim->truth[KEY_OUT].value.version +
			    !sim->truth[KEY_OUT].present;
		write_key(sim, KEY_OUT, !sim->truth[KEY_OUT].present, v);
		return true;
	case RESTORE_DRAIN:
	case RESTORE_LEAVE:
	case RESTORE_BEGIN:
		return write_upstream(sim, ev);
	case RESTORE_COPY:
		copy_content(&sim->copy, &sim->store);
		sim->has_copy = true;
		return true;
	case RESTORE_RESTORE:
		if (!sim->has_copy)
			return false;
		restore(sim);
		return true;
	case RESTORE_OPERATOR:
		return write_again(sim, KEY_CONFIG, KEY_OUT);
	case RESTORE_UPSTREAM:
		return write_again(sim, KEY_UPSTREAM, KEY_UPSTREAM);
	case RESTORE_WATCH:
		if (!sim->instances[0].watching)
			return false;
		answer_watch(sim, &sim->instances[0]);
		return true;
	case RESTORE_UPDATES:
		return deliver_updates(sim);
	case RESTORE_LOSE:
		return lose_update(sim);
	case RESTORE_RESTART:
		return restart_last(sim);
	case RESTORE_WAIT:
		write_what_is_due(sim, WAIT_MS);
		/* a watch answers, and updates arrive, well before */
		execute_event(sim, RESTORE_WATCH);
		execute_event(sim, RESTORE_UPDATES);
		pass_time(sim, WAIT_MS);
		return true;
	case RESTORE_EVENT_NR:
		break;
	}
	return false;
}

bool step_restore_sim(struct restore_sim *sim, enum restore_event ev)
{
	if (!execute_event(sim, ev))
		return false;
	write_what_is_due(sim, STEP_MS);
	if (ev == RESTORE_WATCH)
		sim->watch_ms = sim->now_ms;
	if (ev == RESTORE_UPDATES)
		sim->updates_ms = sim->now_ms;
	deliver_what_is_due(sim);
	pass_time(sim, STEP_MS);
	for (unsigned int i = 1; i < sim->instance_nr; i++) {
		struct instance *in = &sim->instances[i];

		tell_peer_state(sim, in, &sim->instances[0]);
		if (in->watching)
			answer_watch(sim, in);
	}
	return true;
}

static void check_agreement(struct restore_sim *sim, struct instance *in)
{
	const struct truth *up = &sim->truth[KEY_UPSTREAM];

	if (in->version != sim->truth[KEY_CONFIG].value.version)
		violate(sim, in, "the configuration is not the newest");
	if (in->out != sim->truth[KEY_OUT].present)
		violate(sim, in, "the domain's state is not the operator's");
	if (in->listed != up->present)
		violate(sim, in, "the upstream is not listed as it is");
	if (in->listed && up->present &&
	    memcmp(&in->upstream, &up->value, sizeof(up->value)) != 0)
		violate(sim, in, "the upstream's report is not its last");
	if (held_record_count(in->records))
		violate(sim, in, "a record is still held");
	if (mirror_digest(in->mirror) !=
	    mirror_digest(sim->instances[0].mirror))
		violate(sim, in, "its copy differs from the reader's");
}

void settle_restore_sim(struct restore_sim *sim)
{
	write_again(sim, KEY_CONFIG, KEY_UPSTREAM);
	for (int i = 0; i < 30; i++) {
		step_restore_sim(sim, RESTORE_WATCH);
		step_restore_sim(sim, RESTORE_UPDATES);
	}
	pass_time(sim, OPERATOR_MS + WAIT_MS);
	for (unsigned int i = 0; i < sim->instance_nr; i++)
		check_agreement(sim, &sim->instances[i]);
}

const char *restore_violation(const struct restore_sim *sim)
{
	return sim->violation[0] ? sim->violation : NULL;
}

unsigned int restore_read_count(const struct restore_sim *sim)
{
	return sim->reads;
}

static void hash_content(XXH3_state_t *h, const struct content *c)
{
	XXH3_64bits_update(h, c->items, sizeof(c->items));
	XXH3_64bits_update(h, &c->revision, sizeof(c->revision));
	XXH3_64bits_update(h, c->history->data,
			   c->history->len * sizeof(struct change));
}

static void hash_number(XXH3_state_t *h, uint64_t n)
{
	XXH3_64bits_update(h, &n, sizeof(n));
}

static void hash_instance(XXH3_state_t *h, const struct instance *in)
{
	struct store_position at = mirror_position(in->mirror);

	hash_number(h, at.era);
	hash_number(h, at.revision);
	hash_number(h, mirror_digest(in->mirror));
	hash_number(h, held_record_count(in->records));
	hash_number(h, in->incoming.length);
	hash_number(h, in->kept.length);
	hash_number(h, in->watching ? in->watch_revision : 0);
	hash_number(h, in->version);
	hash_number(h, (uint64_t)in->out | (uint64_t)in->listed << 1 |
			       (uint64_t)in->was_gone << 2 |
			       (uint64_t)in->was_draining << 3 |
			       in->out_version << 4);
	XXH3_64bits_update(h, &in->upstream, sizeof(in->upstream));
}

uint64_t hash_restore_sim(const struct restore_sim *sim)
{
	XXH3_state_t *h = XXH3_createState();
	uint64_t hash;

	XXH3_64bits_reset(h);
	hash_content(h, &sim->store);
	if (sim->has_copy)
		hash_content(h, &sim->copy);
	hash_number(h, sim->era);
	for (int k = 0; k < KEYS; k++) {
		hash_number(h, (uint64_t)sim->truth[k].present |
				       (uint64_t)sim->truth[k].lost << 1);
		XXH3_64bits_update(h, &sim->truth[k].value,
				   sizeof(sim->truth[k].value));
	}
	for (unsigned int i = 0; i < sim->instance_nr; i++)
		hash_instance(h, &sim->instances[i]);
	hash = XXH3_64bits_digest(h);
	XXH3_freeState(h);
	return hash;
}

const char *restore_event_name(enum restore_event ev)
{
	static const char *const names[RESTORE_EVENT_NR] = {
		"config",  "evacuate", "drain",	   "leave",    "begin",
		"copy",	   "restore",  "operator", "upstream", "watch",
		"updates", "lose",     "restart",  "wait"
	};

	return names[ev];
}
