#include "src/daemon/RoleControl.h"

#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/Generation.h"
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

std::string namesOf(const std::vector<Member> &members)
{
    std::string names;
    for (const Member &member : members)
        names += (names.empty() ? "" : " ") + member.host_.str();
    return names;
}

bool isReadable(const StoredObject &object)
{
    return object.deleted_ || recordIn(object).has_value();
}

} // namespace

RoleControl::RoleControl(const Member &self, Random random, ObjectStore &store,
                         SiblingSender &sender, MemberControl &members, const ConfigState &config,
                         RoleListener &listener, bool boundsTerms, Clock clock, LogSink &log,
                         OnOwnWrite onOwnWrite)
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
{
    context_.boundsTerms_ = boundsTerms;
}

RoleElector *RoleControl::find(const RoleName &role)
{
    const auto found = electors_.find(role);
    return found == electors_.end() ? nullptr : found->second.get();
}

void RoleControl::setRoles(const std::set<RoleName> &roles)
{
    for (const RoleName &role : roles) {
        std::unique_ptr<RoleElector> &elector = electors_[role];
        if (!elector)
            elector = std::make_unique<RoleElector>(role, self_, Random(random_.engine()()));
    }
    std::erase_if(electors_, [&](const auto &entry) {
        const bool isGone = !roles.contains(entry.first);
        if (isGone && entry.second->phase() == RolePhase::Holding)
            listener_.onRoleLost(entry.first);
        return isGone;
    });
}

void RoleControl::onConfig(const Configuration &configuration, TimePoint now)
{
    for (const auto &[role, elector] : electors_) {
        const auto record = configuration.roles_.find(role);
        if (record == configuration.roles_.end())
            continue;
        const Version version = config_.versionOf(refOf(role));
        perform(*elector, elector->onRecord(record->second, version, now), now);
    }
}

void RoleControl::tick(const Configuration &configuration, TimePoint now)
{
    if (!members_.isSettled(now))
        return;
    updateContext(configuration, now);
    for (const auto &[role, elector] : electors_) {
        context_.stopped_.clear();
        if (elector->record())
            addStopped(*elector->record(), context_.stopped_);
        perform(*elector, elector->tick(context_, now), now);
        logBlocked(*elector, now);
    }
}

// The view is copied only when it changes, and not for each role.
void RoleControl::updateContext(const Configuration &configuration, TimePoint now)
{
    const Membership &membership = members_.membership();
    if (membership.viewNumber() != viewNumber_) {
        viewNumber_ = membership.viewNumber();
        context_.view_ = membership.view();
        context_.highCapacity_ = membership.highCapacityMembers();
    }
    context_.fleetSize_ = std::max(members_.listedHosts(), context_.view_.size());
    context_.othersReachStore_ = members_.othersReachStore(now);
    context_.storeGeneration_ = generationOf(config_.revision());
    context_.confirmedLost_.clear();
    for (const auto &[host, lost] : configuration.lostHosts_)
        context_.confirmedLost_[host] = lost.upTo_;
}

void RoleControl::addStopped(const RoleRecord &record, std::set<Member> &stopped) const
{
    const auto addIfStopped = [&](const Member &member) {
        const auto current = members_.membership().find(member.host_);
        if (!current)
            return;
        const bool isReplaced = current->member_.incarnation_ > member.incarnation_;
        const bool hasLeft = current->member_ == member && current->liveness_ == Liveness::Left;
        if (isReplaced || hasLeft)
            stopped.insert(member);
    };
    std::for_each(record.members_.begin(), record.members_.end(), addIfStopped);
    for (const RoleTerm &term : record.predecessors_)
        std::for_each(term.members_.begin(), term.members_.end(), addIfStopped);
}

void RoleControl::logBlocked(const RoleElector &elector, TimePoint now)
{
    const std::vector<Member> blockers = elector.blockedBy(now);
    if (blockers.empty() || now < nextBlockedLog_)
        return;
    nextBlockedLog_ = now + kBlockedLogPeriod;
    const auto &record = elector.record();
    log_.write(LogLine(Severity::Warning, "role-waits")
                   .add("role", elector.role().str())
                   .add("epoch", elector.epoch().value_)
                   .add("hosts", namesOf(blockers))
                   .add("holder", record ? record->holder_.host_.str() : "")
                   .add("members", record ? namesOf(record->members_) : "")
                   .add("rule", record ? toString(record->rule_) : "")
                   .add("challenger", record ? record->challenger_.str() : ""));
}

void RoleControl::perform(RoleElector &elector, const RoleActions &actions, TimePoint now)
{
    for (const RoleAction &action : actions)
        std::visit([&](const auto &step) { perform(elector, step, now); }, action);
}

void RoleControl::perform(RoleElector &elector, const ReadRole &, TimePoint now)
{
    const RoleName &role = elector.role();
    store_.get(refOf(role), [this, role, sentAt = now](const Reply<StoredObject> &reply) {
        RoleElector *found = find(role);
        if (!found)
            return;
        const auto *object = std::get_if<StoredObject>(&reply);
        if (!object || !isReadable(*object)) {
            found->onReadFailed();
            return;
        }
        const TimePoint now = clock_();
        perform(*found, found->onRecordRead(recordIn(*object), object->version_, sentAt, now), now);
    });
}

void RoleControl::perform(RoleElector &elector, const WriteRole &write, TimePoint now)
{
    const RoleName &role = elector.role();
    log_.write(LogLine(Severity::Info, "role-write")
                   .add("role", role.str())
                   .add("purpose", toString(write.purpose_))
                   .add("epoch", write.record_.epoch_.value_)
                   .add("holder", write.record_.holder_.host_.str())
                   .add("members", namesOf(write.record_.members_))
                   .add("rule", toString(write.record_.rule_)));
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
    RoleElector *elector = find(role);
    if (!elector)
        return;
    const TimePoint now = clock_();
    const std::string &nonce = write.record_.nonce_;
    const auto *result = std::get_if<WriteResult>(&reply);
    if (!result || (result->current_ && !isReadable(*result->current_))) {
        elector->onWriteFailed(nonce);
        return;
    }
    if (!result->written_) {
        perform(*elector,
                elector->onConflict(nonce, recordIn(*result->current_), result->current_->version_,
                                    sentAt, now),
                now);
        return;
    }
    perform(*elector, elector->onWritten(nonce, result->version_, sentAt, now), now);
    onOwnWrite_(
        StoredObject { refOf(role), result->version_, false, formatRoleRecord(write.record_) });
}

void RoleControl::perform(RoleElector &elector, const RequestPromise &request, TimePoint now)
{
    if (request.member_ == self_) {
        if (promises_.promise(elector.role(), request.epoch_, now))
            elector.onPromise(self_, request.epoch_, now, now);
        return;
    }
    sender_.send(request.member_.host_,
                 PromiseRequest { elector.role(), request.epoch_, now.time_since_epoch() });
}

void RoleControl::perform(RoleElector &elector, const RequestRelease &request, TimePoint now)
{
    if (request.member_ == self_) {
        const Duration remaining = promises_.release(elector.role(), request.epoch_, now);
        elector.onReleased(self_, request.epoch_, remaining, now);
        return;
    }
    sender_.send(request.member_.host_, ReleaseRequest { elector.role(), request.epoch_ });
}

void RoleControl::perform(RoleElector &elector, const RoleGained &gained, TimePoint now)
{
    log_.write(LogLine(Severity::Info, "role-gained")
                   .add("role", elector.role().str())
                   .add("epoch", gained.epoch_.value_));
    listener_.onRoleGained(elector.role(), gained, now);
}

void RoleControl::perform(RoleElector &elector, const RoleLost &lost, TimePoint)
{
    log_.write(LogLine(Severity::Warning, "role-lost")
                   .add("role", elector.role().str())
                   .add("epoch", lost.epoch_.value_));
    listener_.onRoleLost(elector.role());
}

void RoleControl::perform(RoleElector &elector, const AnnounceStepDown &announcement, TimePoint)
{
    for (const Member &member : members_.membership().view()) {
        if (member != self_)
            sender_.send(member.host_, StepDown { elector.role(), announcement.epoch_ });
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
    RoleElector *elector = find(reply.role_);
    const TimePoint sentAt { reply.sentAt_ };
    if (elector && sentAt <= now)
        elector->onPromise(from.member_, reply.epoch_, sentAt, now);
}

void RoleControl::onMessage(const MemberUpdate &from, const ReleaseRequest &request, TimePoint now)
{
    const Duration remaining = promises_.release(request.role_, request.epoch_, now);
    sender_.send(from.member_.host_, ReleaseReply { request.role_, request.epoch_, remaining });
}

void RoleControl::onMessage(const MemberUpdate &from, const ReleaseReply &reply, TimePoint now)
{
    if (RoleElector *elector = find(reply.role_))
        elector->onReleased(from.member_, reply.epoch_, reply.remaining_, now);
}

void RoleControl::onMessage(const MemberUpdate &from, const StepDown &stepDown)
{
    if (RoleElector *elector = find(stepDown.role_))
        elector->onStepDown(from.member_, stepDown.epoch_);
}

void RoleControl::resign(TimePoint now)
{
    for (const auto &[role, elector] : electors_)
        perform(*elector, elector->resign(), now);
}

bool RoleControl::holds(const RoleName &role, TimePoint now) const
{
    const auto found = electors_.find(role);
    return found != electors_.end() && found->second->holds(now);
}

} // namespace pimentostage
