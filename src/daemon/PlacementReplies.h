#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/platform/ObjectStore.h"

#include <optional>
#include <variant>

namespace pimentostage {

/// Passes the store's reply to a read of a placement to @p coordinator. A placement that does not
/// parse is logged and counts as a failed read.
/// @param parse parses a placement from the name and value of its object.
/// @param perform carries out the actions that the coordinator returns.
template <typename Coordinator, typename Parse, typename Perform>
void handleReadReply(Coordinator &coordinator, const Reply<StoredObject> &reply, Parse parse,
                     Perform perform, LogSink &log, TimePoint now)
{
    const auto *object = std::get_if<StoredObject>(&reply);
    if (!object) {
        coordinator.onReadFailed(now);
        return;
    }
    if (object->deleted_) {
        perform(coordinator.onRead(std::nullopt, object->version_, now));
        return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(placement, parse(object->ref_.name_, object->value_));
            perform(coordinator.onRead(std::move(placement), object->version_, now));
            return {};
        },
        [&](const Error &error) {
            log.write(LogLine(Severity::Error, "placement-unreadable")
                          .add("object", object->ref_.str())
                          .add("error", error.describe()));
            coordinator.onReadFailed(now);
        },
        [&] { coordinator.onReadFailed(now); });
}

/// Passes the store's reply to a write of a placement to @p coordinator.
/// @param perform carries out the actions that the coordinator returns.
template <typename Coordinator, typename Perform>
void handleWriteReply(Coordinator &coordinator, const Reply<WriteResult> &reply, Perform perform,
                      TimePoint now)
{
    const auto *result = std::get_if<WriteResult>(&reply);
    if (!result)
        coordinator.onWriteFailed(now);
    else if (result->written_)
        perform(coordinator.onWritten(result->version_, now));
    else
        perform(coordinator.onConflict(now));
}

} // namespace pimentostage
