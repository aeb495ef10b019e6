#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Error.h"
#include "pimentostage/platform/ObjectStore.h"

#include <optional>
#include <string>

namespace pimentostage {

/// Outcome of an operator's change.
enum class ChangeOutcome { Written, Unchanged, Conflict, NotWritten, Unknown };

template <>
struct EnumTable<ChangeOutcome>
{
    static constexpr std::array kRows {
        EnumName<ChangeOutcome> { ChangeOutcome::Written, "written" },
        EnumName<ChangeOutcome> { ChangeOutcome::Unchanged, "unchanged" },
        EnumName<ChangeOutcome> { ChangeOutcome::Conflict, "conflict" },
        EnumName<ChangeOutcome> { ChangeOutcome::NotWritten, "not-written" },
        EnumName<ChangeOutcome> { ChangeOutcome::Unknown, "unknown" },
    };
};

/// Outcome of a change, as far as the store's replies show it.
struct ChangeReport
{
    ChangeOutcome outcome_ = ChangeOutcome::Unknown;
    Version expected_; ///< the version that the change is based on
    Version current_; ///< the version now in the store, if known
    std::string detail_;
};

/// Writes operators' changes with conditional updates; never silently overwrites a concurrent one.
///
/// The calls block until the store replies; for command line tools and tests, not for daemons.
class ConfigEditor
{
public:
    /// @param store must call back on another thread or before the call returns.
    /// @param changeId unique id of this invocation; stored in the objects that it writes.
    ConfigEditor(ObjectStore &store, std::string changeId);

    /// Writes @p value as the new version of @p ref.
    /// @param expected version to replace; empty for the current one.
    /// @return the outcome; Written only if the store holds the change.
    leaf::result<ChangeReport> apply(const ObjectRef &ref, const std::string &value,
                                     std::optional<Version> expected = std::nullopt);

    /// Deletes @p ref.
    /// @param expected version to delete; empty for the current one.
    leaf::result<ChangeReport> remove(const ObjectRef &ref,
                                      std::optional<Version> expected = std::nullopt);

    /// Reads @p ref. If it does not exist, deleted_ is set in the result.
    leaf::result<StoredObject> get(const ObjectRef &ref);

    /// Reads all objects.
    leaf::result<StoreListing> list();

    /// @return whether two values are equal apart from their change ids.
    static bool isSameValue(const std::string &a, const std::string &b);

private:
    struct Change
    {
        ObjectRef ref_;
        std::string value_; ///< includes the change id; empty for a deletion
        bool deletes_ = false;
        Version expected_;
    };

    leaf::result<ChangeReport> write(const Change &change);
    leaf::result<ChangeReport> determineOutcome(const Change &change, const Error &error);
    [[nodiscard]] bool isOwnChange(const Change &change, const StoredObject &current) const;

    ObjectStore &store_;
    const std::string changeId_;
};

} // namespace pimentostage
