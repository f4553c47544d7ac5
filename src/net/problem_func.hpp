/** @file Problem documents (RFC 9457) for refused requests. */
#pragma once

#include "net/http_type.hpp"

#include <string>

namespace rattan {

/** Whether a refused request may have had an effect. */
enum class run_state {
    not_run,      ///< It has not run and never will.
    may_have_run, ///< Unknown: it may have run or may still run.
    running,      ///< It was accepted and has not ended.
    done,         ///< It has ended.
};

/** Value of a run state in the `run_state` field of an answer. */
const char* run_state_name(run_state state);

/** Content of a problem document. */
struct problem {
    int status = 400;
    std::string type;   ///< Last part of the URN; stable, for programs.
    std::string detail; ///< Explanation for people.
    run_state state = run_state::not_run;
    int retry_after_s = 0;
};

/** Builds the HTTP response that carries a problem document. */
http_response make_problem(const problem& content);

} // namespace rattan
