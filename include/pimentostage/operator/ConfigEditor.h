#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Error.h"
#include "pimentostage/platform/ObjectStore.h"

#include <optional>
#include <string>

namespace pimentostage {

/// What became of an operator's change.
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

/// The truth about a change, as far as the store's answers tell it.
struct ChangeReport
{
    ChangeOutcome outcome_ = ChangeOutcome::Unknown;
    Version expected_; ///< the version that the change was made against
    Version current_; ///< the version in the store now, if it is known
    std::string detail_;
};

/// Writes operators' changes with conditional updates; never overwrites another's silently.
///
/// Waits for the store; for command lines and tests, not for daemons.
class ConfigEditor
{
public:
    /// @param store must call back on another thread or at once.
    /// @param changeId unique id of this invocation; marks the objects it writes.
    ConfigEditor(ObjectStore &store, std::string changeId);

    /// Writes @p value as the new version of @p ref.
    /// @param expected version to replace; empty for the one in the store now.
    /// @return what became of it; never Written unless the store holds the change.
    leaf::result<ChangeReport> apply(const ObjectRef &ref, const std::string &value,
                                     std::optional<Version> expected = std::nullopt);

    /// Deletes @p ref.
    leaf::result<ChangeReport> remove(const ObjectRef &ref,
                                      std::optional<Version> expected = std::nullopt);

    /// Reads @p ref; deleted_ is set if it does not exist.
    leaf::result<StoredObject> get(const ObjectRef &ref);

    /// Reads all objects.
    leaf::result<StoreListing> list();

    /// @return whether two values are the same but for their change ids.
    static bool isSameValue(const std::string &a, const std::string &b);

private:
    struct Change
    {
        ObjectRef ref_;
        std::string value_; ///< with the change id; empty if the change deletes
        bool deletes_ = false;
        Version expected_;
    };

    leaf::result<ChangeReport> write(const Change &change);
    leaf::result<ChangeReport> findOut(const Change &change, const Error &error);
    [[nodiscard]] bool isOurs(const Change &change, const StoredObject &current) const;

    ObjectStore &store_;
    const std::string changeId_;
};

} // namespace pimentostage
