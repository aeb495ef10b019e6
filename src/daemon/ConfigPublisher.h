#pragma once

#include "pimentostage/base/Random.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/sibling/FanOut.h"
#include "pimentostage/sibling/Membership.h"
#include "pimentostage/sibling/Messages.h"

#include <vector>

namespace pimentostage {

/// Sends configuration objects to all other hosts; in a large fleet a few of them relay.
///
/// Delivery is best effort: hosts detect lost objects by comparing digests. Lives on the control
/// thread.
class ConfigPublisher
{
public:
    ConfigPublisher(MemberUpdate self, const ConfigState &config, const Membership &membership,
                    SiblingSender &siblings, Random random);

    /// Sends the objects that have changed since the last call and that no other host has pushed.
    /// @param isReader whether this host reads the store on behalf of the fleet; if not, nothing is
    ///        sent.
    void publishRead(bool isReader);

    /// Sends @p objects, which this host has written to the store.
    void publish(const std::vector<StoredObject> &objects);

    /// Forwards the objects pushed by another host to the receivers listed in @p push.
    void relay(const ConfigPush &push);

private:
    void markPublished(const std::vector<StoredObject> &objects);
    void send(const std::vector<StoredObject> &objects, const std::vector<FanOutBranch> &branches);

    const MemberUpdate self_;
    const ConfigState &config_;
    const Membership &membership_;
    SiblingSender &siblings_;
    Random random_;
    /// Newest version of each kind that was already sent to all other hosts. The store's feeds are
    /// read at different times, so a newer object of one kind says nothing about another kind.
    VersionsByKind publishedVersions_ {};
};

} // namespace pimentostage
