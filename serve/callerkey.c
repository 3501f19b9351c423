/* Keys of callers.  */

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "serve/callerkey.h"

enum
{
  CODE_BYTES = 16,
  DIGEST_TEXT = 2 * JC_KEY_DIGEST_BYTES + 1,
  CODE_TEXT = 2 * CODE_BYTES + 1,
  DECIMAL = 10
};

static void
derive (unsigned char *out, const unsigned char *key, const char *label)
{
  crypto_generichash (out, JC_KEY_SECRET_BYTES, (const unsigned char *)label,
                      strlen (label), key, crypto_generichash_KEYBYTES);
}

/* Set SECRETS from GROUP_KEY, 64 hexadecimal digits.  */
void
jc_key_secrets_derive (struct jc_key_secrets *secrets, const char *group_key)
{
  unsigned char key[crypto_generichash_KEYBYTES] = { 0 };

  sodium_hex2bin (key, sizeof key, group_key, strlen (group_key), NULL, NULL,
                  NULL);
  derive (secrets->digest, key, "digests of callers' keys");
  derive (secrets->note, key, "notes of callers' keys");
  sodium_memzero (key, sizeof key);
}

/* Decide by the workspaces of this instance.  The digest of the key is that in
   VERDICT.  */
static void
check_here (const struct jc_key_query *query, enum jc_key_fault unreadable,
            struct jc_key_verdict *verdict)
{
  verdict->note.version = query->routes->version;
  if (query->routes->workspaces == NULL || query->route->anonymous)
    return;
  if (!verdict->note.has_digest)
    {
      verdict->fault = unreadable;
      return;
    }
  verdict->workspace = jc_workspaces_find_digest (query->routes->workspaces,
                                                  verdict->note.digest);
  if (verdict->workspace != NULL)
    verdict->note.name = verdict->workspace->name;
  else
    verdict->fault = JC_KEY_FAULT_UNKNOWN;
}

/* Decide by the note of the instance that handed the request over, whose
   configuration is newer than the one here.  */
static void
trust_note (const struct jc_key_query *query, struct jc_key_verdict *verdict)
{
  verdict->note = *query->note;
  if (verdict->note.name != NULL && query->routes->workspaces != NULL)
    verdict->workspace
        = jc_workspaces_find (query->routes->workspaces, verdict->note.name);
}

/* Decide which workspace the request of QUERY belongs to.  Of two instances'
   configurations the newer one counts.  An instance that sends no note knows
   of no workspaces and passes the caller's key on, so that it is checked as if
   the caller had come here.  */
void
jc_key_check (const struct jc_key_query *query, struct jc_key_verdict *verdict)
{
  *verdict = (struct jc_key_verdict){ .fault = JC_KEY_FAULT_NONE };
  if (query->note != NULL && query->note->version > query->routes->version)
    {
      trust_note (query, verdict);
      return;
    }
  if (query->note != NULL)
    {
      verdict->note = *query->note;
      verdict->note.name = NULL;
      check_here (query, JC_KEY_FAULT_MISSING, verdict);
      return;
    }
  if (query->routes->workspaces == NULL)
    return;
  if (query->fault == JC_KEY_FAULT_NONE)
    {
      jc_workspaces_digest (query->routes->workspaces, query->key,
                            verdict->note.digest);
      verdict->note.has_digest = true;
    }
  check_here (query, query->fault, verdict);
}

/* Store in OUT, CODE_TEXT bytes, the code of NOTE, which only instances of the
   group can compute.  */
static void
compute_code (const struct jc_key_note *note,
              const struct jc_key_secrets *secrets, char *out)
{
  crypto_generichash_state state;
  unsigned char code[CODE_BYTES];
  const unsigned char flags[]
      = { note->has_digest ? 1 : 0, note->name != NULL ? 1 : 0 };

  crypto_generichash_init (&state, secrets->note, sizeof secrets->note,
                           sizeof code);
  crypto_generichash_update (&state, (const unsigned char *)&note->version,
                             sizeof note->version);
  crypto_generichash_update (&state, flags, sizeof flags);
  if (note->has_digest)
    crypto_generichash_update (&state, note->digest, sizeof note->digest);
  if (note->name != NULL)
    crypto_generichash_update (&state, (const unsigned char *)note->name,
                               strlen (note->name));
  crypto_generichash_final (&state, code, sizeof code);
  sodium_bin2hex (out, CODE_TEXT, code, sizeof code);
}

/* Return NOTE without its name as text, "VERSION,DIGEST,CODE", which the caller
   frees.  */
char *
jc_key_note_format (const struct jc_key_note *note,
                    const struct jc_key_secrets *secrets)
{
  char digest[DIGEST_TEXT] = "";
  char code[CODE_TEXT];

  if (note->has_digest)
    sodium_bin2hex (digest, sizeof digest, note->digest, sizeof note->digest);
  compute_code (note, secrets, code);
  return g_strdup_printf ("%" PRIu64 ",%s,%s", note->version, digest, code);
}

/* Parse DIGEST, hexadecimal digits, into NOTE; it may be empty.  */
static bool
parse_digest (struct jc_str digest, struct jc_key_note *note)
{
  size_t len = 0;

  note->has_digest = digest.len > 0;
  return !note->has_digest
         || (digest.len == DIGEST_TEXT - 1
             && sodium_hex2bin (note->digest, sizeof note->digest, digest.data,
                                digest.len, NULL, &len, NULL)
                    == 0
             && len == sizeof note->digest);
}

/* Read TEXT, which jc_key_note_format wrote for a note with NAME, into NOTE.
   Return false if no instance of the group did.  */
bool
jc_key_note_parse (const char *text, const char *name,
                   const struct jc_key_secrets *secrets,
                   struct jc_key_note *note)
{
  struct jc_str rest = jc_str_from_cstr (text);
  struct jc_str version;
  struct jc_str digest;
  char code[CODE_TEXT];

  *note = (struct jc_key_note){ .name = name };
  if (!jc_str_cut (&rest, ',', &version) || !jc_str_cut (&rest, ',', &digest)
      || !parse_digest (digest, note))
    return false;
  note->version = g_ascii_strtoull (version.data, NULL, DECIMAL);
  compute_code (note, secrets, code);
  return note->version > 0 && rest.len == CODE_TEXT - 1
         && sodium_memcmp (rest.data, code, rest.len) == 0;
}

/* Return the name of FAULT in logs and metrics.  */
const char *
jc_key_fault_name (enum jc_key_fault fault)
{
  static const char *const names[] = { [JC_KEY_FAULT_NONE] = "none",
                                       [JC_KEY_FAULT_MISSING] = "missing",
                                       [JC_KEY_FAULT_MALFORMED] = "malformed",
                                       [JC_KEY_FAULT_UNKNOWN] = "unknown" };

  return names[fault];
}
