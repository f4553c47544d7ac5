/** @file Spreads the owner's calls to targets over the strong hosts. */
#pragma once

#include "front/member_service.hpp"
#include "net/http_client.hpp"
#include "net/rpc_server.hpp"

#include <map>
#include <string>
#include <vector>

namespace rattan::front {

/**
 * One host can't make all calls of a large cell. A target's calls go through
 * one host, chosen by the target's address; a host that fails is left out for
 * a while. The owner decides all the same, under its fence.
 */
class delegate_service {
public:
    delegate_service(event_loop& loop, http_client& http,
                     member_service& members, host_id own);

    /** Sets how many targets there are: few are called from here alone. */
    void set_targets(std::size_t count) { targets_ = count; }

    /** Makes a call; its answer is as from `http_client`. */
    void call(const http_call& call, http_client::callback done);

    /** Answers other hosts' requests to make a call. */
    static void serve(rpc_server& server, http_client& http);

private:
    /** Hosts that share the calls; the own one is among them. */
    void refresh();

    event_loop& loop_;
    http_client& http_;
    member_service& members_;
    host_id own_;
    std::size_t targets_ = 0;
    std::vector<std::string> addresses_; ///< Empty: this host.
    mono_time refreshed_{};
    std::map<std::string, mono_time> resting_; ///< Failed: unused until then.
};

} // namespace rattan::front
