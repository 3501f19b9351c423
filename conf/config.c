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

/* Return the empty configuration, version 0.  */
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
  char *kind_name = g_strndup (path, strcspn (path, "/"));
  int kind = kind_by_name (kind_name);
  void *object;

  g_free (kind_name);
  if (kind < 0)
    {
      jc_faults_add (faults, path, "unknown kind");
      return;
    }
  object = jc_table_parse (jc_object_tables[kind], json, path, faults);
  if (object == NULL)
    return;
  g_hash_table_insert (config->by_name[kind], (gpointer)object_name (object),
                       object);
}

/* Return the configuration of OBJECTS, a map from "kind/name" to object, at
   VERSION.  Add what is wrong to FAULTS and return NULL if there is
   anything.  */
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

/* Share with CONFIG all objects of BASE except those at CHANGED_PATHS.  */
static void
config_share_unchanged (struct jc_config *config, const struct jc_config *base,
                        GHashTable *changed_paths)
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
          if (!g_hash_table_contains (changed_paths, path->str))
            g_hash_table_insert (config->by_name[kind],
                                 (gpointer)object_name (object),
                                 jc_table_ref (object));
        }
    }
  g_string_free (path, TRUE);
}

/* Return the configuration of OBJECTS, which differ from those of BASE only at
   CHANGED_PATHS.  Unchanged objects are shared.  Objects that cannot be parsed
   are missing in it and reported in FAULTS.  */
static struct jc_config *
config_derive (const struct jc_config *base, json_t *objects,
               GHashTable *changed_paths, uint64_t version, GPtrArray *faults)
{
  struct jc_config *config = config_new (version);
  GHashTableIter iter;
  gpointer path;

  config->json = json_incref (objects);
  config_share_unchanged (config, base, changed_paths);
  g_hash_table_iter_init (&iter, changed_paths);
  while (g_hash_table_iter_next (&iter, &path, NULL))
    {
      const json_t *object = json_object_get (objects, path);

      if (object != NULL)
        config_add (config, path, object, faults);
    }
  config_index_keys (config);
  return config;
}

/* Return the path "kind/name" of the object ITEM of a change, or NULL if its
   kind is unknown or its name missing.  */
static char *
item_path (const json_t *item)
{
  const char *kind = json_string_value (json_object_get (item, "kind"));
  const char *name = json_string_value (json_object_get (item, "name"));

  if (kind == NULL || name == NULL || kind_by_name (kind) < 0)
    return NULL;
  return g_strconcat (kind, "/", name, NULL);
}

/* Return a copy of the object ITEM of a change, without its kind.  */
static json_t *
item_object (const json_t *item)
{
  json_t *copy = json_copy ((json_t *)item);

  json_object_del (copy, "kind");
  return copy;
}

/* Apply ITEM, found at AT in a change, to OBJECTS: store it if PUT is set,
   delete it otherwise.  SEEN_PATHS collects the paths of the change.  */
static void
apply_item (json_t *objects, const json_t *item, const char *at, bool put,
            GHashTable *seen_paths, GPtrArray *faults)
{
  char *path = item_path (item);

  if (path == NULL)
    {
      jc_faults_add (faults, at, "needs a known kind and a name");
      return;
    }
  if (!g_hash_table_add (seen_paths, g_strdup (path)))
    jc_faults_add (faults, at, "%s appears twice", path);
  if (put)
    json_object_set_new (objects, path, item_object (item));
  else if (json_object_del (objects, path) != 0)
    jc_faults_add (faults, at, "%s does not exist", path);
  g_free (path);
}

static void
apply_list (json_t *objects, const json_t *change, const char *key,
            GHashTable *seen_paths, GPtrArray *faults)
{
  const json_t *list = json_object_get (change, key);
  const json_t *item;
  size_t i;

  if (list != NULL && !json_is_array (list))
    jc_faults_add (faults, key, "must be a list");
  json_array_foreach ((json_t *)list, i, item)
  {
    char *at = g_strdup_printf ("%s[%zu]", key, i);

    apply_item (objects, item, at, strcmp (key, "put") == 0, seen_paths,
                faults);
    g_free (at);
  }
}

/* Return the configuration, at VERSION, that results from applying CHANGE
   ({"put": [...], "delete": [...]}) to BASE.  Add what is wrong to FAULTS and
   return NULL if there is anything.  */
struct jc_config *
jc_config_apply (const struct jc_config *base, const json_t *change,
                 uint64_t version, GPtrArray *faults)
{
  json_t *objects = json_copy (base->json);
  GHashTable *seen_paths
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct jc_config *config = NULL;
  const char *key;
  json_t *value;
  guint before = faults->len;

  if (!json_is_object (change))
    jc_faults_add (faults, "change", "must be an object");
  json_object_foreach ((json_t *)change, key, value)
  {
    if (strcmp (key, "put") != 0 && strcmp (key, "delete") != 0)
      jc_faults_add (faults, "change", "unknown key %s", key);
  }
  apply_list (objects, change, "delete", seen_paths, faults);
  apply_list (objects, change, "put", seen_paths, faults);
  config = config_derive (base, objects, seen_paths, version, faults);
  jc_config_check (config, faults);
  if (faults->len == before)
    jc_homes_check (base, config, faults);
  if (faults->len > before)
    {
      jc_config_free (config);
      config = NULL;
    }
  g_hash_table_destroy (seen_paths);
  json_decref (objects);
  return config;
}

/* Return the effect of the accepted CHANGE as a delta: a map from path to the
   object put, or to null for a deleted one.  */
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

/* Return the configuration, at VERSION, that results from applying DELTA, made
   by jc_confstate_delta, to BASE.  The checks across objects are skipped,
   since they passed when the change was accepted.  Return NULL if an object
   cannot be parsed.  */
struct jc_config *
jc_config_patch (const struct jc_config *base, const json_t *delta,
                 uint64_t version)
{
  json_t *objects = json_copy (base->json);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  GHashTable *changed_paths = g_hash_table_new (g_str_hash, g_str_equal);
  struct jc_config *config;
  const char *path;
  json_t *value;

  json_object_foreach ((json_t *)delta, path, value)
  {
    g_hash_table_add (changed_paths, (gpointer)path);
    if (json_is_null (value))
      json_object_del (objects, path);
    else
      json_object_set (objects, path, value);
  }
  config = config_derive (base, objects, changed_paths, version, faults);
  if (faults->len > 0)
    {
      jc_config_free (config);
      config = NULL;
    }
  g_ptr_array_free (faults, TRUE);
  g_hash_table_destroy (changed_paths);
  json_decref (objects);
  return config;
}

/* Free CONFIG; NULL is allowed.  */
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
          jc_table_unref (jc_object_tables[i], value);
        }
      g_hash_table_destroy (config->by_name[i]);
    }
  json_decref (config->json);
  g_free (config);
}

/* Return the object of KIND named NAME, or NULL.  */
const void *
jc_config_find (const struct jc_config *config, enum jc_object_kind kind,
                const char *name)
{
  return g_hash_table_lookup (config->by_name[kind], name);
}

/* Return the product that the caller's KEY belongs to, or NULL.  Only hashes
   of keys are kept.  */
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
residency_allows (const struct jc_config *config, const char *name,
                  const char *region)
{
  const struct jc_residency *residency
      = jc_config_find (config, JC_OBJECT_RESIDENCY, name);

  if (residency == NULL)
    return false;
  for (guint i = 0; i < residency->regions->len; i++)
    if (strcmp (g_ptr_array_index (residency->regions, i), region) == 0)
      return true;
  return false;
}

/* Return whether the residency rules allow requests of PRODUCT on ROUTE to
   enter REGION.  */
bool
jc_config_allows (const struct jc_config *config,
                  const struct jc_product *product,
                  const struct jc_route *route, const char *region)
{
  if (!residency_allows (config, product->residency, region))
    return false;
  return route->residency[0] == '\0'
         || residency_allows (config, route->residency, region);
}

/* Return the region of the availability zone ZONE, or NULL if ZONE is not
   configured.  */
const char *
jc_config_region_of_zone (const struct jc_config *config, const char *zone)
{
  const struct jc_availability_zone *object
      = jc_config_find (config, JC_OBJECT_AVAILABILITY_ZONE, zone);

  return object != NULL ? object->region : NULL;
}
