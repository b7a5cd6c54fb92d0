#include "head.h"
#include <string.h>

static void
on_head_read (void *context, const TtPlatformEvent *response)
{
  CtlHead *head = context;

  memset (head, 0, sizeof *head);
  head->version = response->version;
  if (response->object != NULL && response->object->type == TT_OBJECT_HEAD)
    head->object = response->object->head;
}

int
ctl_head_read (CtlSession *session, CtlHead *head)
{
  int code
      = ctl_session_call (session, TT_PLATFORM_GET, "config/head", 0, NULL, on_head_read, head);

  return code == TT_E_NOT_FOUND ? TT_OK : code;
}

TtHeadTeam *
ctl_head_find_team (CtlHead *head, const char *team)
{
  for (uint32_t i = 0; i < head->object.team_count; i++)
    if (strcmp (head->object.teams[i].team, team) == 0)
      return &head->object.teams[i];
  return NULL;
}

typedef struct
{
  char *text;
  char *author;
} DocumentText;

static void
on_document_read (void *context, const TtPlatformEvent *response)
{
  DocumentText *document = context;

  if (response->object == NULL || response->object->type != TT_OBJECT_DOCUMENT)
    return;
  document->text
      = g_strndup (response->object->document.text, response->object->document.text_size);
  document->author = g_strdup (response->object->document.author);
}

int
ctl_head_read_document (CtlSession *session, const TtHeadTeam *team, char **text, char **author)
{
  DocumentText document = { 0 };
  char key[TT_KEY_MAX];
  int code;

  ctl_session_format_document_key (&team->hash, key);
  code = ctl_session_call (session, TT_PLATFORM_GET, key, 0, NULL, on_document_read, &document);
  *text = document.text;
  *author = document.author;
  return code == TT_OK && document.text == NULL ? TT_E_MALFORMED : code;
}
