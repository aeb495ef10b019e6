#pragma once

#include "pimentostage/base/Log.h"

namespace pimentostage {

/// A log that keeps nothing.
class NullLog : public LogSink
{
public:
    void write(const LogLine &) override { }
};

} // namespace pimentostage
