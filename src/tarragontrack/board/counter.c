#include "tarragontrack/board/counter.h"

const char *
tt_counter_name (TtCounterId id)
{
  static const char *const names[] = {
#define TT_COUNTER_NAME(id, name, help) name,
    TT_COUNTER_LIST (TT_COUNTER_NAME)
#undef TT_COUNTER_NAME
  };

  return (unsigned) id < TT_COUNT_END ? names[id] : "";
}

const char *
tt_counter_help (TtCounterId id)
{
  static const char *const texts[] = {
#define TT_COUNTER_HELP(id, name, help) help,
    TT_COUNTER_LIST (TT_COUNTER_HELP)
#undef TT_COUNTER_HELP
  };

  return (unsigned) id < TT_COUNT_END ? texts[id] : "";
}
