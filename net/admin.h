#ifndef NET_ADMIN_H
#define NET_ADMIN_H

/* What an instance tells operators over HTTP, as "baobabvalve status" shows. */

#include <jansson.h>
#include <uv.h>

#include "base/counters.h"
#include "config/domains.h"
#include "config/settings.h"
#include "config/snapshot.h"
#include "fleet/view.h"
#include "net/http-server.h"

struct admin_source {
	const struct settings *settings;
	const struct counters *counters;
	const struct view *view;
	const struct snapshot *(*snapshot)(void *data); /* NULL before one */
	const struct domain_set *(*domains)(void *data);
	uint64_t (*store_age_ms)(void *data); /* UINT64_MAX: never reached */
	bool (*is_reader)(void *data);	      /* follows the store */
	size_t (*open_requests)(void *data);
	void *data;
};

/* Parts of the answer that other kinds of instance have too. */
json_t *members_json(const struct view *view);
json_t *counters_json(const struct counters *cs);

/* Serves GET /status at the settings' admin port. */
struct http_server *create_admin(uv_loop_t *loop,
				 const struct admin_source *src,
				 struct status *st);

#endif
