#include "src/platform/ConfigUpdate.h"

namespace pimentostage {

void applyObjects(const std::vector<StoredObject> &objects, ObjectOrigin origin, ConfigState &state,
                  LogSink &log)
{
    for (const StoredObject &object : objects) {
        std::string error;
        const ApplyResult result = origin == ObjectOrigin::Store
                                       ? state.apply(object, &error)
                                       : state.applyFromSibling(object, &error);
        const bool isLogged = result == ApplyResult::Applied || result == ApplyResult::Rejected;
        if (!isLogged)
            continue;
        const bool isRejected = result == ApplyResult::Rejected;
        LogLine line(isRejected ? Severity::Error : Severity::Info, "object");
        line.add("object", object.ref_.str())
            .add("version", object.version_.value_)
            .add("result", toString(result));
        if (isRejected)
            line.add("error", error);
        log.write(line);
    }
}

} // namespace pimentostage
