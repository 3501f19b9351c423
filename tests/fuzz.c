/* Bytes that strangers may send, made from good ones.  JC_FUZZ_SEED and
   JC_FUZZ_ROUNDS, where set, take the place of the seed and the rounds below,
   for long runs by hand.  */

#include <stdlib.h>
#include <string.h>

#include "tests/fuzz.h"

enum
{
  /* Rounds of each target in an ordinary run: about a second.  */
  ROUNDS = 100000,
  SEED = 20261204,
  CHANGES_MAX = 6,
  INPUT_MAX = 4096,
  PIECE_MAX = 24
};

static int
number_from (const char *variable, int otherwise)
{
  const char *said = g_getenv (variable);

  return said == NULL ? otherwise : atoi (said);
}

static const char *
one_of (GRand *rand, const char *const *list)
{
  return list[g_rand_int_range (rand, 0,
                                (gint32)g_strv_length ((char **)list))];
}

static gsize
place_in (GRand *rand, const GString *text)
{
  return (gsize)g_rand_int_range (rand, 0, (gint32)text->len + 1);
}

static void
change_byte (GString *text, GRand *rand, const struct fuzz_target *target)
{
  (void)target;
  if (text->len > 0)
    text->str[place_in (rand, text) % text->len]
        = (char)g_rand_int_range (rand, 0, 256);
}

static void
insert_word (GString *text, GRand *rand, const struct fuzz_target *target)
{
  g_string_insert (text, (gssize)place_in (rand, text),
                   one_of (rand, target->dictionary));
}

static void
insert_byte (GString *text, GRand *rand, const struct fuzz_target *target)
{
  (void)target;
  g_string_insert_c (text, (gssize)place_in (rand, text),
                     (char)g_rand_int_range (rand, 0, 256));
}

static void
remove_stretch (GString *text, GRand *rand, const struct fuzz_target *target)
{
  gsize from = place_in (rand, text);
  gsize len = (gsize)g_rand_int_range (rand, 0, PIECE_MAX);

  (void)target;
  g_string_erase (text, (gssize)from, (gssize)MIN (len, text->len - from));
}

static void
repeat_stretch (GString *text, GRand *rand, const struct fuzz_target *target)
{
  gsize from = place_in (rand, text);
  gsize drawn = (gsize)g_rand_int_range (rand, 0, PIECE_MAX);
  gsize len = MIN (drawn, text->len - from);
  char *copy = g_memdup2 (text->str + from, len);

  (void)target;
  g_string_insert_len (text, (gssize)place_in (rand, text), copy, (gssize)len);
  g_free (copy);
}

static void
cut_off (GString *text, GRand *rand, const struct fuzz_target *target)
{
  (void)target;
  g_string_truncate (text, place_in (rand, text));
}

static void
splice (GString *text, GRand *rand, const struct fuzz_target *target)
{
  const char *other = one_of (rand, target->seeds);

  g_string_truncate (text, place_in (rand, text));
  g_string_append (
      text, other + g_rand_int_range (rand, 0, (gint32)strlen (other) + 1));
}

typedef void change_fn (GString *text, GRand *rand,
                        const struct fuzz_target *target);

static change_fn *const changes[]
    = { change_byte,    insert_word, insert_byte, remove_stretch,
        repeat_stretch, cut_off,     splice };

static void
run_round (const struct fuzz_target *target, GRand *rand)
{
  GString *text = g_string_new (one_of (rand, target->seeds));
  int count = g_rand_int_range (rand, 0, CHANGES_MAX);
  char *bytes;

  for (int i = 0; i < count && text->len < INPUT_MAX; i++)
    changes[g_rand_int_range (rand, 0, G_N_ELEMENTS (changes))](text, rand,
                                                                target);
  /* A block of just this size lets a sanitizer see each byte too many.  */
  bytes = g_malloc (MAX (text->len, 1));
  memcpy (bytes, text->str, text->len);
  target->run ((struct jc_str){ .data = bytes, .len = text->len }, rand);
  g_free (bytes);
  g_string_free (text, TRUE);
}

static void
run_target (gconstpointer data)
{
  const struct fuzz_target *target = data;
  int rounds = number_from ("JC_FUZZ_ROUNDS", ROUNDS);
  GRand *rand
      = g_rand_new_with_seed ((guint32)number_from ("JC_FUZZ_SEED", SEED));

  for (int i = 0; i < rounds; i++)
    run_round (target, rand);
  g_rand_free (rand);
}

/* Add a test that plays TARGET, which lives on.  */
void
fuzz_add (const struct fuzz_target *target)
{
  g_test_add_data_func (target->path, target, run_target);
}

/* Give BYTES to FEED with CTX in pieces of random lengths, until it returns
   false.  */
void
fuzz_in_pieces (struct jc_str bytes, GRand *rand,
                bool (*feed) (void *ctx, struct jc_str piece), void *ctx)
{
  while (bytes.len > 0)
    {
      size_t drawn = (size_t)g_rand_int_range (rand, 1, PIECE_MAX);
      size_t len = MIN (drawn, bytes.len);

      if (!feed (ctx, (struct jc_str){ .data = bytes.data, .len = len }))
        return;
      bytes.data += len;
      bytes.len -= len;
    }
}
