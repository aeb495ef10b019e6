#include "pimentostage/base/Hash.h"
#include "pimentostage/operator/ConfigEditor.h"
#include "pimentostage/operator/RolloutEditor.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "src/platform/StoreClient.h"
#include "tools/ProgramMain.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, store, "http://127.0.0.1:7300", "base URL of the platform's store");
ABSL_FLAG(std::string, hosts, "", "operators' addresses of entry hosts, ip:port, comma-separated");
ABSL_FLAG(uint64_t, if_version, 0, "change an object only if it has this version; 0: any");
ABSL_FLAG(double, duration_s, 60, "rollout start: time within which it must be complete");
ABSL_FLAG(double, ramp_ms, -1, "zone in: time over which its share returns, in milliseconds");

namespace {

using namespace pimentostage;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitConflict = 3;
constexpr double kStoreCallsPerSecond = 1000;

constexpr const char *kUsage
    = "The operators' command line.\n"
      "Usage: pimentoctl [--store=URL] COMMAND\n"
      "  config apply PATH...     write files KIND/NAME.json, or all below a folder\n"
      "  config diff PATH...      say which of them differ from the store\n"
      "  config get KIND NAME     print one object\n"
      "  config list [KIND]       list objects with their versions\n"
      "  config rm KIND NAME      delete one object\n"
      "  zone out|in NAME         take a data centre out, or back\n"
      "  key grant TEAM NAME      grant the key read from standard input\n"
      "  key withdraw NAME        withdraw a key\n"
      "  rollout start SERVICE VERSION  order a roll-out; see --duration-s\n"
      "  rollout status SERVICE   how it is doing\n"
      "  rollout abort SERVICE    roll back\n"
      "  owner SERVICE KEY        who owns a key (needs --hosts)\n"
      "  status                   what each host has in force (needs --hosts)\n"
      "Kinds: service, contract, key, zone, backend.\n"
      "Exit codes: 0 done, 1 failed, 2 usage, 3 conflict with another change.";

using Arguments = std::vector<std::string>;

/// Store client and editor that the commands use.
struct CommandContext
{
    StoreClient &store_;
    ConfigEditor &editor_;
};

std::string newChangeId()
{
    std::random_device source;
    return std::to_string(source()) + '-' + std::to_string(source());
}

using Command = leaf::result<int> (*)(CommandContext &, const Arguments &);

std::optional<Version> expectedVersion()
{
    const std::uint64_t version = absl::GetFlag(FLAGS_if_version);
    return version == 0 ? std::nullopt : std::optional(Version { version });
}

int report(const ObjectRef &ref, const ChangeReport &change)
{
    std::cout << ref.str() << ": " << toString(change.outcome_);
    if (change.outcome_ == ChangeOutcome::Conflict)
        std::cout << ": expected version " << change.expected_ << ", the store has version "
                  << change.current_;
    else if (change.current_ != Version {})
        std::cout << ", version " << change.current_;
    if (!change.detail_.empty())
        std::cout << " (" << change.detail_ << ')';
    std::cout << '\n';
    if (change.outcome_ == ChangeOutcome::Conflict)
        return kExitConflict;
    const bool isDone
        = change.outcome_ == ChangeOutcome::Written || change.outcome_ == ChangeOutcome::Unchanged;
    return isDone ? kExitOk : kExitFailed;
}

leaf::result<ObjectRef> makeRef(const std::string &kindName, const std::string &name)
{
    const auto kind = fromString<ObjectKind>(kindName);
    if (kind && !name.empty())
        return ObjectRef { *kind, name };
    return fail(Error { Step::ParseObject, Peer { PeerKind::Operator, kindName + '/' + name },
                        ErrorCode::InvalidValue, "not a kind and a name" });
}

leaf::result<std::string> readFile(const std::filesystem::path &path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    if (in)
        return text.str();
    return fail(Error { Step::ReadSettings, Peer { PeerKind::Operator, path.string() },
                        ErrorCode::NotFound, "cannot be read" });
}

std::vector<std::filesystem::path> objectFiles(const Arguments &paths)
{
    namespace fs = std::filesystem;
    std::vector<fs::path> files;
    for (const std::string &path : paths) {
        if (!fs::is_directory(path)) {
            files.emplace_back(path);
            continue;
        }
        for (const auto &entry : fs::recursive_directory_iterator(path)) {
            const std::string folder = entry.path().parent_path().filename().string();
            const bool isObject = entry.is_regular_file() && entry.path().extension() == ".json"
                                  && fromString<ObjectKind>(folder).has_value();
            if (isObject)
                files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

leaf::result<ObjectRef> refOfFile(const std::filesystem::path &file)
{
    return makeRef(file.parent_path().filename().string(), file.stem().string());
}

leaf::result<int> configApply(CommandContext &context, const Arguments &arguments)
{
    int exitCode = kExitOk;
    for (const auto &file : objectFiles(arguments)) {
        BOOST_LEAF_AUTO(ref, refOfFile(file));
        BOOST_LEAF_AUTO(value, readFile(file));
        BOOST_LEAF_AUTO(change, context.editor_.apply(ref, value, expectedVersion()));
        exitCode = std::max(exitCode, report(ref, change));
    }
    return exitCode;
}

leaf::result<int> configDiff(CommandContext &context, const Arguments &arguments)
{
    int exitCode = kExitOk;
    for (const auto &file : objectFiles(arguments)) {
        BOOST_LEAF_AUTO(ref, refOfFile(file));
        BOOST_LEAF_AUTO(value, readFile(file));
        BOOST_LEAF_AUTO(current, context.editor_.get(ref));
        if (!current.deleted_ && ConfigEditor::isSameValue(current.value_, value))
            continue;
        exitCode = kExitFailed;
        std::cout << ref.str() << '\n';
        std::cout << "- " << (current.deleted_ ? "(none)" : current.value_) << '\n';
        std::cout << "+ " << nlohmann::json::parse(value, nullptr, false).dump() << '\n';
    }
    return exitCode;
}

leaf::result<int> configGet(CommandContext &context, const Arguments &arguments)
{
    BOOST_LEAF_AUTO(ref, makeRef(arguments.at(0), arguments.at(1)));
    BOOST_LEAF_AUTO(object, context.editor_.get(ref));
    if (object.deleted_) {
        std::cout << ref.str() << ": not found\n";
        return kExitFailed;
    }
    std::cout << object.value_ << '\n';
    return kExitOk;
}

leaf::result<int> configList(CommandContext &context, const Arguments &arguments)
{
    BOOST_LEAF_AUTO(listing, context.editor_.list());
    for (const StoredObject &object : listing.objects_) {
        const bool isWanted = arguments.empty() || toString(object.ref_.kind_) == arguments.front();
        if (isWanted)
            std::cout << object.ref_.str() << " version " << object.version_ << '\n';
    }
    return kExitOk;
}

leaf::result<int> configRemove(CommandContext &context, const Arguments &arguments)
{
    BOOST_LEAF_AUTO(ref, makeRef(arguments.at(0), arguments.at(1)));
    BOOST_LEAF_AUTO(change, context.editor_.remove(ref, expectedVersion()));
    return report(ref, change);
}

leaf::result<int> changeZone(CommandContext &context, const std::string &name, ZoneState state)
{
    const ObjectRef ref { ObjectKind::Zone, name };
    BOOST_LEAF_AUTO(current, context.editor_.get(ref));
    Zone zone;
    zone.name_ = ZoneName(name);
    if (!current.deleted_) {
        BOOST_LEAF_ASSIGN(zone, parseZone(name, current.value_));
    }
    zone.state_ = state;
    const double kMillisecondsPerSecond = 1000;
    if (absl::GetFlag(FLAGS_ramp_ms) >= 0)
        zone.ramp_ = fromSeconds(absl::GetFlag(FLAGS_ramp_ms) / kMillisecondsPerSecond);
    BOOST_LEAF_AUTO(change, context.editor_.apply(ref, formatZone(zone), expectedVersion()));
    return report(ref, change);
}

leaf::result<int> zoneOut(CommandContext &context, const Arguments &arguments)
{
    return changeZone(context, arguments.at(0), ZoneState::Out);
}

leaf::result<int> zoneIn(CommandContext &context, const Arguments &arguments)
{
    return changeZone(context, arguments.at(0), ZoneState::In);
}

leaf::result<int> keyGrant(CommandContext &context, const Arguments &arguments)
{
    std::string secret;
    std::getline(std::cin, secret);
    const std::size_t kMinKeyLength = 16;
    if (secret.size() < kMinKeyLength)
        return fail(Error { Step::Authenticate, Peer { PeerKind::Operator, "standard input" },
                            ErrorCode::InvalidValue, "a key has at least 16 characters" });
    const ObjectRef ref { ObjectKind::TeamKey, arguments.at(1) };
    const TeamKey key { arguments.at(1), TeamName(arguments.at(0)), sha256Hex(secret) };
    BOOST_LEAF_AUTO(change, context.editor_.apply(ref, formatTeamKey(key), expectedVersion()));
    return report(ref, change);
}

leaf::result<int> keyWithdraw(CommandContext &context, const Arguments &arguments)
{
    const ObjectRef ref { ObjectKind::TeamKey, arguments.at(0) };
    BOOST_LEAF_AUTO(change, context.editor_.remove(ref, expectedVersion()));
    return report(ref, change);
}

leaf::result<int> rolloutStart(CommandContext &context, const Arguments &arguments)
{
    const RolloutOrder order { ServiceName(arguments.at(0)), arguments.at(1),
                               fromSeconds(absl::GetFlag(FLAGS_duration_s)) };
    BOOST_LEAF_AUTO(change, startRollout(context.editor_, order, newChangeId(), expectedVersion()));
    return report({ ObjectKind::Rollout, arguments.at(0) }, change);
}

leaf::result<int> rolloutStatus(CommandContext &context, const Arguments &arguments)
{
    BOOST_LEAF_AUTO(text, describeRollout(context.editor_, ServiceName(arguments.at(0))));
    std::cout << text << '\n';
    return kExitOk;
}

leaf::result<int> rolloutAbort(CommandContext &context, const Arguments &arguments)
{
    const ObjectRef ref { ObjectKind::Rollout, arguments.at(0) };
    BOOST_LEAF_AUTO(change, context.editor_.remove(ref, expectedVersion()));
    return report(ref, change);
}

/// Fetches @p page from each host in --hosts and prints it after the host's address.
leaf::result<int> queryHosts(const std::string &page)
{
    const std::string hosts = absl::GetFlag(FLAGS_hosts);
    if (hosts.empty())
        return fail(Error { Step::ReadSettings, Peer { PeerKind::Operator, "--hosts" },
                            ErrorCode::InvalidValue, "name the operators' addresses" });
    HttpClientOptions options;
    options.threadName_ = "ctl";
    HttpClient client(options);
    int exitCode = kExitOk;
    const std::vector<std::string> addresses = absl::StrSplit(hosts, ',', absl::SkipEmpty());
    for (const std::string &host : addresses) {
        HttpRequest request;
        request.url_ = "http://" + host + page;
        const HttpResult result = client.fetch(request);
        const bool isAnswer = result.answer_ && result.answer_->status_ == 200;
        exitCode = isAnswer ? exitCode : kExitFailed;
        std::cout << host << ' '
                  << (isAnswer        ? result.answer_->body_
                      : result.error_ ? result.error_->describe()
                                      : "no such thing")
                  << '\n';
    }
    return exitCode;
}

leaf::result<int> owner(CommandContext &, const Arguments &arguments)
{
    return queryHosts("/owner?service=" + arguments.at(0) + "&key=" + arguments.at(1));
}

leaf::result<int> status(CommandContext &, const Arguments &)
{
    return queryHosts("/status");
}

struct CommandRow
{
    const char *first_;
    const char *second_; ///< nullptr for single-word commands
    std::size_t minArguments_;
    std::size_t maxArguments_;
    Command run_;
};

constexpr std::size_t kUnlimited = 1'000'000;

constexpr CommandRow kCommands[] = {
    { "config", "apply", 1, kUnlimited, &configApply },
    { "config", "diff", 1, kUnlimited, &configDiff },
    { "config", "get", 2, 2, &configGet },
    { "config", "list", 0, 1, &configList },
    { "config", "rm", 2, 2, &configRemove },
    { "zone", "out", 1, 1, &zoneOut },
    { "zone", "in", 1, 1, &zoneIn },
    { "key", "grant", 2, 2, &keyGrant },
    { "key", "withdraw", 1, 1, &keyWithdraw },
    { "rollout", "start", 2, 2, &rolloutStart },
    { "rollout", "status", 1, 1, &rolloutStatus },
    { "rollout", "abort", 1, 1, &rolloutAbort },
    { "owner", nullptr, 2, 2, &owner },
    { "status", nullptr, 0, 0, &status },
};

const CommandRow *findCommand(Arguments &arguments)
{
    for (const CommandRow &row : kCommands) {
        const std::size_t words = row.second_ ? 2 : 1;
        const bool matches = arguments.size() >= words && arguments[0] == row.first_
                             && (!row.second_ || arguments[1] == row.second_);
        if (!matches)
            continue;
        arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(words));
        const bool fits
            = arguments.size() >= row.minArguments_ && arguments.size() <= row.maxArguments_;
        return fits ? &row : nullptr;
    }
    return nullptr;
}

} // namespace

int main(int argc, char **argv)
{
    configureProgram("pimentoctl", kUsage);
    Arguments arguments = parseCommandLine(argc, argv);
    const CommandRow *command = findCommand(arguments);
    if (!command) {
        std::cerr << kUsage << '\n';
        return kExitUsage;
    }
    MetricRegistry metrics;
    StoreClientOptions options;
    options.baseUrl_ = absl::GetFlag(FLAGS_store);
    options.callsPerSecond_ = kStoreCallsPerSecond;
    options.callBurst_ = kStoreCallsPerSecond;
    StoreClient store(
        options, [](const std::function<void()> &task) { task(); }, metrics);
    ConfigEditor editor(store, newChangeId());
    CommandContext context { store, editor };
    return valueOr([&] { return command->run_(context, arguments); },
                   [](const Error &error) {
                       std::cerr << error.describe() << '\n';
                       return kExitFailed;
                   });
}
