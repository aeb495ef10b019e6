#include "pimentostage/base/Time.h"

#include <ctime>

namespace pimentostage {

BootClock::time_point BootClock::now() noexcept
{
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + Duration(value.tv_nsec));
}

} // namespace pimentostage
