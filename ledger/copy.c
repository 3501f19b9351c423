/* Copies of ledgers.

   A copy accepts a full transfer and after it records without a gap in their
   sequence.  A ledger that lost its disk pulls the records back.  Messages of
   a ledger that another one has replaced are rejected by their fence: a pull
   has a higher fence than every record sent under the copy set that it pulls
   from.  */

#include <string.h>

#include "ledger/copy.h"

enum
{
  PULL_PAGE_BYTES = 1024 * 1024
};

/* The copy of the ledger of one home region.  STAGED has the keys of the
   transfer under way, or is NULL; NEXT_PART is the part of it that is expected.
   PAGE has the encoded keys that a pull reads page by page.  COMPLETE is set
   once a full transfer has ended.  */
struct copy
{
  struct jc_keytable *key_table;
  uint64_t ledger_incarnation;
  uint64_t sequence;
  uint64_t fence;
  bool complete;
  struct jc_keytable *staged;
  uint64_t transfer_id;
  unsigned int next_part;
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

  jc_keytable_free (copy->key_table);
  jc_keytable_free (copy->staged);
  g_byte_array_free (copy->page, TRUE);
  g_free (copy);
}

/* Return an empty collection of copies.  */
struct jc_copies *
jc_copies_new (void)
{
  struct jc_copies *copies = g_new0 (struct jc_copies, 1);

  copies->by_home
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, copy_free);
  return copies;
}

/* Free COPIES, which may be NULL.  */
void
jc_copies_free (struct jc_copies *copies)
{
  if (copies == NULL)
    return;
  g_hash_table_destroy (copies->by_home);
  g_free (copies);
}

static struct copy *
get_or_add_copy (struct jc_copies *copies, const char *home)
{
  struct copy *copy = g_hash_table_lookup (copies->by_home, home);

  if (copy != NULL)
    return copy;
  copy = g_new0 (struct copy, 1);
  copy->key_table = jc_keytable_new ();
  copy->page = g_byte_array_new ();
  g_hash_table_insert (copies->by_home, g_strdup (home), copy);
  return copy;
}

static struct jc_str
message_records (const struct rpc_ledger_copy *message)
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

/* Stage one part of a full transfer; the last part replaces the copy.  A part
   out of order is ignored; the ledger repeats a transfer that is not
   acknowledged.  */
static void
handle_transfer_part (struct copy *copy, const struct rpc_ledger_copy *message)
{
  if (message->part == 0)
    {
      jc_keytable_free (copy->staged);
      copy->staged = jc_keytable_new ();
      copy->transfer_id = message->transfer;
      copy->next_part = 0;
    }
  if (copy->staged == NULL || message->transfer != copy->transfer_id
      || message->part != copy->next_part)
    return;
  if (jc_record_decode (message_records (message), stage_record, copy) != JC_OK)
    return;
  copy->next_part++;
  if (!message->last)
    return;
  jc_keytable_free (copy->key_table);
  copy->key_table = copy->staged;
  copy->staged = NULL;
  copy->ledger_incarnation = message->ledger_incarnation;
  copy->sequence = message->sequence;
  copy->complete = true;
}

/* Apply RECORD if it is the next in sequence.  */
static void
put_next_record (void *ctx, const struct rpc_ledger_record *record)
{
  struct copy *copy = ctx;

  if (record->sequence != copy->sequence + 1)
    return;
  copy->sequence = record->sequence;
  jc_keytable_put (copy->key_table, record);
}

static void
append_key (gpointer data, gpointer ctx)
{
  GBytes *bytes = jc_key_encode (data);
  struct copy *copy = ctx;

  g_byte_array_append (copy->page, g_bytes_get_data (bytes, NULL),
                       (guint)g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
}

/* Fill REPLY to a pull with at most PULL_PAGE_BYTES of the encoded keys.  In a
   pull the part of MESSAGE is the byte offset to read from; offset 0 encodes
   the keys again.  */
static void
fill_pull_reply (struct copy *copy, const struct rpc_ledger_copy *message,
                 struct rpc_ledger_copy_reply *reply)
{
  guint left;

  if (message->part == 0)
    {
      g_byte_array_set_size (copy->page, 0);
      jc_keytable_foreach (copy->key_table, append_key, copy);
    }
  left = copy->page->len - MIN (copy->page->len, message->part);
  reply->pull = TRUE;
  reply->part = message->part;
  reply->last = left <= PULL_PAGE_BYTES;
  reply->records.rpc_bytes_val
      = (char *)copy->page->data + (copy->page->len - left);
  reply->records.rpc_bytes_len = MIN (left, PULL_PAGE_BYTES);
}

/* Handle MESSAGE of a ledger and fill REPLY, whose records stay valid until the
   next call.  REPLY has complete unset if the ledger must send a full transfer,
   or, after a pull, ask another copy.  */
void
jc_copies_handle_message (struct jc_copies *copies,
                          const struct rpc_ledger_copy *message,
                          struct rpc_ledger_copy_reply *reply)
{
  struct copy *copy = get_or_add_copy (copies, message->home);
  bool fenced = message->fence < copy->fence;

  memset (reply, 0, sizeof *reply);
  reply->home = message->home;
  copy->fence = MAX (copy->fence, message->fence);
  if (!fenced && message->full)
    handle_transfer_part (copy, message);
  else if (!fenced && !message->pull
           && message->ledger_incarnation == copy->ledger_incarnation)
    jc_record_decode (message_records (message), put_next_record, copy);
  if (!fenced && message->pull && copy->complete)
    fill_pull_reply (copy, message, reply);
  reply->ledger_incarnation = message->ledger_incarnation;
  reply->sequence = copy->sequence;
  reply->complete
      = !fenced && copy->complete
        && (message->pull
            || (message->ledger_incarnation == copy->ledger_incarnation
                && copy->sequence >= message->sequence));
}

/* Return the number of keys in the copy of HOME, 0 if there is none.  */
guint
jc_copies_count_keys (const struct jc_copies *copies, const char *home)
{
  const struct copy *copy = g_hash_table_lookup (copies->by_home, home);

  return copy != NULL ? jc_keytable_size (copy->key_table) : 0;
}
