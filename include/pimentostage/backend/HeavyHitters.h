#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pimentostage {

/// A key and how often it was counted.
struct KeyCount
{
    std::string key_;
    std::uint64_t count_ = 0;
};

/// Counts the most frequent keys of a stream in bounded memory (the Space-Saving sketch).
///
/// A key's count is at most too high by the stream's length divided by the capacity.
class HeavyHitters
{
public:
    /// @param capacity keys kept.
    explicit HeavyHitters(std::size_t capacity)
        : capacity_(capacity)
    { }

    void add(std::string_view key);

    /// @return the length of the stream since the last take().
    [[nodiscard]] std::uint64_t total() const { return total_; }

    /// @return the keys kept, the most frequent first; starts anew.
    std::vector<KeyCount> take();

private:
    const std::size_t capacity_;
    std::uint64_t total_ = 0;
    std::unordered_map<std::string, std::uint64_t> counts_;
};

} // namespace pimentostage
