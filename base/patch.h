#ifndef BASE_PATCH_H
#define BASE_PATCH_H

/*
 * Binary patches: a value compressed by zstd with an older value as dictionary,
 * which is small if most of it did not change. A hash of the result is checked.
 */

#include <glib.h>
#include <stddef.h>

/* The patch that turns OLD into NEW; NULL if compression fails. */
GBytes *make_patch(const void *old, size_t old_len, const void *new,
		   size_t new_len);

/*
 * OLD with PATCH applied. NULL if PATCH is malformed, was made for another
 * value or gives more than MAX bytes.
 */
GBytes *apply_patch(const void *old, size_t old_len, const void *patch,
		    size_t len, size_t max);

#endif
