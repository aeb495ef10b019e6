#include "pimentostage/base/AnswerMemory.h"

namespace pimentostage {

void AnswerMemory::update(AnswerId id, std::size_t bytes)
{
    std::size_t &recorded = bytes_[id];
    bySize_.erase({ recorded, id });
    bySize_.emplace(bytes, id);
    totalBytes_ = totalBytes_ - recorded + bytes;
    recorded = bytes;
}

void AnswerMemory::remove(AnswerId id)
{
    const auto found = bytes_.find(id);
    if (found == bytes_.end())
        return;
    totalBytes_ -= found->second;
    bySize_.erase({ found->second, id });
    bytes_.erase(found);
}

// An ordinary answer is small and soon complete, so the largest is the least likely to be one.
std::optional<AnswerMemory::AnswerId> AnswerMemory::answerToGiveUp() const
{
    if (totalBytes_ <= maxBytes_ || bySize_.empty())
        return std::nullopt;
    return bySize_.rbegin()->second;
}

std::size_t AnswerMemory::bytesOf(AnswerId id) const
{
    const auto found = bytes_.find(id);
    return found == bytes_.end() ? 0 : found->second;
}

} // namespace pimentostage
