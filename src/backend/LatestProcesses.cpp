#include "pimentostage/backend/LatestProcesses.h"

namespace pimentostage {

LatestProcesses::LatestProcesses(const Configuration &configuration)
{
    for (const auto &[name, backend] : configuration.backends_) {
        const bool counts = backend.incarnation_ != Incarnation {}
                            && configuration.services_.contains(backend.service_);
        if (!counts)
            continue;
        Registration &latest = latest_[backend.address_];
        if (latest.process_.incarnation_ < backend.incarnation_)
            latest = Registration { { name, backend.incarnation_ }, backend.service_ };
    }
}

const LatestProcesses::Registration *LatestProcesses::replacementOf(const BackendProcess &process,
                                                                    const Address &address) const
{
    if (process.incarnation_ == Incarnation {})
        return nullptr;
    const auto found = latest_.find(address);
    const bool isReplaced
        = found != latest_.end() && found->second.process_.incarnation_ > process.incarnation_;
    return isReplaced ? &found->second : nullptr;
}

} // namespace pimentostage
