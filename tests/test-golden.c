/* Tests that messages, entries of the log and records of files keep their
   formats: samples of each, made of the schema alone, must encode to what
   tests/golden has of the current level, and those of earlier levels must still
   be decoded.  A change of the schema fails here until the level is raised and
   a file for it is added; see docs/design/upgrades.md.  */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "net/rpcprivate.h"

enum
{
  KINDS_MAX = 1024,
  RECORD_KINDS = 5,
  /* JC_GOLDEN_WRITE=1 prints the samples instead of comparing them.  */
  SAMPLE_BYTES_MAX = 65536
};

/* Source of a sample: a number is 1, but for the first ones, which NEXT gives;
   a text consists of "a".  */
struct source
{
  const long *next;
  unsigned int left;
};

static bool_t
source_getlong (XDR *xdr, long *value)
{
  struct source *source = (struct source *)xdr->x_private;

  *value = 1;
  if (source->left > 0)
    {
      *value = *source->next++;
      source->left--;
    }
  return TRUE;
}

static bool_t
source_getbytes (XDR *xdr, char *bytes, u_int len)
{
  (void)xdr;
  memset (bytes, 'a', len);
  return TRUE;
}

static int32_t *
source_inline (XDR *xdr, u_int len)
{
  (void)xdr;
  (void)len;
  return NULL;
}

static const struct xdr_ops source_ops = { .x_getlong = source_getlong,
                                           .x_getbytes = source_getbytes,
                                           .x_inline = source_inline };

/* A type that is sent or stored; VALUES, COUNT of them, are the first numbers
   of its sample.  */
struct format
{
  const char *name;
  xdrproc_t proc;
  long values[2];
  unsigned int count;
};

static const struct format entries[] = {
  { "entry order", (xdrproc_t)xdr_rpc_order, { 0 }, 0 },
  { "entry zone_order", (xdrproc_t)xdr_rpc_zone_order, { 0 }, 0 },
  { "entry grant", (xdrproc_t)xdr_rpc_grant, { 0 }, 0 },
  { "entry limits", (xdrproc_t)xdr_rpc_limit_changes, { 0 }, 0 },
  { "entry crashes", (xdrproc_t)xdr_rpc_crash_changes, { 0 }, 0 },
  { "entry crash_proofs", (xdrproc_t)xdr_rpc_crash_proofs, { 0 }, 0 },
  { "entry version", (xdrproc_t)xdr_rpc_service_version, { 0 }, 0 },
  { "entry departure", (xdrproc_t)xdr_rpc_departure, { 0 }, 0 },
  { "entry replicas", (xdrproc_t)xdr_rpc_replicas, { 0 }, 0 },
  { "entry ledger_set", (xdrproc_t)xdr_rpc_ledger_set, { 0 }, 0 },
  { "file ledger", (xdrproc_t)xdr_rpc_ledger_record, { 1 }, 1 },
  { "file log meta", (xdrproc_t)xdr_rpc_record, { RPC_RECORD_META }, 1 },
  { "file log hard", (xdrproc_t)xdr_rpc_record, { RPC_RECORD_HARD }, 1 },
  { "file log snapshot",
    (xdrproc_t)xdr_rpc_record,
    { RPC_RECORD_SNAPSHOT },
    1 },
  { "file log entry", (xdrproc_t)xdr_rpc_record, { RPC_RECORD_ENTRY }, 1 },
  { "file log commit", (xdrproc_t)xdr_rpc_record, { RPC_RECORD_COMMIT }, 1 },
};

/* Append the sample of FORMAT, encoded and in hexadecimal, to OUT as a line
   after NAME.  */
static void
append_sample (const struct format *format, const char *name, GString *out)
{
  /* Larger than each of the types.  */
  void *value = g_malloc0 (SAMPLE_BYTES_MAX);
  unsigned char *bytes = g_malloc (SAMPLE_BYTES_MAX);
  struct source source = { .next = format->values, .left = format->count };
  XDR xdr = { .x_op = XDR_DECODE, .x_ops = &source_ops, .x_private = &source };
  u_int len;

  g_assert_true (format->proc (&xdr, value));
  xdrmem_create (&xdr, (char *)bytes, SAMPLE_BYTES_MAX, XDR_ENCODE);
  g_assert_true (format->proc (&xdr, value));
  len = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  xdr_free (format->proc, value);
  g_string_append_printf (out, "%s: ", name);
  for (u_int i = 0; i < len; i++)
    g_string_append_printf (out, "%02x", bytes[i]);
  g_string_append_c (out, '\n');
  g_free (bytes);
  g_free (value);
}

/* Append the sample of a message of TYPE.  */
static void
append_message (int type, GString *out)
{
  static const struct format head
      = { "head", (xdrproc_t)xdr_rpc_head, { 0 }, 0 };
  const struct format body = { NULL, (xdrproc_t)xdr_rpc_body, { type }, 1 };
  g_autofree char *name = g_strdup_printf (
      "message %s", rpc_traffic_kind_name ((enum rpc_type)type));

  if (type == RPC_HELLO)
    append_sample (&head, "message head", out);
  append_sample (&body, name, out);
}

/* Return the samples of this build.  */
static GString *
all_samples (void)
{
  GString *out = g_string_new (NULL);

  for (int type = 0; type < KINDS_MAX; type++)
    if (rpc_traffic_kind_name ((enum rpc_type)type) != NULL)
      append_message (type, out);
  for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
    append_sample (&entries[i], entries[i].name, out);
  return out;
}

static char *
golden_text (unsigned int level)
{
  g_autofree char *name = g_strdup_printf ("tests/golden/level-%u.txt", level);
  char *text = NULL;

  if (!g_file_get_contents (name, &text, NULL, NULL))
    g_error ("There is no %s; run the test in the top folder.", name);
  return text;
}

/* Guards against a change of a message, an entry or a file that the builds
   which are in use don't expect.  */
static void
test_current (void)
{
  GString *samples = all_samples ();
  g_auto (GStrv) ours = g_strsplit (samples->str, "\n", -1);
  g_autofree char *text = golden_text (JC_RPC_LEVEL);
  g_auto (GStrv) theirs = g_strsplit (text, "\n", -1);

  if (g_getenv ("JC_GOLDEN_WRITE") != NULL)
    g_print ("%s", samples->str);
  for (guint i = 0; ours[i] != NULL && theirs[i] != NULL; i++)
    g_assert_cmpstr (ours[i], ==, theirs[i]);
  g_assert_cmpuint (g_strv_length (ours), ==, g_strv_length (theirs));
  g_string_free (samples, TRUE);
}

/* Return the bytes of HEX.  */
static GByteArray *
parse_hex (const char *hex)
{
  GByteArray *bytes = g_byte_array_new ();

  for (; g_ascii_isxdigit (hex[0]) && g_ascii_isxdigit (hex[1]); hex += 2)
    {
      guint8 byte = (guint8)(g_ascii_xdigit_value (hex[0]) * 16
                             + g_ascii_xdigit_value (hex[1]));

      g_byte_array_append (bytes, &byte, 1);
    }
  return bytes;
}

/* Check that LINE of a file of LEVEL is decoded: a message as it comes from a
   peer of that level, behind the HEAD of the same file.  */
static void
check_decoded (const char *line, const GByteArray *head, unsigned int level)
{
  const char *hex = strstr (line, ": ");
  g_autoptr (GByteArray) bytes = parse_hex (hex + 2);

  if (g_str_has_prefix (line, "message "))
    {
      struct rpc_packet packet;

      g_byte_array_prepend (bytes, head->data, head->len);
      g_assert_cmpint (rpc_decode ((struct jc_str){ .data = (char *)bytes->data,
                                                    .len = bytes->len },
                                   JC_RPC_LEVEL, level, &packet),
                       ==, RPC_DECODED);
      xdr_free ((xdrproc_t)xdr_rpc_packet, (char *)&packet);
      return;
    }
  for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
    {
      void *value;
      XDR xdr;

      if (strncmp (entries[i].name, line, (size_t)(hex - line)) != 0
          || strlen (entries[i].name) != (size_t)(hex - line))
        continue;
      value = g_malloc0 (SAMPLE_BYTES_MAX);
      xdrmem_create (&xdr, (char *)bytes->data, bytes->len, XDR_DECODE);
      g_assert_true (entries[i].proc (&xdr, value));
      xdr_destroy (&xdr);
      xdr_free (entries[i].proc, value);
      g_free (value);
      return;
    }
  g_error ("Nothing decodes %.40s.", line);
}

/* Guards against a build that doesn't read what an earlier one sent or
   stored.  */
static void
test_earlier (void)
{
  for (unsigned int level = 1; level <= JC_RPC_LEVEL; level++)
    {
      g_autofree char *text = golden_text (level);
      g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
      g_autoptr (GByteArray) head = g_byte_array_new ();

      for (guint i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++)
        if (g_str_has_prefix (lines[i], "message head: "))
          {
            g_byte_array_unref (head);
            head = parse_hex (strstr (lines[i], ": ") + 2);
          }
        else
          check_decoded (lines[i], head, level);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/current", test_current);
  g_test_add_func ("/earlier", test_earlier);
  return g_test_run ();
}
