#pragma once

#include "pimentostage/base/EnumNames.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace pimentostage {

/// Severity of a log line.
enum class Severity { Debug, Info, Warning, Error };

template <>
struct EnumTable<Severity>
{
    static constexpr std::array kRows {
        EnumName<Severity> { Severity::Debug, "debug" },
        EnumName<Severity> { Severity::Info, "info" },
        EnumName<Severity> { Severity::Warning, "warning" },
        EnumName<Severity> { Severity::Error, "error" },
    };
};

/// Builds one JSON log line, field by field.
class LogLine
{
public:
    /// @param event name of the event, in kebab case.
    LogLine(Severity severity, std::string_view event);

    LogLine &add(std::string_view field, std::string_view value);
    LogLine &add(std::string_view field, const char *value);
    LogLine &add(std::string_view field, std::int64_t value);
    LogLine &add(std::string_view field, std::uint64_t value);
    LogLine &add(std::string_view field, double value);
    LogLine &add(std::string_view field, bool value);
    LogLine &add(std::string_view field, int value);

    [[nodiscard]] Severity severity() const { return severity_; }
    /// @return the complete JSON object.
    [[nodiscard]] std::string json() const { return text_ + '}'; }

private:
    void addFieldName(std::string_view field);

    Severity severity_;
    std::string text_;
};

/// Destination of log lines.
class LogSink
{
public:
    virtual ~LogSink() = default;
    /// Writes @p line without blocking; a sink whose queue is full drops and counts it.
    virtual void write(const LogLine &line) = 0;
};

/// Writes log lines to standard output through log4cplus, on a dedicated thread.
class AsyncLog : public LogSink
{
public:
    /// @param capacity maximum number of queued lines; further lines are dropped.
    /// @param minSeverity lines with a lower severity are ignored.
    AsyncLog(std::size_t capacity, Severity minSeverity);
    ~AsyncLog() override;

    void write(const LogLine &line) override;
    /// @return the number of lines that were dropped because the queue was full.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    class Writer;
    std::unique_ptr<Writer> writer_;
};

} // namespace pimentostage
