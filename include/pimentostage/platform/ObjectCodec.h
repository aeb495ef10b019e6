#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/platform/Objects.h"

#include <string>
#include <variant>
#include <vector>

namespace pimentostage {

/// Maximum size of a value that pimentostage writes to the store, in bytes. The size of a value
/// that is read has no limit: the store has accepted it, perhaps in another and shorter form.
inline constexpr std::size_t kMaxObjectBytes = 1'000'000;

/// Optional field of any object: the id of the change that wrote it.
inline constexpr const char *kChangeIdField = "change_id";

/// Each parse function reads the JSON value of one object.
/// @return the object, or an Error of step ParseObject that lists all errors.
leaf::result<Service> parseService(const std::string &name, const std::string &value);
leaf::result<Contract> parseContract(const std::string &name, const std::string &value);
leaf::result<TeamKey> parseTeamKey(const std::string &name, const std::string &value);
leaf::result<Zone> parseZone(const std::string &name, const std::string &value);
leaf::result<Backend> parseBackend(const std::string &name, const std::string &value);
leaf::result<LostHost> parseLostHost(const std::string &name, const std::string &value);
/// @param missingTeams what a catalogue without a list of teams means.
leaf::result<Catalogue> parseCatalogue(const std::string &name, const std::string &value,
                                       MissingTeams missingTeams = MissingTeams::Open);
leaf::result<EntryHost> parseEntryHost(const std::string &name, const std::string &value);
leaf::result<Rollout> parseRollout(const std::string &name, const std::string &value);
leaf::result<std::vector<ListedHost>> parseHostList(const std::string &value);

/// The content of an object; one alternative for each ObjectKind, in its order.
using ParsedObject
    = std::variant<Service, Contract, TeamKey, Zone, Backend, LostHost, RoleRecord, Placement,
                   Catalogue, RangePlacement, EntryHost, Rollout, RolloutState>;

/// Parses @p value as the value of @p ref.
/// @param missingTeams what a catalogue without a list of teams means.
/// @return the content, or the Error of the matching parse function.
leaf::result<ParsedObject> parseObject(const ObjectRef &ref, const std::string &value,
                                       MissingTeams missingTeams = MissingTeams::Open);

/// Checks that @p value is valid as the value of @p ref.
/// @return nothing, or the Error of parseObject().
leaf::result<void> checkObject(const ObjectRef &ref, const std::string &value);

/// Each format function writes the JSON value that the matching parse function reads.
std::string formatService(const Service &service);
std::string formatContract(const Contract &contract);
std::string formatTeamKey(const TeamKey &key);
std::string formatZone(const Zone &zone);
std::string formatBackend(const Backend &backend);
std::string formatLostHost(const LostHost &host);
std::string formatCatalogue(const Catalogue &catalogue);
std::string formatEntryHost(const EntryHost &host);
std::string formatRollout(const Rollout &rollout);
std::string formatHostList(const std::vector<ListedHost> &hosts);

/// @param text "ip:port".
/// @return the address, or nothing if @p text is not an IPv4 address and a port.
std::optional<Address> parseAddress(const std::string &text);

} // namespace pimentostage
