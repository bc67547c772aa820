#include "base/problems.h"

#include <glib.h>
#include <stdarg.h>

#define PROBLEM_MESSAGES_MAX 200 /* messages */

struct problems {
	GPtrArray *messages;
	size_t total;
};

struct problems *create_problems(void)
{
	struct problems *ps = g_new0(struct problems, 1);

	ps->messages = g_ptr_array_new_with_free_func(g_free);
	return ps;
}

void destroy_problems(struct problems *ps)
{
	if (!ps)
		return;
	g_ptr_array_free(ps->messages, TRUE);
	g_free(ps);
}

void add_problem(struct problems *ps, const char *file, int line,
		 const char *fmt, ...)
{
	va_list ap;
	char *text;

	if (ps->total++ >= PROBLEM_MESSAGES_MAX)
		return;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	if (line)
		g_ptr_array_add(ps->messages,
				g_strdup_printf("%s:%d: %s", file, line, text));
	else
		g_ptr_array_add(ps->messages,
				g_strdup_printf("%s: %s", file, text));
	g_free(text);
}

size_t problem_count(const struct problems *ps)
{
	return ps->total;
}

const char *problem_at(const struct problems *ps, size_t i)
{
	return i < ps->messages->len ? g_ptr_array_index(ps->messages, i)
				     : NULL;
}
