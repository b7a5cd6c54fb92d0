/// Intrusive doubly linked lists. A record holds a TtLink for each list it can be on.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct TtLink TtLink;

struct TtLink
{
  TtLink *prev;
  TtLink *next;
};

typedef struct
{
  TtLink head;
  uint32_t count;
} TtList;

/// The record of @type that holds the link @ptr as its member @member.
#define TT_CONTAINER_OF(ptr, type, member) ((type *) ((char *) (ptr) -offsetof (type, member)))

/// Loops over a list; the body may remove @it from the list, but no other link.
#define TT_LIST_FOREACH(list, it)                                                                  \
  for (TtLink *it = (list)->head.next, *it##_next = it->next; it != &(list)->head;                 \
       it = it##_next, it##_next = it->next)

/// Makes a list empty. Must be called before any other use of the list.
void tt_list_init (TtList *list);

/// Marks a link as being on no list.
void tt_link_init (TtLink *link);

/// True if the link is on a list.
bool tt_link_is_linked (const TtLink *link);

/// Adds a link at the end. The link must be on no list.
void tt_list_append (TtList *list, TtLink *link);

/// Adds a link at the front. The link must be on no list.
void tt_list_prepend (TtList *list, TtLink *link);

/// Adds a link directly before @before, which is on the list.
void tt_list_insert_before (TtList *list, TtLink *before, TtLink *link);

/// Removes a link from the list that it is on; a link on no list is left alone.
void tt_list_remove (TtList *list, TtLink *link);

/// Removes the first link.
///
/// RETURN     the link, or NULL if the list is empty
TtLink *tt_list_pop (TtList *list);

/// The first link, or NULL if the list is empty.
TtLink *tt_list_first (const TtList *list);
