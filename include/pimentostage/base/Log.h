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
    /// @param event what happened, in kebab case.
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
    [[nodiscard]] std::string finished() const { return text_ + '}'; }

private:
    void addName(std::string_view field);

    Severity severity_;
    std::string text_;
};

/// Where log lines go.
class LogSink
{
public:
    virtual ~LogSink() = default;
    /// Takes a line without waiting; a full sink drops it and counts the loss.
    virtual void write(const LogLine &line) = 0;
};

/// Writes lines to standard error through log4cplus from a thread of its own.
class AsyncLog : public LogSink
{
public:
    /// @param capacity lines held before new ones are dropped.
    /// @param least lines below this severity are ignored.
    AsyncLog(std::size_t capacity, Severity least);
    ~AsyncLog() override;

    void write(const LogLine &line) override;
    /// @return how many lines were dropped because the queue was full.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    class Writer;
    std::unique_ptr<Writer> writer_;
};

} // namespace pimentostage
