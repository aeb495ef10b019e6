#include "pimentostage/backend/UnitFence.h"

#include "pimentostage/backend/BackendFence.h"
#include "pimentostage/backend/RouterFence.h"

namespace pimentostage {

std::unique_ptr<UnitFence> UnitFence::forService(const Service &service)
{
    if (service.fencing_ == Fencing::Unchecked)
        return std::make_unique<RouterFence>(service);
    return std::make_unique<BackendFence>(service.name_);
}

} // namespace pimentostage
