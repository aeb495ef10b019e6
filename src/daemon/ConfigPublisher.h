#pragma once

#include "pimentostage/base/Random.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/sibling/FanOut.h"
#include "pimentostage/sibling/Membership.h"
#include "pimentostage/sibling/Messages.h"

#include <vector>

namespace pimentostage {

/// Sends objects of the configuration to all other hosts, through a few of them if there are many.
///
/// What is lost on the way the hosts find out by comparing digests. Lives on the control thread.
class ConfigPublisher
{
public:
    ConfigPublisher(MemberUpdate self, const ConfigState &config, const Membership &membership,
                    SiblingSender &siblings, Random random);

    /// Sends what has changed since the last call and was not pushed by another host.
    /// @param isReader whether this host reads the store for all; if not, nothing is sent.
    void publishRead(bool isReader);

    /// Sends @p objects, which this host wrote itself.
    void publish(const std::vector<StoredObject> &objects);

    /// Passes on what another host pushed.
    void passOn(const ConfigPush &push);

private:
    void send(const std::vector<StoredObject> &objects, const std::vector<FanOutBranch> &branches);

    const MemberUpdate self_;
    const ConfigState &config_;
    const Membership &membership_;
    SiblingSender &siblings_;
    Random random_;
    Version publishedUpTo_; ///< newest object version that all others were sent
};

} // namespace pimentostage
