#include "pimentostage/platform/ConfigState.h"

#include "pimentostage/base/Hash.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/Generation.h"
#include "pimentostage/platform/ObjectCodec.h"

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

/// Adds objects of one kind to a configuration and removes them.
struct KindHandler
{
    void (*add_)(const StoredObject &, Configuration &);
    void (*remove_)(const std::string &name, Configuration &);
    /// Reads the writer's position from the value; nullptr if only the platform's store knows it.
    WriterPosition (*position_)(const StoredObject &) = nullptr;
};

/// Handles a kind that the configuration keeps in a map by name.
template <auto kParse, auto kMember>
struct ByName
{
    static void add(const StoredObject &object, Configuration &configuration)
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(parsed, kParse(object.ref_.name_, object.value_));
                (configuration.*kMember)
                    .insert_or_assign(Key(object.ref_.name_), std::move(parsed));
                return {};
            },
            [] {});
    }

    static void remove(const std::string &name, Configuration &configuration)
    {
        (configuration.*kMember).erase(Key(name));
    }

    using Map = std::remove_reference_t<decltype(std::declval<Configuration &>().*kMember)>;
    using Key = typename Map::key_type;
    static constexpr KindHandler kHandler { &add, &remove };
};

void removeTeamKey(const std::string &name, Configuration &configuration)
{
    std::erase_if(configuration.keysByHash_,
                  [&](const auto &entry) { return entry.second.name_ == name; });
}

void addTeamKey(const StoredObject &object, Configuration &configuration)
{
    // The name may have identified another key before.
    removeTeamKey(object.ref_.name_, configuration);
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(key, parseTeamKey(object.ref_.name_, object.value_));
            const std::string hash = key.sha256_;
            configuration.keysByHash_.emplace(hash, std::move(key));
            return {};
        },
        [] {});
}

void addPlacement(const StoredObject &object, Configuration &configuration)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(placement, parsePlacement(object.ref_.name_, object.value_));
            const ServiceName service = placement.service_;
            configuration.placements_[service]
                = std::make_shared<const Placement>(std::move(placement));
            return {};
        },
        [] {});
}

void removePlacement(const std::string &name, Configuration &configuration)
{
    configuration.placements_.erase(ServiceName(name));
}

void clearCatalogue(const std::string &, Configuration &configuration)
{
    configuration.services_.clear();
    configuration.contracts_.clear();
    configuration.keysByHash_.clear();
    configuration.virtualHosts_ = std::make_shared<const VirtualHosts>();
    configuration.hasCatalogue_ = false;
    configuration.catalogueVersion_ = {};
}

void setCatalogue(Catalogue catalogue, Configuration &configuration)
{
    clearCatalogue("", configuration);
    configuration.hasCatalogue_ = true;
    for (Service &service : catalogue.services_)
        configuration.services_.insert_or_assign(service.name_, std::move(service));
    for (Contract &contract : catalogue.contracts_)
        configuration.contracts_.insert_or_assign(contract.team_, std::move(contract));
    for (TeamKey &key : catalogue.keys_)
        configuration.keysByHash_.insert_or_assign(key.sha256_, std::move(key));
    auto virtualHosts = std::make_shared<VirtualHosts>();
    for (Route &route : catalogue.routes_)
        (*virtualHosts)[route.host_].push_back(std::move(route));
    for (auto &[host, routes] : *virtualHosts) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route &a, const Route &b) {
            return a.prefix_.size() > b.prefix_.size();
        });
    }
    configuration.virtualHosts_ = std::move(virtualHosts);
}

void addCatalogue(const StoredObject &object, Configuration &configuration)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(catalogue, parseCatalogue(object.ref_.name_, object.value_));
            setCatalogue(std::move(catalogue), configuration);
            configuration.catalogueVersion_ = object.version_;
            return {};
        },
        [] {});
}

void addRanges(const StoredObject &object, Configuration &configuration)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(ranges, parseRangePlacement(object.ref_.name_, object.value_));
            const ServiceName service = ranges.service_;
            configuration.ranges_[service]
                = std::make_shared<const RangePlacement>(std::move(ranges));
            return {};
        },
        [] {});
}

void removeRanges(const std::string &name, Configuration &configuration)
{
    configuration.ranges_.erase(ServiceName(name));
}

WriterPosition rolePosition(const StoredObject &object)
{
    return valueOr(
        [&]() -> leaf::result<WriterPosition> {
            BOOST_LEAF_AUTO(record, parseRoleRecord(object.ref_.name_, object.value_));
            return WriterPosition { record.epoch_.value_, 0 };
        },
        [](const Error &) { return WriterPosition {}; });
}

WriterPosition rangesPosition(const StoredObject &object)
{
    return valueOr(
        [&]() -> leaf::result<WriterPosition> {
            BOOST_LEAF_AUTO(ranges, parseRangePlacement(object.ref_.name_, object.value_));
            return WriterPosition { ranges.roleEpoch_.value_, ranges.epoch_.value_ };
        },
        [](const Error &) { return WriterPosition {}; });
}

// One row for each ObjectKind, in its order.
constexpr std::array<KindHandler, kEnumCount<ObjectKind>> kHandlers {
    ByName<&parseService, &Configuration::services_>::kHandler,
    ByName<&parseContract, &Configuration::contracts_>::kHandler,
    KindHandler { &addTeamKey, &removeTeamKey },
    ByName<&parseZone, &Configuration::zones_>::kHandler,
    ByName<&parseBackend, &Configuration::backends_>::kHandler,
    ByName<&parseLostHost, &Configuration::lostHosts_>::kHandler,
    KindHandler { &ByName<&parseRoleRecord, &Configuration::roles_>::add,
                  &ByName<&parseRoleRecord, &Configuration::roles_>::remove, &rolePosition },
    KindHandler { &addPlacement, &removePlacement },
    KindHandler { &addCatalogue, &clearCatalogue },
    KindHandler { &addRanges, &removeRanges, &rangesPosition },
    ByName<&parseEntryHost, &Configuration::entryHosts_>::kHandler,
};

WriterPosition positionOf(const StoredObject &object)
{
    const KindHandler &handler = kHandlers.at(static_cast<std::size_t>(object.ref_.kind_));
    const bool isInValue = handler.position_ && !object.deleted_ && object.position_.isUnknown();
    return isInValue ? handler.position_(object) : object.position_;
}

/// @return whether @p object is older than @p current, another version of the same object.
bool isOlder(const StoredObject &object, const StoredObject &current)
{
    if (generationOf(object.version_) == generationOf(current.version_))
        return object.version_ < current.version_;
    const WriterPosition position = positionOf(object);
    const WriterPosition currentPosition = positionOf(current);
    if (position.isUnknown() || currentPosition.isUnknown())
        return object.version_ < current.version_;
    // A restored store may again have what was deleted, at the position of the deletion.
    return std::tie(position, object.deleted_, object.version_)
           < std::tie(currentPosition, current.deleted_, current.version_);
}

} // namespace

ConfigState::ConfigState(std::set<ObjectKind> confirmedKinds)
    : confirmedKinds_(std::move(confirmedKinds))
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
        accept(StoredObject { object.ref_, currentVersion.next(), true, {} });
        return ApplyResult::Applied;
    }
    if (object.version_ == currentVersion)
        return ApplyResult::Unchanged;
    if (current && isOlder(object, *current))
        return ApplyResult::Older;
    if (!object.deleted_) {
        const std::string parseError = valueOr(
            [&]() -> leaf::result<std::string> {
                BOOST_LEAF_CHECK(checkObject(object.ref_, object.value_));
                return std::string();
            },
            [](const Error &reason) { return reason.describe(); });
        if (!parseError.empty()) {
            if (error)
                *error = parseError;
            return ApplyResult::Rejected;
        }
    }
    accept(object);
    return ApplyResult::Applied;
}

// A sibling may have missed a deletion. This state is complete up to its revision: an object of an
// older version that it does not contain was deleted, and only the store can restore it.
ApplyResult ConfigState::applyFromSibling(const StoredObject &object, std::string *error)
{
    const bool wasDeleted = !find(object.ref_) && object.version_ <= revision_;
    return wasDeleted ? ApplyResult::Older : apply(object, error);
}

void ConfigState::accept(const StoredObject &object)
{
    const auto [entry, isNew] = objects_.try_emplace(object.ref_, object);
    if (!isNew) {
        const WriterPosition lastPosition = positionOf(entry->second);
        toggleDigest(entry->second);
        entry->second = object;
        if (object.deleted_ && object.position_.isUnknown())
            entry->second.position_ = lastPosition;
    }
    toggleDigest(object);
    changed_.insert(object.ref_);
}

void ConfigState::toggleDigest(const StoredObject &object)
{
    const std::uint64_t digest = digestOf(object);
    digest_ ^= digest;
    if (confirmedKinds_.empty() || confirmedKinds_.contains(object.ref_.kind_))
        confirmedDigest_ ^= digest;
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
        accept(object);
    return changes + removed.size();
}

void ConfigState::confirm(TimePoint sentAt)
{
    if (!confirmedAt_ || *confirmedAt_ < sentAt)
        confirmedAt_ = sentAt;
}

void ConfigState::adoptRevision(Version revision)
{
    revision_ = std::max(revision_, revision);
}

void ConfigState::confirmThroughSibling(std::uint64_t digest, Duration age, TimePoint requestSentAt)
{
    if (digest == confirmedDigest_)
        confirm(requestSentAt - kClockDrift.stretched(age));
}

std::optional<Duration> ConfigState::age(TimePoint now) const
{
    if (!confirmedAt_)
        return std::nullopt;
    return now - *confirmedAt_;
}

std::shared_ptr<const Configuration> ConfigState::configuration()
{
    if (!changed_.empty())
        rebuild();
    return configuration_;
}

// Parses only the changed objects.
void ConfigState::rebuild()
{
    auto next = std::make_shared<Configuration>(*configuration_);
    for (const ObjectRef &ref : changed_) {
        const StoredObject &object = objects_.at(ref);
        const KindHandler &handler = kHandlers.at(static_cast<std::size_t>(ref.kind_));
        next->revision_ = std::max(next->revision_, object.version_);
        if (object.deleted_)
            handler.remove_(ref.name_, *next);
        else
            handler.add_(object, *next);
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
    std::vector<StoredObject> changes;
    for (const auto &[ref, object] : objects_) {
        if (object.version_ > version)
            changes.push_back(object);
    }
    std::sort(changes.begin(), changes.end(),
              [](const auto &a, const auto &b) { return a.version_ < b.version_; });
    return changes;
}

} // namespace pimentostage
