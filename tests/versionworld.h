/* What the parts of the simulation of software versions share: processes and
   messages between them.  Only these parts include it.  */

#ifndef VERSIONWORLD_H
#define VERSIONWORLD_H

#include <glib.h>

#include "member/endpoints.h"
#include "member/versions.h"
#include "serve/resumption.h"
#include "serve/streamstarts.h"
#include "tests/versionsim.h"

enum
{
  US_PER_MS = 1000,
  WORLD_ENDPOINTS = 24,
  WORLD_REGIONS = 3,
  WORLD_VERSIONS_MAX = 3,
  WORLD_NAME_BYTES = 24,
  WORLD_REPORT_MS = 1200,
  WORLD_LEASE_MS = 5 * WORLD_REPORT_MS,
  WORLD_STATE_STARTS_MAX = 200000,
  WORLD_ENTRY_STARTS_MAX = 60000,
  WORLD_ANSWER_TIMEOUT_MS = 800
};

#define WORLD_SERVICE "chat"

struct world;
struct stream;

/* The process that an attempt went to: at ENDPOINT, believed to be the
   incarnation of TAG, the same since SINCE_MS and heard last at HEARD_MS.
   STREAM is the hash of the stream that it began at START_MS.  */
struct world_target
{
  unsigned int endpoint;
  uint64_t tag;
  int64_t since_ms;
  int64_t heard_ms;
  uint64_t stream;
  int64_t start_ms;
};

/* Something that happens at a moment.  RUN gets the other members; DATA and
   REPLY belong to the world.  */
struct world_event
{
  void (*run) (struct world *world, const struct world_event *event);
  unsigned int entry;
  unsigned int state;
  unsigned int endpoint;
  uint64_t epoch;
  uint64_t number;
  struct stream *stream;
  void *data;
  void *reply;
};

/* A report, or what is told of one, with the endpoint's version.  */
struct world_row
{
  struct rpc_endpoint report;
  uint64_t software;
};

/* An endpoint.  INCARNATION is the start of its process, SERVED_MS the same as
   a time.  */
struct world_endpoint
{
  char name[WORLD_NAME_BYTES];
  char address[WORLD_NAME_BYTES];
  unsigned int region;
  unsigned int version;
  unsigned int home;
  uint64_t incarnation;
  uint64_t sequence;
  int64_t served_ms;
  bool up;
};

struct world_state
{
  char name[WORLD_NAME_BYTES];
  unsigned int region;
  uint64_t epoch;
  bool up;
  bool cut;
  struct jc_endpoints *endpoints;
  struct jc_stream_starts *starts;
  struct jc_versions *versions;
  GHashTable *refreshed;
  int64_t proposed_ms[WORLD_VERSIONS_MAX];
};

/* What open connections to an address, OPEN of them, tell of the process there:
   it was heard at HEARD_MS and had then been the same since SINCE_MS.  */
struct world_address
{
  unsigned int open;
  int64_t since_ms;
  int64_t heard_ms;
};

/* A connection of an entry instance, established at CONNECTED_MS to the process
   PROCESS, which has been the same since SINCE_MS by what was heard.  STREAM is
   NULL while it is idle or IS_QUESTION, of what the process says of itself.  */
struct world_conn
{
  unsigned int endpoint;
  uint64_t process;
  int64_t connected_ms;
  int64_t since_ms;
  int64_t used_ms;
  bool is_question;
  struct stream *stream;
};

/* An entry instance.  HTTP_CONNS are its open connections to each endpoint, and
   USED is what these tell.  */
struct world_entry
{
  unsigned int region;
  uint64_t epoch;
  int64_t up_ms;
  bool up;
  struct jc_endpoints *endpoints;
  struct jc_stream_starts *starts;
  struct jc_versions *versions;
  bool conns[VERSIONSIM_STATES_MAX];
  GPtrArray *http_conns[WORLD_ENDPOINTS];
  struct world_address used[WORLD_ENDPOINTS];
  struct jc_process_identity identities[WORLD_ENDPOINTS];
  bool asking[WORLD_ENDPOINTS];
  GArray *left;
  GArray *unsent;
  GPtrArray *unproven;
  GPtrArray *unsearched;
  uint64_t bytes;
};

/* A search of an entry instance.  */
struct world_search
{
  struct jc_resumption answers;
  uint64_t attempt;
  bool told;
};

/* A caller's stream, and the exchange that serves it now.  BEGAN_AT is the
   number of the version of the events that the caller has, from 1 on.  ATTEMPT
   goes up with each attempt, so that what belongs to an earlier one is
   ignored.  BROKEN is set where it has ended but events of it are held.  */
struct stream
{
  uint64_t hash;
  unsigned int began_at;
  bool mixed;
  bool ended;
  int last_event;
  int events;
  unsigned int tries;
  unsigned int entry;
  bool open;
  bool take_up;
  bool in_touch;
  bool begun;
  bool passed;
  uint64_t attempt;
  uint64_t software;
  unsigned int endpoint;
  uint64_t target_tag;
  uint64_t target_software;
  uint64_t process;
  int64_t process_since_ms;
  int64_t process_heard_ms;
  int64_t start_ms;
  struct world_conn *conn;
  uint32_t tried;
  bool unproven_attempt;
  bool broken;
  int held;
  unsigned int held_version;
  int64_t held_ms;
  bool search_ended;
  enum jc_resumption_outcome outcome;
  int64_t search_ms;
  int64_t search_again_ms;
};

struct world
{
  const struct versionsim_plan *plan;
  struct versionsim_result *result;
  GRand *rand;
  int64_t now_ms;
  int64_t fault_ms;
  int64_t leader_from_ms;
  unsigned int leader;
  uint64_t position;
  uint64_t next_id;
  uint64_t software[WORLD_VERSIONS_MAX];
  struct jc_versions *log;
  struct world_endpoint endpoints[WORLD_ENDPOINTS];
  struct world_state states[VERSIONSIM_STATES_MAX];
  struct world_entry entries[VERSIONSIM_ENTRIES_MAX];
  GPtrArray *streams;
  GPtrArray *memory;
  GArray *moments[VERSIONSIM_RUN_MS];
};

void *world_alloc (struct world *world, gsize size);
void world_after (struct world *world, int64_t delay_ms,
                  struct world_event event);
int64_t world_delay_ms (unsigned int region, unsigned int other);
unsigned int world_random (struct world *world, unsigned int end);
const char *world_region (unsigned int region);
uint64_t world_packet_bytes (struct rpc_packet *packet);

void states_start (struct world *world);
void states_stop (struct world *world);
void states_tick (struct world *world);
bool states_answers (const struct world *world, unsigned int state);
bool states_has_leader (const struct world *world);
struct rpc_versions *states_table (struct world *world,
                                   const struct jc_versions *versions);
void states_greet (struct world *world, unsigned int state, unsigned int entry);
void states_kill (struct world *world, unsigned int state);
void states_restart (struct world *world, unsigned int state);
void endpoints_restart (struct world *world, unsigned int endpoint);
void endpoints_kill (struct world *world, unsigned int endpoint);

void entries_start (struct world *world);
void entries_stop (struct world *world);
void entries_tick (struct world *world);
void entries_kill (struct world *world, unsigned int entry);
void entries_restart (struct world *world, unsigned int entry);
bool entries_is_current (const struct world *world,
                         const struct world_event *event);
void entries_count_bytes (struct world_entry *entry, struct rpc_packet *packet);
void entries_check (struct world *world, unsigned int index);
void entries_forget (struct world *world, struct stream *stream);
void entries_attempt (struct world *world, struct stream *stream);
void entries_broken (struct world *world, struct stream *stream);

void conns_take (struct world *world, struct stream *stream);
void conns_note_heard (struct world *world, struct stream *stream);
void conns_leave (struct world *world, struct stream *stream, bool whole);
int64_t conns_since_ms (const struct world *world, struct world_entry *entry,
                        unsigned int endpoint);
void conns_identify (struct world *world, unsigned int entry,
                     unsigned int endpoint);
void conns_on_closed (struct world *world, const struct world_event *event);

void reports_on_row (struct world *world, const struct world_event *event);
void reports_on_loads (struct world *world, const struct world_event *event);
void reports_on_versions (struct world *world, const struct world_event *event);

void searches_conn_up (struct world *world, unsigned int entry,
                       unsigned int state);
void searches_on_send (struct world *world, const struct world_event *event);
bool searches_find_own (struct world *world, struct stream *stream);
void searches_start (struct world *world, struct stream *stream);

void callers_receive (struct world *world, struct stream *stream,
                      unsigned int version);
void callers_refused (struct world *world, struct stream *stream,
                      enum jc_resumption_outcome outcome);

#endif
