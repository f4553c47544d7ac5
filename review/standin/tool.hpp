/** @file Programs of the review: a store, a runner and the cases. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace review {

using arguments = std::vector<std::string>;

/** The platform's store and advice service: ADDRESS ADVICE ADMIN. */
int run_store(const arguments& args);
/** A runner: ID ADDRESS ADMIN_OF_THE_STORE CPU ZONE. */
int run_runner(const arguments& args);
/** Plays a case: NAME RECORD_FILE. Exit status as of `run.sh`. */
int run_case(const arguments& args);

/** Steady time in ms; the same for all processes of this machine. */
std::int64_t steady_ms();

} // namespace review
