#include "pimentostage/backend/HeavyHitters.h"

#include <algorithm>

namespace pimentostage {

void HeavyHitters::add(std::string_view key)
{
    ++total_;
    const auto found = counts_.find(std::string(key));
    if (found != counts_.end()) {
        ++found->second;
        return;
    }
    std::uint64_t inherited = 0;
    if (counts_.size() >= capacity_) {
        const auto rarest
            = std::min_element(counts_.begin(), counts_.end(),
                               [](const auto &a, const auto &b) { return a.second < b.second; });
        inherited = rarest->second;
        counts_.erase(rarest);
    }
    counts_.emplace(key, inherited + 1);
}

std::vector<KeyCount> HeavyHitters::takeCounts()
{
    std::vector<KeyCount> keys;
    keys.reserve(counts_.size());
    for (const auto &[key, count] : counts_)
        keys.push_back({ key, count });
    std::sort(keys.begin(), keys.end(),
              [](const KeyCount &a, const KeyCount &b) { return a.count_ > b.count_; });
    counts_.clear();
    total_ = 0;
    return keys;
}

} // namespace pimentostage
