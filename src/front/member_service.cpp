#include "front/member_service.hpp"

#include "base/log_func.hpp"
#include "net/wire_func.hpp"

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
constexpr millis BEAT_TIME{600}; ///< An answer is given up after this.
constexpr millis SILENCE{800};   ///< Of the owner, before others claim.
/** A new owner has much to do at first: a claim then would repeat it. */
constexpr millis SETTLING{6000};
constexpr millis SETTLING_SILENCE{2000};
constexpr millis CLAIM_WAIT{400};       ///< A read for claims waits so long.
constexpr std::int64_t MOST_RANKS = 12; ///< Later ones claim together.
/** No owner ever: the other hosts have to announce themselves first. */
constexpr millis FIRST_CLAIM{700};
constexpr millis REFUSAL{250};      ///< The same when connections are refused.
constexpr int REFUSALS = 2;         ///< In a row.
constexpr millis RANK_STEP{120};    ///< Between claims of different hosts.
constexpr millis STORE_FRESH{1000}; ///< A host without the store can't own.
/** This host reaches a store that the owner does not: reads wait 0.4 s. */
constexpr millis STORE_REACHED{600};
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
          loop, store, {.topic = MEMBERS_TOPIC, .wait = CLAIM_WAIT},
          [this](const keyed_record& record) { take_record(record); },
          [](const std::set<std::string>&) {}) {
    members_.on_answered([this](mono_time sent_at) {
        if (owns_)
            call_.confirmed(sent_at);
    });
}

void member_service::start() {
    heard_ = event_loop::now();
    announce();
    members_.start();
    loop_.every(BEAT_PERIOD, [this] {
        beat();
        consider_claim();
    });
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

void member_service::take_record(const keyed_record& record) {
    try {
        if (record.key == OWNER_KEY) {
            take_owner(dispatch::decode_owner(record.value));
        } else if (record.key.starts_with(HOST_PREFIX)) {
            const host_id host{record.key.substr(HOST_PREFIX.size())};
            if (record.value.empty())
                known_.erase(host);
            else
                known_[host] = dispatch::decode_member(record.value);
            call_.members_changed();
        }
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
    const bool mine = owner.host == settings_.host && owner.life == life_ &&
                      !owner.address.empty();
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

millis member_service::store_age() const {
    return event_loop::now() - std::max(members_.answered_at(), store_heard_);
}

millis member_service::owner_age() const {
    return owns_ ? millis(0) : event_loop::now() - heard_;
}

std::vector<std::string> member_service::helpers() const {
    std::vector<std::string> out;
    if (!owner_.address.empty() && owner_.address != own_address_)
        out.push_back(owner_.address);
    // Hosts of other data centres are less likely to share a failure.
    for (const bool near : {false, true})
        for (const auto& [host, member] : known_)
            if ((member.data_centre == settings_.data_centre) == near &&
                member.address != own_address_ &&
                member.address != owner_.address)
                out.push_back(member.address);
    return out;
}

rpc_client& member_service::peer(const std::string& address) {
    auto& client = peers_[address];
    if (!client)
        client =
            std::make_unique<rpc_client>(loop_, address, on_timeout::reconnect);
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
    peer(owner_.address)
        .call(wire::method::BEAT, wire_encode(request), BEAT_TIME,
              [this](const rpc_answer& answer) { beat_answered(answer); });
}

void member_service::beat_answered(const rpc_answer& answer) {
    beating_ = false;
    if (!answer.ok()) {
        if (answer.result == rpc_result::not_sent)
            ++refused_;
        return;
    }
    refused_ = 0;
    const auto reply = wire_decode<wire::beat_reply>(answer.body);
    if (reply.epoch < owner_.epoch || reply.owner_address != owner_.address)
        return;
    // An owner that the store turns away can't start anything.
    cut_off_ = reply.store_age_ms >= STORE_FRESH.count();
    if (!cut_off_)
        heard_ = event_loop::now();
}

millis member_service::patience() const {
    // The strongest host owns; the others follow in order.
    std::int64_t rank = 0;
    for (const auto& [host, member] : known_) {
        const bool before = member.milli_cores != settings_.milli_cores
                                ? member.milli_cores > settings_.milli_cores
                                : host < settings_.host;
        if (before && host != owner_.host)
            ++rank;
    }
    const millis stagger = RANK_STEP * std::min(rank, MOST_RANKS);
    if (owner_.epoch == 0)
        return FIRST_CLAIM + stagger;
    if (owner_.address.empty())
        return stagger;
    if (owner_.host == settings_.host && owner_.life != life_)
        return millis(0); // An earlier process of this host.
    if (refused_ >= REFUSALS)
        return stagger + REFUSAL;
    // Its silence has been waited for already, at the store.
    if (cut_off_ && store_age() < STORE_REACHED)
        return stagger;
    const bool settling = event_loop::now() - changed_at_ < SETTLING;
    return stagger + (settling ? SETTLING_SILENCE : SILENCE);
}

void member_service::consider_claim() {
    if (owns_ || leaving_ || claiming_ || !members_.loaded() ||
        store_age() > STORE_FRESH || owner_age() < patience())
        return;
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
                            .life = life_};
    store_.append(
        {.topic = MEMBERS_TOPIC,
         .records = {{.key = OWNER_KEY, .value = dispatch::encode_owner(mine)}},
         .at = members_.next(),
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
                            .life = life_};
    store_.append(
        {.topic = MEMBERS_TOPIC,
         .records = {{.key = OWNER_KEY, .value = dispatch::encode_owner(none)}},
         .at = members_.next(),
         .timeout = CALL_TIME},
        [](const append_answer&) {});
}

} // namespace rattan::front
