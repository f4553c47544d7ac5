/** @file Membership of the entry hosts and election of the cell's owner. */
#pragma once

#include "dispatch/claim_func.hpp"
#include "dispatch/contact_table.hpp"
#include "dispatch/record_codec.hpp"
#include "dispatch/state_share.hpp"
#include "front/topic_follower.hpp"
#include "net/rpc_client.hpp"
#include "platform/platform_settings.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace rattan::front {

/** Topic in which the entry hosts register. */
inline const std::string MEMBERS_TOPIC = "keyed.members";
/**
 * Topic of ownership claims. It holds nothing else: a claim is a conditional
 * append that fails when any other record was appended meanwhile.
 */
inline const std::string CLAIMS_TOPIC = "keyed.claims";

/** The owner's reply on what this host may accept. */
struct received_grant {
    dispatch::state_grant share;
    bool announce = false;      ///< Whether to announce all jobs.
    bool loading = false;       ///< The owner does not serve yet: no new share.
    std::size_t used_bytes = 0; ///< State of all jobs of the cell.
};

/**
 * Follows claims and members in the store, sends heartbeats to the owner and
 * claims ownership when the owner does not answer. A claim is appended on the
 * condition that the topic still ends at the offset that this host has read,
 * so of two concurrent claims only one succeeds.
 */
class member_service {
public:
    /** Callbacks to the rest of the process. */
    struct callbacks {
        /** This process owns the cell from now on. */
        std::function<void(std::int64_t epoch)> ownership_gained;
        /**
         * This process is about to resign and sends no more orders.
         * @return What the next owner has to know.
         */
        std::function<std::optional<dispatch::lease_handover>()> resigning;
        /** This process does not own the cell any more. */
        std::function<void()> ownership_lost;
        /** The store has shown that nobody else had claimed by that time. */
        std::function<void(mono_time)> ownership_confirmed;
        /**
         * The owner has sent expected waits, in reply to a heartbeat that was
         * sent at the given time.
         */
        std::function<void(const std::string& waits, mono_time sent_at)>
            waits_received;
        /**
         * The owner has replied to a heartbeat that was sent at the given time.
         * Owners of earlier versions send no grant.
         */
        std::function<void(const std::optional<received_grant>& grant,
                           mono_time sent_at)>
            grant_received;
        /** The result of `members_in_touch` has changed. */
        std::function<void()> members_changed;
    };

    member_service(event_loop& loop, platform::store_client& store,
                   const platform::platform_settings& settings,
                   std::string own_address, std::int64_t incarnation,
                   callbacks handlers);

    /** Sets the limits of calls to other hosts. @pre There were none. */
    void set_peer_limits(const rpc_limits& limits) { peer_limits_ = limits; }

    void start();
    /**
     * Removes the record of this host, releases ownership, if held, and makes
     * no more claims.
     */
    void leave();
    /** Ends the ownership after the store or a target has fenced it. */
    void handle_fenced();

    /** Tells whether the claims in the store have been read. */
    [[nodiscard]] bool ready() const { return claim_follower_.loaded(); }
    [[nodiscard]] bool is_owner() const { return is_owner_; }
    [[nodiscard]] const dispatch::owner_record& owner() const { return owner_; }
    /** Notes that the store has answered a call of this process. */
    void store_answered();
    /** Tells whether the store has not answered for unusually long. */
    [[nodiscard]] bool store_unresponsive() const;
    /** Time since the store last answered. */
    [[nodiscard]] millis store_age() const;
    /**
     * Time since the last reply of an owner that reached the store; 0 if this
     * host is the owner.
     */
    [[nodiscard]] millis owner_age() const;
    /**
     * Time since the owner last replied, whether or not it reached the store;
     * 0 if this host is the owner.
     */
    [[nodiscard]] millis owner_reply_age() const;
    /**
     * All registered entry hosts. Some may have been removed for good a short
     * time ago.
     */
    [[nodiscard]] const std::map<host_id, dispatch::member_record>&
    members() const {
        return member_records_;
    }
    /**
     * Registered hosts that have sent a heartbeat to this owner recently, and
     * this host.
     */
    [[nodiscard]] std::map<host_id, dispatch::member_record>
    members_in_touch() const;
    /** What an owner stated when it resigned, and when this was read. */
    struct received_handover {
        dispatch::lease_handover leases;
        mono_time received_at{};
    };
    /** From the last owner, if this host is the next one. */
    [[nodiscard]] const std::optional<received_handover>& handover() const {
        return handover_;
    }
    /** Handles a heartbeat of another host. */
    void handle_heartbeat(const host_id& host);
    /**
     * Addresses of hosts that can write for this one: the owner first, then
     * hosts of other data centres, then hosts of this data centre.
     */
    [[nodiscard]] std::vector<std::string> write_peers() const;
    /** Client for calls to another entry host. */
    rpc_client& peer(const std::string& address);

    /**
     * Encodes the reply to another host's heartbeat.
     * @param waits Expected waits of new jobs, encoded; empty: none.
     * @param grant What that host may accept, if this host is the owner.
     */
    [[nodiscard]] std::string
    encode_heartbeat_reply(const std::string& waits,
                           const std::optional<received_grant>& grant) const;

private:
    void handle_member_record(const platform::keyed_record& record);
    /** Drops hosts whose records are not in the loaded snapshot. */
    void handle_members_loaded(const std::set<std::string>& keys);
    void drop_member(const host_id& host);
    void handle_claim_record(const platform::keyed_record& record);
    void handle_owner_change(const dispatch::owner_record& owner);
    /** Registers this host in the store. */
    void register_host();
    /** Reports a change of the hosts that are in touch. */
    void update_contacts();
    /** As the owner, removes the records of hosts that are gone. */
    void remove_gone_members();
    /** Sends a heartbeat to the owner. */
    void send_heartbeat();
    void handle_heartbeat_reply(const rpc_call_result& answer,
                                mono_time sent_at);
    /** Sends a heartbeat to the owner on a new connection. */
    void reconnect_to_owner();
    /** Checks with a short read whether the store answers. */
    void probe_store();
    /** Asks hosts other than the owner whether they reach the store. */
    void send_peer_heartbeats();
    void handle_peer_reply(const std::string& address,
                           const rpc_call_result& answer);
    void claim_if_due();
    void append_claim();
    /** Records that the cell has no owner. */
    void append_resignation(std::optional<dispatch::lease_handover> leases);
    /** Number of hosts that claim before this one. */
    [[nodiscard]] std::int64_t claim_rank() const;
    /**
     * Tells whether another host should claim: this one is much weaker than the
     * strongest, or the jobs of the cell exceed its memory for them.
     */
    [[nodiscard]] bool low_capacity() const;
    /** CPU capacity of the strongest host. */
    [[nodiscard]] std::int64_t max_milli_cores() const;
    /** Longest recent time between two answers of the store. */
    [[nodiscard]] millis max_store_gap() const;

    /** Last heartbeat reply of another host. */
    struct peer_state {
        mono_time answered_at{};
        millis store_age{0};  ///< Since the store's answer to that host.
        mono_time asked_at{}; ///< Last request of `send_peer_heartbeats`.
        bool request_pending = false;
        bool unanswered = false; ///< That request has no answer so far.
    };

    event_loop& loop_;
    platform::store_client& store_;
    platform::platform_settings settings_;
    std::string own_address_;
    std::int64_t incarnation_;
    callbacks callbacks_;
    topic_follower member_follower_;
    topic_follower claim_follower_;
    std::map<host_id, dispatch::member_record> member_records_;
    dispatch::contact_table contacts_; ///< While this host is the owner.
    std::set<host_id> hosts_in_touch_; ///< As of the last callback.
    rpc_limits peer_limits_;
    std::map<std::string, std::unique_ptr<rpc_client>> peers_;
    dispatch::owner_record owner_;
    std::optional<received_handover> handover_;
    mono_time owner_answered_at_{}; ///< Last reply of an owner with the store.
    mono_time owner_replied_at_{};
    bool owner_lost_store_ = false;    ///< According to its last reply.
    std::size_t cell_state_bytes_ = 0; ///< Of all jobs, by its last reply.
    mono_time started_{};
    mono_time store_answered_at_{};
    mono_time store_recovered_at_{}; ///< First answer after an outage.
    millis max_store_gap_{0};        ///< Between two answers of the store.
    mono_time max_store_gap_at_{};
    bool probe_pending_ = false;
    std::map<std::string, peer_state> peer_states_; ///< By address.
    mono_time owner_changed_at_{};
    int refused_connections_ = 0; ///< To the owner, in a row.
    bool is_owner_ = false;
    bool claim_pending_ = false;
    bool registration_pending_ = false;
    bool contacts_update_scheduled_ = false;
    bool removal_pending_ = false; ///< Of the records of hosts that are gone.
    bool leaving_ = false;
    bool heartbeat_pending_ = false;
};

} // namespace rattan::front
