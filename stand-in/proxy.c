/*
 * proxy-stand-in LISTEN TARGET FIFO: a TCP proxy between a process under test
 * and its server, for injecting faults. Reads commands from FIFO, one word per
 * line; each applies at once, to open connections too:
 *
 *   pass      forwards bytes (the mode at the start)
 *   delay     forwards bytes after DELAY_MS
 *   silence   drops bytes in both directions without closing
 *   mute      drops bytes from the target
 *   deaf      drops bytes to the target
 *   reset     resets open connections once, then forwards as with pass
 */

#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <uv.h>

#include "base/endpoint.h"

#define DELAY_MS 300
#define CHUNK 65536 /* bytes */

enum mode { MODE_PASS, MODE_DELAY, MODE_SILENCE, MODE_MUTE, MODE_DEAF };

struct pair;

struct side {
	uv_tcp_t tcp;
	struct pair *pair;
	struct side *other;
	bool is_caller; /* accepted connection; else that to the target */
	char buffer[CHUNK];
};

/* A caller's connection and the proxy's connection to the target. */
struct pair {
	struct side sides[2];
	struct proxy *proxy;
	uv_connect_t connect;
	int open_handles; /* sockets and delay timers not closed yet */
	bool closing;
};

/* Bytes to be written to TO, at once or after DELAY_MS. */
struct chunk {
	uv_write_t write;
	uv_timer_t timer;
	struct side *to;
	size_t len;
	char data[];
};

struct proxy {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_pipe_t control;
	struct endpoint target;
	enum mode mode;
	GHashTable *pairs; /* set of struct pair */
	char line[256];
};

static void on_side_closed(uv_handle_t *h)
{
	struct side *s = h->data;
	struct pair *p = s->pair;

	if (--p->open_handles)
		return;
	g_hash_table_remove(p->proxy->pairs, p);
	g_free(p);
}

static void close_pair(struct pair *p, bool reset)
{
	if (p->closing)
		return;
	p->closing = true;
	for (int i = 0; i < 2; i++) {
		if (reset)
			uv_tcp_close_reset(&p->sides[i].tcp, on_side_closed);
		else
			uv_close((uv_handle_t *)&p->sides[i].tcp,
				 on_side_closed);
	}
}

static void on_written(uv_write_t *w, int status)
{
	(void)status;
	g_free(w->data);
}

static void write_chunk(struct chunk *c)
{
	uv_buf_t buf = uv_buf_init(c->data, (unsigned int)c->len);

	c->write.data = c;
	if (c->to->pair->closing ||
	    uv_write(&c->write, (uv_stream_t *)&c->to->tcp, &buf, 1,
		     on_written))
		g_free(c);
}

static void on_delay_closed(uv_handle_t *h)
{
	struct chunk *c = h->data;
	struct pair *p = c->to->pair;

	write_chunk(c);
	if (--p->open_handles)
		return;
	g_hash_table_remove(p->proxy->pairs, p);
	g_free(p);
}

static void on_delayed(uv_timer_t *t)
{
	uv_close((uv_handle_t *)t, on_delay_closed);
}

static void forward(struct side *from, const char *data, size_t len)
{
	struct proxy *pr = from->pair->proxy;
	struct chunk *c;

	if (pr->mode == MODE_SILENCE ||
	    (pr->mode == MODE_MUTE && !from->is_caller) ||
	    (pr->mode == MODE_DEAF && from->is_caller))
		return;
	c = g_malloc(sizeof(*c) + len);
	c->to = from->other;
	c->len = len;
	memcpy(c->data, data, len);
	if (pr->mode != MODE_DELAY) {
		write_chunk(c);
		return;
	}
	from->pair->open_handles++;
	uv_timer_init(pr->loop, &c->timer);
	c->timer.data = c;
	uv_timer_start(&c->timer, on_delayed, DELAY_MS, 0);
}

static void on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct side *side = s->data;

	if (n > 0)
		forward(side, buf->base, (size_t)n);
	else if (n < 0)
		close_pair(side->pair, false);
}

static void provide_buffer(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct side *side = h->data;

	(void)size;
	*buf = uv_buf_init(side->buffer, CHUNK);
}

static void on_connected(uv_connect_t *req, int status)
{
	struct pair *p = req->data;

	if (status < 0) {
		close_pair(p, true);
		return;
	}
	for (int i = 0; i < 2; i++)
		uv_read_start((uv_stream_t *)&p->sides[i].tcp, provide_buffer,
			      on_read);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct proxy *pr = listener->data;
	struct pair *p;
	struct sockaddr_storage ss;

	if (status < 0)
		return;
	p = g_new0(struct pair, 1);
	p->proxy = pr;
	p->open_handles = 2;
	for (int i = 0; i < 2; i++) {
		p->sides[i].pair = p;
		p->sides[i].other = &p->sides[1 - i];
		p->sides[i].is_caller = !i;
		uv_tcp_init(pr->loop, &p->sides[i].tcp);
		p->sides[i].tcp.data = &p->sides[i];
	}
	g_hash_table_add(pr->pairs, p);
	p->connect.data = p;
	endpoint_to_sockaddr(&pr->target, &ss);
	if (uv_accept(listener, (uv_stream_t *)&p->sides[0].tcp) ||
	    uv_tcp_connect(&p->connect, &p->sides[1].tcp,
			   (struct sockaddr *)&ss, on_connected))
		close_pair(p, true);
}

static void reset_all(struct proxy *pr)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, pr->pairs);
	while (g_hash_table_iter_next(&it, &p, NULL))
		close_pair(p, true);
}

static void apply_command(struct proxy *pr, const char *word)
{
	static const char *const words[] = { "pass", "delay", "silence", "mute",
					     "deaf" };

	for (size_t i = 0; i < G_N_ELEMENTS(words); i++)
		if (!strcmp(word, words[i]))
			pr->mode = (enum mode)i;
	if (!strcmp(word, "reset")) {
		pr->mode = MODE_PASS;
		reset_all(pr);
	}
}

static void on_control(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct proxy *pr = s->data;
	char *text;
	char **lines;

	if (n <= 0)
		return;
	text = g_strndup(buf->base, (gsize)n);
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l; l++)
		apply_command(pr, g_strstrip(*l));
	g_strfreev(lines);
	g_free(text);
}

static void provide_line_buffer(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct proxy *pr = h->data;

	(void)size;
	*buf = uv_buf_init(pr->line, sizeof(pr->line));
}

int main(int argc, char **argv)
{
	struct proxy pr = { 0 };
	struct endpoint at;
	struct sockaddr_storage ss;
	struct status st;
	int fd;

	if (argc != 4 || parse_endpoint(argv[1], &at, &st) != STATUS_OK ||
	    parse_endpoint(argv[2], &pr.target, &st) != STATUS_OK) {
		fprintf(stderr, "usage: proxy-stand-in LISTEN TARGET FIFO\n");
		return 1;
	}
	pr.loop = uv_default_loop();
	pr.pairs = g_hash_table_new(NULL, NULL);
	uv_tcp_init(pr.loop, &pr.listener);
	pr.listener.data = &pr;
	endpoint_to_sockaddr(&at, &ss);
	if (uv_tcp_bind(&pr.listener, (struct sockaddr *)&ss, 0) ||
	    uv_listen((uv_stream_t *)&pr.listener, 128, on_connection)) {
		fprintf(stderr, "proxy-stand-in: cannot listen at %s\n",
			argv[1]);
		return 1;
	}
	uv_pipe_init(pr.loop, &pr.control, 0);
	pr.control.data = &pr;
	/* O_RDWR also opens a writer, so that reads never see end of file */
	fd = open(argv[3], O_RDWR | O_NONBLOCK);
	if (fd < 0) {
		perror(argv[3]);
		return 1;
	}
	uv_pipe_open(&pr.control, fd);
	uv_read_start((uv_stream_t *)&pr.control, provide_line_buffer,
		      on_control);
	return uv_run(pr.loop, UV_RUN_DEFAULT);
}
