#include "front/state_reader.hpp"

#include "base/log_func.hpp"
#include "dispatch/owner_base.hpp"
#include "front/owner_service.hpp"
#include "rattan/error_type.hpp"

#include <algorithm>

namespace rattan::front {

using namespace dispatch;
using platform::keyed_record;

namespace {

constexpr size_t KEY_PREFIX_BYTES = 2; ///< Length of `j/`, `c/` and `p/`.
constexpr millis READ_DELAY{250};

} // namespace

state_reader::state_reader(event_loop& loop, platform::store_client& store,
                           int job_partitions, int progress_partitions) {
    const auto follow = [&](const std::string& topic, int partitions,
                            auto on_record) {
        for (int partition = 0; partition < partitions; ++partition)
            followers_.push_back(std::make_unique<topic_follower>(
                loop, store,
                follow_options{.topic = topic,
                               .partition = partition,
                               .read_delay = READ_DELAY},
                on_record, [](const std::set<std::string>&) {}));
    };
    follow(JOBS_TOPIC, job_partitions,
           [this](const keyed_record& record) { handle_job_record(record); });
    follow(
        PROGRESS_TOPIC, progress_partitions,
        [this](const keyed_record& record) { handle_progress_record(record); });
    for (const auto& follower : followers_)
        follower->start();
}

bool state_reader::loaded() const {
    return std::all_of(followers_.begin(), followers_.end(),
                       [](const auto& follower) { return follower->loaded(); });
}

void state_reader::handle_job_record(const keyed_record& record) {
    if (record.key.size() <= KEY_PREFIX_BYTES || record.value.empty())
        return;
    const job_id id{record.key.substr(KEY_PREFIX_BYTES)};
    try {
        if (const auto cancelled = cancelled_job(record.key))
            jobs_[*cancelled].cancelled_by.insert(decode_cancel(record.value));
        else if (record.key == job_key(id) && !jobs_[id].organisation)
            jobs_[id].organisation =
                decode_job_record(record.value).organisation;
    } catch (const decode_error& failure) {
        log_event(log_level::error, "job_unreadable",
                  {{"key", record.key}, {"cause", failure.what()}});
    }
}

void state_reader::handle_progress_record(const keyed_record& record) {
    if (record.key.size() <= KEY_PREFIX_BYTES || record.value.empty())
        return;
    try {
        const auto [stamp, value] = split_progress(record.value);
        stored_job& job = jobs_[{record.key.substr(KEY_PREFIX_BYTES)}];
        if (stamp > job.stamp) {
            job.stamp = stamp;
            job.state = decode_progress_state(value);
        }
    } catch (const decode_error& failure) {
        log_event(log_level::error, "progress_unreadable",
                  {{"key", record.key}, {"cause", failure.what()}});
    }
}

job_state state_reader::state_of(const job_id& id,
                                 const organisation_id& requester) const {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second.organisation ||
        !may_access(requester, *found->second.organisation))
        return job_state::unknown;
    const stored_job& job = found->second;
    const bool cancelled =
        std::any_of(job.cancelled_by.begin(), job.cancelled_by.end(),
                    [&](const organisation_id& by) {
                        return may_access(by, *job.organisation);
                    });
    const bool ended =
        job.state == job_state::completed || job.state == job_state::failed;
    return cancelled && !ended ? job_state::cancelled : job.state;
}

} // namespace rattan::front
