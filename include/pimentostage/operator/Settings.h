#pragma once

#include "pimentostage/backend/AdmissionOrder.h"
#include "pimentostage/base/Error.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/MemoryBudget.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/platform/Objects.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

/// Settings of one pimentostaged process.
struct Settings
{
    std::string hostName_;
    std::string zone_;
    bool hostFirstStart_ = false; ///< the whole fleet starts for the first time
    double hostCores_ = 1; ///< CPU time that this host may use, in cores
    std::int64_t hostMemoryMb_ = 0; ///< memory of the machine, in 1,000,000 bytes; 0: unknown

    Address callerAddress_;
    std::int64_t callerMaxConnections_ = 10'000;
    std::int64_t callerThreads_ = 2;
    std::int64_t callerMaxRequestBytes_ = std::int64_t { 1 } << 20;
    Duration callerHeaderTimeout_ = std::chrono::seconds(30);
    Duration callerBodyTimeout_ = std::chrono::seconds(30);
    Duration callerKeepAlive_ = std::chrono::seconds(120);
    bool callerSharedThread_ = false;
    bool callerAbandonOnHalfClose_ = false;
    Duration callerDrainNotice_ = std::chrono::milliseconds(500);
    Duration callerDrainTimeout_ = std::chrono::seconds(30);
    double callerStopGrace_ = 0; ///< in seconds; 0 for none

    Address operatorAddress_;
    Address operatorReadyAddress_;
    std::string operatorReadyPath_;
    Address siblingAddress_;
    std::vector<Address> siblingSeeds_;
    Duration siblingProbePeriod_ = std::chrono::milliseconds(100);
    Duration siblingProbeTimeout_ = std::chrono::milliseconds(100);
    Duration siblingSuspicionTimeout_ = std::chrono::milliseconds(200);
    bool siblingShareRoom_ = true;
    bool siblingBoundedTerms_ = true;

    Duration controlTick_ = std::chrono::milliseconds(10);
    std::int64_t controlAccountGroups_ = 4;
    Duration controlMaxConfigAge_ = std::chrono::seconds(3);
    std::int64_t controlReaders_ = 0;
    Duration controlReaderSilence_ = std::chrono::milliseconds(1700);
    Duration controlChangeDeadline_ {}; ///< zero for none
    Duration controlWithdrawalDeadline_ {}; ///< zero for none
    Duration controlLeaveDeadline_ = std::chrono::seconds(2);
    Duration controlEvacuationDeadline_ = std::chrono::seconds(5);
    Duration controlBackendReportPeriod_ = std::chrono::seconds(1);
    bool controlMajorityConfirms_ = true;

    std::string platformUrl_;
    Duration platformTimeout_ = std::chrono::seconds(1);
    double platformCallsPerSecond_ = 60;

    std::int64_t backendThreads_ = 2;
    Duration backendMaxIdleAge_ = std::chrono::seconds(15);
    std::int64_t backendMaxRejections_ = 1'000'000;
    double backendBudgetReserve_ = 10;
    double backendRetryShare_ = 0.1;
    double backendHedgeShare_ = 0.05;
    bool backendHedging_ = true;
    std::int64_t backendQueueLength_ = 2000;
    Duration backendMaxQueueTime_ = std::chrono::milliseconds(500);
    std::optional<AdmissionRule> backendAdmissionRule_; ///< chosen by the catalogue if empty

    double rolloutMaxShare_ = 0; ///< 0: no roll-outs
    std::int64_t rolloutMaxExtra_ = 50;
    Duration rolloutRollback_ = std::chrono::milliseconds(5000);

    Severity logLevel_ = Severity::Info;
    std::int64_t logCapacity_ = 16'384;
};

/// @return the memory of the machine in bytes, 0 if it is unknown.
[[nodiscard]] std::size_t memoryBytesOf(const Settings &settings);
/// @return the limits of the memory that messages may occupy, or nothing if the machine's memory is
///         too small for the largest body that is allowed.
[[nodiscard]] std::optional<MemoryLimits> memoryLimitsOf(const Settings &settings);
/// @return the timeout for running requests on shutdown, counted from the end of the notice.
[[nodiscard]] Duration drainTimeoutOf(const Settings &settings);
/// @return the age of the last confirmation from which a host reads the store itself.
[[nodiscard]] Duration readerSilenceOf(const Settings &settings);
/// @return the age of what a host knows of back ends from which it reads the store itself.
[[nodiscard]] Duration maxBackendsAgeOf(const Settings &settings);
/// @return the age of what a host knows of data centres from which it reads the store itself.
[[nodiscard]] Duration maxZonesAgeOf(const Settings &settings);
/// @return the age of the configuration from which requests with a team key are refused.
[[nodiscard]] Duration maxConfigAgeOf(const Settings &settings);
/// @return what a catalogue without a list of teams means. Where withdrawn keys have a deadline,
/// such
///         a catalogue has withdrawn all keys.
[[nodiscard]] MissingTeams missingTeamsOf(const Settings &settings);

/// An invalid, missing or unknown setting in a settings file.
struct SettingsError
{
    std::string file_;
    std::string section_;
    std::string key_;
    std::string value_;
    std::string allowed_; ///< the allowed values, or what is wrong

    /// @return a message of one line.
    [[nodiscard]] std::string describe() const;
};

/// Result of reading a settings file.
struct SettingsResult
{
    Settings settings_; ///< valid only if there are no errors
    std::vector<SettingsError> errors_;
};

/// Parses and validates INI text. Reports all errors, not only the first.
/// @param file name of the file, for error messages.
SettingsResult parseSettings(const std::string &text, const std::string &file);

/// Reads, parses and validates an INI file.
SettingsResult readSettings(const std::string &file);

/// @return a Markdown table of all settings with default, allowed values and meaning.
std::string settingsReference();

} // namespace pimentostage
