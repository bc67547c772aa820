#ifndef NET_ADMIN_H
#define NET_ADMIN_H

/* An instance's status over HTTP, as "baobabvalve status" shows it. */

#include <jansson.h>
#include <uv.h>

#include "base/counters.h"
#include "config/domains.h"
#include "config/settings.h"
#include "config/snapshot.h"
#include "fleet/view.h"
#include "net/http-server.h"

/* Where the status is read from. */
struct admin_source {
	const struct settings *settings;
	const struct counters *counters;
	const struct view *view;
	const struct snapshot *(*snapshot)(void *data); /* NULL: none yet */
	const struct domain_set *(*domains)(void *data);
	uint64_t (*store_age_ms)(void *data); /* UINT64_MAX: never answered */
	bool (*reads_store)(void *data);      /* reads and watches the store */
	size_t (*open_requests)(void *data);
	void *data;
};

/* Parts of the status that net/edge-status.c uses too. */
json_t *members_json(const struct view *view);
json_t *counters_json(const struct counters *cs);

/* Serves GET /status on the settings' admin port; SRC must outlive it. */
struct http_server *create_admin(uv_loop_t *loop,
				 const struct admin_source *src,
				 struct status *st);

#endif
