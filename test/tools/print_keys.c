/// Prints the keys of documents and settings. tools/checks/catalogue.sh compares them with the
/// reference pages.
#include "tarragontrack/codec/document.h"
#include "tarragontrack/codec/settings.h"
#include <stdio.h>

typedef const TtJsonField *(*FieldTableGetter) (unsigned table_index, const char **name,
                                                size_t *count);

static void
print_tables (FieldTableGetter get_table)
{
  const char *name;
  const TtJsonField *fields;
  size_t count;

  for (unsigned table_index = 0; (fields = get_table (table_index, &name, &count)) != NULL;
       table_index++)
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
