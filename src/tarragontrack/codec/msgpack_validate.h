/// Validation of msgpack lengths before unpacking.
#pragma once

#include <stdbool.h>
#include <stddef.h>

/// tt_msgpack_validate - checks that the bytes contain exactly one value and that its lengths fit
///
/// msgpack-c allocates memory for all elements that the header of an array or map announces, at 24
/// or 48 bytes each: up to 192 GiB for five bytes of input. This check rejects lengths that exceed
/// the remaining input.
///
/// RETURN     true if every length fits into the input, at one byte per element
bool tt_msgpack_validate (const void *data, size_t size);
