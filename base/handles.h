#ifndef BASE_HANDLES_H
#define BASE_HANDLES_H

/*
 * A table of pointers addressed by 32-bit handles. A released handle is not
 * reused until the 12-bit generation of its slot wraps around, so that a late
 * event with the handle of a released item finds no item.
 */

#include <stddef.h>
#include <stdint.h>

/* 0 is never a valid handle. */
typedef uint32_t handle_t;

struct handles;

struct handles *create_handles(void);
void destroy_handles(struct handles *hs);

/* Stores ITEM (not NULL) and returns its handle; 0 if the table is full. */
handle_t add_handle(struct handles *hs, void *item);

/* The item of H, or NULL if H was released or never returned. */
void *find_handle(const struct handles *hs, handle_t h);

/* Releases H and returns its item; NULL if H was released before. */
void *remove_handle(struct handles *hs, handle_t h);

/* Number of handles in use. */
size_t handle_count(const struct handles *hs);

#endif
