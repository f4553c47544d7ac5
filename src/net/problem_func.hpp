/** @file Problem documents (RFC 9457) for everything that is refused. */
#pragma once

#include "net/http_type.hpp"

#include <string>

namespace rattan {

/** Whether a refused request may have had an effect. */
enum class run_state {
    not_run,      ///< It has not run and never will.
    may_have_run, ///< Unknown: it may have run, or may still.
    running,      ///< It has been taken and has not ended.
    done,         ///< It has ended.
};

/** Name of a run state, as callers see it. */
const char* run_state_name(run_state state);

/** One refusal. */
struct problem {
    int status = 400;
    std::string type;   ///< Stable; the last part of a URN.
    std::string detail; ///< For people.
    run_state state = run_state::not_run;
    int retry_after_s = 0;
};

/** The refusal as an answer. */
http_response make_problem(const problem& what);

} // namespace rattan
