#ifndef NET_SOURCE_H
#define NET_SOURCE_H

/*
 * Where an instance has its configuration from: the platform's store, which
 * it follows, or a local directory of service files.
 */

#include <uv.h>

#include "base/counters.h"
#include "config/domains.h"
#include "config/settings.h"
#include "config/snapshot.h"
#include "fleet/view.h"

struct source_sink {
	/* A snapshot was read; its epoch may be old. */
	void (*on_snapshot)(const struct snapshot *sn, void *data);
	/* A domain's record was read; its epoch may be old. */
	void (*on_domain)(const struct domain_record *rec, void *data);
	void *data;
};

struct source;

/*
 * Starts to read. NULL if the local directory's files are not right. VIEW
 * tells whether this instance is one that follows the store closely.
 */
struct source *create_source(uv_loop_t *loop, const struct settings *settings,
			     const struct view *view, struct counters *counters,
			     const struct source_sink *sink);
void destroy_source(struct source *src);

/* Tells what is in force here, whoever brought it. */
void note_source_snapshot(struct source *src, const struct snapshot *sn);
void note_source_domain(struct source *src, const struct domain_record *rec);

/* Reads a local directory again; on an error what is in force stays. */
void reload_source(struct source *src);

/* Since the store last answered; UINT64_MAX if it never has. */
uint64_t source_contact_age_ms(const struct source *src);

/* Whether this instance follows the store closely. */
bool source_is_reader(const struct source *src);

#endif
