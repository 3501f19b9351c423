/* Workspaces of a configuration.  */

#include <sodium.h>
#include <string.h>

#include "conf/workspaces.h"

G_STATIC_ASSERT (JC_KEY_DIGEST_BYTES >= crypto_generichash_BYTES_MIN);
G_STATIC_ASSERT (JC_KEY_SECRET_BYTES == crypto_generichash_KEYBYTES);

/* BY_DIGEST maps the keyed digest of each key to its workspace.  The keys
   themselves are not kept, and the time of a lookup tells nothing about them to
   those who don't know SECRET.  */
struct jc_workspaces
{
  GHashTable *by_name;
  GHashTable *by_digest;
  unsigned char secret[JC_KEY_SECRET_BYTES];
};

static void
workspace_free (gpointer data)
{
  struct jc_workspace *workspace = data;

  g_free (workspace->name);
  g_ptr_array_free (workspace->home_regions, TRUE);
  g_free (workspace);
}

static guint
digest_hash (gconstpointer digest)
{
  guint hash;

  memcpy (&hash, digest, sizeof hash);
  return hash;
}

static gboolean
digest_equal (gconstpointer a, gconstpointer b)
{
  return sodium_memcmp (a, b, JC_KEY_DIGEST_BYTES) == 0;
}

/* Store the digest of KEY, JC_KEY_DIGEST_BYTES, in OUT.  */
void
jc_workspaces_digest (const struct jc_workspaces *workspaces, struct jc_str key,
                      unsigned char *out)
{
  crypto_generichash (out, JC_KEY_DIGEST_BYTES, (const unsigned char *)key.data,
                      key.len, workspaces->secret, sizeof workspaces->secret);
}

/* Return an empty set, to be freed with jc_workspaces_free.  */
struct jc_workspaces *
jc_workspaces_new (void)
{
  struct jc_workspaces *workspaces = g_new0 (struct jc_workspaces, 1);

  workspaces->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, workspace_free);
  workspaces->by_digest
      = g_hash_table_new_full (digest_hash, digest_equal, g_free, NULL);
  crypto_generichash_keygen (workspaces->secret);
  return workspaces;
}

/* Have the digests of keys depend on SECRET, of JC_KEY_SECRET_BYTES, instead of
   a random one, so that those of several processes can be compared.
   WORKSPACES must not have keys yet.  */
void
jc_workspaces_set_secret (struct jc_workspaces *workspaces,
                          const unsigned char *secret)
{
  memcpy (workspaces->secret, secret, sizeof workspaces->secret);
}

/* Free WORKSPACES, which may be NULL.  */
void
jc_workspaces_free (struct jc_workspaces *workspaces)
{
  if (workspaces == NULL)
    return;
  g_hash_table_destroy (workspaces->by_digest);
  g_hash_table_destroy (workspaces->by_name);
  g_free (workspaces);
}

/* Add a workspace NAME without keys, regions and limit, and return it.  It
   belongs to WORKSPACES.  Return NULL if there is one of that name.  */
struct jc_workspace *
jc_workspaces_add (struct jc_workspaces *workspaces, const char *name)
{
  struct jc_workspace *workspace;

  if (g_hash_table_contains (workspaces->by_name, name))
    return NULL;
  workspace = g_new0 (struct jc_workspace, 1);
  workspace->name = g_strdup (name);
  workspace->priority = JC_PRIORITY_OF_ROUTE;
  workspace->home_regions = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (workspaces->by_name, workspace->name, workspace);
  return workspace;
}

/* Let KEY stand for WORKSPACE, one of WORKSPACES.  Return false if it stands
   for another one.  */
bool
jc_workspaces_add_key (struct jc_workspaces *workspaces,
                       const struct jc_workspace *workspace, struct jc_str key)
{
  unsigned char digest[JC_KEY_DIGEST_BYTES];
  const struct jc_workspace *holder;

  jc_workspaces_digest (workspaces, key, digest);
  holder = g_hash_table_lookup (workspaces->by_digest, digest);
  if (holder == NULL)
    g_hash_table_insert (workspaces->by_digest,
                         g_memdup2 (digest, sizeof digest),
                         (gpointer)workspace);
  return holder == NULL || holder == workspace;
}

/* Return the workspace NAME, or NULL.  */
const struct jc_workspace *
jc_workspaces_find (const struct jc_workspaces *workspaces, const char *name)
{
  return g_hash_table_lookup (workspaces->by_name, name);
}

/* Return the workspace that KEY stands for, or NULL.  */
const struct jc_workspace *
jc_workspaces_find_key (const struct jc_workspaces *workspaces,
                        struct jc_str key)
{
  unsigned char digest[JC_KEY_DIGEST_BYTES];

  jc_workspaces_digest (workspaces, key, digest);
  return jc_workspaces_find_digest (workspaces, digest);
}

/* Return the workspace that the key with DIGEST stands for, or NULL.  */
const struct jc_workspace *
jc_workspaces_find_digest (const struct jc_workspaces *workspaces,
                           const unsigned char *digest)
{
  return g_hash_table_lookup (workspaces->by_digest, digest);
}

/* Return the number of workspaces.  */
unsigned int
jc_workspaces_count (const struct jc_workspaces *workspaces)
{
  return g_hash_table_size (workspaces->by_name);
}

/* Return whether REGION may serve WORKSPACE.  */
bool
jc_workspace_allows (const struct jc_workspace *workspace, const char *region)
{
  return workspace->home_regions->len == 0
         || g_ptr_array_find_with_equal_func (workspace->home_regions, region,
                                              g_str_equal, NULL);
}
