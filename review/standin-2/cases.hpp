/** @file The scenarios of the second review. */
#pragma once

#include "deployment.hpp"

namespace review {

/** Exit code of a scenario. */
enum class outcome { held = 0, broken = 1, not_run = 2 };

struct case_options {
    std::string program; ///< Path of `rattan_front`.
    std::filesystem::path record_file;
    bool trouble = true; ///< False: the same without the disruption.
};

/** More ends than a target lists at once, at a change of the owner. */
outcome run_many_ends(const case_options& options);
/** Tasks of a cancelled job on a target that the next owner can't reach. */
outcome run_quota(const case_options& options);
/** A late start reaches the next process of a target that was delisted. */
outcome run_late_start(const case_options& options);
/** A target goes down and up while a job has no other room. */
outcome run_flap(const case_options& options);

} // namespace review
