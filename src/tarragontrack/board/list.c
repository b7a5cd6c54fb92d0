#include "tarragontrack/board/list.h"

void
tt_list_init (TtList *list)
{
  list->head.prev = &list->head;
  list->head.next = &list->head;
  list->count = 0;
}

void
tt_link_init (TtLink *link)
{
  link->prev = NULL;
  link->next = NULL;
}

bool
tt_link_is_linked (const TtLink *link)
{
  return link->next != NULL;
}

void
tt_list_insert_before (TtList *list, TtLink *before, TtLink *link)
{
  link->prev = before->prev;
  link->next = before;
  before->prev->next = link;
  before->prev = link;
  list->count++;
}

void
tt_list_append (TtList *list, TtLink *link)
{
  tt_list_insert_before (list, &list->head, link);
}

void
tt_list_prepend (TtList *list, TtLink *link)
{
  tt_list_insert_before (list, list->head.next, link);
}

void
tt_list_remove (TtList *list, TtLink *link)
{
  if (!tt_link_is_linked (link))
    return;
  link->prev->next = link->next;
  link->next->prev = link->prev;
  tt_link_init (link);
  list->count--;
}

TtLink *
tt_list_first (const TtList *list)
{
  return list->count > 0 ? list->head.next : NULL;
}

TtLink *
tt_list_pop (TtList *list)
{
  TtLink *link = tt_list_first (list);

  if (link != NULL)
    tt_list_remove (list, link);
  return link;
}
