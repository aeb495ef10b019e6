#include "pimentostage/operator/Settings.h"

#include "pimentostage/platform/ObjectCodec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#include <string_view>
#include <variant>

// Settings are used as UTF-8, so the character conversion of the library is not needed.
#define SI_NO_CONVERSION
#include <SimpleIni.h>

namespace pimentostage {

namespace {

/// The member that holds a setting; its type determines how the value is parsed.
using SettingMember = std::variant<std::string Settings::*, Address Settings::*,
                                   std::vector<Address> Settings::*, std::int64_t Settings::*,
                                   double Settings::*, Duration Settings::*, bool Settings::*,
                                   Severity Settings::*, std::optional<AdmissionRule> Settings::*>;

enum class Presence { Optional, Required };

struct SettingRow
{
    const char *section_;
    const char *key_;
    SettingMember member_;
    Presence presence_;
    double min_; ///< for numbers and durations (in milliseconds)
    double max_;
    const char *help_;
};

constexpr double kDayMs = 86'400'000;
// Value of an optional setting that leaves the choice to the process.
const std::string kAutomatic = "auto";

// Time between the end of a planned stop and the kill of the process.
constexpr Duration kStopMargin = std::chrono::milliseconds(500);
// Parts of the users' deadlines; the rest is for one read of the store, and for a request that has
// just been let through.
constexpr double kReaderSilenceShare = 0.85;
constexpr double kMaxConfigAgeShare = 0.9;

const std::array kSettingRows {
    SettingRow { "host", "name", &Settings::hostName_, Presence::Required, 0, 0,
                 "Name of this host, as in the platform's host list." },
    SettingRow { "host", "zone", &Settings::zone_, Presence::Required, 0, 0,
                 "Data centre of this host." },
    SettingRow { "host", "first_start", &Settings::hostFirstStart_, Presence::Optional, 0, 0,
                 "Whether the whole fleet starts for the first time, so that nothing was withdrawn "
                 "or has left yet." },
    SettingRow {
        "host", "cores", &Settings::hostCores_, Presence::Optional, 0.001, 1000,
        "CPU time that this host may use; hosts with more of it are preferred for roles." },
    SettingRow { "host", "memory_mb", &Settings::hostMemoryMb_, Presence::Optional, 0, 1'000'000,
                 "Memory of this machine, in 1,000,000 bytes, below which the process stays; 0: "
                 "unknown, with fixed limits." },
    SettingRow { "caller", "address", &Settings::callerAddress_, Presence::Required, 0, 0,
                 "Address on which callers reach this host." },
    SettingRow { "caller", "threads", &Settings::callerThreads_, Presence::Optional, 1, 256,
                 "Threads that serve callers' connections." },
    SettingRow { "caller", "max_connections", &Settings::callerMaxConnections_, Presence::Optional,
                 1, 1'000'000, "Maximum number of caller connections that may send requests." },
    SettingRow { "caller", "max_request_bytes", &Settings::callerMaxRequestBytes_,
                 Presence::Optional, 1024, 67108864,
                 "Maximum size of a request with its headers, in bytes." },
    SettingRow { "caller", "header_timeout_ms", &Settings::callerHeaderTimeout_, Presence::Optional,
                 100, kDayMs, "Timeout for receiving the headers of a request." },
    SettingRow { "caller", "body_timeout_ms", &Settings::callerBodyTimeout_, Presence::Optional,
                 100, kDayMs,
                 "Timeout for receiving the body of a request, and for the next part of an answer "
                 "to be read." },
    SettingRow { "caller", "keep_alive_ms", &Settings::callerKeepAlive_, Presence::Optional, 1000,
                 kDayMs, "Timeout after which an idle caller connection is closed." },
    SettingRow { "caller", "shared_thread", &Settings::callerSharedThread_, Presence::Optional, 0,
                 0, "Whether one thread serves callers and back ends; meant for small hosts." },
    SettingRow { "caller", "abandon_on_half_close", &Settings::callerAbandonOnHalfClose_,
                 Presence::Optional, 0, 0,
                 "Whether a half-close by the caller abandons its GET and HEAD requests." },
    SettingRow { "caller", "drain_notice_ms", &Settings::callerDrainNotice_, Presence::Optional, 0,
                 kDayMs,
                 "On shutdown: time for the load balancer to detect that the host is not ready." },
    SettingRow { "caller", "drain_limit_ms", &Settings::callerDrainTimeout_, Presence::Optional, 0,
                 kDayMs, "On shutdown: timeout for running requests." },
    SettingRow { "caller", "stop_grace_s", &Settings::callerStopGrace_, Presence::Optional, 0, 3600,
                 "On shutdown: time from the signal after which the process is killed; replaces "
                 "drain_limit_ms unless it is 0." },
    SettingRow { "operator", "address", &Settings::operatorAddress_, Presence::Required, 0, 0,
                 "Address of the metrics, health and status pages." },
    SettingRow { "operator", "ready_address", &Settings::operatorReadyAddress_, Presence::Optional,
                 0, 0, "Address of the readiness check of the load balancer, if not at address." },
    SettingRow { "operator", "ready_path", &Settings::operatorReadyPath_, Presence::Optional, 0, 0,
                 "Additional path of the readiness page, besides /readyz." },
    SettingRow { "sibling", "probe_ms", &Settings::siblingProbePeriod_, Presence::Optional, 10,
                 10'000, "Period of the probes of other entry hosts; must be equal on all hosts." },
    SettingRow { "sibling", "probe_wait_ms", &Settings::siblingProbeTimeout_, Presence::Optional,
                 10, 10'000, "Timeout of a probe." },
    SettingRow { "sibling", "suspicion_ms", &Settings::siblingSuspicionTimeout_, Presence::Optional,
                 10, 10'000, "Time after which a suspected host is declared dead." },
    SettingRow { "sibling", "share_room", &Settings::siblingShareRoom_, Presence::Optional, 0, 0,
                 "Whether hosts tell each other which back ends have room; equal on all hosts." },
    SettingRow {
        "sibling", "bounded_terms", &Settings::siblingBoundedTerms_, Presence::Optional, 0, 0,
        "Whether a role whose voters are lost for good is taken over after 10 s; equal on all "
        "hosts. false while hosts of an earlier version run, which cannot read such records." },
    SettingRow { "control", "tick_ms", &Settings::controlTick_, Presence::Optional, 1, 1000,
                 "Period at which the control thread runs its timers." },
    SettingRow {
        "control", "account_groups", &Settings::controlAccountGroups_, Presence::Optional, 0, 1024,
        "Account groups, each with one holder; 0: by the number of accounts; equal on all hosts." },
    SettingRow { "control", "max_config_age_ms", &Settings::controlMaxConfigAge_,
                 Presence::Optional, 100, kDayMs,
                 "Age of the configuration from which requests with a team key are refused." },
    SettingRow {
        "control", "readers", &Settings::controlReaders_, Presence::Optional, 0, 1000,
        "Entry hosts that read the store for all; 0: each host reads; equal on all hosts." },
    SettingRow { "control", "reader_silence_ms", &Settings::controlReaderSilence_,
                 Presence::Optional, 100, kDayMs,
                 "Age of the last confirmation from which a host reads the store itself." },
    SettingRow { "control", "change_deadline_ms", &Settings::controlChangeDeadline_,
                 Presence::Optional, 0, kDayMs,
                 "Time within which a change must be in force on all hosts; replaces "
                 "reader_silence_ms unless it is 0." },
    SettingRow { "control", "withdrawal_deadline_ms", &Settings::controlWithdrawalDeadline_,
                 Presence::Optional, 0, kDayMs,
                 "Time within which a withdrawn key must be refused; replaces max_config_age_ms "
                 "unless it is 0. Above 0, a catalogue without a list of teams has no teams, and "
                 "its routes are closed unless they state otherwise." },
    SettingRow { "control", "leave_deadline_ms", &Settings::controlLeaveDeadline_,
                 Presence::Optional, 100, kDayMs,
                 "Time after which a back end that leaves must get no requests." },
    SettingRow { "control", "evacuation_deadline_ms", &Settings::controlEvacuationDeadline_,
                 Presence::Optional, 100, kDayMs,
                 "Time after which a data centre that is taken out must get no requests." },
    SettingRow { "control", "backend_report_ms", &Settings::controlBackendReportPeriod_,
                 Presence::Optional, 10, kDayMs,
                 "Period at which back ends report their state to the store." },
    SettingRow { "control", "majority_vouches", &Settings::controlMajorityConfirms_,
                 Presence::Optional, 0, 0,
                 "Whether a majority of the hosts can confirm an older configuration." },
    SettingRow { "sibling", "address", &Settings::siblingAddress_, Presence::Required, 0, 0,
                 "Address on which the other entry hosts reach this host." },
    SettingRow { "sibling", "seeds", &Settings::siblingSeeds_, Presence::Optional, 0, 0,
                 "Other entry hosts that this one contacts after its start; the port is that of "
                 "this host's address." },
    SettingRow { "platform", "url", &Settings::platformUrl_, Presence::Required, 0, 0,
                 "Base URL of the platform's store, http://ip:port." },
    SettingRow { "platform", "timeout_ms", &Settings::platformTimeout_, Presence::Optional, 10,
                 60'000, "Timeout of one call to the store." },
    SettingRow { "platform", "calls_per_second", &Settings::platformCallsPerSecond_,
                 Presence::Optional, 1, 10'000,
                 "This host's share of the call rate that the store supports." },
    SettingRow { "backend", "threads", &Settings::backendThreads_, Presence::Optional, 1, 256,
                 "Threads that serve connections to back ends." },
    SettingRow { "backend", "idle_age_ms", &Settings::backendMaxIdleAge_, Presence::Optional, 1000,
                 kDayMs, "Idle time after which a connection is not reused." },
    SettingRow { "backend", "max_rejections", &Settings::backendMaxRejections_, Presence::Optional,
                 0, 1'000'000,
                 "Times that back ends may reject a request as not run before it is refused." },
    SettingRow { "backend", "budget_reserve", &Settings::backendBudgetReserve_, Presence::Optional,
                 0, 1000,
                 "Burst of retries, and of hedges, allowed for one service on this host." },
    SettingRow { "backend", "retry_share", &Settings::backendRetryShare_, Presence::Optional, 0, 1,
                 "Retries allowed per regular request." },
    SettingRow { "backend", "hedge_share", &Settings::backendHedgeShare_, Presence::Optional, 0, 1,
                 "Hedges allowed per regular request." },
    SettingRow { "backend", "hedging", &Settings::backendHedging_, Presence::Optional, 0, 0,
                 "Whether slow idempotent requests are sent to a second back end." },
    SettingRow { "backend", "queue_length", &Settings::backendQueueLength_, Presence::Optional, 1,
                 1'000'000, "Maximum number of queued requests per service, or per owner." },
    SettingRow { "backend", "queue_ms", &Settings::backendMaxQueueTime_, Presence::Optional, 0,
                 60'000, "Maximum time that a request waits in a queue." },
    SettingRow {
        "rollout", "max_share", &Settings::rolloutMaxShare_, Presence::Optional, 0, 1,
        "Share of a service's requests that a new version may get until the verdict; 0: "
        "no roll-outs, and each version of a back end gets requests; equal on all hosts." },
    SettingRow { "rollout", "max_extra", &Settings::rolloutMaxExtra_, Presence::Optional, 0,
                 1'000'000, "Requests that a new version may get beyond that share." },
    SettingRow { "rollout", "rollback_ms", &Settings::rolloutRollback_, Presence::Optional, 1000,
                 60'000, "Time from the 50th bad answer of a version until it gets no requests." },
    SettingRow {
        "backend", "admission_rule", &Settings::backendAdmissionRule_, Presence::Optional, 0, 0,
        "Which waiting request is sent first; auto: team-shares in a catalogue with teams, "
        "else value-per-work." },
    SettingRow { "log", "level", &Settings::logLevel_, Presence::Optional, 0, 0,
                 "Minimum severity that is logged." },
    SettingRow { "log", "capacity", &Settings::logCapacity_, Presence::Optional, 16, 1'000'000,
                 "Log lines buffered in memory before new ones are dropped." },
};

std::string formatNumber(double value)
{
    std::ostringstream out;
    out.precision(12);
    out << value;
    return out.str();
}

std::string describeRange(const SettingRow &row)
{
    return "a number from " + formatNumber(row.min_) + " to " + formatNumber(row.max_);
}

std::optional<double> parseNumber(const std::string &text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

/// Parses one value into its member, with an overload for each type of SettingMember.
/// Each overload returns false if the text is not a valid value.
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

    bool operator()(std::vector<Address> Settings::*member)
    {
        std::istringstream in(text_);
        std::string item;
        while (std::getline(in, item, ',')) {
            const auto address = parseAddress(item);
            if (!address)
                return false;
            (settings_.*member).push_back(*address);
        }
        return true;
    }

    bool operator()(std::int64_t Settings::*member)
    {
        const auto number = numberInRange();
        if (!number || *number != std::floor(*number))
            return false;
        settings_.*member = static_cast<std::int64_t>(*number);
        return true;
    }

    bool operator()(double Settings::*member)
    {
        const auto number = numberInRange();
        settings_.*member = number.value_or(0);
        return number.has_value();
    }

    bool operator()(Duration Settings::*member)
    {
        const double kMillisecondsPerSecond = 1000;
        const auto number = numberInRange();
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

    bool operator()(std::optional<AdmissionRule> Settings::*member)
    {
        settings_.*member = fromString<AdmissionRule>(text_);
        return text_ == kAutomatic || (settings_.*member).has_value();
    }

private:
    std::optional<double> numberInRange() const
    {
        const auto number = parseNumber(text_);
        if (!number || *number < row_.min_ || *number > row_.max_)
            return std::nullopt;
        return number;
    }

    const SettingRow &row_;
    const std::string &text_;
    Settings &settings_;
};

/// Describes the allowed values of a setting, with an overload for each type of SettingMember.
struct AllowedValues
{
    const SettingRow &row_;

    std::string operator()(std::string Settings::*) const { return "a non-empty string"; }
    std::string operator()(Address Settings::*) const { return "ip:port with an IPv4 address"; }
    std::string operator()(std::vector<Address> Settings::*) const
    {
        return "ip:port with IPv4 addresses, separated by commas";
    }
    std::string operator()(std::int64_t Settings::*) const
    {
        return "an integer, " + describeRange(row_);
    }
    std::string operator()(double Settings::*) const { return describeRange(row_); }
    std::string operator()(Duration Settings::*) const { return describeRange(row_) + " (ms)"; }
    std::string operator()(bool Settings::*) const { return "true or false"; }
    std::string operator()(Severity Settings::*) const { return "debug, info, warning or error"; }
    std::string operator()(std::optional<AdmissionRule> Settings::*) const
    {
        std::string names = kAutomatic;
        for (const auto &row : EnumTable<AdmissionRule>::kRows)
            names += ", " + std::string(row.name_);
        return names;
    }
};

/// Formats the default of a setting, with an overload for each type of SettingMember.
struct DefaultText
{
    const Settings defaults_;

    std::string operator()(std::string Settings::*member) const { return defaults_.*member; }
    std::string operator()(Address Settings::*) const { return ""; }
    std::string operator()(std::vector<Address> Settings::*) const { return ""; }
    std::string operator()(std::int64_t Settings::*member) const
    {
        return std::to_string(defaults_.*member);
    }
    std::string operator()(double Settings::*member) const
    {
        return formatNumber(defaults_.*member);
    }
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
    std::string operator()(std::optional<AdmissionRule> Settings::*member) const
    {
        const std::optional<AdmissionRule> &rule = defaults_.*member;
        return rule ? std::string(toString(*rule)) : kAutomatic;
    }
};

void readRow(const CSimpleIniA &ini, const SettingRow &row, const std::string &file,
             SettingsResult &result)
{
    const char *value = ini.GetValue(row.section_, row.key_);
    const std::string allowed = std::visit(AllowedValues { row }, row.member_);
    if (!value) {
        if (row.presence_ == Presence::Required)
            result.errors_.push_back({ file, row.section_, row.key_, "", "missing; " + allowed });
        return;
    }
    const std::string text(value);
    if (!std::visit(ValueReader(row, text, result.settings_), row.member_))
        result.errors_.push_back({ file, row.section_, row.key_, text, allowed });
}

void reportUnknownKeys(const CSimpleIniA &ini, const std::string &file, SettingsResult &result)
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
            result.errors_.push_back(
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
        result.errors_.push_back({ file, "platform", "url", url, "http://ip:port" });
}

void checkMemory(const std::string &file, SettingsResult &result)
{
    if (memoryLimitsOf(result.settings_))
        return;
    result.errors_.push_back({ file, "host", "memory_mb",
                               std::to_string(result.settings_.hostMemoryMb_),
                               "0, or enough for the process and a request of "
                               "caller.max_request_bytes" });
}

} // namespace

std::size_t memoryBytesOf(const Settings &settings)
{
    constexpr std::size_t kBytesPerMegabyte = 1'000'000;
    return static_cast<std::size_t>(settings.hostMemoryMb_) * kBytesPerMegabyte;
}

std::optional<MemoryLimits> memoryLimitsOf(const Settings &settings)
{
    if (settings.hostMemoryMb_ == 0)
        return defaultMemoryLimits();
    return memoryLimitsFor(memoryBytesOf(settings),
                           static_cast<std::size_t>(settings.callerMaxRequestBytes_));
}

Duration drainTimeoutOf(const Settings &settings)
{
    if (settings.callerStopGrace_ == 0)
        return settings.callerDrainTimeout_;
    const Duration drainTimeout
        = fromSeconds(settings.callerStopGrace_) - settings.callerDrainNotice_ - kStopMargin;
    return std::max(Duration::zero(), drainTimeout);
}

Duration readerSilenceOf(const Settings &settings)
{
    const Duration deadline = settings.controlChangeDeadline_;
    return deadline == Duration::zero() ? settings.controlReaderSilence_
                                        : fromSeconds(toSeconds(deadline) * kReaderSilenceShare);
}

Duration maxBackendsAgeOf(const Settings &settings)
{
    return fromSeconds(toSeconds(settings.controlLeaveDeadline_) * kReaderSilenceShare);
}

Duration maxZonesAgeOf(const Settings &settings)
{
    return fromSeconds(toSeconds(settings.controlEvacuationDeadline_) * kReaderSilenceShare);
}

Duration maxConfigAgeOf(const Settings &settings)
{
    const Duration deadline = settings.controlWithdrawalDeadline_;
    return deadline == Duration::zero() ? settings.controlMaxConfigAge_
                                        : fromSeconds(toSeconds(deadline) * kMaxConfigAgeShare);
}

MissingTeams missingTeamsOf(const Settings &settings)
{
    return settings.controlWithdrawalDeadline_ > Duration::zero() ? MissingTeams::Closed
                                                                  : MissingTeams::Open;
}

std::string SettingsError::describe() const
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
        result.errors_.push_back({ file, "", "", "", "an INI file" });
        return result;
    }
    for (const SettingRow &row : kSettingRows)
        readRow(ini, row, file, result);
    reportUnknownKeys(ini, file, result);
    checkPlatformUrl(file, result);
    checkMemory(file, result);
    return result;
}

SettingsResult readSettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        SettingsResult result;
        result.errors_.push_back({ file, "", "", "", "a file that can be read" });
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
        const std::string defaultText
            = row.presence_ == Presence::Required ? "required" : std::visit(defaults, row.member_);
        out << "| " << row.section_ << " | " << row.key_ << " | " << defaultText << " | "
            << std::visit(AllowedValues { row }, row.member_) << " | " << row.help_ << " |\n";
    }
    return out.str();
}

} // namespace pimentostage
