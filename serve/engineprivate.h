/* What the files of the engines module share; not for others.  */

#ifndef JC_ENGINE_PRIVATE_H
#define JC_ENGINE_PRIVATE_H

#include "serve/engine.h"

/* Figures of the deployments' engines, from their data sheet: prompt tokens
   read in a ms, what each pair of a token with one before it adds to that,
   time of a step and what each running request adds to it, ms, and the time
   from the end of the reading to the first event.  */
#define PROMPT_TOKENS_A_MS 56.9
#define PAIR_MS 0.165e-6
#define STEP_MS 3.09
#define STEP_RUNNING_MS 0.102
#define FIRST_EVENT_MS 16.0
/* Prompt tokens that are read in one step, between two tokens of each running
   request.  */
#define CHUNK_TOKENS 4096.0

enum
{
  /* Time over which the rate of tokens is averaged: a few times that of a long
     prompt.  */
  RATE_MS = 1500,
  /* Instances whose shares of an engine are kept: more than a zone has.  */
  INSTANCES_MAX = 512,
  MS_PER_S = 1000
};

/* Another instance of this zone, or where it is not DIRECT all those of another
   zone of the region together, and when it told anything last.  */
struct fellow
{
  uint64_t id;
  bool direct;
  int64_t heard_ms;
};

/* What another instance has at an engine, as it told at SAID_MS.  It stands
   until told otherwise, as long as that instance tells anything.  */
struct share
{
  const struct fellow *fellow;
  struct rpc_load said;
  int64_t said_ms;
};

struct engine
{
  char *name;
  uint64_t tag;
  bool changed;
  bool zone_changed;
  unsigned int running;
  uint64_t unread_tokens;
  double rate;
  int64_t rate_ms;
  unsigned int reported;
  int64_t reported_ms;
  double plain_ms;
  double served_ms;
  double pace;
  double failures;
  int64_t failures_ms;
  int64_t rest_ms;
  int64_t rest_until_ms;
  int64_t used_ms;
  unsigned int holders;
  GHashTable *parts;
  struct share *shares;
  unsigned int shares_count;
  unsigned int shares_room;
};

/* Work at an engine, of all instances.  BUSY is the part of its time that
   it reads prompts, PACE how many times the data sheet's times it takes.  */
struct work
{
  double running;
  double unread_tokens;
  double busy;
  double pace;
};

struct jc_engines
{
  GHashTable *by_name;
  GHashTable *by_tag;
  GHashTable *fellows;
  GArray *news;
  GArray *zone_news;
};

/* In engine.c.  */
struct engine *engine_of (struct jc_engines *engines, const char *name);
double engine_failures (const struct engine *engine, int64_t now_ms);
struct work engine_work (const struct engine *engine, int64_t now_ms);

/* In engineparts.c.  */
GHashTable *engine_parts_new (void);
unsigned int engine_tokens_read (const struct engine *engine,
                                 const struct jc_demand *demand,
                                 int64_t now_ms);
bool engine_has_shared (const struct engine *engine,
                        const struct jc_demand *demand, int64_t now_ms);
void engine_parts_used (struct engine *engine, const struct jc_demand *demand,
                        int64_t now_ms);
void engine_parts_sent (struct jc_engines *engines, struct engine *engine,
                        const struct jc_demand *demand, int64_t now_ms);
void engine_parts_heard (struct jc_engines *engines,
                         const struct rpc_part_read *read, bool direct,
                         int64_t now_ms);

/* In enginecost.c.  */
double engine_reading (const struct jc_demand *demand, unsigned int read);
double engine_step_ms (const struct work *work);
double engine_cost_ms (struct jc_engines *engines,
                       const struct jc_endpoint *endpoint,
                       const struct jc_demand *demand,
                       const struct jc_endpoint *meeting, int64_t now_ms);
bool engine_is_long (const struct jc_demand *demand);

#endif
