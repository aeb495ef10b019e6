#include "pimentostage/backend/RequestQueue.h"

#include "pimentostage/backend/FairQueue.h"
#include "pimentostage/backend/OrderedQueue.h"

namespace pimentostage {

std::unique_ptr<RequestQueue> makeRequestQueue(AdmissionRule rule, const FairQueueOptions &options)
{
    if (rule == AdmissionRule::TeamShares)
        return std::make_unique<FairQueue>(options);
    return std::make_unique<OrderedQueue>(orderFor(rule), options);
}

} // namespace pimentostage
