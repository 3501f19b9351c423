/* Field tables: map the keys of a JSON object to the members of a struct.
   Parsing collects all errors, each with the path of its value, rather than
   stopping at the first.  The tables are generated from schema/schema.json.  */

#ifndef JC_FIELDS_H
#define JC_FIELDS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Type of a value.  A NAME identifies an object; REF, REF_OPTIONAL and REFS
   hold the names of other objects.  REF_OPTIONAL may be empty.  SECRET is a
   string of 64 hex digits, ADDRESS an IPv4 address with a port, LIST a list of
   objects with a table of their own.  */
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

/* A key of a JSON object, stored at OFFSET of the struct.  MIN and MAX limit
   numbers, both inclusive.  PRESET is the default of an integer or boolean,
   PRESET_TEXT of any other value; NULL stands for "".  TARGET is the kind of
   object that a reference points to, or the choices of JC_FIELD_CHOICE
   separated by '|'.  TABLE describes the items of a JC_FIELD_LIST.  */
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

/* All keys of a kind of JSON object, and the SIZE of its struct.  */
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
void jc_faults_add_json (GPtrArray *faults, const char *path,
                         const json_error_t *error);

#endif
