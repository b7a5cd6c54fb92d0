/// Limits the nesting of JSON texts from the store. Other programs write some of its entries, and a
/// parser that rejects or recurses into one deeply nested value would lose the whole list with it.
#pragma once

#include <stddef.h>

enum
{
  TT_NESTING_MAX = 16 ///< levels of objects and arrays that are kept; entries need 5
};

/// tt_nesting_cut - replaces values that are nested more deeply than TT_NESTING_MAX
///
/// Each of them becomes the number 0 in a copy of the text, which has the same length.
///
/// RETURN     the copy, which the caller frees; NULL if the text has no such values or memory could
///            not be allocated
char *tt_nesting_cut (const char *text, size_t size);
