/* Field tables: how a JSON object becomes a struct, with every fault named
   by its path.  The tables are generated from the schema.  */

#ifndef JC_FIELDS_H
#define JC_FIELDS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum jc_field_kind
{
  JC_FIELD_NAME,
  JC_FIELD_STRING,
  JC_FIELD_SECRET,
  JC_FIELD_ADDRESS,
  JC_FIELD_INT,
  JC_FIELD_NUMBER,
  JC_FIELD_BOOL,
  JC_FIELD_STRINGS,
  JC_FIELD_REF,
  JC_FIELD_REF_OPTIONAL,
  JC_FIELD_REFS,
  JC_FIELD_LIST,
  JC_FIELD_CHOICE
};

struct jc_table;

/* One key of a JSON object and its place in the struct.  TARGET is the kind
   of object referred to, or the words to choose from, split by '|'.  */
struct jc_field
{
  const char *key;
  enum jc_field_kind kind;
  size_t offset;
  bool required;
  int64_t min;
  int64_t max;
  int64_t preset;
  const char *preset_text;
  const char *target;
  const struct jc_table *table;
};

/* All keys of one kind of JSON object.  */
struct jc_table
{
  const char *name;
  size_t size;
  const struct jc_field *fields;
  size_t count;
};

void *jc_table_parse (const struct jc_table *table, const json_t *json,
                      const char *path, GPtrArray *faults);
void *jc_table_load (const struct jc_table *table, const char *file,
                     GPtrArray *faults);
void *jc_table_ref (void *object);
void jc_table_unref (const struct jc_table *table, void *object);
void jc_faults_add (GPtrArray *faults, const char *path, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
