// Index of this file:
// [SECTION] Registry
// [SECTION] Text format

#include "damaskhill_impl_metrics.hpp"

#include <map>
#include <sstream>

#include <boost/histogram.hpp>

namespace damaskhill {

namespace {

using series_key = std::pair<std::string, std::string>; // name, label
using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using histogram = decltype(boost::histogram::make_histogram(log_axis{}));

// Four buckets per decade from 0.1 ms to 1000 s.
histogram make_histogram() { return boost::histogram::make_histogram(log_axis{28, 1e-4, 1e3}); }

struct histogram_data {
    histogram buckets{make_histogram()};
    double sum{};
    std::uint64_t samples{};
};

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Registry
//-----------------------------------------------------------------------------

struct metrics_registry::implementation {
    std::map<series_key, std::uint64_t> counters;
    std::map<series_key, double> gauges;
    std::map<series_key, histogram_data> histograms;
};

metrics_registry::metrics_registry() : impl_(std::make_unique<implementation>()) {}
metrics_registry::~metrics_registry() = default;

void metrics_registry::add(const count& value) { impl_->counters[{value.name, value.label}] += value.amount; }
void metrics_registry::set(const gauge& value) { impl_->gauges[{value.name, value.label}] = value.value; }

void metrics_registry::add(const observe& value) {
    histogram_data& h = impl_->histograms[{value.name, value.label}];
    h.buckets(value.seconds);
    h.sum += value.seconds;
    ++h.samples;
}

std::uint64_t metrics_registry::counter(std::string_view name, std::string_view label) const {
    const auto found = impl_->counters.find({std::string{name}, std::string{label}});
    return found == impl_->counters.end() ? 0 : found->second;
}

//-----------------------------------------------------------------------------
// [SECTION] Text format
//-----------------------------------------------------------------------------

namespace {

std::string format_labels(const std::string& label, const std::string& extra_label = {}) {
    std::string text = label.empty() ? "" : "kind=\"" + label + "\"";
    if (!extra_label.empty()) text += (text.empty() ? "" : ",") + extra_label;
    return text.empty() ? "" : "{" + text + "}";
}

void write_type(std::ostream& out, std::string& last_name, const std::string& name, const char* type) {
    if (last_name == name) return;
    last_name = name;
    out << "# TYPE damaskhill_" << name << ' ' << type << '\n';
}

void write_histogram(std::ostream& out, const std::string& name, const std::string& label,
                     const histogram_data& h) {
    const auto& axis = h.buckets.axis(0);
    auto cumulative = static_cast<std::uint64_t>(h.buckets.at(-1));
    for (int i = 0; i < axis.size(); ++i) {
        cumulative += static_cast<std::uint64_t>(h.buckets.at(i));
        std::ostringstream bound;
        bound << "le=\"" << axis.bin(i).upper() << '"';
        out << "damaskhill_" << name << "_bucket" << format_labels(label, bound.str()) << ' ' << cumulative
            << '\n';
    }
    out << "damaskhill_" << name << "_bucket" << format_labels(label, "le=\"+Inf\"") << ' ' << h.samples
        << '\n';
    out << "damaskhill_" << name << "_sum" << format_labels(label) << ' ' << h.sum << '\n';
    out << "damaskhill_" << name << "_count" << format_labels(label) << ' ' << h.samples << '\n';
}

} // namespace

std::string metrics_registry::text() const {
    std::ostringstream out;
    std::string last_name;
    for (const auto& [key, value] : impl_->counters) {
        write_type(out, last_name, key.first, "counter");
        out << "damaskhill_" << key.first << format_labels(key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, value] : impl_->gauges) {
        write_type(out, last_name, key.first, "gauge");
        out << "damaskhill_" << key.first << format_labels(key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, value] : impl_->histograms) {
        write_type(out, last_name, key.first, "histogram");
        write_histogram(out, key.first, key.second, value);
    }
    return out.str();
}

} // namespace damaskhill
