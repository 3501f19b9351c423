/* Limits of products: token buckets on the monotonic clock.  */

#include "serve/limit.h"

enum
{
  MS_PER_S = 1000,
  PERCENT = 100,
  EARNED_RETRIES_MAX = 100,
  FREE_RETRIES_PER_S = 5,
  /* A product may send this much time's worth of its link share at once.  */
  LINK_BURST_MS = 500
};

/* A token bucket.  A new one is full.  */
struct bucket
{
  double tokens;
  int64_t refilled_ms;
  bool initialized;
};

/* Usage of a product.  FREE_RETRIES are for products with little traffic,
   EARNED_RETRIES are a share of its requests.  */
struct product
{
  struct bucket rate;
  struct bucket free_retries;
  double earned_retries;
  unsigned int running;
};

struct jc_limits
{
  GHashTable *products;
  GHashTable *links;
};

/* Return limits without any usage.  */
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

/* Free LIMITS, which may be NULL.  */
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
product_get (struct jc_limits *limits, const char *name)
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
bucket_refill (struct bucket *bucket, double per_ms, double capacity,
               int64_t now_ms)
{
  if (!bucket->initialized)
    bucket->tokens = capacity;
  else
    bucket->tokens += per_ms * (double)MAX (now_ms - bucket->refilled_ms, 0);
  bucket->tokens = MIN (bucket->tokens, capacity);
  bucket->refilled_ms = now_ms;
  bucket->initialized = true;
}

/* Take one request of PRODUCT from its rate and credit the part of a retry that
   it earns.  If the rate is used up, return JC_RATE_LIMITED and set
   RETRY_AFTER_MS to the time until a request is allowed.  */
enum jc_status
jc_limits_admit (struct jc_limits *limits, const char *product,
                 const struct jc_limit *limit, int64_t now_ms,
                 int64_t *retry_after_ms)
{
  struct product *state = product_get (limits, product);
  double per_ms = (double)limit->requests_per_s / MS_PER_S;

  bucket_refill (&state->rate, per_ms, (double)limit->burst, now_ms);
  if (state->rate.tokens < 1)
    {
      *retry_after_ms = (int64_t)((1 - state->rate.tokens) / per_ms) + 1;
      return jc_fail (JC_RATE_LIMITED,
                      "The product is over its %d requests a second.",
                      (int)limit->requests_per_s);
    }
  state->rate.tokens -= 1;
  state->earned_retries += (double)limit->retry_percent / PERCENT;
  state->earned_retries = MIN (state->earned_retries, EARNED_RETRIES_MAX);
  return JC_OK;
}

/* Return true if PRODUCT is below its limit of concurrent requests.  */
bool
jc_limits_has_room (struct jc_limits *limits, const char *product,
                    const struct jc_limit *limit)
{
  return product_get (limits, product)->running < limit->concurrency;
}

/* Count a request of PRODUCT as running.  */
void
jc_limits_start (struct jc_limits *limits, const char *product)
{
  product_get (limits, product)->running++;
}

/* Count a request of PRODUCT as ended.  */
void
jc_limits_finish (struct jc_limits *limits, const char *product)
{
  struct product *state = product_get (limits, product);

  if (state->running > 0)
    state->running--;
}

/* Take one retry of PRODUCT from the share of its recent requests, or from the
   FREE_RETRIES_PER_S for products with little traffic.  Return false if both
   are used up.  */
bool
jc_limits_take_retry (struct jc_limits *limits, const char *product,
                      const struct jc_limit *limit, int64_t now_ms)
{
  struct product *state = product_get (limits, product);

  if (limit->retry_percent == 0)
    return false;
  bucket_refill (&state->free_retries, (double)FREE_RETRIES_PER_S / MS_PER_S,
                 FREE_RETRIES_PER_S, now_ms);
  if (state->earned_retries >= 1)
    state->earned_retries -= 1;
  else if (state->free_retries.tokens >= 1)
    state->free_retries.tokens -= 1;
  else
    return false;
  return true;
}

static struct bucket *
link_bucket (struct jc_limits *limits, const char *product,
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

/* Return true if PRODUCT has bytes left in its share of LINK.  */
bool
jc_limits_link_has_room (struct jc_limits *limits, const char *product,
                         const struct jc_limit *limit,
                         const struct jc_link *link, int64_t now_ms)
{
  struct bucket *bucket = link_bucket (limits, product, link);
  double per_ms = (double)link->bytes_per_s * (double)limit->link_percent
                  / PERCENT / MS_PER_S;

  bucket_refill (bucket, per_ms, per_ms * LINK_BURST_MS, now_ms);
  return bucket->tokens > 0;
}

/* Charge PRODUCT for BYTES sent or received over LINK.  What exceeds its share
   is taken from the share of the following time.  */
void
jc_limits_link_spend (struct jc_limits *limits, const char *product,
                      const struct jc_link *link, uint64_t bytes)
{
  link_bucket (limits, product, link)->tokens -= (double)bytes;
}
