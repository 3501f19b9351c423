/* Table of the software versions whose endpoints may begin streams.  */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/xdrencode.h"
#include "member/versions.h"

enum
{
  VERSIONS_MAX = 4096,
  /* A service whose endpoints report ever new versions leaves room for the
     others.  */
  VERSIONS_PER_SERVICE_MAX = 256,
  DECIMAL = 10
};

/* ROWS holds struct rpc_service_version in the order in which they were added.
   POSITION is that of the last change in the log.  */
struct jc_versions
{
  GPtrArray *rows;
  uint64_t position;
};

static void
row_free (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_rpc_service_version, data);
  g_free (data);
}

/* Return an empty table, to be freed with jc_versions_free.  */
struct jc_versions *
jc_versions_new (void)
{
  struct jc_versions *versions = g_new0 (struct jc_versions, 1);

  versions->rows = g_ptr_array_new_with_free_func (row_free);
  return versions;
}

/* Free VERSIONS; NULL is allowed.  */
void
jc_versions_free (struct jc_versions *versions)
{
  if (versions == NULL)
    return;
  g_ptr_array_free (versions->rows, TRUE);
  g_free (versions);
}

/* Return ADDED encoded (XDR) as the data of a log entry.  */
GString *
jc_versions_encode (const struct rpc_service_version *added)
{
  return jc_xdr_encode ((xdrproc_t)xdr_rpc_service_version, added);
}

/* Return the number of versions of SERVICE; LAST is set to the last one.  */
static unsigned int
count_versions (const struct jc_versions *versions, const char *service,
                uint64_t *last)
{
  unsigned int count = 0;

  for (guint i = 0; i < versions->rows->len; i++)
    {
      const struct rpc_service_version *row
          = g_ptr_array_index (versions->rows, i);

      if (strcmp (row->service, service) != 0)
        continue;
      *last = row->software;
      count++;
    }
  return count;
}

/* Return whether endpoints of SERVICE with the version SOFTWARE may begin
   streams.  */
bool
jc_versions_contains (const struct jc_versions *versions, const char *service,
                      uint64_t software)
{
  for (guint i = 0; i < versions->rows->len; i++)
    {
      const struct rpc_service_version *row
          = g_ptr_array_index (versions->rows, i);

      if (row->software == software && strcmp (row->service, service) == 0)
        return true;
    }
  return false;
}

/* Return whether ADDED is a version that the table lacks and has room for.  */
bool
jc_versions_can_add (const struct jc_versions *versions,
                     const struct rpc_service_version *added)
{
  uint64_t last;

  return added->software != 0 && versions->rows->len < VERSIONS_MAX
         && !jc_versions_contains (versions, added->service, added->software)
         && count_versions (versions, added->service, &last)
                < VERSIONS_PER_SERVICE_MAX;
}

/* Return the version of SERVICE if it has just one, else 0.  */
uint64_t
jc_versions_only (const struct jc_versions *versions, const char *service)
{
  uint64_t last = 0;

  return count_versions (versions, service, &last) == 1 ? last : 0;
}

/* Return the number of versions of all services.  */
unsigned int
jc_versions_count (const struct jc_versions *versions)
{
  return versions->rows->len;
}

/* Return whether SERVICE has several versions.  */
bool
jc_versions_has_several (const struct jc_versions *versions,
                         const char *service)
{
  uint64_t last;

  return count_versions (versions, service, &last) > 1;
}

static void
add_row (struct jc_versions *versions, const struct rpc_service_version *added)
{
  struct rpc_service_version *row = g_new0 (struct rpc_service_version, 1);

  row->service = strdup (added->service);
  row->software = added->software;
  g_ptr_array_add (versions->rows, row);
}

/* Apply DATA, the log entry at POSITION.  Return whether it added a version;
   data that can't be decoded adds none.  */
bool
jc_versions_apply (struct jc_versions *versions, uint64_t position,
                   struct jc_str data)
{
  struct rpc_service_version added;
  bool changed;
  XDR xdr;

  memset (&added, 0, sizeof added);
  xdrmem_create (&xdr, (char *)data.data, (u_int)data.len, XDR_DECODE);
  changed = xdr_rpc_service_version (&xdr, &added)
            && jc_versions_can_add (versions, &added);
  if (changed)
    {
      add_row (versions, &added);
      versions->position = position;
    }
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_rpc_service_version, (char *)&added);
  return changed;
}

/* Fill OUT.  Its strings belong to VERSIONS, the array must be freed with
   g_free.  */
void
jc_versions_to_message (const struct jc_versions *versions,
                        struct rpc_versions *out)
{
  out->position = versions->position;
  out->list.list_len = versions->rows->len;
  out->list.list_val
      = g_new0 (struct rpc_service_version, versions->rows->len + 1);
  for (guint i = 0; i < versions->rows->len; i++)
    out->list.list_val[i]
        = *(const struct rpc_service_version *)g_ptr_array_index (
            versions->rows, i);
}

/* Replace VERSIONS by those in MESSAGE, which a state instance sent, if they
   are newer.  Return whether they were.  */
bool
jc_versions_update (struct jc_versions *versions,
                    const struct rpc_versions *message)
{
  if (message->position <= versions->position)
    return false;
  g_ptr_array_set_size (versions->rows, 0);
  for (u_int i = 0; i < message->list.list_len; i++)
    add_row (versions, &message->list.list_val[i]);
  versions->position = message->position;
  return true;
}

/* Write VERSIONS into the snapshot OUT.  */
void
jc_versions_snapshot (const struct jc_versions *versions, json_t *out)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < versions->rows->len; i++)
    {
      const struct rpc_service_version *row
          = g_ptr_array_index (versions->rows, i);
      char software[24];

      /* JSON integers are signed.  */
      g_snprintf (software, sizeof software, "%" PRIu64, row->software);
      json_array_append_new (rows, json_pack ("[s,s]", row->service, software));
    }
  json_object_set_new (out, "versions",
                       json_pack ("{s:I,s:o}", "position",
                                  (json_int_t)versions->position, "rows",
                                  rows));
}

/* Parse TEXT, the software version of a row of a snapshot; NULL is invalid.  */
static bool
parse_software (const char *text, u_quad_t *software)
{
  guint64 number;

  if (text == NULL
      || !g_ascii_string_to_unsigned (text, DECIMAL, 1, G_MAXUINT64, &number,
                                      NULL))
    return false;
  *software = number;
  return true;
}

/* Replace VERSIONS by those in the snapshot IN, or by none if IN has none.
   Return JC_CORRUPT if they are invalid.  */
enum jc_status
jc_versions_restore (struct jc_versions *versions, const json_t *in)
{
  const json_t *saved = json_object_get (in, "versions");
  const json_t *rows = json_object_get (saved, "rows");
  size_t count = json_array_size (rows);

  if (saved != NULL && !json_is_array (rows))
    return jc_fail (JC_CORRUPT, "The software versions can't be read.");
  g_ptr_array_set_size (versions->rows, 0);
  for (size_t i = 0; i < count; i++)
    {
      const json_t *row = json_array_get (rows, i);
      const char *service = json_string_value (json_array_get (row, 0));
      const char *software = json_string_value (json_array_get (row, 1));
      struct rpc_service_version added = { .service = (char *)service };

      if (service == NULL || !parse_software (software, &added.software))
        return jc_fail (JC_CORRUPT, "The software versions can't be read.");
      add_row (versions, &added);
    }
  versions->position
      = (uint64_t)json_integer_value (json_object_get (saved, "position"));
  return JC_OK;
}
