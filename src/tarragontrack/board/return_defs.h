/// Times at which rejected callers of a pool were told to come back.
#pragma once

#include <stdint.h>

enum
{
  TT_RETURN_CLASSES = 4 ///< priorities that are kept apart; less urgent ones share the last class
};

typedef struct
{
  double
      mean_service_us; ///< from sending an attempt to its complete response; 0 = not measured yet
  int64_t next_us[TT_RETURN_CLASSES]; ///< earliest time for the next caller of the class
} TtReturnPool;
