#pragma once

#include "pimentostage/base/Log.h"

#include <algorithm>
#include <string>
#include <vector>

namespace pimentostage {

/// A log sink that keeps all lines.
class RecordingLog : public LogSink
{
public:
    void write(const LogLine &line) override { lines_.push_back(line.json()); }

    /// @return the number of lines that contain all of @p texts.
    [[nodiscard]] std::size_t count(const std::vector<std::string> &texts) const
    {
        const auto holdsAll = [&](const std::string &line) {
            return std::all_of(texts.begin(), texts.end(), [&](const std::string &text) {
                return line.find(text) != std::string::npos;
            });
        };
        return static_cast<std::size_t>(std::count_if(lines_.begin(), lines_.end(), holdsAll));
    }

    std::vector<std::string> lines_;
};

} // namespace pimentostage
