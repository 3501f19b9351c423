/* Configuration.  */

#include <sodium.h>
#include <string.h>

#include "conf/check.h"
#include "conf/config.h"
#include "conf/homes.h"

enum
{
  KEY_HASH_BYTES = 32
};

static int
kind_by_name (const char *name)
{
  for (int i = 0; i < JC_OBJECT_KINDS; i++)
    if (name != NULL && strcmp (jc_object_tables[i]->name, name) == 0)
      return i;
  return -1;
}

static const char *
object_name (const void *object)
{
  return *(char *const *)object;
}

static struct jc_config *
config_new (uint64_t version)
{
  struct jc_config *config = g_new0 (struct jc_config, 1);

  config->version = version;
  for (int i = 0; i < JC_OBJECT_KINDS; i++)
    config->by_name[i] = g_hash_table_new (g_str_hash, g_str_equal);
  config->product_by_key = g_hash_table_new (g_str_hash, g_str_equal);
  return config;
}

/* Return the configuration without objects, at version 0.  */
struct jc_config *
jc_config_empty (void)
{
  struct jc_config *config = config_new (0);

  config->json = json_object ();
  return config;
}

static void
config_index_keys (struct jc_config *config)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, config->by_name[JC_OBJECT_PRODUCT]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jc_product *product = value;

      for (guint i = 0; i < product->key_hashes->len; i++)
        g_hash_table_insert (config->product_by_key,
                             g_ptr_array_index (product->key_hashes, i),
                             product);
    }
}

static void
config_add (struct jc_config *config, const char *path, const json_t *json,
            GPtrArray *faults)
{
  char *word = g_strndup (path, strcspn (path, "/"));
  int kind = kind_by_name (word);
  void *object;

  g_free (word);
  if (kind < 0)
    {
      jc_fault (faults, path, "unknown kind");
      return;
    }
  object = jc_table_parse (jc_object_tables[kind], json, path, faults);
  if (object == NULL)
    return;
  g_hash_table_insert (config->by_name[kind], (gpointer)object_name (object),
                       object);
}

/* Make the configuration of OBJECTS, a map from "kind/name" to object, at
   VERSION.  Return NULL where FAULTS got any.  */
struct jc_config *
jc_config_from_json (json_t *objects, uint64_t version, GPtrArray *faults)
{
  struct jc_config *config = config_new (version);
  const char *path;
  json_t *value;
  guint before = faults->len;

  config->json = json_incref (objects);
  json_object_foreach (objects, path, value)
      config_add (config, path, value, faults);
  config_index_keys (config);
  jc_config_check (config, faults);
  if (faults->len == before)
    return config;
  jc_config_free (config);
  return NULL;
}

/* Let CONFIG hold all objects of BASE but those of the paths in TOUCHED.  */
static void
config_share (struct jc_config *config, const struct jc_config *base,
              GHashTable *touched)
{
  GString *path = g_string_new (NULL);

  for (int kind = 0; kind < JC_OBJECT_KINDS; kind++)
    {
      GHashTableIter iter;
      gpointer object;

      g_hash_table_iter_init (&iter, base->by_name[kind]);
      while (g_hash_table_iter_next (&iter, NULL, &object))
        {
          g_string_printf (path, "%s/%s", jc_object_tables[kind]->name,
                           object_name (object));
          if (!g_hash_table_contains (touched, path->str))
            g_hash_table_insert (config->by_name[kind],
                                 (gpointer)object_name (object),
                                 jc_table_hold (object));
        }
    }
  g_string_free (path, TRUE);
}

/* Make the configuration of OBJECTS, which differ from those of BASE at the
   paths in TOUCHED only.  Objects that stay are shared.  */
static struct jc_config *
config_derive (const struct jc_config *base, json_t *objects,
               GHashTable *touched, uint64_t version, GPtrArray *faults)
{
  struct jc_config *config = config_new (version);
  GHashTableIter iter;
  gpointer path;

  config->json = json_incref (objects);
  config_share (config, base, touched);
  g_hash_table_iter_init (&iter, touched);
  while (g_hash_table_iter_next (&iter, &path, NULL))
    {
      const json_t *object = json_object_get (objects, path);

      if (object != NULL)
        config_add (config, path, object, faults);
    }
  config_index_keys (config);
  return config;
}

/* Return "kind/name" of the object ITEM of a change, or NULL.  */
static char *
item_path (const json_t *item)
{
  const char *kind = json_string_value (json_object_get (item, "kind"));
  const char *name = json_string_value (json_object_get (item, "name"));

  if (kind == NULL || name == NULL || kind_by_name (kind) < 0)
    return NULL;
  return g_strconcat (kind, "/", name, NULL);
}

/* Return the object ITEM of a change without its kind.  */
static json_t *
item_object (const json_t *item)
{
  json_t *copy = json_copy ((json_t *)item);

  json_object_del (copy, "kind");
  return copy;
}

/* Put the object ITEM of a change into OBJECTS, or remove it.  */
static void
change_item (json_t *objects, const json_t *item, const char *at, bool put,
             GHashTable *seen, GPtrArray *faults)
{
  char *path = item_path (item);

  if (path == NULL)
    {
      jc_fault (faults, at, "needs a known kind and a name");
      return;
    }
  if (!g_hash_table_add (seen, g_strdup (path)))
    jc_fault (faults, at, "%s appears twice", path);
  if (put)
    json_object_set_new (objects, path, item_object (item));
  else if (json_object_del (objects, path) != 0)
    jc_fault (faults, at, "%s does not exist", path);
  g_free (path);
}

static void
change_list (json_t *objects, const json_t *change, const char *key,
             GHashTable *seen, GPtrArray *faults)
{
  const json_t *list = json_object_get (change, key);
  const json_t *item;
  size_t i;

  if (list != NULL && !json_is_array (list))
    jc_fault (faults, key, "must be a list");
  json_array_foreach ((json_t *)list, i, item)
  {
    char *at = g_strdup_printf ("%s[%zu]", key, i);

    change_item (objects, item, at, strcmp (key, "put") == 0, seen, faults);
    g_free (at);
  }
}

/* Make the configuration that CHANGE ({"put": [...], "delete": [...]}) turns
   BASE into, at VERSION.  Return NULL where FAULTS got any.  */
struct jc_config *
jc_config_apply (const struct jc_config *base, const json_t *change,
                 uint64_t version, GPtrArray *faults)
{
  json_t *objects = json_copy (base->json);
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct jc_config *config = NULL;
  const char *key;
  json_t *value;
  guint before = faults->len;

  if (!json_is_object (change))
    jc_fault (faults, "change", "must be an object");
  json_object_foreach ((json_t *)change, key, value)
  {
    if (strcmp (key, "put") != 0 && strcmp (key, "delete") != 0)
      jc_fault (faults, "change", "unknown key %s", key);
  }
  change_list (objects, change, "delete", seen, faults);
  change_list (objects, change, "put", seen, faults);
  config = config_derive (base, objects, seen, version, faults);
  jc_config_check (config, faults);
  if (faults->len == before)
    jc_homes_check (base, config, faults);
  if (faults->len > before)
    {
      jc_config_free (config);
      config = NULL;
    }
  g_hash_table_destroy (seen);
  json_decref (objects);
  return config;
}

/* Return what CHANGE, which was accepted, puts by path; null stands for what
   it deletes.  */
json_t *
jc_config_delta (const json_t *change)
{
  json_t *delta = json_object ();
  const json_t *item;
  size_t i;

  json_array_foreach (json_object_get (change, "delete"), i, item)
  {
    char *path = item_path (item);

    json_object_set_new (delta, path, json_null ());
    g_free (path);
  }
  json_array_foreach (json_object_get (change, "put"), i, item)
  {
    char *path = item_path (item);

    json_object_set_new (delta, path, item_object (item));
    g_free (path);
  }
  return delta;
}

/* Make the configuration that DELTA, of jc_confstate_delta, turns BASE into, at
   VERSION.  It was checked as a whole when it was accepted.  Return NULL where
   an object can't be read.  */
struct jc_config *
jc_config_patch (const struct jc_config *base, const json_t *delta,
                 uint64_t version)
{
  json_t *objects = json_copy (base->json);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  GHashTable *touched = g_hash_table_new (g_str_hash, g_str_equal);
  struct jc_config *config;
  const char *path;
  json_t *value;

  json_object_foreach ((json_t *)delta, path, value)
  {
    g_hash_table_add (touched, (gpointer)path);
    if (json_is_null (value))
      json_object_del (objects, path);
    else
      json_object_set (objects, path, value);
  }
  config = config_derive (base, objects, touched, version, faults);
  if (faults->len > 0)
    {
      jc_config_free (config);
      config = NULL;
    }
  g_ptr_array_free (faults, TRUE);
  g_hash_table_destroy (touched);
  json_decref (objects);
  return config;
}

/* Free CONFIG.  */
void
jc_config_free (struct jc_config *config)
{
  GHashTableIter iter;
  gpointer value;

  if (config == NULL)
    return;
  g_hash_table_destroy (config->product_by_key);
  for (int i = 0; i < JC_OBJECT_KINDS; i++)
    {
      g_hash_table_iter_init (&iter, config->by_name[i]);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          g_hash_table_iter_steal (&iter);
          jc_table_free (jc_object_tables[i], value);
        }
      g_hash_table_destroy (config->by_name[i]);
    }
  json_decref (config->json);
  g_free (config);
}

/* Return the object of KIND called NAME, or NULL.  */
const void *
jc_config_find (const struct jc_config *config, enum jc_object_kind kind,
                const char *name)
{
  return g_hash_table_lookup (config->by_name[kind], name);
}

/* Return the product that the caller's KEY names, or NULL.  */
const struct jc_product *
jc_config_product_of_key (const struct jc_config *config, const char *key)
{
  unsigned char hash[KEY_HASH_BYTES];
  char hex[2 * KEY_HASH_BYTES + 1];

  crypto_generichash (hash, sizeof hash, (const unsigned char *)key,
                      strlen (key), NULL, 0);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  return g_hash_table_lookup (config->product_by_key, hex);
}

static bool
rule_allows (const struct jc_config *config, const char *rule,
             const char *region)
{
  const struct jc_residency *residency
      = jc_config_find (config, JC_OBJECT_RESIDENCY, rule);

  if (residency == NULL)
    return false;
  for (guint i = 0; i < residency->regions->len; i++)
    if (strcmp (g_ptr_array_index (residency->regions, i), region) == 0)
      return true;
  return false;
}

/* Tell whether requests of PRODUCT by ROUTE may enter REGION.  */
bool
jc_config_allows (const struct jc_config *config,
                  const struct jc_product *product,
                  const struct jc_route *route, const char *region)
{
  if (!rule_allows (config, product->residency, region))
    return false;
  return route->residency[0] == '\0'
         || rule_allows (config, route->residency, region);
}

/* Return the region of ZONE, or NULL.  */
const char *
jc_config_region_of_zone (const struct jc_config *config, const char *zone)
{
  const struct jc_availability_zone *object
      = jc_config_find (config, JC_OBJECT_AVAILABILITY_ZONE, zone);

  return object != NULL ? object->region : NULL;
}
