#include "pimentostage/backend/LatestProcesses.h"

namespace pimentostage {

LatestProcesses::LatestProcesses(const Configuration &configuration)
{
    for (const auto &[name, backend] : configuration.backends_) {
        const bool counts = backend.incarnation_ != Incarnation {}
                            && configuration.services_.contains(backend.service_);
        if (!counts)
            continue;
        Occupant &occupant = occupants_[backend.address_];
        if (occupant.process_.incarnation_ < backend.incarnation_)
            occupant = Occupant { { name, backend.incarnation_ }, backend.service_ };
    }
}

const LatestProcesses::Occupant *LatestProcesses::replacementOf(const BackendProcess &process,
                                                                const Address &address) const
{
    if (process.incarnation_ == Incarnation {})
        return nullptr;
    const auto found = occupants_.find(address);
    const bool isReplaced
        = found != occupants_.end() && found->second.process_.incarnation_ > process.incarnation_;
    return isReplaced ? &found->second : nullptr;
}

} // namespace pimentostage
