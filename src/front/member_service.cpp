#include "front/member_service.hpp"

#include "base/log_func.hpp"
#include "dispatch/fencing_tokens.hpp"
#include "net/resource_shares.hpp"
#include "net/thrift_codec.hpp"

#include <algorithm>

namespace rattan::front {

using dispatch::owner_record;
using platform::append_answer;
using platform::keyed_record;
using platform::store_result;

namespace {

const std::string OWNER_KEY = "owner";
const std::string HOST_PREFIX = "host/";
constexpr millis HEARTBEAT_PERIOD{250};
constexpr millis HEARTBEAT_RETRY_DELAY{60};
/** With more entry hosts, claims wait longer for the owner's answer. */
constexpr std::size_t MAX_SMALL_CELL_HOSTS = 12;
constexpr millis HEARTBEAT_TIMEOUT{1200};
/** Long-poll times of reads of the two topics. */
constexpr millis CLAIMS_MAX_WAIT{400};
constexpr millis MEMBERS_MAX_WAIT{3000};
/**
 * After this time without an answer the store is late. It exceeds the long-poll
 * time of claims, after which the store answers even without a record.
 */
constexpr millis STORE_LATE_AGE{500};
/** An answer after a longer silence is treated as the end of an outage. */
constexpr millis STORE_OUTAGE_AGE{1000};
constexpr millis PROBE_TIMEOUT{400};
/** How long the longest gap between two answers of the store is remembered. */
constexpr millis STORE_GAP_WINDOW{3000};
/** While the store is late, so many hosts are asked whether they reach it. */
constexpr std::size_t MAX_HEARTBEAT_PEERS = 6;
constexpr millis APPEND_TIMEOUT{800};
constexpr millis RETRY_DELAY{200};
/** Reports of new hosts in touch that come within this time are combined. */
constexpr millis CONTACTS_UPDATE_DELAY{30};
/** Minimum time between two removals of members' records. */
constexpr millis REMOVAL_PERIOD{1000};

} // namespace

member_service::member_service(event_loop& loop, platform::store_client& store,
                               const platform::platform_settings& settings,
                               std::string own_address,
                               std::int64_t incarnation, callbacks handlers)
    : loop_(loop), store_(store), settings_(settings),
      own_address_(std::move(own_address)), incarnation_(incarnation),
      callbacks_(std::move(handlers)),
      member_follower_(
          loop, store, {.topic = MEMBERS_TOPIC, .max_wait = MEMBERS_MAX_WAIT},
          [this](const keyed_record& record) { handle_member_record(record); },
          [this](const std::set<std::string>& keys) {
              handle_members_loaded(keys);
          }),
      claim_follower_(
          loop, store, {.topic = CLAIMS_TOPIC, .max_wait = CLAIMS_MAX_WAIT},
          [this](const keyed_record& record) { handle_claim_record(record); },
          // The loaded topic may show that a claim is due at once.
          [this](const std::set<std::string>&) { claim_if_due(); }) {
    member_follower_.on_answered([this](mono_time) { store_answered(); });
    claim_follower_.on_answered([this](mono_time sent_at) {
        store_answered();
        if (is_owner_)
            callbacks_.ownership_confirmed(sent_at);
    });
}

void member_service::start() {
    started_ = event_loop::now();
    owner_answered_at_ = started_;
    owner_replied_at_ = started_;
    register_host();
    member_follower_.start();
    claim_follower_.start();
    loop_.every(HEARTBEAT_PERIOD, [this] {
        contacts_.check(event_loop::now());
        update_contacts();
        remove_gone_members();
        send_heartbeat();
        if (store_age() > STORE_LATE_AGE) {
            probe_store();
            send_peer_heartbeats();
        }
        claim_if_due();
    });
}

void member_service::store_answered() {
    const mono_time now = event_loop::now();
    const millis gap = now - std::max(store_answered_at_, started_);
    if (gap >= max_store_gap_ || now - max_store_gap_at_ > STORE_GAP_WINDOW) {
        max_store_gap_ = gap;
        max_store_gap_at_ = now;
    }
    if (now - store_answered_at_ > STORE_OUTAGE_AGE) {
        store_recovered_at_ = now;
        refused_connections_ = 0;
        reconnect_to_owner();
    }
    store_answered_at_ = now;
}

void member_service::reconnect_to_owner() {
    if (is_owner_ || owner_.address.empty())
        return;
    // The outage may have broken the connection without closing it, so that
    // a heartbeat on it would only time out.
    loop_.defer([this, address = owner_.address] {
        peer(address).reset();
        send_heartbeat();
    });
}

void member_service::probe_store() {
    if (std::exchange(probe_pending_, true))
        return;
    store_.read({.topic = CLAIMS_TOPIC,
                 .from = claim_follower_.next_offset(),
                 .timeout = PROBE_TIMEOUT},
                [this](const platform::read_answer& answer) {
                    probe_pending_ = false;
                    if (answer.result == store_result::ok)
                        store_answered();
                });
}

void member_service::send_peer_heartbeats() {
    std::vector<dispatch::peer_candidate> candidates;
    for (const auto& [host, member] : member_records_) {
        if (member.address == own_address_ || member.address == owner_.address)
            continue;
        const peer_state& state = peer_states_[member.address];
        candidates.push_back({.address = member.address,
                              .asked_at = state.asked_at,
                              .unanswered = state.unanswered});
    }
    for (const std::string& address :
         dispatch::peers_to_ask(std::move(candidates), MAX_HEARTBEAT_PEERS)) {
        peer_state& state = peer_states_[address];
        if (std::exchange(state.request_pending, true))
            continue;
        state.asked_at = event_loop::now();
        state.unanswered = true;
        rpc_client& client = peer(address);
        client.reset_backoff();
        wire::beat_request request;
        request.host = settings_.host.value;
        client.call(wire::method::BEAT, wire_encode(request), HEARTBEAT_TIMEOUT,
                    [this, address](const rpc_call_result& answer) {
                        handle_peer_reply(address, answer);
                    });
    }
}

void member_service::handle_peer_reply(const std::string& address,
                                       const rpc_call_result& answer) {
    peer_state& state = peer_states_[address];
    state.request_pending = false;
    if (!answer.ok())
        return;
    state.answered_at = event_loop::now();
    state.unanswered = false;
    state.store_age =
        millis(wire_decode<wire::beat_reply>(answer.body).store_age_ms);
}

void member_service::register_host() {
    if (leaving_ || std::exchange(registration_pending_, true))
        return;
    const std::string value = dispatch::encode_member(
        {.host = settings_.host,
         .data_centre = settings_.data_centre,
         .address = own_address_,
         .milli_cores = settings_.milli_cores,
         .memory_bytes = static_cast<std::int64_t>(settings_.memory_bytes)});
    store_.append({.topic = MEMBERS_TOPIC,
                   .records = {{.key = HOST_PREFIX + settings_.host.value,
                                .value = value}},
                   .timeout = APPEND_TIMEOUT},
                  [this](const append_answer& answer) {
                      registration_pending_ = false;
                      if (answer.result != store_result::ok)
                          loop_.after(RETRY_DELAY, [this] { register_host(); });
                  });
}

std::map<host_id, dispatch::member_record>
member_service::members_in_touch() const {
    const mono_time now = event_loop::now();
    std::map<host_id, dispatch::member_record> out;
    for (const auto& [host, member] : member_records_)
        if (host == settings_.host || contacts_.in_touch(host, now))
            out.emplace(host, member);
    return out;
}

void member_service::handle_heartbeat(const host_id& host) {
    if (!is_owner_)
        return;
    contacts_.heard_from(host, event_loop::now());
    if (hosts_in_touch_.contains(host) || !member_records_.contains(host) ||
        std::exchange(contacts_update_scheduled_, true))
        return;
    // All hosts report to a new owner at about the same time.
    loop_.after(CONTACTS_UPDATE_DELAY, [this] {
        contacts_update_scheduled_ = false;
        update_contacts();
    });
}

void member_service::update_contacts() {
    if (!is_owner_)
        return;
    const mono_time now = event_loop::now();
    std::set<host_id> in_touch;
    for (const auto& [host, member] : member_records_)
        if (host == settings_.host || contacts_.in_touch(host, now))
            in_touch.insert(host);
    if (in_touch == hosts_in_touch_)
        return;
    for (const host_id& host : hosts_in_touch_)
        if (!in_touch.contains(host))
            log_event(log_level::info, "host_out_of_touch",
                      {{"host", host.value}});
    hosts_in_touch_ = std::move(in_touch);
    callbacks_.members_changed();
}

void member_service::remove_gone_members() {
    if (!is_owner_ || removal_pending_ || store_unresponsive())
        return;
    const mono_time now = event_loop::now();
    std::vector<keyed_record> tombstones;
    for (const auto& [host, member] : member_records_) {
        if (host == settings_.host || !contacts_.gone(host, now))
            continue;
        tombstones.push_back({.key = HOST_PREFIX + host.value});
        log_event(log_level::info, "host_gone", {{"host", host.value}});
    }
    if (tombstones.empty())
        return;
    removal_pending_ = true;
    store_.append({.topic = MEMBERS_TOPIC,
                   .records = std::move(tombstones),
                   .timeout = APPEND_TIMEOUT},
                  [this](const append_answer&) {
                      // The follower reports the removal. If the call failed,
                      // the records are still there and it is repeated.
                      loop_.after(REMOVAL_PERIOD,
                                  [this] { removal_pending_ = false; });
                  });
}

void member_service::handle_claim_record(const keyed_record& record) {
    try {
        if (record.key == OWNER_KEY)
            handle_owner_change(dispatch::decode_owner(record.value));
    } catch (const decode_error& failure) {
        log_event(log_level::warning, "claim_skipped",
                  {{"key", record.key}, {"cause", failure.what()}});
    }
}

void member_service::handle_member_record(const keyed_record& record) {
    if (!record.key.starts_with(HOST_PREFIX))
        return;
    const host_id host{record.key.substr(HOST_PREFIX.size())};
    try {
        if (record.value.empty())
            return drop_member(host);
        member_records_[host] = dispatch::decode_member(record.value);
        contacts_.registered(host, event_loop::now());
        update_contacts();
    } catch (const decode_error& failure) {
        log_event(log_level::warning, "member_record_skipped",
                  {{"key", record.key}, {"cause", failure.what()}});
    }
}

void member_service::handle_members_loaded(const std::set<std::string>& keys) {
    std::vector<host_id> dropped;
    for (const auto& [host, member] : member_records_)
        if (!keys.contains(HOST_PREFIX + host.value))
            dropped.push_back(host);
    for (const host_id& host : dropped)
        drop_member(host);
}

void member_service::drop_member(const host_id& host) {
    member_records_.erase(host);
    contacts_.remove(host);
    update_contacts();
    // The owner may have removed the record of a host that it did not hear
    // from, or the record was left by an earlier process that shut down.
    if (host == settings_.host && !leaving_) {
        log_event(log_level::info, "registers_again", {});
        register_host();
    }
}

void member_service::handle_owner_change(const owner_record& owner) {
    if (owner.epoch < owner_.epoch)
        return;
    const bool same_epoch = owner.epoch == owner_.epoch;
    if (!same_epoch) {
        handover_.reset();
        if (owner_.leases &&
            owner.epoch == owner_.epoch + dispatch::TOKENS_PER_CLAIM)
            handover_ = received_handover{.leases = *owner_.leases,
                                          .received_at = owner_changed_at_};
    }
    owner_ = owner;
    const bool own_claim = owner.host == settings_.host &&
                           owner.incarnation == incarnation_ &&
                           !owner.address.empty();
    log_event(log_level::info, "owner_changed",
              {{"epoch", std::to_string(owner.epoch)},
               {"host", owner.host.value},
               {"resigned", owner.address.empty() ? "yes" : "no"}});
    owner_answered_at_ = event_loop::now();
    owner_replied_at_ = owner_answered_at_;
    owner_changed_at_ = owner_answered_at_;
    owner_lost_store_ = false;
    refused_connections_ = 0;
    if (is_owner_ && (!own_claim || !same_epoch)) {
        is_owner_ = false;
        callbacks_.ownership_lost();
    }
    // A heartbeat to an earlier owner may be pending until it times out.
    heartbeat_pending_ = false;
    loop_.defer([this] { send_heartbeat(); });
    if (own_claim && !is_owner_ && !leaving_) {
        is_owner_ = true;
        contacts_.begin(event_loop::now());
        hosts_in_touch_.clear();
        callbacks_.ownership_gained(owner.epoch);
    }
}

bool member_service::store_unresponsive() const {
    return dispatch::is_store_unresponsive(store_age(), max_store_gap());
}

millis member_service::store_age() const {
    return event_loop::now() - store_answered_at_;
}

millis member_service::max_store_gap() const {
    return event_loop::now() - max_store_gap_at_ > STORE_GAP_WINDOW
               ? millis(0)
               : max_store_gap_;
}

millis member_service::owner_age() const {
    return is_owner_ ? millis(0) : event_loop::now() - owner_answered_at_;
}

millis member_service::owner_reply_age() const {
    return is_owner_ ? millis(0) : event_loop::now() - owner_replied_at_;
}

std::vector<std::string> member_service::write_peers() const {
    std::vector<dispatch::peer_view> peers;
    const mono_time now = event_loop::now();
    for (const auto& [host, member] : member_records_) {
        if (member.address == own_address_)
            continue;
        const auto state = peer_states_.find(member.address);
        if (state == peer_states_.end())
            continue;
        peers.push_back(
            {.address = member.address,
             .owner = member.address == owner_.address,
             .same_data_centre = member.data_centre == settings_.data_centre,
             .since_reply = now - state->second.answered_at,
             .store_age = state->second.store_age});
    }
    return dispatch::usable_write_peers(std::move(peers));
}

rpc_client& member_service::peer(const std::string& address) {
    auto& client = peers_[address];
    if (!client)
        client = std::make_unique<rpc_client>(
            loop_, address, timeout_policy::reconnect, peer_limits_);
    return *client;
}

std::string member_service::encode_heartbeat_reply(
    const std::string& waits,
    const std::optional<received_grant>& grant) const {
    wire::beat_reply reply;
    reply.epoch = owner_.epoch;
    reply.owner = owner_.host.value;
    reply.owner_address = owner_.address;
    reply.store_age_ms = static_cast<std::int32_t>(
        std::min<std::int64_t>(store_age().count(), 1 << 30));
    reply.owner_age_ms = static_cast<std::int32_t>(
        std::min<std::int64_t>(owner_age().count(), 1 << 30));
    if (!waits.empty())
        reply.__set_waits(waits);
    if (grant) {
        wire::state_grant share;
        share.bytes = static_cast<std::int64_t>(grant->share.bytes);
        for (const dispatch::organisation_id& name : grant->share.refused)
            share.refused.push_back(name.value);
        share.announce = grant->announce;
        share.loading = grant->loading;
        share.used = static_cast<std::int64_t>(grant->used_bytes);
        reply.__set_grant(share);
    }
    return wire_encode(reply);
}

void member_service::send_heartbeat() {
    if (is_owner_ || heartbeat_pending_ || owner_.address.empty())
        return;
    heartbeat_pending_ = true;
    wire::beat_request request;
    request.host = settings_.host.value;
    peer(owner_.address).reset_backoff();
    peer(owner_.address)
        .call(wire::method::BEAT, wire_encode(request), HEARTBEAT_TIMEOUT,
              [this, epoch = owner_.epoch,
               sent_at = event_loop::now()](const rpc_call_result& answer) {
                  // A late result says nothing about the present owner.
                  if (epoch == owner_.epoch)
                      handle_heartbeat_reply(answer, sent_at);
              });
}

void member_service::handle_heartbeat_reply(const rpc_call_result& answer,
                                            mono_time sent_at) {
    heartbeat_pending_ = false;
    if (!answer.ok()) {
        if (answer.outcome == rpc_outcome::not_sent)
            ++refused_connections_;
        // The retry tells a killed process, which refuses connections, from
        // a lost message.
        loop_.after(HEARTBEAT_RETRY_DELAY, [this] {
            send_heartbeat();
            claim_if_due();
        });
        return;
    }
    refused_connections_ = 0;
    const auto reply = wire_decode<wire::beat_reply>(answer.body);
    if (reply.epoch < owner_.epoch || reply.owner_address != owner_.address)
        return;
    handle_peer_reply(owner_.address, answer);
    owner_replied_at_ = event_loop::now();
    if (reply.__isset.waits)
        callbacks_.waits_received(reply.waits, sent_at);
    std::optional<received_grant> grant;
    if (reply.__isset.grant) {
        grant.emplace();
        grant->share.bytes = static_cast<std::size_t>(
            std::max<std::int64_t>(0, reply.grant.bytes));
        for (const std::string& name : reply.grant.refused)
            grant->share.refused.insert({name});
        grant->announce = reply.grant.announce;
        grant->loading = reply.grant.loading;
        if (!grant->loading)
            cell_state_bytes_ = static_cast<std::size_t>(
                std::max<std::int64_t>(0, reply.grant.used));
    }
    callbacks_.grant_received(grant, sent_at);
    // An owner that can't reach the store can't start any runs.
    owner_lost_store_ =
        dispatch::has_lost_store(millis(reply.store_age_ms), max_store_gap());
    if (!owner_lost_store_)
        owner_answered_at_ = event_loop::now();
}

std::int64_t member_service::max_milli_cores() const {
    std::int64_t result = 0;
    for (const auto& [host, member] : member_records_)
        result = std::max(result, member.milli_cores);
    return result;
}

bool member_service::low_capacity() const {
    const std::size_t state_limit =
        divide_resources(settings_.memory_bytes, settings_.max_descriptors)
            .job_state;
    return settings_.milli_cores * 2 < max_milli_cores() ||
           (state_limit > 0 && cell_state_bytes_ > state_limit);
}

std::int64_t member_service::claim_rank() const {
    // Hosts claim in descending order of CPU capacity, then by name.
    std::int64_t hosts_before = 0;
    for (const auto& [host, member] : member_records_) {
        const bool claims_earlier =
            member.milli_cores != settings_.milli_cores
                ? member.milli_cores > settings_.milli_cores
                : host < settings_.host;
        if (claims_earlier && host != owner_.host)
            ++hosts_before;
    }
    return hosts_before;
}

void member_service::claim_if_due() {
    if (is_owner_ || leaving_ || claim_pending_ || !claim_follower_.loaded())
        return;
    const mono_time now = event_loop::now();
    const dispatch::claim_view view{
        .owner_epoch = owner_.epoch,
        .owner_resigned = owner_.address.empty(),
        .own_previous_incarnation =
            owner_.host == settings_.host && owner_.incarnation != incarnation_,
        .owner_lost_store = owner_lost_store_,
        .owner_silence = owner_age(),
        .since_owner_change = now - owner_changed_at_,
        .refused_connections = refused_connections_,
        .store_age = store_age(),
        .store_reachable_for = now - store_recovered_at_,
        .rank = claim_rank(),
        .low_capacity = low_capacity(),
        .large_cell = member_records_.size() > MAX_SMALL_CELL_HOSTS};
    if (!dispatch::claim_due(view))
        return;
    if (dispatch::resigns_instead(view))
        append_resignation(std::nullopt);
    else
        append_claim();
}

void member_service::append_claim() {
    claim_pending_ = true;
    const owner_record claim{.epoch = owner_.epoch + dispatch::TOKENS_PER_CLAIM,
                             .host = settings_.host,
                             .address = own_address_,
                             .incarnation = incarnation_};
    log_event(log_level::info, "owner_claimed",
              {{"epoch", std::to_string(claim.epoch)},
               {"silent_ms", std::to_string(owner_age().count())},
               {"refused", std::to_string(refused_connections_)}});
    store_.append({.topic = CLAIMS_TOPIC,
                   .records = {{.key = OWNER_KEY,
                                .value = dispatch::encode_owner(claim)}},
                   .expected_end = claim_follower_.next_offset(),
                   .timeout = APPEND_TIMEOUT},
                  [this, claim](const append_answer& answer) {
                      claim_pending_ = false;
                      // The follower reports every claim; this only saves its
                      // delay.
                      if (answer.result == store_result::ok &&
                          claim.epoch > owner_.epoch)
                          handle_owner_change(claim);
                  });
}

void member_service::handle_fenced() {
    if (!is_owner_)
        return;
    is_owner_ = false;
    callbacks_.ownership_lost();
}

void member_service::leave() {
    leaving_ = true;
    // If this fails, the owner removes the record later.
    store_.append({.topic = MEMBERS_TOPIC,
                   .records = {{.key = HOST_PREFIX + settings_.host.value}},
                   .timeout = APPEND_TIMEOUT},
                  [](const append_answer&) {});
    if (!is_owner_)
        return;
    is_owner_ = false;
    auto leases = callbacks_.resigning();
    callbacks_.ownership_lost();
    append_resignation(std::move(leases));
}

void member_service::append_resignation(
    std::optional<dispatch::lease_handover> leases) {
    claim_pending_ = true;
    const owner_record resignation{.epoch = owner_.epoch,
                                   .host = settings_.host,
                                   .address = "",
                                   .incarnation = incarnation_,
                                   .leases = std::move(leases)};
    store_.append({.topic = CLAIMS_TOPIC,
                   .records = {{.key = OWNER_KEY,
                                .value = dispatch::encode_owner(resignation)}},
                   .expected_end = claim_follower_.next_offset(),
                   .timeout = APPEND_TIMEOUT},
                  [this](const append_answer&) { claim_pending_ = false; });
}

} // namespace rattan::front
