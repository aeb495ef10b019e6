#include "pimentostage/platform/ConfigState.h"

#include "pimentostage/base/Hash.h"
#include "pimentostage/platform/Generation.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

namespace pimentostage {

namespace {

std::uint64_t digestOf(const StoredObject &object)
{
    // Hosts may record the same deletion with different versions, so it does not contribute.
    return object.deleted_ ? 0 : hash64(object.ref_.str(), object.version_.value_);
}

std::uint64_t digestOf(const ObjectRef &ref, const RejectedVersion &rejected)
{
    // Differs from the digest of a host that accepted this version.
    return hash64(ref.str() + "/rejected", rejected.version_.value_);
}

void clearCatalogue(Configuration &configuration)
{
    configuration.services_.clear();
    configuration.contracts_.clear();
    configuration.keysByHash_.clear();
    configuration.virtualHosts_ = std::make_shared<const RoutesByHost>();
    configuration.callerLimits_ = {};
    configuration.hasCatalogue_ = false;
    configuration.catalogueVersion_ = {};
}

void removeTeamKey(const std::string &name, Configuration &configuration)
{
    std::erase_if(configuration.keysByHash_,
                  [&](const auto &entry) { return entry.second.name_ == name; });
}

/// Puts the content of one object into a configuration; one overload for each kind.
struct Adder
{
    const std::string &name_;
    const Version version_;
    Configuration &configuration_;

    void operator()(Service content) const { set(configuration_.services_, std::move(content)); }
    void operator()(Contract content) const { set(configuration_.contracts_, std::move(content)); }
    void operator()(Zone content) const { set(configuration_.zones_, std::move(content)); }
    void operator()(Backend content) const { set(configuration_.backends_, std::move(content)); }
    void operator()(LostHost content) const { set(configuration_.lostHosts_, std::move(content)); }
    void operator()(RoleRecord content) const { set(configuration_.roles_, std::move(content)); }
    void operator()(Rollout content) const { set(configuration_.rollouts_, std::move(content)); }
    void operator()(RolloutState content) const
    {
        set(configuration_.rolloutStates_, std::move(content));
    }
    void operator()(EntryHost content) const
    {
        set(configuration_.entryHosts_, std::move(content));
    }

    void operator()(Placement content) const
    {
        set(configuration_.placements_, std::make_shared<const Placement>(std::move(content)));
    }

    void operator()(RangePlacement content) const
    {
        set(configuration_.ranges_, std::make_shared<const RangePlacement>(std::move(content)));
    }

    void operator()(TeamKey content) const
    {
        // The name may have identified another key before.
        removeTeamKey(name_, configuration_);
        const std::string hash = content.sha256_;
        configuration_.keysByHash_.emplace(hash, std::move(content));
    }

    void operator()(Catalogue content) const
    {
        clearCatalogue(configuration_);
        configuration_.hasCatalogue_ = true;
        configuration_.catalogueVersion_ = version_;
        configuration_.callerLimits_ = content.limits_;
        for (Service &service : content.services_)
            configuration_.services_.insert_or_assign(service.name_, std::move(service));
        for (Contract &contract : content.contracts_)
            configuration_.contracts_.insert_or_assign(contract.team_, std::move(contract));
        for (TeamKey &key : content.keys_)
            configuration_.keysByHash_.insert_or_assign(key.sha256_, std::move(key));
        auto virtualHosts = std::make_shared<RoutesByHost>();
        for (Route &route : content.routes_)
            (*virtualHosts)[route.host_].push_back(std::move(route));
        for (auto &[host, routes] : *virtualHosts) {
            std::stable_sort(routes.begin(), routes.end(), [](const Route &a, const Route &b) {
                return a.prefix_.size() > b.prefix_.size();
            });
        }
        configuration_.virtualHosts_ = std::move(virtualHosts);
    }

private:
    template <typename Map>
    void set(Map &map, typename Map::mapped_type content) const
    {
        map.insert_or_assign(typename Map::key_type(name_), std::move(content));
    }
};

using Remove = void (*)(const std::string &name, Configuration &configuration);

template <auto kMember>
void removeByName(const std::string &name, Configuration &configuration)
{
    using Map = std::remove_reference_t<decltype(configuration.*kMember)>;
    (configuration.*kMember).erase(typename Map::key_type(name));
}

void removeCatalogue(const std::string &, Configuration &configuration)
{
    clearCatalogue(configuration);
}

// One row for each ObjectKind, in its order.
constexpr std::array<Remove, kEnumCount<ObjectKind>> kRemove {
    &removeByName<&Configuration::services_>,
    &removeByName<&Configuration::contracts_>,
    &removeTeamKey,
    &removeByName<&Configuration::zones_>,
    &removeByName<&Configuration::backends_>,
    &removeByName<&Configuration::lostHosts_>,
    &removeByName<&Configuration::roles_>,
    &removeByName<&Configuration::placements_>,
    &removeCatalogue,
    &removeByName<&Configuration::ranges_>,
    &removeByName<&Configuration::entryHosts_>,
    &removeByName<&Configuration::rollouts_>,
    &removeByName<&Configuration::rolloutStates_>,
};

/// @return whether the value of an object of @p kind holds the writer's position.
bool hasPositionInValue(ObjectKind kind)
{
    return kind == ObjectKind::Role || kind == ObjectKind::RangePlacement;
}

/// @return the writer's position in @p content; unknown if only the platform's store knows it.
WriterPosition positionIn(const ParsedObject &content)
{
    if (const auto *record = std::get_if<RoleRecord>(&content))
        return WriterPosition { record->epoch_.value_, 0 };
    if (const auto *ranges = std::get_if<RangePlacement>(&content))
        return WriterPosition { ranges->roleEpoch_.value_, ranges->epoch_.value_ };
    return {};
}

/// @return whether @p object is older than @p current, another version of the same object.
bool isOlder(const StoredObject &object, const StoredObject &current)
{
    if (generationOf(object.version_) == generationOf(current.version_))
        return object.version_ < current.version_;
    if (object.position_.isUnknown() || current.position_.isUnknown())
        return object.version_ < current.version_;
    // A restored store may again have what was deleted, at the position of the deletion.
    return std::tie(object.position_, object.deleted_, object.version_)
           < std::tie(current.position_, current.deleted_, current.version_);
}

} // namespace

ConfigState::ConfigState(std::set<ObjectKind> confirmedKinds, MissingTeams missingTeams)
    : confirmedKinds_(std::move(confirmedKinds))
    , missingTeams_(missingTeams)
    , configuration_(std::make_shared<Configuration>())
{ }

ApplyResult ConfigState::apply(const StoredObject &object, std::string *error)
{
    const Version currentVersion = versionOf(object.ref_);
    const StoredObject *current = find(object.ref_);
    // Some stores report a deletion with the version of the deleted object.
    const bool deletesCurrent
        = object.deleted_ && current && !current->deleted_ && object.version_ == currentVersion;
    if (deletesCurrent) {
        accept(StoredObject { object.ref_, currentVersion.next(), true, {} }, std::nullopt);
        return ApplyResult::Applied;
    }
    const bool hasVersion = object.deleted_ || object.version_ > Version {};
    if (hasVersion && object.version_ == currentVersion) {
        endRejection(object.ref_, object.version_);
        return ApplyResult::Unchanged;
    }
    StoredObject next = object;
    std::optional<ParsedObject> content;
    std::string reason = hasVersion ? "" : "version is missing or cannot be read";
    const bool isOrderKnown
        = object.deleted_ || !object.position_.isUnknown() || !hasPositionInValue(object.ref_.kind_)
          || (current && generationOf(object.version_) == generationOf(current->version_));
    if (hasVersion && current && isOrderKnown && isOlder(next, *current))
        return ApplyResult::Older;
    if (hasVersion && !object.deleted_) {
        const auto standing = rejected_.find(object.ref_);
        if (standing != rejected_.end() && standing->second.version_ == object.version_)
            return reject(object, standing->second.reason_);
        reason = valueOr(
            [&]() -> leaf::result<std::string> {
                BOOST_LEAF_ASSIGN(content, parseObject(object.ref_, object.value_, missingTeams_));
                return std::string();
            },
            [](const Error &failure) { return failure.describe(); });
    }
    if (content && next.position_.isUnknown())
        next.position_ = positionIn(*content);
    if (hasVersion && current && isOlder(next, *current))
        return ApplyResult::Older;
    if (!reason.empty()) {
        if (error)
            *error = reason;
        return reject(object, reason);
    }
    accept(std::move(next), std::move(content));
    return ApplyResult::Applied;
}

// A sibling may have missed a deletion. This state is complete up to its revision: an object of an
// older version that it does not contain was deleted, and only the store can restore it.
ApplyResult ConfigState::applyFromSibling(const StoredObject &object, std::string *error)
{
    const bool wasDeleted = !find(object.ref_) && object.version_ <= revision_;
    return wasDeleted ? ApplyResult::Older : apply(object, error);
}

void ConfigState::accept(StoredObject object, std::optional<ParsedObject> content)
{
    endRejection(object.ref_, object.version_);
    const auto entry = objects_.find(object.ref_);
    if (entry != objects_.end()) {
        toggleDigest(object.ref_, digestOf(entry->second));
        if (object.deleted_ && object.position_.isUnknown())
            object.position_ = entry->second.position_;
    }
    toggleDigest(object.ref_, digestOf(object));
    changed_.insert_or_assign(object.ref_, std::move(content));
    objects_.insert_or_assign(object.ref_, std::move(object));
}

ApplyResult ConfigState::reject(const StoredObject &object, const std::string &reason)
{
    const auto [entry, isNew]
        = rejected_.try_emplace(object.ref_, RejectedVersion { object.version_, reason });
    if (!isNew) {
        if (object.version_ <= entry->second.version_)
            return ApplyResult::RejectedBefore;
        toggleDigest(object.ref_, digestOf(object.ref_, entry->second));
        entry->second = RejectedVersion { object.version_, reason };
    }
    toggleDigest(object.ref_, digestOf(object.ref_, entry->second));
    ++rejections_;
    return ApplyResult::Rejected;
}

/// Ends the rejection of @p ref if it is not newer than @p version, which is in force.
void ConfigState::endRejection(const ObjectRef &ref, Version version)
{
    const auto entry = rejected_.find(ref);
    if (entry == rejected_.end() || entry->second.version_ > version)
        return;
    toggleDigest(ref, digestOf(ref, entry->second));
    // What was read before includes the version in force only if that one is known to be newer than
    // the rejected one.
    const bool isNewer = entry->second.version_ > Version {} && entry->second.version_ < version;
    rejected_.erase(entry);
    for (AreaState &state : areas_) {
        if (!isNewer)
            state.readAt_ = state.confirmedAt_;
    }
}

bool ConfigState::isConfirmed(ObjectKind kind) const
{
    return confirmedKinds_.empty() || confirmedKinds_.contains(kind);
}

bool ConfigState::isInArea(ObjectKind kind, KnowledgeArea area) const
{
    return area == KnowledgeArea::Configuration ? isConfirmed(kind) : kind == kindOf(area);
}

bool ConfigState::isConfirmable() const
{
    return std::none_of(rejected_.begin(), rejected_.end(),
                        [&](const auto &entry) { return isConfirmed(entry.first.kind_); });
}

void ConfigState::toggleDigest(const ObjectRef &ref, std::uint64_t digest)
{
    digest_ ^= digest;
    for (const auto &row : EnumTable<KnowledgeArea>::kRows) {
        if (isInArea(ref.kind_, row.value_))
            areas_.at(static_cast<std::size_t>(row.value_)).digest_ ^= digest;
    }
}

std::size_t ConfigState::applyListing(const std::vector<StoredObject> &objects, Version revision,
                                      const std::set<ObjectKind> &kinds)
{
    std::size_t changes = 0;
    std::set<ObjectRef> listed;
    for (const StoredObject &object : objects) {
        listed.insert(object.ref_);
        changes += apply(object) == ApplyResult::Applied ? 1 : 0;
    }
    std::vector<StoredObject> removed;
    for (const auto &[ref, object] : objects_) {
        const bool isOfKind = kinds.empty() || kinds.contains(ref.kind_);
        const bool isDeleted
            = isOfKind && !object.deleted_ && object.version_ < revision && !listed.contains(ref);
        if (isDeleted)
            removed.push_back(StoredObject { ref, revision, true, {} });
    }
    for (const StoredObject &object : removed)
        accept(object, std::nullopt);
    std::vector<ObjectRef> gone;
    for (const auto &[ref, rejection] : rejected_) {
        const bool isOfKind = kinds.empty() || kinds.contains(ref.kind_);
        if (isOfKind && rejection.version_ < revision && !listed.contains(ref))
            gone.push_back(ref);
    }
    for (const ObjectRef &ref : gone)
        endRejection(ref, revision);
    return changes + removed.size();
}

// A rejected entry of a back end names no back end to use, so it delays no confirmation.
void ConfigState::confirm(TimePoint sentAt, KnowledgeArea area)
{
    AreaState &state = areas_.at(static_cast<std::size_t>(area));
    const auto advance
        = [&](std::optional<TimePoint> &time) { time = time ? std::max(*time, sentAt) : sentAt; };
    advance(state.readAt_);
    if (area != KnowledgeArea::Configuration || isConfirmable())
        advance(state.confirmedAt_);
}

void ConfigState::adoptRevision(Version revision)
{
    revision_ = std::max(revision_, revision);
}

void ConfigState::confirmThroughSibling(std::uint64_t digest, Duration age, TimePoint requestSentAt,
                                        KnowledgeArea area)
{
    if (digest == confirmedDigest(area))
        confirm(requestSentAt - kClockDrift.stretched(age), area);
}

std::optional<Duration> ConfigState::age(TimePoint now, KnowledgeArea area) const
{
    const std::optional<TimePoint> &confirmedAt
        = areas_.at(static_cast<std::size_t>(area)).confirmedAt_;
    if (!confirmedAt)
        return std::nullopt;
    return now - *confirmedAt;
}

std::optional<Duration> ConfigState::readAge(TimePoint now, KnowledgeArea area) const
{
    const std::optional<TimePoint> &readAt = areas_.at(static_cast<std::size_t>(area)).readAt_;
    return readAt ? std::optional(now - *readAt) : std::nullopt;
}

std::shared_ptr<const Configuration> ConfigState::configuration()
{
    if (!changed_.empty())
        rebuild();
    return configuration_;
}

void ConfigState::rebuild()
{
    auto next = std::make_shared<Configuration>(*configuration_);
    for (auto &[ref, content] : changed_) {
        next->revision_ = std::max(next->revision_, versionOf(ref));
        if (content)
            std::visit(Adder { ref.name_, versionOf(ref), *next }, std::move(*content));
        else
            kRemove.at(static_cast<std::size_t>(ref.kind_))(ref.name_, *next);
    }
    configuration_ = std::move(next);
    changed_.clear();
}

Version ConfigState::versionOf(const ObjectRef &ref) const
{
    const StoredObject *object = find(ref);
    return object ? object->version_ : Version {};
}

const StoredObject *ConfigState::find(const ObjectRef &ref) const
{
    const auto found = objects_.find(ref);
    return found == objects_.end() ? nullptr : &found->second;
}

std::vector<StoredObject> ConfigState::changesSince(Version version) const
{
    VersionsByKind versions;
    versions.fill(version);
    return changesSince(versions);
}

std::vector<StoredObject> ConfigState::changesSince(const VersionsByKind &versions) const
{
    std::vector<StoredObject> changes;
    for (const auto &[ref, object] : objects_) {
        if (object.version_ > versions.at(static_cast<std::size_t>(ref.kind_)))
            changes.push_back(object);
    }
    std::sort(changes.begin(), changes.end(),
              [](const auto &a, const auto &b) { return a.version_ < b.version_; });
    return changes;
}

} // namespace pimentostage
