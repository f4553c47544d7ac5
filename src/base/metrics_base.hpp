/** @file Counters and latency histograms of one process. */
#pragma once

#include "rattan/unit_type.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace rattan {

/** Latencies in logarithmic buckets from 10 microseconds to 100 seconds. */
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();

    /** Counts one latency in microseconds. */
    void record(std::int64_t micros);

    /** Upper edge in microseconds of the bucket that holds a quantile. */
    [[nodiscard]] double quantile(double fraction) const;

    /** Appends the buckets in the Prometheus text format. */
    void write_text(const std::string& name, std::string& out) const;

private:
    struct body;
    std::unique_ptr<body> body_;
};

/** All counters, gauges and histograms of a process, by name. */
class metrics_registry {
public:
    /** A counter that only grows; made at its first use. */
    std::uint64_t& counter(const std::string& name) { return counters_[name]; }

    /** A gauge; made at its first use. */
    double& gauge(const std::string& name) { return gauges_[name]; }

    /** A histogram; made at its first use. */
    latency_histogram& histogram(const std::string& name) {
        return histograms_[name];
    }

    /** Everything in the Prometheus text format, with process figures. */
    [[nodiscard]] std::string text() const;

    /** All counters, for dumps. */
    [[nodiscard]] const std::map<std::string, std::uint64_t>& counters() const {
        return counters_;
    }

private:
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, latency_histogram> histograms_;
};

} // namespace rattan
