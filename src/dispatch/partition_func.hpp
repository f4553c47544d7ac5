/** @file Number of partitions that the topic of accepted jobs uses. */
#pragma once

namespace rattan::dispatch {

/**
 * Partitions of the jobs topic, the same on all hosts of a cell.
 *
 * A partition takes one append at a time, and each host appends its own
 * records, so a large cell needs more partitions while the store is slow. Each
 * one costs the owner two reads a second.
 *
 * @param available Partitions that a topic may have, 1 or more.
 * @param writes_per_s Writes that the store takes from all hosts together.
 */
int job_partition_count(int available, double writes_per_s);

} // namespace rattan::dispatch
