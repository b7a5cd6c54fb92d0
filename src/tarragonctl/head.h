/// Functions that read the object config/head, which lists the latest document of each team, and
/// these documents.
#pragma once

#include "session.h"

/// Content of config/head and its version in the store; version 0 if the object does not exist yet.
typedef struct
{
  uint64_t version;
  TtHeadObject object;
} CtlHead;

/// Reads config/head.
///
/// RETURN     0, also if the object does not exist, or a negative error number
int ctl_head_read (CtlSession *session, CtlHead *head);

/// Finds the entry of a team in the head; NULL if the team has no document.
TtHeadTeam *ctl_head_find_team (CtlHead *head, const char *team);

/// ctl_head_read_document - reads the text of a team's latest document
///
/// ARGUMENTS  text, author: set to copies, which the caller frees with g_free()
/// RETURN     0 or a negative error number
int ctl_head_read_document (CtlSession *session, const TtHeadTeam *team, char **text,
                            char **author);
