/** @file Client of the runners, which execute quick checks. */
#pragma once

#include "rattan/unit_type.hpp"

#include <functional>
#include <string>

namespace rattan {

/** How a check on a runner ended. */
enum class run_result {
    answered, ///< The complete answer with the id of the request arrived.
    not_run,  ///< It was not sent, or the runner refused it as busy.
    unknown,  ///< It may have run.
};

/** The answer of a runner, or why there is none. */
struct run_answer {
    run_result result = run_result::not_run;
    std::string body;
};

/** Interface to the runners, with one implementation per protocol. */
class runner_client {
public:
    using callback = std::function<void(const run_answer&)>;

    virtual ~runner_client() = default;

    /**
     * Runs a check.
     * @param id Returned by the runner with its answer.
     * @param deadline Time from now after which the runner aborts the check.
     */
    virtual void run(const std::string& address, const std::string& id,
                     const std::string& body, millis deadline,
                     callback done) = 0;
};

} // namespace rattan
