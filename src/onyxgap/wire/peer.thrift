// Messages between onyxgap's own processes; one Frame is one length-prefixed
// compact-protocol struct on a TCP connection. Nodes on the users' platform send each
// other notices, one Frame a datagram.

struct Heartbeat {
  1: required i64 sequence;             // last journal entry folded by the sender
  2: required bool fresh;               // the sender itself may serve
  3: required bool stopping;            // planned stop under way
  4: optional map<string, i32> draining; // leaving VM -> requests in flight
}

struct SlotAsk {
  1: required i64 ask;
  2: required string service_name;
  3: required i8 priority;
  4: required i32 remaining_ms;
  5: optional string team;
  6: optional list<string> avoid;
}

struct SlotGrant {
  1: required i64 ask;
  2: required string vm;
}

struct SlotRefusal {
  1: required i64 ask;
  2: required string reason;
  3: required i32 retry_after_ms;
}

struct SlotRelease {
  1: required i64 ask;
  2: required i8 outcome;
  3: required i64 took_us;
}

struct SlotHeld {
  1: required i64 ask;
  2: required string service_name;
  3: required string vm;
  4: optional string team;
}

struct JournalPull {
  1: required i64 after;
}

struct JournalPage {
  1: required list<binary> entries;
  2: optional binary snapshot;
}

struct JobNotice {
  1: required string shard;
  2: required string key;               // of the row that was stored
}

struct HandOver {
  1: required string shard;
  2: required string boot;              // process of the owner
  3: required i64 epoch;
}

struct ConfigurationQuestion {
  1: required i64 asked;                // number of the question
  2: required i64 version;              // that the sender has in force
}

struct ConfigurationPart {
  1: required i64 asked;                // number of the question that it answers
  2: required i64 version;
  3: required i32 age_ms;               // since it was known to be the newest
  4: required i32 part;
  5: required i32 parts;                // 0 where the asker has this version
  6: required binary content;           // keys of tenants are digests in it
}

struct PassedCall {
  1: required string kind;              // submit, state or cancel
  2: required string job_id;
  3: required string tenant;            // of the caller, or empty
  4: required string queue;
  5: required string service_name;
  6: required binary submission;        // as it would be stored, or empty
  7: optional i64 configuration;        // newest version that the sender knows
  8: optional string endpoint;          // host and path prefix of the queue
}

struct PassedAnswer {
  1: required string outcome;           // of the kind of call, or unable
  2: required string reason;
  3: required i32 retry_after_s;
  4: optional i64 configuration;        // newest version that the sender knows
}

struct Frame {
  1: required string sender;
  2: optional Heartbeat heartbeat;
  3: optional list<SlotAsk> asks;
  4: optional list<SlotGrant> grants;
  5: optional list<SlotRefusal> refusals;
  6: optional list<SlotRelease> releases;
  7: optional list<SlotHeld> held;
  8: optional JournalPull pull;
  9: optional JournalPage page;
  10: optional bool probe;
  11: optional list<JobNotice> jobs;
  12: optional list<HandOver> hand_overs;
  13: optional list<ConfigurationQuestion> questions;
  14: optional list<ConfigurationPart> parts;
  15: optional PassedCall call;
  16: optional PassedAnswer answer;
}
