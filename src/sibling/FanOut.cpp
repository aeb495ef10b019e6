#include "pimentostage/sibling/FanOut.h"

#include <algorithm>

namespace pimentostage {

std::vector<FanOutBranch> fanOut(const std::vector<HostName> &receivers, std::size_t strong)
{
    const bool areFew = receivers.size() <= kMostBranches;
    const std::size_t most
        = areFew || strong == 0 ? kMostBranches : std::min(strong, kMostBranches);
    const std::size_t heads = std::min(most, receivers.size());
    std::vector<FanOutBranch> branches;
    branches.reserve(heads);
    for (std::size_t i = 0; i < receivers.size(); ++i) {
        if (i < heads)
            branches.push_back({ receivers[i], {} });
        else
            branches[i % heads].relayTo_.push_back(receivers[i]);
    }
    return branches;
}

} // namespace pimentostage
