/** @file Which entry hosts there are, and which of them owns the cell. */
#pragma once

#include "dispatch/claim_func.hpp"
#include "dispatch/record_codec.hpp"
#include "front/topic_follower.hpp"
#include "net/rpc_client.hpp"
#include "platform/platform_settings.hpp"

#include <functional>
#include <map>
#include <memory>

namespace rattan::front {

/** Topic of the entry hosts. */
inline const std::string MEMBERS_TOPIC = "keyed.members";
/** Topic of the claims alone: any other record would fail one under way. */
inline const std::string CLAIMS_TOPIC = "keyed.claims";

/**
 * Follows claims and members in the store, hears the owner directly, and
 * claims when the owner is silent. A claim is an append at the very end of
 * the topic that its sender has read, so of two at once one succeeds.
 */
class member_service {
public:
    /** What the rest of the process is told. */
    struct callbacks {
        std::function<void(std::int64_t epoch)> owned; ///< By this process.
        std::function<void()> lost; ///< Another process has claimed.
        std::function<void(mono_time)> confirmed; ///< Nobody else by then.
        std::function<void()> members_changed;
    };

    member_service(event_loop& loop, platform::store_client& store,
                   const platform::platform_settings& settings,
                   std::string own_address, std::int64_t life, callbacks call);

    void start();
    /** Gives ownership away, if held, and claims no more. */
    void leave();
    /** Gives up an ownership that a target's fence has shown to be over. */
    void deposed();

    [[nodiscard]] bool ready() const { return claims_.loaded(); }
    [[nodiscard]] bool owns() const { return owns_; }
    [[nodiscard]] const dispatch::owner_record& owner() const { return owner_; }
    /** The store has answered a call of this process. */
    void store_answered();
    /** The store has not answered for longer than is usual now. */
    [[nodiscard]] bool store_silent() const;
    /** Time since the store last answered. */
    [[nodiscard]] millis store_age() const;
    /** Time since the owner was last heard. */
    [[nodiscard]] millis owner_age() const;
    /** All entry hosts by name. */
    [[nodiscard]] const std::map<host_id, dispatch::member_record>&
    members() const {
        return known_;
    }
    /** Hosts that can store a record for this one: the owner first. */
    [[nodiscard]] std::vector<std::string> helpers() const;
    /** A client for calls to another entry host. */
    rpc_client& peer(const std::string& address);

    /** The answer to another host's beat. */
    [[nodiscard]] std::string answer_beat() const;

private:
    void take_member(const platform::keyed_record& record);
    void take_claim(const platform::keyed_record& record);
    void take_owner(const dispatch::owner_record& owner);
    void announce();
    void beat();
    void beat_answered(const rpc_call_result& answer);
    /** Beats to the owner on a new connection. */
    void ask_owner_anew();
    /** Asks the store for any answer, when none came for long. */
    void probe_store();
    /** Asks other hosts whether they reach the store. */
    void ping_peers();
    void take_peer_beat(const std::string& address,
                        const rpc_call_result& answer);
    void consider_claim();
    void claim();
    /** Hosts that claim before this one. */
    [[nodiscard]] std::int64_t rank() const;
    /** Processor time of the strongest host, in thousandths of a core. */
    [[nodiscard]] std::int64_t strongest() const;
    /** Longest time lately between answers of the store. */
    [[nodiscard]] millis worst_gap() const;

    /** Another host, as last heard. */
    struct peer_state {
        mono_time heard{};
        millis store_age{0}; ///< As it said then.
        bool asked = false;  ///< A beat is under way.
    };

    event_loop& loop_;
    platform::store_client& store_;
    platform::platform_settings settings_;
    std::string own_address_;
    std::int64_t life_;
    callbacks call_;
    topic_follower members_;
    topic_follower claims_;
    std::map<host_id, dispatch::member_record> known_;
    std::map<std::string, std::unique_ptr<rpc_client>> peers_;
    dispatch::owner_record owner_;
    mono_time heard_{};    ///< When the owner last answered well.
    bool cut_off_ = false; ///< The owner said that it misses the store.
    mono_time started_{};
    mono_time store_heard_{}; ///< When the store last answered.
    mono_time store_back_{};  ///< When it answered again after a loss.
    millis worst_gap_{0};     ///< Between two answers, lately.
    mono_time worst_gap_at_{};
    bool probing_ = false;
    std::map<std::string, peer_state> peer_states_; ///< By address.
    mono_time changed_at_{}; ///< When the owner last changed.
    int refused_ = 0;        ///< Connections to it in a row.
    bool owns_ = false;
    bool claiming_ = false;
    bool leaving_ = false;
    bool beating_ = false;
};

} // namespace rattan::front
