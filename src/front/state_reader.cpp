#include "front/state_reader.hpp"

#include "base/log_func.hpp"
#include "dispatch/owner_base.hpp"
#include "front/owner_service.hpp"
#include "rattan/error_type.hpp"

namespace rattan::front {

using namespace dispatch;
using platform::keyed_record;

namespace {

constexpr size_t KEY_PREFIX = 2; ///< Of `j/` and the like.
constexpr millis READ_PAUSE{250};

} // namespace

state_reader::state_reader(event_loop& loop, platform::store_client& store)
    : jobs_(
          loop, store, {.topic = JOBS_TOPIC, .pause = READ_PAUSE},
          [this](const keyed_record& record) { take_job(record); },
          [](const std::set<std::string>&) {}),
      progress_(
          loop, store, {.topic = PROGRESS_TOPIC, .pause = READ_PAUSE},
          [this](const keyed_record& record) { take_progress(record); },
          [](const std::set<std::string>&) {}) {
    jobs_.start();
    progress_.start();
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
        known_[{record.key.substr(KEY_PREFIX)}].state =
            decode_progress_state(record.value);
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
