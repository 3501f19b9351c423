/* Messages between jaycove's processes.  One record is one rpc_packet.  */

const RPC_NAME_MAX = 128;
const RPC_ITEMS_MAX = 65536;
const RPC_BYTES_MAX = 16777216;

typedef string rpc_name<RPC_NAME_MAX>;
typedef opaque rpc_bytes<RPC_BYTES_MAX>;

/* deadline_ms is the time left when sent, 0 for none; reply_to is the xid
   of the call that this message answers, 0 for none.  */
struct rpc_head {
  rpc_name group;
  rpc_name sender;
  unsigned hyper incarnation;
  unsigned hyper config_version;
  unsigned int deadline_ms;
  unsigned hyper xid;
  unsigned hyper reply_to;
};

enum rpc_type {
  RPC_HELLO = 1,
  RPC_HELLO_ACK = 2,
  RPC_HEARTBEAT = 3,
  RPC_FAILURE = 4,
  RPC_CONFIG_FOLLOW = 10,
  RPC_CONFIG_DELTA = 11,
  RPC_SUBMIT = 12,
  RPC_SUBMIT_REPLY = 13,
  RPC_ZONE_DELTA = 20,
  RPC_REGION_SUMMARY = 21,
  RPC_VOTE = 30,
  RPC_VOTE_REPLY = 31,
  RPC_APPEND = 32,
  RPC_APPEND_REPLY = 33,
  RPC_INSTALL = 34,
  RPC_INSTALL_REPLY = 35,
  RPC_CLAIM = 40,
  RPC_CLAIM_REPLY = 41,
  RPC_RESULT = 42,
  RPC_RESULT_REPLY = 43,
  RPC_LEDGER_COPY = 44,
  RPC_LEDGER_COPY_REPLY = 45,
  RPC_HANDOVER = 50,
  RPC_HANDOVER_HEAD = 51,
  RPC_HANDOVER_DATA = 52,
  RPC_HANDOVER_END = 53,
  RPC_HANDOVER_CANCEL = 54,
  RPC_ADMIN = 60,
  RPC_ADMIN_REPLY = 61,
  RPC_PROPOSE = 70,
  RPC_PROPOSE_REPLY = 71,
  RPC_GROUP = 80,
  RPC_ORDERS_FOLLOW = 81,
  RPC_ORDERS = 82,
  RPC_ORDERS_READ = 83,
  RPC_FLEET = 84,
  RPC_PRESENCE = 85,
  RPC_ENTRIES = 86,
  RPC_LOADS = 87,
  RPC_GRANT = 88,
  RPC_FLEET_FOLLOW = 89,
  RPC_ZONE_LOADS = 90,
  RPC_LIMIT_REQUEST = 91,
  RPC_LIMIT_REPLY = 92,
  RPC_LEAVING = 93,
  RPC_PAUSES = 94,
  RPC_CRASH_REPORT = 95,
  RPC_SUSPECTS = 96,
  RPC_VERSIONS_FOLLOW = 97,
  RPC_VERSIONS = 98,
  RPC_VERSIONS_READ = 99,
  RPC_ENDPOINT_VERSIONS = 100,
  RPC_STREAM_STARTS = 101,
  RPC_STREAM_FIND = 102,
  RPC_STREAM_FOUND = 103,
  RPC_SHARES = 104,
  RPC_QUOTA_REQUEST = 105,
  RPC_QUOTA_REPLY = 106,
  RPC_QUOTA_TAKE = 107,
  RPC_QUOTA_GRANT = 108
};

struct rpc_hello {
  rpc_name role;
  rpc_name zone;
  rpc_name region;
  rpc_bytes nonce;
  rpc_bytes proof;
};

/* status is an enum jc_status.  */
struct rpc_failure {
  int status;
  string message<512>;
  unsigned int retry_after_ms;
};

struct rpc_config_follow {
  unsigned hyper have_version;
};

/* Objects of from_version + 1 .. to_version as JSON; from_version 0 is the
   whole set.  */
struct rpc_config_delta {
  unsigned hyper from_version;
  unsigned hyper to_version;
  unsigned hyper durable_version;
  rpc_bytes json;
};

struct rpc_submit {
  rpc_name change_id;
  unsigned hyper expected_version;
  rpc_name author;
  rpc_bytes json;
};

struct rpc_submit_reply {
  int status;
  unsigned hyper at_version;
  rpc_bytes faults;
};

/* An endpoint as its instance of the zone knows it.  cold_ms is how much
   longer it is cold; zone may be empty where all share one.  */
struct rpc_endpoint {
  rpc_name name;
  unsigned hyper incarnation;
  unsigned hyper sequence;
  bool leaving;
  rpc_name address;
  rpc_name service;
  rpc_name models<64>;
  rpc_name role;
  unsigned int slots;
  unsigned int running;
  unsigned int queued;
  unsigned int tokens_per_s;
  unsigned int lease_ms;
  rpc_name zone;
  unsigned int cold_ms;
};

/* Load of an endpoint that its receiver knows.  tag stands for name and
   incarnation; sequence has the low 32 bits; work is running << 16 | queued
   and pace is lease_ms << 16 | tokens_per_s, each part at most 65535.  */
struct rpc_zone_load {
  unsigned hyper tag;
  unsigned int sequence;
  unsigned int work;
  unsigned int pace;
};

/* Changes of a zone's endpoints as one entry instance hears them.  Sequences
   count what goes from the sender to this receiver; resend asks for a full
   one.  instance and callers_address are empty where full is not set.  */
struct rpc_zone_delta {
  rpc_name instance;
  unsigned hyper incarnation;
  unsigned hyper sequence;
  bool full;
  bool draining;
  rpc_name callers_address;
  rpc_endpoint endpoints<RPC_ITEMS_MAX>;
  rpc_zone_load loads<RPC_ITEMS_MAX>;
  bool resend;
};

struct rpc_summary_row {
  rpc_name service;
  rpc_name model;
  unsigned int endpoints;
  unsigned int free_slots;
  unsigned int expected_wait_ms;
};

/* An entry instance that callers may use.  */
struct rpc_instance {
  rpc_name name;
  rpc_name zone;
  rpc_name callers_address;
  unsigned hyper incarnation;
  bool draining;
};

/* Numbers of a row that its receiver knows; tag stands for service and
   model.  */
struct rpc_summary_load {
  unsigned hyper tag;
  unsigned int endpoints;
  unsigned int free_slots;
  unsigned int expected_wait_ms;
};

/* Capacity of a region (zone is empty), or of a zone to the other zones of
   its region.  Rows give names, loads numbers alone.  Where listed is set,
   instances is the whole list; else it tells of the sender.  follow asks the
   receiver for its own from now on, unfollow ends that.  */
struct rpc_region_summary {
  rpc_name region;
  rpc_name zone;
  unsigned hyper sequence;
  rpc_summary_row rows<RPC_ITEMS_MAX>;
  rpc_summary_load loads<RPC_ITEMS_MAX>;
  rpc_instance instances<RPC_ITEMS_MAX>;
  bool listed;
  bool follow;
  bool unfollow;
};

struct rpc_vote {
  unsigned hyper term;
  bool pre;
  unsigned hyper last_index;
  unsigned hyper last_term;
  unsigned hyper log_id;
};

struct rpc_vote_reply {
  unsigned hyper term;
  bool pre;
  bool granted;
  unsigned hyper disk_incarnation;
};

struct rpc_log_entry {
  unsigned hyper term;
  unsigned int kind;
  rpc_bytes data;
};

struct rpc_append {
  unsigned hyper term;
  unsigned hyper prev_index;
  unsigned hyper prev_term;
  unsigned hyper commit;
  unsigned hyper round;
  rpc_log_entry entries<RPC_ITEMS_MAX>;
  unsigned hyper log_id;
};

struct rpc_append_reply {
  unsigned hyper term;
  bool ok;
  unsigned hyper match_index;
  unsigned hyper round;
  unsigned hyper disk_incarnation;
};

struct rpc_install {
  unsigned hyper term;
  unsigned hyper last_index;
  unsigned hyper last_term;
  unsigned hyper offset;
  bool done;
  rpc_bytes data;
  unsigned hyper log_id;
  unsigned hyper round;
};

struct rpc_install_reply {
  unsigned hyper term;
  unsigned hyper last_index;
  unsigned hyper offset;
  unsigned hyper disk_incarnation;
  unsigned hyper round;
};

struct rpc_claim {
  rpc_name product;
  rpc_name route;
  rpc_name key;
  rpc_bytes digest;
  rpc_name claim_id;
  unsigned int wait_ms;
};

enum rpc_claim_state {
  RPC_CLAIM_GRANTED = 0,
  RPC_CLAIM_DONE = 1,
  RPC_CLAIM_IN_PROGRESS = 2,
  RPC_CLAIM_CONFLICT = 3,
  RPC_CLAIM_UNKNOWN = 4,
  RPC_CLAIM_RECOVERING = 5,
  RPC_CLAIM_REFUSED = 6,
  RPC_CLAIM_ANSWER_GONE = 7
};

struct rpc_claim_reply {
  rpc_claim_state state;
  unsigned hyper fence;
  int http_status;
  rpc_name content_type;
  rpc_bytes answer;
  string message<512>;
};

/* outcome is an enum jc_run_state; an answer too large to be kept is
   dropped.  */
struct rpc_result {
  rpc_name product;
  rpc_name route;
  rpc_name key;
  rpc_name claim_id;
  unsigned hyper fence;
  int outcome;
  int http_status;
  rpc_name content_type;
  rpc_bytes answer;
  bool answer_dropped;
};

struct rpc_result_reply {
  int status;
};

/* One key of a ledger, whole; state is an enum jc_key_state.  Times are wall
   clock ms.  */
struct rpc_ledger_record {
  int state;
  unsigned hyper sequence;
  rpc_bytes id;
  rpc_name product;
  rpc_name route;
  rpc_name key;
  rpc_bytes digest;
  rpc_name claim_id;
  unsigned hyper fence;
  int http_status;
  rpc_name content_type;
  bool answer_kept;
  rpc_bytes answer;
  unsigned hyper changed_ms;
};

struct rpc_ledger_member {
  rpc_name name;
  unsigned hyper incarnation;
};

/* Who keeps a home's ledger and who holds its copies, as the replicated log
   records it.  An entry counts only where revision is that of the entry
   before plus one.  */
struct rpc_ledger_set {
  rpc_name home;
  unsigned hyper revision;
  unsigned hyper epoch;
  rpc_name ledger;
  unsigned hyper ledger_incarnation;
  rpc_ledger_member members<16>;
};

/* Records of a home's ledger up to sequence.  full is a part of a whole
   transfer, pull asks the copy for its records from offset part on.  A copy
   refuses a fence below the highest that it has seen.  */
struct rpc_ledger_copy {
  rpc_name home;
  unsigned hyper ledger_incarnation;
  unsigned hyper sequence;
  bool full;
  bool last;
  rpc_bytes records;
  bool pull;
  unsigned hyper fence;
  unsigned hyper transfer;
  unsigned int part;
};

/* The copy's sequence; pull answers carry records, and last the end.  */
struct rpc_ledger_copy_reply {
  rpc_name home;
  unsigned hyper ledger_incarnation;
  unsigned hyper sequence;
  bool complete;
  rpc_bytes records;
  bool pull;
  bool last;
  unsigned int part;
};

struct rpc_handover {
  rpc_name product;
  rpc_name route;
  rpc_name origin_region;
  unsigned hyper attempt;
  rpc_name method;
  string path<2048>;
  rpc_name content_type;
  unsigned hyper offset;
  rpc_bytes body;
};

struct rpc_handover_head {
  unsigned hyper attempt;
  int http_status;
  rpc_name content_type;
  rpc_name endpoint;
  bool resumed;
};

struct rpc_handover_data {
  unsigned hyper attempt;
  rpc_bytes data;
};

/* status is an enum jc_status, run an enum jc_run_state.  */
struct rpc_handover_end {
  unsigned hyper attempt;
  int status;
  int run;
  string message<512>;
  unsigned int retry_after_ms;
};

struct rpc_handover_cancel {
  unsigned hyper attempt;
};

/* A request of an operator to one process: verb and JSON arguments.  */
struct rpc_admin {
  rpc_name verb;
  rpc_bytes json;
};

struct rpc_admin_reply {
  int status;
  rpc_bytes json;
};

/* A replica of the log and the disk that its name is bound to, 0 for none
   yet.  A standing replica is promoted to voter once it has caught up.  */
struct rpc_replica {
  rpc_name name;
  unsigned hyper incarnation;
  bool standing;
  bool voter;
};

struct rpc_replicas {
  rpc_replica list<64>;
};

/* Records of the log's journal.  */
enum rpc_record_type {
  RPC_RECORD_META = 1,
  RPC_RECORD_HARD = 2,
  RPC_RECORD_SNAPSHOT = 3,
  RPC_RECORD_ENTRY = 4,
  RPC_RECORD_COMMIT = 5
};

struct rpc_record_meta {
  unsigned hyper incarnation;
  unsigned hyper log_id;
};

struct rpc_record_hard {
  unsigned hyper term;
  rpc_name vote;
};

struct rpc_record_snapshot {
  unsigned hyper index;
  unsigned hyper term;
  rpc_replicas replicas;
  rpc_bytes data;
};

struct rpc_record_entry {
  unsigned hyper index;
  rpc_log_entry entry;
};

union rpc_record switch (rpc_record_type type) {
case RPC_RECORD_META: rpc_record_meta meta;
case RPC_RECORD_HARD: rpc_record_hard hard;
case RPC_RECORD_SNAPSHOT: rpc_record_snapshot snapshot;
case RPC_RECORD_ENTRY: rpc_record_entry entry;
case RPC_RECORD_COMMIT: unsigned hyper commit;
};

/* A proposal that a replica hands to the leader.  */
struct rpc_propose {
  unsigned int kind;
  rpc_bytes data;
};

struct rpc_propose_reply {
  int status;
};

/* Names of the state instances that are known; each is an IP number.  */
struct rpc_group {
  rpc_name names<64>;
};

/* One order of an operator, as an entry of the log.  data is the text of a
   route table with its version, or the name of an availability zone.  */
enum rpc_order_kind {
  RPC_ORDER_ROUTES = 1,
  RPC_ORDER_EVACUATE = 2,
  RPC_ORDER_READMIT = 3
};

struct rpc_order {
  rpc_order_kind kind;
  unsigned hyper table_version;
  rpc_bytes data;
};

/* An entry of the log: an order that counts unless the log has another one for
   the same availability zone after the entry that its sender had applied.  */
struct rpc_zone_order {
  unsigned hyper applied;
  rpc_order order;
};

/* Asks for the orders after have_position; follow asks for each change from
   now on too.  Without it the sender is told of no more changes.  */
struct rpc_orders_follow {
  unsigned hyper have_position;
  unsigned hyper have_version;
  bool follow;
};

/* An availability zone that was readmitted by the entry of the log at position,
   age_ms ago or longer.  */
struct rpc_readmission {
  rpc_name zone;
  unsigned hyper position;
  unsigned hyper age_ms;
};

/* The outcome of all orders up to position in the log.  text is the route
   table of version, left out where the receiver has that version.  readmitted
   are the zones that were readmitted lately; builds before level 4 don't tell
   them.  */
struct rpc_orders {
  unsigned hyper position;
  unsigned hyper table_version;
  rpc_bytes text;
  rpc_name evacuated<256>;
  rpc_readmission readmitted<1024>;
};

/* Endpoints as they reported themselves to a state instance: those with news,
   and what the others, which the receiver knows, reported again.  */
struct rpc_fleet {
  rpc_endpoint endpoints<RPC_ITEMS_MAX>;
  rpc_zone_load loads<RPC_ITEMS_MAX>;
};

/* What an entry instance can do for one service: usable endpoints there, and
   the means over them of the time that a usual request takes and of the part
   of their time that they spend on reading prompts.  offered_milli are the
   requests of its own callers in 1,000 s, capacity_milli those that all
   endpoints can serve, 0 for engines.  */
struct rpc_service_room {
  rpc_name service;
  unsigned int endpoints;
  unsigned int answer_ms;
  unsigned int busy_permille;
  unsigned int offered_milli;
  unsigned int capacity_milli;
};

/* An entry instance as it reports itself.  Addresses are IP:PORT.  It can't
   reach the endpoints of the services in unreached.  */
struct rpc_presence {
  rpc_name name;
  rpc_name region;
  rpc_name zone;
  rpc_name callers_address;
  rpc_name handover_address;
  bool draining;
  bool ready;
  rpc_service_room rooms<64>;
  rpc_name unreached<64>;
};

/* One process of an entry instance may send to one incarnation of an endpoint
   while that is cold.  */
struct rpc_grant {
  rpc_name endpoint;
  unsigned hyper endpoint_incarnation;
  rpc_name instance;
  unsigned hyper instance_incarnation;
};

/* An answer of this incarnation of an endpoint said that it is about to end.  */
struct rpc_leaving {
  rpc_name endpoint;
  unsigned hyper endpoint_incarnation;
};

/* An entry of the log: this incarnation of an endpoint, which may be in zone, was
   acknowledged to leave.  zone may be empty.  */
struct rpc_departure {
  rpc_name endpoint;
  unsigned hyper endpoint_incarnation;
  rpc_name zone;
};

/* An incarnation of an endpoint that names a rate limit in its answers.  named
   tells that an answer has named it since the sender's last request, ended that
   an answer to a later request named none.  */
struct rpc_limited {
  rpc_name endpoint;
  unsigned hyper endpoint_incarnation;
  bool named;
  bool ended;
};

/* Asks for slots of these limits.  requested_ms is of the sender's clock.
   wanted has, for each of limited, a bit for each slot that the sender wants;
   without any it takes one after another as they are free.  */
struct rpc_limit_request {
  unsigned hyper requested_ms;
  rpc_limited limited<4096>;
  unsigned int wanted<4096>;
};

/* A slot of a limit, leased for the request of requested_ms.  */
struct rpc_limit_lease {
  rpc_name endpoint;
  unsigned hyper endpoint_incarnation;
  unsigned int slot;
  unsigned hyper requested_ms;
};

/* Slots that were leased to the receiver, and limits that have ended.  */
struct rpc_limit_reply {
  rpc_limit_lease leases<4096>;
  rpc_limited ended<4096>;
};

enum rpc_limit_op {
  RPC_LIMIT_LEASE = 1,
  RPC_LIMIT_END = 2,
  RPC_LIMIT_DROP = 3,
  RPC_LIMIT_NAMED = 4
};

/* A change of the slots of a limit: LEASE gives one slot to an instance, or
   renews it; END tells that the limit ended and NAMED that it was named again;
   DROP removes all slots.  LEASE and DROP count only where revision is that of
   the slot or of all slots.  */
struct rpc_limit_change {
  rpc_limit_op op;
  rpc_name endpoint;
  unsigned hyper endpoint_incarnation;
  unsigned int slot;
  unsigned hyper revision;
  rpc_name instance;
  unsigned hyper instance_incarnation;
  unsigned hyper requested_ms;
};

/* An entry of the log.  */
struct rpc_limit_changes {
  rpc_limit_change list<4096>;
};

/* What the entry instances of a region can do for one service, together:
   offered_milli is their sum, the rest as one of them has it.  */
struct rpc_region_room {
  rpc_name region;
  rpc_service_room room;
};

/* Entry instances, without rooms, that the receiver was not told of as they are
   now, and names of those that are silent.  full tells that list is all of
   them.  */
struct rpc_entries {
  bool full;
  rpc_presence list<1024>;
  rpc_name gone<1024>;
  rpc_region_room rooms<4096>;
};

/* What one entry instance has at an endpoint: requests, tokens of prompts
   that are not read yet, and tokens a second that it sent there lately.  tag is
   a hash of the endpoint's name.  */
struct rpc_load {
  unsigned hyper tag;
  unsigned int running;
  unsigned int unread_tokens;
  unsigned int tokens_per_s;
};

/* An endpoint has read the part of prompts that stands for all parts up to
   it.  */
struct rpc_part_read {
  unsigned hyper tag;
  unsigned hyper part;
};

/* A zone that its sender could not reach for age_ms.  */
struct rpc_path_closed {
  rpc_name zone;
  rpc_name region;
  unsigned int age_ms;
};

/* Rows that changed since the sender told last; full has all of them.  parts
   are those shared ones of which nobody told lately.  */
struct rpc_loads {
  bool full;
  rpc_load rows<4096>;
  rpc_part_read parts<4096>;
  rpc_path_closed paths<64>;
};

/* Loads of all entry instances of a zone together.  */
struct rpc_zone_loads {
  rpc_name zone;
  rpc_loads loads;
};

/* An endpoint turned a request away and wants no other one from there for
   left_ms.  tag is of its name and incarnation.  */
struct rpc_pause {
  unsigned hyper tag;
  unsigned int left_ms;
};

/* Pauses of all entry instances of zone, or, where that is empty, of the
   sender.  */
struct rpc_pauses {
  rpc_name zone;
  rpc_pause list<4096>;
};

/* What an entry instance holds of the endpoints of a service whose slots are
   shared out: it may have slots requests there, and has used, those that wait at
   it included.  heard_ms ago one of the endpoints named its refusal limit.
   unanswered tells that no state instance has leased it slots for a while
   although it asked.  */
struct rpc_share {
  rpc_name instance;
  rpc_name service;
  unsigned int slots;
  unsigned int used;
  unsigned int heard_ms;
  bool unanswered;
};

/* Shares of the entry instances of zone, or, where that is empty, of the
   sender.  */
struct rpc_shares {
  rpc_name zone;
  rpc_share list<4096>;
};

/* A request that ran at an endpoint when that crashed.  starting tells that it
   had not begun to answer, or only just.  fingerprints are ordered from the most
   to the least widely shared.  request is a hash of its id, the same for all its
   attempts, 0 if it has none.  */
struct rpc_crash_request {
  unsigned hyper request;
  bool starting;
  unsigned hyper fingerprints<16>;
};

/* An incarnation of an endpoint that crashed, and what ran there.  */
struct rpc_crash {
  rpc_name endpoint;
  unsigned hyper endpoint_incarnation;
  rpc_crash_request requests<256>;
};

/* Reported by entry instances, and in the log: crashes, suspected or blocked
   fingerprints of requests that were since answered whole, suspected ones of
   requests that were a minute ago, and, in the log only, blocked fingerprints
   whose time is over.  */
struct rpc_crash_changes {
  rpc_crash crashes<256>;
  unsigned hyper answered<4096>;
  unsigned hyper known<4096>;
  unsigned hyper expired<4096>;
};

/* A process of an endpoint.  */
struct rpc_endpoint_process {
  rpc_name endpoint;
  unsigned hyper endpoint_incarnation;
};

/* In the log only: what the reports of endpoints to state instances say of
   crashes.  ended processes no longer report, refuted ones went on.  */
struct rpc_crash_proofs {
  rpc_endpoint_process ended<256>;
  rpc_endpoint_process refuted<256>;
};

enum rpc_suspicion {
  RPC_CLEARED = 0,
  RPC_SUSPECTED = 1,
  RPC_BLOCKED = 2
};

/* What is known of the requests with a fingerprint: BLOCKED ones are refused.
   score grows with the crashes that they were beside.  */
struct rpc_suspect {
  unsigned hyper fingerprint;
  rpc_suspicion state;
  unsigned int score;
};

/* Fingerprints that changed since the receiver was told last; full has all of
   them.  */
struct rpc_suspects {
  bool full;
  rpc_suspect list<8192>;
};

/* A software version of the endpoints of service that may begin resumable
   streams.  software is a hash of the version's name, never 0.  */
struct rpc_service_version {
  rpc_name service;
  unsigned hyper software;
};

/* All such versions as the log has them after its entry position.  The answer
   to RPC_VERSIONS_READ is as new as the moment at which it was asked.  */
struct rpc_versions {
  unsigned hyper position;
  rpc_service_version list<4096>;
};

/* The software version that this incarnation of an endpoint reported.  */
struct rpc_endpoint_version {
  rpc_name endpoint;
  unsigned hyper endpoint_incarnation;
  unsigned hyper software;
};

struct rpc_endpoint_versions {
  rpc_endpoint_version list<RPC_ITEMS_MAX>;
};

/* The software version that began a stream age_ms ago.  stream is a hash of the
   id of the caller's attempt that brought its first event.  */
struct rpc_stream_start {
  unsigned hyper stream;
  unsigned hyper software;
  unsigned int age_ms;
};

/* A start whose version is that of an incarnation of an endpoint, by its tag, if
   this still ran age_ms ago.  */
struct rpc_stream_claim {
  rpc_stream_start start;
  unsigned hyper endpoint_tag;
};

struct rpc_stream_starts {
  rpc_stream_start list<RPC_ITEMS_MAX>;
  rpc_stream_claim claims<RPC_ITEMS_MAX>;
};

struct rpc_stream_find {
  unsigned hyper stream;
};

/* certain tells that claim.start.software is the version; otherwise it is so if
   the endpoint still ran then, and 0 where several versions are recorded.  */
struct rpc_stream_found {
  bool known;
  bool certain;
  rpc_stream_claim claim;
};

/* A slot of a workspace's quota as it was leased: revision is that of the
   lease.  The credit that its last holder left with it is in thousandths of a
   unit.  */
struct rpc_quota_slot {
  unsigned int slot;
  unsigned hyper revision;
  unsigned hyper credit_milli;
};

/* How many slots of a workspace's quota the sender wants for its demand, and
   how many more if nobody else has a use for them.  It no longer uses those in
   released.  */
struct rpc_quota_ask {
  rpc_name workspace;
  unsigned int wanted;
  unsigned int spare;
  rpc_quota_slot released<32>;
};

/* Asks for slots.  requested_ms is of the sender's clock.  */
struct rpc_quota_request {
  unsigned hyper requested_ms;
  rpc_quota_ask list<4096>;
};

/* A slot that was leased to the receiver for its request of requested_ms.  */
struct rpc_quota_lease {
  rpc_name workspace;
  rpc_quota_slot slot;
  unsigned hyper requested_ms;
};

/* As many slots of a workspace's quota as the receiver may hold.  */
struct rpc_quota_share {
  rpc_name workspace;
  unsigned int slots;
};

/* Leases, which last for lease_ms from their requests on, and shares.  */
struct rpc_quota_reply {
  unsigned int lease_ms;
  rpc_quota_lease leases<4096>;
  rpc_quota_share shares<4096>;
};

/* Asks the owner of a workspace's quota in this zone for milli thousandths of a
   unit for a request, and for ahead_milli for the next ones if it has plenty.
   With waiting_milli the units were granted before to a request that waits: with
   milli it is sent now, without it begins to wait.  */
struct rpc_quota_take {
  rpc_name workspace;
  unsigned hyper milli;
  unsigned hyper ahead_milli;
  unsigned hyper waiting_milli;
};

/* What the sender may use; nothing if the request is over the limit, which it
   won't be retry_ms from now.  slots and age_ms tell which share the owner has,
   and since when.  */
struct rpc_quota_grant {
  unsigned hyper milli;
  unsigned int retry_ms;
  unsigned int slots;
  unsigned int age_ms;
};

union rpc_body switch (rpc_type type) {
case RPC_HELLO: rpc_hello hello;
case RPC_HELLO_ACK: rpc_hello hello_ack;
case RPC_HEARTBEAT: void;
case RPC_FLEET_FOLLOW: void;
case RPC_FAILURE: rpc_failure failure;
case RPC_CONFIG_FOLLOW: rpc_config_follow config_follow;
case RPC_CONFIG_DELTA: rpc_config_delta config_delta;
case RPC_SUBMIT: rpc_submit submit;
case RPC_SUBMIT_REPLY: rpc_submit_reply submit_reply;
case RPC_ZONE_DELTA: rpc_zone_delta zone_delta;
case RPC_REGION_SUMMARY: rpc_region_summary region_summary;
case RPC_VOTE: rpc_vote vote;
case RPC_VOTE_REPLY: rpc_vote_reply vote_reply;
case RPC_APPEND: rpc_append append;
case RPC_APPEND_REPLY: rpc_append_reply append_reply;
case RPC_INSTALL: rpc_install install;
case RPC_INSTALL_REPLY: rpc_install_reply install_reply;
case RPC_CLAIM: rpc_claim claim;
case RPC_CLAIM_REPLY: rpc_claim_reply claim_reply;
case RPC_RESULT: rpc_result result;
case RPC_RESULT_REPLY: rpc_result_reply result_reply;
case RPC_LEDGER_COPY: rpc_ledger_copy ledger_copy;
case RPC_LEDGER_COPY_REPLY: rpc_ledger_copy_reply ledger_copy_reply;
case RPC_HANDOVER: rpc_handover handover;
case RPC_HANDOVER_HEAD: rpc_handover_head handover_head;
case RPC_HANDOVER_DATA: rpc_handover_data handover_data;
case RPC_HANDOVER_END: rpc_handover_end handover_end;
case RPC_HANDOVER_CANCEL: rpc_handover_cancel handover_cancel;
case RPC_ADMIN: rpc_admin admin;
case RPC_ADMIN_REPLY: rpc_admin_reply admin_reply;
case RPC_PROPOSE: rpc_propose propose;
case RPC_PROPOSE_REPLY: rpc_propose_reply propose_reply;
case RPC_GROUP: rpc_group group;
case RPC_ORDERS_FOLLOW: rpc_orders_follow orders_follow;
case RPC_ORDERS: rpc_orders orders;
case RPC_ORDERS_READ: void;
case RPC_FLEET: rpc_fleet fleet;
case RPC_PRESENCE: rpc_presence presence;
case RPC_ENTRIES: rpc_entries entries;
case RPC_LOADS: rpc_loads loads;
case RPC_ZONE_LOADS: rpc_zone_loads zone_loads;
case RPC_GRANT: rpc_grant grant;
case RPC_LIMIT_REQUEST: rpc_limit_request limit_request;
case RPC_LIMIT_REPLY: rpc_limit_reply limit_reply;
case RPC_LEAVING: rpc_leaving leaving;
case RPC_PAUSES: rpc_pauses pauses;
case RPC_CRASH_REPORT: rpc_crash_changes crash_report;
case RPC_SUSPECTS: rpc_suspects suspects;
case RPC_VERSIONS_FOLLOW: void;
case RPC_VERSIONS: rpc_versions versions;
case RPC_VERSIONS_READ: void;
case RPC_ENDPOINT_VERSIONS: rpc_endpoint_versions endpoint_versions;
case RPC_STREAM_STARTS: rpc_stream_starts stream_starts;
case RPC_STREAM_FIND: rpc_stream_find stream_find;
case RPC_STREAM_FOUND: rpc_stream_found stream_found;
case RPC_SHARES: rpc_shares shares;
case RPC_QUOTA_REQUEST: rpc_quota_request quota_request;
case RPC_QUOTA_REPLY: rpc_quota_reply quota_reply;
case RPC_QUOTA_TAKE: rpc_quota_take quota_take;
case RPC_QUOTA_GRANT: rpc_quota_grant quota_grant;
};

struct rpc_packet {
  rpc_head head;
  rpc_body body;
};
