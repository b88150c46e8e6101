// Counters, gauges and histograms, exported in the Prometheus text format.
//
// Index of this file:
// [SECTION] Registry

#pragma once

#include "damaskhill_events.hpp"

#include <memory>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Registry
//-----------------------------------------------------------------------------

class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    metrics_registry(metrics_registry&&) = delete;
    metrics_registry& operator=(metrics_registry&&) = delete;

    void add(const count& value);
    void set(const gauge& value);
    void add(const observe& value);
    [[nodiscard]] std::uint64_t counter(std::string_view name, std::string_view label) const;
    /// All metrics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace damaskhill
