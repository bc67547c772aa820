#ifndef BASE_VERSION_H
#define BASE_VERSION_H

#define VERSION "0.1.0"

/*
 * Identifies the sources that this program was built from: the first 12
 * hexadecimal digits of a digest of the product's C files and headers. Builds
 * of the same sources have the same id wherever they are made.
 */
const char *build_id(void);

#endif
