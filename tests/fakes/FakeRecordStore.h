#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/platform/Generation.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/StoreFaults.h"

#include <functional>
#include <optional>
#include <utility>

namespace pimentostage {

/// Fake of one versioned record in the platform's store, with outages, delays and lost replies.
template <typename Record>
class FakeRecordStore
{
public:
    explicit FakeRecordStore(EventQueue &events)
        : events_(events)
    { }

    StoreFaults faults_;
    std::optional<Record> record_;
    Version version_; ///< of revision zero while there is no record

    /// Takes a copy of the content.
    void takeCopy() { copy_ = std::make_pair(record_, version_); }
    /// Restores the content from the last copy; its revisions are given out again.
    void restore()
    {
        const Generation next = generationOf(version_).next();
        record_ = copy_.first;
        version_ = makeVersion(next, revisionOf(copy_.second));
    }

    using OnRead = std::function<void(std::optional<std::pair<std::optional<Record>, Version>>)>;

    /// @param done called with nullopt if the read failed.
    void read(OnRead done)
    {
        const Duration delay = faults_.delay_;
        events_.after(delay, [this, done, delay] {
            if (faults_.down_) {
                events_.after(delay, [done] { done(std::nullopt); });
                return;
            }
            const auto value = std::make_pair(record_, version_);
            events_.after(delay, [done, value] { done(value); });
        });
    }

    /// Outcome of a write, as reported to the writer.
    enum class WriteOutcome { Written, Conflict, Failed };
    using OnWrite = std::function<void(WriteOutcome, Version, std::optional<Record>)>;

    void write(const Record &record, Version expected, OnWrite done)
    {
        const Duration delay = faults_.delay_;
        events_.after(delay, [this, record, expected, done, delay] {
            WriteOutcome outcome = WriteOutcome::Written;
            if (faults_.down_) {
                outcome = WriteOutcome::Failed;
            } else if (expected != version_) {
                outcome = WriteOutcome::Conflict;
            } else {
                record_ = record;
                version_ = version_.next();
                if (faults_.losesAnswers_)
                    outcome = WriteOutcome::Failed;
            }
            const auto value = std::make_pair(record_, version_);
            events_.after(delay,
                          [done, outcome, value] { done(outcome, value.second, value.first); });
        });
    }

private:
    EventQueue &events_;
    std::pair<std::optional<Record>, Version> copy_;
};

} // namespace pimentostage
