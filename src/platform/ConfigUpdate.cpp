#include "src/platform/ConfigUpdate.h"

#include "pimentostage/platform/Generation.h"

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
        if (isRejected)
            line.add("error", error);
        log.write(line);
    }
}

} // namespace pimentostage
