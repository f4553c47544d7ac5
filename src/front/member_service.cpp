#include "front/member_service.hpp"

#include "base/log_func.hpp"
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
constexpr millis BEAT_PERIOD{250};
constexpr millis BEAT_AGAIN{60};       ///< After a beat that failed.
constexpr std::size_t LARGE_CELL = 12; ///< Entry hosts.
constexpr millis BEAT_TIME{1200};      ///< An answer is given up after this.
constexpr millis CLAIM_WAIT{400};      ///< A read for claims waits so long.
constexpr millis MEMBERS_WAIT{3000};   ///< The same for entry hosts.
/** Reads answer sooner than this unless the store is late. */
constexpr millis STORE_LATE{500};
constexpr millis STORE_LOST{1000}; ///< Then its return is waited for.
constexpr millis PROBE_TIME{400};  ///< Of a read that only asks for an answer.
constexpr millis GAP_KEPT{3000}; ///< A long wait for the store counts so long.
constexpr std::size_t MOST_PINGED =
    6; ///< Other hosts, while the store is late.
constexpr millis CALL_TIME{800};
constexpr millis RETRY_TIME{200};

} // namespace

member_service::member_service(event_loop& loop, platform::store_client& store,
                               const platform::platform_settings& settings,
                               std::string own_address, std::int64_t life,
                               callbacks call)
    : loop_(loop), store_(store), settings_(settings),
      own_address_(std::move(own_address)), life_(life), call_(std::move(call)),
      members_(
          loop, store, {.topic = MEMBERS_TOPIC, .wait = MEMBERS_WAIT},
          [this](const keyed_record& record) { take_member(record); },
          [](const std::set<std::string>&) {}),
      claims_(
          loop, store, {.topic = CLAIMS_TOPIC, .wait = CLAIM_WAIT},
          [this](const keyed_record& record) { take_claim(record); },
          // The topic may show that this host has to claim at once.
          [this](const std::set<std::string>&) { consider_claim(); }) {
    members_.on_answered([this](mono_time) { store_answered(); });
    claims_.on_answered([this](mono_time sent_at) {
        store_answered();
        if (owns_)
            call_.confirmed(sent_at);
    });
}

void member_service::start() {
    started_ = event_loop::now();
    heard_ = started_;
    announce();
    members_.start();
    claims_.start();
    loop_.every(BEAT_PERIOD, [this] {
        beat();
        if (store_age() > STORE_LATE) {
            probe_store();
            ping_peers();
        }
        consider_claim();
    });
}

void member_service::store_answered() {
    const mono_time now = event_loop::now();
    const millis gap = now - std::max(store_heard_, started_);
    if (gap >= worst_gap_ || now - worst_gap_at_ > GAP_KEPT) {
        worst_gap_ = gap;
        worst_gap_at_ = now;
    }
    if (now - store_heard_ > STORE_LOST) {
        store_back_ = now;
        refused_ = 0;
        ask_owner_anew();
    }
    store_heard_ = now;
}

void member_service::ask_owner_anew() {
    if (owns_ || owner_.address.empty())
        return;
    // Behind a cut the connection may be dead, and a beat on it would be
    // waited for in vain.
    loop_.defer([this, address = owner_.address] {
        peer(address).reset();
        beat();
    });
}

void member_service::probe_store() {
    if (std::exchange(probing_, true))
        return;
    store_.read(
        {.topic = CLAIMS_TOPIC, .from = claims_.next(), .timeout = PROBE_TIME},
        [this](const platform::read_answer& answer) {
            probing_ = false;
            if (answer.result == store_result::ok)
                store_answered();
        });
}

void member_service::ping_peers() {
    std::size_t pinged = 0;
    for (const auto& [host, member] : known_) {
        if (member.address == own_address_ || member.address == owner_.address)
            continue;
        if (++pinged > MOST_PINGED)
            return;
        peer_state& state = peer_states_[member.address];
        if (std::exchange(state.asked, true))
            continue;
        rpc_client& client = peer(member.address);
        client.reset_backoff();
        wire::beat_request request;
        request.host = settings_.host.value;
        client.call(
            wire::method::BEAT, wire_encode(request), BEAT_TIME,
            [this, address = member.address](const rpc_call_result& answer) {
                take_peer_beat(address, answer);
            });
    }
}

void member_service::take_peer_beat(const std::string& address,
                                    const rpc_call_result& answer) {
    peer_state& state = peer_states_[address];
    state.asked = false;
    if (!answer.ok())
        return;
    state.heard = event_loop::now();
    state.store_age =
        millis(wire_decode<wire::beat_reply>(answer.body).store_age_ms);
}

void member_service::announce() {
    const std::string value =
        dispatch::encode_member({.host = settings_.host,
                                 .data_centre = settings_.data_centre,
                                 .address = own_address_,
                                 .milli_cores = settings_.milli_cores});
    store_.append({.topic = MEMBERS_TOPIC,
                   .records = {{.key = HOST_PREFIX + settings_.host.value,
                                .value = value}},
                   .timeout = CALL_TIME},
                  [this](const append_answer& answer) {
                      if (answer.result != store_result::ok)
                          loop_.after(RETRY_TIME, [this] { announce(); });
                  });
}

void member_service::take_claim(const keyed_record& record) {
    try {
        if (record.key == OWNER_KEY)
            take_owner(dispatch::decode_owner(record.value));
    } catch (const decode_error& failure) {
        log_event(log_level::warning, "claim_skipped",
                  {{"key", record.key}, {"cause", failure.what()}});
    }
}

void member_service::take_member(const keyed_record& record) {
    if (!record.key.starts_with(HOST_PREFIX))
        return;
    const host_id host{record.key.substr(HOST_PREFIX.size())};
    try {
        if (record.value.empty())
            known_.erase(host);
        else
            known_[host] = dispatch::decode_member(record.value);
        call_.members_changed();
    } catch (const decode_error& failure) {
        log_event(log_level::warning, "member_record_skipped",
                  {{"key", record.key}, {"cause", failure.what()}});
    }
}

void member_service::take_owner(const owner_record& owner) {
    if (owner.epoch < owner_.epoch)
        return;
    const bool same = owner.epoch == owner_.epoch;
    owner_ = owner;
    const bool mine = owner.host == settings_.host &&
                      owner.incarnation == life_ && !owner.address.empty();
    log_event(log_level::info, "owner_changed",
              {{"epoch", std::to_string(owner.epoch)},
               {"host", owner.host.value},
               {"resigned", owner.address.empty() ? "yes" : "no"}});
    heard_ = event_loop::now();
    changed_at_ = heard_;
    cut_off_ = false;
    refused_ = 0;
    if (owns_ && (!mine || !same)) {
        owns_ = false;
        call_.lost();
    }
    if (mine && !owns_ && !leaving_) {
        owns_ = true;
        call_.owned(owner.epoch);
    }
}

bool member_service::store_silent() const {
    return dispatch::is_store_unresponsive(store_age(), worst_gap());
}

millis member_service::store_age() const {
    return event_loop::now() - store_heard_;
}

millis member_service::worst_gap() const {
    return event_loop::now() - worst_gap_at_ > GAP_KEPT ? millis(0)
                                                        : worst_gap_;
}

millis member_service::owner_age() const {
    return owns_ ? millis(0) : event_loop::now() - heard_;
}

std::vector<std::string> member_service::helpers() const {
    std::vector<dispatch::peer_view> peers;
    const mono_time now = event_loop::now();
    for (const auto& [host, member] : known_) {
        if (member.address == own_address_)
            continue;
        const auto state = peer_states_.find(member.address);
        if (state == peer_states_.end())
            continue;
        peers.push_back(
            {.address = member.address,
             .owner = member.address == owner_.address,
             .same_data_centre = member.data_centre == settings_.data_centre,
             .since_reply = now - state->second.heard,
             .store_age = state->second.store_age});
    }
    return dispatch::usable_write_peers(std::move(peers));
}

rpc_client& member_service::peer(const std::string& address) {
    auto& client = peers_[address];
    if (!client)
        client = std::make_unique<rpc_client>(loop_, address,
                                              timeout_policy::reconnect);
    return *client;
}

std::string member_service::answer_beat() const {
    wire::beat_reply reply;
    reply.epoch = owner_.epoch;
    reply.owner = owner_.host.value;
    reply.owner_address = owner_.address;
    reply.store_age_ms = static_cast<std::int32_t>(
        std::min<std::int64_t>(store_age().count(), 1 << 30));
    reply.owner_age_ms = static_cast<std::int32_t>(
        std::min<std::int64_t>(owner_age().count(), 1 << 30));
    return wire_encode(reply);
}

void member_service::beat() {
    if (owns_ || beating_ || owner_.address.empty())
        return;
    beating_ = true;
    wire::beat_request request;
    request.host = settings_.host.value;
    peer(owner_.address).reset_backoff();
    peer(owner_.address)
        .call(wire::method::BEAT, wire_encode(request), BEAT_TIME,
              [this](const rpc_call_result& answer) { beat_answered(answer); });
}

void member_service::beat_answered(const rpc_call_result& answer) {
    beating_ = false;
    if (!answer.ok()) {
        if (answer.outcome == rpc_outcome::not_sent)
            ++refused_;
        // A process that was killed shows at the next try.
        loop_.after(BEAT_AGAIN, [this] {
            beat();
            consider_claim();
        });
        return;
    }
    refused_ = 0;
    const auto reply = wire_decode<wire::beat_reply>(answer.body);
    if (reply.epoch < owner_.epoch || reply.owner_address != owner_.address)
        return;
    take_peer_beat(owner_.address, answer);
    // An owner that the store turns away can't start anything.
    cut_off_ =
        dispatch::has_lost_store(millis(reply.store_age_ms), worst_gap());
    if (!cut_off_)
        heard_ = event_loop::now();
}

std::int64_t member_service::strongest() const {
    std::int64_t most = 0;
    for (const auto& [host, member] : known_)
        most = std::max(most, member.milli_cores);
    return most;
}

std::int64_t member_service::rank() const {
    // The strongest host owns; the others follow in order.
    std::int64_t before_us = 0;
    for (const auto& [host, member] : known_) {
        const bool before = member.milli_cores != settings_.milli_cores
                                ? member.milli_cores > settings_.milli_cores
                                : host < settings_.host;
        if (before && host != owner_.host)
            ++before_us;
    }
    return before_us;
}

void member_service::consider_claim() {
    if (owns_ || leaving_ || claiming_ || !claims_.loaded())
        return;
    const mono_time now = event_loop::now();
    const dispatch::claim_view view{
        .owner_epoch = owner_.epoch,
        .owner_resigned = owner_.address.empty(),
        .own_previous_incarnation =
            owner_.host == settings_.host && owner_.incarnation != life_,
        .owner_lost_store = cut_off_,
        .owner_silence = owner_age(),
        .since_owner_change = now - changed_at_,
        .refused_connections = refused_,
        .store_age = store_age(),
        .store_reachable_for = now - store_back_,
        .rank = rank(),
        .low_capacity = settings_.milli_cores * 2 < strongest(),
        .large_cell = known_.size() > LARGE_CELL};
    if (dispatch::claim_due(view))
        claim();
}

void member_service::claim() {
    claiming_ = true;
    log_event(log_level::info, "owner_claimed",
              {{"epoch", std::to_string(owner_.epoch + 1)},
               {"silent_ms", std::to_string(owner_age().count())},
               {"refused", std::to_string(refused_)}});
    const owner_record mine{.epoch = owner_.epoch + 1,
                            .host = settings_.host,
                            .address = own_address_,
                            .incarnation = life_};
    store_.append(
        {.topic = CLAIMS_TOPIC,
         .records = {{.key = OWNER_KEY, .value = dispatch::encode_owner(mine)}},
         .at = claims_.next(),
         .timeout = CALL_TIME},
        [this, mine](const append_answer& answer) {
            claiming_ = false;
            // The follower shows every outcome; this only saves its delay.
            if (answer.result == store_result::ok && mine.epoch > owner_.epoch)
                take_owner(mine);
        });
}

void member_service::deposed() {
    if (!owns_)
        return;
    owns_ = false;
    call_.lost();
}

void member_service::leave() {
    leaving_ = true;
    if (!owns_)
        return;
    owns_ = false;
    call_.lost();
    const owner_record none{.epoch = owner_.epoch,
                            .host = settings_.host,
                            .address = "",
                            .incarnation = life_};
    store_.append(
        {.topic = CLAIMS_TOPIC,
         .records = {{.key = OWNER_KEY, .value = dispatch::encode_owner(none)}},
         .at = claims_.next(),
         .timeout = CALL_TIME},
        [](const append_answer&) {});
}

} // namespace rattan::front
