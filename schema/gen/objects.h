/* Settings and configuration objects.  Generated from schema/schema.json.  */

#ifndef JC_OBJECTS_H
#define JC_OBJECTS_H

#include "base/fields.h"

/* Another process of the group.  */
struct jc_peer
{
  /* Name of the process, unique in the group.  */
  char *name;
  /* IP number and port of its RPC listener.  */
  char *rpc;
  /* Region it stands in.  */
  char *region;
  /* Availability zone it stands in.  */
  char *availability_zone;
};

/* Where an availability zone is.  */
struct jc_zone_place
{
  /* Name of the zone.  */
  char *name;
  /* Region of the zone.  */
  char *region;
};

/* Settings of jaycove-entry.  */
struct jc_entry_settings
{
  /* Name of the group of processes.  */
  char *group;
  /* Name of this entry instance.  */
  char *name;
  /* Region it stands in.  */
  char *region;
  /* Availability zone it stands in.  */
  char *availability_zone;
  /* Listener for callers and endpoints.  */
  char *callers;
  /* Listener for operators.  */
  char *operators;
  /* Listener for peers.  */
  char *rpc;
  /* Key by which peers authenticate, 64 hex digits.  */
  char *group_key;
  /* Token that operators send as bearer.  */
  char *operator_token;
  /* Token that endpoints send as bearer; empty admits any.  */
  char *endpoint_token;
  /* Routing policy.  */
  char *policy;
  /* Lease of an endpoint's announcement, ms.  */
  int64_t lease_ms;
  /* Interval of heartbeats on RPC connections, ms.  */
  int64_t heartbeat_ms;
  /* Silence after which an RPC connection is replaced, ms.  */
  int64_t silent_ms;
  /* Longest time a drain waits for requests in flight, ms.  */
  int64_t drain_limit_ms;
  /* Largest body of a request, bytes.  */
  int64_t max_body_bytes;
  /* How callers' requests find their route: by product and name, or by host and path.  */
  char *routing;
  /* Addresses, IP:PORT, of some state instances; their RPC listeners have this process's RPC port. Needed for routing by hosts.  */
  GPtrArray *state_seeds;
  /* All availability zones, for routing by hosts.  */
  GPtrArray *zones;
  /* Listener that says whether this instance is ready; needed for routing by hosts.  */
  char *ready;
  /* Listener for requests that other entry instances hand over, with routing by hosts; by default the port after that of `operators`.  */
  char *handover;
  /* Time from the stop signal until the process is killed, ms.  */
  int64_t grace_ms;
  /* Interval at which endpoints report themselves, ms.  */
  int64_t report_ms;
  /* Retries allowed for each request, over all entry instances.  */
  double retry_ratio;
  /* Window over which retries are counted, ms.  */
  int64_t retry_window_ms;
  /* How far the rate of a cold endpoint may be exceeded.  */
  double cold_ratio;
  /* Requests that a cold endpoint may get in a second beyond its rate.  */
  int64_t cold_slack;
  /* Least level logged.  */
  char *log_level;
  /* Log as JSON lines.  */
  bool log_json;
  /* State instances, those of the own region first.  */
  GPtrArray *state_peers;
  /* Other entry instances.  */
  GPtrArray *entry_peers;
};

/* Settings of jaycove-state.  */
struct jc_state_settings
{
  /* Name of the group of processes.  */
  char *group;
  /* Name of this state instance.  */
  char *name;
  /* Region it stands in.  */
  char *region;
  /* Availability zone it stands in.  */
  char *availability_zone;
  /* Listener for peers.  */
  char *rpc;
  /* Listener for operators.  */
  char *operators;
  /* Key by which peers authenticate, 64 hex digits.  */
  char *group_key;
  /* Token that operators send as bearer.  */
  char *operator_token;
  /* Folder of the durable state.  */
  char *data_folder;
  /* Interval of heartbeats on RPC connections, ms.  */
  int64_t heartbeat_ms;
  /* Silence after which an RPC connection is replaced, ms.  */
  int64_t silent_ms;
  /* Shortest time without a leader before an election, ms.  */
  int64_t election_ms;
  /* Log entries after which a snapshot is taken.  */
  int64_t snapshot_entries;
  /* How callers' requests find their route: by product and name, or by host and path.  */
  char *routing;
  /* Addresses, IP:PORT, of some state instances; their RPC listeners have this process's RPC port. Needed for routing by hosts.  */
  GPtrArray *state_seeds;
  /* All availability zones, for routing by hosts.  */
  GPtrArray *zones;
  /* Whether the whole group starts for the first time, so that the first seed founds the log.  */
  bool first_start;
  /* Disks that may be lost at once; orders rest on one more.  */
  int64_t losses;
  /* Listener that tells callers which entry instances to use; needed for routing by hosts.  */
  char *directory;
  /* Interval at which endpoints report themselves, ms.  */
  int64_t report_ms;
  /* Time after which an entry instance that is not heard is left out of the directory, ms.  */
  int64_t contact_ms;
  /* Least level logged.  */
  char *log_level;
  /* Log as JSON lines.  */
  bool log_json;
  /* Other state instances.  */
  GPtrArray *state_peers;
  /* Copies that a home's ledger seeks in its region.  */
  int64_t ledger_copies;
  /* Whether claims that come together share one sync.  */
  bool ledger_group_commit;
  /* Absence of an owner after which its open claims end as unknown, ms.  */
  int64_t ledger_owner_lost_ms;
  /* Time for which the answer to a key is kept, s.  */
  int64_t ledger_answer_keep_s;
  /* Time for which a key and its outcome are kept, s.  */
  int64_t ledger_key_keep_s;
};

/* A region.  */
struct jc_region
{
  /* Name of the region.  */
  char *name;
};

/* An availability zone.  */
struct jc_availability_zone
{
  /* Name of the zone.  */
  char *name;
  /* Region of the zone.  */
  char *region;
};

/* An entry instance that callers may be sent to.  */
struct jc_instance
{
  /* Name of the instance.  */
  char *name;
  /* Its availability zone.  */
  char *availability_zone;
  /* Its share of callers beside its neighbours.  */
  int64_t weight;
};

/* A service of endpoints.  */
struct jc_service
{
  /* Name of the service.  */
  char *name;
  /* Whether its endpoints are model engines.  */
  bool engine;
  /* Whether its endpoints refuse old fencing numbers.  */
  bool fencing;
};

/* A version of a model.  */
struct jc_model_version
{
  /* Name and version, as engines announce it.  */
  char *name;
  /* Service that serves it.  */
  char *service;
};

/* Regions that requests and data may enter.  */
struct jc_residency
{
  /* Name of the rule.  */
  char *name;
  /* Allowed regions.  */
  GPtrArray *regions;
};

/* A class of urgency.  */
struct jc_priority
{
  /* Name of the class.  */
  char *name;
  /* Lower levels are served first.  */
  int64_t level;
};

/* Limits of a product.  */
struct jc_limit
{
  /* Name of the limit.  */
  char *name;
  /* Sustained requests a second at one instance.  */
  int64_t requests_per_s;
  /* Requests admitted at once.  */
  int64_t burst;
  /* Requests in flight at one instance.  */
  int64_t concurrency;
  /* Requests waiting at one instance.  */
  int64_t queue;
  /* Retries as a share of recent requests, percent.  */
  int64_t retry_percent;
  /* Share of a link between regions, percent.  */
  int64_t link_percent;
};

/* The link between two regions.  */
struct jc_link
{
  /* Name of the link.  */
  char *name;
  /* One end.  */
  char *a;
  /* The other end.  */
  char *b;
  /* Bytes a second each way.  */
  int64_t bytes_per_s;
  /* One-way latency, ms.  */
  int64_t latency_ms;
};

/* A product: a business of its own.  */
struct jc_product
{
  /* Name of the product.  */
  char *name;
  /* Its residency rule.  */
  char *residency;
  /* Its limits.  */
  char *limit;
  /* How many times the gain must outweigh the cost before a request is sent to another region.  */
  int64_t away_weight;
  /* BLAKE2b-256 of its callers' keys, hex.  */
  GPtrArray *key_hashes;
};

/* A way from a product to a service.  */
struct jc_route
{
  /* Name of the route, part of the caller's URL.  */
  char *name;
  /* Product that may use it.  */
  char *product;
  /* Service it leads to.  */
  char *service;
  /* Model version it asks for.  */
  char *model_version;
  /* Its class.  */
  char *priority;
  /* A narrower residency rule.  */
  char *residency;
  /* Deadline of a request that names none, ms.  */
  int64_t deadline_ms;
  /* Whether a request may run again.  */
  bool idempotent;
  /* Home region of its ledger; needed where it is not idempotent.  */
  char *home;
};

/* An address that jaycove-load sends requests to.  */
struct jc_load_target
{
  /* Name of the target.  */
  char *name;
  /* Its listener for callers.  */
  char *address;
  /* Its region; answers from another one count as sent away.  */
  char *region;
};

/* A kind of request that jaycove-load sends.  */
struct jc_load_class
{
  /* Product, for the report.  */
  char *product;
  /* Name of the class, for the report.  */
  char *name;
  /* Caller's key, sent as bearer.  */
  char *key;
  /* Path of the requests.  */
  char *path;
  /* Mean arrivals a second over all of its targets.  */
  int64_t rate_per_s;
  /* Whether the requests are chat completions.  */
  bool engine;
  /* Whether the answers are streams.  */
  bool stream;
  /* Whether each request has an idempotency key.  */
  bool keyed;
  /* Tokens of a completion.  */
  int64_t tokens;
  /* Different prompt prefixes, drawn evenly.  */
  int64_t prefixes;
  /* Filling of the body, bytes.  */
  int64_t body_bytes;
  /* Deadline that is sent, ms; 0 for none.  */
  int64_t deadline_ms;
  /* Names of its targets, taken in turn; none for all.  */
  GPtrArray *targets;
};

/* Profile of jaycove-load.  */
struct jc_load_profile
{
  /* Where requests go.  */
  GPtrArray *targets;
  /* What is sent.  */
  GPtrArray *classes;
  /* Time during which requests arrive, s.  */
  int64_t seconds;
  /* Most requests in all.  */
  int64_t count;
  /* Most requests in flight; arrivals beyond it are counted as not_sent.  */
  int64_t in_flight;
  /* Time after the deadline at which an answer is given up, ms.  */
  int64_t grace_ms;
};

/* Kinds of configuration objects.  */
enum jc_object_kind
{
  JC_OBJECT_REGION,
  JC_OBJECT_AVAILABILITY_ZONE,
  JC_OBJECT_INSTANCE,
  JC_OBJECT_SERVICE,
  JC_OBJECT_MODEL_VERSION,
  JC_OBJECT_RESIDENCY,
  JC_OBJECT_PRIORITY,
  JC_OBJECT_LIMIT,
  JC_OBJECT_LINK,
  JC_OBJECT_PRODUCT,
  JC_OBJECT_ROUTE,
  JC_OBJECT_KINDS
};

extern const struct jc_table jc_peer_table;
extern const struct jc_table jc_zone_place_table;
extern const struct jc_table jc_entry_settings_table;
extern const struct jc_table jc_state_settings_table;
extern const struct jc_table jc_region_table;
extern const struct jc_table jc_availability_zone_table;
extern const struct jc_table jc_instance_table;
extern const struct jc_table jc_service_table;
extern const struct jc_table jc_model_version_table;
extern const struct jc_table jc_residency_table;
extern const struct jc_table jc_priority_table;
extern const struct jc_table jc_limit_table;
extern const struct jc_table jc_link_table;
extern const struct jc_table jc_product_table;
extern const struct jc_table jc_route_table;
extern const struct jc_table jc_load_target_table;
extern const struct jc_table jc_load_class_table;
extern const struct jc_table jc_load_profile_table;
extern const struct jc_table *const jc_object_tables[JC_OBJECT_KINDS];

#endif
