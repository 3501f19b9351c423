/* Limits of products, by token buckets on monotonic time.  */

#include "serve/limit.h"

enum
{
  MS_PER_S = 1000,
  PERCENT = 100,
  RETRIES_KEPT_MAX = 100,
  RETRIES_SPARE = 5,
  LINK_BURST_MS = 500
};

/* Tokens that come at a rate up to a bound.  A new bucket is full.  */
struct bucket
{
  double tokens;
  int64_t filled_ms;
  bool used;
};

struct product
{
  struct bucket rate;
  struct bucket spare;
  double retries;
  unsigned int running;
};

struct jc_limits
{
  GHashTable *products;
  GHashTable *links;
};

/* Return limits that nothing has used.  */
struct jc_limits *
jc_limits_new (void)
{
  struct jc_limits *limits = g_new0 (struct jc_limits, 1);

  limits->products
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  limits->links
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return limits;
}

/* Free LIMITS.  */
void
jc_limits_free (struct jc_limits *limits)
{
  if (limits == NULL)
    return;
  g_hash_table_destroy (limits->products);
  g_hash_table_destroy (limits->links);
  g_free (limits);
}

static struct product *
product_of (struct jc_limits *limits, const char *name)
{
  struct product *product = g_hash_table_lookup (limits->products, name);

  if (product == NULL)
    {
      product = g_new0 (struct product, 1);
      g_hash_table_insert (limits->products, g_strdup (name), product);
    }
  return product;
}

static void
bucket_fill (struct bucket *bucket, double per_ms, double most, int64_t now_ms)
{
  if (!bucket->used)
    bucket->tokens = most;
  else
    bucket->tokens += per_ms * (double)MAX (now_ms - bucket->filled_ms, 0);
  bucket->tokens = MIN (bucket->tokens, most);
  bucket->filled_ms = now_ms;
  bucket->used = true;
}

/* Take one request of PRODUCT from its rate.  Return JC_RATE_LIMITED, and
   set RETRY_AFTER_MS to when there will be room, where it is used up.  */
enum jc_status
jc_limits_admit (struct jc_limits *limits, const char *product,
                 const struct jc_limit *limit, int64_t now_ms,
                 int64_t *retry_after_ms)
{
  struct product *state = product_of (limits, product);
  double per_ms = (double)limit->requests_per_s / MS_PER_S;

  bucket_fill (&state->rate, per_ms, (double)limit->burst, now_ms);
  if (state->rate.tokens < 1)
    {
      *retry_after_ms = (int64_t)((1 - state->rate.tokens) / per_ms) + 1;
      return jc_fail (JC_RATE_LIMITED,
                      "The product is over its %d requests a second.",
                      (int)limit->requests_per_s);
    }
  state->rate.tokens -= 1;
  state->retries += (double)limit->retry_percent / PERCENT;
  state->retries = MIN (state->retries, RETRIES_KEPT_MAX);
  return JC_OK;
}

/* Tell whether PRODUCT may have one more request running.  */
bool
jc_limits_has_room (struct jc_limits *limits, const char *product,
                    const struct jc_limit *limit)
{
  return product_of (limits, product)->running < limit->concurrency;
}

/* A request of PRODUCT runs.  */
void
jc_limits_start (struct jc_limits *limits, const char *product)
{
  product_of (limits, product)->running++;
}

/* A request of PRODUCT runs no more.  */
void
jc_limits_finish (struct jc_limits *limits, const char *product)
{
  struct product *state = product_of (limits, product);

  if (state->running > 0)
    state->running--;
}

/* Take one retry of PRODUCT from its share of recent requests, or from the
   few a second that a product with little traffic may have.  */
bool
jc_limits_take_retry (struct jc_limits *limits, const char *product,
                      const struct jc_limit *limit, int64_t now_ms)
{
  struct product *state = product_of (limits, product);

  if (limit->retry_percent == 0)
    return false;
  bucket_fill (&state->spare, (double)RETRIES_SPARE / MS_PER_S, RETRIES_SPARE,
               now_ms);
  if (state->retries >= 1)
    state->retries -= 1;
  else if (state->spare.tokens >= 1)
    state->spare.tokens -= 1;
  else
    return false;
  return true;
}

static struct bucket *
link_of (struct jc_limits *limits, const char *product,
         const struct jc_link *link)
{
  char *key = g_strconcat (product, "/", link->name, NULL);
  struct bucket *bucket = g_hash_table_lookup (limits->links, key);

  if (bucket == NULL)
    {
      bucket = g_new0 (struct bucket, 1);
      g_hash_table_insert (limits->links, g_strdup (key), bucket);
    }
  g_free (key);
  return bucket;
}

/* Tell whether PRODUCT has bytes left of its share of LINK.  */
bool
jc_limits_link_has_room (struct jc_limits *limits, const char *product,
                         const struct jc_limit *limit,
                         const struct jc_link *link, int64_t now_ms)
{
  struct bucket *bucket = link_of (limits, product, link);
  double per_ms = (double)link->bytes_per_s * (double)limit->link_percent
                  / PERCENT / MS_PER_S;

  bucket_fill (bucket, per_ms, per_ms * LINK_BURST_MS, now_ms);
  return bucket->tokens > 0;
}

/* PRODUCT sent BYTES over LINK, or got them; what is over its share is taken
   from the time to come.  */
void
jc_limits_link_spend (struct jc_limits *limits, const char *product,
                      const struct jc_link *link, uint64_t bytes)
{
  link_of (limits, product, link)->tokens -= (double)bytes;
}
