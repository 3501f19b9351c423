/* Fuzzing by mutation.  The environment variables JC_FUZZ_SEED and
   JC_FUZZ_ROUNDS replace the default seed and number of rounds, for longer runs
   by hand.  */

#include <stdlib.h>
#include <string.h>

#include "tests/fuzz.h"

enum
{
  /* Rounds for each target; they take about a second.  */
  DEFAULT_ROUNDS = 100000,
  DEFAULT_SEED = 20261204,
  MUTATIONS_MAX = 6,
  INPUT_BYTES_MAX = 4096,
  PIECE_BYTES_MAX = 24
};

/* Return the number in the environment variable VARIABLE, or DEFAULT_VALUE if
   it is not set.  */
static int
number_from_env (const char *variable, int default_value)
{
  const char *value = g_getenv (variable);

  return value == NULL ? default_value : atoi (value);
}

/* Return a random element of LIST, which ends with NULL.  */
static const char *
random_element (GRand *rand, const char *const *list)
{
  return list[g_rand_int_range (rand, 0,
                                (gint32)g_strv_length ((char **)list))];
}

/* Return a random position in TEXT, from 0 to its length.  */
static gsize
random_position (GRand *rand, const GString *text)
{
  return (gsize)g_rand_int_range (rand, 0, (gint32)text->len + 1);
}

static void
change_byte (GString *text, GRand *rand, const struct fuzz_target *target)
{
  (void)target;
  if (text->len > 0)
    text->str[random_position (rand, text) % text->len]
        = (char)g_rand_int_range (rand, 0, 256);
}

static void
insert_token (GString *text, GRand *rand, const struct fuzz_target *target)
{
  g_string_insert (text, (gssize)random_position (rand, text),
                   random_element (rand, target->dictionary));
}

static void
insert_byte (GString *text, GRand *rand, const struct fuzz_target *target)
{
  (void)target;
  g_string_insert_c (text, (gssize)random_position (rand, text),
                     (char)g_rand_int_range (rand, 0, 256));
}

static void
remove_range (GString *text, GRand *rand, const struct fuzz_target *target)
{
  gsize from = random_position (rand, text);
  gsize len = (gsize)g_rand_int_range (rand, 0, PIECE_BYTES_MAX);

  (void)target;
  g_string_erase (text, (gssize)from, (gssize)MIN (len, text->len - from));
}

static void
repeat_range (GString *text, GRand *rand, const struct fuzz_target *target)
{
  gsize from = random_position (rand, text);
  gsize drawn = (gsize)g_rand_int_range (rand, 0, PIECE_BYTES_MAX);
  gsize len = MIN (drawn, text->len - from);
  char *copy = g_memdup2 (text->str + from, len);

  (void)target;
  g_string_insert_len (text, (gssize)random_position (rand, text), copy,
                       (gssize)len);
  g_free (copy);
}

static void
truncate_end (GString *text, GRand *rand, const struct fuzz_target *target)
{
  (void)target;
  g_string_truncate (text, random_position (rand, text));
}

/* Replace the end of TEXT by the end of a seed, both cut at random
   positions.  */
static void
splice (GString *text, GRand *rand, const struct fuzz_target *target)
{
  const char *other = random_element (rand, target->seeds);

  g_string_truncate (text, random_position (rand, text));
  g_string_append (
      text, other + g_rand_int_range (rand, 0, (gint32)strlen (other) + 1));
}

typedef void mutation_fn (GString *text, GRand *rand,
                          const struct fuzz_target *target);

static mutation_fn *const mutations[]
    = { change_byte,  insert_token, insert_byte, remove_range,
        repeat_range, truncate_end, splice };

/* Run TARGET once, with a mutated seed.  */
static void
run_round (const struct fuzz_target *target, GRand *rand)
{
  GString *text = g_string_new (random_element (rand, target->seeds));
  int count = g_rand_int_range (rand, 0, MUTATIONS_MAX);
  char *bytes;

  for (int i = 0; i < count && text->len < INPUT_BYTES_MAX; i++)
    mutations[g_rand_int_range (rand, 0, G_N_ELEMENTS (mutations))](text, rand,
                                                                    target);
  /* In a block of exactly this size, sanitizers detect reads beyond it.  */
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
  int rounds = number_from_env ("JC_FUZZ_ROUNDS", DEFAULT_ROUNDS);
  GRand *rand = g_rand_new_with_seed (
      (guint32)number_from_env ("JC_FUZZ_SEED", DEFAULT_SEED));

  for (int i = 0; i < rounds; i++)
    run_round (target, rand);
  g_rand_free (rand);
}

/* Add a test case for TARGET, which must exist until the tests have run.  */
void
fuzz_add (const struct fuzz_target *target)
{
  g_test_add_data_func (target->path, target, run_target);
}

/* Pass BYTES to FEED with CTX in pieces of random lengths, until FEED returns
   false.  */
void
fuzz_in_pieces (struct jc_str bytes, GRand *rand,
                bool (*feed) (void *ctx, struct jc_str piece), void *ctx)
{
  while (bytes.len > 0)
    {
      size_t drawn = (size_t)g_rand_int_range (rand, 1, PIECE_BYTES_MAX);
      size_t len = MIN (drawn, bytes.len);

      if (!feed (ctx, (struct jc_str){ .data = bytes.data, .len = len }))
        return;
      bytes.data += len;
      bytes.len -= len;
    }
}
