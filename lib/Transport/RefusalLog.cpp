#include "corianderscale/Transport/RefusalLog.h"

#include "corianderscale/Support/Log.h"

#include <utility>

namespace coriander {

HttpRefusalHook logRefusals(std::string listener)
{
    return [listener = std::move(listener)](const HttpRefusalReport &report) {
        logEvent(LogLevel::Warning,
                 "clients-refused",
                 {{"listener", listener},
                  {"reason", httpRefusalName(report.reason)},
                  {"count", report.count},
                  {"connections", report.load.connections},
                  {"incomplete", report.load.incompleteRequests},
                  {"bytes", report.load.bytes},
                  {"most_bytes", report.limits.bytes}});
    };
}

} // namespace coriander
