/* Validation of a whole configuration: references and conflicts.  */

#include <string.h>

#include "conf/check.h"
#include "conf/config.h"

enum
{
  KEY_HASH_CHARS = 64
};

static int
kind_of_target (const char *target)
{
  for (int i = 0; i < JC_OBJECT_KINDS; i++)
    if (strcmp (jc_object_tables[i]->name, target) == 0)
      return i;
  return -1;
}

/* The field of an object being checked.  Its path is built only when there is
   a fault.  */
struct field_location
{
  const struct jc_table *table;
  const struct jc_field *field;
  const char *name;
};

/* Add a fault of the field at LOCATION to FAULTS: that no KIND is named NAME,
   or TEXT if KIND is NULL.  */
static void
report_fault (const struct field_location *location, GPtrArray *faults,
              const char *text, const char *kind, const char *name)
{
  char *path = g_strdup_printf ("%s/%s.%s", location->table->name,
                                location->name, location->field->key);

  if (kind != NULL)
    jc_faults_add (faults, path, "no %s is called %s", kind, name);
  else
    jc_faults_add (faults, path, "%s", text);
  g_free (path);
}

static void
check_ref (const struct jc_config *config,
           const struct field_location *location, int kind, const char *name,
           GPtrArray *faults)
{
  if (name[0] != '\0'
      && jc_config_find (config, (enum jc_object_kind)kind, name) == NULL)
    report_fault (location, faults, NULL, location->field->target, name);
}

static void
check_field (const struct jc_config *config,
             const struct field_location *location, const char *object,
             int kind, GPtrArray *faults)
{
  const void *slot = object + location->field->offset;
  const GPtrArray *names;

  if (location->field->kind != JC_FIELD_REFS)
    {
      check_ref (config, location, kind, *(char *const *)slot, faults);
      return;
    }
  names = *(GPtrArray *const *)slot;
  if (names->len == 0)
    report_fault (location, faults, "must not be empty", NULL, NULL);
  for (guint i = 0; i < names->len; i++)
    check_ref (config, location, kind, g_ptr_array_index (names, i), faults);
}

static void
check_refs_of_field (const struct jc_config *config, int kind,
                     const struct jc_field *field, GPtrArray *faults)
{
  struct field_location location
      = { .table = jc_object_tables[kind], .field = field };
  int target = kind_of_target (field->target);
  GHashTableIter iter;
  gpointer name;
  gpointer object;

  g_hash_table_iter_init (&iter, config->by_name[kind]);
  while (g_hash_table_iter_next (&iter, &name, &object))
    {
      location.name = name;
      check_field (config, &location, object, target, faults);
    }
}

static void
check_refs (const struct jc_config *config, int kind, GPtrArray *faults)
{
  const struct jc_table *table = jc_object_tables[kind];

  for (size_t i = 0; i < table->count; i++)
    {
      const struct jc_field *field = &table->fields[i];

      if (field->kind == JC_FIELD_REF || field->kind == JC_FIELD_REF_OPTIONAL
          || field->kind == JC_FIELD_REFS)
        check_refs_of_field (config, kind, field, faults);
    }
}

static char *
path_of (const char *kind, const char *name, const char *key)
{
  return g_strconcat (kind, "/", name, ".", key, NULL);
}

/* Return whether the residency rules allow ROUTE in any region.  */
static bool
any_region_serves (const struct jc_config *config,
                   const struct jc_product *product,
                   const struct jc_route *route)
{
  GHashTableIter iter;
  gpointer region;

  g_hash_table_iter_init (&iter, config->by_name[JC_OBJECT_REGION]);
  while (g_hash_table_iter_next (&iter, &region, NULL))
    if (jc_config_allows (config, product, route, region))
      return true;
  return false;
}

static void
check_home (const struct jc_config *config, const struct jc_product *product,
            const struct jc_route *route, GPtrArray *faults)
{
  char *path;

  if (route->idempotent && route->home[0] == '\0')
    return;
  path = path_of ("route", route->name, "home");
  if (!route->idempotent && route->home[0] == '\0')
    jc_faults_add (faults, path, "a route that is not idempotent needs a home");
  if (route->home[0] != '\0' && product != NULL
      && jc_config_find (config, JC_OBJECT_REGION, route->home) != NULL
      && !jc_config_allows (config, product, route, route->home))
    jc_faults_add (faults, path, "residency does not allow region %s",
                   route->home);
  g_free (path);
}

static void
check_model (const struct jc_config *config, const struct jc_route *route,
             GPtrArray *faults)
{
  const struct jc_model_version *model
      = jc_config_find (config, JC_OBJECT_MODEL_VERSION, route->model_version);
  char *path;

  if (model == NULL || strcmp (model->service, route->service) == 0)
    return;
  path = path_of ("route", route->name, "model_version");
  jc_faults_add (faults, path, "%s is of service %s, not of %s", model->name,
                 model->service, route->service);
  g_free (path);
}

/* Return whether the residency rule NAME exists; an empty NAME means none and
   is accepted.  Residency cannot be checked against a rule that does not
   exist.  */
static bool
residency_exists (const struct jc_config *config, const char *name)
{
  return name[0] == '\0'
         || jc_config_find (config, JC_OBJECT_RESIDENCY, name) != NULL;
}

static void
check_route (const struct jc_config *config, const void *object,
             GPtrArray *faults)
{
  const struct jc_route *route = object;
  const struct jc_product *product
      = jc_config_find (config, JC_OBJECT_PRODUCT, route->product);
  char *path;

  if (product != NULL
      && (!residency_exists (config, product->residency)
          || !residency_exists (config, route->residency)))
    product = NULL;
  check_home (config, product, route, faults);
  check_model (config, route, faults);
  if (product == NULL || any_region_serves (config, product, route))
    return;
  path = path_of ("route", route->name, "residency");
  jc_faults_add (faults, path,
                 "no region may serve it: %s and %s have none in "
                 "common",
                 product->residency, route->residency);
  g_free (path);
}

static bool
same_ends (const struct jc_link *one, const struct jc_link *other)
{
  return (strcmp (one->a, other->a) == 0 && strcmp (one->b, other->b) == 0)
         || (strcmp (one->a, other->b) == 0 && strcmp (one->b, other->a) == 0);
}

static void
check_link (const struct jc_config *config, const void *object,
            GPtrArray *faults)
{
  const struct jc_link *link = object;
  char *path = path_of ("link", link->name, "b");
  GHashTableIter iter;
  gpointer value;

  if (strcmp (link->a, link->b) == 0)
    jc_faults_add (faults, path, "both ends are %s", link->a);
  g_hash_table_iter_init (&iter, config->by_name[JC_OBJECT_LINK]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jc_link *other = value;

      if (strcmp (link->name, other->name) > 0 && same_ends (link, other))
        jc_faults_add (faults, path, "%s joins the same regions", other->name);
    }
  g_free (path);
}

static bool
is_key_hash (const char *hash)
{
  size_t len = strspn (hash, "0123456789abcdef");

  return len == KEY_HASH_CHARS && hash[len] == '\0';
}

/* Check the hashes of the caller keys of PRODUCT.  OWNERS maps each hash to
   the first product by name that has it.  */
static void
check_product_keys (const struct jc_product *product, GHashTable *owners,
                    GPtrArray *faults)
{
  for (guint i = 0; i < product->key_hashes->len; i++)
    {
      char *hash = g_ptr_array_index (product->key_hashes, i);
      const char *owner = g_hash_table_lookup (owners, hash);
      char *path;

      if (owner == NULL)
        g_hash_table_insert (owners, hash, product->name);
      if (owner == NULL && is_key_hash (hash))
        continue;
      path = g_strdup_printf ("product/%s.key_hashes[%u]", product->name, i);
      if (owner != NULL)
        jc_faults_add (faults, path, "is a key of product %s already", owner);
      if (!is_key_hash (hash))
        jc_faults_add (faults, path, "must be %d lower-case hex digits",
                       KEY_HASH_CHARS);
      g_free (path);
    }
}

static void
check_keys (const struct jc_config *config, GPtrArray *faults)
{
  GHashTable *products = config->by_name[JC_OBJECT_PRODUCT];
  GHashTable *owners = g_hash_table_new (g_str_hash, g_str_equal);
  GList *names
      = g_list_sort (g_hash_table_get_keys (products), (GCompareFunc)strcmp);

  for (const GList *at = names; at != NULL; at = at->next)
    check_product_keys (g_hash_table_lookup (products, at->data), owners,
                        faults);
  g_list_free (names);
  g_hash_table_destroy (owners);
}

static void
check_each (const struct jc_config *config, enum jc_object_kind kind,
            void (*check) (const struct jc_config *config, const void *object,
                           GPtrArray *faults),
            GPtrArray *faults)
{
  GHashTableIter iter;
  gpointer object;

  g_hash_table_iter_init (&iter, config->by_name[kind]);
  while (g_hash_table_iter_next (&iter, NULL, &object))
    check (config, object, faults);
}

static gint
compare_text (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* Add every broken reference and conflict of CONFIG to FAULTS, then sort
   FAULTS by text.  */
void
jc_config_check (const struct jc_config *config, GPtrArray *faults)
{
  for (int kind = 0; kind < JC_OBJECT_KINDS; kind++)
    check_refs (config, kind, faults);
  check_each (config, JC_OBJECT_ROUTE, check_route, faults);
  check_each (config, JC_OBJECT_LINK, check_link, faults);
  check_keys (config, faults);
  g_ptr_array_sort (faults, compare_text);
}
