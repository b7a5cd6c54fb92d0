/// Intrusive doubly linked lists. A record embeds one TtLink for each list it can be a member of.
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

/// Pointer to the struct of @type whose member @member is the link at @ptr.
#define TT_CONTAINER_OF(ptr, type, member) ((type *) ((char *) (ptr) -offsetof (type, member)))

/// Iterates over a list. The loop body may remove @it from the list, but no other link.
#define TT_LIST_FOREACH(list, it)                                                                  \
  for (TtLink *it = (list)->head.next, *it##_next = it->next; it != &(list)->head;                 \
       it = it##_next, it##_next = it->next)

/// Initializes an empty list. Must be called before any other use of the list.
void tt_list_init (TtList *list);

/// Initializes a link that is not on a list.
void tt_link_init (TtLink *link);

/// True if the link is on a list.
bool tt_link_is_linked (const TtLink *link);

/// Adds a link at the end of the list. The link must not be on a list.
void tt_list_append (TtList *list, TtLink *link);

/// Adds a link at the front of the list. The link must not be on a list.
void tt_list_prepend (TtList *list, TtLink *link);

/// Adds a link, which must not be on a list, directly before @before, which must be on @list.
void tt_list_insert_before (TtList *list, TtLink *before, TtLink *link);

/// Removes a link from @list, which must be the list that holds it; does nothing if the link is
/// not on a list.
void tt_list_remove (TtList *list, TtLink *link);

/// Removes and returns the first link.
///
/// RETURN     the link, or NULL if the list is empty
TtLink *tt_list_pop (TtList *list);

/// Returns the first link without removing it, or NULL if the list is empty.
TtLink *tt_list_first (const TtList *list);
