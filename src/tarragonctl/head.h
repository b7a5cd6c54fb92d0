/// The head of the configuration and the documents that it names.
#pragma once

#include "ctl.h"

/// The head as read, with its version; version 0 if there is none yet.
typedef struct
{
  uint64_t version;
  TtHeadObject head;
} CtlHead;

/// Reads config/head. RETURN 0 (also when there is none) or a negative error number.
int ctl_head_read (CtlSession *session, CtlHead *head);

/// Entry of a team in the head; NULL if it has no document.
TtHeadTeam *ctl_head_team (CtlHead *head, const char *team);

/// ctl_head_document - reads the text of a team's latest document
///
/// ARGUMENTS  text, author: set, freed with g_free()
/// RETURN     0 or a negative error number
int ctl_head_document (CtlSession *session, const TtHeadTeam *team, char **text, char **author);
