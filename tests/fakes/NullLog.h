#pragma once

#include "pimentostage/base/Log.h"

namespace pimentostage {

/// A log sink that discards all lines.
class NullLog : public LogSink
{
public:
    void write(const LogLine &) override { }
};

} // namespace pimentostage
