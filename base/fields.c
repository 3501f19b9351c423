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
  SECRET_HEX_DIGITS = 64,
  PORT_MAX = 65535
};

/* Add the error "PATH: " and the text of FMT to FAULTS, whose free function
   must be g_free.  PATH is the location of the faulty value.  */
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

/* Add ERROR of the JSON parser to FAULTS without the text that it quotes, which
   may be of a key.  */
void
jc_faults_add_json (GPtrArray *faults, const char *path,
                    const json_error_t *error)
{
  static const char *const quotes[] = { " near ", " '\\" };
  size_t len = strlen (error->text);

  for (size_t i = 0; i < G_N_ELEMENTS (quotes); i++)
    {
      const char *quote = strstr (error->text, quotes[i]);

      if (quote != NULL)
        len = MIN (len, (size_t)(quote - error->text));
    }
  jc_faults_add (faults, path, "line %d: %.*s, column %d", error->line,
                 (int)len, error->text, error->column);
}

static bool
is_valid_name (const char *text)
{
  size_t len = strlen (text);

  if (len == 0 || len > NAME_BYTES_MAX)
    return false;
  return strspn (text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                       "0123456789-_.:")
         == len;
}

static bool
is_valid_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  struct in_addr ip;
  char *host;
  char *end;
  long port;
  bool ok;

  if (colon == NULL || !g_ascii_isdigit (colon[1]))
    return false;
  host = g_strndup (text, (gsize)(colon - text));
  ok = inet_pton (AF_INET, host, &ip) == 1;
  g_free (host);
  port = strtol (colon + 1, &end, 10);
  return ok && *end == '\0' && port >= 0 && port <= PORT_MAX;
}

static bool
is_valid_secret (const char *text)
{
  return strlen (text) == SECRET_HEX_DIGITS
         && strspn (text, "0123456789abcdefABCDEF") == SECRET_HEX_DIGITS;
}

static bool
is_valid_choice (const char *choices, const char *text)
{
  struct jc_str rest = jc_str_from_cstr (choices);
  struct jc_str choice;

  while (jc_str_cut (&rest, '|', &choice))
    if (jc_str_equal (choice, jc_str_from_cstr (text)))
      return true;
  return false;
}

/* Return why TEXT is not a valid value of FIELD, or NULL if it is valid.  */
static const char *
check_text (const struct jc_field *field, const char *text)
{
  switch (field->kind)
    {
    case JC_FIELD_NAME:
    case JC_FIELD_REF:
    case JC_FIELD_REFS:
      return is_valid_name (text) ? NULL : "is not a name";
    case JC_FIELD_REF_OPTIONAL:
      return text[0] == '\0' || is_valid_name (text) ? NULL : "is not a name";
    case JC_FIELD_ADDRESS:
      return is_valid_address (text) ? NULL : "is not IP number and port";
    case JC_FIELD_CHOICE:
      return is_valid_choice (field->target, text) ? NULL : "is not a choice";
    case JC_FIELD_SECRET:
      return is_valid_secret (text) ? NULL : "is not 64 hex digits";
    default:
      return NULL;
    }
}

/* Store the string VALUE at MEMBER, also if it is invalid, and free the string
   that was there.  */
static void
parse_text (const struct jc_field *field, const json_t *value, char **member,
            const char *path, GPtrArray *faults)
{
  const char *fault;

  if (!json_is_string (value))
    {
      jc_faults_add (faults, path, "must be a string");
      return;
    }
  fault = check_text (field, json_string_value (value));
  if (fault != NULL)
    jc_faults_add (faults, path, "%s", fault);
  g_free (*member);
  *member = g_strdup (json_string_value (value));
}

static void
parse_int (const struct jc_field *field, const json_t *value, int64_t *member,
           const char *path, GPtrArray *faults)
{
  if (!json_is_integer (value))
    {
      jc_faults_add (faults, path, "must be a whole number");
      return;
    }
  *member = json_integer_value (value);
  if (*member < field->min || *member > field->max)
    jc_faults_add (faults, path, "must be from %" PRId64 " to %" PRId64,
                   field->min, field->max);
}

static void
parse_number (const struct jc_field *field, const json_t *value, double *member,
              const char *path, GPtrArray *faults)
{
  if (!json_is_number (value))
    {
      jc_faults_add (faults, path, "must be a number");
      return;
    }
  *member = json_number_value (value);
  if (!(*member >= (double)field->min && *member <= (double)field->max))
    jc_faults_add (faults, path, "must be from %" PRId64 " to %" PRId64,
                   field->min, field->max);
}

/* Append the elements of the list VALUE to ITEMS: parsed objects for
   JC_FIELD_LIST, else strings.  */
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
    char *item_path = g_strdup_printf ("%s[%zu]", path, i);
    void *parsed = NULL;

    if (field->kind == JC_FIELD_LIST)
      parsed = jc_table_parse (field->table, item, item_path, faults);
    else
      parse_text (field, item, (char **)&parsed, item_path, faults);
    if (parsed != NULL)
      g_ptr_array_add (items, parsed);
    g_free (item_path);
  }
}

static void
parse_field (const struct jc_field *field, const json_t *value, char *object,
             const char *path, GPtrArray *faults)
{
  void *member = object + field->offset;

  switch (field->kind)
    {
    case JC_FIELD_INT:
      parse_int (field, value, member, path, faults);
      break;
    case JC_FIELD_NUMBER:
      parse_number (field, value, member, path, faults);
      break;
    case JC_FIELD_BOOL:
      if (!json_is_boolean (value))
        jc_faults_add (faults, path, "must be true or false");
      *(bool *)member = json_is_true (value);
      break;
    case JC_FIELD_STRINGS:
    case JC_FIELD_REFS:
    case JC_FIELD_LIST:
      parse_items (field, value, *(GPtrArray **)member, path, faults);
      break;
    default:
      parse_text (field, value, member, path, faults);
    }
}

/* Set the member of FIELD in OBJECT to its default; lists start empty.  */
static void
set_default (const struct jc_field *field, char *object)
{
  void *member = object + field->offset;

  switch (field->kind)
    {
    case JC_FIELD_INT:
      *(int64_t *)member = field->preset;
      break;
    case JC_FIELD_NUMBER:
      *(double *)member = g_ascii_strtod (field->preset_text, NULL);
      break;
    case JC_FIELD_BOOL:
      *(bool *)member = field->preset != 0;
      break;
    case JC_FIELD_STRINGS:
    case JC_FIELD_REFS:
      *(GPtrArray **)member = g_ptr_array_new_with_free_func (g_free);
      break;
    case JC_FIELD_LIST:
      *(GPtrArray **)member = g_ptr_array_new ();
      break;
    default:
      *(char **)member
          = g_strdup (field->preset_text != NULL ? field->preset_text : "");
    }
}

static bool
table_has_key (const struct jc_table *table, const char *key)
{
  for (size_t i = 0; i < table->count; i++)
    if (strcmp (table->fields[i].key, key) == 0)
      return true;
  return false;
}

/* Header in front of each struct, aligned so that the struct may hold any
   type.  */
union object_header
{
  unsigned int ref_count;
  max_align_t align;
};

static char *
object_new (const struct jc_table *table)
{
  union object_header *header = g_malloc0 (sizeof *header + table->size);

  header->ref_count = 1;
  return (char *)(header + 1);
}

/* Parse JSON into a new struct as described by TABLE.  Each error is added to
   FAULTS with a path that starts with PATH; missing values get their defaults.
   Return the struct, even if there were errors, with a reference that
   jc_table_unref releases, or NULL if JSON is not an object.  */
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
      char *field_path = g_strconcat (path, ".", field->key, NULL);

      set_default (field, object);
      value = json_object_get (json, field->key);
      if (value != NULL)
        parse_field (field, value, object, field_path, faults);
      else if (field->required)
        jc_faults_add (faults, field_path, "is missing");
      g_free (field_path);
    }
  json_object_foreach ((json_t *)json, key, value)
  {
    if (!table_has_key (table, key))
      jc_faults_add (faults, path, "unknown key %s", key);
  }
  return object;
}

/* Like jc_table_parse for the JSON file FILE.  Paths in FAULTS start with
   "settings".  Return NULL if the file can't be read, is not a JSON object or
   has duplicate keys.  */
void *
jc_table_load (const struct jc_table *table, const char *file,
               GPtrArray *faults)
{
  json_error_t error;
  json_t *json = json_load_file (file, JSON_REJECT_DUPLICATES, &error);
  void *object;

  if (json == NULL)
    {
      jc_faults_add_json (faults, file, &error);
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
  void *member = object + field->offset;

  switch (field->kind)
    {
    case JC_FIELD_INT:
    case JC_FIELD_NUMBER:
    case JC_FIELD_BOOL:
      return;
    case JC_FIELD_LIST:
      free_list (field->table, *(GPtrArray **)member);
      return;
    case JC_FIELD_STRINGS:
    case JC_FIELD_REFS:
      g_ptr_array_free (*(GPtrArray **)member, TRUE);
      return;
    default:
      g_free (*(char **)member);
    }
}

/* Add a reference to OBJECT, which jc_table_parse returned, and return OBJECT.
   Each reference must be released by jc_table_unref.  */
void *
jc_table_ref (void *object)
{
  union object_header *header = (union object_header *)object - 1;

  header->ref_count++;
  return object;
}

/* Release a reference to OBJECT, which jc_table_parse returned for TABLE, and
   free it with the last one.  OBJECT may be NULL.  */
void
jc_table_unref (const struct jc_table *table, void *object)
{
  union object_header *header = (union object_header *)object - 1;

  if (object == NULL || --header->ref_count > 0)
    return;
  for (size_t i = 0; i < table->count; i++)
    free_field (&table->fields[i], object);
  g_free (header);
}
