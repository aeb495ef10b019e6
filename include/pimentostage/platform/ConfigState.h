#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/platform/Configuration.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimentostage {

/// What became of an object version offered to ConfigState.
enum class ApplyResult { Applied, Unchanged, Older, Rejected };

template <>
struct EnumTable<ApplyResult>
{
    static constexpr std::array kRows {
        EnumName<ApplyResult> { ApplyResult::Applied, "applied" },
        EnumName<ApplyResult> { ApplyResult::Unchanged, "unchanged" },
        EnumName<ApplyResult> { ApplyResult::Older, "older" },
        EnumName<ApplyResult> { ApplyResult::Rejected, "rejected" },
    };
};

/// The newest valid version of each object this host knows.
///
/// Versions come from the store directly or through siblings, in any order. An object never goes
/// back to an older version, and a version that does not parse never replaces one in force.
class ConfigState
{
public:
    /// @param confirmed kinds that the store's confirmations are about; empty for all.
    explicit ConfigState(std::set<ObjectKind> confirmed = {});

    /// Offers one version of an object, as the store told it.
    /// @param error receives the reason if the result is Rejected.
    ApplyResult apply(const StoredObject &object, std::string *error = nullptr);

    /// As apply(), for an object that a sibling sent.
    ApplyResult applyFromSibling(const StoredObject &object, std::string *error = nullptr);

    /// Offers a complete listing of the store; objects it lacks were deleted.
    /// @param revision the store's revision at which the listing was taken.
    /// @param kinds the kinds that were listed; empty for all.
    /// @return how many objects changed.
    std::size_t applyListing(const std::vector<StoredObject> &objects, Version revision,
                             const std::set<ObjectKind> &kinds = {});

    /// Notes that the store confirmed what decides on requests in this host's state.
    /// @param sentAt when the confirming request was sent.
    void confirm(TimePoint sentAt);

    /// Notes that every change up to @p revision was applied, without an answer of the store.
    void adoptRevision(Version revision);

    /// Notes that the store confirmed a sibling's state @p age before the sibling was asked, at
    /// @p askedAt or later; without effect unless that state, known by its confirmedDigest(),
    /// equals ours.
    void confirmThroughSibling(std::uint64_t digest, Duration age, TimePoint askedAt);

    /// @return the time since the store's last confirmation, or nothing if there was none.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    /// @return the store revision up to which this state is complete.
    [[nodiscard]] Version revision() const { return revision_; }

    /// @return the objects in force, rebuilt after each change.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration();

    /// @return the version known of @p ref, deleted ones included; zero if unknown.
    [[nodiscard]] Version versionOf(const ObjectRef &ref) const;

    /// @return the stored form of @p ref if it is known.
    [[nodiscard]] const StoredObject *find(const ObjectRef &ref) const;

    /// @return all objects whose version is above @p version, deletions included, oldest first.
    [[nodiscard]] std::vector<StoredObject> changesSince(Version version) const;

    /// @return a hash over every object's name and version, equal on hosts with equal state.
    [[nodiscard]] std::uint64_t digest() const { return digest_; }
    /// @return as digest(), over the objects that confirmations are about.
    [[nodiscard]] std::uint64_t confirmedDigest() const { return confirmedDigest_; }

private:
    void accept(const StoredObject &object);
    void toggleDigest(const StoredObject &object);
    void rebuild();

    const std::set<ObjectKind> confirmedKinds_;
    std::map<ObjectRef, StoredObject> objects_;
    std::shared_ptr<const Configuration> configuration_;
    Version revision_;
    std::optional<TimePoint> confirmedAt_;
    std::uint64_t digest_ = 0;
    std::uint64_t confirmedDigest_ = 0;
    std::set<ObjectRef> changed_; ///< since configuration_ was built
};

} // namespace pimentostage
