#pragma once

#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/platform/Configuration.h"
#include "pimentostage/platform/ObjectStore.h"
#include "pimentostage/sibling/Messages.h"
#include "pimentostage/sibling/PromiseLedger.h"
#include "pimentostage/sibling/RoleElector.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace pimentostage {

class ConfigState;
class MemberControl;

/// Notified when this host gains or loses a role. Called on the control thread.
class RoleListener
{
public:
    virtual ~RoleListener() = default;
    virtual void onRoleGained(const RoleName &role, const RoleGained &gained, TimePoint now) = 0;
    virtual void onRoleLost(const RoleName &role) = 0;
};

/// Runs a RoleElector for each role against the store and the siblings.
///
/// Lives on the control thread.
class RoleControl
{
public:
    /// Called with an object that this host has written to the store.
    using OnOwnWrite = std::function<void(const StoredObject &)>;

    /// @param boundsTerms see RoleContext::boundsTerms_.
    RoleControl(const Member &self, Random random, ObjectStore &store, SiblingSender &sender,
                MemberControl &members, const ConfigState &config, RoleListener &listener,
                bool boundsTerms, Clock clock, LogSink &log, OnOwnWrite onOwnWrite);

    /// Replaces the set of roles to run; a removed role that this host holds is lost.
    void setRoles(const std::set<RoleName> &roles);

    /// Updates the role records from the configuration in force.
    void onConfig(const Configuration &configuration, TimePoint now);

    void tick(const Configuration &configuration, TimePoint now);

    void onMessage(const MemberUpdate &from, const PromiseRequest &request, TimePoint now);
    void onMessage(const MemberUpdate &from, const PromiseReply &reply, TimePoint now);
    void onMessage(const MemberUpdate &from, const ReleaseRequest &request, TimePoint now);
    void onMessage(const MemberUpdate &from, const ReleaseReply &reply, TimePoint now);
    void onMessage(const MemberUpdate &from, const StepDown &stepDown);

    /// Resigns from all roles, for a planned stop.
    void resign(TimePoint now);
    /// @return the number of writes without an answer yet.
    [[nodiscard]] std::size_t pendingWrites() const { return pendingWrites_; }

    [[nodiscard]] bool holds(const RoleName &role, TimePoint now) const;
    /// @return the electors of all roles, for status pages.
    [[nodiscard]] const std::map<RoleName, std::unique_ptr<RoleElector>> &electors() const
    {
        return electors_;
    }

private:
    void updateContext(const Configuration &configuration, TimePoint now);
    void addStopped(const RoleRecord &record, std::set<Member> &stopped) const;
    RoleElector *find(const RoleName &role);
    void perform(RoleElector &elector, const RoleActions &actions, TimePoint now);
    void perform(RoleElector &elector, const ReadRole &read, TimePoint now);
    void perform(RoleElector &elector, const WriteRole &write, TimePoint now);
    void perform(RoleElector &elector, const RequestPromise &request, TimePoint now);
    void perform(RoleElector &elector, const RequestRelease &request, TimePoint now);
    void perform(RoleElector &elector, const RoleGained &gained, TimePoint now);
    void perform(RoleElector &elector, const RoleLost &lost, TimePoint now);
    void perform(RoleElector &elector, const AnnounceStepDown &announcement, TimePoint now);
    void onWriteReply(const RoleName &role, const WriteRole &write, TimePoint sentAt,
                      const Reply<WriteResult> &reply);
    void logBlocked(const RoleElector &elector, TimePoint now);

    const Member self_;
    Random random_;
    ObjectStore &store_;
    SiblingSender &sender_;
    MemberControl &members_;
    const ConfigState &config_;
    RoleListener &listener_;
    const Clock clock_;
    LogSink &log_;
    const OnOwnWrite onOwnWrite_;
    std::map<RoleName, std::unique_ptr<RoleElector>> electors_;
    PromiseLedger promises_;
    RoleContext context_; ///< context of the role that tick() processes
    std::uint64_t viewNumber_ = 0; ///< of the view in context_
    std::size_t pendingWrites_ = 0;
    TimePoint nextBlockedLog_ {};
};

} // namespace pimentostage
