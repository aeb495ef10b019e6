#pragma once

#include <sys/resource.h>

namespace pimentostage {

/// While an object of this class exists, the process can open no file descriptors.
class NoDescriptors
{
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &previous_);
        const rlimit none { 0, previous_.rlim_max };
        setrlimit(RLIMIT_NOFILE, &none);
    }

    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &previous_); }

    NoDescriptors(const NoDescriptors &) = delete;
    NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
    rlimit previous_ {};
};

} // namespace pimentostage
