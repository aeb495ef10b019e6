#include "pimentostage/operator/Settings.h"

#include "pimentostage/platform/ObjectCodec.h"

#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#include <string_view>
#include <variant>

// Files are UTF-8 and stay so; the converting parts of the library are not needed.
#define SI_NO_CONVERSION
#include <SimpleIni.h>

namespace pimentostage {

namespace {

/// Where the value of a setting goes; the type of the member decides how it is read.
using Target = std::variant<std::string Settings::*, Address Settings::*, std::int64_t Settings::*,
                            double Settings::*, Duration Settings::*, bool Settings::*,
                            Severity Settings::*>;

enum class Need { Optional, Required };

struct SettingRow
{
    const char *section_;
    const char *key_;
    Target target_;
    Need need_;
    double least_; ///< of numbers and durations (in milliseconds)
    double most_;
    const char *help_;
};

constexpr double kDayMs = 86'400'000;

const std::array kSettingRows {
    SettingRow { "host", "name", &Settings::hostName_, Need::Required, 0, 0,
                 "Name of this host, as in the platform's host list." },
    SettingRow { "host", "zone", &Settings::zone_, Need::Required, 0, 0,
                 "Data centre that this host stands in." },
    SettingRow { "host", "cores", &Settings::hostCores_, Need::Optional, 0.001, 1000,
                 "Processor time this host may use; roles go to hosts with more of it first." },
    SettingRow { "caller", "address", &Settings::callerAddress_, Need::Required, 0, 0,
                 "Where callers reach this host." },
    SettingRow { "caller", "threads", &Settings::callerThreads_, Need::Optional, 1, 256,
                 "Threads that serve callers' connections." },
    SettingRow { "caller", "max_connections", &Settings::callerMostConnections_, Need::Optional, 1,
                 1'000'000, "Connections of callers that may send requests." },
    SettingRow { "caller", "max_request_bytes", &Settings::callerMostRequestBytes_, Need::Optional,
                 1024, 67108864, "Largest request with its headers, in bytes." },
    SettingRow { "caller", "header_timeout_ms", &Settings::callerHeaderTimeout_, Need::Optional,
                 100, kDayMs, "Longest time a caller may take to send its headers." },
    SettingRow { "caller", "body_timeout_ms", &Settings::callerBodyTimeout_, Need::Optional, 100,
                 kDayMs, "Longest time a caller may take to send its body." },
    SettingRow { "caller", "keep_alive_ms", &Settings::callerKeepAlive_, Need::Optional, 1000,
                 kDayMs, "How long an idle connection of a caller stays open." },
    SettingRow { "caller", "shared_thread", &Settings::callerSharedThread_, Need::Optional, 0, 0,
                 "Whether one thread serves callers and back ends, for small hosts." },
    SettingRow { "caller", "abandon_on_half_close", &Settings::callerAbandonOnHalfClose_,
                 Need::Optional, 0, 0,
                 "Whether the end of a caller's sending ends its GET and HEAD requests." },
    SettingRow { "caller", "drain_notice_ms", &Settings::callerDrainNotice_, Need::Optional, 0,
                 kDayMs, "On a stop: time for the balancer to see that the host is not ready." },
    SettingRow { "caller", "drain_limit_ms", &Settings::callerDrainLimit_, Need::Optional, 0,
                 kDayMs, "On a stop: longest wait for running requests." },
    SettingRow { "operator", "address", &Settings::operatorAddress_, Need::Required, 0, 0,
                 "Where operators reach metrics, health and status." },
    SettingRow { "operator", "ready_address", &Settings::operatorReadyAddress_, Need::Optional, 0,
                 0, "Where the balancer asks whether this host is ready, if not at address." },
    SettingRow { "operator", "ready_path", &Settings::operatorReadyPath_, Need::Optional, 0, 0,
                 "Path of the readiness page besides /readyz." },
    SettingRow { "sibling", "probe_ms", &Settings::siblingProbePeriod_, Need::Optional, 10, 10'000,
                 "Time between two probes of other entry hosts; equal on all hosts." },
    SettingRow { "sibling", "probe_wait_ms", &Settings::siblingProbeWait_, Need::Optional, 10,
                 10'000, "Longest wait for the answer of a probe." },
    SettingRow { "sibling", "suspicion_ms", &Settings::siblingSuspicion_, Need::Optional, 10,
                 10'000, "Time before a host that does not answer counts as dead." },
    SettingRow { "control", "tick_ms", &Settings::controlTick_, Need::Optional, 1, 1000,
                 "Time between two looks at what is due on the control thread." },
    SettingRow {
        "control", "account_groups", &Settings::controlAccountGroups_, Need::Optional, 0, 1024,
        "Groups of accounts, each with a holder; 0: by their number; equal on all hosts." },
    SettingRow { "control", "max_config_age_ms", &Settings::controlMostConfigAge_, Need::Optional,
                 100, kDayMs,
                 "Age of the configuration from which requests with a team's key are refused." },
    SettingRow { "control", "readers", &Settings::controlReaders_, Need::Optional, 0, 1000,
                 "Entry hosts that read the store for all; 0 lets each read; equal on all hosts." },
    SettingRow { "control", "reader_silence_ms", &Settings::controlReaderSilence_, Need::Optional,
                 100, kDayMs,
                 "Age of what the readers told from which a host reads the store itself." },
    SettingRow { "control", "majority_vouches", &Settings::controlMajorityVouches_, Need::Optional,
                 0, 0, "Whether a majority of the hosts vouches for an older configuration." },
    SettingRow { "sibling", "address", &Settings::siblingAddress_, Need::Required, 0, 0,
                 "Where the other entry hosts reach this host." },
    SettingRow { "platform", "url", &Settings::platformUrl_, Need::Required, 0, 0,
                 "Base URL of the platform's store, http://ip:port." },
    SettingRow { "platform", "timeout_ms", &Settings::platformTimeout_, Need::Optional, 10, 60'000,
                 "Longest wait for one answer of the store." },
    SettingRow { "platform", "calls_per_second", &Settings::platformCallsPerSecond_, Need::Optional,
                 1, 10'000, "This host's part of the calls that the store bears." },
    SettingRow { "backend", "threads", &Settings::backendThreads_, Need::Optional, 1, 256,
                 "Threads that talk to back ends." },
    SettingRow { "backend", "idle_age_ms", &Settings::backendIdleAge_, Need::Optional, 1000, kDayMs,
                 "Idle connections older than this are not used again." },
    SettingRow { "backend", "max_rejections", &Settings::backendMostRejections_, Need::Optional, 0,
                 1'000'000,
                 "Times that back ends may declare a request not run before it is refused." },
    SettingRow { "backend", "budget_reserve", &Settings::backendBudgetReserve_, Need::Optional, 0,
                 1000, "Retries, and hedges, of one service allowed at once on this host." },
    SettingRow { "backend", "retry_share", &Settings::backendRetryShare_, Need::Optional, 0, 1,
                 "Retries allowed for each regular request." },
    SettingRow { "backend", "hedge_share", &Settings::backendHedgeShare_, Need::Optional, 0, 1,
                 "Hedges allowed for each regular request." },
    SettingRow { "backend", "hedging", &Settings::backendHedging_, Need::Optional, 0, 0,
                 "Whether slow idempotent requests are sent to a second back end." },
    SettingRow { "backend", "queue_length", &Settings::backendQueueLength_, Need::Optional, 1,
                 1'000'000, "Requests of one service, or for one owner, that may wait for room." },
    SettingRow { "backend", "queue_ms", &Settings::backendQueueTime_, Need::Optional, 0, 60'000,
                 "Longest time for which a request waits for room." },
    SettingRow { "log", "level", &Settings::logLevel_, Need::Optional, 0, 0,
                 "Least severity that is logged." },
    SettingRow { "log", "capacity", &Settings::logCapacity_, Need::Optional, 16, 1'000'000,
                 "Log lines held in memory before new ones are dropped." },
};

std::string plain(double value)
{
    std::ostringstream out;
    out.precision(12);
    out << value;
    return out.str();
}

std::string rangeOf(const SettingRow &row)
{
    return "a number from " + plain(row.least_) + " to " + plain(row.most_);
}

std::optional<double> parseNumber(const std::string &text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

/// Reads one value into its member; an overload for each type of Target.
/// Each returns false if the text is not allowed.
class ValueReader
{
public:
    ValueReader(const SettingRow &row, const std::string &text, Settings &settings)
        : row_(row)
        , text_(text)
        , settings_(settings)
    { }

    bool operator()(std::string Settings::*member)
    {
        settings_.*member = text_;
        return !text_.empty();
    }

    bool operator()(Address Settings::*member)
    {
        const auto address = parseAddress(text_);
        settings_.*member = address.value_or(Address {});
        return address.has_value();
    }

    bool operator()(std::int64_t Settings::*member)
    {
        const auto number = inRange();
        if (!number || *number != std::floor(*number))
            return false;
        settings_.*member = static_cast<std::int64_t>(*number);
        return true;
    }

    bool operator()(double Settings::*member)
    {
        const auto number = inRange();
        settings_.*member = number.value_or(0);
        return number.has_value();
    }

    bool operator()(Duration Settings::*member)
    {
        const double kMillisecondsPerSecond = 1000;
        const auto number = inRange();
        settings_.*member = fromSeconds(number.value_or(0) / kMillisecondsPerSecond);
        return number.has_value();
    }

    bool operator()(bool Settings::*member)
    {
        settings_.*member = text_ == "true";
        return text_ == "true" || text_ == "false";
    }

    bool operator()(Severity Settings::*member)
    {
        const auto severity = fromString<Severity>(text_);
        settings_.*member = severity.value_or(Severity::Info);
        return severity.has_value();
    }

private:
    std::optional<double> inRange() const
    {
        const auto number = parseNumber(text_);
        if (!number || *number < row_.least_ || *number > row_.most_)
            return std::nullopt;
        return number;
    }

    const SettingRow &row_;
    const std::string &text_;
    Settings &settings_;
};

/// Describes what a setting may be; an overload for each type of Target.
struct AllowedText
{
    const SettingRow &row_;

    std::string operator()(std::string Settings::*) const { return "a text that is not empty"; }
    std::string operator()(Address Settings::*) const { return "ip:port with an IP number"; }
    std::string operator()(std::int64_t Settings::*) const { return "whole, " + rangeOf(row_); }
    std::string operator()(double Settings::*) const { return rangeOf(row_); }
    std::string operator()(Duration Settings::*) const { return rangeOf(row_) + " (ms)"; }
    std::string operator()(bool Settings::*) const { return "true or false"; }
    std::string operator()(Severity Settings::*) const { return "debug, info, warning or error"; }
};

/// Writes the default of a setting; an overload for each type of Target.
struct DefaultText
{
    const Settings defaults_;

    std::string operator()(std::string Settings::*member) const { return defaults_.*member; }
    std::string operator()(Address Settings::*) const { return ""; }
    std::string operator()(std::int64_t Settings::*member) const
    {
        return std::to_string(defaults_.*member);
    }
    std::string operator()(double Settings::*member) const { return plain(defaults_.*member); }
    std::string operator()(Duration Settings::*member) const
    {
        return std::to_string(toMilliseconds(defaults_.*member));
    }
    std::string operator()(bool Settings::*member) const
    {
        return defaults_.*member ? "true" : "false";
    }
    std::string operator()(Severity Settings::*member) const
    {
        return std::string(toString(defaults_.*member));
    }
};

void readRow(const CSimpleIniA &ini, const SettingRow &row, const std::string &file,
             SettingsResult &result)
{
    const char *value = ini.GetValue(row.section_, row.key_);
    const std::string allowed = std::visit(AllowedText { row }, row.target_);
    if (!value) {
        if (row.need_ == Need::Required)
            result.faults_.push_back({ file, row.section_, row.key_, "", "missing; " + allowed });
        return;
    }
    const std::string text(value);
    if (!std::visit(ValueReader(row, text, result.settings_), row.target_))
        result.faults_.push_back({ file, row.section_, row.key_, text, allowed });
}

void findUnknownKeys(const CSimpleIniA &ini, const std::string &file, SettingsResult &result)
{
    std::set<std::pair<std::string, std::string>> known;
    for (const SettingRow &row : kSettingRows)
        known.emplace(row.section_, row.key_);
    CSimpleIniA::TNamesDepend sections;
    ini.GetAllSections(sections);
    for (const auto &section : sections) {
        CSimpleIniA::TNamesDepend keys;
        ini.GetAllKeys(section.pItem, keys);
        for (const auto &key : keys) {
            if (known.contains({ section.pItem, key.pItem }))
                continue;
            const char *value = ini.GetValue(section.pItem, key.pItem);
            result.faults_.push_back(
                { file, section.pItem, key.pItem, value ? value : "", "no such setting" });
        }
    }
}

void checkPlatformUrl(const std::string &file, SettingsResult &result)
{
    static constexpr std::string_view kScheme = "http://";
    const std::string &url = result.settings_.platformUrl_;
    if (url.empty())
        return;
    const bool isValid
        = url.rfind(kScheme, 0) == 0 && parseAddress(url.substr(kScheme.size())).has_value();
    if (!isValid)
        result.faults_.push_back({ file, "platform", "url", url, "http://ip:port" });
}

} // namespace

std::string SettingsFault::describe() const
{
    std::string text = file_;
    if (!section_.empty())
        text += ": [" + section_ + "] " + key_;
    if (!value_.empty())
        text += " = \"" + value_ + '"';
    return text + ": allowed: " + allowed_;
}

SettingsResult parseSettings(const std::string &text, const std::string &file)
{
    SettingsResult result;
    CSimpleIniA ini;
    ini.SetUnicode();
    if (ini.LoadData(text) != SI_OK) {
        result.faults_.push_back({ file, "", "", "", "an INI file" });
        return result;
    }
    for (const SettingRow &row : kSettingRows)
        readRow(ini, row, file, result);
    findUnknownKeys(ini, file, result);
    checkPlatformUrl(file, result);
    return result;
}

SettingsResult readSettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        SettingsResult result;
        result.faults_.push_back({ file, "", "", "", "a file that can be read" });
        return result;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), file);
}

std::string settingsReference()
{
    std::ostringstream out;
    out << "| Section | Key | Default | Allowed | Meaning |\n|---|---|---|---|---|\n";
    const DefaultText defaults { Settings {} };
    for (const SettingRow &row : kSettingRows) {
        const std::string fallback
            = row.need_ == Need::Required ? "required" : std::visit(defaults, row.target_);
        out << "| " << row.section_ << " | " << row.key_ << " | " << fallback << " | "
            << std::visit(AllowedText { row }, row.target_) << " | " << row.help_ << " |\n";
    }
    return out.str();
}

} // namespace pimentostage
