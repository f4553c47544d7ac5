/** @file One process an entry host: callers' requests and, perhaps, the cell.
 */
#pragma once

#include "base/metrics_base.hpp"
#include "dispatch/route_type.hpp"
#include "front/member_service.hpp"
#include "front/owner_service.hpp"
#include "front/record_writer.hpp"
#include "front/state_reader.hpp"
#include "front/topic_follower.hpp"
#include "net/http_server.hpp"
#include "net/rpc_server.hpp"
#include "platform/platform_settings.hpp"

#include <memory>
#include <set>
#include <string>

namespace rattan::front {

/** An answer without a body; 503 and 429 say when to come back. */
http_response refusal(int status);

/** Serves callers, answers other hosts, and owns the cell when it has to. */
class front_service {
public:
    front_service(event_loop& loop,
                  const platform::platform_settings& settings);

    void start();
    /** Begins to leave: no new callers, then the end of the loop. */
    void leave();
    void log_dump() const;

private:
    /** A caller's request, with what its path and key have told. */
    struct call {
        http_request request;
        http_server::responder answer;
        dispatch::queue_config queue;
        dispatch::organisation_id organisation;
        job_id job;
        mono_time arrived{};
        std::string key;                ///< Of the record to be written.
        std::string value;              ///< Of that record.
        std::vector<std::string> tried; ///< Hosts that were asked to write.
        int writing = 0;                ///< Tries under way.
        bool unclear = false;           ///< A try may have had its effect.
        bool answered = false;
    };

    void on_caller(const http_request& request,
                   const http_server::responder& answer);
    void submit(const std::shared_ptr<call>& call);
    void show(const std::shared_ptr<call>& call);
    void show_stored(const std::shared_ptr<call>& call);
    void cancel(const std::shared_ptr<call>& call);
    void count_waiting(const std::shared_ptr<call>& call);
    /** Writes a caller's record here or, in need, through another host. */
    void write(const std::shared_ptr<call>& call, const std::string& key,
               const std::string& value);
    /** Asks the next host that can. @return False when there is none. */
    bool write_elsewhere(const std::shared_ptr<call>& call);
    /** Asks other hosts besides, while no answer comes. */
    void hedge(const std::shared_ptr<call>& call);
    /** Passes a stored record on: the store shows it later. */
    void tell_owner(const call& caller);
    void write_ended(const std::shared_ptr<call>& call, write_result result);
    void reply_write(const std::shared_ptr<call>& call, write_result result);
    /** Sends callers elsewhere while this host can store nothing. */
    void shed_callers();
    /** Starts and ends reading states from the store as needed. */
    void watch_owner();
    void reply_state(const std::shared_ptr<call>& call,
                     dispatch::job_state state);

    void take_operator_record(const platform::keyed_record& record);
    void operator_records_loaded(const std::set<std::string>& keys);
    void serve_peers();
    [[nodiscard]] bool ready() const;
    /** Tells whether this host can have a record stored. */
    [[nodiscard]] bool connected() const;

    event_loop& loop_;
    platform::platform_settings settings_;
    std::int64_t life_;
    metrics_registry metrics_;
    http_client http_;       ///< For targets and the advice service.
    http_client store_http_; ///< For the store: many reads wait there.
    platform::store_client store_;
    std::string rpc_address_;
    member_service members_;
    delegate_service delegates_;
    topic_follower operator_;
    writer_group writer_;
    dispatch::cell_config config_;
    std::set<data_centre_id> evacuated_;
    std::unique_ptr<owner_service> owner_;
    std::unique_ptr<state_reader> states_; ///< While the owner is silent.
    std::unique_ptr<rpc_server> rpc_;
    std::unique_ptr<http_server> callers_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> metrics_page_;
    mono_time connected_at_{}; ///< When it could last store a record.
    bool leaving_ = false;
};

} // namespace rattan::front
