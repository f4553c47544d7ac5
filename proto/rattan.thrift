/**
 * Messages between the processes of a cell. Each is sent as one frame:
 * a 4-byte big-endian length, then an envelope in Thrift's compact protocol.
 */
namespace cpp rattan.wire

enum method {
    READ = 1,      // relay: records from an offset on; long poll
    SNAPSHOT = 2,  // relay: snapshot of the cell's state
    APPEND = 3,    // relay: append entries to the log
    JOB_STATUS = 4,// placer: details of a live job
    CHECK = 5,     // gate: a check forwarded to the home of its request id
    PING = 6,      // placer: whether it is alive, and its epoch
    BEAT = 7,      // entry host: heartbeat, with its view of owner and store
    JOB_STATE = 8, // owner: state of a job, for a caller
    WAITING = 9,   // owner: number of waiting jobs of a queue
    ADVISE = 10,   // entry host: ask the advice service for the owner
    STORE = 11,    // entry host: append a record for a sender that can't
    CALL = 12,     // entry host: call a target for the owner
    STORED = 13,   // owner: a job record that the sender has stored
    READ_STATE = 14, // state reader: state of a job, for a host without owner
    GUARD = 15     // entry host: reach each new process of a target at once
}

enum status {
    OK = 0,
    BAD_REQUEST = 1,
    UNAVAILABLE = 2,  // had no effect
    UNKNOWN = 3       // may have had an effect
}

struct envelope {
    1: required i64 id,
    2: required method call,
    3: required bool reply,
    4: required status code,
    5: required binary body
}

struct log_record {
    1: required i64 offset,
    2: required i64 time_ms,
    3: required binary body
}

struct read_request {
    1: required i64 first,
    2: required i32 max_records,
    3: required i32 wait_ms,
    4: required i64 hosts_version
}

struct read_reply {
    1: required list<log_record> records,
    2: required i64 earliest,
    3: required i64 next_offset,
    4: required i64 current_age_ms,
    5: required i64 checked_age_ms,
    6: required bool log_reachable,
    7: optional string hosts,
    8: required i64 hosts_version
}

struct snapshot_reply {
    1: required i64 next_offset,
    2: required string state
}

struct append_request {
    1: required list<string> entries,
    2: required i32 expire_ms
}

struct append_reply {
    1: required i64 offset
}

struct job_request {
    1: required string job
}

struct text_reply {
    1: required string text
}

struct check_request {
    1: required string team,  // name of the organisation
    2: required string request,
    3: required bool idempotent,
    4: required i32 deadline_ms,
    5: required string body,
    6: required bool place_only  // sender has checked for repeats
}

struct check_reply {
    1: required i32 outcome,  // check_outcome
    2: required string body
}

struct ping_request {
    1: required string host,
    2: required bool quiet  // has renewed no lease for a full lease time
}

struct ping_reply {
    1: required i64 epoch
}

// What a host may accept without asking the owner.
struct state_grant {
    1: required i64 bytes,                     // state of jobs
    2: required list<string> refused,          // organisations, by name
    3: required bool announce,                 // whether to announce all jobs
    4: required bool loading,                  // the last grant remains
    5: required i64 used                       // by all jobs of the cell
}

struct beat_request {
    1: required string host
}

struct beat_reply {
    1: required i64 epoch,          // highest owner epoch seen
    2: required string owner,       // owner of that epoch
    3: required string owner_address,
    4: required i32 store_age_ms,   // time since the store last answered
    5: required i32 owner_age_ms,   // time since the owner was last heard from
    6: optional string waits,       // expected waits of new jobs, by the owner
    7: optional state_grant grant   // by the owner
}

struct job_state_request {
    1: required string job,
    2: required string organisation,
    3: i32 wait_ms = 0, // longest wait for an end that is not stored yet
    4: i32 intent = 0,  // dispatch::submission_intent
    5: i64 state_bytes = 0 // of the job, if the owner shall admit it
}

struct job_state_reply {
    1: required i32 state,           // dispatch::job_state
    2: bool end_unstored = false,    // the job has ended; shown once stored
    3: bool never_stored = false,    // no submission of the job may be stored
    4: i32 admission = 0             // dispatch::admission
}

struct waiting_request {
    1: required string queue
}

struct waiting_reply {
    1: required i64 jobs
}

struct advise_request {
    1: required string step,
    2: required list<string> targets,
    3: required i32 timeout_ms
}

struct advised_target {
    1: required string target,
    2: required string ticket
}

struct advise_reply {
    1: required list<advised_target> targets,
    2: required i32 valid_ms
}

struct store_request {
    1: required string key,
    2: required binary value
}

struct call_request {
    1: required string url,
    2: required string body,
    3: required list<string> headers,
    4: required i32 timeout_ms,
    5: optional i64 sent_ms    // Unix time; a call that comes late is not made
}

struct guard_request {
    1: required string target,
    2: required string url,
    3: required string body,
    4: required list<string> headers,
    5: required i32 duration_ms
}

struct call_reply {
    1: required i32 outcome,  // http_outcome
    2: required i32 status,
    3: required binary body
}
