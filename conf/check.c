/* Checks over a whole configuration: references and conflicts.  */

#include <string.h>

#include "conf/check.h"
#include "conf/config.h"

static int
kind_of_target (const char *target)
{
  for (int i = 0; i < JC_OBJECT_KINDS; i++)
    if (strcmp (jc_object_tables[i]->name, target) == 0)
      return i;
  return -1;
}

static void
check_ref (const struct jc_config *config, const struct jc_field *field,
           const char *name, const char *path, GPtrArray *faults)
{
  int kind = kind_of_target (field->target);

  if (name[0] == '\0')
    return;
  if (jc_config_find (config, (enum jc_object_kind)kind, name) == NULL)
    jc_fault (faults, path, "no %s is called %s", field->target, name);
}

static void
check_field (const struct jc_config *config, const struct jc_field *field,
             const char *object, const char *path, GPtrArray *faults)
{
  const void *slot = object + field->offset;
  const GPtrArray *names;

  if (field->kind == JC_FIELD_REF || field->kind == JC_FIELD_REF_OPTIONAL)
    check_ref (config, field, *(char *const *)slot, path, faults);
  if (field->kind != JC_FIELD_REFS)
    return;
  names = *(GPtrArray *const *)slot;
  if (names->len == 0)
    jc_fault (faults, path, "must not be empty");
  for (guint i = 0; i < names->len; i++)
    check_ref (config, field, g_ptr_array_index (names, i), path, faults);
}

static void
check_refs (const struct jc_config *config, int kind, GPtrArray *faults)
{
  const struct jc_table *table = jc_object_tables[kind];
  GHashTableIter iter;
  gpointer name;
  gpointer object;

  g_hash_table_iter_init (&iter, config->by_name[kind]);
  while (g_hash_table_iter_next (&iter, &name, &object))
    for (size_t i = 0; i < table->count; i++)
      {
        char *path = g_strdup_printf ("%s/%s.%s", table->name,
                                      (const char *)name, table->fields[i].key);

        check_field (config, &table->fields[i], object, path, faults);
        g_free (path);
      }
}

/* Add to FAULTS every broken reference and conflict of CONFIG.  */
void
jc_config_check (const struct jc_config *config, GPtrArray *faults)
{
  for (int kind = 0; kind < JC_OBJECT_KINDS; kind++)
    check_refs (config, kind, faults);
}
