/// Prints the keys of documents and settings, which tools/checks/catalogue.sh compares with the
/// reference pages.
#include "tarragontrack/codec/document.h"
#include "tarragontrack/codec/settings.h"
#include <stdio.h>

typedef const TtJsonField *(*Tables) (unsigned index, const char **name, size_t *count);

static void
print_tables (Tables tables)
{
  const char *name;
  const TtJsonField *fields;
  size_t count;

  for (unsigned index = 0; (fields = tables (index, &name, &count)) != NULL; index++)
    for (size_t i = 0; i < count; i++)
      (void) printf ("%s.%s\n", name, fields[i].key);
}

int
main (void)
{
  print_tables (tt_document_fields);
  print_tables (tt_settings_fields);
  return 0;
}
