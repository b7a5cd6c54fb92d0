#include "head.h"
#include <string.h>

static void
take_head (void *context, const TtPlatformEvent *answer)
{
  CtlHead *head = context;

  memset (head, 0, sizeof *head);
  head->version = answer->version;
  if (answer->object != NULL && answer->object->type == TT_OBJECT_HEAD)
    head->head = answer->object->head;
}

int
ctl_head_read (CtlSession *session, CtlHead *head)
{
  int code = ctl_session_call (session, TT_PLATFORM_GET, "config/head", 0, NULL, take_head, head);

  return code == TT_E_NOT_FOUND ? TT_OK : code;
}

TtHeadTeam *
ctl_head_team (CtlHead *head, const char *team)
{
  for (uint32_t i = 0; i < head->head.team_count; i++)
    if (strcmp (head->head.teams[i].team, team) == 0)
      return &head->head.teams[i];
  return NULL;
}

typedef struct
{
  char *text;
  char *author;
} DocumentText;

static void
take_document (void *context, const TtPlatformEvent *answer)
{
  DocumentText *document = context;

  if (answer->object == NULL || answer->object->type != TT_OBJECT_DOCUMENT)
    return;
  document->text = g_strndup (answer->object->document.text, answer->object->document.text_size);
  document->author = g_strdup (answer->object->document.author);
}

int
ctl_head_document (CtlSession *session, const TtHeadTeam *team, char **text, char **author)
{
  DocumentText document = { 0 };
  char key[TT_KEY_MAX];
  int code;

  ctl_document_key (&team->hash, key);
  code = ctl_session_call (session, TT_PLATFORM_GET, key, 0, NULL, take_document, &document);
  *text = document.text;
  *author = document.author;
  return code == TT_OK && document.text == NULL ? TT_E_MALFORMED : code;
}
