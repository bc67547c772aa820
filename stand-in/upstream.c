/*
 * upstream-stand-in: one upstream for tests and the demo, at ADDRESS:PORT over
 * TCP and UDP. Answers GUE packets directly to their caller, and answers HTTP:
 *
 *   GET /health          {"start-id": "...", "state": "warm|cold|draining"}
 *   GET /load            {"running": N, "slots": N, "cold": bool}
 *   GET /executions      all requests that it ran: key, method, target
 *   POST /control/WORD   cold, warm, restart (new start id, cold), drain,
 *                        freeze, thaw, lie (report an idle warm upstream),
 *                        lag (keep reporting the current load), truth (report
 *                        the true load again)
 *
 * Any other request occupies a slot for DELAY-MS and is answered with the name
 * and the target; "?size=N" in the target appends N bytes to the answer. If no
 * slot is free it is shed: 503 with "Baobabvalve-Outcome: not-run". While
 * frozen, requests are accepted and never answered.
 */

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow/gue.h"
#include "flow/packet.h"
#include "net/http-server.h"

#define BODY_MAX (64 * 1024 * 1024) /* bytes */
#define DATAGRAM_MAX 65536	    /* bytes */
#define KEY_HEADER "Idempotency-Key"

struct load {
	int running;
	int slots;
	bool cold;
};

struct upstream_stand_in {
	const char *name;
	uv_loop_t *loop;
	uv_udp_t udp;
	uint64_t cold_until_ms; /* loop time */
	int delay_ms;
	int slots;
	int cold_slots;
	int cold_ms; /* duration of a cold start */
	int running;
	unsigned int restarts;
	bool draining;
	bool frozen;
	bool lying;
	bool lagging;
	struct load lagged_load; /* reported while lagging */
	json_t *executions;	 /* all requests run so far */
	char buffer[DATAGRAM_MAX];
};

/* A request that occupies a slot until its answer is due. */
struct delayed {
	uv_timer_t timer;
	struct upstream_stand_in *u;
	struct http_exchange *ex; /* NULL: the caller disconnected */
	struct http_message *answer;
};

static bool is_cold(const struct upstream_stand_in *u)
{
	return uv_now(u->loop) < u->cold_until_ms;
}

static int free_slots(const struct upstream_stand_in *u)
{
	return (is_cold(u) ? u->cold_slots : u->slots) - u->running;
}

static void set_cold(struct upstream_stand_in *u)
{
	u->cold_until_ms = uv_now(u->loop) + (uint64_t)u->cold_ms;
}

static struct load true_load(const struct upstream_stand_in *u)
{
	struct load l = { u->running, is_cold(u) ? u->cold_slots : u->slots,
			  is_cold(u) };

	return l;
}

static struct load reported_load(const struct upstream_stand_in *u)
{
	struct load idle = { 0, u->slots, false };

	if (u->lying)
		return idle;
	return u->lagging ? u->lagged_load : true_load(u);
}

static void free_delayed_answer(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_work_done(uv_timer_t *timer)
{
	struct delayed *d = timer->data;

	d->u->running--;
	if (d->ex)
		answer_http(d->ex, d->answer);
	else
		destroy_http_message(d->answer);
	uv_close((uv_handle_t *)timer, free_delayed_answer);
}

static struct http_message *text_answer(unsigned int code, const char *text)
{
	struct http_message *m = create_http_message();

	m->code = code;
	set_http_body(m, text);
	return m;
}

static void answer_json(struct http_exchange *ex, json_t *j)
{
	char *text = json_dumps(j, 0);
	struct http_message *m = text_answer(200, text);

	add_http_header(m, "Content-Type", "application/json");
	answer_http(ex, m);
	free(text);
	json_decref(j);
}

static json_t *health_json(const struct upstream_stand_in *u)
{
	char id[64];
	const char *state = "warm";

	if (u->draining)
		state = "draining";
	else if (is_cold(u) && !u->lying)
		state = "cold";
	g_snprintf(id, sizeof(id), "%s-%d-%u", u->name, (int)uv_os_getpid(),
		   u->restarts);
	return json_pack("{s:s, s:s}", "start-id", id, "state", state);
}

static json_t *load_json(const struct upstream_stand_in *u)
{
	struct load l = reported_load(u);

	return json_pack("{s:i, s:i, s:b}", "running", l.running, "slots",
			 l.slots, "cold", l.cold);
}

/* Carries out POST /control/WORD; false if WORD is unknown. */
static bool apply_control_word(struct upstream_stand_in *u, const char *word)
{
	if (!strcmp(word, "cold") || !strcmp(word, "restart"))
		set_cold(u);
	if (!strcmp(word, "restart"))
		u->restarts++;
	else if (!strcmp(word, "warm"))
		u->cold_until_ms = 0;
	else if (!strcmp(word, "drain"))
		u->draining = true;
	else if (!strcmp(word, "freeze") || !strcmp(word, "thaw"))
		u->frozen = !strcmp(word, "freeze");
	else if (!strcmp(word, "lie"))
		u->lying = true;
	else if (!strcmp(word, "lag")) {
		u->lagged_load = true_load(u);
		u->lagging = true;
	} else if (!strcmp(word, "truth"))
		u->lying = u->lagging = false;
	else
		return !strcmp(word, "cold");
	return true;
}

/* Answers requests about the stand-in itself; false for others. */
static bool answer_control_request(struct upstream_stand_in *u,
				   struct http_exchange *ex,
				   const struct http_message *m)
{
	if (g_str_has_prefix(m->target, "/control/")) {
		bool known =
			m->method == HTTP_POST &&
			apply_control_word(u, m->target + strlen("/control/"));

		answer_http(ex, text_answer(known ? 200 : 404, "\n"));
		return true;
	}
	if (!strcmp(m->target, "/executions")) {
		answer_json(ex, json_incref(u->executions));
		return true;
	}
	if (u->frozen)
		return true;
	if (!strcmp(m->target, "/health"))
		answer_json(ex, health_json(u));
	else if (!strcmp(m->target, "/load"))
		answer_json(ex, load_json(u));
	else
		return false;
	return true;
}

static void shed(struct http_exchange *ex)
{
	struct http_message *m = text_answer(503, "no slot is free\n");

	add_http_header(m, "Baobabvalve-Outcome", "not-run");
	answer_http(ex, m);
}

static void record_execution(struct upstream_stand_in *u,
			     const struct http_message *m)
{
	const char *key = find_http_header(m, KEY_HEADER);

	json_array_append_new(
		u->executions,
		json_pack("{s:s, s:s, s:s}", "key", key ? key : "", "method",
			  http_method_str((enum http_method)m->method),
			  "target", m->target));
}

static struct http_message *work_answer(const struct upstream_stand_in *u,
					const struct http_message *m)
{
	const char *size = strstr(m->target, "?size=");
	struct http_message *answer;
	char *text = g_strdup_printf(
		"%s %s from %s\n", http_method_str((enum http_method)m->method),
		m->target, u->name);

	answer = text_answer(200, text);
	g_free(text);
	if (size) {
		guint extra = (guint)strtoul(size + strlen("?size="), NULL, 10);
		guint head = answer->body->len;

		g_byte_array_set_size(answer->body,
				      head + MIN(extra, BODY_MAX));
		memset(answer->body->data + head, 'x', MIN(extra, BODY_MAX));
	}
	return answer;
}

static void on_request(struct http_exchange *ex, const struct http_message *m,
		       void *data)
{
	struct upstream_stand_in *u = data;
	struct delayed *d;

	set_exchange_data(ex, NULL);
	if (answer_control_request(u, ex, m))
		return;
	if (free_slots(u) <= 0) {
		shed(ex);
		return;
	}
	record_execution(u, m);
	u->running++;
	d = g_new0(struct delayed, 1);
	d->u = u;
	d->ex = ex;
	d->answer = work_answer(u, m);
	set_exchange_data(ex, d);
	uv_timer_init(u->loop, &d->timer);
	d->timer.data = d;
	uv_timer_start(&d->timer, on_work_done, (uint64_t)u->delay_ms, 0);
}

/* A caller that disconnects cancels its request and frees the slot at once. */
static void on_caller_left(struct http_exchange *ex, void *data)
{
	struct delayed *d = get_exchange_data(ex);

	(void)data;
	if (!d)
		return;
	d->ex = NULL;
	uv_timer_start(&d->timer, on_work_done, 0, 0);
}

/* Answers a packet directly to its caller: "NAME" as a plain datagram. */
static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags)
{
	struct upstream_stand_in *u = udp->data;
	struct sockaddr_storage ss;
	const uint8_t *inner;
	struct packet p;
	size_t len;
	uv_buf_t out;

	(void)flags;
	if (n <= 0 || !from)
		return;
	inner = read_gue((const uint8_t *)buf->base, (size_t)n, &len);
	if (!inner || !read_packet(inner, len, &p))
		return;
	endpoint_to_sockaddr(&p.caller, &ss);
	out = uv_buf_init((char *)u->name, (unsigned int)strlen(u->name));
	uv_udp_try_send(&u->udp, &out, 1, (struct sockaddr *)&ss);
}

static void provide_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct upstream_stand_in *u = handle->data;

	(void)size;
	*buf = uv_buf_init(u->buffer, DATAGRAM_MAX);
}

static bool open_udp(struct upstream_stand_in *u, const struct endpoint *at)
{
	struct sockaddr_storage ss;

	endpoint_to_sockaddr(at, &ss);
	uv_udp_init(u->loop, &u->udp);
	u->udp.data = u;
	return !uv_udp_bind(&u->udp, (struct sockaddr *)&ss, 0) &&
	       !uv_udp_recv_start(&u->udp, provide_buffer, on_datagram);
}

static bool read_options(struct upstream_stand_in *u, int *argc, char ***argv)
{
	const GOptionEntry entries[] = {
		{ "slots", 0, 0, G_OPTION_ARG_INT, &u->slots,
		  "requests run at once", "N" },
		{ "cold-slots", 0, 0, G_OPTION_ARG_INT, &u->cold_slots,
		  "the same while cold", "N" },
		{ "cold-ms", 0, 0, G_OPTION_ARG_INT, &u->cold_ms,
		  "length of a cold start", "MS" },
		{ 0 }
	};
	GOptionContext *oc = g_option_context_new("NAME ADDRESS:PORT [DELAY]");
	bool ok;

	u->slots = 1000;
	u->cold_slots = 1;
	g_option_context_add_main_entries(oc, entries, NULL);
	ok = g_option_context_parse(oc, argc, argv, NULL);
	g_option_context_free(oc);
	return ok;
}

int main(int argc, char **argv)
{
	static struct upstream_stand_in u;
	struct http_handler handler = { .on_request = on_request,
					.on_caller_left = on_caller_left,
					.data = &u };
	struct endpoint at;
	struct status st;

	u.loop = uv_default_loop();
	if (!read_options(&u, &argc, &argv) || argc < 3 ||
	    parse_endpoint(argv[2], &at, &st) != STATUS_OK) {
		fprintf(stderr, "usage: upstream-stand-in [--slots=N] "
				"[--cold-slots=N] [--cold-ms=MS] NAME "
				"ADDRESS:PORT [DELAY-MS]\n");
		return 1;
	}
	u.name = argv[1];
	u.delay_ms = argc > 3 ? atoi(argv[3]) : 0;
	u.executions = json_array();
	if (u.cold_ms)
		set_cold(&u);
	else
		u.cold_ms = 5000;
	if (!open_udp(&u, &at) ||
	    !create_http_server(u.loop, &at, BODY_MAX, &handler, &st)) {
		fprintf(stderr, "cannot listen at %s\n", argv[2]);
		return 1;
	}
	return uv_run(u.loop, UV_RUN_DEFAULT);
}
