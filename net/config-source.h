#ifndef NET_CONFIG_SOURCE_H
#define NET_CONFIG_SOURCE_H

/*
 * The source of an instance's configuration: the platform's store, whose
 * changes it follows, or a local directory of service files.
 */

#include <uv.h>

#include "base/counters.h"
#include "config/domains.h"
#include "config/settings.h"
#include "config/snapshot.h"
#include "fleet/view.h"

struct config_sink {
	/* A snapshot was read; it may be older than the one in force. */
	void (*on_snapshot)(const struct snapshot *sn, void *data);
	/* A domain's record was read; it may be older than the one in force. */
	void (*on_domain)(const struct domain_record *rec, void *data);
	void *data;
};

struct config_source;

/*
 * Starts reading. NULL if the local directory's files are invalid. VIEW decides
 * whether this instance is a store reader, which watches the store.
 */
struct config_source *create_config_source(uv_loop_t *loop,
					   const struct settings *settings,
					   const struct view *view,
					   struct counters *counters,
					   const struct config_sink *sink);
void destroy_config_source(struct config_source *src);

/* Notes what is in force here, also if a peer sent it. */
void note_config_snapshot(struct config_source *src, const struct snapshot *sn);
void note_config_domain(struct config_source *src,
			const struct domain_record *rec);

/* Reads a local directory again; on an error, what is in force remains. */
void reload_config_source(struct config_source *src);

/* Time since the store last answered; UINT64_MAX if it never has. */
uint64_t config_store_age_ms(const struct config_source *src);

/* True if this instance reads and watches the store. */
bool config_is_store_reader(const struct config_source *src);

#endif
