#include "base/ini.h"

#include <glib.h>
#include <ini.h>
#include <stdio.h>
#include <string.h>

struct ini_source {
	const char *file;
	const char *text;
	size_t len;
	size_t pos;
	int line;
	bool indented; /* the current line starts with white space */
	bool stopped;
	GHashTable *key_lines;	   /* "section\nkey" -> line */
	GHashTable *section_lines; /* name -> line */
	void (*on_entry)(const struct ini_entry *e, void *data);
	void *data;
	struct problems *ps;
};

/* Reports a repeated section, which libinih would merge with the first. */
static void note_section(struct ini_source *r, const char *line, size_t len)
{
	char *name = g_strndup(line + 1, len - 1);
	int first =
		GPOINTER_TO_INT(g_hash_table_lookup(r->section_lines, name));

	if (first) {
		add_problem(r->ps, r->file, r->line,
			    "section [%s] repeated; first in line %d", name,
			    first);
		g_free(name);
		return;
	}
	g_hash_table_insert(r->section_lines, name, GINT_TO_POINTER(r->line));
}

static const char *skip_bom(const char *line, size_t *len)
{
	if (*len < 3 || memcmp(line, "\xef\xbb\xbf", 3) != 0)
		return line;
	*len -= 3;
	return line + 3;
}

/* Reports a line that is not a section, key, comment or continuation. */
static bool check_line_syntax(struct ini_source *r, const char *line,
			      size_t len)
{
	const char *end;

	if (r->line == 1)
		line = skip_bom(line, &len);
	while (len && g_ascii_isspace(line[len - 1]))
		len--;
	if (!len || g_ascii_isspace(*line) || *line == ';' || *line == '#')
		return true;
	if (*line == '[') {
		end = memchr(line, ']', len);
		if (end)
			note_section(r, line, (size_t)(end - line));
		if (end)
			return true;
	} else if (memchr(line, '=', len) || memchr(line, ':', len)) {
		return true;
	}
	add_problem(r->ps, r->file, r->line,
		    "expected [section] or key = value");
	return false;
}

/* Reports a line that libinih would misread; true if libinih can parse it. */
static bool check_line(struct ini_source *r, const char *line, size_t len)
{
	if (len > INI_LINE_MAX) {
		add_problem(r->ps, r->file, r->line,
			    "line has %zu bytes; at most %d are allowed", len,
			    INI_LINE_MAX);
		return false;
	}
	if (memchr(line, '\0', len) ||
	    !g_utf8_validate(line, (gssize)len, NULL)) {
		add_problem(r->ps, r->file, r->line,
			    "not a text file: line is not UTF-8");
		r->stopped = true;
		return false;
	}
	return check_line_syntax(r, line, len);
}

/* Replaces fgets for libinih: copies the next line of the text to BUF. */
static char *next_line(char *buf, int num, void *stream)
{
	struct ini_source *r = stream;

	while (!r->stopped && r->pos < r->len) {
		const char *line = r->text + r->pos;
		const char *end = memchr(line, '\n', r->len - r->pos);
		size_t len = end ? (size_t)(end - line) : r->len - r->pos;

		r->pos += len + 1;
		r->line++;
		if (!check_line(r, line, len) || (int)len + 2 > num)
			continue;
		r->indented = *line == ' ' || *line == '\t';
		memcpy(buf, line, len);
		buf[len] = '\n';
		buf[len + 1] = '\0';
		return buf;
	}
	return NULL;
}

static int handle_entry(void *user, const char *section, const char *name,
			const char *value)
{
	struct ini_source *r = user;
	char *id = g_strdup_printf("%s\n%s", section, name);
	int first = GPOINTER_TO_INT(g_hash_table_lookup(r->key_lines, id));
	struct ini_entry e = { section, name, value, r->line };

	if (first) {
		add_problem(r->ps, r->file, r->line,
			    "[%s] %s: %s; first set in line %d", section, name,
			    r->indented ? "a value must fit on one line"
					: "duplicate key",
			    first);
		g_free(id);
		return 1;
	}
	g_hash_table_insert(r->key_lines, id, GINT_TO_POINTER(r->line));
	if (*section)
		r->on_entry(&e, r->data);
	else
		add_problem(r->ps, r->file, r->line,
			    "%s: key before the first [section]", name);
	return 1;
}

void read_ini(const char *file, const char *text, size_t len,
	      void (*on_entry)(const struct ini_entry *e, void *data),
	      void *data, struct problems *ps)
{
	struct ini_source r = { .file = file, .text = text, .len = len };
	size_t before = problem_count(ps);
	int bad;

	r.on_entry = on_entry;
	r.data = data;
	r.ps = ps;
	if (!len) {
		add_problem(ps, file, 0, "file is empty");
		return;
	}
	if (len > INI_FILE_MAX) {
		add_problem(ps, file, 0,
			    "file has %zu bytes; at most %d "
			    "are allowed",
			    len, INI_FILE_MAX);
		return;
	}
	r.key_lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r.section_lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bad = ini_parse_stream(next_line, &r, handle_entry, &r);
	if (bad && problem_count(ps) == before)
		add_problem(ps, file, 0, "expected [section] or key = value");
	g_hash_table_destroy(r.key_lines);
	g_hash_table_destroy(r.section_lines);
}
