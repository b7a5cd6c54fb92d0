/// Reads the configuration head (object config/head) and the documents that it refers to.
#pragma once

#include "session.h"

/// The head and its store version; version 0 if the head does not exist yet.
typedef struct
{
  uint64_t version;
  TtHeadObject object;
} CtlHead;

/// Reads config/head.
///
/// RETURN     0, also if the head does not exist, or a negative error number
int ctl_head_read (CtlSession *session, CtlHead *head);

/// Finds the head's entry of a team; NULL if the team has no document.
TtHeadTeam *ctl_head_find_team (CtlHead *head, const char *team);

/// ctl_head_read_document - reads the text of a team's latest document
///
/// ARGUMENTS  text, author: set, freed with g_free()
/// RETURN     0 or a negative error number
int ctl_head_read_document (CtlSession *session, const TtHeadTeam *team, char **text,
                            char **author);
