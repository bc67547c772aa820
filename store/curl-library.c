#include "store/curl-library.h"

#include <gmodule.h>
#include <stdio.h>
#include <stdlib.h>

#define LIBCURL "libcurl.so.4"

static void die_of_library_error(void)
{
	fprintf(stderr, "cannot load %s: %s\n", LIBCURL, g_module_error());
	exit(EXIT_FAILURE);
}

static gpointer load_symbol(GModule *module, const char *name)
{
	gpointer symbol = NULL;

	if (!g_module_symbol(module, name, &symbol))
		die_of_library_error();
	return symbol;
}

#define LOAD(lib, module, fn) ((lib)->fn = load_symbol(module, "curl_" #fn))

const struct curl_library *load_curl_library(void)
{
	static struct curl_library lib;
	GModule *module;

	if (lib.easy_init)
		return &lib;
	module = g_module_open(LIBCURL, G_MODULE_BIND_LAZY);
	if (!module)
		die_of_library_error();
	LOAD(&lib, module, easy_init);
	LOAD(&lib, module, easy_cleanup);
	LOAD(&lib, module, easy_setopt);
	LOAD(&lib, module, easy_getinfo);
	LOAD(&lib, module, easy_strerror);
	LOAD(&lib, module, multi_init);
	LOAD(&lib, module, multi_cleanup);
	LOAD(&lib, module, multi_setopt);
	LOAD(&lib, module, multi_assign);
	LOAD(&lib, module, multi_add_handle);
	LOAD(&lib, module, multi_remove_handle);
	LOAD(&lib, module, multi_info_read);
	LOAD(&lib, module, multi_socket_action);
	LOAD(&lib, module, slist_append);
	LOAD(&lib, module, slist_free_all);
	return &lib;
}
