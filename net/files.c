#include "net/files.h"

#include <glib.h>
#include <string.h>

static bool read_file(const char *path, char **text, size_t *len,
		      struct problems *ps)
{
	GError *err = NULL;

	if (g_file_get_contents(path, text, len, &err))
		return true;
	add_problem(ps, path, 0, "%s", err->message);
	g_error_free(err);
	return false;
}

bool load_settings(const char *path, const struct steering_bounds *fallback,
		   struct settings *s, struct problems *ps)
{
	char *text;
	size_t len;
	bool ok;

	if (!read_file(path, &text, &len, ps))
		return false;
	ok = parse_settings(path, text, len, fallback, s, ps);
	g_free(text);
	return ok;
}

static void load_service(const char *path, GPtrArray *services,
			 struct problems *ps)
{
	struct service *sv;
	char *text;
	size_t len;

	if (!read_file(path, &text, &len, ps))
		return;
	sv = parse_service_file(path, text, len, ps);
	if (sv)
		g_ptr_array_add(services, sv);
	g_free(text);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Loads the directory's service files in the order of their names. */
static void load_directory(const char *path, GPtrArray *services,
			   struct problems *ps)
{
	GError *err = NULL;
	GDir *dir = g_dir_open(path, 0, &err);
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	const char *name;

	if (!dir) {
		add_problem(ps, path, 0, "%s", err->message);
		g_error_free(err);
		g_ptr_array_free(names, TRUE);
		return;
	}
	while ((name = g_dir_read_name(dir)))
		if (g_str_has_suffix(name, ".ini"))
			g_ptr_array_add(names,
					g_build_filename(path, name, NULL));
	g_dir_close(dir);
	g_ptr_array_sort(names, compare_names);
	if (!names->len)
		add_problem(ps, path, 0, "no service file (*.ini) in here");
	for (guint i = 0; i < names->len; i++)
		load_service(g_ptr_array_index(names, i), services, ps);
	g_ptr_array_free(names, TRUE);
}

struct snapshot *load_services(const char *const *paths, size_t path_count,
			       uint64_t epoch, const char *publish_id,
			       struct problems *ps)
{
	GPtrArray *services =
		g_ptr_array_new_with_free_func((GDestroyNotify)unref_service);
	size_t before = problem_count(ps);
	struct snapshot *sn;

	for (size_t i = 0; i < path_count; i++) {
		if (g_file_test(paths[i], G_FILE_TEST_IS_DIR))
			load_directory(paths[i], services, ps);
		else
			load_service(paths[i], services, ps);
	}
	sn = create_snapshot(epoch, publish_id,
			     (struct service *const *)services->pdata,
			     services->len);
	g_ptr_array_free(services, TRUE);
	check_snapshot(sn, ps);
	if (problem_count(ps) == before)
		return sn;
	unref_snapshot(sn);
	return NULL;
}
