#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include <stdio.h>
#include <stdlib.h>

/// Allocates the members and enters this daemon.
static int
open_members (void *context, TtBoard *board)
{
  TtMemberSection *section = &board->member;
  TtMember *self;

  (void) context;
  tt_list_init (&section->all);
  tt_list_init (&section->free);
  section->pool = calloc (TT_MAX_MEMBERS, sizeof *section->pool);
  if (section->pool == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 1; i < TT_MAX_MEMBERS; i++)
    tt_list_append (&section->free, &section->pool[i].link);
  self = &section->pool[0];
  self->self = true;
  self->entry.id = tt_hash_string (board->config.name);
  self->entry.domain_id = board->domain_id;
  self->entry.incarnation = board->config.incarnation;
  self->entry.port = board->config.peer_port;
  (void) snprintf (self->name, sizeof self->name, "%s", board->config.name);
  (void) snprintf (self->entry.address, sizeof self->entry.address, "%s", board->config.address);
  tt_list_append (&section->all, &self->link);
  section->self = self;
  section->live_in_domain = 1;
  return TT_OK;
}

static void
close_members (void *context, TtBoard *board)
{
  (void) context;
  free (board->member.pool);
}

TtController
tt_member_controller (void)
{
  return (TtController){ .name = "member", .open = open_members, .close = close_members };
}
