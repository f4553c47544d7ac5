/** @file Counters, gauges and latency histograms of one process. */
#pragma once

#include "rattan/unit_type.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace rattan {

/** Histogram with logarithmic buckets from 10 microseconds to 100 seconds. */
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();

    void record(std::int64_t micros);

    /** Upper edge, in microseconds, of the bucket that holds a quantile. */
    [[nodiscard]] double quantile(double fraction) const;

    /** Appends the histogram in the Prometheus text format. */
    void write_text(const std::string& name, std::string& out) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/** Name of a metric with one label, in the Prometheus text format. */
std::string labelled_name(const std::string& name, const std::string& label,
                          const std::string& value);

/** The metrics of a process by name; each is created on first use. */
class metrics_registry {
public:
    std::uint64_t& counter(const std::string& name) { return counters_[name]; }

    double& gauge(const std::string& name) { return gauges_[name]; }

    latency_histogram& histogram(const std::string& name) {
        return histograms_[name];
    }

    /** All metrics, with CPU and memory use, in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

    [[nodiscard]] const std::map<std::string, std::uint64_t>& counters() const {
        return counters_;
    }

private:
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, latency_histogram> histograms_;
};

} // namespace rattan
