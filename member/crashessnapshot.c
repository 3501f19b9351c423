/* Evidence of crashes in snapshots of the log.  */

#include "member/crashesprivate.h"

static json_t *
table_to_json (GHashTable *table)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_array_append_new (list,
                           json_pack ("[I,I]", (json_int_t) * (uint64_t *)key,
                                      (json_int_t) * (int64_t *)value));
  return list;
}

static void
table_restore (GHashTable *table, const json_t *in)
{
  const json_t *row;
  size_t i;

  g_hash_table_remove_all (table);
  json_array_foreach ((json_t *)in, i, row)
  {
    jc_crashes_table_set (
        table, (uint64_t)json_integer_value (json_array_get (row, 0)),
        json_integer_value (json_array_get (row, 1)));
  }
}

static json_t *
fingerprints_to_json (const uint64_t *fingerprints, unsigned int count)
{
  json_t *list = json_array ();

  for (unsigned int i = 0; i < count; i++)
    json_array_append_new (list, json_integer ((json_int_t)fingerprints[i]));
  return list;
}

static json_t *
crash_to_json (const struct crash *crash)
{
  json_t *requests = json_array ();

  for (guint r = 0; r < crash->requests->len; r++)
    {
      const struct request *request
          = &g_array_index (crash->requests, struct request, r);

      json_array_append_new (
          requests,
          json_pack (
              "[I,b,o]", (json_int_t)request->id, request->starting,
              fingerprints_to_json (request->fingerprints, request->count)));
    }
  return json_pack ("[s,I,I,b,o,b]", crash->endpoint,
                    (json_int_t)crash->incarnation, (json_int_t)crash->batch,
                    crash->explained, requests, crash->proved);
}

/* Store CRASHES in OUT, the JSON object of a snapshot, under "crashes".  */
void
jc_crashes_snapshot (const struct jc_crashes *crashes, json_t *out)
{
  json_t *list = json_array ();
  json_t *blocked = json_array ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  for (guint i = 0; i < crashes->list->len; i++)
    json_array_append_new (
        list, crash_to_json (g_ptr_array_index (crashes->list, i)));
  g_hash_table_iter_init (&iter, crashes->blocked);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_array_append_new (
        blocked, json_pack ("[I,I]", (json_int_t) * (uint64_t *)key,
                            (json_int_t)((const struct block *)value)->batch));
  json_object_set_new (out, "crashes",
                       json_pack ("{s:I,s:o,s:o,s:o,s:o,s:o}", "batch",
                                  (json_int_t)crashes->batch, "list", list,
                                  "answered", table_to_json (crashes->answered),
                                  "known", table_to_json (crashes->known),
                                  "expired", table_to_json (crashes->expired),
                                  "blocked", blocked));
}

static bool
restore_request (struct crash *crash, const json_t *in)
{
  struct request request = { 0 };
  const json_t *fingerprints;
  json_int_t id;
  int starting;

  if (json_unpack ((json_t *)in, "[I,b,o]", &id, &starting, &fingerprints) != 0
      || json_array_size (fingerprints) > FINGERPRINTS_MAX)
    return false;
  request.id = (uint64_t)id;
  request.starting = starting;
  request.count = (unsigned int)json_array_size (fingerprints);
  for (unsigned int i = 0; i < request.count; i++)
    request.fingerprints[i]
        = (uint64_t)json_integer_value (json_array_get (fingerprints, i));
  g_array_append_val (crash->requests, request);
  return true;
}

/* Restore the crash IN at NOW_MS of the local clock.  One of a snapshot that
   doesn't tell whether it was proved counted when the snapshot was taken.  */
static bool
restore_crash (struct jc_crashes *crashes, const json_t *in, int64_t now_ms)
{
  const char *endpoint;
  json_int_t incarnation;
  json_int_t batch;
  int explained;
  int proved = true;
  const json_t *requests;
  const json_t *request;
  struct crash *crash;
  bool ok = true;
  size_t i;

  if (json_unpack ((json_t *)in, "[s,I,I,b,o,b]", &endpoint, &incarnation,
                   &batch, &explained, &requests, &proved)
          != 0
      && json_unpack ((json_t *)in, "[s,I,I,b,o]", &endpoint, &incarnation,
                      &batch, &explained, &requests)
             != 0)
    return false;
  crash = jc_crashes_add (crashes, endpoint, (uint64_t)incarnation,
                          (uint64_t)batch, now_ms);
  crash->explained = explained;
  crash->proved = proved;
  json_array_foreach ((json_t *)requests, i, request)
  {
    ok = ok && restore_request (crash, request);
  }
  return ok;
}

/* Replace the contents of CRASHES by those of IN, the JSON object of a
   snapshot.  A snapshot without "crashes" empties the table.  Return JC_CORRUPT
   if a row is malformed.  */
enum jc_status
jc_crashes_restore (struct jc_crashes *crashes, const json_t *in,
                    int64_t now_ms)
{
  const json_t *saved = json_object_get (in, "crashes");
  const json_t *row;
  bool ok = true;
  size_t i;

  g_ptr_array_set_size (crashes->list, 0);
  g_hash_table_remove_all (crashes->blocked);
  crashes->batch
      = (uint64_t)json_integer_value (json_object_get (saved, "batch"));
  json_array_foreach (json_object_get (saved, "list"), i, row)
  {
    ok = ok && restore_crash (crashes, row, now_ms);
  }
  table_restore (crashes->answered, json_object_get (saved, "answered"));
  table_restore (crashes->known, json_object_get (saved, "known"));
  table_restore (crashes->expired, json_object_get (saved, "expired"));
  json_array_foreach (json_object_get (saved, "blocked"), i, row)
  {
    uint64_t key = (uint64_t)json_integer_value (json_array_get (row, 0));

    jc_crashes_set_block (crashes, key, now_ms);
    ((struct block *)g_hash_table_lookup (crashes->blocked, &key))->batch
        = (uint64_t)json_integer_value (json_array_get (row, 1));
  }
  jc_crashes_update_scores (crashes);
  return ok ? JC_OK : jc_fail (JC_CORRUPT, "A crash can't be read.");
}
