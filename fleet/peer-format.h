#ifndef FLEET_PEER_FORMAT_H
#define FLEET_PEER_FORMAT_H

/*
 * First elements of the datagrams that instances send each other. Receivers
 * choose the reader by it and ignore numbers that they do not know, so every
 * layout has a number of its own, which no other layout takes over.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum peer_format {
	UPDATE_REQUEST = 7,  /* request for the changes after a position */
	UPDATE_NOT_KEPT = 8, /* reply: no longer kept; read the store */
	UPDATE_CHANGES = 9,
	/* differences from the content before the store was restored; parts of
	 * them lead to positions of the new era that the store never has */
	UPDATE_RESTORED = 10,
	UPDATE_HELD = 12, /* records that the sender holds */
	HEARTBEAT_FORMAT = 13,
	UPDATE_HELD_REQUEST = 14, /* from an instance that has just started */
	FLOWS_MOVED = 15,	  /* flows whose packets the sender now gets */
	HEALTH_NOTICE_FORMAT = 16,
	INTRODUCTION_REQUEST = 17, /* for the members that the receiver knows */
	INTRODUCTION = 18,	   /* addresses of members */
	VALUE_REQUEST = 19,	   /* for a value that updates leave out */
	VALUE_PART = 20,
	SPLIT_FLOWS = 21,	 /* flows with several upstreams */
	SPLIT_FLOWS_REQUEST = 22 /* for all that the receiver knows */
};

/* True if DATA, of LEN bytes, begins like a message of FORMAT. */
bool has_peer_format(const uint8_t *data, size_t len, enum peer_format format);

#endif
