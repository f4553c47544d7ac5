/**
 * Messages between the system's own processes. Each travels as one frame:
 * a 4-byte big-endian length, then an envelope in Thrift's compact protocol.
 */
namespace cpp rattan.wire

enum method {
    READ = 1,      // relay: records from an offset, waits for the next one
    SNAPSHOT = 2,  // relay: folded state to start from
    APPEND = 3,    // relay: entries to be appended to the log
    JOB_STATUS = 4,// placer: one job, live
    CHECK = 5,     // gate: a check sent on to the home of its request id
    PING = 6       // placer: is the owner alive, and of which epoch
}

enum status {
    OK = 0,
    BAD_REQUEST = 1,
    UNAVAILABLE = 2,  // nothing was done
    UNKNOWN = 3       // may have taken effect
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
    1: required string team,
    2: required string request,
    3: required bool idempotent,
    4: required i32 deadline_ms,
    5: required string body,
    6: required bool place_only  // the sender has checked for repeats
}

struct check_reply {
    1: required i32 outcome,  // check_outcome
    2: required string body
}

struct ping_request {
    1: required string host,
    2: required bool quiet
}

struct ping_reply {
    1: required i64 epoch
}
