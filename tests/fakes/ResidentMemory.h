#pragma once

#include <cstddef>
#include <fstream>

#include <malloc.h>
#include <unistd.h>

namespace pimentostage {

/// @return the memory of this process that is in use, in bytes.
inline std::size_t residentBytes()
{
    // A fixed threshold for mappings, the default one: it grows otherwise, and the end of a
    // thread's heap is not returned to the system.
    constexpr int kMappingThreshold = 128 * 1024; // bytes
    mallopt(M_MMAP_THRESHOLD, kMappingThreshold);
    // Free memory that the heap still holds would hide a later growth.
    malloc_trim(0);
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace pimentostage
