#ifndef STORE_CURL_LIBRARY_H
#define STORE_CURL_LIBRARY_H

/*
 * libcurl, loaded when the first etcd client is created. It brings some thirty
 * libraries of its own: a program that is linked with it loads them at each
 * start, also where it talks to another store.
 */

#include <curl/curl.h>

/* The functions in use, by their names in libcurl without "curl_". */
struct curl_library {
	__typeof__(&curl_easy_init) easy_init;
	__typeof__(&curl_easy_cleanup) easy_cleanup;
	__typeof__(&curl_easy_setopt) easy_setopt;
	__typeof__(&curl_easy_getinfo) easy_getinfo;
	__typeof__(&curl_easy_strerror) easy_strerror;
	__typeof__(&curl_multi_init) multi_init;
	__typeof__(&curl_multi_cleanup) multi_cleanup;
	__typeof__(&curl_multi_setopt) multi_setopt;
	__typeof__(&curl_multi_assign) multi_assign;
	__typeof__(&curl_multi_add_handle) multi_add_handle;
	__typeof__(&curl_multi_remove_handle) multi_remove_handle;
	__typeof__(&curl_multi_info_read) multi_info_read;
	__typeof__(&curl_multi_socket_action) multi_socket_action;
	__typeof__(&curl_slist_append) slist_append;
	__typeof__(&curl_slist_free_all) slist_free_all;
};

/*
 * Loads libcurl at the first call. Ends the process with a message if it is
 * missing, as the dynamic linker does for linked libraries.
 */
const struct curl_library *load_curl_library(void);

#endif
