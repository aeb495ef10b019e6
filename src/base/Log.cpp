#include "pimentostage/base/Log.h"
#include "pimentostage/base/Time.h"

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>
#include <thread>

#include <sys/time.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

bool isPlain(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; });
}

// Few texts need escapes; only those go through the JSON library.
void appendQuoted(std::string &out, std::string_view text)
{
    if (!isPlain(text)) {
        out += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return;
    }
    out += '"';
    out += text;
    out += '"';
}

constexpr std::size_t kTypicalLineBytes = 256;
constexpr Duration kBatchDelay = std::chrono::milliseconds(100);

// The wall clock is used only for the time stamps of log lines, never for a decision.
std::string wallTime()
{
    timeval now {};
    gettimeofday(&now, nullptr);
    tm parts {};
    gmtime_r(&now.tv_sec, &parts);
    char text[48];
    const std::size_t used = strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + used, sizeof text - used, ".%06ldZ", static_cast<long>(now.tv_usec));
    return text;
}

} // namespace

LogLine::LogLine(Severity severity, std::string_view event)
    : severity_(severity)
{
    text_.reserve(kTypicalLineBytes);
    text_ += "{\"time\":\"";
    text_ += wallTime();
    text_ += "\",\"severity\":\"";
    text_ += toString(severity);
    text_ += "\",\"event\":";
    appendQuoted(text_, event);
}

void LogLine::addFieldName(std::string_view field)
{
    text_ += ',';
    appendQuoted(text_, field);
    text_ += ':';
}

LogLine &LogLine::add(std::string_view field, std::string_view value)
{
    addFieldName(field);
    appendQuoted(text_, value);
    return *this;
}

LogLine &LogLine::add(std::string_view field, const char *value)
{
    return add(field, std::string_view(value));
}

LogLine &LogLine::add(std::string_view field, std::int64_t value)
{
    addFieldName(field);
    text_ += std::to_string(value);
    return *this;
}

LogLine &LogLine::add(std::string_view field, std::uint64_t value)
{
    addFieldName(field);
    text_ += std::to_string(value);
    return *this;
}

LogLine &LogLine::add(std::string_view field, double value)
{
    addFieldName(field);
    text_ += nlohmann::json(value).dump();
    return *this;
}

LogLine &LogLine::add(std::string_view field, bool value)
{
    addFieldName(field);
    text_ += value ? "true" : "false";
    return *this;
}

LogLine &LogLine::add(std::string_view field, int value)
{
    return add(field, static_cast<std::int64_t>(value));
}

class AsyncLog::Writer
{
public:
    Writer(std::size_t capacity, Severity minSeverity)
        : capacity_(capacity)
        , minSeverity_(minSeverity)
        , logger_(log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("pimentostage")))
    {
        const bool isStandardError = false;
        const bool isFlushedAtOnce = true;
        log4cplus::SharedAppenderPtr appender(
            new log4cplus::ConsoleAppender(isStandardError, isFlushedAtOnce));
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
        logger_.addAppender(appender);
        logger_.setLogLevel(log4cplus::ALL_LOG_LEVEL);
        thread_ = std::thread([this] { run(); });
    }

    ~Writer()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        stateChanged_.notify_one();
        thread_.join();
        logger_.removeAllAppenders();
    }

    Writer(const Writer &) = delete;
    Writer &operator=(const Writer &) = delete;

    void write(const LogLine &line)
    {
        if (line.severity() < minSeverity_)
            return;
        bool isFirst = false;
        {
            const std::lock_guard lock(mutex_);
            if (lines_.size() >= capacity_) {
                ++dropped_;
                return;
            }
            isFirst = lines_.empty();
            lines_.push_back(Entry { line.severity(), line.json() });
        }
        if (isFirst)
            stateChanged_.notify_one();
    }

    std::uint64_t dropped() const
    {
        const std::lock_guard lock(mutex_);
        return dropped_;
    }

private:
    struct Entry
    {
        Severity severity_;
        std::string text_;
    };

    void run()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_ || !lines_.empty()) {
            stateChanged_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
            // Collects lines that arrive one by one into a batch, as a wakeup for each line costs
            // more than writing the line.
            stateChanged_.wait_for(lock, kBatchDelay, [this] { return stopping_; });
            const std::deque<Entry> batch = std::exchange(lines_, {});
            lock.unlock();
            writeBatch(batch);
            lock.lock();
        }
    }

    // One call for all lines results in a single write.
    void writeBatch(const std::deque<Entry> &batch)
    {
        std::string text;
        Severity highest = Severity::Debug;
        for (const Entry &entry : batch) {
            text += text.empty() ? "" : "\n";
            text += entry.text_;
            highest = std::max(highest, entry.severity_);
        }
        if (!text.empty())
            logger_.log(levelOf(highest), text);
    }

    static log4cplus::LogLevel levelOf(Severity severity)
    {
        static constexpr log4cplus::LogLevel kLevels[]
            = { log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL,
                log4cplus::ERROR_LOG_LEVEL };
        return kLevels[static_cast<std::size_t>(severity)];
    }

    const std::size_t capacity_;
    const Severity minSeverity_;
    log4cplus::Initializer initializer_;
    log4cplus::Logger logger_;
    mutable std::mutex mutex_;
    std::condition_variable stateChanged_;
    std::deque<Entry> lines_;
    std::uint64_t dropped_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

AsyncLog::AsyncLog(std::size_t capacity, Severity minSeverity)
    : writer_(std::make_unique<Writer>(capacity, minSeverity))
{ }

AsyncLog::~AsyncLog() = default;

void AsyncLog::write(const LogLine &line)
{
    writer_->write(line);
}

std::uint64_t AsyncLog::dropped() const
{
    return writer_->dropped();
}

} // namespace pimentostage
