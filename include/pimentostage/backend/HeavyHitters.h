#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pimentostage {

/// A key and its count.
struct KeyCount
{
    std::string key_;
    std::uint64_t count_ = 0;
};

/// Counts the most frequent keys of a stream in bounded memory (the Space-Saving sketch).
///
/// A key's count exceeds its true frequency by at most the stream's length divided by the capacity.
class HeavyHitters
{
public:
    /// @param capacity maximum number of keys tracked.
    explicit HeavyHitters(std::size_t capacity)
        : capacity_(capacity)
    { }

    void add(std::string_view key);

    /// @return the length of the stream since the last takeCounts().
    [[nodiscard]] std::uint64_t total() const { return total_; }

    /// Resets the sketch.
    /// @return the tracked keys, most frequent first.
    std::vector<KeyCount> takeCounts();

private:
    const std::size_t capacity_;
    std::uint64_t total_ = 0;
    std::unordered_map<std::string, std::uint64_t> counts_;
};

} // namespace pimentostage
