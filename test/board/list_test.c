#include "support/unit.h"
#include "tarragontrack/board/list.h"

typedef struct
{
  int value;
  TtLink link;
} Item;

/// Guards against an iteration that reads a link after its record was removed from the list.
static void
remove_during_iteration (void)
{
  Item items[4] = { { .value = 0 }, { .value = 1 }, { .value = 2 }, { .value = 3 } };
  TtList list;
  int sum = 0;

  tt_list_init (&list);
  for (int i = 0; i < 4; i++)
    tt_list_append (&list, &items[i].link);
  TT_LIST_FOREACH (&list, it)
    {
      sum += TT_CONTAINER_OF (it, Item, link)->value;
      tt_list_remove (&list, it);
    }
  CU_ASSERT_EQUAL (sum, 6);
  CU_ASSERT_EQUAL (list.count, 0);
  CU_ASSERT_PTR_NULL (tt_list_first (&list));
}

/// Guards against a list count that decreases twice when a record is removed twice.
static void
remove_twice (void)
{
  Item item = { .value = 1 };
  TtList list;

  tt_list_init (&list);
  tt_list_append (&list, &item.link);
  tt_list_remove (&list, &item.link);
  tt_list_remove (&list, &item.link);
  CU_ASSERT_EQUAL (list.count, 0);
  CU_ASSERT_FALSE (tt_link_is_linked (&item.link));
}

/// Guards against links that are inserted at the wrong position.
static void
insertion_position (void)
{
  Item items[3] = { { .value = 0 }, { .value = 1 }, { .value = 2 } };
  TtList list;

  tt_list_init (&list);
  tt_list_append (&list, &items[2].link);
  tt_list_prepend (&list, &items[0].link);
  tt_list_insert_before (&list, &items[2].link, &items[1].link);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (TT_CONTAINER_OF (tt_list_pop (&list), Item, link)->value, i);
}

static const UnitTest tests[] = {
  { "a record is removed during iteration", remove_during_iteration },
  { "a second removal does not change the count", remove_twice },
  { "records are inserted at the requested position", insertion_position },
};

UNIT_MAIN ("list", tests)
