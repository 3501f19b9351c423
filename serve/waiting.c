/* Waiting: requests that wait at an instance for room at the endpoints of a
   service, and the order in which they get it.  */

#include "serve/waiting.h"

#include "serve/regionload.h"

/* Part of the time left in which a request that comes must be likely to get
   room: the rate varies.  */
#define CHANCE_PART 0.5

enum
{
  /* Callers give up a stream after a pause of this time, or of these multiples
     of the objective and the pause that its route allows if that is longer.  */
  PAUSE_MIN_MS = 2000,
  PAUSE_OBJECTIVES = 4,
  PAUSE_GAPS = 8,
  /* Rows of a table beyond which those without waiting requests are
     forgotten.  */
  ROWS_MAX = 256,
  MS_PER_S = 1000
};

/* The requests of a workspace in a line.  Each that gets room adds one to
   SERVED; the workspace with the lowest is next.  */
struct flow
{
  GSequence *slots;
  double served;
};

/* The requests for a service.  SERVED is that of the flow that was last
   served.  */
struct line
{
  GHashTable *flows;
  double served;
  unsigned int length;
};

/* The requests of a kind: the rate at which they get room, how many wait, and
   the last turn in which there was no room for one.  */
struct jc_waiting_kind
{
  struct jc_request_rate sent;
  unsigned int waiting;
  uint64_t no_room_turn;
};

/* GIVEN_UP holds requests that wait and are to be refused.  */
struct jc_waiting
{
  GQueue given_up;
  GHashTable *lines;
  GHashTable *kinds;
  uint64_t turn;
  uint64_t last_sequence;
  unsigned int length;
};

/* Return for how long the caller that PATIENCE describes waits for the first
   event, ms.  */
int64_t
jc_patience_ms (const struct jc_patience *patience)
{
  int64_t pause = MAX (PAUSE_OBJECTIVES * patience->objective_ms,
                       PAUSE_GAPS * patience->gap_ms);

  pause = MAX (pause, PAUSE_MIN_MS);
  return patience->stream ? MIN (pause, patience->left_ms) : patience->left_ms;
}

static void
flow_free (gpointer data)
{
  struct flow *flow = data;

  g_sequence_free (flow->slots);
  g_free (flow);
}

static void
line_free (gpointer data)
{
  struct line *line = data;

  g_hash_table_destroy (line->flows);
  g_free (line);
}

struct jc_waiting *
jc_waiting_new (void)
{
  struct jc_waiting *waiting = g_new0 (struct jc_waiting, 1);

  g_queue_init (&waiting->given_up);
  waiting->lines
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, line_free);
  waiting->kinds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return waiting;
}

/* Free WAITING, which may be NULL.  Requests that wait remain with their
   owners.  */
void
jc_waiting_free (struct jc_waiting *waiting)
{
  if (waiting == NULL)
    return;
  g_queue_clear (&waiting->given_up);
  g_hash_table_destroy (waiting->lines);
  g_hash_table_destroy (waiting->kinds);
  g_free (waiting);
}

static gint
compare_slots (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct jc_waiter_slot *left = a;
  const struct jc_waiter_slot *right = b;

  (void)ctx;
  if (left->late != right->late)
    return left->late ? 1 : -1;
  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  if (left->due_ms != right->due_ms)
    return left->due_ms < right->due_ms ? -1 : 1;
  return (left->sequence > right->sequence)
         - (left->sequence < right->sequence);
}

/* Have TABLE own ROW under a copy of NAME.  Of a full table, the rows that
   IS_IDLE holds of are forgotten first.  */
static void
add_row (GHashTable *table, const char *name, gpointer row, GHRFunc is_idle)
{
  if (g_hash_table_size (table) >= ROWS_MAX)
    g_hash_table_foreach_remove (table, is_idle, NULL);
  g_hash_table_insert (table, g_strdup (name), row);
}

static gboolean
is_idle_line (gpointer key, gpointer value, gpointer ctx)
{
  (void)key;
  (void)ctx;
  return ((const struct line *)value)->length == 0;
}

static struct line *
line_get (struct jc_waiting *waiting, const char *service)
{
  struct line *line = g_hash_table_lookup (waiting->lines, service);

  if (line != NULL)
    return line;
  line = g_new0 (struct line, 1);
  line->flows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, flow_free);
  add_row (waiting->lines, service, line, is_idle_line);
  return line;
}

static gboolean
is_idle_flow (gpointer key, gpointer value, gpointer ctx)
{
  (void)key;
  (void)ctx;
  return g_sequence_is_empty (((const struct flow *)value)->slots);
}

/* Return the row of WORKSPACE in LINE.  One that was forgotten is served as one
   that hasn't had its turn.  */
static struct flow *
flow_get (struct line *line, const char *workspace)
{
  struct flow *flow = g_hash_table_lookup (line->flows, workspace);

  if (flow != NULL)
    return flow;
  flow = g_new0 (struct flow, 1);
  flow->slots = g_sequence_new (NULL);
  add_row (line->flows, workspace, flow, is_idle_flow);
  return flow;
}

static gboolean
is_idle_kind (gpointer key, gpointer value, gpointer ctx)
{
  (void)key;
  (void)ctx;
  return ((const struct jc_waiting_kind *)value)->waiting == 0;
}

static struct jc_waiting_kind *
kind_get (struct jc_waiting *waiting, const char *name)
{
  struct jc_waiting_kind *kind = g_hash_table_lookup (waiting->kinds, name);

  if (kind != NULL)
    return kind;
  kind = g_new0 (struct jc_waiting_kind, 1);
  add_row (waiting->kinds, name, kind, is_idle_kind);
  return kind;
}

static struct jc_waiter_slot *
first_slot (const struct flow *flow)
{
  return g_sequence_is_empty (flow->slots)
             ? NULL
             : g_sequence_get (g_sequence_get_begin_iter (flow->slots));
}

/* Return whether a request like SLOT, which has just come, must wait behind
   others of its kind that wait and can still meet their objective.  */
bool
jc_waiting_must_join (struct jc_waiting *waiting,
                      const struct jc_waiter_slot *slot, int64_t now_ms)
{
  struct line *line = g_hash_table_lookup (waiting->lines, slot->service);
  const struct jc_waiting_kind *kind;
  GHashTableIter iter;
  gpointer value;

  if (line == NULL || line->length == 0)
    return false;
  kind = kind_get (waiting, slot->kind);
  if (kind->waiting == 0)
    return false;
  g_hash_table_iter_init (&iter, line->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jc_waiter_slot *first = first_slot (value);

      if (first != NULL && first->kind_row == kind && first->due_ms > now_ms)
        return true;
    }
  return false;
}

/* Return how many requests of LINE get room before one that comes last of
   FLOW, NULL for a workspace without any.  */
static unsigned int
count_ahead (const struct line *line, const struct flow *flow)
{
  unsigned int own
      = flow != NULL ? (unsigned int)g_sequence_get_length (flow->slots) : 0;
  unsigned int ahead = own;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, line->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value != flow)
      ahead += MIN (
          (unsigned int)g_sequence_get_length (((struct flow *)value)->slots),
          own + 1);
  return ahead;
}

/* Return whether a request like SLOT that begins to wait now is likely to get
   room before that is of no use.  The first of its kind is tried.  */
bool
jc_waiting_has_chance (struct jc_waiting *waiting,
                       const struct jc_waiter_slot *slot, int64_t now_ms)
{
  struct line *line = line_get (waiting, slot->service);
  const struct jc_waiting_kind *kind = kind_get (waiting, slot->kind);
  unsigned int ahead = MIN (
      count_ahead (line, g_hash_table_lookup (line->flows, slot->workspace)),
      kind->waiting);
  double left_s = (double)(slot->until_ms - now_ms) / MS_PER_S;

  return left_s > 0
         && (ahead == 0
             || ahead + 1 < jc_request_rate_at (&kind->sent, now_ms) * left_s
                                * CHANCE_PART);
}

/* Have SLOT wait, unless it does.  */
void
jc_waiting_add (struct jc_waiting *waiting, struct jc_waiter_slot *slot,
                int64_t now_ms)
{
  struct line *line = line_get (waiting, slot->service);
  struct flow *flow = flow_get (line, slot->workspace);

  if (slot->waits)
    return;
  slot->waits = true;
  slot->given_up = false;
  slot->late = slot->due_ms <= now_ms;
  slot->sequence = ++waiting->last_sequence;
  if (g_sequence_is_empty (flow->slots))
    flow->served = MAX (flow->served, line->served);
  slot->position
      = g_sequence_insert_sorted (flow->slots, slot, compare_slots, NULL);
  slot->kind_row = kind_get (waiting, slot->kind);
  slot->kind_row->waiting++;
  line->length++;
  waiting->length++;
}

/* Have SLOT wait no longer, if it does.  */
void
jc_waiting_remove (struct jc_waiting *waiting, struct jc_waiter_slot *slot)
{
  if (!slot->waits)
    return;
  slot->waits = false;
  if (slot->given_up)
    g_queue_remove (&waiting->given_up, slot);
  g_sequence_remove (slot->position);
  slot->position = NULL;
  slot->kind_row->waiting--;
  slot->kind_row = NULL;
  line_get (waiting, slot->service)->length--;
  waiting->length--;
}

/* Record that the request of SLOT got room.  */
void
jc_waiting_note_sent (struct jc_waiting *waiting,
                      const struct jc_waiter_slot *slot, int64_t now_ms)
{
  struct line *line = line_get (waiting, slot->service);
  struct flow *flow = g_hash_table_lookup (line->flows, slot->workspace);

  jc_request_rate_add (&kind_get (waiting, slot->kind)->sent, now_ms);
  if (flow == NULL)
    return;
  line->served = MAX (line->served, flow->served);
  flow->served += 1;
}

/* Move those of FLOW that have become late behind the others.  */
static void
move_late (struct flow *flow, int64_t now_ms)
{
  GSequenceIter *at = g_sequence_get_begin_iter (flow->slots);

  while (!g_sequence_iter_is_end (at))
    {
      struct jc_waiter_slot *slot = g_sequence_get (at);

      at = g_sequence_iter_next (at);
      if (slot->late || slot->due_ms > now_ms)
        continue;
      slot->late = true;
      g_sequence_sort_changed (slot->position, compare_slots, NULL);
    }
}

/* Give up those of FLOW that no longer have a chance.  */
static void
give_up (struct jc_waiting *waiting, struct flow *flow, int64_t now_ms)
{
  GSequenceIter *at = g_sequence_get_begin_iter (flow->slots);
  unsigned int ahead = 0;

  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      struct jc_waiter_slot *slot = g_sequence_get (at);
      const struct jc_waiting_kind *kind = slot->kind_row;
      double left_s = (double)(slot->until_ms - now_ms) / MS_PER_S;

      if (slot->given_up)
        continue;
      slot->given_up
          = left_s <= 0
            || (ahead > 0
                && ahead > jc_request_rate_at (&kind->sent, now_ms) * left_s);
      if (slot->given_up)
        g_queue_push_tail (&waiting->given_up, slot);
      else
        ahead++;
    }
}

/* Begin to go over the requests that wait, with jc_waiting_next.  */
void
jc_waiting_begin_turn (struct jc_waiting *waiting, int64_t now_ms)
{
  GHashTableIter lines;
  gpointer value;

  waiting->turn++;
  g_hash_table_iter_init (&lines, waiting->lines);
  while (g_hash_table_iter_next (&lines, NULL, &value))
    {
      struct line *line = value;
      GHashTableIter flows;

      g_hash_table_iter_init (&flows, line->flows);
      while (line->length > 0 && g_hash_table_iter_next (&flows, NULL, &value))
        {
          move_late (value, now_ms);
          give_up (waiting, value, now_ms);
        }
    }
}

/* Return the first of FLOW that is to be tried in this turn, or NULL.  */
static struct jc_waiter_slot *
flow_next (struct jc_waiting *waiting, const struct flow *flow)
{
  GSequenceIter *at = g_sequence_get_begin_iter (flow->slots);

  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      struct jc_waiter_slot *slot = g_sequence_get (at);

      if (slot->turn != waiting->turn && !slot->given_up
          && slot->kind_row->no_room_turn != waiting->turn)
        return slot;
    }
  return NULL;
}

/* Return whether SLOT of FLOW goes before OTHER, NULL for none, of OTHER_FLOW.
   Late ones go last.  */
static bool
goes_before (const struct jc_waiter_slot *slot, const struct flow *flow,
             const struct jc_waiter_slot *other, const struct flow *other_flow)
{
  if (other == NULL)
    return true;
  if (slot->late != other->late)
    return other->late;
  if (flow->served != other_flow->served)
    return flow->served < other_flow->served;
  return compare_slots (slot, other, NULL) < 0;
}

/* Return the next request of LINE to try, or NULL.  */
static struct jc_waiter_slot *
line_next (struct jc_waiting *waiting, const struct line *line)
{
  struct jc_waiter_slot *best = NULL;
  const struct flow *best_flow = NULL;
  GHashTableIter iter;
  gpointer value;

  if (line->length == 0)
    return NULL;
  g_hash_table_iter_init (&iter, line->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jc_waiter_slot *slot = flow_next (waiting, value);

      if (slot == NULL || !goes_before (slot, value, best, best_flow))
        continue;
      best = slot;
      best_flow = value;
    }
  return best;
}

/* Return the next request to try in this turn, or NULL: first those that are
   given up.  It goes on waiting until it is removed; if there is no room for
   it, that is to be noted.  */
struct jc_waiter_slot *
jc_waiting_next (struct jc_waiting *waiting)
{
  const GList *given_up = waiting->given_up.head;
  GHashTableIter iter;
  gpointer value;

  for (; given_up != NULL; given_up = given_up->next)
    {
      struct jc_waiter_slot *slot = given_up->data;

      if (slot->turn == waiting->turn)
        continue;
      slot->turn = waiting->turn;
      return slot;
    }
  g_hash_table_iter_init (&iter, waiting->lines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jc_waiter_slot *slot = line_next (waiting, value);

      if (slot == NULL)
        continue;
      slot->turn = waiting->turn;
      return slot;
    }
  return NULL;
}

/* Have no other request of SLOT's kind tried in this turn.  */
void
jc_waiting_note_no_room (struct jc_waiting *waiting,
                         const struct jc_waiter_slot *slot)
{
  kind_get (waiting, slot->kind)->no_room_turn = waiting->turn;
}

/* Return how many requests for SERVICE wait.  */
unsigned int
jc_waiting_count (const struct jc_waiting *waiting, const char *service)
{
  const struct line *line = g_hash_table_lookup (waiting->lines, service);

  return line != NULL ? line->length : 0;
}

/* Return how many requests wait.  */
unsigned int
jc_waiting_length (const struct jc_waiting *waiting)
{
  return waiting->length;
}
