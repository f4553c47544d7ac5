/** @file Distributes the owner's calls to targets over several hosts. */
#pragma once

#include "front/member_service.hpp"
#include "net/http_client.hpp"
#include "net/rpc_server.hpp"

#include <map>
#include <string>
#include <vector>

namespace rattan::front {

/**
 * Makes the owner's calls to targets. One host can't make all calls of a large
 * cell, so the calls to a target are forwarded to a host chosen by a hash of
 * the target's address. If that host fails, its calls are made directly for a
 * while. Decisions and fencing stay with the owner.
 */
class delegate_service {
public:
    delegate_service(event_loop& loop, http_client& http,
                     member_service& members, host_id own_host);

    /** Sets the number of targets; if there are few, all calls are direct. */
    void set_target_count(std::size_t count) { target_count_ = count; }

    /** Makes a call, directly or through another host. */
    void call(const http_call& call, http_client::callback done);

    /** Registers the method by which other hosts forward calls to this one. */
    static void register_call_method(rpc_server& server, http_client& http);

private:
    /**
     * Updates the hosts that make calls: those in touch with at least half the
     * cores of the strongest one. This host may be among them.
     */
    void refresh_addresses();

    event_loop& loop_;
    http_client& http_;
    member_service& members_;
    host_id own_host_;
    std::size_t target_count_ = 0;
    /** Hosts that make calls; an empty string stands for this host. */
    std::vector<std::string> addresses_;
    mono_time refreshed_at_{};
    /** When a host that failed is used again, by address. */
    std::map<std::string, mono_time> excluded_until_;
};

} // namespace rattan::front
