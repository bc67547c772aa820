/*
 * Compares requests a second and latency through one instance with those of
 * direct calls to the upstream stand-in, with real processes on loopback, in
 * alternating rounds. Starts and kills both programs, which must be in the same
 * directory as this one.
 */

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "net/http-pool.h"

#define CALLER_COUNT 16 /* concurrent requests */
#define ROUND_MS 1000
#define ROUND_COUNT 3	       /* of each variant */
#define START_TIMEOUT_MS 10000 /* for the instance to answer */

/* One row of the result: a method, sent directly or through the instance. */
struct variant {
	const char *name;
	struct endpoint endpoint;
	enum http_method method;
	GArray *latencies_us; /* of uint64_t */
};

struct caller {
	struct variant *variant;
	uint64_t began_us;
};

static uv_loop_t loop;
static struct http_pool *pool;
static bool running;
static unsigned int pending;
static unsigned int failed;

static void send_next(struct caller *c);

static void on_head(const struct http_message *m, void *data)
{
	(void)data;
	failed += m->code != 200;
}

static void on_body(const char *part, size_t len, void *data)
{
	(void)part;
	(void)len;
	(void)data;
}

static void on_end(void *data)
{
	struct caller *c = data;
	uint64_t us = uv_hrtime() / 1000 - c->began_us;

	pending--;
	g_array_append_val(c->variant->latencies_us, us);
	send_next(c);
}

static void on_failed(bool sent, bool reused, void *data)
{
	(void)sent;
	(void)reused;
	(void)data;
	pending--;
	failed++;
}

static void on_silent(void *data)
{
	(void)data;
}

static const struct pool_call_handler handler = { on_head,   on_body,	on_end,
						  on_failed, on_silent, NULL };

static void send_next(struct caller *c)
{
	struct http_message *m;

	if (!running)
		return;
	m = create_http_message();
	m->method = c->variant->method;
	m->target = g_strdup("/bench");
	c->began_us = uv_hrtime() / 1000;
	pending++;
	end_call_body(start_pool_call(pool, &c->variant->endpoint, m, 0, false,
				      &handler, c));
	destroy_http_message(m);
}

static void on_round_end(uv_timer_t *timer)
{
	(void)timer;
	running = false;
}

static void run_round(struct variant *v)
{
	struct caller callers[CALLER_COUNT] = { 0 };
	uv_timer_t timer;

	running = true;
	uv_timer_init(&loop, &timer);
	uv_timer_start(&timer, on_round_end, ROUND_MS, 0);
	for (int i = 0; i < CALLER_COUNT; i++) {
		callers[i].variant = v;
		send_next(&callers[i]);
	}
	while (running || pending)
		uv_run(&loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
}

static int compare_us(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static double percentile_ms(const struct variant *v, double p)
{
	if (!v->latencies_us->len)
		return 0;
	return (double)g_array_index(v->latencies_us, uint64_t,
				     (guint)(p * (v->latencies_us->len - 1))) /
	       1000;
}

static double per_second(const struct variant *v)
{
	return v->latencies_us->len * 1000.0 / (ROUND_COUNT * ROUND_MS);
}

static void print_variant(struct variant *v)
{
	g_array_sort(v->latencies_us, compare_us);
	printf("%-20s %9.0f %8.3f %8.3f\n", v->name, per_second(v),
	       percentile_ms(v, 0.5), percentile_ms(v, 0.99));
}

static pid_t start_program(const char *const *argv)
{
	pid_t pid = fork();

	if (pid)
		return pid;
	if (!freopen("/dev/null", "w", stdout) ||
	    !freopen("/dev/null", "w", stderr))
		_exit(127);
	execv(argv[0], (char *const *)argv);
	_exit(127);
}

static void write_file(const char *path, const char *format, const char *net)
{
	char *text = g_strdup_printf(format, net);

	if (!g_file_set_contents(path, text, -1, NULL))
		exit(2);
	g_free(text);
}

static struct endpoint endpoint_at(const char *net, const char *rest)
{
	struct endpoint ep;
	char text[ENDPOINT_TEXT_MAX];

	g_snprintf(text, sizeof(text), "127.%s.%s", net, rest);
	if (parse_endpoint(text, &ep, NULL) != STATUS_OK)
		exit(2);
	return ep;
}

/* Waits until the instance forwards requests; false on a timeout. */
static bool wait_until_ready(struct variant *v)
{
	uint64_t end = uv_hrtime() / 1000000 + START_TIMEOUT_MS;

	while (uv_hrtime() / 1000000 < end) {
		failed = 0;
		g_usleep(200000);
		running = true;
		struct caller c = { .variant = v };
		send_next(&c);
		running = false;
		while (pending)
			uv_run(&loop, UV_RUN_ONCE);
		if (!failed)
			return true;
	}
	return false;
}

static int compare_variants(struct variant *variants, size_t count)
{
	if (!wait_until_ready(&variants[1])) {
		fprintf(stderr, "the instance gives no answer\n");
		return 1;
	}
	for (size_t i = 0; i < count; i++)
		g_array_set_size(variants[i].latencies_us, 0);
	for (int r = 0; r < ROUND_COUNT; r++)
		for (size_t i = 0; i < count; i++)
			run_round(&variants[i]);
	printf("proxy: %d callers at once, %d rounds of %d ms each\n",
	       CALLER_COUNT, ROUND_COUNT, ROUND_MS);
	printf("%-20s %9s %8s %8s\n", "way", "req/s", "p50 ms", "p99 ms");
	for (size_t i = 0; i < count; i++)
		print_variant(&variants[i]);
	for (size_t i = 0; i + 1 < count; i += 2)
		printf("%s over %s: %.2f of the requests a second, %.3f ms "
		       "added to p50\n",
		       variants[i + 1].name, variants[i].name,
		       per_second(&variants[i + 1]) / per_second(&variants[i]),
		       percentile_ms(&variants[i + 1], 0.5) -
			       percentile_ms(&variants[i], 0.5));
	printf("failed: %u\n\n", failed);
	return failed > 0;
}

int main(int argc, char **argv)
{
	char *program_dir = g_path_get_dirname(argv[0]);
	char *work_dir = g_dir_make_tmp("bench-proxy-XXXXXX", NULL);
	char *settings = g_build_filename(work_dir, "one.ini", NULL);
	char *services = g_build_filename(work_dir, "services", NULL);
	char *service = g_build_filename(services, "bench.ini", NULL);
	char *daemon = g_build_filename(program_dir, "baobabvalved", NULL);
	char *upstream =
		g_build_filename(program_dir, "upstream-stand-in", NULL);
	char *config = g_strdup_printf("--config=%s", settings);
	const char *net =
		g_getenv("BV_TEST_NET") ? g_getenv("BV_TEST_NET") : "0";
	char *upstream_at = g_strdup_printf("127.%s.71.1:9001", net);
	char *settings_format =
		g_strdup_printf("%s\n[source]\ndirectory = %s\n",
				"[instance]\nname = one\ndomain = north\n"
				"address = 127.%s.72.1",
				services);
	const char *const upstream_args[] = { upstream, "bench-1", upstream_at,
					      NULL };
	const char *const daemon_args[] = { daemon, config, NULL };
	struct endpoint direct = endpoint_at(net, "71.1:9001");
	struct endpoint proxied = endpoint_at(net, "72.1:8080");
	struct variant variants[] = {
		{ "GET direct", direct, HTTP_GET, NULL },
		{ "GET proxied", proxied, HTTP_GET, NULL },
		{ "POST direct", direct, HTTP_POST, NULL },
		{ "POST proxied", proxied, HTTP_POST, NULL }
	};
	pid_t pids[2];
	int code;

	(void)argc;
	g_mkdir_with_parents(services, 0700);
	write_file(settings, settings_format, net);
	write_file(service,
		   "[service]\nname = bench\nkind = requests\n"
		   "address = 127.%1$s.72.1:8080\ndeadline = 5s\n"
		   "[upstream bench-1]\naddress = 127.%1$s.71.1:9001\n"
		   "domain = north\nslots = 64\ncold-slots = 64\n",
		   net);
	pids[0] = start_program(upstream_args);
	pids[1] = start_program(daemon_args);
	uv_loop_init(&loop);
	pool = create_http_pool(&loop, SIZE_MAX);
	for (size_t i = 0; i < G_N_ELEMENTS(variants); i++)
		variants[i].latencies_us =
			g_array_new(FALSE, FALSE, sizeof(uint64_t));
	code = compare_variants(variants, G_N_ELEMENTS(variants));
	for (int i = 0; i < 2; i++) {
		kill(pids[i], SIGKILL);
		waitpid(pids[i], NULL, 0);
	}
	unlink(service);
	rmdir(services);
	unlink(settings);
	rmdir(work_dir);
	return code;
}
