#include "pimentostage/backend/RefusalMemory.h"

namespace pimentostage {

void RefusalMemory::onRefused(std::uint64_t id, TimePoint notBefore, TimePoint now)
{
    while (!ids_.empty() && (ids_.size() >= kMaxRequests || notBefore_.at(ids_.front()) <= now)) {
        notBefore_.erase(ids_.front());
        ids_.pop_front();
    }
    if (notBefore_.insert_or_assign(id, notBefore).second)
        ids_.push_back(id);
}

std::optional<TimePoint> RefusalMemory::notBefore(std::uint64_t id, TimePoint now) const
{
    const auto found = notBefore_.find(id);
    const bool isEarly = found != notBefore_.end() && now < found->second;
    return isEarly ? std::optional(found->second) : std::nullopt;
}

} // namespace pimentostage
