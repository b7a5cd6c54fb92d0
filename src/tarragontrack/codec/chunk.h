/// Strict incremental decoder of a message body in chunks (RFC 9112, section 7.1). A lenient one
/// takes garbage for a chunk's size: a body that broke off would look complete.
#pragma once

#include <stdbool.h>
#include <stddef.h>

enum
{
  TT_CHUNK_MAX_LINE_BYTES = 256, ///< of the line with a chunk's size; extensions are ignored
  /// Of all trailers; below the limit at which libcurl reports a trailer as a failed connection.
  TT_CHUNK_MAX_TRAILER_BYTES = 2048,
  TT_CHUNK_MAX_DIGITS = 16 ///< of a chunk's size, as in libcurl
};

typedef enum
{
  TT_CHUNK_SIZE_START, ///< initial state
  TT_CHUNK_SIZE,
  TT_CHUNK_EXTENSION_START,
  TT_CHUNK_EXTENSION,
  TT_CHUNK_EXTENSION_VALUE_START,
  TT_CHUNK_EXTENSION_VALUE,
  TT_CHUNK_EXTENSION_QUOTED,
  TT_CHUNK_EXTENSION_QUOTED_PAIR,
  TT_CHUNK_EXTENSION_QUOTED_END,
  TT_CHUNK_SIZE_LF,
  TT_CHUNK_DATA,
  TT_CHUNK_DATA_CR,
  TT_CHUNK_DATA_LF,
  TT_CHUNK_TRAILER_START,
  TT_CHUNK_TRAILER_NAME,
  TT_CHUNK_TRAILER_VALUE,
  TT_CHUNK_TRAILER_LF,
  TT_CHUNK_END_LF,
  TT_CHUNK_DONE,     ///< the body is complete; further bytes are no part of it
  TT_CHUNK_MALFORMED ///< the bytes are no body in chunks
} TtChunkState;

typedef struct
{
  TtChunkState state;
  size_t remaining;  ///< bytes of the chunk that are still to come
  size_t digits;     ///< of the chunk's size
  size_t line_bytes; ///< of the line with the chunk's size, or of all trailers
} TtChunkDecoder;

/// tt_chunk_read - decodes bytes up to the end of the next piece of the body
///
/// ARGUMENTS  body, body_size: set to the piece, which is a part of @data; the size is 0 if there
///            is none
/// RETURN     number of bytes that were read. At TT_CHUNK_MALFORMED, the byte after them is the
///            first that fits no form
/// BOUNDS     does not copy
size_t tt_chunk_read (TtChunkDecoder *decoder, const char *data, size_t size, const char **body,
                      size_t *body_size);
