#include "base/patch.h"

#include <string.h>
#include <xxhash.h>
#include <zstd.h>

#define ZSTD_LEVEL 3

/* The last bytes of a patch: hash of the resulting value, little-endian. */
#define HASH_BYTES 8

static void write_hash(guint8 *to, const void *value, size_t len)
{
	uint64_t hash = GUINT64_TO_LE(XXH3_64bits(value, len));

	memcpy(to, &hash, HASH_BYTES);
}

GBytes *make_patch(const void *old, size_t old_len, const void *new,
		   size_t new_len)
{
	size_t bound = ZSTD_compressBound(new_len);
	guint8 *patch = g_malloc(bound + HASH_BYTES);
	ZSTD_CCtx *ctx = ZSTD_createCCtx();
	size_t len = ZSTD_compress_usingDict(ctx, patch, bound, new, new_len,
					     old, old_len, ZSTD_LEVEL);

	ZSTD_freeCCtx(ctx);
	if (ZSTD_isError(len)) {
		g_free(patch);
		return NULL;
	}
	write_hash(patch + len, new, new_len);
	return g_bytes_new_take(patch, len + HASH_BYTES);
}

GBytes *apply_patch(const void *old, size_t old_len, const void *patch,
		    size_t len, size_t max)
{
	size_t body = len > HASH_BYTES ? len - HASH_BYTES : 0;
	unsigned long long size = ZSTD_getFrameContentSize(patch, body);
	guint8 hash[HASH_BYTES];
	ZSTD_DCtx *ctx;
	guint8 *value;
	size_t got;

	if (size == ZSTD_CONTENTSIZE_ERROR ||
	    size == ZSTD_CONTENTSIZE_UNKNOWN || size > max)
		return NULL;
	value = g_malloc(size + 1);
	ctx = ZSTD_createDCtx();
	got = ZSTD_decompress_usingDict(ctx, value, size, patch, body, old,
					old_len);
	ZSTD_freeDCtx(ctx);
	if (got == size) {
		write_hash(hash, value, size);
		if (!memcmp(hash, (const guint8 *)patch + body, HASH_BYTES))
			return g_bytes_new_take(value, size);
	}
	g_free(value);
	return NULL;
}
