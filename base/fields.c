/* Field tables.  */

#include <stddef.h>
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "base/fields.h"
#include "base/str.h"

enum
{
  NAME_BYTES_MAX = 64,
  SECRET_DIGITS = 64,
  PORT_MAX = 65535
};

/* Add the sentence "PATH: FMT..." to FAULTS, an array that frees its
   strings.  */
void
jc_faults_add (GPtrArray *faults, const char *path, const char *fmt, ...)
{
  va_list ap;
  char *text;

  va_start (ap, fmt);
  text = g_strdup_vprintf (fmt, ap);
  va_end (ap);
  g_ptr_array_add (faults, g_strconcat (path, ": ", text, NULL));
  g_free (text);
}

static bool
name_valid (const char *text)
{
  size_t len = strlen (text);

  if (len == 0 || len > NAME_BYTES_MAX)
    return false;
  return strspn (text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                       "0123456789-_.:")
         == len;
}

static bool
address_valid (const char *text)
{
  const char *colon = strrchr (text, ':');
  struct in_addr ip;
  char *host;
  char *end;
  long port;
  bool ok;

  if (colon == NULL || colon[1] == '\0')
    return false;
  host = g_strndup (text, (gsize)(colon - text));
  ok = inet_pton (AF_INET, host, &ip) == 1;
  g_free (host);
  port = strtol (colon + 1, &end, 10);
  return ok && *end == '\0' && port >= 0 && port <= PORT_MAX;
}

static bool
secret_valid (const char *text)
{
  return strlen (text) == SECRET_DIGITS
         && strspn (text, "0123456789abcdefABCDEF") == SECRET_DIGITS;
}

static bool
choice_valid (const char *choices, const char *text)
{
  struct jc_str left = jc_str_from_cstr (choices);
  struct jc_str word;

  while (jc_str_cut (&left, '|', &word))
    if (jc_str_equal (word, jc_str_from_cstr (text)))
      return true;
  return false;
}

/* Return what is wrong with TEXT as a value of FIELD, or NULL.  */
static const char *
text_fault (const struct jc_field *field, const char *text)
{
  switch (field->kind)
    {
    case JC_FIELD_NAME:
    case JC_FIELD_REF:
    case JC_FIELD_REFS:
      return name_valid (text) ? NULL : "is not a name";
    case JC_FIELD_REF_OPTIONAL:
      return text[0] == '\0' || name_valid (text) ? NULL : "is not a name";
    case JC_FIELD_ADDRESS:
      return address_valid (text) ? NULL : "is not IP number and port";
    case JC_FIELD_CHOICE:
      return choice_valid (field->target, text) ? NULL : "is not a choice";
    case JC_FIELD_SECRET:
      return secret_valid (text) ? NULL : "is not 64 hex digits";
    default:
      return NULL;
    }
}

static void
parse_text (const struct jc_field *field, const json_t *value, char **slot,
            const char *path, GPtrArray *faults)
{
  const char *fault;

  if (!json_is_string (value))
    {
      jc_faults_add (faults, path, "must be a string");
      return;
    }
  fault = text_fault (field, json_string_value (value));
  if (fault != NULL)
    jc_faults_add (faults, path, "%s", fault);
  g_free (*slot);
  *slot = g_strdup (json_string_value (value));
}

static void
parse_int (const struct jc_field *field, const json_t *value, int64_t *slot,
           const char *path, GPtrArray *faults)
{
  if (!json_is_integer (value))
    {
      jc_faults_add (faults, path, "must be a whole number");
      return;
    }
  *slot = json_integer_value (value);
  if (*slot < field->min || *slot > field->max)
    jc_faults_add (faults, path, "must be from %" PRId64 " to %" PRId64,
                   field->min, field->max);
}

static void
parse_number (const struct jc_field *field, const json_t *value, double *slot,
              const char *path, GPtrArray *faults)
{
  if (!json_is_number (value))
    {
      jc_faults_add (faults, path, "must be a number");
      return;
    }
  *slot = json_number_value (value);
  if (!(*slot >= (double)field->min && *slot <= (double)field->max))
    jc_faults_add (faults, path, "must be from %" PRId64 " to %" PRId64,
                   field->min, field->max);
}

static void
parse_items (const struct jc_field *field, const json_t *value,
             GPtrArray *items, const char *path, GPtrArray *faults)
{
  size_t i;
  const json_t *item;

  if (!json_is_array (value))
    {
      jc_faults_add (faults, path, "must be a list");
      return;
    }
  json_array_foreach ((json_t *)value, i, item)
  {
    char *at = g_strdup_printf ("%s[%zu]", path, i);
    void *made = NULL;

    if (field->kind == JC_FIELD_LIST)
      made = jc_table_parse (field->table, item, at, faults);
    else
      parse_text (field, item, (char **)&made, at, faults);
    if (made != NULL)
      g_ptr_array_add (items, made);
    g_free (at);
  }
}

static void
parse_field (const struct jc_field *field, const json_t *value, char *object,
             const char *path, GPtrArray *faults)
{
  void *slot = object + field->offset;

  switch (field->kind)
    {
    case JC_FIELD_INT:
      parse_int (field, value, slot, path, faults);
      break;
    case JC_FIELD_NUMBER:
      parse_number (field, value, slot, path, faults);
      break;
    case JC_FIELD_BOOL:
      if (!json_is_boolean (value))
        jc_faults_add (faults, path, "must be true or false");
      *(bool *)slot = json_is_true (value);
      break;
    case JC_FIELD_STRINGS:
    case JC_FIELD_REFS:
    case JC_FIELD_LIST:
      parse_items (field, value, *(GPtrArray **)slot, path, faults);
      break;
    default:
      parse_text (field, value, slot, path, faults);
    }
}

static void
preset_field (const struct jc_field *field, char *object)
{
  void *slot = object + field->offset;

  switch (field->kind)
    {
    case JC_FIELD_INT:
      *(int64_t *)slot = field->preset;
      break;
    case JC_FIELD_NUMBER:
      *(double *)slot = g_ascii_strtod (field->preset_text, NULL);
      break;
    case JC_FIELD_BOOL:
      *(bool *)slot = field->preset != 0;
      break;
    case JC_FIELD_STRINGS:
    case JC_FIELD_REFS:
      *(GPtrArray **)slot = g_ptr_array_new_with_free_func (g_free);
      break;
    case JC_FIELD_LIST:
      *(GPtrArray **)slot = g_ptr_array_new ();
      break;
    default:
      *(char **)slot
          = g_strdup (field->preset_text != NULL ? field->preset_text : "");
    }
}

static bool
table_knows (const struct jc_table *table, const char *key)
{
  for (size_t i = 0; i < table->count; i++)
    if (strcmp (table->fields[i].key, key) == 0)
      return true;
  return false;
}

/* What stands before each struct: how many hold it.  */
union object_head
{
  unsigned int holders;
  max_align_t align;
};

static char *
object_new (const struct jc_table *table)
{
  union object_head *head = g_malloc0 (sizeof *head + table->size);

  head->holders = 1;
  return (char *)(head + 1);
}

/* Make a struct of TABLE from JSON.  PATH names it in FAULTS, to which every
   fault is added.  Return the struct, also where there were faults, or NULL
   where JSON is no object.  */
void *
jc_table_parse (const struct jc_table *table, const json_t *json,
                const char *path, GPtrArray *faults)
{
  char *object;
  const char *key;
  json_t *value;

  if (!json_is_object (json))
    {
      jc_faults_add (faults, path, "must be an object");
      return NULL;
    }
  object = object_new (table);
  for (size_t i = 0; i < table->count; i++)
    {
      const struct jc_field *field = &table->fields[i];
      char *at = g_strconcat (path, ".", field->key, NULL);

      preset_field (field, object);
      value = json_object_get (json, field->key);
      if (value != NULL)
        parse_field (field, value, object, at, faults);
      else if (field->required)
        jc_faults_add (faults, at, "is missing");
      g_free (at);
    }
  json_object_foreach ((json_t *)json, key, value)
  {
    if (!table_knows (table, key))
      jc_faults_add (faults, path, "unknown key %s", key);
  }
  return object;
}

/* Make a struct of TABLE from the JSON file FILE, adding every fault to
   FAULTS.  Return NULL where the file is no JSON object.  */
void *
jc_table_load (const struct jc_table *table, const char *file,
               GPtrArray *faults)
{
  json_error_t error;
  json_t *json = json_load_file (file, JSON_REJECT_DUPLICATES, &error);
  void *object;

  if (json == NULL)
    {
      jc_faults_add (faults, file, "line %d: %s", error.line, error.text);
      return NULL;
    }
  object = jc_table_parse (table, json, "settings", faults);
  json_decref (json);
  return object;
}

static void
free_list (const struct jc_table *table, GPtrArray *items)
{
  for (guint i = 0; i < items->len; i++)
    jc_table_unref (table, g_ptr_array_index (items, i));
  g_ptr_array_free (items, TRUE);
}

static void
free_field (const struct jc_field *field, char *object)
{
  void *slot = object + field->offset;

  switch (field->kind)
    {
    case JC_FIELD_INT:
    case JC_FIELD_NUMBER:
    case JC_FIELD_BOOL:
      return;
    case JC_FIELD_LIST:
      free_list (field->table, *(GPtrArray **)slot);
      return;
    case JC_FIELD_STRINGS:
    case JC_FIELD_REFS:
      g_ptr_array_free (*(GPtrArray **)slot, TRUE);
      return;
    default:
      g_free (*(char **)slot);
    }
}

/* Return OBJECT, made by jc_table_parse, for one more holder, who must call
   jc_table_unref as well.  */
void *
jc_table_ref (void *object)
{
  union object_head *head = (union object_head *)object - 1;

  head->holders++;
  return object;
}

/* Free OBJECT, made by jc_table_parse with TABLE, where no other holds it.
   NULL is allowed.  */
void
jc_table_unref (const struct jc_table *table, void *object)
{
  union object_head *head = (union object_head *)object - 1;

  if (object == NULL || --head->holders > 0)
    return;
  for (size_t i = 0; i < table->count; i++)
    free_field (&table->fields[i], object);
  g_free (head);
}
