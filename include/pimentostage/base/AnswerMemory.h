#pragma once

#include "pimentostage/base/MemoryBudget.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace pimentostage {

/// Decides which unfinished answers to give up so that all of them together stay below a limit.
/// Used on one thread.
class AnswerMemory
{
public:
    using AnswerId = std::uint64_t;

    /// @param maxBytes limit of the memory that all unfinished answers occupy together.
    /// @param memory if set, where the bytes are counted, in @p account.
    explicit AnswerMemory(std::size_t maxBytes, std::shared_ptr<MemoryBudget> memory = nullptr,
                          MemoryAccount account = MemoryAccount::BackendAnswers)
        : maxBytes_(maxBytes)
        , memory_(std::move(memory))
        , account_(account)
    { }
    ~AnswerMemory();

    AnswerMemory(const AnswerMemory &) = delete;
    AnswerMemory &operator=(const AnswerMemory &) = delete;

    /// Records that the unfinished answer @p id now occupies @p bytes.
    void update(AnswerId id, std::size_t bytes);
    /// Forgets the answer @p id, which is complete or given up, if it was recorded.
    void remove(AnswerId id);

    /// @return the answer to give up next, or std::nullopt while the limit is kept: the largest,
    ///         and of equal ones that with the highest id.
    [[nodiscard]] std::optional<AnswerId> answerToGiveUp() const;

    /// @return the memory that the answer @p id occupies, 0 if it is not recorded.
    [[nodiscard]] std::size_t bytesOf(AnswerId id) const;
    [[nodiscard]] std::size_t totalBytes() const { return totalBytes_; }
    [[nodiscard]] std::size_t maxBytes() const { return maxBytes_; }

private:
    const std::size_t maxBytes_;
    const std::shared_ptr<MemoryBudget> memory_;
    const MemoryAccount account_;
    std::size_t totalBytes_ = 0;
    std::unordered_map<AnswerId, std::size_t> bytes_;
    std::set<std::pair<std::size_t, AnswerId>> bySize_;
};

} // namespace pimentostage
