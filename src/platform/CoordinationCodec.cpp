#include "pimentostage/platform/CoordinationCodec.h"

#include "src/platform/ObjectReader.h"

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

using Json = nlohmann::json;

Json toJson(const Member &member)
{
    return { { "host", member.host_.str() }, { "incarnation", member.incarnation_.value_ } };
}

std::vector<Member> readMembers(ObjectReader &reader, const char *field);

Json toJson(const std::vector<Member> &members)
{
    Json rows = Json::array();
    for (const Member &member : members)
        rows.push_back(toJson(member));
    return rows;
}

// Records of earlier versions state no rule, and those versions reject the field.
void addRule(Json &json, TermRule rule)
{
    if (rule != TermRule::Majority)
        json["rule"] = toString(rule);
}

Json toJson(const RoleTerm &term)
{
    Json json { { "epoch", term.epoch_.value_ },
                { "holder", term.holder_.host_.str() },
                { "incarnation", term.holder_.incarnation_.value_ },
                { "members", toJson(term.members_) } };
    addRule(json, term.rule_);
    return json;
}

RoleTerm readTerm(ObjectReader reader)
{
    RoleTerm term;
    term.epoch_ = Epoch { reader.unsignedInteger("epoch") };
    term.holder_.host_ = HostName(reader.requiredText("holder"));
    term.holder_.incarnation_ = Incarnation { reader.unsignedInteger("incarnation") };
    term.members_ = readMembers(reader, "members");
    term.rule_ = reader.enumValue("rule", TermRule::Majority);
    reader.rejectUnknownFields();
    return term;
}

Member readMember(ObjectReader reader)
{
    Member member;
    member.host_ = HostName(reader.requiredText("host"));
    member.incarnation_ = Incarnation { reader.unsignedInteger("incarnation") };
    reader.rejectUnknownFields();
    return member;
}

std::vector<Member> readMembers(ObjectReader &reader, const char *field)
{
    std::vector<Member> members;
    std::size_t index = 0;
    for (const Json &item : reader.array(field))
        members.push_back(readMember(reader.child(item, field, index++)));
    return members;
}

/// Table of back ends, so that a placement of many shards contains each name only once.
class BackendIndex
{
public:
    std::size_t of(const BackendName &backend)
    {
        const auto found = std::find(names_.begin(), names_.end(), backend.str());
        if (found != names_.end())
            return static_cast<std::size_t>(found - names_.begin());
        names_.push_back(backend.str());
        return names_.size() - 1;
    }

    const std::vector<std::string> &names() const { return names_; }

private:
    std::vector<std::string> names_;
};

Json toJson(const ShardOwner &owner, BackendIndex &index)
{
    return Json::array({ index.of(owner.backend_), owner.epoch_.value_ });
}

ShardOwner readOwner(ObjectReader &reader, const Json &json, const std::vector<std::string> &names,
                     std::uint64_t highestEpoch)
{
    const bool isPair = json.is_array() && json.size() == 2 && json[0].is_number_unsigned()
                        && json[1].is_number_unsigned();
    if (!isPair || json[0].get<std::size_t>() >= names.size()
        || json[1].get<std::uint64_t>() > highestEpoch) {
        reader.addError("shards", "must hold pairs of a back end's index and an epoch in use");
        return {};
    }
    return ShardOwner { BackendName(names[json[0].get<std::size_t>()]),
                        Epoch { json[1].get<std::uint64_t>() } };
}

HotKey readHotKey(ObjectReader &reader, const Json &json, const std::vector<std::string> &names,
                  std::uint64_t highestEpoch)
{
    if (!json.is_array() || json.size() != 2 || !json[0].is_string()) {
        reader.addError("hot_keys", "must hold pairs of a key and its owner");
        return {};
    }
    return HotKey { json[0].get<std::string>(), readOwner(reader, json[1], names, highestEpoch) };
}

/// Table of back ends' processes, so that a placement of many ranges contains each only once.
class ProcessIndex
{
public:
    std::int64_t of(const BackendProcess &process)
    {
        if (process.isNone())
            return kNoProcess;
        const auto found = std::find(processes_.begin(), processes_.end(), process);
        if (found != processes_.end())
            return found - processes_.begin();
        processes_.push_back(process);
        return static_cast<std::int64_t>(processes_.size()) - 1;
    }

    [[nodiscard]] Json json() const
    {
        Json rows = Json::array();
        for (const BackendProcess &process : processes_)
            rows.push_back(Json::array({ process.name_.str(), process.incarnation_.value_ }));
        return rows;
    }

    static constexpr std::int64_t kNoProcess = -1;

private:
    std::vector<BackendProcess> processes_;
};

std::vector<BackendProcess> readProcesses(ObjectReader &reader)
{
    std::vector<BackendProcess> processes;
    for (const Json &item : reader.array("processes")) {
        const bool isPair = item.is_array() && item.size() == 2 && item[0].is_string()
                            && item[1].is_number_unsigned();
        if (!isPair) {
            reader.addError("processes", "must hold pairs of a name and an incarnation");
            return {};
        }
        processes.push_back({ BackendName(item[0].get<std::string>()),
                              Incarnation { item[1].get<std::uint64_t>() } });
    }
    return processes;
}

/// @return the range in @p json, or nothing if @p json is not a valid range.
std::optional<RangeOwner> readRange(const Json &json, const std::vector<BackendProcess> &processes)
{
    const std::size_t fields = 5; // from, to, owner, epoch, previous
    const bool isRow = json.is_array() && json.size() == fields
                       && std::all_of(json.begin(), json.end(),
                                      [](const Json &field) { return field.is_number_integer(); });
    if (!isRow)
        return std::nullopt;
    const auto number = [&](std::size_t field) { return json[field].get<std::int64_t>(); };
    const auto processAt = [&](std::int64_t index) -> std::optional<BackendProcess> {
        if (index == ProcessIndex::kNoProcess)
            return BackendProcess {};
        if (index < 0 || index >= static_cast<std::int64_t>(processes.size()))
            return std::nullopt;
        return processes[static_cast<std::size_t>(index)];
    };
    const auto owner = processAt(number(2));
    const auto previous = processAt(number(4));
    const bool isInKeySpace
        = number(0) >= 0 && number(1) >= number(0) && number(1) <= std::int64_t { kLastOrderedKey };
    if (!owner || !previous || !isInKeySpace || number(3) < 0)
        return std::nullopt;
    return RangeOwner { { static_cast<std::uint32_t>(number(0)),
                          static_cast<std::uint32_t>(number(1)) },
                        *owner,
                        Epoch { static_cast<std::uint64_t>(number(3)) },
                        *previous };
}

// Hosts of an earlier version reject unknown fields; they can read what is written before the store
// is first restored.
void addGeneration(Json &json, Generation generation)
{
    if (generation != Generation {})
        json["generation"] = generation.value_;
}

} // namespace

leaf::result<RoleRecord> parseRoleRecord(const std::string &name, const std::string &value)
{
    ObjectReader reader({ ObjectKind::Role, name }, value);
    RoleRecord record;
    record.role_ = RoleName(name);
    record.epoch_ = Epoch { reader.unsignedInteger("epoch") };
    record.holder_.host_ = HostName(reader.requiredText("holder"));
    record.holder_.incarnation_ = Incarnation { reader.unsignedInteger("incarnation") };
    record.members_ = readMembers(reader, "members");
    record.rule_ = reader.enumValue("rule", TermRule::Majority);
    std::size_t index = 0;
    for (const Json &item : reader.array("predecessors"))
        record.predecessors_.push_back(readTerm(reader.child(item, "predecessors", index++)));
    record.generation_ = Generation { reader.unsignedInteger("generation", 0) };
    record.nonce_ = reader.text("nonce");
    record.released_ = reader.flag("released", false);
    record.challenger_ = HostName(reader.text("challenger"));
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return record;
}

leaf::result<Placement> parsePlacement(const std::string &name, const std::string &value)
{
    ObjectReader reader({ ObjectKind::Placement, name }, value);
    Placement placement;
    placement.service_ = ServiceName(name);
    placement.epoch_ = Epoch { reader.unsignedInteger("epoch") };
    placement.roleEpoch_ = Epoch { reader.unsignedInteger("role_epoch") };
    placement.nonce_ = reader.text("nonce");
    const std::vector<std::string> names = reader.textArray("backends");
    for (const Json &item : reader.array("shards"))
        placement.shards_.push_back(readOwner(reader, item, names, placement.epoch_.value_));
    if (placement.shards_.empty())
        reader.addError("shards", "must hold at least one shard");
    for (const Json &item : reader.array("hot_keys"))
        placement.hotKeys_.push_back(readHotKey(reader, item, names, placement.epoch_.value_));
    if (!std::is_sorted(placement.hotKeys_.begin(), placement.hotKeys_.end(),
                        [](const auto &a, const auto &b) { return a.key_ < b.key_; }))
        reader.addError("hot_keys", "must be sorted by key");
    placement.routers_ = readMembers(reader, "routers");
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return placement;
}

leaf::result<RangePlacement> parseRangePlacement(const std::string &name, const std::string &value)
{
    ObjectReader reader({ ObjectKind::RangePlacement, name }, value);
    RangePlacement placement;
    placement.service_ = ServiceName(name);
    placement.epoch_ = Epoch { reader.unsignedInteger("epoch") };
    placement.roleEpoch_ = Epoch { reader.unsignedInteger("role_epoch") };
    placement.generation_ = Generation { reader.unsignedInteger("generation", 0) };
    placement.nonce_ = reader.text("nonce");
    const std::vector<BackendProcess> processes = readProcesses(reader);
    std::uint32_t next = 0;
    for (const Json &item : reader.array("ranges")) {
        const auto row = readRange(item, processes);
        const bool isInOrder = row && row->range_.from_ == next && row->epoch_ <= placement.epoch_;
        if (!isInOrder) {
            reader.addError("ranges",
                            "must be contiguous and in ascending order, with epochs in use");
            break;
        }
        next = row->range_.to_ + 1;
        placement.ranges_.push_back(*row);
    }
    if (next != kLastOrderedKey + 1)
        reader.addError("ranges", "must cover all keys");
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return placement;
}

leaf::result<RolloutState> parseRolloutState(const std::string &name, const std::string &value)
{
    const double kMaxMs = 86'400'000; // a day, as for an order
    ObjectReader reader({ ObjectKind::RolloutState, name }, value);
    RolloutState state;
    state.rollout_.order_.service_ = ServiceName(name);
    state.rollout_.order_.target_ = reader.requiredText("target");
    state.rollout_.order_.duration_ = reader.wholeMilliseconds("duration_ms", 0, 0, kMaxMs);
    state.rollout_.id_ = reader.text("id");
    state.orderedAt_ = Version { reader.unsignedInteger("ordered_at") };
    state.phase_ = reader.requiredEnumValue("phase", RolloutPhase::Observing);
    state.current_ = reader.text("current");
    state.share_ = reader.number("share", 0, 0, 1);
    state.elapsed_ = reader.milliseconds("elapsed_ms", 0, 0, kMaxMs);
    state.roleEpoch_ = Epoch { reader.unsignedInteger("role_epoch") };
    state.isReported_ = reader.flag("reported", false);
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return state;
}

std::string formatRoleRecord(const RoleRecord &record)
{
    Json predecessors = Json::array();
    for (const RoleTerm &term : record.predecessors_)
        predecessors.push_back(toJson(term));
    Json json({ { "epoch", record.epoch_.value_ },
                { "holder", record.holder_.host_.str() },
                { "incarnation", record.holder_.incarnation_.value_ },
                { "members", toJson(record.members_) },
                { "predecessors", predecessors },
                { "nonce", record.nonce_ },
                { "released", record.released_ } });
    addRule(json, record.rule_);
    if (!record.challenger_.isEmpty())
        json["challenger"] = record.challenger_.str();
    addGeneration(json, record.generation_);
    return json.dump();
}

std::string formatPlacement(const Placement &placement)
{
    BackendIndex index;
    Json shards = Json::array();
    for (const ShardOwner &owner : placement.shards_)
        shards.push_back(toJson(owner, index));
    Json hotKeys = Json::array();
    for (const HotKey &hotKey : placement.hotKeys_)
        hotKeys.push_back(Json::array({ hotKey.key_, toJson(hotKey.owner_, index) }));
    return Json({ { "epoch", placement.epoch_.value_ },
                  { "role_epoch", placement.roleEpoch_.value_ },
                  { "nonce", placement.nonce_ },
                  { "backends", index.names() },
                  { "shards", shards },
                  { "hot_keys", hotKeys },
                  { "routers", toJson(placement.routers_) } })
        .dump();
}

std::string formatRangePlacement(const RangePlacement &placement)
{
    ProcessIndex index;
    Json ranges = Json::array();
    for (const RangeOwner &row : placement.ranges_) {
        ranges.push_back(Json::array({ row.range_.from_, row.range_.to_, index.of(row.owner_),
                                       row.epoch_.value_, index.of(row.previous_) }));
    }
    Json json({ { "epoch", placement.epoch_.value_ },
                { "role_epoch", placement.roleEpoch_.value_ },
                { "nonce", placement.nonce_ },
                { "processes", index.json() },
                { "ranges", ranges } });
    addGeneration(json, placement.generation_);
    return json.dump();
}

std::string formatRolloutState(const RolloutState &state)
{
    const auto milliseconds
        = [](Duration duration) { return static_cast<double>(toMilliseconds(duration)); };
    Json json { { "phase", toString(state.phase_) },
                { "target", state.rollout_.order_.target_ },
                { "duration_ms", milliseconds(state.rollout_.order_.duration_) },
                { "ordered_at", state.orderedAt_.value_ },
                { "current", state.current_ },
                { "share", state.share_ },
                { "elapsed_ms", milliseconds(state.elapsed_) },
                { "role_epoch", state.roleEpoch_.value_ },
                { "reported", state.isReported_ } };
    if (!state.rollout_.id_.empty())
        json["id"] = state.rollout_.id_;
    return json.dump();
}

} // namespace pimentostage
