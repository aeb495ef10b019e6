#include "pimentostage/operator/ConfigEditor.h"

#include "pimentostage/platform/ObjectCodec.h"

#include <future>
#include <memory>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

using Json = nlohmann::json;

constexpr int kMaxAttempts = 3;

/// Starts an asynchronous call and waits for its result.
template <typename T, typename Start>
Reply<T> waitFor(Start start)
{
    auto promise = std::make_shared<std::promise<Reply<T>>>();
    std::future<Reply<T>> future = promise->get_future();
    start([promise](const Reply<T> &reply) { promise->set_value(reply); });
    return future.get();
}

template <typename T>
leaf::result<T> toResult(Reply<T> reply)
{
    if (auto *error = std::get_if<Error>(&reply))
        return fail(std::move(*error));
    return std::move(std::get<T>(reply));
}

std::string changeIdOf(const std::string &value)
{
    const Json json = Json::parse(value, nullptr, false);
    if (!json.is_object() || !json.contains(kChangeIdField) || !json[kChangeIdField].is_string())
        return "";
    return json[kChangeIdField].get<std::string>();
}

Json withoutChangeId(const std::string &value)
{
    Json json = Json::parse(value, nullptr, false);
    if (json.is_object())
        json.erase(kChangeIdField);
    return json;
}

Version versionOf(const StoredObject &object)
{
    return object.deleted_ ? Version {} : object.version_;
}

} // namespace

ConfigEditor::ConfigEditor(ObjectStore &store, std::string changeId)
    : store_(store)
    , changeId_(std::move(changeId))
{ }

bool ConfigEditor::isSameValue(const std::string &a, const std::string &b)
{
    return withoutChangeId(a) == withoutChangeId(b);
}

leaf::result<StoredObject> ConfigEditor::get(const ObjectRef &ref)
{
    return toResult(waitFor<StoredObject>([&](auto done) { store_.get(ref, done); }));
}

leaf::result<StoreListing> ConfigEditor::list()
{
    return toResult(waitFor<StoreListing>([&](auto done) { store_.list(done); }));
}

leaf::result<ChangeReport> ConfigEditor::apply(const ObjectRef &ref, const std::string &value,
                                               std::optional<Version> expected)
{
    BOOST_LEAF_CHECK(checkObject(ref, value));
    BOOST_LEAF_AUTO(current, get(ref));
    const Version base = expected.value_or(versionOf(current));
    if (!current.deleted_ && !expected && isSameValue(current.value_, value))
        return ChangeReport { ChangeOutcome::Unchanged, base, versionOf(current), {} };
    Json json = Json::parse(value);
    json[kChangeIdField] = changeId_;
    const std::string stored = json.dump();
    if (stored.size() > kMaxObjectBytes)
        return fail(Error { Step::WriteStore, Peer { PeerKind::Platform, ref.str() },
                            ErrorCode::TooLarge, std::to_string(stored.size()) + " bytes" });
    return write(Change { ref, stored, false, base });
}

leaf::result<ChangeReport> ConfigEditor::remove(const ObjectRef &ref,
                                                std::optional<Version> expected)
{
    BOOST_LEAF_AUTO(current, get(ref));
    if (current.deleted_)
        return ChangeReport { ChangeOutcome::Unchanged, Version {}, Version {}, "does not exist" };
    return write(Change { ref, "", true, expected.value_or(current.version_) });
}

leaf::result<ChangeReport> ConfigEditor::write(const Change &change)
{
    ChangeReport report;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
        const Reply<WriteResult> reply = waitFor<WriteResult>([&](auto done) {
            if (change.deletes_)
                store_.remove(change.ref_, change.expected_, done);
            else
                store_.put(change.ref_, change.value_, change.expected_, done);
        });
        if (const auto *error = std::get_if<Error>(&reply)) {
            BOOST_LEAF_ASSIGN(report, determineOutcome(change, *error));
            if (report.outcome_ != ChangeOutcome::NotWritten)
                return report;
            continue;
        }
        const auto &result = std::get<WriteResult>(reply);
        if (result.written_)
            return ChangeReport { ChangeOutcome::Written, change.expected_, result.version_, {} };
        return ChangeReport { ChangeOutcome::Conflict, change.expected_,
                              versionOf(*result.current_), "changed by someone else" };
    }
    return report;
}

// The reply to a write was lost: only the object now in the store shows whether it took effect.
leaf::result<ChangeReport> ConfigEditor::determineOutcome(const Change &change, const Error &error)
{
    const Reply<StoredObject> reply
        = waitFor<StoredObject>([&](auto done) { store_.get(change.ref_, done); });
    if (std::holds_alternative<Error>(reply)) {
        return ChangeReport { ChangeOutcome::Unknown, change.expected_, Version {},
                              "the answer was lost and the store cannot be read: "
                                  + error.describe() };
    }
    const auto &current = std::get<StoredObject>(reply);
    if (isOwnChange(change, current)) {
        return ChangeReport { ChangeOutcome::Written, change.expected_, versionOf(current),
                              "the answer was lost; the store holds the change" };
    }
    if (versionOf(current) == change.expected_) {
        return ChangeReport { ChangeOutcome::NotWritten, change.expected_, versionOf(current),
                              error.describe() };
    }
    return ChangeReport { ChangeOutcome::Conflict, change.expected_, versionOf(current),
                          "the answer was lost and someone else has written since" };
}

bool ConfigEditor::isOwnChange(const Change &change, const StoredObject &current) const
{
    if (change.deletes_)
        return current.deleted_;
    return !current.deleted_ && changeIdOf(current.value_) == changeId_;
}

} // namespace pimentostage
