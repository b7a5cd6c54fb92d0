/// Bounds check of msgpack bytes before they are unpacked.
#pragma once

#include <stdbool.h>
#include <stddef.h>

/// tt_msgpack_scan - checks that the bytes hold exactly one value with honest lengths
///
/// msgpack-c allocates an array of the size that its header states, up to 64 GiB for five bytes.
/// This check refuses lengths that the bytes present cannot hold.
///
/// RETURN     true if every stated length fits in the bytes, counting one byte an element
bool tt_msgpack_scan (const void *data, size_t size);
