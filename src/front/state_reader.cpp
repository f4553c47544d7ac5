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

constexpr size_t KEY_PREFIX = 2; ///< Of `j/` and the like.
constexpr millis READ_PAUSE{250};

} // namespace

state_reader::state_reader(event_loop& loop, platform::store_client& store,
                           int store_parts) {
    const auto follow = [&](const std::string& topic, int parts, auto take) {
        for (int part = 0; part < std::min(store_parts, parts); ++part)
            followers_.push_back(std::make_unique<topic_follower>(
                loop, store,
                follow_options{
                    .topic = topic, .part = part, .pause = READ_PAUSE},
                take, [](const std::set<std::string>&) {}));
    };
    follow(JOBS_TOPIC, MOST_JOB_PARTS,
           [this](const keyed_record& record) { take_job(record); });
    follow(PROGRESS_TOPIC, MOST_PROGRESS_PARTS,
           [this](const keyed_record& record) { take_progress(record); });
    for (const auto& follower : followers_)
        follower->start();
}

bool state_reader::loaded() const {
    return std::all_of(followers_.begin(), followers_.end(),
                       [](const auto& one) { return one->loaded(); });
}

void state_reader::take_job(const keyed_record& record) {
    if (record.key.size() <= KEY_PREFIX || record.value.empty())
        return;
    known_job& job = known_[{record.key.substr(KEY_PREFIX)}];
    try {
        if (record.key == cancel_key({record.key.substr(KEY_PREFIX)}))
            job.cancelled = true;
        else if (!job.organisation)
            job.organisation = decode_job_record(record.value).organisation;
    } catch (const decode_error& failure) {
        log_event(log_level::error, "job_unreadable",
                  {{"key", record.key}, {"cause", failure.what()}});
    }
}

void state_reader::take_progress(const keyed_record& record) {
    if (record.key.size() <= KEY_PREFIX || record.value.empty())
        return;
    try {
        const auto [stamp, value] = split_progress(record.value);
        known_job& job = known_[{record.key.substr(KEY_PREFIX)}];
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
                                 const organisation_id& asking) const {
    const auto found = known_.find(id);
    if (found == known_.end() || !found->second.organisation ||
        (!found->second.organisation->empty() &&
         *found->second.organisation != asking))
        return job_state::unknown;
    const known_job& job = found->second;
    const bool ended =
        job.state == job_state::completed || job.state == job_state::failed;
    return job.cancelled && !ended ? job_state::cancelled : job.state;
}

} // namespace rattan::front
