#include "pimentostage/base/AnswerMemory.h"

namespace pimentostage {

AnswerMemory::~AnswerMemory()
{
    if (memory_)
        memory_->remove(account_, totalBytes_);
}

void AnswerMemory::update(AnswerId id, std::size_t bytes)
{
    std::size_t &recorded = bytes_[id];
    bySize_.erase({ recorded, id });
    bySize_.emplace(bytes, id);
    totalBytes_ = totalBytes_ - recorded + bytes;
    if (memory_) {
        memory_->add(account_, bytes);
        memory_->remove(account_, recorded);
    }
    recorded = bytes;
}

void AnswerMemory::remove(AnswerId id)
{
    const auto found = bytes_.find(id);
    if (found == bytes_.end())
        return;
    totalBytes_ -= found->second;
    if (memory_)
        memory_->remove(account_, found->second);
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
