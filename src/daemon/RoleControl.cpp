#include "src/daemon/RoleControl.h"

#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "src/daemon/MemberControl.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr Duration kBlockedLogPeriod = std::chrono::seconds(5);

ObjectRef refOf(const RoleName &role)
{
    return ObjectRef { ObjectKind::Role, role.str() };
}

/// @return the record in @p object, or nothing if it does not exist or does not parse.
std::optional<RoleRecord> recordIn(const StoredObject &object)
{
    if (object.deleted_)
        return std::nullopt;
    return valueOr(
        [&]() -> leaf::result<std::optional<RoleRecord>> {
            BOOST_LEAF_AUTO(record, parseRoleRecord(object.ref_.name_, object.value_));
            return std::optional<RoleRecord>(std::move(record));
        },
        [](const Error &) { return std::optional<RoleRecord>(); });
}

bool isReadable(const StoredObject &object)
{
    return object.deleted_ || recordIn(object).has_value();
}

} // namespace

RoleControl::RoleControl(const Member &self, Random random, ObjectStore &store,
                         SiblingSender &sender, MemberControl &members, const ConfigState &config,
                         RoleListener &listener, Clock clock, LogSink &log, OnOwnWrite onOwnWrite)
    : self_(self)
    , random_(random)
    , store_(store)
    , sender_(sender)
    , members_(members)
    , config_(config)
    , listener_(listener)
    , clock_(std::move(clock))
    , log_(log)
    , onOwnWrite_(std::move(onOwnWrite))
{ }

RoleKeeper *RoleControl::find(const RoleName &role)
{
    const auto found = keepers_.find(role);
    return found == keepers_.end() ? nullptr : found->second.get();
}

void RoleControl::setRoles(const std::set<RoleName> &roles)
{
    for (const RoleName &role : roles) {
        std::unique_ptr<RoleKeeper> &keeper = keepers_[role];
        if (!keeper)
            keeper = std::make_unique<RoleKeeper>(role, self_, Random(random_.engine()()));
    }
    std::erase_if(keepers_, [&](const auto &entry) {
        const bool isGone = !roles.contains(entry.first);
        if (isGone && entry.second->phase() == RolePhase::Holding)
            listener_.onRoleLost(entry.first);
        return isGone;
    });
}

void RoleControl::onConfig(const Configuration &configuration, TimePoint now)
{
    for (const auto &[role, keeper] : keepers_) {
        const auto record = configuration.roles_.find(role);
        if (record == configuration.roles_.end())
            continue;
        const Version version = config_.versionOf(refOf(role));
        perform(*keeper, keeper->onRecord(record->second, version, now), now);
    }
}

void RoleControl::tick(const Configuration &configuration, TimePoint now)
{
    if (!members_.isSettled(now))
        return;
    updateSurroundings(configuration, now);
    for (const auto &[role, keeper] : keepers_) {
        surroundings_.stopped_.clear();
        if (keeper->record())
            addStopped(*keeper->record(), surroundings_.stopped_);
        perform(*keeper, keeper->tick(surroundings_, now), now);
        logBlocked(*keeper, now);
    }
}

// The view is copied only when it changes, and not for each role.
void RoleControl::updateSurroundings(const Configuration &configuration, TimePoint now)
{
    const Membership &membership = members_.membership();
    if (membership.viewNumber() != viewNumber_) {
        viewNumber_ = membership.viewNumber();
        surroundings_.view_ = membership.view();
        surroundings_.strongest_ = membership.strongest();
    }
    surroundings_.othersHearStore_ = members_.othersHearStore(now);
    surroundings_.vouchedLost_.clear();
    for (const auto &[host, lost] : configuration.lostHosts_)
        surroundings_.vouchedLost_[host] = lost.upTo_;
}

void RoleControl::addStopped(const RoleRecord &record, std::set<Member> &stopped) const
{
    const auto consider = [&](const Member &member) {
        const auto known = members_.membership().find(member.host_);
        if (!known)
            return;
        const bool isReplaced = known->member_.incarnation_ > member.incarnation_;
        const bool hasLeft = known->member_ == member && known->liveness_ == Liveness::Left;
        if (isReplaced || hasLeft)
            stopped.insert(member);
    };
    std::for_each(record.members_.begin(), record.members_.end(), consider);
    for (const RoleTerm &term : record.predecessors_)
        std::for_each(term.members_.begin(), term.members_.end(), consider);
}

void RoleControl::logBlocked(const RoleKeeper &keeper, TimePoint now)
{
    const std::vector<Member> blockers = keeper.blockedBy(now);
    if (blockers.empty() || now < nextBlockedLog_)
        return;
    nextBlockedLog_ = now + kBlockedLogPeriod;
    std::string hosts;
    for (const Member &member : blockers)
        hosts += (hosts.empty() ? "" : " ") + member.host_.str();
    log_.write(LogLine(Severity::Warning, "role-waits")
                   .add("role", keeper.role().str())
                   .add("epoch", keeper.epoch().value_)
                   .add("hosts", hosts));
}

void RoleControl::perform(RoleKeeper &keeper, const RoleActions &actions, TimePoint now)
{
    for (const RoleAction &action : actions)
        std::visit([&](const auto &step) { perform(keeper, step, now); }, action);
}

void RoleControl::perform(RoleKeeper &keeper, const ReadRole &, TimePoint now)
{
    const RoleName &role = keeper.role();
    store_.get(refOf(role), [this, role, sentAt = now](const Reply<StoredObject> &reply) {
        RoleKeeper *asked = find(role);
        if (!asked)
            return;
        const auto *object = std::get_if<StoredObject>(&reply);
        if (!object || !isReadable(*object)) {
            asked->onReadFailed();
            return;
        }
        const TimePoint now = clock_();
        perform(*asked, asked->onRecordRead(recordIn(*object), object->version_, sentAt, now), now);
    });
}

void RoleControl::perform(RoleKeeper &keeper, const WriteRole &write, TimePoint now)
{
    const RoleName &role = keeper.role();
    ++pendingWrites_;
    store_.put(refOf(role), formatRoleRecord(write.record_), write.expected_,
               [this, role, write, sentAt = now](const Reply<WriteResult> &reply) {
                   --pendingWrites_;
                   onWriteReply(role, write, sentAt, reply);
               });
}

void RoleControl::onWriteReply(const RoleName &role, const WriteRole &write, TimePoint sentAt,
                               const Reply<WriteResult> &reply)
{
    RoleKeeper *keeper = find(role);
    if (!keeper)
        return;
    const TimePoint now = clock_();
    const std::string &nonce = write.record_.nonce_;
    const auto *result = std::get_if<WriteResult>(&reply);
    if (!result || (result->current_ && !isReadable(*result->current_))) {
        keeper->onWriteFailed(nonce);
        return;
    }
    if (!result->written_) {
        perform(*keeper,
                keeper->onConflict(nonce, recordIn(*result->current_), result->current_->version_,
                                   sentAt, now),
                now);
        return;
    }
    perform(*keeper, keeper->onWritten(nonce, result->version_, sentAt, now), now);
    onOwnWrite_(
        StoredObject { refOf(role), result->version_, false, formatRoleRecord(write.record_) });
}

void RoleControl::perform(RoleKeeper &keeper, const AskPromise &ask, TimePoint now)
{
    if (ask.member_ == self_) {
        if (promises_.promise(keeper.role(), ask.epoch_, now))
            keeper.onPromise(self_, ask.epoch_, now, now);
        return;
    }
    sender_.send(ask.member_.host_,
                 PromiseRequest { keeper.role(), ask.epoch_, now.time_since_epoch() });
}

void RoleControl::perform(RoleKeeper &keeper, const AskRelease &ask, TimePoint now)
{
    if (ask.member_ == self_) {
        const Duration remaining = promises_.release(keeper.role(), ask.epoch_, now);
        keeper.onReleased(self_, ask.epoch_, remaining, now);
        return;
    }
    sender_.send(ask.member_.host_, ReleaseRequest { keeper.role(), ask.epoch_ });
}

void RoleControl::perform(RoleKeeper &keeper, const RoleGained &gained, TimePoint now)
{
    log_.write(LogLine(Severity::Info, "role-gained")
                   .add("role", keeper.role().str())
                   .add("epoch", gained.epoch_.value_));
    listener_.onRoleGained(keeper.role(), gained, now);
}

void RoleControl::perform(RoleKeeper &keeper, const RoleLost &lost, TimePoint)
{
    log_.write(LogLine(Severity::Warning, "role-lost")
                   .add("role", keeper.role().str())
                   .add("epoch", lost.epoch_.value_));
    listener_.onRoleLost(keeper.role());
}

void RoleControl::perform(RoleKeeper &keeper, const AnnounceStepDown &announcement, TimePoint)
{
    for (const Member &member : members_.membership().view()) {
        if (member != self_)
            sender_.send(member.host_, StepDown { keeper.role(), announcement.epoch_ });
    }
}

void RoleControl::onMessage(const MemberUpdate &from, const PromiseRequest &request, TimePoint now)
{
    if (promises_.promise(request.role_, request.epoch_, now))
        sender_.send(from.member_.host_,
                     PromiseReply { request.role_, request.epoch_, request.sentAt_ });
}

void RoleControl::onMessage(const MemberUpdate &from, const PromiseReply &reply, TimePoint now)
{
    RoleKeeper *keeper = find(reply.role_);
    const TimePoint sentAt { reply.sentAt_ };
    if (keeper && sentAt <= now)
        keeper->onPromise(from.member_, reply.epoch_, sentAt, now);
}

void RoleControl::onMessage(const MemberUpdate &from, const ReleaseRequest &request, TimePoint now)
{
    const Duration remaining = promises_.release(request.role_, request.epoch_, now);
    sender_.send(from.member_.host_, ReleaseReply { request.role_, request.epoch_, remaining });
}

void RoleControl::onMessage(const MemberUpdate &from, const ReleaseReply &reply, TimePoint now)
{
    if (RoleKeeper *keeper = find(reply.role_))
        keeper->onReleased(from.member_, reply.epoch_, reply.remaining_, now);
}

void RoleControl::onMessage(const MemberUpdate &from, const StepDown &stepDown)
{
    if (RoleKeeper *keeper = find(stepDown.role_))
        keeper->onStepDown(from.member_, stepDown.epoch_);
}

void RoleControl::resign(TimePoint now)
{
    for (const auto &[role, keeper] : keepers_)
        perform(*keeper, keeper->resign(), now);
}

bool RoleControl::holds(const RoleName &role, TimePoint now) const
{
    const auto found = keepers_.find(role);
    return found != keepers_.end() && found->second->holds(now);
}

} // namespace pimentostage
