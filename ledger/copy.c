/* Copies of ledgers.

   A copy takes whole transfers and then runs of records without a gap.  A
   ledger that lost its disk pulls the records back.  The fence keeps out a
   ledger that another one has replaced: a pull counts as later than every
   record sent under the set that it pulls from.  */

#include <string.h>

#include "ledger/copy.h"

enum
{
  PAGE_BYTES = 1024 * 1024
};

/* The copy of one home.  STAGED is a transfer under way.  */
struct copy
{
  struct jc_keytable *keys;
  uint64_t ledger;
  uint64_t sequence;
  uint64_t fence;
  bool complete;
  struct jc_keytable *staged;
  uint64_t transfer;
  unsigned int parts;
  GByteArray *page;
};

struct jc_copies
{
  GHashTable *by_home;
};

static void
copy_free (gpointer data)
{
  struct copy *copy = data;

  jc_keytable_free (copy->keys);
  jc_keytable_free (copy->staged);
  g_byte_array_free (copy->page, TRUE);
  g_free (copy);
}

/* Return a holder of no copies.  */
struct jc_copies *
jc_copies_new (void)
{
  struct jc_copies *copies = g_new0 (struct jc_copies, 1);

  copies->by_home
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, copy_free);
  return copies;
}

/* Free COPIES and what it holds.  */
void
jc_copies_free (struct jc_copies *copies)
{
  if (copies == NULL)
    return;
  g_hash_table_destroy (copies->by_home);
  g_free (copies);
}

static struct copy *
copy_of (struct jc_copies *copies, const char *home)
{
  struct copy *copy = g_hash_table_lookup (copies->by_home, home);

  if (copy != NULL)
    return copy;
  copy = g_new0 (struct copy, 1);
  copy->keys = jc_keytable_new ();
  copy->page = g_byte_array_new ();
  g_hash_table_insert (copies->by_home, g_strdup (home), copy);
  return copy;
}

static struct jc_str
records_of (const struct rpc_ledger_copy *message)
{
  return (struct jc_str){ .data = message->records.rpc_bytes_val,
                          .len = message->records.rpc_bytes_len };
}

static void
stage_record (void *ctx, const struct rpc_ledger_record *record)
{
  struct copy *copy = ctx;

  jc_keytable_put (copy->staged, record);
}

/* Take a part of a whole transfer; put it in place once it ended.  */
static void
take_part (struct copy *copy, const struct rpc_ledger_copy *message)
{
  if (message->part == 0)
    {
      jc_keytable_free (copy->staged);
      copy->staged = jc_keytable_new ();
      copy->transfer = message->transfer;
      copy->parts = 0;
    }
  if (copy->staged == NULL || message->transfer != copy->transfer
      || message->part != copy->parts)
    return;
  if (jc_record_decode (records_of (message), stage_record, copy) != JC_OK)
    return;
  copy->parts++;
  if (!message->last)
    return;
  jc_keytable_free (copy->keys);
  copy->keys = copy->staged;
  copy->staged = NULL;
  copy->ledger = message->ledger_incarnation;
  copy->sequence = message->sequence;
  copy->complete = true;
}

static void
add_record (void *ctx, const struct rpc_ledger_record *record)
{
  struct copy *copy = ctx;

  if (record->sequence != copy->sequence + 1)
    return;
  copy->sequence = record->sequence;
  jc_keytable_put (copy->keys, record);
}

static void
collect_key (gpointer data, gpointer ctx)
{
  GBytes *bytes = jc_key_encode (data);
  struct copy *copy = ctx;

  g_byte_array_append (copy->page, g_bytes_get_data (bytes, NULL),
                       (guint)g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
}

/* Answer a pull with the page from its offset on.  */
static void
give_page (struct copy *copy, const struct rpc_ledger_copy *message,
           struct rpc_ledger_copy_reply *reply)
{
  guint left;

  if (message->part == 0)
    {
      g_byte_array_set_size (copy->page, 0);
      jc_keytable_foreach (copy->keys, collect_key, copy);
    }
  left = copy->page->len - MIN (copy->page->len, message->part);
  reply->pull = TRUE;
  reply->part = message->part;
  reply->last = left <= PAGE_BYTES;
  reply->records.rpc_bytes_val
      = (char *)copy->page->data + (copy->page->len - left);
  reply->records.rpc_bytes_len = MIN (left, PAGE_BYTES);
}

/* Take MESSAGE of a ledger and fill REPLY, whose records stay valid until the
   next call.  COMPLETE is false where the ledger must send everything.  */
void
jc_copies_handle_message (struct jc_copies *copies,
                          const struct rpc_ledger_copy *message,
                          struct rpc_ledger_copy_reply *reply)
{
  struct copy *copy = copy_of (copies, message->home);
  bool fenced = message->fence < copy->fence;

  memset (reply, 0, sizeof *reply);
  reply->home = message->home;
  copy->fence = MAX (copy->fence, message->fence);
  if (!fenced && message->full)
    take_part (copy, message);
  else if (!fenced && !message->pull
           && message->ledger_incarnation == copy->ledger)
    jc_record_decode (records_of (message), add_record, copy);
  if (!fenced && message->pull && copy->complete)
    give_page (copy, message, reply);
  reply->ledger_incarnation = message->ledger_incarnation;
  reply->sequence = copy->sequence;
  reply->complete = !fenced && copy->complete
                    && (message->pull
                        || (message->ledger_incarnation == copy->ledger
                            && copy->sequence >= message->sequence));
}

/* Return how many keys COPIES holds of HOME.  */
guint
jc_copies_count_keys (const struct jc_copies *copies, const char *home)
{
  const struct copy *copy = g_hash_table_lookup (copies->by_home, home);

  return copy != NULL ? jc_keytable_size (copy->keys) : 0;
}
