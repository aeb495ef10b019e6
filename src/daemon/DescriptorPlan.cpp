#include "src/daemon/DescriptorPlan.h"

#include <algorithm>

#include <sys/resource.h>

namespace pimentostage {

DescriptorPlan descriptorPlan()
{
    // POSIX guarantees 20; Linux starts processes with 1,024 unless told otherwise.
    constexpr std::size_t kUsualLimit = 1024;
    constexpr rlim_t kMaxLimit = 1'000'000;
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return DescriptorPlan::of(kUsualLimit);
    return DescriptorPlan::of(std::min(limit.rlim_cur, kMaxLimit));
}

} // namespace pimentostage
