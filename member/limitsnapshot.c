/* Snapshots of the slots of rate limits.  */

#include "member/limitslotsprivate.h"

static json_t *
slot_to_json (const struct limit_slot *slot)
{
  return json_pack ("[s,I,I]", slot->instance != NULL ? slot->instance : "",
                    (json_int_t)slot->instance_incarnation,
                    (json_int_t)slot->revision);
}

/* Store SLOTS in OUT, the JSON object of a snapshot, under "limits".  */
void
jc_limit_slots_snapshot (const struct jc_limit_slots *slots, json_t *out)
{
  json_t *rows = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, slots->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct limit_row *row = value;
      json_t *list = json_array ();

      for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
        json_array_append_new (list, slot_to_json (&row->slots[i]));
      json_array_append_new (
          rows, json_pack ("[s,I,b,I,o]", row->endpoint,
                           (json_int_t)row->endpoint_incarnation, row->ended,
                           (json_int_t)row->revision, list));
    }
  json_object_set_new (out, "limits",
                       json_pack ("{s:I,s:o}", "revision",
                                  (json_int_t)slots->revision, "rows", rows));
}

static bool
restore_slot (struct limit_slot *slot, const json_t *in)
{
  const char *instance;
  json_int_t incarnation;
  json_int_t revision;

  if (json_unpack ((json_t *)in, "[s,I,I]", &instance, &incarnation, &revision)
      != 0)
    return false;
  slot->instance = instance[0] != '\0' ? g_strdup (instance) : NULL;
  slot->instance_incarnation = (uint64_t)incarnation;
  slot->revision = (uint64_t)revision;
  return true;
}

static bool
restore_row (struct jc_limit_slots *slots, const json_t *in, int64_t now_ms)
{
  const char *endpoint;
  json_int_t incarnation;
  json_int_t revision;
  int ended;
  const json_t *list;
  struct limit_row *row;
  bool ok = true;

  if (json_unpack ((json_t *)in, "[s,I,b,I,o]", &endpoint, &incarnation, &ended,
                   &revision, &list)
          != 0
      || json_array_size (list) != JC_LIMIT_SLOTS)
    return false;
  row = limit_row_add (slots, endpoint, (uint64_t)incarnation, now_ms);
  row->ended = ended;
  row->revision = (uint64_t)revision;
  row->applied_ms = now_ms;
  for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
    ok = ok && restore_slot (&row->slots[i], json_array_get (list, i));
  return ok;
}

/* Replace the contents of SLOTS by those of IN, the JSON object of a snapshot.
   A snapshot without "limits" empties the table.  Return JC_CORRUPT if a row is
   malformed.  */
enum jc_status
jc_limit_slots_restore (struct jc_limit_slots *slots, const json_t *in,
                        int64_t now_ms)
{
  const json_t *saved = json_object_get (in, "limits");
  const json_t *row;
  bool ok = true;
  size_t i;

  g_hash_table_remove_all (slots->by_key);
  slots->revision
      = (uint64_t)json_integer_value (json_object_get (saved, "revision"));
  json_array_foreach (json_object_get (saved, "rows"), i, row)
  {
    ok = ok && restore_row (slots, row, now_ms);
  }
  return ok ? JC_OK : jc_fail (JC_CORRUPT, "A limit's slots can't be read.");
}
