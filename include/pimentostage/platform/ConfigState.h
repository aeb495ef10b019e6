#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/platform/Configuration.h"
#include "pimentostage/platform/KnowledgeArea.h"
#include "pimentostage/platform/ObjectCodec.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimentostage {

/// Result of applying an object version to a ConfigState.
enum class ApplyResult {
    Applied,
    Unchanged,
    Older,
    Rejected, ///< invalid, and reported for the first time
    RejectedBefore, ///< invalid, and this or a newer version was reported as rejected
};

template <>
struct EnumTable<ApplyResult>
{
    static constexpr std::array kRows {
        EnumName<ApplyResult> { ApplyResult::Applied, "applied" },
        EnumName<ApplyResult> { ApplyResult::Unchanged, "unchanged" },
        EnumName<ApplyResult> { ApplyResult::Older, "older" },
        EnumName<ApplyResult> { ApplyResult::Rejected, "rejected" },
        EnumName<ApplyResult> { ApplyResult::RejectedBefore, "rejected-before" },
    };
};

/// A version for each ObjectKind, in its order.
using VersionsByKind = std::array<Version, kEnumCount<ObjectKind>>;

/// A version that this host did not apply. The version in force before it stays in force.
struct RejectedVersion
{
    Version version_; ///< zero if it cannot be read
    std::string reason_;
};

/// The newest valid version of each object that this host has received.
///
/// Versions arrive from the store directly or through siblings, in any order. An object never
/// returns to an older version, and a version that does not parse never replaces a valid one; while
/// it stands, this state is not confirmed, since the version may be in force elsewhere.
/// Versions of different generations of the store are ordered by their writer's position, if it is
/// known: a restored store has content that is older than what it replaces.
class ConfigState
{
public:
    /// @param confirmedKinds kinds of KnowledgeArea::Configuration; empty for all.
    /// @param missingTeams what a catalogue without a list of teams means.
    explicit ConfigState(std::set<ObjectKind> confirmedKinds = {},
                         MissingTeams missingTeams = MissingTeams::Open);

    /// Applies one version of an object that the store sent.
    /// @param error receives the reason if the result is Rejected.
    ApplyResult apply(const StoredObject &object, std::string *error = nullptr);

    /// As apply(), for an object that a sibling sent. The result is Older if the object has been
    /// deleted since.
    ApplyResult applyFromSibling(const StoredObject &object, std::string *error = nullptr);

    /// Applies a complete listing of the store. Objects that it does not contain are deleted,
    /// except those of version @p revision or above.
    /// @param revision the store's revision of the listing.
    /// @param kinds the kinds that were listed; empty for all.
    /// @return the number of objects that changed.
    std::size_t applyListing(const std::vector<StoredObject> &objects, Version revision,
                             const std::set<ObjectKind> &kinds = {});

    /// Records that the store confirmed the objects of @p area. While a rejected version of one of
    /// the configuration's objects stands, this counts only for readAge().
    /// @param sentAt when the confirming request was sent.
    void confirm(TimePoint sentAt, KnowledgeArea area = KnowledgeArea::Configuration);

    /// Records that every change up to @p revision has been applied. This does not count as a
    /// confirmation.
    void adoptRevision(Version revision);

    /// Records that the store confirmed a sibling's objects of @p area, if this host has the same;
    /// otherwise as confirm().
    /// @param digest the sibling's confirmedDigest(), which differs if it rejected other versions.
    /// @param age the sibling's readAge() when it received the request.
    /// @param requestSentAt when this host sent the request that the sibling replied to.
    void confirmThroughSibling(std::uint64_t digest, Duration age, TimePoint requestSentAt,
                               KnowledgeArea area = KnowledgeArea::Configuration);

    /// @return the time since the last confirmation of @p area, or nothing if there was none.
    [[nodiscard]] std::optional<Duration> age(TimePoint now, KnowledgeArea area
                                                             = KnowledgeArea::Configuration) const;

    /// @return as age(), but of the last confirmation that this state has what the store has: in
    ///         force, or rejected. While it is young, reading the store again brings nothing new.
    [[nodiscard]] std::optional<Duration> readAge(TimePoint now,
                                                  KnowledgeArea area
                                                  = KnowledgeArea::Configuration) const;

    /// @return the store revision up to which this state is complete.
    [[nodiscard]] Version revision() const { return revision_; }

    /// @return the current objects; rebuilt if objects have changed since the last call.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration();

    /// @return the last known version of @p ref, also of a deletion; zero if unknown.
    [[nodiscard]] Version versionOf(const ObjectRef &ref) const;

    /// @return the stored form of @p ref, or nullptr if unknown.
    [[nodiscard]] const StoredObject *find(const ObjectRef &ref) const;

    /// @return all objects of a version above @p version, deletions included, by ascending version.
    [[nodiscard]] std::vector<StoredObject> changesSince(Version version) const;
    /// As above, with a version for each kind.
    [[nodiscard]] std::vector<StoredObject> changesSince(const VersionsByKind &versions) const;

    /// @return for each object the newest version that was rejected, if neither a newer one was
    ///         applied since nor the object was removed.
    [[nodiscard]] const std::map<ObjectRef, RejectedVersion> &rejected() const { return rejected_; }
    /// @return the number of versions that have been rejected.
    [[nodiscard]] std::uint64_t rejections() const { return rejections_; }
    /// @return whether no rejected version of a confirmed kind stands.
    [[nodiscard]] bool isConfirmable() const;

    /// @return a hash of the names and versions of all objects, and of the rejected versions; equal
    /// on hosts with equal state.
    [[nodiscard]] std::uint64_t digest() const { return digest_; }
    /// @return as digest(), over the objects of @p area.
    [[nodiscard]] std::uint64_t confirmedDigest(KnowledgeArea area
                                                = KnowledgeArea::Configuration) const
    {
        return areas_.at(static_cast<std::size_t>(area)).digest_;
    }

private:
    /// What is known about the objects of one KnowledgeArea.
    struct AreaState
    {
        std::uint64_t digest_ = 0;
        std::optional<TimePoint> confirmedAt_;
        std::optional<TimePoint> readAt_; ///< as confirmedAt_, but rejected versions count too
    };

    /// @param content of @p object; nothing if it is deleted.
    void accept(StoredObject object, std::optional<ParsedObject> content);
    ApplyResult reject(const StoredObject &object, const std::string &reason);
    void endRejection(const ObjectRef &ref, Version version);
    void toggleDigest(const ObjectRef &ref, std::uint64_t digest);
    [[nodiscard]] bool isConfirmed(ObjectKind kind) const;
    [[nodiscard]] bool isInArea(ObjectKind kind, KnowledgeArea area) const;
    void rebuild();

    const std::set<ObjectKind> confirmedKinds_;
    const MissingTeams missingTeams_;
    std::map<ObjectRef, StoredObject> objects_;
    std::shared_ptr<const Configuration> configuration_;
    Version revision_;
    std::array<AreaState, kEnumCount<KnowledgeArea>> areas_; ///< in the order of KnowledgeArea
    std::uint64_t digest_ = 0;
    /// Content of the objects that changed since configuration_ was built; nothing if deleted.
    std::map<ObjectRef, std::optional<ParsedObject>> changed_;
    std::map<ObjectRef, RejectedVersion> rejected_;
    std::uint64_t rejections_ = 0;
};

} // namespace pimentostage
