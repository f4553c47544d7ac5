/** @file Quick checks to runners. */
#pragma once

#include "rattan/unit_type.hpp"

#include <functional>
#include <string>

namespace rattan {

/** What became of a check on a runner. */
enum class run_result {
    answered, ///< The whole answer to this very request came.
    not_run,  ///< Provably never started: not sent, or refused as busy.
    unknown,  ///< It may have run.
};

/** The answer of a runner. */
struct run_answer {
    run_result result = run_result::not_run;
    std::string body;
};

/** The runners' service; one implementation for each wire form of it. */
class runner_client {
public:
    using callback = std::function<void(const run_answer&)>;

    virtual ~runner_client() = default;

    /**
     * Runs a check.
     * @param id Repeated by the runner with its answer.
     * @param deadline The runner gives up after this.
     */
    virtual void run(const std::string& address, const std::string& id,
                     const std::string& body, millis deadline,
                     callback done) = 0;
};

} // namespace rattan
