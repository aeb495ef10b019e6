#include "src/platform/ConfigUpdate.h"

#include "pimentostage/platform/Generation.h"

#include <algorithm>

namespace pimentostage {

void applyObjects(const std::vector<StoredObject> &objects, ObjectOrigin origin, ConfigState &state,
                  LogSink &log)
{
    for (const StoredObject &object : objects) {
        const Version before = state.versionOf(object.ref_);
        std::string error;
        const ApplyResult result = origin == ObjectOrigin::Store
                                       ? state.apply(object, &error)
                                       : state.applyFromSibling(object, &error);
        const bool isRestored
            = result == ApplyResult::Older && generationOf(object.version_) > generationOf(before);
        const bool isLogged = result == ApplyResult::Applied || result == ApplyResult::Rejected;
        if (!isLogged && !isRestored)
            continue;
        const bool isRejected = result == ApplyResult::Rejected;
        LogLine line(isRejected ? Severity::Error : Severity::Info, "object");
        line.add("object", object.ref_.str())
            .add("generation", generationOf(object.version_).value_)
            .add("version", revisionOf(object.version_))
            .add("result", toString(result));
        if (isRejected) {
            const StoredObject *inForce = state.find(object.ref_);
            line.add("error", error)
                .add("in_force", inForce && !inForce->deleted_ ? revisionOf(inForce->version_)
                                                               : std::uint64_t { 0 })
                .add("is_confirmable", state.isConfirmable());
        }
        log.write(line);
    }
}

void updateRejectionMetrics(const ConfigState &state, MetricRegistry &metrics)
{
    metrics
        .gauge("pimento_config_rejected_objects",
               "Objects whose newest version this host has rejected and not applied.")
        .set(static_cast<double>(state.rejected().size()));
    Counter &counter = metrics.counter("pimento_config_rejected_versions_total",
                                       "Object versions that this host has rejected.");
    counter.add(state.rejections() - std::min(counter.value(), state.rejections()));
}

} // namespace pimentostage
